//! What a backend server announces about itself in its answers.

use std::str::FromStr;

use http::{HeaderMap, HeaderName};
use tokio::time::Instant;

use crate::{
    protocol::{
        call::{self, write},
        header,
    },
    state::{counters::Counter, id::UpstreamName, mesh::backend::InstanceId, rate::RateLimit},
};

use super::{super::net::Net, shared::Mesh};

impl<N: Net, D> Mesh<N, D> {
    /// Records what the backend server beside this node announces in an answer to a request that was
    /// sent to `instance` at `sent`.
    pub fn record_announcements(&self, instance: &InstanceId, headers: &HeaderMap, sent: Instant) {
        self.record_rate_limit(headers, sent);
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
