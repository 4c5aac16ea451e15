//! The public listener: calls of external callers.

use std::{
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use http::{HeaderMap, Method, Request, Response, StatusCode, header::CONNECTION};
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::{
    protocol::{
        call::{caller_timeout, read, write},
        header,
        outcome::Outcome,
    },
    state::{
        counters::Counter,
        id::{Fingerprint, RootId},
        journal::Step,
        object::{Chain, Class},
        priority::Priority,
        ticket::Ticket,
    },
};

use super::{
    net::Net,
    node::DataPlane,
    reply::{Body, Reply},
    request::BufferedRequest,
    root,
    serve::CallRequest,
    server::Handler,
};

const TICKET_PATH: &str = "/.comfreybay/ticket";
const TICKETS_PER_REQUEST_MAX: usize = 64;
/// Header that distinguishes callers that share an address.
const CALLER_HEADER: &str = "x-caller-id";

/// Handler of the public listener.
pub struct Public<N: Net>(pub Rc<DataPlane<N>>);

impl<N: Net> Handler for Public<N> {
    type Body = Body;

    fn accepts(&self, _from: IpAddr) -> bool {
        true
    }

    async fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
        from: SocketAddr,
    ) -> Response<Body> {
        let node = &self.0.node;
        node.counters.add(Counter::PublicCalls, 1);
        if request.uri().path() == TICKET_PATH {
            return self.issue_tickets(&request);
        }
        let root = node.new_root_id();
        let mut tracker = node.track(root);
        let reply = self.call(root, request, from).await;
        tracker.record_reply(&reply);
        let mut response = reply.into_response();
        write(response.headers_mut(), header::ROOT, &root);
        response
    }
}

/// The classification of a caller's request.
struct ClassifiedRequest {
    chain: Chain,
    class: Class,
    deadline: Instant,
    caller: Fingerprint,
    ticket: Option<Ticket>,
}

impl<N: Net> Public<N> {
    async fn call(&self, root: RootId, request: Request<Incoming>, from: SocketAddr) -> Reply {
        let arrived = Instant::now();
        let node = &self.0.node;
        let (head, body) = request.into_parts();
        let timeout = caller_timeout(&head.headers);
        if head.headers.get_all(header::IDEMPOTENCY_KEY).iter().count() > 1 {
            let reply = Reply::unknown("several-keys");
            return reply.with_status(StatusCode::BAD_REQUEST);
        }
        let ticket: Option<Ticket> = read(&head.headers, header::IDEMPOTENCY_KEY).ok().flatten();
        // With a ticket, an earlier request may have run; only the issuer of the ticket can tell.
        let refuse = |reply: Reply, why: &str| match ticket {
            Some(_) => Reply::unknown(why.to_owned()),
            None => reply,
        };
        let message = match BufferedRequest::read(head, body, node).await {
            Ok(message) => message,
            Err(error) => {
                let why = error.to_string();
                // A retry can help only if memory for request bodies was lacking.
                let after = match error.status() {
                    StatusCode::SERVICE_UNAVAILABLE => node.retry_delay(),
                    _ => Duration::ZERO,
                };
                let reply = Reply::not_run(0, why.clone(), after);
                let mut reply = refuse(reply.with_status(error.status()), &why);
                // Unread bytes of this request can't be distinguished from the next request on the
                // connection.
                reply
                    .headers
                    .insert(CONNECTION, http::HeaderValue::from_static("close"));
                return reply;
            }
        };
        let Some(config) = node.store.config() else {
            node.counters.add(Counter::RefusedNoConfig, 1);
            let reply = Reply::not_run(0, "no-config", node.retry_delay());
            return refuse(reply, "no-config");
        };
        let service = &node.settings.service;
        let (method, path) = (message.method.as_str(), message.target.path());
        let Some((chain, class)) = config.classify(service, method, path) else {
            node.counters.add(Counter::RefusedNoRoute, 1);
            let reply = Reply::not_run(0, "no-chain", Duration::ZERO);
            return refuse(reply.with_status(StatusCode::NOT_FOUND), "no-chain");
        };
        let time_limit = timeout.map_or(class.deadline(), |t| t.min(class.deadline()));
        let classified = ClassifiedRequest {
            chain: chain.clone(),
            class: class.clone(),
            deadline: arrived + time_limit,
            caller: caller_digest(&message, from.ip()),
            ticket,
        };
        self.enter(root, classified, message).await
    }

    async fn enter(
        &self,
        root: RootId,
        classified: ClassifiedRequest,
        message: BufferedRequest,
    ) -> Reply {
        let node = &self.0.node;
        let early_retry = node
            .refusals
            .borrow()
            .is_early_retry(&classified.caller, Instant::now());
        if early_retry {
            node.counters.add(Counter::CallsHeld, 1);
        }
        let call = CallRequest {
            root,
            priority: Priority::new(classified.class.importance, early_retry, root),
            allowance: classified.class.retries,
            class: classified.class,
            chain: classified.chain.name,
            deadline: classified.deadline,
            message,
        };
        node.record_step(
            root,
            Step::Arrived {
                listener: "public".into(),
                service: node.settings.service.clone(),
                class: call.class.name.clone(),
                priority: call.priority.value(),
            },
        );
        let repeatable = call.class.repeatable;
        let mut reply = root::enter(&self.0, call, classified.ticket).await;
        if !repeatable && reply.ticket.is_none() {
            reply.ticket = node.new_ticket();
        }
        if reply.outcome != Outcome::NotRun {
            return reply;
        }
        let now = Instant::now();
        if let Some(after) = reply.retry_after.filter(|a| !a.is_zero()) {
            node.refusals
                .borrow_mut()
                .record_refusal(classified.caller, now + after, now);
        }
        if early_retry && reply.status == StatusCode::SERVICE_UNAVAILABLE {
            return reply.with_status(StatusCode::TOO_MANY_REQUESTS);
        }
        reply
    }

    fn issue_tickets(&self, request: &Request<Incoming>) -> Response<Body> {
        let node = &self.0.node;
        if request.method() != Method::POST {
            let reply = Reply::not_run(0, "method", Duration::ZERO);
            return reply
                .with_status(StatusCode::METHOD_NOT_ALLOWED)
                .into_response();
        }
        if node.leaving.get() {
            let reply = Reply::not_run(0, "leaving", node.retry_delay());
            return Reply {
                leaving: true,
                ..reply
            }
            .into_response();
        }
        let count = query_value(request.uri().query().unwrap_or_default(), "count");
        let count = count.and_then(|c| c.parse().ok()).unwrap_or(1);
        let tickets: Vec<_> = (0..TICKETS_PER_REQUEST_MAX.min(count))
            .map(|_| node.issue_ticket().to_string())
            .collect();
        let (mut head, ()) = Response::new(()).into_parts();
        let json = http::HeaderValue::from_static("application/json");
        head.headers.insert(http::header::CONTENT_TYPE, json);
        let body = serde_json::to_vec(&tickets).unwrap_or_default();
        Reply::complete(head, Body::whole(body.into()), 0).into_response()
    }
}

fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
    pairs.find(|(n, _)| *n == name).map(|(_, value)| value)
}

fn caller_digest(message: &BufferedRequest, from: IpAddr) -> Fingerprint {
    let headers = &message.headers;
    let value = |name| {
        headers
            .get(name)
            .map_or(&[][..], |v: &http::HeaderValue| v.as_bytes())
    };
    let from = from.to_string();
    let who = match caller_id(headers) {
        Some(id) => id,
        None => from.as_bytes(),
    };
    message.digest(&[who, value(header::IDEMPOTENCY_KEY)])
}

fn caller_id(headers: &HeaderMap) -> Option<&[u8]> {
    headers.get(CALLER_HEADER).map(|v| v.as_bytes())
}
