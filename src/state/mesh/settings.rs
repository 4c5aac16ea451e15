//! Settings of a node on a platform.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use thiserror::Error;

use super::{quota::QuotaBounds, window::Budget};
use crate::state::{
    id::{ServiceName, UpstreamName, ZoneName},
    memory::ProcessLimits,
};

/// Limits that the platform imposes on its nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlatformBounds {
    /// Time within which nodes stop sending requests to a draining server.
    pub drain: Duration,
    /// Time from the stop signal to the end of the process.
    pub grace: Duration,
    /// Budget of extra arrivals at a service, over all nodes.
    pub budget: Budget,
    /// Bounds on what all nodes together serve of an organisation.
    pub quota: QuotaBounds,
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
    /// Limits that the machine imposes on the process.
    pub limits: ProcessLimits,
    /// Whether servers are chosen by expected delay where they report their load; otherwise by load.
    pub select_by_delay: bool,
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

    /// Checks that a running node can take over `changed` settings: only the store's address, the
    /// bounds and the choice by expected delay may differ.
    ///
    /// # Errors
    /// Another setting differs.
    pub fn check_reload(&self, changed: &Self) -> Result<()> {
        let texts = |s: &Self| {
            [
                ("the node's name", s.name.to_string()),
                ("the service", s.service.to_string()),
                ("the zone", s.zone.to_string()),
                ("the outbound address", s.outbound.to_string()),
                ("the inbound address", s.inbound.to_string()),
                ("the ready address", s.ready.to_string()),
                ("the server's address", s.server.to_string()),
                ("the metrics address", format!("{:?}", s.metrics)),
                ("the limits of the process", format!("{:?}", s.limits)),
            ]
        };
        let pairs = texts(self).into_iter().zip(texts(changed));
        let mut differing = pairs.filter(|((_, old), (_, new))| old != new);
        match differing.next() {
            Some(((field, old), (_, new))) => Err(InvalidSettings(format!(
                "{field} changes from {old} to {new}, which needs a restart of the node"
            ))),
            None => Ok(()),
        }
    }
}
