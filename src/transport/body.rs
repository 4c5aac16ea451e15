//! Bodies: those of requests are buffered, those of responses are streamed if they are long.
//!
//! A streamed body ends without an error only if it is known to be complete.

use std::{
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
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
use tokio::time::{Instant, Sleep, sleep, sleep_until, timeout_at};

use crate::{
    protocol::{call, header},
    state::memory::{Charge, MemoryBudget},
};

use super::{
    chunks::{ChunkWriter, Chunks},
    server::STREAM_WINDOW_BYTES,
};

/// A response body up to this size is read in full before the response head is forwarded.
pub const BUFFER_MAX_BYTES: usize = 64 * 1_024;

/// Bytes held of a streamed body: the buffer with what was read before its head was passed on, twice
/// [`BUFFER_MAX_BYTES`] because buffers grow by doubling, and the window of its stream. Callers on all
/// connections that the budget admits may read slowly without using up the memory of the process.
const STREAM_HELD_BYTES: usize = 2 * BUFFER_MAX_BYTES + STREAM_WINDOW_BYTES as usize;
/// Size from which a part of a streamed body is passed on by itself.
const SMALL_BYTES: usize = 1_024;
/// Size up to which smaller parts are passed on together.
const GATHERED_MAX_BYTES: usize = 16 * 1_024;
/// Time for which a small part waits for further ones. It bounds the number of parts: a writer that
/// sends them as fast as they are read would otherwise have each passed on by itself.
const GATHER_TIME: Duration = Duration::from_millis(5);

/// Errors while reading a body.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The underlying connection failed.
    #[error("could not read the body: {0}")]
    Connection(#[from] hyper::Error),
    /// The body ended before its announced length, or without its trailer.
    #[error("could not read the body: it ended after {0} bytes, before its end")]
    Truncated(u64),
    /// The body is larger than allowed.
    #[error("could not read the body: it is above {0} bytes")]
    TooLarge(usize),
    /// The request bodies in memory have reached the limit of the node.
    #[error("could not read the body: the bodies of other requests fill the memory for them")]
    BufferFull,
    /// The body did not arrive in time.
    #[error("could not read the body in time")]
    TimedOut,
}

/// How the end of a body is detected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By `Content-Length`.
    Length(u64),
    /// By the last chunk of an HTTP/1.1 response, which the HTTP library checks.
    Chunked,
    /// By the end of the connection. The HTTP library reports a reset as an error; a connection that
    /// ends in order is taken for the end of the body.
    Close,
    /// By the `cb-length` trailer that a peer sends.
    ///
    /// The HTTP library reports an HTTP/2 stream reset with CANCEL as the end of the body, so the
    /// end of the stream alone doesn't show that the body is complete.
    Trailer,
    /// There is no body.
    Empty,
}

/// How a streamed body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// It was read to its end and is complete.
    Complete,
    /// The source connection failed, or the body was truncated.
    Broken,
    /// The deadline passed.
    TimedOut,
    /// The caller disconnected.
    Disconnected,
}

/// Cleanup to run when a streamed body has ended.
pub trait Finish {
    /// Runs the cleanup.
    fn finish(self, ending: Ending);
}

/// Result of [`read_buffered`]: a complete body, or one longer than the buffer limit.
pub enum Buffered {
    /// The body is complete.
    Whole(Bytes),
    /// The body is longer than [`BUFFER_MAX_BYTES`]: what was read so far, and the rest.
    Partial(Bytes, Incoming),
}

/// Reads a body until it ends or exceeds [`BUFFER_MAX_BYTES`].
///
/// # Errors
/// The connection fails or the body is truncated.
pub async fn read_buffered(mut body: Incoming, framing: Framing) -> Result<Buffered, BodyError> {
    // Copied, because a chunk of one byte takes far more memory than that.
    let mut whole = BytesMut::new();
    if framing == Framing::Empty {
        return Ok(Buffered::Whole(Bytes::new()));
    }
    let mut announced = None;
    while let Some(frame) = body.frame().await {
        let frame = frame?;
        match frame.into_data() {
            Ok(data) => whole.extend_from_slice(&data),
            Err(frame) => announced = frame.trailers_ref().and_then(trailer_length),
        }
        if whole.len() > BUFFER_MAX_BYTES {
            return Ok(Buffered::Partial(whole.freeze(), body));
        }
    }
    let size = whole.len() as u64;
    if !is_complete(framing, size, announced) {
        return Err(BodyError::Truncated(size));
    }
    Ok(Buffered::Whole(whole.freeze()))
}

fn trailer_length(trailers: &HeaderMap) -> Option<u64> {
    call::read(trailers, header::LENGTH).ok().flatten()
}

fn is_complete(framing: Framing, size: u64, announced: Option<u64>) -> bool {
    match framing {
        Framing::Length(length) => size == length,
        Framing::Chunked | Framing::Close => true,
        Framing::Trailer => announced == Some(size),
        Framing::Empty => size == 0,
    }
}

/// Time for which a body waits until one that was ended for it has released its memory.
const RELEASE_WAIT: Duration = Duration::from_millis(1);

/// Reads the whole body of a request, at most `max_bytes` until `deadline`; its blocks are added to
/// `charge`.
///
/// # Errors
/// The body is too large or too slow, the memory for bodies is used up, or the connection fails.
pub async fn read_request<B>(
    mut body: B,
    max_bytes: usize,
    deadline: Instant,
    memory: &Rc<MemoryBudget>,
    charge: &mut Charge,
) -> Result<Chunks, BodyError>
where
    B: http_body::Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(BodyError::TooLarge(max_bytes));
    }
    if body.is_end_stream() {
        return Ok(Chunks::default());
    }
    let mut whole = ChunkWriter::new(body.size_hint().exact());
    let reading = memory.start_body(Instant::now());
    loop {
        let next_check = reading.window_end(Instant::now()).min(deadline);
        let frame = tokio::select! {
            biased;
            frame = timeout_at(next_check, body.frame()) => frame,
            () = reading.ended() => return Err(BodyError::BufferFull),
        };
        let now = Instant::now();
        let Ok(frame) = frame else {
            if now >= deadline || reading.is_too_slow(now) {
                return Err(BodyError::TimedOut);
            }
            continue;
        };
        let Some(frame) = frame else {
            return Ok(whole.finish());
        };
        let Ok(mut data) = frame?.into_data() else {
            continue;
        };
        if whole.len() + data.len() > max_bytes {
            return Err(BodyError::TooLarge(max_bytes));
        }
        reading.received(data.len(), now);
        if reading.is_too_slow(now) {
            return Err(BodyError::TimedOut);
        }
        loop {
            whole.fill(&mut data);
            if data.is_empty() {
                break;
            }
            while !whole.try_start_block(charge) {
                if !memory.end_slowest(Instant::now()) {
                    return Err(BodyError::BufferFull);
                }
                sleep(RELEASE_WAIT).await;
            }
        }
    }
}

/// Body of a response that a node sends.
pub enum Body<G: Finish> {
    /// Bytes in memory.
    Whole(Option<Bytes>),
    /// Bytes forwarded from another connection.
    Stream(Box<Stream<G>>),
}

/// The streamed form of [`Body`].
pub struct Stream<G: Finish> {
    /// Read and not passed on yet.
    gathered: BytesMut,
    /// End of the wait for more, while less than [`SMALL_BYTES`] are gathered.
    gather_end: Option<Pin<Box<Sleep>>>,
    rest: Incoming,
    rest_ended: bool,
    framing: Framing,
    size: u64,
    announced: Option<u64>,
    sends_trailer: bool,
    ended: bool,
    deadline: Pin<Box<Sleep>>,
    guard: Option<G>,
}

impl<G: Finish> Body<G> {
    /// A body made of `bytes`.
    pub fn whole(bytes: Bytes) -> Self {
        Self::Whole(Some(bytes).filter(|b| !b.is_empty()))
    }

    /// A body of `begin` followed by `rest`; it fails at the deadline.
    pub fn stream(
        begin: Bytes,
        rest: Incoming,
        framing: Framing,
        deadline: Instant,
        guard: G,
    ) -> Self {
        Self::Stream(Box::new(Stream {
            size: begin.len() as u64,
            gathered: begin.into(),
            gather_end: None,
            rest,
            rest_ended: false,
            framing,
            announced: None,
            sends_trailer: false,
            ended: false,
            deadline: Box::pin(sleep_until(deadline)),
            guard: Some(guard),
        }))
    }

    /// Adds the trailer by which a peer detects the end of a streamed body of unknown length.
    pub fn with_trailer(mut self) -> Self {
        if let Self::Stream(stream) = &mut self {
            stream.sends_trailer = !matches!(stream.framing, Framing::Length(_));
        }
        self
    }

    /// Upper estimate of the bytes that the node holds of the body.
    pub fn held_bytes(&self) -> usize {
        match self {
            Self::Whole(bytes) => bytes.as_ref().map_or(0, Bytes::len),
            Self::Stream(_) => STREAM_HELD_BYTES,
        }
    }

    /// The length, if it is known in advance.
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
    fn finish(&mut self, ending: Ending) {
        self.ended = true;
        if let Some(guard) = self.guard.take() {
            guard.finish(ending);
        }
    }

    /// What is gathered if it is worth passing on, or has waited long enough for more.
    fn poll_gathered(&mut self, cx: &mut Context<'_>) -> Polled {
        if self.gathered.is_empty() {
            return Poll::Pending;
        }
        if self.gathered.len() < SMALL_BYTES {
            let start = || Box::pin(sleep_until(Instant::now() + GATHER_TIME));
            let gather_end = self.gather_end.get_or_insert_with(start);
            if !gather_end.as_mut().poll_ready(cx) {
                return Poll::Pending;
            }
        }
        let data = self.take_gathered();
        Poll::Ready(data.map(|data| Ok(Frame::data(data))))
    }

    fn take_gathered(&mut self) -> Option<Bytes> {
        self.gather_end = None;
        let data = self.gathered.split().freeze();
        self.finish_at_length();
        Some(data).filter(|data| !data.is_empty())
    }

    /// Finishes at the announced length, because the HTTP library does not poll beyond it.
    fn finish_at_length(&mut self) {
        if self.gathered.is_empty() && self.framing == Framing::Length(self.size) {
            self.finish(Ending::Complete);
        }
    }

    fn end(&mut self) -> Polled {
        let whole = is_complete(self.framing, self.size, self.announced);
        self.finish(if whole {
            Ending::Complete
        } else {
            Ending::Broken
        });
        if !whole {
            return Poll::Ready(Some(Err(BodyError::Truncated(self.size))));
        }
        if !self.sends_trailer {
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
        if self.gathered.len() >= GATHERED_MAX_BYTES || self.rest_ended {
            if let Some(data) = self.take_gathered() {
                return Poll::Ready(Some(Ok(Frame::data(data))));
            }
            return self.end();
        }
        if self.deadline.as_mut().poll_ready(cx) {
            self.finish(Ending::TimedOut);
            return Poll::Ready(Some(Err(BodyError::TimedOut)));
        }
        loop {
            let frame = match Pin::new(&mut self.rest).poll_frame(cx) {
                Poll::Ready(frame) => frame,
                Poll::Pending => return self.poll_gathered(cx),
            };
            let Some(frame) = frame else {
                self.rest_ended = true;
                let data = self.take_gathered();
                return data.map_or_else(|| self.end(), |d| Poll::Ready(Some(Ok(Frame::data(d)))));
            };
            let frame = match frame {
                Ok(frame) => frame,
                Err(error) => {
                    self.finish(Ending::Broken);
                    return Poll::Ready(Some(Err(error.into())));
                }
            };
            match frame.into_data() {
                Ok(data) => {
                    self.size += data.len() as u64;
                    // A frame of one byte takes the memory of far more at each node, so small ones
                    // are passed on together.
                    if self.gathered.is_empty() && data.len() >= SMALL_BYTES {
                        self.finish_at_length();
                        return Poll::Ready(Some(Ok(Frame::data(data))));
                    }
                    self.gathered.extend_from_slice(&data);
                    let is_last = self.framing == Framing::Length(self.size);
                    if self.gathered.len() >= GATHERED_MAX_BYTES || is_last {
                        let data = self.take_gathered().unwrap_or_default();
                        return Poll::Ready(Some(Ok(Frame::data(data))));
                    }
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
            guard.finish(Ending::Disconnected);
        }
    }
}

/// The value of `Content-Length`, if the header occurs exactly once.
pub fn content_length(headers: &HeaderMap) -> Option<u64> {
    let mut values = headers.get_all(CONTENT_LENGTH).iter();
    let first = values.next()?.to_str().ok()?.parse().ok()?;
    values.next().is_none().then_some(first)
}
