//! The attempt loop of a call to a service.

use std::{cell::RefCell, collections::BTreeSet};

use tokio::time::{Instant, sleep};

use crate::{
    coordination::{
        retry::{Retry, RetryDenied},
        router::Pick,
    },
    protocol::outcome::Outcome,
    state::{
        allowance::Allowance,
        counters::Counter,
        id::{CallToken, ServiceName, UpstreamName},
        journal::Step,
    },
};

use super::{
    net::Net,
    node::{NodeContext, Path},
    remote,
    reply::Reply,
    serve::{Order, serve},
};

/// Where the allowance of a call is held.
pub trait Purse {
    /// Applies `change` to the allowance; `None` when the call that holds it has ended.
    fn with<T>(&self, change: impl FnOnce(&mut Allowance) -> T) -> Option<T>;
}

impl Purse for RefCell<Allowance> {
    fn with<T>(&self, change: impl FnOnce(&mut Allowance) -> T) -> Option<T> {
        Some(change(&mut self.borrow_mut()))
    }
}

/// The allowance of a call in the call table.
pub struct Tabled<'a> {
    /// The node's parts.
    pub parts: &'a NodeContext,
    /// Token of the call.
    pub token: CallToken,
}

impl Purse for Tabled<'_> {
    fn with<T>(&self, change: impl FnOnce(&mut Allowance) -> T) -> Option<T> {
        let mut calls = self.parts.calls.borrow_mut();
        calls.get(&self.token).map(|c| change(&mut c.allowance))
    }
}

/// Sends a call to a service, and again to other upstreams as far as rules allow.
pub async fn run<N: Net>(
    path: &Path<N>,
    service: &ServiceName,
    order: &Order,
    purse: &impl Purse,
    first_local: bool,
) -> Reply {
    let parts = &path.parts;
    let config = parts.store.config();
    let control = config.map(|c| c.deployment.control).unwrap_or_default();
    let class = &order.class;
    let mut retry = Retry::new(class.repeatable, order.deadline, control, parts.new_rng())
        .important(class.important);
    let budget = parts.router.budget(service).unwrap_or_default();
    budget.borrow_mut().deposit();
    let mut tried = BTreeSet::new();
    let mut target = first(parts, service, order, first_local);
    let mut may_have_run = false;
    loop {
        let Some(to) = target else {
            parts.counters.add(Counter::RefusedNoRoute, 1);
            let left = purse.with(|a| a.remaining()).unwrap_or(0);
            return Reply::not_run(left, "no-upstream", parts.pause());
        };
        let reply = attempt(path, to, order, purse, &mut tried).await;
        if reply.outcome == Outcome::Complete {
            return reply;
        }
        let ended = reply.attempt();
        let reply = if may_have_run { unproven(reply) } else { reply };
        may_have_run |= reply.outcome != Outcome::NotRun;
        target = pick(parts, service, order, &tried);
        if target.is_none() {
            return reply;
        }
        let now = Instant::now();
        let charge = |a: &mut Allowance| {
            let delay = retry.next_delay(ended, a, &mut budget.borrow_mut(), now);
            delay.map(|d| (d, a.remaining()))
        };
        let (delay, left) = match purse.with(charge) {
            Some(Ok(charged)) => charged,
            Some(Err(denied)) => {
                note_denied(parts, order, denied);
                return reply;
            }
            None => return reply,
        };
        let delay_ms = delay.as_millis() as u64;
        parts.note(order.root, Step::Retry { delay_ms, left });
        parts.counters.add(Counter::RetriesSent, 1);
        sleep(delay).await;
    }
}

fn note_denied(parts: &NodeContext, order: &Order, denied: RetryDenied) {
    let (counter, cause) = match denied {
        RetryDenied::NotRetryable => return,
        RetryDenied::Allowance => (Counter::RetriesAllowance, "the allowance is spent"),
        RetryDenied::Budget => (Counter::RetriesBudget, "the retry budget is spent"),
        RetryDenied::Deadline => (Counter::RetriesDeadline, "too little time is left"),
    };
    parts.counters.add(counter, 1);
    let cause = cause.into();
    parts.note(order.root, Step::NoRetry { cause });
}

/// The proof of the last attempt that it did not run says nothing about an earlier one.
fn unproven(reply: Reply) -> Reply {
    if reply.outcome != Outcome::NotRun {
        return reply;
    }
    Reply {
        unused: reply.unused,
        ..Reply::unknown("earlier-attempt-may-have-run")
    }
}

enum Target {
    Own,
    Peer(Pick),
}

fn first(
    parts: &NodeContext,
    service: &ServiceName,
    order: &Order,
    first_local: bool,
) -> Option<Target> {
    if first_local {
        return Some(Target::Own);
    }
    pick(parts, service, order, &BTreeSet::new())
}

fn pick(
    parts: &NodeContext,
    service: &ServiceName,
    order: &Order,
    tried: &BTreeSet<UpstreamName>,
) -> Option<Target> {
    let pick = parts.router.pick(service, order.priority, tried);
    pick.map(Target::Peer)
}

/// The node's own server is lent everything, since it is the call that holds the allowance.
fn lend(allowance: &mut Allowance, own: bool) -> u32 {
    let mut lent = allowance.delegate();
    while own && allowance.remaining() > 0 {
        lent += allowance.delegate();
    }
    lent
}

async fn attempt<N: Net>(
    path: &Path<N>,
    to: Target,
    order: &Order,
    purse: &impl Purse,
    tried: &mut BTreeSet<UpstreamName>,
) -> Reply {
    let own = matches!(to, Target::Own);
    let lent = purse.with(|a| lend(a, own)).unwrap_or(0);
    let order = Order {
        allowance: lent,
        ..order.clone()
    };
    let reply = match to {
        Target::Own => {
            tried.insert(path.parts.settings.name.clone());
            serve(path, &order).await
        }
        Target::Peer(pick) => {
            tried.insert(pick.upstream().name.clone());
            let upstream = pick.upstream().clone();
            remote::send(path, upstream, Some(pick), &order, None).await
        }
    };
    purse.with(|a| a.reclaim(lent, reply.unused));
    reply
}
