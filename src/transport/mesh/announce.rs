//! What a backend server announces about itself in its answers.

use std::{str::FromStr, time::Duration};

use http::{HeaderMap, HeaderName};
use tokio::time::Instant;

use crate::{
    protocol::{
        call::{self, write},
        header,
    },
    state::{
        counters::Counter,
        id::{ClassName, UpstreamName},
        mesh::backend::InstanceId,
        rate::RateLimit,
        upstream::{Pace, ServiceTime},
    },
};

use super::{super::net::Net, shared::Mesh};

/// Share of the concurrency limit from which a server is nearly full. Servers slow down from 95% of
/// their slots on.
const CROWDED_SHARE: f64 = 0.9;

impl<N: Net, D> Mesh<N, D> {
    /// Records what the backend server beside this node announces in an answer to a request that was
    /// sent to `instance` at `sent`.
    pub fn record_announcements(&self, instance: &InstanceId, headers: &HeaderMap, sent: Instant) {
        self.record_rate_limit(headers, sent);
        self.record_load(headers);
        if !headers.contains_key(&self.names.leaving) {
            return;
        }
        let name = self
            .registry
            .borrow()
            .get(instance)
            .map(|r| r.backend.name());
        if let Some(name) = name {
            self.record_leaving(&name, headers);
        }
    }

    /// Records what the backend server of another node announces in an answer that this node
    /// received.
    pub fn record_upstream_announcements(&self, upstream: &UpstreamName, headers: &HeaderMap) {
        if let Ok(limit) = read(headers, &self.names.rate_limit) {
            self.router.set_rate_limit(upstream, limit);
        }
        self.record_leaving(upstream, headers);
    }

    fn record_leaving(&self, upstream: &UpstreamName, headers: &HeaderMap) {
        if !headers.contains_key(&self.names.leaving) {
            return;
        }
        let mut registry = self.registry.borrow_mut();
        let is_new = registry.mark_leaving(upstream, Instant::now());
        drop(registry);
        if is_new {
            log::info!(backend:% = upstream; "backend server announces that it leaves");
            self.apply_registry();
        }
    }

    /// Writes the rate limit of a backend server for its node, which may have restarted since the
    /// server announced it.
    pub fn write_rate_limit(&self, upstream: &UpstreamName, headers: &mut HeaderMap) {
        if let Some(limit) = self.router.rate_limit(upstream) {
            write(headers, header::RATE_LIMIT, &limit);
        }
    }

    /// Reads the rate limit that another node has received from the backend server of this node.
    pub fn read_rate_limit(&self, headers: &HeaderMap) {
        let limit: Option<RateLimit> = call::read(headers, header::RATE_LIMIT).ok().flatten();
        if let Some(limit) = limit
            && self.gate.adopt_rate_limit(limit)
        {
            self.set_rate_gauge(Some(limit));
            log::info!(limit:%; "another node reports the rate limit of the backend server");
        }
    }

    /// Records that the server reports its load, and the pace of its machine, the fourth figure of the
    /// load, which only some platforms have.
    fn record_load(&self, headers: &HeaderMap) {
        let load = headers.get(&self.names.load).and_then(|v| v.to_str().ok());
        let mut figures = load.unwrap_or_default().split(',').skip(2);
        if figures.next().is_none() {
            return;
        }
        let pace = match figures.next().map(str::parse::<Pace>).transpose() {
            Ok(pace) => pace,
            Err(_) => {
                self.counters.add(Counter::ServerMalformed, 1);
                return;
            }
        };
        if self.selects_by_delay.get() {
            self.service_times.borrow_mut().record_load(pace);
        }
        if pace.is_some_and(Pace::is_slow) {
            self.gate.record_slow_machine();
        }
    }

    /// Records the time of a call of a class at the backend server beside this node. `was_crowded`:
    /// whether the server was nearly full when the call began.
    pub fn record_service_time(&self, class: &ClassName, time: Duration, was_crowded: bool) {
        let is_crowded = was_crowded || self.is_crowded();
        let mut meter = self.service_times.borrow_mut();
        meter.record(class, time, is_crowded, Instant::now());
    }

    /// Whether the backend server beside this node is nearly full.
    pub fn is_crowded(&self) -> bool {
        let load = self.gate.load();
        f64::from(load.in_flight) >= f64::from(load.limit) * CROWDED_SHARE
    }

    /// Writes the service time of the backend server beside this node for the node of a caller, which
    /// made a call of this class.
    pub fn write_service_time(&self, class: Option<&ClassName>, headers: &mut HeaderMap) {
        let time = class.and_then(|class| self.service_times.borrow().report(class));
        if let Some(time) = time {
            write(headers, header::SERVICE_TIME, &time);
        }
    }

    /// Reads the service time that the node of another backend server reports for a class.
    pub fn read_service_time(
        &self,
        upstream: &UpstreamName,
        class: &ClassName,
        headers: &HeaderMap,
    ) {
        if !self.selects_by_delay.get() {
            return;
        }
        let time: Option<ServiceTime> = call::read(headers, header::SERVICE_TIME).ok().flatten();
        if let Some(time) = time {
            self.router.update_service_time(upstream, class, time);
        }
    }

    /// Switches the choice by expected delay on or off. Off, service times are neither measured nor
    /// reported nor read.
    pub fn set_select_by_delay(&self, is_on: bool) {
        if self.selects_by_delay.replace(is_on) && !is_on {
            self.service_times.borrow_mut().reset();
            self.router.forget_service_times();
        }
    }

    fn set_rate_gauge(&self, limit: Option<RateLimit>) {
        let rounded = limit.map_or(0, |l| l.per_second().ceil() as u64);
        self.counters.set(Counter::ServerRateLimit, rounded);
    }

    fn record_rate_limit(&self, headers: &HeaderMap, sent: Instant) {
        // A value that can't be read neither sets nor ends a limit.
        let Ok(limit) = read::<RateLimit>(headers, &self.names.rate_limit) else {
            self.counters.add(Counter::ServerMalformed, 1);
            return;
        };
        if !self.gate.record_rate_limit(limit, sent) {
            return;
        }
        self.set_rate_gauge(limit);
        let sent = self.counters.get(Counter::ServerCalls);
        match limit {
            Some(limit) => log::info!(limit:%, sent; "backend server announces a rate limit"),
            None => log::info!(sent; "backend server announces no rate limit any more"),
        }
    }
}

/// Reads a header of the platform that occurs at most once.
fn read<T: FromStr>(headers: &HeaderMap, name: &HeaderName) -> Result<Option<T>, ()> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| ())?;
    text.trim().parse().map(Some).map_err(|_| ())
}
