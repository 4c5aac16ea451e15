//! A backend server: slots, service time, cold start, draining, own shedding, crashes.

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
    ledger::{AttemptId, End, Ledger, pattern},
};
use crate::{
    protocol::header,
    state::{
        id::{ServiceName, UpstreamName},
        object::Chain,
    },
    transport::net::Net,
};

/// Header with the caller's identifier of the attempt; passed on along the chain.
pub const ID: &str = "x-id";
/// Header with the number of bytes to answer with; passed on along the chain.
pub const BYTES: &str = "x-bytes";
/// Header that makes every backend server of the entry service crash.
pub const CRASH: &str = "x-crash";
/// Header with the outcome of the call below that an error answer is due to.
pub const BELOW: &str = "x-below";
const SHED: &str = "x-shed";
const REPORT: &str = "x-load";
/// A marked request runs for this long before the process crashes.
const CRASH_MS: u64 = 10;
/// A cold server takes this many times longer at its start, falling to 1 at the end.
const COLD_FACTOR: f64 = 4.0;
const DEFAULT_BYTES: usize = 256;

/// What a backend server is made of.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Upstream that it belongs to.
    pub name: UpstreamName,
    /// Its service.
    pub service: ServiceName,
    /// Where it listens.
    pub at: SocketAddr,
    /// Egress port of its node.
    pub egress: SocketAddr,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Requests that wait for a slot before it sheds.
    pub waiting: u32,
    /// Mean of its own time per request; the time is even between half and one and a half of it.
    pub work: Duration,
    /// Time after its start until it is warm.
    pub cold: Duration,
    /// Chains, to find the services to call next.
    pub chains: Vec<Chain>,
    /// Seed of the service times.
    pub seed: u64,
}

#[derive(Debug)]
struct State {
    slow: Cell<f64>,
    draining: Cell<bool>,
    report: Cell<Option<u32>>,
    busy: Cell<u32>,
    waiting: Cell<u32>,
}

/// Adjustments to a running backend server; cheap to clone and kept over its restarts.
#[derive(Debug, Clone)]
pub struct Knobs(Rc<State>);

impl Default for Knobs {
    fn default() -> Self {
        Self(Rc::new(State {
            slow: Cell::new(1.0),
            draining: Cell::new(false),
            report: Cell::new(None),
            busy: Cell::new(0),
            waiting: Cell::new(0),
        }))
    }
}

impl Knobs {
    /// Multiplies the service time.
    pub fn slow(&self, factor: f64) {
        self.0.slow.set(factor);
    }

    /// Says in its load report that it is draining.
    pub fn drain(&self, draining: bool) {
        self.0.draining.set(draining);
    }

    /// Reports this many busy slots, whatever is true.
    pub fn report(&self, busy: Option<u32>) {
        self.0.report.set(busy);
    }

    /// Requests that it works on or has waiting.
    pub fn busy(&self) -> u32 {
        self.0.busy.get() + self.0.waiting.get()
    }
}

struct Count<'a>(&'a Cell<u32>);

impl<'a> Count<'a> {
    fn new(cell: &'a Cell<u32>) -> Self {
        cell.set(cell.get() + 1);
        Self(cell)
    }
}

impl Drop for Count<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

struct Server<N> {
    settings: Settings,
    knobs: Knobs,
    ledger: Ledger,
    slots: Semaphore,
    rng: RefCell<fastrand::Rng>,
    start: Instant,
    client: Client<N>,
    crash: CancellationToken,
}

/// Runs a backend server until `crash` is cancelled, which a marked request does.
///
/// # Errors
/// Its address can't be bound.
pub async fn run<N: Net>(
    net: N,
    settings: Settings,
    knobs: Knobs,
    ledger: Ledger,
    crash: CancellationToken,
) -> Result<()> {
    let (at, connections) = (settings.at, settings.connections);
    let server = Rc::new(Server {
        slots: Semaphore::new(settings.slots as usize),
        rng: RefCell::new(fastrand::Rng::with_seed(settings.seed)),
        settings,
        knobs,
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
            return Ok(self.answer(StatusCode::OK, self.load().into()));
        }
        let state = &self.knobs.0;
        if state.waiting.get() >= self.settings.waiting {
            let mut answer = self.answer(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
            answer
                .headers_mut()
                .insert(SHED, http::HeaderValue::from_static("1"));
            return Ok(answer);
        }
        let left = number(request.headers(), header::TIMEOUT_MS);
        let work = self.work(&request);
        let Some(left) = left else {
            return work.await;
        };
        match timeout(Duration::from_millis(left), work).await {
            Ok(answer) => answer,
            Err(_) => Ok(self.answer(StatusCode::GATEWAY_TIMEOUT, Bytes::new())),
        }
    }

    async fn work(&self, request: &Request<Bytes>) -> Result<Response<Body>, Dropped> {
        let state = &self.knobs.0;
        let waiting = Count::new(&state.waiting);
        let _slot = self.slots.acquire().await.map_err(|_| Dropped)?;
        drop(waiting);
        let _busy = Count::new(&state.busy);
        let id = number(request.headers(), ID).unwrap_or_default();
        let (service, name) = (&self.settings.service, &self.settings.name);
        let mut entry = self.ledger.begin(id, service, name);
        if request.headers().contains_key(CRASH) {
            sleep(Duration::from_millis(CRASH_MS)).await;
            self.crash.cancel();
            return std::future::pending().await;
        }
        sleep(self.time()).await;
        entry.wait();
        let bytes = number(request.headers(), BYTES).map_or(DEFAULT_BYTES, |n| n as usize);
        for next in self.next(request) {
            if let Err((status, below)) = self.call(request, id, &next, bytes).await {
                entry.end(End::Error);
                let mut answer = self.answer(status, Bytes::new());
                if let Ok(below) = http::HeaderValue::from_str(&below) {
                    answer.headers_mut().insert(BELOW, below);
                }
                return Ok(answer);
            }
        }
        entry.end(End::Answered);
        Ok(self.answer(StatusCode::OK, pattern(id, service.as_str(), bytes)))
    }

    fn time(&self) -> Duration {
        let age = self.start.elapsed();
        let cold = self.settings.cold;
        let cold = match age < cold {
            true => COLD_FACTOR - (COLD_FACTOR - 1.0) * age.as_secs_f64() / cold.as_secs_f64(),
            false => 1.0,
        };
        let spread = 0.5 + self.rng.borrow_mut().f64();
        self.settings
            .work
            .mul_f64(spread * cold * self.knobs.0.slow.get())
    }

    /// The services to call next, in the order of the published chain.
    fn next(&self, request: &Request<Bytes>) -> Vec<ServiceName> {
        let (method, path) = (request.method().as_str(), request.uri().path());
        let matches = |c: &&Chain| c.method == method && path.starts_with(&c.path);
        let chains = self.settings.chains.iter().filter(matches);
        let chain = chains.max_by_key(|c| c.path.len());
        let next = chain.and_then(|c| c.calls.get(&self.settings.service));
        next.cloned().unwrap_or_default()
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
        for name in [header::CALL, ID, BYTES] {
            if let Some(value) = request.headers().get(name) {
                call = call.header(name, value);
            }
        }
        let call = call
            .body(Body::new(request.body().clone()))
            .map_err(|_| (StatusCode::BAD_GATEWAY, String::new()))?;
        let answer = self.client.send(self.settings.egress, call).await;
        let answer = answer.map_err(|_| (StatusCode::BAD_GATEWAY, String::new()))?;
        if answer.status != StatusCode::OK {
            let below = answer.header(BELOW).or(answer.header(header::OUTCOME));
            let below = below.unwrap_or_default().to_owned();
            return Err((answer.status, below));
        }
        match answer.body == pattern(id, to.as_str(), bytes) {
            true => Ok(()),
            false => Err((StatusCode::INTERNAL_SERVER_ERROR, String::new())),
        }
    }

    fn load(&self) -> String {
        let state = &self.knobs.0;
        let (slots, draining) = (self.settings.slots, state.draining.get());
        format!(
            r#"{{"busy":{},"slots":{slots},"draining":{draining}}}"#,
            self.reported()
        )
    }

    fn reported(&self) -> u32 {
        let state = &self.knobs.0;
        state.report.get().unwrap_or(state.busy.get())
    }

    fn answer(&self, status: StatusCode, body: Bytes) -> Response<Body> {
        let mut answer = Response::new(Body::new(body));
        *answer.status_mut() = status;
        if let Ok(load) = http::HeaderValue::from_str(&self.load()) {
            answer.headers_mut().insert(REPORT, load);
        }
        answer
    }
}

/// A header as a number.
pub fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
