//! The configuration in effect at a node, and the encoded parts that it was built from.

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

/// Result of offering a configuration to the store.
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
struct InEffect {
    config: Rc<Config>,
    parts: EncodedParts,
}

/// The configuration in effect. Its revision never decreases while the process runs.
#[derive(Debug)]
pub struct ConfigStore {
    in_effect: RefCell<Option<InEffect>>,
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
            in_effect: RefCell::new(None),
            current: watch::Sender::new(None),
            conflicts: Cell::new(0),
        }
    }

    /// The configuration in effect; `None` until the first one is accepted.
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

    /// A receiver that is notified when another configuration comes into effect.
    pub fn subscribe(&self) -> watch::Receiver<Option<Rc<Config>>> {
        self.current.subscribe()
    }

    /// Number of offers that named the current revision with a different digest.
    pub fn conflicts(&self) -> u64 {
        self.conflicts.get()
    }

    /// The encoded part with this digest, if it belongs to the configuration in effect.
    pub fn part(&self, digest: &Digest) -> Option<Bytes> {
        self.in_effect.borrow().as_ref()?.parts.get(digest).cloned()
    }

    /// The result that an offer of this version would have; also counts a conflict.
    ///
    /// ```
    /// use comfreybay::state::{id::{Digest, Revision}, store::{ConfigStore, OfferOutcome}};
    /// let store = ConfigStore::new();
    /// assert_eq!(store.evaluate(Revision(1), Digest::of(b"set")), OfferOutcome::Accepted);
    /// ```
    pub fn evaluate(&self, revision: Revision, digest: Digest) -> OfferOutcome {
        let Some((current, current_digest)) = self.version() else {
            return OfferOutcome::Accepted;
        };
        match revision.cmp(&current) {
            std::cmp::Ordering::Greater => OfferOutcome::Accepted,
            std::cmp::Ordering::Less => OfferOutcome::Older,
            std::cmp::Ordering::Equal if digest == current_digest => OfferOutcome::Same,
            std::cmp::Ordering::Equal => {
                self.conflicts.set(self.conflicts.get() + 1);
                OfferOutcome::Conflict
            }
        }
    }

    /// Puts a configuration in effect if its revision is higher than the current one.
    ///
    /// `parts` are the encoded parts that peers may request. Configuration and parts are replaced
    /// together, so that no reader sees parts of two revisions.
    pub fn accept(&self, config: Config, parts: EncodedParts) -> OfferOutcome {
        let offered = self.evaluate(config.revision, config.digest);
        if offered != OfferOutcome::Accepted {
            return offered;
        }
        let config = Rc::new(config);
        *self.in_effect.borrow_mut() = Some(InEffect {
            config: config.clone(),
            parts,
        });
        self.current.send_replace(Some(config));
        offered
    }

    /// Puts a complete publication in effect if its revision is higher than the current one.
    pub fn accept_publication(&self, publication: &Publication) -> OfferOutcome {
        self.accept(
            Config::from_publication(publication),
            encode_parts(publication),
        )
    }

    /// Size of the encoded parts held, in bytes.
    pub fn held_bytes(&self) -> usize {
        let in_effect = self.in_effect.borrow();
        let parts = in_effect.iter().flat_map(|e| e.parts.values());
        parts.map(Bytes::len).sum()
    }

    /// Calls `read` with the configuration and the encoded parts; `None` without a configuration.
    pub fn with<T>(&self, read: impl FnOnce(&Config, &EncodedParts) -> T) -> Option<T> {
        let in_effect = self.in_effect.borrow();
        in_effect.as_ref().map(|e| read(&e.config, &e.parts))
    }
}

/// The encoded parts of a complete publication.
pub fn encode_parts(publication: &Publication) -> EncodedParts {
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
