//! The backend servers of the platform, as known to a node.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use tokio::time::Instant;

use super::{
    backend::{Backend, InstanceId, Phase},
    revision::StoreRevision,
};
use crate::state::{
    id::{OwnerName, ServiceName, UpstreamName},
    object::Upstream,
};

/// Owner of the upstreams that the platform lists.
const OWNER: &str = "platform";
/// Time for which a leaving server is remembered after its record was removed. It is longer than
/// any server takes to exit.
const LEAVING_TTL: Duration = Duration::from_secs(600);

/// How long a server may be missing from the list before it is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RemovalDelay {
    /// While the store is available: part of the time in which a draining server may still receive
    /// requests.
    pub normal: Duration,
    /// After the store was unavailable: long enough for entries that expired during the outage to
    /// be written again.
    pub after_outage: Duration,
}

/// What is known about one server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendRecord {
    /// The entry that was read last.
    pub backend: Backend,
    /// Revision of the store at which the entry was written or removed.
    pub revision: StoreRevision,
    /// Revision at which this run of the server was first found.
    pub first_revision: StoreRevision,
    /// When the entry was read.
    pub read_at: Instant,
    /// When the entry was found missing, if it is missing.
    pub missing_since: Option<Instant>,
    /// Whether it is missing because the store was restored from a copy without it, or was found
    /// missing while the store did not answer this node. The server then stays in use, as it is about
    /// to write the entry again.
    pub is_lost: bool,
}

impl BackendRecord {
    /// Whether the entry is draining or missing.
    pub fn is_draining(&self) -> bool {
        self.backend.phase == Phase::Draining || self.is_removed()
    }

    /// Whether the entry is missing, and the server is not expected to write it again.
    pub fn is_removed(&self) -> bool {
        self.missing_since.is_some() && !self.is_lost
    }
}

/// How the record of a server changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// A server, or a new run of one, was found.
    Joined,
    /// The entry of a known server has other values.
    Updated,
    /// The server is draining.
    Draining,
    /// The entry is missing.
    Missing,
    /// The entry is back.
    Returned,
    /// The server was removed because its entry was missing for too long.
    Gone,
}

impl Change {
    /// The text used in logs.
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

/// Records of all servers.
#[derive(Debug)]
pub struct Registry {
    records: BTreeMap<InstanceId, BackendRecord>,
    delay: RemovalDelay,
    outage_end: Option<Instant>,
    /// Whether the store does not answer this node.
    is_store_lost: bool,
    /// Services of the configuration; `None` before one is known.
    services: Option<BTreeSet<ServiceName>>,
    names: BTreeMap<UpstreamName, InstanceId>,
    /// Runs of servers that leave, by an answer or by their entry, with the time of the last report.
    leaving: BTreeMap<UpstreamName, Instant>,
}

impl Registry {
    /// A registry without servers.
    pub fn new(delay: RemovalDelay) -> Self {
        Self {
            records: BTreeMap::new(),
            delay,
            outage_end: None,
            is_store_lost: false,
            services: None,
            names: BTreeMap::new(),
            leaving: BTreeMap::new(),
        }
    }

    /// Changes how long a server may be missing.
    pub fn set_delay(&mut self, delay: RemovalDelay) {
        self.delay = delay;
    }

    /// Sets the services of the configuration. An entry of any other service may be of another writer,
    /// and takes no address from a server.
    pub fn set_services(&mut self, services: BTreeSet<ServiceName>) {
        self.services = Some(services);
    }

    fn is_foreign(&self, backend: &Backend) -> bool {
        let services = self.services.as_ref();
        services.is_some_and(|services| !services.contains(&backend.service))
    }

    /// Records an entry; `None` if it changes nothing or is older than the known one.
    pub fn update(
        &mut self,
        backend: Backend,
        revision: StoreRevision,
        now: Instant,
    ) -> Option<Change> {
        let record = BackendRecord {
            backend,
            revision,
            first_revision: revision,
            read_at: now,
            missing_since: None,
            is_lost: false,
        };
        let name = record.backend.name();
        if record.backend.phase == Phase::Draining {
            self.leaving.insert(name.clone(), now);
        }
        let Some(known) = self.records.get_mut(&record.backend.id) else {
            self.names.insert(name, record.backend.id.clone());
            self.records.insert(record.backend.id.clone(), record);
            return Some(Change::Joined);
        };
        if revision < known.revision {
            return None;
        }
        self.names.insert(name, record.backend.id.clone());
        let previous = std::mem::replace(known, record);
        let (old, new) = (&previous.backend, &known.backend);
        if old.started_ms != new.started_ms {
            self.names.remove(&old.name());
        }
        if old.started_ms != new.started_ms
            || old.address != new.address
            || old.service != new.service
        {
            return Some(Change::Joined);
        }
        known.first_revision = previous.first_revision;
        if previous.missing_since.is_some() {
            return Some(Change::Returned);
        }
        match (old.phase, new.phase) {
            (Phase::Ready, Phase::Draining) => Some(Change::Draining),
            _ if old != new => Some(Change::Updated),
            _ => None,
        }
    }

    /// Records that the entry of a server was removed at a revision.
    ///
    /// While the store does not answer this node, other nodes report the removal. The server is then
    /// likely to be cut off too, and within reach of this node.
    pub fn mark_missing(
        &mut self,
        id: &InstanceId,
        revision: StoreRevision,
        now: Instant,
    ) -> Option<Change> {
        let known = self.records.get_mut(id)?;
        if revision < known.revision || known.is_removed() {
            return None;
        }
        known.revision = revision;
        known.is_lost = self.is_store_lost;
        known.missing_since = Some(now);
        Some(Change::Missing)
    }

    /// Removes a server because another one answered at its address.
    pub fn remove(&mut self, id: &InstanceId) -> bool {
        let found = self.records.remove(id);
        self.names.retain(|_, known| known != id);
        found.is_some()
    }

    /// Records as missing the servers that are not in a complete list; returns their ids. If
    /// `is_restored`, the list is the first one after a restore of the store, which may have lost
    /// their entries.
    pub fn mark_unlisted(
        &mut self,
        ids: &BTreeSet<InstanceId>,
        is_restored: bool,
        now: Instant,
    ) -> Vec<InstanceId> {
        if is_restored {
            self.outage_end = Some(now);
        }
        let mut missing = Vec::new();
        for (id, record) in &mut self.records {
            if record.missing_since.is_none() && !ids.contains(id) {
                record.missing_since = Some(now);
                record.is_lost = is_restored;
                missing.push(id.clone());
            }
        }
        missing
    }

    /// Records that the server with an upstream name has announced in an answer that it leaves.
    /// Returns whether this is new.
    ///
    /// It gets no more requests, whatever the store lists later: a server does not come back from
    /// leaving within one run, but the store may list an older state.
    pub fn mark_leaving(&mut self, name: &UpstreamName, now: Instant) -> bool {
        self.leaving.insert(name.clone(), now).is_none()
    }

    /// Whether a server has announced that it leaves, or its entry has been draining.
    pub fn is_leaving(&self, backend: &Backend) -> bool {
        !self.leaving.is_empty() && self.leaving.contains_key(&backend.name())
    }

    /// Records that the store does not answer this node.
    pub fn store_lost(&mut self) {
        self.is_store_lost = true;
    }

    /// Records that the store answers this node, again if it did not before.
    pub fn store_answered(&mut self, now: Instant) {
        if std::mem::take(&mut self.is_store_lost) {
            self.outage_end = Some(now);
        }
    }

    /// Removes the servers that have been missing for too long, and returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<BackendRecord> {
        let (delay, outage_end) = (self.delay, self.outage_end);
        let is_store_lost = self.is_store_lost;
        let is_gone = |b: &BackendRecord| {
            let is_kept = is_store_lost && b.is_lost;
            let removal = |at| delay.removal_time(at, outage_end);
            !is_kept && b.missing_since.is_some_and(|at| now >= removal(at))
        };
        let gone = self.records.extract_if(.., |_, record| is_gone(record));
        let gone: Vec<_> = gone.map(|(_, record)| record).collect();
        if !gone.is_empty() {
            self.names.retain(|_, id| self.records.contains_key(id));
        }
        self.leaving
            .retain(|name, at| self.names.contains_key(name) || now < *at + LEAVING_TTL);
        gone
    }

    /// The record of a server.
    pub fn get(&self, id: &InstanceId) -> Option<&BackendRecord> {
        self.records.get(id)
    }

    /// The server at an address. Of several, one of a service of the configuration is preferred, then
    /// one that is not missing, then the one that started last.
    pub fn by_address(&self, address: SocketAddr) -> Option<&BackendRecord> {
        let there = self
            .records
            .values()
            .filter(|b| b.backend.address == address);
        there.max_by_key(|b| {
            let is_known = !self.is_foreign(&b.backend);
            (is_known, !b.is_removed(), b.backend.started_ms, b.revision)
        })
    }

    /// The id of the server with an upstream name.
    pub fn by_name(&self, name: &UpstreamName) -> Option<&InstanceId> {
        self.names.get(name)
    }

    /// The highest revision of any record.
    pub fn revision(&self) -> StoreRevision {
        let revisions = self.records.values().map(|b| b.revision);
        revisions.max().unwrap_or_default()
    }

    /// All records.
    pub fn iter(&self) -> impl Iterator<Item = &BackendRecord> {
        self.records.values()
    }

    /// Number of servers known.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The servers that may receive requests, by service. `port` is the port on which their nodes
    /// listen for peers.
    ///
    /// Servers whose entry is missing are included if they outnumber the others of their service,
    /// as they do after entries have expired because the store was unavailable.
    pub fn upstreams(&self, port: u16) -> BTreeMap<ServiceName, Vec<Upstream>> {
        let mut all: BTreeMap<_, (Vec<_>, Vec<_>)> = BTreeMap::new();
        // An address that is reused belongs to the server that started there last. Servers that do
        // not state their start are compared by the order in which they were found.
        let start = |record: &BackendRecord| {
            let is_known = !self.is_foreign(&record.backend);
            (is_known, record.backend.started_ms, record.first_revision)
        };
        let mut last = BTreeMap::new();
        for record in self.records.values() {
            let latest = last.entry(record.backend.address).or_default();
            *latest = start(record).max(*latest);
        }
        let usable = |b: &&BackendRecord| {
            b.backend.phase == Phase::Ready
                && !self.is_leaving(&b.backend)
                && last.get(&b.backend.address) == Some(&start(b))
        };
        for record in self.records.values().filter(usable) {
            let (listed, missing) = all.entry(record.backend.service.clone()).or_default();
            match record.is_removed() {
                false => listed.push(upstream(&record.backend, port)),
                true => missing.push(upstream(&record.backend, port)),
            }
        }
        let select = |(listed, missing): (Vec<_>, Vec<_>)| match listed.len() >= missing.len() {
            true => listed,
            false => [listed, missing].concat(),
        };
        all.into_iter().map(|(s, both)| (s, select(both))).collect()
    }
}

impl RemovalDelay {
    /// When to remove a server that was found missing at `at`.
    fn removal_time(&self, at: Instant, outage_end: Option<Instant>) -> Instant {
        let normal = at + self.normal;
        match outage_end {
            Some(end) if at < end + self.after_outage => normal.max(end + self.after_outage),
            _ => normal,
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
    OWNER.parse().expect("the owner is a valid name")
}
