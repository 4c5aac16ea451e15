//! One attempt at another node.

use std::time::Duration;

use http::{Response, header::CONTENT_LENGTH};
use hyper::body::Incoming;
use tokio::time::timeout_at;

use crate::{
    coordination::router::{Attempt, Pick},
    protocol::{
        call::{self, CallHead, read, read_outcome, write},
        header,
        outcome::Outcome,
    },
    state::{
        id::ServiceName, journal::Step, level::Levels, object::Upstream, priority::Level,
        ticket::Ticket, upstream::Load,
    },
};

use super::{
    body::{BodyError, Start, start},
    link::SendError,
    net::Net,
    node::{Parts, Path},
    reply::{Body, Guard, Reply, peer_framing},
    serve::Order,
};

/// Sends a call to an upstream and reads its answer.
///
/// `order.allowance` is what is lent to the call. With a `ticket`, the peer is asked to treat the
/// request as its issuer; there is no pick then.
pub async fn send<N: Net>(
    path: &Path<N>,
    upstream: Upstream,
    pick: Option<Pick>,
    order: &Order,
    ticket: Option<&Ticket>,
) -> Reply {
    let parts = &path.parts;
    parts.note(
        order.root,
        Step::Sent {
            upstream: upstream.name.clone(),
        },
    );
    let (reply, attempt) = exchange(path, &upstream, order, ticket).await;
    let result = attempt_text(attempt);
    let ended = Step::Ended {
        upstream: upstream.name,
        result: result.into(),
    };
    parts.note(order.root, ended);
    match reply {
        Answer::Ready(reply) => {
            if let Some(pick) = pick {
                pick.finish(attempt);
            }
            *reply
        }
        Answer::Open(reply, stream) => stream.attach(*reply, pick),
    }
}

enum Answer {
    Ready(Box<Reply>),
    Open(Box<Reply>, Open),
}

/// An answer whose body has not been read to its end.
struct Open {
    head: http::response::Parts,
    start: (std::collections::VecDeque<bytes::Bytes>, Incoming),
    framing: super::body::Framing,
    deadline: tokio::time::Instant,
}

impl Open {
    fn attach(self, reply: Reply, pick: Option<Pick>) -> Reply {
        let (chunks, rest) = self.start;
        let guard = Guard::Peer(pick);
        let body = Body::stream(chunks, rest, self.framing, self.deadline, guard);
        Reply {
            body,
            ..Reply::complete(self.head, Body::whole(Default::default()), reply.unused)
        }
    }
}

fn attempt_text(attempt: Attempt) -> &'static str {
    match attempt {
        Attempt::Answered => "answered",
        Attempt::NotRun => "not-run",
        Attempt::Lost => "lost",
        Attempt::TimedOut => "timed out",
        Attempt::Unreachable => "unreachable",
        Attempt::Cancelled => "cancelled",
    }
}

type Ended = (Answer, Attempt);

fn ready(reply: Reply, attempt: Attempt) -> Ended {
    (Answer::Ready(Box::new(reply)), attempt)
}

async fn exchange<N: Net>(
    path: &Path<N>,
    upstream: &Upstream,
    order: &Order,
    ticket: Option<&Ticket>,
) -> Ended {
    let parts = &path.parts;
    let unsent = |attempt| {
        let reply = Reply::not_run(order.allowance, attempt_text(attempt), parts.pause());
        ready(
            Reply {
                unsent: true,
                ..reply
            },
            attempt,
        )
    };
    let left = order.left();
    let Ok(mut request) = order.message.to_peer(&upstream.service) else {
        return unsent(Attempt::Unreachable);
    };
    if left.is_zero() {
        return unsent(Attempt::NotRun);
    }
    let head = CallHead {
        root: order.root,
        class: order.class.name.clone(),
        chain: order.chain.clone(),
        priority: order.priority,
        timeout: left,
        allowance: order.allowance,
    };
    head.write(request.headers_mut());
    if let Some(ticket) = ticket {
        write(request.headers_mut(), header::TICKET, ticket);
    }
    let sent = timeout_at(order.deadline, path.links.send(upstream.peer, request)).await;
    match sent {
        Err(_) => ready(Reply::unknown("deadline"), Attempt::TimedOut),
        Ok(Err(SendError::Unreachable(_))) => unsent(Attempt::Unreachable),
        Ok(Err(SendError::Lost(..))) => ready(Reply::failed("connection-lost"), Attempt::Lost),
        Ok(Ok(response)) => answered(parts, upstream, order, response).await,
    }
}

async fn answered(
    parts: &Parts,
    upstream: &Upstream,
    order: &Order,
    response: Response<Incoming>,
) -> Ended {
    let (head, body) = response.into_parts();
    let Ok(outcome) = read_outcome(&head.headers) else {
        return ready(Reply::failed("malformed-answer"), Attempt::Lost);
    };
    learn(parts, &upstream.service, upstream, &head.headers);
    let lent = order.allowance;
    let unused = read(&head.headers, header::UNUSED)
        .ok()
        .flatten()
        .unwrap_or(0);
    let unused = lent.min(unused);
    if outcome != Outcome::Complete {
        return refused(parts, outcome, unused, &head);
    }
    let framing = peer_framing(&order.message.method, &head);
    let started = match timeout_at(order.deadline, start(body, framing)).await {
        Err(_) => return ready(Reply::unknown("deadline"), Attempt::TimedOut),
        Ok(Err(BodyError::TimedOut)) => {
            return ready(Reply::unknown("deadline"), Attempt::TimedOut);
        }
        Ok(Err(_)) => return ready(Reply::failed("answer-broken"), Attempt::Lost),
        Ok(Ok(started)) => started,
    };
    match started {
        Start::Whole(bytes) => {
            let ticket = read(&head.headers, header::TICKET).ok().flatten();
            let reply = Reply::complete(head, Body::whole(bytes), unused);
            ready(Reply { ticket, ..reply }, Attempt::Answered)
        }
        Start::Partial(chunks, rest) => {
            let mut reply = Reply::unknown("");
            reply.unused = unused;
            let open = Open {
                head,
                start: (chunks, rest),
                framing,
                deadline: order.deadline,
            };
            (Answer::Open(Box::new(reply), open), Attempt::Answered)
        }
    }
}

fn refused(parts: &Parts, outcome: Outcome, unused: u32, head: &http::response::Parts) -> Ended {
    let headers = &head.headers;
    let why: String = read(headers, header::WHY)
        .ok()
        .flatten()
        .unwrap_or_default();
    let retry_ms = read(headers, header::RETRY_MS).ok().flatten();
    let after = retry_ms.map_or_else(|| parts.pause(), Duration::from_millis);
    let reply = match outcome {
        Outcome::NotRun => Reply::not_run(unused, why, after),
        Outcome::Failed => Reply::failed(why),
        _ => Reply::unknown(why),
    };
    let reply = Reply {
        convicted: headers.contains_key(header::CONVICTED),
        ticket: read(headers, header::TICKET).ok().flatten(),
        status: head.status,
        unused,
        ..reply
    };
    let attempt = reply.attempt();
    ready(reply, attempt)
}

fn learn(parts: &Parts, service: &ServiceName, upstream: &Upstream, headers: &http::HeaderMap) {
    let levels: Levels = read(headers, header::LEVELS)
        .ok()
        .flatten()
        .unwrap_or_default();
    let level = levels.0.get(service).copied().unwrap_or(Level::OPEN);
    let load: Option<Load> = read(headers, header::LOAD).ok().flatten();
    parts.router.learn_levels(&levels);
    if let Some(load) = load {
        parts.router.learn_load(&upstream.name, load, level);
    }
    let leaving = headers.contains_key(header::LEAVING);
    if leaving {
        parts.router.learn_leaving(&upstream.name, leaving);
    }
}

/// Writes what a node tells other nodes on each answer, and makes the end of the body provable.
pub fn to_peer(
    parts: &Parts,
    chain: Option<&crate::state::id::ChainName>,
    reply: Reply,
) -> Response<Body> {
    let unused = reply.unused;
    let mut response = reply.into_response();
    let levels = parts.levels(chain);
    let length = response.body().length();
    let headers = response.headers_mut();
    call::write(headers, header::UNUSED, &unused);
    call::write(headers, header::LEVELS, &levels);
    call::write(headers, header::LOAD, &parts.gate.load());
    if let Some(length) = length.filter(|_| !headers.contains_key(CONTENT_LENGTH)) {
        headers.insert(CONTENT_LENGTH, length.into());
    }
    response.map(Body::with_trailer)
}
