//! State of the gate, changed only by synchronous steps.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use tokio::{sync::oneshot, time::Instant};

use super::{Ask, GateState, Permit, Refusal, Why};
use crate::state::{
    config::Config,
    id::{ClassName, Fingerprint, UpstreamName},
    level::LevelMeter,
    limit::{End, Limiter},
    object::{Control, Favour},
    priority::Level,
    queue::{Place, Pushed, WaitQueue},
    suspect::{Standing, SuspectNews, SuspectTable},
    upstream::Load,
};

pub(super) type Reply = oneshot::Sender<Result<Permit, Refusal>>;

/// Waiting calls per slot; the wait limits empty a longer queue before it is served.
const QUEUE_PER_SLOT: usize = 4;
const QUEUE_MIN: usize = 32;
const RETRY_AFTER_MS: u64 = 500;
/// Calls lost within this time before a crash is noticed count as in flight during it.
const LOST_WINDOW: Duration = Duration::from_secs(1);
const LOST_MAX: usize = 1_024;

#[derive(Debug)]
struct Waiter {
    ask: Ask,
    since: Instant,
    reply: Reply,
}

#[derive(Debug)]
struct Running {
    class: ClassName,
    fingerprint: Fingerprint,
    suspect: bool,
}

/// Outcome of an arrival.
pub(super) enum Entered {
    Admitted(u64),
    Refused(Refusal),
    Waiting(Place, Instant),
    Evicted(Place, Instant, Reply, Refusal),
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
    meter: LevelMeter,
    queue: WaitQueue<Waiter>,
    isolated: WaitQueue<Waiter>,
    running: BTreeMap<u64, Running>,
    next: u64,
    classes: BTreeMap<ClassName, u32>,
    limits: BTreeMap<ClassName, u32>,
    table: SuspectTable,
    lost: VecDeque<(Instant, Running)>,
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
            meter: LevelMeter::new(),
            queue: WaitQueue::new(bound),
            isolated: WaitQueue::new(bound),
            running: BTreeMap::new(),
            next: 0,
            classes: BTreeMap::new(),
            limits: BTreeMap::new(),
            table: SuspectTable::new(),
            lost: VecDeque::new(),
        }
    }

    pub(super) fn apply(&mut self, own: &UpstreamName, config: &Config, now: Instant) {
        self.favour = config.deployment.favour;
        self.control = config.deployment.control;
        let Some(upstream) = config.upstream(own) else {
            return;
        };
        if upstream.slots != self.slots {
            self.slots = upstream.slots;
            self.limiter = Limiter::new(self.slots, now);
            self.queue.resize(queue_bound(self.slots));
            self.isolated.resize(queue_bound(self.slots));
        }
        let piece = config.pieces.get(&upstream.service);
        let limits = piece.into_iter().flat_map(|p| &p.limits);
        self.limits = limits.map(|l| (l.class.clone(), l.in_flight)).collect();
    }

    pub(super) fn enter(&mut self, ask: Ask, reply: Reply, now: Instant) -> Entered {
        if self.control == Control::Off {
            return Entered::Admitted(self.admit(&ask, false));
        }
        self.meter.arrived(ask.priority);
        if let Some(why) = self.refuses(&ask, now) {
            return Entered::Refused(self.refusal(why));
        }
        let suspect = self.is_suspect(&ask.fingerprint, now);
        let idle = self.queue.is_empty() && self.isolated.is_empty();
        if idle && self.has_room() && !(suspect && self.is_isolating()) {
            return Entered::Admitted(self.admit(&ask, suspect));
        }
        self.next += 1;
        let place = match self.control {
            Control::Adaptive => Place::new(ask.important, ask.priority, self.next),
            Control::Fixed | Control::Off => Place::arrival(self.next),
        };
        let until = ask.deadline.min(now + self.wait(&ask));
        let class = ask.class.clone();
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
        if !matches!(pushed, Pushed::Full(_)) {
            *self.classes.entry(class).or_default() += 1;
        }
        match pushed {
            Pushed::Waiting => Entered::Waiting(place, until),
            Pushed::Full(_) => Entered::Refused(self.refusal(Why::Evicted)),
            Pushed::Evicted(worst) => {
                self.release(&worst.ask.class);
                let refusal = self.refusal(Why::Evicted);
                Entered::Evicted(place, until, worst.reply, refusal)
            }
        }
    }

    /// The next decision on a waiting call, if the limit has room.
    pub(super) fn next(&mut self, now: Instant) -> Option<(Reply, Result<u64, Refusal>)> {
        while self.has_room() && !self.down {
            let isolated = self.isolated.best().filter(|_| !self.is_isolating());
            let (place, waiter) = match (self.queue.best(), isolated) {
                (None, None) => return None,
                (Some(a), Some(b)) if a < b => self.queue.pop()?,
                (Some(_), None) => self.queue.pop()?,
                (_, Some(_)) => self.isolated.pop()?,
            };
            let standing = self.table.standing(&waiter.ask.fingerprint, now);
            let suspect = standing == Some(Standing::Suspect);
            if standing == Some(Standing::Convicted) {
                self.release(&waiter.ask.class);
                return Some((waiter.reply, Err(self.refusal(Why::Convicted))));
            }
            if suspect && self.is_isolating() {
                if let Pushed::Full(waiter) | Pushed::Evicted(waiter) =
                    self.isolated.push(place, waiter)
                {
                    self.release(&waiter.ask.class);
                    return Some((waiter.reply, Err(self.refusal(Why::Evicted))));
                }
                continue;
            }
            self.release(&waiter.ask.class);
            let id = self.admit(&waiter.ask, suspect);
            return Some((waiter.reply, Ok(id)));
        }
        None
    }

    pub(super) fn leave(&mut self, place: &Place) {
        let waiter = self
            .queue
            .remove(place)
            .or_else(|| self.isolated.remove(place));
        if let Some(waiter) = waiter {
            self.release(&waiter.ask.class);
        }
    }

    pub(super) fn timed_out(&mut self, place: &Place, _now: Instant) -> Refusal {
        self.leave(place);
        self.refusal(Why::Waited)
    }

    pub(super) fn end(&mut self, id: u64, own: Duration, end: End, now: Instant) {
        let in_flight = self.in_flight();
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        self.release(&running.class);
        self.limiter.record(own, in_flight, end, now);
        if end == End::Answered {
            self.meter.completed();
            self.table.clear(&running.fingerprint, now);
        }
        if end == End::Lost {
            if self.lost.len() == LOST_MAX {
                self.lost.pop_front();
            }
            self.lost.push_back((now, running));
        }
    }

    pub(super) fn tick(&mut self, now: Instant) -> Vec<(Reply, Refusal)> {
        let late = |w: &Waiter| now >= w.ask.deadline.min(w.since + w.ask.span);
        let gone = self.queue.extract(late);
        self.refuse_all(gone, Why::Waited)
    }

    pub(super) fn load(&self) -> Load {
        Load {
            in_flight: self.in_flight(),
            limit: self.limit(),
            queued: (self.queue.len() + self.isolated.len()) as u32,
        }
    }

    pub(super) fn level(&self) -> Level {
        self.meter.level()
    }

    pub(super) fn set_state(&mut self, state: GateState, _now: Instant) -> Vec<(Reply, Refusal)> {
        self.state = state;
        if state != GateState::Waking {
            return Vec::new();
        }
        let waiting = self.drain();
        self.refuse_all(waiting, Why::Waking)
    }

    pub(super) fn server_lost(
        &mut self,
        now: Instant,
    ) -> (Vec<Fingerprint>, Vec<(Reply, Refusal)>) {
        self.down = true;
        let recent = self
            .lost
            .drain(..)
            .filter(|(at, _)| now < *at + LOST_WINDOW);
        let lost: Vec<_> = recent.map(|(_, r)| (r.fingerprint, r.suspect)).collect();
        let running = self.running.values().map(|r| (r.fingerprint, r.suspect));
        let lost: Vec<_> = running.chain(lost).collect();
        for (fingerprint, suspect) in &lost {
            match suspect {
                true => self.table.convict(*fingerprint, now),
                false => self.table.suspect(*fingerprint, now),
            }
        }
        let waiting = self.drain();
        let refused = self.refuse_all(waiting, Why::Down);
        (lost.into_iter().map(|(f, _)| f).collect(), refused)
    }

    pub(super) fn server_restarted(&mut self, now: Instant) {
        self.down = false;
        self.limiter.restarted(now);
    }

    pub(super) fn suspects(&self, now: Instant) -> SuspectNews {
        self.table.news(now)
    }

    pub(super) fn learn_suspects(&mut self, news: &SuspectNews, now: Instant) {
        self.table.learn(news, now);
    }

    fn refuses(&self, ask: &Ask, now: Instant) -> Option<Why> {
        match self.state {
            GateState::Starting => return Some(Why::NoConfig),
            GateState::Waking => return Some(Why::Waking),
            GateState::Leaving => return Some(Why::Leaving),
            GateState::Serving => {}
        }
        if self.table.standing(&ask.fingerprint, now) == Some(Standing::Convicted) {
            return Some(Why::Convicted);
        }
        if self.down {
            return Some(Why::Down);
        }
        if now >= ask.deadline {
            return Some(Why::Deadline);
        }
        let used = self.classes.get(&ask.class).copied().unwrap_or_default();
        if self
            .limits
            .get(&ask.class)
            .is_some_and(|most| used >= *most)
        {
            return Some(Why::ClassLimit);
        }
        let excluded = self.control == Control::Adaptive && !self.level().admits(ask.priority);
        excluded.then_some(Why::Level)
    }

    fn refusal(&mut self, why: Why) -> Refusal {
        let base = Duration::from_millis(RETRY_AFTER_MS);
        Refusal {
            why,
            retry_after: base.mul_f64(0.5 + self.rng.f64()),
        }
    }

    fn refuse_all(&mut self, waiting: Vec<Waiter>, why: Why) -> Vec<(Reply, Refusal)> {
        let refuse = |waiter: Waiter| {
            self.release(&waiter.ask.class);
            (waiter.reply, self.refusal(why))
        };
        waiting.into_iter().map(refuse).collect()
    }

    fn drain(&mut self) -> Vec<Waiter> {
        let mut all = self.queue.extract(|_| true);
        all.extend(self.isolated.extract(|_| true));
        all
    }

    fn admit(&mut self, ask: &Ask, suspect: bool) -> u64 {
        self.next += 1;
        *self.classes.entry(ask.class.clone()).or_default() += 1;
        let running = Running {
            class: ask.class.clone(),
            fingerprint: ask.fingerprint,
            suspect,
        };
        self.running.insert(self.next, running);
        self.next
    }

    fn release(&mut self, class: &ClassName) {
        if let Some(used) = self.classes.get_mut(class) {
            *used -= 1;
            if *used == 0 {
                self.classes.remove(class);
            }
        }
    }

    fn wait(&self, ask: &Ask) -> Duration {
        match self.favour {
            Favour::Goodput => ask.span / 2,
            Favour::Recovery => ask.span / 5,
        }
    }

    fn is_suspect(&self, fingerprint: &Fingerprint, now: Instant) -> bool {
        self.table.standing(fingerprint, now) == Some(Standing::Suspect)
    }

    fn is_isolating(&self) -> bool {
        self.running.values().any(|r| r.suspect)
    }

    fn has_room(&self) -> bool {
        self.in_flight() < self.limit()
    }

    fn in_flight(&self) -> u32 {
        self.running.len() as u32
    }

    fn limit(&self) -> u32 {
        match self.control {
            Control::Adaptive => self.limiter.limit(),
            Control::Fixed => self.slots,
            Control::Off => u32::MAX,
        }
    }
}

fn queue_bound(slots: u32) -> usize {
    (slots as usize * QUEUE_PER_SLOT).max(QUEUE_MIN)
}
