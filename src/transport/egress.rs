//! The egress listener: calls of the node's own backend server to other services.

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
    attempts::{self, CallAllowance},
    net::Net,
    node::{DataPlane, NodeContext},
    reply::{Body, Reply},
    request::BufferedRequest,
    serve::CallRequest,
    server::Handler,
};

/// Handler of the egress listener.
pub struct Egress<N: Net>(pub Rc<DataPlane<N>>);

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
        self.0.node.counters.add(Counter::EgressCalls, 1);
        self.call(request).await.into_response()
    }
}

impl<N: Net> Egress<N> {
    async fn call(&self, request: Request<Incoming>) -> Reply {
        let node = &self.0.node;
        let (head, body) = request.into_parts();
        let token: Option<CallToken> = read(&head.headers, header::CALL).ok().flatten();
        let Some(token) = token.filter(|t| node.calls.borrow_mut().get(t).is_some()) else {
            return not_in_progress(node);
        };
        let Some(service) = target_service(&head.headers) else {
            let reply = Reply::not_run(0, "service-not-named", Duration::ZERO);
            return reply.with_status(StatusCode::BAD_REQUEST);
        };
        let has_service_header = head.headers.contains_key(header::SERVICE);
        let mut message = match BufferedRequest::read(head, body, node).await {
            Ok(message) => message,
            Err(error) => {
                let reply = Reply::not_run(0, error.to_string(), Duration::ZERO);
                return reply.with_status(error.status());
            }
        };
        if has_service_header {
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
        let node = &self.0.node;
        let Some((call, cancel)) = call_request(node, &token, message) else {
            return not_in_progress(node);
        };
        node.record_step(
            call.root,
            Step::Arrived {
                listener: "egress".into(),
                service: service.clone(),
                class: call.class.name.clone(),
                priority: call.priority.value(),
            },
        );
        let digest =
            (!call.class.repeatable).then(|| call.message.digest(&[service.as_str().as_bytes()]));
        let Some(egress_call) = EgressCall::begin(node, token, digest) else {
            node.counters.add(Counter::RefusedRepeat, 1);
            return Reply::unknown("repeated-call").with_status(StatusCode::CONFLICT);
        };
        let reply = tokio::select! {
            biased;
            () = cancel.cancelled() => Reply::unknown("cancelled"),
            reply = self.route(token, &service, &call) => reply,
        };
        egress_call.end(reply.outcome);
        reply
    }

    async fn route(&self, token: CallToken, service: &ServiceName, call: &CallRequest) -> Reply {
        let node = &self.0.node;
        let downstream = node.downstream(&call.chain, service);
        let refuses = |services| node.router.first_refusing(services, call.priority);
        let refusing = refuses(std::slice::from_ref(service)).or_else(|| refuses(&downstream));
        if let Some(service) = refusing {
            node.counters.add(Counter::RefusedChain, 1);
            let cause = format!("level of {service}");
            node.record_step(
                call.root,
                Step::Refused {
                    cause: cause.into(),
                },
            );
            return Reply::not_run(0, "level-below", node.retry_delay());
        }
        let allowance = CallAllowance { node, token };
        attempts::run(&self.0, service, call, &allowance, false).await
    }
}

fn not_in_progress(node: &NodeContext) -> Reply {
    node.counters.add(Counter::RefusedEgress, 1);
    Reply::not_run(0, "call-not-in-progress", Duration::ZERO)
}

fn target_service(headers: &HeaderMap) -> Option<ServiceName> {
    if headers.contains_key(header::SERVICE) {
        return read(headers, header::SERVICE).ok().flatten();
    }
    let host = headers.get(http::header::HOST)?.to_str().ok()?;
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.parse().ok()
}

fn call_request(
    node: &NodeContext,
    token: &CallToken,
    message: BufferedRequest,
) -> Option<(CallRequest, CancellationToken)> {
    let config = node.store.config()?;
    let mut calls = node.calls.borrow_mut();
    let parent = calls.get(token)?;
    let mut class = config.class(&parent.class)?.clone();
    class.repeatable = parent.repeatable;
    let call = CallRequest {
        root: parent.root,
        class,
        chain: parent.chain.clone(),
        priority: parent.priority,
        deadline: parent.deadline,
        allowance: 0,
        message,
    };
    Some((call, parent.cancel.clone()))
}

/// An egress call in progress, registered in the entry of its parent call in the call table.
struct EgressCall<'a> {
    node: &'a NodeContext,
    token: CallToken,
    digest: Option<Fingerprint>,
}

impl<'a> EgressCall<'a> {
    /// Registers the call; `None` if it duplicates a non-repeatable call or its parent has ended.
    fn begin(node: &'a NodeContext, token: CallToken, digest: Option<Fingerprint>) -> Option<Self> {
        let mut calls = node.calls.borrow_mut();
        let call = calls.get(&token)?;
        if digest.is_some_and(|o| !call.egress.claim(o)) {
            return None;
        }
        call.egress.begin(Instant::now());
        Some(Self {
            node,
            token,
            digest,
        })
    }

    fn end(self, outcome: Outcome) {
        let digest = self.digest.filter(|_| outcome == Outcome::NotRun);
        let mut calls = self.node.calls.borrow_mut();
        if let (Some(call), Some(digest)) = (calls.get(&self.token), digest) {
            call.egress.release(digest);
        }
    }
}

impl Drop for EgressCall<'_> {
    fn drop(&mut self) {
        let mut calls = self.node.calls.borrow_mut();
        if let Some(call) = calls.get(&self.token) {
            call.egress.end(Instant::now());
        }
    }
}
