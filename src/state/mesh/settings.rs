//! Settings of a node on a platform.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use thiserror::Error;

use super::window::Budget;
use crate::state::id::{ServiceName, UpstreamName, ZoneName};

/// Limits that the platform imposes on its nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlatformBounds {
    /// Time within which nodes stop sending requests to a draining server.
    pub drain: Duration,
    /// Time from the stop signal to the end of the process.
    pub grace: Duration,
    /// Budget of extra arrivals at a service, over all nodes.
    pub budget: Budget,
}

/// Settings of one node process.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the node.
    pub name: UpstreamName,
    /// Service of the backend server beside it.
    pub service: ServiceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Listener for callers on this instance, including the backend server.
    pub outbound: SocketAddr,
    /// Listener for other nodes.
    pub inbound: SocketAddr,
    /// Listener for readiness checks.
    pub ready: SocketAddr,
    /// Address of the backend server.
    pub server: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Listener for counters, histograms and the state dump.
    pub metrics: Option<SocketAddr>,
    /// Limits that the platform imposes.
    pub bounds: PlatformBounds,
}

/// An error in the settings.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
#[error("could not accept the settings: {0}")]
pub struct InvalidSettings(pub String);

/// Result of checking settings.
pub type Result<T, E = InvalidSettings> = std::result::Result<T, E>;

impl Settings {
    /// Checks the settings as one set.
    ///
    /// # Errors
    /// An address has port 0, or two addresses are the same.
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
            return Err(InvalidSettings(format!(
                "address {at} has port 0, expected 1 to 65535"
            )));
        }
        let distinct: BTreeSet<_> = all.iter().collect();
        if distinct.len() < all.len() {
            return Err(InvalidSettings(
                "two addresses are the same, expected distinct ones".to_owned(),
            ));
        }
        Ok(self)
    }
}
