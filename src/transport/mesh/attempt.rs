//! The attempts of one request, from the node where it began.

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
        call::{read, read_outcome},
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
    order::Order,
    server::{OTHER_INSTANCE, serve},
    shared::Mesh,
    trace::{self, Sent},
};

/// Nodes that may refuse one request for lack of room before the refusal is passed on.
const REFUSALS_MAX: u32 = 2;
/// Nodes that may turn out to be unreachable or stopping before the request is refused.
const UNREACHED_MAX: u32 = 4;

/// Part of the longest useful wait for a slot that a request may wait while no backend server can be
/// reached. A node takes 0.5 to 1 s to start anew; callers wait an eighth of their latency target,
/// calls of work that has begun longer, because the work would be lost.
const OUT_SHARE: f64 = 0.4;
/// Pause before the nodes of a service are tried again.
const OUT_PAUSE_MS: u64 = 60;

/// Sends a request to backend servers of its route until one answers or the rules end it.
///
/// `parent` is the class of the request for which it is made, if it is a call.
pub async fn run<N: Net, D>(
    mesh: &Mesh<N, D>,
    route: &Route,
    order: &Order,
    parent: Option<&ClassName>,
) -> Reply {
    let arrived = Instant::now();
    let service = mesh.part(route);
    mesh.count_request(&service);
    let mut sent = Sent {
        service: service.clone(),
        last: String::new(),
        attempts: 0,
    };
    let reply = attempts(mesh, route, order, parent, &mut sent).await;
    trace::answered(mesh, route, order, &reply, &sent, arrived);
    mesh.latency.answered(reply.outcome, arrived.elapsed());
    reply
}

async fn attempts<N: Net, D>(
    mesh: &Mesh<N, D>,
    route: &Route,
    order: &Order,
    parent: Option<&ClassName>,
    sent: &mut Sent,
) -> Reply {
    let mut tries = Tries::default();
    let until = Instant::now() + order.patience.mul_f64(OUT_SHARE);
    loop {
        let Some(pick) = mesh
            .router
            .pick(&sent.service, order.priority(), &tries.names)
        else {
            if tries.may_wait(order, until) {
                sleep(Duration::from_millis(OUT_PAUSE_MS)).await;
                continue;
            }
            return tries.give_up(mesh);
        };
        let name = pick.upstream().name.clone();
        sent.attempts += 1;
        sent.last = name.to_string();
        let reply = send(mesh, pick, order, parent).await;
        if is_out(&reply) {
            mesh.rest(&name);
        }
        if reply.why.as_deref() == Some(OTHER_INSTANCE) {
            mesh.replaced(&name);
        }
        tries.names.insert(name);
        match tries.next(mesh, route, &sent.service, order, reply) {
            Next::Answer(reply) => return *reply,
            Next::Later(reply) if !tries.may_wait(order, until) => return *reply,
            Next::Later(_) => sleep(Duration::from_millis(OUT_PAUSE_MS)).await,
            Next::Again => {
                if let Some(reply) = &tries.last {
                    trace::again(mesh, order, &sent.last, reply);
                }
            }
        }
    }
}

enum Next {
    Answer(Box<Reply>),
    /// Another backend server may be asked at once.
    Again,
    /// No backend server could be reached; one may be back in a moment.
    Later(Box<Reply>),
}

/// What has become of a request so far.
#[derive(Default)]
struct Tries {
    names: BTreeSet<UpstreamName>,
    arrivals: u32,
    refusals: u32,
    unreached: u32,
    may_have_run: bool,
    last: Option<Reply>,
}

impl Tries {
    fn next<N: Net, D>(
        &mut self,
        mesh: &Mesh<N, D>,
        route: &Route,
        service: &ServiceName,
        order: &Order,
        reply: Reply,
    ) -> Next {
        let (repeats, arrived) = match reply.outcome {
            // The failure of a request that makes calls mostly comes from below.
            Outcome::Complete => (
                route.idempotent && is_failure(reply.status) && mesh.is_leaf(&route.class, service),
                true,
            ),
            Outcome::NotRun => (true, reply.reached_server),
            Outcome::Failed => (route.idempotent && !reply.convicted, true),
            Outcome::Unknown => (false, true),
        };
        self.may_have_run |= arrived && reply.outcome != Outcome::NotRun;
        let again = repeats
            && !order.left().is_zero()
            && match arrived {
                true => {
                    self.arrivals += 1;
                    let calls = !mesh.is_leaf(&route.class, service);
                    self.arrivals < route.attempts && mesh.spend_extra(service, calls)
                }
                false => self.is_worth_asking(&reply),
            };
        if !again {
            let reply = Box::new(self.proven(reply));
            return match reply.unanswered || is_out(&reply) {
                true => Next::Later(reply),
                false => Next::Answer(reply),
            };
        }
        mesh.counters.add(Counter::RetriesSent, 1);
        self.last = Some(reply);
        Next::Again
    }

    /// Whether the request may wait for a node that is starting anew; then all are asked again.
    fn may_wait(&mut self, order: &Order, until: Instant) -> bool {
        let is_out = |reply: &Reply| reply.unanswered || is_out(reply);
        let pause = Duration::from_millis(OUT_PAUSE_MS);
        let waits = self.last.as_ref().is_none_or(is_out)
            && Instant::now() + pause < until
            && order.left() > pause;
        if waits {
            self.names.clear();
            self.unreached = 0;
        }
        waits
    }

    /// Whether another node may take a request that one has refused.
    fn is_worth_asking(&mut self, reply: &Reply) -> bool {
        if reply.unanswered || is_out(reply) {
            self.unreached += 1;
            return self.unreached < UNREACHED_MAX;
        }
        self.refusals += 1;
        self.refusals < REFUSALS_MAX
    }

    /// The last answer, which says nothing about an earlier attempt that may have run.
    fn proven(&self, reply: Reply) -> Reply {
        match self.may_have_run && reply.outcome == Outcome::NotRun {
            true => Reply::failed("earlier-attempt-may-have-run"),
            false => reply,
        }
    }

    /// No other backend server is left to ask.
    fn give_up<N: Net, D>(mut self, mesh: &Mesh<N, D>) -> Reply {
        if let Some(reply) = self.last.take() {
            return self.proven(reply);
        }
        mesh.counters.add(Counter::RefusedNoRoute, 1);
        Reply::not_run(0, "no-backend", Duration::from_millis(NO_BACKEND_MS))
    }
}

/// Whether the node that refused a request is stopping or its backend server is down.
fn is_out(reply: &Reply) -> bool {
    reply.leaving || reply.why.as_deref() == Some(reason_text(RefusalReason::Down))
}

/// Time after which a caller is asked to come back to a service without servers.
const NO_BACKEND_MS: u64 = 500;

/// Whether an answer of a backend server is a failure that another server might not have.
fn is_failure(status: StatusCode) -> bool {
    status == StatusCode::INTERNAL_SERVER_ERROR || status == StatusCode::BAD_GATEWAY
}

async fn send<N: Net, D>(
    mesh: &Mesh<N, D>,
    pick: Pick,
    order: &Order,
    parent: Option<&ClassName>,
) -> Reply {
    let instance = mesh.instance(&pick.upstream().name);
    let Some(instance) = instance else {
        pick.finish(AttemptEnd::Unreachable);
        return unanswered("gone");
    };
    if pick.upstream().public == mesh.settings.server {
        let reply = serve(mesh, order, &instance).await;
        let levels = mesh.levels(Some(&order.class));
        mesh.learn_levels(&order.class, parent, &levels);
        let ended = reply.attempt();
        pick.finish(ended);
        return reply;
    }
    hop(mesh, pick, order, &instance, parent).await
}

async fn hop<N: Net, D>(
    mesh: &Mesh<N, D>,
    pick: Pick,
    order: &Order,
    instance: &InstanceId,
    parent: Option<&ClassName>,
) -> Reply {
    let (to, service) = (pick.upstream().peer, pick.upstream().service.clone());
    let mut request = match order.message.to_peer(&service) {
        Ok(request) => request,
        Err(error) => {
            pick.finish(AttemptEnd::Cancelled);
            let reply = Reply::not_run(0, error.to_string(), Duration::ZERO);
            return reply.with_status(StatusCode::BAD_REQUEST);
        }
    };
    order.write(instance, request.headers_mut());
    mesh.write_progress(request.headers_mut());
    match timeout_at(order.deadline, mesh.links.send(to, request)).await {
        Err(_) => finish(pick, Reply::unknown("deadline")),
        Ok(Err(SendError::Unreachable(_))) => {
            let id = order.id(&mesh.names.attempt_id);
            log::info!(target: trace::REQUEST, id, class:% = order.class, to:%; "node could not be reached");
            pick.finish(AttemptEnd::Unreachable);
            unanswered("unreachable")
        }
        Ok(Err(error)) => {
            let id = order.id(&mesh.names.attempt_id);
            log::info!(target: trace::REQUEST, id, class:% = order.class, to:%, error:%; "connection to a node broke");
            finish(pick, Reply::failed("connection-lost"))
        }
        Ok(Ok(response)) => answered(mesh, pick, order, parent, response).await,
    }
}

/// Nothing was sent, so the request did not run.
fn unanswered(why: &'static str) -> Reply {
    Reply {
        unanswered: true,
        ..Reply::not_run(0, why, Duration::ZERO)
    }
}

fn finish(pick: Pick, reply: Reply) -> Reply {
    pick.finish(reply.attempt());
    reply
}

async fn answered<N: Net, D>(
    mesh: &Mesh<N, D>,
    pick: Pick,
    order: &Order,
    parent: Option<&ClassName>,
    response: Response<Incoming>,
) -> Reply {
    let (head, body) = response.into_parts();
    mesh.learn_progress(&head.headers);
    let Ok(outcome) = read_outcome(&head.headers) else {
        return finish(pick, Reply::failed("malformed-answer"));
    };
    learn(mesh, &pick, &order.class, parent, &head.headers);
    if outcome != Outcome::Complete {
        return finish(pick, refused(outcome, &head));
    }
    let framing = peer_framing(&order.message.method, &head);
    match timeout_at(order.deadline, read_buffered(body, framing)).await {
        Err(_) => finish(pick, Reply::unknown("deadline")),
        Ok(Err(_)) => finish(pick, Reply::failed("answer-broken")),
        Ok(Ok(Buffered::Whole(bytes))) => {
            finish(pick, Reply::complete(head, Body::whole(bytes), 0))
        }
        Ok(Ok(Buffered::Partial(chunks, rest))) => {
            let guard = Guard::Peer(Some(pick));
            let body = Body::stream(chunks, rest, framing, order.deadline, guard);
            Reply::complete(head, body, 0)
        }
    }
}

/// The answer of a node that is not complete.
fn refused(outcome: Outcome, head: &response::Parts) -> Reply {
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

fn learn<N: Net, D>(
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
    mesh.learn_levels(class, parent, &levels);
    let load: Option<Load> = read(headers, header::LOAD).ok().flatten();
    if let Some(load) = load {
        mesh.router.update_load(name, load, level);
    }
    let retiring = headers.contains_key(header::RETIRING);
    mesh.router.set_retiring(name, retiring);
}
