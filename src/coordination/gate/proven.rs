//! Requests that completed recently and so don't crash this backend server.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use tokio::time::Instant;

use crate::state::id::Fingerprint;

/// Time for which a completion counts.
const PROVEN_TIME: Duration = Duration::from_secs(10);
/// Requests kept; at the design rate of 354 calls/s that is the whole time above.
const PROVEN_MAX: usize = 4_096;

/// Bounded table of recent completions.
///
/// Requests without a body share a fingerprint, so a popular one is in flight during most
/// crashes. Its own completions keep it from being suspected.
#[derive(Debug, Default)]
pub(super) struct Proven {
    until: BTreeMap<Fingerprint, Instant>,
    order: BTreeSet<(Instant, Fingerprint)>,
}

impl Proven {
    pub(super) fn insert(&mut self, request: Fingerprint, now: Instant) {
        if self
            .until
            .get(&request)
            .is_some_and(|until| *until > now + PROVEN_TIME / 2)
        {
            return;
        }
        if let Some(until) = self.until.remove(&request) {
            self.order.remove(&(until, request));
        }
        while let Some(first) = self.order.first().copied()
            && (first.0 <= now || self.until.len() >= PROVEN_MAX)
        {
            self.order.pop_first();
            self.until.remove(&first.1);
        }
        self.until.insert(request, now + PROVEN_TIME);
        self.order.insert((now + PROVEN_TIME, request));
    }

    pub(super) fn contains(&self, request: &Fingerprint, now: Instant) -> bool {
        self.until.get(request).is_some_and(|until| now < *until)
    }

    pub(super) fn clear(&mut self) {
        self.until.clear();
        self.order.clear();
    }
}
