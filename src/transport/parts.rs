//! The state of one node and what its tasks share.

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
        object::{Chain, Control, Favour},
        settings::Settings,
        store::ConfigStore,
        ticket::{Ticket, TicketIssuer},
    },
};

use super::{
    health::Health,
    link::Links,
    pool::Pool,
    reply::{Reply, reason_counter, reason_text},
    serve::Order,
};

/// Base of the pause that a refused caller is asked for when the gate has not named one.
const PAUSE_MS: f64 = 500.0;
/// Age of the last tick from which the process counts as paused; ticks come each 100 ms.
const SLEPT_MS: u64 = 1_000;

/// The services below a service on a chain.
type Routes = BTreeMap<(ChainName, ServiceName), Rc<[ServiceName]>>;

/// The state of one node, shared by its tasks.
pub struct NodeContext {
    /// Settings of the process.
    pub settings: Settings,
    /// This run of the process.
    pub incarnation: Incarnation,
    /// Admission to the backend server.
    pub gate: Gate,
    /// Choice of upstreams.
    pub router: Router,
    /// Calls in progress.
    pub calls: RefCell<CallTable>,
    /// Tickets of this incarnation.
    pub tickets: RefCell<TicketIssuer>,
    /// Callers that were refused recently.
    pub held: RefCell<RefusalTable>,
    /// The configuration in effect.
    pub store: Rc<ConfigStore>,
    /// Recent decisions.
    pub journal: Rc<RefCell<Journal>>,
    /// Counters and gauges.
    pub counters: Rc<Counters>,
    /// Random numbers.
    pub rng: RefCell<fastrand::Rng>,
    /// Whether the node takes no new work because it is about to stop.
    pub leaving: Cell<bool>,
    /// Bytes of request bodies in memory.
    pub buffered: Rc<Cell<usize>>,
    /// When the state was last known to be current; overdue after a pause of the process.
    pub ticked: Cell<Instant>,
    routes: RefCell<Routes>,
}

/// What is needed to serve a call.
pub struct Path<N> {
    /// The state of the node.
    pub parts: Rc<NodeContext>,
    /// Connections to the backend server.
    pub pool: Pool<N>,
    /// Connections to other nodes.
    pub links: Links<N>,
    /// Crash detection of the backend server.
    pub health: Rc<Health>,
}

impl NodeContext {
    /// The state of a node that has no configuration yet.
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
            held: RefCell::default(),
            store: Rc::default(),
            journal: Rc::new(RefCell::new(Journal::new(now))),
            counters: Rc::default(),
            rng: RefCell::new(rng),
            leaving: Cell::new(false),
            buffered: Rc::default(),
            ticked: Cell::new(now),
            routes: RefCell::default(),
            settings,
        }
    }

    /// A new random generator.
    pub fn new_rng(&self) -> fastrand::Rng {
        self.rng.borrow_mut().fork()
    }

    /// A new root request id.
    pub fn root(&self) -> RootId {
        RootId::random(&mut self.rng.borrow_mut())
    }

    /// A new ticket, unless the node is about to stop and could not answer for it.
    pub fn fresh(&self) -> Option<Ticket> {
        (!self.leaving.get()).then(|| self.issue())
    }

    /// A new ticket.
    pub fn issue(&self) -> Ticket {
        self.counters.add(Counter::TicketsIssued, 1);
        self.tickets.borrow_mut().issue(Instant::now())
    }

    /// The jittered time that a refused caller is asked to wait.
    pub fn pause(&self) -> Duration {
        let share = 0.5 + self.rng.borrow_mut().f64();
        Duration::from_secs_f64(PAUSE_MS * share / 1_000.0)
    }

    /// Records what happened to a request.
    pub fn note(&self, root: RootId, step: Step) {
        self.journal
            .borrow_mut()
            .record_step(Instant::now(), root, step);
    }

    /// Records that a call was refused at this node.
    pub fn refused(&self, order: &Order, why: RefusalReason) {
        self.counters.add(reason_counter(why), 1);
        if order.class.important {
            self.counters.add(Counter::RefusedImportant, 1);
        }
        let cause = reason_text(why).into();
        self.note(order.root, Step::Refused { cause });
    }

    /// Whether the deadline of a call has passed.
    pub fn is_late(&self, deadline: Instant) -> bool {
        Instant::now() >= deadline
    }

    /// Whether the process was paused and has not caught up: its tick is overdue.
    pub fn has_slept(&self) -> bool {
        self.ticked.get().elapsed() > Duration::from_millis(SLEPT_MS)
    }

    /// Whether an answer is the backend server's own load shedding.
    pub fn is_shed(&self, head: &response::Parts) -> bool {
        let config = self.store.config();
        let own = config
            .as_ref()
            .and_then(|c| c.pieces.get(&self.settings.service));
        let header = own.map_or("x-shed", |p| &p.service.shed_header);
        head.status == StatusCode::SERVICE_UNAVAILABLE
            && head.headers.get(header).is_some_and(|v| v == "1")
    }

    /// Whether an address belongs to an upstream of the configuration in effect.
    pub fn is_upstream(&self, from: IpAddr) -> bool {
        let Some(config) = self.store.config() else {
            return false;
        };
        let mut upstreams = config.pieces.values().flat_map(|p| &p.upstreams);
        upstreams.any(|u| u.peer.ip() == from)
    }

    /// The services that a call at `service` leads to on its chain.
    pub fn below(&self, chain: &ChainName, service: &ServiceName) -> Rc<[ServiceName]> {
        let key = (chain.clone(), service.clone());
        if let Some(known) = self.routes.borrow().get(&key) {
            return known.clone();
        }
        let found: Rc<[ServiceName]> = self.find_below(chain, service).into();
        // Only known chains are kept, so that a peer can't fill the table.
        if !found.is_empty() {
            self.routes.borrow_mut().insert(key, found.clone());
        }
        found
    }

    fn find_below(&self, chain: &ChainName, service: &ServiceName) -> Vec<ServiceName> {
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

    /// The levels that this node tells on an answer: its own and those below it on the chain.
    pub fn levels(&self, chain: Option<&ChainName>) -> Levels {
        let own = &self.settings.service;
        let below = chain.map(|c| self.below(c, own));
        let mut levels = self.router.levels(below.as_deref().unwrap_or_default());
        levels.0.insert(own.clone(), self.gate.level());
        levels
    }

    /// Watches a call from arrival to answer; a drop before the answer counts as cancelled.
    pub fn watch(self: &Rc<Self>, root: RootId) -> Watch {
        Watch {
            parts: self.clone(),
            root,
            answered: false,
        }
    }

    pub(super) fn apply(&self, config: &Config) {
        self.gate.apply(&self.settings.name, config);
        self.router.apply(config);
        self.routes.borrow_mut().clear();
        self.counters
            .set(Counter::ConfigRevision, config.revision.0);
    }

    pub(super) fn gauges(&self) {
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

/// Counts the outcome of one call.
pub struct Watch {
    parts: Rc<NodeContext>,
    root: RootId,
    answered: bool,
}

impl Watch {
    /// Records the answer.
    pub fn answered(&mut self, reply: &Reply) {
        self.answered = true;
        self.parts.counters.add(
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
        self.parts.note(self.root, step);
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        if !self.answered {
            self.parts.counters.add(Counter::CallsCancelled, 1);
            self.parts.note(self.root, Step::Cancelled);
        }
    }
}
