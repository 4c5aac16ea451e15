//! A configuration service: keys with versions, long polls, outages and stale data.

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

const PREFIX: &str = "/v1/kv/";
const VERSION: &str = "x-version";
/// Answers take milliseconds.
const ANSWER_MS: u64 = 2;
const CONNECTIONS: u32 = 65_536;

type Keys = BTreeMap<String, (u64, Bytes)>;

/// What the service does with reads.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Mode {
    /// Answers with the current values.
    #[default]
    Up,
    /// Answers with 503.
    Down,
    /// Answers with the values of the time at which this mode was set.
    Stale,
}

#[derive(Debug, Default)]
struct State {
    keys: Keys,
    stale: Keys,
    version: u64,
    mode: Mode,
    reads: u64,
    by_second: BTreeMap<u64, u64>,
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

    /// Writes one value; nothing changes when it is the same.
    pub fn put(&self, key: &str, value: impl Into<Bytes>) {
        let value = value.into();
        let mut state = self.state.borrow_mut();
        if state.keys.get(key).is_some_and(|(_, old)| *old == value) {
            return;
        }
        state.version += 1;
        let version = state.version;
        state.keys.insert(key.to_owned(), (version, value));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Changes what the service does with reads.
    pub fn set_mode(&self, mode: Mode) {
        let mut state = self.state.borrow_mut();
        state.mode = mode;
        state.stale = state.keys.clone();
        drop(state);
        self.changed.notify_waiters();
    }

    /// Answers with `keys` as they were at an earlier call of [`Configuration::snapshot`].
    pub fn revert(&self, snapshot: Snapshot) {
        let mut state = self.state.borrow_mut();
        state.mode = Mode::Stale;
        state.stale = snapshot.0;
    }

    /// The values of now.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot(self.state.borrow().keys.clone())
    }

    /// Number of reads so far, each waiting watch counted once.
    pub fn reads(&self) -> u64 {
        self.state.borrow().reads
    }

    /// The most reads in one second.
    pub fn worst_second(&self) -> u64 {
        let state = self.state.borrow();
        state.by_second.values().copied().max().unwrap_or_default()
    }

    /// Serves the wire form at `at` until it is dropped.
    ///
    /// # Errors
    /// The address can't be bound.
    pub async fn run<N: Net>(self, net: N, at: SocketAddr) -> Result<()> {
        let handler = move |request| {
            let service = self.clone();
            async move { service.handle(request).await }
        };
        serve(&net, at, CONNECTIONS, handler).await
    }

    fn count(&self) {
        let mut state = self.state.borrow_mut();
        let start = *state.start.get_or_insert_with(Instant::now);
        state.reads += 1;
        *state
            .by_second
            .entry(start.elapsed().as_secs())
            .or_default() += 1;
    }

    async fn handle(&self, request: Request<Bytes>) -> Result<Response<Body>, Dropped> {
        self.count();
        sleep(Duration::from_millis(ANSWER_MS)).await;
        let Some(key) = request.uri().path().strip_prefix(PREFIX) else {
            return Ok(answer(StatusCode::NOT_FOUND, 0, Bytes::new()));
        };
        let query = request.uri().query().unwrap_or_default();
        let after = parameter(query, "after").unwrap_or_default();
        let wait = parameter(query, "wait").unwrap_or_default();
        let end = Instant::now() + Duration::from_secs(wait);
        loop {
            let changed = self.changed.notified();
            match self.find(key) {
                Err(status) => return Ok(answer(status, 0, Bytes::new())),
                Ok((version, value)) if version > after => {
                    return Ok(answer(StatusCode::OK, version, value));
                }
                Ok((version, _)) if timeout_at(end, changed).await.is_err() => {
                    return Ok(answer(StatusCode::NOT_MODIFIED, version, Bytes::new()));
                }
                Ok(_) => {}
            }
        }
    }

    fn find(&self, key: &str) -> Result<(u64, Bytes), StatusCode> {
        let state = self.state.borrow();
        let keys = match state.mode {
            Mode::Up => &state.keys,
            Mode::Stale => &state.stale,
            Mode::Down => return Err(StatusCode::SERVICE_UNAVAILABLE),
        };
        keys.get(key).cloned().ok_or(StatusCode::NOT_FOUND)
    }
}

/// Values of an earlier time.
#[derive(Debug, Clone)]
pub struct Snapshot(Keys);

fn parameter(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
    pairs.find(|(k, _)| *k == name)?.1.parse().ok()
}

fn answer(status: StatusCode, version: u64, body: Bytes) -> Response<Body> {
    let mut answer = Response::new(Body::new(body));
    *answer.status_mut() = status;
    answer.headers_mut().insert(VERSION, version.into());
    answer
}
