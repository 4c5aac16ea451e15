//! Experiments as operators write them: load, faults, length, seeds and bounds.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::{caller::Manners, world::Latency};
use crate::state::{
    id::{ChainName, ServiceName, UpstreamName, ZoneName},
    object::Control,
};

/// A named experiment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Name of the experiment and of its report.
    pub name: String,
    /// Folder of the objects, relative to the working directory.
    pub deployment: String,
    /// Ways of overload control that are compared.
    #[serde(default = "all_controls")]
    pub controls: Vec<Control>,
    /// First seed.
    #[serde(default = "one")]
    pub seed: u64,
    /// Number of seeds, one run each.
    #[serde(default = "one")]
    pub seeds: u64,
    /// Time before the measurement, in s.
    #[serde(default = "five")]
    pub warmup_s: f64,
    /// Length of the measurement, in s.
    pub length_s: f64,
    /// Normal demand as a share of the chain's capacity.
    pub demand: f64,
    /// Weight of each chain's arrivals; equal when empty.
    #[serde(default)]
    pub mix: BTreeMap<ChainName, f64>,
    /// How callers repeat.
    #[serde(default)]
    pub retry: Retry,
    /// One-way latencies, in ms.
    #[serde(default)]
    pub latency: Delays,
    /// Share of segments lost.
    #[serde(default)]
    pub loss: f64,
    /// Mean own time of a backend server, in ms.
    #[serde(default)]
    pub work: Work,
    /// Bytes of an answer.
    #[serde(default = "answer_bytes")]
    pub bytes: usize,
    /// What happens during the run.
    #[serde(default)]
    pub events: Vec<Event>,
    /// Adds faults of all kinds drawn from the seed.
    #[serde(default)]
    pub chaos: bool,
    /// What must hold for adaptive control.
    #[serde(default)]
    pub bounds: Bounds,
}

fn all_controls() -> Vec<Control> {
    vec![Control::Adaptive, Control::Fixed, Control::Off]
}

fn one() -> u64 {
    1
}

fn five() -> f64 {
    5.0
}

fn answer_bytes() -> usize {
    1_024
}

/// How callers repeat what was not answered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retry {
    /// Further attempts.
    pub tries: u32,
    /// Time before each, in ms; as told by the node when absent.
    #[serde(default)]
    pub wait_ms: Option<u64>,
}

impl From<Retry> for Manners {
    fn from(retry: Retry) -> Self {
        Self {
            tries: retry.tries,
            wait: retry.wait_ms.map(Duration::from_millis),
        }
    }
}

/// One-way latencies, in ms.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Delays {
    /// Between availability zones of a region.
    pub zones_ms: f64,
    /// Between callers and any node.
    pub callers_ms: f64,
    /// Between regions.
    pub regions_ms: f64,
}

impl Default for Delays {
    fn default() -> Self {
        Self {
            zones_ms: 0.5,
            callers_ms: 3.0,
            regions_ms: 20.0,
        }
    }
}

impl From<Delays> for Latency {
    fn from(delays: Delays) -> Self {
        Self {
            zones: delays.zones_ms,
            callers: delays.callers_ms,
            regions: delays.regions_ms,
        }
    }
}

/// Own time of the backend servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Work {
    /// Mean at the service with the fewest slots, in ms.
    ///
    /// At 150 ms the 60 slots of Tenggara's `billing` serve 400 requests/s.
    pub deepest_ms: u64,
    /// Mean at all other services, in ms.
    pub others_ms: u64,
    /// Mean at single services, in ms.
    pub services_ms: BTreeMap<ServiceName, u64>,
    /// Time until a backend server is warm, in ms.
    pub cold_ms: u64,
    /// Requests that wait in a backend server before it sheds.
    pub waiting: u32,
}

impl Default for Work {
    fn default() -> Self {
        Self {
            deepest_ms: 150,
            others_ms: 20,
            services_ms: BTreeMap::new(),
            cold_ms: 3_000,
            waiting: 1_000,
        }
    }
}

/// Something that happens during a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// When, in s after the warm-up.
    pub at_s: f64,
    /// For how long, in s.
    #[serde(default)]
    pub for_s: f64,
    /// What.
    pub fault: Fault,
}

/// What may happen.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Multiplies the service time of all backend servers of a service.
    Slow {
        /// The service.
        service: ServiceName,
        /// The factor.
        factor: f64,
    },
    /// Multiplies the demand.
    Demand {
        /// The chains; all when empty.
        #[serde(default)]
        chains: Vec<ChainName>,
        /// The factor.
        factor: f64,
    },
    /// Callers repeat in another way.
    Retry(Retry),
    /// All hosts of an availability zone stop and can't be reached; afterwards they start empty.
    LoseZone {
        /// The availability zone.
        zone: ZoneName,
    },
    /// An availability zone and the others can't reach each other.
    CutZone {
        /// The availability zone.
        zone: ZoneName,
    },
    /// Data from one upstream's host to all others is held back.
    CutFrom {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// A node is not scheduled.
    Pause {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// A backend server crashes and starts again.
    CrashServer {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// A node crashes and starts again, empty.
    CrashNode {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// The next requests crash every backend server that runs them.
    Mark {
        /// Number of requests.
        count: u32,
    },
    /// A backend server reports this many busy slots, whatever is true.
    Report {
        /// The upstream.
        upstream: UpstreamName,
        /// Busy slots.
        busy: u32,
    },
    /// A backend server reports that it is draining.
    Drain {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// The instance list stops following changes.
    FreezeList,
    /// The configuration service answers with 503.
    ConfigurationDown,
    /// The configuration service answers with old values.
    ConfigurationStale,
    /// An upstream is stopped as planned and started again at the end.
    Stop {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// All upstreams of all services are stopped and started again, one of each service at a time.
    RollingRestart {
        /// Time between two, in s.
        every_s: f64,
    },
}

impl Fault {
    /// Whether the fault is a disturbance after which recovery is measured.
    pub fn disturbs(&self) -> bool {
        !matches!(self, Self::RollingRestart { .. } | Self::Drain { .. })
    }
}

/// What must hold; nothing is checked where a bound is absent.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Least goodput during the disturbance, as a share of the chain's capacity.
    pub goodput_share: Option<f64>,
    /// Most refusals of important requests.
    pub important_refused: Option<u64>,
    /// Longest time from the start of the disturbance to normal goodput, in s.
    pub onset_s: Option<f64>,
    /// Longest recovery, in s.
    pub recovery_s: Option<f64>,
    /// Largest share of work in vain at the deepest service.
    pub wasted: Option<f64>,
    /// Most violations of invariants.
    pub violations: Option<u64>,
    /// Most requests that ended neither with a whole answer nor refused.
    pub interrupted: Option<u64>,
    /// Largest share of non-repeatable requests that end as unknown.
    pub unknown: Option<f64>,
    /// Most executions that a leaving server begins later than 3 s after it is leaving.
    pub late_work: Option<u64>,
}
