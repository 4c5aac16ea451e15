//! Callers outside: arrivals, tickets, retries, and a check of every answer.

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
    ledger::pattern,
    server::{BELOW, BYTES, CRASH, ID},
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

/// Addresses of the nodes that callers know, by service; cheap to clone.
pub type Directory = Rc<RefCell<BTreeMap<ServiceName, Vec<SocketAddr>>>>;

/// A caller waits for this long past the deadline before it gives up.
const MARGIN_MS: u64 = 500;
/// Addresses that a caller tries when there is no connection.
const ADDRESSES: usize = 4;
/// An address without a connection is left alone for this time.
const AVOID_MS: u64 = 2_000;
/// Tickets are used for half of their lifetime at most.
const TICKET_MS: u64 = 30_000;
/// Longest step between two looks at the current demand.
const STEP_MS: u64 = 50;
/// Attempt identifiers per client request.
const ATTEMPTS: u64 = 64;

/// How callers repeat what was not answered.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Manners {
    /// Further attempts.
    pub tries: u32,
    /// Time before each; as told by the node when absent.
    pub wait: Option<Duration>,
}

/// Demand and manners, which events change during a run; cheap to clone.
#[derive(Debug, Clone)]
pub struct Dial(Rc<Settings>);

#[derive(Debug)]
struct Settings {
    demand: Cell<f64>,
    chains: RefCell<BTreeMap<ChainName, f64>>,
    manners: Cell<Manners>,
    marked: Cell<u32>,
}

impl Dial {
    /// A dial at normal demand.
    pub fn new(manners: Manners) -> Self {
        Self(Rc::new(Settings {
            demand: Cell::new(1.0),
            chains: RefCell::default(),
            manners: Cell::new(manners),
            marked: Cell::new(0),
        }))
    }

    /// Multiplies the normal demand of one chain, or of all.
    pub fn demand(&self, chain: Option<&ChainName>, factor: f64) {
        match chain {
            Some(chain) => {
                self.0.chains.borrow_mut().insert(chain.clone(), factor);
            }
            None => self.0.demand.set(factor),
        }
    }

    fn factor(&self, chain: &ChainName) -> f64 {
        let own = self.0.chains.borrow().get(chain).copied();
        self.0.demand.get() * own.unwrap_or(1.0)
    }

    /// Changes how callers repeat.
    pub fn manners(&self, manners: Manners) {
        self.0.manners.set(manners);
    }

    /// Marks the next `count` requests so that they crash backend servers.
    pub fn mark(&self, count: u32) {
        self.0.marked.set(count);
    }
}

/// Requests of one kind.
#[derive(Debug, Clone)]
pub struct Flow {
    /// Chain that they take.
    pub chain: Chain,
    /// Their class.
    pub class: Class,
    /// Arrivals per second at normal demand.
    pub rate: f64,
    /// Bytes of an answer.
    pub bytes: usize,
    /// Bytes of a request's body.
    pub body: usize,
}

#[derive(Debug, Clone)]
struct Held {
    ticket: String,
    from: SocketAddr,
    at: Instant,
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
    dial: Dial,
    tally: Tally,
    rng: RefCell<fastrand::Rng>,
    avoid: RefCell<BTreeMap<SocketAddr, Instant>>,
    tickets: RefCell<BTreeMap<usize, Vec<Held>>>,
}

struct Try {
    outcome: AttemptOutcome,
    ticket: Option<Held>,
    wait: Duration,
    node: Option<SocketAddr>,
    why: Option<String>,
}

impl<N: Net> Callers<N> {
    /// Callers that dial from `net`.
    pub fn new(net: N, directory: Directory, dial: Dial, tally: Tally, seed: u64) -> Self {
        Self(Rc::new(State {
            client: Client::new(net),
            directory,
            dial,
            tally,
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
            avoid: RefCell::default(),
            tickets: RefCell::default(),
        }))
    }

    /// Sends the requests of one flow until `end`, and waits for the last answer.
    pub async fn run(self, flow: Flow, end: Instant) {
        let Some(class) = self.0.tally.position(&flow.class.name) else {
            return;
        };
        let flow = Rc::new(flow);
        let mut tasks = JoinSet::new();
        let mut next = Instant::now();
        loop {
            let rate = flow.rate * self.0.dial.factor(&flow.chain.name);
            let gap = -(1.0 - self.0.rng.borrow_mut().f64()).ln() / rate.max(1e-6);
            let step = Duration::from_millis(STEP_MS);
            let arrives = gap < step.as_secs_f64();
            next += if arrives {
                Duration::from_secs_f64(gap)
            } else {
                step
            };
            if next >= end {
                break;
            }
            sleep_until(next).await;
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
        self.tally.arrived(class, arrived);
        let marked = self.dial.0.marked.get();
        self.dial.0.marked.set(marked.saturating_sub(1));
        let outcome = self.attempts(flow, class, marked > 0).await;
        self.tally.ended(class, arrived, outcome);
    }

    async fn attempts(&self, flow: &Flow, class: usize, marked: bool) -> AttemptOutcome {
        let request = self.tally.number();
        let mut id = request * ATTEMPTS;
        let mut ticket = self.ticket(flow, class);
        let mut asked = false;
        let mut presented = false;
        let mut tries = 0;
        loop {
            let sent = Instant::now();
            // A ticket that was never presented can be given up without risk.
            if !presented && ticket.as_ref().is_some_and(|t| self.avoids(&t.from)) {
                ticket = None;
            }
            let result = self
                .attempt(flow, id, ticket.as_ref(), presented, marked)
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
            let again = match outcome {
                AttemptOutcome::Complete => {
                    let spare = result.ticket.into_iter();
                    let mut all = self.tickets.borrow_mut();
                    all.entry(class).or_default().extend(spare);
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
            // A ticket that may have run is presented again as it is; the identifier stays with it.
            if again {
                id += 1;
                ticket = result.ticket;
            }
            presented = !again;
            if outcome == AttemptOutcome::NoTicket && !asked {
                asked = true;
                continue;
            }
            let manners = self.dial.0.manners.get();
            if tries >= manners.tries || id % ATTEMPTS == ATTEMPTS - 1 {
                return outcome;
            }
            tries += 1;
            sleep(manners.wait.unwrap_or(result.wait)).await;
        }
    }

    fn ticket(&self, flow: &Flow, class: usize) -> Option<Held> {
        if flow.class.repeatable {
            return None;
        }
        let mut all = self.tickets.borrow_mut();
        let held = all.get_mut(&class)?;
        let young = |h: &Held| h.at.elapsed() < Duration::from_millis(TICKET_MS);
        held.retain(|h| young(h) && !self.avoids(&h.from));
        held.pop()
    }

    async fn attempt(
        &self,
        flow: &Flow,
        id: u64,
        mut ticket: Option<&Held>,
        presented: bool,
        marked: bool,
    ) -> Try {
        let limit = flow.class.deadline() + Duration::from_millis(MARGIN_MS);
        let nothing = |outcome, node| Try {
            outcome,
            ticket: None,
            wait: Duration::from_millis(MARGIN_MS),
            node,
            why: None,
        };
        for _ in 0..ADDRESSES {
            let Some(to) = self.choose(&flow.chain.entry, ticket) else {
                return nothing(AttemptOutcome::Unconnected, None);
            };
            let Some(request) = request(flow, id, ticket, marked) else {
                return nothing(AttemptOutcome::Error, None);
            };
            match timeout(limit, self.client.send(to, request)).await {
                Err(_) => {
                    self.avoid.borrow_mut().insert(to, Instant::now());
                    return nothing(AttemptOutcome::Timeout, Some(to));
                }
                Ok(Err(Failure::Broken)) => {
                    self.avoid.borrow_mut().insert(to, Instant::now());
                    return nothing(AttemptOutcome::Broken, Some(to));
                }
                Ok(Err(Failure::Connect)) => {
                    self.avoid.borrow_mut().insert(to, Instant::now());
                    if ticket.is_some_and(|t| t.from == to) && !presented {
                        ticket = None;
                    }
                }
                Ok(Ok(reply)) => return read(flow, id, to, &reply),
            }
        }
        nothing(AttemptOutcome::Unconnected, None)
    }

    /// Whether a node was out of reach or did not answer recently.
    fn avoids(&self, at: &SocketAddr) -> bool {
        let avoid = self.avoid.borrow();
        let last = avoid.get(at);
        last.is_some_and(|t| t.elapsed() < Duration::from_millis(AVOID_MS))
    }

    fn choose(&self, service: &ServiceName, ticket: Option<&Held>) -> Option<SocketAddr> {
        let directory = self.directory.borrow();
        let all = directory.get(service)?;
        let recent = |a: &&SocketAddr| !self.avoids(a);
        let mut rng = self.rng.borrow_mut();
        // Most callers present a ticket where they got it, some at any node.
        if let Some(held) = ticket
            && recent(&&held.from)
            && rng.f64() < 0.8
        {
            return Some(held.from);
        }
        let fit: Vec<_> = all.iter().filter(recent).copied().collect();
        rng.choice(if fit.is_empty() { all.clone() } else { fit })
    }
}

fn request(flow: &Flow, id: u64, ticket: Option<&Held>, marked: bool) -> Option<Request<Body>> {
    // All attempts of one request have the same fingerprint, so that repeats are recognized.
    let number = id / ATTEMPTS;
    let mut request = Request::builder()
        .method(flow.chain.method.as_str())
        .uri(format!(
            "{}/{number}",
            flow.chain.path.trim_end_matches('/')
        ))
        .header(http::header::HOST, flow.chain.entry.as_str())
        .header(ID, id)
        .header(BYTES, flow.bytes);
    if let Some(held) = ticket {
        request = request.header(header::IDEMPOTENCY_KEY, &held.ticket);
    }
    if marked {
        request = request.header(CRASH, "1");
    }
    let body = match flow.body {
        0 => Bytes::new(),
        bytes => pattern(number, "request", bytes),
    };
    request.body(Body::new(body)).ok()
}

fn read(flow: &Flow, id: u64, from: SocketAddr, reply: &Reply) -> Try {
    let ticket = reply.header(header::TICKET).map(|ticket| Held {
        ticket: ticket.to_owned(),
        from,
        at: Instant::now(),
    });
    let wait = reply.header(header::RETRY_MS).and_then(|t| t.parse().ok());
    let node_outcome = reply
        .header(header::OUTCOME)
        .and_then(|t| t.parse::<Outcome>().ok());
    let outcome = match node_outcome {
        Some(Outcome::Complete) if !reply.status.is_success() => {
            match reply.header(BELOW) == Some(Outcome::NotRun.as_str()) {
                true => AttemptOutcome::Below,
                false => AttemptOutcome::Error,
            }
        }
        Some(Outcome::Complete) => {
            let expected = pattern(id, flow.chain.entry.as_str(), flow.bytes);
            match reply.body == expected {
                true => AttemptOutcome::Complete,
                false => AttemptOutcome::Wrong,
            }
        }
        Some(Outcome::NotRun) if reply.status.as_u16() == 428 => AttemptOutcome::NoTicket,
        Some(Outcome::NotRun) => AttemptOutcome::NotRun,
        Some(Outcome::Failed) if reply.headers.contains_key(header::CONVICTED) => {
            AttemptOutcome::Convicted
        }
        Some(Outcome::Failed) => AttemptOutcome::Failed,
        Some(Outcome::Unknown) => AttemptOutcome::Unknown,
        None => AttemptOutcome::Error,
    };
    Try {
        outcome,
        ticket,
        wait: Duration::from_millis(wait.unwrap_or(MARGIN_MS)),
        node: Some(from),
        why: reply.header(header::WHY).map(str::to_owned),
    }
}
