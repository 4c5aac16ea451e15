//! Connection pool (HTTP/1.1) to the node's own backend server.

use std::{
    cell::{Cell, RefCell},
    future::poll_fn,
    net::SocketAddr,
    pin::{Pin, pin},
    rc::Rc,
    task::{Context, Poll, Waker},
    time::Duration,
};

use http::{HeaderValue, Request, Response};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, Connection, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{
    sync::{Notify, oneshot},
    time::{Instant, timeout, timeout_at},
};

use super::{
    chunks::Chunks,
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

type Sender = SendRequest<Chunks>;
type Driver<N> = Pin<Box<Connection<TokioIo<<N as Net>::Conn>, Chunks>>>;

/// An open connection. Bytes are sent and received only while it is polled.
///
/// The call that uses the connection polls it in its own task. If the connection had a task, the
/// request and the answer would each wait for one more turn of the scheduler, and on a busy node the
/// slot of the server would stay in use meanwhile.
struct Conn<N: Net> {
    sender: Sender,
    /// `None` once the connection has ended.
    driver: Option<Driver<N>>,
    guard: ConnectionGuard<N>,
    /// Whether it has not carried a response yet.
    is_new: bool,
    /// Attempt IDs of the requests that the server has refused on it.
    refused: Vec<HeaderValue>,
}

impl<N: Net> Conn<N> {
    /// Polls the connection; returns whether it is still open.
    fn poll(&mut self, cx: &mut Context<'_>) -> bool {
        let Some(driver) = &mut self.driver else {
            return false;
        };
        let Poll::Ready(ended) = driver.as_mut().poll(cx) else {
            return true;
        };
        self.driver = None;
        if ended.is_err() {
            let mut failures = self.guard.0.failures.borrow_mut();
            failures.push(Instant::now());
        }
        false
    }

    /// Whether an idle connection can still be used, after what was received meanwhile.
    fn is_usable(&mut self) -> bool {
        self.poll(&mut Context::from_waker(Waker::noop())) && !self.sender.is_closed()
    }

    /// Runs a future that needs the connection.
    async fn drive<T>(&mut self, user: impl Future<Output = T>) -> T {
        let mut user = pin!(user);
        poll_fn(|cx| {
            if let Poll::Ready(done) = user.as_mut().poll(cx) {
                return Poll::Ready(done);
            }
            self.poll(cx);
            // What the connection has received can be used at once.
            user.as_mut().poll(cx)
        })
        .await
    }
}

struct Idle<N: Net> {
    conn: Conn<N>,
    idle_since: Instant,
}

struct Shared<N: Net> {
    /// The connection that has been idle for longest comes first.
    idle: RefCell<Vec<Idle<N>>>,
    open: Cell<u32>,
    limit: Cell<u32>,
    available: Notify,
    failures: RefCell<Vec<Instant>>,
    evicted: Cell<u64>,
    waiting: Cell<u32>,
}

impl<N: Net> Shared<N> {
    fn new() -> Self {
        Self {
            idle: RefCell::default(),
            open: Cell::default(),
            limit: Cell::default(),
            available: Notify::new(),
            failures: RefCell::default(),
            evicted: Cell::default(),
            waiting: Cell::default(),
        }
    }

    /// Takes the most recently used connection, unless it has been idle for longer than `max_idle`.
    ///
    /// Closes connections on which a request with the attempt ID `id` was refused: a second copy of
    /// that refusal could not be told from the response.
    fn take_idle(&self, max_idle: Duration, id: Option<&HeaderValue>) -> Option<Conn<N>> {
        loop {
            let mut all = self.idle.borrow_mut();
            if all.last()?.idle_since.elapsed() > max_idle {
                return None;
            }
            let mut conn = all.pop()?.conn;
            drop(all);
            if !id.is_some_and(|id| conn.refused.contains(id)) && conn.is_usable() {
                return Some(conn);
            }
        }
    }

    /// Closes the connection that has been idle for longest; returns whether there was one.
    fn close_oldest_idle(&self) -> bool {
        let mut all = self.idle.borrow_mut();
        if all.is_empty() {
            return false;
        }
        let oldest = all.remove(0);
        drop(all);
        drop(oldest);
        self.evicted.set(self.evicted.get() + 1);
        true
    }

    /// Closes the idle connections that have ended, or have been idle for longer than `max_idle`.
    fn prune(&self, max_idle: Duration) {
        let now = Instant::now();
        let is_stale = |idle: &mut Idle<N>| {
            now.duration_since(idle.idle_since) > max_idle || !idle.conn.is_usable()
        };
        let stale: Vec<_> = self.idle.borrow_mut().extract_if(.., is_stale).collect();
        drop(stale);
    }
}

/// Counts one open connection until it is dropped.
struct ConnectionGuard<N: Net>(Rc<Shared<N>>);

impl<N: Net> ConnectionGuard<N> {
    fn acquire(shared: &Rc<Shared<N>>) -> Option<Self> {
        let open = shared.open.get();
        if open >= shared.limit.get() {
            return None;
        }
        shared.open.set(open + 1);
        Some(Self(shared.clone()))
    }
}

impl<N: Net> Drop for ConnectionGuard<N> {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.available.notify_one();
    }
}

/// Counts one call that waits for a connection until it is dropped.
struct WaitingGuard<'a>(&'a Cell<u32>);

impl<'a> WaitingGuard<'a> {
    fn start<N: Net>(shared: &'a Shared<N>) -> Self {
        shared.waiting.set(shared.waiting.get() + 1);
        Self(&shared.waiting)
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A connection in use by one call; closed on drop unless [`Lease::reuse`] is called.
pub struct Lease<N: Net> {
    conn: Conn<N>,
    is_last: bool,
    server: SocketAddr,
    tasks: Tasks,
}

impl<N: Net> Lease<N> {
    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    /// The connection fails before the response head.
    pub async fn send(
        &mut self,
        request: Request<Chunks>,
    ) -> Result<Response<Incoming>, SendError> {
        let server = self.server;
        let sent = self.conn.sender.try_send_request(request);
        let sent = self.conn.drive(sent).await;
        sent.map_err(|mut error| match error.take_message() {
            Some(_) => SendError::Unreachable(server),
            None => SendError::Lost(server, error.into_error()),
        })
    }

    /// Runs a future that reads the body of the response.
    pub async fn drive<T>(&mut self, reader: impl Future<Output = T>) -> T {
        self.conn.drive(reader).await
    }

    /// Leaves the connection to a task, so that the rest of the body can be read without the lease.
    /// It is closed at the deadline, also if the caller reads nothing.
    pub fn detach(self, deadline: Instant) -> DetachedLease {
        let (done, ended) = oneshot::channel();
        let tasks = self.tasks.clone();
        tasks.spawn(async move {
            let mut lease = self;
            let ended = timeout_at(deadline, lease.drive(ended)).await;
            if matches!(ended, Ok(Ok(()))) {
                lease.reuse();
            }
        });
        DetachedLease(done)
    }

    /// Returns the connection to the pool; the response must have been read to its end.
    pub fn reuse(mut self) {
        if self.is_last {
            return;
        }
        self.conn.is_new = false;
        let Conn { guard, .. } = &self.conn;
        let shared = guard.0.clone();
        shared.idle.borrow_mut().push(Idle {
            conn: self.conn,
            idle_since: Instant::now(),
        });
        shared.available.notify_one();
    }

    /// Returns the connection to the pool after a refusal of the request with the attempt ID `id`;
    /// it carries no further request with that ID.
    pub fn reuse_refused(mut self, id: HeaderValue) {
        self.conn.refused.push(id);
        if self.conn.refused.len() < REFUSALS_MAX {
            self.reuse();
        }
    }

    /// Makes this call the last one on the connection.
    pub fn set_last(&mut self) {
        self.is_last = true;
    }

    /// Whether the connection has not carried a response yet.
    pub fn is_new(&self) -> bool {
        self.conn.is_new
    }
}

/// A connection from which the rest of a body is read; closed on drop unless
/// [`DetachedLease::reuse`] is called.
#[derive(Debug)]
pub struct DetachedLease(oneshot::Sender<()>);

impl DetachedLease {
    /// Returns the connection to the pool; the response must have been read to its end.
    pub fn reuse(self) {
        // The task has ended if the pool was closed.
        let _ = self.0.send(());
    }
}

/// Pool of connections to the node's own backend server.
pub struct Pool<N: Net> {
    net: N,
    server: SocketAddr,
    shared: Rc<Shared<N>>,
    tasks: Tasks,
}

impl<N: Net> Pool<N> {
    /// An empty pool that opens no connections until [`Pool::resize`] is called.
    pub fn new(net: N, server: SocketAddr) -> Self {
        Self {
            net,
            server,
            shared: Rc::new(Shared::new()),
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

    /// Number of calls that wait for a connection because the limit is reached.
    pub fn waiting(&self) -> u32 {
        self.shared.waiting.get()
    }

    /// Number of idle connections closed to make room for a call that could use none of them.
    pub fn evicted(&self) -> u64 {
        self.shared.evicted.get()
    }

    /// A connection for one call; waits while the limit is reached and all connections are in use.
    ///
    /// # Errors
    /// The server can't be reached.
    pub async fn lease(&self) -> Result<Lease<N>, SendError> {
        self.lease_idle(Duration::from_millis(IDLE_MAX_MS), None)
            .await
    }

    /// A connection for one call with the attempt ID `id`, either new or idle for at most
    /// `max_idle`. At the limit, an idle connection that the call can't use makes room for a new one.
    ///
    /// # Errors
    /// The server can't be reached.
    pub async fn lease_idle(
        &self,
        max_idle: Duration,
        id: Option<&HeaderValue>,
    ) -> Result<Lease<N>, SendError> {
        loop {
            while let Some(conn) = self.shared.take_idle(max_idle, id) {
                if let Ok(lease) = self.ready(conn).await {
                    return Ok(lease);
                }
            }
            if let Some(guard) = ConnectionGuard::acquire(&self.shared) {
                return self.dial(guard).await;
            }
            // No idle connection that is left can carry this call, but each counts against the
            // limit. Only connections in use are worth waiting for.
            if self.shared.close_oldest_idle() {
                continue;
            }
            let _waiting = WaitingGuard::start(&self.shared);
            self.shared.available.notified().await;
        }
    }

    async fn dial(&self, guard: ConnectionGuard<N>) -> Result<Lease<N>, SendError> {
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
        let Ok(Some((sender, conn))) = timeout(time_limit, opened).await else {
            return Err(SendError::Unreachable(self.server));
        };
        let driver = Some(Box::pin(conn));
        self.ready(Conn {
            sender,
            driver,
            guard,
            is_new: true,
            refused: Vec::new(),
        })
        .await
    }

    /// Waits until a connection can send a request.
    async fn ready(&self, mut conn: Conn<N>) -> Result<Lease<N>, SendError> {
        let ready = poll_fn(|cx| {
            conn.poll(cx);
            conn.sender.poll_ready(cx)
        });
        ready
            .await
            .map_err(|_| SendError::Unreachable(self.server))?;
        Ok(Lease {
            conn,
            is_last: false,
            server: self.server,
            tasks: self.tasks.clone(),
        })
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
        // The failure of an idle connection is noticed only when it is polled.
        self.prune();
        let now = Instant::now();
        let recent =
            |at: &Instant| now.duration_since(*at) <= Duration::from_millis(FAILURE_WINDOW_MS);
        let mut failures = self.shared.failures.borrow_mut();
        failures.retain(recent);
        failures.len()
    }

    /// Closes connections that have been idle for longer than 15 s, or were closed by the server.
    /// Must be called regularly.
    pub fn prune(&self) {
        self.shared.prune(Duration::from_millis(IDLE_MAX_MS));
    }

    /// Closes all connections and waits until their tasks have ended.
    pub async fn close(&self) {
        let idle = self.shared.idle.take();
        drop(idle);
        self.tasks.abort().await;
    }
}
