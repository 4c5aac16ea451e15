//! State of the gate. All methods are synchronous; `Gate` awaits the decisions on queued calls.

use std::{collections::BTreeMap, time::Duration};

use tokio::{sync::oneshot, time::Instant};

use super::{
    AdmissionRequest, GateState, Permit, Refusal, RefusalReason, classes::Classes,
    isolation::Isolation,
};
use crate::state::{
    config::Config,
    id::{ClassName, Fingerprint, UpstreamName},
    level::{LevelController, QueueStats},
    limit::{CallEnd, Limiter, search::LimitSearch},
    object::{Control, Favour},
    queue::{PushResult, QueueKey, WaitQueue},
    rate::RateLimiter,
    suspect::SuspectReport,
};

pub(super) type AdmissionResult = Result<Permit, Refusal>;
pub(super) type Reply = oneshot::Sender<AdmissionResult>;
pub(super) type Refusals = Vec<(Reply, Refusal)>;

/// Maximum queue length per slot; calls further back would time out before they are served.
const QUEUE_LEN_PER_SLOT: usize = 4;
const QUEUE_LEN_MIN: usize = 32;

/// A call in one of the queues.
#[derive(Debug)]
pub(super) struct QueuedCall {
    request: AdmissionRequest,
    queued_at: Instant,
    reply: Reply,
}

#[derive(Debug)]
struct RunningCall {
    class: ClassName,
    fingerprint: Fingerprint,
    started_at: Instant,
    suspect: bool,
}

/// Outcome of [`Core::handle_arrival`].
#[derive(Debug)]
pub(super) enum ArrivalOutcome {
    Admitted(u64),
    Refused(Refusal),
    Queued(QueueKey, Instant, oneshot::Receiver<AdmissionResult>),
}

#[derive(Debug)]
pub(super) struct Core {
    favour: Favour,
    control: Control,
    rng: fastrand::Rng,
    state: GateState,
    /// Set once the process is to stop.
    stop: Option<limits::Stop>,
    down: bool,
    slots: u32,
    limiter: Limiter,
    search: LimitSearch,
    /// Whether the machine of the server was slower than usual in the current window.
    was_slow: bool,
    rate: RateLimiter,
    /// Smoothed duration of the calls, in seconds, once one has been answered.
    duration_s: Option<f64>,
    controller: LevelController,
    window: QueueStats,
    overloaded: bool,
    queue: WaitQueue<QueuedCall>,
    suspect_queue: WaitQueue<QueuedCall>,
    running: BTreeMap<u64, RunningCall>,
    last_id: u64,
    classes: Classes,
    isolation: Isolation,
    #[cfg(test)]
    evictions: BTreeMap<Fingerprint, u64>,
}

impl Core {
    pub(super) fn new(
        slots: u32,
        favour: Favour,
        control: Control,
        rng: fastrand::Rng,
        now: Instant,
    ) -> Self {
        let capacity = queue_capacity(slots);
        Self {
            favour,
            control,
            rng,
            state: GateState::Starting,
            stop: None,
            down: false,
            slots,
            limiter: Limiter::new(slots, now),
            search: LimitSearch::new(slots),
            was_slow: false,
            rate: RateLimiter::default(),
            duration_s: None,
            controller: LevelController::new(),
            window: QueueStats::default(),
            overloaded: false,
            queue: WaitQueue::new(capacity),
            suspect_queue: WaitQueue::new(capacity),
            running: BTreeMap::new(),
            last_id: 0,
            classes: Classes::default(),
            isolation: Isolation::default(),
            #[cfg(test)]
            evictions: BTreeMap::new(),
        }
    }

    pub(super) fn apply(&mut self, own: &UpstreamName, config: &Config) {
        self.favour = config.deployment.favour;
        self.control = config.deployment.control;
        let Some(upstream) = config.upstream(own) else {
            return;
        };
        self.resize(upstream.slots);
        if let Some(piece) = config.pieces.get(&upstream.service) {
            self.classes.apply(&piece.limits);
        }
    }

    pub(super) fn resize(&mut self, slots: u32) {
        if slots == self.slots {
            return;
        }
        self.slots = slots;
        self.limiter.resize(self.slots);
        self.search.resize(self.slots);
        self.queue.resize(queue_capacity(self.slots));
        self.suspect_queue.resize(queue_capacity(self.slots));
    }

    /// Admits, queues or refuses a new call; a queued call evicted for it is added to `refused`.
    pub(super) fn handle_arrival(
        &mut self,
        request: AdmissionRequest,
        refused: &mut Refusals,
        now: Instant,
    ) -> ArrivalOutcome {
        self.controller
            .record_arrival(request.priority, request.important);
        if let Some(why) = self.refusal_reason(&request, now) {
            return ArrivalOutcome::Refused(self.refusal(why, request.priority));
        }
        let suspect = self.is_suspect(&request, now);
        // A suspect that must wait for another suspect does not delay other calls.
        if self.queue.is_empty() && self.has_room(now) && !(suspect && self.isolation.is_busy(now))
        {
            self.window.immediate += 1;
            return ArrivalOutcome::Admitted(self.admit(&request, suspect, now));
        }
        self.enqueue(request, suspect, refused, now)
    }

    /// Decides on the next queued call; `None` if the limit has no room or no call can be decided.
    pub(super) fn next_decision(&mut self, now: Instant) -> Option<(Reply, Result<u64, Refusal>)> {
        while self.has_room(now) && !self.down {
            let Some((key, call)) = self.pop(now) else {
                break;
            };
            self.record_wait(&call, now);
            let is_suspect = self.is_suspect(&call.request, now);
            if is_suspect && self.isolation.is_busy(now) {
                match self.suspect_queue.push(key, call) {
                    PushResult::Waiting => continue,
                    PushResult::Full(worst) | PushResult::Evicted(worst) => {
                        return Some(self.refuse(worst, RefusalReason::Evicted, now));
                    }
                }
            }
            let due = now + self.expected_duration(&call.request, now);
            let why = match &call.request {
                request if self.isolation.is_convicted(&request.fingerprint, now) => {
                    Some(RefusalReason::Convicted)
                }
                request if due > request.deadline => Some(RefusalReason::Deadline),
                request if !self.can_finish(&request.class, request.deadline, now) => {
                    Some(RefusalReason::Stopping)
                }
                _ => None,
            };
            self.record_length();
            if let Some(why) = why {
                return Some(self.refuse(call, why, now));
            }
            self.classes.release(&call.request.class);
            self.window.waited += 1;
            let id = self.admit(&call.request, is_suspect, now);
            return Some((call.reply, Ok(id)));
        }
        self.record_length();
        None
    }

    /// Removes a call from its queue; returns `None` if it has already been admitted or refused.
    pub(super) fn remove_queued(&mut self, key: &QueueKey) -> Option<QueuedCall> {
        let call = self.queue.remove(key);
        let call = call.or_else(|| self.suspect_queue.remove(key))?;
        self.classes.release(&call.request.class);
        self.record_length();
        Some(call)
    }

    /// Refuses a call that has reached its maximum wait in the queue.
    pub(super) fn refuse_timed_out(
        &mut self,
        key: &QueueKey,
        request: &AdmissionRequest,
        now: Instant,
    ) -> Refusal {
        if let Some(call) = self.remove_queued(key) {
            self.record_wait(&call, now);
        }
        let is_late = now + self.expected_duration(request, now) >= request.deadline;
        self.window.important_refused |= request.important;
        let why = if is_late {
            RefusalReason::Deadline
        } else {
            RefusalReason::QueueTimeout
        };
        self.refusal(why, request.priority)
    }

    pub(super) fn record_end(&mut self, id: u64, own_time: Duration, end: CallEnd, now: Instant) {
        let in_flight = self.in_flight();
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        self.classes.release(&running.class);
        self.limiter.record(own_time, in_flight, end, now);
        self.isolation.record_end(id);
        let duration = now.saturating_duration_since(running.started_at);
        self.classes
            .record_longest(&running.class, duration, end, now);
        match end {
            CallEnd::Answered => {
                self.controller.record_completion();
                self.record_duration(duration);
                self.search.record(&running.class, duration);
                self.classes.record_duration(&running.class, duration, now);
                self.isolation.record_completion(running.fingerprint, now);
            }
            CallEnd::Cancelled => self.classes.record_minimum(&running.class, duration, now),
            CallEnd::Lost => self
                .isolation
                .record_loss(running.fingerprint, running.suspect, now),
            CallEnd::Shed => {}
        }
    }

    /// Records that the machine of the server is slower than usual.
    pub(super) fn record_slow_machine(&mut self) {
        self.was_slow = true;
    }

    /// Closes the current window of 100 ms and returns the queued calls to refuse.
    pub(super) fn tick(&mut self, now: Instant) -> Refusals {
        self.window.late |= self.oldest_wait(now) > self.target_wait();
        let is_saturated = self.window.min_len > 0 && self.rate.limit().is_none();
        match std::mem::take(&mut self.was_slow) {
            true => self.search.skip_window(),
            false => self.search.end_window(is_saturated),
        }
        if self.uses_priority() {
            // The state lasts until the queue has been empty: the shorter maximum wait in overload
            // brings waits below the target and would end it too early.
            self.overloaded =
                self.window.min_len > 0 && (self.overloaded || self.window.is_overloaded());
            self.controller.tick(self.window);
        }
        self.window = QueueStats {
            min_len: self.queue.len(),
            max_len: self.queue.len(),
            ..QueueStats::default()
        };
        let mut refused = self.refuse_unfinishable(now);
        if !self.overloaded {
            return refused;
        }
        let target = self.target_wait();
        let is_late = |c: &QueuedCall| {
            !c.request.important && !c.request.begun && now >= c.queued_at + target
        };
        let late = self.queue.extract_if(is_late);
        refused.extend(self.refuse_calls(late, RefusalReason::QueueTimeout, now));
        refused
    }

    pub(super) fn set_state(&mut self, state: GateState, now: Instant) -> Refusals {
        self.state = state;
        if state != GateState::Waking {
            return Vec::new();
        }
        self.refuse_all_queued(RefusalReason::Waking, now)
    }

    /// Refuses all queued calls with [`RefusalReason::Leaving`].
    pub(super) fn refuse_queued(&mut self, now: Instant) -> Refusals {
        self.refuse_all_queued(RefusalReason::Leaving, now)
    }

    pub(super) fn server_lost(&mut self, now: Instant) -> (Vec<Fingerprint>, Refusals) {
        self.down = true;
        let running = self.running.values().map(|r| (r.fingerprint, r.suspect));
        let lost = self.isolation.record_crash(running, now);
        let refused = self.refuse_all_queued(RefusalReason::Down, now);
        (lost, refused)
    }

    pub(super) fn server_restarted(&mut self, now: Instant) {
        self.down = false;
        self.isolation.record_restart();
        self.limiter.reset(now);
        self.search.resize(self.slots);
    }

    pub(super) fn suspects(&self, now: Instant) -> SuspectReport {
        self.isolation.report(now)
    }

    pub(super) fn update_suspects(&mut self, report: &SuspectReport, now: Instant) {
        self.isolation.update(report, now);
    }

    pub(super) fn merge_suspects(&mut self, report: &SuspectReport, now: Instant) -> bool {
        self.isolation.merge(report, now)
    }

    fn refusal_reason(&self, request: &AdmissionRequest, now: Instant) -> Option<RefusalReason> {
        match self.state {
            GateState::Starting => return Some(RefusalReason::NoConfig),
            GateState::Waking => return Some(RefusalReason::Waking),
            GateState::Leaving => return Some(RefusalReason::Leaving),
            GateState::Serving => {}
        }
        if self.control == Control::Off {
            return None;
        }
        if self.isolation.is_convicted(&request.fingerprint, now) {
            return Some(RefusalReason::Convicted);
        }
        if self.down {
            return Some(RefusalReason::Down);
        }
        if now + self.expected_duration(request, now) >= request.deadline {
            return Some(RefusalReason::Deadline);
        }
        if !self.can_finish(&request.class, request.deadline, now) {
            return Some(RefusalReason::Stopping);
        }
        if self.classes.is_full(&request.class) {
            return Some(RefusalReason::ClassLimit);
        }
        // The level must not refuse an important call while an ordinary one may still be admitted.
        let is_exempt = request.important && self.queue.worst().is_some_and(QueueKey::is_ordinary);
        let is_excluded = !is_exempt && !request.begun && !self.level().admits(request.priority);
        is_excluded.then_some(RefusalReason::Level)
    }

    fn enqueue(
        &mut self,
        request: AdmissionRequest,
        suspect: bool,
        refused: &mut Refusals,
        now: Instant,
    ) -> ArrivalOutcome {
        self.last_id += 1;
        let key = match self.control {
            Control::Adaptive | Control::Ranked => {
                QueueKey::new(request.important, request.priority, self.last_id)
            }
            Control::Fixed | Control::Off => QueueKey::fifo(self.last_id),
        };
        let latest_start = request.deadline - self.expected_duration(&request, now);
        let wait_until = latest_start.min(now + self.max_wait(&request));
        let (important, priority) = (request.important, request.priority);
        if now + self.rate_wait(&key, now) > wait_until {
            self.window.important_refused |= important;
            self.window.late = true;
            return ArrivalOutcome::Refused(self.refusal(RefusalReason::RateLimit, priority));
        }
        let (reply, receiver) = oneshot::channel();
        self.classes.acquire(&request.class);
        let call = QueuedCall {
            request,
            queued_at: now,
            reply,
        };
        let queue = if suspect {
            &mut self.suspect_queue
        } else {
            &mut self.queue
        };
        let result = queue.push(key, call);
        self.record_length();
        match result {
            PushResult::Waiting => ArrivalOutcome::Queued(key, wait_until, receiver),
            PushResult::Evicted(worst) => {
                let (reply, refusal) = self.refuse_call(worst, RefusalReason::Evicted, now);
                refused.push((reply, refusal));
                ArrivalOutcome::Queued(key, wait_until, receiver)
            }
            PushResult::Full(call) => {
                self.classes.release(&call.request.class);
                self.window.important_refused |= important;
                self.window.late = true;
                ArrivalOutcome::Refused(self.refusal(RefusalReason::Evicted, priority))
            }
        }
    }

    /// Removes the highest-ranked queued call; skips suspects while another one is unresolved.
    fn pop(&mut self, now: Instant) -> Option<(QueueKey, QueuedCall)> {
        let best_suspect = self
            .suspect_queue
            .best()
            .filter(|_| !self.isolation.is_busy(now));
        match (self.queue.best(), best_suspect) {
            (Some(ordinary), Some(suspect)) if ordinary < suspect => self.queue.pop(),
            (_, Some(_)) => self.suspect_queue.pop(),
            (Some(_), None) => self.queue.pop(),
            (None, None) => None,
        }
    }

    fn admit(&mut self, request: &AdmissionRequest, suspect: bool, now: Instant) -> u64 {
        self.last_id += 1;
        self.rate.try_take(now);
        self.classes.acquire(&request.class);
        let running = RunningCall {
            class: request.class.clone(),
            fingerprint: request.fingerprint,
            started_at: now,
            suspect,
        };
        self.running.insert(self.last_id, running);
        if suspect {
            self.isolation.record_start(self.last_id);
        }
        self.last_id
    }

    fn expected_duration(&self, request: &AdmissionRequest, now: Instant) -> Duration {
        match self.control {
            Control::Adaptive | Control::Ranked => {
                self.classes.expected_duration(&request.class, now)
            }
            Control::Fixed | Control::Off => Duration::ZERO,
        }
    }

    fn target_wait(&self) -> Duration {
        Duration::from_millis(match self.favour {
            Favour::Goodput => 20,
            Favour::Recovery => 5,
        })
    }

    fn max_wait(&self, request: &AdmissionRequest) -> Duration {
        let limit = match self.favour {
            Favour::Goodput => request.timeout / 2,
            Favour::Recovery => request.timeout / 5,
        };
        if self.overloaded && !request.important && !request.begun {
            return limit.min(self.target_wait());
        }
        limit
    }

    /// Longest time that any call in the ordinary queue has waited so far.
    fn oldest_wait(&self, now: Instant) -> Duration {
        let oldest = self.queue.iter().map(|c| c.queued_at).min();
        oldest.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    fn record_wait(&mut self, call: &QueuedCall, now: Instant) {
        let waited = now.saturating_duration_since(call.queued_at);
        self.window.late |= waited >= self.target_wait();
    }

    fn record_length(&mut self) {
        self.window.min_len = self.window.min_len.min(self.queue.len());
        self.window.max_len = self.window.max_len.max(self.queue.len());
    }

    /// Whether the queue is ordered by priority and the maximum wait is shorter in overload.
    fn uses_priority(&self) -> bool {
        matches!(self.control, Control::Adaptive | Control::Ranked)
    }

    fn is_suspect(&self, request: &AdmissionRequest, now: Instant) -> bool {
        self.control != Control::Off && self.isolation.is_suspect(&request.fingerprint, now)
    }
}

fn queue_capacity(slots: u32) -> usize {
    (slots as usize * QUEUE_LEN_PER_SLOT).max(QUEUE_LEN_MIN)
}

#[cfg(test)]
mod hooks;
mod limits;
mod refuse;
