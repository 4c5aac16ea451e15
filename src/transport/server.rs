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
use http::{Request, Response, request::Parts};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::conn::auto,
};
use tokio::{sync::Semaphore, time::sleep};
use tokio_util::sync::CancellationToken;

use super::{
    net::Listener,
    pipeline::{Pipeline, Shared},
    tasks::Tasks,
};

/// Size limit of a request or response head.
pub const HEAD_MAX_BYTES: usize = 32 * 1_024;
/// Limit of the number of headers in a request or response.
pub const HEADERS_MAX: usize = 100;
/// Time limit for a request head, counted from the end of the previous response.
///
/// On an HTTP/1.1 connection this is also the idle timeout.
pub const HEAD_TIMEOUT_MS: u64 = 30_000;

const STREAMS_MAX: u32 = 1_024;
const STREAM_WINDOW_BYTES: u32 = 256 * 1_024;
const CONNECTION_WINDOW_BYTES: u32 = 4 * 1_024 * 1_024;
const KEEP_ALIVE_INTERVAL_MS: u64 = 10_000;
const KEEP_ALIVE_TIMEOUT_MS: u64 = 5_000;
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
pub async fn listen<L, H>(
    mut listener: L,
    version: HttpVersion,
    max_connections: usize,
    handler: Rc<H>,
    shutdown: Shutdown,
) where
    L: Listener,
    L::Conn: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin + 'static,
    H: Handler,
{
    let tasks = Tasks::default();
    let permits = std::sync::Arc::new(Semaphore::new(max_connections));
    loop {
        let next = async {
            let permit = permits.clone().acquire_owned().await;
            (permit, listener.accept().await)
        };
        let (permit, accepted) = tokio::select! {
            biased;
            () = shutdown.drain.cancelled() => break,
            next = next => next,
        };
        let Ok((conn, from)) = accepted else {
            sleep(Duration::from_millis(ACCEPT_BACKOFF_MS)).await;
            continue;
        };
        if !handler.accepts(from.ip()) {
            continue;
        }
        let (handler, shutdown) = (handler.clone(), shutdown.clone());
        tasks.spawn(async move {
            serve_connection(conn, from, version, handler, shutdown).await;
            drop(permit);
        });
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
    handler: Rc<H>,
    shutdown: Shutdown,
) where
    C: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin + 'static,
    H: Handler,
{
    let streams = Tasks::default();
    let used = Rc::new(Cell::new(false));
    let mark = used.clone();
    let head_timeout = handler.head_timeout();
    let pipeline = Pipeline::new(handler, from, H::handle_ahead);
    let requests = pipeline.clone();
    let service = service_fn(move |request| {
        mark.set(true);
        requests.serve(request)
    });
    let builder = builder(version, head_timeout, streams.clone());
    let io = TokioIo::new(pipeline.adapt(conn));
    let mut conn = pin!(builder.serve_connection(io, service));
    // The HTTP library applies its time limit for heads only once it has detected the version.
    let unused_timeout = async {
        sleep(head_timeout).await;
        if used.get() {
            std::future::pending().await
        }
    };
    let ended = tokio::select! {
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
    };
    if let Err(error) = ended {
        log::debug!("connection from {from} ended: {error}");
    }
    // The connection has ended, so its streams that are still running are aborted.
    streams.abort().await;
}

fn builder(version: HttpVersion, head_timeout: Duration, streams: Tasks) -> auto::Builder<Tasks> {
    let mut builder = auto::Builder::new(streams);
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .max_headers(HEADERS_MAX)
        .max_buf_size(HEAD_MAX_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(HEAD_MAX_BYTES as u32)
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
