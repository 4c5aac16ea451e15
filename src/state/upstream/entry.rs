//! What this node knows about one upstream.

use std::{rc::Rc, time::Duration};

use tokio::time::Instant;

use super::{
    super::{
        level::{aged, is_recent},
        object::Upstream,
        priority::{Level, Priority},
    },
    AttemptEnd, Load, Standing, UpstreamStatus,
};

/// Weight of a new sample in the smoothed latency and success share.
const WEIGHT: f64 = 0.1;
/// Lowest weight, as a share of the slots, so that a recovery is noticed.
const WEIGHT_MIN: f64 = 0.1;
/// Time over which a new or returned upstream reaches its full weight.
const RAMP: Duration = Duration::from_secs(5);
/// Consecutive failures that eject an upstream.
const FAILURES_MAX: u32 = 5;
/// Consecutive failures that confirm an absence from the instance list.
const FAILURES_ABSENT: u32 = 2;
const EJECTION_MIN: Duration = Duration::from_secs(1);
const EJECTION_MAX: Duration = Duration::from_secs(30);
/// Age from which a load report is ignored: one heartbeat lost.
const REPORT_TTL: Duration = Duration::from_millis(2_500);
/// Waiting calls per slot that a report can claim.
const QUEUED_MAX: f64 = 4.0;
/// Time for which an upstream to which no connection could be opened gets no calls while others
/// can be reached. A dial that fails takes up to 500 ms of the call that waits for it.
const UNREACHABLE_TTL: Duration = Duration::from_secs(2);
/// Time for which a node that is about to stop is avoided; each of its answers renews it. Its
/// server is in use again soon after the node has started anew.
const RETIRING_TTL: Duration = Duration::from_secs(1);
/// Time after which a statement of leaving ends unless it is repeated.
const LEAVING_TTL: Duration = Duration::from_secs(60);

/// What the instance list last said about an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Listing {
    #[default]
    Unknown,
    Live,
    Leaving,
    Absent,
}

#[derive(Debug)]
pub(super) struct Entry {
    pub(super) upstream: Rc<Upstream>,
    pub(super) listing: Listing,
    pub(super) is_removed: bool,
    pub(super) is_local: bool,
    in_flight: u32,
    latency: Option<f64>,
    success: f64,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    ramp_from: Option<Instant>,
    said_leaving: Option<Instant>,
    unreachable: Option<Instant>,
    retiring: Option<Instant>,
    report: Option<(Load, Level, Instant)>,
}

impl Entry {
    pub(super) fn new(upstream: Rc<Upstream>, is_local: bool, ramp_from: Option<Instant>) -> Self {
        Self {
            upstream,
            listing: Listing::Unknown,
            is_removed: false,
            is_local,
            in_flight: 0,
            latency: None,
            success: 1.0,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            ramp_from,
            said_leaving: None,
            unreachable: None,
            retiring: None,
            report: None,
        }
    }

    pub(super) fn started(&mut self) {
        self.in_flight += 1;
    }

    pub(super) fn record_end(&mut self, attempt: AttemptEnd, took: Duration, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let took = took.as_secs_f64();
        match attempt {
            AttemptEnd::Unreachable => self.unreachable = Some(now),
            AttemptEnd::Answered | AttemptEnd::NotRun => self.unreachable = None,
            AttemptEnd::Lost | AttemptEnd::TimedOut | AttemptEnd::Cancelled => {}
        }
        match attempt {
            AttemptEnd::Answered => {
                self.learn_latency(took);
                self.learn_success(1.0);
                self.failures = 0;
                self.ejected_until = self.ejected_until.filter(|until| now < *until);
                self.ejections = self.ejections.saturating_sub(1);
            }
            // A refusal proves that the upstream is reachable.
            AttemptEnd::NotRun => {
                self.learn_success(0.0);
                self.failures = 0;
            }
            AttemptEnd::Cancelled if self.latency.is_some_and(|known| took > known) => {
                self.learn_latency(took);
            }
            AttemptEnd::Cancelled => {}
            AttemptEnd::Lost | AttemptEnd::Unreachable => self.failed(now),
            AttemptEnd::TimedOut => {
                self.learn_latency(took);
                self.failed(now);
            }
        }
    }

    pub(super) fn update_load(&mut self, load: Load, level: Level, now: Instant) {
        self.report = Some((load, level, now));
    }

    pub(super) fn set_leaving(&mut self, leaving: bool, now: Instant) {
        self.said_leaving = leaving.then_some(now);
    }

    /// Whether connections to it could or could not be opened.
    pub(super) fn set_reachable(&mut self, reachable: bool, now: Instant) {
        self.unreachable = (!reachable).then_some(now);
    }

    /// Whether its node still serves but is about to stop.
    pub(super) fn set_retiring(&mut self, retiring: bool, now: Instant) {
        self.retiring = retiring.then_some(now);
    }

    /// Whether others are preferred to it.
    pub(super) fn is_avoided(&self, now: Instant) -> bool {
        let retiring = self.retiring.is_some_and(|at| now < at + RETIRING_TTL);
        retiring || self.is_unreachable(now)
    }

    /// Whether no connection to it could be opened a moment ago.
    pub(super) fn is_unreachable(&self, now: Instant) -> bool {
        self.unreachable
            .is_some_and(|at| now < at + UNREACHABLE_TTL)
    }

    /// Drops all that was reported, after this process was paused.
    pub(super) fn forget(&mut self) {
        self.report = None;
        self.said_leaving = None;
        self.listing = Listing::Unknown;
    }

    /// Whether the upstream itself or the instance list says that it is leaving.
    pub(super) fn is_leaving(&self, now: Instant) -> bool {
        let said = self.said_leaving.is_some_and(|at| now < at + LEAVING_TTL);
        said || self.listing == Listing::Leaving
    }

    /// Whether it is absent from the instance list and connections to it fail.
    pub(super) fn is_absent(&self) -> bool {
        let is_refusing = self.ejected_until.is_some() || self.unreachable.is_some();
        let is_failing = self.failures >= FAILURES_ABSENT || is_refusing;
        self.listing == Listing::Absent && is_failing
    }

    /// Starts over at a low weight.
    pub(super) fn returned(&mut self, now: Instant) {
        self.ramp_from = Some(now);
        self.ejected_until = None;
        (self.failures, self.ejections, self.success) = (0, 0, 1.0);
    }

    pub(super) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    pub(super) fn admits(&self, priority: Priority, now: Instant) -> bool {
        self.level(now).is_none_or(|level| level.admits(priority))
    }

    /// The reported level, opening with age.
    pub(super) fn level(&self, now: Instant) -> Option<Level> {
        let (_, level, at) = self.report?;
        Some(aged(level, now.saturating_duration_since(at)))
    }

    /// The level reported a moment ago.
    pub(super) fn recent_level(&self, now: Instant) -> Option<Level> {
        let (_, level, at) = self.report?;
        is_recent(now.saturating_duration_since(at)).then_some(level)
    }

    pub(super) fn latency(&self) -> Option<f64> {
        self.latency
    }

    /// Calls there, as far as known. A report raises the node's own count but never lowers it, and
    /// can't claim more than the slots and a full queue; a false report therefore has bounds.
    pub(super) fn load(&self, now: Instant) -> f64 {
        let own = f64::from(self.in_flight);
        let Some((load, ..)) = self.fresh(now) else {
            return own;
        };
        let slots = f64::from(self.upstream.slots);
        let reported = f64::from(load.in_flight).min(slots);
        own.max(reported) + f64::from(load.queued).min(slots * QUEUED_MAX)
    }

    /// Share of the calls that it should get, in slots. `best` is the lowest latency among the
    /// upstreams compared.
    pub(super) fn weight(&self, best: f64, now: Instant) -> f64 {
        let slots = f64::from(self.upstream.slots);
        let limit = self.fresh(now).map(|(load, ..)| f64::from(load.limit));
        let usable = limit.map_or(slots, |limit| limit.clamp(slots * WEIGHT_MIN, slots));
        let speed = self
            .latency
            .map_or(1.0, |l| if l > best { best / l } else { 1.0 });
        usable * (self.ramp(now) * self.success * speed).max(WEIGHT_MIN)
    }

    /// What the state dump tells about it.
    pub(super) fn row(&self, is_active: bool, best: f64, now: Instant) -> UpstreamStatus {
        let report = self.fresh(now);
        UpstreamStatus {
            name: self.upstream.name.clone(),
            zone: self.upstream.zone.clone(),
            standing: self.standing(is_active, now),
            weight: self.weight(best, now),
            in_flight: self.in_flight,
            latency_ms: self.latency.map(|seconds| seconds * 1_000.0),
            success: self.success,
            failures: self.failures,
            load: report.map(|(load, ..)| load.to_string()),
            level: self.level(now),
        }
    }

    fn standing(&self, is_active: bool, now: Instant) -> Standing {
        if self.is_leaving(now) {
            return Standing::Leaving;
        }
        if self.is_absent() {
            return Standing::Absent;
        }
        if self.is_ejected(now) {
            return Standing::Ejected;
        }
        if !is_active {
            return Standing::OutsideSubset;
        }
        if self.ramp(now) < 1.0 {
            return Standing::Ramping;
        }
        Standing::Serving
    }

    fn ramp(&self, now: Instant) -> f64 {
        let Some(from) = self.ramp_from else {
            return 1.0;
        };
        let share = now.saturating_duration_since(from).as_secs_f64() / RAMP.as_secs_f64();
        share.clamp(WEIGHT_MIN, 1.0)
    }

    fn fresh(&self, now: Instant) -> Option<(Load, Level, Instant)> {
        self.report.filter(|(.., at)| now < *at + REPORT_TTL)
    }

    fn learn_latency(&mut self, sample: f64) {
        let known = self.latency.unwrap_or(sample);
        self.latency = Some(known + WEIGHT * (sample - known));
    }

    fn learn_success(&mut self, sample: f64) {
        self.success += WEIGHT * (sample - self.success);
    }

    fn failed(&mut self, now: Instant) {
        self.learn_success(0.0);
        self.failures += 1;
        // After an ejection the first failure ejects again, until an answer arrives.
        let most = if self.ejections > 0 { 1 } else { FAILURES_MAX };
        if self.failures < most || self.is_ejected(now) {
            return;
        }
        let time = EJECTION_MIN * 2_u32.pow(self.ejections.min(5));
        let until = now + time.min(EJECTION_MAX);
        self.ejections += 1;
        (self.ejected_until, self.ramp_from) = (Some(until), Some(until));
    }
}
