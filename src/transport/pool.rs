//! HTTP/1.1 connections to the node's own backend server.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{
    sync::Notify,
    task::AbortHandle,
    time::{Instant, timeout},
};

use super::{
    link::SendError,
    net::Net,
    server::{HEAD_MAX_BYTES, HEADERS_MAX},
    tasks::Tasks,
};

const DIAL_WAIT_MS: u64 = 500;
// Below the usual idle limits of servers, so that the node closes first.
const IDLE_MAX_MS: u64 = 15_000;
/// Connections ending within this time count as lost together.
const TOGETHER_MS: u64 = 100;

type Sender = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct Idle {
    sender: Sender,
    abort: AbortHandle,
    since: Instant,
}

#[derive(Debug, Default)]
struct Shared {
    idle: RefCell<Vec<Idle>>,
    open: Cell<u32>,
    bound: Cell<u32>,
    freed: Notify,
    faults: RefCell<Vec<Instant>>,
}

impl Shared {
    /// The connection used last, unless it has been idle for longer than `most`.
    fn take(&self, most: Duration) -> Option<Idle> {
        loop {
            let mut all = self.idle.borrow_mut();
            if all.last()?.since.elapsed() > most {
                return None;
            }
            let idle = all.pop()?;
            if !idle.sender.is_closed() {
                return Some(idle);
            }
        }
    }
}

/// Counts one open connection; frees its place on drop.
#[derive(Debug)]
struct QueueKey(Rc<Shared>);

impl QueueKey {
    fn claim(shared: &Rc<Shared>) -> Option<Self> {
        let open = shared.open.get();
        if open >= shared.bound.get() {
            return None;
        }
        shared.open.set(open + 1);
        Some(Self(shared.clone()))
    }
}

impl Drop for QueueKey {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.freed.notify_one();
    }
}

/// A connection in use by one call; closed on drop unless [`Lease::reuse`] is called.
#[derive(Debug)]
pub struct Lease {
    inner: Option<(Sender, AbortHandle)>,
    shared: Rc<Shared>,
    server: SocketAddr,
}

impl Lease {
    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// The connection ends before the head of the answer.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let server = self.server;
        let Some((sender, _)) = &mut self.inner else {
            return Err(SendError::Unreachable(server));
        };
        let sent = sender.try_send_request(request).await;
        sent.map_err(|mut fault| match fault.take_message() {
            Some(_) => SendError::Unreachable(server),
            None => SendError::Lost(server, fault.into_error()),
        })
    }

    /// Returns the connection for use by another call, after its answer was read to the end.
    pub fn reuse(mut self) {
        let Some((sender, abort)) = self.inner.take() else {
            return;
        };
        self.shared.idle.borrow_mut().push(Idle {
            sender,
            abort,
            since: Instant::now(),
        });
        self.shared.freed.notify_one();
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some((_, abort)) = self.inner.take() {
            abort.abort();
        }
    }
}

/// Connections to the node's own backend server.
#[derive(Debug)]
pub struct Pool<N> {
    net: N,
    server: SocketAddr,
    shared: Rc<Shared>,
    tasks: Tasks,
}

impl<N: Net> Pool<N> {
    /// No connections yet, and none allowed until [`Pool::resize`].
    pub fn new(net: N, server: SocketAddr) -> Self {
        Self {
            net,
            server,
            shared: Rc::default(),
            tasks: Tasks::default(),
        }
    }

    /// Sets the bound on open connections.
    pub fn resize(&self, bound: u32) {
        self.shared.bound.set(bound);
        self.shared.freed.notify_waiters();
    }

    /// Number of open connections.
    pub fn open(&self) -> u32 {
        self.shared.open.get()
    }

    /// A connection for one call; waits while all are in use.
    ///
    /// # Errors
    /// The server can't be reached.
    pub async fn lease(&self) -> Result<Lease, SendError> {
        self.lease_idle(Duration::from_millis(IDLE_MAX_MS)).await
    }

    /// A connection for one call that has been idle for at most `most`, or a new one.
    ///
    /// # Errors
    /// The server can't be reached.
    pub async fn lease_idle(&self, most: Duration) -> Result<Lease, SendError> {
        loop {
            while let Some(mut idle) = self.shared.take(most) {
                if idle.sender.ready().await.is_ok() {
                    return Ok(self.leased(idle.sender, idle.abort));
                }
            }
            if let Some(place) = QueueKey::claim(&self.shared) {
                return self.dial(place).await;
            }
            self.shared.freed.notified().await;
        }
    }

    async fn dial(&self, place: QueueKey) -> Result<Lease, SendError> {
        let wait = Duration::from_millis(DIAL_WAIT_MS);
        let opened = async {
            let conn = self.net.dial(self.server).await.ok()?;
            let (sender, conn) = http1::Builder::new()
                .max_buf_size(HEAD_MAX_BYTES)
                .max_headers(HEADERS_MAX)
                .handshake(TokioIo::new(conn))
                .await
                .ok()?;
            Some((sender, conn))
        };
        let Ok(Some((mut sender, conn))) = timeout(wait, opened).await else {
            return Err(SendError::Unreachable(self.server));
        };
        let shared = self.shared.clone();
        let abort = self.tasks.spawn(async move {
            let _place = place;
            if conn.await.is_err() {
                shared.faults.borrow_mut().push(Instant::now());
            }
        });
        let ready = sender.ready().await;
        let lease = self.leased(sender, abort);
        ready.map_err(|_| SendError::Unreachable(self.server))?;
        Ok(lease)
    }

    fn leased(&self, sender: Sender, abort: AbortHandle) -> Lease {
        Lease {
            inner: Some((sender, abort)),
            shared: self.shared.clone(),
            server: self.server,
        }
    }

    /// Whether the server accepts connections.
    pub async fn probe(&self, wait: Duration) -> bool {
        matches!(timeout(wait, self.net.dial(self.server)).await, Ok(Ok(_)))
    }

    /// Number of connections that have failed within the last 100 ms.
    pub fn failed_together(&self) -> usize {
        let now = Instant::now();
        let recent = |at: &Instant| now.duration_since(*at) <= Duration::from_millis(TOGETHER_MS);
        let mut faults = self.shared.faults.borrow_mut();
        faults.retain(recent);
        faults.len()
    }

    /// Closes connections that have been idle for long.
    pub fn prune(&self) {
        let now = Instant::now();
        let max = Duration::from_millis(IDLE_MAX_MS);
        let stale = |i: &Idle| now.duration_since(i.since) > max || i.sender.is_closed();
        let mut idle = self.shared.idle.borrow_mut();
        idle.iter()
            .filter(|i| stale(i))
            .for_each(|i| i.abort.abort());
        idle.retain(|i| !stale(i));
    }

    /// Closes all connections and waits until their tasks have ended.
    pub async fn close(&self) {
        self.shared.idle.borrow_mut().clear();
        self.tasks.abort().await;
    }
}
