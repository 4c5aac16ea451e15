//! Attempts and retries of one request, made by the node that received it from a caller.

use std::{collections::BTreeSet, time::Duration};

use http::{HeaderMap, Response, StatusCode, response};
use hyper::body::Incoming;
use tokio::time::{Instant, sleep, timeout_at};

use crate::{
    coordination::{
        gate::RefusalReason,
        router::{AttemptEnd, Pick},
    },
    protocol::{
        call::{mark_unique, read, read_outcome},
        header,
        outcome::Outcome,
    },
    state::{
        counters::Counter,
        id::{ClassName, ServiceName, UpstreamName},
        level::Levels,
        mesh::{backend::InstanceId, route::Route},
        object::Upstream,
        priority::Level,
        upstream::Load,
    },
};

use super::{
    super::{
        body::{Buffered, read_buffered},
        link::SendError,
        net::Net,
        reply::{Body, Guard, Reply, peer_framing, reason_text},
    },
    context::RequestContext,
    server::{OTHER_INSTANCE, serve},
    shared::Mesh,
    trace::{self, AttemptSummary},
};

/// Number of nodes that may refuse a request for lack of capacity before the caller gets the
/// refusal.
const REFUSALS_MAX: u32 = 2;
/// Number of nodes that may be found unreachable, stopping or without a backend server before the
/// request is refused.
const UNREACHABLE_MAX: u32 = 4;

/// Share of a request's maximum wait for a slot that it may spend waiting while no backend server
/// can be reached. A node takes 0.5 to 1 s to restart. Requests from callers wait an eighth of
/// their latency target; calls on behalf of a request that has begun wait longer, because its work
/// would be lost.
const OUTAGE_WAIT_SHARE: f64 = 0.4;
/// Pause before all nodes of a service are tried again.
const OUTAGE_RETRY_MS: u64 = 60;

/// Sends a request to backend servers of its route until one responds or no retry is allowed.
///
/// `parent` is the class of the request that the backend server was running when it made this call;
/// `None` for requests from callers.
pub async fn run<N: Net, D>(
    mesh: &Mesh<N, D>,
    route: &Route,
    context: &mut RequestContext,
    parent: Option<&ClassName>,
) -> Reply {
    let arrived = Instant::now();
    let service = mesh.pick_service(route);
    mesh.count_request(&service, context.repeated);
    let mut summary = AttemptSummary {
        service: service.clone(),
        last: String::new(),
        attempts: 0,
    };
    let reply = run_attempts(mesh, route, context, parent, &mut summary).await;
    trace::answered(mesh, route, context, &reply, &summary, arrived);
    mesh.latency
        .record_response(reply.outcome, arrived.elapsed());
    reply
}

async fn run_attempts<N: Net, D>(
    mesh: &Mesh<N, D>,
    route: &Route,
    context: &mut RequestContext,
    parent: Option<&ClassName>,
    summary: &mut AttemptSummary,
) -> Reply {
    let mut state = AttemptState::default();
    let wait_until = Instant::now() + context.max_wait.mul_f64(OUTAGE_WAIT_SHARE);
    loop {
        let Some(pick) = mesh
            .router
            .pick(&summary.service, context.priority(), &state.tried)
        else {
            if state.last.as_ref().is_none_or(is_outage) && state.may_wait(context, wait_until) {
                sleep(Duration::from_millis(OUTAGE_RETRY_MS)).await;
                continue;
            }
            return state.give_up(mesh);
        };
        let name = pick.upstream().name.clone();
        summary.attempts += 1;
        summary.last = name.to_string();
        let reply = send(mesh, pick, context, parent).await;
        if is_unavailable(&reply) && !is_stopping(&reply) {
            mesh.start_cooldown(&name);
        }
        if reply.why.as_deref() == Some(OTHER_INSTANCE) {
            mesh.remove_replaced(&name);
        }
        if is_stopping(&reply) {
            state.stopping.insert(name.clone());
        }
        state.tried.insert(name);
        match state.next_step(mesh, route, &summary.service, context, reply) {
            NextStep::Return(reply) => return *reply,
            NextStep::RetryLater(reply) if !state.may_wait(context, wait_until) => return *reply,
            NextStep::RetryLater(reply) => {
                state.last = Some(*reply);
                sleep(Duration::from_millis(OUTAGE_RETRY_MS)).await;
            }
            NextStep::Retry => {
                context.repeated |= state.arrivals > 0;
                if let Some(reply) = &state.last {
                    trace::retried(mesh, context, &summary.last, reply);
                }
            }
        }
    }
}

/// What to do after an attempt.
enum NextStep {
    /// Return this reply.
    Return(Box<Reply>),
    /// Try another backend server at once.
    Retry,
    /// No backend server was available; wait for a restart, or return this reply.
    RetryLater(Box<Reply>),
}

/// State of the attempts of one request.
#[derive(Default)]
struct AttemptState {
    tried: BTreeSet<UpstreamName>,
    // Servers whose nodes stop before the request would end.
    stopping: BTreeSet<UpstreamName>,
    // Attempts that reached a backend server.
    arrivals: u32,
    refusals: u32,
    unreachable: u32,
    may_have_run: bool,
    last: Option<Reply>,
}

impl AttemptState {
    fn next_step<N: Net, D>(
        &mut self,
        mesh: &Mesh<N, D>,
        route: &Route,
        service: &ServiceName,
        context: &RequestContext,
        reply: Reply,
    ) -> NextStep {
        let (retryable, arrived) = match reply.outcome {
            // If the request makes calls, the failure most likely comes from a downstream service.
            Outcome::Complete => (
                route.idempotent && is_failure(reply.status) && mesh.is_leaf(&route.class, service),
                true,
            ),
            Outcome::NotRun => (true, reply.reached_server),
            Outcome::Failed => (route.idempotent && !reply.convicted, true),
            Outcome::Unknown => (false, true),
        };
        self.may_have_run |= arrived && reply.outcome != Outcome::NotRun;
        let retry = retryable
            && !context.left().is_zero()
            && match arrived {
                true => {
                    self.arrivals += 1;
                    let calls = !mesh.is_leaf(&route.class, service);
                    let priority = context.priority();
                    self.arrivals < route.attempts && mesh.try_spend_retry(service, calls, priority)
                }
                false => self.may_try_another(&reply),
            };
        if !retry {
            let reply = Box::new(self.with_earlier_attempts(reply));
            return match is_outage(&reply) {
                true => NextStep::RetryLater(reply),
                false => NextStep::Return(reply),
            };
        }
        mesh.counters.add(Counter::RetriesSent, 1);
        self.last = Some(reply);
        NextStep::Retry
    }

    /// Whether the request may wait for a node that is restarting; if so, the servers tried may be
    /// tried again, except those whose nodes are stopping.
    fn may_wait(&mut self, context: &RequestContext, wait_until: Instant) -> bool {
        let pause = Duration::from_millis(OUTAGE_RETRY_MS);
        let may_wait = Instant::now() + pause < wait_until && context.left() > pause;
        if may_wait {
            self.tried.clone_from(&self.stopping);
            self.unreachable = 0;
        }
        may_wait
    }

    /// Counts a refusal, and returns whether another node may be tried.
    fn may_try_another(&mut self, reply: &Reply) -> bool {
        if is_outage(reply) {
            self.unreachable += 1;
            return self.unreachable < UNREACHABLE_MAX;
        }
        self.refusals += 1;
        self.refusals < REFUSALS_MAX
    }

    /// Reports `not run` as `failed` if an earlier attempt may have run: the last reply doesn't
    /// cover that attempt.
    fn with_earlier_attempts(&self, reply: Reply) -> Reply {
        match self.may_have_run && reply.outcome == Outcome::NotRun {
            true => Reply::failed("earlier-attempt-may-have-run"),
            false => reply,
        }
    }

    /// The reply when no backend server is left to try.
    fn give_up<N: Net, D>(mut self, mesh: &Mesh<N, D>) -> Reply {
        if let Some(reply) = self.last.take() {
            return self.with_earlier_attempts(reply);
        }
        mesh.counters.add(Counter::RefusedNoRoute, 1);
        Reply::not_run(0, "no-backend", Duration::from_millis(NO_BACKEND_RETRY_MS))
    }
}

/// Whether no server could take the request for a reason that a restart ends.
fn is_outage(reply: &Reply) -> bool {
    reply.unanswered || is_unavailable(reply)
}

/// Whether the node that refused a request is leaving or stopping, or its backend server is down.
fn is_unavailable(reply: &Reply) -> bool {
    reply.leaving
        || is_stopping(reply)
        || reply.why.as_deref() == Some(reason_text(RefusalReason::Down))
}

/// Whether the node may stop before this request would end; it still serves shorter ones.
fn is_stopping(reply: &Reply) -> bool {
    reply.why.as_deref() == Some(reason_text(RefusalReason::Stopping))
}

/// Retry delay sent to callers of a service without backend servers.
const NO_BACKEND_RETRY_MS: u64 = 500;

/// Whether a response is a failure that a retry at another backend server may avoid.
fn is_failure(status: StatusCode) -> bool {
    status == StatusCode::INTERNAL_SERVER_ERROR || status == StatusCode::BAD_GATEWAY
}

async fn send<N: Net, D>(
    mesh: &Mesh<N, D>,
    pick: Pick,
    context: &RequestContext,
    parent: Option<&ClassName>,
) -> Reply {
    let instance = mesh.instance_id(&pick.upstream().name);
    let Some(instance) = instance else {
        pick.finish(AttemptEnd::Unreachable);
        return unreachable_reply("gone");
    };
    if pick.upstream().public == mesh.settings.server {
        let reply = serve(mesh, context, &instance).await;
        let levels = mesh.levels(Some(&context.class));
        mesh.record_levels(&context.class, parent, &mesh.settings.service, &levels);
        if let Some(time) = mesh.service_times.borrow().report(&context.class) {
            let name = &pick.upstream().name;
            let (load, level) = (mesh.gate.load(), mesh.gate.level());
            mesh.router.update_load(name, load, level);
            mesh.router.update_service_time(name, &context.class, time);
        }
        let ended = reply.attempt_end();
        pick.finish(ended);
        return reply;
    }
    send_to_peer(mesh, pick, context, &instance, parent).await
}

async fn send_to_peer<N: Net, D>(
    mesh: &Mesh<N, D>,
    pick: Pick,
    context: &RequestContext,
    instance: &InstanceId,
    parent: Option<&ClassName>,
) -> Reply {
    let (to, service) = (pick.upstream().peer, pick.upstream().service.clone());
    let mut request = match context.request.to_peer(&service) {
        Ok(request) => request,
        Err(error) => {
            pick.finish(AttemptEnd::Cancelled);
            let reply = Reply::not_run(0, error.to_string(), Duration::ZERO);
            return reply.with_status(StatusCode::BAD_REQUEST);
        }
    };
    context.write(instance, request.headers_mut());
    mark_unique(request.headers_mut(), &mesh.names.attempt_id);
    mesh.write_progress(request.headers_mut());
    mesh.write_rate_limit(&pick.upstream().name, request.headers_mut());
    match timeout_at(context.deadline, mesh.links.send(to, request)).await {
        Err(_) => finish(pick, Reply::unknown("deadline")),
        Ok(Err(SendError::Unreachable(_))) => {
            let id = context.id(&mesh.names.attempt_id);
            log::info!(target: trace::REQUEST, id, class:% = context.class, to:%; "node could not be reached");
            pick.finish(AttemptEnd::Unreachable);
            unreachable_reply("unreachable")
        }
        Ok(Err(error)) => {
            let id = context.id(&mesh.names.attempt_id);
            log::info!(target: trace::REQUEST, id, class:% = context.class, to:%, error:%; "connection to a node broke");
            finish(pick, Reply::failed("connection-lost"))
        }
        Ok(Ok(response)) => read_response(mesh, pick, context, parent, response).await,
    }
}

/// The reply when nothing was sent, so the request did not run.
fn unreachable_reply(why: &'static str) -> Reply {
    Reply {
        unanswered: true,
        ..Reply::not_run(0, why, Duration::ZERO)
    }
}

fn finish(pick: Pick, reply: Reply) -> Reply {
    pick.finish(reply.attempt_end());
    reply
}

async fn read_response<N: Net, D>(
    mesh: &Mesh<N, D>,
    pick: Pick,
    context: &RequestContext,
    parent: Option<&ClassName>,
    response: Response<Incoming>,
) -> Reply {
    let (head, body) = response.into_parts();
    mesh.read_progress(&head.headers);
    let Ok(outcome) = read_outcome(&head.headers) else {
        return finish(pick, Reply::failed("malformed-answer"));
    };
    update_upstream(mesh, &pick, &context.class, parent, &head.headers);
    if outcome != Outcome::Complete {
        return finish(pick, incomplete_reply(outcome, &head));
    }
    mesh.record_upstream_announcements(&pick.upstream().name, &head.headers);
    let framing = peer_framing(&context.request.method, &head);
    match timeout_at(context.deadline, read_buffered(body, framing)).await {
        Err(_) => finish(pick, Reply::unknown("deadline")),
        Ok(Err(_)) => finish(pick, Reply::failed("answer-broken")),
        Ok(Ok(Buffered::Whole(bytes))) => {
            finish(pick, Reply::complete(head, Body::whole(bytes), 0))
        }
        Ok(Ok(Buffered::Partial(begin, rest))) => {
            let guard = Guard::Peer(Some(pick));
            let body = Body::stream(begin, rest, framing, context.deadline, guard);
            Reply::complete(head, body, 0)
        }
    }
}

/// The reply for a response whose outcome is not `complete`.
fn incomplete_reply(outcome: Outcome, head: &response::Parts) -> Reply {
    let headers = &head.headers;
    let why: Option<String> = read(headers, header::WHY).ok().flatten();
    let why = why.unwrap_or_default();
    let retry_ms = read(headers, header::RETRY_MS).ok().flatten();
    let after = Duration::from_millis(retry_ms.unwrap_or_default());
    let reply = match outcome {
        Outcome::NotRun => Reply::not_run(0, why, after),
        Outcome::Failed => Reply::failed(why),
        _ => Reply::unknown(why),
    };
    Reply {
        convicted: headers.contains_key(header::CONVICTED),
        leaving: headers.contains_key(header::LEAVING),
        reached_server: headers.contains_key(header::ARRIVED),
        ..reply
    }
}

/// Records the levels, the load and the retiring state that a node reports on a response.
fn update_upstream<N: Net, D>(
    mesh: &Mesh<N, D>,
    pick: &Pick,
    class: &ClassName,
    parent: Option<&ClassName>,
    headers: &HeaderMap,
) {
    let levels: Option<Levels> = read(headers, header::LEVELS).ok().flatten();
    let levels = levels.unwrap_or_default();
    let Upstream { name, service, .. } = pick.upstream();
    let level = levels.0.get(service).copied().unwrap_or(Level::OPEN);
    mesh.record_levels(class, parent, service, &levels);
    let load: Option<Load> = read(headers, header::LOAD).ok().flatten();
    if let Some(load) = load {
        mesh.router.update_load(name, load, level);
    }
    mesh.read_service_time(name, class, headers);
    let retiring = headers.contains_key(header::RETIRING);
    mesh.router.set_retiring(name, retiring);
}
