//! Crash detection for the node's own backend server.

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

use super::{net::Net, node::DataPlane, pool::Pool};

const PROBE_INTERVAL_MS: u64 = 200;
const PROBE_TIMEOUT_MS: u64 = 200;
/// Minimum number of recent connection failures that count as a crash while the server accepts
/// connections, because it may have restarted at once.
const CRASH_FAILURES_MIN: usize = 2;

/// State of the crash detection: whether the server is down, and calls whose connection failed.
#[derive(Debug, Default)]
pub struct Health {
    connection_failed: Notify,
    lost_calls: RefCell<Vec<(Permit, Duration)>>,
    down: Cell<bool>,
}

impl Health {
    /// Reports a call whose connection failed after dispatch.
    ///
    /// Its permit is held until the cause is known, so that the call is still in flight when a
    /// crash is detected, and becomes a suspect.
    pub fn report_lost(&self, permit: Permit, own_time: Duration) {
        self.lost_calls.borrow_mut().push((permit, own_time));
        self.connection_failed.notify_one();
    }

    /// Reports that a connection to the server could not be opened.
    pub fn record_refusal(&self) {
        self.connection_failed.notify_one();
    }

    /// Whether the server is down, that is, accepts no connections.
    pub fn is_down(&self) -> bool {
        self.down.get()
    }

    fn release_permits(&self) {
        for (permit, own_time) in self.lost_calls.take() {
            permit.finish(own_time, CallEnd::Lost);
        }
    }
}

/// A node that monitors its backend server.
pub trait Watched {
    /// The network of the node.
    type Net: Net;

    /// Connection pool to the server.
    fn pool(&self) -> &Pool<Self::Net>;
    /// Admission control of the server.
    fn gate(&self) -> &Gate;
    /// State of the crash detection.
    fn health(&self) -> &Health;
    /// Records a crash of the server with `suspects` in flight; `accepts` tells whether it already
    /// accepts connections again.
    fn record_crash(&self, suspects: &[Fingerprint], accepts: bool);
    /// Records that the server accepts connections again.
    fn record_recovery(&self);
}

impl<N: Net> Watched for DataPlane<N> {
    type Net = N;

    fn pool(&self) -> &Pool<N> {
        &self.pool
    }

    fn gate(&self) -> &Gate {
        &self.node.gate
    }

    fn health(&self) -> &Health {
        &self.health
    }

    fn record_crash(&self, suspects: &[Fingerprint], accepts: bool) {
        self.node.counters.add(Counter::ServerLost, 1);
        let count = suspects.len();
        let cause = format!("requests in flight: {count}, accepts again: {accepts}");
        let mut journal = self.node.journal.borrow_mut();
        let now = Instant::now();
        journal.record_decision(now, DecisionKind::ServerLost, "server", cause);
        for request in suspects {
            journal.record_decision(now, DecisionKind::Suspect, request.to_string(), "in flight");
        }
    }

    fn record_recovery(&self) {
        let mut journal = self.node.journal.borrow_mut();
        let now = Instant::now();
        journal.record_decision(
            now,
            DecisionKind::ServerBack,
            "server",
            "accepts connections",
        );
    }
}

/// Runs the crash detection until `stop` is cancelled; reports crashes and recoveries to the gate.
pub async fn watch<W: Watched>(node: Rc<W>, stop: CancellationToken) {
    loop {
        tokio::select! {
            biased;
            () = stop.cancelled() => break,
            () = node.health().connection_failed.notified() => {}
        }
        check_server(&*node, &stop).await;
    }
    node.health().release_permits();
}

async fn check_server<W: Watched>(node: &W, stop: &CancellationToken) {
    let (health, pool) = (node.health(), node.pool());
    let probe = || pool.probe(Duration::from_millis(PROBE_TIMEOUT_MS));
    let Some(accepts) = stop.run_until_cancelled(probe()).await else {
        return;
    };
    // Single responses can fail without a crash; a crash fails most of the calls in flight at once.
    let failures = pool.recent_failures();
    let is_most = failures * 2 >= node.gate().load().in_flight as usize;
    if accepts && !(failures >= CRASH_FAILURES_MIN && is_most) {
        return health.release_permits();
    }
    let suspects = node.gate().server_lost();
    health.down.set(!accepts);
    health.release_permits();
    node.record_crash(&suspects, accepts);
    let recovered = async {
        loop {
            sleep(Duration::from_millis(PROBE_INTERVAL_MS)).await;
            if probe().await {
                break;
            }
        }
    };
    if !accepts && stop.run_until_cancelled(recovered).await.is_none() {
        return;
    }
    health.down.set(false);
    node.gate().server_restarted();
    node.record_recovery();
}
