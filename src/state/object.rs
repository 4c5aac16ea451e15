//! The named configuration objects that operators edit and publish.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use super::id::{
    ChainName, ClassName, DeploymentName, LimitName, OwnerName, RegionName, ServiceName,
    UpstreamName, ZoneName,
};

/// Which of two goals a deployment prefers where they conflict.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Favour {
    /// Complete answers delivered per second.
    Goodput,
    /// A short time from the end of a disturbance to normal service.
    Recovery,
}

/// How the nodes of a deployment control overload.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Control {
    /// Adaptive concurrency limits, admission levels and retry allowances.
    #[default]
    Adaptive,
    /// A concurrency limit of the published slots, or of fewer if the server completes more with
    /// them, and a queue ordered by priority.
    Ranked,
    /// A constant concurrency limit equal to the slots; a baseline for experiments.
    Fixed,
    /// No limit; a baseline for experiments.
    Off,
}

/// An organisational unit that owns objects.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Owner {
    /// Name of the owner.
    pub name: OwnerName,
    /// How to reach the owner.
    pub contact: String,
}

/// An availability zone and its region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Name of the availability zone.
    pub name: ZoneName,
    /// Region that it belongs to.
    pub region: RegionName,
}

/// An installation of the system.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: DeploymentName,
    /// Owner of this object.
    pub owner: OwnerName,
    /// Goal that is preferred where goals conflict.
    pub favour: Favour,
    /// How overload is controlled.
    #[serde(default)]
    pub control: Control,
    /// Availability zones.
    pub zones: Vec<Zone>,
}

/// A service: a set of interchangeable upstreams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Owner of this object.
    pub owner: OwnerName,
    /// Header by which a backend server marks an answer as its own load shedding.
    #[serde(default = "default_shed_header")]
    pub shed_header: String,
}

pub(crate) fn default_shed_header() -> String {
    "x-shed".to_owned()
}

/// One backend server and the node beside it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Owner of this object.
    pub owner: OwnerName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address at which its node accepts calls from external callers.
    pub public: SocketAddr,
    /// Address at which its node accepts calls from other nodes.
    pub peer: SocketAddr,
    /// Address at which its node accepts control messages.
    pub control: SocketAddr,
    /// Requests that the backend server processes concurrently.
    pub slots: u32,
    /// Connections that the backend server accepts.
    pub connections: u32,
}

/// A request class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class.
    pub name: ClassName,
    /// Owner of this object.
    pub owner: OwnerName,
    /// Position in the order of service; 0 is served first.
    pub importance: u8,
    /// Whether the class is refused only after all classes that are not important.
    #[serde(default)]
    pub important: bool,
    /// Whether a request may run more than once.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
    /// Longest time from the caller's request to its answer, in ms.
    pub deadline_ms: u64,
    /// Extra attempts that one client request may cause over its whole chain.
    #[serde(default = "default_retries")]
    pub retries: u32,
}

pub(crate) fn default_repeatable() -> bool {
    true
}

pub(crate) fn default_retries() -> u32 {
    3
}

impl Class {
    /// Longest time from the caller's request to its answer.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

/// A path through the services and the requests that take it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Chain {
    /// Name of the chain.
    pub name: ChainName,
    /// Owner of this object.
    pub owner: OwnerName,
    /// Class of the requests that take it.
    pub class: ClassName,
    /// Service that receives the requests of callers.
    pub entry: ServiceName,
    /// Method of the requests that take it.
    pub method: String,
    /// Path prefix of the requests that take it; the longest match wins.
    pub path: String,
    /// Services that each service calls.
    #[serde(default)]
    pub calls: BTreeMap<ServiceName, Vec<ServiceName>>,
}

impl Chain {
    /// All services on the chain, the entry first, each once.
    pub fn services(&self) -> Vec<ServiceName> {
        let mut found = vec![self.entry.clone()];
        let mut next = 0;
        while next < found.len() {
            for name in self.calls.get(&found[next]).into_iter().flatten() {
                if !found.contains(name) {
                    found.push(name.clone());
                }
            }
            next += 1;
        }
        found
    }
}

/// A ceiling on what one class may use of each upstream of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Name of the limit.
    pub name: LimitName,
    /// Owner of this object.
    pub owner: OwnerName,
    /// Service that it applies to.
    pub service: ServiceName,
    /// Class that it applies to.
    pub class: ClassName,
    /// Requests of the class in flight at once on one upstream.
    pub in_flight: u32,
}

/// Any object, as written in a file with a `kind` field.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind")]
pub enum Object {
    /// An organisational unit that owns objects.
    Owner(Owner),
    /// An installation of the system.
    Deployment(Deployment),
    /// A service.
    Service(Service),
    /// An upstream.
    Upstream(Upstream),
    /// A request class.
    Class(Class),
    /// A chain.
    Chain(Chain),
    /// A limit.
    Limit(Limit),
}

/// The kinds of objects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// An organisational unit that owns objects.
    Owner,
    /// An installation of the system.
    Deployment,
    /// A service.
    Service,
    /// An upstream.
    Upstream,
    /// A request class.
    Class,
    /// A chain.
    Chain,
    /// A limit.
    Limit,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 7] = [
        Self::Owner,
        Self::Deployment,
        Self::Service,
        Self::Upstream,
        Self::Class,
        Self::Chain,
        Self::Limit,
    ];

    /// The text of the `kind` field.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Owner => "Owner",
            Self::Deployment => "Deployment",
            Self::Service => "Service",
            Self::Upstream => "Upstream",
            Self::Class => "Class",
            Self::Chain => "Chain",
            Self::Limit => "Limit",
        }
    }

    /// The word used in messages.
    pub fn noun(self) -> &'static str {
        match self {
            Self::Owner => "owner",
            Self::Deployment => "deployment",
            Self::Service => "service",
            Self::Upstream => "upstream",
            Self::Class => "class",
            Self::Chain => "chain",
            Self::Limit => "limit",
        }
    }
}

impl Object {
    /// The kind of the object.
    pub fn kind(&self) -> Kind {
        match self {
            Self::Owner(_) => Kind::Owner,
            Self::Deployment(_) => Kind::Deployment,
            Self::Service(_) => Kind::Service,
            Self::Upstream(_) => Kind::Upstream,
            Self::Class(_) => Kind::Class,
            Self::Chain(_) => Kind::Chain,
            Self::Limit(_) => Kind::Limit,
        }
    }

    /// The name of the object.
    pub fn name(&self) -> &str {
        match self {
            Self::Owner(o) => o.name.as_str(),
            Self::Deployment(o) => o.name.as_str(),
            Self::Service(o) => o.name.as_str(),
            Self::Upstream(o) => o.name.as_str(),
            Self::Class(o) => o.name.as_str(),
            Self::Chain(o) => o.name.as_str(),
            Self::Limit(o) => o.name.as_str(),
        }
    }

    /// The owner of the object; an `Owner` object owns itself.
    pub fn owner(&self) -> &OwnerName {
        match self {
            Self::Owner(o) => &o.name,
            Self::Deployment(o) => &o.owner,
            Self::Service(o) => &o.owner,
            Self::Upstream(o) => &o.owner,
            Self::Class(o) => &o.owner,
            Self::Chain(o) => &o.owner,
            Self::Limit(o) => &o.owner,
        }
    }
}
