//! The retry loop of a call to a service.

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
    node::{DataPlane, NodeContext},
    remote,
    reply::Reply,
    serve::{CallRequest, serve},
};

/// Access to the retry allowance of a call.
pub trait AllowanceCell {
    /// Applies `change` to the allowance; `None` if the call has ended.
    fn with<T>(&self, change: impl FnOnce(&mut Allowance) -> T) -> Option<T>;
}

impl AllowanceCell for RefCell<Allowance> {
    fn with<T>(&self, change: impl FnOnce(&mut Allowance) -> T) -> Option<T> {
        Some(change(&mut self.borrow_mut()))
    }
}

/// The retry allowance of a call in the call table.
pub struct CallAllowance<'a> {
    /// The node.
    pub node: &'a NodeContext,
    /// Token of the call.
    pub token: CallToken,
}

impl AllowanceCell for CallAllowance<'_> {
    fn with<T>(&self, change: impl FnOnce(&mut Allowance) -> T) -> Option<T> {
        let mut calls = self.node.calls.borrow_mut();
        calls.get(&self.token).map(|c| change(&mut c.allowance))
    }
}

/// Sends a call to a service and retries it at other upstreams while the retry rules allow it.
///
/// With `first_local`, the first attempt goes to the node's own backend server.
pub async fn run<N: Net>(
    plane: &DataPlane<N>,
    service: &ServiceName,
    call: &CallRequest,
    allowance: &impl AllowanceCell,
    first_local: bool,
) -> Reply {
    let node = &plane.node;
    let config = node.store.config();
    let control = config.map(|c| c.deployment.control).unwrap_or_default();
    let class = &call.class;
    let mut retry = Retry::new(class.repeatable, call.deadline, control, node.new_rng())
        .important(class.important);
    let budget = node.router.budget(service).unwrap_or_default();
    budget.borrow_mut().deposit();
    let mut tried = BTreeSet::new();
    let mut target = first(node, service, call, first_local);
    let mut may_have_run = false;
    loop {
        let Some(to) = target else {
            node.counters.add(Counter::RefusedNoRoute, 1);
            let left = allowance.with(|a| a.remaining()).unwrap_or(0);
            return Reply::not_run(left, "no-upstream", node.retry_delay());
        };
        let reply = attempt(plane, to, call, allowance, &mut tried).await;
        if reply.outcome == Outcome::Complete {
            return reply;
        }
        let end = reply.attempt_end();
        let reply = if may_have_run {
            as_unknown(reply)
        } else {
            reply
        };
        may_have_run |= reply.outcome != Outcome::NotRun;
        target = pick(node, service, call, &tried);
        if target.is_none() {
            return reply;
        }
        let now = Instant::now();
        let charge_retry = |a: &mut Allowance| {
            let delay = retry.next_delay(end, a, &mut budget.borrow_mut(), now);
            delay.map(|d| (d, a.remaining()))
        };
        let (delay, left) = match allowance.with(charge_retry) {
            Some(Ok(charged)) => charged,
            Some(Err(denied)) => {
                record_denial(node, call, denied);
                return reply;
            }
            None => return reply,
        };
        let delay_ms = delay.as_millis() as u64;
        node.record_step(call.root, Step::Retry { delay_ms, left });
        node.counters.add(Counter::RetriesSent, 1);
        sleep(delay).await;
    }
}

fn record_denial(node: &NodeContext, call: &CallRequest, denied: RetryDenied) {
    let (counter, cause) = match denied {
        RetryDenied::NotRetryable => return,
        RetryDenied::Allowance => (Counter::RetriesAllowance, "the allowance is spent"),
        RetryDenied::Budget => (Counter::RetriesBudget, "the retry budget is spent"),
        RetryDenied::Deadline => (Counter::RetriesDeadline, "too little time is left"),
    };
    node.counters.add(counter, 1);
    let cause = cause.into();
    node.record_step(call.root, Step::NoRetry { cause });
}

/// Turns `not-run` into `unknown` after an earlier attempt that may have run.
fn as_unknown(reply: Reply) -> Reply {
    if reply.outcome != Outcome::NotRun {
        return reply;
    }
    Reply {
        unused: reply.unused,
        ..Reply::unknown("earlier-attempt-may-have-run")
    }
}

enum Target {
    Local,
    Peer(Pick),
}

fn first(
    node: &NodeContext,
    service: &ServiceName,
    call: &CallRequest,
    first_local: bool,
) -> Option<Target> {
    if first_local {
        return Some(Target::Local);
    }
    pick(node, service, call, &BTreeSet::new())
}

fn pick(
    node: &NodeContext,
    service: &ServiceName,
    call: &CallRequest,
    tried: &BTreeSet<UpstreamName>,
) -> Option<Target> {
    let pick = node.router.pick(service, call.priority, tried);
    pick.map(Target::Peer)
}

/// Delegates a part of the allowance to a peer, or all of it to the node's own backend server.
fn delegate(allowance: &mut Allowance, local: bool) -> u32 {
    let mut delegated = allowance.delegate();
    while local && allowance.remaining() > 0 {
        delegated += allowance.delegate();
    }
    delegated
}

async fn attempt<N: Net>(
    plane: &DataPlane<N>,
    to: Target,
    call: &CallRequest,
    allowance: &impl AllowanceCell,
    tried: &mut BTreeSet<UpstreamName>,
) -> Reply {
    let local = matches!(to, Target::Local);
    let delegated = allowance.with(|a| delegate(a, local)).unwrap_or(0);
    let call = CallRequest {
        allowance: delegated,
        ..call.clone()
    };
    let reply = match to {
        Target::Local => {
            tried.insert(plane.node.settings.name.clone());
            serve(plane, &call).await
        }
        Target::Peer(pick) => {
            tried.insert(pick.upstream().name.clone());
            let upstream = pick.upstream().clone();
            remote::send(plane, upstream, Some(pick), &call, None).await
        }
    };
    allowance.with(|a| a.reclaim(delegated, reply.unused));
    reply
}
