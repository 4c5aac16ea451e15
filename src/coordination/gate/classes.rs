//! Use and expected time of each class at one gate.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use crate::state::{id::ClassName, object::Limit};

/// Classes with a learned time; others are admitted without one.
const CLASSES_MAX: usize = 256;
/// Weight of a new sample.
const WEIGHT: f64 = 0.1;
/// Without samples the expected time halves in each such interval, so that a class whose calls
/// were all refused is tried again.
const HALVING_S: f64 = 0.25;

#[derive(Debug, Default)]
struct Class {
    used: u32,
    most: Option<u32>,
    learned: Option<(f64, Instant)>,
}

/// Calls admitted or waiting, the ceiling of `Limit` objects, and the time that calls take.
#[derive(Debug, Default)]
pub(super) struct Classes {
    classes: BTreeMap<ClassName, Class>,
}

impl Classes {
    /// Takes over the limits of the service.
    pub(super) fn apply(&mut self, limits: &[Limit]) {
        self.classes
            .values_mut()
            .for_each(|class| class.most = None);
        for limit in limits {
            let class = self.classes.entry(limit.class.clone()).or_default();
            // Of several limits on one class, the lowest holds.
            class.most = Some(
                class
                    .most
                    .map_or(limit.in_flight, |m| m.min(limit.in_flight)),
            );
        }
        self.classes.retain(|_, c| c.used > 0 || c.most.is_some());
    }

    /// Whether the class uses all that its limits grant; waiting calls count as used.
    pub(super) fn is_full(&self, class: &ClassName) -> bool {
        let class = self.classes.get(class);
        class.is_some_and(|c| c.most.is_some_and(|most| c.used >= most))
    }

    pub(super) fn take(&mut self, class: &ClassName) {
        match self.classes.get_mut(class) {
            Some(class) => class.used += 1,
            None => self.insert(class),
        }
    }

    pub(super) fn release(&mut self, class: &ClassName) {
        if let Some(class) = self.classes.get_mut(class) {
            class.used = class.used.saturating_sub(1);
        }
    }

    /// Learns from a call that was answered.
    pub(super) fn took(&mut self, class: &ClassName, time: Duration, now: Instant) {
        let Some(class) = self.classes.get_mut(class) else {
            return;
        };
        let time = time.as_secs_f64();
        let known = class.learned.map_or(time, |(known, _)| known);
        class.learned = Some((known + WEIGHT * (time - known), now));
    }

    /// Learns from a call that was cancelled: it would have taken longer.
    pub(super) fn ran_at_least(&mut self, class: &ClassName, time: Duration, now: Instant) {
        let learned = self.classes.get(class).and_then(|c| c.learned);
        if learned.is_some_and(|(known, _)| time.as_secs_f64() > known) {
            self.took(class, time, now);
        }
    }

    /// The time that a call of the class is expected to take.
    pub(super) fn expected(&self, class: &ClassName, now: Instant) -> Duration {
        let Some((known, at)) = self.classes.get(class).and_then(|c| c.learned) else {
            return Duration::ZERO;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        Duration::from_secs_f64(known * 0.5_f64.powi((age / HALVING_S) as i32))
    }

    /// Adds a class; when the table is full, one that is unused and unlimited makes room.
    fn insert(&mut self, class: &ClassName) {
        if self.classes.len() >= CLASSES_MAX {
            let idle = self
                .classes
                .iter()
                .find(|(_, c)| c.used == 0 && c.most.is_none());
            let Some(idle) = idle.map(|(name, _)| name.clone()) else {
                return;
            };
            self.classes.remove(&idle);
        }
        let used = Class {
            used: 1,
            ..Class::default()
        };
        self.classes.insert(class.clone(), used);
    }
}
