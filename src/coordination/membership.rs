//! Selection of peers, and of the nodes that poll the configuration service and the instance list.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use tokio::time::Instant;

use super::follow::empty_bucket_digest;
use crate::state::{
    config::Config,
    id::{Digest, ServiceName, UpstreamName, ZoneName},
    object::Upstream,
    publication::{Bucket, Head},
    store::EncodedParts,
};

/// Maximum number of peer links of a node, dialled and accepted.
pub const PEERS_MAX: usize = 16;
/// Maximum number of peers that a node dials. Links carry heartbeats in both directions, and a node
/// has on average as many accepted links as dialled ones: in total about 4 to its own service, 2 to
/// services it calls, 4 to its availability zone and 2 to other zones.
pub const DIALLED_MAX: usize = 6;
/// Maximum number of links that a node accepts. Without it, thousands of nodes would dial the
/// nodes of a service that many others call.
pub const ACCEPTED_MAX: usize = PEERS_MAX - DIALLED_MAX;
const DIALLED_OWN_SERVICE: usize = 2;
const DIALLED_CALLED_SERVICES: usize = 1;
const DIALLED_OWN_ZONE: usize = 2;

/// Number of nodes that poll the configuration service in each availability zone, and the instance
/// list for each service.
pub const READER_COUNT: usize = 2;
/// Time after which the readers of the configuration service change.
pub const EPOCH_DURATION_S: u64 = 60;
/// Time without a claim from a reader after which it is replaced. Links close after the same time
/// without a heartbeat.
pub const SILENCE_TIMEOUT_MS: u64 = 3_000;
/// Limit on doublings of the number of candidates: each [`SILENCE_TIMEOUT_MS`] without any claim
/// doubles it, up to 2^4 times [`READER_COUNT`].
///
/// With 32 zones at most 1,024 nodes then poll a configuration service that recovers, which is at
/// most 205 reads/s at the longest backoff of 5 s.
const CANDIDATE_DOUBLINGS_MAX: u32 = 4;

/// Rendezvous hash of a name under a salt; the lowest score is chosen.
pub fn rendezvous_score(salt: &[&str], name: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in salt.iter().chain([&name]) {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    let hash = hasher.finalize();
    u64::from_be_bytes(hash.as_bytes()[..8].try_into().unwrap_or_default())
}

/// Score of a node as a reader of its availability zone in an epoch; the lowest scores are chosen.
pub fn reader_score(zone: &ZoneName, epoch: u32, name: &UpstreamName) -> u64 {
    rendezvous_score(
        &["reader", zone.as_str(), &epoch.to_string()],
        name.as_str(),
    )
}

/// Candidates for peer links by group. A candidate may be in several groups.
#[derive(Debug, Default)]
struct PeerGroups<'a> {
    own_service: Vec<&'a Upstream>,
    called_services: Vec<&'a Upstream>,
    own_zone: Vec<&'a Upstream>,
    other_zones: Vec<&'a Upstream>,
}

/// Chooses the upstreams to dial. Upstreams in `avoid` are skipped: they are down, accept no more
/// links, or have already dialled this node.
pub fn choose_peers<'a>(
    config: &'a Config,
    own: &UpstreamName,
    service: &ServiceName,
    zone: &ZoneName,
    avoid: &BTreeSet<UpstreamName>,
) -> Vec<&'a Upstream> {
    let called = called_services(config, service);
    let mut groups = PeerGroups::default();
    for upstream in config.pieces.values().flat_map(|p| &p.upstreams) {
        if upstream.name == *own || avoid.contains(&upstream.name) {
            continue;
        }
        if upstream.service == *service {
            groups.own_service.push(upstream);
        }
        if called.contains(&upstream.service) {
            groups.called_services.push(upstream);
        }
        if upstream.zone == *zone {
            groups.own_zone.push(upstream);
        } else {
            groups.other_zones.push(upstream);
        }
    }
    let rank = |u: &&Upstream| rendezvous_score(&["peer", own.as_str()], u.name.as_str());
    let mut chosen: Vec<&Upstream> = Vec::new();
    let quotas = [
        (groups.own_service, DIALLED_OWN_SERVICE),
        (groups.called_services, DIALLED_CALLED_SERVICES),
        (groups.own_zone, DIALLED_OWN_ZONE),
        (groups.other_zones, DIALLED_MAX),
    ];
    for (mut group, quota) in quotas {
        group.sort_by_key(rank);
        let new = group.into_iter().filter(|u| !contains(&chosen, u));
        let room = quota.min(DIALLED_MAX - chosen.len());
        let more: Vec<_> = new.take(room).collect();
        chosen.extend(more);
    }
    if chosen.len() < DIALLED_MAX {
        let all = config.pieces.values().flat_map(|p| &p.upstreams);
        let mut rest: Vec<_> = all
            .filter(|u| u.name != *own && !avoid.contains(&u.name) && !contains(&chosen, u))
            .collect();
        rest.sort_by_key(rank);
        chosen.extend(rest.into_iter().take(DIALLED_MAX - chosen.len()));
    }
    chosen
}

fn contains(chosen: &[&Upstream], upstream: &Upstream) -> bool {
    chosen.iter().any(|c| c.name == upstream.name)
}

/// The services that `service` calls in any chain.
pub fn called_services(config: &Config, service: &ServiceName) -> BTreeSet<ServiceName> {
    let piece = config.pieces.get(service);
    let chains = piece.into_iter().flat_map(|p| &p.chains);
    let calls = chains.filter_map(|c| c.calls.get(service));
    calls.flatten().cloned().collect()
}

/// Estimates the number of nodes in an availability zone from the parts of the configuration that
/// this node holds.
///
/// A node holds no list of all nodes. Services are hashed evenly into buckets, so the buckets held
/// give an estimate of the number of services, and the pieces held give the mean number of
/// upstreams per service.
pub fn estimate_zone_size(config: &Config, contents: &EncodedParts) -> u64 {
    let head = contents.get(&config.digest);
    let head: Option<Head> = head.and_then(|c| serde_json::from_slice(c).ok());
    let empty = empty_bucket_digest();
    let filled: BTreeSet<_> = head.iter().flat_map(|h| &h.buckets).collect();
    let filled: Vec<_> = filled.into_iter().filter(|d| **d != empty).collect();
    let bucket = |digest: &&Digest| -> Option<Bucket> {
        serde_json::from_slice(contents.get(*digest)?).ok()
    };
    let sizes: Vec<_> = filled.iter().filter_map(bucket).collect();
    let held: usize = sizes.iter().map(|b| b.services.len()).sum();
    let services = held as f64 * filled.len() as f64 / sizes.len().max(1) as f64;
    let pieces = config.pieces.len().max(1) as f64;
    let upstreams = config.pieces.values().map(|p| p.upstreams.len());
    let per_service = upstreams.sum::<usize>() as f64 / pieces;
    let zones = config.deployment.zones.len().max(1) as f64;
    ((services.max(pieces) * per_service / zones).ceil() as u64).max(1)
}

/// Whether the node `own` reads the instance list for its service: the [`READER_COUNT`] live nodes
/// of the service with the lowest scores do.
pub fn reads_instance_list(
    config: &Config,
    service: &ServiceName,
    own: &UpstreamName,
    alive: impl Fn(&UpstreamName) -> bool,
) -> bool {
    let rank = |name: &UpstreamName| rendezvous_score(&["list", service.as_str()], name.as_str());
    let own_score = rank(own);
    let better = config
        .upstreams(service)
        .iter()
        .filter(|u| u.name != *own && alive(&u.name) && rank(&u.name) < own_score);
    better.count() < READER_COUNT
}

/// The latest claim received from a reader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct KnownClaim {
    counter: u32,
    received_at: Instant,
}

/// Election of the nodes that read the configuration service for an availability zone.
///
/// A node holds only a part of the configuration and can't list the nodes of its zone. It therefore
/// becomes a reader if its score is within the fraction of the score range that contains
/// [`READER_COUNT`] nodes on average. Readers claim their role with their score in heartbeats, and
/// a node stops reading while it receives claims from [`READER_COUNT`] nodes that rank before it.
#[derive(Debug)]
pub struct ReaderElection {
    zone: ZoneName,
    own: UpstreamName,
    epoch: u32,
    epoch_start: Instant,
    zone_size: u64,
    known_claims: BTreeMap<(u32, u64), KnownClaim>,
    last_received: Instant,
    counter: u32,
    is_reader: bool,
    failing_since: Option<Instant>,
    suspended_until: Option<Instant>,
}

impl ReaderElection {
    /// Creates an election in which no reader is known yet.
    pub fn new(zone: ZoneName, own: UpstreamName, now: Instant) -> Self {
        Self {
            zone,
            own,
            epoch: 0,
            epoch_start: now,
            zone_size: 1,
            known_claims: BTreeMap::new(),
            last_received: now,
            counter: 0,
            is_reader: false,
            failing_since: None,
            suspended_until: None,
        }
    }

    /// Sets the estimated number of nodes in the zone.
    pub fn set_zone_size(&mut self, nodes: u64) {
        self.zone_size = nodes.max(1);
    }

    /// The current epoch.
    pub fn epoch(&self) -> u32 {
        self.epoch
    }

    /// Whether this node currently reads the configuration service.
    pub fn is_reader(&self) -> bool {
        self.is_reader
    }

    /// Discards the claims of other nodes, which are stale after a pause of the process.
    pub fn forget(&mut self, now: Instant) {
        self.known_claims.clear();
        self.last_received = now;
        self.is_reader = false;
    }

    /// Adopts the epoch of a peer if it is later. Nodes have no common clock, so the node with the
    /// fastest clock sets the epoch.
    pub fn update_epoch(&mut self, epoch: u32, now: Instant) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.epoch_start = now;
        }
    }

    /// Records a claim received from a peer of the same zone.
    pub fn update(&mut self, score: u64, epoch: u32, counter: u32, now: Instant) {
        if epoch.abs_diff(self.epoch) > 1 || score == self.own_score(epoch) {
            return;
        }
        let known = self.known_claims.get(&(epoch, score));
        if known.is_some_and(|k| counter <= k.counter) {
            return;
        }
        self.known_claims.insert(
            (epoch, score),
            KnownClaim {
                counter,
                received_at: now,
            },
        );
        self.last_received = now;
    }

    fn own_score(&self, epoch: u32) -> u64 {
        reader_score(&self.zone, epoch, &self.own)
    }

    fn live_claims(&self, now: Instant) -> impl Iterator<Item = (&(u32, u64), &KnownClaim)> {
        let timeout = Duration::from_millis(SILENCE_TIMEOUT_MS);
        self.known_claims
            .iter()
            .filter(move |(_, c)| now < c.received_at + timeout)
    }

    fn better_claims(&self, now: Instant) -> usize {
        let own = (self.epoch, self.own_score(self.epoch));
        let ranks_before =
            |rank: &(u32, u64)| rank.0 > own.0 || (rank.0 == own.0 && rank.1 < own.1);
        self.live_claims(now)
            .filter(|(rank, _)| ranks_before(rank))
            .count()
    }

    fn candidate_fraction(&self, now: Instant) -> f64 {
        let periods = (now - self.last_received).as_millis() as u64 / SILENCE_TIMEOUT_MS;
        let doublings = (periods as u32).min(CANDIDATE_DOUBLINGS_MAX);
        READER_COUNT as f64 / self.zone_size as f64 * f64::from(1u32 << doublings)
    }

    /// Decides whether this node reads, and increments the counter of its claim if so. Must be
    /// called once per second.
    pub fn tick(&mut self, now: Instant) -> bool {
        if now >= self.epoch_start + Duration::from_secs(EPOCH_DURATION_S) {
            self.epoch = self.epoch.saturating_add(1);
            self.epoch_start = now;
        }
        let epoch = self.epoch;
        let timeout = Duration::from_millis(SILENCE_TIMEOUT_MS);
        self.known_claims
            .retain(|rank, c| rank.0.saturating_add(1) >= epoch && now < c.received_at + timeout);
        let is_suspended = self.suspended_until.is_some_and(|until| now < until);
        let is_candidate =
            self.own_score(epoch) as f64 <= self.candidate_fraction(now) * u64::MAX as f64;
        self.is_reader = !is_suspended
            && self.better_claims(now) < READER_COUNT
            && (self.is_reader || is_candidate);
        if self.is_reader {
            self.counter = self.counter.wrapping_add(1);
        }
        self.is_reader
    }

    /// Records whether a read of the configuration service succeeded. A reader whose reads have
    /// failed for [`SILENCE_TIMEOUT_MS`] stops reading for three times as long, so that a node that
    /// can reach the service takes over.
    pub fn record_read(&mut self, succeeded: bool, now: Instant) {
        if succeeded {
            self.failing_since = None;
            return;
        }
        let since = *self.failing_since.get_or_insert(now);
        if now >= since + Duration::from_millis(SILENCE_TIMEOUT_MS) {
            self.failing_since = None;
            self.is_reader = false;
            self.suspended_until = Some(now + Duration::from_millis(3 * SILENCE_TIMEOUT_MS));
        }
    }

    /// The best known claims, including this node's own while it reads, as (score, epoch, counter).
    pub fn claims(&self, now: Instant) -> Vec<(u64, u32, u32)> {
        let others = self
            .live_claims(now)
            .map(|(rank, c)| (rank.1, rank.0, c.counter));
        let mut all: Vec<_> = others.collect();
        if self.is_reader {
            all.push((self.own_score(self.epoch), self.epoch, self.counter));
        }
        all.sort_by_key(|c| (std::cmp::Reverse(c.1), c.0));
        all.truncate(READER_COUNT);
        all
    }
}
