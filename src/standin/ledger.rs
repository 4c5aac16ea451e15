//! Record of every execution at every backend server; the audit checks the invariants with it.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use bytes::Bytes;
use tokio::time::Instant;

use crate::state::id::{ServiceName, UpstreamName};

/// Identifier that a caller assigns to an attempt; all attempts with the same ticket share it.
pub type AttemptId = u64;

/// How an execution ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Still in progress.
    Open,
    /// The server returned a complete response to the node.
    Answered,
    /// The server returned an error response to the node.
    Error,
    /// The execution was dropped: the node closed the connection, its deadline passed or the
    /// server crashed.
    Cancelled,
}

/// One execution of a request at a backend server.
#[derive(Debug, Clone)]
pub struct Execution {
    /// Service that ran it.
    pub service: ServiceName,
    /// Upstream that ran it.
    pub upstream: UpstreamName,
    /// Start time.
    pub start: Instant,
    /// Time in a slot, without the time waiting for other services.
    pub work: Duration,
    /// How it ended.
    pub end: End,
}

/// All executions of a run; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct Ledger(Rc<RefCell<BTreeMap<AttemptId, Vec<Execution>>>>);

impl Ledger {
    /// Records the start of an execution.
    pub fn begin(
        &self,
        id: AttemptId,
        service: &ServiceName,
        upstream: &UpstreamName,
    ) -> OpenExecution {
        let mut all = self.0.borrow_mut();
        let list = all.entry(id).or_default();
        list.push(Execution {
            service: service.clone(),
            upstream: upstream.clone(),
            start: Instant::now(),
            work: Duration::ZERO,
            end: End::Open,
        });
        OpenExecution {
            ledger: self.clone(),
            id,
            index: list.len() - 1,
            work_since: Some(Instant::now()),
        }
    }

    /// Returns the executions of one attempt.
    pub fn executions(&self, id: AttemptId) -> Vec<Execution> {
        self.0.borrow().get(&id).cloned().unwrap_or_default()
    }

    /// Calls `visit` with the executions of each attempt.
    pub fn for_each(&self, mut visit: impl FnMut(AttemptId, &[Execution])) {
        for (id, list) in self.0.borrow().iter() {
            visit(*id, list);
        }
    }
}

/// An execution in progress; dropping it records it as cancelled.
#[derive(Debug)]
pub struct OpenExecution {
    ledger: Ledger,
    id: AttemptId,
    index: usize,
    work_since: Option<Instant>,
}

impl OpenExecution {
    /// Adds the time since the start to the execution's work; later time doesn't count as work.
    pub fn stop_work(&mut self) {
        let Some(since) = self.work_since.take() else {
            return;
        };
        self.update(|e| e.work += since.elapsed());
    }

    /// Records how the execution ended.
    pub fn end(mut self, end: End) {
        self.stop_work();
        self.update(|e| e.end = end);
    }

    fn update(&self, change: impl FnOnce(&mut Execution)) {
        let mut all = self.ledger.0.borrow_mut();
        if let Some(list) = all.get_mut(&self.id) {
            change(&mut list[self.index]);
        }
    }
}

impl Drop for OpenExecution {
    fn drop(&mut self) {
        self.stop_work();
        self.update(|e| {
            if e.end == End::Open {
                e.end = End::Cancelled;
            }
        });
    }
}

/// Returns the response body of `service` for attempt `id`, with which callers detect mixed-up,
/// altered and truncated responses.
pub fn expected_body(id: AttemptId, service: &str, bytes: usize) -> Bytes {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&id.to_be_bytes());
    hasher.update(service.as_bytes());
    hasher.update(&bytes.to_be_bytes());
    let block = *hasher.finalize().as_bytes();
    block.iter().copied().cycle().take(bytes).collect()
}
