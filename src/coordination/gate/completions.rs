//! Requests that completed recently and are therefore assumed not to crash this backend server.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use tokio::time::Instant;

use crate::state::id::Fingerprint;

/// Time for which a completion protects a request from becoming a suspect.
const COMPLETION_TTL: Duration = Duration::from_secs(10);
/// Number of completions kept, the latest ones; covers [`COMPLETION_TTL`] at the design rate of
/// 354 calls/s.
const COMPLETIONS_MAX: usize = 4_096;

/// The latest completions, oldest first.
///
/// Requests without a body to the same method and path share a fingerprint, so a frequent request
/// is in flight during most crashes. Its recent completions keep it from becoming a suspect. Every
/// call is inserted, but only a crash or a report of one reads the record: inserting is therefore
/// cheap, and reading scans it.
#[derive(Debug, Default)]
pub(super) struct RecentCompletions {
    completions: VecDeque<(Instant, Fingerprint)>,
}

impl RecentCompletions {
    pub(super) fn insert(&mut self, request: Fingerprint, now: Instant) {
        if self.completions.len() == COMPLETIONS_MAX {
            self.completions.pop_front();
        }
        self.completions.push_back((now, request));
    }

    /// The requests that completed within [`COMPLETION_TTL`].
    pub(super) fn recent(&self, now: Instant) -> BTreeSet<Fingerprint> {
        let recent = self.completions.iter().rev();
        let recent = recent.take_while(|(at, _)| now < *at + COMPLETION_TTL);
        recent.map(|(_, request)| *request).collect()
    }

    pub(super) fn clear(&mut self) {
        self.completions.clear();
    }
}
