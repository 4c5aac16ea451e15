//! Upstreams of one service and the choice among them.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use tokio::time::Instant;

use super::{
    super::{
        id::{UpstreamName, ZoneName},
        object::Upstream,
        priority::{Level, Priority},
    },
    AttemptEnd, ListEntry, ListedState, Load, UpstreamStatus,
    entry::{Entry, Listing},
    subset::{SUBSET_ABOVE, subset},
};

/// Share of a service that may vanish from the instance list at once before the list is doubted.
const VANISHED_PERCENT: usize = 30;
const DISTRUST: Duration = Duration::from_secs(30);
/// Interval at which statements that expire are looked at again.
const REVIEW: Duration = Duration::from_secs(1);
/// Interval at which the zones are compared; between, all choices use the same comparison.
const COMPARE: Duration = Duration::from_millis(5);
/// Calls per slot by which the own zone may exceed the others before calls spill over.
const SPILL_MARGIN: f64 = 0.1;

/// Upstreams of one service, with this node's own measurements.
#[derive(Debug)]
pub struct UpstreamTable {
    own: UpstreamName,
    zone: ZoneName,
    /// Sorted by name.
    entries: Vec<Entry>,
    /// Those that calls may go to; a subset in a large service.
    active: Vec<usize>,
    reviewed: Option<Instant>,
    distrusted_until: Option<Instant>,
    compared: Option<Instant>,
    /// Lowest latency when last compared.
    best: f64,
    /// Whether the own zone was loaded more than the others when last compared.
    spills: bool,
    examined: u64,
}

impl UpstreamTable {
    /// An empty table of the node of `own` in `zone`.
    pub fn new(own: UpstreamName, zone: ZoneName) -> Self {
        Self {
            own,
            zone,
            entries: Vec::new(),
            active: Vec::new(),
            reviewed: None,
            distrusted_until: None,
            compared: None,
            best: f64::INFINITY,
            spills: false,
            examined: 0,
        }
    }

    /// Takes over the configured upstreams; those already known keep their measurements, and
    /// later additions start slowly.
    pub fn apply(&mut self, upstreams: &[Upstream], now: Instant) {
        let ramp_from = (!self.entries.is_empty()).then_some(now);
        let mut known = std::mem::take(&mut self.entries);
        for upstream in upstreams.iter().filter(|u| u.name != self.own) {
            let at = known.binary_search_by(|e| e.upstream.name.cmp(&upstream.name));
            let entry = match at {
                Ok(at) if *known[at].upstream == *upstream => known.remove(at),
                Ok(at) => {
                    let mut entry = known.remove(at);
                    entry.upstream = Rc::new(upstream.clone());
                    entry.is_local = upstream.zone == self.zone;
                    entry
                }
                Err(_) => {
                    let is_local = upstream.zone == self.zone;
                    Entry::new(Rc::new(upstream.clone()), is_local, ramp_from)
                }
            };
            self.entries.push(entry);
        }
        self.entries
            .sort_by(|a, b| a.upstream.name.cmp(&b.upstream.name));
        self.select();
    }

    /// Chooses an upstream that was not tried and starts an attempt at it.
    pub fn pick(
        &mut self,
        priority: Priority,
        tried: &BTreeSet<UpstreamName>,
        rng: &mut fastrand::Rng,
        now: Instant,
    ) -> Option<Rc<Upstream>> {
        if self.reviewed.is_none_or(|at| now >= at + REVIEW) {
            self.review(now);
        }
        let candidates = self.candidates(priority, tried, now);
        if self.compared.is_none_or(|at| now >= at + COMPARE) {
            self.compare(&candidates, now);
        }
        let best = self.best;
        let at = match *self.spread(&candidates) {
            [] => return None,
            [only] => only,
            ref some => {
                let first = rng.usize(..some.len());
                let second = (first + rng.usize(1..some.len())) % some.len();
                let (first, second) = (some[first], some[second]);
                match self.score(first, best, now) <= self.score(second, best, now) {
                    true => first,
                    false => second,
                }
            }
        };
        self.entries[at].started();
        Some(self.entries[at].upstream.clone())
    }

    /// All upstreams, as the state dump tells them.
    pub fn statuses(&self, now: Instant) -> Vec<UpstreamStatus> {
        let entries = self.entries.iter().enumerate();
        let row =
            |(at, entry): (usize, &Entry)| entry.row(self.active.contains(&at), self.best, now);
        entries.map(row).collect()
    }

    /// The upstreams that are ejected now.
    pub fn ejected(&self, now: Instant) -> impl Iterator<Item = &UpstreamName> {
        let ejected = self.entries.iter().filter(move |e| e.is_ejected(now));
        ejected.map(|e| &e.upstream.name)
    }

    /// Number of upstreams known.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether the instance list is not believed, because too much of the service vanished.
    pub fn is_list_distrusted(&self, now: Instant) -> bool {
        self.distrusted_until.is_some_and(|until| now < until)
    }

    /// Records the end of an attempt.
    pub fn record_end(
        &mut self,
        name: &UpstreamName,
        attempt: AttemptEnd,
        took: Duration,
        now: Instant,
    ) {
        if let Some(entry) = self.get_mut(name) {
            entry.record_end(attempt, took, now);
        }
    }

    /// Takes over the load and level that an upstream reported.
    pub fn update_load(&mut self, name: &UpstreamName, load: Load, level: Level, now: Instant) {
        if let Some(entry) = self.get_mut(name) {
            entry.update_load(load, level, now);
        }
    }

    /// Notes that an upstream said it is leaving, or that it is back.
    pub fn set_leaving(&mut self, name: &UpstreamName, leaving: bool, now: Instant) {
        if let Some(entry) = self.get_mut(name) {
            entry.set_leaving(leaving, now);
            self.review(now);
        }
    }

    /// Notes whether connections to an upstream can be opened.
    pub fn set_reachable(&mut self, name: &UpstreamName, reachable: bool, now: Instant) {
        if let Some(entry) = self.get_mut(name) {
            entry.set_reachable(reachable, now);
        }
    }

    /// Notes whether the node of an upstream serves but is about to stop.
    pub fn set_retiring(&mut self, name: &UpstreamName, retiring: bool, now: Instant) {
        if let Some(entry) = self.get_mut(name) {
            entry.set_retiring(retiring, now);
        }
    }

    /// The upstreams to which no connection could be opened a moment ago.
    pub fn unreachable(&self, now: Instant) -> impl Iterator<Item = &Rc<Upstream>> {
        let some = self.entries.iter().filter(move |e| e.is_unreachable(now));
        some.map(|e| &e.upstream)
    }

    /// Takes over the instance list.
    ///
    /// When a large part of the service vanishes at once, the absences are ignored for a time.
    pub fn update_list(&mut self, listed: &[ListEntry], now: Instant) {
        let mut listed: Vec<_> = listed.iter().collect();
        listed.sort_by(|a, b| a.name.cmp(&b.name));
        let said = |entry: &Entry| {
            let at = listed.binary_search_by(|l| l.name.cmp(&entry.upstream.name));
            match at.map(|at| listed[at].state) {
                Ok(ListedState::Live) => Listing::Live,
                Ok(ListedState::Leaving) => Listing::Leaving,
                Err(_) => Listing::Absent,
            }
        };
        let vanishes = |e: &&Entry| e.listing != Listing::Absent && said(e) == Listing::Absent;
        let vanished = self.entries.iter().filter(vanishes).count();
        let is_large = vanished * 100 > self.entries.len() * VANISHED_PERCENT;
        self.distrusted_until = match self.distrusted_until {
            None if is_large => Some(now + DISTRUST),
            // Absences that last are believed in the end; removal still needs failed connections.
            Some(until) if is_large && now < until => Some(until),
            _ => None,
        };
        let is_trusted = self.distrusted_until.is_none();
        for entry in &mut self.entries {
            let listing = said(entry);
            if listing != Listing::Absent || is_trusted {
                entry.listing = listing;
            }
        }
        self.review(now);
    }

    /// Drops what was reported, after the process was paused.
    pub fn forget(&mut self, now: Instant) {
        self.entries.iter_mut().for_each(Entry::forget);
        self.distrusted_until = None;
        self.review(now);
    }

    /// The highest level among the usable upstreams; `None` until each has reported one.
    pub fn level(&self, now: Instant) -> Option<Level> {
        let mut usable = self.active.iter().map(|at| &self.entries[*at]);
        let is_out = |e: &Entry| e.is_ejected(now) || e.is_unreachable(now);
        let highest = usable.try_fold(None, |highest, entry| match is_out(entry) {
            true => Some(highest),
            false => Some(highest.max(Some(entry.level(now)?))),
        });
        highest.flatten()
    }

    /// The highest level among the recent reports.
    pub fn recent_level(&self, now: Instant) -> Option<Level> {
        let entries = self.active.iter().map(|at| &self.entries[*at]);
        entries.filter_map(|e| e.recent_level(now)).max()
    }

    /// Upstreams that calls may go to.
    pub fn active(&self) -> impl Iterator<Item = &Upstream> {
        self.active.iter().map(|at| &*self.entries[*at].upstream)
    }

    /// Entries looked at by all choices so far.
    pub fn examined(&self) -> u64 {
        self.examined
    }

    /// Usable upstreams, preferring those whose level admits the call.
    fn candidates(
        &mut self,
        priority: Priority,
        tried: &BTreeSet<UpstreamName>,
        now: Instant,
    ) -> Candidates {
        self.examined += self.active.len() as u64;
        let entries = || self.active.iter().map(|at| (*at, &self.entries[*at]));
        let ejected = entries().filter(|(_, e)| e.is_ejected(now)).count();
        // With less than half of the service left, ejection has no effect.
        let honours = (self.active.len() - ejected) * 2 >= self.active.len();
        let is_tried = |e: &Entry| !tried.is_empty() && tried.contains(&e.upstream.name);
        // Failed dials and announced stops are facts, not guesses, so this holds however few
        // upstreams remain.
        let has_better = entries().any(|(_, e)| !is_tried(e) && !e.is_avoided(now));
        let mut admitting = Candidates::default();
        let mut all = Candidates::default();
        for (at, entry) in entries() {
            let is_out = has_better && entry.is_avoided(now);
            if is_tried(entry) || is_out || honours && entry.is_ejected(now) {
                continue;
            }
            all.push(at, entry.is_local);
            if entry.admits(priority, now) {
                admitting.push(at, entry.is_local);
            }
        }
        if admitting.len == 0 { all } else { admitting }
    }

    /// The candidates of the own zone, or all when that zone is loaded more than the others.
    fn spread<'a>(&self, candidates: &'a Candidates) -> &'a [usize] {
        match candidates.local() {
            [] => candidates.all(),
            _ if self.spills => candidates.all(),
            local => local,
        }
    }

    /// Compares the load per slot of the own zone with that of the others.
    fn compare(&mut self, candidates: &Candidates, now: Instant) {
        self.compared = Some(now);
        let known = self
            .active
            .iter()
            .filter_map(|at| self.entries[*at].latency());
        self.best = known.fold(f64::INFINITY, f64::min);
        let load = |some: &[usize]| {
            let entries = || some.iter().map(|at| &self.entries[*at]);
            let weight: f64 = entries().map(|e| e.weight(self.best, now)).sum();
            entries().map(|e| e.load(now)).sum::<f64>() / weight
        };
        // Without others the second load is not a number and nothing spills.
        let (local, others) = (load(candidates.local()), load(candidates.others()));
        self.spills = local > others + SPILL_MARGIN;
    }

    fn score(&self, at: usize, best: f64, now: Instant) -> f64 {
        let entry = &self.entries[at];
        (entry.load(now) + 1.0) / entry.weight(best, now)
    }

    /// Looks again at which upstreams are removed.
    fn review(&mut self, now: Instant) {
        self.reviewed = Some(now);
        let is_gone = |e: &&Entry| e.is_leaving(now) || e.is_absent();
        let gone = self.entries.iter().filter(is_gone).count();
        // Absence has no effect when it would leave less than half of the service.
        let honours = (self.entries.len() - gone) * 2 >= self.entries.len();
        let mut has_changed = false;
        for entry in &mut self.entries {
            let is_removed = entry.is_leaving(now) || honours && entry.is_absent();
            if is_removed == entry.is_removed {
                continue;
            }
            entry.is_removed = is_removed;
            has_changed = true;
            if !is_removed {
                entry.returned(now);
            }
        }
        if has_changed {
            self.select();
        }
    }

    fn select(&mut self) {
        let present = self
            .entries
            .iter()
            .enumerate()
            .filter(|(_, e)| !e.is_removed);
        let present: Vec<_> = present.map(|(at, e)| (at, &*e.upstream)).collect();
        self.active = match present.len() > SUBSET_ABOVE {
            true => subset(&self.own, &self.zone, &present),
            false => present.into_iter().map(|(at, _)| at).collect(),
        };
    }

    fn get_mut(&mut self, name: &UpstreamName) -> Option<&mut Entry> {
        let at = self.entries.binary_search_by(|e| e.upstream.name.cmp(name));
        Some(&mut self.entries[at.ok()?])
    }
}

/// Usable upstreams, those of the own zone first. Kept in place, since a choice allocates nothing.
#[derive(Default)]
struct Candidates {
    at: [usize; SUBSET_ABOVE],
    local: usize,
    len: usize,
}

impl Candidates {
    fn push(&mut self, at: usize, is_local: bool) {
        self.at[self.len] = at;
        if is_local {
            self.at.swap(self.local, self.len);
            self.local += 1;
        }
        self.len += 1;
    }

    fn local(&self) -> &[usize] {
        &self.at[..self.local]
    }

    fn others(&self) -> &[usize] {
        &self.at[self.local..self.len]
    }

    fn all(&self) -> &[usize] {
        &self.at[..self.len]
    }
}

#[cfg(test)]
mod tests;
