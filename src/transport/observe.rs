//! Records changes of the node's state: level, limit, ejections, instance lists and suspects.

use std::collections::{BTreeMap, BTreeSet};

use tokio::time::Instant;

use crate::state::{
    counters::Counter,
    id::{Fingerprint, ServiceName, UpstreamName},
    journal::DecisionKind,
    priority::Level,
};

use super::node::NodeContext;

/// The upper 8 bits of a priority are the importance, which is logged for a level.
const IMPORTANCE_SHIFT: u32 = 24;

/// State at the last tick.
#[derive(Debug, Default)]
pub struct Observer {
    importance: Option<u32>,
    reduced: bool,
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
    /// Compares the state with that of the last tick; counts and records the changes.
    pub fn tick(&mut self, node: &NodeContext) {
        self.level(node);
        self.limit(node);
        self.ejections(node);
        self.instance_lists(node);
        self.suspects(node);
        let dropped = node.journal.borrow().dropped();
        node.counters.set(Counter::JournalDropped, dropped);
    }

    fn level(&mut self, node: &NodeContext) {
        let level = node.gate.level();
        let importance = (level != Level::OPEN).then_some(level.0 >> IMPORTANCE_SHIFT);
        if importance == self.importance {
            return;
        }
        let cause = match importance {
            Some(importance) => format!("refuses above importance {importance}"),
            None => "open: no queue for one window".to_owned(),
        };
        record(node, DecisionKind::Level, "gate", cause);
        self.importance = importance;
    }

    /// Records when the limit falls below half of the slots and when it is back at all slots;
    /// smaller changes are not recorded.
    fn limit(&mut self, node: &NodeContext) {
        let limit = node.gate.load().limit;
        let config = node.store.config();
        let upstream = config.and_then(|c| c.upstream(&node.settings.name).cloned());
        let Some(slots) = upstream.map(|u| u.slots) else {
            return;
        };
        let reduced = if self.reduced {
            limit < slots
        } else {
            limit < slots / 2
        };
        if reduced != self.reduced {
            record(
                node,
                DecisionKind::Limit,
                "gate",
                format!("{limit} of {slots} slots"),
            );
            self.reduced = reduced;
        }
    }

    fn ejections(&mut self, node: &NodeContext) {
        let ejected = node.router.ejected();
        for name in ejected.difference(&self.ejected) {
            node.counters.add(Counter::UpstreamsEjected, 1);
            record(
                node,
                DecisionKind::Ejected,
                name,
                "consecutive failures".to_owned(),
            );
        }
        for name in self.ejected.difference(&ejected) {
            record(
                node,
                DecisionKind::Returned,
                name,
                "the ejection ended".to_owned(),
            );
        }
        node.counters
            .set(Counter::UpstreamsOut, ejected.len() as u64);
        node.counters
            .set(Counter::UpstreamsKnown, node.router.upstream_count() as u64);
        self.ejected = ejected;
    }

    fn instance_lists(&mut self, node: &NodeContext) {
        let distrusted = node.router.distrusted_lists();
        for service in distrusted.difference(&self.distrusted) {
            node.counters.add(Counter::ListDistrusted, 1);
            let cause = "more than 30% vanished at once".to_owned();
            record(node, DecisionKind::InstanceList, service, cause);
        }
        for service in self.distrusted.difference(&distrusted) {
            record(
                node,
                DecisionKind::InstanceList,
                service,
                "believed again".to_owned(),
            );
        }
        self.distrusted = distrusted;
    }

    fn suspects(&mut self, node: &NodeContext) {
        let report = node.gate.suspects();
        let suspects = report
            .suspects
            .iter()
            .map(|(f, _)| (*f, SuspectState::Suspect));
        let convicted = report
            .convicted
            .iter()
            .map(|(f, _)| (*f, SuspectState::Convicted));
        let known: BTreeMap<_, _> = suspects.chain(convicted).collect();
        for (request, standing) in &known {
            match (self.suspects.get(request), standing) {
                (None, SuspectState::Suspect) => node.counters.add(Counter::SuspectsAdded, 1),
                (before, SuspectState::Convicted) if before != Some(standing) => {
                    node.counters.add(Counter::SuspectsConvicted, 1);
                    let cause = "a server crashed while it ran alone".to_owned();
                    record(node, DecisionKind::Convicted, request, cause);
                }
                _ => {}
            }
        }
        for request in self.suspects.keys().filter(|r| !known.contains_key(*r)) {
            node.counters.add(Counter::SuspectsCleared, 1);
            record(
                node,
                DecisionKind::Cleared,
                request,
                "completed or expired".to_owned(),
            );
        }
        node.counters.set(Counter::Suspects, known.len() as u64);
        self.suspects = known;
    }
}

fn record(node: &NodeContext, change: DecisionKind, subject: impl ToString, cause: String) {
    log::info!(
        "change={} subject={} cause={cause:?}",
        change.as_str(),
        subject.to_string()
    );
    let mut journal = node.journal.borrow_mut();
    journal.record_decision(Instant::now(), change, subject.to_string(), cause);
}
