//! What an explanation of the choice shows of an upstream.

use std::time::Duration;

use tokio::time::Instant;

use super::{Entry, Load};

impl Entry {
    /// The last reported load, also if it is too old to be used, and the time since the report.
    pub(in crate::state::upstream) fn last_report(&self, now: Instant) -> Option<(Load, Duration)> {
        let (load, _, at) = self.report?;
        Some((load, now.saturating_duration_since(at)))
    }
}
