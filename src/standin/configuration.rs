//! Simulated configuration service: versioned keys, long polls, outages and stale data.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout_at},
};

use super::{
    Result,
    http::{Body, Dropped, serve},
};
use crate::{
    state::publication::{Publication, encode},
    transport::net::Net,
};

const PATH_PREFIX: &str = "/v1/kv/";
const VERSION_HEADER: &str = "x-version";
/// Time that the service takes to process a read.
const RESPONSE_DELAY_MS: u64 = 2;
const MAX_CONNECTIONS: u32 = 65_536;

type Values = BTreeMap<String, (u64, Bytes)>;

/// How the service responds to reads.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Mode {
    /// Responds with the current values.
    #[default]
    Up,
    /// Responds with status 503.
    Down,
    /// Responds with old values: those current when [`Configuration::set_mode`] was called, or
    /// those passed to [`Configuration::revert`].
    Stale,
}

#[derive(Debug, Default)]
struct State {
    values: Values,
    stale_values: Values,
    version: u64,
    mode: Mode,
    reads: u64,
    reads_per_second: BTreeMap<u64, u64>,
    start: Option<Instant>,
}

/// A configuration service; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct Configuration {
    state: Rc<RefCell<State>>,
    changed: Rc<Notify>,
}

impl Configuration {
    /// Writes all parts of a publication, the head last.
    ///
    /// ```
    /// use comfreybay::standin::configuration::Configuration;
    /// let service = Configuration::default();
    /// service.put("head", &b"{}"[..]);
    /// assert_eq!(service.reads(), 0);
    /// ```
    pub fn publish(&self, publication: &Publication) {
        for (digest, bucket) in &publication.buckets {
            self.put(&format!("bucket/{digest}"), encode(bucket));
        }
        for (digest, piece) in &publication.pieces {
            self.put(&format!("piece/{digest}"), encode(piece));
        }
        self.put("head", encode(&publication.head));
    }

    /// Writes a value; an unchanged value keeps its version.
    pub fn put(&self, key: &str, value: impl Into<Bytes>) {
        let value = value.into();
        let mut state = self.state.borrow_mut();
        if state.values.get(key).is_some_and(|(_, old)| *old == value) {
            return;
        }
        state.version += 1;
        let version = state.version;
        state.values.insert(key.to_owned(), (version, value));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Changes how the service responds to reads.
    pub fn set_mode(&self, mode: Mode) {
        let mut state = self.state.borrow_mut();
        state.mode = mode;
        state.stale_values = state.values.clone();
        drop(state);
        self.changed.notify_waiters();
    }

    /// Responds with the values of an earlier [`Configuration::snapshot`] from now on.
    pub fn revert(&self, snapshot: Snapshot) {
        let mut state = self.state.borrow_mut();
        state.mode = Mode::Stale;
        state.stale_values = snapshot.0;
    }

    /// Returns the current values.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot(self.state.borrow().values.clone())
    }

    /// Returns the number of reads so far; a long poll counts once.
    pub fn reads(&self) -> u64 {
        self.state.borrow().reads
    }

    /// Returns the maximum number of reads within one second.
    pub fn max_reads_per_second(&self) -> u64 {
        let state = self.state.borrow();
        state
            .reads_per_second
            .values()
            .copied()
            .max()
            .unwrap_or_default()
    }

    /// Serves the values over HTTP at `at` until the future is dropped.
    ///
    /// # Errors
    /// Returns an error when the address can't be bound.
    pub async fn run<N: Net>(self, net: N, at: SocketAddr) -> Result<()> {
        let handler = move |request| {
            let service = self.clone();
            async move { service.handle(request).await }
        };
        serve(&net, at, MAX_CONNECTIONS, handler).await
    }

    fn count_read(&self) {
        let mut state = self.state.borrow_mut();
        let start = *state.start.get_or_insert_with(Instant::now);
        state.reads += 1;
        *state
            .reads_per_second
            .entry(start.elapsed().as_secs())
            .or_default() += 1;
    }

    async fn handle(&self, request: Request<Bytes>) -> Result<Response<Body>, Dropped> {
        self.count_read();
        sleep(Duration::from_millis(RESPONSE_DELAY_MS)).await;
        let Some(key) = request.uri().path().strip_prefix(PATH_PREFIX) else {
            return Ok(response(StatusCode::NOT_FOUND, 0, Bytes::new()));
        };
        let query = request.uri().query().unwrap_or_default();
        let after = parameter(query, "after").unwrap_or_default();
        let wait = parameter(query, "wait").unwrap_or_default();
        let end = Instant::now() + Duration::from_secs(wait);
        loop {
            let changed = self.changed.notified();
            match self.find_value(key) {
                Err(status) => return Ok(response(status, 0, Bytes::new())),
                Ok((version, value)) if version > after => {
                    return Ok(response(StatusCode::OK, version, value));
                }
                Ok((version, _)) if timeout_at(end, changed).await.is_err() => {
                    return Ok(response(StatusCode::NOT_MODIFIED, version, Bytes::new()));
                }
                Ok(_) => {}
            }
        }
    }

    fn find_value(&self, key: &str) -> Result<(u64, Bytes), StatusCode> {
        let state = self.state.borrow();
        let values = match state.mode {
            Mode::Up => &state.values,
            Mode::Stale => &state.stale_values,
            Mode::Down => return Err(StatusCode::SERVICE_UNAVAILABLE),
        };
        values.get(key).cloned().ok_or(StatusCode::NOT_FOUND)
    }
}

/// Values at the time of [`Configuration::snapshot`].
#[derive(Debug, Clone)]
pub struct Snapshot(Values);

fn parameter(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
    pairs.find(|(k, _)| *k == name)?.1.parse().ok()
}

fn response(status: StatusCode, version: u64, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Body::new(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(VERSION_HEADER, version.into());
    response
}
