//! Choice of an upstream for each call.

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
    id::{ClassName, ServiceName, UpstreamName, ZoneName},
    level::{Levels, ReportedLevel},
    object::{Control, Upstream},
    priority::{Level, Priority},
    rate::RateLimit,
    upstream::{Load, ServiceTime, UpstreamStatus, UpstreamTable},
};

#[derive(Debug)]
struct Service {
    table: UpstreamTable,
    level: Option<ReportedLevel>,
    budget: Rc<RefCell<RetryBudget>>,
}

impl Service {
    /// The admission level of the service: the most permissive one among recent reports.
    ///
    /// Levels that upstreams reported a while ago become more permissive with age. They count only
    /// while no recent level has been received with an answer or a heartbeat.
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
    service_index: BTreeMap<UpstreamName, ServiceName>,
}

impl Inner {
    fn service_of(&mut self, upstream: &UpstreamName) -> Option<&mut Service> {
        self.services.get_mut(self.service_index.get(upstream)?)
    }
}

/// Chooses upstreams by this node's own measurements. Clones share the same state.
///
/// Reports about services and upstreams that are not in the configuration are ignored, so that they
/// can't make the tables grow.
#[derive(Debug, Clone)]
pub struct Router {
    inner: Rc<RefCell<Inner>>,
}

impl Router {
    /// Creates a router without upstreams for the node that serves the upstream `own` in `zone`.
    pub fn new(own: UpstreamName, zone: ZoneName, control: Control, rng: fastrand::Rng) -> Self {
        let inner = Inner {
            own,
            zone,
            control,
            rng,
            services: BTreeMap::new(),
            service_index: BTreeMap::new(),
        };
        Self {
            inner: Rc::new(RefCell::new(inner)),
        }
    }

    /// Applies the upstreams and `control` of a configuration. Measurements of upstreams that
    /// remain are kept.
    pub fn apply(&self, config: &Config) {
        self.inner.borrow_mut().control = config.deployment.control;
        let pieces = config.pieces.iter();
        self.replace(pieces.map(|(name, piece)| (name, piece.upstreams.as_slice())));
    }

    /// Replaces the upstreams of all services. Measurements of upstreams that remain are kept.
    pub fn replace<'a>(&self, services: impl Iterator<Item = (&'a ServiceName, &'a [Upstream])>) {
        let now = Instant::now();
        let inner = &mut *self.inner.borrow_mut();
        let mut present = BTreeSet::new();
        inner.service_index.clear();
        for (name, upstreams) in services {
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
            inner.service_index.extend(names);
        }
        inner.services.retain(|s, _| present.contains(s));
    }

    /// Chooses an upstream of `service` that is not in `tried`. The node's own upstream is never
    /// chosen.
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
            finished: false,
        })
    }

    /// Returns the first of these services whose known admission level excludes the priority.
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

    /// Updates the admission levels of services from an answer or a heartbeat.
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

    /// The known admission levels of these services, for propagation to callers.
    pub fn levels<'a>(&self, services: impl IntoIterator<Item = &'a ServiceName>) -> Levels {
        let inner = self.inner.borrow();
        let now = Instant::now();
        let known = services.into_iter().filter_map(|name| {
            let level = inner.services.get(name)?.level(now)?;
            Some((name.clone(), level))
        });
        Levels(known.collect())
    }

    /// Updates the load and admission level that an upstream reported.
    pub fn update_load(&self, upstream: &UpstreamName, load: Load, level: Level) {
        let inner = &mut *self.inner.borrow_mut();
        if let Some(service) = inner.service_of(upstream) {
            service
                .table
                .update_load(upstream, load, level, Instant::now());
        }
    }

    /// Updates the service time that the node of an upstream reported for a class of calls.
    pub fn update_service_time(
        &self,
        upstream: &UpstreamName,
        class: &ClassName,
        time: ServiceTime,
    ) {
        let now = Instant::now();
        if let Some(service) = self.inner.borrow_mut().service_of(upstream) {
            let table = &mut service.table;
            table.update_service_time(upstream, class, time, now);
        }
    }

    /// Discards all reported service times, so that upstreams are chosen by load alone.
    pub fn forget_service_times(&self) {
        for service in self.inner.borrow_mut().services.values_mut() {
            service.table.forget_service_times();
        }
    }

    /// Records whether an upstream has announced that it is leaving.
    pub fn set_leaving(&self, upstream: &UpstreamName, leaving: bool) {
        let inner = &mut *self.inner.borrow_mut();
        if let Some(service) = inner.service_of(upstream) {
            service.table.set_leaving(upstream, leaving, Instant::now());
        }
    }

    /// Records whether connections to an upstream can be opened.
    pub fn set_reachable(&self, upstream: &UpstreamName, reachable: bool) {
        let now = Instant::now();
        if let Some(service) = self.inner.borrow_mut().service_of(upstream) {
            service.table.set_reachable(upstream, reachable, now);
        }
    }

    /// Records whether the node of an upstream still serves but is about to stop.
    pub fn set_retiring(&self, upstream: &UpstreamName, retiring: bool) {
        let now = Instant::now();
        if let Some(service) = self.inner.borrow_mut().service_of(upstream) {
            service.table.set_retiring(upstream, retiring, now);
        }
    }

    /// Records the rate limit that an upstream announces, if any.
    pub fn set_rate_limit(&self, upstream: &UpstreamName, limit: Option<RateLimit>) {
        if let Some(service) = self.inner.borrow_mut().service_of(upstream) {
            service.table.set_rate_limit(upstream, limit);
        }
    }

    /// The rate limit that an upstream announces, as far as this node knows.
    pub fn rate_limit(&self, upstream: &UpstreamName) -> Option<RateLimit> {
        let inner = self.inner.borrow();
        let service = inner.services.get(inner.service_index.get(upstream)?)?;
        service.table.rate_limit(upstream)
    }

    /// The upstreams to which a connection recently could not be opened.
    pub fn unreachable(&self) -> Vec<Rc<Upstream>> {
        let now = Instant::now();
        let inner = self.inner.borrow();
        let tables = inner.services.values().map(|s| &s.table);
        tables.flat_map(|t| t.unreachable(now)).cloned().collect()
    }

    /// Updates the upstreams of a service from the instance list.
    pub fn update_list(&self, service: &ServiceName, listed: &[ListEntry]) {
        let inner = &mut *self.inner.borrow_mut();
        if let Some(service) = inner.services.get_mut(service) {
            service.table.update_list(listed, Instant::now());
        }
    }

    /// Discards reported loads, admission levels and the instance list, which are stale after a
    /// pause of the process.
    pub fn forget(&self) {
        let now = Instant::now();
        for service in self.inner.borrow_mut().services.values_mut() {
            service.level = None;
            service.table.forget(now);
        }
    }

    /// The retry budget of a service; `None` if the service is not configured.
    pub fn budget(&self, service: &ServiceName) -> Option<Rc<RefCell<RetryBudget>>> {
        let inner = self.inner.borrow();
        inner.services.get(service).map(|s| s.budget.clone())
    }

    /// The status of all upstreams of each service, for the state dump.
    pub fn statuses(&self) -> BTreeMap<ServiceName, Vec<UpstreamStatus>> {
        let now = Instant::now();
        let inner = self.inner.borrow();
        let rows = inner.services.iter();
        rows.map(|(name, s)| (name.clone(), s.table.statuses(now)))
            .collect()
    }

    /// Number of configured upstreams.
    pub fn upstream_count(&self) -> usize {
        let inner = self.inner.borrow();
        inner.services.values().map(|s| s.table.len()).sum()
    }

    /// The upstreams that are currently ejected.
    pub fn ejected(&self) -> BTreeSet<UpstreamName> {
        let now = Instant::now();
        let inner = self.inner.borrow();
        let tables = inner.services.values().map(|s| &s.table);
        tables.flat_map(|t| t.ejected(now)).cloned().collect()
    }

    /// The services whose instance list is currently distrusted because too many instances vanished
    /// at once.
    pub fn distrusted_lists(&self) -> BTreeSet<ServiceName> {
        let now = Instant::now();
        let inner = self.inner.borrow();
        let services = inner.services.iter();
        let distrusted = services.filter(|(_, s)| s.table.is_list_distrusted(now));
        distrusted.map(|(name, _)| name.clone()).collect()
    }

    /// Total number of table entries that [`Router::pick`] has examined so far.
    pub fn examined(&self) -> u64 {
        let inner = self.inner.borrow();
        inner.services.values().map(|s| s.table.examined()).sum()
    }

    fn record_end(&self, upstream: &Upstream, attempt: AttemptEnd, started: Instant) {
        let now = Instant::now();
        let inner = &mut *self.inner.borrow_mut();
        if let Some(service) = inner.services.get_mut(&upstream.service) {
            let duration = now.saturating_duration_since(started);
            service
                .table
                .record_end(&upstream.name, attempt, duration, now);
        }
    }
}

/// A chosen upstream. A pick dropped without [`Pick::finish`] counts as a cancelled attempt.
#[derive(Debug)]
pub struct Pick {
    router: Router,
    upstream: Rc<Upstream>,
    started: Instant,
    finished: bool,
}

impl Pick {
    /// The chosen upstream.
    pub fn upstream(&self) -> &Upstream {
        &self.upstream
    }

    /// Records how the attempt ended.
    pub fn finish(mut self, attempt: AttemptEnd) {
        self.finished = true;
        self.router
            .record_end(&self.upstream, attempt, self.started);
    }
}

impl Drop for Pick {
    fn drop(&mut self) {
        if !self.finished {
            self.router
                .record_end(&self.upstream, AttemptEnd::Cancelled, self.started);
        }
    }
}

mod explain;
#[cfg(test)]
mod tests;
