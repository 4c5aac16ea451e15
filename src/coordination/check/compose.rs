//! Composition of a publication from a set of objects.

use std::collections::{BTreeMap, BTreeSet};

use super::{Fault, Index, fault::Findings};
use crate::state::{
    id::{Revision, ServiceName},
    object::{Chain, Class, Limit},
    publication::{Piece, Publication, encode},
};

/// Maximum size of an encoded part; the configuration service accepts values of up to 1 MB.
pub const PART_MAX_BYTES: usize = 1_000_000;

/// Composes the publication of a checked set; `None` when it does not have exactly one deployment.
///
/// All lists are sorted by name, so that digests do not depend on the order of files and objects.
pub fn compose(index: &Index<'_>, revision: Revision) -> Option<Publication> {
    let deployment = index.deployment()?.clone();
    Some(Publication::new(revision, deployment, pieces(index)))
}

fn pieces(index: &Index<'_>) -> Vec<Piece> {
    let mut chains: BTreeMap<ServiceName, Vec<&Chain>> = BTreeMap::new();
    for (_, chain) in &index.chains {
        for service in chain.services() {
            chains.entry(service).or_default().push(chain);
        }
    }
    let mut limits: BTreeMap<&ServiceName, Vec<Limit>> = BTreeMap::new();
    for (_, limit) in &index.limits {
        limits
            .entry(&limit.service)
            .or_default()
            .push((*limit).clone());
    }
    let services = index.services.iter();
    let piece = |(name, (_, service)): (&&ServiceName, &(_, &_))| {
        let chains: Vec<Chain> = chains
            .get(*name)
            .into_iter()
            .flatten()
            .map(|c| (*c).clone())
            .collect();
        let limits = limits.remove(*name).unwrap_or_default();
        let used: BTreeSet<_> = chains
            .iter()
            .map(|c| &c.class)
            .chain(limits.iter().map(|l| &l.class))
            .collect();
        let classes: Vec<Class> = used
            .into_iter()
            .filter_map(|c| index.classes.get(c))
            .map(|(_, class)| (*class).clone())
            .collect();
        let upstreams = index.upstreams(name).iter();
        Piece {
            service: crate::state::object::Service::clone(service),
            upstreams: upstreams.map(|(_, u)| (*u).clone()).collect(),
            limits,
            chains,
            classes,
        }
    };
    services.map(piece).collect()
}

/// Checks the encoded size of each service's piece, unless something else prevents publication.
pub(super) fn check(index: &Index<'_>, findings: &mut Findings) {
    if findings.has_fault() || index.set.partial || !index.set.unreadable.is_empty() {
        return;
    }
    for piece in pieces(index) {
        let size = encode(&piece).len();
        let Some((entry, _)) = index.services.get(&piece.service.name) else {
            continue;
        };
        if size <= PART_MAX_BYTES {
            continue;
        }
        let message = format!("service {} takes {size} bytes", piece.service.name);
        let label = format!("expected at most {PART_MAX_BYTES} bytes with all that applies to it");
        findings.push(Fault::new(
            "part-too-large",
            entry.site("name"),
            message,
            label,
        ));
    }
}
