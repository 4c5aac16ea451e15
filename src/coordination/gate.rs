//! Admission control in front of the node's own backend server.

mod classes;
mod completions;
mod core;
mod isolation;

use std::{cell::RefCell, fmt, rc::Rc, time::Duration};

use thiserror::Error;
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout_at},
};

use self::core::{ArrivalOutcome, Core, Refusals};
use crate::state::{
    config::Config,
    id::{ClassName, Fingerprint, UpstreamName},
    limit::CallEnd,
    object::{Control, Favour},
    priority::{Level, Priority},
    queue::QueueKey,
    rate::RateLimit,
    suspect::SuspectReport,
    upstream::Load,
};

/// A call that requests admission.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// Priority of the call.
    pub priority: Priority,
    /// Class of the call.
    pub class: ClassName,
    /// Whether the class is important.
    pub important: bool,
    /// Whether other services have already done work for the same request, which a refusal would
    /// waste. Such a call is exempt from the admission level.
    pub begun: bool,
    /// Time by which the caller needs the answer.
    pub deadline: Instant,
    /// Total time allowed for a call of this class; the wait in the queue is limited to a fraction
    /// of it.
    pub timeout: Duration,
    /// Hash of method, path and body, which identifies requests that crash servers.
    pub fingerprint: Fingerprint,
}

/// Why a call was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// The admission level excludes its priority.
    Level,
    /// The queue is full of calls of higher rank.
    Evicted,
    /// It reached its maximum wait in the queue.
    QueueTimeout,
    /// Less time is left until its deadline than calls of its class are expected to take.
    Deadline,
    /// The node is about to stop and admits no new calls.
    Leaving,
    /// The process ends before a call of its class is sure to be complete.
    Stopping,
    /// The process has resumed after a pause and is still refreshing its state.
    Waking,
    /// The request has crashed backend servers, so earlier attempts have run.
    Convicted,
    /// The rate limit that the server announces would delay it for longer than it may wait.
    RateLimit,
    /// Its class has reached the number of calls in flight that a `Limit` object allows.
    ClassLimit,
    /// No configuration is in effect yet.
    NoConfig,
    /// The backend server is down.
    Down,
}

impl RefusalReason {
    /// The reason as it appears in logs, metrics and the decision journal.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Level => "level",
            Self::Evicted => "evicted",
            Self::QueueTimeout => "waited",
            Self::Deadline => "deadline",
            Self::Leaving => "leaving",
            Self::Stopping => "stopping",
            Self::Waking => "waking",
            Self::Convicted => "convicted",
            Self::RateLimit => "rate-limit",
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
    /// Time that the caller is asked to wait before a retry.
    pub retry_after: Duration,
}

/// Whether the gate admits calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum GateState {
    /// Refuses all calls until a configuration is in effect.
    Starting,
    /// Admits calls up to the concurrency limit.
    Serving,
    /// Refuses all calls until the node has refreshed its state after a pause of the process.
    Waking,
    /// Refuses new calls; calls that are already queued are still served.
    Leaving,
}

/// Admission control for one backend server. Clones share the same state.
#[derive(Debug, Clone)]
pub struct Gate {
    core: Rc<RefCell<Core>>,
    /// Notified when a queued call waits for the rate limit.
    delayed: Rc<Notify>,
}

impl Gate {
    /// Creates the gate of a cold server. It refuses all calls until [`Gate::set_state`] is called
    /// with [`GateState::Serving`].
    pub fn new(slots: u32, favour: Favour, control: Control, rng: fastrand::Rng) -> Self {
        let core = Core::new(slots, favour, control, rng, Instant::now());
        Self {
            core: Rc::new(RefCell::new(core)),
            delayed: Rc::default(),
        }
    }

    /// Applies the slots, class limits, `favour` and `control` of a configuration.
    pub fn apply(&self, own: &UpstreamName, config: &Config) {
        self.core.borrow_mut().apply(own, config);
        self.dispatch();
    }

    /// Sets the number of slots that the platform lists for the server.
    pub fn resize(&self, slots: u32) {
        self.core.borrow_mut().resize(slots);
        self.dispatch();
    }

    /// Refuses all queued calls; none of them was dispatched.
    pub fn refuse_queued(&self) {
        let refused = self.core.borrow_mut().refuse_queued(Instant::now());
        send_refusals(refused);
    }

    /// Admits a call, immediately or after a wait in the queue.
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
    /// The call was refused and not dispatched.
    pub async fn admit(&self, request: AdmissionRequest) -> Result<Permit, Refusal> {
        let mut evicted = Vec::new();
        let outcome =
            self.core
                .borrow_mut()
                .handle_arrival(request.clone(), &mut evicted, Instant::now());
        send_refusals(evicted);
        let (key, wait_until, receiver) = match outcome {
            ArrivalOutcome::Admitted(id) => return Ok(self.permit(id)),
            ArrivalOutcome::Refused(refusal) => return Err(refusal),
            ArrivalOutcome::Queued(key, wait_until, receiver) => (key, wait_until, receiver),
        };
        self.wake_pacer(Instant::now());
        let _guard = QueueGuard { gate: self, key };
        match timeout_at(wait_until, receiver).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => {
                let now = Instant::now();
                Err(self.core.borrow_mut().refuse_timed_out(&key, &request, now))
            }
        }
    }

    /// Recomputes the admission level and refuses queued calls that have waited too long; must be
    /// called every 100 ms.
    pub fn tick(&self) {
        let refused = self.core.borrow_mut().tick(Instant::now());
        send_refusals(refused);
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

    /// Sets whether the gate admits calls.
    pub fn set_state(&self, state: GateState) {
        let refused = self.core.borrow_mut().set_state(state, Instant::now());
        send_refusals(refused);
        self.dispatch();
    }

    /// Sets the time by which running calls must have ended because the process stops. From now on,
    /// calls that may take longer are refused: until `estimates_until` by the durations of recent
    /// calls of their class, then by their deadline alone.
    pub fn set_stop(&self, stop_at: Instant, estimates_until: Instant) {
        let mut core = self.core.borrow_mut();
        core.set_stop(stop_at, estimates_until);
        drop(core);
        self.dispatch();
    }

    /// Whether a call of a class that starts now is allowed to, if the process is to stop.
    pub fn can_finish(&self, class: &ClassName, deadline: Instant) -> bool {
        let core = self.core.borrow();
        core.can_finish(class, deadline, Instant::now())
    }

    /// Records that the server's connections were lost and returns the fingerprints of the requests
    /// that were in flight.
    ///
    /// Each of these requests becomes a suspect unless it completed here recently; one that ran as
    /// a suspect is convicted. Calls are then refused with [`RefusalReason::Down`] until
    /// [`Gate::server_restarted`] is called.
    pub fn server_lost(&self) -> Vec<Fingerprint> {
        let (lost, refused) = self.core.borrow_mut().server_lost(Instant::now());
        send_refusals(refused);
        lost
    }

    /// Records that the server accepts connections again; its concurrency limit starts low.
    pub fn server_restarted(&self) {
        self.core.borrow_mut().server_restarted(Instant::now());
        self.dispatch();
    }

    /// Records the rate limit that an answer of the server announces, received now to a request sent
    /// at `sent`. Returns whether the limit has changed.
    pub fn record_rate_limit(&self, limit: Option<RateLimit>, sent: Instant) -> bool {
        let now = Instant::now();
        let mut core = self.core.borrow_mut();
        core.rate_limiter().record(limit, sent, now)
    }

    /// Adopts the rate limit that another node has received from the server, until this node
    /// receives an answer of it. Returns whether the limit has changed.
    pub fn adopt_rate_limit(&self, limit: RateLimit) -> bool {
        let now = Instant::now();
        self.core.borrow_mut().rate_limiter().adopt(limit, now)
    }

    /// Records that the server reports its machine as slower than usual. The search for the best
    /// concurrency ignores what is completed meanwhile.
    pub fn record_slow_machine(&self) {
        self.core.borrow_mut().record_slow_machine();
    }

    /// The rate limit that the server announces, if any.
    pub fn rate_limit(&self) -> Option<RateLimit> {
        self.core.borrow().rate_limit()
    }

    /// Dispatches queued calls when the rate limit has room for them. Runs until it is dropped.
    pub async fn pace(&self) {
        loop {
            let next = self.core.borrow().next_release(Instant::now());
            match next {
                Some(wait) => sleep(wait).await,
                None => self.delayed.notified().await,
            }
            self.dispatch();
        }
    }

    /// Suspects and convictions known to this node, for propagation to other nodes.
    pub fn suspects(&self) -> SuspectReport {
        self.core.borrow().suspects(Instant::now())
    }

    /// Merges suspects and convictions reported by another node.
    pub fn update_suspects(&self, report: &SuspectReport) {
        self.core
            .borrow_mut()
            .update_suspects(report, Instant::now());
    }

    /// Merges the suspects and convictions of a node whose server runs the same requests. Its
    /// suspects are isolated here only once they are in flight during a second crash. Returns
    /// whether this changes what this node reports.
    pub fn merge_suspects(&self, report: &SuspectReport) -> bool {
        let mut core = self.core.borrow_mut();
        core.merge_suspects(report, Instant::now())
    }

    fn wake_pacer(&self, now: Instant) {
        if self.core.borrow().next_release(now).is_some() {
            self.delayed.notify_one();
        }
    }

    fn permit(&self, id: u64) -> Permit {
        Permit {
            gate: self.clone(),
            id,
            finished: false,
        }
    }

    /// Admits or refuses queued calls while the concurrency limit has room. The borrow of the core
    /// must end before each reply is sent: when the receiver is gone, the permit in the reply is
    /// dropped at once, and its `Drop` borrows the core.
    fn dispatch(&self) {
        self.dispatch_at(Instant::now());
    }

    fn dispatch_at(&self, now: Instant) {
        loop {
            let next = self.core.borrow_mut().next_decision(now);
            let Some((reply, decision)) = next else {
                self.wake_pacer(now);
                return;
            };
            let _ = reply.send(decision.map(|id| self.permit(id)));
        }
    }

    fn record_end(&self, id: u64, own_time: Duration, end: CallEnd) {
        let now = Instant::now();
        self.core.borrow_mut().record_end(id, own_time, end, now);
        self.dispatch_at(now);
    }
}

/// Sends the refusals to their calls. A send fails only when the call was cancelled.
fn send_refusals(refused: Refusals) {
    for (reply, refusal) in refused {
        let _ = reply.send(Err(refusal));
    }
}

/// Removes a call from the queue when its future ends or is dropped.
struct QueueGuard<'a> {
    gate: &'a Gate,
    key: QueueKey,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.gate.core.borrow_mut().remove_queued(&self.key);
    }
}

/// Permission to dispatch one call. A permit dropped without [`Permit::finish`] counts as a
/// cancelled call.
#[derive(Debug)]
pub struct Permit {
    gate: Gate,
    id: u64,
    finished: bool,
}

impl Permit {
    /// Records the end of the call. `own_time` is the time spent in the server, excluding calls
    /// that the server made to other services meanwhile.
    pub fn finish(mut self, own_time: Duration, end: CallEnd) {
        self.finished = true;
        self.gate.record_end(self.id, own_time, end);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.finished {
            self.gate
                .record_end(self.id, Duration::ZERO, CallEnd::Cancelled);
        }
    }
}

#[cfg(test)]
mod tests;
