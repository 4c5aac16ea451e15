//! Connection pool (HTTP/1.1) to the node's own backend server.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response};
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

const DIAL_TIMEOUT_MS: u64 = 500;
// Below the usual idle timeouts of servers, so that the node closes idle connections first.
const IDLE_MAX_MS: u64 = 15_000;
/// Time for which a failed connection counts as a recent failure.
const FAILURE_WINDOW_MS: u64 = 100;
/// Refusals after which a connection is closed; bounds the attempt IDs kept for it.
const REFUSALS_MAX: usize = 16;

type Sender = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct Connection {
    sender: Sender,
    abort: AbortHandle,
    /// Whether it has not carried a response yet.
    is_new: bool,
    /// Attempt IDs of the requests that the server has refused on it.
    refused: Vec<HeaderValue>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    idle_since: Instant,
}

#[derive(Debug, Default)]
struct Shared {
    idle: RefCell<Vec<Idle>>,
    open: Cell<u32>,
    limit: Cell<u32>,
    available: Notify,
    failures: RefCell<Vec<Instant>>,
}

impl Shared {
    /// Takes the most recently used connection, unless it has been idle for longer than `max_idle`.
    ///
    /// Closes connections on which a request with the attempt ID `id` was refused: a second copy of
    /// that refusal could not be told from the response.
    fn take_idle(&self, max_idle: Duration, id: Option<&HeaderValue>) -> Option<Connection> {
        loop {
            let mut all = self.idle.borrow_mut();
            if all.last()?.idle_since.elapsed() > max_idle {
                return None;
            }
            let connection = all.pop()?.connection;
            if id.is_some_and(|id| connection.refused.contains(id)) {
                connection.abort.abort();
            } else if !connection.sender.is_closed() {
                return Some(connection);
            }
        }
    }
}

/// Counts one open connection until it is dropped.
#[derive(Debug)]
struct ConnectionGuard(Rc<Shared>);

impl ConnectionGuard {
    fn acquire(shared: &Rc<Shared>) -> Option<Self> {
        let open = shared.open.get();
        if open >= shared.limit.get() {
            return None;
        }
        shared.open.set(open + 1);
        Some(Self(shared.clone()))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.available.notify_one();
    }
}

/// A connection in use by one call; closed on drop unless [`Lease::reuse`] is called.
#[derive(Debug)]
pub struct Lease {
    inner: Option<Connection>,
    is_last: bool,
    shared: Rc<Shared>,
    server: SocketAddr,
}

impl Lease {
    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    /// The connection fails before the response head.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let server = self.server;
        let Some(connection) = &mut self.inner else {
            return Err(SendError::Unreachable(server));
        };
        let sent = connection.sender.try_send_request(request).await;
        sent.map_err(|mut error| match error.take_message() {
            Some(_) => SendError::Unreachable(server),
            None => SendError::Lost(server, error.into_error()),
        })
    }

    /// Returns the connection to the pool; the response must have been read to its end.
    pub fn reuse(mut self) {
        if self.is_last {
            return;
        }
        let Some(mut connection) = self.inner.take() else {
            return;
        };
        connection.is_new = false;
        self.shared.idle.borrow_mut().push(Idle {
            connection,
            idle_since: Instant::now(),
        });
        self.shared.available.notify_one();
    }

    /// Returns the connection to the pool after a refusal of the request with the attempt ID `id`;
    /// it carries no further request with that ID.
    pub fn reuse_refused(mut self, id: HeaderValue) {
        let Some(connection) = &mut self.inner else {
            return;
        };
        connection.refused.push(id);
        if connection.refused.len() < REFUSALS_MAX {
            self.reuse();
        }
    }

    /// Makes this call the last one on the connection.
    pub fn set_last(&mut self) {
        self.is_last = true;
    }

    /// Whether the connection has not carried a response yet.
    pub fn is_new(&self) -> bool {
        self.inner.as_ref().is_some_and(|c| c.is_new)
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(connection) = self.inner.take() {
            connection.abort.abort();
        }
    }
}

/// Pool of connections to the node's own backend server.
#[derive(Debug)]
pub struct Pool<N> {
    net: N,
    server: SocketAddr,
    shared: Rc<Shared>,
    tasks: Tasks,
}

impl<N: Net> Pool<N> {
    /// An empty pool that opens no connections until [`Pool::resize`] is called.
    pub fn new(net: N, server: SocketAddr) -> Self {
        Self {
            net,
            server,
            shared: Rc::default(),
            tasks: Tasks::default(),
        }
    }

    /// Sets the limit of open connections.
    pub fn resize(&self, limit: u32) {
        self.shared.limit.set(limit);
        self.shared.available.notify_waiters();
    }

    /// Number of open connections.
    pub fn open(&self) -> u32 {
        self.shared.open.get()
    }

    /// A connection for one call; waits while the limit is reached and none is idle.
    ///
    /// # Errors
    /// The server can't be reached.
    pub async fn lease(&self) -> Result<Lease, SendError> {
        self.lease_idle(Duration::from_millis(IDLE_MAX_MS), None)
            .await
    }

    /// A connection for one call with the attempt ID `id`, either new or idle for at most
    /// `max_idle`.
    ///
    /// # Errors
    /// The server can't be reached.
    pub async fn lease_idle(
        &self,
        max_idle: Duration,
        id: Option<&HeaderValue>,
    ) -> Result<Lease, SendError> {
        loop {
            while let Some(mut connection) = self.shared.take_idle(max_idle, id) {
                if connection.sender.ready().await.is_ok() {
                    return Ok(self.new_lease(connection));
                }
            }
            if let Some(guard) = ConnectionGuard::acquire(&self.shared) {
                return self.dial(guard).await;
            }
            self.shared.available.notified().await;
        }
    }

    async fn dial(&self, guard: ConnectionGuard) -> Result<Lease, SendError> {
        let time_limit = Duration::from_millis(DIAL_TIMEOUT_MS);
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
        let Ok(Some((mut sender, conn))) = timeout(time_limit, opened).await else {
            return Err(SendError::Unreachable(self.server));
        };
        let shared = self.shared.clone();
        let abort = self.tasks.spawn(async move {
            let _guard = guard;
            if conn.await.is_err() {
                shared.failures.borrow_mut().push(Instant::now());
            }
        });
        let ready = sender.ready().await;
        let lease = self.new_lease(Connection {
            sender,
            abort,
            is_new: true,
            refused: Vec::new(),
        });
        ready.map_err(|_| SendError::Unreachable(self.server))?;
        Ok(lease)
    }

    fn new_lease(&self, connection: Connection) -> Lease {
        Lease {
            inner: Some(connection),
            is_last: false,
            shared: self.shared.clone(),
            server: self.server,
        }
    }

    /// Whether the server accepts a connection within `time_limit`.
    pub async fn probe(&self, time_limit: Duration) -> bool {
        matches!(
            timeout(time_limit, self.net.dial(self.server)).await,
            Ok(Ok(_))
        )
    }

    /// Number of connections that have failed within the last 100 ms.
    pub fn recent_failures(&self) -> usize {
        let now = Instant::now();
        let recent =
            |at: &Instant| now.duration_since(*at) <= Duration::from_millis(FAILURE_WINDOW_MS);
        let mut failures = self.shared.failures.borrow_mut();
        failures.retain(recent);
        failures.len()
    }

    /// Closes connections that have been idle for longer than 15 s.
    pub fn prune(&self) {
        let now = Instant::now();
        let max_idle = Duration::from_millis(IDLE_MAX_MS);
        let stale = |i: &Idle| {
            now.duration_since(i.idle_since) > max_idle || i.connection.sender.is_closed()
        };
        let mut idle = self.shared.idle.borrow_mut();
        idle.iter()
            .filter(|i| stale(i))
            .for_each(|i| i.connection.abort.abort());
        idle.retain(|i| !stale(i));
    }

    /// Closes all connections and waits until their tasks have ended.
    pub async fn close(&self) {
        self.shared.idle.borrow_mut().clear();
        self.tasks.abort().await;
    }
}
