//! Changes of the platform's store, passed from the nodes that read it to the others of their zone.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use thiserror::Error;
use tokio::{
    sync::Notify,
    time::{Instant, timeout, timeout_at},
};

use crate::{
    protocol::{
        call::{HeaderError, read, read_required, write, write_unique},
        header,
    },
    state::{
        counters::Counter,
        mesh::{
            changelog::{Batch, ChangeLog, Lookup},
            readers::Source,
            revision::StoreRevision,
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

/// Share of the drain bound for which a reader holds back an answer without changes. A reader that
/// falls silent is noticed after this time and [`ANSWER_SHARE`], which leaves more than half of the
/// bound for reading the store.
const HOLD_SHARE: f64 = 0.3;
/// Share of the drain bound that an answer may take beyond that time.
const ANSWER_SHARE: f64 = 0.15;
/// Upper bound on the hold that another node may ask for.
const HOLD_MAX_MS: u64 = 30_000;
/// Time for which a node that could not pass on changes is not asked again.
const AVOID: Duration = Duration::from_secs(3);
const BODY_MAX_BYTES: usize = 8 * 1_024 * 1_024;

/// The changes that this node passes on.
#[derive(Debug, Default)]
pub struct Relay {
    log: RefCell<ChangeLog>,
    is_current: Cell<bool>,
    notify: Notify,
}

impl Relay {
    /// Continues from a revision after a complete list.
    pub fn restart(&self, at: StoreRevision) {
        self.log.borrow_mut().restart(at);
        self.notify.notify_waiters();
    }

    /// Passes on an answer of the store, or of another node.
    pub fn push(&self, batch: Batch) {
        self.log.borrow_mut().push(batch);
        self.notify.notify_waiters();
    }

    /// Sets whether this node follows the store, by itself or through others. If not, it passes
    /// nothing on. Returns whether this is a change.
    pub fn set_current(&self, is_current: bool) -> bool {
        let is_change = self.is_current.replace(is_current) != is_current;
        if is_change {
            self.notify.notify_waiters();
        }
        is_change
    }

    /// Answers the nodes that wait, because this node is about to stop.
    pub fn wake(&self) {
        self.notify.notify_waiters();
    }
}

/// Why a reader passed on no changes.
#[derive(Debug, Error)]
pub enum RelayError {
    /// Nothing was sent.
    #[error("could not ask the reader: {0}")]
    Unreachable(SendError),
    /// The connection broke, or the answer is malformed.
    #[error("could not read the answer of the reader: {0}")]
    Broken(String),
    /// No answer within the time limit.
    #[error("could not get an answer of the reader within the time limit")]
    Timeout,
    /// The node asked does not follow the store at the moment.
    #[error("could not get changes from the reader: it does not follow the store")]
    NotCurrent,
    /// The reader does not know what follows the revision.
    #[error("could not get changes from the reader: it does not know this revision")]
    Unknown,
}

impl RelayError {
    /// Whether no time was lost, so that another reader may be asked before the store.
    pub fn is_refusal(&self) -> bool {
        matches!(self, Self::Unreachable(_) | Self::NotCurrent)
    }
}

/// Answer of a reader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// Changes as the store sent them.
    Changes {
        /// Revision at the end of the changes.
        to: StoreRevision,
        /// The changes.
        body: Bytes,
    },
    /// No changes.
    UpToDate,
}

/// The choice of the reader that this node asks, and the readers that it avoids for a while.
#[derive(Debug, Default)]
pub struct Client {
    avoided: BTreeMap<SocketAddr, Instant>,
    turn: usize,
}

impl Client {
    /// The reader to ask; `None` if this node has to read the store itself.
    pub fn reader<N: Net, D>(&mut self, mesh: &Mesh<N, D>, now: Instant) -> Option<SocketAddr> {
        self.avoided.retain(|_, until| *until > now);
        match &*mesh.source.borrow() {
            Source::Store => None,
            Source::Readers(all) => {
                let (before, from) = all.split_at(self.turn % all.len());
                let mut readers = from.iter().chain(before).copied();
                readers.find(|at| !self.avoided.contains_key(at))
            }
        }
    }

    /// Asks another reader next time. One that has lost the store does not notice before its watch is
    /// overdue, and reports no changes until then.
    pub fn ask_next(&mut self) {
        self.turn = self.turn.wrapping_add(1);
    }

    /// Stops asking a reader for a while.
    pub fn avoid(&mut self, reader: SocketAddr, now: Instant) {
        self.avoided.insert(reader, now + AVOID);
    }
}

/// Asks a reader for what follows a revision, and waits until there is something or the hold ends.
///
/// # Errors
/// The reader can't be asked, or can't answer.
pub async fn ask<N: Net, D>(
    mesh: &Mesh<N, D>,
    reader: SocketAddr,
    after: StoreRevision,
) -> Result<Answer, RelayError> {
    let hold = mesh.bounds().drain.mul_f64(HOLD_SHARE);
    ask_for(mesh, reader, after, hold).await
}

/// Asks a reader for what follows a revision, without waiting for changes.
///
/// # Errors
/// The reader can't be asked, or can't answer.
pub async fn ask_now<N: Net, D>(
    mesh: &Mesh<N, D>,
    reader: SocketAddr,
    after: StoreRevision,
) -> Result<Answer, RelayError> {
    ask_for(mesh, reader, after, Duration::ZERO).await
}

async fn ask_for<N: Net, D>(
    mesh: &Mesh<N, D>,
    reader: SocketAddr,
    after: StoreRevision,
    hold: Duration,
) -> Result<Answer, RelayError> {
    let exchange = exchange(mesh, reader, after, hold);
    let time_limit = hold + mesh.bounds().drain.mul_f64(ANSWER_SHARE);
    timeout(time_limit, exchange)
        .await
        .unwrap_or(Err(RelayError::Timeout))
}

async fn exchange<N: Net, D>(
    mesh: &Mesh<N, D>,
    reader: SocketAddr,
    after: StoreRevision,
    hold: Duration,
) -> Result<Answer, RelayError> {
    let request = Request::get(format!("http://{reader}/")).body(Chunks::default());
    let mut request = request.map_err(|e| RelayError::Broken(e.to_string()))?;
    write_unique(request.headers_mut(), header::AFTER, &after);
    write(request.headers_mut(), header::HOLD_MS, &hold.as_millis());
    let sent = mesh.links.send(reader, request).await;
    let response = sent.map_err(|error| match error {
        SendError::Unreachable(_) => RelayError::Unreachable(error),
        SendError::Lost(..) => RelayError::Broken(error.to_string()),
    })?;
    let (head, body) = response.into_parts();
    match head.status {
        StatusCode::OK => {}
        StatusCode::NO_CONTENT => return Ok(Answer::UpToDate),
        StatusCode::GONE => return Err(RelayError::Unknown),
        _ => return Err(RelayError::NotCurrent),
    }
    let to = read_required(&head.headers, header::AFTER);
    let to = to.map_err(|e| RelayError::Broken(e.to_string()))?;
    let body = Limited::new(body, BODY_MAX_BYTES).collect().await;
    let body = body.map_err(|e| RelayError::Broken(e.to_string()))?;
    let body = body.to_bytes();
    Ok(Answer::Changes { to, body })
}

/// Whether a request of another node asks for changes.
pub fn is_request(headers: &HeaderMap) -> bool {
    headers.contains_key(header::AFTER)
}

/// Answers a node that asks for changes.
///
/// # Errors
/// A header is malformed.
pub async fn answer<N: Net, D>(
    mesh: &Mesh<N, D>,
    headers: &HeaderMap,
) -> Result<Response<Body>, HeaderError> {
    let after: StoreRevision = read_required(headers, header::AFTER)?;
    let hold_ms: Option<u64> = read(headers, header::HOLD_MS)?;
    let hold = Duration::from_millis(hold_ms.unwrap_or_default().min(HOLD_MAX_MS));
    let hold_end = Instant::now() + hold;
    let relay = &mesh.relay;
    loop {
        // Registered before the log is read, so that no change is missed between the two.
        let mut notified = std::pin::pin!(relay.notify.notified());
        notified.as_mut().enable();
        if !relay.is_current.get() || mesh.retiring.get() {
            return Ok(empty_response(StatusCode::SERVICE_UNAVAILABLE));
        }
        let found = relay.log.borrow().after(after);
        match found {
            Lookup::Next(batch) => {
                mesh.counters.add(Counter::ConfigPassedOn, 1);
                return Ok(changes_response(batch));
            }
            Lookup::Unknown => return Ok(empty_response(StatusCode::GONE)),
            Lookup::UpToDate => {}
        }
        if timeout_at(hold_end, notified).await.is_err() {
            return Ok(empty_response(StatusCode::NO_CONTENT));
        }
    }
}

fn changes_response(batch: Batch) -> Response<Body> {
    let mut response = Response::new(Body::whole(batch.body));
    write_unique(response.headers_mut(), header::AFTER, &batch.to);
    with_framing(response)
}

fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::whole(Bytes::new()));
    *response.status_mut() = status;
    response
}
