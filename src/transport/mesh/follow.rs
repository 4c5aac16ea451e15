//! Replication of the platform's store: one list read at the start, then watches.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use http::{HeaderMap, StatusCode};
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
            revision::Epoch,
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

/// Time allowed for the response beyond the time for which the store holds a watch.
const WATCH_TIMEOUT_EXTRA_MS: u64 = 1_000;
/// Time allowed for the watch to return after another node has reported a newer revision. The store
/// takes a few ms to respond; if it is slower, renewing the watch costs only one more read.
const CATCH_UP_MS: u64 = 300;
const PAGE_TIMEOUT_MS: u64 = 2_000;
const RESPONSE_MAX_BYTES: usize = 8 * 1_024 * 1_024;
const BACKOFF_MIN_MS: u64 = 100;
const BACKOFF_MAX_MS: u64 = 800;

#[derive(Debug, Error)]
enum FollowError {
    #[error(transparent)]
    Read(#[from] PlatformError),
    #[error(transparent)]
    Malformed(#[from] DirectoryError),
}

type Result<T, E = FollowError> = std::result::Result<T, E>;

/// Follows the store until `stop` is cancelled.
pub async fn run<N: Net, D: Directory>(mesh: Rc<Mesh<N, D>>, stop: CancellationToken) {
    let follower = Follower {
        client: PlatformClient::new(mesh.net.clone(), mesh.settings.store),
        mesh,
        lost_since: None,
        epoch: Epoch::default(),
    };
    tokio::select! {
        biased;
        () = stop.cancelled() => {}
        () = follower.follow() => {}
    }
}

/// Result of a list or a watch.
enum ReadResult {
    /// The store was read up to this revision.
    UpTo { revision: u64, changed: bool },
    /// Another node has read a newer revision, so this node's connection to the store may be dead.
    Behind,
}

struct Follower<N: Net, D> {
    mesh: Rc<Mesh<N, D>>,
    client: PlatformClient<N>,
    lost_since: Option<Instant>,
    epoch: Epoch,
}

impl<N: Net, D: Directory> Follower<N, D> {
    async fn follow(mut self) {
        let mut revision = None;
        let mut backoff = BACKOFF_MIN_MS;
        let mut pause = Duration::ZERO;
        loop {
            let started = Instant::now();
            let result = match revision {
                None => self.list().await,
                Some(from) => self.watch(from).await,
            };
            match result {
                Ok(ReadResult::UpTo {
                    revision: at,
                    changed,
                }) => {
                    self.record_recovery(at);
                    self.mesh.counters.set(Counter::ConfigReadTo, at);
                    self.mesh.progress.borrow_mut().read_to(at);
                    revision = Some(at);
                    backoff = BACKOFF_MIN_MS;
                    if changed {
                        pause = progress::watch_pause(pause, started.elapsed());
                        sleep(pause).await;
                    }
                }
                Ok(ReadResult::Behind) => self.log_behind(),
                Err(FollowError::Read(PlatformError::Status(StatusCode::GONE))) => revision = None,
                Err(error) => {
                    self.record_failure(&error);
                    let jitter = 0.5 + self.mesh.rng.borrow_mut().f64();
                    sleep(Duration::from_millis(backoff).mul_f64(jitter)).await;
                    backoff = (backoff * 2).min(BACKOFF_MAX_MS);
                }
            }
        }
    }

    async fn list(&mut self) -> Result<ReadResult> {
        let timeout = Duration::from_millis(PAGE_TIMEOUT_MS);
        let mut after = None;
        let mut revision = None;
        let mut ids = BTreeSet::new();
        loop {
            let path = self.mesh.directory.list_path(after.as_deref());
            self.mesh.counters.add(Counter::ConfigReads, 1);
            let response = self.client.get(&path, RESPONSE_MAX_BYTES, timeout).await?;
            self.record_epoch(&response.headers, None);
            let body = response.body.unwrap_or_default();
            let page = self.mesh.directory.parse_page(&body)?;
            // The watch continues from the first page's revision, so that it returns changes made
            // while the other pages were read.
            revision = revision.or(Some(page.revision));
            for item in page.items {
                if let Item::Backend { id, .. } = &item {
                    ids.insert(id.clone());
                }
                self.apply_item(item);
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
        Ok(ReadResult::UpTo {
            revision: revision.unwrap_or_default(),
            changed: true,
        })
    }

    async fn watch(&mut self, from: u64) -> Result<ReadResult> {
        let nodes = self.mesh.registry.borrow().len();
        let watch_time = progress::watch_duration(nodes, &mut self.mesh.rng.borrow_mut());
        let timeout = watch_time + Duration::from_millis(WATCH_TIMEOUT_EXTRA_MS);
        let path = self.mesh.directory.watch_path(from, watch_time);
        self.mesh.counters.add(Counter::ConfigReads, 1);
        let response = tokio::select! {
            biased;
            response = self.client.get(&path, RESPONSE_MAX_BYTES, timeout) => response?,
            () = wait_until_behind(&self.mesh) => return Ok(ReadResult::Behind),
        };
        self.record_epoch(&response.headers, Some(from));
        let body = response.body.unwrap_or_default();
        let changes = self.mesh.directory.parse_changes(&body)?;
        let (mut has_items, mut changed) = (false, false);
        for item in changes.items {
            has_items = true;
            changed |= self.apply_item(item);
        }
        if changed {
            self.mesh.apply_registry();
        }
        Ok(ReadResult::UpTo {
            revision: changes.revision.max(from),
            changed: has_items,
        })
    }

    /// Applies one item; returns whether the record of a backend server changed.
    fn apply_item(&self, item: Item) -> bool {
        self.mesh.progress.borrow_mut().seen(item.revision());
        match item {
            Item::Backend {
                entry: Ok(backend),
                revision,
                ..
            } => self.update_backend(backend, revision),
            Item::Backend {
                id,
                entry: Err(error),
                revision,
            } => {
                self.mesh.counters.add(Counter::ConfigInvalid, 1);
                log::warn!(id:%, revision, error:%; "entry of a backend server is ignored");
                false
            }
            Item::Removed { id, revision } => self.mark_backend_missing(&id, revision),
            Item::Routes {
                table: Ok(table),
                revision,
            } => {
                self.update_routes(table, revision);
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

    fn update_backend(&self, backend: Backend, revision: u64) -> bool {
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

    fn mark_backend_missing(&self, id: &InstanceId, revision: u64) -> bool {
        let mut registry = self.mesh.registry.borrow_mut();
        let change = registry.mark_missing(id, revision, Instant::now());
        if change.is_some() {
            log::info!(backend:% = id, revision; "entry of a backend server was removed");
        }
        change.is_some()
    }

    fn update_routes(&self, table: RouteTable, at: u64) {
        let current = self.mesh.routes.borrow().as_ref().map(|t| t.revision());
        let revision = table.revision();
        if current.is_some_and(|current| revision <= current) {
            if current.is_some_and(|current| revision < current) {
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

    fn record_failure(&mut self, error: &FollowError) {
        self.mesh.counters.add(Counter::ConfigReadsFailed, 1);
        if self.lost_since.is_none() {
            log::warn!(error:%; "store is lost");
            self.lost_since = Some(Instant::now());
        }
    }

    /// Records the epoch that an answer states. `after` is the revision that was watched from.
    fn record_epoch(&mut self, headers: &HeaderMap, after: Option<u64>) {
        let Some(epoch) = self.mesh.directory.epoch(headers) else {
            return;
        };
        self.mesh.counters.set(Counter::ConfigEpoch, epoch.0);
        let before = std::mem::replace(&mut self.epoch, epoch);
        if epoch != before && before != Epoch::default() {
            self.mesh.counters.add(Counter::ConfigRestores, 1);
            log::warn!(epoch:%, before:%, after; "store was restored from a copy");
        }
    }

    fn record_recovery(&mut self, revision: u64) {
        let Some(since) = self.lost_since.take() else {
            return;
        };
        let away_ms = since.elapsed().as_millis() as u64;
        let epoch = self.epoch;
        log::info!(away_ms, epoch:%, revision; "store is back");
        let mut registry = self.mesh.registry.borrow_mut();
        registry.store_returned(Instant::now());
    }

    fn log_behind(&self) {
        self.mesh.counters.add(Counter::ConfigBehind, 1);
        let latest = self.mesh.progress.borrow().latest();
        log::info!(latest; "another node has read further; the watch is renewed");
    }
}

/// Completes when this node is still behind another one [`CATCH_UP_MS`] after learning of a newer
/// revision.
async fn wait_until_behind<N: Net, D>(mesh: &Mesh<N, D>) {
    loop {
        mesh.behind_notify.notified().await;
        sleep(Duration::from_millis(CATCH_UP_MS)).await;
        if mesh.progress.borrow().is_behind() {
            return;
        }
    }
}
