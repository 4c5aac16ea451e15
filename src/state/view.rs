//! What a node knows about its peers from heartbeats and news.

use std::collections::BTreeMap;

use std::time::Duration;
use tokio::time::Instant;

use super::{
    id::{Fingerprint, Incarnation, Revision, ServiceName, UpstreamName},
    priority::Level,
};

/// Items of news on one heartbeat.
pub const NEWS_MAX: usize = 16;
/// Items of news remembered, so that each is acted on and forwarded only once.
const REMEMBERED_MAX: usize = 1_024;
/// A remembered item is dropped after this time; no copy is still forwarded by then.
const REMEMBER_S: u64 = 60;
/// Witnesses that must have lost a peer before it counts as down.
const WITNESSES: usize = 2;

/// State of a node as it reports it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum NodeState {
    /// It has no configuration yet.
    #[default]
    Starting,
    /// It takes work.
    Serving,
    /// It was paused and collects news.
    Waking,
    /// It takes no new work and will end.
    Leaving,
}

/// Condition of a peer as this node sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerStatus {
    /// Nothing is known.
    Unknown,
    /// It was heard and is not known to be down.
    Alive,
    /// Two witnesses lost it.
    Down,
    /// It said that it is leaving.
    Leaving,
}

/// One item of news.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum News {
    /// A witness lost its link to a node.
    Down {
        /// The node.
        subject: UpstreamName,
        /// Its incarnation as the witness knew it.
        incarnation: Incarnation,
        /// Its statement number as the witness knew it.
        number: u32,
        /// Who lost it.
        witness: UpstreamName,
    },
    /// A node says that it is alive.
    Alive {
        /// The node.
        subject: UpstreamName,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Its statement number.
        number: u32,
    },
    /// A node says that it is leaving.
    Leaving {
        /// The node.
        subject: UpstreamName,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Its statement number.
        number: u32,
    },
    /// A request was in flight at a server that crashed.
    Suspect {
        /// Service of the server.
        service: ServiceName,
        /// The request.
        fingerprint: Fingerprint,
    },
    /// A request crashed a server while it was the only suspect there.
    Convicted {
        /// Service of the server.
        service: ServiceName,
        /// The request.
        fingerprint: Fingerprint,
    },
}

/// What a peer said about itself last.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// State.
    pub state: NodeState,
    /// Revision in effect.
    pub revision: Revision,
    /// Admission level.
    pub level: Level,
    /// When it was heard.
    pub heard: Instant,
}

#[derive(Debug)]
struct Known {
    incarnation: Incarnation,
    replaced: Option<Incarnation>,
    number: u32,
    report: Option<Report>,
    leaving: bool,
    witnesses: BTreeMap<UpstreamName, u32>,
}

impl Known {
    fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            replaced: None,
            number: 0,
            report: None,
            leaving: false,
            witnesses: BTreeMap::new(),
        }
    }
}

#[derive(Debug)]
struct Carried {
    since: Instant,
    left: u32,
}

/// Knowledge about peers. Empty after a start and after a pause.
#[derive(Debug)]
pub struct PeerView {
    own: UpstreamName,
    incarnation: Incarnation,
    number: u32,
    peers: BTreeMap<UpstreamName, Known>,
    news: BTreeMap<News, Carried>,
    copies: u32,
}

impl PeerView {
    /// An empty view of the node `own` in this incarnation.
    pub fn new(own: UpstreamName, incarnation: Incarnation) -> Self {
        Self {
            own,
            incarnation,
            number: 1,
            peers: BTreeMap::new(),
            news: BTreeMap::new(),
            copies: 2,
        }
    }

    /// Sets how many nodes are known; each item of news is forwarded log2 of it plus 2 times.
    pub fn set_node_count(&mut self, nodes: usize) {
        self.copies = nodes.max(1).ilog2() + 2;
    }

    /// Drops all knowledge about others, as after a pause.
    pub fn clear(&mut self) {
        self.peers.clear();
        self.news.clear();
    }

    /// Number of peers known.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Records the start of a link: a peer named itself and its incarnation.
    pub fn record_link(&mut self, name: &UpstreamName, incarnation: Incarnation) {
        let known = self.known(name, incarnation);
        if known.incarnation != incarnation {
            let replaced = known.incarnation;
            *known = Known::new(incarnation);
            known.replaced = Some(replaced);
        }
    }

    /// Records a heartbeat from a peer itself; it overrides what others said about it.
    ///
    /// Gives false for an incarnation that a later one has replaced.
    pub fn record_heartbeat(
        &mut self,
        name: &UpstreamName,
        incarnation: Incarnation,
        report: Report,
    ) -> bool {
        if self.known(name, incarnation).replaced == Some(incarnation) {
            return false;
        }
        self.record_link(name, incarnation);
        let known = self.known(name, incarnation);
        known.leaving |= report.state == NodeState::Leaving;
        known.report = Some(report);
        known.witnesses.clear();
        true
    }

    fn known(&mut self, name: &UpstreamName, incarnation: Incarnation) -> &mut Known {
        let entry = self.peers.entry(name.clone());
        entry.or_insert_with(|| Known::new(incarnation))
    }

    /// What a peer said last.
    pub fn report(&self, name: &UpstreamName) -> Option<&Report> {
        self.peers.get(name)?.report.as_ref()
    }

    /// Condition of a peer.
    pub fn status(&self, name: &UpstreamName) -> PeerStatus {
        match self.peers.get(name) {
            None => PeerStatus::Unknown,
            Some(known) if known.leaving => PeerStatus::Leaving,
            Some(known) if known.witnesses.len() >= WITNESSES => PeerStatus::Down,
            Some(known) if known.report.is_some() => PeerStatus::Alive,
            Some(_) => PeerStatus::Unknown,
        }
    }

    /// Records that this node lost its link to a peer. Gives true when the peer is now down.
    pub fn report_lost(&mut self, name: &UpstreamName, now: Instant) -> bool {
        let Some(known) = self.peers.get(name) else {
            return false;
        };
        let item = News::Down {
            subject: name.clone(),
            incarnation: known.incarnation,
            number: known.number,
            witness: self.own.clone(),
        };
        let was_down = self.status(name) == PeerStatus::Down;
        self.update(item, now);
        !was_down && self.status(name) == PeerStatus::Down
    }

    /// Tells peers about this node itself, with a statement later than any before.
    pub fn announce_self(&mut self, leaving: bool, now: Instant) {
        self.number += 1;
        let (subject, incarnation, number) = (self.own.clone(), self.incarnation, self.number);
        let item = if leaving {
            News::Leaving {
                subject,
                incarnation,
                number,
            }
        } else {
            News::Alive {
                subject,
                incarnation,
                number,
            }
        };
        self.remember(item, now);
    }

    /// Learns an item of news. Gives true when it is new and changes something.
    pub fn update(&mut self, item: News, now: Instant) -> bool {
        if self.news.contains_key(&item) {
            return false;
        }
        let fresh = match &item {
            News::Down {
                subject,
                incarnation,
                number,
                ..
            } if *subject == self.own => {
                if *incarnation == self.incarnation && *number >= self.number {
                    self.number = *number;
                    self.announce_self(false, now);
                }
                return false;
            }
            News::Down {
                subject,
                incarnation,
                number,
                witness,
            } => self.suspect(subject, *incarnation, *number, witness),
            News::Alive {
                subject,
                incarnation,
                number,
            } => self.stated(subject, *incarnation, *number, false),
            News::Leaving {
                subject,
                incarnation,
                number,
            } => self.stated(subject, *incarnation, *number, true),
            News::Suspect { .. } | News::Convicted { .. } => true,
        };
        if fresh {
            self.remember(item, now);
        }
        fresh
    }

    fn suspect(
        &mut self,
        subject: &UpstreamName,
        incarnation: Incarnation,
        number: u32,
        witness: &UpstreamName,
    ) -> bool {
        let known = self.known(subject, incarnation);
        if known.incarnation != incarnation || number < known.number {
            return false;
        }
        known.witnesses.insert(witness.clone(), number).is_none()
    }

    fn stated(
        &mut self,
        subject: &UpstreamName,
        incarnation: Incarnation,
        number: u32,
        leaving: bool,
    ) -> bool {
        if *subject == self.own {
            return false;
        }
        let known = self.known(subject, incarnation);
        if known.incarnation != incarnation || number <= known.number {
            return false;
        }
        known.number = number;
        known.leaving |= leaving;
        known.witnesses.clear();
        true
    }

    fn remember(&mut self, item: News, now: Instant) {
        let keep = Duration::from_secs(REMEMBER_S);
        if self.news.len() >= REMEMBERED_MAX {
            self.news.retain(|_, c| now < c.since + keep);
        }
        if self.news.len() >= REMEMBERED_MAX {
            let oldest = self.news.iter().min_by_key(|(_, c)| c.since);
            if let Some(item) = oldest.map(|(item, _)| item.clone()) {
                self.news.remove(&item);
            }
        }
        let left = self.copies;
        self.news.insert(item, Carried { since: now, left });
    }

    /// Whether an item of news waits to be forwarded.
    pub fn has_news(&self) -> bool {
        self.news.values().any(|c| c.left > 0)
    }

    /// The items for the next heartbeat, the least forwarded first; at most [`NEWS_MAX`].
    pub fn take_news(&mut self, now: Instant) -> Vec<News> {
        let keep = Duration::from_secs(REMEMBER_S);
        self.news.retain(|_, c| now < c.since + keep);
        let mut waiting: Vec<_> = self.news.iter_mut().filter(|(_, c)| c.left > 0).collect();
        waiting.sort_by_key(|(_, c)| std::cmp::Reverse(c.left));
        waiting.truncate(NEWS_MAX);
        let take = |(item, carried): (&News, &mut Carried)| {
            carried.left -= 1;
            item.clone()
        };
        waiting.into_iter().map(take).collect()
    }

    /// Peers with their last report.
    pub fn iter(&self) -> impl Iterator<Item = (&UpstreamName, Option<&Report>)> {
        self.peers.iter().map(|(n, k)| (n, k.report.as_ref()))
    }

    /// Drops peers that are neither in `keep` nor heard within a minute.
    pub fn prune(&mut self, keep: impl Fn(&UpstreamName) -> bool, now: Instant) {
        let recent = |k: &Known| {
            let heard = k.report.as_ref().map(|r| r.heard);
            heard.is_some_and(|at| now < at + Duration::from_secs(REMEMBER_S))
        };
        self.peers.retain(|name, k| keep(name) || recent(k));
    }
}
