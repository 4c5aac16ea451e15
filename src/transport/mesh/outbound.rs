//! Listener for callers on this instance and for calls made by the backend server.

use std::{
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use http::{
    HeaderMap, HeaderValue, Request, Response, StatusCode,
    header::{CONNECTION, HOST, RETRY_AFTER},
    request::Parts,
};
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::{
    coordination::gate::RefusalReason,
    protocol::{hop::remove_internal, outcome::Outcome},
    state::{
        connections::ConnectionLimits,
        counters::Counter,
        id::RootId,
        memory::MemoryBudget,
        mesh::{
            calls::{self, Parent},
            route::{Route, RouteTable},
        },
    },
};

use super::{
    super::{
        net::Net,
        reply::{Body, Reply, reason_text},
        request::BufferedRequest,
        server::{HEAD_TIMEOUT_MS, Handler, HeadLimits},
    },
    attempt,
    context::RequestContext,
    intake,
    local::{LocalBody, LocalRequestGuard},
    shared::Mesh,
    trace,
};

/// Share of the route's latency target that a request from a caller may wait for a slot.
const ROOT_WAIT_SHARE: f64 = 0.3;
/// The same for a call made on behalf of a request that has begun: a refusal would waste the work
/// done for that request.
const CALL_WAIT_SHARE: f64 = 1.0;
/// Upper bound on `Retry-After`, as a share of the caller's remaining time: callers ignore a longer
/// delay.
const RETRY_AFTER_SHARE: f64 = 0.3;
/// Lower bound on `Retry-After`.
const RETRY_AFTER_MIN_MS: u64 = 50;
/// Retry delay sent to callers while the node has no routes yet.
const NO_ROUTES_RETRY_MS: u64 = 300;
/// Retry delay sent to callers when the admission level of a downstream service excludes the
/// request.
const EXCLUDED_RETRY_MS: u64 = 1_000;
/// Upper bound on the remaining time that a caller sends; also used when it sends none.
const TIME_LEFT_MAX_MS: u64 = 3_600_000;

/// Handles requests from callers on this instance and from the backend server.
pub struct Outbound<N: Net, D>(pub Rc<Mesh<N, D>>);

impl<N: Net, D: 'static> Handler for Outbound<N, D> {
    type Body = LocalBody;

    fn accepts(&self, _from: IpAddr) -> bool {
        true
    }

    fn head_timeout(&self) -> Duration {
        let routes = self.0.routes.borrow();
        let idle = routes.as_ref().map(|table| table.bounds().idle_timeout);
        idle.unwrap_or(Duration::from_millis(HEAD_TIMEOUT_MS))
    }

    fn head_limits(&self) -> HeadLimits {
        let routes = self.0.routes.borrow();
        routes.as_ref().map_or_else(HeadLimits::default, |table| {
            intake::head_limits(table.bounds().header_bytes)
        })
    }

    fn limits(&self) -> ConnectionLimits {
        let routes = self.0.routes.borrow();
        let head = routes.as_ref().map(|table| table.bounds().header_timeout);
        ConnectionLimits {
            head: head.or(Some(Duration::from_millis(HEAD_TIMEOUT_MS))),
            stall: Some(intake::stall_limit(&self.0.memory)),
        }
    }

    fn memory(&self) -> Option<&Rc<MemoryBudget>> {
        Some(&self.0.memory)
    }

    async fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
        _from: SocketAddr,
    ) -> Response<LocalBody> {
        let mesh = &self.0;
        let arrived = Instant::now();
        let in_progress = LocalRequestGuard::start(&mesh.local_requests);
        let (head, body) = request.into_parts();
        let left = time_left(&head.headers, &mesh.names.time_left);
        let reply = self.call(head, body, arrived, left).await;
        mesh.counters.add(outcome_counter(reply.outcome), 1);
        let left = left.saturating_sub(arrived.elapsed());
        let jitter = 0.7 + 0.3 * mesh.rng.borrow_mut().f64();
        let mut response = caller_response(reply, left.mul_f64(RETRY_AFTER_SHARE * jitter));
        if mesh.refusing_callers.get() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response.map(|body| LocalBody::new(body, in_progress, &mesh.memory))
    }
}

impl<N: Net, D: 'static> Outbound<N, D> {
    async fn call(&self, head: Parts, body: Incoming, arrived: Instant, left: Duration) -> Reply {
        let mesh = &self.0;
        let Some(table) = mesh.routes.borrow().clone() else {
            mesh.counters.add(Counter::RefusedNoConfig, 1);
            return Reply::not_run(0, "no-routes", Duration::from_millis(NO_ROUTES_RETRY_MS));
        };
        let Some(route) = find_route(&table, &head) else {
            mesh.counters.add(Counter::RefusedNoRoute, 1);
            let reply = Reply::not_run(0, "no-route", Duration::ZERO);
            return reply.with_status(StatusCode::NOT_FOUND);
        };
        if intake::head_bytes(&head) > table.bounds().header_bytes {
            let reply = Reply::not_run(0, "head-too-large", Duration::ZERO);
            return closing(reply.with_status(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
        }
        let is_call = self.is_call(&head.headers);
        let Ok(charge) = intake::charge_head(&mesh.memory, &head, is_call) else {
            mesh.counters.add(Counter::RefusedMemory, 1);
            return closing(intake::refused());
        };
        let (max_bytes, due) = (table.bounds().body_bytes, arrived + left.min(route.timeout));
        let buffered =
            BufferedRequest::read_up_to(max_bytes, due, head, body, &mesh.memory, charge).await;
        let mut request = match buffered {
            Ok(request) => request,
            Err(error) => return closing(intake::unread(&mesh.counters, &error)),
        };
        for name in [
            &mesh.names.expected_instance,
            &mesh.names.origin_service,
            &mesh.names.time_left,
        ] {
            request.headers.remove(name);
        }
        let id = request.headers.get(&mesh.names.attempt_id);
        let id = id.and_then(|v| v.to_str().ok()).unwrap_or_default();
        let parent = mesh
            .calls
            .borrow()
            .parent(id, mesh.names.call_separator)
            .cloned();
        let root = calls::root_id(id, mesh.names.call_separator);
        let deadline = arrived + left.min(route.timeout);
        let mut context = self.request_context(&route, request, parent.as_ref(), root, deadline);
        let counter = if context.begun {
            Counter::EgressCalls
        } else {
            Counter::PublicCalls
        };
        mesh.counters.add(counter, 1);
        if !context.begun && mesh.refusing_callers.get() {
            mesh.counters.add(Counter::RefusedLeaving, 1);
            trace::refused_stopping(mesh, &context);
            let why = reason_text(RefusalReason::Leaving);
            return Reply::not_run(0, why, mesh.time_to_restart());
        }
        if !context.begun
            && let Some(excluded) = mesh.excluded_by(&route.class, context.priority())
        {
            mesh.counters.add(Counter::RefusedChain, 1);
            trace::excluded(mesh, &context, &excluded);
            return Reply::not_run(0, "level-below", Duration::from_millis(EXCLUDED_RETRY_MS));
        }
        let parent = parent.as_ref().map(|parent| &parent.class);
        attempt::run(mesh, &route, &mut context, parent).await
    }

    /// Whether a request is a call of one that runs at the backend server.
    fn is_call(&self, headers: &HeaderMap) -> bool {
        let names = &self.0.names;
        let id = headers.get(&names.attempt_id).and_then(|v| v.to_str().ok());
        let calls = self.0.calls.borrow();
        id.is_some_and(|id| calls.parent(id, names.call_separator).is_some())
    }

    fn request_context(
        &self,
        route: &Route,
        request: BufferedRequest,
        parent: Option<&Parent>,
        root: RootId,
        deadline: Instant,
    ) -> RequestContext {
        let share = match parent {
            Some(_) => CALL_WAIT_SHARE,
            None => ROOT_WAIT_SHARE,
        };
        RequestContext {
            class: route.class.clone(),
            root: parent.map_or(root, |p| p.root),
            importance: parent.map_or(route.importance, |p| p.importance),
            begun: parent.is_some(),
            repeated: parent.is_some_and(|p| p.repeated),
            idempotent: route.idempotent,
            deadline,
            max_wait: route.target.mul_f64(share),
            origin: self.0.settings.service.clone(),
            request,
        }
    }
}

/// Closes the connection after a reply: the rest of the request may still arrive on it, where it
/// can't be told apart from the next request.
fn closing(mut reply: Reply) -> Reply {
    let close = HeaderValue::from_static("close");
    reply.headers.insert(CONNECTION, close);
    reply
}

fn find_route(table: &RouteTable, head: &Parts) -> Option<Rc<Route>> {
    let host_header = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = head.uri.host().or(host_header)?;
    table.find(host, head.uri.path()).cloned()
}

fn time_left(headers: &HeaderMap, name: &http::HeaderName) -> Duration {
    let text = headers.get(name).and_then(|v| v.to_str().ok());
    let ms: Option<u64> = text.and_then(|t| t.trim().parse().ok());
    Duration::from_millis(ms.unwrap_or(TIME_LEFT_MAX_MS).min(TIME_LEFT_MAX_MS))
}

fn outcome_counter(outcome: Outcome) -> Counter {
    match outcome {
        Outcome::Complete => Counter::CallsComplete,
        Outcome::NotRun => Counter::CallsNotRun,
        Outcome::Failed => Counter::CallsFailed,
        Outcome::Unknown => Counter::CallsUnknown,
    }
}

/// Builds the response for a caller: without internal headers, and with `Retry-After` of at most
/// `max_delay` if the request was refused.
fn caller_response(reply: Reply, max_delay: Duration) -> Response<Body> {
    let delay = reply
        .retry_after
        .filter(|_| reply.outcome == Outcome::NotRun);
    let refused = reply.status == StatusCode::SERVICE_UNAVAILABLE;
    let mut response = reply.into_response();
    let headers = response.headers_mut();
    remove_internal(headers);
    headers.remove(RETRY_AFTER);
    if refused && let Some(delay) = delay {
        let min = Duration::from_millis(RETRY_AFTER_MIN_MS);
        let delay = delay.max(min).min(max_delay.max(min));
        let text = format!("{:.3}", delay.as_secs_f64());
        let value =
            HeaderValue::try_from(text).expect("a formatted number is a valid header value");
        headers.insert(RETRY_AFTER, value);
    }
    response
}
