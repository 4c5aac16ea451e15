//! Upstreams of one service, with the measurements of this node.

use std::{fmt, str::FromStr};

use super::{Error, Result, id::UpstreamName};

mod class_times;
mod considered;
mod entry;
mod meter;
mod row;
mod service_time;
mod subset;
mod table;

pub use considered::{Considered, Obstacle};
pub use meter::ServiceTimeMeter;
pub use row::{Standing, UpstreamStatus};
pub use service_time::{Pace, ServiceTime};
pub use subset::SUBSET_THRESHOLD;
pub use table::UpstreamTable;

/// How an attempt at an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// With a response.
    Answered,
    /// Refused by an upstream that states that it did not run the request.
    NotRun,
    /// The connection was lost after the request was sent.
    Lost,
    /// The attempt exceeded its time limit.
    TimedOut,
    /// No connection could be opened; nothing was sent.
    Unreachable,
    /// Cancelled by the caller or the deadline.
    Cancelled,
}

/// State of an upstream in the instance list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedState {
    /// In service.
    Live,
    /// About to be taken out of service.
    Leaving,
}

/// One entry of the instance list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListEntry {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// State of the upstream.
    pub state: ListedState,
}

/// Load of one upstream. Its text form is `in_flight/limit/queued`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Calls in flight at its backend server.
    pub in_flight: u32,
    /// Concurrency limit of its backend server.
    pub limit: u32,
    /// Calls in the queue of its gate.
    pub queued: u32,
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.in_flight, self.limit, self.queued)
    }
}

impl FromStr for Load {
    type Err = Error;

    /// ```
    /// use comfreybay::state::upstream::Load;
    /// let load: Load = "3/10/0".parse().unwrap();
    /// assert_eq!(load.to_string(), "3/10/0");
    /// assert!("3/10".parse::<Load>().is_err());
    /// ```
    fn from_str(text: &str) -> Result<Self> {
        let fault = || Error::Number {
            what: "load",
            text: text.chars().take(64).collect(),
        };
        let mut parts = text.split('/').map(|p| p.parse().ok());
        let mut next = || parts.next().flatten().ok_or_else(fault);
        let load = Self {
            in_flight: next()?,
            limit: next()?,
            queued: next()?,
        };
        parts.next().is_none().then_some(load).ok_or_else(fault)
    }
}
