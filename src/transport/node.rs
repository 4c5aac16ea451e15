//! Startup, shutdown and background tasks of one node.

use std::{collections::BTreeSet, future::Future, io, net::SocketAddr, rc::Rc, time::Duration};

use thiserror::Error;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};
use tokio_util::sync::CancellationToken;

use crate::{
    coordination::gate::GateState,
    state::{counters::Counter, settings::Settings},
};

pub use super::parts::{DataPlane, NodeContext};

use super::{
    admin::Admin,
    control::{self, Control as ControlPlane},
    egress::Egress,
    health,
    link::Links,
    net::{Listener, Net},
    observe::Observer,
    peer::Peer,
    pool::Pool,
    public::Public,
    server::{Handler, HttpVersion, Shutdown, listen},
    tasks::Tasks,
};

const TICK_INTERVAL_MS: u64 = 100;
/// Time limit for calls in progress at a shutdown, if there is no configuration with deadlines.
const DRAIN_TIMEOUT_MS: u64 = 5_000;
/// Additional time after the longest deadline for sending the last responses.
const DRAIN_MARGIN_MS: u64 = 500;

/// Time at the start of a shutdown during which the listeners stay open and refuse new calls as
/// `not-run` with `cb-leaving`.
///
/// Peers of the control plane learn of the shutdown from a heartbeat, within 1 s; other callers
/// learn of it from these responses.
const LEAVE_NOTICE_MS: u64 = 1_000;

const PUBLIC_CONNECTIONS_MAX: usize = 4_096;
const PEER_CONNECTIONS_MAX: usize = 2_048;
const EGRESS_CONNECTIONS_MAX: usize = 4_096;
const ADMIN_CONNECTIONS_MAX: usize = 16;

/// Errors of a node.
#[derive(Debug, Error)]
pub enum Error {
    /// A listener could not be bound.
    #[error("could not listen at {at}")]
    Bind {
        /// The address.
        at: SocketAddr,
        /// Error of the network.
        #[source]
        source: io::Error,
    },
}

/// Result of a node.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Runs a node until `stop` is cancelled; returns when its calls and tasks have ended.
///
/// # Errors
/// A listener could not be bound.
pub async fn run<N: Net>(net: N, settings: Settings, stop: CancellationToken) -> Result<()> {
    run_with(net, Rc::new(NodeContext::new(settings)), stop).await
}

/// Runs a node with an existing context, which may already hold a configuration.
///
/// # Errors
/// A listener could not be bound.
pub async fn run_with<N: Net>(
    net: N,
    node: Rc<NodeContext>,
    stop: CancellationToken,
) -> Result<()> {
    let plane = Rc::new(DataPlane {
        pool: Pool::new(net.clone(), node.settings.server),
        links: Links::new(net.clone(), node.counters.clone()),
        health: Rc::default(),
        node,
    });
    let settings = &plane.node.settings;
    let public = bind(&net, settings.public).await?;
    let peer = bind(&net, settings.peer).await?;
    let egress = bind(&net, settings.egress).await?;
    let admin = bind(&net, settings.admin).await?;

    // Cancelled after the last call has ended; stops the background tasks.
    let end = CancellationToken::new();
    let background = Tasks::default();
    background.spawn(watch_config(plane.clone(), end.clone()));
    background.spawn(tick(plane.clone(), end.clone()));
    background.spawn(health::watch(plane.clone(), end.clone()));
    // Cancelled by `stop`, and by the control plane if the backend server drains or the instance
    // list shows this instance as leaving.
    let leaving = stop.child_token();
    let listener = bind(&net, settings.control).await?;
    let control = control_plane(&net, &plane.node, &leaving);
    background.spawn(control::run(control, listener, end.clone()));

    let (call_shutdown, local_shutdown) = (Shutdown::default(), Shutdown::default());
    let call_tasks = Tasks::default();
    spawn_listener(
        &call_tasks,
        public,
        HttpVersion::Auto,
        PUBLIC_CONNECTIONS_MAX,
        Public(plane.clone()),
        &call_shutdown,
    );
    spawn_listener(
        &call_tasks,
        peer,
        HttpVersion::Http2,
        PEER_CONNECTIONS_MAX,
        Peer(plane.clone()),
        &call_shutdown,
    );
    let local_tasks = Tasks::default();
    spawn_listener(
        &local_tasks,
        egress,
        HttpVersion::Http1,
        EGRESS_CONNECTIONS_MAX,
        Egress(plane.clone()),
        &local_shutdown,
    );
    spawn_listener(
        &local_tasks,
        admin,
        HttpVersion::Http1,
        ADMIN_CONNECTIONS_MAX,
        Admin(plane.clone()),
        &local_shutdown,
    );

    leaving.cancelled().await;
    plane.node.gate.set_state(GateState::Leaving);
    plane.node.leaving.set(true);
    // Callers learn of the shutdown from a refusal, before their connections are closed.
    sleep(Duration::from_millis(LEAVE_NOTICE_MS)).await;
    call_shutdown.drain.cancel();
    drain(&plane.node, call_tasks.join(), &call_shutdown).await;
    call_tasks.join().await;
    local_shutdown.drain.cancel();
    local_shutdown.abort.cancel();
    local_tasks.join().await;
    end.cancel();
    background.join().await;
    plane.links.close().await;
    plane.pool.close().await;
    Ok(())
}

fn control_plane<N: Net>(
    net: &N,
    node: &Rc<NodeContext>,
    leaving: &CancellationToken,
) -> ControlPlane<N> {
    ControlPlane {
        net: net.clone(),
        settings: node.settings.clone(),
        store: node.store.clone(),
        gate: node.gate.clone(),
        router: node.router.clone(),
        counters: node.counters.clone(),
        journal: node.journal.clone(),
        rng: node.new_rng(),
        incarnation: node.incarnation,
        leaving: leaving.clone(),
    }
}

pub(super) async fn bind<N: Net>(net: &N, at: SocketAddr) -> Result<N::Listener> {
    net.bind(at)
        .await
        .map_err(|source| Error::Bind { at, source })
}

pub(super) fn spawn_listener<L, H>(
    tasks: &Tasks,
    listener: L,
    version: HttpVersion,
    max_connections: usize,
    handler: H,
    shutdown: &Shutdown,
) where
    L: Listener + 'static,
    L::Conn: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin + 'static,
    H: Handler,
{
    tasks.spawn(listen(
        listener,
        version,
        max_connections,
        Rc::new(handler),
        shutdown.clone(),
    ));
}

/// Waits for the calls in progress, and cancels those that run past the longest deadline.
async fn drain(node: &NodeContext, ended: impl Future<Output = ()>, call_shutdown: &Shutdown) {
    let config = node.store.config();
    let classes = config
        .iter()
        .flat_map(|c| c.pieces.values())
        .flat_map(|p| &p.classes);
    let longest_ms = classes
        .map(|c| c.deadline_ms)
        .max()
        .unwrap_or(DRAIN_TIMEOUT_MS);
    tokio::select! {
        biased;
        () = ended => {}
        () = sleep(Duration::from_millis(longest_ms + DRAIN_MARGIN_MS)) => call_shutdown.abort.cancel(),
    }
}

async fn watch_config<N: Net>(plane: Rc<DataPlane<N>>, end: CancellationToken) {
    let mut configs = plane.node.store.subscribe();
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
        plane.node.apply_config(&config);
        if let Some(upstream) = config.upstream(&plane.node.settings.name) {
            plane.pool.resize(upstream.connections);
        }
        let upstreams = config.pieces.values().flat_map(|p| &p.upstreams);
        plane
            .links
            .retain(&upstreams.map(|u| u.peer).collect::<BTreeSet<_>>());
    }
}

async fn tick<N: Net>(plane: Rc<DataPlane<N>>, end: CancellationToken) {
    let mut ticks = interval(Duration::from_millis(TICK_INTERVAL_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut observer = Observer::default();
    loop {
        tokio::select! {
            biased;
            () = end.cancelled() => return,
            _ = ticks.tick() => {}
        }
        plane.node.last_tick.set(Instant::now());
        plane.node.gate.tick();
        observer.tick(&plane.node);
        plane.pool.prune();
        plane.node.update_gauges();
        let connections = plane.pool.open().into();
        plane
            .node
            .counters
            .set(Counter::ServerConnections, connections);
    }
}
