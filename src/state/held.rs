//! Recent refusals, kept to detect callers that retry before their `Retry-After` has passed.

use std::collections::{BTreeMap, BTreeSet};

use tokio::time::Instant;

use super::id::Fingerprint;

/// Maximum number of refusals in a table: about 0.5 MB at 64 bytes each.
const REFUSALS_MAX: usize = 8_192;

/// Bounded table of recent refusals.
#[derive(Debug, Default)]
pub struct RefusalTable {
    retry_times: BTreeMap<Fingerprint, Instant>,
    /// The same refusals, sorted by the end of their `Retry-After`.
    by_time: BTreeSet<(Instant, Fingerprint)>,
}

impl RefusalTable {
    /// Creates an empty table.
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

    /// Records that a request was refused and may be retried from `retry_at`.
    ///
    /// A full table evicts the refusal whose `Retry-After` ends first.
    pub fn record_refusal(&mut self, request: Fingerprint, retry_at: Instant, now: Instant) {
        self.expire(now);
        let retry_at = match self.retry_times.get(&request) {
            Some(earlier) => retry_at.max(*earlier),
            None => retry_at,
        };
        self.remove(&request);
        if self.retry_times.len() == REFUSALS_MAX
            && let Some((_, evicted)) = self.by_time.pop_first()
        {
            self.retry_times.remove(&evicted);
        }
        self.retry_times.insert(request, retry_at);
        self.by_time.insert((retry_at, request));
    }

    /// Whether a request was refused and its `Retry-After` has not passed yet.
    pub fn is_early_retry(&self, request: &Fingerprint, now: Instant) -> bool {
        self.retry_times
            .get(request)
            .is_some_and(|retry_at| now < *retry_at)
    }

    /// Number of refusals in the table.
    pub fn len(&self) -> usize {
        self.retry_times.len()
    }

    /// Whether the table has no refusals.
    pub fn is_empty(&self) -> bool {
        self.retry_times.is_empty()
    }

    fn remove(&mut self, request: &Fingerprint) {
        if let Some(retry_at) = self.retry_times.remove(request) {
            self.by_time.remove(&(retry_at, *request));
        }
    }

    fn expire(&mut self, now: Instant) {
        while let Some((retry_at, request)) = self.by_time.first().copied()
            && retry_at <= now
        {
            self.by_time.pop_first();
            self.retry_times.remove(&request);
        }
    }
}

/// Hashes several fields into one fingerprint. The boundaries between the fields are part of the
/// hash.
///
/// ```
/// use comfreybay::state::held::fingerprint;
/// assert_eq!(fingerprint(&[b"GET", b"/a"]), fingerprint(&[b"GET", b"/a"]));
/// assert_ne!(fingerprint(&[b"GET", b"/a"]), fingerprint(&[b"GET/", b"a"]));
/// ```
pub fn fingerprint(fields: &[&[u8]]) -> Fingerprint {
    let mut hasher = FingerprintHasher::default();
    fields.iter().for_each(|field| hasher.field(field));
    hasher.finish()
}

/// Hashes fields one after the other, with the same result as [`fingerprint`].
///
/// ```
/// use comfreybay::state::held::{FingerprintHasher, fingerprint};
/// let mut hasher = FingerprintHasher::default();
/// hasher.field(b"GET");
/// hasher.parts(3, [b"ab".as_slice(), b"cd"].into_iter());
/// assert_eq!(hasher.finish(), fingerprint(&[b"GET", b"abc"]));
/// ```
#[derive(Debug, Default)]
pub struct FingerprintHasher(blake3::Hasher);

impl FingerprintHasher {
    /// Hashes one field.
    pub fn field(&mut self, field: &[u8]) {
        self.parts(field.len(), std::iter::once(field));
    }

    /// Hashes the first `max_bytes` of a field that consists of several parts.
    pub fn parts<'a>(&mut self, max_bytes: usize, parts: impl Iterator<Item = &'a [u8]> + Clone) {
        let all: usize = parts.clone().map(<[u8]>::len).sum();
        let mut left = all.min(max_bytes);
        self.0.update(&(left as u64).to_be_bytes());
        for part in parts {
            let part = &part[..part.len().min(left)];
            left -= part.len();
            self.0.update(part);
        }
    }

    /// The fingerprint of the fields.
    pub fn finish(&self) -> Fingerprint {
        let mut prefix = [0; 16];
        prefix.copy_from_slice(&self.0.finalize().as_bytes()[..16]);
        Fingerprint(prefix)
    }
}

#[cfg(test)]
mod tests;
