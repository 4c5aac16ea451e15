//! What the state dump tells about one upstream.

use serde::Serialize;

use super::super::{id::UpstreamName, id::ZoneName, priority::Level};

/// Why an upstream gets the share of the calls that it gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// It takes calls at its full weight.
    Serving,
    /// It is new or was ejected, and its weight rises to the full one.
    Ramping,
    /// It failed several times in a row; ignored while too few upstreams remain.
    Ejected,
    /// It said, or the instance list says, that it is leaving.
    Leaving,
    /// It is absent from the instance list and connections to it fail.
    Absent,
    /// The subset of a large service leaves it out.
    OutsideSubset,
}

/// One upstream in the state dump.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct UpstreamStatus {
    /// Its name.
    pub name: UpstreamName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Why its weight is what it is.
    pub standing: Standing,
    /// Share of the calls that it should get, in slots.
    pub weight: f64,
    /// Calls of this node in flight there.
    pub in_flight: u32,
    /// Smoothed latency, in ms.
    pub latency_ms: Option<f64>,
    /// Smoothed share of attempts that were answered.
    pub success: f64,
    /// Consecutive failures.
    pub failures: u32,
    /// Last reported load, as `in_flight/limit/queued`.
    pub load: Option<String>,
    /// Last reported admission level, opened by its age.
    pub level: Option<Level>,
}
