//! Limits on the calls at the backend server, and the load that the gate reports.

use std::time::Duration;

use tokio::time::Instant;

use super::Core;
use crate::state::{
    id::ClassName,
    object::Control,
    priority::Level,
    queue::QueueKey,
    rate::{RateLimit, RateLimiter},
    upstream::Load,
};

/// Weight of a new sample in the smoothed duration of the calls.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Bounds on the calls that are admitted before the process stops.
#[derive(Debug, Clone, Copy)]
pub(super) struct Stop {
    /// Time by which running calls must have ended.
    at: Instant,
    /// Time until which the durations of recent calls may vouch for a call; later only its deadline
    /// does.
    estimates_until: Instant,
}

impl Stop {
    /// Whether a call that starts now ends in time. Its deadline is the only bound that holds for
    /// every call. Early in a stop, a call that lasts longer than expected has time left, so the
    /// longest duration of recent calls counts as well.
    pub(super) fn allows(
        &self,
        deadline: Instant,
        max_duration: impl FnOnce() -> Option<Duration>,
        now: Instant,
    ) -> bool {
        if deadline <= self.at {
            return true;
        }
        now < self.estimates_until && max_duration().is_some_and(|max| now + max <= self.at)
    }
}

impl Core {
    pub(in super::super) fn load(&self) -> Load {
        Load {
            in_flight: self.in_flight(),
            limit: self.usable_limit(),
            queued: self.queued() as u32,
        }
    }

    pub(in super::super) fn level(&self) -> Level {
        match self.control {
            Control::Adaptive | Control::Ranked => self.controller.level(),
            Control::Fixed | Control::Off => Level::OPEN,
        }
    }

    pub(in super::super) fn rate_limit(&self) -> Option<RateLimit> {
        self.rate.limit()
    }

    pub(in super::super) fn rate_limiter(&mut self) -> &mut RateLimiter {
        &mut self.rate
    }

    /// Time until the rate limit has room for the next queued call; `None` if no queued call waits
    /// for that.
    pub(in super::super) fn next_release(&self, now: Instant) -> Option<Duration> {
        let waits = self.queued() > 0 && self.in_flight() < self.limit() && !self.down;
        let wait = self.rate.wait(0, now);
        (waits && !wait.is_zero()).then_some(wait)
    }

    /// Time for which the rate limit delays a call with this key.
    pub(super) fn rate_wait(&self, key: &QueueKey, now: Instant) -> Duration {
        match self.rate.limit() {
            Some(_) => self.rate.wait(self.queue.rank(key), now),
            None => Duration::ZERO,
        }
    }

    pub(in super::super) fn set_stop(&mut self, at: Instant, estimates_until: Instant) {
        self.stop = Some(Stop {
            at,
            estimates_until,
        });
    }

    /// Whether a call that starts now ends before the process stops.
    pub(in super::super) fn can_finish(
        &self,
        class: &ClassName,
        deadline: Instant,
        now: Instant,
    ) -> bool {
        let max_duration = || self.classes.max_duration(class, now);
        self.stop
            .is_none_or(|stop| stop.allows(deadline, max_duration, now))
    }

    pub(super) fn has_room(&self, now: Instant) -> bool {
        self.in_flight() < self.limit() && self.rate.has_room(now)
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.running.len() as u32
    }

    pub(super) fn queued(&self) -> usize {
        self.queue.len() + self.suspect_queue.len()
    }

    pub(super) fn record_duration(&mut self, duration: Duration) {
        let sample = duration.as_secs_f64();
        let mean = self.duration_s.unwrap_or(sample);
        self.duration_s = Some(mean + SAMPLE_WEIGHT * (sample - mean));
    }

    fn limit(&self) -> u32 {
        match self.control {
            Control::Adaptive => self.limiter.limit(),
            Control::Ranked => self.search.limit(),
            Control::Fixed => self.slots,
            Control::Off => u32::MAX,
        }
    }

    /// The concurrency limit, or the concurrency that the rate limit allows if that is lower.
    fn usable_limit(&self) -> u32 {
        let limit = self.limit();
        let (Some(rate), Some(duration_s)) = (self.rate.limit(), self.duration_s) else {
            return limit;
        };
        let by_rate = (rate.per_second() * duration_s).ceil() as u32;
        by_rate.clamp(1, limit.max(1))
    }
}
