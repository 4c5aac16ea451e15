//! How far this node and other nodes have read the platform's store.

use std::time::Duration;

use tokio::time::Instant;

use super::revision::StoreRevision;

/// Shortest duration of a watch.
const WATCH_MIN: Duration = Duration::from_secs(1);
/// Longest duration of a watch. The store's own limit is 30 s, less time for the answer to arrive.
const WATCH_MAX: Duration = Duration::from_secs(28);
/// Duration of the watches of a sentinel. A connection that has fallen silent is noticed when the
/// answer to a watch is overdue, so this time, the time allowed for the answer and the alarm have to
/// fit into the shortest time limit for changes, 2 s.
pub const SENTINEL_WATCH: Duration = Duration::from_millis(700);
/// Mean interval between the ends of watches without changes, over all nodes. It covers the case
/// that no sentinel reaches the store.
const WATCH_END_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest pause after a watch that returned changes.
const PAUSE_MIN: Duration = Duration::from_millis(50);
/// Pause while the node knows no routes and can serve nothing.
pub const PAUSE_WITHOUT_ROUTES: Duration = Duration::from_millis(50);
/// Longest pause while changes come in quick succession, as when a fleet starts: a quarter of the
/// time within which nodes have to stop sending requests to a draining server. Also the pause after
/// a list, as many nodes list the store when their fleet starts.
pub const PAUSE_MAX: Duration = Duration::from_millis(500);

/// Revisions of the store known to a node.
#[derive(Debug, Default)]
pub struct Progress {
    latest_item: StoreRevision,
    read: StoreRevision,
    reported: StoreRevision,
    behind_since: Option<Instant>,
}

impl Progress {
    /// Records the revision of an item that was read.
    pub fn seen(&mut self, revision: StoreRevision) {
        self.latest_item = self.latest_item.max(revision);
    }

    /// Records that everything up to a revision was read.
    pub fn read_to(&mut self, revision: StoreRevision) {
        self.read = self.read.max(revision);
        if self.reported <= self.read {
            self.behind_since = None;
        }
    }

    /// Records that the store has nothing later than a revision, whatever other nodes reported
    /// before.
    pub fn confirm(&mut self, revision: StoreRevision) {
        self.read_to(revision);
        self.reported = self.reported.min(self.read);
        self.behind_since = None;
    }

    /// Records the revision of the latest item that another node has read. Returns whether this node
    /// has just fallen behind.
    pub fn observe_peer(&mut self, revision: StoreRevision, now: Instant) -> bool {
        self.reported = self.reported.max(revision);
        let has_fallen = self.reported > self.read && self.behind_since.is_none();
        if has_fallen {
            self.behind_since = Some(now);
        }
        has_fallen
    }

    /// When this node learned that another one has read further, unless it has caught up since.
    pub fn behind_since(&self) -> Option<Instant> {
        self.behind_since
    }

    /// Whether another node knows of a restore of the store that this one does not.
    pub fn has_old_epoch(&self) -> bool {
        self.reported.epoch > self.read.epoch
    }

    /// Revision of the latest item that was read, for the report to other nodes.
    pub fn latest(&self) -> StoreRevision {
        self.latest_item
    }
}

/// Duration of the next watch, in a fleet of `nodes` nodes.
///
/// It increases with the fleet, so that the fleet's reads per second stay the same, and is spread
/// over the whole range, because a change ends all watches at once.
pub fn watch_duration(nodes: usize, rng: &mut fastrand::Rng) -> Duration {
    let mean = WATCH_END_INTERVAL * u32::try_from(nodes).unwrap_or(u32::MAX).min(1_000);
    let longest = (mean * 2).clamp(WATCH_MIN * 2, WATCH_MAX);
    WATCH_MIN + (longest - WATCH_MIN).mul_f64(rng.f64())
}

/// Pause before the next watch, after one that returned changes and lasted `watched`.
///
/// `last` is the pause before that watch. It doubles while watches end quickly, so that changes in
/// quick succession are read together.
pub fn watch_pause(last: Duration, watched: Duration) -> Duration {
    match watched < PAUSE_MAX {
        true => (last * 2).clamp(PAUSE_MIN, PAUSE_MAX),
        false => PAUSE_MIN,
    }
}
