//! What a node has of the content of the platform's store, and the changes that other nodes pass on
//! while the store does not answer this one.

use std::{cell::Cell, convert::Infallible, rc::Rc, time::Duration};

use bytes::Bytes;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::{
    protocol::directory::{Directory, DirectoryError},
    state::{
        counters::Counter,
        mesh::{
            changelog::Batch,
            readers::READERS_PER_ZONE,
            revision::{Epoch, StoreRevision},
        },
    },
};

use super::{super::net::Net, relay, shared::Mesh};

/// Time allowed for an answer after another node has reported a newer revision. The store takes a few
/// ms to respond.
pub const CATCH_UP_MS: u64 = 300;
/// The same after a report of a restore of the store, which no reader can pass on.
const EPOCH_CATCH_UP_MS: u64 = 50;
/// Time after which a node that the store does not answer asks other readers, and asks them again,
/// if nobody has told it of a change.
const SUBSTITUTE_INTERVAL_MS: u64 = 600;

type Result<T, E = DirectoryError> = std::result::Result<T, E>;

/// The revision up to which the node has the content of the store.
pub struct Replica<N: Net, D> {
    mesh: Rc<Mesh<N, D>>,
    /// Epoch of the revision.
    pub epoch: Cell<Epoch>,
    /// The revision; `None` if the store has to be listed.
    pub revision: Cell<Option<u64>>,
}

impl<N: Net, D: Directory> Replica<N, D> {
    /// The state of a node that has read nothing.
    pub fn new(mesh: Rc<Mesh<N, D>>) -> Self {
        Self {
            mesh,
            epoch: Cell::default(),
            revision: Cell::default(),
        }
    }

    /// A revision of the present epoch.
    pub fn at(&self, revision: u64) -> StoreRevision {
        let epoch = self.epoch.get();
        StoreRevision { epoch, revision }
    }

    /// Applies the changes that follow `from`, and passes them on. Returns the revision reached and
    /// whether there were any.
    ///
    /// # Errors
    /// The changes are malformed.
    pub fn pass_on(&self, body: Bytes, from: u64) -> Result<(StoreRevision, bool)> {
        let (to, changed) = self.apply(&body, from)?;
        self.mesh.relay.push(Batch {
            from: self.at(from),
            to,
            body,
        });
        self.revision.set(Some(to.revision));
        Ok((to, changed))
    }

    /// Changes up to `from` are left out, because their effects may have been undone by later ones
    /// that are already in effect.
    fn apply(&self, body: &[u8], from: u64) -> Result<(StoreRevision, bool)> {
        let changes = self.mesh.directory.parse_changes(body)?;
        let (mut has_items, mut changed) = (false, false);
        for item in changes.items {
            let at = self.at(item.revision());
            if at.revision > from {
                has_items = true;
                changed |= self.mesh.apply_item(item, at);
            }
        }
        if changed {
            self.mesh.apply_registry();
        }
        Ok((self.at(changes.revision.max(from)), has_items))
    }

    /// Gets changes from other readers until `until`, when the store is tried again.
    pub async fn substitute_until(&self, until: Instant) {
        let substitute = async {
            self.catch_up().await;
            self.substitute(Instant::now()).await
        };
        let _ = timeout_at(until, substitute).await;
    }

    /// Gets changes from other readers while a read of the store that began at `started` is not
    /// answered. The read is not given up for that: the store may only be slow.
    ///
    /// The node stops counting as one that follows the store once another one has read further.
    /// Nodes that rely on this one would otherwise take it for up to date.
    pub async fn substitute(&self, started: Instant) -> Infallible {
        let mut next = started + Duration::from_millis(SUBSTITUTE_INTERVAL_MS);
        loop {
            let behind = wait_until_behind(&self.mesh, Some(started), CATCH_UP_MS);
            if timeout_at(next, behind).await.is_ok() && self.mesh.relay.set_current(false) {
                self.mesh.counters.add(Counter::ConfigUnanswered, 1);
                let latest = self.mesh.progress.borrow().latest();
                log::warn!(latest:%; "store does not answer and another node has read further; other readers are asked");
            }
            self.mesh.registry.borrow_mut().store_lost();
            let pause = Instant::now() + Duration::from_millis(CATCH_UP_MS);
            let _ = timeout_at(pause, self.catch_up()).await;
            sleep_until(pause).await;
            next = Instant::now() + Duration::from_millis(SUBSTITUTE_INTERVAL_MS);
        }
    }

    /// Asks some readers of all zones for changes, until one has any, or is up to date and no other
    /// node has read further.
    ///
    /// A node that the store doesn't answer would otherwise keep removed keys of organisations,
    /// although other nodes read the store. It does not count as following the store meanwhile, so
    /// that two such nodes can't rely on each other.
    async fn catch_up(&self) {
        let own = self.mesh.own_peer();
        let mut readers = self.mesh.readers.borrow().clone();
        readers.retain(|at| *at != own);
        self.mesh.rng.borrow_mut().shuffle(&mut readers);
        for reader in readers.into_iter().take(READERS_PER_ZONE) {
            let Some(from) = self.revision.get() else {
                return;
            };
            match relay::ask_now(&self.mesh, reader, self.at(from)).await {
                Ok(relay::Answer::Changes { to, body }) if to.epoch == self.epoch.get() => {
                    self.mesh.counters.add(Counter::ConfigReceived, 1);
                    // Nodes that ask this one can't tell that the store does not answer it, and would
                    // take servers behind the same cut for gone.
                    self.mesh.relay.set_current(false);
                    match self.pass_on(body, from) {
                        Ok((revision, _)) => {
                            return self.mesh.progress.borrow_mut().read_to(revision);
                        }
                        Err(error) => {
                            log::info!(reader:%, error:%; "changes of a reader are ignored");
                        }
                    }
                }
                Ok(relay::Answer::UpToDate) if !self.is_behind() => return,
                _ => {}
            }
        }
    }

    fn is_behind(&self) -> bool {
        self.mesh.progress.borrow().behind_since().is_some()
    }
}

/// Completes when this node is behind another one and has been since `catch_up_ms`, counted from
/// `started` at the earliest.
pub async fn wait_until_behind<N: Net, D>(
    mesh: &Mesh<N, D>,
    started: Option<Instant>,
    catch_up_ms: u64,
) {
    let behind_since = || mesh.progress.borrow().behind_since();
    loop {
        let Some(since) = behind_since() else {
            mesh.behind_notify.notified().await;
            continue;
        };
        let since = started.map_or(since, |started| since.max(started));
        let catch_up_ms = match mesh.progress.borrow().has_old_epoch() {
            true => EPOCH_CATCH_UP_MS,
            false => catch_up_ms,
        };
        sleep_until(since + Duration::from_millis(catch_up_ms)).await;
        if behind_since().is_some() {
            return;
        }
    }
}
