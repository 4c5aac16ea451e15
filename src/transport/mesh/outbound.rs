//! Listener for callers on this instance and for calls made by the backend server.

use std::{
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{
    HeaderMap, HeaderValue, Request, Response, StatusCode,
    header::{CONNECTION, HOST, RETRY_AFTER, WWW_AUTHENTICATE},
    request::Parts,
};
use http_body_util::{BodyExt as _, Empty};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout};

use crate::{
    coordination::gate::RefusalReason,
    protocol::{hop::remove_internal, outcome::Outcome},
    state::{
        connections::ConnectionLimits,
        counters::Counter,
        memory::{Charge, MemoryBudget},
        mesh::{
            calls::{self, Parent},
            route::{Route, RouteTable},
        },
    },
};

use super::{
    super::{
        net::Net,
        pipeline::Shared,
        reply::{Body, Reply, reason_text},
        request::{BufferedRequest, validate},
        server::{HEAD_TIMEOUT_MS, Handler, HeadLimits},
    },
    attempt,
    auth::{self, KeyError},
    context::RequestContext,
    intake,
    local::{LocalBody, LocalRequestGuard},
    quota,
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
/// Longest body of a request without a known key that is read and discarded, so that the connection
/// can be used again. Beyond it, the connection is closed after the response.
const REFUSED_BODY_MAX_BYTES: usize = 64 * 1_024;
/// Time limit for reading such a body. A caller sends a body of this size in one piece.
const REFUSED_BODY_TIMEOUT_MS: u64 = 200;
/// Upper bound on the remaining time that a caller sends; also used when it sends none.
const TIME_LEFT_MAX_MS: u64 = 3_600_000;

/// Reason of a failure for lack of room for a response that waits for an earlier one.
const NO_ROOM: &str = "no-room-to-wait";

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
        let (head, body) = request.into_parts();
        self.answer(head, body).await
    }

    fn pipeline(&self) -> Option<Shared> {
        Some(self.0.pipeline.clone())
    }

    fn starts_ahead(&self, head: &Parts) -> bool {
        let routes = self.0.routes.borrow();
        let route = routes.as_ref().and_then(|table| find_route(table, head));
        !self.is_closing() && validate(head).is_ok() && route.is_some_and(|r| r.idempotent)
    }

    async fn handle_ahead(self: Rc<Self>, head: Parts, _from: SocketAddr) -> Response<LocalBody> {
        let body = Empty::new().map_err(|never| match never {});
        self.answer(head, body).await
    }

    fn give_up(&self) -> Option<Response<LocalBody>> {
        let in_progress = LocalRequestGuard::start(&self.0.local_requests);
        let response = caller_response(Reply::failed(NO_ROOM), Duration::ZERO);
        Some(response.map(|body| LocalBody::new(body, in_progress, &self.0.memory)))
    }

    fn is_closing(&self) -> bool {
        self.0.refusing_callers.get()
    }
}

impl<N: Net, D: 'static> Outbound<N, D> {
    async fn answer<B>(&self, head: Parts, body: B) -> Response<LocalBody>
    where
        B: http_body::Body<Data = Bytes, Error = hyper::Error> + Unpin,
    {
        let mesh = &self.0;
        let arrived = Instant::now();
        let in_progress = LocalRequestGuard::start(&mesh.local_requests);
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

    async fn call<B>(&self, head: Parts, body: B, arrived: Instant, left: Duration) -> Reply
    where
        B: http_body::Body<Data = Bytes, Error = hyper::Error> + Unpin,
    {
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
        let id = head.headers.get(&mesh.names.attempt_id);
        let id = id.and_then(|v| v.to_str().ok()).unwrap_or_default();
        let separator = mesh.names.call_separator;
        let parent = mesh.calls.borrow().parent(id, separator).cloned();
        let root = calls::root_id(id, separator);
        let Ok(charge) = intake::charge_head(&mesh.memory, &head, parent.is_some()) else {
            mesh.counters.add(Counter::RefusedMemory, 1);
            return closing(intake::refused());
        };
        let mut organisation = None;
        if parent.is_none() {
            match auth::organisation(&table, &route, &head.headers) {
                Ok(found) => organisation = found,
                Err(error) => return self.refuse_unread(error, head, body, charge).await,
            }
        }
        let (max_bytes, due) = (table.bounds().body_bytes, arrived + left.min(route.timeout));
        let buffered =
            BufferedRequest::read_up_to(max_bytes, due, head, body, &mesh.memory, charge).await;
        let mut request = match buffered {
            Ok(request) => request,
            Err(error) => return closing(intake::unread(&mesh.counters, &error)),
        };
        // A key that was removed while the body arrived is not accepted.
        if organisation.is_some()
            && let Some(current) = self.changed_table(&table)
        {
            match auth::organisation(&current, &route, &request.headers) {
                Ok(found) => organisation = found,
                Err(error) => return self.refuse(error),
            }
        }
        auth::remove_claims(&table, &mesh.names, &mut request.headers);
        for name in [
            &mesh.names.expected_instance,
            &mesh.names.origin_service,
            &mesh.names.time_left,
        ] {
            request.headers.remove(name);
        }
        let deadline = arrived + left.min(route.timeout);
        let importance = table.importance(&route, organisation.as_deref());
        // The request of a caller; calls inherit from the one for which they are made.
        let root = Parent {
            root,
            importance,
            class: route.class.clone(),
            organisation: organisation.map(|organisation| organisation.name.clone()),
            repeated: false,
        };
        let begun = parent.is_some();
        let inherited = parent.as_ref().unwrap_or(&root);
        let mut context = self.request_context(&route, request, inherited, begun, deadline);
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
        let token = match context.organisation.as_ref().filter(|_| !context.begun) {
            Some(organisation) => quota::take(mesh, organisation).await,
            None => Ok(None),
        };
        let token = match token {
            Ok(token) => token,
            Err(over) => {
                let reply = Reply::not_run(0, "over-quota", over.due);
                return reply.with_status(StatusCode::TOO_MANY_REQUESTS);
            }
        };
        let parent = parent.as_ref().map(|parent| &parent.class);
        let reply = attempt::run(mesh, &route, &mut context, parent).await;
        if let Some(token) = token.filter(|_| reply.outcome == Outcome::NotRun) {
            quota::give_back(mesh, token);
        }
        reply
    }

    /// The table in effect, if it is another one than `table`.
    fn changed_table(&self, table: &Rc<RouteTable>) -> Option<Rc<RouteTable>> {
        let current = self.0.routes.borrow();
        let current = current.as_ref()?;
        (!Rc::ptr_eq(table, current)).then(|| current.clone())
    }

    /// Refuses a request for its key before its body is read.
    async fn refuse_unread<B>(&self, error: KeyError, head: Parts, body: B, charge: Charge) -> Reply
    where
        B: http_body::Body<Data = Bytes, Error = hyper::Error> + Unpin,
    {
        let time_limit = Duration::from_millis(REFUSED_BODY_TIMEOUT_MS);
        let (due, memory) = (Instant::now() + time_limit, &self.0.memory);
        let reading =
            BufferedRequest::read_up_to(REFUSED_BODY_MAX_BYTES, due, head, body, memory, charge);
        let is_read = matches!(timeout(time_limit, reading).await, Ok(Ok(_)));
        let mut reply = self.refuse(error);
        if !is_read {
            let close = HeaderValue::from_static("close");
            reply.headers.insert(CONNECTION, close);
        }
        reply
    }

    /// Refuses a request for its key.
    fn refuse(&self, error: KeyError) -> Reply {
        self.0.counters.add(error.counter(), 1);
        let reply = Reply::not_run(0, error.to_string(), Duration::ZERO);
        let mut reply = reply.with_status(StatusCode::UNAUTHORIZED);
        let scheme = HeaderValue::from_static("Bearer");
        reply.headers.insert(WWW_AUTHENTICATE, scheme);
        reply
    }

    fn request_context(
        &self,
        route: &Route,
        request: BufferedRequest,
        inherited: &Parent,
        begun: bool,
        deadline: Instant,
    ) -> RequestContext {
        let share = match begun {
            true => CALL_WAIT_SHARE,
            false => ROOT_WAIT_SHARE,
        };
        RequestContext {
            class: route.class.clone(),
            root: inherited.root,
            importance: inherited.importance,
            begun,
            repeated: inherited.repeated,
            idempotent: route.idempotent,
            deadline,
            max_wait: route.target.mul_f64(share),
            origin: self.0.settings.service.clone(),
            organisation: inherited.organisation.clone(),
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

/// Builds the response for a caller: without internal headers, and with `Retry-After` if the request
/// was refused, of at most `max_delay` unless the caller's organisation is over its quota.
fn caller_response(reply: Reply, max_delay: Duration) -> Response<Body> {
    let delay = reply
        .retry_after
        .filter(|_| reply.outcome == Outcome::NotRun);
    let is_over_quota = reply.status == StatusCode::TOO_MANY_REQUESTS;
    let refused = is_over_quota || reply.status == StatusCode::SERVICE_UNAVAILABLE;
    let mut response = reply.into_response();
    let headers = response.headers_mut();
    remove_internal(headers);
    headers.remove(RETRY_AFTER);
    if refused && let Some(delay) = delay {
        let min = Duration::from_millis(RETRY_AFTER_MIN_MS);
        // Earlier, an organisation over its quota would be refused again.
        let max = if is_over_quota { delay } else { max_delay };
        let delay = delay.max(min).min(max.max(min));
        let text = format!("{:.3}", delay.as_secs_f64());
        let value =
            HeaderValue::try_from(text).expect("a formatted number is a valid header value");
        headers.insert(RETRY_AFTER, value);
    }
    response
}
