//! Simulated external callers: request arrivals, tickets, retries, and a check of every response.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::Request;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until, timeout},
};

use super::{
    http::{Body, Client, Failure, Reply},
    ledger::expected_body,
    server::{BELOW_HEADER, BYTES_HEADER, CRASH_HEADER, ID_HEADER},
    tally::{Attempt, AttemptOutcome, Tally},
};
use crate::{
    protocol::{header, outcome::Outcome},
    state::{
        id::{ChainName, ServiceName},
        object::{Chain, Class},
    },
    transport::net::Net,
};

/// Node addresses known to callers, by service; cheap to clone.
pub type Directory = Rc<RefCell<BTreeMap<ServiceName, Vec<SocketAddr>>>>;

/// Time past the deadline after which a caller gives up on a response; also the time before a
/// retry when the node suggests none.
const DEADLINE_MARGIN_MS: u64 = 500;
/// Maximum number of nodes that one attempt tries to connect to.
const MAX_CONNECT_ATTEMPTS: usize = 4;
/// Time for which callers avoid a node after a failed or broken connection or a timeout.
const NODE_COOLDOWN_MS: u64 = 2_000;
/// Maximum age of a ticket when it is used, half of its lifetime.
const TICKET_MAX_AGE_MS: u64 = 30_000;
/// Maximum interval at which a flow reads the current demand.
const DEMAND_POLL_MS: u64 = 50;
/// Number of attempt identifiers reserved for each client request.
const IDS_PER_REQUEST: u64 = 64;

/// How callers retry requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RetryPolicy {
    /// Maximum number of retries per request.
    pub retries: u32,
    /// Time before each retry; `None` uses the time that the node suggests.
    pub backoff: Option<Duration>,
}

/// Demand and retry policy, which events change during a run; cheap to clone.
#[derive(Debug, Clone)]
pub struct LoadControls(Rc<Settings>);

#[derive(Debug)]
struct Settings {
    demand_factor: Cell<f64>,
    chain_factors: RefCell<BTreeMap<ChainName, f64>>,
    retry_policy: Cell<RetryPolicy>,
    crash_requests: Cell<u32>,
}

impl LoadControls {
    /// Starts with normal demand.
    pub fn new(retry_policy: RetryPolicy) -> Self {
        Self(Rc::new(Settings {
            demand_factor: Cell::new(1.0),
            chain_factors: RefCell::default(),
            retry_policy: Cell::new(retry_policy),
            crash_requests: Cell::new(0),
        }))
    }

    /// Sets the factor on the normal demand of one chain; with `None`, the factor that applies to
    /// all chains in addition.
    pub fn set_demand(&self, chain: Option<&ChainName>, factor: f64) {
        match chain {
            Some(chain) => {
                self.0
                    .chain_factors
                    .borrow_mut()
                    .insert(chain.clone(), factor);
            }
            None => self.0.demand_factor.set(factor),
        }
    }

    fn factor(&self, chain: &ChainName) -> f64 {
        let chain_factor = self.0.chain_factors.borrow().get(chain).copied();
        self.0.demand_factor.get() * chain_factor.unwrap_or(1.0)
    }

    /// Changes how callers retry.
    pub fn set_retry_policy(&self, retry_policy: RetryPolicy) {
        self.0.retry_policy.set(retry_policy);
    }

    /// Makes the next `count` requests crash the backend servers that run them.
    pub fn set_crash_requests(&self, count: u32) {
        self.0.crash_requests.set(count);
    }
}

/// Stream of requests of one chain and class.
#[derive(Debug, Clone)]
pub struct Flow {
    /// Chain of the requests.
    pub chain: Chain,
    /// Class of the requests.
    pub class: Class,
    /// Arrivals per second at normal demand.
    pub rate: f64,
    /// Size of a response body, in bytes.
    pub response_bytes: usize,
    /// Size of a request body, in bytes.
    pub request_bytes: usize,
}

#[derive(Debug, Clone)]
struct HeldTicket {
    ticket: String,
    issuer: SocketAddr,
    received_at: Instant,
}

/// The callers of a run; cheap to clone.
pub struct Callers<N>(Rc<State<N>>);

impl<N> Clone for Callers<N> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

struct State<N> {
    client: Client<N>,
    directory: Directory,
    dial: LoadControls,
    tally: Tally,
    rng: RefCell<fastrand::Rng>,
    failed_nodes: RefCell<BTreeMap<SocketAddr, Instant>>,
    /// Unused tickets by index of the class.
    tickets: RefCell<BTreeMap<usize, Vec<HeldTicket>>>,
}

struct AttemptResult {
    outcome: AttemptOutcome,
    ticket: Option<HeldTicket>,
    backoff: Duration,
    node: Option<SocketAddr>,
    why: Option<String>,
}

impl<N: Net> Callers<N> {
    /// Creates callers that connect through `net`.
    pub fn new(net: N, directory: Directory, dial: LoadControls, tally: Tally, seed: u64) -> Self {
        Self(Rc::new(State {
            client: Client::new(net),
            directory,
            dial,
            tally,
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
            failed_nodes: RefCell::default(),
            tickets: RefCell::default(),
        }))
    }

    /// Sends the requests of one flow until `end` and waits until all of them have ended.
    pub async fn run(self, flow: Flow, end: Instant) {
        let Some(class) = self.0.tally.class_index(&flow.class.name) else {
            return;
        };
        let flow = Rc::new(flow);
        let mut tasks = JoinSet::new();
        let mut next_at = Instant::now();
        loop {
            let rate = flow.rate * self.0.dial.factor(&flow.chain.name);
            let gap = -(1.0 - self.0.rng.borrow_mut().f64()).ln() / rate.max(1e-6);
            let poll = Duration::from_millis(DEMAND_POLL_MS);
            let arrives = gap < poll.as_secs_f64();
            next_at += if arrives {
                Duration::from_secs_f64(gap)
            } else {
                poll
            };
            if next_at >= end {
                break;
            }
            sleep_until(next_at).await;
            if arrives {
                let (callers, flow) = (self.clone(), flow.clone());
                tasks.spawn_local(async move { callers.0.request(&flow, class).await });
            }
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
    }
}

impl<N: Net> State<N> {
    async fn request(&self, flow: &Flow, class: usize) {
        let arrived = Instant::now();
        self.tally.record_arrival(class, arrived);
        let crash_requests = self.dial.0.crash_requests.get();
        self.dial
            .0
            .crash_requests
            .set(crash_requests.saturating_sub(1));
        let outcome = self.run_attempts(flow, class, crash_requests > 0).await;
        self.tally.record_end(class, arrived, outcome);
    }

    async fn run_attempts(&self, flow: &Flow, class: usize, crashes: bool) -> AttemptOutcome {
        let request = self.tally.next_request();
        let mut id = request * IDS_PER_REQUEST;
        let mut ticket = self.take_ticket(flow, class);
        let mut ticket_requested = false;
        let mut presented = false;
        let mut retries = 0;
        loop {
            let sent = Instant::now();
            // Discarding a ticket that was never presented can't cause a second execution.
            if !presented
                && ticket
                    .as_ref()
                    .is_some_and(|t| self.failed_recently(&t.issuer))
            {
                ticket = None;
            }
            let result = self
                .attempt(flow, id, ticket.as_ref(), presented, crashes)
                .await;
            let outcome = result.outcome;
            self.tally.record_attempt(Attempt {
                id,
                request,
                class,
                outcome,
                sent,
                ended: Instant::now(),
                node: result.node,
                why: result.why,
            });
            let new_id = match outcome {
                AttemptOutcome::Complete => {
                    let unused = result.ticket.into_iter();
                    let mut tickets = self.tickets.borrow_mut();
                    tickets.entry(class).or_default().extend(unused);
                    return outcome;
                }
                AttemptOutcome::Convicted | AttemptOutcome::Wrong => return outcome,
                AttemptOutcome::NotRun | AttemptOutcome::NoTicket | AttemptOutcome::Unconnected => {
                    true
                }
                AttemptOutcome::Failed
                | AttemptOutcome::Unknown
                | AttemptOutcome::Timeout
                | AttemptOutcome::Broken
                | AttemptOutcome::Below
                | AttemptOutcome::Error => flow.class.repeatable,
            };
            // When the request may have run, its ticket is presented again, with the same
            // identifier.
            if new_id {
                id += 1;
                ticket = result.ticket;
            }
            presented = !new_id;
            if outcome == AttemptOutcome::NoTicket && !ticket_requested {
                ticket_requested = true;
                continue;
            }
            let policy = self.dial.0.retry_policy.get();
            if retries >= policy.retries || id % IDS_PER_REQUEST == IDS_PER_REQUEST - 1 {
                return outcome;
            }
            retries += 1;
            sleep(policy.backoff.unwrap_or(result.backoff)).await;
        }
    }

    fn take_ticket(&self, flow: &Flow, class: usize) -> Option<HeldTicket> {
        if flow.class.repeatable {
            return None;
        }
        let mut tickets = self.tickets.borrow_mut();
        let held = tickets.get_mut(&class)?;
        let fresh =
            |h: &HeldTicket| h.received_at.elapsed() < Duration::from_millis(TICKET_MAX_AGE_MS);
        held.retain(|h| fresh(h) && !self.failed_recently(&h.issuer));
        held.pop()
    }

    async fn attempt(
        &self,
        flow: &Flow,
        id: u64,
        mut ticket: Option<&HeldTicket>,
        presented: bool,
        crashes: bool,
    ) -> AttemptResult {
        let limit = flow.class.deadline() + Duration::from_millis(DEADLINE_MARGIN_MS);
        let no_response = |outcome, node| AttemptResult {
            outcome,
            ticket: None,
            backoff: Duration::from_millis(DEADLINE_MARGIN_MS),
            node,
            why: None,
        };
        for _ in 0..MAX_CONNECT_ATTEMPTS {
            let Some(to) = self.choose_node(&flow.chain.entry, ticket) else {
                return no_response(AttemptOutcome::Unconnected, None);
            };
            let Some(request) = build_request(flow, id, ticket, crashes) else {
                return no_response(AttemptOutcome::Error, None);
            };
            match timeout(limit, self.client.send(to, request)).await {
                Err(_) => {
                    self.failed_nodes.borrow_mut().insert(to, Instant::now());
                    return no_response(AttemptOutcome::Timeout, Some(to));
                }
                Ok(Err(Failure::Broken)) => {
                    self.failed_nodes.borrow_mut().insert(to, Instant::now());
                    return no_response(AttemptOutcome::Broken, Some(to));
                }
                Ok(Err(Failure::Connect)) => {
                    self.failed_nodes.borrow_mut().insert(to, Instant::now());
                    if ticket.is_some_and(|t| t.issuer == to) && !presented {
                        ticket = None;
                    }
                }
                Ok(Ok(response)) => return read_response(flow, id, to, &response),
            }
        }
        no_response(AttemptOutcome::Unconnected, None)
    }

    /// Whether a connection to the node failed or broke, or a request timed out there, within
    /// [`NODE_COOLDOWN_MS`].
    fn failed_recently(&self, at: &SocketAddr) -> bool {
        let failed_nodes = self.failed_nodes.borrow();
        let last_failure = failed_nodes.get(at);
        last_failure.is_some_and(|t| t.elapsed() < Duration::from_millis(NODE_COOLDOWN_MS))
    }

    fn choose_node(
        &self,
        service: &ServiceName,
        ticket: Option<&HeldTicket>,
    ) -> Option<SocketAddr> {
        let directory = self.directory.borrow();
        let nodes = directory.get(service)?;
        let available = |a: &&SocketAddr| !self.failed_recently(a);
        let mut rng = self.rng.borrow_mut();
        // Most tickets are presented to the node that issued them, some to any node.
        if let Some(held) = ticket
            && available(&&held.issuer)
            && rng.f64() < 0.8
        {
            return Some(held.issuer);
        }
        let candidates: Vec<_> = nodes.iter().filter(available).copied().collect();
        rng.choice(if candidates.is_empty() {
            nodes.clone()
        } else {
            candidates
        })
    }
}

fn build_request(
    flow: &Flow,
    id: u64,
    ticket: Option<&HeldTicket>,
    crashes: bool,
) -> Option<Request<Body>> {
    // Path and body are the same for all attempts of a request, and so is the fingerprint by which
    // nodes detect repeats.
    let request_number = id / IDS_PER_REQUEST;
    let mut request = Request::builder()
        .method(flow.chain.method.as_str())
        .uri(format!(
            "{}/{request_number}",
            flow.chain.path.trim_end_matches('/')
        ))
        .header(http::header::HOST, flow.chain.entry.as_str())
        .header(ID_HEADER, id)
        .header(BYTES_HEADER, flow.response_bytes);
    if let Some(held) = ticket {
        request = request.header(header::IDEMPOTENCY_KEY, &held.ticket);
    }
    if crashes {
        request = request.header(CRASH_HEADER, "1");
    }
    let body = match flow.request_bytes {
        0 => Bytes::new(),
        bytes => expected_body(request_number, "request", bytes),
    };
    request.body(Body::new(body)).ok()
}

fn read_response(flow: &Flow, id: u64, node: SocketAddr, response: &Reply) -> AttemptResult {
    let ticket = response.header(header::TICKET).map(|ticket| HeldTicket {
        ticket: ticket.to_owned(),
        issuer: node,
        received_at: Instant::now(),
    });
    let backoff_ms = response
        .header(header::RETRY_MS)
        .and_then(|t| t.parse().ok());
    let node_outcome = response
        .header(header::OUTCOME)
        .and_then(|t| t.parse::<Outcome>().ok());
    let outcome = match node_outcome {
        Some(Outcome::Complete) if !response.status.is_success() => {
            match response.header(BELOW_HEADER) == Some(Outcome::NotRun.as_str()) {
                true => AttemptOutcome::Below,
                false => AttemptOutcome::Error,
            }
        }
        Some(Outcome::Complete) => {
            let expected = expected_body(id, flow.chain.entry.as_str(), flow.response_bytes);
            match response.body == expected {
                true => AttemptOutcome::Complete,
                false => AttemptOutcome::Wrong,
            }
        }
        Some(Outcome::NotRun) if response.status.as_u16() == 428 => AttemptOutcome::NoTicket,
        Some(Outcome::NotRun) => AttemptOutcome::NotRun,
        Some(Outcome::Failed) if response.headers.contains_key(header::CONVICTED) => {
            AttemptOutcome::Convicted
        }
        Some(Outcome::Failed) => AttemptOutcome::Failed,
        Some(Outcome::Unknown) => AttemptOutcome::Unknown,
        None => AttemptOutcome::Error,
    };
    AttemptResult {
        outcome,
        ticket,
        backoff: Duration::from_millis(backoff_ms.unwrap_or(DEADLINE_MARGIN_MS)),
        node: Some(node),
        why: response.header(header::WHY).map(str::to_owned),
    }
}
