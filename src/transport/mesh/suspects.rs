//! Exchange of suspect and convicted requests between the nodes of one service.
//!
//! A request that crashes backend servers comes back to any of them. Each node tells the others at
//! once which requests were in flight when its server crashed, so that the request is found after
//! three crashes of the service instead of two of each server.

use std::{collections::BTreeSet, net::SocketAddr, rc::Rc, str, time::Duration};

use bytes::Bytes;
use futures::future::join_all;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use thiserror::Error;
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::{
    coordination::gate::Gate,
    protocol::{call::write, header, suspects},
    state::{counters::Counter, id::Fingerprint, suspect::SuspectReport},
};

use super::{
    super::{
        chunks::Chunks,
        health::{Health, Watched},
        link::SendError,
        net::Net,
        pool::Pool,
        reply::{Body, with_framing},
    },
    shared::Mesh,
};

const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before the nodes that could not be reached are told again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Number of nodes that a node which has just started asks at a time; one answer is enough.
const STARTUP_PEERS: usize = 3;
/// Bound on a report; a full table takes about 200 KB.
const BODY_MAX_BYTES: usize = 1 << 20;

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

/// Tells the task that shares suspects when there is something new.
#[derive(Debug, Default)]
pub struct Sharing {
    changed: Notify,
}

impl Sharing {
    /// Makes the task report to all nodes of the service.
    pub fn notify(&self) {
        self.changed.notify_one();
    }
}

/// Asks some nodes of the service for what they know, then tells all of them what is new, until
/// `stop` is cancelled.
pub async fn run<N: Net, D: 'static>(mesh: Rc<Mesh<N, D>>, stop: CancellationToken) {
    let share = async {
        learn(&mesh).await;
        loop {
            mesh.suspects.changed.notified().await;
            tell_all(&mesh).await;
        }
    };
    stop.run_until_cancelled(share).await;
}

/// Asks nodes of the service until one has answered, or all were asked. Their crashes before the
/// start of this process are unknown to it.
async fn learn<N: Net, D>(mesh: &Mesh<N, D>) {
    while !mesh.listed.get() {
        sleep(RETRY_PAUSE).await;
    }
    let peers: Vec<_> = peers(mesh).into_iter().collect();
    for some in peers.chunks(STARTUP_PEERS) {
        if !exchange_with(mesh, some.iter().copied()).await.is_empty() {
            return;
        }
    }
}

/// Tells the other nodes of the service, those that can't be reached again after a pause as long as
/// the store lists their servers.
async fn tell_all<N: Net, D>(mesh: &Mesh<N, D>) {
    let mut told = BTreeSet::new();
    loop {
        let pending: Vec<_> = peers(mesh).difference(&told).copied().collect();
        if pending.is_empty() || mesh.gate.suspects() == SuspectReport::default() {
            return;
        }
        let count = pending.len();
        let reached = exchange_with(mesh, pending.into_iter()).await;
        if reached.len() < count {
            tokio::select! {
                biased;
                () = mesh.suspects.changed.notified() => told.clear(),
                () = sleep(RETRY_PAUSE) => told.extend(reached),
            }
        } else {
            told.extend(reached);
        }
    }
}

/// The other nodes of the service.
fn peers<N: Net, D>(mesh: &Mesh<N, D>) -> BTreeSet<SocketAddr> {
    let registry = mesh.registry.borrow();
    let port = mesh.settings.inbound.port();
    let servers = registry.iter().map(|record| &record.backend);
    let others = servers.filter(|server| {
        server.service == mesh.settings.service && server.address != mesh.settings.server
    });
    others
        .map(|server| SocketAddr::new(server.address.ip(), port))
        .collect()
}

/// Exchanges reports with some nodes at the same time; returns those that have answered.
async fn exchange_with<N: Net, D>(
    mesh: &Mesh<N, D>,
    peers: impl Iterator<Item = SocketAddr>,
) -> Vec<SocketAddr> {
    let report = mesh.gate.suspects();
    let body = Bytes::from(suspects::write(&report));
    let exchanges = peers.map(async |peer| {
        let exchange = exchange(mesh, peer, body.clone());
        let result = timeout(EXCHANGE_TIMEOUT, exchange).await;
        match result.unwrap_or(Err(ExchangeError::Timeout)) {
            Ok(received) => {
                merge(mesh, &received);
                Some(peer)
            }
            Err(error) => {
                log::debug!(node:% = peer, error:%; "suspects were not exchanged");
                // The connection may have fallen silent.
                mesh.links.renew(peer);
                None
            }
        }
    });
    let reached = join_all(exchanges).await;
    reached.into_iter().flatten().collect()
}

async fn exchange<N: Net, D>(
    mesh: &Mesh<N, D>,
    peer: SocketAddr,
    body: Bytes,
) -> Result<SuspectReport> {
    let request = Request::post(format!("http://{peer}/")).body(Chunks::from(body));
    let mut request = request.map_err(|e| ExchangeError::Answer(e.to_string()))?;
    write(request.headers_mut(), header::SUSPECTS, &1);
    mesh.counters.add(Counter::SuspectsSent, 1);
    let response = mesh.links.send(peer, request).await?;
    if response.status() != StatusCode::OK {
        return Err(ExchangeError::Answer(response.status().to_string()));
    }
    read_report(response.into_body()).await
}

async fn read_report(body: Incoming) -> Result<SuspectReport> {
    let body = Limited::new(body, BODY_MAX_BYTES).collect().await;
    let body = body.map_err(|e| ExchangeError::Answer(e.to_string()))?;
    let body = body.to_bytes();
    let text = str::from_utf8(&body).map_err(|e| ExchangeError::Answer(e.to_string()))?;
    suspects::read(text).map_err(|e| ExchangeError::Answer(e.to_string()))
}

/// Merges the report of another node. The others have to know if a suspect of this node is one of
/// that node, too: each has heard of one crash from each of the two.
fn merge<N: Net, D>(mesh: &Mesh<N, D>, report: &SuspectReport) {
    if mesh.gate.merge_suspects(report) {
        mesh.suspects.notify();
    }
    let known = mesh.gate.suspects();
    let count = known.suspects.len() + known.recurrent.len() + known.convicted.len();
    mesh.counters.set(Counter::Suspects, count as u64);
}

/// Whether a request of another node reports suspects.
pub fn is_request(headers: &HeaderMap) -> bool {
    headers.contains_key(header::SUSPECTS)
}

/// Answers a node that reports suspects with those of this node.
pub async fn answer<N: Net, D>(mesh: &Mesh<N, D>, body: Incoming) -> Response<Body> {
    let received = match timeout(EXCHANGE_TIMEOUT, read_report(body)).await {
        Ok(Ok(report)) => report,
        Ok(Err(_)) | Err(_) => {
            mesh.counters.add(Counter::MessagesRefused, 1);
            let mut response = Response::new(Body::whole(Bytes::new()));
            *response.status_mut() = StatusCode::BAD_REQUEST;
            return response;
        }
    };
    let own = suspects::write(&mesh.gate.suspects());
    merge(mesh, &received);
    mesh.counters.add(Counter::SuspectsReceived, 1);
    with_framing(Response::new(Body::whole(Bytes::from(own))))
}

impl<N: Net, D> Watched for Mesh<N, D> {
    type Net = N;

    fn pool(&self) -> &Pool<N> {
        &self.pool
    }

    fn gate(&self) -> &Gate {
        &self.gate
    }

    fn health(&self) -> &Health {
        &self.health
    }

    fn record_crash(&self, suspects: &[Fingerprint], accepts: bool) {
        self.counters.add(Counter::ServerLost, 1);
        log::warn!(in_flight = suspects.len(), accepts; "backend server lost its connections");
        for request in suspects {
            log::info!(request:%; "request is suspected of crashing the backend server");
        }
        for (request, _) in self.gate.suspects().convicted {
            log::info!(request:%; "request is convicted of crashing backend servers");
        }
        self.suspects.notify();
    }

    fn record_recovery(&self) {
        log::info!("backend server accepts connections again");
    }
}
