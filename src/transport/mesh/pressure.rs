//! Log lines about a node under pressure: what its gate and its processor did in the last second.

use std::time::Duration;

use tokio::time::Instant;

use crate::state::counters::Counter;

use super::{super::net::Net, shared::Mesh};

/// Minimum time between two lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Delay of the node's periodic work above which its processor counts as busy.
const LAG_BUSY: Duration = Duration::from_millis(20);

/// Counters whose increase is logged.
const TOTALS: [Counter; 8] = [
    Counter::PublicCalls,
    Counter::EgressCalls,
    Counter::PeerCalls,
    Counter::ServerCalls,
    Counter::RefusedChain,
    Counter::RefusedLevel,
    Counter::RefusedWaited,
    Counter::RefusedDeadline,
];

/// Readings of one moment, to compute the change since then.
#[derive(Debug)]
struct Reading {
    at: Instant,
    totals: [u64; TOTALS.len()],
    waited: (u64, Duration),
    ran: (u64, Duration),
}

/// Logs the load of a node once a second while calls wait at its gate, its backend server announces
/// a rate limit or its processor is busy.
#[derive(Debug, Default)]
pub struct PressureLog {
    last: Option<Reading>,
    max_lag: Duration,
    max_queued: u32,
}

impl PressureLog {
    /// Adds a reading. `lag` is the delay of the node's periodic work.
    pub fn observe<N: Net, D>(&mut self, mesh: &Mesh<N, D>, lag: Duration, now: Instant) {
        self.max_lag = self.max_lag.max(lag);
        self.max_queued = self.max_queued.max(mesh.gate.load().queued);
        let Some(last) = &self.last else {
            self.last = Some(read(mesh, now));
            return;
        };
        if now < last.at + LOG_INTERVAL {
            return;
        }
        let current = read(mesh, now);
        let is_limited = mesh.gate.rate_limit().is_some();
        if self.max_queued > 0 || self.max_lag >= LAG_BUSY || is_limited {
            self.log(mesh, last, &current);
        }
        *self = Self {
            last: Some(current),
            ..Self::default()
        };
    }

    fn log<N: Net, D>(&self, mesh: &Mesh<N, D>, last: &Reading, current: &Reading) {
        let increase = |n: usize| current.totals[n] - last.totals[n];
        let [
            callers,
            calls,
            peers,
            sent,
            unsent,
            refused_level,
            refused_waited,
            refused_deadline,
        ] = std::array::from_fn(increase);
        let (answered, server_ms) = mean(last.ran, current.ran);
        let (_, wait_ms) = mean(last.waited, current.waited);
        let (load, level) = (mesh.gate.load(), mesh.gate.level());
        let (lag_ms, max_queued) = (self.max_lag.as_millis() as u64, self.max_queued);
        let over_ms = current.at.duration_since(last.at).as_millis() as u64;
        log::info!(
            load:%, level:%, max_queued, lag_ms, over_ms, callers, calls, peers, sent, answered,
            server_ms, wait_ms, unsent, refused_level, refused_waited, refused_deadline;
            "node is under pressure"
        );
    }
}

fn read<N: Net, D>(mesh: &Mesh<N, D>, at: Instant) -> Reading {
    Reading {
        at,
        totals: TOTALS.map(|counter| mesh.counters.get(counter)),
        waited: mesh.latency.waited(),
        ran: mesh.latency.ran(),
    }
}

/// Number and mean in ms of the latencies recorded between two readings.
fn mean(last: (u64, Duration), current: (u64, Duration)) -> (u64, u64) {
    let count = current.0 - last.0;
    let sum = current.1.saturating_sub(last.1).as_millis() as u64;
    (count, sum / count.max(1))
}
