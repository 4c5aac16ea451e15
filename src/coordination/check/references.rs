//! References to objects and availability zones that do not exist, and services without upstreams.

use std::collections::BTreeSet;

use super::{Entry, Fault, Index, fault::Findings, nearest};
use crate::state::object::Kind;

pub(super) fn check(index: &Index<'_>, found: &mut Findings) {
    if index.set.partial {
        return;
    }
    let refer = &mut |entry: &Entry, path: &str, kind: Kind, name: &str| {
        if !index.declared(kind, name) {
            found.push(dangling(index, entry, path, kind, name));
        }
    };
    for list in index.upstreams.values() {
        for (entry, upstream) in list {
            refer(entry, "service", Kind::Service, upstream.service.as_str());
        }
    }
    for (entry, chain) in &index.chains {
        refer(entry, "class", Kind::Class, chain.class.as_str());
        refer(entry, "entry", Kind::Service, chain.entry.as_str());
        for (caller, called) in &chain.calls {
            refer(
                entry,
                &format!("calls/{caller}#"),
                Kind::Service,
                caller.as_str(),
            );
            for (n, name) in called.iter().enumerate() {
                let path = format!("calls/{caller}/{n}");
                refer(entry, &path, Kind::Service, name.as_str());
            }
        }
    }
    for (entry, limit) in &index.limits {
        refer(entry, "service", Kind::Service, limit.service.as_str());
        refer(entry, "class", Kind::Class, limit.class.as_str());
    }
    zones(index, found);
    empty_services(index, found);
}

fn dangling(index: &Index<'_>, entry: &Entry, path: &str, kind: Kind, name: &str) -> Fault {
    let (word, by) = (kind.noun(), entry.object.kind().noun());
    let message = format!(
        "{by} {} refers to {word} {name}, which does not exist",
        entry.object.name()
    );
    let label = format!("no {word} of this name");
    let near = nearest(name, index.names(kind)).map(|n| format!("did you mean {n}?"));
    Fault::new("dangling-reference", entry.site(path), message, label).maybe_help(near)
}

fn zones(index: &Index<'_>, found: &mut Findings) {
    let Some(deployment) = index.deployment() else {
        return;
    };
    let zones: BTreeSet<_> = deployment.zones.iter().map(|z| &z.name).collect();
    for (entry, upstream) in index.upstreams.values().flatten() {
        if zones.contains(&upstream.zone) {
            continue;
        }
        let message = format!(
            "upstream {} is in availability zone {}, which deployment {} does not have",
            upstream.name, upstream.zone, deployment.name
        );
        let fault = Fault::new("unknown-zone", entry.site("zone"), message, "unknown zone");
        let known = zones.iter().map(|z| z.as_str());
        let near = nearest(upstream.zone.as_str(), known).map(|n| format!("did you mean {n}?"));
        found.push(fault.maybe_help(near));
    }
}

fn empty_services(index: &Index<'_>, found: &mut Findings) {
    let broken = index
        .set
        .unreadable
        .iter()
        .any(|(kind, _)| *kind == Kind::Upstream);
    for (name, (entry, _)) in &index.services {
        // An upstream that could not be read may belong to any service.
        if !index.upstreams(name).is_empty() || broken {
            continue;
        }
        let message = format!("service {name} has no upstream");
        let fault = Fault::new("no-upstream", entry.site("name"), message, "no upstream");
        found.push(fault.help("declare an Upstream for it, or remove the service"));
    }
}
