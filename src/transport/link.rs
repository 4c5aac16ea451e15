//! HTTP/2 connections to peers, one per peer.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use http::{Request, Response};
use hyper::{
    body::Incoming,
    client::conn::http2::{self, SendRequest},
};
use hyper_util::rt::{TokioIo, TokioTimer};
use thiserror::Error;
use tokio::{
    sync::Mutex,
    time::{Instant, timeout},
};

use crate::state::counters::{Counter, Counters};

use super::{
    chunks::Chunks,
    net::Net,
    server::{CONNECTION_WINDOW_BYTES, HEAD_MAX_BYTES, STREAM_WINDOW_BYTES},
    tasks::Tasks,
};

const DIAL_TIMEOUT_MS: u64 = 500;
// Pings are sent only while calls are open and nothing is received.
const KEEP_ALIVE_INTERVAL_MS: u64 = 500;
// Time without a ping response after which the connection and its calls fail; detects a paused or
// unreachable peer.
const KEEP_ALIVE_TIMEOUT_MS: u64 = 1_000;

/// Why a request to a peer or a backend server got no response.
#[derive(Debug, Error)]
pub enum SendError {
    /// No connection could be opened, or it was closed already; nothing of the request was sent.
    #[error("could not reach {0}")]
    Unreachable(SocketAddr),
    /// The connection failed after the request was dispatched; the request may have run.
    #[error("could not read the response of {0}: {1}")]
    Lost(SocketAddr, hyper::Error),
}

type Sender = SendRequest<Chunks>;

#[derive(Debug, Default)]
struct Link {
    sender: RefCell<Option<Sender>>,
    dial_lock: Mutex<()>,
    last_failure: Cell<Option<Instant>>,
}

impl Link {
    fn live_sender(&self) -> Option<Sender> {
        let sender = self.sender.borrow();
        sender.as_ref().filter(|s| !s.is_closed()).cloned()
    }
}

/// Connections to peers, opened on first use.
#[derive(Debug)]
pub struct Links<N> {
    net: N,
    links: RefCell<BTreeMap<SocketAddr, Rc<Link>>>,
    tasks: Tasks,
    counters: Rc<Counters>,
}

impl<N: Net> Links<N> {
    /// A set of links without open connections.
    pub fn new(net: N, counters: Rc<Counters>) -> Self {
        Self {
            net,
            links: RefCell::default(),
            tasks: Tasks::default(),
            counters,
        }
    }

    /// Sends a request to the peer at `to` and waits for the response head.
    ///
    /// # Errors
    /// The peer can't be reached, or the connection fails before the response head.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: Request<Chunks>,
    ) -> Result<Response<Incoming>, SendError> {
        let mut sender = self.sender(to).await?;
        let sent = sender.try_send_request(request).await;
        sent.map_err(|mut error| match error.take_message() {
            Some(_) => SendError::Unreachable(to),
            None => SendError::Lost(to, error.into_error()),
        })
    }

    /// Opens a connection to a peer if there is none.
    ///
    /// # Errors
    /// The peer can't be reached.
    pub async fn connect(&self, to: SocketAddr) -> Result<(), SendError> {
        self.sender(to).await.map(drop)
    }

    async fn sender(&self, to: SocketAddr) -> Result<Sender, SendError> {
        let link = self.links.borrow_mut().entry(to).or_default().clone();
        if let Some(sender) = link.live_sender() {
            return Ok(sender);
        }
        let requested = Instant::now();
        let _dialling = link.dial_lock.lock().await;
        if let Some(sender) = link.live_sender() {
            return Ok(sender);
        }
        // A dial that failed while this call waited for the lock is not repeated.
        if link.last_failure.get().is_some_and(|at| at >= requested) {
            return Err(SendError::Unreachable(to));
        }
        let time_limit = Duration::from_millis(DIAL_TIMEOUT_MS);
        let Ok(Some(sender)) = timeout(time_limit, self.dial(to)).await else {
            self.counters.add(Counter::DialsFailed, 1);
            link.last_failure.set(Some(Instant::now()));
            return Err(SendError::Unreachable(to));
        };
        self.counters.add(Counter::Dials, 1);
        *link.sender.borrow_mut() = Some(sender.clone());
        Ok(sender)
    }

    async fn dial(&self, to: SocketAddr) -> Option<Sender> {
        let conn = self.net.dial(to).await.ok()?;
        let (mut sender, conn) = http2::Builder::new(self.tasks.clone())
            .timer(TokioTimer::new())
            .max_header_list_size(HEAD_MAX_BYTES as u32)
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .keep_alive_interval(Duration::from_millis(KEEP_ALIVE_INTERVAL_MS))
            .keep_alive_timeout(Duration::from_millis(KEEP_ALIVE_TIMEOUT_MS))
            .handshake(TokioIo::new(conn))
            .await
            .ok()?;
        self.tasks.spawn(async move {
            if let Err(error) = conn.await {
                log::debug!("connection to {to} ended: {error}");
            }
        });
        sender.ready().await.ok()?;
        Some(sender)
    }

    /// Opens a new connection for the next request to a peer; the calls on the old one go on.
    pub fn renew(&self, to: SocketAddr) {
        self.links.borrow_mut().remove(&to);
    }

    /// Closes the connections to all peers that are not in `peers`, once their calls have ended.
    pub fn retain(&self, peers: &BTreeSet<SocketAddr>) {
        self.links.borrow_mut().retain(|at, _| peers.contains(at));
    }

    /// Number of peers with an open connection.
    pub fn open_count(&self) -> usize {
        let links = self.links.borrow();
        links.values().filter(|l| l.live_sender().is_some()).count()
    }

    /// Closes all connections and waits until their tasks have ended.
    pub async fn close(&self) {
        self.links.borrow_mut().clear();
        self.tasks.abort().await;
    }
}
