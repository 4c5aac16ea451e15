//! An instance list that lags and can stand still.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use serde::Serialize;
use tokio::time::Instant;

use super::{
    Result,
    http::{Body, Dropped, serve},
};
use crate::{
    state::{
        id::{ServiceName, UpstreamName, ZoneName},
        object::Upstream,
    },
    transport::net::Net,
};

const PREFIX: &str = "/v1/instances/";
const CONNECTIONS: u32 = 65_536;

/// State of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It takes work.
    Live,
    /// It is about to stop.
    Leaving,
    /// It is not listed.
    #[serde(skip)]
    Absent,
}

#[derive(Serialize)]
struct ListEntry<'a> {
    name: &'a UpstreamName,
    address: SocketAddr,
    zone: &'a ZoneName,
    state: State,
}

struct Instance {
    service: ServiceName,
    zone: ZoneName,
    address: SocketAddr,
    history: Vec<(Instant, State)>,
}

#[derive(Default)]
struct Shared {
    all: RefCell<BTreeMap<UpstreamName, Instance>>,
    lag: Cell<Duration>,
    frozen: Cell<Option<Instant>>,
}

/// An instance list; cheap to clone.
#[derive(Clone, Default)]
pub struct Instances(Rc<Shared>);

impl Instances {
    /// Notes the state of an upstream from now on.
    pub fn set(&self, upstream: &Upstream, state: State) {
        let mut all = self.0.all.borrow_mut();
        let entry = all.entry(upstream.name.clone());
        let instance = entry.or_insert_with(|| Instance {
            service: upstream.service.clone(),
            zone: upstream.zone.clone(),
            address: upstream.peer,
            history: Vec::new(),
        });
        instance.history.push((Instant::now(), state));
    }

    /// Answers with the states of this long ago.
    pub fn set_lag(&self, lag: Duration) {
        self.0.lag.set(lag);
    }

    /// Stops, or resumes, following changes.
    pub fn freeze(&self, frozen: bool) {
        self.0.frozen.set(frozen.then(Instant::now));
    }

    /// Serves the wire form at `at` until it is dropped.
    ///
    /// # Errors
    /// The address can't be bound.
    pub async fn run<N: Net>(self, net: N, at: SocketAddr) -> Result<()> {
        let handler = move |request| {
            let list = self.clone();
            async move { Ok::<_, Dropped>(list.handle(&request)) }
        };
        serve(&net, at, CONNECTIONS, handler).await
    }

    fn handle(&self, request: &Request<Bytes>) -> Response<Body> {
        let service = request.uri().path().strip_prefix(PREFIX);
        let Some(service) = service.and_then(|s| s.parse::<ServiceName>().ok()) else {
            let mut answer = Response::new(Body::default());
            *answer.status_mut() = StatusCode::NOT_FOUND;
            return answer;
        };
        Response::new(Body::new(self.list(&service).into()))
    }

    /// The list of one service, as JSON.
    pub fn list(&self, service: &ServiceName) -> Vec<u8> {
        let now = self.0.frozen.get().unwrap_or_else(Instant::now);
        let lag = self.0.lag.get();
        let all = self.0.all.borrow();
        let mut listed = Vec::new();
        for (name, instance) in all.iter().filter(|(_, i)| i.service == *service) {
            let known = |(at, _): &&(Instant, State)| now.saturating_duration_since(*at) >= lag;
            // The list is complete at the start of a run, however large its lag.
            let state = instance.history.iter().rev().find(known);
            let state = state.or(instance.history.first()).map(|(_, s)| *s);
            if let Some(state @ (State::Live | State::Leaving)) = state {
                listed.push(ListEntry {
                    name,
                    address: instance.address,
                    zone: &instance.zone,
                    state,
                });
            }
        }
        serde_json::to_vec(&listed).unwrap_or_default()
    }
}
