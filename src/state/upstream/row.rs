//! Entry of one upstream in the state dump.

use serde::{Deserialize, Serialize};

use super::super::{id::UpstreamName, id::ZoneName, priority::Level};

/// State of an upstream that determines its share of the calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// It gets calls at its full weight.
    Serving,
    /// It is new or returning, and its weight is rising to its full value.
    Ramping,
    /// It failed several times in a row. It gets calls nevertheless while too few upstreams remain.
    Ejected,
    /// The upstream or the instance list has announced that it is leaving.
    Leaving,
    /// It is absent from the instance list and calls to it fail.
    Absent,
    /// It is not in the subset of a large service that this node uses.
    OutsideSubset,
}

/// One upstream in the state dump.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct UpstreamStatus {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// State that determines its share of the calls.
    pub standing: Standing,
    /// Share of the calls that it should get, in slots.
    pub weight: f64,
    /// Calls of this node in flight at the upstream.
    pub in_flight: u32,
    /// Smoothed latency, in ms.
    pub latency_ms: Option<f64>,
    /// Smoothed share of attempts that succeeded.
    pub success: f64,
    /// Consecutive failures.
    pub failures: u32,
    /// Last reported load, as `in_flight/limit/queued`.
    pub load: Option<String>,
    /// Last reported admission level, relaxed when the report is stale.
    pub level: Option<Level>,
}
