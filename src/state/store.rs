//! The configuration in effect at a node, with the encoded parts it was built from.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};

use bytes::Bytes;

use super::{
    config::Config,
    id::{Digest, Revision},
    publication::{Publication, encode},
    watch,
};

/// Encoded parts of a publication, by digest.
pub type EncodedParts = BTreeMap<Digest, Bytes>;

/// What became of a configuration that was offered to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It has a higher revision than the one before and is now in effect.
    Accepted,
    /// It is the one in effect.
    Same,
    /// It has a lower revision and was not accepted.
    Older,
    /// It has the same revision and a different digest and was not accepted.
    Conflict,
}

#[derive(Debug)]
struct Held {
    config: Rc<Config>,
    contents: EncodedParts,
}

/// The configuration in effect. Its revision only rises while the process runs.
#[derive(Debug)]
pub struct ConfigStore {
    held: RefCell<Option<Held>>,
    current: watch::Sender<Option<Rc<Config>>>,
    conflicts: Cell<u64>,
}

impl Default for ConfigStore {
    fn default() -> Self {
        Self::new()
    }
}

impl ConfigStore {
    /// A store without a configuration.
    pub fn new() -> Self {
        Self {
            held: RefCell::new(None),
            current: watch::Sender::new(None),
            conflicts: Cell::new(0),
        }
    }

    /// The configuration in effect; `None` until the first was accepted.
    pub fn config(&self) -> Option<Rc<Config>> {
        self.current.borrow().clone()
    }

    /// The revision in effect; 0 without a configuration.
    pub fn revision(&self) -> Revision {
        self.config().map_or(Revision::default(), |c| c.revision)
    }

    /// The revision and digest in effect.
    pub fn version(&self) -> Option<(Revision, Digest)> {
        self.config().map(|c| (c.revision, c.digest))
    }

    /// Changes of the configuration in effect.
    pub fn subscribe(&self) -> watch::Receiver<Option<Rc<Config>>> {
        self.current.subscribe()
    }

    /// Number of offers that named the current revision with a different digest.
    pub fn conflicts(&self) -> u64 {
        self.conflicts.get()
    }

    /// The encoded part of the configuration in effect with this digest.
    pub fn part(&self, digest: &Digest) -> Option<Bytes> {
        self.held.borrow().as_ref()?.contents.get(digest).cloned()
    }

    /// What an offer of this version would result in. Counts a conflict.
    ///
    /// ```
    /// use comfreybay::state::{id::{Digest, Revision}, store::{ConfigStore, OfferOutcome}};
    /// let store = ConfigStore::new();
    /// assert_eq!(store.evaluate(Revision(1), Digest::of(b"set")), OfferOutcome::Accepted);
    /// ```
    pub fn evaluate(&self, revision: Revision, digest: Digest) -> OfferOutcome {
        let Some((current, held)) = self.version() else {
            return OfferOutcome::Accepted;
        };
        match revision.cmp(&current) {
            std::cmp::Ordering::Greater => OfferOutcome::Accepted,
            std::cmp::Ordering::Less => OfferOutcome::Older,
            std::cmp::Ordering::Equal if digest == held => OfferOutcome::Same,
            std::cmp::Ordering::Equal => {
                self.conflicts.set(self.conflicts.get() + 1);
                OfferOutcome::Conflict
            }
        }
    }

    /// Puts a configuration in effect if its revision is higher than the current one.
    ///
    /// `contents` are the encoded parts that peers may ask for. Configuration and parts change in
    /// one step: no reader sees parts of two sets.
    pub fn accept(&self, config: Config, contents: EncodedParts) -> OfferOutcome {
        let offered = self.evaluate(config.revision, config.digest);
        if offered != OfferOutcome::Accepted {
            return offered;
        }
        let config = Rc::new(config);
        *self.held.borrow_mut() = Some(Held {
            config: config.clone(),
            contents,
        });
        self.current.send_replace(Some(config));
        offered
    }

    /// Puts a whole publication in effect if its revision is higher than the current one.
    pub fn accept_publication(&self, publication: &Publication) -> OfferOutcome {
        self.accept(Config::from_publication(publication), contents(publication))
    }

    /// Size of the encoded parts held, in bytes.
    pub fn held_bytes(&self) -> usize {
        let held = self.held.borrow();
        let parts = held.iter().flat_map(|h| h.contents.values());
        parts.map(Bytes::len).sum()
    }

    /// Calls `look` with the configuration and the parts held.
    pub fn with<T>(&self, look: impl FnOnce(&Config, &EncodedParts) -> T) -> Option<T> {
        let held = self.held.borrow();
        held.as_ref().map(|h| look(&h.config, &h.contents))
    }
}

/// The encoded parts of a whole publication.
pub fn contents(publication: &Publication) -> EncodedParts {
    let head = Bytes::from(encode(&publication.head));
    let mut all = EncodedParts::from([(Digest::of(&head), head)]);
    for (digest, bucket) in &publication.buckets {
        all.insert(*digest, encode(bucket).into());
    }
    for (digest, piece) in &publication.pieces {
        all.insert(*digest, encode(piece).into());
    }
    all
}
