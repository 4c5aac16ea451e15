//! One backend server as the platform lists it.

use std::{fmt, net::SocketAddr, str::FromStr, time::Duration};

use crate::state::{
    Error, Result,
    id::{Digest, ServiceName, UpstreamName, ZoneName},
};

/// Longest id that is accepted; a key of the platform's store is not longer.
const ID_MAX_BYTES: usize = 200;
/// Bytes of a digest that stand for an id which is no name of an upstream.
const DIGEST_CHARS: usize = 32;

/// Id of a backend server. A server that starts again may keep it.
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
        let visible = text.bytes().all(|b| b.is_ascii_graphic());
        if text.is_empty() || text.len() > ID_MAX_BYTES || !visible {
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

/// Whether a backend server takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It takes new work.
    Ready,
    /// It finishes its work and stops.
    Draining,
}

/// An entry of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Its id.
    pub id: InstanceId,
    /// When this run of the server started, in ms of Unix time, if the entry says so.
    pub started_ms: Option<u64>,
    /// Its service.
    pub service: ServiceName,
    /// Where its own node reaches it.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it takes new work.
    pub phase: Phase,
    /// How long it stays slow after its start.
    pub warmup: Duration,
}

impl Backend {
    /// The name under which this run of the server is routed to. A restart changes it.
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
        let born = self.started_ms.unwrap_or_default();
        let text = format!("{}.{born}", self.id);
        text.parse().unwrap_or_else(|_| {
            let digest = Digest::of(text.as_bytes()).to_string();
            let short = &digest[..DIGEST_CHARS];
            short.parse().expect("hexadecimal digits are a name")
        })
    }
}
