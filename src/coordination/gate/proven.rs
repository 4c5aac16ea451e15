//! Requests that completed recently and so don't crash this backend server.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use tokio::time::Instant;

use crate::state::id::Fingerprint;

/// Time for which a completion counts.
const PROVEN_TIME: Duration = Duration::from_secs(10);
/// Completions kept, the latest; at the design rate of 354 calls/s that is the whole time above.
const PROVEN_MAX: usize = 4_096;

/// The latest completions, in order.
///
/// Requests without a body share a fingerprint, so a popular one is in flight during most
/// crashes. Its own completions keep it from being suspected. Each call adds to the record and
/// only a crash or news of one reads it, so adding is cheap and reading is not.
#[derive(Debug, Default)]
pub(super) struct Proven {
    completions: VecDeque<(Instant, Fingerprint)>,
}

impl Proven {
    pub(super) fn insert(&mut self, request: Fingerprint, now: Instant) {
        if self.completions.len() == PROVEN_MAX {
            self.completions.pop_front();
        }
        self.completions.push_back((now, request));
    }

    /// The requests that completed within the time that counts.
    pub(super) fn recent(&self, now: Instant) -> BTreeSet<Fingerprint> {
        let recent = self.completions.iter().rev();
        let recent = recent.take_while(|(at, _)| now < *at + PROVEN_TIME);
        recent.map(|(_, request)| *request).collect()
    }

    pub(super) fn clear(&mut self) {
        self.completions.clear();
    }
}
