//! State of the gate, changed only by synchronous steps.

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
    limit::{CallEnd, Limiter},
    object::{Control, Favour},
    priority::Level,
    queue::{PushResult, QueueKey, WaitQueue},
    suspect::SuspectReport,
    upstream::Load,
};

pub(super) type Answer = Result<Permit, Refusal>;
pub(super) type Reply = oneshot::Sender<Answer>;
pub(super) type Refused = Vec<(Reply, Refusal)>;

/// Waiting calls per slot; the wait limits empty a longer queue before it is served.
const QUEUE_PER_SLOT: usize = 4;
const QUEUE_MIN: usize = 32;

/// A call that waits in the queue.
#[derive(Debug)]
pub(super) struct Waiter {
    ask: AdmissionRequest,
    since: Instant,
    reply: Reply,
}

#[derive(Debug)]
struct Running {
    class: ClassName,
    fingerprint: Fingerprint,
    since: Instant,
    suspect: bool,
}

/// Outcome of an arrival.
#[derive(Debug)]
pub(super) enum Entered {
    Admitted(u64),
    Refused(Refusal),
    Waiting(QueueKey, Instant, oneshot::Receiver<Answer>),
}

#[derive(Debug)]
pub(super) struct Core {
    favour: Favour,
    control: Control,
    rng: fastrand::Rng,
    state: GateState,
    down: bool,
    slots: u32,
    limiter: Limiter,
    meter: LevelController,
    window: QueueStats,
    pressure: bool,
    queue: WaitQueue<Waiter>,
    isolated: WaitQueue<Waiter>,
    running: BTreeMap<u64, Running>,
    next: u64,
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
        let bound = queue_bound(slots);
        Self {
            favour,
            control,
            rng,
            state: GateState::Starting,
            down: false,
            slots,
            limiter: Limiter::new(slots, now),
            meter: LevelController::new(),
            window: QueueStats::default(),
            pressure: false,
            queue: WaitQueue::new(bound),
            isolated: WaitQueue::new(bound),
            running: BTreeMap::new(),
            next: 0,
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
        self.queue.resize(queue_bound(self.slots));
        self.isolated.resize(queue_bound(self.slots));
    }

    /// Decides on an arrival; a call that was evicted for it is added to `refused`.
    pub(super) fn enter(
        &mut self,
        ask: AdmissionRequest,
        refused: &mut Refused,
        now: Instant,
    ) -> Entered {
        self.meter.arrived(ask.priority, ask.important);
        if let Some(why) = self.refuses(&ask, now) {
            return Entered::Refused(self.refusal(why, ask.priority));
        }
        let suspect = self.is_suspect(&ask, now);
        // A suspect that waits for another to end does not hold up other calls.
        if self.queue.is_empty() && self.has_room() && !(suspect && self.isolation.is_busy(now)) {
            self.window.immediate += 1;
            return Entered::Admitted(self.admit(&ask, suspect, now));
        }
        self.wait(ask, suspect, refused, now)
    }

    /// The next decision on a waiting call, if the limit has room.
    pub(super) fn next(&mut self, now: Instant) -> Option<(Reply, Result<u64, Refusal>)> {
        while self.has_room() && !self.down {
            let Some((place, waiter)) = self.pop(now) else {
                break;
            };
            self.note_wait(&waiter, now);
            let is_suspect = self.is_suspect(&waiter.ask, now);
            if is_suspect && self.isolation.is_busy(now) {
                match self.isolated.push(place, waiter) {
                    PushResult::Waiting => continue,
                    PushResult::Full(worst) | PushResult::Evicted(worst) => {
                        return Some(self.refuse(worst, RefusalReason::Evicted, now));
                    }
                }
            }
            let due = now + self.expected(&waiter.ask, now);
            let why = match &waiter.ask {
                ask if self.isolation.is_convicted(&ask.fingerprint, now) => {
                    Some(RefusalReason::Convicted)
                }
                ask if due > ask.deadline => Some(RefusalReason::Deadline),
                _ => None,
            };
            self.note_length();
            if let Some(why) = why {
                return Some(self.refuse(waiter, why, now));
            }
            self.classes.release(&waiter.ask.class);
            self.window.waited += 1;
            let id = self.admit(&waiter.ask, is_suspect, now);
            return Some((waiter.reply, Ok(id)));
        }
        self.note_length();
        None
    }

    /// Removes a waiting call; it is not there when it was decided on.
    pub(super) fn leave(&mut self, place: &QueueKey) -> Option<Waiter> {
        let waiter = self.queue.remove(place);
        let waiter = waiter.or_else(|| self.isolated.remove(place))?;
        self.classes.release(&waiter.ask.class);
        self.note_length();
        Some(waiter)
    }

    /// Ends the wait of a call whose time in the queue is over.
    pub(super) fn timed_out(
        &mut self,
        place: &QueueKey,
        ask: &AdmissionRequest,
        now: Instant,
    ) -> Refusal {
        if let Some(waiter) = self.leave(place) {
            self.note_wait(&waiter, now);
        }
        let is_late = now + self.expected(ask, now) >= ask.deadline;
        self.window.important_refused |= ask.important;
        let why = if is_late {
            RefusalReason::Deadline
        } else {
            RefusalReason::QueueTimeout
        };
        self.refusal(why, ask.priority)
    }

    pub(super) fn end(&mut self, id: u64, own: Duration, end: CallEnd, now: Instant) {
        let in_flight = self.in_flight();
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        self.classes.release(&running.class);
        self.limiter.record(own, in_flight, end, now);
        self.isolation.ended(id);
        let took = now.saturating_duration_since(running.since);
        match end {
            CallEnd::Answered => {
                self.meter.completed();
                self.classes.took(&running.class, took, now);
                self.isolation.completed(running.fingerprint, now);
            }
            CallEnd::Cancelled => self.classes.ran_at_least(&running.class, took, now),
            CallEnd::Lost => self
                .isolation
                .lost(running.fingerprint, running.suspect, now),
            CallEnd::Shed => {}
        }
    }

    /// Ends a window of 100 ms; gives the waiting calls that are refused.
    pub(super) fn tick(&mut self, now: Instant) -> Refused {
        self.window.late |= self.oldest_wait(now) > self.target();
        if self.is_ranked() {
            // Once on, pressure lasts until the queue runs empty, because the shorter wait limit
            // itself keeps the waits below the target.
            self.pressure =
                self.window.min_len > 0 && (self.pressure || self.window.is_overloaded());
            self.meter.tick(self.window);
        }
        self.window = QueueStats {
            min_len: self.queue.len(),
            max_len: self.queue.len(),
            ..QueueStats::default()
        };
        if !self.pressure {
            return Vec::new();
        }
        let target = self.target();
        let is_late = |w: &Waiter| !w.ask.important && !w.ask.begun && now >= w.since + target;
        let late = self.queue.extract_if(is_late);
        self.refuse_all(late, RefusalReason::QueueTimeout, now)
    }

    pub(super) fn load(&self) -> Load {
        Load {
            in_flight: self.in_flight(),
            limit: self.limit(),
            queued: self.queued() as u32,
        }
    }

    pub(super) fn level(&self) -> Level {
        match self.control {
            Control::Adaptive | Control::Ranked => self.meter.level(),
            Control::Fixed | Control::Off => Level::OPEN,
        }
    }

    pub(super) fn set_state(&mut self, state: GateState, now: Instant) -> Refused {
        self.state = state;
        if state != GateState::Waking {
            return Vec::new();
        }
        self.drain(RefusalReason::Waking, now)
    }

    /// Refuses all calls that wait.
    pub(super) fn refuse_queued(&mut self, now: Instant) -> Refused {
        self.drain(RefusalReason::Leaving, now)
    }

    pub(super) fn server_lost(&mut self, now: Instant) -> (Vec<Fingerprint>, Refused) {
        self.down = true;
        let running = self.running.values().map(|r| (r.fingerprint, r.suspect));
        let lost = self.isolation.crashed(running, now);
        let refused = self.drain(RefusalReason::Down, now);
        (lost, refused)
    }

    pub(super) fn server_restarted(&mut self, now: Instant) {
        self.down = false;
        self.isolation.restarted();
        self.limiter.reset(now);
    }

    pub(super) fn suspects(&self, now: Instant) -> SuspectReport {
        self.isolation.news(now)
    }

    pub(super) fn update_suspects(&mut self, news: &SuspectReport, now: Instant) {
        self.isolation.learn(news, now);
    }

    fn refuses(&self, ask: &AdmissionRequest, now: Instant) -> Option<RefusalReason> {
        match self.state {
            GateState::Starting => return Some(RefusalReason::NoConfig),
            GateState::Waking => return Some(RefusalReason::Waking),
            GateState::Leaving => return Some(RefusalReason::Leaving),
            GateState::Serving => {}
        }
        if self.control == Control::Off {
            return None;
        }
        if self.isolation.is_convicted(&ask.fingerprint, now) {
            return Some(RefusalReason::Convicted);
        }
        if self.down {
            return Some(RefusalReason::Down);
        }
        if now + self.expected(ask, now) >= ask.deadline {
            return Some(RefusalReason::Deadline);
        }
        if self.classes.is_full(&ask.class) {
            return Some(RefusalReason::ClassLimit);
        }
        // An important call is not refused by the level while one that is not important waits and
        // might still be admitted.
        let is_spared = ask.important && self.queue.worst().is_some_and(QueueKey::is_ordinary);
        let is_excluded = !is_spared && !ask.begun && !self.level().admits(ask.priority);
        is_excluded.then_some(RefusalReason::Level)
    }

    fn wait(
        &mut self,
        ask: AdmissionRequest,
        suspect: bool,
        refused: &mut Refused,
        now: Instant,
    ) -> Entered {
        self.next += 1;
        let place = match self.control {
            Control::Adaptive | Control::Ranked => {
                QueueKey::new(ask.important, ask.priority, self.next)
            }
            Control::Fixed | Control::Off => QueueKey::fifo(self.next),
        };
        let latest = ask.deadline - self.expected(&ask, now);
        let until = latest.min(now + self.longest_wait(&ask));
        let (important, priority) = (ask.important, ask.priority);
        let (reply, receiver) = oneshot::channel();
        self.classes.take(&ask.class);
        let waiter = Waiter {
            ask,
            since: now,
            reply,
        };
        let queue = if suspect {
            &mut self.isolated
        } else {
            &mut self.queue
        };
        let pushed = queue.push(place, waiter);
        self.note_length();
        match pushed {
            PushResult::Waiting => Entered::Waiting(place, until, receiver),
            PushResult::Evicted(worst) => {
                let (reply, refusal) = self.refuse_one(worst, RefusalReason::Evicted, now);
                refused.push((reply, refusal));
                Entered::Waiting(place, until, receiver)
            }
            PushResult::Full(waiter) => {
                self.classes.release(&waiter.ask.class);
                self.window.important_refused |= important;
                self.window.late = true;
                Entered::Refused(self.refusal(RefusalReason::Evicted, priority))
            }
        }
    }

    /// Takes the best waiting call; a suspect only when no other suspect runs.
    fn pop(&mut self, now: Instant) -> Option<(QueueKey, Waiter)> {
        let isolated = self
            .isolated
            .best()
            .filter(|_| !self.isolation.is_busy(now));
        match (self.queue.best(), isolated) {
            (Some(ordinary), Some(suspect)) if ordinary < suspect => self.queue.pop(),
            (_, Some(_)) => self.isolated.pop(),
            (Some(_), None) => self.queue.pop(),
            (None, None) => None,
        }
    }

    fn admit(&mut self, ask: &AdmissionRequest, suspect: bool, now: Instant) -> u64 {
        self.next += 1;
        self.classes.take(&ask.class);
        let running = Running {
            class: ask.class.clone(),
            fingerprint: ask.fingerprint,
            since: now,
            suspect,
        };
        self.running.insert(self.next, running);
        if suspect {
            self.isolation.started(self.next);
        }
        self.next
    }

    fn expected(&self, ask: &AdmissionRequest, now: Instant) -> Duration {
        match self.control {
            Control::Adaptive | Control::Ranked => self.classes.expected(&ask.class, now),
            Control::Fixed | Control::Off => Duration::ZERO,
        }
    }

    fn target(&self) -> Duration {
        Duration::from_millis(match self.favour {
            Favour::Goodput => 20,
            Favour::Recovery => 5,
        })
    }

    fn longest_wait(&self, ask: &AdmissionRequest) -> Duration {
        let whole = match self.favour {
            Favour::Goodput => ask.timeout / 2,
            Favour::Recovery => ask.timeout / 5,
        };
        if self.pressure && !ask.important && !ask.begun {
            return whole.min(self.target());
        }
        whole
    }

    /// Age of the call that has waited longest.
    fn oldest_wait(&self, now: Instant) -> Duration {
        let oldest = self.queue.iter().map(|w| w.since).min();
        oldest.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    fn note_wait(&mut self, waiter: &Waiter, now: Instant) {
        let waited = now.saturating_duration_since(waiter.since);
        self.window.late |= waited >= self.target();
    }

    fn note_length(&mut self) {
        self.window.min_len = self.window.min_len.min(self.queue.len());
        self.window.max_len = self.window.max_len.max(self.queue.len());
    }

    /// Whether the queue is ordered by priority and calls wait no longer than pressure allows.
    fn is_ranked(&self) -> bool {
        matches!(self.control, Control::Adaptive | Control::Ranked)
    }

    fn is_suspect(&self, ask: &AdmissionRequest, now: Instant) -> bool {
        self.control != Control::Off && self.isolation.is_suspect(&ask.fingerprint, now)
    }

    fn has_room(&self) -> bool {
        self.in_flight() < self.limit()
    }

    fn in_flight(&self) -> u32 {
        self.running.len() as u32
    }

    fn queued(&self) -> usize {
        self.queue.len() + self.isolated.len()
    }

    fn limit(&self) -> u32 {
        match self.control {
            Control::Adaptive => self.limiter.limit(),
            Control::Ranked | Control::Fixed => self.slots,
            Control::Off => u32::MAX,
        }
    }
}

fn queue_bound(slots: u32) -> usize {
    (slots as usize * QUEUE_PER_SLOT).max(QUEUE_MIN)
}

#[cfg(test)]
mod hooks;
mod refuse;
