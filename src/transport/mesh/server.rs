//! One request to the node's own backend server.

use std::{rc::Rc, time::Duration};

use http::{
    HeaderValue, Request, Response, StatusCode,
    header::{CONNECTION, CONTENT_ENCODING},
    response,
};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::{
    coordination::gate::{AdmissionRequest, Permit, RefusalReason},
    state::{
        counters::Counter,
        limit::CallEnd,
        mesh::{backend::InstanceId, calls::Parent},
    },
};

use super::{
    super::{
        body::{Buffered, Framing, read_buffered},
        link::SendError,
        net::Net,
        pool::Lease,
        reply::{Body, Guard, Reply, reason_counter, reason_text, server_framing},
    },
    order::Order,
    shared::Mesh,
    trace,
};

/// Connections tried for one request when the server has closed those that were idle.
const SENDS_MAX: u32 = 3;
/// Idle time after which a connection gets no request that must not run twice, since a reset would
/// leave open whether it ran.
const ONCE_IDLE_MS: u64 = 1_000;
/// Idle time after which a connection is no longer used; servers close theirs after some seconds.
const IDLE_MS: u64 = 4_000;

/// Reason of a refusal by a backend server that has the address of the one expected.
pub const OTHER_INSTANCE: &str = "other-instance";

/// Runs a request at the node's own backend server, once the gate admits it.
pub async fn serve<N: Net, D>(mesh: &Mesh<N, D>, order: &Order, instance: &InstanceId) -> Reply {
    let fingerprint = order.message.digest(&[order.origin.as_str().as_bytes()]);
    let ask = AdmissionRequest {
        priority: order.priority(),
        class: order.class.clone(),
        important: false,
        begun: order.begun,
        deadline: order.deadline,
        // The gate lets a call wait for half of its span.
        timeout: order.patience * 2,
        fingerprint,
    };
    let asked = Instant::now();
    let admitted = mesh.gate.admit(ask).await;
    mesh.latency.waited(asked.elapsed());
    let mut permit = match admitted {
        Ok(permit) => permit,
        Err(refusal) => {
            mesh.counters.add(reason_counter(refusal.why), 1);
            let load = mesh.gate.load();
            trace::not_admitted(mesh, order, refusal.why, load, asked.elapsed());
            return Reply::refused(&refusal, 0);
        }
    };
    for _ in 0..SENDS_MAX {
        let idle = Duration::from_millis(if order.idempotent {
            IDLE_MS
        } else {
            ONCE_IDLE_MS
        });
        let Ok(leased) = timeout_at(order.deadline, mesh.pool.lease_idle(idle)).await else {
            return refused(mesh, order, RefusalReason::Deadline);
        };
        let Ok(lease) = leased else {
            mesh.health.record_refusal();
            return refused(mesh, order, RefusalReason::Down);
        };
        if order.left().is_zero() {
            lease.reuse();
            return refused(mesh, order, RefusalReason::Deadline);
        }
        match exchange(mesh, order, instance, permit, lease).await {
            Sent::Ended(reply) => return *reply,
            Sent::Not(unused) => permit = unused,
        }
    }
    mesh.health.record_refusal();
    refused(mesh, order, RefusalReason::Down)
}

fn refused<N, D>(mesh: &Mesh<N, D>, order: &Order, why: RefusalReason) -> Reply {
    mesh.counters.add(reason_counter(why), 1);
    trace::not_admitted(mesh, order, why, mesh.gate.load(), Duration::ZERO);
    Reply::not_run(0, reason_text(why), Duration::ZERO)
}

/// What became of a request on one connection.
enum Sent {
    /// It has ended.
    Ended(Box<Reply>),
    /// The connection had ended before and nothing was sent.
    Not(Permit),
}

async fn exchange<N: Net, D>(
    mesh: &Mesh<N, D>,
    order: &Order,
    instance: &InstanceId,
    permit: Permit,
    mut lease: Lease,
) -> Sent {
    let request = request(mesh, order, instance);
    mesh.counters.add(Counter::ServerCalls, 1);
    let _running = Running::start(mesh, order);
    let sent = Instant::now();
    let answered = async {
        let answer = lease.send(request).await;
        (answer, lease)
    };
    let Ok((answer, lease)) = timeout_at(order.deadline, answered).await else {
        permit.finish(sent.elapsed(), CallEnd::Cancelled);
        return ended(Reply::unknown("deadline"));
    };
    let attempt = AttemptEnd {
        mesh,
        order,
        permit,
        sent,
    };
    match answer {
        Ok(answer) => ended(attempt.answered(lease, answer).await),
        Err(SendError::Unreachable(_)) => Sent::Not(attempt.permit),
        Err(error) => ended(attempt.broken(lease, &error.to_string())),
    }
}

/// A request in the table of those at the backend server, as long as it is there.
struct Running<'a, N, D> {
    mesh: &'a Mesh<N, D>,
    id: String,
}

impl<'a, N, D> Running<'a, N, D> {
    fn start(mesh: &'a Mesh<N, D>, order: &Order) -> Self {
        let parent = Parent {
            root: order.root,
            importance: order.importance,
            class: order.class.clone(),
        };
        let id = order.id(&mesh.names.attempt_id).to_owned();
        mesh.calls.borrow_mut().started(&id, parent);
        Self { mesh, id }
    }
}

impl<N, D> Drop for Running<'_, N, D> {
    fn drop(&mut self) {
        self.mesh.calls.borrow_mut().ended(&self.id);
    }
}

fn ended(reply: Reply) -> Sent {
    Sent::Ended(Box::new(reply))
}

fn request<N: Net, D>(
    mesh: &Mesh<N, D>,
    order: &Order,
    instance: &InstanceId,
) -> Request<Full<bytes::Bytes>> {
    let mut request = order.message.to_server(&mesh.settings.service);
    let headers = request.headers_mut();
    let left_ms = u64::try_from(order.left().as_millis()).unwrap_or(u64::MAX);
    headers.insert(mesh.names.time_left.clone(), left_ms.into());
    let text = |text: &str| HeaderValue::from_str(text).expect("names are visible characters");
    headers.insert(
        mesh.names.origin_service.clone(),
        text(order.origin.as_str()),
    );
    headers.insert(
        mesh.names.expected_instance.clone(),
        text(instance.as_str()),
    );
    request
}

/// A request that was sent.
struct AttemptEnd<'a, N, D> {
    mesh: &'a Mesh<N, D>,
    order: &'a Order,
    permit: Permit,
    sent: Instant,
}

impl<N: Net, D> AttemptEnd<'_, N, D> {
    async fn answered(self, lease: Lease, answer: Response<Incoming>) -> Reply {
        let (head, body) = answer.into_parts();
        if let Some(fault) = self.fault(&head) {
            return self.broken(lease, fault);
        }
        // The HTTP library reports an answer without a length as broken if its connection is reset.
        let framing = server_framing(&self.order.message.method, &head);
        let framing = framing.unwrap_or(Framing::Chunked);
        let started = match timeout_at(self.order.deadline, read_buffered(body, framing)).await {
            Err(_) => {
                self.permit.finish(self.sent.elapsed(), CallEnd::Cancelled);
                return Reply::unknown("deadline");
            }
            Ok(Err(error)) => return self.broken(lease, &error.to_string()),
            Ok(Ok(started)) => started,
        };
        let own = self.sent.elapsed();
        self.mesh.latency.ran(own);
        let not_run = self.is_not_run(&head);
        let is_last = head.headers.get(CONNECTION).is_some_and(|v| v == "close");
        let body = match started {
            Buffered::Whole(bytes) => {
                if !is_last {
                    lease.reuse();
                }
                let end = if not_run {
                    CallEnd::Shed
                } else {
                    CallEnd::Answered
                };
                self.permit.finish(own, end);
                Body::whole(bytes)
            }
            Buffered::Partial(chunks, rest) => {
                let guard = Guard::Server {
                    lease,
                    permit: self.permit,
                    own,
                    health: Rc::clone(&self.mesh.health),
                };
                Body::stream(chunks, rest, framing, self.order.deadline, guard)
            }
        };
        if !not_run {
            return Reply::complete(head, body, 0);
        }
        self.mesh.counters.add(Counter::ServerSheds, 1);
        let why = match head.status {
            StatusCode::MISDIRECTED_REQUEST => OTHER_INSTANCE,
            _ => "shed",
        };
        Reply {
            reached_server: true,
            ..Reply::not_run(0, why, Duration::ZERO)
        }
    }

    /// Why an answer can't belong to the request or isn't the server's own.
    fn fault(&self, head: &response::Parts) -> Option<&'static str> {
        let names = &self.mesh.names;
        let asked = self.order.message.headers.get(&names.attempt_id);
        let told = head.headers.get(&names.attempt_id);
        if told.is_some() && told != asked {
            return Some("it belongs to another request");
        }
        if head.status.is_success() && !head.headers.contains_key(&names.seal) {
            return Some("it is not sealed");
        }
        let encoded = head.headers.contains_key(CONTENT_ENCODING);
        encoded.then_some("its body is encoded")
    }

    /// Whether the server states that it did not run the request.
    fn is_not_run(&self, head: &response::Parts) -> bool {
        let stated = head.headers.contains_key(&self.mesh.names.not_run);
        stated || head.status == StatusCode::MISDIRECTED_REQUEST
    }

    fn broken(self, lease: Lease, cause: &str) -> Reply {
        drop(lease);
        self.mesh
            .health
            .report_lost(self.permit, self.sent.elapsed());
        self.mesh.counters.add(Counter::AnswersBroken, 1);
        trace::unusable(self.mesh, self.order, cause, self.sent.elapsed());
        Reply::failed("server-lost")
    }
}
