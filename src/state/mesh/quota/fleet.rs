//! The fleet as a node sees it: who lends, and how many shares there are.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use tokio::time::Instant;

use crate::state::id::Digest;

/// Lenders of a fleet: enough that a lender that stops costs a quarter until its shares have been
/// lent to the others, few enough that a node which needs a whole quota asks all of them.
pub const LENDERS: usize = 4;
/// Time for which a node that has disappeared without announcing it counts as an owner of a share.
/// It may be alive on the other side of a partition.
const MISSING_HOLD: Duration = Duration::from_secs(600);

/// The lenders in the order in which the node at `own` asks them, given all nodes.
///
/// Rendezvous hashing makes the choice, and the position of the node among all decides which lender
/// is its first, so that each lender gets the shares of a quarter of the nodes. Views may differ.
///
/// ```
/// use comfreybay::state::mesh::quota::lenders;
/// let nodes: Vec<_> = (1..9).map(|n| ([10, 0, 0, n], 80).into()).collect();
/// let asked = lenders(nodes[0], nodes.iter().copied());
/// assert_eq!(asked.len(), 4);
/// ```
pub fn lenders(own: SocketAddr, nodes: impl IntoIterator<Item = SocketAddr>) -> Vec<SocketAddr> {
    let mut position = 0;
    let nodes = nodes
        .into_iter()
        .inspect(|node| position += usize::from(*node < own));
    let mut ranked: Vec<_> = nodes.map(|node| (rank(node), node)).collect();
    ranked.sort_unstable();
    ranked.dedup();
    ranked.truncate(LENDERS);
    let mut lenders: Vec<_> = ranked.into_iter().map(|(_, node)| node).collect();
    if !lenders.is_empty() {
        let first = position % lenders.len();
        lenders.rotate_left(first);
    }
    lenders
}

fn rank(node: SocketAddr) -> [u8; 32] {
    // Other nodes than the readers of the store, which are ranked by their address alone.
    Digest::of(format!("lender {node}").as_bytes()).0
}

/// Number of nodes that own a share.
#[derive(Debug, Default)]
pub struct FleetSize {
    present: BTreeSet<SocketAddr>,
    missing: BTreeMap<SocketAddr, Instant>,
    learned: Option<(u32, Instant)>,
}

impl FleetSize {
    /// Records the nodes that are known now, and those that have announced to leave. Leaving nodes
    /// own no share; others that disappear own theirs for some time.
    ///
    /// ```
    /// use std::{collections::BTreeSet, time::Duration};
    /// use comfreybay::state::mesh::quota::FleetSize;
    /// use tokio::time::Instant;
    /// let nodes = |ns: &[u8]| ns.iter().map(|n| ([10, 0, 0, *n], 80).into()).collect::<BTreeSet<_>>();
    /// let (mut size, now) = (FleetSize::default(), Instant::now());
    /// size.update(nodes(&[1, 2, 3]), &nodes(&[]), now);
    /// size.update(nodes(&[1, 2]), &nodes(&[]), now);
    /// assert_eq!(size.get(now), 3);
    /// size.update(nodes(&[1]), &nodes(&[2]), now);
    /// assert_eq!(size.get(now), 2);
    /// assert_eq!(size.get(now + Duration::from_secs(601)), 1);
    /// ```
    pub fn update(
        &mut self,
        nodes: BTreeSet<SocketAddr>,
        leaving: &BTreeSet<SocketAddr>,
        now: Instant,
    ) {
        let gone = self.present.difference(&nodes);
        self.missing.extend(gone.map(|node| (*node, now)));
        self.missing.retain(|node, since| {
            !nodes.contains(node) && !leaving.contains(node) && now < *since + MISSING_HOLD
        });
        self.present = nodes;
    }

    /// Records the number that another node states, if this one has just started: it does not know
    /// which nodes were missing before, so that its share would be too large.
    pub fn learn(&mut self, count: u32, now: Instant) {
        let known = self.learned.map_or(0, |(count, _)| count);
        self.learned = Some((count.max(known), now + MISSING_HOLD));
    }

    /// The number of nodes, at least 1.
    pub fn get(&self, now: Instant) -> u32 {
        let missing = self.missing.values();
        let missing = missing.filter(|since| now < **since + MISSING_HOLD).count();
        let known = u32::try_from(self.present.len() + missing).unwrap_or(u32::MAX);
        let learned = self.learned.filter(|(_, until)| now < *until);
        known.max(learned.map_or(1, |(count, _)| count))
    }
}
