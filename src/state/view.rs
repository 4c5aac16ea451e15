//! What a node knows about its peers from heartbeats and from news propagated by other nodes.

use std::collections::BTreeMap;

use std::time::Duration;
use tokio::time::Instant;

use super::{
    id::{Fingerprint, Incarnation, Revision, ServiceName, UpstreamName},
    priority::Level,
};

/// Largest number of news items in one heartbeat.
pub const NEWS_MAX: usize = 16;
/// Largest number of news items kept, so that each is applied and forwarded only once.
const NEWS_KEPT_MAX: usize = 1_024;
/// Time after which a news item is dropped, as no node forwards it any more by then, and after
/// which a peer that has sent no heartbeat may be removed.
const RETENTION_S: u64 = 60;
/// Number of nodes that must have lost their link to a peer before it counts as down.
const WITNESSES_MIN: usize = 2;

/// State of a node as it reports it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum NodeState {
    /// It has no configuration yet.
    #[default]
    Starting,
    /// It accepts requests.
    Serving,
    /// The process was paused and is collecting news again.
    Waking,
    /// It accepts no new requests and will stop.
    Leaving,
}

/// Status of a peer according to this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerStatus {
    /// Nothing is known.
    Unknown,
    /// It has sent a heartbeat and is not known to be down.
    Alive,
    /// Two nodes lost their links to it.
    Down,
    /// It reported that it is leaving.
    Leaving,
}

/// One item of news, propagated on heartbeats.
///
/// Statement numbers order what a node reports about itself within one incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum News {
    /// A node, the witness, lost its link to another one.
    Down {
        /// The node.
        subject: UpstreamName,
        /// Its incarnation as known to the witness.
        incarnation: Incarnation,
        /// Its statement number as known to the witness.
        number: u32,
        /// The node that lost the link.
        witness: UpstreamName,
    },
    /// A node reports that it is alive.
    Alive {
        /// The node.
        subject: UpstreamName,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Its statement number.
        number: u32,
    },
    /// A node reports that it is leaving.
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

/// The last report of a peer about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// State.
    pub state: NodeState,
    /// Revision in effect.
    pub revision: Revision,
    /// Admission level.
    pub level: Level,
    /// When the report was received.
    pub last_heard: Instant,
}

#[derive(Debug)]
struct PeerRecord {
    incarnation: Incarnation,
    replaced: Option<Incarnation>,
    number: u32,
    report: Option<Report>,
    leaving: bool,
    witnesses: BTreeMap<UpstreamName, u32>,
}

impl PeerRecord {
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
struct Propagation {
    since: Instant,
    copies_left: u32,
}

/// What is known about the peers. Empty after a start and after a pause.
#[derive(Debug)]
pub struct PeerView {
    own_name: UpstreamName,
    incarnation: Incarnation,
    number: u32,
    peers: BTreeMap<UpstreamName, PeerRecord>,
    news: BTreeMap<News, Propagation>,
    copies: u32,
}

impl PeerView {
    /// An empty view of the node `own_name` in this incarnation.
    pub fn new(own_name: UpstreamName, incarnation: Incarnation) -> Self {
        Self {
            own_name,
            incarnation,
            number: 1,
            peers: BTreeMap::new(),
            news: BTreeMap::new(),
            copies: 2,
        }
    }

    /// Sets the number of known nodes. Each item of news is forwarded log2 of it plus 2 times.
    pub fn set_node_count(&mut self, nodes: usize) {
        self.copies = nodes.max(1).ilog2() + 2;
    }

    /// Removes everything known about the peers, as after a pause.
    pub fn clear(&mut self) {
        self.peers.clear();
        self.news.clear();
    }

    /// Number of peers known.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether no peer is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Records a new link to a peer, with the name and incarnation that the peer sent.
    pub fn record_link(&mut self, name: &UpstreamName, incarnation: Incarnation) {
        let record = self.record(name, incarnation);
        if record.incarnation != incarnation {
            let replaced = record.incarnation;
            *record = PeerRecord::new(incarnation);
            record.replaced = Some(replaced);
        }
    }

    /// Records a heartbeat from a peer itself; it overrides what other nodes reported about it.
    ///
    /// Returns false for an incarnation that a later one has replaced.
    pub fn record_heartbeat(
        &mut self,
        name: &UpstreamName,
        incarnation: Incarnation,
        report: Report,
    ) -> bool {
        if self.record(name, incarnation).replaced == Some(incarnation) {
            return false;
        }
        self.record_link(name, incarnation);
        let record = self.record(name, incarnation);
        record.leaving |= report.state == NodeState::Leaving;
        record.report = Some(report);
        record.witnesses.clear();
        true
    }

    fn record(&mut self, name: &UpstreamName, incarnation: Incarnation) -> &mut PeerRecord {
        let entry = self.peers.entry(name.clone());
        entry.or_insert_with(|| PeerRecord::new(incarnation))
    }

    /// The last report of a peer.
    pub fn report(&self, name: &UpstreamName) -> Option<&Report> {
        self.peers.get(name)?.report.as_ref()
    }

    /// Status of a peer.
    pub fn status(&self, name: &UpstreamName) -> PeerStatus {
        match self.peers.get(name) {
            None => PeerStatus::Unknown,
            Some(record) if record.leaving => PeerStatus::Leaving,
            Some(record) if record.witnesses.len() >= WITNESSES_MIN => PeerStatus::Down,
            Some(record) if record.report.is_some() => PeerStatus::Alive,
            Some(_) => PeerStatus::Unknown,
        }
    }

    /// Records that this node lost its link to a peer. Returns true if that makes the peer down.
    pub fn report_lost(&mut self, name: &UpstreamName, now: Instant) -> bool {
        let Some(record) = self.peers.get(name) else {
            return false;
        };
        let item = News::Down {
            subject: name.clone(),
            incarnation: record.incarnation,
            number: record.number,
            witness: self.own_name.clone(),
        };
        let was_down = self.status(name) == PeerStatus::Down;
        self.update(item, now);
        !was_down && self.status(name) == PeerStatus::Down
    }

    /// Queues news about this node itself, with a higher statement number than any before.
    pub fn announce_self(&mut self, leaving: bool, now: Instant) {
        self.number += 1;
        let (subject, incarnation, number) = (self.own_name.clone(), self.incarnation, self.number);
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
        self.keep_news(item, now);
    }

    /// Applies an item of news. Returns true if it is new and changes something.
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
            } if *subject == self.own_name => {
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
            } => self.add_witness(subject, *incarnation, *number, witness),
            News::Alive {
                subject,
                incarnation,
                number,
            } => self.apply_statement(subject, *incarnation, *number, false),
            News::Leaving {
                subject,
                incarnation,
                number,
            } => self.apply_statement(subject, *incarnation, *number, true),
            News::Suspect { .. } | News::Convicted { .. } => true,
        };
        if fresh {
            self.keep_news(item, now);
        }
        fresh
    }

    fn add_witness(
        &mut self,
        subject: &UpstreamName,
        incarnation: Incarnation,
        number: u32,
        witness: &UpstreamName,
    ) -> bool {
        let record = self.record(subject, incarnation);
        if record.incarnation != incarnation || number < record.number {
            return false;
        }
        record.witnesses.insert(witness.clone(), number).is_none()
    }

    fn apply_statement(
        &mut self,
        subject: &UpstreamName,
        incarnation: Incarnation,
        number: u32,
        leaving: bool,
    ) -> bool {
        if *subject == self.own_name {
            return false;
        }
        let record = self.record(subject, incarnation);
        if record.incarnation != incarnation || number <= record.number {
            return false;
        }
        record.number = number;
        record.leaving |= leaving;
        record.witnesses.clear();
        true
    }

    fn keep_news(&mut self, item: News, now: Instant) {
        let keep = Duration::from_secs(RETENTION_S);
        if self.news.len() >= NEWS_KEPT_MAX {
            self.news.retain(|_, p| now < p.since + keep);
        }
        if self.news.len() >= NEWS_KEPT_MAX {
            let oldest = self.news.iter().min_by_key(|(_, p)| p.since);
            if let Some(item) = oldest.map(|(item, _)| item.clone()) {
                self.news.remove(&item);
            }
        }
        let copies_left = self.copies;
        self.news.insert(
            item,
            Propagation {
                since: now,
                copies_left,
            },
        );
    }

    /// Whether any item of news is still to be forwarded.
    pub fn has_news(&self) -> bool {
        self.news.values().any(|p| p.copies_left > 0)
    }

    /// The items for the next heartbeat, at most [`NEWS_MAX`]; those with the most forwards left
    /// come first.
    pub fn take_news(&mut self, now: Instant) -> Vec<News> {
        let keep = Duration::from_secs(RETENTION_S);
        self.news.retain(|_, p| now < p.since + keep);
        let mut waiting: Vec<_> = self
            .news
            .iter_mut()
            .filter(|(_, p)| p.copies_left > 0)
            .collect();
        waiting.sort_by_key(|(_, p)| std::cmp::Reverse(p.copies_left));
        waiting.truncate(NEWS_MAX);
        let take = |(item, propagation): (&News, &mut Propagation)| {
            propagation.copies_left -= 1;
            item.clone()
        };
        waiting.into_iter().map(take).collect()
    }

    /// All peers with their last reports.
    pub fn iter(&self) -> impl Iterator<Item = (&UpstreamName, Option<&Report>)> {
        self.peers
            .iter()
            .map(|(name, peer)| (name, peer.report.as_ref()))
    }

    /// Removes peers for which `keep` is false and that sent no heartbeat in the last minute.
    pub fn prune(&mut self, keep: impl Fn(&UpstreamName) -> bool, now: Instant) {
        let recent = |peer: &PeerRecord| {
            let heard = peer.report.as_ref().map(|r| r.last_heard);
            heard.is_some_and(|at| now < at + Duration::from_secs(RETENTION_S))
        };
        self.peers.retain(|name, peer| keep(name) || recent(peer));
    }
}
