//! Format of experiment files: load, faults, length, seeds and bounds.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::{caller::RetryPolicy, world::Latency};
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
    /// Folder with the objects of the deployment, relative to the working directory.
    pub deployment: String,
    /// Kinds of overload control to compare.
    #[serde(default = "all_controls")]
    pub controls: Vec<Control>,
    /// First seed.
    #[serde(default = "one")]
    pub seed: u64,
    /// Number of seeds, with one run per seed and control.
    #[serde(default = "one")]
    pub seeds: u64,
    /// Time of load before the measurement, in s.
    #[serde(default = "five")]
    pub warmup_s: f64,
    /// Length of the measurement, in s.
    pub length_s: f64,
    /// Normal demand as a share of the capacity of the deepest service.
    pub demand: f64,
    /// Weight of each chain's arrivals; all equal when empty, 0 for a chain that is absent.
    #[serde(default)]
    pub mix: BTreeMap<ChainName, f64>,
    /// How callers retry requests.
    #[serde(default)]
    pub retry: Retry,
    /// One-way latencies, in ms.
    #[serde(default)]
    pub latency: Delays,
    /// Share of network segments that are lost.
    #[serde(default)]
    pub loss: f64,
    /// Service times and queue of the backend servers.
    #[serde(default)]
    pub work: Work,
    /// Size of a response body, and of a request body unless the method is GET, in bytes.
    #[serde(default = "answer_bytes")]
    pub bytes: usize,
    /// Faults and load changes during the run.
    #[serde(default)]
    pub events: Vec<Event>,
    /// Adds random faults of all kinds, generated from the seed.
    #[serde(default)]
    pub chaos: bool,
    /// Bounds on the results with adaptive control.
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

/// How callers retry requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retry {
    /// Maximum number of retries per request.
    pub tries: u32,
    /// Time before each retry, in ms; when absent, the time that the node suggests.
    #[serde(default)]
    pub wait_ms: Option<u64>,
}

impl From<Retry> for RetryPolicy {
    fn from(retry: Retry) -> Self {
        Self {
            retries: retry.tries,
            backoff: retry.wait_ms.map(Duration::from_millis),
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
            zones_ms: delays.zones_ms,
            callers_ms: delays.callers_ms,
            regions_ms: delays.regions_ms,
        }
    }
}

/// Service times and queue of the backend servers; times without downstream calls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Work {
    /// Mean service time at the service with the fewest slots, in ms.
    ///
    /// At 150 ms the 60 slots of Tenggara's `billing` serve 400 requests/s.
    pub deepest_ms: u64,
    /// Mean service time at all other services, in ms.
    pub others_ms: u64,
    /// Mean service times of individual services, in ms; they take precedence.
    pub services_ms: BTreeMap<ServiceName, u64>,
    /// Time after its start during which a backend server is slower, in ms.
    pub cold_ms: u64,
    /// Maximum number of requests waiting in a backend server; further ones are shed.
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

/// A fault at a time of the run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Start, in s after the warm-up.
    pub at_s: f64,
    /// Duration, in s.
    #[serde(default)]
    pub for_s: f64,
    /// Fault.
    pub fault: Fault,
}

/// Kind of fault or load change.
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
    /// Changes how callers retry requests.
    Retry(Retry),
    /// All hosts of an availability zone crash and are unreachable; afterwards they start without
    /// state.
    LoseZone {
        /// The availability zone.
        zone: ZoneName,
    },
    /// An availability zone and the others can't reach each other.
    CutZone {
        /// The availability zone.
        zone: ZoneName,
    },
    /// Data from one upstream's host to the hosts of all other upstreams is held back.
    CutFrom {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// The process of a node is suspended.
    Pause {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// A backend server crashes and restarts.
    CrashServer {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// A node crashes and restarts without state.
    CrashNode {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// The next requests crash every backend server of the entry service that runs them.
    Mark {
        /// Number of requests.
        count: u32,
    },
    /// A backend server reports this number of busy slots instead of the true one.
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
    /// Changes of the instance list are suspended.
    FreezeList,
    /// The configuration service responds with status 503.
    ConfigurationDown,
    /// The configuration service responds with old values.
    ConfigurationStale,
    /// Planned stop of an upstream, which is started again at the end.
    Stop {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// Planned restart of all upstreams, one of each service at a time.
    RollingRestart {
        /// Time after each stop and after each start, in s.
        every_s: f64,
    },
}

impl Fault {
    /// Whether the fault is a disturbance after which recovery is measured.
    pub fn disturbs(&self) -> bool {
        !matches!(self, Self::RollingRestart { .. } | Self::Drain { .. })
    }
}

/// Bounds on the results; an absent bound is not checked.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Minimum goodput during the disturbance, as a share of the capacity.
    pub goodput_share: Option<f64>,
    /// Maximum number of refused attempts of important requests.
    pub important_refused: Option<u64>,
    /// Maximum time from the start of the disturbance to normal goodput, in s.
    pub onset_s: Option<f64>,
    /// Maximum recovery time, in s.
    pub recovery_s: Option<f64>,
    /// Maximum share of wasted work at the deepest service.
    pub wasted: Option<f64>,
    /// Maximum number of violations of the invariants.
    pub violations: Option<u64>,
    /// Maximum number of requests that ended neither with a complete response nor with a refusal.
    pub interrupted: Option<u64>,
    /// Maximum share of non-repeatable requests that ended as unknown.
    pub unknown: Option<f64>,
    /// Maximum number of executions that departing backend servers started more than 3 s after the
    /// start of their departure.
    pub late_work: Option<u64>,
}
