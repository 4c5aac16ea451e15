//! Subsets of large services.

use std::collections::{BTreeMap, VecDeque};

use super::super::{
    id::{UpstreamName, ZoneName},
    object::Upstream,
};

/// Services with more upstreams are subset.
pub const SUBSET_ABOVE: usize = 24;
const SUBSET: usize = 20;

/// The subset of `upstreams` that the node of `own` uses, by rendezvous hash.
///
/// The zones take turns, the own zone first, so that each is represented.
pub(super) fn subset(
    own: &UpstreamName,
    zone: &ZoneName,
    upstreams: &[(usize, &Upstream)],
) -> Vec<usize> {
    let mut zones: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for (at, upstream) in upstreams {
        let key = (upstream.zone != *zone, upstream.zone.clone());
        let weight = rendezvous(own, &upstream.name);
        zones.entry(key).or_default().push((weight, *at));
    }
    let mut turns: VecDeque<_> = zones.into_values().collect();
    turns.iter_mut().for_each(|zone| zone.sort_unstable());
    let mut chosen = Vec::with_capacity(SUBSET);
    while chosen.len() < SUBSET
        && let Some(mut zone) = turns.pop_front()
    {
        if let Some((_, at)) = zone.pop() {
            chosen.push(at);
            turns.push_back(zone);
        }
    }
    chosen.sort_unstable();
    chosen
}

fn rendezvous(own: &UpstreamName, upstream: &UpstreamName) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(own.as_str().as_bytes());
    hasher.update(b"\0");
    hasher.update(upstream.as_str().as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_be_bytes(first)
}
