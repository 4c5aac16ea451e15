//! HTTP server: accept loop and connections of a listener.

use std::{
    cell::Cell,
    future::Future,
    net::{IpAddr, SocketAddr},
    pin::pin,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use futures::FutureExt as _;
use http::{Request, Response, request::Parts};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::conn::auto,
};
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;

use crate::state::{
    connections::{ConnectionGuard, ConnectionLimits, Connections},
    memory::{CONNECTION_BYTES, Charge, MemoryBudget},
};

use super::{
    connections::{RequestGuard, Reused, Tracked, Watched},
    net::{Conn, Listener},
    pipeline::{Mismatch, Pipeline, Shared},
    tasks::Tasks,
};

/// Size limit of a request or response head.
pub const HEAD_MAX_BYTES: usize = 32 * 1_024;
/// Size limit of a head between nodes, as HTTP/2 counts it: 32 bytes more for each field. A head of
/// [`HEAD_MAX_BYTES`] has fields of at least 4 bytes, so this is 9 times as much, and the fields that
/// nodes add.
pub const HEAD_LIST_MAX_BYTES: usize = 10 * HEAD_MAX_BYTES;
/// Limit of the number of headers in a request or response.
pub const HEADERS_MAX: usize = 100;
/// Time limit for a request head, counted from the end of the previous response.
///
/// On an HTTP/1.1 connection this is also the idle timeout.
pub const HEAD_TIMEOUT_MS: u64 = 30_000;

/// Number of requests in progress on a connection between nodes.
const STREAMS_MAX: u32 = 1_024;
/// Bytes of a body between nodes that its receiver may hold unread. With a round trip of 2.8 ms between
/// availability zones, one body gets 23 MB a second.
pub const STREAM_WINDOW_BYTES: u32 = 64 * 1_024;
/// Bytes of all bodies on a connection that its receiver may hold unread: a share for each stream, so
/// that bodies which are read slowly hold up no others.
pub const CONNECTION_WINDOW_BYTES: u32 = STREAMS_MAX * STREAM_WINDOW_BYTES;
const KEEP_ALIVE_INTERVAL_MS: u64 = 10_000;
const KEEP_ALIVE_TIMEOUT_MS: u64 = 5_000;
/// Interval of the checks for connections that are past a time limit.
const OVERDUE_CHECK_MS: u64 = 250;
// Delay before the next accept after an error, such as a lack of file descriptors.
const ACCEPT_BACKOFF_MS: u64 = 10;

/// Versions of HTTP that a listener speaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HttpVersion {
    /// HTTP/1.1 only.
    Http1,
    /// HTTP/2 only.
    Http2,
    /// Either, detected from the first bytes of a connection.
    Auto,
}

/// Cancellation tokens for the shutdown of a listener.
#[derive(Debug, Clone, Default)]
pub struct Shutdown {
    /// When cancelled, no new connections are accepted, and open ones end after their calls in
    /// progress.
    pub drain: CancellationToken,
    /// When cancelled, the calls in progress are aborted.
    pub abort: CancellationToken,
}

/// Limits of the head of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeadLimits {
    /// Size on an HTTP/1.1 connection, in bytes.
    pub bytes: usize,
    /// Number of fields on an HTTP/1.1 connection.
    pub fields: usize,
    /// Size on an HTTP/2 connection, in bytes as HTTP/2 counts them.
    pub list_bytes: usize,
}

impl Default for HeadLimits {
    fn default() -> Self {
        Self {
            bytes: HEAD_MAX_BYTES,
            fields: HEADERS_MAX,
            list_bytes: HEAD_MAX_BYTES,
        }
    }
}

/// Limits with which the HTTP library reads a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadLimits {
    /// Size of a head on an HTTP/1.1 connection, in bytes.
    pub bytes: usize,
    /// Number of fields for which there is room on an HTTP/1.1 connection.
    pub fields: usize,
    /// Size of a head on an HTTP/2 connection, in bytes as HTTP/2 counts them.
    pub list_bytes: usize,
    /// Time limit for a head.
    pub head_timeout: Duration,
}

impl ReadLimits {
    /// The limits that a handler has at this moment.
    pub fn of<H: Handler>(handler: &H) -> Self {
        let limits = handler.head_limits();
        Self {
            bytes: limits.bytes,
            fields: limits.fields,
            list_bytes: limits.list_bytes,
            head_timeout: handler.head_timeout(),
        }
    }

    /// The same with room for a head with `fields`.
    ///
    /// The HTTP library sets up the room for each head, which takes longer than the rest of the work
    /// on it if there are thousands.
    pub fn for_fields(self, fields: usize) -> Self {
        match fields <= HEADERS_MAX {
            true => Self {
                fields: self.fields.min(HEADERS_MAX),
                ..self
            },
            false => self,
        }
    }
}

/// Request handler of a listener.
pub trait Handler: 'static {
    /// Body of the responses.
    type Body: http_body::Body<Data = Bytes, Error: std::error::Error + Send + Sync>
        + Unpin
        + 'static;

    /// Whether connections from this address are accepted.
    fn accepts(&self, from: IpAddr) -> bool;

    /// Time limit for a request head, counted from the end of the previous response.
    fn head_timeout(&self) -> Duration {
        Duration::from_millis(HEAD_TIMEOUT_MS)
    }

    /// Limits of a request head.
    fn head_limits(&self) -> HeadLimits {
        HeadLimits::default()
    }

    /// Time limits of connections at this moment.
    fn limits(&self) -> ConnectionLimits {
        ConnectionLimits::default()
    }

    /// The budget that open connections are charged to.
    fn memory(&self) -> Option<&Rc<MemoryBudget>> {
        None
    }

    /// Handles one request; the future is dropped when the caller disconnects.
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
        from: SocketAddr,
    ) -> impl Future<Output = Response<Self::Body>> + 'static;

    /// State for requests that are started before those ahead of them on their connection are
    /// answered; `None` if all are processed one at a time.
    fn pipeline(&self) -> Option<Shared> {
        None
    }

    /// Whether a request without a body may be started before those ahead of it are answered. Its
    /// response must not close the connection.
    fn starts_ahead(&self, _head: &Parts) -> bool {
        false
    }

    /// Handles a request without a body that [`Handler::starts_ahead`] allows.
    fn handle_ahead(
        self: Rc<Self>,
        _head: Parts,
        _from: SocketAddr,
    ) -> impl Future<Output = Response<Self::Body>> + 'static {
        std::future::pending()
    }

    /// The response to a request that was started ahead, whose own response has no room to wait;
    /// `None` leaves that one where it is.
    fn give_up(&self) -> Option<Response<Self::Body>> {
        None
    }

    /// Whether connections are closed after the next response.
    fn is_closing(&self) -> bool {
        false
    }
}

/// Accepts connections until the shutdown; returns when the last connection has ended.
///
/// Above `max_connections`, the one without a request for longest is closed for a new one, or the new
/// one if each has a request.
pub async fn listen<L, H>(
    mut listener: L,
    version: HttpVersion,
    max_connections: usize,
    handler: Rc<H>,
    shutdown: Shutdown,
) where
    L: Listener,
    H: Handler,
{
    let tasks = Tasks::default();
    let connections = Rc::new(Connections::new(max_connections));
    let mut check_at = Instant::now();
    loop {
        let check = async {
            match connections.is_empty() {
                true => std::future::pending().await,
                false => sleep_until(check_at).await,
            }
        };
        let accepted = tokio::select! {
            biased;
            () = shutdown.drain.cancelled() => break,
            () = check => {
                let now = Instant::now();
                connections.end_overdue(&handler.limits(), now);
                check_at = now + Duration::from_millis(OVERDUE_CHECK_MS);
                continue;
            }
            accepted = listener.accept() => accepted,
        };
        let Ok((conn, from)) = accepted else {
            sleep(Duration::from_millis(ACCEPT_BACKOFF_MS)).await;
            continue;
        };
        if !handler.accepts(from.ip()) {
            continue;
        }
        let Some(guard) = connections.open(Instant::now()) else {
            continue;
        };
        let (handler, shutdown) = (handler.clone(), shutdown.clone());
        tasks.spawn(serve_connection(
            conn, from, version, guard, handler, shutdown,
        ));
    }
    drop(listener);
    tokio::select! {
        biased;
        () = tasks.join() => {}
        () = shutdown.abort.cancelled() => tasks.abort().await,
    }
}

async fn serve_connection<C, H>(
    conn: C,
    from: SocketAddr,
    version: HttpVersion,
    guard: ConnectionGuard,
    handler: Rc<H>,
    shutdown: Shutdown,
) where
    C: Conn,
    H: Handler,
{
    let streams = Tasks::default();
    let used = Rc::new(Cell::new(false));
    let mark = used.clone();
    let _charge = handler.memory().map(|memory| {
        let mut charge = Charge::new(memory);
        charge.grow(CONNECTION_BYTES);
        charge
    });
    let connection = guard.connection().clone();
    let conn = Watched::new(conn, connection.clone());
    let tracked = connection.clone();
    let pipeline = Pipeline::new(handler, from, H::handle_ahead);
    let requests = pipeline.clone();
    let service = service_fn(move |request| {
        mark.set(true);
        let in_progress = RequestGuard::start(&tracked);
        let response = requests.serve(request);
        async move {
            let response = response.await?;
            Ok::<_, Mismatch>(response.map(|body| Tracked::new(body, in_progress)))
        }
    });
    let io = Reused::new(pipeline.adapt(conn));
    let mut is_first = true;
    loop {
        let limits = pipeline.limits();
        let builder = builder(version, limits, streams.clone());
        let mut conn = pin!(builder.serve_connection(TokioIo::new(io.clone()), service.clone()));
        // A head for which the connection goes on has arrived, and is served during a stop too.
        let ended = match is_first {
            true => None,
            false => conn.as_mut().now_or_never(),
        };
        is_first = false;
        // The HTTP library applies its time limit for heads only once it has detected the version.
        let unused_timeout = async {
            sleep(limits.head_timeout).await;
            if used.get() {
                std::future::pending().await
            }
        };
        let ended = match ended {
            Some(ended) => ended,
            None => tokio::select! {
                biased;
                () = async {
                    shutdown.drain.cancelled().await;
                    pipeline.stop();
                    pipeline.emptied().await;
                } => {
                    conn.as_mut().graceful_shutdown();
                    conn.await
                }
                ended = conn.as_mut() => ended,
                never = pipeline.drive() => match never {},
                () = unused_timeout => return,
                is_overdue = connection.ended() => {
                    if !is_overdue {
                        // Another node is told that the connection ends. It is not waited for, as
                        // the descriptor is needed.
                        conn.as_mut().graceful_shutdown();
                        let _ = conn.now_or_never();
                    }
                    streams.abort().await;
                    return;
                }
            },
        };
        if let Err(error) = ended {
            log::debug!("connection from {from} ended: {error}");
            break;
        }
        if !pipeline.goes_on() {
            break;
        }
    }
    // The connection has ended, so its streams that are still running are aborted.
    streams.abort().await;
}

fn builder(version: HttpVersion, limits: ReadLimits, streams: Tasks) -> auto::Builder<Tasks> {
    let mut builder = auto::Builder::new(streams);
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_headers(limits.fields)
        .max_buf_size(limits.bytes);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(limits.list_bytes as u32)
        .max_concurrent_streams(STREAMS_MAX)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .keep_alive_interval(Duration::from_millis(KEEP_ALIVE_INTERVAL_MS))
        .keep_alive_timeout(Duration::from_millis(KEEP_ALIVE_TIMEOUT_MS));
    match version {
        HttpVersion::Http1 => builder.http1_only(),
        HttpVersion::Http2 => builder.http2_only(),
        HttpVersion::Auto => builder,
    }
}
