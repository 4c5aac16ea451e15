//! The state of one node that its tasks share.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::IpAddr,
    rc::Rc,
    time::Duration,
};

use http::{StatusCode, response};
use tokio::time::Instant;

use crate::{
    coordination::{
        gate::{Gate, RefusalReason},
        router::Router,
    },
    protocol::outcome::Outcome,
    state::{
        calls::CallTable,
        config::Config,
        counters::{Counter, Counters},
        held::RefusalTable,
        id::{ChainName, Incarnation, RootId, ServiceName},
        journal::{Journal, Step},
        level::Levels,
        memory::{DEFAULT_BODIES, MemoryBudget},
        object::{Chain, Control, Favour},
        settings::Settings,
        store::ConfigStore,
        ticket::{Ticket, TicketIssuer},
    },
};

use super::{
    health::Health,
    link::Links,
    net::Net,
    pool::Pool,
    reply::{Reply, reason_counter, reason_text},
    serve::CallRequest,
};

/// Mean delay after which a refused caller may retry, if the gate has not set one.
const RETRY_DELAY_MS: f64 = 500.0;
/// Time since the last tick after which the process counts as paused; ticks are 100 ms apart.
const TICK_OVERDUE_MS: u64 = 1_000;

/// Cache of the services downstream of a service on a chain.
type DownstreamCache = BTreeMap<(ChainName, ServiceName), Rc<[ServiceName]>>;

/// The state of one node, shared by its tasks.
pub struct NodeContext {
    /// Settings of the process.
    pub settings: Settings,
    /// Id of this run of the process.
    pub incarnation: Incarnation,
    /// Admission control of the backend server.
    pub gate: Gate,
    /// Load balancing over upstreams.
    pub router: Router,
    /// Calls in progress.
    pub calls: RefCell<CallTable>,
    /// Tickets issued by this run of the process.
    pub tickets: RefCell<TicketIssuer>,
    /// Callers that were refused recently.
    pub refusals: RefCell<RefusalTable>,
    /// The configuration in effect.
    pub store: Rc<ConfigStore>,
    /// Recent decisions.
    pub journal: Rc<RefCell<Journal>>,
    /// Counters and gauges.
    pub counters: Rc<Counters>,
    /// Source of random numbers.
    pub rng: RefCell<fastrand::Rng>,
    /// Whether the node is shutting down and accepts no new calls.
    pub leaving: Cell<bool>,
    /// Memory for request bodies.
    pub memory: Rc<MemoryBudget>,
    /// Time of the last tick; it is long ago if the process was paused.
    pub last_tick: Cell<Instant>,
    downstream_cache: RefCell<DownstreamCache>,
}

/// The node's state with its connections, for serving calls.
pub struct DataPlane<N: Net> {
    /// The state of the node.
    pub node: Rc<NodeContext>,
    /// Connections to the backend server.
    pub pool: Pool<N>,
    /// Connections to peers.
    pub links: Links<N>,
    /// Crash detection of the backend server.
    pub health: Rc<Health>,
}

impl NodeContext {
    /// The state of a node without a configuration.
    pub fn new(settings: Settings) -> Self {
        let now = Instant::now();
        let mut rng = settings
            .seed
            .map_or_else(fastrand::Rng::new, fastrand::Rng::with_seed);
        let incarnation = Incarnation::random(&mut rng);
        let name = settings.name.clone();
        let router = Router::new(
            name.clone(),
            settings.zone.clone(),
            Control::default(),
            rng.fork(),
        );
        Self {
            incarnation,
            gate: Gate::new(1, Favour::Goodput, Control::default(), rng.fork()),
            router,
            calls: RefCell::new(CallTable::new(rng.fork())),
            tickets: RefCell::new(TicketIssuer::new(name, incarnation, rng.fork(), now)),
            refusals: RefCell::default(),
            store: Rc::default(),
            journal: Rc::new(RefCell::new(Journal::new(now))),
            counters: Rc::default(),
            rng: RefCell::new(rng),
            leaving: Cell::new(false),
            memory: MemoryBudget::new(DEFAULT_BODIES),
            last_tick: Cell::new(now),
            downstream_cache: RefCell::default(),
            settings,
        }
    }

    /// A new random generator, seeded from that of the node.
    pub fn new_rng(&self) -> fastrand::Rng {
        self.rng.borrow_mut().fork()
    }

    /// A new root request id.
    pub fn new_root_id(&self) -> RootId {
        RootId::random(&mut self.rng.borrow_mut())
    }

    /// A new ticket; `None` while the node shuts down, since it could not honour the ticket later.
    pub fn new_ticket(&self) -> Option<Ticket> {
        (!self.leaving.get()).then(|| self.issue_ticket())
    }

    /// A new ticket.
    pub fn issue_ticket(&self) -> Ticket {
        self.counters.add(Counter::TicketsIssued, 1);
        self.tickets.borrow_mut().issue(Instant::now())
    }

    /// The delay after which a refused caller may retry, with jitter.
    pub fn retry_delay(&self) -> Duration {
        let factor = 0.5 + self.rng.borrow_mut().f64();
        Duration::from_secs_f64(RETRY_DELAY_MS * factor / 1_000.0)
    }

    /// Records a step of a request.
    pub fn record_step(&self, root: RootId, step: Step) {
        self.journal
            .borrow_mut()
            .record_step(Instant::now(), root, step);
    }

    /// Counts and records a refusal of a call at this node.
    pub fn record_refusal(&self, call: &CallRequest, why: RefusalReason) {
        self.counters.add(reason_counter(why), 1);
        if call.class.important {
            self.counters.add(Counter::RefusedImportant, 1);
        }
        let cause = reason_text(why).into();
        self.record_step(call.root, Step::Refused { cause });
    }

    /// Whether the deadline of a call has passed.
    pub fn is_expired(&self, deadline: Instant) -> bool {
        Instant::now() >= deadline
    }

    /// Whether the process was paused and has not caught up yet, that is, its tick is overdue.
    pub fn was_paused(&self) -> bool {
        self.last_tick.get().elapsed() > Duration::from_millis(TICK_OVERDUE_MS)
    }

    /// Whether a response means that the backend server has shed the request.
    pub fn is_shed(&self, head: &response::Parts) -> bool {
        let config = self.store.config();
        let own = config
            .as_ref()
            .and_then(|c| c.pieces.get(&self.settings.service));
        let header = own.map_or("x-shed", |p| &p.service.shed_header);
        head.status == StatusCode::SERVICE_UNAVAILABLE
            && head.headers.get(header).is_some_and(|v| v == "1")
    }

    /// Whether an address belongs to an upstream in the configuration.
    pub fn is_upstream(&self, from: IpAddr) -> bool {
        let Some(config) = self.store.config() else {
            return false;
        };
        let mut upstreams = config.pieces.values().flat_map(|p| &p.upstreams);
        upstreams.any(|u| u.peer.ip() == from)
    }

    /// The services downstream of `service` on a chain.
    pub fn downstream(&self, chain: &ChainName, service: &ServiceName) -> Rc<[ServiceName]> {
        let key = (chain.clone(), service.clone());
        if let Some(known) = self.downstream_cache.borrow().get(&key) {
            return known.clone();
        }
        let found: Rc<[ServiceName]> = self.find_downstream(chain, service).into();
        // Unknown chains are not cached, so that a peer can't fill the cache.
        if !found.is_empty() {
            self.downstream_cache
                .borrow_mut()
                .insert(key, found.clone());
        }
        found
    }

    fn find_downstream(&self, chain: &ChainName, service: &ServiceName) -> Vec<ServiceName> {
        let Some(config) = self.store.config() else {
            return Vec::new();
        };
        let Some(chain) = self.chain(&config, chain) else {
            return Vec::new();
        };
        let from = Chain {
            entry: service.clone(),
            ..chain.clone()
        };
        let mut services = from.services();
        services.remove(0);
        services
    }

    fn chain<'a>(&self, config: &'a Config, name: &ChainName) -> Option<&'a Chain> {
        let own = config.pieces.get(&self.settings.service)?;
        own.chains.iter().find(|c| c.name == *name)
    }

    /// The admission levels that this node reports in a response: its own and those of the services
    /// downstream on the chain.
    pub fn levels(&self, chain: Option<&ChainName>) -> Levels {
        let own = &self.settings.service;
        let downstream = chain.map(|c| self.downstream(c, own));
        let mut levels = self
            .router
            .levels(downstream.as_deref().unwrap_or_default());
        levels.0.insert(own.clone(), self.gate.level());
        levels
    }

    /// Tracks a call from arrival to response; a drop before the response counts as cancelled.
    pub fn track(self: &Rc<Self>, root: RootId) -> CallTracker {
        CallTracker {
            node: self.clone(),
            root,
            answered: false,
        }
    }

    pub(super) fn apply_config(&self, config: &Config) {
        self.gate.apply(&self.settings.name, config);
        self.router.apply(config);
        self.downstream_cache.borrow_mut().clear();
        self.counters
            .set(Counter::ConfigRevision, config.revision.0);
    }

    pub(super) fn update_gauges(&self) {
        let load = self.gate.load();
        let gauges = [
            (Counter::CallsOpen, self.calls.borrow().len() as u64),
            (Counter::TicketsKept, self.tickets.borrow().len() as u64),
            (Counter::GateInFlight, load.in_flight.into()),
            (Counter::GateQueued, load.queued.into()),
            (Counter::GateLimit, load.limit.into()),
            (Counter::GateLevel, self.gate.level().0.into()),
        ];
        for (counter, value) in gauges {
            self.counters.set(counter, value);
        }
    }
}

/// Counts and records the outcome of one call.
pub struct CallTracker {
    node: Rc<NodeContext>,
    root: RootId,
    answered: bool,
}

impl CallTracker {
    /// Counts and records the response.
    pub fn record_reply(&mut self, reply: &Reply) {
        self.answered = true;
        self.node.counters.add(
            match reply.outcome {
                Outcome::Complete => Counter::CallsComplete,
                Outcome::NotRun => Counter::CallsNotRun,
                Outcome::Failed => Counter::CallsFailed,
                Outcome::Unknown => Counter::CallsUnknown,
            },
            1,
        );
        let step = Step::Answered {
            outcome: reply.outcome.as_str().into(),
            status: reply.status.as_u16(),
        };
        self.node.record_step(self.root, step);
    }
}

impl Drop for CallTracker {
    fn drop(&mut self) {
        if !self.answered {
            self.node.counters.add(Counter::CallsCancelled, 1);
            self.node.record_step(self.root, Step::Cancelled);
        }
    }
}
