//! What a node believes about the backend servers of the platform.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use tokio::time::Instant;

use super::backend::{Backend, InstanceId, Phase};
use crate::state::{
    id::{OwnerName, ServiceName, UpstreamName},
    object::Upstream,
};

/// Owner of the upstreams that the platform lists.
const OWNER: &str = "platform";

/// How long a server may be missing from the list before it is taken as gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RemovalDelay {
    /// While the store works: part of the time that a leaving server may still get work.
    pub normal: Duration,
    /// After the store was away: entries that lapsed meanwhile are back by then.
    pub after_outage: Duration,
}

/// What is believed about one server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendRecord {
    /// The last entry.
    pub backend: Backend,
    /// Revision of the store that it was read at.
    pub revision: u64,
    /// Revision at which this run of the server was first found.
    pub written: u64,
    /// When it was read.
    pub read_at: Instant,
    /// When the entry was found missing.
    pub missing_since: Option<Instant>,
}

/// Why a belief changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// A server, or a new run of one, was found.
    Joined,
    /// The entry of a known server says something else.
    Updated,
    /// The server is draining.
    Draining,
    /// The entry is missing.
    Missing,
    /// The entry is back.
    Returned,
    /// The server is taken as gone.
    Gone,
}

impl Change {
    /// The change as a word for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Joined => "joined",
            Self::Updated => "updated",
            Self::Draining => "draining",
            Self::Missing => "missing",
            Self::Returned => "returned",
            Self::Gone => "gone",
        }
    }
}

/// Beliefs about all servers.
#[derive(Debug)]
pub struct Registry {
    beliefs: BTreeMap<InstanceId, BackendRecord>,
    patience: RemovalDelay,
    lapse: Option<Instant>,
    names: BTreeMap<UpstreamName, InstanceId>,
}

impl Registry {
    /// No servers yet.
    pub fn new(patience: RemovalDelay) -> Self {
        Self {
            beliefs: BTreeMap::new(),
            patience,
            lapse: None,
            names: BTreeMap::new(),
        }
    }

    /// Takes over an entry; `None` when it says nothing new or is older than what is known.
    pub fn update(&mut self, backend: Backend, revision: u64, now: Instant) -> Option<Change> {
        let belief = BackendRecord {
            backend,
            revision,
            written: revision,
            read_at: now,
            missing_since: None,
        };
        let name = belief.backend.name();
        self.names.insert(name, belief.backend.id.clone());
        let Some(known) = self.beliefs.get_mut(&belief.backend.id) else {
            self.beliefs.insert(belief.backend.id.clone(), belief);
            return Some(Change::Joined);
        };
        if revision < known.revision {
            return None;
        }
        let was = std::mem::replace(known, belief);
        let (old, new) = (&was.backend, &known.backend);
        if old.started_ms != new.started_ms {
            self.names.remove(&old.name());
        }
        if old.started_ms != new.started_ms
            || old.address != new.address
            || old.service != new.service
        {
            return Some(Change::Joined);
        }
        known.written = was.written;
        if was.missing_since.is_some() {
            return Some(Change::Returned);
        }
        match (old.phase, new.phase) {
            (Phase::Ready, Phase::Draining) => Some(Change::Draining),
            _ if old != new => Some(Change::Updated),
            _ => None,
        }
    }

    /// Notes that the entry of a server was removed at a revision.
    pub fn mark_missing(&mut self, id: &InstanceId, revision: u64, now: Instant) -> Option<Change> {
        let known = self.beliefs.get_mut(id)?;
        if revision < known.revision || known.missing_since.is_some() {
            return None;
        }
        known.revision = revision;
        known.missing_since = Some(now);
        Some(Change::Missing)
    }

    /// Notes that another server answered at the address of this one.
    pub fn remove(&mut self, id: &InstanceId) -> bool {
        let found = self.beliefs.remove(id);
        self.names.retain(|_, known| known != id);
        found.is_some()
    }

    /// Notes a whole list: servers that are not in it are missing.
    pub fn mark_unlisted(&mut self, ids: &BTreeSet<InstanceId>, now: Instant) -> Vec<InstanceId> {
        let mut missing = Vec::new();
        for (id, belief) in &mut self.beliefs {
            if belief.missing_since.is_none() && !ids.contains(id) {
                belief.missing_since = Some(now);
                missing.push(id.clone());
            }
        }
        missing
    }

    /// Notes that the store answers again after it was away.
    pub fn store_returned(&mut self, now: Instant) {
        self.lapse = Some(now);
    }

    /// Drops servers that have been missing for too long; gives them.
    pub fn expire(&mut self, now: Instant) -> Vec<BackendRecord> {
        let (patience, lapse) = (self.patience, self.lapse);
        let is_gone = |b: &BackendRecord| {
            b.missing_since
                .is_some_and(|at| now >= patience.until(at, lapse))
        };
        let gone = self.beliefs.extract_if(.., |_, belief| is_gone(belief));
        let gone: Vec<_> = gone.map(|(_, belief)| belief).collect();
        if !gone.is_empty() {
            self.names.retain(|_, id| self.beliefs.contains_key(id));
        }
        gone
    }

    /// What is believed about a server.
    pub fn get(&self, id: &InstanceId) -> Option<&BackendRecord> {
        self.beliefs.get(id)
    }

    /// The server at an address, the one that started last if there are several.
    pub fn by_address(&self, address: SocketAddr) -> Option<&BackendRecord> {
        let there = self
            .beliefs
            .values()
            .filter(|b| b.backend.address == address);
        there.max_by_key(|b| (b.missing_since.is_none(), b.backend.started_ms, b.revision))
    }

    /// The id of the server that is routed to under a name.
    pub fn by_name(&self, name: &UpstreamName) -> Option<&InstanceId> {
        self.names.get(name)
    }

    /// The latest revision of the store at which anything was read.
    pub fn revision(&self) -> u64 {
        self.beliefs.values().map(|b| b.revision).max().unwrap_or(0)
    }

    /// All beliefs.
    pub fn iter(&self) -> impl Iterator<Item = &BackendRecord> {
        self.beliefs.values()
    }

    /// Number of servers known.
    pub fn len(&self) -> usize {
        self.beliefs.len()
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.beliefs.is_empty()
    }

    /// The servers that may get work, by service. `port` is where their nodes listen for peers.
    ///
    /// Servers whose entry is missing are used where they outnumber the others of their service,
    /// as they do when the entries lapsed with the store.
    pub fn upstreams(&self, port: u16) -> BTreeMap<ServiceName, Vec<Upstream>> {
        let mut all: BTreeMap<_, (Vec<_>, Vec<_>)> = BTreeMap::new();
        // An address that is used again belongs to the server that was written there last.
        let mut last: BTreeMap<SocketAddr, u64> = BTreeMap::new();
        for belief in self.beliefs.values() {
            let revision = last.entry(belief.backend.address).or_default();
            *revision = belief.written.max(*revision);
        }
        let usable = |b: &&BackendRecord| {
            b.backend.phase == Phase::Ready && last.get(&b.backend.address) == Some(&b.written)
        };
        for belief in self.beliefs.values().filter(usable) {
            let (listed, missing) = all.entry(belief.backend.service.clone()).or_default();
            match belief.missing_since {
                None => listed.push(upstream(&belief.backend, port)),
                Some(_) => missing.push(upstream(&belief.backend, port)),
            }
        }
        let usable = |(listed, missing): (Vec<_>, Vec<_>)| match listed.len() >= missing.len() {
            true => listed,
            false => [listed, missing].concat(),
        };
        all.into_iter().map(|(s, both)| (s, usable(both))).collect()
    }
}

impl RemovalDelay {
    /// When a server that was found missing at `at` is taken as gone.
    fn until(&self, at: Instant, lapse: Option<Instant>) -> Instant {
        let calm = at + self.normal;
        match lapse {
            Some(back) if at < back + self.after_outage => calm.max(back + self.after_outage),
            _ => calm,
        }
    }
}

fn upstream(backend: &Backend, port: u16) -> Upstream {
    let node = SocketAddr::new(backend.address.ip(), port);
    Upstream {
        name: backend.name(),
        owner: owner(),
        service: backend.service.clone(),
        zone: backend.zone.clone(),
        public: backend.address,
        peer: node,
        control: node,
        slots: backend.slots.max(1),
        connections: backend.slots.max(1),
    }
}

fn owner() -> OwnerName {
    OWNER.parse().expect("the owner is a name")
}
