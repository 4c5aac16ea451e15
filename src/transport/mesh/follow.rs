//! Replication of the platform's store: one list read at the start, then watches.

use std::{collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

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
            revision::{Epoch, StoreRevision},
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
/// Shortest time for which a watch can wait.
const REJOIN_WATCH: Duration = Duration::from_millis(1);
/// Time allowed for an answer that the store does not hold back.
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
    #[error("could not use the answer of the store: it is from epoch {0}, expected at least {1}")]
    OldEpoch(Epoch, Epoch),
}

type Result<T, E = FollowError> = std::result::Result<T, E>;

/// Follows the store until `stop` is cancelled.
pub async fn run<N: Net, D: Directory>(mesh: Rc<Mesh<N, D>>, stop: CancellationToken) {
    let follower = Follower {
        client: PlatformClient::new(mesh.net.clone(), mesh.store()),
        mesh,
        lost_since: None,
        epoch: Epoch::default(),
        listed_epoch: None,
        is_rejoining: false,
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
    UpTo {
        revision: StoreRevision,
        changed: bool,
    },
    /// The store was restored from a copy, so it has to be listed again.
    Restored,
    /// Another node has read a newer revision, so this node's connection to the store may be dead.
    Behind,
    /// The settings name another address for the store.
    StoreMoved,
}

struct Follower<N: Net, D> {
    mesh: Rc<Mesh<N, D>>,
    client: PlatformClient<N>,
    lost_since: Option<Instant>,
    epoch: Epoch,
    /// Epoch of the last complete list.
    listed_epoch: Option<Epoch>,
    /// Whether the store may have been restored since the last answer. The next watch then does not
    /// wait: a revision of an earlier epoch may not have been reached again yet, so the store would
    /// not answer.
    is_rejoining: bool,
}

impl<N: Net, D: Directory> Follower<N, D> {
    async fn follow(mut self) {
        let mut revision = None;
        let mut backoff = BACKOFF_MIN_MS;
        let mut pause = Duration::ZERO;
        loop {
            self.use_store(self.mesh.store());
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
                    self.mesh.counters.set(Counter::ConfigReadTo, at.revision);
                    self.mesh.progress.borrow_mut().read_to(at);
                    self.is_rejoining = false;
                    revision = Some(at.revision);
                    backoff = BACKOFF_MIN_MS;
                    if changed {
                        pause = progress::watch_pause(pause, started.elapsed());
                        sleep(pause).await;
                    }
                }
                Ok(ReadResult::Restored) => revision = None,
                Ok(ReadResult::Behind) => {
                    self.log_behind();
                    self.is_rejoining = true;
                }
                Ok(ReadResult::StoreMoved) => self.is_rejoining = true,
                Err(FollowError::Read(PlatformError::Status(StatusCode::GONE))) => revision = None,
                Err(error) => {
                    self.record_failure(&error);
                    self.is_rejoining = true;
                    let jitter = 0.5 + self.mesh.rng.borrow_mut().f64();
                    sleep(Duration::from_millis(backoff).mul_f64(jitter)).await;
                    backoff = (backoff * 2).min(BACKOFF_MAX_MS);
                }
            }
        }
    }

    /// Connects to another address with the next read, if the store has moved.
    fn use_store(&mut self, address: SocketAddr) {
        if self.client.address() != address {
            log::info!(store:% = address; "store has moved");
            self.client = PlatformClient::new(self.mesh.net.clone(), address);
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
            let is_restored = self.record_epoch(&response.headers, None)?;
            if is_restored && revision.is_some() {
                return Ok(ReadResult::Restored);
            }
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
        let is_restored = self.listed_epoch.is_some_and(|epoch| epoch != self.epoch);
        let missing =
            self.mesh
                .registry
                .borrow_mut()
                .mark_unlisted(&ids, is_restored, Instant::now());
        for id in missing {
            log::info!(backend:% = id, is_restored; "backend server is missing from the list");
        }
        self.listed_epoch = Some(self.epoch);
        self.mesh.listed.set(true);
        self.mesh.apply_registry();
        Ok(ReadResult::UpTo {
            revision: self.at(revision.unwrap_or_default()),
            changed: true,
        })
    }

    async fn watch(&mut self, from: u64) -> Result<ReadResult> {
        let nodes = self.mesh.registry.borrow().len();
        let watch_time = match self.is_rejoining {
            true => REJOIN_WATCH,
            false => progress::watch_duration(nodes, &mut self.mesh.rng.borrow_mut()),
        };
        let timeout = watch_time + Duration::from_millis(WATCH_TIMEOUT_EXTRA_MS);
        let timeout = timeout.max(Duration::from_millis(PAGE_TIMEOUT_MS));
        let path = self.mesh.directory.watch_path(from, watch_time);
        self.mesh.counters.add(Counter::ConfigReads, 1);
        let response = tokio::select! {
            biased;
            response = self.client.get(&path, RESPONSE_MAX_BYTES, timeout) => response?,
            () = wait_until_behind(&self.mesh) => return Ok(ReadResult::Behind),
            () = self.mesh.store_moved.notified() => return Ok(ReadResult::StoreMoved),
        };
        if self.record_epoch(&response.headers, Some(from))? {
            return Ok(ReadResult::Restored);
        }
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
            revision: self.at(changes.revision.max(from)),
            changed: has_items,
        })
    }

    /// Applies one item; returns whether the record of a backend server changed.
    fn apply_item(&self, item: Item) -> bool {
        let revision = self.at(item.revision());
        self.mesh.progress.borrow_mut().seen(revision);
        match item {
            Item::Backend {
                entry: Ok(backend), ..
            } => self.update_backend(backend, revision),
            Item::Backend {
                id,
                entry: Err(error),
                ..
            } => {
                self.mesh.counters.add(Counter::ConfigInvalid, 1);
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
                self.mesh.counters.add(Counter::ConfigInvalid, 1);
                log::warn!(revision:%, error:%; "routes are ignored");
                false
            }
        }
    }

    fn update_backend(&self, backend: Backend, revision: StoreRevision) -> bool {
        let (id, service) = (backend.id.clone(), backend.service.clone());
        let mut registry = self.mesh.registry.borrow_mut();
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
        let mut registry = self.mesh.registry.borrow_mut();
        let change = registry.mark_missing(id, revision, Instant::now());
        if change.is_some() {
            log::info!(backend:% = id, revision:%; "entry of a backend server is missing");
        }
        change.is_some()
    }

    fn update_routes(&self, table: RouteTable, at: StoreRevision) {
        let current = self.mesh.routes.borrow().as_ref().map(|t| t.revision());
        let revision = table.revision();
        if current.is_some_and(|current| revision <= current) {
            if current.is_some_and(|current| revision < current) {
                self.mesh.counters.add(Counter::ConfigOlder, 1);
                log::warn!(revision:%, at:%; "older routes are ignored");
            }
            return;
        }
        let routes = table.routes().count();
        log::info!(revision:%, at:%, routes; "routes are in effect");
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

    /// A revision of the present epoch.
    fn at(&self, revision: u64) -> StoreRevision {
        let epoch = self.epoch;
        StoreRevision { epoch, revision }
    }

    /// Records the epoch that an answer states, and returns whether it is a new one. `after` is the
    /// revision that was watched from.
    fn record_epoch(&mut self, headers: &HeaderMap, after: Option<u64>) -> Result<bool> {
        let before = self.epoch;
        let Some(epoch) = self.mesh.directory.epoch(headers) else {
            return Ok(false);
        };
        if epoch < before {
            return Err(FollowError::OldEpoch(epoch, before));
        }
        self.epoch = epoch;
        let is_restored = epoch > before && before != Epoch::default();
        self.mesh.counters.set(Counter::ConfigEpoch, epoch.0);
        if is_restored {
            self.mesh.counters.add(Counter::ConfigRestores, 1);
            log::warn!(epoch:%, before:%, after; "store was restored from a copy");
        }
        Ok(is_restored)
    }

    fn record_recovery(&mut self, at: StoreRevision) {
        let Some(since) = self.lost_since.take() else {
            return;
        };
        let away_ms = since.elapsed().as_millis() as u64;
        log::info!(away_ms, at:%; "store is back");
        let mut registry = self.mesh.registry.borrow_mut();
        registry.store_returned(Instant::now());
    }

    fn log_behind(&self) {
        self.mesh.counters.add(Counter::ConfigBehind, 1);
        let latest = self.mesh.progress.borrow().latest();
        log::info!(latest:%; "another node has read further; the watch is renewed");
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
