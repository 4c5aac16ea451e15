//! What the choice of an upstream considers, for an explanation.

use std::{rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};

use super::{super::object::Upstream, Load, UpstreamStatus};

/// Why an upstream gets no call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Obstacle {
    /// The upstream or the instance list has announced that it is leaving.
    Leaving,
    /// It is absent from the instance list.
    Absent,
    /// It is not in the subset of a large service that this node uses.
    OutsideSubset,
    /// A connection to it recently could not be opened.
    Unreachable,
    /// Its node has announced that it will stop.
    Stopping,
    /// It failed several times in a row.
    Ejected,
    /// Its admission level refuses the call, and another one admits it.
    Level,
    /// It is in another availability zone, and calls do not spill over.
    OtherZone,
}

impl Obstacle {
    /// The text used in documents and tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Absent => "absent",
            Self::OutsideSubset => "outside-subset",
            Self::Unreachable => "unreachable",
            Self::Stopping => "stopping",
            Self::Ejected => "ejected",
            Self::Level => "level",
            Self::OtherZone => "other-zone",
        }
    }
}

/// An upstream as the choice for the next call considers it.
#[derive(Debug, Clone)]
pub struct Considered {
    /// The upstream.
    pub upstream: Rc<Upstream>,
    /// Its entry in the state dump.
    pub status: UpstreamStatus,
    /// The last reported load, also if it is too old to be used, and the time since the report.
    pub report: Option<(Load, Duration)>,
    /// Expected delay of the call as a multiple of the median service time, if upstreams are compared by
    /// it.
    pub expected_delay: Option<f64>,
    /// Probability with which the call goes to it.
    pub chance: f64,
    /// Why it gets no call.
    pub obstacle: Option<Obstacle>,
}
