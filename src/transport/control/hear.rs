//! Handling of messages from peers: heartbeats, news, revisions and instance lists.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use super::share::{Identity, RevisionHint, Shared};
use crate::{
    coordination::router::{ListEntry, ListedState},
    protocol::message::{Heartbeat, ListView, digest_prefix},
    state::{
        counters::Counter,
        id::{Digest, Revision, UpstreamName},
        journal::DecisionKind,
        suspect::{CONVICTED_TTL, SUSPECT_TTL, SuspectReport},
        upstream::Load,
        view::{News, NodeState, PeerStatus, Report},
    },
    transport::net::Net,
};

/// Time for which the last list counter of a reader is kept. A reader that restarts counts from 1
/// again, and its lists are ignored until its old counter has expired.
const LIST_COUNTER_TTL_S: u64 = 30;

impl<N: Net> Shared<N> {
    /// Adds the suspect requests that the gate has found to the news for peers, each only once per
    /// verdict (suspected or convicted).
    pub fn collect_suspects(&self, now: Instant) {
        let found = self.gate.suspects();
        let mut known = self.known_suspects.borrow_mut();
        let all = found.suspects.iter().map(|s| (s.0, false));
        let all: BTreeMap<_, _> = all
            .chain(found.convicted.iter().map(|s| (s.0, true)))
            .collect();
        if *known == all {
            return;
        }
        let service = &self.settings.service;
        for (&fingerprint, &convicted) in &all {
            if known.get(&fingerprint) == Some(&convicted) {
                continue;
            }
            let service = service.clone();
            let item = match convicted {
                true => News::Convicted {
                    service,
                    fingerprint,
                },
                false => News::Suspect {
                    service,
                    fingerprint,
                },
            };
            self.view.borrow_mut().update(item, now);
        }
        *known = all;
    }

    /// Applies a heartbeat of a linked peer: its state, load, reader claims, news and revision.
    pub fn handle_heartbeat(&self, identity: &Identity, link_id: u64, heartbeat: Heartbeat) {
        self.check_pause();
        let now = Instant::now();
        self.counters.add(Counter::HeartbeatsReceived, 1);
        let report = Report {
            state: heartbeat.state,
            revision: heartbeat.revision,
            level: heartbeat.level,
            last_heard: now,
        };
        let name = &identity.name;
        let before = self.view.borrow().status(name);
        let is_current =
            self.view
                .borrow_mut()
                .record_heartbeat(name, identity.incarnation, report);
        if !is_current {
            return;
        }
        if let Some(link) = self
            .links
            .borrow_mut()
            .get_mut(name)
            .filter(|l| l.id == link_id)
        {
            link.last_heard = now;
            link.revision = heartbeat.revision;
        }
        self.update_peer_state(identity, before, heartbeat.state);
        let load = Load {
            in_flight: heartbeat.in_flight.into(),
            limit: heartbeat.limit.into(),
            queued: heartbeat.queued.into(),
        };
        self.router.update_load(name, load, heartbeat.level);
        self.update_readers(identity, &heartbeat, now);
        for item in heartbeat.news {
            self.handle_news(item, now);
        }
        self.check_revision(name, heartbeat.revision, heartbeat.digest, now);
    }

    /// Updates the router when a peer starts to leave or serves again.
    fn update_peer_state(&self, identity: &Identity, before: PeerStatus, state: NodeState) {
        let name = &identity.name;
        match (before, state) {
            (PeerStatus::Leaving, NodeState::Leaving) => {}
            (_, NodeState::Leaving) => {
                self.router.set_leaving(name, true);
                self.record_decision(
                    DecisionKind::UpstreamLeaving,
                    name.to_string(),
                    "its heartbeat".into(),
                );
            }
            (PeerStatus::Leaving | PeerStatus::Unknown, NodeState::Serving) => {
                self.router.set_leaving(name, false);
            }
            _ => {}
        }
    }

    /// Updates the reader election; only claims from this node's availability zone
    /// count.
    fn update_readers(&self, identity: &Identity, heartbeat: &Heartbeat, now: Instant) {
        let mut readers = self.readers.borrow_mut();
        readers.update_epoch(heartbeat.epoch, now);
        if identity.zone != self.settings.zone {
            return;
        }
        for claim in &heartbeat.claims {
            readers.update(claim.score, claim.epoch, claim.counter, now);
        }
    }

    /// Applies a news item and forwards it to peers if it is new. Suspect requests of other
    /// services are ignored.
    fn handle_news(&self, item: News, now: Instant) {
        let own_service = &self.settings.service;
        if let News::Suspect { service, .. } | News::Convicted { service, .. } = &item
            && service != own_service
        {
            return;
        }
        if !self.view.borrow_mut().update(item.clone(), now) {
            return;
        }
        let mut report = SuspectReport::default();
        match item {
            News::Leaving { subject, .. } => {
                self.router.set_leaving(&subject, true);
                self.send_news();
            }
            News::Suspect { fingerprint, .. } => report.suspects.push((fingerprint, SUSPECT_TTL)),
            News::Convicted { fingerprint, .. } => {
                report.convicted.push((fingerprint, CONVICTED_TTL));
            }
            News::Down { subject, .. }
                if self.view.borrow().status(&subject) == PeerStatus::Down =>
            {
                self.counters.add(Counter::PeersLost, 1);
                self.record_decision(
                    DecisionKind::PeerLost,
                    subject.to_string(),
                    "2 witnesses".into(),
                );
            }
            _ => {}
        }
        if report != SuspectReport::default() {
            self.gate.update_suspects(&report);
            self.send_news();
        }
    }

    /// Makes each link send the pending news at once instead of with the next heartbeat.
    pub fn send_news(&self) {
        self.urgent.send_modify(|u| u.news += 1);
    }

    /// Compares the revision of a peer with the current one: a newer one is fetched, and the same
    /// one with another digest is a conflict.
    pub fn check_revision(
        &self,
        peer: &UpstreamName,
        revision: Revision,
        digest: u64,
        first_seen: Instant,
    ) {
        let Some((current, held)) = self.store.version() else {
            return;
        };
        if revision == current && digest != digest_prefix(held) {
            let mut bytes = [0; 32];
            bytes[..8].copy_from_slice(&digest.to_be_bytes());
            self.record_conflict(revision, Digest(bytes), peer.to_string());
        }
        if revision > current {
            let hint = RevisionHint {
                revision,
                peer: peer.clone(),
                first_seen,
            };
            self.hint.send_replace(Some(hint));
        }
    }

    /// Counts a configuration that has the current revision but other content, and logs it when it
    /// is first seen.
    pub fn record_conflict(&self, revision: Revision, digest: Digest, from: String) {
        self.counters.add(Counter::ConfigConflicts, 1);
        if self.follower.is_new_conflict(revision, digest) {
            log::warn!("revision={revision} from={from} cause=\"two sets under one revision\"");
            let cause = format!("{from} holds another set under it");
            self.record_decision(DecisionKind::ConfigConflict, revision.to_string(), cause);
        }
    }

    /// Applies an instance list that this node has read or a peer has forwarded. Returns false for
    /// a list of another service and for one that is not newer than the last from its origin.
    pub fn apply_list(&self, list: &ListView) -> bool {
        self.check_pause();
        if list.service != self.settings.service {
            return false;
        }
        let mut list_counters = self.list_counters.borrow_mut();
        let now = Instant::now();
        let ttl = Duration::from_secs(LIST_COUNTER_TTL_S);
        list_counters.retain(|_, (_, at)| now < *at + ttl);
        let known = list_counters.get(&list.origin);
        if known.is_some_and(|(counter, _)| list.counter <= *counter) {
            return false;
        }
        list_counters.insert(list.origin.clone(), (list.counter, now));
        self.list_received.set(Some(now));
        let state = |leaving| match leaving {
            true => ListedState::Leaving,
            false => ListedState::Live,
        };
        let listed: Vec<_> = list
            .entries
            .iter()
            .map(|(name, leaving)| ListEntry {
                name: name.clone(),
                state: state(*leaving),
            })
            .collect();
        self.router.update_list(&list.service, &listed);
        let own = list.entries.iter().find(|e| e.0 == self.settings.name);
        if let Some((_, leaving)) = own {
            self.leave.borrow_mut().update_listed(*leaving, now);
            self.check_leave();
        }
        true
    }
}
