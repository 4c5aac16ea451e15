//! Describes the effects of a change on each service.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::{Display, Write},
};

use crate::state::{
    id::{ClassName, ServiceName},
    object::{Chain, Class, Limit, Upstream},
    publication::{Piece, Publication},
};

/// Describes what differs between two publications, for the deployment and for each service.
pub fn diff(old: &Publication, new: &Publication) -> String {
    let (before, after) = (pieces_by_service(old), pieces_by_service(new));
    let mut out = String::new();
    push_section(&mut out, "deployment", &deployment_changes(old, new));
    let names: BTreeSet<_> = before.keys().chain(after.keys()).copied().collect();
    for name in names {
        let lines = match (before.get(name), after.get(name)) {
            (Some(old), Some(new)) => service_changes(old, new),
            (None, Some(new)) => vec![format!("is new, with {}", capacity(&new.upstreams))],
            (Some(old), None) => vec![format!("is removed, with {}", capacity(&old.upstreams))],
            (None, None) => vec![],
        };
        push_section(&mut out, &format!("service {name}"), &lines);
    }
    if out.is_empty() {
        return "no change\n".to_owned();
    }
    let buckets = new.buckets.keys().filter(|d| !old.buckets.contains_key(d));
    let parts = new.pieces.keys().filter(|d| !old.pieces.contains_key(d));
    let (buckets, parts) = (buckets.count(), parts.count());
    // Writing to a string does not fail.
    let _ = writeln!(out, "new parts: 1 head, {buckets} buckets, {parts} pieces");
    out
}

fn push_section(out: &mut String, title: &str, lines: &[String]) {
    if lines.is_empty() {
        return;
    }
    let _ = writeln!(out, "{title}:");
    for line in lines {
        let _ = writeln!(out, "  {line}");
    }
}

fn pieces_by_service(publication: &Publication) -> BTreeMap<&ServiceName, &Piece> {
    let pieces = publication.pieces.values();
    pieces.map(|p| (&p.service.name, p)).collect()
}

/// The number of upstreams and the sum of their slots.
fn capacity(upstreams: &[Upstream]) -> String {
    let slots: u64 = upstreams.iter().map(|u| u64::from(u.slots)).sum();
    format!("{} upstreams and {slots} slots", upstreams.len())
}

/// Adds a line if the value changed.
fn push_change<T: PartialEq + Display>(lines: &mut Vec<String>, label: &str, old: &T, new: &T) {
    if old != new {
        lines.push(format!("{label}: {old} -> {new}"));
    }
}

fn deployment_changes(old: &Publication, new: &Publication) -> Vec<String> {
    let (old, new) = (&old.head.deployment, &new.head.deployment);
    let mut lines = vec![];
    push_change(&mut lines, "name", &old.name, &new.name);
    push_change(&mut lines, "owner", &old.owner, &new.owner);
    if old.favour != new.favour {
        lines.push(format!(
            "favour: {} -> {}; changes the queue target and the longest wait of every service",
            yaml_value(old.favour),
            yaml_value(new.favour)
        ));
    }
    if old.control != new.control {
        lines.push(format!(
            "control: {} -> {}",
            yaml_value(old.control),
            yaml_value(new.control)
        ));
    }
    for zone in new.zones.iter().filter(|z| !old.zones.contains(z)) {
        lines.push(format!(
            "availability zone {} in region {} is new",
            zone.name, zone.region
        ));
    }
    for zone in old.zones.iter().filter(|z| !new.zones.contains(z)) {
        lines.push(format!(
            "availability zone {} in region {} is gone",
            zone.name, zone.region
        ));
    }
    lines
}

/// The text of a variant as written in an object's file.
fn yaml_value(variant: impl std::fmt::Debug) -> String {
    format!("{variant:?}").to_lowercase()
}

fn service_changes(old: &Piece, new: &Piece) -> Vec<String> {
    let mut lines = vec![];
    push_change(&mut lines, "owner", &old.service.owner, &new.service.owner);
    let (before, after) = (&old.service.shed_header, &new.service.shed_header);
    push_change(&mut lines, "header of its own load shedding", before, after);
    push_upstreams(&old.upstreams, &new.upstreams, &mut lines);
    push_chains(&old.chains, &new.chains, &mut lines);
    push_classes(&old.classes, &new.classes, &mut lines);
    push_limits(&old.limits, &new.limits, &mut lines);
    lines
}

fn push_upstreams(old: &[Upstream], new: &[Upstream], lines: &mut Vec<String>) {
    let (before, after) = (capacity(old), capacity(new));
    for upstream in new {
        let Some(previous) = old.iter().find(|u| u.name == upstream.name) else {
            let Upstream {
                name, zone, slots, ..
            } = upstream;
            lines.push(format!(
                "upstream {name} in {zone} is new, with {slots} slots; it ramps up over 5 s"
            ));
            continue;
        };
        let label = |key: &str| format!("upstream {}: {key}", upstream.name);
        push_change(lines, &label("owner"), &previous.owner, &upstream.owner);
        push_change(
            lines,
            &label("availability zone"),
            &previous.zone,
            &upstream.zone,
        );
        push_change(
            lines,
            &label("public address"),
            &previous.public,
            &upstream.public,
        );
        push_change(
            lines,
            &label("peer address"),
            &previous.peer,
            &upstream.peer,
        );
        push_change(
            lines,
            &label("control address"),
            &previous.control,
            &upstream.control,
        );
        push_change(lines, &label("slots"), &previous.slots, &upstream.slots);
        push_change(
            lines,
            &label("connections"),
            &previous.connections,
            &upstream.connections,
        );
    }
    for removed in old.iter().filter(|u| !new.iter().any(|n| n.name == u.name)) {
        lines.push(format!(
            "upstream {} is gone; it receives no new calls",
            removed.name
        ));
    }
    push_change(lines, "capacity", &before, &after);
}

fn push_chains(old: &[Chain], new: &[Chain], lines: &mut Vec<String>) {
    for chain in new {
        let route = |c: &Chain| format!("{} {} at {} as {}", c.method, c.path, c.entry, c.class);
        let Some(previous) = old.iter().find(|c| c.name == chain.name) else {
            let Chain { name, class, .. } = chain;
            lines.push(format!(
                "chain {name} reaches it now: {} {}, class {class}",
                chain.method, chain.path
            ));
            continue;
        };
        let label = |key: &str| format!("chain {}: {key}", chain.name);
        push_change(lines, &label("owner"), &previous.owner, &chain.owner);
        push_change(lines, &label("requests"), &route(previous), &route(chain));
        push_change(
            lines,
            &label("calls"),
            &calls_text(previous),
            &calls_text(chain),
        );
    }
    for removed in old.iter().filter(|c| !new.iter().any(|n| n.name == c.name)) {
        lines.push(format!(
            "chain {} does not reach it any more: {} {}, class {}",
            removed.name, removed.method, removed.path, removed.class
        ));
    }
}

fn calls_text(chain: &Chain) -> String {
    let call = |(caller, called): (&ServiceName, &Vec<ServiceName>)| {
        let called: Vec<_> = called.iter().map(ServiceName::as_str).collect();
        format!("{caller} -> {}", called.join(" and "))
    };
    let all: Vec<_> = chain.calls.iter().map(call).collect();
    match all.is_empty() {
        true => "none".to_owned(),
        false => all.join(", "),
    }
}

fn push_classes(old: &[Class], new: &[Class], lines: &mut Vec<String>) {
    for class in new {
        let Some(previous) = old.iter().find(|c| c.name == class.name) else {
            continue;
        };
        let label = |key: &str| format!("class {}: {key}", class.name);
        push_change(lines, &label("owner"), &previous.owner, &class.owner);
        push_change(
            lines,
            &label("deadline in ms"),
            &previous.deadline_ms,
            &class.deadline_ms,
        );
        push_change(
            lines,
            &label("retries over the whole chain"),
            &previous.retries,
            &class.retries,
        );
        if previous.importance != class.importance {
            let earlier_or_later = match class.importance < previous.importance {
                true => "earlier",
                false => "later",
            };
            lines.push(format!(
                "class {}: importance {} -> {}; it is served {earlier_or_later} than before",
                class.name, previous.importance, class.importance
            ));
        }
        push_flag(
            lines,
            &class.name,
            (previous.important, class.important),
            "is refused only after all classes that are not important",
            "is refused like every other class when capacity runs short",
        );
        push_flag(
            lines,
            &class.name,
            (previous.repeatable, class.repeatable),
            "may run more than once and needs no ticket",
            "runs at most once and needs a ticket",
        );
    }
}

/// Adds a line if the flag changed; `change` holds its old and new value, `on` and `off` say what
/// each value means.
fn push_flag(lines: &mut Vec<String>, name: &ClassName, change: (bool, bool), on: &str, off: &str) {
    match change {
        (false, true) => lines.push(format!("class {name}: now {on}")),
        (true, false) => lines.push(format!("class {name}: now {off}")),
        _ => {}
    }
}

fn push_limits(old: &[Limit], new: &[Limit], lines: &mut Vec<String>) {
    for limit in new {
        let Limit {
            name,
            class,
            in_flight,
            ..
        } = limit;
        match old.iter().find(|l| l.name == limit.name) {
            None => lines.push(format!(
                "limit {name} is new: class {class} has at most {in_flight} in flight on each upstream"
            )),
            Some(previous) => {
                push_change(
                    lines,
                    &format!("limit {name}: owner"),
                    &previous.owner,
                    &limit.owner,
                );
                push_change(lines, &format!("limit {name}: class"), &previous.class, class);
                let label = format!("limit {name}: class {class} in flight on each upstream");
                push_change(lines, &label, &previous.in_flight, in_flight);
            }
        }
    }
    for removed in old.iter().filter(|l| !new.iter().any(|n| n.name == l.name)) {
        let Limit { name, class, .. } = removed;
        lines.push(format!(
            "limit {name} is gone: class {class} may use all slots"
        ));
    }
}
