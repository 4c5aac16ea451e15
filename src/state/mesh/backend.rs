//! A backend server as listed by the platform.

use std::{fmt, net::SocketAddr, str::FromStr, time::Duration};

use crate::state::{
    Error, Result,
    id::{Digest, ServiceName, UpstreamName, ZoneName},
};

/// Longest accepted id; keys of the platform's store are no longer than this.
const ID_MAX_BYTES: usize = 200;
/// Hexadecimal digits of the digest used as upstream name if id and start time form no valid name.
const NAME_DIGEST_DIGITS: usize = 32;

/// Id of a backend server. A server may keep it across restarts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceId(std::rc::Rc<str>);

impl InstanceId {
    /// The id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for InstanceId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let is_visible = text.bytes().all(|b| b.is_ascii_graphic());
        if text.is_empty() || text.len() > ID_MAX_BYTES || !is_visible {
            return Err(Error::Name(text.to_owned()));
        }
        Ok(Self(text.into()))
    }
}

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

/// Whether a backend server accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It accepts new requests.
    Ready,
    /// It completes the requests in progress and then stops.
    Draining,
}

/// An entry in the platform's list of backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Id of the server.
    pub id: InstanceId,
    /// Start of this run of the server, in ms of Unix time, if the entry has it.
    pub started_ms: Option<u64>,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address at which its own node connects to it.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub phase: Phase,
    /// How long it stays slow after its start.
    pub warmup: Duration,
}

impl Backend {
    /// The upstream name of this run of the server, made of its id and start time, so that a
    /// restart changes it.
    ///
    /// ```
    /// # use comfreybay::state::mesh::backend::{Backend, Phase};
    /// let backend = Backend {
    ///     id: "i-1".parse()?,
    ///     started_ms: Some(7),
    ///     service: "billing".parse()?,
    ///     address: ([10, 0, 0, 1], 80).into(),
    ///     zone: "kv-a".parse()?,
    ///     slots: 4,
    ///     phase: Phase::Ready,
    ///     warmup: std::time::Duration::ZERO,
    /// };
    /// assert_eq!(backend.name().as_str(), "i-1.7");
    /// # Ok::<(), comfreybay::state::Error>(())
    /// ```
    pub fn name(&self) -> UpstreamName {
        let started_ms = self.started_ms.unwrap_or_default();
        let text = format!("{}.{started_ms}", self.id);
        text.parse().unwrap_or_else(|_| {
            let digest = Digest::of(text.as_bytes()).to_string();
            let short = &digest[..NAME_DIGEST_DIGITS];
            short.parse().expect("hexadecimal digits are a valid name")
        })
    }
}
