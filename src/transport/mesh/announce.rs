//! What a backend server announces about itself in its answers.

use std::str::FromStr;

use http::{HeaderMap, HeaderName};
use tokio::time::Instant;

use crate::state::{counters::Counter, rate::RateLimit};

use super::{super::net::Net, shared::Mesh};

impl<N: Net, D> Mesh<N, D> {
    /// Records what the backend server beside this node announces in an answer to a request sent at
    /// `sent`.
    pub fn record_announcements(&self, headers: &HeaderMap, sent: Instant) {
        self.record_rate_limit(headers, sent);
        if headers.contains_key(&self.names.leaving) && !self.server_leaving.replace(true) {
            self.counters.set(Counter::ServerLeaving, 1);
            log::info!("backend server announces that it leaves");
        }
    }

    fn record_rate_limit(&self, headers: &HeaderMap, sent: Instant) {
        // A value that can't be read neither sets nor ends a limit.
        let Ok(limit) = read::<RateLimit>(headers, &self.names.rate_limit) else {
            self.counters.add(Counter::ServerMalformed, 1);
            return;
        };
        let mut announced = self.server_limit.borrow_mut();
        if !announced.record(limit, sent, Instant::now()) {
            return;
        }
        let rounded = limit.map_or(0, |l| l.per_second().ceil() as u64);
        self.counters.set(Counter::ServerRateLimit, rounded);
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
