//! Accept loops and connections of the listeners.

use std::{
    cell::Cell,
    convert::Infallible,
    future::Future,
    net::{IpAddr, SocketAddr},
    pin::pin,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::conn::auto,
};
use tokio::{sync::Semaphore, time::sleep};
use tokio_util::sync::CancellationToken;

use super::{net::Listener, tasks::Tasks};

/// Most bytes of the head of a request.
pub const HEAD_MAX_BYTES: usize = 32 * 1_024;
/// Most headers of a request.
pub const HEADERS_MAX: usize = 100;
/// Longest time for the head of a request, counted from the end of the answer before it.
///
/// HTTP/1.1 callers keep idle connections, so this is also how long a connection may be idle.
pub const HEAD_TIMEOUT_MS: u64 = 30_000;

const STREAMS_MAX: u32 = 1_024;
const STREAM_WINDOW_BYTES: u32 = 256 * 1_024;
const CONNECTION_WINDOW_BYTES: u32 = 4 * 1_024 * 1_024;
const ALIVE_INTERVAL_MS: u64 = 10_000;
const ALIVE_TIMEOUT_MS: u64 = 5_000;
// Retries accept when the process is out of descriptors, instead of spinning.
const ACCEPT_PAUSE_MS: u64 = 10;

/// Versions of HTTP that a listener speaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HttpVersion {
    /// HTTP/1.1 only.
    Http1,
    /// HTTP/2 only.
    Http2,
    /// Either, by the first bytes of a connection.
    Both,
}

/// Tokens that end a listener.
#[derive(Debug, Clone, Default)]
pub struct Shutdown {
    /// No new connections; open ones end after their calls in progress.
    pub drain: CancellationToken,
    /// Calls still in progress are cancelled.
    pub abort: CancellationToken,
}

/// Answers the requests of a listener.
pub trait Handler: 'static {
    /// Body of the answers.
    type Body: http_body::Body<Data = Bytes, Error: std::error::Error + Send + Sync> + 'static;

    /// Whether connections from this address are accepted.
    fn accepts(&self, from: IpAddr) -> bool;

    /// Longest time for the head of a request, counted from the end of the answer before it.
    fn head_timeout(&self) -> Duration {
        Duration::from_millis(HEAD_TIMEOUT_MS)
    }

    /// Answers one request; dropped when the caller disconnects.
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
        from: SocketAddr,
    ) -> impl Future<Output = Response<Self::Body>> + 'static;
}

/// Accepts connections until stopped; returns after the last connection has ended.
pub async fn listen<L, H>(
    mut listener: L,
    version: HttpVersion,
    connections: usize,
    handler: Rc<H>,
    stop: Shutdown,
) where
    L: Listener,
    L::Conn: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin + 'static,
    H: Handler,
{
    let tasks = Tasks::default();
    let free = std::sync::Arc::new(Semaphore::new(connections));
    loop {
        let next = async {
            let permit = free.clone().acquire_owned().await;
            (permit, listener.accept().await)
        };
        let (permit, accepted) = tokio::select! {
            biased;
            () = stop.drain.cancelled() => break,
            next = next => next,
        };
        let Ok((conn, from)) = accepted else {
            sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            continue;
        };
        if !handler.accepts(from.ip()) {
            continue;
        }
        let (handler, stop) = (handler.clone(), stop.clone());
        tasks.spawn(async move {
            connection(conn, from, version, handler, stop).await;
            drop(permit);
        });
    }
    drop(listener);
    tokio::select! {
        biased;
        () = tasks.join() => {}
        () = stop.abort.cancelled() => tasks.abort().await,
    }
}

async fn connection<C, H>(
    conn: C,
    from: SocketAddr,
    version: HttpVersion,
    handler: Rc<H>,
    stop: Shutdown,
) where
    C: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin + 'static,
    H: Handler,
{
    let streams = Tasks::default();
    let used = Rc::new(Cell::new(false));
    let mark = used.clone();
    let wait = handler.head_timeout();
    let service = service_fn(move |request| {
        mark.set(true);
        let answer = handler.clone().handle(request, from);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let builder = builder(version, wait, streams.clone());
    let mut conn = pin!(builder.serve_connection(TokioIo::new(conn), service));
    // The HTTP library limits the time for a head only once it knows the version.
    let unused = async {
        sleep(wait).await;
        if used.get() {
            std::future::pending().await
        }
    };
    let ended = tokio::select! {
        biased;
        () = stop.drain.cancelled() => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
        ended = conn.as_mut() => ended,
        () = unused => return,
    };
    if let Err(error) = ended {
        log::debug!("connection from {from} ended: {error}");
    }
    // A stream that outlives its connection has no caller left.
    streams.abort().await;
}

fn builder(version: HttpVersion, wait: Duration, streams: Tasks) -> auto::Builder<Tasks> {
    let mut builder = auto::Builder::new(streams);
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(wait)
        .max_headers(HEADERS_MAX)
        .max_buf_size(HEAD_MAX_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(HEAD_MAX_BYTES as u32)
        .max_concurrent_streams(STREAMS_MAX)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .keep_alive_interval(Duration::from_millis(ALIVE_INTERVAL_MS))
        .keep_alive_timeout(Duration::from_millis(ALIVE_TIMEOUT_MS));
    match version {
        HttpVersion::Http1 => builder.http1_only(),
        HttpVersion::Http2 => builder.http2_only(),
        HttpVersion::Both => builder,
    }
}
