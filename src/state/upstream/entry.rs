//! Measurements and reports of one upstream.

use std::{rc::Rc, time::Duration};

use tokio::time::Instant;

use super::{
    super::{
        level::{is_recent, relaxed},
        object::Upstream,
        priority::{Level, Priority},
        rate::RateLimit,
    },
    AttemptEnd, Load, Pace, Standing, UpstreamStatus,
};

mod explain;

/// Weight of a new sample in the smoothed latency and success rate.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Lowest weight as a share of the slots. It is above 0 so that a recovery is noticed.
const WEIGHT_MIN: f64 = 0.1;
/// Time in which the weight of a new or returning upstream rises to its full value.
const RAMP_TIME: Duration = Duration::from_secs(5);
/// Number of consecutive failures after which an upstream is ejected.
const EJECTION_FAILURES: u32 = 5;
/// Number of consecutive failures that confirm an absence from the instance list.
const ABSENCE_FAILURES: u32 = 2;
const EJECTION_MIN: Duration = Duration::from_secs(1);
const EJECTION_MAX: Duration = Duration::from_secs(30);
/// Age from which a load report is ignored. It allows for one lost heartbeat.
const REPORT_TTL: Duration = Duration::from_millis(2_500);
/// Age from which a reported service time is ignored: that of a server which has got no call for so
/// long may have changed.
const SERVICE_TIME_TTL: Duration = Duration::from_secs(30);
/// Time over which a reported pace fades to the usual one. Machines that are shared with other
/// workloads are slow for about 600 ms at a time.
const PACE_TTL: Duration = Duration::from_millis(600);
/// Time over which a reported factor fades to the median: a server that got fewer calls because it was
/// slow gets them back within 10 s of its recovery, although few answers bring a new report.
const FACTOR_FADE: Duration = Duration::from_secs(10);
/// Uncertainty of a reported factor: two standard errors of the mean of 32 calls whose times deviate
/// by 0.6 of their mean. A smaller difference from the median does not count.
const FACTOR_ERROR: f64 = 0.15;
/// Largest factor by which a reported service time counts as longer or shorter than the median
/// of the service. Speeds differ by up to 3.4; a false report can neither draw all calls nor keep all away.
const SERVICE_TIME_FACTOR_MAX: f64 = 4.0;
/// Delay that a call adds by taking the last slot of a server, as a multiple of the service time. It
/// grows steeply just below, so that fast servers are not filled while slower ones have room: calls
/// come in clusters, and reports are up to seconds old.
const CROWDING: f64 = 2.0;
/// Maximum number of queued calls per slot accepted from a report; the excess is ignored.
const QUEUED_PER_SLOT: f64 = 4.0;
/// Time for which an upstream gets no calls after a failed connection attempt, while others are
/// reachable. A failed connection attempt costs the waiting call up to 500 ms.
const UNREACHABLE_TTL: Duration = Duration::from_secs(2);
/// Time for which an upstream is avoided after its node announced that it will stop. Each response
/// of that node renews the time. It is short so that the backend server gets calls again soon after
/// the node has restarted.
const RETIRING_TTL: Duration = Duration::from_secs(1);
/// Time after which an announcement of leaving expires unless it is repeated.
const LEAVING_TTL: Duration = Duration::from_secs(60);

/// State of an upstream in the last instance list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Listing {
    #[default]
    Unknown,
    Live,
    Leaving,
    Absent,
}

/// Time that calls take at an upstream.
#[derive(Debug, Clone, Copy)]
pub(super) struct RelativeTime {
    /// Factor by which calls take longer than the usual ones of their class, at the usual pace.
    pub(super) factor: f64,
    /// Pace of its machine.
    pub(super) pace: Pace,
}

#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) upstream: Rc<Upstream>,
    pub(super) listing: Listing,
    pub(super) is_removed: bool,
    /// Whether it is in the zone of this node.
    pub(super) is_local: bool,
    /// Rate limit that it announced in its last answer to this node.
    pub(super) rate_limit: Option<RateLimit>,
    /// Calls of this node in flight.
    in_flight: u32,
    /// Calls that this node has sent since the last report, which does not contain them.
    sent: u32,
    /// Smoothed latency in seconds.
    latency: Option<f64>,
    /// Smoothed share of attempts that succeeded.
    success: f64,
    /// Consecutive failures.
    failures: u32,
    /// Recent ejections; each success subtracts one.
    ejections: u32,
    ejected_until: Option<Instant>,
    /// Time from which the weight rises to its full value.
    ramp_start: Option<Instant>,
    /// Time of the last announcement that it is leaving.
    leaving_at: Option<Instant>,
    /// Time of the last failed connection attempt, unless one has succeeded since.
    unreachable_at: Option<Instant>,
    /// Time of the last announcement that its node will stop.
    retiring_at: Option<Instant>,
    /// Last report, with the time at which it arrived.
    report: Option<(Load, Level, Instant)>,
    /// Last reported service time, with the time at which it arrived.
    service_time: Option<(RelativeTime, Instant)>,
}

impl Entry {
    pub(super) fn new(upstream: Rc<Upstream>, is_local: bool, ramp_start: Option<Instant>) -> Self {
        Self {
            upstream,
            listing: Listing::Unknown,
            is_removed: false,
            is_local,
            rate_limit: None,
            in_flight: 0,
            sent: 0,
            latency: None,
            success: 1.0,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            ramp_start,
            leaving_at: None,
            unreachable_at: None,
            retiring_at: None,
            report: None,
            service_time: None,
        }
    }

    pub(super) fn record_start(&mut self) {
        self.sent += 1;
        self.in_flight += 1;
    }

    pub(super) fn record_end(&mut self, end: AttemptEnd, duration: Duration, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let latency = duration.as_secs_f64();
        match end {
            AttemptEnd::Unreachable => self.unreachable_at = Some(now),
            AttemptEnd::Answered | AttemptEnd::NotRun => self.unreachable_at = None,
            AttemptEnd::Lost | AttemptEnd::TimedOut | AttemptEnd::Cancelled => {}
        }
        match end {
            AttemptEnd::Answered => {
                self.update_latency(latency);
                self.update_success(1.0);
                self.failures = 0;
                self.ejected_until = self.ejected_until.filter(|until| now < *until);
                self.ejections = self.ejections.saturating_sub(1);
            }
            // A refusal counts against the success rate, but shows that the upstream is reachable.
            AttemptEnd::NotRun => {
                self.update_success(0.0);
                self.failures = 0;
            }
            // The duration of a cancelled attempt is a lower bound of its latency.
            AttemptEnd::Cancelled if self.latency.is_some_and(|average| latency > average) => {
                self.update_latency(latency);
            }
            AttemptEnd::Cancelled => {}
            AttemptEnd::Lost | AttemptEnd::Unreachable => self.record_failure(now),
            AttemptEnd::TimedOut => {
                self.update_latency(latency);
                self.record_failure(now);
            }
        }
    }

    pub(super) fn update_load(&mut self, load: Load, level: Level, now: Instant) {
        self.report = Some((load, level, now));
        self.sent = 0;
    }

    pub(super) fn update_service_time(&mut self, time: RelativeTime, now: Instant) {
        self.service_time = Some((time, now));
    }

    /// Factor by which calls take longer at it than usual, as last reported.
    pub(super) fn factor(&self, now: Instant) -> Option<f64> {
        let (time, _) = self.fresh_service_time(now)?;
        Some(time.factor)
    }

    /// Factor by which a call is expected to take longer than at the median of the service, whose
    /// factor is `median`; 1 if it has reported none.
    pub(super) fn slowness(&self, median: f64, now: Instant) -> f64 {
        let Some((time, at)) = self.fresh_service_time(now) else {
            return 1.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        let trust = |ttl: Duration| (1.0 - age / ttl.as_secs_f64()).max(0.0);
        let relative = bounded(time.factor / median);
        // The square of its logarithm, nearly.
        let distance = (relative - 1.0).powi(2) / relative;
        let certainty =
            (1.0 - FACTOR_ERROR * FACTOR_ERROR / distance.max(f64::MIN_POSITIVE)).max(0.0);
        let usual = 1.0 + (relative - 1.0) * certainty * trust(FACTOR_FADE);
        let pace = 1.0 + (time.pace.factor() - 1.0) * trust(PACE_TTL);
        bounded(usual * pace)
    }

    /// Time until the answer to one more call is expected, as a multiple of the median service time.
    ///
    /// Up to its capacity a server takes the service time, and somewhat more the fuller it is, as
    /// calls arrive in clusters and reports are old; beyond it, each further call waits.
    pub(super) fn expected_delay(&self, median: f64, now: Instant) -> f64 {
        let health = (self.ramp(now) * self.success).max(WEIGHT_MIN);
        // Without a report, the calls in flight contain those sent.
        let sent = self.fresh_report(now).map_or(0, |_| self.sent);
        let load = self.load(now) + f64::from(sent) + 1.0;
        let used = load / (self.capacity(now) * health);
        let crowding = if used <= 1.0 { used.powi(6) } else { used };
        self.slowness(median, now) * (1.0 + CROWDING * crowding) / health
    }

    /// Whether it can run one more call at once.
    pub(super) fn has_room(&self, now: Instant) -> bool {
        self.load(now) + 1.0 <= self.capacity(now)
    }

    fn fresh_service_time(&self, now: Instant) -> Option<(RelativeTime, Instant)> {
        let is_fresh = |at: Instant| now < at + SERVICE_TIME_TTL;
        self.service_time.filter(|(_, at)| is_fresh(*at))
    }

    pub(super) fn set_leaving(&mut self, leaving: bool, now: Instant) {
        self.leaving_at = leaving.then_some(now);
    }

    /// Records whether a connection to it could be opened.
    pub(super) fn set_reachable(&mut self, reachable: bool, now: Instant) {
        self.unreachable_at = (!reachable).then_some(now);
    }

    /// Records whether its node has announced that it will stop. The node still serves calls.
    pub(super) fn set_retiring(&mut self, retiring: bool, now: Instant) {
        self.retiring_at = retiring.then_some(now);
    }

    /// Whether it gets calls only when no other upstream can take them.
    pub(super) fn is_avoided(&self, now: Instant) -> bool {
        let retiring = self.retiring_at.is_some_and(|at| now < at + RETIRING_TTL);
        retiring || self.is_unreachable(now)
    }

    /// Whether a connection attempt to it failed recently.
    pub(super) fn is_unreachable(&self, now: Instant) -> bool {
        self.unreachable_at
            .is_some_and(|at| now < at + UNREACHABLE_TTL)
    }

    /// Drops all reports, which are stale after this process was paused.
    pub(super) fn forget(&mut self) {
        self.report = None;
        self.forget_service_time();
        self.leaving_at = None;
        self.listing = Listing::Unknown;
    }

    pub(super) fn forget_service_time(&mut self) {
        self.service_time = None;
    }

    /// Whether the upstream or the instance list has announced that it is leaving.
    pub(super) fn is_leaving(&self, now: Instant) -> bool {
        let announced = self.leaving_at.is_some_and(|at| now < at + LEAVING_TTL);
        announced || self.listing == Listing::Leaving
    }

    /// Whether it is absent from the instance list and calls to it fail as well.
    pub(super) fn is_absent(&self) -> bool {
        let is_out = self.ejected_until.is_some() || self.unreachable_at.is_some();
        let is_failing = self.failures >= ABSENCE_FAILURES || is_out;
        self.listing == Listing::Absent && is_failing
    }

    /// Resets its failures and starts it at a low weight, when it is back in service.
    pub(super) fn reset(&mut self, now: Instant) {
        self.ramp_start = Some(now);
        self.ejected_until = None;
        (self.failures, self.ejections, self.success) = (0, 0, 1.0);
    }

    pub(super) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    pub(super) fn admits(&self, priority: Priority, now: Instant) -> bool {
        self.level(now).is_none_or(|level| level.admits(priority))
    }

    /// The reported level, relaxed when the report is stale.
    pub(super) fn level(&self, now: Instant) -> Option<Level> {
        let (_, level, at) = self.report?;
        Some(relaxed(level, now.saturating_duration_since(at)))
    }

    /// The reported level, unless the report is stale.
    pub(super) fn recent_level(&self, now: Instant) -> Option<Level> {
        let (_, level, at) = self.report?;
        is_recent(now.saturating_duration_since(at)).then_some(level)
    }

    pub(super) fn latency(&self) -> Option<f64> {
        self.latency
    }

    /// Estimated number of calls at the upstream. A report can raise this node's own count but
    /// never lower it, and is capped at the slots plus a full queue, which bounds the effect of a
    /// false report.
    pub(super) fn load(&self, now: Instant) -> f64 {
        let own = f64::from(self.in_flight);
        let Some((load, ..)) = self.fresh_report(now) else {
            return own;
        };
        let slots = f64::from(self.upstream.slots);
        let reported = f64::from(load.in_flight).min(slots);
        own.max(reported) + f64::from(load.queued).min(slots * QUEUED_PER_SLOT)
    }

    /// Number of calls that it can run at once: its slots, or the limit that it reports if that is
    /// lower.
    pub(super) fn capacity(&self, now: Instant) -> f64 {
        let slots = f64::from(self.upstream.slots);
        // A concurrency limit is an estimate that expires; one that follows from an announced rate
        // is exact, and holds until an answer announces another one.
        let (report, min) = match self.rate_limit {
            Some(_) => (self.report, slots.min(1.0)),
            None => (self.fresh_report(now), slots * WEIGHT_MIN),
        };
        match report {
            Some((load, ..)) => f64::from(load.limit).clamp(min, slots),
            None => slots,
        }
    }

    /// Share of the calls that it should get, in slots. `best_latency` is the lowest latency among
    /// the active upstreams.
    pub(super) fn weight(&self, best_latency: f64, now: Instant) -> f64 {
        let speed = self.latency.map_or(1.0, |l| {
            if l > best_latency {
                best_latency / l
            } else {
                1.0
            }
        });
        self.capacity(now) * (self.ramp(now) * self.success * speed).max(WEIGHT_MIN)
    }

    /// Its entry in the state dump.
    pub(super) fn status(
        &self,
        is_active: bool,
        best_latency: f64,
        now: Instant,
    ) -> UpstreamStatus {
        let report = self.fresh_report(now);
        UpstreamStatus {
            name: self.upstream.name.clone(),
            zone: self.upstream.zone.clone(),
            standing: self.standing(is_active, now),
            weight: self.weight(best_latency, now),
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

    /// Share of its weight that a new or returning upstream has reached.
    fn ramp(&self, now: Instant) -> f64 {
        let Some(start) = self.ramp_start else {
            return 1.0;
        };
        let share = now.saturating_duration_since(start).as_secs_f64() / RAMP_TIME.as_secs_f64();
        share.clamp(WEIGHT_MIN, 1.0)
    }

    /// The last report, unless it is too old.
    fn fresh_report(&self, now: Instant) -> Option<(Load, Level, Instant)> {
        self.report.filter(|(.., at)| now < *at + REPORT_TTL)
    }

    fn update_latency(&mut self, sample: f64) {
        let average = self.latency.unwrap_or(sample);
        self.latency = Some(average + SAMPLE_WEIGHT * (sample - average));
    }

    fn update_success(&mut self, sample: f64) {
        self.success += SAMPLE_WEIGHT * (sample - self.success);
    }

    fn record_failure(&mut self, now: Instant) {
        self.update_success(0.0);
        self.failures += 1;
        // After an ejection, a single failure ejects it again until a response arrives.
        let threshold = if self.ejections > 0 {
            1
        } else {
            EJECTION_FAILURES
        };
        if self.failures < threshold || self.is_ejected(now) {
            return;
        }
        let time = EJECTION_MIN * 2_u32.pow(self.ejections.min(5));
        let until = now + time.min(EJECTION_MAX);
        self.ejections += 1;
        (self.ejected_until, self.ramp_start) = (Some(until), Some(until));
    }
}

/// A factor, within the range that a report may claim.
fn bounded(factor: f64) -> f64 {
    factor.clamp(1.0 / SERVICE_TIME_FACTOR_MAX, SERVICE_TIME_FACTOR_MAX)
}
