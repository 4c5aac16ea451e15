//! How far the store has been read, here and by other nodes.

use std::time::Duration;

/// Shortest time that the store is asked to hold a watch.
const HOLD_MIN: Duration = Duration::from_secs(1);
/// Longest time; the store's own bound is 30 s, and the answer takes some time too.
const HOLD_MAX: Duration = Duration::from_secs(28);
/// Mean time between the ends of two watches without changes, over all nodes. Nodes whose
/// connection to the store has fallen silent learn of a change when the next watch ends, so a few
/// of these intervals have to fit into the shortest bound for changes, 2 s.
const ENDS_EVERY: Duration = Duration::from_millis(250);

/// Least pause after an answer with changes.
const PAUSE_MIN: Duration = Duration::from_millis(50);
/// Longest pause while changes follow each other, as when a fleet starts; a quarter of the time in
/// which a server that drains has to be left alone.
const PAUSE_MAX: Duration = Duration::from_millis(500);

/// Revisions of the store known to a node.
#[derive(Debug, Default)]
pub struct Progress {
    seen: u64,
    read: u64,
    told: u64,
}

impl Progress {
    /// Notes the revision of an item that was read.
    pub fn seen(&mut self, revision: u64) {
        self.seen = self.seen.max(revision);
    }

    /// Notes that everything up to a revision was read.
    pub fn read_to(&mut self, revision: u64) {
        self.read = self.read.max(revision);
    }

    /// Notes the latest item that another node has read; true when this node has not read so far.
    pub fn observe_peer(&mut self, revision: u64) -> bool {
        let is_news = revision > self.told && revision > self.read;
        self.told = self.told.max(revision);
        is_news
    }

    /// Whether another node has read further.
    pub fn is_behind(&self) -> bool {
        self.told > self.read
    }

    /// Revision of the latest item that was read, which other nodes are told.
    pub fn latest(&self) -> u64 {
        self.seen
    }
}

/// Time for which the store is asked to hold a watch, in a fleet of `nodes`.
///
/// Longer in a larger fleet, so that the fleet's reads a second stay the same, and spread over the
/// whole range, because a change ends all watches at once.
pub fn watch_duration(nodes: usize, rng: &mut fastrand::Rng) -> Duration {
    let mean = ENDS_EVERY * u32::try_from(nodes).unwrap_or(u32::MAX).min(1_000);
    let longest = (mean * 2).clamp(HOLD_MIN * 2, HOLD_MAX);
    HOLD_MIN + (longest - HOLD_MIN).mul_f64(rng.f64())
}

/// Pause before the next watch, after one that `held` for a time and brought changes.
///
/// `last` is the pause before that watch. Watches that end at once again double it, so changes that
/// follow each other are read together.
pub fn watch_pause(last: Duration, held: Duration) -> Duration {
    match held < PAUSE_MAX {
        true => (last * 2).clamp(PAUSE_MIN, PAUSE_MAX),
        false => PAUSE_MIN,
    }
}
