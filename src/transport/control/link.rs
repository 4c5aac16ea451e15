//! Links to peers: dialling, the hello exchange and heartbeats.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use capnp_futures::serialize_packed::{PackedRead, PackedWrite};
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures::io::{BufReader, BufWriter};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep_until, timeout},
};
use tokio_util::{
    compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt},
    io::{InspectReader, InspectWriter},
    sync::CancellationToken,
};

use super::{
    server::{ConnState, Service},
    share::{Identity, Link, Shared, UrgentChanges},
};
use crate::{
    coordination::membership::{DIALLED_MAX, SILENCE_TIMEOUT_MS, choose_peers},
    protocol::{
        message::{Heartbeat, Hello, Status, decode_peer_status, digest_prefix, reader_options},
        peer_capnp::node,
    },
    state::{counters::Counter, id::UpstreamName, object::Upstream, view::PeerStatus},
    transport::net::Net,
};

/// Time between two heartbeats on a link, and the first redial backoff.
const HEARTBEAT_INTERVAL_MS: u64 = 1_000;
/// Time limit of a dial or a call. A TCP segment that is lost twice still arrives after 0.6 s.
pub const CALL_TIMEOUT_MS: u64 = 2_000;
/// Shortest time between two updates of the dialled links; jitter adds up to the same time.
const UPDATE_INTERVAL_MS: u64 = 500;
/// Longest backoff before an unreachable peer is dialled again. It is short so that both sides of a
/// partition reconnect within seconds of its end.
const REDIAL_BACKOFF_MAX_MS: u64 = 4_000;
/// Backoff before a peer that refused the link, such as one without room, is dialled again.
const REFUSED_BACKOFF_MS: u64 = 60_000;
/// Size of the read and write buffers of a connection. A heartbeat takes about 200 bytes, and a
/// buffer larger than a message saves no system calls.
const BUFFER_BYTES: usize = 2_048;

/// Why a dialled link ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkEnd {
    /// The peer has no room for the link or does not know this node, or both are already linked.
    Refused,
    /// The peer is not the one in the configuration, could not be reached, or the link broke.
    Failed,
    /// This node closed the link.
    Closed,
}

/// Result of a call to a peer.
pub type CallResult<T> = Result<T, capnp::Error>;

/// Creates the RPC system of a connection, and counts the bytes sent and received on it.
///
/// Messages are packed, because most bytes of a call and its framing are zero.
/// `own` is the interface offered to the peer.
pub fn open<N: Net>(
    shared: &Shared<N>,
    conn: N::Conn,
    side: Side,
    own: Option<node::Client>,
) -> RpcSystem<Side> {
    let (read, write) = tokio::io::split(conn);
    let counters = shared.counters.clone();
    let received = move |b: &[u8]| counters.add(Counter::ControlReceivedBytes, b.len() as u64);
    let counters = shared.counters.clone();
    let sent = move |b: &[u8]| counters.add(Counter::ControlSentBytes, b.len() as u64);
    let read = InspectReader::new(read, received).compat();
    let write = InspectWriter::new(write, sent).compat_write();
    let network = VatNetwork::new(
        PackedRead::new(BufReader::with_capacity(BUFFER_BYTES, read)),
        PackedWrite::new(BufWriter::with_capacity(BUFFER_BYTES, write)),
        side,
        reader_options(),
    );
    RpcSystem::new(Box::new(network), own.map(|c| c.client))
}

/// Awaits a dial or a call to a peer for at most [`CALL_TIMEOUT_MS`].
pub async fn with_timeout<T>(call: impl Future<Output = CallResult<T>>) -> CallResult<T> {
    let result = timeout(Duration::from_millis(CALL_TIMEOUT_MS), call).await;
    result.unwrap_or_else(|_| {
        Err(capnp::Error::overloaded(
            "the peer did not answer in time".into(),
        ))
    })
}

async fn dial_conn<N: Net>(shared: &Shared<N>, to: SocketAddr) -> CallResult<N::Conn> {
    shared.counters.add(Counter::Dials, 1);
    let dial = async { shared.net.dial(to).await.map_err(capnp::Error::from) };
    let conn = with_timeout(dial).await;
    if conn.is_err() {
        shared.counters.add(Counter::DialsFailed, 1);
    }
    conn
}

/// Calls a node over a new connection that is closed afterwards.
pub async fn call_once<N: Net, T>(
    shared: &Shared<N>,
    to: SocketAddr,
    call: impl AsyncFnOnce(node::Client) -> CallResult<T>,
) -> CallResult<T> {
    let conn = dial_conn(shared, to).await?;
    let mut rpc = open(shared, conn, Side::Client, None);
    let client = rpc.bootstrap(Side::Server);
    tokio::select! {
        biased;
        result = call(client) => result,
        ended = rpc => Err(ended.err().unwrap_or_else(|| {
            capnp::Error::disconnected("closed".into())
        })),
    }
}

/// Maintains links to the chosen peers, with one task for each.
pub async fn manage<N: Net>(shared: Rc<Shared<N>>, stop: CancellationToken) {
    let mut manager = Manager {
        shared: shared.clone(),
        stop: stop.clone(),
        tasks: JoinSet::new(),
        active: BTreeMap::new(),
        backoff: BTreeMap::new(),
    };
    let (mut pauses, mut config) = (shared.pauses.subscribe(), shared.store.subscribe());
    loop {
        manager.update();
        let next = Instant::now() + shared.jitter(UPDATE_INTERVAL_MS, 2 * UPDATE_INTERVAL_MS);
        tokio::select! {
            biased;
            () = stop.cancelled() => break,
            _ = pauses.changed() => manager.backoff.clear(),
            _ = config.changed() => {}
            Some(Ok((name, ended))) = manager.tasks.join_next() => manager.ended(name, ended),
            () = sleep_until(next) => {}
        }
    }
    while manager.tasks.join_next().await.is_some() {}
}

/// Chooses the peers to dial and runs their link tasks.
struct Manager<N: Net> {
    shared: Rc<Shared<N>>,
    stop: CancellationToken,
    tasks: JoinSet<(UpstreamName, LinkEnd)>,
    /// Cancels the task of each peer.
    active: BTreeMap<UpstreamName, CancellationToken>,
    /// End of the backoff and number of consecutive failures of each peer.
    backoff: BTreeMap<UpstreamName, (Instant, u32)>,
}

impl<N: Net> Manager<N> {
    /// Dials peers that are newly chosen and ends links to nodes that are no longer in the
    /// configuration.
    fn update(&mut self) {
        let Some(config) = self.shared.store.config() else {
            return;
        };
        let settings = &self.shared.settings;
        let now = Instant::now();
        let mut excluded: BTreeSet<_> = {
            let links = self.shared.links.borrow();
            let accepted = links.values().filter(|l| !l.dialled);
            accepted.map(|l| l.identity.name.clone()).collect()
        };
        let in_backoff = self.backoff.iter().filter(|(_, (until, _))| now < *until);
        excluded.extend(in_backoff.map(|(name, _)| name.clone()));
        let chosen = choose_peers(
            &config,
            &settings.name,
            &settings.service,
            &settings.zone,
            &excluded,
        );
        for (name, token) in &self.active {
            if config.upstream(name).is_none() {
                token.cancel();
            }
        }
        let chosen_names: BTreeSet<_> = chosen.iter().map(|u| u.name.clone()).collect();
        self.drop_surplus(&chosen_names);
        for upstream in chosen {
            if !self.active.contains_key(&upstream.name) {
                self.dial(upstream.clone());
            }
        }
    }

    /// Closes links to peers that are no longer chosen, but only as many as exceed [`DIALLED_MAX`]
    /// dialled links, so that their replacements are linked first.
    fn drop_surplus(&self, chosen_names: &BTreeSet<UpstreamName>) {
        let links = self.shared.links.borrow();
        let dialled: Vec<_> = links.values().filter(|l| l.dialled).collect();
        let surplus = dialled.len().saturating_sub(DIALLED_MAX);
        let unwanted = dialled
            .iter()
            .filter(|l| !chosen_names.contains(&l.identity.name));
        for link in unwanted.take(surplus) {
            if let Some(token) = self.active.get(&link.identity.name) {
                token.cancel();
            }
        }
    }

    fn dial(&mut self, upstream: Upstream) {
        let token = self.stop.child_token();
        let (shared, name) = (self.shared.clone(), upstream.name.clone());
        self.active.insert(name.clone(), token.clone());
        self.tasks.spawn_local(async move {
            shared.dialling.borrow_mut().insert(name.clone());
            let ended = dial(&shared, &upstream, &token).await;
            shared.dialling.borrow_mut().remove(&name);
            (name, ended)
        });
    }

    /// Sets the backoff of a peer whose link has ended.
    fn ended(&mut self, name: UpstreamName, ended: LinkEnd) {
        self.active.remove(&name);
        let failures = self.backoff.get(&name).map_or(0, |(_, f)| *f);
        let (wait, failures) = match ended {
            LinkEnd::Closed => (0, 0),
            LinkEnd::Refused => (REFUSED_BACKOFF_MS, 0),
            LinkEnd::Failed => (
                (HEARTBEAT_INTERVAL_MS << failures.min(2)).min(REDIAL_BACKOFF_MAX_MS),
                failures + 1,
            ),
        };
        let wait = match wait {
            0 => Duration::ZERO,
            wait => self.shared.jitter(wait / 2, wait),
        };
        self.backoff.insert(name, (Instant::now() + wait, failures));
    }
}

/// Dials a peer and runs the link until it ends.
async fn dial<N: Net>(shared: &Rc<Shared<N>>, to: &Upstream, token: &CancellationToken) -> LinkEnd {
    let mut pauses = shared.pauses.subscribe();
    let conn = tokio::select! {
        biased;
        () = token.cancelled() => return LinkEnd::Closed,
        _ = pauses.changed() => return LinkEnd::Closed,
        conn = dial_conn(shared, to.control) => conn,
    };
    let Ok(conn) = conn else {
        shared.mark_lost(&to.name);
        return LinkEnd::Failed;
    };
    let conn_state = Rc::new(ConnState::new(to.control.ip()));
    let own = capnp_rpc::new_client(Service::new(shared.clone(), conn_state.clone()));
    let mut rpc = open(shared, conn, Side::Client, Some(own));
    let client: node::Client = rpc.bootstrap(Side::Server);
    conn_state.set_client(client.clone());
    let ended = tokio::select! {
        biased;
        () = token.cancelled() => LinkEnd::Closed,
        _ = pauses.changed() => LinkEnd::Closed,
        () = conn_state.refused() => LinkEnd::Failed,
        ended = run_dialled(shared, to, client, &conn_state) => ended,
        _ = rpc => LinkEnd::Failed,
    };
    if let Some((identity, id)) = conn_state.link() {
        shared.remove_link(&identity.name, id);
        if ended == LinkEnd::Failed {
            shared.mark_lost(&identity.name);
        }
    }
    ended
}

/// Exchanges hellos over a dialled connection, then heartbeats until the link ends.
async fn run_dialled<N: Net>(
    shared: &Rc<Shared<N>>,
    to: &Upstream,
    client: node::Client,
    conn_state: &Rc<ConnState>,
) -> LinkEnd {
    let Ok((hello, status, accepted, own_status)) =
        with_timeout(exchange_hello(shared, &client)).await
    else {
        return LinkEnd::Failed;
    };
    shared.check_pause();
    if hello.name != to.name || hello.service != to.service {
        shared.counters.add(Counter::MessagesRefused, 1);
        return LinkEnd::Failed;
    }
    let now = Instant::now();
    if !accepted {
        check_status(shared, &hello.name, &status, now);
        return LinkEnd::Refused;
    }
    let link = Link {
        id: shared.next_link_id(),
        client,
        identity: Identity {
            name: hello.name,
            service: to.service.clone(),
            zone: to.zone.clone(),
            incarnation: hello.incarnation,
        },
        dialled: true,
        revision: status.held.map(|h| h.0).unwrap_or_default(),
        last_heard: now,
    };
    conn_state.set_link(link.identity.clone(), link.id);
    if !shared.add_link(link.clone()) {
        return LinkEnd::Refused;
    }
    if own_status == PeerStatus::Down {
        shared.view.borrow_mut().announce_self(false, now);
    }
    check_status(shared, &link.identity.name, &status, now);
    match exchange_heartbeats(shared, &link).await {
        Ok(()) => LinkEnd::Closed,
        Err(_) => LinkEnd::Failed,
    }
}

/// Starts a fetch when a peer has a newer revision. A peer that refuses the link is also trusted,
/// because the configuration lists it.
fn check_status<N: Net>(shared: &Shared<N>, peer: &UpstreamName, status: &Status, now: Instant) {
    if let Some((revision, digest)) = status.held {
        shared.check_revision(peer, revision, digest_prefix(digest), now);
    }
}

/// Sends the hello of this node. Returns the hello and status of the peer, whether it accepted the
/// link, and the status of this node in the peer's view.
async fn exchange_hello<N: Net>(
    shared: &Shared<N>,
    client: &node::Client,
) -> CallResult<(Hello, Status, bool, PeerStatus)> {
    let mut request = client.hello_request();
    shared.hello().write(request.get().init_hello());
    let response = request.send().promise.await?;
    let results = response.get()?;
    let hello = Hello::read(results.get_hello()?)?;
    let status = Status::read(results.get_status()?)?;
    let own_status = decode_peer_status(results.get_seen());
    Ok((hello, status, results.get_accepted(), own_status))
}

/// Exchanges heartbeats on an established link until it fails.
///
/// The node that dialled sends one every second, and the reply carries the heartbeat of the peer.
/// Either node sends one at once when it has urgent news or a newer revision than the peer.
pub async fn exchange_heartbeats<N: Net>(shared: &Rc<Shared<N>>, link: &Link) -> CallResult<()> {
    let mut urgent = shared.urgent.subscribe();
    let mut sent = *urgent.borrow_and_update();
    let mut next = Instant::now() + shared.jitter(0, HEARTBEAT_INTERVAL_MS);
    loop {
        tokio::select! {
            biased;
            _ = urgent.changed() => {
                let current = *urgent.borrow_and_update();
                let due = is_due(shared, link, sent, current);
                sent = current;
                if !due {
                    continue;
                }
            }
            () = sleep_until(next) => {
                next = (next + Duration::from_millis(HEARTBEAT_INTERVAL_MS)).max(Instant::now());
                if !link.dialled {
                    check_silence(shared, link)?;
                    continue;
                }
            }
        }
        with_timeout(send_heartbeat(shared, link)).await?;
    }
}

/// Whether changes since the last heartbeat must be sent to this peer at once.
fn is_due<N: Net>(
    shared: &Shared<N>,
    link: &Link,
    sent: UrgentChanges,
    current: UrgentChanges,
) -> bool {
    let links = shared.links.borrow();
    let behind = |l: &Link| l.revision < shared.store.revision();
    let has_newer =
        current.revisions != sent.revisions && links.get(&link.identity.name).is_some_and(behind);
    has_newer || (current.news != sent.news && shared.view.borrow().has_news())
}

/// Fails when the link was replaced or the peer has exceeded the silence timeout.
fn check_silence<N: Net>(shared: &Shared<N>, link: &Link) -> CallResult<()> {
    let links = shared.links.borrow();
    let Some(current) = links.get(&link.identity.name).filter(|l| l.id == link.id) else {
        return Err(capnp::Error::disconnected("replaced".into()));
    };
    if current.last_heard.elapsed() >= Duration::from_millis(SILENCE_TIMEOUT_MS) {
        return Err(capnp::Error::disconnected(
            "no heartbeat from the peer in time".into(),
        ));
    }
    Ok(())
}

/// Sends a heartbeat and applies the one in the reply.
async fn send_heartbeat<N: Net>(shared: &Shared<N>, link: &Link) -> CallResult<()> {
    let mut request = link.client.beat_request();
    let heartbeat = shared.heartbeat(&link.identity.zone);
    heartbeat.write(request.get().init_beat());
    shared.counters.add(Counter::HeartbeatsSent, 1);
    let response = request.send().promise.await?;
    let heartbeat = Heartbeat::read(response.get()?.get_beat()?)?;
    shared.handle_heartbeat(&link.identity, link.id, heartbeat);
    Ok(())
}
