//! Choice of the upstream for a call.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use tokio::time::Instant;

pub use crate::state::upstream::{AttemptEnd, ListEntry, ListedState};
use crate::state::{
    budget::RetryBudget,
    config::Config,
    id::{ServiceName, UpstreamName, ZoneName},
    level::{Levels, ReportedLevel},
    object::{Control, Upstream},
    priority::{Level, Priority},
    upstream::{Load, UpstreamStatus, UpstreamTable},
};

#[derive(Debug)]
struct Service {
    table: UpstreamTable,
    level: Option<ReportedLevel>,
    budget: Rc<RefCell<RetryBudget>>,
}

impl Service {
    /// The level known, by the most permissive of the recent reports.
    ///
    /// Reports of upstreams that this node has not called for some time open with age; they count
    /// only while no answer brings a recent level.
    fn level(&self, now: Instant) -> Option<Level> {
        match self.level.filter(|known| known.is_recent(now)) {
            Some(known) => self.table.recent_level(now).max(Some(known.level(now))),
            None => {
                let reported = self.table.level(now);
                reported.max(self.level.map(|known| known.level(now)))
            }
        }
    }
}

#[derive(Debug)]
struct Inner {
    own: UpstreamName,
    zone: ZoneName,
    control: Control,
    rng: fastrand::Rng,
    services: BTreeMap<ServiceName, Service>,
    index: BTreeMap<UpstreamName, ServiceName>,
}

impl Inner {
    fn service_of(&mut self, upstream: &UpstreamName) -> Option<&mut Service> {
        self.services.get_mut(self.index.get(upstream)?)
    }
}

/// Chooses upstreams from this node's own measurements. A clone shares the state.
///
/// Services and upstreams that are not in the configuration are ignored, so reports from outside
/// can't make the tables grow.
#[derive(Debug, Clone)]
pub struct Router {
    inner: Rc<RefCell<Inner>>,
}

impl Router {
    /// A router without upstreams, for the node of `own` in `zone`.
    pub fn new(own: UpstreamName, zone: ZoneName, control: Control, rng: fastrand::Rng) -> Self {
        let inner = Inner {
            own,
            zone,
            control,
            rng,
            services: BTreeMap::new(),
            index: BTreeMap::new(),
        };
        Self {
            inner: Rc::new(RefCell::new(inner)),
        }
    }

    /// Takes over the upstreams of a configuration; measurements of known upstreams are kept.
    pub fn apply(&self, config: &Config) {
        self.inner.borrow_mut().control = config.deployment.control;
        let pieces = config.pieces.iter();
        self.replace(pieces.map(|(name, piece)| (name, piece.upstreams.as_slice())));
    }

    /// Takes over the upstreams of all services; measurements of known upstreams are kept.
    pub fn replace<'a>(&self, all: impl Iterator<Item = (&'a ServiceName, &'a [Upstream])>) {
        let now = Instant::now();
        let inner = &mut *self.inner.borrow_mut();
        let mut present = BTreeSet::new();
        inner.index.clear();
        for (name, upstreams) in all {
            present.insert(name);
            let service = inner
                .services
                .entry(name.clone())
                .or_insert_with(|| Service {
                    table: UpstreamTable::new(inner.own.clone(), inner.zone.clone()),
                    level: None,
                    budget: Rc::default(),
                });
            service.table.apply(upstreams, now);
            let names = upstreams.iter().map(|u| (u.name.clone(), name.clone()));
            inner.index.extend(names);
        }
        inner.services.retain(|s, _| present.contains(s));
    }

    /// Chooses an upstream of `service` that was not tried; the node's own is never chosen.
    pub fn pick(
        &self,
        service: &ServiceName,
        priority: Priority,
        tried: &BTreeSet<UpstreamName>,
    ) -> Option<Pick> {
        let started = Instant::now();
        let inner = &mut *self.inner.borrow_mut();
        let table = &mut inner.services.get_mut(service)?.table;
        let upstream = table.pick(priority, tried, &mut inner.rng, started)?;
        Some(Pick {
            router: self.clone(),
            upstream,
            started,
            ended: false,
        })
    }

    /// The first of these services whose known level excludes the priority.
    pub fn first_refusing<'a>(
        &self,
        services: impl IntoIterator<Item = &'a ServiceName>,
        priority: Priority,
    ) -> Option<ServiceName> {
        let inner = self.inner.borrow();
        if !matches!(inner.control, Control::Adaptive | Control::Ranked) {
            return None;
        }
        let now = Instant::now();
        let refuses = |name: &&ServiceName| {
            let level = inner.services.get(*name).and_then(|s| s.level(now));
            level.is_some_and(|level| !level.admits(priority))
        };
        services.into_iter().find(refuses).cloned()
    }

    /// Takes over levels carried on an answer or a heartbeat.
    pub fn update_levels(&self, levels: &Levels) {
        let now = Instant::now();
        let inner = &mut *self.inner.borrow_mut();
        for (name, level) in &levels.0 {
            let Some(service) = inner.services.get_mut(name) else {
                continue;
            };
            match &mut service.level {
                Some(known) => known.update(*level, now),
                None => service.level = Some(ReportedLevel::new(*level, now)),
            }
        }
    }

    /// The levels known of these services, to be passed on.
    pub fn levels<'a>(&self, services: impl IntoIterator<Item = &'a ServiceName>) -> Levels {
        let inner = self.inner.borrow();
        let now = Instant::now();
        let known = services.into_iter().filter_map(|name| {
            let level = inner.services.get(name)?.level(now)?;
            Some((name.clone(), level))
        });
        Levels(known.collect())
    }

    /// Takes over the load and level that an upstream reported.
    pub fn update_load(&self, upstream: &UpstreamName, load: Load, level: Level) {
        let inner = &mut *self.inner.borrow_mut();
        if let Some(service) = inner.service_of(upstream) {
            service
                .table
                .update_load(upstream, load, level, Instant::now());
        }
    }

    /// Notes that an upstream said it is leaving, or that it is back.
    pub fn set_leaving(&self, upstream: &UpstreamName, leaving: bool) {
        let inner = &mut *self.inner.borrow_mut();
        if let Some(service) = inner.service_of(upstream) {
            service.table.set_leaving(upstream, leaving, Instant::now());
        }
    }

    /// Notes whether connections to an upstream can be opened.
    pub fn set_reachable(&self, upstream: &UpstreamName, reachable: bool) {
        let now = Instant::now();
        if let Some(service) = self.inner.borrow_mut().service_of(upstream) {
            service.table.set_reachable(upstream, reachable, now);
        }
    }

    /// Notes whether the node of an upstream serves but is about to stop.
    pub fn set_retiring(&self, upstream: &UpstreamName, retiring: bool) {
        let now = Instant::now();
        if let Some(service) = self.inner.borrow_mut().service_of(upstream) {
            service.table.set_retiring(upstream, retiring, now);
        }
    }

    /// The upstreams to which no connection could be opened a moment ago.
    pub fn unreachable(&self) -> Vec<Rc<Upstream>> {
        let now = Instant::now();
        let inner = self.inner.borrow();
        let tables = inner.services.values().map(|s| &s.table);
        tables.flat_map(|t| t.unreachable(now)).cloned().collect()
    }

    /// Takes over what the instance list says about a service.
    pub fn update_list(&self, service: &ServiceName, listed: &[ListEntry]) {
        let inner = &mut *self.inner.borrow_mut();
        if let Some(service) = inner.services.get_mut(service) {
            service.table.update_list(listed, Instant::now());
        }
    }

    /// Drops reported loads, levels and the instance list, after the process was paused.
    pub fn forget(&self) {
        let now = Instant::now();
        for service in self.inner.borrow_mut().services.values_mut() {
            service.level = None;
            service.table.forget(now);
        }
    }

    /// The retry budget of a service; `None` for a service that is not configured.
    pub fn budget(&self, service: &ServiceName) -> Option<Rc<RefCell<RetryBudget>>> {
        let inner = self.inner.borrow();
        inner.services.get(service).map(|s| s.budget.clone())
    }

    /// All upstreams of each service, as the state dump tells them.
    pub fn statuses(&self) -> BTreeMap<ServiceName, Vec<UpstreamStatus>> {
        let now = Instant::now();
        let inner = self.inner.borrow();
        let rows = inner.services.iter();
        rows.map(|(name, s)| (name.clone(), s.table.statuses(now)))
            .collect()
    }

    /// Number of upstreams known.
    pub fn upstream_count(&self) -> usize {
        let inner = self.inner.borrow();
        inner.services.values().map(|s| s.table.len()).sum()
    }

    /// The upstreams that are ejected now.
    pub fn ejected(&self) -> BTreeSet<UpstreamName> {
        let now = Instant::now();
        let inner = self.inner.borrow();
        let tables = inner.services.values().map(|s| &s.table);
        tables.flat_map(|t| t.ejected(now)).cloned().collect()
    }

    /// The services whose instance list is not believed now.
    pub fn distrusted_lists(&self) -> BTreeSet<ServiceName> {
        let now = Instant::now();
        let inner = self.inner.borrow();
        let services = inner.services.iter();
        let distrusted = services.filter(|(_, s)| s.table.is_list_distrusted(now));
        distrusted.map(|(name, _)| name.clone()).collect()
    }

    /// Entries looked at by all choices so far.
    pub fn examined(&self) -> u64 {
        let inner = self.inner.borrow();
        inner.services.values().map(|s| s.table.examined()).sum()
    }

    fn ended(&self, upstream: &Upstream, attempt: AttemptEnd, started: Instant) {
        let now = Instant::now();
        let inner = &mut *self.inner.borrow_mut();
        if let Some(service) = inner.services.get_mut(&upstream.service) {
            let took = now.saturating_duration_since(started);
            service.table.record_end(&upstream.name, attempt, took, now);
        }
    }
}

/// A chosen upstream. Dropping it counts as a cancelled attempt.
#[derive(Debug)]
pub struct Pick {
    router: Router,
    upstream: Rc<Upstream>,
    started: Instant,
    ended: bool,
}

impl Pick {
    /// The upstream.
    pub fn upstream(&self) -> &Upstream {
        &self.upstream
    }

    /// Records how the attempt ended.
    pub fn finish(mut self, attempt: AttemptEnd) {
        self.ended = true;
        self.router.ended(&self.upstream, attempt, self.started);
    }
}

impl Drop for Pick {
    fn drop(&mut self) {
        if !self.ended {
            self.router
                .ended(&self.upstream, AttemptEnd::Cancelled, self.started);
        }
    }
}

#[cfg(test)]
mod tests;
