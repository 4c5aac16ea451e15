//! One call to the node's own backend server.

use std::{rc::Rc, time::Duration};

use http::Response;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::{
    coordination::gate::{AdmissionRequest, Permit, RefusalReason},
    protocol::{call::write, header},
    state::{
        allowance::Allowance,
        calls::{Call, Egress},
        counters::Counter,
        id::{CallToken, ChainName, RootId},
        journal::Step,
        limit::CallEnd,
        object::Class,
        priority::Priority,
    },
};

use super::{
    body::{Buffered, read_buffered},
    link::SendError,
    net::Net,
    node::{NodeContext, Path},
    pool::Lease,
    reply::{Body, Guard, Reply, reason_text, server_framing},
    request::BufferedRequest,
};

/// Connections tried for one call when the server has closed those that were idle.
const SENDS_MAX: u32 = 3;

/// A call and what is known about the client request behind it.
#[derive(Debug, Clone)]
pub struct Order {
    /// The client request.
    pub root: RootId,
    /// Class of the client request.
    pub class: Class,
    /// Chain of the client request.
    pub chain: ChainName,
    /// Priority of the client request.
    pub priority: Priority,
    /// When the call must have ended.
    pub deadline: Instant,
    /// Extra attempts that the call and all below it may use.
    pub allowance: u32,
    /// The request itself.
    pub message: BufferedRequest,
}

impl Order {
    /// Time left until the deadline.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// An admitted call in the call table; removed from it on drop, which cancels what is below.
struct Entry {
    parts: Rc<NodeContext>,
    token: CallToken,
    permit: Option<Permit>,
    cancel: CancellationToken,
    dispatched: Option<Instant>,
}

/// What remains of a call once it has left the call table.
struct Closed {
    permit: Permit,
    own: Duration,
    unused: u32,
    egress: u32,
}

impl Entry {
    fn open(parts: &Rc<NodeContext>, order: &Order, permit: Permit) -> Self {
        let cancel = CancellationToken::new();
        let token = parts.calls.borrow_mut().open(Call {
            root: order.root,
            class: order.class.name.clone(),
            chain: order.chain.clone(),
            priority: order.priority,
            deadline: order.deadline,
            repeatable: order.class.repeatable,
            allowance: Allowance::new(order.allowance),
            cancel: cancel.clone(),
            egress: Egress::default(),
        });
        Self {
            parts: parts.clone(),
            token,
            permit: Some(permit),
            cancel,
            dispatched: None,
        }
    }

    /// Takes the call out of the table; what is left of its allowance can't be used after this.
    fn close(mut self) -> Option<Closed> {
        let now = Instant::now();
        let permit = self.permit.take()?;
        let mut call = self.parts.calls.borrow_mut().close(&self.token)?;
        let spent = self.dispatched.map_or(Duration::ZERO, |at| now - at);
        Some(Closed {
            permit,
            own: spent.saturating_sub(call.egress.waited(now)),
            unused: call.allowance.close(),
            egress: call.egress.count(),
        })
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if self.permit.is_some() {
            self.parts.calls.borrow_mut().close(&self.token);
            self.cancel.cancel();
        }
    }
}

/// Runs a call at the node's own backend server, once the gate admits it.
pub async fn serve<N: Net>(path: &Path<N>, order: &Order) -> Reply {
    let parts = &path.parts;
    let asked = Instant::now();
    let ask = AdmissionRequest {
        priority: order.priority,
        class: order.class.name.clone(),
        important: order.class.important,
        begun: false,
        deadline: order.deadline,
        timeout: order.class.deadline(),
        fingerprint: order.message.fingerprint(),
    };
    let permit = match parts.gate.admit(ask).await {
        Ok(permit) => permit,
        Err(refusal) => {
            parts.refused(order, refusal.why);
            return Reply::refused(&refusal, order.allowance);
        }
    };
    let waited_us = asked.elapsed().as_micros() as u64;
    parts.note(order.root, Step::Admitted { waited_us });
    // The process may have been paused while the call waited.
    if parts.is_late(order.deadline) {
        drop(permit);
        return refused(path, order, RefusalReason::Deadline);
    }
    let mut entry = Entry::open(parts, order, permit);
    for _ in 0..SENDS_MAX {
        let Ok(leased) = timeout_at(order.deadline, path.pool.lease()).await else {
            drop(entry);
            return refused(path, order, RefusalReason::Deadline);
        };
        let Ok(lease) = leased else {
            path.health.record_refusal();
            break;
        };
        if parts.is_late(order.deadline) {
            lease.reuse();
            drop(entry);
            return refused(path, order, RefusalReason::Deadline);
        }
        // Tasks of a process that wakes may run before its clock watch does.
        if parts.has_slept() {
            lease.reuse();
            drop(entry);
            return refused(path, order, RefusalReason::Waking);
        }
        match exchange(path, order, entry, lease).await {
            Sent::Answered(reply) => return *reply,
            Sent::Not(unsent) => entry = unsent,
        }
    }
    unreachable(path, order, entry)
}

fn refused<N>(path: &Path<N>, order: &Order, why: RefusalReason) -> Reply {
    path.parts.refused(order, why);
    Reply::not_run(order.allowance, reason_text(why), path.parts.pause())
}

fn unreachable<N>(path: &Path<N>, order: &Order, entry: Entry) -> Reply {
    drop(entry);
    let cause = "server-unreachable".into();
    path.parts.note(order.root, Step::Refused { cause });
    Reply::not_run(order.allowance, "server-unreachable", path.parts.pause())
}

/// What became of a request on one connection.
enum Sent {
    /// The call has ended.
    Answered(Box<Reply>),
    /// The connection had ended before and nothing was sent.
    Not(Entry),
}

async fn exchange<N: Net>(path: &Path<N>, order: &Order, mut entry: Entry, lease: Lease) -> Sent {
    let mut lease = lease;
    let mut request = order.message.to_server(&path.parts.settings.service);
    let headers = request.headers_mut();
    write(headers, header::CALL, &entry.token);
    write(headers, header::ROOT, &order.root);
    write(headers, header::CLASS, &order.class.name);
    write(headers, header::TIMEOUT_MS, &order.left().as_millis());
    if entry.dispatched.replace(Instant::now()).is_none() {
        path.parts.counters.add(Counter::ServerCalls, 1);
    }
    let answered = async {
        let answer = lease.send(request).await;
        (answer, lease)
    };
    let Ok((answer, lease)) = timeout_at(order.deadline, answered).await else {
        return Sent::Answered(Box::new(late(entry)));
    };
    let reply = match answer {
        Ok(answer) => answered_by(path, order, entry, lease, answer).await,
        Err(SendError::Unreachable(_)) => return Sent::Not(entry),
        Err(error) => broken(path, entry, lease, &error.to_string()),
    };
    Sent::Answered(Box::new(reply))
}

/// The deadline passed after dispatch: the call may still run.
fn late(entry: Entry) -> Reply {
    // The server works on an abandoned call until it notices, which the limit has to learn.
    let cancel = entry.cancel.clone();
    if let Some(closed) = entry.close() {
        closed.permit.finish(closed.own, CallEnd::Cancelled);
    }
    cancel.cancel();
    Reply::unknown("deadline")
}

fn broken<N: Net>(path: &Path<N>, entry: Entry, lease: Lease, cause: &str) -> Reply {
    drop(lease);
    let cancel = entry.cancel.clone();
    if let Some(closed) = entry.close() {
        path.health.report_lost(closed.permit, closed.own);
    }
    cancel.cancel();
    path.parts.counters.add(Counter::AnswersBroken, 1);
    log::debug!("answer of the server broke: {cause}");
    Reply::failed("server-lost")
}

async fn answered_by<N: Net>(
    path: &Path<N>,
    order: &Order,
    entry: Entry,
    lease: Lease,
    answer: Response<Incoming>,
) -> Reply {
    let (head, body) = answer.into_parts();
    let Some(framing) = server_framing(&order.message.method, &head) else {
        return broken(path, entry, lease, "its end can't be recognised");
    };
    let Ok(started) = timeout_at(order.deadline, read_buffered(body, framing)).await else {
        drop(lease);
        return late(entry);
    };
    let started = match started {
        Ok(started) => started,
        Err(error) => return broken(path, entry, lease, &error.to_string()),
    };
    let Some(closed) = entry.close() else {
        return Reply::failed("call-closed");
    };
    let shed = path.parts.is_shed(&head);
    let (unused, egress) = (closed.unused, closed.egress);
    let body = match started {
        Buffered::Whole(bytes) => {
            lease.reuse();
            let end = if shed {
                CallEnd::Shed
            } else {
                CallEnd::Answered
            };
            closed.permit.finish(closed.own, end);
            Body::whole(bytes)
        }
        Buffered::Partial(chunks, rest) => {
            let guard = Guard::Server {
                lease,
                permit: closed.permit,
                own: closed.own,
                health: path.health.clone(),
            };
            Body::stream(chunks, rest, framing, order.deadline, guard)
        }
    };
    if !shed {
        return Reply::complete(head, body, unused);
    }
    path.parts.counters.add(Counter::ServerSheds, 1);
    // A server that sheds after it has called others did run the request.
    if egress > 0 {
        return Reply::complete(head, body, unused);
    }
    Reply::not_run(unused, "shed", path.parts.pause())
}
