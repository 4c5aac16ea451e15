//! Settings of one node process.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::id::{RegionName, ServiceName, UpstreamName, ZoneName};

/// Settings of one node process, read from a YAML file when it starts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the upstream that this node is part of.
    pub name: UpstreamName,
    /// Service of the backend server beside it.
    pub service: ServiceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
    /// Listener for calls from external callers.
    pub public: SocketAddr,
    /// Listener for calls from other nodes.
    pub peer: SocketAddr,
    /// Listener for control messages.
    pub control: SocketAddr,
    /// Listener for calls from the backend server to other services.
    pub egress: SocketAddr,
    /// Listener for requests of the state dump.
    pub admin: SocketAddr,
    /// Address of the backend server.
    pub server: SocketAddr,
    /// Address of the configuration service.
    pub configuration: SocketAddr,
    /// Address of the instance list.
    pub instances: SocketAddr,
    /// Control addresses of the nodes that are asked for the configuration at the start.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random number generator; chosen at random when absent.
    ///
    /// It is not read from the file, because the incarnation and the ticket secret are derived from
    /// it: a process started twice with the same seed would accept tickets of its earlier run.
    #[serde(skip)]
    pub seed: Option<u64>,
    /// Settings of the log.
    #[serde(default)]
    pub log: Log,
    /// Address that metrics are sent to in the statsd format; not sent when absent.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// Settings of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Lowest severity that is written: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// Format of the lines.
    pub format: LogFormat,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            level: "info".to_owned(),
            format: LogFormat::Text,
        }
    }
}

/// Format of the log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// `key=value` pairs.
    Text,
    /// One JSON object per line.
    Json,
}
