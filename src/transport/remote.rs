//! One attempt to run a call at another node.

use std::time::Duration;

use http::{HeaderMap, Response, response};
use hyper::body::Incoming;
use tokio::time::timeout_at;

use crate::{
    coordination::router::{AttemptEnd, Pick},
    protocol::{
        call::{self, CallHead, read, read_outcome, write},
        header,
        outcome::Outcome,
    },
    state::{
        id::{ChainName, RootId, ServiceName, UpstreamName},
        journal::Step,
        level::Levels,
        object::Upstream,
        priority::Level,
        ticket::Ticket,
        upstream::Load,
    },
};

use super::{
    body::{Buffered, read_buffered},
    link::SendError,
    net::Net,
    node::{DataPlane, NodeContext},
    reply::{Body, Guard, Reply, peer_framing, with_framing},
    serve::CallRequest,
};

/// Sends a call to an upstream and reads the response.
///
/// `call.allowance` is the part of the retry allowance that is delegated to the upstream. A
/// `ticket` is sent to its issuer, which then decides whether the request runs; `pick` is `None`
/// in this case.
pub async fn send<N: Net>(
    plane: &DataPlane<N>,
    upstream: Upstream,
    pick: Option<Pick>,
    call: &CallRequest,
    ticket: Option<&Ticket>,
) -> Reply {
    let node = &plane.node;
    let sent = Step::Sent {
        upstream: upstream.name.clone(),
    };
    node.record_step(call.root, sent);
    let mut attempt = PeerAttempt {
        node,
        root: call.root,
        upstream: upstream.name.clone(),
        pick,
    };
    let left = call.left();
    let request = call.message.to_peer(&upstream.service);
    let Some(mut request) = request.ok().filter(|_| !left.is_zero()) else {
        attempt.pick = None;
        return attempt.not_sent(call, AttemptEnd::Cancelled);
    };
    let head = CallHead {
        root: call.root,
        class: call.class.name.clone(),
        chain: call.chain.clone(),
        priority: call.priority,
        timeout: left,
        allowance: call.allowance,
    };
    head.write(request.headers_mut());
    if let Some(ticket) = ticket {
        write(request.headers_mut(), header::TICKET, ticket);
    }
    let sent = timeout_at(call.deadline, plane.links.send(upstream.peer, request)).await;
    match sent {
        Err(_) => attempt.finish(Reply::unknown("deadline"), AttemptEnd::TimedOut),
        Ok(Err(SendError::Unreachable(_))) => attempt.not_sent(call, AttemptEnd::Unreachable),
        Ok(Err(SendError::Lost(..))) => attempt.lost("connection-lost"),
        Ok(Ok(response)) => read_response(attempt, &upstream, call, response).await,
    }
}

/// An attempt in progress.
struct PeerAttempt<'a> {
    node: &'a NodeContext,
    root: RootId,
    upstream: UpstreamName,
    pick: Option<Pick>,
}

impl PeerAttempt<'_> {
    fn record_end(&self, end: AttemptEnd) {
        let ended = Step::Ended {
            upstream: self.upstream.clone(),
            result: end_text(end).into(),
        };
        self.node.record_step(self.root, ended);
    }

    fn finish(self, reply: Reply, end: AttemptEnd) -> Reply {
        self.record_end(end);
        if let Some(pick) = self.pick {
            pick.finish(end);
        }
        reply
    }

    /// Ends an attempt for which nothing was sent; the call did not run.
    fn not_sent(self, call: &CallRequest, end: AttemptEnd) -> Reply {
        let why = end_text(end);
        let reply = Reply::not_run(call.allowance, why, self.node.retry_delay());
        let reply = Reply {
            unanswered: true,
            ..reply
        };
        self.finish(reply, end)
    }

    /// Ends an attempt that was sent and got no complete response.
    fn lost(self, why: &'static str) -> Reply {
        let reply = Reply {
            unanswered: true,
            ..Reply::failed(why)
        };
        self.finish(reply, AttemptEnd::Lost)
    }

    /// Streams a response body that is longer than the buffer; the pick is finished when the stream
    /// ends.
    fn streaming(self, body: impl FnOnce(Guard) -> Reply) -> Reply {
        self.record_end(AttemptEnd::Answered);
        body(Guard::Peer(self.pick))
    }
}

fn end_text(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Answered => "answered",
        AttemptEnd::NotRun => "not-run",
        AttemptEnd::Lost => "lost",
        AttemptEnd::TimedOut => "timed-out",
        AttemptEnd::Unreachable => "unreachable",
        AttemptEnd::Cancelled => "cancelled",
    }
}

async fn read_response(
    attempt: PeerAttempt<'_>,
    upstream: &Upstream,
    call: &CallRequest,
    response: Response<Incoming>,
) -> Reply {
    let (head, body) = response.into_parts();
    let Ok(outcome) = read_outcome(&head.headers) else {
        return attempt.lost("malformed-answer");
    };
    update_router(attempt.node, &upstream.service, upstream, &head.headers);
    let unused = read(&head.headers, header::UNUSED).ok().flatten();
    let unused = call.allowance.min(unused.unwrap_or(0));
    if outcome != Outcome::Complete {
        let reply = incomplete_reply(attempt.node, outcome, unused, &head);
        let end = reply.attempt_end();
        return attempt.finish(reply, end);
    }
    let framing = peer_framing(&call.message.method, &head);
    match timeout_at(call.deadline, read_buffered(body, framing)).await {
        Err(_) => attempt.finish(Reply::unknown("deadline"), AttemptEnd::TimedOut),
        Ok(Err(_)) => attempt.lost("answer-broken"),
        Ok(Ok(Buffered::Whole(bytes))) => {
            let ticket = read(&head.headers, header::TICKET).ok().flatten();
            let reply = Reply::complete(head, Body::whole(bytes), unused);
            attempt.finish(Reply { ticket, ..reply }, AttemptEnd::Answered)
        }
        Ok(Ok(Buffered::Partial(begin, rest))) => attempt.streaming(|guard| {
            let body = Body::stream(begin, rest, framing, call.deadline, guard);
            Reply::complete(head, body, unused)
        }),
    }
}

/// The reply for a response whose outcome is not `complete`.
fn incomplete_reply(
    node: &NodeContext,
    outcome: Outcome,
    unused: u32,
    head: &response::Parts,
) -> Reply {
    let headers = &head.headers;
    let why: String = read(headers, header::WHY)
        .ok()
        .flatten()
        .unwrap_or_default();
    let retry_ms = read(headers, header::RETRY_MS).ok().flatten();
    let after = retry_ms.map_or_else(|| node.retry_delay(), Duration::from_millis);
    let reply = match outcome {
        Outcome::NotRun => Reply::not_run(unused, why, after),
        Outcome::Failed => Reply::failed(why),
        _ => Reply::unknown(why),
    };
    Reply {
        convicted: headers.contains_key(header::CONVICTED),
        ticket: read(headers, header::TICKET).ok().flatten(),
        status: head.status,
        unused,
        ..reply
    }
}

fn update_router(
    node: &NodeContext,
    service: &ServiceName,
    upstream: &Upstream,
    headers: &HeaderMap,
) {
    let levels: Levels = read(headers, header::LEVELS)
        .ok()
        .flatten()
        .unwrap_or_default();
    let level = levels.0.get(service).copied().unwrap_or(Level::OPEN);
    let load: Option<Load> = read(headers, header::LOAD).ok().flatten();
    node.router.update_levels(&levels);
    if let Some(load) = load {
        node.router.update_load(&upstream.name, load, level);
    }
    let leaving = headers.contains_key(header::LEAVING);
    if leaving {
        node.router.set_leaving(&upstream.name, leaving);
    }
}

/// Builds the response to a peer: adds unused retries, admission levels and load, and makes the end
/// of the body detectable.
pub fn peer_response(
    node: &NodeContext,
    chain: Option<&ChainName>,
    reply: Reply,
) -> Response<Body> {
    let unused = reply.unused;
    let mut response = reply.into_response();
    let levels = node.levels(chain);
    let headers = response.headers_mut();
    call::write(headers, header::UNUSED, &unused);
    call::write(headers, header::LEVELS, &levels);
    call::write(headers, header::LOAD, &node.gate.load());
    with_framing(response)
}
