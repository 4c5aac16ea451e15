//! Settings of a node on a platform.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use thiserror::Error;

use super::window::Budget;
use crate::state::id::{ServiceName, UpstreamName, ZoneName};

/// Bounds that the platform sets on the system.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlatformBounds {
    /// Time after which a leaving server gets no more work.
    pub drain: Duration,
    /// Time between the signal to stop and the end of the process.
    pub grace: Duration,
    /// Extra arrivals at a service over all nodes.
    pub budget: Budget,
}

/// Settings of one node process.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the node.
    pub name: UpstreamName,
    /// Service of the backend server beside it.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Listener for callers on this instance, the backend server among them.
    pub outbound: SocketAddr,
    /// Listener for other nodes.
    pub inbound: SocketAddr,
    /// Listener for questions whether the node is ready.
    pub ready: SocketAddr,
    /// The backend server.
    pub server: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// Listener for counters, histograms and the state dump.
    pub metrics: Option<SocketAddr>,
    /// Bounds that the platform sets.
    pub bounds: PlatformBounds,
}

/// A fault of the settings.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
#[error("could not accept the settings: {0}")]
pub struct InvalidSettings(pub String);

/// Result of checking settings.
pub type Result<T, E = InvalidSettings> = std::result::Result<T, E>;

impl Settings {
    /// Checks the settings as one set.
    ///
    /// # Errors
    /// Two listeners have the same address, or an address has no port.
    pub fn checked(self) -> Result<Self> {
        let mut all = vec![
            self.outbound,
            self.inbound,
            self.ready,
            self.server,
            self.store,
        ];
        all.extend(self.metrics);
        if let Some(at) = all.iter().find(|a| a.port() == 0) {
            return Err(InvalidSettings(format!("address {at} has no port")));
        }
        let distinct: BTreeSet<_> = all.iter().collect();
        if distinct.len() < all.len() {
            return Err(InvalidSettings("two addresses are the same".to_owned()));
        }
        Ok(self)
    }
}
