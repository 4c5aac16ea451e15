//! Admission levels reported by other nodes.

use std::time::Duration;

use tokio::time::Instant;

use super::super::priority::Level;

/// Time over which the reports of all upstreams are combined, so that one overloaded upstream does
/// not cause refusals for the whole service.
const REPORT_WINDOW: Duration = Duration::from_millis(100);
/// Age of the last report from which a level is relaxed.
const LEVEL_TTL: Duration = Duration::from_millis(500);
/// Interval between the steps that relax a level.
const RELAX_INTERVAL: Duration = Duration::from_millis(50);
/// Size of the first step: half the priority range of one importance. The size doubles with each
/// step, so that a stale level admits every request after about 450 ms.
const FIRST_STEP: u64 = 1 << 23;

/// The level of a report of this age. A stale level is raised in steps until it admits every
/// request.
pub fn relaxed(level: Level, age: Duration) -> Level {
    let Some(excess) = age.checked_sub(LEVEL_TTL) else {
        return level;
    };
    let steps = (excess.as_millis() / RELAX_INTERVAL.as_millis()).min(32);
    let raised = u64::from(level.0) + FIRST_STEP * ((1 << steps) - 1);
    Level(raised.min(u64::from(u32::MAX)) as u32)
}

/// Whether a report of this age is not stale yet, so that its level is not relaxed.
pub fn is_recent(age: Duration) -> bool {
    age < LEVEL_TTL
}

/// Admission level of one service, combined from the reports of all its upstreams.
///
/// The highest report of the last 100 to 200 ms counts: the level rises at once, and falls only
/// when all recent reports are lower.
#[derive(Debug, Clone, Copy)]
pub struct ReportedLevel {
    current: Level,
    previous: Option<Level>,
    window_start: Instant,
    reported_at: Instant,
}

impl ReportedLevel {
    /// Creates the level of a first report.
    pub fn new(level: Level, now: Instant) -> Self {
        Self {
            current: level,
            previous: None,
            window_start: now,
            reported_at: now,
        }
    }

    /// Adds a report.
    pub fn update(&mut self, level: Level, now: Instant) {
        let age = now.saturating_duration_since(self.window_start);
        if age >= REPORT_WINDOW {
            self.previous = (age < 2 * REPORT_WINDOW).then_some(self.current);
            (self.current, self.window_start) = (level, now);
        }
        self.current = self.current.max(level);
        self.reported_at = now;
    }

    /// Whether the last report is not stale yet, so that the level is not relaxed.
    pub fn is_recent(&self, now: Instant) -> bool {
        is_recent(self.age(now))
    }

    /// Time since the last report.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.reported_at)
    }

    /// The current level, relaxed when the last report is stale.
    pub fn level(&self, now: Instant) -> Level {
        let level = self.previous.map_or(self.current, |p| p.max(self.current));
        relaxed(level, self.age(now))
    }
}

#[cfg(test)]
mod tests;
