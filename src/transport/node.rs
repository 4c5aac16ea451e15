//! Assembly of one node.

use std::{collections::BTreeSet, future::Future, io, net::SocketAddr, rc::Rc, time::Duration};

use thiserror::Error;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};
use tokio_util::sync::CancellationToken;

use crate::{
    coordination::gate::GateState,
    state::{counters::Counter, settings::Settings},
};

pub use super::parts::{NodeContext, Path};

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

const TICK_MS: u64 = 100;
/// Longest time for calls in progress at a stop when no configuration names a deadline.
const DRAIN_MS: u64 = 5_000;
/// Time beyond the longest deadline for the answers of the last calls.
const DRAIN_EXTRA_MS: u64 = 500;

/// Time in which new calls are still answered, as `not-run` with `cb-leaving`.
///
/// News of the leaving reaches all peers within a heartbeat of 1 s; the others learn from this.
const NOTICE_MS: u64 = 1_000;

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

/// Runs a node until `stop` is cancelled; returns after its calls and tasks have ended.
///
/// # Errors
/// A listener could not be bound.
pub async fn run<N: Net>(net: N, settings: Settings, stop: CancellationToken) -> Result<()> {
    run_with(net, Rc::new(NodeContext::new(settings)), stop).await
}

/// Runs a node on parts made before, which may hold a configuration already.
///
/// # Errors
/// A listener could not be bound.
pub async fn run_with<N: Net>(
    net: N,
    parts: Rc<NodeContext>,
    stop: CancellationToken,
) -> Result<()> {
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

    let (calls, inner) = (Shutdown::default(), Shutdown::default());
    let outer = Tasks::default();
    spawn_listener(
        &outer,
        public,
        HttpVersion::Both,
        PUBLIC_CONNECTIONS,
        Public(path.clone()),
        &calls,
    );
    spawn_listener(
        &outer,
        peer,
        HttpVersion::Http2,
        PEER_CONNECTIONS,
        Peer(path.clone()),
        &calls,
    );
    let local = Tasks::default();
    spawn_listener(
        &local,
        egress,
        HttpVersion::Http1,
        EGRESS_CONNECTIONS,
        Egress(path.clone()),
        &inner,
    );
    spawn_listener(
        &local,
        admin,
        HttpVersion::Http1,
        ADMIN_CONNECTIONS,
        Admin(path.clone()),
        &inner,
    );

    leaving.cancelled().await;
    path.parts.gate.set_state(GateState::Leaving);
    path.parts.leaving.set(true);
    // Callers learn of it from a refusal, before their connections are closed.
    sleep(Duration::from_millis(NOTICE_MS)).await;
    calls.drain.cancel();
    drain(&path.parts, outer.join(), &calls).await;
    outer.join().await;
    inner.drain.cancel();
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
    parts: &Rc<NodeContext>,
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
        rng: parts.new_rng(),
        incarnation: parts.incarnation,
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
    connections: usize,
    handler: H,
    stop: &Shutdown,
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
async fn drain(parts: &NodeContext, ended: impl Future<Output = ()>, calls: &Shutdown) {
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
    let mut observer = Observer::default();
    loop {
        tokio::select! {
            biased;
            () = end.cancelled() => return,
            _ = ticks.tick() => {}
        }
        path.parts.ticked.set(Instant::now());
        path.parts.gate.tick();
        observer.tick(&path.parts);
        path.pool.prune();
        path.parts.gauges();
        let connections = path.pool.open().into();
        path.parts
            .counters
            .set(Counter::ServerConnections, connections);
    }
}
