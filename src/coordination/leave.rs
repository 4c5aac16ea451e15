//! Decides when a node leaves.

use std::{fmt, time::Duration};

use tokio::time::Instant;

/// Time from the start in which the instance list may still describe the instance before this one
/// under the same name.
const LIST_LAG_S: u64 = 30;

/// Why a node leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaveReason {
    /// The backend server reports that it is draining.
    Draining,
    /// The instance list says that the instance is leaving.
    Listed,
    /// The process was told to stop.
    Stopped,
}

impl fmt::Display for LeaveReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Draining => "the backend server reports draining",
            Self::Listed => "the instance list says leaving",
            Self::Stopped => "the process was told to stop",
        })
    }
}

/// Evidence on whether this node is to leave.
#[derive(Debug)]
pub struct LeaveTracker {
    start: Instant,
    listed_live: bool,
    reason: Option<LeaveReason>,
}

impl LeaveTracker {
    /// No evidence yet.
    pub fn new(start: Instant) -> Self {
        Self {
            start,
            listed_live: false,
            reason: None,
        }
    }

    /// Why the node leaves; the first reason stays.
    pub fn reason(&self) -> Option<LeaveReason> {
        self.reason
    }

    fn set(&mut self, reason: LeaveReason) {
        self.reason.get_or_insert(reason);
    }

    /// The process was told to stop.
    pub fn request_stop(&mut self) {
        self.set(LeaveReason::Stopped);
    }

    /// The backend server reported.
    pub fn update_draining(&mut self, draining: bool) {
        if draining {
            self.set(LeaveReason::Draining);
        }
    }

    /// The instance list showed this node. An entry that says leaving counts only once the list
    /// has shown this instance as live, or after the list's lag: it may be an older instance's.
    pub fn listed(&mut self, leaving: bool, now: Instant) {
        if !leaving {
            self.listed_live = true;
            return;
        }
        if self.listed_live || now >= self.start + Duration::from_secs(LIST_LAG_S) {
            self.set(LeaveReason::Listed);
        }
    }
}
