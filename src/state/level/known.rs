//! Levels that other nodes reported.

use std::time::Duration;

use tokio::time::Instant;

use super::super::priority::Level;

/// Reports are combined over this time, so that one overloaded upstream among several does not
/// close a service.
const WINDOW: Duration = Duration::from_millis(100);
/// Time without news after which a level begins to open.
const TTL: Duration = Duration::from_millis(500);
/// Interval between the steps of opening.
const STEP: Duration = Duration::from_millis(50);
/// First step: half of an importance. Each further step doubles the sum, up to open after 450 ms.
const STEP_MIN: u64 = 1 << 23;

/// The level of a report of this age; it opens in steps when no news arrives.
pub fn aged(level: Level, age: Duration) -> Level {
    let Some(over) = age.checked_sub(TTL) else {
        return level;
    };
    let steps = (over.as_millis() / STEP.as_millis()).min(32);
    let raised = u64::from(level.0) + STEP_MIN * ((1 << steps) - 1);
    Level(raised.min(u64::from(u32::MAX)) as u32)
}

/// Whether a report of this age has not begun to open.
pub fn is_recent(age: Duration) -> bool {
    age < TTL
}

/// Level of one service, from the reports of all its upstreams.
///
/// The highest level of the last 100 to 200 ms counts: a level opens at once and closes when all
/// recent reports agree.
#[derive(Debug, Clone, Copy)]
pub struct ReportedLevel {
    current: Level,
    previous: Option<Level>,
    since: Instant,
    heard: Instant,
}

impl ReportedLevel {
    /// The level after a first report.
    pub fn new(level: Level, now: Instant) -> Self {
        Self {
            current: level,
            previous: None,
            since: now,
            heard: now,
        }
    }

    /// Takes over a report.
    pub fn update(&mut self, level: Level, now: Instant) {
        let age = now.saturating_duration_since(self.since);
        if age >= WINDOW {
            self.previous = (age < 2 * WINDOW).then_some(self.current);
            (self.current, self.since) = (level, now);
        }
        self.current = self.current.max(level);
        self.heard = now;
    }

    /// Whether a report arrived a moment ago.
    pub fn is_recent(&self, now: Instant) -> bool {
        is_recent(self.age(now))
    }

    /// Time since the last report.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.heard)
    }

    /// The level now.
    pub fn level(&self, now: Instant) -> Level {
        let level = self.previous.map_or(self.current, |p| p.max(self.current));
        aged(level, self.age(now))
    }
}

#[cfg(test)]
mod tests;
