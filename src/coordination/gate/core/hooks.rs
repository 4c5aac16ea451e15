//! Access to the gate's state for tests.

use super::*;
use crate::state::{object::Limit, priority::Level};

impl Core {
    pub(in super::super) fn counter(&self) -> u64 {
        self.last_id
    }

    /// Value of the counter when a queued call was refused; the current value for any other call.
    pub(in super::super) fn evicted_at(&self, request: &Fingerprint) -> u64 {
        self.evictions.get(request).copied().unwrap_or(self.last_id)
    }

    pub(in super::super) fn warm_up(&mut self) {
        self.limiter.warm_up();
    }

    pub(in super::super) fn set_level(&mut self, level: Level) {
        self.controller.set_level(level);
    }

    pub(in super::super) fn set_limits(&mut self, limits: &[Limit]) {
        self.classes.apply(limits);
    }
}
