//! Following of the platform's store: a list at the start, then watches.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use http::StatusCode;
use thiserror::Error;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::{
    protocol::directory::{Directory, DirectoryError, Item},
    state::{
        counters::Counter,
        mesh::{
            backend::{Backend, InstanceId},
            progress,
            registry::Change,
            route::RouteTable,
        },
    },
};

use super::{
    super::{
        net::Net,
        platform::{PlatformClient, PlatformError},
    },
    shared::Mesh,
};

/// Time beyond the hold of a watch for its answer.
const WATCH_EXTRA_MS: u64 = 1_000;
/// Time for the store's own answer to arrive, after another node was found to have read further.
/// The store takes some ms to answer; where it is slow, one more read does no harm.
const BEHIND_MS: u64 = 300;
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

/// Follows the store until stopped.
pub async fn run<N: Net, D: Directory>(mesh: Rc<Mesh<N, D>>, end: CancellationToken) {
    let follower = Follower {
        client: PlatformClient::new(mesh.net.clone(), mesh.settings.store),
        mesh,
        lost: None,
    };
    tokio::select! {
        biased;
        () = end.cancelled() => {}
        () = follower.follow() => {}
    }
}

/// What became of a watch.
enum Watched {
    /// The store answered, up to this revision.
    To { revision: u64, changed: bool },
    /// Another node has read further, so the connection may have fallen silent.
    Behind,
}

struct Follower<N: Net, D> {
    mesh: Rc<Mesh<N, D>>,
    client: PlatformClient<N>,
    lost: Option<Instant>,
}

impl<N: Net, D: Directory> Follower<N, D> {
    async fn follow(mut self) {
        let mut revision = None;
        let mut backoff = BACKOFF_MIN_MS;
        let mut pause = Duration::ZERO;
        loop {
            let started = Instant::now();
            let step = match revision {
                None => self.list().await,
                Some(from) => self.watch(from).await,
            };
            match step {
                Ok(Watched::To {
                    revision: at,
                    changed,
                }) => {
                    self.regained();
                    self.mesh.progress.borrow_mut().read_to(at);
                    revision = Some(at);
                    backoff = BACKOFF_MIN_MS;
                    if changed {
                        pause = progress::watch_pause(pause, started.elapsed());
                        sleep(pause).await;
                    }
                }
                Ok(Watched::Behind) => self.behind(),
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

    async fn list(&mut self) -> Result<Watched> {
        let wait = Duration::from_millis(READ_WAIT_MS);
        let mut after = None;
        let mut revision = None;
        let mut ids = BTreeSet::new();
        loop {
            let path = self.mesh.directory.list_path(after.as_deref());
            self.mesh.counters.add(Counter::ConfigReads, 1);
            let answer = self.client.get(&path, ANSWER_MAX_BYTES, wait).await?;
            let body = answer.body.unwrap_or_default();
            let page = self.mesh.directory.parse_page(&body)?;
            // What changes while the pages are read comes again with the watch.
            revision = revision.or(Some(page.revision));
            for item in page.items {
                if let Item::Backend { id, .. } = &item {
                    ids.insert(id.clone());
                }
                self.take(item);
            }
            after = page.cursor;
            if after.is_none() {
                break;
            }
        }
        let missing = self
            .mesh
            .registry
            .borrow_mut()
            .mark_unlisted(&ids, Instant::now());
        for id in missing {
            log::info!(backend:% = id; "backend server is missing from the list");
        }
        self.mesh.listed.set(true);
        self.mesh.apply_registry();
        Ok(Watched::To {
            revision: revision.unwrap_or_default(),
            changed: true,
        })
    }

    async fn watch(&mut self, from: u64) -> Result<Watched> {
        let nodes = self.mesh.registry.borrow().len();
        let hold = progress::watch_duration(nodes, &mut self.mesh.rng.borrow_mut());
        let wait = hold + Duration::from_millis(WATCH_EXTRA_MS);
        let path = self.mesh.directory.watch_path(from, hold);
        self.mesh.counters.add(Counter::ConfigReads, 1);
        let answer = tokio::select! {
            biased;
            answer = self.client.get(&path, ANSWER_MAX_BYTES, wait) => answer?,
            () = behind(&self.mesh) => return Ok(Watched::Behind),
        };
        let body = answer.body.unwrap_or_default();
        let changes = self.mesh.directory.parse_changes(&body)?;
        let (mut any, mut changed) = (false, false);
        for item in changes.items {
            any = true;
            changed |= self.take(item);
        }
        if changed {
            self.mesh.apply_registry();
        }
        Ok(Watched::To {
            revision: changes.revision.max(from),
            changed: any,
        })
    }

    /// Takes over one item; true when a belief about a backend server changed.
    fn take(&self, item: Item) -> bool {
        self.mesh.progress.borrow_mut().seen(item.revision());
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
        let change = registry.update(backend, revision, Instant::now());
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
        let change = registry.mark_missing(id, revision, Instant::now());
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
        if self.lost.is_none() {
            log::warn!(error:%; "store is lost");
            self.lost = Some(Instant::now());
        }
    }

    fn regained(&mut self) {
        let Some(since) = self.lost.take() else {
            return;
        };
        let away_ms = since.elapsed().as_millis() as u64;
        log::info!(away_ms; "store is back");
        let mut registry = self.mesh.registry.borrow_mut();
        registry.store_returned(Instant::now());
    }

    fn behind(&self) {
        self.mesh.counters.add(Counter::ConfigBehind, 1);
        let latest = self.mesh.progress.borrow().latest();
        log::info!(latest; "another node has read further; the watch is renewed");
    }
}

/// Ends when another node has read further for some time.
async fn behind<N: Net, D>(mesh: &Mesh<N, D>) {
    loop {
        mesh.told.notified().await;
        sleep(Duration::from_millis(BEHIND_MS)).await;
        if mesh.progress.borrow().is_behind() {
            return;
        }
    }
}
