//! Assembly of one node.

use std::{
    cell::RefCell,
    collections::BTreeSet,
    future::Future,
    io,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use http::{StatusCode, response};
use thiserror::Error;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};
use tokio_util::sync::CancellationToken;

use crate::{
    coordination::{
        gate::{Gate, GateState, Why},
        router::Router,
    },
    protocol::outcome::Outcome,
    state::{
        calls::CallTable,
        config::Config,
        counters::{Counter, Counters},
        held::HeldTable,
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
    admin::Admin,
    control::{self, Control as ControlPlane},
    egress::Egress,
    health::{self, Health},
    link::Links,
    net::{Listener, Net},
    peer::Peer,
    pool::Pool,
    public::Public,
    reply::{Reply, why_counter, why_text},
    serve::Order,
    server::{Handler, Stop, Version, listen},
    tasks::Tasks,
};

const TICK_MS: u64 = 100;
/// Base of the pause that a refused caller is asked for when the gate has not named one.
const PAUSE_MS: f64 = 500.0;
/// Longest time for calls in progress at a stop when no configuration names a deadline.
const DRAIN_MS: u64 = 5_000;
/// Time beyond the longest deadline for the answers of the last calls.
const DRAIN_EXTRA_MS: u64 = 500;

const PUBLIC_CONNECTIONS: usize = 4_096;
const PEER_CONNECTIONS: usize = 2_048;
const EGRESS_CONNECTIONS: usize = 4_096;
const ADMIN_CONNECTIONS: usize = 16;

/// Errors of a node.
#[derive(Debug, Error)]
pub enum Error {
    /// A listener could not be bound.
    #[error("could not listen at {at}")]
    Bind {
        /// The address.
        at: SocketAddr,
        /// What the network reported.
        #[source]
        source: io::Error,
    },
}

/// Result of a node.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The state of one node, shared by its tasks.
pub struct Parts {
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
    pub held: RefCell<HeldTable>,
    /// The configuration in effect.
    pub store: Rc<ConfigStore>,
    /// Recent decisions.
    pub journal: Rc<RefCell<Journal>>,
    /// Counters and gauges.
    pub counters: Rc<Counters>,
    /// Random numbers.
    pub rng: RefCell<fastrand::Rng>,
}

/// What is needed to serve a call.
pub struct Path<N> {
    /// The state of the node.
    pub parts: Rc<Parts>,
    /// Connections to the backend server.
    pub pool: Pool<N>,
    /// Connections to other nodes.
    pub links: Links<N>,
    /// Crash detection of the backend server.
    pub health: Rc<Health>,
}

impl Parts {
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
            settings,
        }
    }

    /// A new random generator.
    pub fn fork(&self) -> fastrand::Rng {
        self.rng.borrow_mut().fork()
    }

    /// A new root request id.
    pub fn root(&self) -> RootId {
        RootId::random(&mut self.rng.borrow_mut())
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
            .request(Instant::now(), root, step);
    }

    /// Records that a call was refused at this node.
    pub fn refused(&self, order: &Order, why: Why) {
        self.counters.add(why_counter(why), 1);
        if order.class.important {
            self.counters.add(Counter::RefusedImportant, 1);
        }
        let cause = why_text(why).into();
        self.note(order.root, Step::Refused { cause });
    }

    /// Whether the deadline of a call has passed.
    pub fn is_late(&self, deadline: Instant) -> bool {
        Instant::now() >= deadline
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
    pub fn below(&self, chain: &ChainName, service: &ServiceName) -> Vec<ServiceName> {
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
        let below = chain.map(|c| self.below(c, own)).unwrap_or_default();
        let mut levels = self.router.levels(&below);
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

    fn apply(&self, config: &Config) {
        self.gate.apply(&self.settings.name, config);
        self.router.apply(config);
        self.counters
            .set(Counter::ConfigRevision, config.revision.0);
    }

    fn gauges(&self) {
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
    parts: Rc<Parts>,
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

/// Runs a node until `stop` is cancelled; returns after its calls and tasks have ended.
///
/// # Errors
/// A listener could not be bound.
pub async fn run<N: Net>(net: N, settings: Settings, stop: CancellationToken) -> Result<()> {
    run_with(net, Rc::new(Parts::new(settings)), stop).await
}

/// Runs a node on parts made before, which may hold a configuration already.
///
/// # Errors
/// A listener could not be bound.
pub async fn run_with<N: Net>(net: N, parts: Rc<Parts>, stop: CancellationToken) -> Result<()> {
    let path = Rc::new(Path {
        pool: Pool::new(net.clone(), parts.settings.server),
        links: Links::new(net.clone(), parts.counters.clone()),
        health: Rc::default(),
        parts,
    });
    let at = &path.parts.settings;
    let public = bind(&net, at.public).await?;
    let peer = bind(&net, at.peer).await?;
    let egress = bind(&net, at.egress).await?;
    let admin = bind(&net, at.admin).await?;

    // Everything but calls ends with this token, after the last call.
    let end = CancellationToken::new();
    let background = Tasks::default();
    background.spawn(watch_config(path.clone(), end.clone()));
    background.spawn(tick(path.clone(), end.clone()));
    background.spawn(health::watch(path.clone(), end.clone()));
    // Cancelled by `stop`, and by the control plane when the server drains or the list says so.
    let leaving = stop.child_token();
    let listener = bind(&net, at.control).await?;
    let control = control_plane(&net, &path.parts, &leaving);
    background.spawn(control::run(control, listener, end.clone()));

    let (calls, inner) = (Stop::default(), Stop::default());
    let outer = Tasks::default();
    spawn(
        &outer,
        public,
        Version::Both,
        PUBLIC_CONNECTIONS,
        Public(path.clone()),
        &calls,
    );
    spawn(
        &outer,
        peer,
        Version::Http2,
        PEER_CONNECTIONS,
        Peer(path.clone()),
        &calls,
    );
    let local = Tasks::default();
    spawn(
        &local,
        egress,
        Version::Http1,
        EGRESS_CONNECTIONS,
        Egress(path.clone()),
        &inner,
    );
    spawn(
        &local,
        admin,
        Version::Http1,
        ADMIN_CONNECTIONS,
        Admin(path.clone()),
        &inner,
    );

    leaving.cancelled().await;
    path.parts.gate.set_state(GateState::Leaving);
    calls.refuse.cancel();
    drain(&path.parts, outer.join(), &calls).await;
    outer.join().await;
    inner.refuse.cancel();
    inner.abort.cancel();
    local.join().await;
    end.cancel();
    background.join().await;
    path.links.close().await;
    path.pool.close().await;
    Ok(())
}

fn control_plane<N: Net>(
    net: &N,
    parts: &Rc<Parts>,
    leaving: &CancellationToken,
) -> ControlPlane<N> {
    ControlPlane {
        net: net.clone(),
        settings: parts.settings.clone(),
        store: parts.store.clone(),
        gate: parts.gate.clone(),
        router: parts.router.clone(),
        counters: parts.counters.clone(),
        journal: parts.journal.clone(),
        rng: parts.fork(),
        incarnation: parts.incarnation,
        leaving: leaving.clone(),
    }
}

async fn bind<N: Net>(net: &N, at: SocketAddr) -> Result<N::Listener> {
    net.bind(at)
        .await
        .map_err(|source| Error::Bind { at, source })
}

fn spawn<L, H>(
    tasks: &Tasks,
    listener: L,
    version: Version,
    connections: usize,
    handler: H,
    stop: &Stop,
) where
    L: Listener + 'static,
    L::Conn: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin + 'static,
    H: Handler,
{
    tasks.spawn(listen(
        listener,
        version,
        connections,
        Rc::new(handler),
        stop.clone(),
    ));
}

/// Waits for the calls in progress, at most up to the longest deadline.
async fn drain(parts: &Parts, ended: impl Future<Output = ()>, calls: &Stop) {
    let config = parts.store.config();
    let classes = config
        .iter()
        .flat_map(|c| c.pieces.values())
        .flat_map(|p| &p.classes);
    let longest_ms = classes.map(|c| c.deadline_ms).max().unwrap_or(DRAIN_MS);
    tokio::select! {
        biased;
        () = ended => {}
        () = sleep(Duration::from_millis(longest_ms + DRAIN_EXTRA_MS)) => calls.abort.cancel(),
    }
}

async fn watch_config<N: Net>(path: Rc<Path<N>>, end: CancellationToken) {
    let mut configs = path.parts.store.subscribe();
    configs.mark_changed();
    loop {
        tokio::select! {
            biased;
            () = end.cancelled() => return,
            changed = configs.changed() => if changed.is_err() { return },
        }
        let Some(config) = configs.borrow_and_update().clone() else {
            continue;
        };
        path.parts.apply(&config);
        if let Some(own) = config.upstream(&path.parts.settings.name) {
            path.pool.resize(own.connections);
        }
        let upstreams = config.pieces.values().flat_map(|p| &p.upstreams);
        path.links
            .retain(&upstreams.map(|u| u.peer).collect::<BTreeSet<_>>());
    }
}

async fn tick<N: Net>(path: Rc<Path<N>>, end: CancellationToken) {
    let mut ticks = interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            () = end.cancelled() => return,
            _ = ticks.tick() => {}
        }
        path.parts.gate.tick();
        path.pool.prune();
        path.parts.gauges();
        let connections = path.pool.open().into();
        path.parts
            .counters
            .set(Counter::ServerConnections, connections);
    }
}
