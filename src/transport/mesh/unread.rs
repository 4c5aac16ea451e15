//! Answers to other nodes, and the end of those that are not read.

use std::{
    cell::{Cell, RefCell},
    pin::Pin,
    rc::{Rc, Weak},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use tokio::time::Instant;

use crate::state::memory::{Charge, MemoryBudget};

use super::super::{body::BodyError, reply::Body};

/// A streamed answer. While it is not read, it holds a slot of the backend server.
struct Answer {
    /// `None` once it was ended.
    body: RefCell<Option<Body>>,
    /// When the last part was taken, or the answer began.
    taken_at: Cell<Instant>,
    /// Whether it waits for the backend server, and not for the other node.
    is_awaited: Cell<bool>,
}

/// The streamed answers to other nodes.
#[derive(Default)]
pub struct UnreadAnswers(RefCell<Vec<Weak<Answer>>>);

impl UnreadAnswers {
    /// Watches an answer, and charges to `memory` what the node holds of it.
    pub fn watch(&self, body: Body, memory: &Rc<MemoryBudget>) -> PeerBody {
        let mut charge = Charge::new(memory);
        charge.grow(body.held_bytes());
        let kind = match body {
            Body::Whole(_) => Kind::Whole(body),
            Body::Stream(_) => {
                let answer = Rc::new(Answer {
                    body: RefCell::new(Some(body)),
                    taken_at: Cell::new(Instant::now()),
                    is_awaited: Cell::default(),
                });
                let mut all = self.0.borrow_mut();
                all.retain(|answer| answer.strong_count() > 0);
                all.push(Rc::downgrade(&answer));
                Kind::Stream(answer)
            }
        };
        PeerBody {
            kind,
            _charge: charge,
        }
    }

    /// Ends the answers of which no part was taken for `limit`. Their streams are reset, so that they
    /// don't look complete.
    pub fn end_stalled(&self, limit: Duration, now: Instant) {
        let mut ended = Vec::new();
        self.0.borrow_mut().retain(|answer| {
            let Some(answer) = answer.upgrade() else {
                return false;
            };
            let is_stalled = !answer.is_awaited.get() && now >= answer.taken_at.get() + limit;
            if is_stalled {
                ended.push(answer.body.take());
            }
            !is_stalled
        });
    }
}

enum Kind {
    Whole(Body),
    Stream(Rc<Answer>),
}

/// Body of a response to another node.
pub struct PeerBody {
    kind: Kind,
    _charge: Charge,
}

impl http_body::Body for PeerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let answer = match &mut self.get_mut().kind {
            Kind::Whole(body) => return Pin::new(body).poll_frame(cx),
            Kind::Stream(answer) => answer,
        };
        let mut body = answer.body.borrow_mut();
        let Some(body) = body.as_mut() else {
            return Poll::Ready(Some(Err(BodyError::TimedOut)));
        };
        let polled = Pin::new(body).poll_frame(cx);
        answer.is_awaited.set(polled.is_pending());
        answer.taken_at.set(Instant::now());
        polled
    }

    fn is_end_stream(&self) -> bool {
        match &self.kind {
            Kind::Whole(body) => body.is_end_stream(),
            Kind::Stream(answer) => {
                let body = answer.body.borrow();
                body.as_ref().is_some_and(|body| body.is_end_stream())
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.kind {
            Kind::Whole(body) => body.size_hint(),
            Kind::Stream(answer) => {
                let body = answer.body.borrow();
                body.as_ref()
                    .map_or_else(SizeHint::default, Body::size_hint)
            }
        }
    }
}
