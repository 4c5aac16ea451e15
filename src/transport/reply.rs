//! The reply to a call inside a node, before a listener sends it as a response.

use std::{rc::Rc, time::Duration};

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
    state::{counters::Counter, limit::CallEnd, mesh::calls::RunningRequest, ticket::Ticket},
};

use super::{
    body::{self, Ending, Finish, Framing, content_length},
    health::Health,
    pool::DetachedLease,
};

/// Body of a response, with the cleanup at its end.
pub type Body = body::Body<Guard>;

/// Cleanup at the end of a streamed response.
pub enum Guard {
    /// The response comes from the node's own backend server.
    Server {
        /// The connection, returned to the pool only after the complete response.
        lease: DetachedLease,
        /// Admission permit of the call.
        permit: Permit,
        /// Time in the server until the response head, without the time of its egress calls.
        own_time: Duration,
        /// Crash detection, to which a failed connection is reported.
        health: Rc<Health>,
        /// Lists the request until its response has ended, for the calls made on its behalf.
        running: Option<Rc<RunningRequest>>,
    },
    /// The response comes from another node; the pick records the result of the attempt.
    Peer(Option<Pick>),
}

impl Finish for Guard {
    fn finish(self, ending: Ending) {
        match self {
            Self::Server {
                lease,
                permit,
                own_time: own,
                health,
                running: _,
            } => match ending {
                Ending::Complete => {
                    lease.reuse();
                    permit.finish(own, CallEnd::Answered);
                }
                Ending::Broken => health.report_lost(permit, own),
                Ending::TimedOut | Ending::Disconnected => permit.finish(own, CallEnd::Cancelled),
            },
            Self::Peer(None) => {}
            Self::Peer(Some(pick)) => pick.finish(match ending {
                Ending::Complete => AttemptEnd::Answered,
                Ending::Broken => AttemptEnd::Lost,
                Ending::TimedOut => AttemptEnd::TimedOut,
                Ending::Disconnected => AttemptEnd::Cancelled,
            }),
        }
    }
}

/// The reply to a call, with the data for the headers of the response.
pub struct Reply {
    /// Outcome of the call.
    pub outcome: Outcome,
    /// Status of the response.
    pub status: StatusCode,
    /// End-to-end headers of the response.
    pub headers: HeaderMap,
    /// Body of the response.
    pub body: Body,
    /// Part of the retry allowance that was not used.
    pub unused: u32,
    /// Reason why the call has no complete response.
    pub why: Option<String>,
    /// Delay after which the caller may retry.
    pub retry_after: Option<Duration>,
    /// Whether the responding node is shutting down.
    pub leaving: bool,
    /// Whether the request was refused because it has crashed backend servers.
    pub convicted: bool,
    /// A new ticket for the caller.
    pub ticket: Option<Ticket>,
    /// Whether no valid and complete response of the peer was read.
    pub unanswered: bool,
    /// Whether the backend server itself refused the request.
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

    /// A complete response.
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

    /// The call was refused and did not run anywhere.
    pub fn not_run(unused: u32, why: impl Into<String>, retry_after: Duration) -> Self {
        Self {
            why: Some(why.into()),
            retry_after: Some(retry_after),
            ..Self::new(Outcome::NotRun, unused)
        }
    }

    /// The call may have run, and has ended without a response.
    pub fn failed(why: impl Into<String>) -> Self {
        Self {
            why: Some(why.into()),
            ..Self::new(Outcome::Failed, 0)
        }
    }

    /// The call may have run or may still be running.
    pub fn unknown(why: impl Into<String>) -> Self {
        Self {
            why: Some(why.into()),
            ..Self::new(Outcome::Unknown, 0)
        }
    }

    /// A refusal by the gate.
    ///
    /// A convicted request is reported as `failed`, not as `not-run`, since earlier attempts have
    /// run.
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

    /// Sets the delay after which the caller may retry.
    pub fn with_retry_after(self, delay: Duration) -> Self {
        Self {
            retry_after: Some(delay),
            ..self
        }
    }

    /// Replaces the status.
    pub fn with_status(mut self, status: StatusCode) -> Self {
        self.status = status;
        self
    }

    /// The attempt result that corresponds to the outcome of this reply.
    pub fn attempt_end(&self) -> AttemptEnd {
        match self.outcome {
            Outcome::Complete => AttemptEnd::Answered,
            Outcome::NotRun => AttemptEnd::NotRun,
            Outcome::Failed => AttemptEnd::Lost,
            Outcome::Unknown => AttemptEnd::TimedOut,
        }
    }

    /// The response, with the headers common to all listeners.
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

/// The text of a refusal reason in `cb-why` and the journal.
pub fn reason_text(why: RefusalReason) -> &'static str {
    match why {
        RefusalReason::Level => "level",
        RefusalReason::Evicted => "evicted",
        RefusalReason::QueueTimeout => "waited",
        RefusalReason::Deadline => "deadline",
        RefusalReason::Leaving => "leaving",
        RefusalReason::Stopping => "stopping",
        RefusalReason::Waking => "waking",
        RefusalReason::Convicted => "convicted",
        RefusalReason::RateLimit => "rate-limit",
        RefusalReason::ClassLimit => "class-limit",
        RefusalReason::NoConfig => "no-config",
        RefusalReason::Down => "server-down",
    }
}

/// The counter of a refusal reason.
pub fn reason_counter(why: RefusalReason) -> Counter {
    match why {
        RefusalReason::Level => Counter::RefusedLevel,
        RefusalReason::Evicted => Counter::RefusedEvicted,
        RefusalReason::QueueTimeout => Counter::RefusedWaited,
        RefusalReason::Deadline => Counter::RefusedDeadline,
        RefusalReason::Leaving => Counter::RefusedLeaving,
        RefusalReason::Stopping => Counter::RefusedStopping,
        RefusalReason::Waking => Counter::RefusedWaking,
        RefusalReason::Convicted => Counter::RefusedConvicted,
        RefusalReason::RateLimit => Counter::RefusedRate,
        RefusalReason::ClassLimit => Counter::RefusedClassLimit,
        RefusalReason::NoConfig => Counter::RefusedNoConfig,
        RefusalReason::Down => Counter::RefusedDown,
    }
}

/// How the end of a backend server's response is detected; `None` if its head states this twice or in
/// a way that is not supported, or its status is not final.
pub fn server_framing(method: &Method, head: &response::Parts) -> Option<Framing> {
    // 101 is the only interim status that the HTTP library passes on. Nobody has asked for an upgrade.
    if head.status.is_informational() {
        return None;
    }
    if is_bodiless(method, head.status) {
        return Some(Framing::Empty);
    }
    let chunked = HeaderValue::from_static("chunked");
    let encodings: Vec<_> = head.headers.get_all(TRANSFER_ENCODING).iter().collect();
    if !encodings.is_empty() {
        let alone = !head.headers.contains_key(CONTENT_LENGTH);
        return (alone && encodings == [&chunked]).then_some(Framing::Chunked);
    }
    if !head.headers.contains_key(CONTENT_LENGTH) {
        return Some(Framing::Close);
    }
    content_length(&head.headers).map(Framing::Length)
}

/// How the end of a peer's response is detected.
pub fn peer_framing(method: &Method, head: &response::Parts) -> Framing {
    if is_bodiless(method, head.status) {
        return Framing::Empty;
    }
    content_length(&head.headers).map_or(Framing::Trailer, Framing::Length)
}

/// Adds `Content-Length` or the length trailer, so that a peer can detect the end of the body.
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
