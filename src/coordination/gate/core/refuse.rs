//! Refusals of calls that arrive or wait.

use tokio::time::Instant;

use super::{
    super::{Refusal, RefusalReason},
    Core, Refused, Reply, Waiter,
};
use crate::state::priority::Priority;

impl Core {
    pub(super) fn refusal(&mut self, why: RefusalReason, priority: Priority) -> Refusal {
        let base = self.meter.retry_after(priority);
        Refusal {
            why,
            retry_after: base.mul_f64(0.5 + self.rng.f64()),
        }
    }

    pub(super) fn refuse_one(
        &mut self,
        waiter: Waiter,
        why: RefusalReason,
        now: Instant,
    ) -> (Reply, Refusal) {
        #[cfg(test)]
        self.evictions.insert(waiter.ask.fingerprint, self.next);
        self.note_wait(&waiter, now);
        self.classes.release(&waiter.ask.class);
        let is_overload = matches!(
            why,
            RefusalReason::Evicted | RefusalReason::QueueTimeout | RefusalReason::Deadline
        );
        self.window.important_refused |= is_overload && waiter.ask.important;
        (waiter.reply, self.refusal(why, waiter.ask.priority))
    }

    pub(super) fn refuse(
        &mut self,
        waiter: Waiter,
        why: RefusalReason,
        now: Instant,
    ) -> (Reply, Result<u64, Refusal>) {
        let (reply, refusal) = self.refuse_one(waiter, why, now);
        (reply, Err(refusal))
    }

    pub(super) fn refuse_all(
        &mut self,
        waiting: Vec<Waiter>,
        why: RefusalReason,
        now: Instant,
    ) -> Refused {
        let refused = waiting.into_iter().map(|w| self.refuse_one(w, why, now));
        refused.collect()
    }

    pub(super) fn drain(&mut self, why: RefusalReason, now: Instant) -> Refused {
        let mut waiting = self.queue.extract_if(|_| true);
        waiting.extend(self.isolated.extract_if(|_| true));
        self.refuse_all(waiting, why, now)
    }
}
