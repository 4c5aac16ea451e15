//! The answer to a call inside a node, before a listener writes it.

use std::time::Duration;

use bytes::Bytes;
use http::{
    HeaderMap, HeaderValue, Method, Response, StatusCode,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
    response,
};

use crate::{
    coordination::{
        gate::{Permit, Refusal, RefusalReason},
        router::{AttemptEnd, Pick},
    },
    protocol::{
        call::{write, write_retry_after},
        header,
        hop::{remove_hop_by_hop, remove_internal},
        outcome::Outcome,
    },
    state::{counters::Counter, limit::CallEnd, ticket::Ticket},
};

use super::{
    body::{self, Ending, Finish, Framing, content_length},
    health::Health,
    pool::Lease,
};

/// Body of an answer, with what is to be settled at its end.
pub type Body = body::Body<Guard>;

/// What is settled when a streamed answer has ended.
pub enum Guard {
    /// The answer of the node's own backend server.
    Server {
        /// The connection, used again only after the whole answer.
        lease: Lease,
        /// Admission of the call, and the server's own time until the head of the answer.
        permit: Permit,
        /// Time in the server, without its egress calls.
        own: Duration,
        /// Told when the connection breaks.
        health: std::rc::Rc<Health>,
    },
    /// The answer of another node.
    Peer(Option<Pick>),
}

impl Finish for Guard {
    fn finish(self, ending: Ending) {
        match self {
            Self::Server {
                lease,
                permit,
                own,
                health,
            } => match ending {
                Ending::Whole => {
                    lease.reuse();
                    permit.finish(own, CallEnd::Answered);
                }
                Ending::Broken => health.report_lost(permit, own),
                Ending::Late | Ending::Dropped => permit.finish(own, CallEnd::Cancelled),
            },
            Self::Peer(None) => {}
            Self::Peer(Some(pick)) => pick.finish(match ending {
                Ending::Whole => AttemptEnd::Answered,
                Ending::Broken => AttemptEnd::Lost,
                Ending::Late => AttemptEnd::TimedOut,
                Ending::Dropped => AttemptEnd::Cancelled,
            }),
        }
    }
}

/// The answer to a call, with what the listeners tell about it.
pub struct Reply {
    /// Outcome of the call.
    pub outcome: Outcome,
    /// Status of the answer.
    pub status: StatusCode,
    /// End-to-end headers of the answer.
    pub headers: HeaderMap,
    /// Body of the answer.
    pub body: Body,
    /// Extra attempts that were not used.
    pub unused: u32,
    /// Why the call was refused.
    pub why: Option<String>,
    /// When the caller may send the request again.
    pub retry_after: Option<Duration>,
    /// Whether the node that answered is leaving.
    pub leaving: bool,
    /// Whether the request was refused because it crashes backend servers.
    pub convicted: bool,
    /// A ticket for a further request.
    pub ticket: Option<Ticket>,
    /// Whether no answer of the peer was read.
    pub unanswered: bool,
    /// Whether a refused request reached the backend server, which refused it itself.
    pub reached_server: bool,
}

impl Reply {
    fn new(outcome: Outcome, unused: u32) -> Self {
        Self {
            outcome,
            status: outcome.status(),
            headers: HeaderMap::new(),
            body: Body::whole(Bytes::new()),
            unused,
            why: None,
            retry_after: None,
            leaving: false,
            convicted: false,
            ticket: None,
            unanswered: false,
            reached_server: false,
        }
    }

    /// A complete answer.
    pub fn complete(head: response::Parts, body: Body, unused: u32) -> Self {
        let mut headers = head.headers;
        remove_hop_by_hop(&mut headers);
        remove_internal(&mut headers);
        Self {
            status: head.status,
            headers,
            body,
            ..Self::new(Outcome::Complete, unused)
        }
    }

    /// The call was refused and ran nowhere.
    pub fn not_run(unused: u32, why: impl Into<String>, retry_after: Duration) -> Self {
        Self {
            why: Some(why.into()),
            retry_after: Some(retry_after),
            ..Self::new(Outcome::NotRun, unused)
        }
    }

    /// The call may have run and has ended without an answer.
    pub fn failed(why: impl Into<String>) -> Self {
        Self {
            why: Some(why.into()),
            ..Self::new(Outcome::Failed, 0)
        }
    }

    /// The call may have run or may still run.
    pub fn unknown(why: impl Into<String>) -> Self {
        Self {
            why: Some(why.into()),
            ..Self::new(Outcome::Unknown, 0)
        }
    }

    /// The refusal of the gate; a convicted request counts as run, since earlier attempts ran.
    pub fn refused(refusal: &Refusal, unused: u32) -> Self {
        let why = reason_text(refusal.why);
        if refusal.why == RefusalReason::Convicted {
            return Self {
                convicted: true,
                unused,
                ..Self::failed(why)
            };
        }
        Self {
            leaving: refusal.why == RefusalReason::Leaving,
            ..Self::not_run(unused, why, refusal.retry_after)
        }
    }

    /// The same answer with another status.
    pub fn with_status(mut self, status: StatusCode) -> Self {
        self.status = status;
        self
    }

    /// How the attempt that led to this answer ended.
    pub fn attempt(&self) -> AttemptEnd {
        match self.outcome {
            Outcome::Complete => AttemptEnd::Answered,
            Outcome::NotRun => AttemptEnd::NotRun,
            Outcome::Failed => AttemptEnd::Lost,
            Outcome::Unknown => AttemptEnd::TimedOut,
        }
    }

    /// The answer with the headers that every listener writes.
    pub fn into_response(self) -> Response<Body> {
        let mut response = Response::new(self.body);
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        let headers = response.headers_mut();
        write(headers, header::OUTCOME, &self.outcome);
        if let Some(why) = &self.why {
            write(headers, header::WHY, why);
        }
        if let Some(after) = self.retry_after {
            write_retry_after(headers, after);
        }
        if self.leaving {
            write(headers, header::LEAVING, &1);
        }
        if self.convicted {
            write(headers, header::CONVICTED, &1);
        }
        if self.reached_server {
            write(headers, header::ARRIVED, &1);
        }
        if let Some(ticket) = &self.ticket {
            write(headers, header::TICKET, ticket);
        }
        response
    }
}

/// The text of a reason, as in `cb-why` and the journal.
pub fn reason_text(why: RefusalReason) -> &'static str {
    match why {
        RefusalReason::Level => "level",
        RefusalReason::Evicted => "evicted",
        RefusalReason::QueueTimeout => "waited",
        RefusalReason::Deadline => "deadline",
        RefusalReason::Leaving => "leaving",
        RefusalReason::Waking => "waking",
        RefusalReason::Convicted => "convicted",
        RefusalReason::ClassLimit => "class-limit",
        RefusalReason::NoConfig => "no-config",
        RefusalReason::Down => "server-down",
    }
}

/// The counter of a reason.
pub fn reason_counter(why: RefusalReason) -> Counter {
    match why {
        RefusalReason::Level => Counter::RefusedLevel,
        RefusalReason::Evicted => Counter::RefusedEvicted,
        RefusalReason::QueueTimeout => Counter::RefusedWaited,
        RefusalReason::Deadline => Counter::RefusedDeadline,
        RefusalReason::Leaving => Counter::RefusedLeaving,
        RefusalReason::Waking => Counter::RefusedWaking,
        RefusalReason::Convicted => Counter::RefusedConvicted,
        RefusalReason::ClassLimit => Counter::RefusedClassLimit,
        RefusalReason::NoConfig => Counter::RefusedNoConfig,
        RefusalReason::Down => Counter::RefusedDown,
    }
}

/// How the end of a backend server's answer is recognised; `None` when only by its connection.
pub fn server_framing(method: &Method, head: &response::Parts) -> Option<Framing> {
    if is_bodiless(method, head.status) {
        return Some(Framing::Empty);
    }
    let chunked = HeaderValue::from_static("chunked");
    let encodings: Vec<_> = head.headers.get_all(TRANSFER_ENCODING).iter().collect();
    if !encodings.is_empty() {
        let alone = !head.headers.contains_key(CONTENT_LENGTH);
        return (alone && encodings == [&chunked]).then_some(Framing::Chunked);
    }
    content_length(&head.headers).map(Framing::Length)
}

/// How the end of a peer's answer is recognised.
pub fn peer_framing(method: &Method, head: &response::Parts) -> Framing {
    if is_bodiless(method, head.status) {
        return Framing::Empty;
    }
    content_length(&head.headers).map_or(Framing::Trailer, Framing::Length)
}

/// An answer whose end another node can recognise, by its length or its trailer.
pub fn with_framing(mut response: Response<Body>) -> Response<Body> {
    let length = response.body().length();
    let headers = response.headers_mut();
    if let Some(length) = length.filter(|_| !headers.contains_key(CONTENT_LENGTH)) {
        headers.insert(CONTENT_LENGTH, length.into());
    }
    response.map(Body::with_trailer)
}

fn is_bodiless(method: &Method, status: StatusCode) -> bool {
    let empty = status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    method == Method::HEAD || empty || status.is_informational()
}
