//! The listener for callers on this instance and for the calls of the backend server.

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
        counters::Counter,
        id::RootId,
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
        server::{HEAD_TIMEOUT_MS, Handler},
    },
    attempt,
    order::Order,
    shared::{Entering, Mesh},
    trace,
};

/// Part of the latency target that a caller's request may wait for a slot.
const ROOT_PATIENCE: f64 = 0.3;
/// Part of the latency target that a call of work that has begun may wait for a slot.
const BEGUN_PATIENCE: f64 = 1.0;
/// Part of the time left within which callers honour the time to come back.
const RETURN_SHARE: f64 = 0.3;
/// Shortest time after which a refused caller is asked to come back.
const RETURN_MIN_MS: u64 = 50;
/// Time after which a caller is asked to come back to a node that has no routes yet.
const STARTING_MS: u64 = 300;
/// Time after which a caller is asked to come back when a service below has no room.
const LEVEL_RETURN_MS: u64 = 1_000;
/// Longest time that callers may name.
const TIME_MAX_MS: u64 = 3_600_000;

/// Answers callers on this instance.
pub struct Outbound<N, D>(pub Rc<Mesh<N, D>>);

impl<N: Net, D: 'static> Handler for Outbound<N, D> {
    type Body = Body;

    fn accepts(&self, _from: IpAddr) -> bool {
        true
    }

    fn head_timeout(&self) -> Duration {
        let routes = self.0.routes.borrow();
        let idle = routes.as_ref().map(|table| table.bounds().idle_timeout);
        idle.unwrap_or(Duration::from_millis(HEAD_TIMEOUT_MS))
    }

    async fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
        _from: SocketAddr,
    ) -> Response<Body> {
        let mesh = &self.0;
        let arrived = Instant::now();
        let _entering = Entering::start(&mesh.entering);
        let (head, body) = request.into_parts();
        let left = time_left(&head.headers, &mesh.names.time_left);
        let reply = self.call(head, body, arrived, left).await;
        mesh.counters.add(outcome_counter(reply.outcome), 1);
        let left = left.saturating_sub(arrived.elapsed());
        let jitter = 0.7 + 0.3 * mesh.rng.borrow_mut().f64();
        let mut response = to_caller(reply, left.mul_f64(RETURN_SHARE * jitter));
        if mesh.closing.get() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }
}

impl<N: Net, D: 'static> Outbound<N, D> {
    async fn call(&self, head: Parts, body: Incoming, arrived: Instant, left: Duration) -> Reply {
        let mesh = &self.0;
        let Some(table) = mesh.routes.borrow().clone() else {
            mesh.counters.add(Counter::RefusedNoConfig, 1);
            return Reply::not_run(0, "no-routes", Duration::from_millis(STARTING_MS));
        };
        let Some(route) = find(&table, &head) else {
            mesh.counters.add(Counter::RefusedNoRoute, 1);
            let reply = Reply::not_run(0, "no-route", Duration::ZERO);
            return reply.with_status(StatusCode::NOT_FOUND);
        };
        let most = table.bounds().body_bytes;
        let read = BufferedRequest::read_up_to(most, head, body, &mesh.buffered).await;
        let mut message = match read {
            Ok(message) => message,
            Err(error) => {
                let reply = Reply::not_run(0, error.to_string(), Duration::ZERO);
                let mut reply = reply.with_status(error.status());
                // What follows on the connection can't be told from the rest of the request.
                let close = HeaderValue::from_static("close");
                reply.headers.insert(CONNECTION, close);
                return reply;
            }
        };
        for name in [
            &mesh.names.expected_instance,
            &mesh.names.origin_service,
            &mesh.names.time_left,
        ] {
            message.headers.remove(name);
        }
        let id = message.headers.get(&mesh.names.attempt_id);
        let id = id.and_then(|v| v.to_str().ok()).unwrap_or_default();
        let parent = mesh
            .calls
            .borrow()
            .parent(id, mesh.names.call_separator)
            .cloned();
        let root = calls::root_id(id, mesh.names.call_separator);
        let deadline = arrived + left.min(route.timeout);
        let order = self.order(&route, message, parent.as_ref(), root, deadline);
        let counter = if order.begun {
            Counter::EgressCalls
        } else {
            Counter::PublicCalls
        };
        mesh.counters.add(counter, 1);
        if !order.begun && mesh.closing.get() {
            mesh.counters.add(Counter::RefusedLeaving, 1);
            trace::too_late(mesh, &order);
            return Reply::not_run(0, reason_text(RefusalReason::Leaving), Duration::ZERO);
        }
        if !order.begun
            && let Some(excluded) = mesh.excluding(&route.class, order.priority())
        {
            mesh.counters.add(Counter::RefusedChain, 1);
            trace::excluded(mesh, &order, &excluded);
            return Reply::not_run(0, "level-below", Duration::from_millis(LEVEL_RETURN_MS));
        }
        let parent = parent.as_ref().map(|parent| &parent.class);
        attempt::run(mesh, &route, &order, parent).await
    }

    fn order(
        &self,
        route: &Route,
        message: BufferedRequest,
        parent: Option<&Parent>,
        root: RootId,
        deadline: Instant,
    ) -> Order {
        let share = match parent {
            Some(_) => BEGUN_PATIENCE,
            None => ROOT_PATIENCE,
        };
        Order {
            class: route.class.clone(),
            root: parent.map_or(root, |p| p.root),
            importance: parent.map_or(route.importance, |p| p.importance),
            begun: parent.is_some(),
            idempotent: route.idempotent,
            deadline,
            patience: route.target.mul_f64(share),
            origin: self.0.settings.service.clone(),
            message,
        }
    }
}

fn find(table: &RouteTable, head: &Parts) -> Option<Rc<Route>> {
    let named = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = head.uri.host().or(named)?;
    table.find(host, head.uri.path()).cloned()
}

fn time_left(headers: &HeaderMap, name: &http::HeaderName) -> Duration {
    let text = headers.get(name).and_then(|v| v.to_str().ok());
    let ms: Option<u64> = text.and_then(|t| t.trim().parse().ok());
    Duration::from_millis(ms.unwrap_or(TIME_MAX_MS).min(TIME_MAX_MS))
}

fn outcome_counter(outcome: Outcome) -> Counter {
    match outcome {
        Outcome::Complete => Counter::CallsComplete,
        Outcome::NotRun => Counter::CallsNotRun,
        Outcome::Failed => Counter::CallsFailed,
        Outcome::Unknown => Counter::CallsUnknown,
    }
}

/// The answer as callers see it; a refused caller is asked to come back within `longest`.
fn to_caller(reply: Reply, longest: Duration) -> Response<Body> {
    let after = reply
        .retry_after
        .filter(|_| reply.outcome == Outcome::NotRun);
    let refused = reply.status == StatusCode::SERVICE_UNAVAILABLE;
    let mut response = reply.into_response();
    let headers = response.headers_mut();
    remove_internal(headers);
    headers.remove(RETRY_AFTER);
    if refused && let Some(after) = after {
        let least = Duration::from_millis(RETURN_MIN_MS);
        let after = after.max(least).min(longest.max(least));
        let text = format!("{:.3}", after.as_secs_f64());
        let value = HeaderValue::try_from(text).expect("a number is visible characters");
        headers.insert(RETRY_AFTER, value);
    }
    response
}
