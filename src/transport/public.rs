//! The listener for external callers.

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
    node::Path,
    reply::{Body, Reply},
    request::BufferedRequest,
    root,
    serve::Order,
    server::Handler,
};

const TICKET_PATH: &str = "/.comfreybay/ticket";
const TICKETS_MAX: usize = 64;
/// Header by which callers that share an address can be told apart.
const CALLER: &str = "x-caller-id";

/// Answers external callers.
pub struct Public<N>(pub Rc<Path<N>>);

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
        let parts = &self.0.parts;
        parts.counters.add(Counter::PublicCalls, 1);
        if request.uri().path() == TICKET_PATH {
            return self.tickets(&request);
        }
        let root = parts.root();
        let mut watch = parts.watch(root);
        let reply = self.call(root, request, from).await;
        watch.answered(&reply);
        let mut response = reply.into_response();
        write(response.headers_mut(), header::ROOT, &root);
        response
    }
}

/// What a caller asked for, classified.
struct Asked {
    chain: Chain,
    class: Class,
    deadline: Instant,
    caller: Fingerprint,
    ticket: Option<Ticket>,
}

impl<N: Net> Public<N> {
    async fn call(&self, root: RootId, request: Request<Incoming>, from: SocketAddr) -> Reply {
        let arrived = Instant::now();
        let parts = &self.0.parts;
        let (head, body) = request.into_parts();
        let timeout = caller_timeout(&head.headers);
        if head.headers.get_all(header::IDEMPOTENCY_KEY).iter().count() > 1 {
            let reply = Reply::unknown("several-keys");
            return reply.with_status(StatusCode::BAD_REQUEST);
        }
        let ticket: Option<Ticket> = read(&head.headers, header::IDEMPOTENCY_KEY).ok().flatten();
        // Only the issuer of a ticket can tell that its request did not run, as it may have been
        // presented before.
        let refuse = |reply: Reply, why: &str| match ticket {
            Some(_) => Reply::unknown(why.to_owned()),
            None => reply,
        };
        let message = match BufferedRequest::read(head, body, parts).await {
            Ok(message) => message,
            Err(error) => {
                let why = error.to_string();
                // Only a lack of memory passes with time.
                let after = match error.status() {
                    StatusCode::SERVICE_UNAVAILABLE => parts.pause(),
                    _ => Duration::ZERO,
                };
                let reply = Reply::not_run(0, why.clone(), after);
                let mut reply = refuse(reply.with_status(error.status()), &why);
                // What follows on the connection can't be told from the rest of the request.
                reply
                    .headers
                    .insert(CONNECTION, http::HeaderValue::from_static("close"));
                return reply;
            }
        };
        let Some(config) = parts.store.config() else {
            parts.counters.add(Counter::RefusedNoConfig, 1);
            let reply = Reply::not_run(0, "no-config", parts.pause());
            return refuse(reply, "no-config");
        };
        let service = &parts.settings.service;
        let (method, path) = (message.method.as_str(), message.target.path());
        let Some((chain, class)) = config.classify(service, method, path) else {
            parts.counters.add(Counter::RefusedNoRoute, 1);
            let reply = Reply::not_run(0, "no-chain", Duration::ZERO);
            return refuse(reply.with_status(StatusCode::NOT_FOUND), "no-chain");
        };
        let span = timeout.map_or(class.deadline(), |t| t.min(class.deadline()));
        let asked = Asked {
            chain: chain.clone(),
            class: class.clone(),
            deadline: arrived + span,
            caller: caller(&message, from.ip()),
            ticket,
        };
        self.enter(root, asked, message).await
    }

    async fn enter(&self, root: RootId, asked: Asked, message: BufferedRequest) -> Reply {
        let parts = &self.0.parts;
        let held = parts
            .held
            .borrow()
            .is_early_retry(&asked.caller, Instant::now());
        if held {
            parts.counters.add(Counter::CallsHeld, 1);
        }
        let order = Order {
            root,
            priority: Priority::new(asked.class.importance, held, root),
            allowance: asked.class.retries,
            class: asked.class,
            chain: asked.chain.name,
            deadline: asked.deadline,
            message,
        };
        parts.note(
            root,
            Step::Arrived {
                listener: "public".into(),
                service: parts.settings.service.clone(),
                class: order.class.name.clone(),
                priority: order.priority.value(),
            },
        );
        let repeatable = order.class.repeatable;
        let mut reply = root::enter(&self.0, order, asked.ticket).await;
        if !repeatable && reply.ticket.is_none() {
            reply.ticket = parts.fresh();
        }
        if reply.outcome != Outcome::NotRun {
            return reply;
        }
        let now = Instant::now();
        if let Some(after) = reply.retry_after.filter(|a| !a.is_zero()) {
            parts
                .held
                .borrow_mut()
                .record_refusal(asked.caller, now + after, now);
        }
        if held && reply.status == StatusCode::SERVICE_UNAVAILABLE {
            return reply.with_status(StatusCode::TOO_MANY_REQUESTS);
        }
        reply
    }

    fn tickets(&self, request: &Request<Incoming>) -> Response<Body> {
        let parts = &self.0.parts;
        if request.method() != Method::POST {
            let reply = Reply::not_run(0, "method", Duration::ZERO);
            return reply
                .with_status(StatusCode::METHOD_NOT_ALLOWED)
                .into_response();
        }
        if parts.leaving.get() {
            let reply = Reply::not_run(0, "leaving", parts.pause());
            return Reply {
                leaving: true,
                ..reply
            }
            .into_response();
        }
        let count = query(request.uri().query().unwrap_or_default(), "count");
        let count = count.and_then(|c| c.parse().ok()).unwrap_or(1);
        let tickets: Vec<_> = (0..TICKETS_MAX.min(count))
            .map(|_| parts.issue().to_string())
            .collect();
        let (mut head, ()) = Response::new(()).into_parts();
        let json = http::HeaderValue::from_static("application/json");
        head.headers.insert(http::header::CONTENT_TYPE, json);
        let body = serde_json::to_vec(&tickets).unwrap_or_default();
        Reply::complete(head, Body::whole(body.into()), 0).into_response()
    }
}

fn query<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
    pairs.find(|(n, _)| *n == name).map(|(_, value)| value)
}

fn caller(message: &BufferedRequest, from: IpAddr) -> Fingerprint {
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
    headers.get(CALLER).map(|v| v.as_bytes())
}
