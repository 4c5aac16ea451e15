//! Response bodies, read ahead while their response waits for an earlier one.

use std::{
    cell::Cell,
    collections::VecDeque,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use super::{BytesHeld, STALLED_MAX_STREAMS, signal::Signal};

/// A response that waits and is not read any further; counted until it is dropped.
#[derive(Debug)]
struct Stalled(Rc<Cell<usize>>);

impl Stalled {
    /// Counts a response, unless [`STALLED_MAX_STREAMS`] are counted.
    fn new(count: &Rc<Cell<usize>>) -> Option<Self> {
        if count.get() >= STALLED_MAX_STREAMS {
            return None;
        }
        count.update(|n| n + 1);
        Some(Self(count.clone()))
    }
}

impl Drop for Stalled {
    fn drop(&mut self) {
        self.0.update(|n| n - 1);
    }
}

/// Bytes of waiting responses that are charged to a connection and to the node; released on drop.
#[derive(Debug)]
pub struct Charge {
    conn: Rc<Cell<BytesHeld>>,
    node: Rc<Cell<BytesHeld>>,
    bytes: usize,
}

impl Charge {
    /// Charges `bytes` to both totals.
    pub fn new(conn: &Rc<Cell<BytesHeld>>, node: &Rc<Cell<BytesHeld>>, bytes: usize) -> Self {
        let mut charge = Self {
            conn: conn.clone(),
            node: node.clone(),
            bytes: 0,
        };
        charge.set(bytes);
        charge
    }

    fn set(&mut self, bytes: usize) {
        for total in [&self.conn, &self.node] {
            total.update(|held| BytesHeld(held.0 - self.bytes + bytes));
        }
        self.bytes = bytes;
    }

    fn is_exceeded(&self) -> bool {
        !BytesHeld::may_add(self.conn.get(), self.node.get(), 1)
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// Body of a response on a connection whose next requests may have been started.
pub struct Answer<B: Body> {
    /// Frames that were read while the response waited.
    ahead: VecDeque<Result<Frame<B::Data>, B::Error>>,
    ahead_bytes: usize,
    length: Option<u64>,
    rest: B,
    rest_ended: bool,
    charge: Option<Charge>,
    stalled: Option<Stalled>,
    signal: Option<Rc<Signal>>,
}

impl<B: Body<Data = Bytes> + Unpin> Answer<B> {
    /// A body that is passed on as it is read.
    pub fn new(body: B) -> Self {
        Self::with(body, None, None)
    }

    /// A body whose response waits for an earlier one.
    pub fn waiting(body: B, charge: Charge) -> Self {
        let length = body.size_hint().exact();
        Self::with(body, length, Some(charge))
    }

    fn with(body: B, length: Option<u64>, charge: Option<Charge>) -> Self {
        Self {
            ahead: VecDeque::new(),
            ahead_bytes: 0,
            length,
            rest: body,
            rest_ended: false,
            charge,
            stalled: None,
            signal: None,
        }
    }

    /// Marks the response as the one that is being sent; `signal` learns when it is dropped.
    pub fn in_turn(mut self, signal: Rc<Signal>) -> Self {
        self.signal = Some(signal);
        self.stalled = None;
        self
    }

    /// Reads the body ahead, so that its source need not wait for an earlier response; stops at the
    /// bound on waiting bytes. Returns `false` if too many responses have stopped there, which
    /// `stalled` counts: each of them holds a slot of a backend server.
    pub fn read_ahead(&mut self, cx: &mut Context<'_>, stalled: &Rc<Cell<usize>>) -> bool {
        let Some(charge) = &mut self.charge else {
            return true;
        };
        while !self.rest_ended {
            if self.ahead_bytes > 0 && charge.is_exceeded() {
                if self.stalled.is_none() {
                    self.stalled = Stalled::new(stalled);
                }
                return self.stalled.is_some();
            }
            self.stalled = None;
            match Pin::new(&mut self.rest).poll_frame(cx) {
                Poll::Pending => return true,
                Poll::Ready(None) => self.rest_ended = true,
                Poll::Ready(Some(frame)) => {
                    let data = frame.as_ref().ok().and_then(Frame::data_ref);
                    self.ahead_bytes += data.map_or(0, Bytes::len);
                    self.rest_ended = frame.is_err() || self.rest.is_end_stream();
                    self.ahead.push_back(frame);
                    charge.set(self.ahead_bytes);
                }
            }
        }
        charge.set(self.ahead_bytes);
        true
    }
}

// No field is pinned through the response.
impl<B: Body> Unpin for Answer<B> {}

impl<B: Body<Data = Bytes> + Unpin> Body for Answer<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let this = self.get_mut();
        if let Some(frame) = this.ahead.pop_front() {
            return Poll::Ready(Some(frame));
        }
        if this.rest_ended {
            return Poll::Ready(None);
        }
        Pin::new(&mut this.rest).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.ahead.is_empty() && (self.rest_ended || self.rest.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        match self.length {
            Some(length) => SizeHint::with_exact(length),
            None if self.ahead.is_empty() => self.rest.size_hint(),
            None => SizeHint::default(),
        }
    }
}

impl<B: Body> Drop for Answer<B> {
    fn drop(&mut self) {
        if let Some(signal) = &self.signal {
            signal.response_ended();
        }
    }
}
