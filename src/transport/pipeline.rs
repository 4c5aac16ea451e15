//! Requests that a caller sends before it has the answers to the ones before (pipelining).
//!
//! The HTTP library reads the next head of an HTTP/1.1 connection only after the response before it.
//! [`PipelineConn`] stands between the connection and the library. While a request without a body is
//! in progress, it reads the heads behind it, and those that the handler allows are started at once.
//! Their responses wait until the library has read the same heads and asks for them in their turn.
//!
//! The limits of the library are those of one instance of it. A head that needs others, because it has
//! many fields or the configuration has changed, is read by another instance on the same connection.

pub mod answer;
pub mod conn;
pub mod end;
pub mod head;
pub mod queue;
pub mod request_body;
pub mod signal;

use std::{
    cell::{Cell, RefCell},
    convert::Infallible,
    future::{Future, poll_fn},
    net::SocketAddr,
    rc::Rc,
    task::{Context, Poll},
};

use bytes::BytesMut;
use http::{HeaderValue, Request, Response, header::CONNECTION, request::Parts};
use hyper::body::{Body as _, Incoming};
use thiserror::Error;
use tokio::io::ReadBuf;

use crate::state::{
    counters::{Counter, Counters},
    memory::Charge,
};

use super::{
    net::Conn,
    server::{Handler, ReadLimits},
};
use answer::Answer;
use conn::PipelineConn;
use end::{EndSlots, EndWatch};
use head::{Extent, HeadScan};
use queue::{Next, Queue};
use request_body::RequestBody;
use signal::{Phase, Signal};

/// Requests of one connection that are processed at once. Callers send a few to some tens ahead.
pub const REQUESTS_MAX: usize = 32;
/// Bytes of responses of one connection that wait for an earlier one. Each request that is started
/// ahead reserves the size up to which a response is read in full (64 KiB), until it is answered.
pub const CONN_WAITING_MAX_BYTES: usize = 2 * 1_024 * 1_024;
/// The same for all connections of a node, so that many connections don't fill its memory.
pub const NODE_WAITING_MAX_BYTES: usize = 16 * 1_024 * 1_024;
/// Bytes of a connection that are read behind the request in progress; one read may exceed this. Some
/// tens of ordinary heads fit, and any single head.
pub const UNREAD_MAX_BYTES: usize = 64 * 1_024;

/// Waiting responses of a node that are neither complete nor read further, because the bytes above are
/// used up. Each holds a slot of a backend server and up to the window of its stream (64 KiB). Further
/// ones are given up.
pub const STALLED_MAX_STREAMS: usize = 8;

/// Bytes of waiting responses, with those reserved for responses that have not arrived.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BytesHeld(pub usize);

impl BytesHeld {
    /// Whether `bytes` more stay within the bounds of a connection and of the node.
    ///
    /// ```
    /// use comfreybay::transport::pipeline::{BytesHeld, CONN_WAITING_MAX_BYTES};
    /// let (conn, node) = (BytesHeld(CONN_WAITING_MAX_BYTES - 1), BytesHeld::default());
    /// assert!(BytesHeld::may_add(conn, node, 1));
    /// assert!(!BytesHeld::may_add(conn, node, 2));
    /// ```
    pub fn may_add(conn: Self, node: Self, bytes: usize) -> bool {
        conn.0 + bytes <= CONN_WAITING_MAX_BYTES && node.0 + bytes <= NODE_WAITING_MAX_BYTES
    }
}

/// What the connections of one listener share.
#[derive(Debug, Clone)]
pub struct Shared {
    counters: Rc<Counters>,
    waiting: Rc<Cell<BytesHeld>>,
    stalled: Rc<Cell<usize>>,
    ends: EndSlots,
}

impl Shared {
    /// The state of a listener without connections, of which the ends of `ends` may be waited for at
    /// once.
    pub fn new(counters: Rc<Counters>, ends: usize) -> Self {
        Self {
            counters,
            waiting: Rc::default(),
            stalled: Rc::default(),
            ends: EndSlots::new(ends),
        }
    }
}

/// A head that the HTTP library has read differently from the request that was started for it.
#[derive(Debug, Error)]
#[error("could not match a request with the one started for it: their heads differ")]
pub struct Mismatch;

/// The future of a request that is started ahead by a handler `H`.
pub trait Ahead<H: Handler>: Future<Output = Response<H::Body>> + 'static {}

impl<H: Handler, F: Future<Output = Response<H::Body>> + 'static> Ahead<H> for F {}

/// The requests of one connection.
pub struct Pipeline<H: Handler, F> {
    handler: Rc<H>,
    from: SocketAddr,
    start: fn(Rc<H>, Parts, SocketAddr) -> F,
    shared: Option<Shared>,
    signal: Rc<Signal>,
    queue: LazyQueue<F, H::Body>,
    /// Charge for the bytes that the HTTP library has not got.
    unread: RefCell<Option<Charge>>,
}

/// Created with the first bytes behind a request, which most connections never have.
type LazyQueue<F, B> = RefCell<Option<Box<Queue<F, B>>>>;

impl<H: Handler, F: Ahead<H>> Pipeline<H, F> {
    /// The requests of a new connection; `start` starts one ahead.
    pub fn new(
        handler: Rc<H>,
        from: SocketAddr,
        start: fn(Rc<H>, Parts, SocketAddr) -> F,
    ) -> Rc<Self> {
        let shared = handler.pipeline();
        let limits = ReadLimits::of(&*handler);
        let (phase, limits) = match shared {
            Some(_) => (Phase::Idle, limits.for_fields(0)),
            None => (Phase::Opaque, limits),
        };
        Rc::new(Self {
            handler,
            from,
            start,
            shared,
            signal: Rc::new(Signal::new(phase, limits)),
            queue: RefCell::default(),
            unread: RefCell::default(),
        })
    }

    /// The connection that the HTTP library gets.
    pub fn adapt<C: Conn>(self: &Rc<Self>, conn: C) -> PipelineConn<C, H, F> {
        PipelineConn::new(conn, self.clone())
    }

    /// Processes a request that the HTTP library has read, or takes over the one that was started for
    /// the same head.
    ///
    /// # Errors
    /// The head is not that of the request started for it. The connection must be closed.
    pub fn serve(
        self: &Rc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<Answer<H::Body>>, Mismatch>> + use<H, F> {
        let turn = self.begin(&request);
        let this = self.clone();
        // On the heap, as each layer around a future copies it.
        let own = matches!(turn, Ok(false))
            .then(|| Box::pin(self.handler.clone().handle(request, self.from)));
        async move {
            turn?;
            let Some(mut own) = own else {
                let answered = poll_fn(|_| this.poll_response());
                return Ok(this.finish(answered.await));
            };
            let response = poll_fn(|cx| {
                let polled = own.as_mut().poll(cx);
                if polled.is_pending() {
                    this.signal.open();
                }
                polled
            });
            let response = this.finish(response.await.map(Answer::new));
            this.signal.open();
            Ok(response)
        }
    }

    /// Notes the request that the HTTP library has read; returns whether it was started before.
    fn begin(&self, request: &Request<Incoming>) -> Result<bool, Mismatch> {
        if self.shared.is_none() {
            return Ok(false);
        }
        let is_started = match &mut *self.queue.borrow_mut() {
            None => false,
            Some(queue) => {
                let head = queue::Request {
                    method: request.method(),
                    uri: request.uri(),
                    headers: request.headers(),
                };
                queue.take_turn(&head).ok_or(Mismatch)?
            }
        };
        let body = request.body();
        let (phase, body) = if !body.is_end_stream() {
            (Phase::Opaque, RequestBody::new(body.size_hint().exact()))
        } else if is_started {
            (Phase::Open, RequestBody::Ended)
        } else if keeps_connection(request) {
            (Phase::Begun, RequestBody::Ended)
        } else {
            (Phase::Shut, RequestBody::Ended)
        };
        self.signal.begin(phase, body);
        Ok(is_started)
    }

    /// The limits with which the HTTP library reads the connection now.
    pub fn limits(&self) -> ReadLimits {
        self.signal.limits.get()
    }

    /// Whether the connection goes on with another instance of the HTTP library, which has
    /// [`Self::limits`]: the last one got no more bytes because the next head needs other limits.
    pub fn goes_on(&self) -> bool {
        let next = self.signal.next_limits.take();
        if let Some(limits) = next {
            self.signal.limits.set(limits);
        }
        next.is_some()
    }

    /// Whether the next head can be read with the present limits. They have to be those in effect now.
    fn admit(&self, head: NextHead) -> bool {
        let (present, limits) = (self.limits(), ReadLimits::of(&*self.handler));
        let limits = match head {
            // It was accepted under the limits of an earlier time.
            NextHead::Started { .. } => ReadLimits {
                bytes: limits.bytes.max(present.bytes),
                ..limits.for_fields(0)
            },
            NextHead::Unstarted { fields, .. } => limits.for_fields(fields),
        };
        let is_admitted = limits == present;
        self.signal
            .next_limits
            .set((!is_admitted).then_some(limits));
        is_admitted
    }

    /// Examines the bytes that are kept; `None` if the next head has not arrived yet.
    fn next_head(&self, scan: &mut HeadScan) -> Option<NextHead> {
        let queue = self.queue.borrow();
        let queue = queue.as_ref()?;
        if let Some(bytes) = queue.first_unread() {
            return Some(NextHead::Started { bytes });
        }
        match scan.scan(queue.unread()) {
            Extent::Complete { bytes, fields } => Some(NextHead::Unstarted { bytes, fields }),
            Extent::Odd => Some(NextHead::UNKNOWN),
            // One that is too long is refused by the HTTP library.
            Extent::Partial if queue.unread().len() >= ReadLimits::of(&*self.handler).bytes => {
                Some(NextHead::UNKNOWN)
            }
            Extent::Partial => None,
        }
    }

    fn poll_response(&self) -> Poll<Response<Answer<H::Body>>> {
        let mut queue = self.queue.borrow_mut();
        let response = queue.as_mut().and_then(|queue| queue.pop());
        response.map_or(Poll::Pending, Poll::Ready)
    }

    /// Decides whether the response closes the connection: only if nothing behind it was started.
    fn finish(&self, mut response: Response<Answer<H::Body>>) -> Response<Answer<H::Body>> {
        if self.shared.is_none() {
            return response;
        }
        let headers = response.headers_mut();
        if !self.is_empty() {
            headers.remove(CONNECTION);
        } else if self.signal.stopped.get() || self.handler.is_closing() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        if headers.contains_key(CONNECTION) {
            self.stop();
        }
        let signal = self.signal.clone();
        response.map(|body| body.in_turn(signal))
    }

    /// Starts no further request on the connection.
    pub fn stop(&self) {
        self.signal.stopped.set(true);
    }

    /// Waits until no started request waits for its turn.
    pub async fn emptied(&self) {
        poll_fn(|_| match self.is_empty() {
            true => Poll::Ready(()),
            false => Poll::Pending,
        })
        .await;
    }

    fn is_empty(&self) -> bool {
        let queue = self.queue.borrow();
        queue.as_ref().is_none_or(|queue| queue.is_empty())
    }

    /// Drives the requests that were started ahead, and starts further ones. It is polled after the
    /// HTTP library, by the task of the connection.
    pub async fn drive(&self) -> Infallible {
        poll_fn(|cx| {
            self.poll_started(cx);
            Poll::Pending
        })
        .await
    }

    fn poll_started(&self, cx: &mut Context<'_>) {
        let (Some(shared), Some(queue)) = (&self.shared, &mut *self.queue.borrow_mut()) else {
            return;
        };
        self.signal.set_waker(cx.waker());
        loop {
            let is_answered = queue.poll(cx, &shared.stalled, || {
                shared.counters.add(Counter::AheadGivenUp, 1);
                self.handler.give_up()
            });
            if is_answered {
                self.signal.wake();
            }
            let mut starts = 0;
            while self.signal.may_start() {
                let next = queue.next(
                    &shared.waiting,
                    |head| self.handler.starts_ahead(head),
                    || shared.counters.add(Counter::AheadHeld, 1),
                );
                let Next::Startable(head, length) = next else {
                    break;
                };
                // Its copy stays in the queue, to be compared with the head that the library reads.
                let future = (self.start)(self.handler.clone(), (*head).clone(), self.from);
                queue.start(&head, length, future, &shared.waiting);
                shared.counters.add(Counter::AheadStarted, 1);
                starts += 1;
            }
            if starts == 0 {
                return;
            }
        }
    }

    fn is_full(&self) -> bool {
        let queue = self.queue.borrow();
        queue.as_ref().is_some_and(|queue| queue.is_full())
    }

    fn charge_unread(&self, bytes: usize) {
        let Some(memory) = self.handler.memory() else {
            return;
        };
        let mut charge = self.unread.borrow_mut();
        charge.get_or_insert_with(|| Charge::new(memory)).set(bytes);
    }

    /// Waits for the end of a connection that is not read for now.
    fn watch_end<E>(&self, end: impl FnOnce() -> E) -> Option<EndWatch<E>> {
        let shared = self.shared.as_ref()?;
        let watch = shared.ends.watch(end);
        if watch.is_none() {
            shared.counters.add(Counter::EndsUnwatched, 1);
        }
        watch
    }

    fn count_end(&self) {
        if let Some(shared) = &self.shared {
            shared.counters.add(Counter::EndsSeen, 1);
        }
    }

    fn push_unread(&self, cx: &Context<'_>, bytes: &[u8]) {
        self.signal.set_waker(cx.waker());
        let mut queue = self.queue.borrow_mut();
        let queue = queue.get_or_insert_default();
        queue.push(bytes);
        self.charge_unread(queue.unread_memory());
        self.signal.has_unread.set(true);
    }

    /// Passes on unread bytes that `take` selects.
    fn take_unread(
        &self,
        out: &mut ReadBuf<'_>,
        take: impl FnOnce(&mut Queue<F, H::Body>, usize) -> BytesMut,
    ) -> Poll<std::io::Result<()>> {
        let mut queue = self.queue.borrow_mut();
        let queue = queue.get_or_insert_default();
        let bytes: BytesMut = take(queue, out.remaining());
        out.put_slice(&bytes);
        self.charge_unread(queue.unread_memory());
        self.signal.has_unread.set(!queue.is_read());
        match bytes.is_empty() {
            // An empty read would be taken for the end of the connection.
            true => Poll::Ready(Err(std::io::Error::other(Mismatch))),
            false => Poll::Ready(Ok(())),
        }
    }
}

/// A head that is to be read by the HTTP library.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextHead {
    /// That of a request which was started; it has few fields.
    Started { bytes: usize },
    /// Another one.
    Unstarted { bytes: usize, fields: usize },
}

impl NextHead {
    /// One whose end does not come, so that the HTTP library gets all bytes and refuses it.
    const UNKNOWN: Self = Self::Unstarted {
        bytes: usize::MAX,
        fields: 0,
    };

    fn bytes(self) -> usize {
        match self {
            Self::Started { bytes } | Self::Unstarted { bytes, .. } => bytes,
        }
    }
}

fn keeps_connection<B>(request: &Request<B>) -> bool {
    head::keeps_connection(request.version(), request.headers())
}
