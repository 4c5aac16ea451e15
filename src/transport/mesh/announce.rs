//! What a backend server announces about itself in its answers.

use std::str::FromStr;

use http::{HeaderMap, HeaderName};
use tokio::time::Instant;

use crate::{
    protocol::{
        call::{self, write},
        header,
    },
    state::{
        counters::Counter,
        id::UpstreamName,
        mesh::backend::InstanceId,
        rate::RateLimit,
        upstream::{Pace, ServiceTime},
    },
};

use super::{super::net::Net, shared::Mesh};

impl<N: Net, D> Mesh<N, D> {
    /// Records what the backend server beside this node announces in an answer to a request that was
    /// sent to `instance` at `sent`.
    pub fn record_announcements(&self, instance: &InstanceId, headers: &HeaderMap, sent: Instant) {
        self.record_rate_limit(headers, sent);
        self.record_pace(headers);
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

    /// Records the pace of the machine, the fourth figure of the server's load. The load has it only
    /// on some platforms.
    fn record_pace(&self, headers: &HeaderMap) {
        let load = headers.get(&self.names.load).and_then(|v| v.to_str().ok());
        let Some(text) = load.and_then(|text| text.split(',').nth(3)) else {
            return;
        };
        let Ok(pace) = text.parse::<Pace>() else {
            self.counters.add(Counter::ServerMalformed, 1);
            return;
        };
        self.service_times.borrow_mut().record_pace(pace);
        if pace.is_slow() {
            self.gate.record_slow_machine();
        }
    }

    /// Writes the service time of the backend server beside this node for the node of a caller.
    pub fn write_service_time(&self, headers: &mut HeaderMap) {
        if let Some(time) = self.service_times.borrow().report() {
            write(headers, header::SERVICE_TIME, &time);
        }
    }

    /// Reads the service time that the node of another backend server reports.
    pub fn read_service_time(&self, upstream: &UpstreamName, headers: &HeaderMap) {
        let time: Option<ServiceTime> = call::read(headers, header::SERVICE_TIME).ok().flatten();
        if let Some(time) = time {
            self.router.update_service_time(upstream, time);
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
