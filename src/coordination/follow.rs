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

/// Services linked to each service, so that the graph of peers is connected over all services.
const LINKS: u8 = 3;
/// Nodes asked at an empty start.
pub const COLD_START_PEERS_MAX: usize = 5;

/// Errors of accepting a publication.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum FollowError {
    /// A part does not match its digest or is malformed.
    #[error("could not accept a part of the publication: {0}")]
    Part(#[from] state::Error),
    /// The head is of another format.
    #[error("could not accept publication format {0}: expected {FORMAT}")]
    Format(u32),
    /// The head has the wrong number of buckets.
    #[error("could not accept a head with {0} buckets: expected {BUCKETS}")]
    Buckets(usize),
    /// The pieces do not form a valid set.
    #[error("could not accept the set of pieces: {0}")]
    Set(String),
    /// A piece does not fit the place it is listed at.
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
    /// Service of a piece.
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

/// The bucket of a link: from a place given by hash, the first that has services.
///
/// A small fleet leaves most buckets empty; without this rule its nodes would have no links.
fn link_bucket(head: &Head, service: &ServiceName, link: u8) -> usize {
    let start = hash(&[service.as_str().as_bytes(), &[link]]) as usize % BUCKETS;
    let empty = empty_bucket_digest();
    let mut places = (0..BUCKETS).map(|step| (start + step) % BUCKETS);
    places
        .find(|at| head.buckets[*at] != empty)
        .unwrap_or(start)
}

/// The digest of a bucket without services.
pub fn empty_bucket_digest() -> Digest {
    Digest::of(&encode(&Bucket::default()))
}

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
    pub fn bucket(&self, at: usize) -> Option<Digest> {
        self.head.buckets.get(at).copied()
    }

    /// The parts to fetch next; empty when all parts that the node needs are present.
    ///
    /// Which pieces are needed is known only once the own piece and the buckets are present, so
    /// this is asked again after each round. Parts that `held` has already are taken from there.
    ///
    /// # Errors
    /// A held part does not fit.
    pub fn missing_parts(&mut self, held: &ConfigStore) -> Result<Vec<MissingPart>> {
        loop {
            let wanted = self.next();
            let mut missing = Vec::new();
            let mut found = false;
            for part in wanted {
                match held.part(&part.digest) {
                    Some(content) => {
                        self.add(&part, content)?;
                        found = true;
                    }
                    None => missing.push(part),
                }
            }
            if !found {
                return Ok(missing);
            }
        }
    }

    fn next(&self) -> Vec<MissingPart> {
        let mut services = BTreeSet::from([self.service.clone()]);
        if let Some(own) = self.pieces.get(&self.service) {
            services.extend(own.chains.iter().flat_map(|c| c.services()));
        }
        let mut buckets: BTreeSet<_> = services.iter().map(bucket_of).collect();
        for link in 0..LINKS {
            let at = link_bucket(&self.head, &self.service, link);
            buckets.insert(at);
            let bucket = self.buckets.get(&at);
            services.extend(bucket.and_then(|b| link_service(&self.service, link, b)));
        }
        let missing = buckets.iter().filter(|at| !self.buckets.contains_key(at));
        let mut wanted: Vec<_> = missing
            .map(|at| MissingPart {
                kind: PartKind::Bucket,
                digest: self.head.buckets[*at],
                service: None,
            })
            .collect();
        // Buckets without services share one digest and are wanted once.
        wanted.sort_by_key(|w| w.digest);
        wanted.dedup();
        for service in services {
            let listed = self
                .buckets
                .get(&bucket_of(&service))
                .and_then(|b| b.services.get(&service));
            if let Some(digest) = listed
                && !self.pieces.contains_key(&service)
            {
                wanted.push(MissingPart {
                    kind: PartKind::Piece,
                    digest: *digest,
                    service: Some(service),
                });
            }
        }
        wanted
    }

    /// Adds a part that was fetched.
    ///
    /// # Errors
    /// The content does not match its digest, is malformed, or is a piece of another service.
    pub fn add(&mut self, part: &MissingPart, content: Bytes) -> Result<()> {
        match part.kind {
            PartKind::Bucket => {
                let bucket: Bucket = decode("bucket", part.digest, &content)?;
                for (at, digest) in self.head.buckets.iter().enumerate() {
                    if *digest == part.digest {
                        self.buckets.insert(at, bucket.clone());
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
    /// The pieces do not form a valid set together.
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
/// Two pieces contradict each other, or the set breaks a rule of publication.
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
        ..ObjectSet::of(objects.into_values())
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
/// Its service, or the service of an upstream or a limit, is another one.
pub fn check_piece(service: &ServiceName, piece: &Piece) -> Result<()> {
    let fault = |reason| {
        Err(FollowError::Piece {
            service: service.clone(),
            reason,
        })
    };
    if piece.service.name != *service {
        return fault("it is of another service");
    }
    if piece.upstreams.iter().any(|u| u.service != *service) {
        return fault("an upstream is of another service");
    }
    if piece.limits.iter().any(|l| l.service != *service) {
        return fault("a limit is of another service");
    }
    let names: BTreeSet<_> = piece.upstreams.iter().map(|u| &u.name).collect();
    if names.len() != piece.upstreams.len() {
        return fault("two upstreams have one name");
    }
    Ok(())
}

/// The rule for a node that starts empty: no publication counts until a majority of the nodes
/// asked has named its revision, so that a stale configuration service cannot bring one back.
#[derive(Debug, Default)]
pub struct ColdStart {
    asked: BTreeSet<SocketAddr>,
    named: BTreeMap<SocketAddr, Revision>,
}

impl ColdStart {
    /// A start at which these nodes are asked; at most [`COLD_START_PEERS_MAX`] of them.
    pub fn new(asked: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self {
            asked: asked.into_iter().take(COLD_START_PEERS_MAX).collect(),
            named: BTreeMap::new(),
        }
    }

    /// Nodes that have not answered yet.
    pub fn unanswered(&self) -> Vec<SocketAddr> {
        let open = |at: &&SocketAddr| !self.named.contains_key(at);
        self.asked.iter().filter(open).copied().collect()
    }

    /// Records an answer; revision 0 from a node that is empty itself.
    pub fn record_answer(&mut self, from: SocketAddr, revision: Revision) {
        if self.asked.contains(&from) {
            let named = self.named.entry(from).or_default();
            *named = (*named).max(revision);
        }
    }

    /// The lowest revision that may be accepted, once a majority has answered.
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
        let majority = self.named.len() * 2 > self.asked.len() || self.asked.is_empty();
        let highest = self.named.values().copied().max().unwrap_or_default();
        majority.then_some(highest)
    }
}

/// Decides which publications take effect at a node.
#[derive(Debug)]
pub struct Follower {
    store: Rc<ConfigStore>,
    floor: Cell<Option<Revision>>,
    reported: RefCell<Option<(Revision, Digest)>>,
}

impl Follower {
    /// A follower that starts empty and accepts nothing before [`Follower::start_accepting`].
    pub fn new(store: Rc<ConfigStore>) -> Self {
        Self {
            store,
            floor: Cell::new(None),
            reported: RefCell::new(None),
        }
    }

    /// Ends the empty start: revisions from `floor` on may be accepted.
    pub fn start_accepting(&self, floor: Revision) {
        self.floor.set(Some(floor));
    }

    /// Starts the empty start over, as after a pause: the answers so far may be out of date.
    pub fn stop_accepting(&self) {
        self.floor.set(None);
    }

    /// Whether the empty start has ended.
    pub fn is_accepting(&self) -> bool {
        self.floor.get().is_some()
    }

    /// Whether a head is worth fetching parts for.
    pub fn evaluate(&self, revision: Revision, digest: Digest) -> OfferOutcome {
        match self.floor.get() {
            Some(floor) if revision >= floor => self.store.evaluate(revision, digest),
            _ => OfferOutcome::Older,
        }
    }

    /// Whether this conflicting version was not reported before.
    pub fn is_new_conflict(&self, revision: Revision, digest: Digest) -> bool {
        let found = Some((revision, digest));
        self.reported.replace(found) != found
    }

    /// Puts an assembled configuration in effect if it may replace the current one.
    ///
    /// The check is repeated here because other sources may have been faster, or the process may
    /// have been paused, while the parts were fetched.
    ///
    /// # Errors
    /// The pieces do not form a valid set together.
    pub fn accept(&self, assembly: Assembly) -> Result<OfferOutcome> {
        if self.floor.get().is_none_or(|f| assembly.revision() < f) {
            return Ok(OfferOutcome::Older);
        }
        let (config, contents) = assembly.finish()?;
        Ok(self.store.accept(config, contents))
    }
}
