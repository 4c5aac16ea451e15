//! Calls of external callers at the node that they reach first, or that issued their ticket.

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
    node::Path,
    remote,
    reply::{Body, Reply},
    serve::Order,
};

/// Runs a call of an external caller whose class may be non-repeatable.
pub async fn enter<N: Net>(path: &Path<N>, order: Order, ticket: Option<Ticket>) -> Reply {
    if order.class.repeatable {
        return run(path, &order).await;
    }
    let parts = &path.parts;
    let Some(ticket) = ticket else {
        parts.counters.add(Counter::RefusedNoTicket, 1);
        let reply = Reply::not_run(order.allowance, "ticket-required", Duration::ZERO);
        return with_ticket(path, reply).with_status(StatusCode::PRECONDITION_REQUIRED);
    };
    if *ticket.issuer() != parts.settings.name {
        return forward(path, &order, &ticket).await;
    }
    let reply = present(path, &order, &ticket).await;
    with_ticket(path, reply)
}

fn with_ticket<N>(path: &Path<N>, reply: Reply) -> Reply {
    Reply {
        ticket: path.parts.fresh(),
        ..reply
    }
}

async fn run<N: Net>(path: &Path<N>, order: &Order) -> Reply {
    let parts = &path.parts;
    let below = parts.below(&order.chain, &parts.settings.service);
    if let Some(service) = parts.router.first_refusing(&*below, order.priority) {
        parts.counters.add(Counter::RefusedChain, 1);
        let cause = format!("level of {service}");
        parts.note(
            order.root,
            Step::Refused {
                cause: cause.into(),
            },
        );
        return Reply::not_run(order.allowance, "level-below", parts.pause());
    }
    let allowance = RefCell::new(Allowance::new(order.allowance));
    let service = &parts.settings.service;
    let reply = attempts::run(path, service, order, &allowance, true).await;
    let unused = allowance.borrow_mut().close();
    Reply { unused, ..reply }
}

async fn forward<N: Net>(path: &Path<N>, order: &Order, ticket: &Ticket) -> Reply {
    let parts = &path.parts;
    parts.counters.add(Counter::TicketsForwarded, 1);
    let config = parts.store.config();
    let issuer = config.and_then(|c| c.upstream(ticket.issuer()).cloned());
    let Some(issuer) = issuer.filter(|u| u.service == parts.settings.service) else {
        return Reply::unknown("ticket-issuer-not-known");
    };
    let reply = remote::send(path, issuer, None, order, Some(ticket)).await;
    // The ticket may have been presented to its issuer before, or the issuer may still run it.
    if reply.unanswered {
        return Reply::unknown("ticket-issuer-unreachable");
    }
    reply
}

async fn present<N: Net>(path: &Path<N>, order: &Order, ticket: &Ticket) -> Reply {
    let parts = &path.parts;
    let request = order.message.digest(&[]);
    let presented = parts
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
    parts.counters.add(counter, 1);
    parts.note(
        order.root,
        Step::Ticket {
            result: text.into(),
        },
    );
    match presented {
        TicketStatus::First => first(path, order, ticket).await,
        TicketStatus::InProgress => {
            let reply = Reply::unknown("ticket-in-progress").with_status(StatusCode::CONFLICT);
            Reply {
                retry_after: Some(parts.pause()),
                ..reply
            }
        }
        TicketStatus::Refused => Reply::not_run(order.allowance, "ticket-refused", parts.pause()),
        TicketStatus::Done(Some(stored)) => again(stored),
        TicketStatus::Done(None) => {
            Reply::unknown("answer-not-kept").with_status(StatusCode::CONFLICT)
        }
        TicketStatus::Mismatch => Reply::unknown("ticket-of-another-request")
            .with_status(StatusCode::UNPROCESSABLE_ENTITY),
        TicketStatus::Unknown => Reply::unknown("ticket-not-known"),
    }
}

fn again(stored: StoredAnswer) -> Reply {
    let (mut head, ()) = http::Response::new(()).into_parts();
    head.status = stored.status;
    head.headers = stored.headers;
    Reply::complete(head, Body::whole(stored.body), 0)
}

async fn first<N: Net>(path: &Path<N>, order: &Order, ticket: &Ticket) -> Reply {
    let mut reply = run(path, order).await;
    if reply.outcome == Outcome::NotRun {
        path.parts.tickets.borrow_mut().refuse(ticket);
        return reply;
    }
    let body = whole(&mut reply.body).await;
    let stored = body
        .filter(|_| reply.outcome == Outcome::Complete)
        .map(|body| StoredAnswer {
            status: reply.status,
            headers: reply.headers.clone(),
            body,
        });
    path.parts.tickets.borrow_mut().done(ticket, stored);
    reply
}

/// The bytes of a body that is in memory and may be kept.
async fn whole(body: &mut Body) -> Option<Bytes> {
    let length = body.size_hint().exact()?;
    if length > STORED_MAX_BYTES as u64 || !matches!(body, Body::Whole(_)) {
        return None;
    }
    let bytes = body.collect().await.ok()?.to_bytes();
    *body = Body::whole(bytes.clone());
    Some(bytes)
}
