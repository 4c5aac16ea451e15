//! Detection of crashes of the node's own backend server.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use tokio::{
    sync::Notify,
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

use crate::{
    coordination::gate::{Gate, Permit},
    state::{counters::Counter, id::Fingerprint, journal::DecisionKind, limit::CallEnd},
};

use super::{net::Net, node::Path, pool::Pool};

const PROBE_EVERY_MS: u64 = 200;
const PROBE_WAIT_MS: u64 = 200;
/// Connections that fail together count as a crash, even when the server accepts again at once.
const TOGETHER: usize = 2;

/// Calls whose connection to the backend server broke, until the cause is known.
#[derive(Debug, Default)]
pub struct Health {
    broken: Notify,
    lost: RefCell<Vec<(Permit, Duration)>>,
    down: Cell<bool>,
}

impl Health {
    /// Reports a call whose connection broke after dispatch.
    ///
    /// Its permit is kept until the cause is known, so that a crash finds the call in flight.
    pub fn report_lost(&self, permit: Permit, own: Duration) {
        self.lost.borrow_mut().push((permit, own));
        self.broken.notify_one();
    }

    /// Reports that the server refused a connection.
    pub fn record_refusal(&self) {
        self.broken.notify_one();
    }

    /// Whether the server refuses connections.
    pub fn is_down(&self) -> bool {
        self.down.get()
    }

    fn release(&self) {
        for (permit, own) in self.lost.take() {
            permit.finish(own, CallEnd::Lost);
        }
    }
}

/// A node whose backend server is watched.
pub trait Watched {
    /// The network of the node.
    type Net: Net;

    /// Connections to the server.
    fn pool(&self) -> &Pool<Self::Net>;
    /// Admission to the server.
    fn gate(&self) -> &Gate;
    /// Calls whose connection broke.
    fn health(&self) -> &Health;
    /// Records that the server crashed while these requests were in flight.
    fn record_crash(&self, suspects: &[Fingerprint], accepts: bool);
    /// Records that the server accepts connections again.
    fn record_recovery(&self);
}

impl<N: Net> Watched for Path<N> {
    type Net = N;

    fn pool(&self) -> &Pool<N> {
        &self.pool
    }

    fn gate(&self) -> &Gate {
        &self.parts.gate
    }

    fn health(&self) -> &Health {
        &self.health
    }

    fn record_crash(&self, suspects: &[Fingerprint], accepts: bool) {
        self.parts.counters.add(Counter::ServerLost, 1);
        let count = suspects.len();
        let cause = format!("requests in flight: {count}, accepts again: {accepts}");
        let mut journal = self.parts.journal.borrow_mut();
        let now = Instant::now();
        journal.record_decision(now, DecisionKind::ServerLost, "server", cause);
        for request in suspects {
            journal.record_decision(now, DecisionKind::Suspect, request.to_string(), "in flight");
        }
    }

    fn record_recovery(&self) {
        let mut journal = self.parts.journal.borrow_mut();
        let now = Instant::now();
        journal.record_decision(
            now,
            DecisionKind::ServerBack,
            "server",
            "accepts connections",
        );
    }
}

/// Tells the gate when the backend server has crashed and when it is back.
pub async fn watch<W: Watched>(node: Rc<W>, stop: CancellationToken) {
    loop {
        tokio::select! {
            biased;
            () = stop.cancelled() => break,
            () = node.health().broken.notified() => {}
        }
        check(&*node, &stop).await;
    }
    node.health().release();
}

async fn check<W: Watched>(node: &W, stop: &CancellationToken) {
    let (health, pool) = (node.health(), node.pool());
    let accepts = pool.probe(Duration::from_millis(PROBE_WAIT_MS)).await;
    // Single answers break without a crash; a crash breaks most of those in progress at once.
    let together = pool.failed_together();
    let most = together * 2 >= node.gate().load().in_flight as usize;
    if accepts && !(together >= TOGETHER && most) {
        return health.release();
    }
    let suspects = node.gate().server_lost();
    health.down.set(!accepts);
    health.release();
    node.record_crash(&suspects, accepts);
    while !accepts && !stop.is_cancelled() {
        sleep(Duration::from_millis(PROBE_EVERY_MS)).await;
        if pool.probe(Duration::from_millis(PROBE_WAIT_MS)).await {
            break;
        }
    }
    health.down.set(false);
    node.gate().server_restarted();
    node.record_recovery();
}
