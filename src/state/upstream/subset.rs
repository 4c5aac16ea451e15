//! Selection of the upstreams that a node uses in a large service.

use std::collections::{BTreeMap, VecDeque};

use super::super::{
    id::{UpstreamName, ZoneName},
    object::Upstream,
};

/// Number of upstreams above which a node uses only a subset of a service.
pub const SUBSET_THRESHOLD: usize = 24;
/// Number of upstreams in a subset.
const SUBSET_SIZE: usize = 20;

/// Selects the subset of `upstreams` that the node of `own` uses, by rendezvous hashing. Returns
/// their indices.
///
/// Selects from each zone in turn, starting with the zone of the node, so that each zone is
/// represented.
pub(super) fn subset(
    own: &UpstreamName,
    zone: &ZoneName,
    upstreams: &[(usize, &Upstream)],
) -> Vec<usize> {
    let mut zones: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for (index, upstream) in upstreams {
        let key = (upstream.zone != *zone, upstream.zone.clone());
        let weight = rendezvous(own, &upstream.name);
        zones.entry(key).or_default().push((weight, *index));
    }
    let mut queues: VecDeque<_> = zones.into_values().collect();
    queues.iter_mut().for_each(|zone| zone.sort_unstable());
    let mut selected = Vec::with_capacity(SUBSET_SIZE);
    while selected.len() < SUBSET_SIZE
        && let Some(mut zone) = queues.pop_front()
    {
        if let Some((_, index)) = zone.pop() {
            selected.push(index);
            queues.push_back(zone);
        }
    }
    selected.sort_unstable();
    selected
}

fn rendezvous(own: &UpstreamName, upstream: &UpstreamName) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(own.as_str().as_bytes());
    hasher.update(b"\0");
    hasher.update(upstream.as_str().as_bytes());
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_be_bytes(prefix)
}
