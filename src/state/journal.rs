//! Recent decisions of one node and the events of recent requests.

use std::{
    borrow::Cow,
    collections::{BTreeMap, VecDeque},
    fmt,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::id::{ClassName, RootId, ServiceName, UpstreamName};

/// Largest number of decisions kept.
pub const DECISIONS_MAX: usize = 100;

/// Largest number of requests kept: about 6 s at 354 calls/s.
pub const REQUESTS_MAX: usize = 2_048;

/// Largest number of steps kept of one request. Each further step replaces the last one, so that
/// the end is always present.
///
/// Three extra attempts with their results need 14 steps; the rest is room for fan-out.
pub const STEPS_MAX: usize = 24;

/// A static or formatted text.
pub type Text = Cow<'static, str>;

/// A kind of decision that changes the state of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DecisionKind {
    /// The node changed to starting, serving, waking or leaving.
    State,
    /// A configuration revision came into effect.
    Config,
    /// A head, bucket or piece of a publication was refused.
    ConfigRefused,
    /// A head of the current revision had another digest.
    ConfigConflict,
    /// The node started or stopped reading the configuration service for its zone.
    Reader,
    /// The admission level changed to or from fully open, or by at least one importance.
    Level,
    /// The concurrency limit was reduced or restored.
    Limit,
    /// The connections to the backend server were lost.
    ServerLost,
    /// The backend server accepted connections again.
    ServerBack,
    /// A request became a suspect: it was in flight at a backend server that crashed.
    Suspect,
    /// A suspect was cleared.
    Cleared,
    /// A suspect was convicted: a server crashed while it was the only suspect there.
    Convicted,
    /// An upstream was ejected.
    Ejected,
    /// The ejection of an upstream ended.
    Returned,
    /// An upstream was found to be leaving.
    UpstreamLeaving,
    /// A peer was found down.
    PeerLost,
    /// The instance list of a service became distrusted or trusted again.
    InstanceList,
    /// The process was found to have been paused.
    Paused,
}

impl DecisionKind {
    /// All kinds.
    pub const ALL: [Self; 18] = [
        Self::State,
        Self::Config,
        Self::ConfigRefused,
        Self::ConfigConflict,
        Self::Reader,
        Self::Level,
        Self::Limit,
        Self::ServerLost,
        Self::ServerBack,
        Self::Suspect,
        Self::Cleared,
        Self::Convicted,
        Self::Ejected,
        Self::Returned,
        Self::UpstreamLeaving,
        Self::PeerLost,
        Self::InstanceList,
        Self::Paused,
    ];

    /// The text used in the dump.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::State => "state",
            Self::Config => "config",
            Self::ConfigRefused => "config-refused",
            Self::ConfigConflict => "config-conflict",
            Self::Reader => "reader",
            Self::Level => "level",
            Self::Limit => "limit",
            Self::ServerLost => "server-lost",
            Self::ServerBack => "server-back",
            Self::Suspect => "suspect",
            Self::Cleared => "cleared",
            Self::Convicted => "convicted",
            Self::Ejected => "ejected",
            Self::Returned => "returned",
            Self::UpstreamLeaving => "upstream-leaving",
            Self::PeerLost => "peer-lost",
            Self::InstanceList => "instance-list",
            Self::Paused => "paused",
        }
    }
}

impl fmt::Display for DecisionKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// One decision that changed the state of the node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Time since the start of the process, in ms.
    pub at_ms: u64,
    /// Kind of the decision.
    pub change: DecisionKind,
    /// What it concerns: an upstream, a service, a revision or a fingerprint, for example.
    pub subject: Text,
    /// Why it was made, with the values that led to it.
    pub cause: Text,
}

/// One step in the handling of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "kebab-case")]
pub enum Step {
    /// The request arrived at a listener: `public`, `peer` or `egress`.
    Arrived {
        /// The listener.
        listener: Text,
        /// Service that the call is for.
        service: ServiceName,
        /// Class of the request.
        class: ClassName,
        /// Priority of the request.
        priority: u32,
    },
    /// It was admitted to the backend server.
    Admitted {
        /// Time spent in the queue, in us.
        waited_us: u64,
    },
    /// It was refused before dispatch at this node.
    Refused {
        /// The rule that refused it.
        cause: Text,
    },
    /// It was sent to an upstream.
    Sent {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// An attempt at an upstream ended.
    Ended {
        /// The upstream.
        upstream: UpstreamName,
        /// How it ended.
        result: Text,
    },
    /// Another attempt follows after a delay.
    Retry {
        /// Delay, in ms.
        delay_ms: u64,
        /// Extra attempts left.
        left: u32,
    },
    /// No other attempt follows.
    NoRetry {
        /// The rule that ended the attempts.
        cause: Text,
    },
    /// A ticket was presented.
    Ticket {
        /// The state of the ticket according to its issuer.
        result: Text,
    },
    /// The call was answered.
    Answered {
        /// The outcome reported to the caller.
        outcome: Text,
        /// The status code.
        status: u16,
    },
    /// The caller disconnected.
    Cancelled,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Arrived {
                listener,
                service,
                class,
                priority,
            } => write!(
                f,
                "arrived at {listener} for {service}, class {class}, priority {priority}"
            ),
            Self::Admitted { waited_us } => write!(f, "admitted after {waited_us} us"),
            Self::Refused { cause } => write!(f, "refused: {cause}"),
            Self::Sent { upstream } => write!(f, "sent to {upstream}"),
            Self::Ended { upstream, result } => write!(f, "{upstream}: {result}"),
            Self::Retry { delay_ms, left } => {
                write!(f, "retry after {delay_ms} ms, {left} extra attempts left")
            }
            Self::NoRetry { cause } => write!(f, "no retry: {cause}"),
            Self::Ticket { result } => write!(f, "ticket: {result}"),
            Self::Answered { outcome, status } => write!(f, "answered {status} {outcome}"),
            Self::Cancelled => f.write_str("cancelled: the caller disconnected"),
        }
    }
}

/// A step and the time at which it happened.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Time since the start of the process, in us.
    pub at_us: u64,
    /// What happened.
    #[serde(flatten)]
    pub step: Step,
}

/// The recent decisions of a node and the recent requests that it handled.
///
/// ```
/// use comfreybay::state::{id::RootId, journal::{DecisionKind, Journal, Step}};
/// use tokio::time::Instant;
/// let start = Instant::now();
/// let mut journal = Journal::new(start);
/// journal.record_decision(start, DecisionKind::State, "node", "started without a configuration");
/// assert_eq!(journal.decisions().count(), 1);
/// let root = RootId([7; 16]);
/// journal.record_step(start, root, Step::Cancelled);
/// assert_eq!(journal.events(&root).len(), 1);
/// ```
#[derive(Debug)]
pub struct Journal {
    start: Instant,
    decisions: VecDeque<Decision>,
    requests: BTreeMap<RootId, Vec<Event>>,
    order: VecDeque<RootId>,
    dropped: u64,
}

impl Journal {
    /// An empty journal whose times are counted from `start`.
    pub fn new(start: Instant) -> Self {
        Self {
            start,
            decisions: VecDeque::with_capacity(DECISIONS_MAX),
            requests: BTreeMap::new(),
            order: VecDeque::with_capacity(REQUESTS_MAX),
            dropped: 0,
        }
    }

    /// Time from the start to `now`.
    pub fn since(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.start)
    }

    /// Records a decision that changed the state of the node.
    pub fn record_decision(
        &mut self,
        now: Instant,
        change: DecisionKind,
        subject: impl Into<Text>,
        cause: impl Into<Text>,
    ) {
        if self.decisions.len() == DECISIONS_MAX {
            self.decisions.pop_front();
        }
        self.decisions.push_back(Decision {
            at_ms: self.since(now).as_millis() as u64,
            change,
            subject: subject.into(),
            cause: cause.into(),
        });
    }

    /// Records a step in the handling of a request.
    pub fn record_step(&mut self, now: Instant, root: RootId, step: Step) {
        let at_us = self.since(now).as_micros() as u64;
        if !self.requests.contains_key(&root) {
            self.make_room();
            self.order.push_back(root);
        }
        let events = self.requests.entry(root).or_default();
        if events.len() == STEPS_MAX {
            events.pop();
        }
        events.push(Event { at_us, step });
    }

    fn make_room(&mut self) {
        if self.order.len() < REQUESTS_MAX {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.requests.remove(&oldest);
            self.dropped += 1;
        }
    }

    /// The recent decisions, oldest first.
    pub fn decisions(&self) -> impl Iterator<Item = &Decision> {
        self.decisions.iter()
    }

    /// The events of a request, oldest first; empty if the request is unknown or was dropped.
    pub fn events(&self, root: &RootId) -> &[Event] {
        self.requests.get(root).map_or(&[], Vec::as_slice)
    }

    /// Number of requests kept.
    pub fn requests(&self) -> usize {
        self.requests.len()
    }

    /// Number of requests dropped since the start to make room for others.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
