//! Log lines for decisions about requests.

use std::time::Duration;

use tokio::time::Instant;

use crate::{
    coordination::gate::RefusalReason,
    protocol::outcome::Outcome,
    state::{
        id::ServiceName,
        mesh::{downstream::Excluded, route::Route},
        upstream::Load,
    },
};

use super::{
    super::{net::Net, reply::Reply},
    context::RequestContext,
    shared::Mesh,
};

/// Target of these log lines; the log sink bounds their number.
pub const REQUEST: &str = "request";

/// Logs a request that was refused before it was sent, because the admission level of a downstream
/// service excludes it.
pub fn excluded<N: Net, D>(mesh: &Mesh<N, D>, context: &RequestContext, by: &Excluded) {
    let (id, class) = (context.id(&mesh.names.attempt_id), &context.class);
    let (priority, importance) = (context.priority(), context.importance);
    let (service, level, age_ms) = (&by.service, by.level, ms(by.age));
    log::info!(target: REQUEST, id, class:%, importance, priority:%, service:%, level:%, age_ms; "refused unsent: the level of a service below excludes it");
}

/// Logs a caller's request that was refused because the node is stopping, after the time for
/// callers to go elsewhere.
pub fn refused_stopping<N: Net, D>(mesh: &Mesh<N, D>, context: &RequestContext) {
    let (id, class) = (context.id(&mesh.names.attempt_id), &context.class);
    log::info!(target: REQUEST, id, class:%; "refused: the node is stopping");
}

/// Logs a request that was refused at the gate of the backend server.
pub fn not_admitted<N: Net, D>(
    mesh: &Mesh<N, D>,
    context: &RequestContext,
    why: RefusalReason,
    load: Load,
    waited: Duration,
) {
    let (id, class) = (context.id(&mesh.names.attempt_id), &context.class);
    let (left_ms, waited_ms) = (ms(context.left()), ms(waited));
    let (begun, importance) = (context.begun, context.importance);
    log::info!(target: REQUEST, id, class:%, importance, begun, why:%, load:%, waited_ms, left_ms; "not admitted at the backend server");
}

/// Logs a request that the backend server was running when the end of the stop cancelled it.
///
/// `run` is how long it had run, `left` the rest of the grace period.
pub fn cut<N: Net, D>(mesh: &Mesh<N, D>, context: &RequestContext, run: Duration, left: Duration) {
    let (id, class) = (context.id(&mesh.names.attempt_id), &context.class);
    let (idempotent, begun) = (context.idempotent, context.begun);
    let (run_ms, grace_left_ms) = (ms(run), ms(left));
    log::info!(target: REQUEST, id, class:%, idempotent, begun, run_ms, grace_left_ms; "cut by the end of the stop");
}

/// Logs a response of the backend server that was discarded.
pub fn unusable<N: Net, D>(
    mesh: &Mesh<N, D>,
    context: &RequestContext,
    cause: &str,
    own: Duration,
) {
    let (id, class, own_ms) = (context.id(&mesh.names.attempt_id), &context.class, ms(own));
    log::info!(target: REQUEST, id, class:%, cause, own_ms; "answer of the backend server is not usable");
}

/// Logs an attempt that is followed by a retry.
pub fn retried<N: Net, D>(mesh: &Mesh<N, D>, context: &RequestContext, to: &str, reply: &Reply) {
    let (id, class) = (context.id(&mesh.names.attempt_id), &context.class);
    let (outcome, status) = (reply.outcome, reply.status.as_u16());
    let why = reply.why.as_deref().unwrap_or_default();
    let left_ms = ms(context.left());
    log::info!(target: REQUEST, id, class:%, to, outcome:%, status, why, left_ms; "sent again");
}

/// Logs the reply to a request at the node that received it from a caller. A complete reply to the
/// first attempt without a server error is logged at level `debug`, all others at `info`.
pub fn answered<N: Net, D>(
    mesh: &Mesh<N, D>,
    route: &Route,
    context: &RequestContext,
    reply: &Reply,
    summary: &AttemptSummary,
    arrived: Instant,
) {
    let level = match reply.outcome {
        Outcome::Complete if summary.attempts <= 1 && !reply.status.is_server_error() => {
            log::Level::Debug
        }
        _ => log::Level::Info,
    };
    if !log::log_enabled!(target: REQUEST, level) {
        return;
    }
    let id = context.id(&mesh.names.attempt_id);
    let (class, begun, importance) = (&route.class, context.begun, context.importance);
    let (outcome, status) = (reply.outcome, reply.status.as_u16());
    let why = reply.why.as_deref().unwrap_or_default();
    let AttemptSummary {
        service,
        last,
        attempts,
    } = summary;
    let elapsed_ms = ms(arrived.elapsed());
    let routes = mesh.routes.borrow().as_ref().map_or(0, |t| t.revision().0);
    let backends = mesh.registry.borrow().revision();
    log::log!(target: REQUEST, level, id, class:%, begun, importance, service:%, last, attempts, outcome:%, status, why, elapsed_ms, routes, backends:%; "answered");
}

/// Where a request was sent, for the log.
#[derive(Debug)]
pub struct AttemptSummary {
    /// The service selected.
    pub service: ServiceName,
    /// The backend server of the last attempt.
    pub last: String,
    /// Number of attempts.
    pub attempts: u32,
}

fn ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
