//! The services that requests of each class lead to, and their admission levels.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use crate::state::{
    id::{ClassName, ServiceName},
    level::{Levels, ReportedLevel},
    priority::{Level, Priority},
};

/// Largest number of classes whose levels are kept; a configuration has fewer.
const CLASSES_MAX: usize = 4_096;

/// An admission level that excludes a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Excluded {
    /// Service that would refuse the request.
    pub service: ServiceName,
    /// Admission level of the service.
    pub level: Level,
    /// Time since the last answer that reported it.
    pub age: Duration,
}

/// Admission levels by class and service, as reported in the answers to requests of the class.
///
/// A node keeps two of these. One is for requests that originate at its instance and decides which
/// of them are refused; the other is for the calls of its backend server and is reported in its own
/// answers. If the first were reported too, two nodes that send each other requests of one class
/// would repeat an old level to each other forever.
#[derive(Debug, Default)]
pub struct DownstreamLevels {
    classes: BTreeMap<ClassName, BTreeMap<ServiceName, ReportedLevel>>,
}

impl DownstreamLevels {
    /// Records the levels reported in an answer by a node of service `from` to a request of a
    /// class.
    ///
    /// The node's own level is that of one of several upstreams, so the reports of all of them are
    /// combined. Levels that it passes on have been combined already. Combining them again would
    /// delay a lower level at each node on its way.
    pub fn update(&mut self, class: &ClassName, from: &ServiceName, levels: &Levels, now: Instant) {
        if self.classes.len() >= CLASSES_MAX && !self.classes.contains_key(class) {
            return;
        }
        let known = self.classes.entry(class.clone()).or_default();
        for (service, level) in &levels.0 {
            match known.get_mut(service) {
                Some(known) if service == from => known.update(*level, now),
                _ => {
                    known.insert(service.clone(), ReportedLevel::new(*level, now));
                }
            }
        }
    }

    /// The recently reported levels for a class. Older ones are left out: they have begun to
    /// relax, and the receiver would treat them as new reports.
    pub fn recent(&self, class: &ClassName, now: Instant) -> Levels {
        let known = self.classes.get(class).into_iter().flatten();
        let recent = known.filter(|(_, level)| level.is_recent(now));
        Levels(recent.map(|(s, l)| (s.clone(), l.level(now))).collect())
    }

    /// The first service whose level excludes a request of a class.
    ///
    /// ```
    /// use comfreybay::state::{id::RootId, mesh::downstream::DownstreamLevels, priority::Priority};
    /// use tokio::time::Instant;
    /// let (mut levels, now) = (DownstreamLevels::default(), Instant::now());
    /// let class = "order".parse()?;
    /// levels.update(&class, &"deep".parse()?, &"deep=16777216".parse()?, now);
    /// let priority = |importance| Priority::new(importance, false, RootId([1; 16]));
    /// assert_eq!(levels.excluded_by(&class, priority(0), now), None);
    /// let found = levels.excluded_by(&class, priority(2), now).expect("a level below it");
    /// assert_eq!(found.service.as_str(), "deep");
    /// # Ok::<(), comfreybay::state::Error>(())
    /// ```
    pub fn excluded_by(
        &self,
        class: &ClassName,
        priority: Priority,
        now: Instant,
    ) -> Option<Excluded> {
        let known = self.classes.get(class).into_iter().flatten();
        let mut levels = known.map(|(s, l)| (s, l.level(now), l));
        let found = levels.find(|(_, level, _)| !level.admits(priority));
        found.map(|(service, level, known)| Excluded {
            service: service.clone(),
            level,
            age: known.age(now),
        })
    }

    /// The services that requests of a class are known to lead to.
    pub fn services(&self, class: &ClassName) -> impl Iterator<Item = &ServiceName> {
        self.classes.get(class).into_iter().flat_map(BTreeMap::keys)
    }

    /// All levels, by class and service.
    pub fn all(&self, now: Instant) -> impl Iterator<Item = (&ClassName, &ServiceName, Level)> {
        let services = self.classes.iter();
        services.flat_map(move |(class, known)| {
            known.iter().map(move |(s, l)| (class, s, l.level(now)))
        })
    }

    /// Removes all levels. Called when the routes have changed.
    pub fn clear(&mut self) {
        self.classes.clear();
    }
}
