//! Bodies of answers: read whole when short, streamed with proof of completeness when long.

use std::{
    cell::Cell,
    collections::VecDeque,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http::{
    HeaderMap, HeaderValue,
    header::{CONTENT_LENGTH, HeaderName},
};
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use thiserror::Error;
use tokio::time::{Instant, Sleep, sleep_until, timeout};

use crate::protocol::{call, header};

/// An answer up to this size is read in full before its head is passed on.
pub const BUFFER_MAX_BYTES: usize = 64 * 1_024;

/// Faults of a body.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The connection below failed.
    #[error("could not read the body: {0}")]
    Connection(#[from] hyper::Error),
    /// The body ended before its announced length, or without its end mark.
    #[error("could not read the body: it ended after {0} bytes, before its end")]
    Short(u64),
    /// The body is larger than allowed.
    #[error("could not read the body: it is above {0} bytes")]
    TooLarge(usize),
    /// The bodies of all requests take more memory than the node may use for them.
    #[error("could not read the body: the bodies of other requests fill the memory for them")]
    NoRoom,
    /// The body did not arrive in time.
    #[error("could not read the body in time")]
    TimedOut,
}

/// Most bytes of request bodies in memory over all calls of a node.
const ROOM_MAX_BYTES: usize = 32 * 1_024 * 1_024;

/// Memory taken by the body of one request; given back on drop.
#[derive(Debug)]
pub struct Room {
    all: Rc<Cell<usize>>,
    taken: usize,
}

impl Room {
    /// Nothing yet; `all` counts the bytes of all calls.
    pub fn new(all: Rc<Cell<usize>>) -> Self {
        Self { all, taken: 0 }
    }

    fn take(&mut self, bytes: usize) -> bool {
        let all = self.all.get() + bytes;
        if all > ROOM_MAX_BYTES {
            return false;
        }
        self.all.set(all);
        self.taken += bytes;
        true
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        self.all.set(self.all.get() - self.taken);
    }
}

/// How the end of a body is recognised.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By `Content-Length`.
    Length(u64),
    /// By the last chunk of an HTTP/1.1 answer; the HTTP library verifies it.
    Chunked,
    /// By the `cb-length` trailer of a peer.
    ///
    /// The HTTP library takes an HTTP/2 stream reset with CANCEL for the end of the body, so the
    /// end of the stream alone is no proof of completeness.
    Trailer,
    /// There is no body.
    Empty,
}

/// How a streamed body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// It was read to its proven end.
    Whole,
    /// The connection that it came from failed, or it ended early.
    Broken,
    /// The deadline passed.
    Late,
    /// The caller disconnected.
    Dropped,
}

/// Something to settle once a streamed body has ended.
pub trait Finish {
    /// Called once.
    fn finish(self, ending: Ending);
}

/// A body of which all bytes so far are in memory.
pub enum Buffered {
    /// The body is complete.
    Whole(Bytes),
    /// The body is longer than the buffer.
    Partial(VecDeque<Bytes>, Incoming),
}

/// Reads a body up to its end or to the size of the buffer.
///
/// # Errors
/// The connection breaks or the body ends early.
pub async fn read_buffered(mut body: Incoming, framing: Framing) -> Result<Buffered, BodyError> {
    let mut chunks = VecDeque::new();
    let mut size = 0_u64;
    if framing == Framing::Empty {
        return Ok(Buffered::Whole(Bytes::new()));
    }
    let mut announced = None;
    while let Some(frame) = body.frame().await {
        let frame = frame?;
        match frame.into_data() {
            Ok(data) => {
                size += data.len() as u64;
                chunks.push_back(data);
            }
            Err(frame) => announced = frame.trailers_ref().and_then(trailer_length),
        }
        if size > BUFFER_MAX_BYTES as u64 {
            return Ok(Buffered::Partial(chunks, body));
        }
    }
    if !is_whole(framing, size, announced) {
        return Err(BodyError::Short(size));
    }
    let mut whole = BytesMut::with_capacity(size as usize);
    chunks.iter().for_each(|c| whole.extend_from_slice(c));
    Ok(Buffered::Whole(whole.freeze()))
}

fn trailer_length(trailers: &HeaderMap) -> Option<u64> {
    call::read(trailers, header::LENGTH).ok().flatten()
}

fn is_whole(framing: Framing, size: u64, announced: Option<u64>) -> bool {
    match framing {
        Framing::Length(length) => size == length,
        Framing::Chunked => true,
        Framing::Trailer => announced == Some(size),
        Framing::Empty => size == 0,
    }
}

/// Reads the whole body of a request, within a size and a time.
///
/// # Errors
/// The body is too large, arrives too slowly or its connection breaks.
pub async fn read_request(
    mut body: Incoming,
    max_bytes: usize,
    wait: Duration,
    room: &mut Room,
) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(BodyError::TooLarge(max_bytes));
    }
    let all = async {
        let mut whole = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            if whole.len() + data.len() > max_bytes {
                return Err(BodyError::TooLarge(max_bytes));
            }
            if !room.take(data.len()) {
                return Err(BodyError::NoRoom);
            }
            whole.extend_from_slice(&data);
        }
        Ok(whole.freeze())
    };
    timeout(wait, all).await.unwrap_or(Err(BodyError::TimedOut))
}

/// Body of an answer that a node sends.
pub enum Body<G: Finish> {
    /// Bytes in memory.
    Whole(Option<Bytes>),
    /// Bytes from another connection.
    Stream(Box<Stream<G>>),
}

/// The streamed form of [`Body`].
pub struct Stream<G: Finish> {
    chunks: VecDeque<Bytes>,
    rest: Incoming,
    framing: Framing,
    size: u64,
    announced: Option<u64>,
    trailer: bool,
    ended: bool,
    deadline: Pin<Box<Sleep>>,
    guard: Option<G>,
}

impl<G: Finish> Body<G> {
    /// A body of the bytes given.
    pub fn whole(bytes: Bytes) -> Self {
        Self::Whole(Some(bytes).filter(|b| !b.is_empty()))
    }

    /// A body that continues with `rest` and fails at the deadline.
    pub fn stream(
        chunks: VecDeque<Bytes>,
        rest: Incoming,
        framing: Framing,
        deadline: Instant,
        guard: G,
    ) -> Self {
        Self::Stream(Box::new(Stream {
            size: chunks.iter().map(|c| c.len() as u64).sum(),
            chunks,
            rest,
            framing,
            announced: None,
            trailer: false,
            ended: false,
            deadline: Box::pin(sleep_until(deadline)),
            guard: Some(guard),
        }))
    }

    /// Ends a streamed body with the trailer by which a peer recognises its end.
    pub fn with_trailer(mut self) -> Self {
        if let Self::Stream(stream) = &mut self {
            stream.trailer = !matches!(stream.framing, Framing::Length(_));
        }
        self
    }

    /// The length, when it is known before the body is sent.
    pub fn length(&self) -> Option<u64> {
        match self {
            Self::Whole(bytes) => Some(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Self::Stream(stream) => match stream.framing {
                Framing::Length(length) => Some(length),
                _ => None,
            },
        }
    }
}

type Polled = Poll<Option<Result<Frame<Bytes>, BodyError>>>;

impl<G: Finish> Stream<G> {
    fn settle(&mut self, ending: Ending) {
        self.ended = true;
        if let Some(guard) = self.guard.take() {
            guard.finish(ending);
        }
    }

    /// Settles at the announced length, since the HTTP library does not poll past it.
    fn settle_at_length(&mut self) {
        if self.chunks.is_empty() && self.framing == Framing::Length(self.size) {
            self.settle(Ending::Whole);
        }
    }

    fn end(&mut self) -> Polled {
        let whole = is_whole(self.framing, self.size, self.announced);
        self.settle(if whole { Ending::Whole } else { Ending::Broken });
        if !whole {
            return Poll::Ready(Some(Err(BodyError::Short(self.size))));
        }
        if !self.trailer {
            return Poll::Ready(None);
        }
        let mut trailers = HeaderMap::new();
        let name = HeaderName::from_static(header::LENGTH);
        trailers.insert(name, HeaderValue::from(self.size));
        Poll::Ready(Some(Ok(Frame::trailers(trailers))))
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Polled {
        if self.ended {
            return Poll::Ready(None);
        }
        if let Some(chunk) = self.chunks.pop_front() {
            self.settle_at_length();
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        if self.deadline.as_mut().poll_ready(cx) {
            self.settle(Ending::Late);
            return Poll::Ready(Some(Err(BodyError::TimedOut)));
        }
        loop {
            let Some(frame) = ready!(Pin::new(&mut self.rest).poll_frame(cx)) else {
                return self.end();
            };
            let frame = match frame {
                Ok(frame) => frame,
                Err(error) => {
                    self.settle(Ending::Broken);
                    return Poll::Ready(Some(Err(error.into())));
                }
            };
            match frame.into_data() {
                Ok(data) => {
                    self.size += data.len() as u64;
                    self.settle_at_length();
                    return Poll::Ready(Some(Ok(Frame::data(data))));
                }
                Err(frame) => self.announced = frame.trailers_ref().and_then(trailer_length),
            }
        }
    }
}

trait PollReady {
    fn poll_ready(self, cx: &mut Context<'_>) -> bool;
}

impl PollReady for Pin<&mut Sleep> {
    fn poll_ready(self, cx: &mut Context<'_>) -> bool {
        std::future::Future::poll(self, cx).is_ready()
    }
}

impl<G: Finish + Unpin> http_body::Body for Body<G> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Polled {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Stream(stream) => stream.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_none(),
            Self::Stream(stream) => stream.ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self.length() {
            Some(length) => SizeHint::with_exact(length),
            None => SizeHint::default(),
        }
    }
}

impl<G: Finish> Drop for Stream<G> {
    fn drop(&mut self) {
        if let Some(guard) = self.guard.take() {
            guard.finish(Ending::Dropped);
        }
    }
}

/// The single value of `Content-Length`, if there is one.
pub fn content_length(headers: &HeaderMap) -> Option<u64> {
    let mut values = headers.get_all(CONTENT_LENGTH).iter();
    let first = values.next()?.to_str().ok()?.parse().ok()?;
    values.next().is_none().then_some(first)
}
