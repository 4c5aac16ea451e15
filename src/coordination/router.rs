//! Choice of the upstream for a call.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use tokio::time::Instant;

use crate::state::{
    budget::RetryBudget,
    config::Config,
    id::{ServiceName, UpstreamName, ZoneName},
    level::Levels,
    object::{Control, Upstream},
    priority::{Level, Priority},
    upstream::Load,
};

/// How an attempt at an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attempt {
    /// With an answer.
    Answered,
    /// Refused with proof that it did not run.
    NotRun,
    /// The connection was lost after the request was sent.
    Lost,
    /// The time for the attempt ran out.
    TimedOut,
    /// No connection could be opened; nothing was sent.
    Unreachable,
    /// Cancelled by the caller or the deadline.
    Cancelled,
}

/// State of an upstream in the instance list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListState {
    /// In service.
    Live,
    /// About to stop.
    Leaving,
}

/// One entry of the instance list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Its state.
    pub state: ListState,
}

/// Time after which a level without news opens.
const LEVEL_TTL: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct Entry {
    upstream: Rc<Upstream>,
    in_flight: u32,
    leaving: bool,
}

#[derive(Debug, Default)]
struct Table {
    entries: BTreeMap<UpstreamName, Entry>,
    budget: Rc<RefCell<RetryBudget>>,
}

struct Inner {
    own: UpstreamName,
    rng: fastrand::Rng,
    tables: BTreeMap<ServiceName, Table>,
    levels: BTreeMap<ServiceName, (Level, Instant)>,
}

/// Chooses upstreams from this node's own measurements. A clone shares the state.
#[derive(Clone)]
pub struct Router {
    inner: Rc<RefCell<Inner>>,
}

impl Router {
    /// A router without upstreams, for the node of `own` in `zone`.
    pub fn new(own: UpstreamName, zone: ZoneName, control: Control, rng: fastrand::Rng) -> Self {
        let _ = (zone, control);
        let inner = Inner {
            own,
            rng,
            tables: BTreeMap::new(),
            levels: BTreeMap::new(),
        };
        Self {
            inner: Rc::new(RefCell::new(inner)),
        }
    }

    /// Takes over the upstreams of a configuration; measurements of known upstreams are kept.
    pub fn apply(&self, config: &Config) {
        let inner = &mut *self.inner.borrow_mut();
        inner.tables.retain(|s, _| config.pieces.contains_key(s));
        for (service, piece) in &config.pieces {
            let table = inner.tables.entry(service.clone()).or_default();
            let named = |n: &UpstreamName| piece.upstreams.iter().any(|u| u.name == *n);
            table.entries.retain(|n, _| named(n));
            for upstream in piece.upstreams.iter().filter(|u| u.name != inner.own) {
                let entry = table.entries.entry(upstream.name.clone());
                let entry = entry.or_insert_with(|| Entry {
                    upstream: Rc::new(upstream.clone()),
                    in_flight: 0,
                    leaving: false,
                });
                entry.upstream = Rc::new(upstream.clone());
            }
        }
    }

    /// Chooses an upstream of `service` that was not tried; the node's own upstream is never chosen.
    pub fn pick(
        &self,
        service: &ServiceName,
        priority: Priority,
        tried: &BTreeSet<UpstreamName>,
    ) -> Option<Pick> {
        let _ = priority;
        let inner = &mut *self.inner.borrow_mut();
        let table = inner.tables.get_mut(service)?;
        let usable = table.entries.iter_mut();
        let usable = usable.filter(|(n, e)| !e.leaving && !tried.contains(*n));
        let (_, entry) = usable.min_by_key(|(_, e)| (e.in_flight, inner.rng.u32(..)))?;
        entry.in_flight += 1;
        Some(Pick {
            router: self.clone(),
            upstream: entry.upstream.clone(),
            ended: false,
        })
    }

    /// The first of these services whose known level excludes the priority.
    pub fn refusing(&self, services: &[ServiceName], priority: Priority) -> Option<ServiceName> {
        let inner = self.inner.borrow();
        let now = Instant::now();
        let refuses = |s: &&ServiceName| {
            let known = inner.levels.get(*s);
            known.is_some_and(|(l, at)| now < *at + LEVEL_TTL && !l.admits(priority))
        };
        services.iter().find(refuses).cloned()
    }

    /// Takes over levels carried on an answer or a heartbeat.
    pub fn learn_levels(&self, levels: &Levels) {
        let inner = &mut *self.inner.borrow_mut();
        let now = Instant::now();
        for (service, level) in &levels.0 {
            if inner.tables.contains_key(service) {
                inner.levels.insert(service.clone(), (*level, now));
            }
        }
    }

    /// The levels known of these services, to be passed on.
    pub fn levels(&self, services: &[ServiceName]) -> Levels {
        let inner = self.inner.borrow();
        let now = Instant::now();
        let known = services.iter().filter_map(|s| {
            let (level, at) = inner.levels.get(s)?;
            (now < *at + LEVEL_TTL).then(|| (s.clone(), *level))
        });
        Levels(known.collect())
    }

    /// Takes over the load and level that an upstream reported.
    pub fn learn_load(&self, upstream: &UpstreamName, load: Load, level: Level) {
        let _ = (upstream, load, level);
    }

    /// Notes that an upstream said it is leaving, or that it is back.
    pub fn learn_leaving(&self, upstream: &UpstreamName, leaving: bool) {
        let inner = &mut *self.inner.borrow_mut();
        for table in inner.tables.values_mut() {
            if let Some(entry) = table.entries.get_mut(upstream) {
                entry.leaving = leaving;
            }
        }
    }

    /// Takes over what the instance list says about a service.
    pub fn learn_list(&self, service: &ServiceName, listed: &[Listed]) {
        let inner = &mut *self.inner.borrow_mut();
        let Some(table) = inner.tables.get_mut(service) else {
            return;
        };
        for Listed { name, state } in listed {
            if let Some(entry) = table.entries.get_mut(name) {
                entry.leaving = *state == ListState::Leaving;
            }
        }
    }

    /// Drops reported loads, levels and the instance list, after the process was paused.
    pub fn forget(&self) {
        let inner = &mut *self.inner.borrow_mut();
        inner.levels.clear();
        let tables = inner.tables.values_mut();
        tables
            .flat_map(|t| t.entries.values_mut())
            .for_each(|e| e.leaving = false);
    }

    /// The retry budget of a service; `None` for a service that is not configured.
    pub fn budget(&self, service: &ServiceName) -> Option<Rc<RefCell<RetryBudget>>> {
        self.inner
            .borrow()
            .tables
            .get(service)
            .map(|t| t.budget.clone())
    }

    fn ended(&self, upstream: &Upstream, attempt: Attempt) {
        let _ = attempt;
        let inner = &mut *self.inner.borrow_mut();
        let table = inner.tables.get_mut(&upstream.service);
        if let Some(entry) = table.and_then(|t| t.entries.get_mut(&upstream.name)) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }
}

/// A chosen upstream. Dropping it counts as a cancelled attempt.
pub struct Pick {
    router: Router,
    upstream: Rc<Upstream>,
    ended: bool,
}

impl Pick {
    /// The upstream.
    pub fn upstream(&self) -> &Upstream {
        &self.upstream
    }

    /// Records how the attempt ended.
    pub fn finish(mut self, attempt: Attempt) {
        self.ended = true;
        self.router.ended(&self.upstream, attempt);
    }
}

impl Drop for Pick {
    fn drop(&mut self) {
        if !self.ended {
            self.router.ended(&self.upstream, Attempt::Cancelled);
        }
    }
}
