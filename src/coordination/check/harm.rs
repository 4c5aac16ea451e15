//! Warnings about settings that are valid but harmful or without effect.

use std::collections::BTreeSet;

use super::{Fault, Index, chains::depth, fault::Findings, index::Declared};
use crate::state::object::{Chain, Class, Control, Favour, Limit};

/// Lifetime of a ticket, after which the state of a non-repeatable request is dropped.
const TICKET_TTL_MS: u64 = 60_000;

/// Minimum time in ms that a deadline has to allow for each hop.
///
/// The sum of the queue target of the deployment (20 ms or 5 ms), 1 ms for a new connection, and
/// 2 ms for the latency that the nodes at both ends may add (1.5 ms, rounded up).
pub fn hop_min_ms(favour: Favour) -> u64 {
    match favour {
        Favour::Goodput => 20 + 3,
        Favour::Recovery => 5 + 3,
    }
}

pub(super) fn check(index: &Index<'_>, findings: &mut Findings) {
    control(index, findings);
    for (entry, upstream) in index.upstreams.values().flatten() {
        if upstream.connections >= upstream.slots {
            continue;
        }
        let message = format!(
            "upstream {} has {} connections for {} slots",
            upstream.name, upstream.connections, upstream.slots
        );
        let site = entry.site("connections");
        let fault = Fault::new("few-connections", site, message, "fewer than its slots");
        findings.push(
            fault
                .warning()
                .help("the slots above this number can never be used"),
        );
    }
    for class in index.classes.values() {
        importance(index, *class, findings);
        tickets(*class, findings);
    }
    for chain in &index.chains {
        if let Some(class) = index.classes.get(&chain.1.class) {
            deadline(index, *chain, class.1, findings);
        }
    }
    if index.set.partial || !index.set.unreadable.is_empty() {
        // The rules below depend on which objects are absent, which is not known when objects are
        // missing from the set or unreadable.
        return;
    }
    for class in index.classes.values() {
        retries(index, *class, findings);
    }
    for limit in &index.limits {
        limit_effect(index, *limit, findings);
    }
    unused_objects(index, findings);
    single_zones(index, findings);
}

fn control(index: &Index<'_>, findings: &mut Findings) {
    for (entry, deployment) in &index.deployments {
        if deployment.control == Control::Adaptive {
            continue;
        }
        let message = format!("deployment {} has no overload control", deployment.name);
        let fault = Fault::new(
            "baseline-control",
            entry.site("control"),
            message,
            "a baseline",
        );
        findings.push(fault.warning().help("use adaptive outside experiments"));
    }
}

fn importance(index: &Index<'_>, (entry, class): Declared<'_, Class>, findings: &mut Findings) {
    if !class.important {
        return;
    }
    let unimportant = index.classes.values().filter(|(_, c)| !c.important);
    let first = unimportant.min_by_key(|(_, c)| c.importance);
    let Some((first_entry, first)) = first.filter(|(_, c)| c.importance <= class.importance) else {
        return;
    };
    let message = format!(
        "important class {} ranks no higher than class {}, which is not important",
        class.name, first.name
    );
    let site = entry.site("importance");
    let fault = Fault::new("importance-order", site, message, "0 is served first");
    let fault = fault.related(first_entry.site("importance"), "the other class");
    findings.push(
        fault
            .warning()
            .help(format!("give it an importance below {}", first.importance)),
    );
}

fn tickets((entry, class): Declared<'_, Class>, findings: &mut Findings) {
    if class.repeatable || class.deadline_ms <= TICKET_TTL_MS {
        return;
    }
    let message = format!(
        "class {} may run longer than its tickets are kept",
        class.name
    );
    let fault = Fault::new(
        "deadline-over-ticket",
        entry.site("deadline_ms"),
        message,
        format!("longer than the ticket lifetime of {TICKET_TTL_MS} ms"),
    );
    findings.push(
        fault
            .warning()
            .help("a caller that asks again after that gets `unknown`"),
    );
}

fn deadline(
    index: &Index<'_>,
    (entry, chain): Declared<'_, Chain>,
    class: &Class,
    findings: &mut Findings,
) {
    let Some(deployment) = index.deployment() else {
        return;
    };
    let hops = depth(chain);
    let needed_ms = hops as u64 * hop_min_ms(deployment.favour);
    if class.deadline_ms >= needed_ms {
        return;
    }
    let message = format!(
        "chain {} needs about {needed_ms} ms, but class {} has a deadline of {} ms",
        chain.name, class.name, class.deadline_ms
    );
    let site = entry.site("class");
    let label = format!(
        "{hops} services at {} ms each",
        hop_min_ms(deployment.favour)
    );
    let fault = Fault::new("short-deadline", site, message, label);
    findings.push(
        fault
            .warning()
            .help("under load, most requests of this chain would be refused"),
    );
}

/// Warns about retries that can't be used: each retry of a call goes to another upstream, so that a
/// call to a service with n upstreams can use n - 1.
fn retries(index: &Index<'_>, (entry, class): Declared<'_, Class>, findings: &mut Findings) {
    let usable = |chain: &Chain| -> usize {
        let services = chain.services();
        let counts = services.iter().map(|s| index.upstreams(s).len());
        counts.map(|n| n.saturating_sub(1)).sum()
    };
    let chains = index.chains.iter().filter(|(_, c)| c.class == class.name);
    let Some(most) = chains.map(|(_, c)| usable(c)).max() else {
        return;
    };
    if class.retries as usize <= most {
        return;
    }
    let message = format!(
        "class {} has {} retries, but no chain of it can use more than {most}",
        class.name, class.retries
    );
    let site = entry.site("retries");
    let fault = Fault::new(
        "unspendable-retries",
        site,
        message,
        "more than any hop can spend",
    );
    findings.push(
        fault
            .warning()
            .help("a retry goes to an upstream that was not tried before"),
    );
}

fn limit_effect(index: &Index<'_>, (entry, limit): Declared<'_, Limit>, findings: &mut Findings) {
    let upstreams = index.upstreams(&limit.service).iter();
    let slots = upstreams.map(|(_, u)| u.slots).max();
    if let Some(slots) = slots.filter(|s| limit.in_flight > *s) {
        let message = format!(
            "limit {} of {} is above the {slots} slots of {}",
            limit.name, limit.in_flight, limit.service
        );
        let site = entry.site("in_flight");
        let fault = Fault::new("limit-above-slots", site, message, "no effect");
        findings.push(fault.warning());
    }
    let reaches =
        |chain: &Chain| chain.class == limit.class && chain.services().contains(&limit.service);
    if !index.chains.iter().any(|(_, c)| reaches(c)) {
        let message = format!(
            "limit {} has no effect: no chain takes class {} to {}",
            limit.name, limit.class, limit.service
        );
        let fault = Fault::new("unused-limit", entry.site("class"), message, "no effect");
        findings.push(fault.warning());
    }
}

fn unused_objects(index: &Index<'_>, findings: &mut Findings) {
    let used: BTreeSet<_> = index.chains.iter().map(|(_, c)| &c.class).collect();
    for (name, (entry, _)) in &index.classes {
        if !used.contains(name) {
            let message = format!("no chain uses class {name}");
            let fault = Fault::new("unused-class", entry.site("name"), message, "no effect");
            findings.push(fault.warning());
        }
    }
    let reached: BTreeSet<_> = index
        .chains
        .iter()
        .flat_map(|(_, c)| c.services())
        .collect();
    for (name, (entry, _)) in &index.services {
        if !reached.contains(name) {
            let message = format!("no chain reaches service {name}");
            let fault = Fault::new("unused-service", entry.site("name"), message, "no traffic");
            findings.push(fault.warning());
        }
    }
}

fn single_zones(index: &Index<'_>, findings: &mut Findings) {
    let Some(deployment) = index.deployment().filter(|d| d.zones.len() > 1) else {
        return;
    };
    for (name, (entry, _)) in &index.services {
        let zones: BTreeSet<_> = index.upstreams(name).iter().map(|(_, u)| &u.zone).collect();
        let Some(zone) = zones.first().filter(|_| zones.len() == 1) else {
            continue;
        };
        let message = format!(
            "all upstreams of service {name} are in {zone}, 1 of {} availability zones",
            deployment.zones.len()
        );
        let site = entry.site("name");
        let fault = Fault::new(
            "single-zone",
            site,
            message,
            "lost with its availability zone",
        );
        findings.push(fault.warning());
    }
}
