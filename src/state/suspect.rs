//! Requests suspected of crashing backend servers.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use super::id::Fingerprint;

/// Time for which a request that was in flight during a crash is run in isolation. It covers the
/// pauses of callers that send a request again after a failure.
pub const SUSPECT_TTL: Duration = Duration::from_secs(600);
/// Time for which late reports of a request that has completed are ignored.
const CLEARED_TTL: Duration = Duration::from_secs(60);
/// Time for which a convicted request is refused.
pub const CONVICTED_TTL: Duration = Duration::from_secs(600);
/// Maximum number of requests in a table. One crash adds at most as many as the server has slots.
const ENTRIES_MAX: usize = 4_096;

/// State of a request in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspectState {
    /// It completed after it had become a suspect.
    Cleared,
    /// It was in flight when the server of another node crashed.
    Reported,
    /// It was in flight when a server crashed.
    Suspect,
    /// It was in flight when two servers crashed.
    Recurrent,
    /// It was the only suspect in flight when a server crashed.
    Convicted,
}

/// Suspect and convicted requests as nodes report them to each other, each with its remaining time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SuspectReport {
    /// Requests that were in flight during a crash.
    pub suspects: Vec<(Fingerprint, Duration)>,
    /// Requests that were in flight during the crashes of two servers.
    pub recurrent: Vec<(Fingerprint, Duration)>,
    /// Requests found to crash servers.
    pub convicted: Vec<(Fingerprint, Duration)>,
}

/// Bounded table of suspect and convicted requests.
#[derive(Debug, Default)]
pub struct SuspectTable {
    entries: BTreeMap<Fingerprint, (SuspectState, Instant)>,
}

impl SuspectTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// The state of a request, or `None` when it is not in the table or its entry has expired.
    pub fn state(&self, request: &Fingerprint, now: Instant) -> Option<SuspectState> {
        let (state, until) = self.entries.get(request)?;
        (now < *until).then_some(*state)
    }

    /// Adds a request that was in flight during a crash.
    pub fn suspect(&mut self, request: Fingerprint, now: Instant) {
        let state = match self.state(&request, now) {
            None | Some(SuspectState::Cleared | SuspectState::Suspect) => SuspectState::Suspect,
            Some(SuspectState::Reported | SuspectState::Recurrent) => SuspectState::Recurrent,
            Some(SuspectState::Convicted) => return,
        };
        self.insert(request, state, now + SUSPECT_TTL, now);
    }

    /// Whether a request has to run in isolation.
    pub fn is_isolated(&self, request: &Fingerprint, now: Instant) -> bool {
        let state = self.state(request, now);
        matches!(state, Some(SuspectState::Suspect | SuspectState::Recurrent))
    }

    /// Convicts the only suspect that was in flight during a crash.
    pub fn convict(&mut self, request: Fingerprint, now: Instant) {
        self.insert(request, SuspectState::Convicted, now + CONVICTED_TTL, now);
    }

    /// Clears a suspect that completed. Late reports that suspect it are ignored.
    pub fn clear(&mut self, request: &Fingerprint, now: Instant) {
        if let Some((state, until)) = self.entries.get_mut(request)
            && (SuspectState::Reported..=SuspectState::Recurrent).contains(state)
        {
            (*state, *until) = (SuspectState::Cleared, now + CLEARED_TTL);
        }
    }

    /// All suspect and convicted requests, those with the longest remaining time first.
    pub fn report(&self, now: Instant) -> SuspectReport {
        let with_state = |wanted| {
            let entries = self.entries.iter().filter(|(_, (s, _))| *s == wanted);
            let times = entries.map(|(f, (_, until))| (*f, until.saturating_duration_since(now)));
            let mut times: Vec<_> = times.filter(|(_, time)| !time.is_zero()).collect();
            times.sort_by_key(|(f, time)| (std::cmp::Reverse(*time), *f));
            times
        };
        SuspectReport {
            suspects: with_state(SuspectState::Suspect),
            recurrent: with_state(SuspectState::Recurrent),
            convicted: with_state(SuspectState::Convicted),
        }
    }

    /// Adds the entries of another node's report. Entries that exist already keep their time.
    pub fn update(&mut self, report: &SuspectReport, now: Instant) {
        for (request, remaining) in &report.suspects {
            if self.state(request, now).is_none() {
                let until = now + (*remaining).min(SUSPECT_TTL);
                self.insert(*request, SuspectState::Suspect, until, now);
            }
        }
        self.update_verdicts(report, now);
    }

    /// Adds the entries of the report of a node whose server runs the same requests; returns whether
    /// a suspect of this node has become recurrent.
    ///
    /// One crash tells little, as all requests in flight at the server are reported and only one is
    /// at fault. They are therefore not isolated at other servers, until one of these crashes too.
    pub fn merge(&mut self, report: &SuspectReport, now: Instant) -> bool {
        let mut is_promoted = false;
        for (request, remaining) in &report.suspects {
            let state = match self.state(request, now) {
                None => SuspectState::Reported,
                Some(SuspectState::Suspect) => SuspectState::Recurrent,
                Some(_) => continue,
            };
            is_promoted |= state == SuspectState::Recurrent;
            let until = now + (*remaining).min(SUSPECT_TTL);
            self.insert(*request, state, until, now);
        }
        self.update_verdicts(report, now);
        is_promoted
    }

    /// Adds the recurrent and the convicted requests of another node's report.
    fn update_verdicts(&mut self, report: &SuspectReport, now: Instant) {
        for (request, remaining) in &report.recurrent {
            let before = self.state(request, now);
            if before.is_none_or(|s| matches!(s, SuspectState::Reported | SuspectState::Suspect)) {
                let until = now + (*remaining).min(SUSPECT_TTL);
                self.insert(*request, SuspectState::Recurrent, until, now);
            }
        }
        for (request, remaining) in &report.convicted {
            if self.state(request, now) != Some(SuspectState::Convicted) {
                let until = now + (*remaining).min(CONVICTED_TTL);
                self.insert(*request, SuspectState::Convicted, until, now);
            }
        }
    }

    /// Number of requests in the table, including expired entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds or replaces an entry. A full table first evicts its expired entries. If it is still
    /// full, it evicts the entry with the lowest state, and among those the one that expires first.
    fn insert(&mut self, request: Fingerprint, state: SuspectState, until: Instant, now: Instant) {
        if self.entries.len() >= ENTRIES_MAX && !self.entries.contains_key(&request) {
            self.entries.retain(|_, (_, until)| now < *until);
        }
        if self.entries.len() >= ENTRIES_MAX && !self.entries.contains_key(&request) {
            let evicted = self.entries.iter().min_by_key(|(_, entry)| **entry);
            if let Some(evicted) = evicted.map(|(f, _)| *f) {
                self.entries.remove(&evicted);
            }
        }
        self.entries.insert(request, (state, until));
    }
}

#[cfg(test)]
mod tests;
