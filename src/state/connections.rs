//! Open connections of a listener: which one is closed when there are too many, and which ones wait
//! for a slow client.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use tokio::{sync::Notify, time::Instant};

/// Time limits of a connection; `None` where there is none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Longest time from the first byte of a head to its end.
    pub head: Option<Duration>,
    /// Longest time for which a client takes no byte of an answer.
    pub stall: Option<Duration>,
}

/// State of one connection.
#[derive(Debug)]
pub struct Connection {
    requests: Cell<u32>,
    active_at: Cell<Instant>,
    head_since: Cell<Option<Instant>>,
    blocked_since: Cell<Option<Instant>>,
    is_overdue: Cell<bool>,
    ended: Notify,
}

impl Connection {
    fn new(now: Instant) -> Self {
        Self {
            requests: Cell::default(),
            active_at: Cell::new(now),
            head_since: Cell::default(),
            blocked_since: Cell::default(),
            is_overdue: Cell::default(),
            ended: Notify::new(),
        }
    }

    /// Records bytes from the client. Without a request in progress, they belong to a head.
    pub fn received(&self, now: Instant) {
        self.active_at.set(now);
        if self.requests.get() == 0 && self.head_since.get().is_none() {
            self.head_since.set(Some(now));
        }
    }

    /// Records that the client has taken bytes.
    pub fn sent(&self, now: Instant) {
        self.active_at.set(now);
        self.blocked_since.set(None);
    }

    /// Records that the client takes no bytes at the moment.
    pub fn blocked(&self, now: Instant) {
        if self.blocked_since.get().is_none() {
            self.blocked_since.set(Some(now));
        }
    }

    /// Records that a request was read; it is in progress until its answer has ended.
    pub fn request_started(&self) {
        self.requests.update(|n| n + 1);
        self.head_since.set(None);
    }

    /// Records the end of an answer.
    pub fn request_ended(&self, now: Instant) {
        self.requests.update(|n| n - 1);
        self.active_at.set(now);
    }

    /// Waits until the connection is to be closed; returns whether it is overdue, and not only idle.
    pub async fn ended(&self) -> bool {
        self.ended.notified().await;
        self.is_overdue.get()
    }

    fn is_past(&self, limits: &ConnectionLimits, now: Instant) -> bool {
        let is_past = |since: Option<Instant>, limit: Option<Duration>| {
            since
                .zip(limit)
                .is_some_and(|(since, limit)| now >= since + limit)
        };
        is_past(self.head_since.get(), limits.head)
            || is_past(self.blocked_since.get(), limits.stall)
    }
}

/// The open connections of one listener.
///
/// ```
/// use comfreybay::state::connections::Connections;
/// use std::rc::Rc;
/// use tokio::time::Instant;
///
/// let connections = Rc::new(Connections::new(1));
/// let first = connections.open(Instant::now()).unwrap();
/// first.connection().request_started();
/// // A connection with a request is not closed for another one.
/// assert!(connections.open(Instant::now()).is_none());
/// first.connection().request_ended(Instant::now());
/// assert!(connections.open(Instant::now()).is_some());
/// ```
#[derive(Debug)]
pub struct Connections {
    max: usize,
    next: Cell<u64>,
    open: RefCell<BTreeMap<u64, Rc<Connection>>>,
}

impl Connections {
    /// A table without connections, for at most `max` of them.
    pub fn new(max: usize) -> Self {
        Self {
            max,
            next: Cell::default(),
            open: RefCell::default(),
        }
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Registers a connection. If there are too many, the one that has been without a request for
    /// longest is ended; `None` if each has one.
    pub fn open(self: &Rc<Self>, now: Instant) -> Option<ConnectionGuard> {
        if self.len() >= self.max && !self.end_idle() {
            return None;
        }
        let id = self.next.get();
        self.next.set(id + 1);
        let connection = Rc::new(Connection::new(now));
        self.open.borrow_mut().insert(id, connection.clone());
        Some(ConnectionGuard {
            table: self.clone(),
            id,
            connection,
        })
    }

    fn end_idle(&self) -> bool {
        let mut open = self.open.borrow_mut();
        let idle = open.iter().filter(|(_, c)| c.requests.get() == 0);
        let oldest = idle.min_by_key(|(_, c)| c.active_at.get());
        let Some(id) = oldest.map(|(id, _)| *id) else {
            return false;
        };
        let connection = open.remove(&id).expect("the connection was found");
        connection.ended.notify_one();
        true
    }

    /// Ends the connections that are past a limit; returns their number.
    pub fn end_overdue(&self, limits: &ConnectionLimits, now: Instant) -> usize {
        let mut open = self.open.borrow_mut();
        let overdue = open.extract_if(.., |_, c| c.is_past(limits, now));
        let ended = overdue.map(|(_, connection)| {
            connection.is_overdue.set(true);
            connection.ended.notify_one();
        });
        ended.count()
    }
}

/// One open connection until it is dropped.
#[derive(Debug)]
pub struct ConnectionGuard {
    table: Rc<Connections>,
    id: u64,
    connection: Rc<Connection>,
}

impl ConnectionGuard {
    /// The state of the connection.
    pub fn connection(&self) -> &Rc<Connection> {
        &self.connection
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.table.open.borrow_mut().remove(&self.id);
    }
}

#[cfg(test)]
mod tests;
