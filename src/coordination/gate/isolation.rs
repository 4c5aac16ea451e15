//! Isolation and conviction of requests that may crash the backend server.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

use super::proven::Proven;
use crate::state::{
    id::Fingerprint,
    suspect::{SuspectReport, SuspectState, SuspectTable},
};

/// Calls lost within this time before a crash is noticed count as in flight during it.
const LOST_WINDOW: Duration = Duration::from_secs(1);
const LOST_MAX: usize = 1_024;

/// Decides which requests run alone and which do not run at all.
#[derive(Debug, Default)]
pub(super) struct Isolation {
    table: SuspectTable,
    proven: Proven,
    running: Option<u64>,
    held_until: Option<Instant>,
    lost: VecDeque<(Instant, Fingerprint, bool)>,
}

impl Isolation {
    pub(super) fn is_convicted(&self, request: &Fingerprint, now: Instant) -> bool {
        self.table.state(request, now) == Some(SuspectState::Convicted)
    }

    pub(super) fn is_suspect(&self, request: &Fingerprint, now: Instant) -> bool {
        self.table.state(request, now) == Some(SuspectState::Suspect)
    }

    /// Whether a suspect runs, or ran when its connection was lost a moment ago.
    pub(super) fn is_busy(&self, now: Instant) -> bool {
        self.running.is_some() || self.held_until.is_some_and(|until| now < until)
    }

    /// Notes that a suspect was admitted.
    pub(super) fn started(&mut self, call: u64) {
        self.running = Some(call);
    }

    /// Notes that a call ended in any way.
    pub(super) fn ended(&mut self, call: u64) {
        self.running = self.running.filter(|running| *running != call);
    }

    /// Notes that a request completed.
    pub(super) fn completed(&mut self, request: Fingerprint, now: Instant) {
        self.table.clear(&request, now);
        self.proven.insert(request, now);
    }

    /// Notes that a call's connection was lost, which may be part of a crash.
    pub(super) fn lost(&mut self, request: Fingerprint, suspect: bool, now: Instant) {
        if suspect {
            // Until it is known whether the server crashed, no other suspect may be blamed.
            self.held_until = Some(now + LOST_WINDOW);
        }
        if self.lost.len() == LOST_MAX {
            self.lost.pop_front();
        }
        self.lost.push_back((now, request, suspect));
    }

    /// Records a crash with these requests in flight, each with whether it ran as a suspect.
    /// Gives all requests that were in flight, those lost a moment ago included.
    pub(super) fn crashed(
        &mut self,
        in_flight: impl Iterator<Item = (Fingerprint, bool)>,
        now: Instant,
    ) -> Vec<Fingerprint> {
        let recent = self.lost.drain(..);
        let recent = recent.filter(|(at, ..)| now < *at + LOST_WINDOW);
        let all: Vec<_> = in_flight.chain(recent.map(|(_, f, s)| (f, s))).collect();
        let proven = self.proven.recent(now);
        for (request, was_suspect) in &all {
            match was_suspect {
                true => self.table.convict(*request, now),
                false if proven.contains(request) => {}
                false => self.table.suspect(*request, now),
            }
        }
        self.proven.clear();
        all.into_iter().map(|(request, _)| request).collect()
    }

    /// Notes that the server is back.
    pub(super) fn restarted(&mut self) {
        self.held_until = None;
        self.lost.clear();
    }

    pub(super) fn news(&self, now: Instant) -> SuspectReport {
        self.table.report(now)
    }

    /// Takes over news; what completed here a moment ago does not become a suspect.
    pub(super) fn learn(&mut self, news: &SuspectReport, now: Instant) {
        let mut news = news.clone();
        if !news.suspects.is_empty() {
            let proven = self.proven.recent(now);
            news.suspects.retain(|(f, _)| !proven.contains(f));
        }
        self.table.update(&news, now);
    }
}

#[cfg(test)]
mod tests;
