//! Quotas of organisations at a node: tokens for the requests of its callers, and the exchange of
//! shares and tokens with the lenders.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde_json::{Map, Value, json};
use thiserror::Error;
use tokio::{
    sync::Notify,
    time::{Instant, sleep_until, timeout, timeout_at},
};
use tokio_util::sync::CancellationToken;

use crate::{
    protocol::{
        call::{read_required, write},
        header, quota as form,
    },
    state::{
        counters::Counter,
        id::OrganisationName,
        mesh::{
            organisation::{Organisation, Organisations, Quota},
            quota::{
                Ask, Borrower, FleetSize, Grant, Lender, QuotaBounds, QuotaKey, Taken, Token,
                lenders,
            },
        },
    },
};

use super::{
    super::{
        chunks::Chunks,
        link::SendError,
        net::Net,
        reply::{Body, with_framing},
    },
    shared::Mesh,
};

mod explain;

/// Longest wait of a request for an answer of the lenders.
const WAIT_MAX: Duration = Duration::from_millis(100);
/// Time allowed for the answer of a lender, ten round trips between availability zones; a request
/// can wait for two lenders.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);
/// Time allowed for the body of a message.
const BODY_TIMEOUT: Duration = Duration::from_millis(100);
/// Missing answers in a row after which a new connection to a lender is opened. A single one may be
/// late because the lender is busy.
const RENEW_AFTER: u32 = 3;

/// Time without a refusal after which an organisation counts as within its quota.
const OVER_END: Duration = Duration::from_secs(10);
/// Most organisations over their quota in the dump.
const DUMP_MAX: usize = 20;

#[derive(Debug, Error)]
enum ExchangeError {
    #[error(transparent)]
    Send(#[from] SendError),
    #[error("could not get an answer within the time limit")]
    Timeout,
    #[error("could not use the answer: {0}")]
    Answer(String),
}

type Result<T, E = ExchangeError> = std::result::Result<T, E>;

/// The quotas in effect, and the tokens and shares of this node.
#[derive(Debug)]
pub struct Quotas {
    limits: RefCell<BTreeMap<QuotaKey, Quota>>,
    borrower: RefCell<Borrower<QuotaKey>>,
    lender: RefCell<Lender<QuotaKey>>,
    size: RefCell<FleetSize>,
    lenders: RefCell<Vec<SocketAddr>>,
    wake: Notify,
    round_ended: Notify,
    over: RefCell<BTreeMap<OrganisationName, Over>>,
    /// Missing answers in a row.
    failures: RefCell<BTreeMap<SocketAddr, u32>>,
    is_reached: Cell<bool>,
    /// Whether the backend server beside this node leaves, as its entry or an answer states. The
    /// others count no share for the node then.
    pub is_leaving: Cell<bool>,
}

/// A token that a request of an organisation holds.
#[derive(Debug)]
pub struct HeldToken {
    key: QuotaKey,
    token: Token,
}

/// Why a request gets no token.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
#[error("the organisation is over its quota; a token is due in {} ms", due.as_millis())]
pub struct OverQuota {
    /// Time until a token is due for this caller.
    pub due: Duration,
}

impl Quotas {
    /// The state of a node that starts now.
    pub fn new(rng: &mut fastrand::Rng) -> Self {
        let now = Instant::now();
        Self {
            limits: RefCell::default(),
            borrower: RefCell::new(Borrower::new(now)),
            lender: RefCell::new(Lender::new(rng.u32(..), now)),
            size: RefCell::default(),
            lenders: RefCell::default(),
            wake: Notify::new(),
            round_ended: Notify::new(),
            over: RefCell::default(),
            failures: RefCell::default(),
            is_reached: Cell::new(true),
            is_leaving: Cell::new(false),
        }
    }

    /// Whether any organisation has a quota.
    pub fn is_active(&self) -> bool {
        !self.limits.borrow().is_empty()
    }

    /// Puts the quotas of a configuration in effect.
    pub fn set_limits(&self, organisations: Option<&Organisations>, bounds: &QuotaBounds) {
        let all = organisations.into_iter().flat_map(Organisations::iter);
        let limits = all.filter_map(|o| limit(o).map(|quota| (QuotaKey::of(&o.name), quota)));
        *self.limits.borrow_mut() = limits.collect();
        let limits = self.limits.borrow();
        let mut borrower = self.borrower.borrow_mut();
        borrower.set_quotas(|key| limits.get(key).map(|quota| bounds.allotment(quota)));
        if !limits.is_empty() {
            self.wake.notify_one();
        }
    }

    /// Records the nodes that are known, any of which may lend, and those that leave.
    pub fn set_nodes(
        &self,
        own: SocketAddr,
        nodes: BTreeSet<SocketAddr>,
        leaving: &BTreeSet<SocketAddr>,
    ) {
        let had_none = self.lenders.borrow().is_empty();
        self.lenders.replace(lenders(own, nodes.iter().copied()));
        if had_none {
            self.wake.notify_one();
        }
        let mut size = self.size.borrow_mut();
        size.update(nodes, leaving, Instant::now());
    }

    fn record_over(&self, organisation: &OrganisationName, now: Instant) {
        let mut over = self.over.borrow_mut();
        if let Some(known) = over.get_mut(organisation) {
            (known.count, known.last) = (known.count + 1, now);
            return;
        }
        log::info!(organisation:%; "organisation is over its quota");
        let (count, last) = (1, now);
        over.insert(organisation.clone(), Over { count, last });
    }

    fn end_over(&self, now: Instant) {
        let mut over = self.over.borrow_mut();
        let ended = over.extract_if(.., |_, over| now >= over.last + OVER_END);
        for (organisation, Over { count, .. }) in ended {
            log::info!(organisation:%, refused = count; "organisation is within its quota again");
        }
    }

    /// State of this node's share and of the organisations that are over their quotas, for the dump.
    pub fn dump(&self) -> Value {
        let now = Instant::now();
        let (limits, over) = (self.limits.borrow(), self.over.borrow());
        let over = over.iter().take(DUMP_MAX);
        let over = over.map(|(name, over)| (name.to_string(), over.count.into()));
        json!({
            "quotas": limits.len(),
            "nodes": self.fleet(now),
            "lenders": *self.lenders.borrow(),
            "lent_to": self.borrower.borrow().lent_to(now),
            "shares": self.lender.borrow().part(),
            "over": over.collect::<Map<_, _>>(),
        })
    }

    fn fleet(&self, now: Instant) -> u32 {
        self.size.borrow().get(now)
    }
}

/// Refusals of an organisation that is over its quota.
#[derive(Debug)]
struct Over {
    count: u64,
    last: Instant,
}

/// The quota of an organisation; a rate of 0 means that it has none.
fn limit(organisation: &Organisation) -> Option<Quota> {
    organisation.quota.filter(|quota| quota.per_second > 0.0)
}

/// A request that waits for an answer of the lenders.
struct Waiting<'a> {
    quotas: &'a Quotas,
    key: QuotaKey,
}

impl<'a> Waiting<'a> {
    fn start(quotas: &'a Quotas, key: QuotaKey) -> Self {
        quotas.borrower.borrow_mut().set_waiting(key, 1);
        Self { quotas, key }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.quotas.borrower.borrow_mut().set_waiting(self.key, -1);
    }
}

/// Takes a token for a caller's request; none is needed if its organisation has no quota. Waits up
/// to [`WAIT_MAX`] if the lenders have to be asked.
///
/// # Errors
/// The organisation is over its quota.
pub async fn take<N: Net, D>(
    mesh: &Mesh<N, D>,
    organisation: &OrganisationName,
) -> Result<Option<HeldToken>, OverQuota> {
    let quotas = &mesh.quotas;
    if !quotas.is_active() {
        return Ok(None);
    }
    let key = QuotaKey::of(organisation);
    let Some(quota) = quotas.limits.borrow().get(&key).copied() else {
        return Ok(None);
    };
    let started = Instant::now();
    let all = mesh.bounds().quota.allotment(&quota);
    quotas.borrower.borrow_mut().request(key, all, started);
    let mut waiting = None;
    loop {
        let now = Instant::now();
        let fleet = match quotas.is_leaving.get() {
            true => u32::MAX,
            false => quotas.fleet(now),
        };
        let taken = quotas.borrower.borrow_mut().try_take(key, fleet, now);
        let due = match taken {
            Taken::Token(token) => return Ok(Some(HeldToken { key, token })),
            Taken::Over(due) => due,
            Taken::Ask => {
                waiting.get_or_insert_with(|| Waiting::start(quotas, key));
                let round_ended = quotas.round_ended.notified();
                quotas.wake.notify_one();
                if timeout_at(started + WAIT_MAX, round_ended).await.is_ok() {
                    continue;
                }
                WAIT_MAX
            }
        };
        mesh.counters.add(Counter::QuotaRefused, 1);
        quotas.record_over(organisation, Instant::now());
        // Callers that are refused together come back at different times.
        let spread = 1.0 + mesh.rng.borrow_mut().f64();
        let due = due.mul_f64(spread);
        return Err(OverQuota { due });
    }
}

/// Returns the token of a request that did not run.
pub fn give_back<N: Net, D>(mesh: &Mesh<N, D>, held: HeldToken) {
    let mut borrower = mesh.quotas.borrower.borrow_mut();
    borrower.give_back(held.key, held.token, Instant::now());
}

/// Asks the lenders when a request needs a token, and renews the loan of the share, until `stop` is
/// cancelled. Without quotas, it waits for a configuration that has some.
pub async fn run<N: Net, D: 'static>(mesh: Rc<Mesh<N, D>>, stop: CancellationToken) {
    let ask = async {
        loop {
            if !mesh.quotas.is_active() || mesh.quotas.lenders.borrow().is_empty() {
                mesh.quotas.wake.notified().await;
                continue;
            }
            let renew_at = mesh.quotas.borrower.borrow().renew_at();
            tokio::select! {
                biased;
                () = mesh.quotas.wake.notified() => {}
                () = sleep_until(renew_at) => {}
            }
            round(&mesh).await;
            mesh.quotas.round_ended.notify_waiters();
        }
    };
    stop.run_until_cancelled(ask).await;
}

/// Asks one lender after the other until each organisation has the tokens that it needs.
async fn round<N: Net, D>(mesh: &Mesh<N, D>) {
    let quotas = &mesh.quotas;
    let known = quotas.lenders.borrow().clone();
    let order = quotas.borrower.borrow().order(&known, Instant::now());
    let mut may_lend = !mesh.retiring.get() && !quotas.is_leaving.get();
    let mut is_reached = false;
    for lender in order {
        let now = Instant::now();
        let fleet = quotas.fleet(now);
        let ask = quotas
            .borrower
            .borrow_mut()
            .ask(lender, may_lend, fleet, now);
        let is_starting = quotas.borrower.borrow().is_starting(now);
        if is_reached && ask.entries.is_empty() && !is_starting {
            break;
        }
        match exchange(mesh, lender, &ask).await {
            Ok(grant) => {
                let mut borrower = quotas.borrower.borrow_mut();
                borrower.granted(lender, &ask, &grant, now, Instant::now());
                (is_reached, may_lend) = (true, false);
                if is_starting {
                    quotas.size.borrow_mut().learn(grant.fleet, now);
                } else if !borrower.is_short() {
                    break;
                }
            }
            Err(error) => {
                log::debug!(node:% = lender, error:%; "lender of quota tokens did not answer");
                let mut borrower = quotas.borrower.borrow_mut();
                borrower.unreachable(lender, Instant::now());
            }
        }
    }
    let mut borrower = quotas.borrower.borrow_mut();
    borrower.end_round(&known, Instant::now());
    let (expired, returned) = borrower.take_counts();
    let active = borrower.len() as u64;
    drop(borrower);
    quotas.end_over(Instant::now());
    mesh.counters.add(Counter::QuotaExpired, expired);
    mesh.counters.add(Counter::QuotaReturned, returned);
    mesh.counters.set(Counter::QuotaActive, active);
    if quotas.is_reached.replace(is_reached) != is_reached {
        match is_reached {
            true => log::info!("a lender of quota tokens answers again"),
            false => log::warn!("no lender of quota tokens can be reached"),
        }
    }
}

async fn exchange<N: Net, D>(
    mesh: &Mesh<N, D>,
    lender: SocketAddr,
    ask: &Ask<QuotaKey>,
) -> Result<Grant> {
    if lender == mesh.own_peer() {
        return Ok(lend(mesh, lender, ask));
    }
    mesh.counters.add(Counter::QuotaAsked, 1);
    let exchanged = timeout(ANSWER_TIMEOUT, send(mesh, lender, ask)).await;
    let result = exchanged.unwrap_or(Err(ExchangeError::Timeout));
    let mut failures = mesh.quotas.failures.borrow_mut();
    if result.is_ok() {
        failures.remove(&lender);
        return result;
    }
    let count = failures.entry(lender).or_default();
    *count += 1;
    if *count >= RENEW_AFTER {
        // The connection may have fallen silent.
        failures.remove(&lender);
        mesh.links.renew(lender);
    }
    result
}

async fn send<N: Net, D>(
    mesh: &Mesh<N, D>,
    lender: SocketAddr,
    ask: &Ask<QuotaKey>,
) -> Result<Grant> {
    let body = Chunks::from(Bytes::from(form::write_ask(ask)));
    let request = Request::post(format!("http://{lender}/")).body(body);
    let mut request = request.map_err(|e| ExchangeError::Answer(e.to_string()))?;
    let headers = request.headers_mut();
    write(headers, header::QUOTA, &form::VERSION);
    write(headers, header::QUOTA_FROM, &mesh.own_peer());
    let response = mesh.links.send(lender, request).await?;
    if response.status() != StatusCode::OK {
        return Err(ExchangeError::Answer(response.status().to_string()));
    }
    let body = read_body(response.into_body()).await;
    let body = body.ok_or_else(|| ExchangeError::Answer("its body is malformed".to_owned()))?;
    form::read_grant(&body).map_err(|e| ExchangeError::Answer(e.to_string()))
}

async fn read_body(body: Incoming) -> Option<Bytes> {
    let body = Limited::new(body, form::MESSAGE_MAX_BYTES).collect();
    let body = timeout(BODY_TIMEOUT, body).await.ok()?;
    body.ok().map(|body| body.to_bytes())
}

/// Whether a request of another node asks for quota tokens.
pub fn is_request(headers: &HeaderMap) -> bool {
    headers.contains_key(header::QUOTA)
}

/// Answers a node that asks for quota tokens.
pub async fn answer<N: Net, D>(
    mesh: &Mesh<N, D>,
    headers: &HeaderMap,
    body: Incoming,
) -> Response<Body> {
    let version: Option<u32> = read_required(headers, header::QUOTA).ok();
    let from: Option<SocketAddr> = read_required(headers, header::QUOTA_FROM).ok();
    let from = from.filter(|_| version == Some(form::VERSION));
    let ask = match (from, read_body(body).await) {
        (Some(from), Some(body)) => form::read_ask(&body).ok().map(|ask| (from, ask)),
        _ => None,
    };
    let Some((from, ask)) = ask else {
        mesh.counters.add(Counter::MessagesRefused, 1);
        let mut response = Response::new(Body::whole(Bytes::new()));
        *response.status_mut() = StatusCode::BAD_REQUEST;
        return response;
    };
    let grant = lend(mesh, from, &ask);
    let body = Body::whole(Bytes::from(form::write_grant(&grant)));
    with_framing(Response::new(body))
}

/// Lends tokens to a node, which may be this one.
fn lend<N: Net, D>(mesh: &Mesh<N, D>, from: SocketAddr, ask: &Ask<QuotaKey>) -> Grant {
    let now = Instant::now();
    let (quotas, bounds) = (&mesh.quotas, mesh.bounds().quota);
    let limits = quotas.limits.borrow();
    let allotment = |key: &QuotaKey| limits.get(key).map(|quota| bounds.allotment(quota));
    let mut lender = quotas.lender.borrow_mut();
    let grant = lender.answer(from, ask, quotas.fleet(now), allotment, now);
    let entries = grant.entries.iter();
    let lent: u64 = entries
        .map(|e| u64::from(e.tokens) + u64::from(e.reserve))
        .sum();
    mesh.counters.add(Counter::QuotaLent, lent);
    grant
}
