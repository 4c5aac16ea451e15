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

    pub(in super::super) fn set_stop(&mut self, stop_at: Instant) {
        self.stop_at = Some(stop_at);
    }

    /// Whether a call that starts now ends before the process stops: it reaches its deadline before
    /// that, or calls of its class are known to end in time.
    pub(in super::super) fn can_finish(
        &self,
        class: &ClassName,
        deadline: Instant,
        now: Instant,
    ) -> bool {
        let Some(stop_at) = self.stop_at.filter(|at| deadline > *at) else {
            return true;
        };
        let max = self.classes.max_duration(class, now);
        max.is_some_and(|max| now + max <= stop_at)
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
