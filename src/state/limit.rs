//! Learned concurrency limit of one backend server.

use std::time::Duration;

use tokio::time::Instant;

/// How a call at the backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// With an answer.
    Answered,
    /// Refused by the server's own load shedding.
    Shed,
    /// The connection was lost.
    Lost,
    /// Cancelled by the caller or the deadline.
    Cancelled,
}

/// Part of the slots that a cold server starts with.
const COLD_DIVISOR: u32 = 10;

/// Cap on calls in flight at one backend server, between a floor and its published slots.
#[derive(Debug)]
pub struct Limiter {
    slots: u32,
    limit: u32,
    answers: u32,
}

impl Limiter {
    /// The limiter of a cold server with this many slots.
    pub fn new(slots: u32, _now: Instant) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            limit: slots.div_ceil(COLD_DIVISOR),
            answers: 0,
        }
    }

    /// Calls that may be in flight now.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Records the end of a call that spent `own` in the server itself.
    pub fn record(&mut self, _own: Duration, _in_flight: u32, end: End, _now: Instant) {
        match end {
            End::Answered => self.answers += 1,
            End::Shed => {
                self.limit = (self.limit - self.limit.div_ceil(10)).max(1);
                self.answers = 0;
            }
            End::Lost | End::Cancelled => {}
        }
        if self.answers >= self.limit {
            self.answers = 0;
            self.limit = (self.limit * 2).min(self.slots);
        }
    }

    /// Starts over after the server restarted.
    pub fn restarted(&mut self, now: Instant) {
        *self = Self::new(self.slots, now);
    }
}
