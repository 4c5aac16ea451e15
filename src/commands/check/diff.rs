//! What a change does to each service, in words.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::{Display, Write},
};

use crate::state::{
    id::{ClassName, ServiceName},
    object::{Chain, Class, Limit, Upstream},
    publication::{Piece, Publication},
};

/// What the step from one publication to another does to the deployment and to each service.
pub fn diff(old: &Publication, new: &Publication) -> String {
    let (before, after) = (pieces(old), pieces(new));
    let mut out = String::new();
    section(&mut out, "deployment", &deployment(old, new));
    let names: BTreeSet<_> = before.keys().chain(after.keys()).copied().collect();
    for name in names {
        let lines = match (before.get(name), after.get(name)) {
            (Some(old), Some(new)) => changed(old, new),
            (None, Some(new)) => vec![format!("is new, with {}", size(&new.upstreams))],
            (Some(old), None) => vec![format!("is removed, with {}", size(&old.upstreams))],
            (None, None) => vec![],
        };
        section(&mut out, &format!("service {name}"), &lines);
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

fn section(out: &mut String, title: &str, lines: &[String]) {
    if lines.is_empty() {
        return;
    }
    let _ = writeln!(out, "{title}:");
    for line in lines {
        let _ = writeln!(out, "  {line}");
    }
}

fn pieces(publication: &Publication) -> BTreeMap<&ServiceName, &Piece> {
    let pieces = publication.pieces.values();
    pieces.map(|p| (&p.service.name, p)).collect()
}

fn size(upstreams: &[Upstream]) -> String {
    let slots: u64 = upstreams.iter().map(|u| u64::from(u.slots)).sum();
    format!("{} upstreams and {slots} slots", upstreams.len())
}

fn step<T: PartialEq + Display>(lines: &mut Vec<String>, what: &str, old: &T, new: &T) {
    if old != new {
        lines.push(format!("{what}: {old} -> {new}"));
    }
}

fn deployment(old: &Publication, new: &Publication) -> Vec<String> {
    let (old, new) = (&old.head.deployment, &new.head.deployment);
    let mut lines = vec![];
    step(&mut lines, "name", &old.name, &new.name);
    step(&mut lines, "owner", &old.owner, &new.owner);
    if old.favour != new.favour {
        lines.push(format!(
            "favour: {} -> {}; changes the queue target and the longest wait of every service",
            word(old.favour),
            word(new.favour)
        ));
    }
    if old.control != new.control {
        lines.push(format!(
            "control: {} -> {}",
            word(old.control),
            word(new.control)
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

/// The word that the object's file has for a variant.
fn word(variant: impl std::fmt::Debug) -> String {
    format!("{variant:?}").to_lowercase()
}

fn changed(old: &Piece, new: &Piece) -> Vec<String> {
    let mut lines = vec![];
    step(&mut lines, "owner", &old.service.owner, &new.service.owner);
    let (before, after) = (&old.service.shed_header, &new.service.shed_header);
    step(&mut lines, "header of its own load shedding", before, after);
    upstreams(&old.upstreams, &new.upstreams, &mut lines);
    chains(&old.chains, &new.chains, &mut lines);
    classes(&old.classes, &new.classes, &mut lines);
    limits(&old.limits, &new.limits, &mut lines);
    lines
}

fn upstreams(old: &[Upstream], new: &[Upstream], lines: &mut Vec<String>) {
    let (before, after) = (size(old), size(new));
    for upstream in new {
        let Some(was) = old.iter().find(|u| u.name == upstream.name) else {
            let Upstream {
                name, zone, slots, ..
            } = upstream;
            lines.push(format!(
                "upstream {name} in {zone} is new, with {slots} slots; it ramps up over 5 s"
            ));
            continue;
        };
        let what = |key: &str| format!("upstream {}: {key}", upstream.name);
        step(lines, &what("owner"), &was.owner, &upstream.owner);
        step(lines, &what("availability zone"), &was.zone, &upstream.zone);
        step(
            lines,
            &what("public address"),
            &was.public,
            &upstream.public,
        );
        step(lines, &what("peer address"), &was.peer, &upstream.peer);
        step(
            lines,
            &what("control address"),
            &was.control,
            &upstream.control,
        );
        step(lines, &what("slots"), &was.slots, &upstream.slots);
        step(
            lines,
            &what("connections"),
            &was.connections,
            &upstream.connections,
        );
    }
    for gone in old.iter().filter(|u| !new.iter().any(|n| n.name == u.name)) {
        lines.push(format!(
            "upstream {} is gone; it receives no new calls",
            gone.name
        ));
    }
    step(lines, "capacity", &before, &after);
}

fn chains(old: &[Chain], new: &[Chain], lines: &mut Vec<String>) {
    for chain in new {
        let route = |c: &Chain| format!("{} {} at {} as {}", c.method, c.path, c.entry, c.class);
        let Some(was) = old.iter().find(|c| c.name == chain.name) else {
            let Chain { name, class, .. } = chain;
            lines.push(format!(
                "chain {name} reaches it now: {} {}, class {class}",
                chain.method, chain.path
            ));
            continue;
        };
        let what = |key: &str| format!("chain {}: {key}", chain.name);
        step(lines, &what("owner"), &was.owner, &chain.owner);
        step(lines, &what("requests"), &route(was), &route(chain));
        step(lines, &what("calls"), &calls(was), &calls(chain));
    }
    for gone in old.iter().filter(|c| !new.iter().any(|n| n.name == c.name)) {
        lines.push(format!(
            "chain {} does not reach it any more: {} {}, class {}",
            gone.name, gone.method, gone.path, gone.class
        ));
    }
}

fn calls(chain: &Chain) -> String {
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

fn classes(old: &[Class], new: &[Class], lines: &mut Vec<String>) {
    for class in new {
        let Some(was) = old.iter().find(|c| c.name == class.name) else {
            continue;
        };
        let what = |key: &str| format!("class {}: {key}", class.name);
        step(lines, &what("owner"), &was.owner, &class.owner);
        step(
            lines,
            &what("deadline in ms"),
            &was.deadline_ms,
            &class.deadline_ms,
        );
        step(
            lines,
            &what("retries over the whole chain"),
            &was.retries,
            &class.retries,
        );
        if was.importance != class.importance {
            let word = match class.importance < was.importance {
                true => "earlier",
                false => "later",
            };
            lines.push(format!(
                "class {}: importance {} -> {}; it is served {word} than before",
                class.name, was.importance, class.importance
            ));
        }
        flag(
            lines,
            &class.name,
            (was.important, class.important),
            "is refused only after all classes that are not important",
            "is refused like every other class when capacity runs short",
        );
        flag(
            lines,
            &class.name,
            (was.repeatable, class.repeatable),
            "may run more than once and needs no ticket",
            "runs at most once and needs a ticket",
        );
    }
}

fn flag(lines: &mut Vec<String>, name: &ClassName, step: (bool, bool), on: &str, off: &str) {
    match step {
        (false, true) => lines.push(format!("class {name}: now {on}")),
        (true, false) => lines.push(format!("class {name}: now {off}")),
        _ => {}
    }
}

fn limits(old: &[Limit], new: &[Limit], lines: &mut Vec<String>) {
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
            Some(was) => {
                step(lines, &format!("limit {name}: owner"), &was.owner, &limit.owner);
                step(lines, &format!("limit {name}: class"), &was.class, class);
                let what = format!("limit {name}: class {class} in flight on each upstream");
                step(lines, &what, &was.in_flight, in_flight);
            }
        }
    }
    for gone in old.iter().filter(|l| !new.iter().any(|n| n.name == l.name)) {
        let Limit { name, class, .. } = gone;
        lines.push(format!(
            "limit {name} is gone: class {class} may use all slots"
        ));
    }
}
