//! Names and limits that are declared twice, and the number of deployments.

use std::collections::BTreeMap;

use super::{Fault, Index, Site, fault::Findings};
use crate::state::object::Kind;

pub(super) fn check(index: &Index<'_>, findings: &mut Findings) {
    names(index, findings);
    limits(index, findings);
    deployments(index, findings);
}

fn names(index: &Index<'_>, findings: &mut Findings) {
    let mut first = BTreeMap::new();
    for entry in &index.set.entries {
        let (kind, name) = (entry.object.kind(), entry.object.name());
        let Some(earlier) = first.insert((kind, name), entry) else {
            continue;
        };
        first.insert((kind, name), earlier);
        let noun = kind.noun();
        let message = format!("{noun} {name:?} is declared twice");
        let fault = Fault::new("duplicate-name", entry.site("name"), message, "second time");
        findings.push(fault.related(earlier.site("name"), "first time"));
    }
}

fn limits(index: &Index<'_>, findings: &mut Findings) {
    let mut first = BTreeMap::new();
    for (entry, limit) in &index.limits {
        let key = (&limit.service, &limit.class);
        let Some(earlier) = first.insert(key, entry) else {
            continue;
        };
        first.insert(key, earlier);
        let message = format!(
            "class {} on service {} has two limits",
            limit.class, limit.service
        );
        let fault = Fault::new(
            "duplicate-limit",
            entry.site("class"),
            message,
            "second limit",
        );
        findings.push(fault.related(earlier.site("class"), "first limit"));
    }
}

fn deployments(index: &Index<'_>, findings: &mut Findings) {
    let is_any_unreadable = index
        .set
        .unreadable
        .iter()
        .any(|(kind, _)| *kind == Kind::Deployment);
    if index.deployments.is_empty() && !is_any_unreadable && !index.set.partial {
        let site = Site {
            file: 0,
            range: 0..0,
        };
        let message = "no object of kind Deployment";
        let fault = Fault::new("no-deployment", site, message, "no deployment in this tree");
        findings.push(fault.help("declare one Deployment with its availability zones"));
    }
    let mut all = index.deployments.iter();
    let Some((first, _)) = all.next() else { return };
    for (entry, other) in all {
        let message = format!("deployment {} is a second deployment", other.name);
        let fault = Fault::new(
            "second-deployment",
            entry.site("name"),
            message,
            "second one",
        );
        findings.push(fault.related(first.site("name"), "first one"));
    }
}
