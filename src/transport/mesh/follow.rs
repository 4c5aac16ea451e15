//! Following of the platform's store: a list at the start, then watches.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use http::StatusCode;
use thiserror::Error;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::{
    protocol::directory::{Directory, DirectoryError, Item, Section},
    state::{
        counters::Counter,
        mesh::{
            backend::{Backend, InstanceId},
            registry::Change,
            route::RouteTable,
        },
    },
};

use super::{
    super::{
        net::Net,
        platform::{PlatformClient, PlatformError},
        tasks::Tasks,
    },
    shared::Mesh,
};

/// Longest time that the store is asked to hold a watch. A connection that has fallen silent is
/// noticed after it, so it is shorter than the time within which changes have to be in effect.
const WATCH_MS: u64 = 2_000;
/// Time beyond it for the answer to a watch.
const WATCH_EXTRA_MS: u64 = 1_000;
const READ_WAIT_MS: u64 = 2_000;
const ANSWER_MAX_BYTES: usize = 8 * 1_024 * 1_024;
const BACKOFF_MIN_MS: u64 = 100;
const BACKOFF_MAX_MS: u64 = 800;

#[derive(Debug, Error)]
enum FollowError {
    #[error(transparent)]
    Read(#[from] PlatformError),
    #[error(transparent)]
    Answer(#[from] DirectoryError),
}

type Result<T, E = FollowError> = std::result::Result<T, E>;

/// Follows all sections until stopped.
pub async fn run<N: Net, D: Directory>(mesh: Rc<Mesh<N, D>>, end: CancellationToken) {
    let tasks = Tasks::default();
    for section in [Section::Backends, Section::Routes] {
        let follower = Follower {
            client: PlatformClient::new(mesh.net.clone(), mesh.settings.store),
            mesh: mesh.clone(),
            section,
            lost: None,
        };
        let end = end.clone();
        tasks.spawn(async move {
            tokio::select! {
                biased;
                () = end.cancelled() => {}
                () = follower.follow() => {}
            }
        });
    }
    tasks.join().await;
}

struct Follower<N: Net, D> {
    mesh: Rc<Mesh<N, D>>,
    client: PlatformClient<N>,
    section: Section,
    lost: Option<Instant>,
}

impl<N: Net, D: Directory> Follower<N, D> {
    async fn follow(mut self) {
        let mut revision = None;
        let mut backoff = BACKOFF_MIN_MS;
        loop {
            let step = match revision {
                None => self.list().await,
                Some(from) => self.watch(from).await,
            };
            match step {
                Ok(at) => {
                    self.regained();
                    revision = Some(at);
                    backoff = BACKOFF_MIN_MS;
                }
                Err(FollowError::Read(PlatformError::Status(StatusCode::GONE))) => revision = None,
                Err(error) => {
                    self.failed(&error);
                    let jitter = 0.5 + self.mesh.rng.borrow_mut().f64();
                    sleep(Duration::from_millis(backoff).mul_f64(jitter)).await;
                    backoff = (backoff * 2).min(BACKOFF_MAX_MS);
                }
            }
        }
    }

    async fn list(&mut self) -> Result<u64> {
        let wait = Duration::from_millis(READ_WAIT_MS);
        let mut after = None;
        let mut revision = None;
        let mut ids = BTreeSet::new();
        loop {
            let path = self.mesh.directory.list(self.section, after.as_deref());
            self.mesh.counters.add(Counter::ConfigReads, 1);
            let answer = self.client.get(&path, ANSWER_MAX_BYTES, wait).await?;
            let body = answer.body.unwrap_or_default();
            let page = self.mesh.directory.page(&body)?;
            // What changes while the pages are read comes again with the watch.
            revision = revision.or(Some(page.revision));
            for item in page.items {
                if let Item::Backend { id, .. } = &item {
                    ids.insert(id.clone());
                }
                self.take(item);
            }
            after = page.next;
            if after.is_none() {
                break;
            }
        }
        if self.section == Section::Backends {
            let missing = self.mesh.registry.borrow_mut().listed(&ids, Instant::now());
            for id in missing {
                log::info!(backend:% = id; "backend server is missing from the list");
            }
            self.mesh.listed.set(true);
            self.mesh.apply_registry();
        }
        Ok(revision.unwrap_or_default())
    }

    async fn watch(&mut self, from: u64) -> Result<u64> {
        let hold = Duration::from_millis(WATCH_MS);
        let wait = hold + Duration::from_millis(WATCH_EXTRA_MS);
        let path = self.mesh.directory.watch(self.section, from, hold);
        self.mesh.counters.add(Counter::ConfigReads, 1);
        let answer = self.client.get(&path, ANSWER_MAX_BYTES, wait).await?;
        let body = answer.body.unwrap_or_default();
        let changes = self.mesh.directory.changes(&body)?;
        let mut changed = false;
        for item in changes.items {
            changed |= self.take(item);
        }
        if changed && self.section == Section::Backends {
            self.mesh.apply_registry();
        }
        Ok(changes.revision.max(from))
    }

    /// Takes over one item; true when a belief about a backend server changed.
    fn take(&self, item: Item) -> bool {
        match item {
            Item::Backend {
                entry: Ok(backend),
                revision,
                ..
            } => self.backend(backend, revision),
            Item::Backend {
                id,
                entry: Err(error),
                revision,
            } => {
                self.mesh.counters.add(Counter::ConfigInvalid, 1);
                log::warn!(id:%, revision, error:%; "entry of a backend server is ignored");
                false
            }
            Item::Removed { id, revision } => self.removed(&id, revision),
            Item::Routes {
                table: Ok(table),
                revision,
            } => {
                self.routes(table, revision);
                false
            }
            Item::Routes {
                table: Err(error),
                revision,
            } => {
                self.mesh.counters.add(Counter::ConfigInvalid, 1);
                log::warn!(revision, error:%; "routes are ignored");
                false
            }
        }
    }

    fn backend(&self, backend: Backend, revision: u64) -> bool {
        let (id, service) = (backend.id.clone(), backend.service.clone());
        let mut registry = self.mesh.registry.borrow_mut();
        let change = registry.learn(backend, revision, Instant::now());
        let Some(change) = change else {
            return false;
        };
        if change != Change::Updated {
            let change = change.as_str();
            log::info!(backend:% = id, service:%, revision, change; "backend server changed");
        }
        true
    }

    fn removed(&self, id: &InstanceId, revision: u64) -> bool {
        let mut registry = self.mesh.registry.borrow_mut();
        let change = registry.removed(id, revision, Instant::now());
        if change.is_some() {
            log::info!(backend:% = id, revision; "entry of a backend server was removed");
        }
        change.is_some()
    }

    fn routes(&self, table: RouteTable, at: u64) {
        let held = self.mesh.routes.borrow().as_ref().map(|t| t.revision());
        let revision = table.revision();
        if held.is_some_and(|held| revision <= held) {
            if held.is_some_and(|held| revision < held) {
                self.mesh.counters.add(Counter::ConfigOlder, 1);
                log::warn!(revision:%, at; "older routes are ignored");
            }
            return;
        }
        let routes = table.routes().count();
        log::info!(revision:%, at, routes; "routes are in effect");
        self.mesh.counters.add(Counter::ConfigAccepted, 1);
        self.mesh.apply_routes(table);
    }

    fn failed(&mut self, error: &FollowError) {
        self.mesh.counters.add(Counter::ConfigReadsFailed, 1);
        let section = self.section.as_str();
        if self.lost.is_none() {
            log::warn!(section, error:%; "store is lost");
            self.lost = Some(Instant::now());
        }
    }

    fn regained(&mut self) {
        let Some(since) = self.lost.take() else {
            return;
        };
        let away_ms = since.elapsed().as_millis() as u64;
        let section = self.section.as_str();
        log::info!(section, away_ms; "store is back");
        if self.section == Section::Backends {
            self.mesh
                .registry
                .borrow_mut()
                .store_returned(Instant::now());
        }
    }
}
