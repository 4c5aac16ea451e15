//! Acceptance of publications: which parts a node needs, and when they may take effect.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
};

use bytes::Bytes;
use thiserror::Error;

use crate::{
    coordination::check::{ObjectSet, Severity, check},
    state::{
        self,
        config::Config,
        id::{Digest, Revision, ServiceName},
        object::Object,
        publication::{BUCKETS, Bucket, FORMAT, Head, Piece, bucket_of, decode, encode},
        store::{ConfigStore, EncodedParts, OfferOutcome},
    },
};

/// Number of services that each service is linked to, so that the graph of peers connects all
/// services.
const SERVICE_LINKS: u8 = 3;
/// Maximum number of nodes that are asked for their revision at a cold start.
pub const COLD_START_PEERS_MAX: usize = 5;

/// Why a publication could not be accepted.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum FollowError {
    /// A part does not match its digest or is malformed.
    #[error("could not accept a part of the publication: {0}")]
    Part(#[from] state::Error),
    /// The head has an unsupported format.
    #[error("could not accept publication format {0}: expected {FORMAT}")]
    Format(u32),
    /// The head has the wrong number of buckets.
    #[error("could not accept a head with {0} buckets: expected {BUCKETS}")]
    Buckets(usize),
    /// The pieces do not form a valid set.
    #[error("could not accept the set of pieces: {0}")]
    Set(String),
    /// A piece does not match the service that it is listed under.
    #[error("could not accept the piece of service {service}: {reason}")]
    Piece {
        /// The service.
        service: ServiceName,
        /// What is wrong.
        reason: &'static str,
    },
}

/// Result of accepting a publication.
pub type Result<T, E = FollowError> = std::result::Result<T, E>;

/// The kind of a part, as named in the keys of the configuration service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PartKind {
    /// A bucket.
    Bucket,
    /// A piece.
    Piece,
}

/// A part that is still to be fetched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MissingPart {
    /// Its kind.
    pub kind: PartKind,
    /// Its digest.
    pub digest: Digest,
    /// The service; only for a piece.
    pub service: Option<ServiceName>,
}

/// Decodes a head and checks its format.
///
/// # Errors
/// The content is not a head of this format.
pub fn read_head(content: &[u8]) -> Result<Head> {
    let head: Head = decode("head", Digest::of(content), content)?;
    if head.format != FORMAT {
        return Err(FollowError::Format(head.format));
    }
    if head.buckets.len() != BUCKETS {
        return Err(FollowError::Buckets(head.buckets.len()));
    }
    Ok(head)
}

fn hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let hash = hasher.finalize();
    u64::from_be_bytes(hash.as_bytes()[..8].try_into().unwrap_or_default())
}

/// Index of the bucket that a link leads to: the first non-empty one from an index given by a hash.
///
/// A small fleet leaves most buckets empty; without the search its nodes would have no links.
fn link_bucket(head: &Head, service: &ServiceName, link: u8) -> usize {
    let start = hash(&[service.as_str().as_bytes(), &[link]]) as usize % BUCKETS;
    let empty = empty_bucket_digest();
    let mut indices = (0..BUCKETS).map(|step| (start + step) % BUCKETS);
    indices
        .find(|index| head.buckets[*index] != empty)
        .unwrap_or(start)
}

/// The digest of a bucket without services.
pub fn empty_bucket_digest() -> Digest {
    Digest::of(&encode(&Bucket::default()))
}

/// The service in a bucket that a link leads to, by rendezvous hash.
fn link_service(service: &ServiceName, link: u8, bucket: &Bucket) -> Option<ServiceName> {
    let others = bucket.services.keys().filter(|s| *s != service);
    let score =
        |s: &&ServiceName| hash(&[service.as_str().as_bytes(), &[link], s.as_str().as_bytes()]);
    others.min_by_key(score).cloned()
}

/// A head and the parts fetched for it so far.
#[derive(Debug)]
pub struct Assembly {
    service: ServiceName,
    head: Head,
    digest: Digest,
    contents: EncodedParts,
    buckets: BTreeMap<usize, Bucket>,
    pieces: BTreeMap<ServiceName, Piece>,
}

impl Assembly {
    /// Starts with an encoded head, for a node of `service`.
    ///
    /// # Errors
    /// The content is not a head of this format.
    pub fn new(service: ServiceName, content: Bytes) -> Result<Self> {
        let head = read_head(&content)?;
        let digest = Digest::of(&content);
        Ok(Self {
            service,
            head,
            digest,
            contents: EncodedParts::from([(digest, content)]),
            buckets: BTreeMap::new(),
            pieces: BTreeMap::new(),
        })
    }

    /// Revision of the head.
    pub fn revision(&self) -> Revision {
        self.head.revision
    }

    /// Digest of the head.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Digest of the bucket at an index.
    pub fn bucket(&self, index: usize) -> Option<Digest> {
        self.head.buckets.get(index).copied()
    }

    /// The parts to fetch next; empty when all parts that the node needs are present.
    ///
    /// Which pieces are needed is known only once the node's own piece and the buckets are present,
    /// so callers repeat this after each round of fetches. Parts that `store` holds are taken from
    /// there.
    ///
    /// # Errors
    /// A part from the store is malformed, or is a piece of another service.
    pub fn missing_parts(&mut self, store: &ConfigStore) -> Result<Vec<MissingPart>> {
        loop {
            let needed = self.needed();
            let mut missing = Vec::new();
            let mut is_any_held = false;
            for part in needed {
                match store.part(&part.digest) {
                    Some(content) => {
                        self.add(&part, content)?;
                        is_any_held = true;
                    }
                    None => missing.push(part),
                }
            }
            if !is_any_held {
                return Ok(missing);
            }
        }
    }

    /// The parts that are known to be needed and not present yet.
    fn needed(&self) -> Vec<MissingPart> {
        let mut services = BTreeSet::from([self.service.clone()]);
        if let Some(own) = self.pieces.get(&self.service) {
            services.extend(own.chains.iter().flat_map(|c| c.services()));
        }
        let mut buckets: BTreeSet<_> = services.iter().map(bucket_of).collect();
        for link in 0..SERVICE_LINKS {
            let index = link_bucket(&self.head, &self.service, link);
            buckets.insert(index);
            let bucket = self.buckets.get(&index);
            services.extend(bucket.and_then(|b| link_service(&self.service, link, b)));
        }
        let absent = buckets
            .iter()
            .filter(|index| !self.buckets.contains_key(index));
        let mut needed: Vec<_> = absent
            .map(|index| MissingPart {
                kind: PartKind::Bucket,
                digest: self.head.buckets[*index],
                service: None,
            })
            .collect();
        // Buckets without services share one digest, so that one fetch serves them all.
        needed.sort_by_key(|part| part.digest);
        needed.dedup();
        for service in services {
            let listed = self
                .buckets
                .get(&bucket_of(&service))
                .and_then(|b| b.services.get(&service));
            if let Some(digest) = listed
                && !self.pieces.contains_key(&service)
            {
                needed.push(MissingPart {
                    kind: PartKind::Piece,
                    digest: *digest,
                    service: Some(service),
                });
            }
        }
        needed
    }

    /// Adds a part that was fetched.
    ///
    /// # Errors
    /// The content does not match its digest, is malformed, or is a piece of another service.
    pub fn add(&mut self, part: &MissingPart, content: Bytes) -> Result<()> {
        match part.kind {
            PartKind::Bucket => {
                let bucket: Bucket = decode("bucket", part.digest, &content)?;
                for (index, digest) in self.head.buckets.iter().enumerate() {
                    if *digest == part.digest {
                        self.buckets.insert(index, bucket.clone());
                    }
                }
            }
            PartKind::Piece => {
                let piece: Piece = decode("piece", part.digest, &content)?;
                let service = part.service.as_ref().unwrap_or(&piece.service.name);
                check_piece(service, &piece)?;
                self.pieces.insert(service.clone(), piece);
            }
        }
        self.contents.insert(part.digest, content);
        Ok(())
    }

    /// The assembled configuration with its encoded parts.
    ///
    /// # Errors
    /// The pieces contradict each other, or break a rule of publication.
    pub fn finish(self) -> Result<(Config, EncodedParts)> {
        let config = Config {
            revision: self.head.revision,
            digest: self.digest,
            deployment: self.head.deployment,
            pieces: self.pieces,
        };
        check_set(&config)?;
        Ok((config, self.contents))
    }
}

/// Checks the pieces that a node holds as one set.
///
/// # Errors
/// Two pieces contradict each other, or the pieces break a rule of publication.
pub fn check_set(config: &Config) -> Result<()> {
    let mut objects = BTreeMap::new();
    let mut all = vec![Object::Deployment(config.deployment.clone())];
    for piece in config.pieces.values() {
        all.push(Object::Service(piece.service.clone()));
        all.extend(piece.upstreams.iter().cloned().map(Object::Upstream));
        all.extend(piece.limits.iter().cloned().map(Object::Limit));
        all.extend(piece.chains.iter().cloned().map(Object::Chain));
        all.extend(piece.classes.iter().cloned().map(Object::Class));
    }
    for object in all {
        let key = (object.kind(), object.name().to_owned());
        let name = key.1.clone();
        if *objects.entry(key).or_insert_with(|| object.clone()) != object {
            let reason = format!("two pieces define {name} differently");
            return Err(FollowError::Set(reason));
        }
    }
    // A node holds a part of the publication, so rules about missing objects do not apply.
    let set = ObjectSet {
        partial: true,
        ..ObjectSet::from_objects(objects.into_values())
    };
    let fault = check(&set)
        .into_iter()
        .find(|f| f.severity == Severity::Fault);
    match fault {
        Some(fault) => Err(FollowError::Set(fault.message)),
        None => Ok(()),
    }
}

/// Checks that a piece belongs to the service that it is listed under.
///
/// # Errors
/// Its service, or the service of an upstream or a limit, is another one, or two of its upstreams
/// have the same name.
pub fn check_piece(service: &ServiceName, piece: &Piece) -> Result<()> {
    let fault = |reason| {
        Err(FollowError::Piece {
            service: service.clone(),
            reason,
        })
    };
    if piece.service.name != *service {
        return fault("it belongs to another service");
    }
    if piece.upstreams.iter().any(|u| u.service != *service) {
        return fault("an upstream belongs to another service");
    }
    if piece.limits.iter().any(|l| l.service != *service) {
        return fault("a limit belongs to another service");
    }
    let names: BTreeSet<_> = piece.upstreams.iter().map(|u| &u.name).collect();
    if names.len() != piece.upstreams.len() {
        return fault("two upstreams have the same name");
    }
    Ok(())
}

/// Determines the lowest revision that a node may accept when it starts without a configuration.
///
/// No publication is accepted before a majority of the nodes asked has reported its revision, so
/// that a stale configuration service cannot bring back an old one.
#[derive(Debug, Default)]
pub struct ColdStart {
    asked: BTreeSet<SocketAddr>,
    reported: BTreeMap<SocketAddr, Revision>,
}

impl ColdStart {
    /// Creates a cold start that asks these nodes, at most [`COLD_START_PEERS_MAX`] of them.
    pub fn new(asked: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self {
            asked: asked.into_iter().take(COLD_START_PEERS_MAX).collect(),
            reported: BTreeMap::new(),
        }
    }

    /// Nodes that have not answered yet.
    pub fn unanswered(&self) -> Vec<SocketAddr> {
        let is_pending = |at: &&SocketAddr| !self.reported.contains_key(at);
        self.asked.iter().filter(is_pending).copied().collect()
    }

    /// Records the revision of a node; 0 if it has no configuration.
    pub fn record_answer(&mut self, from: SocketAddr, revision: Revision) {
        if self.asked.contains(&from) {
            let reported = self.reported.entry(from).or_default();
            *reported = (*reported).max(revision);
        }
    }

    /// The lowest revision that may be accepted; `None` until a majority has answered.
    ///
    /// ```
    /// use comfreybay::{coordination::follow::ColdStart, state::id::Revision};
    /// let at = |port| ([127, 0, 0, 1], port).into();
    /// let mut start = ColdStart::new([at(1), at(2), at(3)]);
    /// start.record_answer(at(1), Revision(7));
    /// assert_eq!(start.min_revision(), None);
    /// start.record_answer(at(2), Revision(0));
    /// assert_eq!(start.min_revision(), Some(Revision(7)));
    /// ```
    pub fn min_revision(&self) -> Option<Revision> {
        let is_majority = self.reported.len() * 2 > self.asked.len() || self.asked.is_empty();
        let highest = self.reported.values().copied().max().unwrap_or_default();
        is_majority.then_some(highest)
    }
}

/// Decides which publications take effect at a node.
#[derive(Debug)]
pub struct Follower {
    store: Rc<ConfigStore>,
    min_revision: Cell<Option<Revision>>,
    last_conflict: RefCell<Option<(Revision, Digest)>>,
}

impl Follower {
    /// Creates a follower at a cold start. It accepts nothing until [`Follower::start_accepting`]
    /// is called.
    pub fn new(store: Rc<ConfigStore>) -> Self {
        Self {
            store,
            min_revision: Cell::new(None),
            last_conflict: RefCell::new(None),
        }
    }

    /// Ends the cold start: revisions from `min_revision` on may be accepted.
    pub fn start_accepting(&self, min_revision: Revision) {
        self.min_revision.set(Some(min_revision));
    }

    /// Returns to the cold start, for instance after a pause of the process, when the answers
    /// received so far may be out of date.
    pub fn stop_accepting(&self) {
        self.min_revision.set(None);
    }

    /// Whether the cold start has ended.
    pub fn is_accepting(&self) -> bool {
        self.min_revision.get().is_some()
    }

    /// The outcome of offering a head of this version, which tells whether to fetch its parts.
    ///
    /// A revision that may not be accepted counts as older.
    pub fn evaluate(&self, revision: Revision, digest: Digest) -> OfferOutcome {
        match self.min_revision.get() {
            Some(min_revision) if revision >= min_revision => self.store.evaluate(revision, digest),
            _ => OfferOutcome::Older,
        }
    }

    /// Whether this conflicting version differs from that of the previous call.
    pub fn is_new_conflict(&self, revision: Revision, digest: Digest) -> bool {
        let conflict = Some((revision, digest));
        self.last_conflict.replace(conflict) != conflict
    }

    /// Puts an assembled configuration into effect if it may replace the current one.
    ///
    /// The revision is checked again here, because another source may have been faster, or the
    /// process may have been paused, while the parts were fetched.
    ///
    /// # Errors
    /// The pieces contradict each other, or break a rule of publication.
    pub fn accept(&self, assembly: Assembly) -> Result<OfferOutcome> {
        if self
            .min_revision
            .get()
            .is_none_or(|r| assembly.revision() < r)
        {
            return Ok(OfferOutcome::Older);
        }
        let (config, contents) = assembly.finish()?;
        Ok(self.store.accept(config, contents))
    }
}
