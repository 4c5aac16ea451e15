//! Simulated instance list whose changes can be delayed or suspended.

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

const PATH_PREFIX: &str = "/v1/instances/";
const MAX_CONNECTIONS: u32 = 65_536;

/// State of an instance in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The instance accepts requests.
    Live,
    /// The instance is about to stop.
    Leaving,
    /// The instance is not listed.
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
struct Inner {
    instances: RefCell<BTreeMap<UpstreamName, Instance>>,
    lag: Cell<Duration>,
    frozen_at: Cell<Option<Instant>>,
}

/// An instance list; cheap to clone.
#[derive(Clone, Default)]
pub struct Instances(Rc<Inner>);

impl Instances {
    /// Records the state of an upstream from now on.
    pub fn set(&self, upstream: &Upstream, state: State) {
        let mut instances = self.0.instances.borrow_mut();
        let entry = instances.entry(upstream.name.clone());
        let instance = entry.or_insert_with(|| Instance {
            service: upstream.service.clone(),
            zone: upstream.zone.clone(),
            address: upstream.peer,
            history: Vec::new(),
        });
        instance.history.push((Instant::now(), state));
    }

    /// Sets the delay after which a change appears in the list.
    pub fn set_lag(&self, lag: Duration) {
        self.0.lag.set(lag);
    }

    /// Suspends or resumes changes of the list.
    pub fn freeze(&self, frozen: bool) {
        self.0.frozen_at.set(frozen.then(Instant::now));
    }

    /// Serves the list over HTTP at `at` until the future is dropped.
    ///
    /// # Errors
    /// Returns an error when the address can't be bound.
    pub async fn run<N: Net>(self, net: N, at: SocketAddr) -> Result<()> {
        let handler = move |request| {
            let list = self.clone();
            async move { Ok::<_, Dropped>(list.handle(&request)) }
        };
        serve(&net, at, MAX_CONNECTIONS, handler).await
    }

    fn handle(&self, request: &Request<Bytes>) -> Response<Body> {
        let service = request.uri().path().strip_prefix(PATH_PREFIX);
        let Some(service) = service.and_then(|s| s.parse::<ServiceName>().ok()) else {
            let mut response = Response::new(Body::default());
            *response.status_mut() = StatusCode::NOT_FOUND;
            return response;
        };
        Response::new(Body::new(self.list(&service).into()))
    }

    /// Returns the list of one service as JSON.
    pub fn list(&self, service: &ServiceName) -> Vec<u8> {
        let listed_at = self.0.frozen_at.get().unwrap_or_else(Instant::now);
        let lag = self.0.lag.get();
        let instances = self.0.instances.borrow();
        let mut listed = Vec::new();
        for (name, instance) in instances.iter().filter(|(_, i)| i.service == *service) {
            let visible =
                |(at, _): &&(Instant, State)| listed_at.saturating_duration_since(*at) >= lag;
            // Each instance appears with its first state at once, so that the list is complete at
            // the start of a run.
            let state = instance.history.iter().rev().find(visible);
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
