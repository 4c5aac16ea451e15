//! References to objects and availability zones that do not exist, and services without upstreams.

use std::collections::BTreeSet;

use super::{Entry, Fault, Index, fault::Findings, nearest};
use crate::state::object::Kind;

pub(super) fn check(index: &Index<'_>, findings: &mut Findings) {
    if index.set.partial {
        return;
    }
    let check_reference = &mut |entry: &Entry, path: &str, kind: Kind, name: &str| {
        if !index.is_declared(kind, name) {
            findings.push(dangling_reference(index, entry, path, kind, name));
        }
    };
    for list in index.upstreams.values() {
        for (entry, upstream) in list {
            check_reference(entry, "service", Kind::Service, upstream.service.as_str());
        }
    }
    for (entry, chain) in &index.chains {
        check_reference(entry, "class", Kind::Class, chain.class.as_str());
        check_reference(entry, "entry", Kind::Service, chain.entry.as_str());
        for (caller, called) in &chain.calls {
            check_reference(
                entry,
                &format!("calls/{caller}#"),
                Kind::Service,
                caller.as_str(),
            );
            for (n, name) in called.iter().enumerate() {
                let path = format!("calls/{caller}/{n}");
                check_reference(entry, &path, Kind::Service, name.as_str());
            }
        }
    }
    for (entry, limit) in &index.limits {
        check_reference(entry, "service", Kind::Service, limit.service.as_str());
        check_reference(entry, "class", Kind::Class, limit.class.as_str());
    }
    zones(index, findings);
    services_without_upstream(index, findings);
}

fn dangling_reference(
    index: &Index<'_>,
    entry: &Entry,
    path: &str,
    kind: Kind,
    name: &str,
) -> Fault {
    let (noun, from) = (kind.noun(), entry.object.kind().noun());
    let message = format!(
        "{from} {} refers to {noun} {name}, which does not exist",
        entry.object.name()
    );
    let label = format!("no {noun} of this name");
    let suggestion = nearest(name, index.names(kind)).map(|n| format!("did you mean {n}?"));
    Fault::new("dangling-reference", entry.site(path), message, label).maybe_help(suggestion)
}

fn zones(index: &Index<'_>, findings: &mut Findings) {
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
        let suggestion =
            nearest(upstream.zone.as_str(), known).map(|n| format!("did you mean {n}?"));
        findings.push(fault.maybe_help(suggestion));
    }
}

fn services_without_upstream(index: &Index<'_>, findings: &mut Findings) {
    let is_any_unreadable = index
        .set
        .unreadable
        .iter()
        .any(|(kind, _)| *kind == Kind::Upstream);
    for (name, (entry, _)) in &index.services {
        // An upstream that could not be read may belong to any service.
        if !index.upstreams(name).is_empty() || is_any_unreadable {
            continue;
        }
        let message = format!("service {name} has no upstream");
        let fault = Fault::new("no-upstream", entry.site("name"), message, "no upstream");
        findings.push(fault.help("declare an Upstream for it, or remove the service"));
    }
}
