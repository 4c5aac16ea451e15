//! Decides when the node leaves service.

use std::{fmt, time::Duration};

use tokio::time::Instant;

/// Time after start during which the instance list may still describe the previous instance of the
/// same name.
const INSTANCE_LIST_LAG_S: u64 = 30;

/// Why the node leaves service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaveReason {
    /// The backend server reports that it is draining.
    Draining,
    /// The instance list reports this instance as leaving.
    Listed,
    /// The process received a request to stop.
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

/// Tracks the signals that make this node leave service.
#[derive(Debug)]
pub struct LeaveTracker {
    start: Instant,
    seen_live: bool,
    reason: Option<LeaveReason>,
}

impl LeaveTracker {
    /// Creates a tracker that has received no signal yet.
    pub fn new(start: Instant) -> Self {
        Self {
            start,
            seen_live: false,
            reason: None,
        }
    }

    /// Why the node leaves; the first reason is kept.
    pub fn reason(&self) -> Option<LeaveReason> {
        self.reason
    }

    fn set_reason(&mut self, reason: LeaveReason) {
        self.reason.get_or_insert(reason);
    }

    /// Records a request to stop the process.
    pub fn request_stop(&mut self) {
        self.set_reason(LeaveReason::Stopped);
    }

    /// Records whether the backend server reports that it is draining.
    pub fn update_draining(&mut self, draining: bool) {
        if draining {
            self.set_reason(LeaveReason::Draining);
        }
    }

    /// Records the entry of this node in the instance list. A leaving entry may belong to the
    /// previous instance of the same name, so it is ignored until the list has shown this instance
    /// as live or `INSTANCE_LIST_LAG_S` has passed since the start.
    pub fn update_listed(&mut self, leaving: bool, now: Instant) {
        if !leaving {
            self.seen_live = true;
            return;
        }
        if self.seen_live || now >= self.start + Duration::from_secs(INSTANCE_LIST_LAG_S) {
            self.set_reason(LeaveReason::Listed);
        }
    }
}
