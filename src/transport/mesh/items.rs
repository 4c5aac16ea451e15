//! Effect of the items of the platform's store on a node.

use std::net::SocketAddr;

use tokio::time::Instant;

use crate::{
    coordination::gate::GateState,
    protocol::directory::Item,
    state::{
        counters::Counter,
        id::UpstreamName,
        mesh::{
            backend::{Backend, InstanceId},
            readers,
            registry::Change,
            revision::StoreRevision,
            route::RouteTable,
        },
    },
};

use super::{super::net::Net, shared::Mesh};

/// Connections allowed beyond the number of slots, because closing ones still count.
const SPARE_CONNECTIONS: u32 = 16;

impl<N: Net, D> Mesh<N, D> {
    /// Applies an item of a revision; returns whether the record of a backend server changed.
    pub fn apply_item(&self, item: Item, revision: StoreRevision) -> bool {
        self.progress.borrow_mut().seen(revision);
        match item {
            Item::Backend {
                entry: Ok(backend), ..
            } => self.update_backend(backend, revision),
            Item::Backend {
                id,
                entry: Err(error),
                ..
            } => {
                self.counters.add(Counter::ConfigInvalid, 1);
                log::warn!(id:%, revision:%, error:%; "entry names no backend server");
                self.mark_backend_missing(&id, revision)
            }
            Item::Removed { id, .. } => self.mark_backend_missing(&id, revision),
            Item::Routes {
                table: Ok(table), ..
            } => {
                self.update_routes(table, revision);
                false
            }
            Item::Routes {
                table: Err(error), ..
            } => {
                self.counters.add(Counter::ConfigInvalid, 1);
                log::warn!(revision:%, error:%; "routes are ignored");
                false
            }
        }
    }

    fn update_backend(&self, backend: Backend, revision: StoreRevision) -> bool {
        let (id, service) = (backend.id.clone(), backend.service.clone());
        let mut registry = self.registry.borrow_mut();
        let change = registry.update(backend, revision, Instant::now());
        let Some(change) = change else {
            return false;
        };
        if change != Change::Updated {
            let change = change.as_str();
            log::info!(backend:% = id, service:%, revision:%, change; "backend server changed");
        }
        true
    }

    fn mark_backend_missing(&self, id: &InstanceId, revision: StoreRevision) -> bool {
        let mut registry = self.registry.borrow_mut();
        let change = registry.mark_missing(id, revision, Instant::now());
        if change.is_some() {
            let is_kept = registry.get(id).is_some_and(|record| record.is_lost);
            log::info!(backend:% = id, revision:%, is_kept; "entry of a backend server is missing");
        }
        change.is_some()
    }

    /// Records that the store has answered this node.
    pub fn record_store_answer(&self) {
        self.registry.borrow_mut().store_answered(Instant::now());
    }

    fn update_routes(&self, table: RouteTable, at: StoreRevision) {
        let current = self.routes.borrow().as_ref().map(|t| t.revision());
        let revision = table.revision();
        if current.is_some_and(|current| revision <= current) {
            if current.is_some_and(|current| revision < current) {
                self.counters.add(Counter::ConfigOlder, 1);
                log::warn!(revision:%, at:%; "older routes are ignored");
            }
            return;
        }
        let routes = table.routes().count();
        log::info!(revision:%, at:%, routes; "routes are in effect");
        self.counters.add(Counter::ConfigAccepted, 1);
        self.apply_routes(table);
    }

    /// Updates the router, links, pool and gate from the registry.
    pub fn apply_registry(&self) {
        let registry = self.registry.borrow();
        let all = registry.upstreams(self.settings.inbound.port());
        let upstreams = all
            .iter()
            .map(|(name, upstreams)| (name, upstreams.as_slice()));
        self.router.replace(upstreams);
        let servers = || all.values().flatten();
        self.links.retain(&servers().map(|u| u.peer).collect());
        let own = self.own_peer();
        let zone = &self.settings.zone;
        self.source.replace(readers::source(own, zone, servers()));
        let all_readers = readers::all(servers());
        let mut former = self.former_readers.borrow_mut();
        former.update(&self.readers.borrow(), &all_readers, Instant::now());
        self.readers.replace(all_readers);
        if self.quotas.is_active() {
            let nodes = servers().map(|u| u.peer).collect();
            let leaving = registry.iter().map(|record| &record.backend);
            let leaving = leaving.filter(|backend| registry.is_leaving(backend));
            let port = self.settings.inbound.port();
            let leaving = leaving.map(|b| SocketAddr::new(b.address.ip(), port));
            let own = self.own_peer();
            self.quotas.set_nodes(own, nodes, &leaving.collect());
        }
        let Some(own) = registry.by_address(self.settings.server) else {
            return;
        };
        let leaving = registry.is_leaving(&own.backend);
        self.counters.set(Counter::ServerLeaving, leaving.into());
        self.quotas.is_leaving.set(leaving);
        let id = Some(own.backend.id.clone());
        self.gate.resize(own.backend.slots.max(1));
        self.pool
            .resize(own.backend.slots.max(1) + SPARE_CONNECTIONS);
        if *self.own_id.borrow() != id {
            *self.own_id.borrow_mut() = id;
            self.service_times.borrow_mut().reset();
        }
        if !self.closing.get() {
            let state = if leaving || own.is_draining() {
                GateState::Leaving
            } else {
                GateState::Serving
            };
            self.gate.set_state(state);
        }
    }

    /// Removes a backend server from the registry after another one responded at its address.
    pub fn remove_replaced(&self, name: &UpstreamName) {
        let Some(id) = self.instance_id(name) else {
            return;
        };
        if self.registry.borrow_mut().remove(&id) {
            log::info!(backend:% = id; "another backend server has the address of this one");
            self.apply_registry();
        }
    }
}
