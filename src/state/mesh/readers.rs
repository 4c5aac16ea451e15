//! Choice of the nodes that read the platform's store for their availability zone.
//!
//! Each node computes the choice from the servers that it knows, so nodes need no agreement. Where
//! their views differ, as at the start of a fleet, a node may ask one that asks another itself. Every
//! node asks only nodes of a lower rank, so such chains end at one that reads the store.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use tokio::time::Instant;

use crate::state::{
    id::{Digest, ZoneName},
    object::Upstream,
};

/// Readers of one zone: enough that some reach the store when others are stopped, cut off or turned
/// away at the same time.
pub const READERS_PER_ZONE: usize = 4;

/// Where a node gets the changes of the store from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// From the store itself.
    Store,
    /// From one of these nodes, in order of preference.
    Readers(Vec<SocketAddr>),
}

/// The source for the node at `own` in `zone`, given the servers known in all zones.
///
/// Rendezvous hashing makes the choice: a server that joins or leaves replaces at most one reader,
/// and the other nodes of the zone spread evenly over the readers.
///
/// ```
/// use comfreybay::state::mesh::readers::{Source, source};
/// // A node that knows no other node reads the store.
/// let own = "10.0.0.1:80".parse().unwrap();
/// assert_eq!(source(own, &"a".parse().unwrap(), []), Source::Store);
/// ```
pub fn source<'a>(
    own: SocketAddr,
    zone: &ZoneName,
    servers: impl IntoIterator<Item = &'a Upstream>,
) -> Source {
    let own_rank = rank(&[own]);
    let in_zone = servers.into_iter().filter(|s| s.zone == *zone);
    let ranked = in_zone.map(|s| (rank(&[s.peer]), s.peer));
    // Whether the node's own server is listed makes no difference.
    let mut ranked: Vec<_> = ranked.filter(|(rank, _)| *rank < own_rank).collect();
    if ranked.len() < READERS_PER_ZONE {
        return Source::Store;
    }
    ranked.select_nth_unstable(READERS_PER_ZONE - 1);
    ranked.truncate(READERS_PER_ZONE);
    let mut readers: Vec<_> = ranked.into_iter().map(|(_, peer)| peer).collect();
    readers.sort_by_cached_key(|peer| rank(&[own, *peer]));
    Source::Readers(readers)
}

/// Readers of the whole fleet that notice soon when their connections to the store fall silent, and
/// alarm the others: two, so that one may be stopped or cut off.
pub const SENTINELS: usize = 2;

/// The readers of all zones, given the servers known; the sentinels come first.
pub fn all<'a>(servers: impl IntoIterator<Item = &'a Upstream>) -> Vec<SocketAddr> {
    let mut ranked: Vec<_> = servers
        .into_iter()
        .map(|s| (rank(&[s.peer]), s.peer, &s.zone))
        .collect();
    ranked.sort_unstable();
    let mut zones: BTreeMap<_, usize> = BTreeMap::new();
    let readers = ranked.into_iter().filter(|(_, _, zone)| {
        let count = zones.entry(*zone).or_default();
        *count += 1;
        *count <= READERS_PER_ZONE
    });
    readers.map(|(_, peer, _)| peer).collect()
}

/// Nodes that read the store for others until recently.
///
/// The entry of a reader's server may lapse because both are cut off from the store. Other nodes then
/// drop it as a reader, but the nodes of its zone that know nothing of it still ask it, until it finds
/// out that the store does not answer it.
#[derive(Debug, Default)]
pub struct FormerReaders(BTreeMap<SocketAddr, Instant>);

/// Time after which a reader has noticed by itself that the store does not answer it, as its watch is
/// overdue.
const FORMER_TTL: Duration = Duration::from_secs(30);

impl FormerReaders {
    /// Records the readers before and after a change of the known servers.
    pub fn update(&mut self, before: &[SocketAddr], after: &[SocketAddr], now: Instant) {
        let dropped = before.iter().filter(|reader| !after.contains(reader));
        self.0.extend(dropped.map(|reader| (*reader, now)));
        self.0
            .retain(|reader, at| now < *at + FORMER_TTL && !after.contains(reader));
    }

    /// Those that may not have noticed yet that they are readers no more.
    pub fn at(&self, now: Instant) -> impl Iterator<Item = SocketAddr> {
        let recent = self.0.iter().filter(move |(_, at)| now < **at + FORMER_TTL);
        recent.map(|(reader, _)| *reader)
    }
}

fn rank(nodes: &[SocketAddr]) -> [u8; 32] {
    let text: Vec<_> = nodes.iter().map(ToString::to_string).collect();
    Digest::of(text.join(" ").as_bytes()).0
}
