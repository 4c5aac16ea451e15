//! Requests suspected of crashing backend servers.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use super::id::Fingerprint;

/// Time for which a request that was in flight during a crash is run in isolation.
pub const SUSPECT_TTL: Duration = Duration::from_secs(60);
/// Time for which a convicted request is refused.
pub const CONVICTED_TTL: Duration = Duration::from_secs(600);
/// Maximum number of requests in a table. One crash adds at most as many as the server has slots.
const ENTRIES_MAX: usize = 4_096;

/// State of a request in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspectState {
    /// It completed after it had become a suspect.
    Cleared,
    /// It was in flight when a server crashed.
    Suspect,
    /// It was the only suspect in flight when a server crashed.
    Convicted,
}

/// Suspect and convicted requests as nodes report them to each other, each with its remaining time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SuspectReport {
    /// Requests that were in flight during a crash.
    pub suspects: Vec<(Fingerprint, Duration)>,
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
        if self.state(&request, now) != Some(SuspectState::Convicted) {
            self.insert(request, SuspectState::Suspect, now + SUSPECT_TTL, now);
        }
    }

    /// Convicts the only suspect that was in flight during a crash.
    pub fn convict(&mut self, request: Fingerprint, now: Instant) {
        self.insert(request, SuspectState::Convicted, now + CONVICTED_TTL, now);
    }

    /// Clears a suspect that completed. Late reports that suspect it are ignored.
    pub fn clear(&mut self, request: &Fingerprint, now: Instant) {
        if let Some((state, until)) = self.entries.get_mut(request)
            && *state == SuspectState::Suspect
        {
            (*state, *until) = (SuspectState::Cleared, now + SUSPECT_TTL);
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
