//! A record of every execution at every backend server, against which invariants are checked.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use bytes::Bytes;
use tokio::time::Instant;

use crate::state::id::{ServiceName, UpstreamName};

/// Identifier that a caller gives to one attempt, or to all attempts under one ticket.
pub type AttemptId = u64;

/// How an execution ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Not ended yet.
    Open,
    /// A whole answer was handed to the node.
    Answered,
    /// An error was handed to the node.
    Error,
    /// The node closed the connection.
    Cancelled,
}

/// One execution.
#[derive(Debug, Clone)]
pub struct Execution {
    /// Service that ran it.
    pub service: ServiceName,
    /// Upstream that ran it.
    pub upstream: UpstreamName,
    /// When it began.
    pub start: Instant,
    /// Time in a slot without the waits for other services.
    pub work: Duration,
    /// How it ended.
    pub end: End,
}

/// All executions of a run; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct Ledger(Rc<RefCell<BTreeMap<AttemptId, Vec<Execution>>>>);

impl Ledger {
    /// Notes the start of an execution.
    pub fn begin(&self, id: AttemptId, service: &ServiceName, upstream: &UpstreamName) -> Entry {
        let mut all = self.0.borrow_mut();
        let list = all.entry(id).or_default();
        list.push(Execution {
            service: service.clone(),
            upstream: upstream.clone(),
            start: Instant::now(),
            work: Duration::ZERO,
            end: End::Open,
        });
        Entry {
            ledger: self.clone(),
            id,
            index: list.len() - 1,
            working: Some(Instant::now()),
        }
    }

    /// The executions of one attempt.
    pub fn of(&self, id: AttemptId) -> Vec<Execution> {
        self.0.borrow().get(&id).cloned().unwrap_or_default()
    }

    /// Calls `visit` with each attempt's executions.
    pub fn each(&self, mut visit: impl FnMut(AttemptId, &[Execution])) {
        for (id, list) in self.0.borrow().iter() {
            visit(*id, list);
        }
    }
}

/// An execution in progress; dropping it counts as cancelled.
#[derive(Debug)]
pub struct Entry {
    ledger: Ledger,
    id: AttemptId,
    index: usize,
    working: Option<Instant>,
}

impl Entry {
    /// Stops counting work while the server waits for another service.
    pub fn wait(&mut self) {
        let Some(since) = self.working.take() else {
            return;
        };
        self.edit(|e| e.work += since.elapsed());
    }

    /// Notes the end.
    pub fn end(mut self, end: End) {
        self.wait();
        self.edit(|e| e.end = end);
    }

    fn edit(&self, change: impl FnOnce(&mut Execution)) {
        let mut all = self.ledger.0.borrow_mut();
        if let Some(list) = all.get_mut(&self.id) {
            change(&mut list[self.index]);
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.wait();
        self.edit(|e| {
            if e.end == End::Open {
                e.end = End::Cancelled;
            }
        });
    }
}

/// The bytes that `service` answers attempt `id` with, so that a mixed-up, changed or short answer
/// is noticed.
pub fn pattern(id: AttemptId, service: &str, bytes: usize) -> Bytes {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&id.to_be_bytes());
    hasher.update(service.as_bytes());
    hasher.update(&bytes.to_be_bytes());
    let block = *hasher.finalize().as_bytes();
    block.iter().copied().cycle().take(bytes).collect()
}
