//! Settings of one node process.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::id::{RegionName, ServiceName, UpstreamName, ZoneName};

/// Settings of one node process, read from a YAML file at its start.
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
    /// Where calls from callers outside are taken.
    pub public: SocketAddr,
    /// Where calls from other nodes are taken.
    pub peer: SocketAddr,
    /// Where control messages are taken.
    pub control: SocketAddr,
    /// Where calls from the backend server to other services are taken.
    pub egress: SocketAddr,
    /// Where the state dump is served.
    pub admin: SocketAddr,
    /// The backend server.
    pub server: SocketAddr,
    /// The configuration service.
    pub configuration: SocketAddr,
    /// The instance list.
    pub instances: SocketAddr,
    /// Control addresses of nodes to ask for the configuration at the start.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random generator, random when absent.
    ///
    /// Not read from the file: the incarnation and the secret of the tickets are drawn from it, so
    /// that a process started twice with one seed would accept tickets of its earlier run.
    #[serde(skip)]
    pub seed: Option<u64>,
    /// Logging.
    #[serde(default)]
    pub log: Log,
    /// Where metrics are sent in the statsd format; not sent when absent.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// Settings of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Lowest level that is written: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// Form of the lines.
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

/// Form of the log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// `key=value` pairs.
    Text,
    /// One JSON object a line.
    Json,
}
