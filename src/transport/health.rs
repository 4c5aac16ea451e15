//! Detection of crashes of the node's own backend server.

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use tokio::{
    sync::Notify,
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

use crate::{
    coordination::gate::Permit,
    state::{counters::Counter, journal::Change, limit::End},
};

use super::{net::Net, node::Path};

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
    pub fn lost(&self, permit: Permit, own: Duration) {
        self.lost.borrow_mut().push((permit, own));
        self.broken.notify_one();
    }

    /// Reports that the server refused a connection.
    pub fn refused(&self) {
        self.broken.notify_one();
    }

    /// Whether the server refuses connections.
    pub fn is_down(&self) -> bool {
        self.down.get()
    }

    fn release(&self) {
        for (permit, own) in self.lost.take() {
            permit.finish(own, End::Lost);
        }
    }
}

/// Tells the gate when the backend server has crashed and when it is back.
pub async fn watch<N: Net>(path: std::rc::Rc<Path<N>>, stop: CancellationToken) {
    loop {
        tokio::select! {
            biased;
            () = stop.cancelled() => break,
            () = path.health.broken.notified() => {}
        }
        check(&path, &stop).await;
    }
    path.health.release();
}

async fn check<N: Net>(path: &Path<N>, stop: &CancellationToken) {
    let health = &path.health;
    let accepts = path.pool.probe(Duration::from_millis(PROBE_WAIT_MS)).await;
    let together = path.pool.failed_together() >= TOGETHER;
    if accepts && !together {
        return health.release();
    }
    crashed(path, accepts);
    while !accepts && !stop.is_cancelled() {
        sleep(Duration::from_millis(PROBE_EVERY_MS)).await;
        if path.pool.probe(Duration::from_millis(PROBE_WAIT_MS)).await {
            break;
        }
    }
    health.down.set(false);
    path.parts.gate.server_restarted();
    let mut journal = path.parts.journal.borrow_mut();
    journal.decide(
        Instant::now(),
        Change::ServerBack,
        "server",
        "accepts connections",
    );
}

fn crashed<N: Net>(path: &Path<N>, accepts: bool) {
    let suspects = path.parts.gate.server_lost();
    path.health.down.set(!accepts);
    path.health.release();
    path.parts.counters.add(Counter::ServerLost, 1);
    let cause = format!(
        "requests in flight: {}, accepts again: {accepts}",
        suspects.len()
    );
    let mut journal = path.parts.journal.borrow_mut();
    journal.decide(Instant::now(), Change::ServerLost, "server", cause);
    for request in suspects {
        journal.decide(
            Instant::now(),
            Change::Suspect,
            request.to_string(),
            "in flight",
        );
    }
}
