//! What the parts of one connection tell each other.

use std::{
    cell::{Cell, RefCell},
    task::Waker,
};

use super::{super::server::ReadLimits, request_body::RequestBody};

/// The request that the HTTP library is processing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// None; it waits for a head.
    Idle,
    /// One without a body, of which nothing has been processed yet.
    Begun,
    /// One without a body, whose response does not close the connection: requests behind it may be
    /// started.
    Open,
    /// One without a body, behind which nothing may be started.
    Shut,
    /// One with a body, or any if nothing is read ahead: nothing behind it is started.
    Opaque,
}

/// State of a connection that its adapter, its service and the body of its response share.
#[derive(Debug)]
pub struct Signal {
    phase: Cell<Phase>,
    /// Whether nothing further may be started on the connection.
    pub stopped: Cell<bool>,
    /// Whether the caller does not take the bytes of the responses.
    pub is_blocked: Cell<bool>,
    /// Whether the adapter holds bytes that the HTTP library has not got.
    pub has_unread: Cell<bool>,
    /// Limits of the instance of the HTTP library that has the connection.
    pub limits: Cell<ReadLimits>,
    /// Limits that the next head needs, if they are others: this instance gets no more bytes.
    pub next_limits: Cell<Option<ReadLimits>>,
    /// The body of a request that the HTTP library has begun to read.
    body: RefCell<Option<RequestBody>>,
    waker: RefCell<Option<Waker>>,
}

impl Signal {
    /// The state of a new connection in `phase`, whose first head is read with `limits`.
    pub fn new(phase: Phase, limits: ReadLimits) -> Self {
        Self {
            phase: Cell::new(phase),
            limits: Cell::new(limits),
            next_limits: Cell::default(),
            body: RefCell::default(),
            stopped: Cell::new(false),
            is_blocked: Cell::new(false),
            has_unread: Cell::new(false),
            waker: RefCell::default(),
        }
    }

    /// The request that is being processed.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Sets the request that is being processed, and its body.
    pub fn begin(&self, phase: Phase, body: RequestBody) {
        self.phase.set(phase);
        self.body.replace(Some(body));
    }

    /// The body of a request, once after its beginning.
    pub fn take_body(&self) -> Option<RequestBody> {
        self.body.take()
    }

    /// Allows requests to be started behind the one that is being processed, unless it shuts the
    /// connection.
    pub fn open(&self) {
        if self.phase.get() == Phase::Begun {
            self.phase.set(Phase::Open);
        }
    }

    /// Whether requests may be started now.
    pub fn may_start(&self) -> bool {
        self.phase.get() == Phase::Open && !self.stopped.get() && !self.is_blocked.get()
    }

    /// Notes that the response in progress has ended, and wakes the connection if it has more to
    /// read.
    pub fn response_ended(&self) {
        self.phase.set(Phase::Idle);
        if self.has_unread.get() {
            self.wake();
        }
    }

    /// Sets the waker of the connection's task.
    pub fn set_waker(&self, waker: &Waker) {
        let mut last = self.waker.borrow_mut();
        if !last.as_ref().is_some_and(|last| last.will_wake(waker)) {
            *last = Some(waker.clone());
        }
    }

    /// Polls the connection again.
    pub fn wake(&self) {
        if let Some(waker) = &*self.waker.borrow() {
            waker.wake_by_ref();
        }
    }
}
