//! Requests that may crash backend servers.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use super::id::Fingerprint;

/// Time for which a request that was in flight during a crash runs isolated.
pub const SUSPECT_TTL: Duration = Duration::from_secs(60);
/// Time for which a convicted request is refused.
pub const CONVICTED_TTL: Duration = Duration::from_secs(600);
/// Requests kept; a crash adds at most one server's slots.
const KNOWN_MAX: usize = 4_096;

/// What is known about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspectState {
    /// It completed after it became a suspect.
    Cleared,
    /// It was in flight when a server crashed.
    Suspect,
    /// It was the one suspect running when a server crashed.
    Convicted,
}

/// News about suspects, with the time that each entry still lasts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SuspectReport {
    /// Requests in flight during a crash.
    pub suspects: Vec<(Fingerprint, Duration)>,
    /// Requests that crash servers.
    pub convicted: Vec<(Fingerprint, Duration)>,
}

/// Bounded table of suspects and convictions.
#[derive(Debug, Default)]
pub struct SuspectTable {
    known: BTreeMap<Fingerprint, (SuspectState, Instant)>,
}

impl SuspectTable {
    /// An empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// What is known about a request.
    pub fn state(&self, request: &Fingerprint, now: Instant) -> Option<SuspectState> {
        let (standing, until) = self.known.get(request)?;
        (now < *until).then_some(*standing)
    }

    /// Makes a request that was in flight during a crash a suspect.
    pub fn suspect(&mut self, request: Fingerprint, now: Instant) {
        if self.state(&request, now) != Some(SuspectState::Convicted) {
            self.insert(request, SuspectState::Suspect, now + SUSPECT_TTL, now);
        }
    }

    /// Convicts the suspect that was running during a crash.
    pub fn convict(&mut self, request: Fingerprint, now: Instant) {
        self.insert(request, SuspectState::Convicted, now + CONVICTED_TTL, now);
    }

    /// Clears a suspect that completed; late news about it is ignored.
    pub fn clear(&mut self, request: &Fingerprint, now: Instant) {
        if let Some((standing, until)) = self.known.get_mut(request)
            && *standing == SuspectState::Suspect
        {
            (*standing, *until) = (SuspectState::Cleared, now + SUSPECT_TTL);
        }
    }

    /// All suspects and convictions, those that last longest first.
    pub fn report(&self, now: Instant) -> SuspectReport {
        let of = |wanted| {
            let known = self.known.iter().filter(|(_, (s, _))| *s == wanted);
            let left = known.map(|(f, (_, until))| (*f, until.saturating_duration_since(now)));
            let mut left: Vec<_> = left.filter(|(_, left)| !left.is_zero()).collect();
            left.sort_by_key(|(f, left)| (std::cmp::Reverse(*left), *f));
            left
        };
        SuspectReport {
            suspects: of(SuspectState::Suspect),
            convicted: of(SuspectState::Convicted),
        }
    }

    /// Takes over news from another node; entries already known keep their time.
    pub fn update(&mut self, news: &SuspectReport, now: Instant) {
        for (request, left) in &news.suspects {
            if self.state(request, now).is_none() {
                let until = now + (*left).min(SUSPECT_TTL);
                self.insert(*request, SuspectState::Suspect, until, now);
            }
        }
        for (request, left) in &news.convicted {
            if self.state(request, now) != Some(SuspectState::Convicted) {
                let until = now + (*left).min(CONVICTED_TTL);
                self.insert(*request, SuspectState::Convicted, until, now);
            }
        }
    }

    /// Number of requests kept.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no request is kept.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Drops expired entries, and when full the weakest standing that ends soonest.
    fn insert(
        &mut self,
        request: Fingerprint,
        standing: SuspectState,
        until: Instant,
        now: Instant,
    ) {
        if self.known.len() >= KNOWN_MAX && !self.known.contains_key(&request) {
            self.known.retain(|_, (_, until)| now < *until);
        }
        if self.known.len() >= KNOWN_MAX && !self.known.contains_key(&request) {
            let weakest = self.known.iter().min_by_key(|(_, entry)| **entry);
            if let Some(weakest) = weakest.map(|(f, _)| *f) {
                self.known.remove(&weakest);
            }
        }
        self.known.insert(request, (standing, until));
    }
}

#[cfg(test)]
mod tests;
