//! Log lines for decisions that touch a request.

use std::time::Duration;

use tokio::time::Instant;

use crate::{
    coordination::gate::RefusalReason,
    protocol::outcome::Outcome,
    state::{
        id::ServiceName,
        mesh::{reach::Excluded, route::Route},
        upstream::Load,
    },
};

use super::{super::reply::Reply, order::Order, shared::Mesh};

/// Target of these lines; their number is bounded.
pub const REQUEST: &str = "request";

/// A request that a node refused to send, because a service below has no room for it.
pub fn excluded<N, D>(mesh: &Mesh<N, D>, order: &Order, by: &Excluded) {
    let (id, class) = (order.id(&mesh.names.attempt_id), &order.class);
    let (priority, importance) = (order.priority(), order.importance);
    let (service, level, age_ms) = (&by.service, by.level, ms(by.age));
    log::info!(target: REQUEST, id, class:%, importance, priority:%, service:%, level:%, age_ms; "refused unsent: the level of a service below excludes it");
}

/// A caller's request that came after the node had announced its stop for long enough.
pub fn too_late<N, D>(mesh: &Mesh<N, D>, order: &Order) {
    let (id, class) = (order.id(&mesh.names.attempt_id), &order.class);
    log::info!(target: REQUEST, id, class:%; "refused: the node is stopping");
}

/// A request that the gate of the backend server refused.
pub fn not_admitted<N, D>(
    mesh: &Mesh<N, D>,
    order: &Order,
    why: RefusalReason,
    load: Load,
    waited: Duration,
) {
    let (id, class) = (order.id(&mesh.names.attempt_id), &order.class);
    let (left_ms, waited_ms) = (ms(order.left()), ms(waited));
    let (begun, importance) = (order.begun, order.importance);
    log::info!(target: REQUEST, id, class:%, importance, begun, why:%, load:%, waited_ms, left_ms; "not admitted at the backend server");
}

/// An answer of the backend server that was not passed on.
pub fn unusable<N, D>(mesh: &Mesh<N, D>, order: &Order, cause: &str, own: Duration) {
    let (id, class, own_ms) = (order.id(&mesh.names.attempt_id), &order.class, ms(own));
    log::info!(target: REQUEST, id, class:%, cause, own_ms; "answer of the backend server is not usable");
}

/// The end of one attempt that was not the last.
pub fn again<N, D>(mesh: &Mesh<N, D>, order: &Order, to: &str, reply: &Reply) {
    let (id, class) = (order.id(&mesh.names.attempt_id), &order.class);
    let (outcome, status) = (reply.outcome, reply.status.as_u16());
    let why = reply.why.as_deref().unwrap_or_default();
    let left_ms = ms(order.left());
    log::info!(target: REQUEST, id, class:%, to, outcome:%, status, why, left_ms; "sent again");
}

/// The answer to a request where it began. Complete answers at the first attempt are a line at
/// the level `debug` only.
pub fn answered<N, D>(
    mesh: &Mesh<N, D>,
    route: &Route,
    order: &Order,
    reply: &Reply,
    sent: &Sent,
    arrived: Instant,
) {
    let level = match reply.outcome {
        Outcome::Complete if sent.attempts <= 1 && !reply.status.is_server_error() => {
            log::Level::Debug
        }
        _ => log::Level::Info,
    };
    if !log::log_enabled!(target: REQUEST, level) {
        return;
    }
    let id = order.id(&mesh.names.attempt_id);
    let (class, begun, importance) = (&route.class, order.begun, order.importance);
    let (outcome, status) = (reply.outcome, reply.status.as_u16());
    let why = reply.why.as_deref().unwrap_or_default();
    let Sent {
        service,
        last,
        attempts,
    } = sent;
    let elapsed_ms = ms(arrived.elapsed());
    let routes = mesh.routes.borrow().as_ref().map_or(0, |t| t.revision().0);
    let backends = mesh.registry.borrow().revision();
    log::log!(target: REQUEST, level, id, class:%, begun, importance, service:%, last, attempts, outcome:%, status, why, elapsed_ms, routes, backends; "answered");
}

/// Where a request was sent.
#[derive(Debug)]
pub struct Sent {
    /// The service chosen.
    pub service: ServiceName,
    /// The backend server asked last.
    pub last: String,
    /// Backend servers asked.
    pub attempts: u32,
}

fn ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
