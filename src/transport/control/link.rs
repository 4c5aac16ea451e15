//! Links to peers: dialling, hello and heartbeats.

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
    server::{Conn, Service},
    share::{Identity, Link, Shared, Urgent},
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

const BEAT_MS: u64 = 1_000;
/// Longest wait for a connection or an answer. A segment lost twice arrives after 0.6 s.
pub const ANSWER_MS: u64 = 2_000;
const MANAGE_MS: u64 = 500;
/// Longest time before a peer that cannot be reached is dialled again. It is short so that both
/// sides of a partition find each other within seconds of its end.
const REDIAL_MAX_MS: u64 = 4_000;
/// Time before a peer without room for another link is dialled again.
const FULL_MS: u64 = 60_000;
/// Heartbeats take about 200 bytes; a buffer larger than a message saves no writes.
const BUFFER_BYTES: usize = 2_048;

/// Why a dialled link ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// The peer has no room, or does not know this node.
    Refused,
    /// The peer is not who the configuration says, cannot be reached, or was lost.
    Failed,
    /// This node ended it.
    Closed,
}

/// Result of a call to a peer.
pub type Answer<T> = Result<T, capnp::Error>;

/// The RPC system of one connection, counting its bytes.
///
/// Messages are packed: most of a call with its framing is zero bytes.
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

/// Waits for a call to a peer, at most [`ANSWER_MS`].
pub async fn within<T>(call: impl Future<Output = Answer<T>>) -> Answer<T> {
    let done = timeout(Duration::from_millis(ANSWER_MS), call).await;
    done.unwrap_or_else(|_| Err(capnp::Error::overloaded("no answer in time".into())))
}

async fn dial_conn<N: Net>(shared: &Shared<N>, to: SocketAddr) -> Answer<N::Conn> {
    shared.counters.add(Counter::Dials, 1);
    let dial = async { shared.net.dial(to).await.map_err(capnp::Error::from) };
    let conn = within(dial).await;
    if conn.is_err() {
        shared.counters.add(Counter::DialsFailed, 1);
    }
    conn
}

/// Calls a node over a connection of its own.
pub async fn visit<N: Net, T>(
    shared: &Shared<N>,
    to: SocketAddr,
    call: impl AsyncFnOnce(node::Client) -> Answer<T>,
) -> Answer<T> {
    let conn = dial_conn(shared, to).await?;
    let mut rpc = open(shared, conn, Side::Client, None);
    let client = rpc.bootstrap(Side::Server);
    tokio::select! {
        biased;
        done = call(client) => done,
        ended = rpc => Err(ended.err().unwrap_or_else(|| capnp::Error::disconnected("closed".into()))),
    }
}

/// Keeps the dialled links: one task per peer.
pub async fn manage<N: Net>(shared: Rc<Shared<N>>, stop: CancellationToken) {
    let mut manager = Manager {
        shared: shared.clone(),
        stop: stop.clone(),
        tasks: JoinSet::new(),
        active: BTreeMap::new(),
        avoid: BTreeMap::new(),
    };
    let (mut woken, mut config) = (shared.woken.subscribe(), shared.store.subscribe());
    loop {
        manager.update();
        let next = Instant::now() + shared.jitter(MANAGE_MS, 2 * MANAGE_MS);
        tokio::select! {
            biased;
            () = stop.cancelled() => break,
            _ = woken.changed() => manager.avoid.clear(),
            _ = config.changed() => {}
            Some(Ok((name, ended))) = manager.tasks.join_next() => manager.ended(name, ended),
            () = sleep_until(next) => {}
        }
    }
    while manager.tasks.join_next().await.is_some() {}
}

struct Manager<N: Net> {
    shared: Rc<Shared<N>>,
    stop: CancellationToken,
    tasks: JoinSet<(UpstreamName, Ended)>,
    active: BTreeMap<UpstreamName, CancellationToken>,
    avoid: BTreeMap<UpstreamName, (Instant, u32)>,
}

impl<N: Net> Manager<N> {
    fn update(&mut self) {
        let Some(config) = self.shared.store.config() else {
            return;
        };
        let settings = &self.shared.settings;
        let now = Instant::now();
        let mut avoid: BTreeSet<_> = {
            let links = self.shared.links.borrow();
            let accepted = links.values().filter(|l| !l.dialled);
            accepted.map(|l| l.identity.name.clone()).collect()
        };
        let waiting = self.avoid.iter().filter(|(_, (until, _))| now < *until);
        avoid.extend(waiting.map(|(name, _)| name.clone()));
        let chosen = choose_peers(
            &config,
            &settings.name,
            &settings.service,
            &settings.zone,
            &avoid,
        );
        for (name, token) in &self.active {
            if config.upstream(name).is_none() {
                token.cancel();
            }
        }
        let wanted: BTreeSet<_> = chosen.iter().map(|u| u.name.clone()).collect();
        self.drop_surplus(&wanted);
        for upstream in chosen {
            if !self.active.contains_key(&upstream.name) {
                self.dial(upstream.clone());
            }
        }
    }

    /// Ends links to peers that are no longer chosen, once their successors are linked.
    fn drop_surplus(&self, wanted: &BTreeSet<UpstreamName>) {
        let links = self.shared.links.borrow();
        let dialled: Vec<_> = links.values().filter(|l| l.dialled).collect();
        let surplus = dialled.len().saturating_sub(DIALLED_MAX);
        let unwanted = dialled
            .iter()
            .filter(|l| !wanted.contains(&l.identity.name));
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

    fn ended(&mut self, name: UpstreamName, ended: Ended) {
        self.active.remove(&name);
        let failures = self.avoid.get(&name).map_or(0, |(_, f)| *f);
        let (wait, failures) = match ended {
            Ended::Closed => (0, 0),
            Ended::Refused => (FULL_MS, 0),
            Ended::Failed => (
                (BEAT_MS << failures.min(2)).min(REDIAL_MAX_MS),
                failures + 1,
            ),
        };
        let wait = match wait {
            0 => Duration::ZERO,
            wait => self.shared.jitter(wait / 2, wait),
        };
        self.avoid.insert(name, (Instant::now() + wait, failures));
    }
}

async fn dial<N: Net>(shared: &Rc<Shared<N>>, to: &Upstream, token: &CancellationToken) -> Ended {
    let mut woken = shared.woken.subscribe();
    let conn = tokio::select! {
        biased;
        () = token.cancelled() => return Ended::Closed,
        _ = woken.changed() => return Ended::Closed,
        conn = dial_conn(shared, to.control) => conn,
    };
    let Ok(conn) = conn else {
        shared.lost(&to.name);
        return Ended::Failed;
    };
    let end = Rc::new(Conn::new(to.control.ip()));
    let own = capnp_rpc::new_client(Service::new(shared.clone(), end.clone()));
    let mut rpc = open(shared, conn, Side::Client, Some(own));
    let client: node::Client = rpc.bootstrap(Side::Server);
    end.set_client(client.clone());
    let ended = tokio::select! {
        biased;
        () = token.cancelled() => Ended::Closed,
        _ = woken.changed() => Ended::Closed,
        () = end.refused() => Ended::Failed,
        ended = talk(shared, to, client, &end) => ended,
        _ = rpc => Ended::Failed,
    };
    if let Some((identity, id)) = end.link() {
        shared.remove_link(&identity.name, id);
        if ended == Ended::Failed {
            shared.lost(&identity.name);
        }
    }
    ended
}

async fn talk<N: Net>(
    shared: &Rc<Shared<N>>,
    to: &Upstream,
    client: node::Client,
    end: &Rc<Conn>,
) -> Ended {
    let Ok((hello, status, accepted, seen)) = within(greet(shared, &client)).await else {
        return Ended::Failed;
    };
    shared.check_pause();
    if hello.name != to.name || hello.service != to.service {
        shared.counters.add(Counter::MessagesRefused, 1);
        return Ended::Failed;
    }
    let now = Instant::now();
    if !accepted {
        note_status(shared, &hello.name, &status, now);
        return Ended::Refused;
    }
    let link = Link {
        id: shared.next_link(),
        client,
        identity: Identity {
            name: hello.name,
            service: to.service.clone(),
            zone: to.zone.clone(),
            incarnation: hello.incarnation,
        },
        dialled: true,
        revision: status.held.map(|h| h.0).unwrap_or_default(),
        heard: now,
    };
    end.set_link(link.identity.clone(), link.id);
    if !shared.add_link(link.clone()) {
        return Ended::Refused;
    }
    if seen == PeerStatus::Down {
        shared.view.borrow_mut().announce_self(false, now);
    }
    note_status(shared, &link.identity.name, &status, now);
    match run(shared, &link).await {
        Ok(()) => Ended::Closed,
        Err(_) => Ended::Failed,
    }
}

/// Asks for the head of a peer that is ahead. The peer is in the configuration, so its word
/// counts also when it has no room for a link.
fn note_status<N: Net>(shared: &Shared<N>, from: &UpstreamName, status: &Status, now: Instant) {
    if let Some((revision, digest)) = status.held {
        shared.learn_revision(from, revision, digest_prefix(digest), now);
    }
}

async fn greet<N: Net>(
    shared: &Shared<N>,
    client: &node::Client,
) -> Answer<(Hello, Status, bool, PeerStatus)> {
    let mut request = client.hello_request();
    shared.hello().write(request.get().init_hello());
    let response = request.send().promise.await?;
    let results = response.get()?;
    let hello = Hello::read(results.get_hello()?)?;
    let status = Status::read(results.get_status()?)?;
    let seen = decode_peer_status(results.get_seen());
    Ok((hello, status, results.get_accepted(), seen))
}

/// Exchanges heartbeats on an established link until it fails.
///
/// The node that dialled sends one each second; both send one at once when they have urgent news
/// or a revision that the other has not.
pub async fn run<N: Net>(shared: &Rc<Shared<N>>, link: &Link) -> Answer<()> {
    let mut urgent = shared.urgent.subscribe();
    let mut told = *urgent.borrow_and_update();
    let mut next = Instant::now() + shared.jitter(0, BEAT_MS);
    loop {
        tokio::select! {
            biased;
            _ = urgent.changed() => {
                let now = *urgent.borrow_and_update();
                let due = is_due(shared, link, told, now);
                told = now;
                if !due {
                    continue;
                }
            }
            () = sleep_until(next) => {
                next = (next + Duration::from_millis(BEAT_MS)).max(Instant::now());
                if !link.dialled {
                    check_silence(shared, link)?;
                    continue;
                }
            }
        }
        within(exchange(shared, link)).await?;
    }
}

fn is_due<N: Net>(shared: &Shared<N>, link: &Link, told: Urgent, now: Urgent) -> bool {
    let links = shared.links.borrow();
    let behind = |l: &Link| l.revision < shared.store.revision();
    let revision =
        now.revisions != told.revisions && links.get(&link.identity.name).is_some_and(behind);
    revision || (now.news != told.news && shared.view.borrow().has_news())
}

fn check_silence<N: Net>(shared: &Shared<N>, link: &Link) -> Answer<()> {
    let links = shared.links.borrow();
    let Some(current) = links.get(&link.identity.name).filter(|l| l.id == link.id) else {
        return Err(capnp::Error::disconnected("replaced".into()));
    };
    if current.heard.elapsed() >= Duration::from_millis(SILENCE_TIMEOUT_MS) {
        return Err(capnp::Error::disconnected("peer is silent".into()));
    }
    Ok(())
}

async fn exchange<N: Net>(shared: &Shared<N>, link: &Link) -> Answer<()> {
    let mut request = link.client.beat_request();
    let beat = shared.beat(&link.identity.zone);
    beat.write(request.get().init_beat());
    shared.counters.add(Counter::HeartbeatsSent, 1);
    let response = request.send().promise.await?;
    let beat = Heartbeat::read(response.get()?.get_beat()?)?;
    shared.heard(&link.identity, link.id, beat);
    Ok(())
}
