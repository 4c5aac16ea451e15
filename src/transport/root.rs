//! Calls of external callers, at the node that they reach first or that issued their ticket.

use std::{cell::RefCell, time::Duration};

use bytes::Bytes;
use http::StatusCode;
use http_body::Body as _;
use http_body_util::BodyExt as _;
use tokio::time::Instant;

use crate::{
    protocol::outcome::Outcome,
    state::{
        allowance::Allowance,
        counters::Counter,
        journal::Step,
        ticket::{STORED_MAX_BYTES, StoredAnswer, Ticket, TicketStatus},
    },
};

use super::{
    attempts,
    net::Net,
    node::DataPlane,
    remote,
    reply::{Body, Reply},
    serve::CallRequest,
};

/// Runs a call of an external caller; a call of a non-repeatable class needs a ticket.
pub async fn enter<N: Net>(
    plane: &DataPlane<N>,
    call: CallRequest,
    ticket: Option<Ticket>,
) -> Reply {
    if call.class.repeatable {
        return run(plane, &call).await;
    }
    let node = &plane.node;
    let Some(ticket) = ticket else {
        node.counters.add(Counter::RefusedNoTicket, 1);
        let reply = Reply::not_run(call.allowance, "ticket-required", Duration::ZERO);
        return with_ticket(plane, reply).with_status(StatusCode::PRECONDITION_REQUIRED);
    };
    if *ticket.issuer() != node.settings.name {
        return forward_to_issuer(plane, &call, &ticket).await;
    }
    let reply = present_ticket(plane, &call, &ticket).await;
    with_ticket(plane, reply)
}

fn with_ticket<N: Net>(plane: &DataPlane<N>, reply: Reply) -> Reply {
    Reply {
        ticket: plane.node.new_ticket(),
        ..reply
    }
}

async fn run<N: Net>(plane: &DataPlane<N>, call: &CallRequest) -> Reply {
    let node = &plane.node;
    let downstream = node.downstream(&call.chain, &node.settings.service);
    if let Some(service) = node.router.first_refusing(&*downstream, call.priority) {
        node.counters.add(Counter::RefusedChain, 1);
        let cause = format!("level of {service}");
        node.record_step(
            call.root,
            Step::Refused {
                cause: cause.into(),
            },
        );
        return Reply::not_run(call.allowance, "level-below", node.retry_delay());
    }
    let allowance = RefCell::new(Allowance::new(call.allowance));
    let service = &node.settings.service;
    let reply = attempts::run(plane, service, call, &allowance, true).await;
    let unused = allowance.borrow_mut().close();
    Reply { unused, ..reply }
}

async fn forward_to_issuer<N: Net>(
    plane: &DataPlane<N>,
    call: &CallRequest,
    ticket: &Ticket,
) -> Reply {
    let node = &plane.node;
    node.counters.add(Counter::TicketsForwarded, 1);
    let config = node.store.config();
    let issuer = config.and_then(|c| c.upstream(ticket.issuer()).cloned());
    let Some(issuer) = issuer.filter(|u| u.service == node.settings.service) else {
        return Reply::unknown("ticket-issuer-not-known");
    };
    let reply = remote::send(plane, issuer, None, call, Some(ticket)).await;
    // The request may have run or still be running at the issuer, also from an earlier use of the
    // ticket.
    if reply.unanswered {
        return Reply::unknown("ticket-issuer-unreachable");
    }
    reply
}

async fn present_ticket<N: Net>(
    plane: &DataPlane<N>,
    call: &CallRequest,
    ticket: &Ticket,
) -> Reply {
    let node = &plane.node;
    let request = call.message.digest(&[]);
    let presented = node
        .tickets
        .borrow_mut()
        .present(ticket, request, Instant::now());
    let (text, counter) = match &presented {
        TicketStatus::First => ("first use", Counter::TicketsFirst),
        TicketStatus::InProgress => ("in progress", Counter::TicketsAgain),
        TicketStatus::Refused => ("refused before", Counter::TicketsAgain),
        TicketStatus::Done(_) => ("answered before", Counter::TicketsAgain),
        TicketStatus::Mismatch => ("other request", Counter::TicketsMismatch),
        TicketStatus::Unknown => ("not known", Counter::TicketsUnknown),
    };
    node.counters.add(counter, 1);
    node.record_step(
        call.root,
        Step::Ticket {
            result: text.into(),
        },
    );
    match presented {
        TicketStatus::First => run_first(plane, call, ticket).await,
        TicketStatus::InProgress => {
            let reply = Reply::unknown("ticket-in-progress").with_status(StatusCode::CONFLICT);
            Reply {
                retry_after: Some(node.retry_delay()),
                ..reply
            }
        }
        TicketStatus::Refused => {
            Reply::not_run(call.allowance, "ticket-refused", node.retry_delay())
        }
        TicketStatus::Done(Some(stored)) => replay(stored),
        TicketStatus::Done(None) => {
            Reply::unknown("answer-not-kept").with_status(StatusCode::CONFLICT)
        }
        TicketStatus::Mismatch => Reply::unknown("ticket-of-another-request")
            .with_status(StatusCode::UNPROCESSABLE_ENTITY),
        TicketStatus::Unknown => Reply::unknown("ticket-not-known"),
    }
}

fn replay(stored: StoredAnswer) -> Reply {
    let (mut head, ()) = http::Response::new(()).into_parts();
    head.status = stored.status;
    head.headers = stored.headers;
    Reply::complete(head, Body::whole(stored.body), 0)
}

async fn run_first<N: Net>(plane: &DataPlane<N>, call: &CallRequest, ticket: &Ticket) -> Reply {
    let mut reply = run(plane, call).await;
    if reply.outcome == Outcome::NotRun {
        plane.node.tickets.borrow_mut().refuse(ticket);
        return reply;
    }
    let body = stored_body(&mut reply.body).await;
    let stored = body
        .filter(|_| reply.outcome == Outcome::Complete)
        .map(|body| StoredAnswer {
            status: reply.status,
            headers: reply.headers.clone(),
            body,
        });
    plane.node.tickets.borrow_mut().done(ticket, stored);
    reply
}

/// The bytes of a body that is in memory and small enough to be stored.
async fn stored_body(body: &mut Body) -> Option<Bytes> {
    let length = body.size_hint().exact()?;
    if length > STORED_MAX_BYTES as u64 || !matches!(body, Body::Whole(_)) {
        return None;
    }
    let bytes = body.collect().await.ok()?.to_bytes();
    *body = Body::whole(bytes.clone());
    Some(bytes)
}
