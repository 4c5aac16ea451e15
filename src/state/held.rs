//! Callers that were refused recently and may return before their `Retry-After`.

use std::collections::{BTreeMap, BTreeSet};

use tokio::time::Instant;

use super::id::Fingerprint;

/// Refusals kept; at 64 bytes each about 0.5 MB.
const REFUSALS_MAX: usize = 8_192;

/// Bounded table of recent refusals.
#[derive(Debug, Default)]
pub struct RefusalTable {
    until: BTreeMap<Fingerprint, Instant>,
    order: BTreeSet<(Instant, Fingerprint)>,
}

impl RefusalTable {
    /// An empty table.
    ///
    /// ```
    /// use comfreybay::state::held::{RefusalTable, fingerprint};
    /// use std::time::Duration;
    /// use tokio::time::Instant;
    ///
    /// let (now, request) = (Instant::now(), fingerprint(&[b"caller", b"GET", b"/a"]));
    /// let mut table = RefusalTable::new();
    /// table.record_refusal(request, now + Duration::from_secs(1), now);
    /// assert!(table.is_early_retry(&request, now));
    /// ```
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a request was refused and may come back at `until`.
    ///
    /// When the table is full, the refusal that ends soonest is dropped.
    pub fn record_refusal(&mut self, request: Fingerprint, until: Instant, now: Instant) {
        self.expire(now);
        let until = match self.until.get(&request) {
            Some(earlier) => until.max(*earlier),
            None => until,
        };
        self.remove(&request);
        if self.until.len() == REFUSALS_MAX
            && let Some((_, soonest)) = self.order.pop_first()
        {
            self.until.remove(&soonest);
        }
        self.until.insert(request, until);
        self.order.insert((until, request));
    }

    /// Whether a request came back before its `Retry-After` had passed.
    pub fn is_early_retry(&self, request: &Fingerprint, now: Instant) -> bool {
        self.until.get(request).is_some_and(|until| now < *until)
    }

    /// Number of refusals kept.
    pub fn len(&self) -> usize {
        self.until.len()
    }

    /// Whether no refusal is kept.
    pub fn is_empty(&self) -> bool {
        self.until.is_empty()
    }

    fn remove(&mut self, request: &Fingerprint) {
        if let Some(until) = self.until.remove(request) {
            self.order.remove(&(until, *request));
        }
    }

    fn expire(&mut self, now: Instant) {
        while let Some((until, request)) = self.order.first().copied()
            && until <= now
        {
            self.order.pop_first();
            self.until.remove(&request);
        }
    }
}

/// The fingerprint of several fields; the boundaries between fields count.
///
/// ```
/// use comfreybay::state::held::fingerprint;
/// assert_eq!(fingerprint(&[b"GET", b"/a"]), fingerprint(&[b"GET", b"/a"]));
/// assert_ne!(fingerprint(&[b"GET", b"/a"]), fingerprint(&[b"GET/", b"a"]));
/// ```
pub fn fingerprint(fields: &[&[u8]]) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    for field in fields {
        hasher.update(&(field.len() as u64).to_be_bytes());
        hasher.update(field);
    }
    let mut cut = [0; 16];
    cut.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    Fingerprint(cut)
}

#[cfg(test)]
mod tests;
