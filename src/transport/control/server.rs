//! The RPC server for peers: accepts their connections and answers their calls.

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
    link::{self, CallResult, with_timeout},
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

/// Accepted connections that are served at once, both links and single calls.
const CONNECTIONS_MAX: usize = 64;
/// A connection on which no link is accepted is closed after this time.
const UNLINKED_TIMEOUT_MS: u64 = 10_000;
/// Pause after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_MS: u64 = 100;
/// Time within which a linked peer must prove that a new configuration lists it.
const PROOF_TIMEOUT_MS: u64 = 10_000;
/// Pause between two attempts to verify a linked peer.
const PROOF_RETRY_MS: u64 = 1_000;

/// State of a connection to a peer, shared by its tasks and its RPC server.
pub struct ConnState {
    remote: IpAddr,
    client: RefCell<Option<node::Client>>,
    hello: RefCell<Option<Hello>>,
    link: RefCell<Option<(Identity, u64)>>,
    linked: Notify,
    refused: Notify,
}

impl ConnState {
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

    /// Completes when a message on the connection has been refused.
    pub async fn refused(&self) {
        self.refused.notified().await;
    }
}

/// Answers the calls of one peer.
pub struct Service<N: Net> {
    shared: Rc<Shared<N>>,
    conn: Rc<ConnState>,
}

impl<N: Net> Service<N> {
    pub fn new(shared: Rc<Shared<N>>, conn: Rc<ConnState>) -> Self {
        Self { shared, conn }
    }

    /// Refuses a message that could not be read.
    fn check<T, E: Into<capnp::Error>>(&self, read: Result<T, E>) -> CallResult<T> {
        read.map_err(|e| self.refuse(e.into()))
    }

    /// Logs and counts an invalid message, and makes the connection close.
    fn refuse(&self, error: capnp::Error) -> capnp::Error {
        log::warn!("peer={} refused={:?}", self.conn.remote, error.extra);
        self.shared.counters.add(Counter::MessagesRefused, 1);
        self.conn.refused.notify_one();
        error
    }

    /// The peer of this connection; refuses the call when no link was accepted.
    fn linked_peer(&self) -> CallResult<(Identity, u64)> {
        let not_linked = || capnp::Error::failed("not an accepted peer".into());
        self.conn.link().ok_or_else(|| self.refuse(not_linked()))
    }

    /// Adds a link for the caller of `hello` if it is verified and there is room; true if added.
    async fn admit(&self, hello: &Hello) -> bool {
        let client = self.conn.client.borrow().clone();
        let Some(client) = client else {
            return false;
        };
        let Some(upstream) = verify_caller(&self.shared, hello, self.conn.remote, &client).await
        else {
            return false;
        };
        let link = Link {
            id: self.shared.next_link_id(),
            client,
            identity: Identity {
                name: upstream.name,
                service: upstream.service,
                zone: upstream.zone,
                incarnation: hello.incarnation,
            },
            dialled: false,
            revision: Default::default(),
            last_heard: Instant::now(),
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

/// The upstream of a caller, if the current configuration lists it at the address that it calls
/// from.
///
/// When this node does not hold the piece of the caller's service, the caller must prove that it is
/// listed: it sends the bucket that the current head refers to and the piece that the bucket refers
/// to, and each is checked against its digest.
async fn verify_caller<N: Net>(
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
    let content = fetch_proof(shared, client, digest).await?;
    let bucket: Bucket = decode("bucket", digest, &content).ok()?;
    let digest = *bucket.services.get(&hello.service)?;
    let content = fetch_proof(shared, client, digest).await?;
    let piece: Piece = decode("piece", digest, &content).ok()?;
    check_piece(&hello.service, &piece).ok()?;
    piece.upstreams.into_iter().find(|u| is_caller(u))
}

/// A part from the local store, or else from the caller.
async fn fetch_proof<N: Net>(
    shared: &Shared<N>,
    client: &node::Client,
    digest: Digest,
) -> Option<Bytes> {
    if let Some(held) = shared.store.part(&digest) {
        return Some(held);
    }
    let contents = with_timeout(follow::fetch_parts(client, &[digest]))
        .await
        .ok()?;
    contents.into_iter().next().flatten()
}

impl<N: Net> node::Server for Service<N> {
    async fn hello(
        self: Rc<Self>,
        params: node::HelloParams,
        mut results: node::HelloResults,
    ) -> CallResult<()> {
        self.shared.check_pause();
        let read = params.get()?.get_hello().and_then(|h| Ok(Hello::read(h)?));
        let hello = self.check(read)?;
        let accepted = self.admit(&hello).await;
        let mut response = results.get();
        response.set_accepted(accepted);
        response.set_seen(encode_peer_status(
            self.shared.view.borrow().status(&hello.name),
        ));
        self.shared.hello().write(response.reborrow().init_hello());
        self.shared.status().write(response.init_status());
        Ok(())
    }

    async fn beat(
        self: Rc<Self>,
        params: node::BeatParams,
        mut results: node::BeatResults,
    ) -> CallResult<()> {
        let (identity, id) = self.linked_peer()?;
        let read = params
            .get()?
            .get_beat()
            .and_then(|b| Ok(Heartbeat::read(b)?));
        let heartbeat = self.check(read)?;
        self.shared.handle_heartbeat(&identity, id, heartbeat);
        let reply = self.shared.heartbeat(&identity.zone);
        reply.write(results.get().init_beat());
        Ok(())
    }

    async fn status(
        self: Rc<Self>,
        _: node::StatusParams,
        mut results: node::StatusResults,
    ) -> CallResult<()> {
        self.shared.check_pause();
        self.shared.status().write(results.get().init_status());
        Ok(())
    }

    async fn head(
        self: Rc<Self>,
        _: node::HeadParams,
        mut results: node::HeadResults,
    ) -> CallResult<()> {
        let store = &self.shared.store;
        let content = store.version().and_then(|(_, digest)| store.part(&digest));
        results.get().set_content(&content.unwrap_or_default());
        Ok(())
    }

    async fn fetch(
        self: Rc<Self>,
        params: node::FetchParams,
        mut results: node::FetchResults,
    ) -> CallResult<()> {
        let digests = self.check(read_digests(params.get()?.get_digests()?))?;
        let mut contents = results.get().init_contents(digests.len() as u32);
        let mut bytes_left = CONTENT_MAX_BYTES;
        for (at, digest) in digests.iter().enumerate() {
            let content = self.shared.store.part(digest);
            if let Some(content) = content.filter(|c| c.len() <= bytes_left) {
                bytes_left -= content.len();
                contents.set(at as u32, &content);
            }
        }
        Ok(())
    }

    async fn list(
        self: Rc<Self>,
        params: node::ListParams,
        _: node::ListResults,
    ) -> CallResult<()> {
        let (identity, _) = self.linked_peer()?;
        let read = params
            .get()?
            .get_list()
            .and_then(|l| Ok(ListView::read(l)?));
        let list = self.check(read)?;
        if identity.service == self.shared.settings.service && self.shared.apply_list(&list) {
            super::read::forward_list(&self.shared, &list, Some(&identity.name)).await;
        }
        Ok(())
    }
}

/// Accepts connections from peers and serves each in a task of its own.
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

/// Serves a connection until it ends.
async fn serve<N: Net>(
    shared: Rc<Shared<N>>,
    conn: N::Conn,
    remote: IpAddr,
    stop: CancellationToken,
) {
    let conn_state = Rc::new(ConnState::new(remote));
    let own = capnp_rpc::new_client(Service::new(shared.clone(), conn_state.clone()));
    let mut rpc = link::open(&shared, conn, Side::Server, Some(own));
    conn_state.set_client(rpc.bootstrap(Side::Client));
    let mut pauses = shared.pauses.subscribe();
    let lost = tokio::select! {
        biased;
        () = stop.cancelled() => false,
        _ = pauses.changed() => false,
        () = conn_state.refused() => false,
        lost = run_accepted(&shared, &conn_state) => lost,
        ended = rpc => {
            let broken = ended.is_err_and(|e| e.kind != capnp::ErrorKind::Disconnected);
            shared.counters.add(Counter::MessagesRefused, broken.into());
            false
        }
    };
    if let Some((identity, id)) = conn_state.link() {
        shared.remove_link(&identity.name, id);
        if lost {
            shared.mark_lost(&identity.name);
        }
    }
}

/// Runs the link of an accepted connection; true if it ended because the peer was lost.
async fn run_accepted<N: Net>(shared: &Rc<Shared<N>>, conn_state: &ConnState) -> bool {
    let linked = timeout(
        Duration::from_millis(UNLINKED_TIMEOUT_MS),
        conn_state.linked.notified(),
    );
    if linked.await.is_err() {
        return false;
    }
    let Some((identity, id)) = conn_state.link() else {
        return false;
    };
    let link = shared.links.borrow().get(&identity.name).cloned();
    let Some(link) = link.filter(|l| l.id == id) else {
        return false;
    };
    tokio::select! {
        biased;
        () = wait_until_unverified(shared, conn_state) => false,
        _ = link::exchange_heartbeats(shared, &link) => true,
    }
}

/// Completes when a new configuration no longer lists the peer of a link, or the peer fails to
/// prove it within [`PROOF_TIMEOUT_MS`].
async fn wait_until_unverified<N: Net>(shared: &Rc<Shared<N>>, conn_state: &ConnState) {
    let (hello, client) = (
        conn_state.hello.borrow().clone(),
        conn_state.client.borrow().clone(),
    );
    let (Some(hello), Some(client)) = (hello, client) else {
        return;
    };
    let mut config = shared.store.subscribe();
    let mut verified = bucket_in_effect(shared, &hello);
    while config.changed().await.is_ok() {
        let bucket = bucket_in_effect(shared, &hello);
        if bucket == verified {
            continue;
        }
        let since = Instant::now();
        while verify_caller(shared, &hello, conn_state.remote, &client)
            .await
            .is_none()
        {
            if since.elapsed() >= Duration::from_millis(PROOF_TIMEOUT_MS) {
                return;
            }
            sleep(Duration::from_millis(PROOF_RETRY_MS)).await;
        }
        verified = bucket;
    }
}

/// Digest of the bucket of a caller's service in the current configuration.
fn bucket_in_effect<N: Net>(shared: &Shared<N>, hello: &Hello) -> Option<Digest> {
    let config = shared.store.config()?;
    let content = shared.store.part(&config.digest)?;
    let head: Head = decode("head", config.digest, &content).ok()?;
    head.buckets.get(bucket_of(&hello.service)).copied()
}
