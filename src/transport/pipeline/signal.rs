//! What the parts of one connection tell each other.

use std::{
    cell::{Cell, RefCell},
    task::Waker,
};

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
    /// One with a body, or any if nothing is read ahead: all bytes are passed on as they arrive.
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
    waker: RefCell<Option<Waker>>,
}

impl Signal {
    /// The state of a new connection in `phase`.
    pub fn new(phase: Phase) -> Self {
        Self {
            phase: Cell::new(phase),
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

    /// Sets the request that is being processed.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.set(phase);
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
