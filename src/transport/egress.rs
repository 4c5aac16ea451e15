//! The listener for calls of the node's own backend server to other services.

use std::{
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use http::{HeaderMap, Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::{
    protocol::{call::read, header, outcome::Outcome},
    state::{
        counters::Counter,
        id::{CallToken, Fingerprint, ServiceName},
        journal::Step,
    },
};

use super::{
    attempts::{self, Tabled},
    net::Net,
    node::{NodeContext, Path},
    reply::{Body, Reply},
    request::BufferedRequest,
    serve::Order,
    server::Handler,
};

/// Answers the node's own backend server.
pub struct Egress<N>(pub Rc<Path<N>>);

impl<N: Net> Handler for Egress<N> {
    type Body = Body;

    fn accepts(&self, _from: IpAddr) -> bool {
        true
    }

    async fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
        _from: SocketAddr,
    ) -> Response<Body> {
        self.0.parts.counters.add(Counter::EgressCalls, 1);
        self.call(request).await.into_response()
    }
}

impl<N: Net> Egress<N> {
    async fn call(&self, request: Request<Incoming>) -> Reply {
        let parts = &self.0.parts;
        let (head, body) = request.into_parts();
        let token: Option<CallToken> = read(&head.headers, header::CALL).ok().flatten();
        let Some(token) = token.filter(|t| parts.calls.borrow_mut().get(t).is_some()) else {
            return not_in_progress(parts);
        };
        let Some(service) = service(&head.headers) else {
            let reply = Reply::not_run(0, "service-not-named", Duration::ZERO);
            return reply.with_status(StatusCode::BAD_REQUEST);
        };
        let named = head.headers.contains_key(header::SERVICE);
        let mut message = match BufferedRequest::read(head, body, parts).await {
            Ok(message) => message,
            Err(error) => {
                let reply = Reply::not_run(0, error.to_string(), Duration::ZERO);
                return reply.with_status(error.status());
            }
        };
        if named {
            message.host = None;
        }
        self.send(token, service, message).await
    }

    async fn send(
        &self,
        token: CallToken,
        service: ServiceName,
        message: BufferedRequest,
    ) -> Reply {
        let parts = &self.0.parts;
        let Some((order, cancel)) = order(parts, &token, message) else {
            return not_in_progress(parts);
        };
        parts.note(
            order.root,
            Step::Arrived {
                listener: "egress".into(),
                service: service.clone(),
                class: order.class.name.clone(),
                priority: order.priority.value(),
            },
        );
        let once =
            (!order.class.repeatable).then(|| order.message.digest(&[service.as_str().as_bytes()]));
        let Some(call) = Open::begin(parts, token, once) else {
            parts.counters.add(Counter::RefusedRepeat, 1);
            return Reply::unknown("repeated-call").with_status(StatusCode::CONFLICT);
        };
        let reply = tokio::select! {
            biased;
            () = cancel.cancelled() => Reply::unknown("cancelled"),
            reply = self.route(token, &service, &order) => reply,
        };
        call.end(reply.outcome);
        reply
    }

    async fn route(&self, token: CallToken, service: &ServiceName, order: &Order) -> Reply {
        let parts = &self.0.parts;
        let below = parts.below(&order.chain, service);
        let refuses = |services| parts.router.first_refusing(services, order.priority);
        let refusing = refuses(std::slice::from_ref(service)).or_else(|| refuses(&below));
        if let Some(service) = refusing {
            parts.counters.add(Counter::RefusedChain, 1);
            let cause = format!("level of {service}");
            parts.note(
                order.root,
                Step::Refused {
                    cause: cause.into(),
                },
            );
            return Reply::not_run(0, "level-below", parts.pause());
        }
        let purse = Tabled { parts, token };
        attempts::run(&self.0, service, order, &purse, false).await
    }
}

fn not_in_progress(parts: &NodeContext) -> Reply {
    parts.counters.add(Counter::RefusedEgress, 1);
    Reply::not_run(0, "call-not-in-progress", Duration::ZERO)
}

fn service(headers: &HeaderMap) -> Option<ServiceName> {
    if headers.contains_key(header::SERVICE) {
        return read(headers, header::SERVICE).ok().flatten();
    }
    let host = headers.get(http::header::HOST)?.to_str().ok()?;
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.parse().ok()
}

fn order(
    parts: &NodeContext,
    token: &CallToken,
    message: BufferedRequest,
) -> Option<(Order, CancellationToken)> {
    let config = parts.store.config()?;
    let mut calls = parts.calls.borrow_mut();
    let call = calls.get(token)?;
    let mut class = config.class(&call.class)?.clone();
    class.repeatable = call.repeatable;
    let order = Order {
        root: call.root,
        class,
        chain: call.chain.clone(),
        priority: call.priority,
        deadline: call.deadline,
        allowance: 0,
        message,
    };
    Some((order, call.cancel.clone()))
}

/// An egress call in progress, counted in the entry of the call that it belongs to.
struct Open<'a> {
    parts: &'a NodeContext,
    token: CallToken,
    once: Option<Fingerprint>,
}

impl<'a> Open<'a> {
    /// Counts the call; `None` when it repeats one that must not be repeated.
    fn begin(parts: &'a NodeContext, token: CallToken, once: Option<Fingerprint>) -> Option<Self> {
        let mut calls = parts.calls.borrow_mut();
        let call = calls.get(&token)?;
        if once.is_some_and(|o| !call.egress.claim(o)) {
            return None;
        }
        call.egress.begin(Instant::now());
        Some(Self { parts, token, once })
    }

    fn end(self, outcome: Outcome) {
        let once = self.once.filter(|_| outcome == Outcome::NotRun);
        let mut calls = self.parts.calls.borrow_mut();
        if let (Some(call), Some(once)) = (calls.get(&self.token), once) {
            call.egress.release(once);
        }
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        let mut calls = self.parts.calls.borrow_mut();
        if let Some(call) = calls.get(&self.token) {
            call.egress.end(Instant::now());
        }
    }
}
