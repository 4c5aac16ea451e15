//! What a node answers to its peers.

use std::{cell::RefCell, net::IpAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use capnp_rpc::rpc_twoparty_capnp::Side;
use tokio::{
    sync::Notify,
    task::JoinSet,
    time::{Instant, sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use super::{
    follow,
    link::{self, Answer, within},
    share::{Identity, Link, Shared},
};
use crate::{
    coordination::follow::check_piece,
    protocol::{
        message::{
            CONTENT_MAX_BYTES, Heartbeat, Hello, ListView, encode_peer_status, read_digests,
        },
        peer_capnp::node,
    },
    state::{
        counters::Counter,
        id::Digest,
        object::Upstream,
        publication::{Bucket, Head, Piece, bucket_of, decode},
    },
    transport::net::{Listener, Net},
};

/// Connections that are served at once: the links and short visits.
const CONNECTIONS_MAX: usize = 64;
/// A connection without an accepted link is closed after this time.
const VISIT_MS: u64 = 10_000;
/// Pause after a failed accept, as when the process is out of descriptors.
const ACCEPT_RETRY_MS: u64 = 100;
/// Time in which a peer may prove that it is in a new configuration.
const PROOF_MS: u64 = 10_000;
const PROOF_RETRY_MS: u64 = 1_000;

/// This node's end of a connection.
pub struct Conn {
    remote: IpAddr,
    client: RefCell<Option<node::Client>>,
    hello: RefCell<Option<Hello>>,
    link: RefCell<Option<(Identity, u64)>>,
    linked: Notify,
    refused: Notify,
}

impl Conn {
    pub fn new(remote: IpAddr) -> Self {
        Self {
            remote,
            client: RefCell::new(None),
            hello: RefCell::new(None),
            link: RefCell::new(None),
            linked: Notify::new(),
            refused: Notify::new(),
        }
    }

    pub fn set_client(&self, client: node::Client) {
        *self.client.borrow_mut() = Some(client);
    }

    pub fn set_link(&self, identity: Identity, id: u64) {
        *self.link.borrow_mut() = Some((identity, id));
        self.linked.notify_one();
    }

    pub fn link(&self) -> Option<(Identity, u64)> {
        self.link.borrow().clone()
    }

    /// Completes when a message on the connection was refused.
    pub async fn refused(&self) {
        self.refused.notified().await;
    }
}

/// Serves the peers of a node.
pub struct Service<N: Net> {
    shared: Rc<Shared<N>>,
    conn: Rc<Conn>,
}

impl<N: Net> Service<N> {
    pub fn new(shared: Rc<Shared<N>>, conn: Rc<Conn>) -> Self {
        Self { shared, conn }
    }

    fn check<T, E: Into<capnp::Error>>(&self, read: Result<T, E>) -> Answer<T> {
        read.map_err(|e| self.refuse(e.into()))
    }

    fn refuse(&self, error: capnp::Error) -> capnp::Error {
        log::warn!("peer={} refused={:?}", self.conn.remote, error.extra);
        self.shared.counters.add(Counter::MessagesRefused, 1);
        self.conn.refused.notify_one();
        error
    }

    fn known(&self) -> Answer<(Identity, u64)> {
        let stranger = || capnp::Error::failed("not an accepted peer".into());
        self.conn.link().ok_or_else(|| self.refuse(stranger()))
    }

    async fn admit(&self, hello: &Hello) -> bool {
        let client = self.conn.client.borrow().clone();
        let Some(client) = client else {
            return false;
        };
        let Some(upstream) = believe(&self.shared, hello, self.conn.remote, &client).await else {
            return false;
        };
        let link = Link {
            id: self.shared.next_link(),
            client,
            identity: Identity {
                name: upstream.name,
                service: upstream.service,
                zone: upstream.zone,
                incarnation: hello.incarnation,
            },
            dialled: false,
            revision: Default::default(),
            heard: Instant::now(),
        };
        let (identity, id) = (link.identity.clone(), link.id);
        let added = self.shared.add_link(link);
        if added {
            *self.conn.hello.borrow_mut() = Some(hello.clone());
            self.conn.set_link(identity, id);
        }
        added
    }
}

/// The upstream that a caller is, if the configuration held here has it at that address.
///
/// A caller of a service that this node holds no piece of proves its place: it sends the bucket
/// and the piece that lead to it from the head held here, each checked against its digest.
async fn believe<N: Net>(
    shared: &Shared<N>,
    hello: &Hello,
    remote: IpAddr,
    client: &node::Client,
) -> Option<Upstream> {
    let config = shared.store.config()?;
    let is_caller = |u: &Upstream| {
        u.name == hello.name
            && u.service == hello.service
            && u.control == hello.control
            && u.control.ip() == remote
    };
    if let Some(piece) = config.pieces.get(&hello.service) {
        return piece.upstreams.iter().find(|u| is_caller(u)).cloned();
    }
    let content = shared.store.part(&config.digest)?;
    let head: Head = decode("head", config.digest, &content).ok()?;
    let digest = *head.buckets.get(bucket_of(&hello.service))?;
    let content = shown(shared, client, digest).await?;
    let bucket: Bucket = decode("bucket", digest, &content).ok()?;
    let digest = *bucket.services.get(&hello.service)?;
    let content = shown(shared, client, digest).await?;
    let piece: Piece = decode("piece", digest, &content).ok()?;
    check_piece(&hello.service, &piece).ok()?;
    piece.upstreams.into_iter().find(|u| is_caller(u))
}

async fn shown<N: Net>(shared: &Shared<N>, client: &node::Client, digest: Digest) -> Option<Bytes> {
    if let Some(held) = shared.store.part(&digest) {
        return Some(held);
    }
    let contents = within(follow::fetch(client, &[digest])).await.ok()?;
    contents.into_iter().next().flatten()
}

impl<N: Net> node::Server for Service<N> {
    async fn hello(
        self: Rc<Self>,
        params: node::HelloParams,
        mut results: node::HelloResults,
    ) -> Answer<()> {
        self.shared.check_pause();
        let read = params.get()?.get_hello().and_then(|h| Ok(Hello::read(h)?));
        let hello = self.check(read)?;
        let accepted = self.admit(&hello).await;
        let mut to = results.get();
        to.set_accepted(accepted);
        to.set_seen(encode_peer_status(
            self.shared.view.borrow().status(&hello.name),
        ));
        self.shared.hello().write(to.reborrow().init_hello());
        self.shared.status().write(to.init_status());
        Ok(())
    }

    async fn beat(
        self: Rc<Self>,
        params: node::BeatParams,
        mut results: node::BeatResults,
    ) -> Answer<()> {
        let (identity, id) = self.known()?;
        let read = params
            .get()?
            .get_beat()
            .and_then(|b| Ok(Heartbeat::read(b)?));
        let beat = self.check(read)?;
        self.shared.heard(&identity, id, beat);
        let answer = self.shared.beat(&identity.zone);
        answer.write(results.get().init_beat());
        Ok(())
    }

    async fn status(
        self: Rc<Self>,
        _: node::StatusParams,
        mut results: node::StatusResults,
    ) -> Answer<()> {
        self.shared.check_pause();
        self.shared.status().write(results.get().init_status());
        Ok(())
    }

    async fn head(
        self: Rc<Self>,
        _: node::HeadParams,
        mut results: node::HeadResults,
    ) -> Answer<()> {
        let store = &self.shared.store;
        let content = store.version().and_then(|(_, digest)| store.part(&digest));
        results.get().set_content(&content.unwrap_or_default());
        Ok(())
    }

    async fn fetch(
        self: Rc<Self>,
        params: node::FetchParams,
        mut results: node::FetchResults,
    ) -> Answer<()> {
        let digests = self.check(read_digests(params.get()?.get_digests()?))?;
        let mut contents = results.get().init_contents(digests.len() as u32);
        let mut room = CONTENT_MAX_BYTES;
        for (at, digest) in digests.iter().enumerate() {
            let content = self.shared.store.part(digest);
            if let Some(content) = content.filter(|c| c.len() <= room) {
                room -= content.len();
                contents.set(at as u32, &content);
            }
        }
        Ok(())
    }

    async fn list(self: Rc<Self>, params: node::ListParams, _: node::ListResults) -> Answer<()> {
        let (identity, _) = self.known()?;
        let read = params
            .get()?
            .get_list()
            .and_then(|l| Ok(ListView::read(l)?));
        let list = self.check(read)?;
        if identity.service == self.shared.settings.service && self.shared.learn_list(&list) {
            super::read::pass_on(&self.shared, &list, Some(&identity.name)).await;
        }
        Ok(())
    }
}

/// Accepts connections from peers, one task each.
pub async fn accept<N: Net>(
    shared: Rc<Shared<N>>,
    mut listener: N::Listener,
    stop: CancellationToken,
) {
    let mut tasks = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            biased;
            () = stop.cancelled() => break,
            Some(_) = tasks.join_next() => continue,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((conn, from)) if tasks.len() < CONNECTIONS_MAX => {
                tasks.spawn_local(serve(shared.clone(), conn, from.ip(), stop.clone()));
            }
            Ok(_) => shared.counters.add(Counter::RefusedPeer, 1),
            Err(_) => sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await,
        }
    }
    while tasks.join_next().await.is_some() {}
}

async fn serve<N: Net>(
    shared: Rc<Shared<N>>,
    conn: N::Conn,
    remote: IpAddr,
    stop: CancellationToken,
) {
    let end = Rc::new(Conn::new(remote));
    let own = capnp_rpc::new_client(Service::new(shared.clone(), end.clone()));
    let mut rpc = link::open(&shared, conn, Side::Server, Some(own));
    end.set_client(rpc.bootstrap(Side::Client));
    let mut woken = shared.woken.subscribe();
    let failed = tokio::select! {
        biased;
        () = stop.cancelled() => false,
        _ = woken.changed() => false,
        () = end.refused() => false,
        failed = keep(&shared, &end) => failed,
        ended = rpc => {
            let broken = ended.is_err_and(|e| e.kind != capnp::ErrorKind::Disconnected);
            shared.counters.add(Counter::MessagesRefused, broken.into());
            false
        }
    };
    if let Some((identity, id)) = end.link() {
        shared.remove_link(&identity.name, id);
        if failed {
            shared.lost(&identity.name);
        }
    }
}

/// Runs the link of an accepted connection; true when the peer was lost.
async fn keep<N: Net>(shared: &Rc<Shared<N>>, end: &Conn) -> bool {
    let visit = timeout(Duration::from_millis(VISIT_MS), end.linked.notified());
    if visit.await.is_err() {
        return false;
    }
    let Some((identity, id)) = end.link() else {
        return false;
    };
    let link = shared.links.borrow().get(&identity.name).cloned();
    let Some(link) = link.filter(|l| l.id == id) else {
        return false;
    };
    tokio::select! {
        biased;
        () = distrust(shared, end) => false,
        _ = link::run(shared, &link) => true,
    }
}

/// Completes when a new configuration does not have the peer of a link any more.
async fn distrust<N: Net>(shared: &Rc<Shared<N>>, end: &Conn) {
    let (hello, client) = (end.hello.borrow().clone(), end.client.borrow().clone());
    let (Some(hello), Some(client)) = (hello, client) else {
        return;
    };
    let mut config = shared.store.subscribe();
    let mut proven = bucket_in_effect(shared, &hello);
    while config.changed().await.is_ok() {
        let bucket = bucket_in_effect(shared, &hello);
        if bucket == proven {
            continue;
        }
        let since = Instant::now();
        while believe(shared, &hello, end.remote, &client).await.is_none() {
            if since.elapsed() >= Duration::from_millis(PROOF_MS) {
                return;
            }
            sleep(Duration::from_millis(PROOF_RETRY_MS)).await;
        }
        proven = bucket;
    }
}

fn bucket_in_effect<N: Net>(shared: &Shared<N>, hello: &Hello) -> Option<Digest> {
    let config = shared.store.config()?;
    let content = shared.store.part(&config.digest)?;
    let head: Head = decode("head", config.digest, &content).ok()?;
    head.buckets.get(bucket_of(&hello.service)).copied()
}
