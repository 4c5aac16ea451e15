//! What a node learns from its peers.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use super::share::{Hint, Identity, Shared};
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

/// Counters of list readers are kept for this time, so that one that restarts is heard again.
const LIST_MEMORY_S: u64 = 30;

impl<N: Net> Shared<N> {
    /// Turns suspects that the gate has found into news, each once.
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

    /// Acts on a heartbeat of a linked peer.
    pub fn heard(&self, identity: &Identity, link: u64, beat: Heartbeat) {
        self.check_pause();
        let now = Instant::now();
        self.counters.add(Counter::HeartbeatsReceived, 1);
        let report = Report {
            state: beat.state,
            revision: beat.revision,
            level: beat.level,
            heard: now,
        };
        let name = &identity.name;
        let before = self.view.borrow().status(name);
        let fresh = self
            .view
            .borrow_mut()
            .record_heartbeat(name, identity.incarnation, report);
        if !fresh {
            return;
        }
        if let Some(link) = self
            .links
            .borrow_mut()
            .get_mut(name)
            .filter(|l| l.id == link)
        {
            link.heard = now;
            link.revision = beat.revision;
        }
        self.learn_state(identity, before, beat.state);
        let load = Load {
            in_flight: beat.in_flight.into(),
            limit: beat.limit.into(),
            queued: beat.queued.into(),
        };
        self.router.update_load(name, load, beat.level);
        self.learn_readers(identity, &beat, now);
        for item in beat.news {
            self.learn_news(item, now);
        }
        self.learn_revision(name, beat.revision, beat.digest, now);
    }

    fn learn_state(&self, identity: &Identity, before: PeerStatus, state: NodeState) {
        let name = &identity.name;
        match (before, state) {
            (PeerStatus::Leaving, NodeState::Leaving) => {}
            (_, NodeState::Leaving) => {
                self.router.set_leaving(name, true);
                self.decide(
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

    fn learn_readers(&self, identity: &Identity, beat: &Heartbeat, now: Instant) {
        let mut readers = self.readers.borrow_mut();
        readers.update_epoch(beat.epoch, now);
        if identity.zone != self.settings.zone {
            return;
        }
        for claim in &beat.claims {
            readers.update(claim.score, claim.epoch, claim.counter, now);
        }
    }

    fn learn_news(&self, item: News, now: Instant) {
        let own_service = &self.settings.service;
        if let News::Suspect { service, .. } | News::Convicted { service, .. } = &item
            && service != own_service
        {
            return;
        }
        if !self.view.borrow_mut().update(item.clone(), now) {
            return;
        }
        let mut news = SuspectReport::default();
        match item {
            News::Leaving { subject, .. } => {
                self.router.set_leaving(&subject, true);
                self.tell_news();
            }
            News::Suspect { fingerprint, .. } => news.suspects.push((fingerprint, SUSPECT_TTL)),
            News::Convicted { fingerprint, .. } => {
                news.convicted.push((fingerprint, CONVICTED_TTL));
            }
            News::Down { subject, .. }
                if self.view.borrow().status(&subject) == PeerStatus::Down =>
            {
                self.counters.add(Counter::PeersLost, 1);
                self.decide(
                    DecisionKind::PeerLost,
                    subject.to_string(),
                    "2 witnesses".into(),
                );
            }
            _ => {}
        }
        if news != SuspectReport::default() {
            self.gate.update_suspects(&news);
            self.tell_news();
        }
    }

    /// Makes links pass on news at once.
    pub fn tell_news(&self) {
        self.urgent.send_modify(|u| u.news += 1);
    }

    /// Compares a revision named by a peer with the own one.
    pub fn learn_revision(
        &self,
        from: &UpstreamName,
        revision: Revision,
        digest: u64,
        at: Instant,
    ) {
        let Some((current, held)) = self.store.version() else {
            return;
        };
        if revision == current && digest != digest_prefix(held) {
            let mut bytes = [0; 32];
            bytes[..8].copy_from_slice(&digest.to_be_bytes());
            self.conflict(revision, Digest(bytes), from.to_string());
        }
        if revision > current {
            let hint = Hint {
                revision,
                from: from.clone(),
                at,
            };
            self.hint.send_replace(Some(hint));
        }
    }

    pub fn conflict(&self, revision: Revision, digest: Digest, from: String) {
        self.counters.add(Counter::ConfigConflicts, 1);
        if self.follower.is_new_conflict(revision, digest) {
            log::warn!("revision={revision} from={from} cause=\"two sets under one revision\"");
            let cause = format!("{from} holds another set under it");
            self.decide(DecisionKind::ConfigConflict, revision.to_string(), cause);
        }
    }

    /// Learns an instance list that this node read or a peer passed on; false when it is not new.
    pub fn learn_list(&self, list: &ListView) -> bool {
        self.check_pause();
        if list.service != self.settings.service {
            return false;
        }
        let mut lists = self.lists.borrow_mut();
        let now = Instant::now();
        let keep = Duration::from_secs(LIST_MEMORY_S);
        lists.retain(|_, (_, at)| now < *at + keep);
        let known = lists.get(&list.origin);
        if known.is_some_and(|(counter, _)| list.counter <= *counter) {
            return false;
        }
        lists.insert(list.origin.clone(), (list.counter, now));
        self.list_heard.set(Some(now));
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
            self.leave.borrow_mut().listed(*leaving, now);
            self.check_leave();
        }
        true
    }
}
