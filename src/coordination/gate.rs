//! Admission of calls to the node's own backend server.

mod classes;
mod core;
mod isolation;
mod proven;

use std::{cell::RefCell, fmt, rc::Rc, time::Duration};

use thiserror::Error;
use tokio::time::{Instant, timeout_at};

use self::core::{Core, Entered, Refused};
use crate::state::{
    config::Config,
    id::{ClassName, Fingerprint, UpstreamName},
    limit::CallEnd,
    object::{Control, Favour},
    priority::{Level, Priority},
    queue::QueueKey,
    suspect::SuspectReport,
    upstream::Load,
};

/// A call that asks to be admitted.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// Its priority.
    pub priority: Priority,
    /// Its class.
    pub class: ClassName,
    /// Whether the class is important.
    pub important: bool,
    /// Whether it belongs to work that has begun elsewhere, which a refusal would waste.
    pub begun: bool,
    /// When its answer is due.
    pub deadline: Instant,
    /// The whole deadline of the class; the wait in the queue is a part of it.
    pub timeout: Duration,
    /// Fingerprint of method, path and body.
    pub fingerprint: Fingerprint,
}

/// Why a call was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// The admission level excludes it.
    Level,
    /// The queue is full of better calls.
    Evicted,
    /// It waited as long as it may.
    QueueTimeout,
    /// Too little time is left to run it.
    Deadline,
    /// The node is leaving.
    Leaving,
    /// The process was paused and is catching up.
    Waking,
    /// It crashed backend servers; earlier attempts ran.
    Convicted,
    /// Its class uses all that a `Limit` object grants.
    ClassLimit,
    /// No configuration is in effect yet.
    NoConfig,
    /// The backend server is down.
    Down,
}

impl RefusalReason {
    /// The reason as a word for logs, metrics and the decision journal.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Level => "level",
            Self::Evicted => "evicted",
            Self::QueueTimeout => "waited",
            Self::Deadline => "deadline",
            Self::Leaving => "leaving",
            Self::Waking => "waking",
            Self::Convicted => "convicted",
            Self::ClassLimit => "class-limit",
            Self::NoConfig => "no-config",
            Self::Down => "down",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// A refusal: the call was not dispatched.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
#[error("could not admit call: {why}")]
pub struct Refusal {
    /// The reason.
    pub why: RefusalReason,
    /// Time that the caller is asked to wait.
    pub retry_after: Duration,
}

/// What the gate may admit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum GateState {
    /// Nothing, until a configuration is in effect.
    Starting,
    /// All calls within the limit.
    Serving,
    /// Nothing, until the node has caught up after a pause.
    Waking,
    /// No new calls; calls that wait are still served.
    Leaving,
}

/// Admission to one backend server. A clone shares the state.
#[derive(Debug, Clone)]
pub struct Gate {
    core: Rc<RefCell<Core>>,
}

impl Gate {
    /// The gate of a cold server; it refuses calls until [`Gate::set_state`] says `Serving`.
    pub fn new(slots: u32, favour: Favour, control: Control, rng: fastrand::Rng) -> Self {
        let core = Core::new(slots, favour, control, rng, Instant::now());
        Self {
            core: Rc::new(RefCell::new(core)),
        }
    }

    /// Takes over slots, class limits, favour and control of a configuration.
    pub fn apply(&self, own: &UpstreamName, config: &Config) {
        self.core.borrow_mut().apply(own, config);
        self.dispatch();
    }

    /// Takes over the slots that the platform lists for the server.
    pub fn resize(&self, slots: u32) {
        self.core.borrow_mut().resize(slots);
        self.dispatch();
    }

    /// Refuses all calls that wait; none of them was dispatched.
    pub fn refuse_queued(&self) {
        let refused = self.core.borrow_mut().refuse_queued(Instant::now());
        answer_refused(refused);
    }

    /// Admits a call now or after a wait in the queue.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use comfreybay::{coordination::gate::*, state::{id::*, limit::CallEnd, object::*, priority::Priority}};
    /// # use tokio::time::Instant;
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Refusal> {
    /// let rng = fastrand::Rng::with_seed(1);
    /// let gate = Gate::new(100, Favour::Goodput, Control::Adaptive, rng);
    /// gate.set_state(GateState::Serving);
    /// let timeout = Duration::from_secs(1);
    /// let permit = gate.admit(AdmissionRequest {
    ///     priority: Priority::new(0, false, RootId([1; 16])),
    ///     class: "booking".parse().unwrap(),
    ///     important: true,
    ///     begun: false,
    ///     deadline: Instant::now() + timeout,
    ///     timeout,
    ///     fingerprint: Fingerprint([1; 16]),
    /// });
    /// let permit = permit.await?;
    /// assert_eq!(gate.load().in_flight, 1);
    /// permit.finish(Duration::from_millis(5), CallEnd::Answered);
    /// # Ok(())
    /// # }
    /// ```
    ///
    /// # Errors
    /// The call is refused and was not dispatched.
    pub async fn admit(&self, ask: AdmissionRequest) -> Result<Permit, Refusal> {
        let mut evicted = Vec::new();
        let entered = self
            .core
            .borrow_mut()
            .enter(ask.clone(), &mut evicted, Instant::now());
        answer_refused(evicted);
        let (place, until, receiver) = match entered {
            Entered::Admitted(id) => return Ok(self.permit(id)),
            Entered::Refused(refusal) => return Err(refusal),
            Entered::Waiting(place, until, receiver) => (place, until, receiver),
        };
        let _waiting = Waiting { gate: self, place };
        match timeout_at(until, receiver).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => {
                let now = Instant::now();
                Err(self.core.borrow_mut().timed_out(&place, &ask, now))
            }
        }
    }

    /// Recomputes the level and applies the wait limits; called every 100 ms.
    pub fn tick(&self) {
        let refused = self.core.borrow_mut().tick(Instant::now());
        answer_refused(refused);
        self.dispatch();
    }

    /// The current load.
    pub fn load(&self) -> Load {
        self.core.borrow().load()
    }

    /// The current admission level.
    pub fn level(&self) -> Level {
        self.core.borrow().level()
    }

    /// Sets what may be admitted.
    pub fn set_state(&self, state: GateState) {
        let refused = self.core.borrow_mut().set_state(state, Instant::now());
        answer_refused(refused);
        self.dispatch();
    }

    /// Records that the server's connections died; gives the requests that were in flight.
    ///
    /// Each becomes a suspect, and a suspect among them is convicted. Calls are refused as
    /// [`RefusalReason::Down`] until [`Gate::server_restarted`].
    pub fn server_lost(&self) -> Vec<Fingerprint> {
        let (lost, refused) = self.core.borrow_mut().server_lost(Instant::now());
        answer_refused(refused);
        lost
    }

    /// Records that the server accepts connections again; its limit starts cold.
    pub fn server_restarted(&self) {
        self.core.borrow_mut().server_restarted(Instant::now());
        self.dispatch();
    }

    /// Suspects and convictions known here, to be passed on.
    pub fn suspects(&self) -> SuspectReport {
        self.core.borrow().suspects(Instant::now())
    }

    /// Takes over suspects and convictions of another node.
    pub fn update_suspects(&self, news: &SuspectReport) {
        self.core.borrow_mut().update_suspects(news, Instant::now());
    }

    fn permit(&self, id: u64) -> Permit {
        Permit {
            gate: self.clone(),
            id,
            ended: false,
        }
    }

    /// Answers waiting calls while the limit has room. No borrow is held while answering,
    /// because a call that is gone returns its permit at once.
    fn dispatch(&self) {
        self.dispatch_at(Instant::now());
    }

    fn dispatch_at(&self, now: Instant) {
        loop {
            let next = self.core.borrow_mut().next(now);
            let Some((reply, decision)) = next else {
                return;
            };
            let _ = reply.send(decision.map(|id| self.permit(id)));
        }
    }

    fn end(&self, id: u64, own: Duration, end: CallEnd) {
        let now = Instant::now();
        self.core.borrow_mut().end(id, own, end, now);
        self.dispatch_at(now);
    }
}

/// Answers calls that are refused; one whose caller is gone needs no answer.
fn answer_refused(refused: Refused) {
    for (reply, refusal) in refused {
        let _ = reply.send(Err(refusal));
    }
}

/// Removes a waiting call whose future ended.
struct Waiting<'a> {
    gate: &'a Gate,
    place: QueueKey,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.gate.core.borrow_mut().leave(&self.place);
    }
}

/// Permission to dispatch one call. Dropping it counts as a cancelled call.
#[derive(Debug)]
pub struct Permit {
    gate: Gate,
    id: u64,
    ended: bool,
}

impl Permit {
    /// Records the end of the call, which spent `own` in the server without its egress calls.
    pub fn finish(mut self, own: Duration, end: CallEnd) {
        self.ended = true;
        self.gate.end(self.id, own, end);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.ended {
            self.gate.end(self.id, Duration::ZERO, CallEnd::Cancelled);
        }
    }
}

#[cfg(test)]
mod tests;
