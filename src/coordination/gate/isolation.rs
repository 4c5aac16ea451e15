//! Isolation of requests that may have crashed the backend server, and refusal of those that did.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

use super::completions::RecentCompletions;
use crate::state::{
    id::Fingerprint,
    suspect::{SuspectReport, SuspectState, SuspectTable},
};

/// Calls whose connection was lost within this time before a crash is detected count as in flight
/// during the crash.
const LOSS_WINDOW: Duration = Duration::from_secs(1);
const LOSSES_MAX: usize = 1_024;

/// Decides which requests are suspects, which run one at a time, and which are convicted and
/// refused.
///
/// A request in flight during a crash becomes a suspect. A suspect in flight during a crash is
/// convicted. Since at most one suspect runs at a time, no other suspect is convicted with it.
#[derive(Debug, Default)]
pub(super) struct Isolation {
    table: SuspectTable,
    completions: RecentCompletions,
    running_suspect: Option<u64>,
    busy_until: Option<Instant>,
    recent_losses: VecDeque<(Instant, Fingerprint, bool)>,
}

impl Isolation {
    pub(super) fn is_convicted(&self, request: &Fingerprint, now: Instant) -> bool {
        self.table.state(request, now) == Some(SuspectState::Convicted)
    }

    pub(super) fn is_suspect(&self, request: &Fingerprint, now: Instant) -> bool {
        self.table.is_isolated(request, now)
    }

    /// Whether a suspect is running, or a suspect's connection was lost within [`LOSS_WINDOW`].
    pub(super) fn is_busy(&self, now: Instant) -> bool {
        self.running_suspect.is_some() || self.busy_until.is_some_and(|until| now < until)
    }

    /// Records that a suspect was admitted.
    pub(super) fn record_start(&mut self, call: u64) {
        self.running_suspect = Some(call);
    }

    /// Records the end of a call, whatever its outcome.
    pub(super) fn record_end(&mut self, call: u64) {
        self.running_suspect = self.running_suspect.filter(|running| *running != call);
    }

    /// Records that a request completed, which clears it if it was a suspect.
    pub(super) fn record_completion(&mut self, request: Fingerprint, now: Instant) {
        self.table.clear(&request, now);
        self.completions.insert(request, now);
    }

    /// Records that the connection of a call was lost, which may be due to a crash.
    pub(super) fn record_loss(&mut self, request: Fingerprint, suspect: bool, now: Instant) {
        if suspect {
            // No other suspect may start until it is known whether the server crashed: the crash
            // would convict both.
            self.busy_until = Some(now + LOSS_WINDOW);
        }
        if self.recent_losses.len() == LOSSES_MAX {
            self.recent_losses.pop_front();
        }
        self.recent_losses.push_back((now, request, suspect));
    }

    /// Records a crash with these requests in flight; the flag tells whether the request ran as a
    /// suspect. Returns all requests in flight, including those whose connection was lost within
    /// [`LOSS_WINDOW`].
    pub(super) fn record_crash(
        &mut self,
        in_flight: impl Iterator<Item = (Fingerprint, bool)>,
        now: Instant,
    ) -> Vec<Fingerprint> {
        let recent = self.recent_losses.drain(..);
        let recent = recent.filter(|(at, ..)| now < *at + LOSS_WINDOW);
        let all: Vec<_> = in_flight.chain(recent.map(|(_, f, s)| (f, s))).collect();
        let completed = self.completions.recent(now);
        for (request, was_suspect) in &all {
            match was_suspect {
                true => self.table.convict(*request, now),
                false if completed.contains(request) => {}
                false => self.table.suspect(*request, now),
            }
        }
        self.completions.clear();
        all.into_iter().map(|(request, _)| request).collect()
    }

    /// Records that the server accepts connections again.
    pub(super) fn record_restart(&mut self) {
        self.busy_until = None;
        self.recent_losses.clear();
    }

    pub(super) fn report(&self, now: Instant) -> SuspectReport {
        self.table.report(now)
    }

    /// Merges a report from another node. A request that completed here recently does not become a
    /// suspect.
    pub(super) fn update(&mut self, report: &SuspectReport, now: Instant) {
        let report = self.without_completed(report, now);
        self.table.update(&report, now);
    }

    /// The same, for a node whose suspects are isolated here only after a second crash; returns
    /// whether this changes what this node reports.
    pub(super) fn merge(&mut self, report: &SuspectReport, now: Instant) -> bool {
        let report = self.without_completed(report, now);
        self.table.merge(&report, now)
    }

    fn without_completed(&self, report: &SuspectReport, now: Instant) -> SuspectReport {
        let mut report = report.clone();
        if !report.suspects.is_empty() || !report.recurrent.is_empty() {
            let completed = self.completions.recent(now);
            let has_not_completed = |(f, _): &(Fingerprint, Duration)| !completed.contains(f);
            report.suspects.retain(has_not_completed);
            report.recurrent.retain(has_not_completed);
        }
        report
    }
}

#[cfg(test)]
mod tests;
