//! Sending of one request to the node's own backend server.

use std::{rc::Rc, time::Duration};

use http::{
    HeaderValue, Request, Response, StatusCode,
    header::{CONNECTION, CONTENT_ENCODING},
    response,
};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::{
    coordination::gate::{AdmissionRequest, Permit, RefusalReason},
    state::{
        counters::Counter,
        limit::CallEnd,
        mesh::{
            backend::InstanceId,
            calls::{Parent, RunningRequest},
        },
    },
};

use super::{
    super::{
        body::{Buffered, read_buffered},
        chunks::Chunks,
        link::SendError,
        net::Net,
        pool::Lease,
        reply::{Body, Guard, Reply, reason_counter, reason_text, server_framing},
    },
    context::RequestContext,
    shared::Mesh,
    trace,
};

/// Maximum number of connections tried for one request when the server has closed idle ones.
const CONNECTIONS_MAX: u32 = 3;
/// Idle time after which a connection is not used for a request that is not idempotent: after a
/// reset it is unknown whether the request ran.
const NON_IDEMPOTENT_IDLE_MS: u64 = 1_000;
/// Idle time after which a connection is not used at all; servers close idle connections after a
/// few seconds.
const IDEMPOTENT_IDLE_MS: u64 = 4_000;

/// Refusal reason when another backend server now has the address of the expected one.
pub const OTHER_INSTANCE: &str = "other-instance";

/// Sends a request to the node's own backend server once the gate has admitted it.
pub async fn serve<N: Net, D>(
    mesh: &Mesh<N, D>,
    context: &RequestContext,
    instance: &InstanceId,
) -> Reply {
    let fingerprint = context
        .request
        .digest(&[context.origin.as_str().as_bytes()]);
    let admission = AdmissionRequest {
        priority: context.priority(),
        class: context.class.clone(),
        important: false,
        begun: context.begun,
        deadline: context.deadline,
        // The gate lets a call wait for half of its timeout.
        timeout: context.max_wait * 2,
        fingerprint,
    };
    let started = Instant::now();
    let admitted = mesh.gate.admit(admission).await;
    mesh.latency.record_wait(started.elapsed());
    let mut permit = match admitted {
        Ok(permit) => permit,
        Err(refusal) => {
            mesh.counters.add(reason_counter(refusal.why), 1);
            let load = mesh.gate.load();
            trace::not_admitted(mesh, context, refusal.why, load, started.elapsed());
            let reply = Reply::refused(&refusal, 0);
            return match refusal.why {
                RefusalReason::Stopping => reply.with_retry_after(mesh.time_to_restart()),
                _ => reply,
            };
        }
    };
    for _ in 0..CONNECTIONS_MAX {
        let idle = Duration::from_millis(if context.idempotent {
            IDEMPOTENT_IDLE_MS
        } else {
            NON_IDEMPOTENT_IDLE_MS
        });
        let id = context.request.headers.get(&mesh.names.attempt_id);
        let leased = mesh.pool.lease_idle(idle, id);
        let Ok(leased) = timeout_at(context.deadline, leased).await else {
            return refused(mesh, context, RefusalReason::Deadline);
        };
        let Ok(lease) = leased else {
            mesh.health.record_refusal();
            return refused(mesh, context, RefusalReason::Down);
        };
        if context.left().is_zero() {
            lease.reuse();
            return refused(mesh, context, RefusalReason::Deadline);
        }
        // Time has passed since the admission if a connection had to be opened.
        if !mesh.gate.can_finish(&context.class, context.deadline) {
            lease.reuse();
            return refused(mesh, context, RefusalReason::Stopping);
        }
        let running = RunningGuard::start(mesh, context);
        let listed = running.listed.clone();
        let exchanged = exchange(mesh, context, instance, permit, lease, listed).await;
        running.end();
        match exchanged {
            Exchange::HostEnd(reply) => return *reply,
            Exchange::NotSent(unused) => permit = unused,
        }
    }
    mesh.health.record_refusal();
    refused(mesh, context, RefusalReason::Down)
}

fn refused<N: Net, D>(mesh: &Mesh<N, D>, context: &RequestContext, why: RefusalReason) -> Reply {
    mesh.counters.add(reason_counter(why), 1);
    trace::not_admitted(mesh, context, why, mesh.gate.load(), Duration::ZERO);
    Reply::not_run(0, reason_text(why), mesh.time_to_restart())
}

/// Result of sending a request on one connection.
enum Exchange {
    /// The request has ended with this reply.
    HostEnd(Box<Reply>),
    /// The connection was already closed, so nothing was sent.
    NotSent(Permit),
}

async fn exchange<N: Net, D>(
    mesh: &Mesh<N, D>,
    context: &RequestContext,
    instance: &InstanceId,
    permit: Permit,
    mut lease: Lease<N>,
    running: Rc<RunningRequest>,
) -> Exchange {
    let request = server_request(mesh, context, instance);
    mesh.counters.add(Counter::ServerCalls, 1);
    let (sent, was_crowded) = (Instant::now(), mesh.is_crowded());
    let sending = async {
        let response = lease.send(request).await;
        (response, lease)
    };
    let Ok((response, lease)) = timeout_at(context.deadline, sending).await else {
        permit.finish(sent.elapsed(), CallEnd::Cancelled);
        return ended(Reply::unknown("deadline"));
    };
    let pending = PendingResponse {
        mesh,
        context,
        instance,
        permit,
        running,
        sent,
        was_crowded,
    };
    match response {
        Ok(response) => ended(pending.read_response(lease, response).await),
        Err(SendError::Unreachable(_)) => Exchange::NotSent(pending.permit),
        Err(error) => ended(pending.fail(lease, &error.to_string())),
    }
}

/// Lists a request in [`Mesh::calls`] while it runs at the backend server, which may go on while its
/// response is streamed, and reports it if the end of the stop cancels it.
struct RunningGuard<'a, N: Net, D> {
    mesh: &'a Mesh<N, D>,
    context: &'a RequestContext,
    listed: Rc<RunningRequest>,
    started: Instant,
    has_ended: bool,
}

impl<'a, N: Net, D> RunningGuard<'a, N, D> {
    fn start(mesh: &'a Mesh<N, D>, context: &'a RequestContext) -> Self {
        let parent = Parent {
            root: context.root,
            importance: context.importance,
            class: context.class.clone(),
            organisation: context.organisation.clone(),
            repeated: context.repeated,
        };
        let id = context.id(&mesh.names.attempt_id);
        let listed = Rc::new(RunningRequest::start(&mesh.calls, id, parent));
        Self {
            mesh,
            context,
            listed,
            started: Instant::now(),
            has_ended: false,
        }
    }

    fn end(mut self) {
        self.has_ended = true;
    }
}

impl<N: Net, D> Drop for RunningGuard<'_, N, D> {
    fn drop(&mut self) {
        let (mesh, context) = (self.mesh, self.context);
        if let Some(grace_end) = mesh.grace_end.get().filter(|_| !self.has_ended) {
            mesh.counters.add(Counter::ServerCut, 1);
            let left = grace_end.saturating_duration_since(Instant::now());
            trace::cut(mesh, context, self.started.elapsed(), left);
        }
    }
}

/// Whether callers take a status as a promise that the request did not run and never will.
fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

fn ended(reply: Reply) -> Exchange {
    Exchange::HostEnd(Box::new(reply))
}

fn server_request<N: Net, D>(
    mesh: &Mesh<N, D>,
    context: &RequestContext,
    instance: &InstanceId,
) -> Request<Chunks> {
    let mut request = context.request.to_server(&mesh.settings.service);
    let headers = request.headers_mut();
    let left_ms = u64::try_from(context.left().as_millis()).unwrap_or(u64::MAX);
    headers.insert(mesh.names.time_left.clone(), left_ms.into());
    let text = |text: &str| HeaderValue::from_str(text).expect("names are valid header values");
    headers.insert(
        mesh.names.origin_service.clone(),
        text(context.origin.as_str()),
    );
    headers.insert(
        mesh.names.expected_instance.clone(),
        text(instance.as_str()),
    );
    if let Some(organisation) = &context.organisation {
        headers.insert(mesh.names.organisation.clone(), text(organisation.as_str()));
    }
    request
}

/// A request that was sent to the backend server.
struct PendingResponse<'a, N: Net, D> {
    mesh: &'a Mesh<N, D>,
    context: &'a RequestContext,
    instance: &'a InstanceId,
    permit: Permit,
    running: Rc<RunningRequest>,
    sent: Instant,
    /// Whether the server was nearly full when the request was sent.
    was_crowded: bool,
}

impl<N: Net, D> PendingResponse<'_, N, D> {
    async fn read_response(self, mut lease: Lease<N>, response: Response<Incoming>) -> Reply {
        let (head, body) = response.into_parts();
        if let Some(invalid_reason) = self.invalid_reason(&head, lease.is_new()) {
            return self.fail(lease, invalid_reason);
        }
        if head.status != StatusCode::MISDIRECTED_REQUEST {
            let (mesh, headers) = (self.mesh, &head.headers);
            mesh.record_announcements(self.instance, headers, self.sent);
        }
        let framing = server_framing(&self.context.request.method, &head);
        let Some(framing) = framing else {
            return self.fail(
                lease,
                "its status is not final, or the end of its body can't be detected",
            );
        };
        let reading = lease.drive(read_buffered(body, framing));
        let buffered = match timeout_at(self.context.deadline, reading).await {
            Err(_) => {
                self.permit.finish(self.sent.elapsed(), CallEnd::Cancelled);
                return Reply::unknown("deadline");
            }
            Ok(Err(error)) => return self.fail(lease, &error.to_string()),
            Ok(Ok(buffered)) => buffered,
        };
        let own = self.sent.elapsed();
        self.mesh.latency.record_server_time(own);
        let not_run = self.is_not_run(&head);
        if !not_run {
            let class = &self.context.class;
            self.mesh.record_service_time(class, own, self.was_crowded);
        }
        let is_last = head.headers.get(CONNECTION).is_some_and(|v| v == "close");
        let body = match buffered {
            Buffered::Whole(bytes) => {
                let id = self
                    .context
                    .request
                    .headers
                    .get(&self.mesh.names.attempt_id);
                match id {
                    _ if is_last => drop(lease),
                    Some(id) if not_run => lease.reuse_refused(id.clone()),
                    None if not_run => drop(lease),
                    _ => lease.reuse(),
                }
                let end = if not_run {
                    CallEnd::Shed
                } else {
                    CallEnd::Answered
                };
                self.permit.finish(own, end);
                Body::whole(bytes)
            }
            Buffered::Partial(begin, rest) => {
                let guard = Guard::Server {
                    lease: lease.detach(self.context.deadline),
                    permit: self.permit,
                    own_time: own,
                    health: Rc::clone(&self.mesh.health),
                    running: Some(self.running),
                };
                Body::stream(begin, rest, framing, self.context.deadline, guard)
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

    /// Why a response can't be accepted: it belongs to another request, or the backend server did
    /// not make it, or it promises without proof that the request did not run. `is_first` tells
    /// whether it is the first response on its connection.
    fn invalid_reason(&self, head: &response::Parts, is_first: bool) -> Option<&'static str> {
        let names = &self.mesh.names;
        let sent_id = self.context.request.headers.get(&names.attempt_id);
        let mut returned_ids = head.headers.get_all(&names.attempt_id).iter();
        let returned_id = returned_ids.next();
        if returned_id.is_some() && (returned_id != sent_id || returned_ids.next().is_some()) {
            return Some("response has the attempt ID of another request");
        }
        let not_run = self.is_not_run(head);
        // Servers echo the ID. Without it, bytes that belong to no request would be taken for the
        // response.
        let needs_id = match sent_id {
            Some(_) => true,
            None => not_run && !is_first,
        };
        if returned_id.is_none() && needs_id {
            return Some("response has no attempt ID");
        }
        if not_run && head.status.is_success() {
            return Some("successful response states that the request did not run");
        }
        if !not_run && is_promise(head.status) {
            return Some("status promises that the request did not run, which is not stated");
        }
        if head.status.is_success() && !head.headers.contains_key(&names.seal) {
            return Some("successful response has no server seal");
        }
        let encoded = head.headers.contains_key(CONTENT_ENCODING);
        encoded.then_some("response has a content encoding")
    }

    /// Whether the response states that the server did not run the request.
    fn is_not_run(&self, head: &response::Parts) -> bool {
        let stated = head.headers.contains_key(&self.mesh.names.not_run);
        stated || head.status == StatusCode::MISDIRECTED_REQUEST
    }

    /// Discards the connection, reports its loss and returns the reply for a failed request.
    fn fail(self, lease: Lease<N>, cause: &str) -> Reply {
        drop(lease);
        self.mesh
            .health
            .report_lost(self.permit, self.sent.elapsed());
        self.mesh.counters.add(Counter::AnswersBroken, 1);
        trace::unusable(self.mesh, self.context, cause, self.sent.elapsed());
        Reply::failed("server-lost")
    }
}
