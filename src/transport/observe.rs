//! Notes changes of state that no single call causes: levels, limits, ejections, suspects.

use std::collections::{BTreeMap, BTreeSet};

use tokio::time::Instant;

use crate::state::{
    counters::Counter,
    id::{Fingerprint, ServiceName, UpstreamName},
    journal::DecisionKind,
    priority::Level,
};

use super::node::NodeContext;

/// Importance shown for a level: the upper 8 bits of a priority.
const IMPORTANCE_SHIFT: u32 = 24;

/// What was seen at the last tick.
#[derive(Debug, Default)]
pub struct Observer {
    importance: Option<u32>,
    cut: bool,
    ejected: BTreeSet<UpstreamName>,
    distrusted: BTreeSet<ServiceName>,
    suspects: BTreeMap<Fingerprint, SuspectState>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SuspectState {
    Suspect,
    Convicted,
}

impl Observer {
    /// Compares the state with that of the last tick; counts and notes what changed.
    pub fn tick(&mut self, parts: &NodeContext) {
        self.level(parts);
        self.limit(parts);
        self.ejections(parts);
        self.lists(parts);
        self.suspects(parts);
        let dropped = parts.journal.borrow().dropped();
        parts.counters.set(Counter::JournalDropped, dropped);
    }

    fn level(&mut self, parts: &NodeContext) {
        let level = parts.gate.level();
        let importance = (level != Level::OPEN).then_some(level.0 >> IMPORTANCE_SHIFT);
        if importance == self.importance {
            return;
        }
        let cause = match importance {
            Some(importance) => format!("refuses above importance {importance}"),
            None => "open: no queue for one window".to_owned(),
        };
        decide(parts, DecisionKind::Level, "gate", cause);
        self.importance = importance;
    }

    /// A limit counts as cut below half of the slots, so that small steps leave no entries.
    fn limit(&mut self, parts: &NodeContext) {
        let limit = parts.gate.load().limit;
        let config = parts.store.config();
        let own = config.and_then(|c| c.upstream(&parts.settings.name).cloned());
        let Some(slots) = own.map(|u| u.slots) else {
            return;
        };
        let cut = if self.cut {
            limit < slots
        } else {
            limit < slots / 2
        };
        if cut != self.cut {
            decide(
                parts,
                DecisionKind::Limit,
                "gate",
                format!("{limit} of {slots} slots"),
            );
            self.cut = cut;
        }
    }

    fn ejections(&mut self, parts: &NodeContext) {
        let ejected = parts.router.ejected();
        for name in ejected.difference(&self.ejected) {
            parts.counters.add(Counter::UpstreamsEjected, 1);
            decide(
                parts,
                DecisionKind::Ejected,
                name,
                "consecutive failures".to_owned(),
            );
        }
        for name in self.ejected.difference(&ejected) {
            decide(
                parts,
                DecisionKind::Returned,
                name,
                "the ejection ended".to_owned(),
            );
        }
        parts
            .counters
            .set(Counter::UpstreamsOut, ejected.len() as u64);
        parts.counters.set(
            Counter::UpstreamsKnown,
            parts.router.upstream_count() as u64,
        );
        self.ejected = ejected;
    }

    fn lists(&mut self, parts: &NodeContext) {
        let distrusted = parts.router.distrusted_lists();
        for service in distrusted.difference(&self.distrusted) {
            parts.counters.add(Counter::ListDistrusted, 1);
            let cause = "more than 30% vanished at once".to_owned();
            decide(parts, DecisionKind::InstanceList, service, cause);
        }
        for service in self.distrusted.difference(&distrusted) {
            decide(
                parts,
                DecisionKind::InstanceList,
                service,
                "believed again".to_owned(),
            );
        }
        self.distrusted = distrusted;
    }

    fn suspects(&mut self, parts: &NodeContext) {
        let news = parts.gate.suspects();
        let suspects = news
            .suspects
            .iter()
            .map(|(f, _)| (*f, SuspectState::Suspect));
        let convicted = news
            .convicted
            .iter()
            .map(|(f, _)| (*f, SuspectState::Convicted));
        let known: BTreeMap<_, _> = suspects.chain(convicted).collect();
        for (request, standing) in &known {
            match (self.suspects.get(request), standing) {
                (None, SuspectState::Suspect) => parts.counters.add(Counter::SuspectsAdded, 1),
                (before, SuspectState::Convicted) if before != Some(standing) => {
                    parts.counters.add(Counter::SuspectsConvicted, 1);
                    let cause = "a server crashed while it ran alone".to_owned();
                    decide(parts, DecisionKind::Convicted, request, cause);
                }
                _ => {}
            }
        }
        for request in self.suspects.keys().filter(|r| !known.contains_key(*r)) {
            parts.counters.add(Counter::SuspectsCleared, 1);
            decide(
                parts,
                DecisionKind::Cleared,
                request,
                "completed or expired".to_owned(),
            );
        }
        parts.counters.set(Counter::Suspects, known.len() as u64);
        self.suspects = known;
    }
}

fn decide(parts: &NodeContext, change: DecisionKind, subject: impl ToString, cause: String) {
    log::info!(
        "change={} subject={} cause={cause:?}",
        change.as_str(),
        subject.to_string()
    );
    let mut journal = parts.journal.borrow_mut();
    journal.record_decision(Instant::now(), change, subject.to_string(), cause);
}
