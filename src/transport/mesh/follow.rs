//! Replication of the platform's store: one list read at the start, then watches at the store, or
//! changes that another node of the zone passes on.

use std::{collections::BTreeSet, mem::replace, net::SocketAddr, rc::Rc, time::Duration};

use http::{HeaderMap, StatusCode};
use thiserror::Error;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::{
    protocol::directory::{Directory, DirectoryError, Item},
    state::{
        counters::Counter,
        mesh::{
            progress,
            readers::Source,
            revision::{Epoch, StoreRevision},
        },
    },
};

use super::{
    super::{
        net::Net,
        platform::{PlatformClient, PlatformError},
        tasks::Tasks,
    },
    alarm,
    relay::{self, RelayError},
    replica::{CATCH_UP_MS, Replica, wait_until_behind},
    shared::Mesh,
};

/// Time allowed for the response beyond the time for which the store holds a watch.
const WATCH_TIMEOUT_EXTRA_MS: u64 = 1_000;
/// Time allowed for a reader to pass on a change that another node has reported: it may be in its
/// longest pause between two watches.
const READER_CATCH_UP_MS: u64 = 600;
/// Longest watch of a node that reads the store only because all readers of its zone have failed.
const SUBSTITUTE_WATCH: Duration = Duration::from_secs(3);
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
        replica: Replica::new(mesh.clone()),
        mesh,
        readers: relay::Client::default(),
        lost_since: None,
        listed_epoch: None,
        is_rejoining: false,
        fell_silent: false,
        alarms: Tasks::default(),
    };
    let alarms = follower.alarms.clone();
    stop.run_until_cancelled(follower.follow()).await;
    alarms.abort().await;
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
    /// The connections of another node to the store had fallen silent.
    Alarmed,
    /// A reader could not pass on changes.
    ReaderFailed(SocketAddr, RelayError),
}

struct Follower<N: Net, D> {
    mesh: Rc<Mesh<N, D>>,
    client: PlatformClient<N>,
    replica: Replica<N, D>,
    readers: relay::Client,
    lost_since: Option<Instant>,
    /// Epoch of the last complete list.
    listed_epoch: Option<Epoch>,
    /// Whether the store may have been restored since the last answer. The next watch then does not
    /// wait: a revision of an earlier epoch may not have been reached again yet, so the store would
    /// not answer.
    is_rejoining: bool,
    /// Whether the answer to the last watch was overdue, although its connection showed no error.
    fell_silent: bool,
    alarms: Tasks,
}

impl<N: Net, D: Directory> Follower<N, D> {
    async fn follow(mut self) {
        let mut backoff = BACKOFF_MIN_MS;
        let mut pause = Duration::ZERO;
        loop {
            self.use_store(self.mesh.store());
            let started = Instant::now();
            let reader = match self.is_rejoining {
                true => None,
                false => self.readers.reader(&self.mesh, started),
            };
            let is_list = self.replica.revision.get().is_none();
            let result = match (self.replica.revision.get(), reader) {
                (None, _) => self.list().await,
                (Some(from), None) => self.watch(from).await,
                (Some(from), Some(reader)) => self.ask(reader, from).await,
            };
            match result {
                Ok(ReadResult::UpTo {
                    revision: at,
                    changed,
                }) => {
                    self.record_recovery(at);
                    self.mesh.counters.set(Counter::ConfigReadTo, at.revision);
                    self.record_progress(at);
                    self.mesh.relay.set_current(true);
                    self.is_rejoining = false;
                    self.raise_alarm();
                    self.replica.revision.set(Some(at.revision));
                    backoff = BACKOFF_MIN_MS;
                    if changed && reader.is_none() {
                        self.announce_change();
                        pause = self.pause(pause, is_list, started.elapsed());
                        sleep(pause).await;
                    }
                }
                Ok(ReadResult::Restored) => self.replica.revision.set(None),
                Ok(ReadResult::Behind) => {
                    self.log_behind();
                    self.is_rejoining = true;
                }
                Ok(ReadResult::StoreMoved | ReadResult::Alarmed) => self.is_rejoining = true,
                Ok(ReadResult::ReaderFailed(reader, error)) => self.replace_reader(reader, &error),
                Err(FollowError::Read(PlatformError::Status(StatusCode::GONE))) => {
                    self.replica.revision.set(None);
                }
                Err(error) => {
                    self.record_failure(&error);
                    self.mesh.relay.set_current(false);
                    let is_overdue = matches!(error, FollowError::Read(PlatformError::Timeout));
                    let is_watch = !is_list && !self.is_rejoining;
                    self.is_rejoining = true;
                    self.fell_silent = is_overdue && is_watch;
                    if self.fell_silent {
                        continue;
                    }
                    let jitter = 0.5 + self.mesh.rng.borrow_mut().f64();
                    let until = Instant::now() + Duration::from_millis(backoff).mul_f64(jitter);
                    self.replica.substitute_until(until).await;
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
            self.mesh.record_store_answer();
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
                let at = self.replica.at(item.revision());
                self.mesh.apply_item(item, at);
            }
            after = page.cursor;
            if after.is_none() {
                break;
            }
        }
        let is_restored = self
            .listed_epoch
            .is_some_and(|epoch| epoch != self.replica.epoch.get());
        let missing =
            self.mesh
                .registry
                .borrow_mut()
                .mark_unlisted(&ids, is_restored, Instant::now());
        for id in missing {
            log::info!(backend:% = id, is_restored; "backend server is missing from the list");
        }
        self.listed_epoch = Some(self.replica.epoch.get());
        self.mesh.listed.set(true);
        self.mesh.apply_registry();
        let revision = self.replica.at(revision.unwrap_or_default());
        self.mesh.relay.restart(revision);
        Ok(ReadResult::UpTo {
            revision,
            changed: true,
        })
    }

    async fn watch(&mut self, from: u64) -> Result<ReadResult> {
        let started = Instant::now();
        let watch_time = self.watch_time();
        let timeout = match self.is_rejoining {
            true => Duration::from_millis(PAGE_TIMEOUT_MS),
            false => watch_time + Duration::from_millis(WATCH_TIMEOUT_EXTRA_MS),
        };
        match self.is_rejoining {
            true => self.client.disconnect(),
            false => self.mesh.counters.set(Counter::ConfigReader, 1),
        }
        let path = self.mesh.directory.watch_path(from, watch_time);
        self.mesh.counters.add(Counter::ConfigReads, 1);
        let response = tokio::select! {
            biased;
            response = self.client.get(&path, RESPONSE_MAX_BYTES, timeout) => response?,
            () = wait_until_behind(&self.mesh, Some(started), CATCH_UP_MS), if !self.is_rejoining => {
                return Ok(ReadResult::Behind);
            }
            // A read that does not wait has its whole time limit, or a slow store would answer none.
            never = self.replica.substitute(started), if self.is_rejoining => match never {},
            () = self.mesh.store_moved.notified() => return Ok(ReadResult::StoreMoved),
            () = self.mesh.store_alarm.notified(), if !self.is_rejoining => {
                return Ok(ReadResult::Alarmed);
            }
        };
        self.mesh.record_store_answer();
        if self.record_epoch(&response.headers, Some(from))? {
            return Ok(ReadResult::Restored);
        }
        let body = response.body.unwrap_or_default();
        // Other readers may have passed changes on meanwhile.
        let from = self.replica.revision.get().unwrap_or(from);
        let (revision, changed) = self.replica.pass_on(body, from)?;
        Ok(ReadResult::UpTo { revision, changed })
    }

    fn watch_time(&self) -> Duration {
        if self.is_rejoining {
            return REJOIN_WATCH;
        }
        let readers = self.mesh.readers.borrow().len();
        let watch_time = progress::watch_duration(readers, &mut self.mesh.rng.borrow_mut());
        let watch_time = match self.mesh.is_sentinel() {
            true => watch_time.min(progress::SENTINEL_WATCH),
            false => watch_time,
        };
        match *self.mesh.source.borrow() {
            Source::Store => watch_time,
            Source::Readers(_) => watch_time.min(SUBSTITUTE_WATCH),
        }
    }

    /// Asks a reader for the changes after a revision.
    async fn ask(&mut self, reader: SocketAddr, from: u64) -> Result<ReadResult> {
        self.mesh.counters.set(Counter::ConfigReader, 0);
        let at = self.replica.at(from);
        let answer = tokio::select! {
            biased;
            answer = relay::ask(&self.mesh, reader, at) => answer,
            () = wait_until_behind(&self.mesh, None, READER_CATCH_UP_MS) => return Ok(ReadResult::Behind),
        };
        let failed = |error| Ok(ReadResult::ReaderFailed(reader, error));
        let (to, body) = match answer {
            Ok(relay::Answer::Changes { to, body }) => (to, body),
            Ok(relay::Answer::UpToDate) => {
                self.readers.ask_next();
                return Ok(ReadResult::UpTo {
                    revision: at,
                    changed: false,
                });
            }
            Err(error) => return failed(error),
        };
        if to.epoch != self.replica.epoch.get() {
            return failed(RelayError::Unknown);
        }
        self.mesh.counters.add(Counter::ConfigReceived, 1);
        match self.replica.pass_on(body, from) {
            Ok((revision, changed)) => Ok(ReadResult::UpTo { revision, changed }),
            Err(error) => failed(RelayError::Broken(error.to_string())),
        }
    }

    /// Asks another reader next. The store is read first if time was lost, or if no reader is left.
    fn replace_reader(&mut self, reader: SocketAddr, error: &RelayError) {
        self.mesh.counters.add(Counter::ConfigReaderFailed, 1);
        log::info!(reader:%, error:%; "reader is replaced");
        let now = Instant::now();
        self.readers.avoid(reader, now);
        self.is_rejoining = !error.is_refusal() || self.readers.reader(&self.mesh, now).is_none();
        // Those that ask this node would rely on it until it has read the store.
        if self.is_rejoining {
            self.mesh.relay.set_current(false);
        }
    }

    fn record_failure(&mut self, error: &FollowError) {
        self.mesh.counters.add(Counter::ConfigReadsFailed, 1);
        self.mesh.registry.borrow_mut().store_lost();
        if self.lost_since.is_none() {
            log::warn!(error:%; "store is lost");
            self.lost_since = Some(Instant::now());
        }
    }

    /// Pause after a read that returned changes and lasted `lasted`; `last` is the pause before it.
    fn pause(&self, last: Duration, is_list: bool, lasted: Duration) -> Duration {
        if self.mesh.routes.borrow().is_none() {
            return progress::PAUSE_WITHOUT_ROUTES;
        }
        match is_list {
            true => progress::PAUSE_MAX,
            false => progress::watch_pause(last, lasted),
        }
    }

    fn record_progress(&self, at: StoreRevision) {
        let mut progress = self.mesh.progress.borrow_mut();
        match self.is_rejoining {
            true => progress.confirm(at),
            false => progress.read_to(at),
        }
    }

    /// Records the epoch that an answer states, and returns whether it is a new one. `after` is the
    /// revision that was watched from.
    fn record_epoch(&mut self, headers: &HeaderMap, after: Option<u64>) -> Result<bool> {
        let before = self.replica.epoch.get();
        let Some(epoch) = self.mesh.directory.epoch(headers) else {
            return Ok(false);
        };
        if epoch < before {
            return Err(FollowError::OldEpoch(epoch, before));
        }
        self.replica.epoch.set(epoch);
        let is_restored = epoch > before && before != Epoch::default();
        self.mesh.counters.set(Counter::ConfigEpoch, epoch.0);
        if is_restored {
            self.mesh.counters.add(Counter::ConfigRestores, 1);
            log::warn!(epoch:%, before:%, after; "store was restored from a copy");
        }
        Ok(is_restored)
    }

    /// Tells the other readers if the store has answered on a new connection only.
    fn raise_alarm(&mut self) {
        if replace(&mut self.fell_silent, false) {
            self.mesh.counters.add(Counter::ConfigSilent, 1);
            log::warn!("connection to the store had fallen silent; the other readers are told");
            self.alarms.spawn(alarm::raise(self.mesh.clone()));
        }
    }

    /// Tells the other readers of a change: at once if this node is a sentinel, and otherwise unless
    /// one that ranks before it has.
    fn announce_change(&self) {
        if let Some(rank) = self.mesh.reader_rank() {
            let announcement = alarm::announce_change(self.mesh.clone(), rank);
            self.alarms.spawn(announcement);
        }
    }

    fn record_recovery(&mut self, at: StoreRevision) {
        let Some(since) = self.lost_since.take() else {
            return;
        };
        let away_ms = since.elapsed().as_millis() as u64;
        log::info!(away_ms, at:%; "store is back");
    }

    fn log_behind(&self) {
        self.mesh.counters.add(Counter::ConfigBehind, 1);
        let latest = self.mesh.progress.borrow().latest();
        log::info!(latest:%; "another node has read further; the watch is renewed");
    }
}
