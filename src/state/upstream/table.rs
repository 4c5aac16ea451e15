//! Table of the upstreams of one service, and the load balancing among them.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use tokio::time::Instant;

use super::{
    super::{
        id::{UpstreamName, ZoneName},
        object::Upstream,
        priority::{Level, Priority},
        rate::RateLimit,
    },
    AttemptEnd, ListEntry, ListedState, Load, UpstreamStatus,
    class_times::ClassTimes,
    entry::{Entry, Listing},
    subset::{SUBSET_THRESHOLD, subset},
};

/// Share of a service, in percent, that may disappear from the instance list at once before the
/// list is distrusted.
const MISSING_PERCENT: usize = 30;
/// Time for which absences are ignored while the instance list is distrusted.
const DISTRUST_TIME: Duration = Duration::from_secs(30);
/// Interval between checks for announcements that have expired.
const REVIEW_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the loads of the zones are compared. Calls of [`UpstreamTable::pick`] in
/// between use the last comparison.
const COMPARE_INTERVAL: Duration = Duration::from_millis(5);
/// Calls per slot by which the load of this node's zone may exceed that of the other zones before
/// calls spill over to them.
const SPILL_MARGIN: f64 = 0.1;

/// Upstreams of one service, with the measurements of this node.
#[derive(Debug, Clone)]
pub struct UpstreamTable {
    /// Name of the upstream to which this node belongs.
    own: UpstreamName,
    /// Zone of this node.
    zone: ZoneName,
    /// Sorted by name.
    entries: Vec<Entry>,
    /// Indices of the entries that calls may go to; a subset in a large service.
    active: Vec<usize>,
    reviewed_at: Option<Instant>,
    distrusted_until: Option<Instant>,
    compared_at: Option<Instant>,
    /// Lowest latency in seconds at the last comparison.
    best_latency: f64,
    class_times: ClassTimes,
    /// Median of the factors by which calls take longer than usual at the upstreams, at the last
    /// comparison; `None` while too few upstreams report their service times.
    median_factor: Option<f64>,
    /// Whether calls spilled over to other zones at the last comparison.
    is_spilling: bool,
    examined: u64,
}

impl UpstreamTable {
    /// Creates an empty table for the node of upstream `own` in `zone`.
    pub fn new(own: UpstreamName, zone: ZoneName) -> Self {
        Self {
            own,
            zone,
            entries: Vec::new(),
            active: Vec::new(),
            reviewed_at: None,
            distrusted_until: None,
            compared_at: None,
            best_latency: f64::INFINITY,
            class_times: ClassTimes::default(),
            median_factor: None,
            is_spilling: false,
            examined: 0,
        }
    }

    /// Applies the configured upstreams. Upstreams that are in the table already keep their
    /// measurements; those added later start at a low weight.
    pub fn apply(&mut self, upstreams: &[Upstream], now: Instant) {
        let ramp_start = (!self.entries.is_empty()).then_some(now);
        let mut old = std::mem::take(&mut self.entries);
        for upstream in upstreams.iter().filter(|u| u.name != self.own) {
            let found = old.binary_search_by(|e| e.upstream.name.cmp(&upstream.name));
            let entry = match found {
                Ok(index) if *old[index].upstream == *upstream => old.remove(index),
                Ok(index) => {
                    let mut entry = old.remove(index);
                    entry.upstream = Rc::new(upstream.clone());
                    entry.is_local = upstream.zone == self.zone;
                    entry
                }
                Err(_) => {
                    let is_local = upstream.zone == self.zone;
                    Entry::new(Rc::new(upstream.clone()), is_local, ramp_start)
                }
            };
            self.entries.push(entry);
        }
        self.entries
            .sort_by(|a, b| a.upstream.name.cmp(&b.upstream.name));
        self.select_active();
    }

    /// Chooses an upstream that is not in `tried` and counts an attempt at it.
    pub fn pick(
        &mut self,
        priority: Priority,
        tried: &BTreeSet<UpstreamName>,
        rng: &mut fastrand::Rng,
        now: Instant,
    ) -> Option<Rc<Upstream>> {
        if self
            .reviewed_at
            .is_none_or(|at| now >= at + REVIEW_INTERVAL)
        {
            self.review_removals(now);
        }
        let candidates = self.candidates(priority, tried, now);
        if self
            .compared_at
            .is_none_or(|at| now >= at + COMPARE_INTERVAL)
        {
            self.compare_zones(&candidates, now);
        }
        let chosen = match *self.preferred(&candidates) {
            [] => return None,
            [only] => only,
            ref several => self.choose(several, rng, now),
        };
        self.entries[chosen].record_start();
        Some(self.entries[chosen].upstream.clone())
    }

    /// The entries of all upstreams in the state dump.
    pub fn statuses(&self, now: Instant) -> Vec<UpstreamStatus> {
        let entries = self.entries.iter().enumerate();
        let status = |(index, entry): (usize, &Entry)| {
            entry.status(self.active.contains(&index), self.best_latency, now)
        };
        entries.map(status).collect()
    }

    /// The upstreams that are currently ejected.
    pub fn ejected(&self, now: Instant) -> impl Iterator<Item = &UpstreamName> {
        let ejected = self.entries.iter().filter(move |e| e.is_ejected(now));
        ejected.map(|e| &e.upstream.name)
    }

    /// Number of upstreams in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether absences from the instance list are ignored, because too much of the service
    /// disappeared from it at once.
    pub fn is_list_distrusted(&self, now: Instant) -> bool {
        self.distrusted_until.is_some_and(|until| now < until)
    }

    /// Records the end of an attempt.
    pub fn record_end(
        &mut self,
        name: &UpstreamName,
        end: AttemptEnd,
        duration: Duration,
        now: Instant,
    ) {
        if let Some(entry) = self.get_mut(name) {
            entry.record_end(end, duration, now);
        }
    }

    /// Records the load and level that an upstream reported.
    pub fn update_load(&mut self, name: &UpstreamName, load: Load, level: Level, now: Instant) {
        if let Some(entry) = self.get_mut(name) {
            entry.update_load(load, level, now);
        }
    }

    /// Records whether an upstream has announced that it is leaving.
    pub fn set_leaving(&mut self, name: &UpstreamName, leaving: bool, now: Instant) {
        if let Some(entry) = self.get_mut(name) {
            entry.set_leaving(leaving, now);
            self.review_removals(now);
        }
    }

    /// Records whether a connection to an upstream could be opened.
    pub fn set_reachable(&mut self, name: &UpstreamName, reachable: bool, now: Instant) {
        if let Some(entry) = self.get_mut(name) {
            entry.set_reachable(reachable, now);
        }
    }

    /// Records whether the node of an upstream has announced that it will stop. The node still
    /// serves calls.
    pub fn set_retiring(&mut self, name: &UpstreamName, retiring: bool, now: Instant) {
        if let Some(entry) = self.get_mut(name) {
            entry.set_retiring(retiring, now);
        }
    }

    /// Records the rate limit that an upstream announces, if any.
    pub fn set_rate_limit(&mut self, name: &UpstreamName, limit: Option<RateLimit>) {
        if let Some(entry) = self.get_mut(name) {
            entry.rate_limit = limit;
        }
    }

    /// The rate limit that an upstream announces, if it is known.
    pub fn rate_limit(&self, name: &UpstreamName) -> Option<RateLimit> {
        let found = self.entries.binary_search_by(|e| e.upstream.name.cmp(name));
        self.entries[found.ok()?].rate_limit
    }

    /// The upstreams to which a connection attempt failed recently.
    pub fn unreachable(&self, now: Instant) -> impl Iterator<Item = &Rc<Upstream>> {
        let unreachable = self.entries.iter().filter(move |e| e.is_unreachable(now));
        unreachable.map(|e| &e.upstream)
    }

    /// Applies the instance list.
    ///
    /// When a large part of the service disappears from the list at once, the absences are ignored
    /// for 30 s.
    pub fn update_list(&mut self, listed: &[ListEntry], now: Instant) {
        let mut listed: Vec<_> = listed.iter().collect();
        listed.sort_by(|a, b| a.name.cmp(&b.name));
        let listing_of = |entry: &Entry| {
            let found = listed.binary_search_by(|l| l.name.cmp(&entry.upstream.name));
            match found.map(|index| listed[index].state) {
                Ok(ListedState::Live) => Listing::Live,
                Ok(ListedState::Leaving) => Listing::Leaving,
                Err(_) => Listing::Absent,
            }
        };
        let is_missing =
            |e: &&Entry| e.listing != Listing::Absent && listing_of(e) == Listing::Absent;
        let missing = self.entries.iter().filter(is_missing).count();
        let is_large = missing * 100 > self.entries.len() * MISSING_PERCENT;
        self.distrusted_until = match self.distrusted_until {
            None if is_large => Some(now + DISTRUST_TIME),
            // Lasting absences are accepted after this time. An upstream is removed only if calls
            // to it fail as well.
            Some(until) if is_large && now < until => Some(until),
            _ => None,
        };
        let is_trusted = self.distrusted_until.is_none();
        for entry in &mut self.entries {
            let listing = listing_of(entry);
            if listing != Listing::Absent || is_trusted {
                entry.listing = listing;
            }
        }
        self.review_removals(now);
    }

    /// Drops all reports, which are stale after this process was paused.
    pub fn forget(&mut self, now: Instant) {
        self.entries.iter_mut().for_each(Entry::forget);
        self.distrusted_until = None;
        self.review_removals(now);
    }

    /// The highest level among the upstreams that are neither ejected nor unreachable; `None` until
    /// each of them has reported one.
    pub fn level(&self, now: Instant) -> Option<Level> {
        let mut active = self.active.iter().map(|index| &self.entries[*index]);
        let is_out = |e: &Entry| e.is_ejected(now) || e.is_unreachable(now);
        let highest = active.try_fold(None, |highest, entry| match is_out(entry) {
            true => Some(highest),
            false => Some(highest.max(Some(entry.level(now)?))),
        });
        highest.flatten()
    }

    /// The highest level among the reports that are not stale.
    pub fn recent_level(&self, now: Instant) -> Option<Level> {
        let entries = self.active.iter().map(|index| &self.entries[*index]);
        entries.filter_map(|e| e.recent_level(now)).max()
    }

    /// The upstreams that calls may go to.
    pub fn active(&self) -> impl Iterator<Item = &Upstream> {
        self.active
            .iter()
            .map(|index| &*self.entries[*index].upstream)
    }

    /// Number of entries examined by all calls of [`Self::pick`] so far.
    pub fn examined(&self) -> u64 {
        self.examined
    }

    /// The upstreams that a call can go to; only those whose level admits it, if there are any.
    fn candidates(
        &mut self,
        priority: Priority,
        tried: &BTreeSet<UpstreamName>,
        now: Instant,
    ) -> Candidates {
        self.examined += self.active.len() as u64;
        let entries = || {
            self.active
                .iter()
                .map(|index| (*index, &self.entries[*index]))
        };
        let ejected = entries().filter(|(_, e)| e.is_ejected(now)).count();
        // Ejections are ignored when they would leave less than half of the service.
        let is_applied = (self.active.len() - ejected) * 2 >= self.active.len();
        let is_tried = |e: &Entry| !tried.is_empty() && tried.contains(&e.upstream.name);
        // Failed connection attempts and announced stops are certain, unlike an ejection, so such
        // upstreams are avoided however few others remain.
        let has_other = entries().any(|(_, e)| !is_tried(e) && !e.is_avoided(now));
        let mut admitting = Candidates::default();
        let mut all = Candidates::default();
        for (index, entry) in entries() {
            let is_out = has_other && entry.is_avoided(now);
            if is_tried(entry) || is_out || is_applied && entry.is_ejected(now) {
                continue;
            }
            all.push(index, entry.is_local);
            if entry.admits(priority, now) {
                admitting.push(index, entry.is_local);
            }
        }
        if admitting.len == 0 { all } else { admitting }
    }

    /// The candidates in this node's zone, or all candidates while calls spill over to other zones.
    fn preferred<'a>(&self, candidates: &'a Candidates) -> &'a [usize] {
        match candidates.local() {
            [] => candidates.all(),
            _ if self.is_spilling => candidates.all(),
            local => local,
        }
    }

    /// Compares the load per slot of this node's zone with that of the other zones.
    fn compare_zones(&mut self, candidates: &Candidates, now: Instant) {
        self.compared_at = Some(now);
        let latencies = self
            .active
            .iter()
            .filter_map(|index| self.entries[*index].latency());
        self.best_latency = latencies.fold(f64::INFINITY, f64::min);
        self.median_factor = self.reported_median(now);
        let load = |zone: &[usize]| {
            let entries = || zone.iter().map(|index| &self.entries[*index]);
            // Calls in flight already reflect the speed of a server.
            let weight = |e: &Entry| match self.median_factor {
                Some(_) => e.weight(f64::INFINITY, now),
                None => e.weight(self.best_latency, now),
            };
            let weight: f64 = entries().map(weight).sum();
            entries().map(|e| e.load(now)).sum::<f64>() / weight
        };
        // Without upstreams in other zones the second load is NaN, and no calls spill over.
        let (local, others) = (load(candidates.local()), load(candidates.others()));
        self.is_spilling = local > others + SPILL_MARGIN;
    }

    /// Updates which upstreams are removed from service.
    fn review_removals(&mut self, now: Instant) {
        self.reviewed_at = Some(now);
        let is_gone = |e: &&Entry| e.is_leaving(now) || e.is_absent();
        let gone = self.entries.iter().filter(is_gone).count();
        // Absences are ignored when they would leave less than half of the service.
        let is_applied = (self.entries.len() - gone) * 2 >= self.entries.len();
        let mut has_changed = false;
        for entry in &mut self.entries {
            let is_removed = entry.is_leaving(now) || is_applied && entry.is_absent();
            if is_removed == entry.is_removed {
                continue;
            }
            entry.is_removed = is_removed;
            has_changed = true;
            if !is_removed {
                entry.reset(now);
            }
        }
        if has_changed {
            self.select_active();
        }
    }

    /// Selects the upstreams that calls may go to.
    fn select_active(&mut self) {
        let present = self
            .entries
            .iter()
            .enumerate()
            .filter(|(_, e)| !e.is_removed);
        let present: Vec<_> = present.map(|(index, e)| (index, &*e.upstream)).collect();
        self.active = match present.len() > SUBSET_THRESHOLD {
            true => subset(&self.own, &self.zone, &present),
            false => present.into_iter().map(|(index, _)| index).collect(),
        };
    }

    fn get_mut(&mut self, name: &UpstreamName) -> Option<&mut Entry> {
        let found = self.entries.binary_search_by(|e| e.upstream.name.cmp(name));
        Some(&mut self.entries[found.ok()?])
    }
}

/// Indices of candidate upstreams, those in this node's zone first. An array, so that
/// [`UpstreamTable::pick`] does not allocate.
#[derive(Default)]
struct Candidates {
    indices: [usize; SUBSET_THRESHOLD],
    /// Number of candidates in this node's zone.
    local_len: usize,
    len: usize,
}

impl Candidates {
    fn push(&mut self, index: usize, is_local: bool) {
        self.indices[self.len] = index;
        if is_local {
            self.indices.swap(self.local_len, self.len);
            self.local_len += 1;
        }
        self.len += 1;
    }

    fn local(&self) -> &[usize] {
        &self.indices[..self.local_len]
    }

    fn others(&self) -> &[usize] {
        &self.indices[self.local_len..self.len]
    }

    fn all(&self) -> &[usize] {
        &self.indices[..self.len]
    }
}

mod choice;
mod explain;
#[cfg(test)]
mod tests;
mod times;
