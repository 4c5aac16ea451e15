//! What tests set and read in the gate's state.

use super::*;
use crate::state::object::Limit;

impl Core {
    pub(in super::super) fn counter(&self) -> u64 {
        self.next
    }

    /// The counter when a call was evicted, or now for any other call.
    pub(in super::super) fn evicted_at(&self, request: &Fingerprint) -> u64 {
        self.evictions.get(request).copied().unwrap_or(self.next)
    }

    pub(in super::super) fn warm_up(&mut self) {
        self.limiter.warm_up();
    }

    pub(in super::super) fn set_level(&mut self, level: Level) {
        self.meter.set_level(level);
    }

    pub(in super::super) fn set_limits(&mut self, limits: &[Limit]) {
        self.classes.apply(limits);
    }
}
