//! Refusal of new and queued calls.

use tokio::time::Instant;

use super::{
    super::{AdmissionRequest, Refusal, RefusalReason},
    Core, QueuedCall, Refusals, Reply,
};
use crate::state::priority::Priority;

impl Core {
    pub(super) fn refusal(&mut self, why: RefusalReason, priority: Priority) -> Refusal {
        let base = self.controller.retry_after(priority);
        Refusal {
            why,
            retry_after: base.mul_f64(0.5 + self.rng.f64()),
        }
    }

    pub(super) fn refuse_call(
        &mut self,
        call: QueuedCall,
        why: RefusalReason,
        now: Instant,
    ) -> (Reply, Refusal) {
        #[cfg(test)]
        self.evictions
            .insert(call.request.fingerprint, self.last_id);
        self.record_wait(&call, now);
        self.classes.release(&call.request.class);
        let is_overload = matches!(
            why,
            RefusalReason::Evicted | RefusalReason::QueueTimeout | RefusalReason::Deadline
        );
        self.window.important_refused |= is_overload && call.request.important;
        (call.reply, self.refusal(why, call.request.priority))
    }

    pub(super) fn refuse(
        &mut self,
        call: QueuedCall,
        why: RefusalReason,
        now: Instant,
    ) -> (Reply, Result<u64, Refusal>) {
        let (reply, refusal) = self.refuse_call(call, why, now);
        (reply, Err(refusal))
    }

    pub(super) fn refuse_calls(
        &mut self,
        calls: Vec<QueuedCall>,
        why: RefusalReason,
        now: Instant,
    ) -> Refusals {
        let refused = calls.into_iter().map(|c| self.refuse_call(c, why, now));
        refused.collect()
    }

    /// Refuses the queued calls that can't end any more before the process stops.
    pub(super) fn refuse_unfinishable(&mut self, now: Instant) -> Refusals {
        let Some(stop) = self.stop else {
            return Vec::new();
        };
        let classes = &self.classes;
        let is_late = |c: &QueuedCall| {
            let AdmissionRequest {
                class, deadline, ..
            } = &c.request;
            !stop.allows(*deadline, || classes.max_duration(class, now), now)
        };
        let mut late = self.queue.extract_if(is_late);
        late.extend(self.suspect_queue.extract_if(is_late));
        self.refuse_calls(late, RefusalReason::Stopping, now)
    }

    pub(super) fn refuse_all_queued(&mut self, why: RefusalReason, now: Instant) -> Refusals {
        let mut calls = self.queue.extract_if(|_| true);
        calls.extend(self.suspect_queue.extract_if(|_| true));
        self.refuse_calls(calls, why, now)
    }
}
