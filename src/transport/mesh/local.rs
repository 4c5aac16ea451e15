//! Requests in progress that were received from this instance.

use std::{
    cell::Cell,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Frame, SizeHint};

use crate::state::memory::{Charge, MemoryBudget};

use super::super::{body::BodyError, reply::Body};

/// Counts a request from this instance while it is in progress.
pub struct LocalRequestGuard(Rc<Cell<usize>>);

impl LocalRequestGuard {
    /// Increments the count until the guard is dropped.
    pub fn start(count: &Rc<Cell<usize>>) -> Self {
        count.update(|n| n + 1);
        Self(count.clone())
    }
}

impl Drop for LocalRequestGuard {
    fn drop(&mut self) {
        self.0.update(|n| n - 1);
    }
}

/// Body of a response to this instance; its request is in progress until it has been sent.
pub struct LocalBody {
    body: Body,
    _in_progress: LocalRequestGuard,
    _charge: Charge,
}

impl LocalBody {
    /// Keeps the guard until the body is dropped.
    /// What the node holds of the answer is charged to `memory`.
    pub fn new(body: Body, in_progress: LocalRequestGuard, memory: &Rc<MemoryBudget>) -> Self {
        let mut charge = Charge::new(memory);
        charge.grow(body.held_bytes());
        Self {
            body,
            _in_progress: in_progress,
            _charge: charge,
        }
    }
}

impl http_body::Body for LocalBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
