//! Calls to the node's own backend server.

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
    body::{Buffered, Framing, read_buffered},
    link::SendError,
    net::Net,
    node::{DataPlane, NodeContext},
    pool::Lease,
    reply::{Body, Guard, Reply, reason_text, server_framing},
    request::BufferedRequest,
};

/// Connections tried per call; the server may have closed idle ones.
const CONNECTION_TRIES_MAX: u32 = 3;

/// A call to run, with the attributes of the client request that it belongs to.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// Id of the client request.
    pub root: RootId,
    /// Class of the client request.
    pub class: Class,
    /// Chain of the client request.
    pub chain: ChainName,
    /// Priority of the client request.
    pub priority: Priority,
    /// Time at which the call must have ended.
    pub deadline: Instant,
    /// Retries that the call and all its downstream calls may use.
    pub allowance: u32,
    /// The request.
    pub message: BufferedRequest,
}

impl CallRequest {
    /// Time left until the deadline.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// An admitted call in the call table; dropping it removes the call and cancels its egress calls.
struct OpenCall {
    node: Rc<NodeContext>,
    token: CallToken,
    permit: Option<Permit>,
    cancel: CancellationToken,
    dispatched: Option<Instant>,
}

/// The data of a call that is needed after its removal from the call table.
struct ClosedCall {
    permit: Permit,
    own_time: Duration,
    unused: u32,
    egress_calls: u32,
}

impl OpenCall {
    fn open(node: &Rc<NodeContext>, call: &CallRequest, permit: Permit) -> Self {
        let cancel = CancellationToken::new();
        let token = node.calls.borrow_mut().open(Call {
            root: call.root,
            class: call.class.name.clone(),
            chain: call.chain.clone(),
            priority: call.priority,
            deadline: call.deadline,
            repeatable: call.class.repeatable,
            allowance: Allowance::new(call.allowance),
            cancel: cancel.clone(),
            egress: Egress::default(),
        });
        Self {
            node: node.clone(),
            token,
            permit: Some(permit),
            cancel,
            dispatched: None,
        }
    }

    /// Removes the call from the table; its egress calls can't use the allowance any more.
    fn close(mut self) -> Option<ClosedCall> {
        let now = Instant::now();
        let permit = self.permit.take()?;
        let mut call = self.node.calls.borrow_mut().close(&self.token)?;
        let spent = self.dispatched.map_or(Duration::ZERO, |at| now - at);
        Some(ClosedCall {
            permit,
            own_time: spent.saturating_sub(call.egress.waited(now)),
            unused: call.allowance.close(),
            egress_calls: call.egress.count(),
        })
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        if self.permit.is_some() {
            self.node.calls.borrow_mut().close(&self.token);
            self.cancel.cancel();
        }
    }
}

/// Runs a call at the node's own backend server once the gate has admitted it.
pub async fn serve<N: Net>(plane: &DataPlane<N>, call: &CallRequest) -> Reply {
    let node = &plane.node;
    let requested = Instant::now();
    let admission = AdmissionRequest {
        priority: call.priority,
        class: call.class.name.clone(),
        important: call.class.important,
        begun: false,
        deadline: call.deadline,
        timeout: call.class.deadline(),
        fingerprint: call.message.fingerprint(),
    };
    let permit = match node.gate.admit(admission).await {
        Ok(permit) => permit,
        Err(refusal) => {
            node.record_refusal(call, refusal.why);
            return Reply::refused(&refusal, call.allowance);
        }
    };
    let waited_us = requested.elapsed().as_micros() as u64;
    node.record_step(call.root, Step::Admitted { waited_us });
    // The process may have been paused while the call waited.
    if node.is_expired(call.deadline) {
        drop(permit);
        return refuse(plane, call, RefusalReason::Deadline);
    }
    let mut open_call = OpenCall::open(node, call, permit);
    for _ in 0..CONNECTION_TRIES_MAX {
        let Ok(leased) = timeout_at(call.deadline, plane.pool.lease()).await else {
            drop(open_call);
            return refuse(plane, call, RefusalReason::Deadline);
        };
        let Ok(lease) = leased else {
            plane.health.record_refusal();
            break;
        };
        if node.is_expired(call.deadline) {
            lease.reuse();
            drop(open_call);
            return refuse(plane, call, RefusalReason::Deadline);
        }
        // After a pause of the process, this task may run before the task that detects the pause.
        if node.was_paused() {
            lease.reuse();
            drop(open_call);
            return refuse(plane, call, RefusalReason::Waking);
        }
        match exchange(plane, call, open_call, lease).await {
            ExchangeResult::HostEnd(reply) => return *reply,
            ExchangeResult::Unsent(unsent) => open_call = unsent,
        }
    }
    server_unreachable(plane, call, open_call)
}

fn refuse<N: Net>(plane: &DataPlane<N>, call: &CallRequest, why: RefusalReason) -> Reply {
    plane.node.record_refusal(call, why);
    Reply::not_run(call.allowance, reason_text(why), plane.node.retry_delay())
}

fn server_unreachable<N: Net>(
    plane: &DataPlane<N>,
    call: &CallRequest,
    open_call: OpenCall,
) -> Reply {
    drop(open_call);
    let cause = "server-unreachable".into();
    plane.node.record_step(call.root, Step::Refused { cause });
    Reply::not_run(
        call.allowance,
        "server-unreachable",
        plane.node.retry_delay(),
    )
}

/// Result of sending a request on one connection.
enum ExchangeResult {
    /// The call has ended.
    HostEnd(Box<Reply>),
    /// The connection was closed already and nothing was sent.
    Unsent(OpenCall),
}

async fn exchange<N: Net>(
    plane: &DataPlane<N>,
    call: &CallRequest,
    mut open_call: OpenCall,
    lease: Lease<N>,
) -> ExchangeResult {
    let mut lease = lease;
    let mut request = call.message.to_server(&plane.node.settings.service);
    let headers = request.headers_mut();
    write(headers, header::CALL, &open_call.token);
    write(headers, header::ROOT, &call.root);
    write(headers, header::CLASS, &call.class.name);
    write(headers, header::TIMEOUT_MS, &call.left().as_millis());
    if open_call.dispatched.replace(Instant::now()).is_none() {
        plane.node.counters.add(Counter::ServerCalls, 1);
    }
    let send = async {
        let response = lease.send(request).await;
        (response, lease)
    };
    let Ok((response, lease)) = timeout_at(call.deadline, send).await else {
        return ExchangeResult::HostEnd(Box::new(timed_out(open_call)));
    };
    let reply = match response {
        Ok(response) => read_response(plane, call, open_call, lease, response).await,
        Err(SendError::Unreachable(_)) => return ExchangeResult::Unsent(open_call),
        Err(error) => connection_failed(plane, open_call, lease, &error.to_string()),
    };
    ExchangeResult::HostEnd(Box::new(reply))
}

/// Ends a call whose deadline passed after dispatch; it may still be running.
fn timed_out(open_call: OpenCall) -> Reply {
    // The server goes on with the call until it notices the cancellation; the concurrency limit has
    // to take this into account.
    let cancel = open_call.cancel.clone();
    if let Some(closed) = open_call.close() {
        closed.permit.finish(closed.own_time, CallEnd::Cancelled);
    }
    cancel.cancel();
    Reply::unknown("deadline")
}

fn connection_failed<N: Net>(
    plane: &DataPlane<N>,
    open_call: OpenCall,
    lease: Lease<N>,
    cause: &str,
) -> Reply {
    drop(lease);
    let cancel = open_call.cancel.clone();
    if let Some(closed) = open_call.close() {
        plane.health.report_lost(closed.permit, closed.own_time);
    }
    cancel.cancel();
    plane.node.counters.add(Counter::AnswersBroken, 1);
    log::debug!("no complete response from the backend server, the call ends as failed: {cause}");
    Reply::failed("server-lost")
}

async fn read_response<N: Net>(
    plane: &DataPlane<N>,
    call: &CallRequest,
    open_call: OpenCall,
    mut lease: Lease<N>,
    response: Response<Incoming>,
) -> Reply {
    let (head, body) = response.into_parts();
    let framing = server_framing(&call.message.method, &head);
    let Some(framing) = framing.filter(|f| *f != Framing::Close) else {
        return connection_failed(
            plane,
            open_call,
            lease,
            "its status is not final, or the end of its body can't be detected",
        );
    };
    let reading = lease.drive(read_buffered(body, framing));
    let Ok(started) = timeout_at(call.deadline, reading).await else {
        drop(lease);
        return timed_out(open_call);
    };
    let started = match started {
        Ok(started) => started,
        Err(error) => return connection_failed(plane, open_call, lease, &error.to_string()),
    };
    let Some(closed) = open_call.close() else {
        return Reply::failed("call-closed");
    };
    let shed = plane.node.is_shed(&head);
    if shed {
        // A second copy of this response would look like that of the next call.
        lease.set_last();
    }
    let (unused, egress_calls) = (closed.unused, closed.egress_calls);
    let body = match started {
        Buffered::Whole(bytes) => {
            lease.reuse();
            let end = if shed {
                CallEnd::Shed
            } else {
                CallEnd::Answered
            };
            closed.permit.finish(closed.own_time, end);
            Body::whole(bytes)
        }
        Buffered::Partial(begin, rest) => {
            let guard = Guard::Server {
                running: None,
                lease: lease.detach(call.deadline),
                permit: closed.permit,
                own_time: closed.own_time,
                health: plane.health.clone(),
            };
            Body::stream(begin, rest, framing, call.deadline, guard)
        }
    };
    if !shed {
        return Reply::complete(head, body, unused);
    }
    plane.node.counters.add(Counter::ServerSheds, 1);
    // A server that has made egress calls before shedding the request has run it.
    if egress_calls > 0 {
        return Reply::complete(head, body, unused);
    }
    Reply::not_run(unused, "shed", plane.node.retry_delay())
}
