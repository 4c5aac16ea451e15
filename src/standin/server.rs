//! Simulated backend server with slots, a queue, random service times, cold starts, draining,
//! load shedding and crashes.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use tokio::{
    sync::Semaphore,
    time::{Instant, sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use super::{
    Result,
    http::{Body, Client, Dropped, serve},
    ledger::{AttemptId, End, Ledger, expected_body},
};
use crate::{
    protocol::header,
    state::{
        id::{ServiceName, UpstreamName},
        object::Chain,
    },
    transport::net::Net,
};

/// Header with the caller's identifier of the attempt, propagated along the chain.
pub const ID_HEADER: &str = "x-id";
/// Header with the size of the response body in bytes, propagated along the chain.
pub const BYTES_HEADER: &str = "x-bytes";
/// Header that crashes every backend server of the entry service that runs the request.
pub const CRASH_HEADER: &str = "x-crash";
/// Header with the outcome of the downstream call that caused an error response.
pub const BELOW_HEADER: &str = "x-below";
const SHED_HEADER: &str = "x-shed";
const LOAD_HEADER: &str = "x-load";
/// Time that a request with [`CRASH_HEADER`] runs before the process crashes.
const CRASH_DELAY_MS: u64 = 10;
/// Service time multiplier of a newly started server; falls linearly to 1 during the warm-up.
const COLD_START_FACTOR: f64 = 4.0;
const DEFAULT_BODY_BYTES: usize = 256;

/// Settings of a backend server.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the upstream that the server belongs to.
    pub name: UpstreamName,
    /// Name of the service.
    pub service: ServiceName,
    /// Listen address.
    pub at: SocketAddr,
    /// Egress address of the node beside the server.
    pub egress: SocketAddr,
    /// Maximum number of requests processed concurrently.
    pub slots: u32,
    /// Maximum number of open connections.
    pub connections: u32,
    /// Maximum number of requests waiting for a slot; further ones are shed.
    pub queue_limit: u32,
    /// Mean service time without downstream calls; uniformly distributed from 0.5 to 1.5 times
    /// this value.
    pub mean_time: Duration,
    /// Time after the start during which requests take longer.
    pub warm_up: Duration,
    /// Chains, which determine the services to call.
    pub chains: Vec<Chain>,
    /// Seed of the random service times.
    pub seed: u64,
}

#[derive(Debug)]
struct State {
    slowdown: Cell<f64>,
    draining: Cell<bool>,
    busy_override: Cell<Option<u32>>,
    busy: Cell<u32>,
    waiting: Cell<u32>,
}

/// Runtime controls of a backend server; cheap to clone and kept across restarts of the server.
#[derive(Debug, Clone)]
pub struct ServerControls(Rc<State>);

impl Default for ServerControls {
    fn default() -> Self {
        Self(Rc::new(State {
            slowdown: Cell::new(1.0),
            draining: Cell::new(false),
            busy_override: Cell::new(None),
            busy: Cell::new(0),
            waiting: Cell::new(0),
        }))
    }
}

impl ServerControls {
    /// Multiplies the service times by `factor`.
    pub fn set_slowdown(&self, factor: f64) {
        self.0.slowdown.set(factor);
    }

    /// Sets whether the load reports state that the server is draining.
    pub fn set_draining(&self, draining: bool) {
        self.0.draining.set(draining);
    }

    /// Replaces the number of busy slots in the load reports; `None` reports the true number.
    pub fn override_busy(&self, busy: Option<u32>) {
        self.0.busy_override.set(busy);
    }

    /// Number of requests in processing or waiting for a slot.
    pub fn in_flight(&self) -> u32 {
        self.0.busy.get() + self.0.waiting.get()
    }
}

struct CountGuard<'a>(&'a Cell<u32>);

impl<'a> CountGuard<'a> {
    fn new(cell: &'a Cell<u32>) -> Self {
        cell.set(cell.get() + 1);
        Self(cell)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

struct Server<N> {
    settings: Settings,
    controls: ServerControls,
    ledger: Ledger,
    slots: Semaphore,
    rng: RefCell<fastrand::Rng>,
    start: Instant,
    client: Client<N>,
    crash: CancellationToken,
}

/// Runs a backend server until `crash` is cancelled, by the owner of the token or by a request
/// with [`CRASH_HEADER`].
///
/// # Errors
/// Returns an error when the listen address can't be bound.
pub async fn run<N: Net>(
    net: N,
    settings: Settings,
    controls: ServerControls,
    ledger: Ledger,
    crash: CancellationToken,
) -> Result<()> {
    let (at, connections) = (settings.at, settings.connections);
    let server = Rc::new(Server {
        slots: Semaphore::new(settings.slots as usize),
        rng: RefCell::new(fastrand::Rng::with_seed(settings.seed)),
        settings,
        controls,
        ledger,
        start: Instant::now(),
        client: Client::new(net.clone()),
        crash: crash.clone(),
    });
    let handler = move |request| {
        let server = server.clone();
        async move { server.handle(request).await }
    };
    tokio::select! {
        biased;
        () = crash.cancelled() => Ok(()),
        end = serve(&net, at, connections, handler) => end,
    }
}

impl<N: Net> Server<N> {
    async fn handle(&self, request: Request<Bytes>) -> Result<Response<Body>, Dropped> {
        if request.uri().path() == "/load" {
            return Ok(self.response(StatusCode::OK, self.load_report().into()));
        }
        let state = &self.controls.0;
        if state.waiting.get() >= self.settings.queue_limit {
            let mut response = self.response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
            response
                .headers_mut()
                .insert(SHED_HEADER, http::HeaderValue::from_static("1"));
            return Ok(response);
        }
        let timeout_ms = number(request.headers(), header::TIMEOUT_MS);
        let process = self.process(&request);
        let Some(timeout_ms) = timeout_ms else {
            return process.await;
        };
        match timeout(Duration::from_millis(timeout_ms), process).await {
            Ok(response) => response,
            Err(_) => Ok(self.response(StatusCode::GATEWAY_TIMEOUT, Bytes::new())),
        }
    }

    async fn process(&self, request: &Request<Bytes>) -> Result<Response<Body>, Dropped> {
        let state = &self.controls.0;
        let waiting = CountGuard::new(&state.waiting);
        let _slot = self.slots.acquire().await.map_err(|_| Dropped)?;
        drop(waiting);
        let _busy = CountGuard::new(&state.busy);
        let id = number(request.headers(), ID_HEADER).unwrap_or_default();
        let (service, name) = (&self.settings.service, &self.settings.name);
        let mut execution = self.ledger.begin(id, service, name);
        if request.headers().contains_key(CRASH_HEADER) {
            sleep(Duration::from_millis(CRASH_DELAY_MS)).await;
            self.crash.cancel();
            return std::future::pending().await;
        }
        sleep(self.next_service_time()).await;
        execution.stop_work();
        let bytes =
            number(request.headers(), BYTES_HEADER).map_or(DEFAULT_BODY_BYTES, |n| n as usize);
        for next in self.next_services(request) {
            if let Err((status, below)) = self.call(request, id, &next, bytes).await {
                execution.end(End::Error);
                let mut response = self.response(status, Bytes::new());
                if let Ok(below) = http::HeaderValue::from_str(&below) {
                    response.headers_mut().insert(BELOW_HEADER, below);
                }
                return Ok(response);
            }
        }
        execution.end(End::Answered);
        Ok(self.response(StatusCode::OK, expected_body(id, service.as_str(), bytes)))
    }

    fn next_service_time(&self) -> Duration {
        let age = self.start.elapsed();
        let warm_up = self.settings.warm_up;
        let cold_factor = match age < warm_up {
            true => {
                COLD_START_FACTOR
                    - (COLD_START_FACTOR - 1.0) * age.as_secs_f64() / warm_up.as_secs_f64()
            }
            false => 1.0,
        };
        let spread = 0.5 + self.rng.borrow_mut().f64();
        self.settings
            .mean_time
            .mul_f64(spread * cold_factor * self.controls.0.slowdown.get())
    }

    /// Returns the services to call for a request, in the order of the published chain.
    fn next_services(&self, request: &Request<Bytes>) -> Vec<ServiceName> {
        let (method, path) = (request.method().as_str(), request.uri().path());
        let matches = |c: &&Chain| c.method == method && path.starts_with(&c.path);
        let chains = self.settings.chains.iter().filter(matches);
        let chain = chains.max_by_key(|c| c.path.len());
        let calls = chain.and_then(|c| c.calls.get(&self.settings.service));
        calls.cloned().unwrap_or_default()
    }

    async fn call(
        &self,
        request: &Request<Bytes>,
        id: AttemptId,
        to: &ServiceName,
        bytes: usize,
    ) -> Result<(), (StatusCode, String)> {
        let mut call = Request::builder()
            .method(request.method())
            .uri(request.uri().path())
            .header(http::header::HOST, to.as_str());
        for name in [header::CALL, ID_HEADER, BYTES_HEADER] {
            if let Some(value) = request.headers().get(name) {
                call = call.header(name, value);
            }
        }
        let call = call
            .body(Body::new(request.body().clone()))
            .map_err(|_| (StatusCode::BAD_GATEWAY, String::new()))?;
        let response = self.client.send(self.settings.egress, call).await;
        let response = response.map_err(|_| (StatusCode::BAD_GATEWAY, String::new()))?;
        if response.status != StatusCode::OK {
            let below = response
                .header(BELOW_HEADER)
                .or(response.header(header::OUTCOME));
            let below = below.unwrap_or_default().to_owned();
            return Err((response.status, below));
        }
        match response.body == expected_body(id, to.as_str(), bytes) {
            true => Ok(()),
            false => Err((StatusCode::INTERNAL_SERVER_ERROR, String::new())),
        }
    }

    fn load_report(&self) -> String {
        let state = &self.controls.0;
        let (slots, draining) = (self.settings.slots, state.draining.get());
        format!(
            r#"{{"busy":{},"slots":{slots},"draining":{draining}}}"#,
            self.reported_busy()
        )
    }

    fn reported_busy(&self) -> u32 {
        let state = &self.controls.0;
        state.busy_override.get().unwrap_or(state.busy.get())
    }

    fn response(&self, status: StatusCode, body: Bytes) -> Response<Body> {
        let mut response = Response::new(Body::new(body));
        *response.status_mut() = status;
        if let Ok(load) = http::HeaderValue::from_str(&self.load_report()) {
            response.headers_mut().insert(LOAD_HEADER, load);
        }
        response
    }
}

/// Parses a header as a number; `None` when it is absent or not a number.
pub fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
