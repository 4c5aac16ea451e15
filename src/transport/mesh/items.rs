//! Effect of the items of the platform's store on a node.

use tokio::time::Instant;

use crate::{
    protocol::directory::Item,
    state::{
        counters::Counter,
        mesh::{
            backend::{Backend, InstanceId},
            registry::Change,
            revision::StoreRevision,
            route::RouteTable,
        },
    },
};

use super::{super::net::Net, shared::Mesh};

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
            log::info!(backend:% = id, revision:%; "entry of a backend server is missing");
        }
        change.is_some()
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
}
