//! Calls in use and expected duration of each class at one gate.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use crate::state::{id::ClassName, limit::CallEnd, object::Limit};

/// Maximum number of classes whose duration is estimated. Calls of further classes are admitted
/// without an estimate.
const CLASSES_MAX: usize = 256;
/// Weight of a new sample in the moving average of the duration.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Interval without samples in which the expected duration halves, so that a class whose calls were
/// all refused is eventually admitted again.
const HALF_LIFE_S: f64 = 0.25;
/// Time over which the longest duration of a class is kept; calls of the last one to two windows
/// count.
const LONGEST_WINDOW: Duration = Duration::from_secs(30);
/// Margin on the longest duration, as a share of it.
const LONGEST_MARGIN: f64 = 0.1;
/// Further margin if only one call has ended; it shrinks with their number, as the longest of many
/// is rarely exceeded.
const SAMPLE_MARGIN: f64 = 0.5;

#[derive(Debug, Default)]
struct Class {
    in_use: u32,
    limit: Option<u32>,
    estimate: Option<(f64, Instant)>,
    longest: Option<Longest>,
}

/// The longest duration of the calls that have ended in the current window and the one before, and
/// their number.
#[derive(Debug)]
struct Longest {
    current: (Duration, u32),
    previous: (Duration, u32),
    since: Instant,
}

impl Longest {
    fn new(now: Instant) -> Self {
        Self {
            current: (Duration::ZERO, 0),
            previous: (Duration::ZERO, 0),
            since: now,
        }
    }

    fn record(&mut self, duration: Duration, is_answered: bool, now: Instant) {
        let age = now.saturating_duration_since(self.since);
        if age >= LONGEST_WINDOW {
            let is_adjacent = age < 2 * LONGEST_WINDOW;
            self.previous = if is_adjacent {
                self.current
            } else {
                (Duration::ZERO, 0)
            };
            (self.current, self.since) = ((Duration::ZERO, 0), now);
        }
        let (longest, count) = self.current;
        let count = count.saturating_add(is_answered.into());
        self.current = (longest.max(duration), count);
    }

    /// Upper bound on the duration of a new call; `None` if none was answered recently.
    fn bound(&self, now: Instant) -> Option<Duration> {
        if now.saturating_duration_since(self.since) >= 2 * LONGEST_WINDOW {
            return None;
        }
        let longest = self.current.0.max(self.previous.0);
        let count = self.current.1.saturating_add(self.previous.1);
        if count == 0 {
            return None;
        }
        let margin = LONGEST_MARGIN + SAMPLE_MARGIN / f64::from(count);
        Some(longest.mul_f64(1.0 + margin))
    }
}

/// Per class: calls admitted or queued, the maximum set by `Limit` objects, and the duration of
/// calls.
#[derive(Debug, Default)]
pub(super) struct Classes {
    classes: BTreeMap<ClassName, Class>,
}

impl Classes {
    /// Applies the `Limit` objects of the service.
    pub(super) fn apply(&mut self, limits: &[Limit]) {
        self.classes
            .values_mut()
            .for_each(|class| class.limit = None);
        for limit in limits {
            let class = self.classes.entry(limit.class.clone()).or_default();
            // The lowest of several limits on one class applies.
            class.limit = Some(
                class
                    .limit
                    .map_or(limit.in_flight, |m| m.min(limit.in_flight)),
            );
        }
        self.classes
            .retain(|_, c| c.in_use > 0 || c.limit.is_some());
    }

    /// Whether the class has reached its limit; queued calls count as in use.
    pub(super) fn is_full(&self, class: &ClassName) -> bool {
        let class = self.classes.get(class);
        class.is_some_and(|c| c.limit.is_some_and(|limit| c.in_use >= limit))
    }

    pub(super) fn acquire(&mut self, class: &ClassName) {
        match self.classes.get_mut(class) {
            Some(class) => class.in_use += 1,
            None => self.insert(class),
        }
    }

    pub(super) fn release(&mut self, class: &ClassName) {
        if let Some(class) = self.classes.get_mut(class) {
            class.in_use = class.in_use.saturating_sub(1);
        }
    }

    /// Updates the longest duration from a call that has ended. A cancelled call would have taken
    /// longer, so it does not count as a sample.
    pub(super) fn record_longest(
        &mut self,
        class: &ClassName,
        duration: Duration,
        end: CallEnd,
        now: Instant,
    ) {
        let is_answered = match end {
            CallEnd::Answered => true,
            CallEnd::Cancelled => false,
            CallEnd::Shed | CallEnd::Lost => return,
        };
        let Some(class) = self.classes.get_mut(class) else {
            return;
        };
        let longest = class.longest.get_or_insert_with(|| Longest::new(now));
        longest.record(duration, is_answered, now);
    }

    /// Upper bound on the duration of a call of the class, from recent ones; `None` if unknown.
    pub(super) fn max_duration(&self, class: &ClassName, now: Instant) -> Option<Duration> {
        let longest = self.classes.get(class)?.longest.as_ref()?;
        longest.bound(now)
    }

    /// Updates the expected duration from a call that was answered.
    pub(super) fn record_duration(&mut self, class: &ClassName, duration: Duration, now: Instant) {
        let Some(class) = self.classes.get_mut(class) else {
            return;
        };
        let duration = duration.as_secs_f64();
        let mean = class.estimate.map_or(duration, |(mean, _)| mean);
        class.estimate = Some((mean + SAMPLE_WEIGHT * (duration - mean), now));
    }

    /// Updates the expected duration from a cancelled call. The call would have taken longer, so a
    /// time below the current estimate is ignored.
    pub(super) fn record_minimum(&mut self, class: &ClassName, duration: Duration, now: Instant) {
        let estimate = self.classes.get(class).and_then(|c| c.estimate);
        if estimate.is_some_and(|(mean, _)| duration.as_secs_f64() > mean) {
            self.record_duration(class, duration, now);
        }
    }

    /// Expected duration of a call of the class; zero if unknown.
    pub(super) fn expected_duration(&self, class: &ClassName, now: Instant) -> Duration {
        let Some((mean, at)) = self.classes.get(class).and_then(|c| c.estimate) else {
            return Duration::ZERO;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        Duration::from_secs_f64(mean * 0.5_f64.powi((age / HALF_LIFE_S) as i32))
    }

    /// Adds a class with one call in use. When the table is full, a class with neither calls in use
    /// nor a limit is removed; if there is none, the new class is not tracked.
    fn insert(&mut self, class: &ClassName) {
        if self.classes.len() >= CLASSES_MAX {
            let idle = self
                .classes
                .iter()
                .find(|(_, c)| c.in_use == 0 && c.limit.is_none());
            let Some(idle) = idle.map(|(name, _)| name.clone()) else {
                return;
            };
            self.classes.remove(&idle);
        }
        let class_in_use = Class {
            in_use: 1,
            ..Class::default()
        };
        self.classes.insert(class.clone(), class_in_use);
    }
}
