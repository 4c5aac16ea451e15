//! Choice of peers, of readers of the configuration service, and of readers of the instance list.

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

/// Peers of a node, dialled and accepted.
pub const PEERS_MAX: usize = 16;
/// Peers that a node dials. Links carry heartbeats in both directions, so a node has on average
/// as many accepted links as dialled ones: about 4 to its own service, 2 to services it calls, 4
/// to its availability zone and 2 to other zones.
pub const DIALLED_MAX: usize = 6;
/// Links that a node accepts. Without this bound a service that many others call would be dialled
/// by thousands of nodes.
pub const ACCEPTED_MAX: usize = PEERS_MAX - DIALLED_MAX;
const DIAL_OWN: usize = 2;
const DIAL_CALLED: usize = 1;
const DIAL_ZONE: usize = 2;

/// Readers of the configuration service in each availability zone.
pub const READER_COUNT: usize = 2;
/// Time between changes of the readers.
pub const EPOCH_S: u64 = 60;
/// A reader that has not been heard for this time is replaced.
pub const SILENCE_TIMEOUT_MS: u64 = 3_000;
/// Each further period of silence doubles the number of candidates, up to 2^4 times the readers.
///
/// With 32 zones at most 1,024 nodes then poll a configuration service that comes back, at most
/// 205 reads/s at the longest backoff of 5 s.
const DOUBLINGS_MAX: u32 = 4;

/// Rendezvous hash of a name under a salt; the lowest wins.
pub fn rendezvous_score(salt: &[&str], name: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in salt.iter().chain([&name]) {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    let hash = hasher.finalize();
    u64::from_be_bytes(hash.as_bytes()[..8].try_into().unwrap_or_default())
}

/// Score of a node as a reader of its availability zone in an epoch.
pub fn reader_score(zone: &ZoneName, epoch: u32, name: &UpstreamName) -> u64 {
    rendezvous_score(
        &["reader", zone.as_str(), &epoch.to_string()],
        name.as_str(),
    )
}

/// Candidates for links, best first, in four groups.
#[derive(Debug, Default)]
struct Groups<'a> {
    own: Vec<&'a Upstream>,
    called: Vec<&'a Upstream>,
    zone: Vec<&'a Upstream>,
    other: Vec<&'a Upstream>,
}

/// The upstreams to dial, given those that must be avoided for now (down, full, or linked already
/// from their side).
pub fn choose_peers<'a>(
    config: &'a Config,
    own: &UpstreamName,
    service: &ServiceName,
    zone: &ZoneName,
    avoid: &BTreeSet<UpstreamName>,
) -> Vec<&'a Upstream> {
    let called = called_services(config, service);
    let mut groups = Groups::default();
    for upstream in config.pieces.values().flat_map(|p| &p.upstreams) {
        if upstream.name == *own || avoid.contains(&upstream.name) {
            continue;
        }
        if upstream.service == *service {
            groups.own.push(upstream);
        }
        if called.contains(&upstream.service) {
            groups.called.push(upstream);
        }
        if upstream.zone == *zone {
            groups.zone.push(upstream);
        } else {
            groups.other.push(upstream);
        }
    }
    let rank = |u: &&Upstream| rendezvous_score(&["peer", own.as_str()], u.name.as_str());
    let mut chosen: Vec<&Upstream> = Vec::new();
    let quotas = [
        (groups.own, DIAL_OWN),
        (groups.called, DIAL_CALLED),
        (groups.zone, DIAL_ZONE),
        (groups.other, DIALLED_MAX),
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

/// The services that `service` calls on any chain.
pub fn called_services(config: &Config, service: &ServiceName) -> BTreeSet<ServiceName> {
    let piece = config.pieces.get(service);
    let chains = piece.into_iter().flat_map(|p| &p.chains);
    let calls = chains.filter_map(|c| c.calls.get(service));
    calls.flatten().cloned().collect()
}

/// An estimate of the number of nodes in an availability zone from the parts that a node holds.
///
/// A node holds no list of all nodes. Services hash evenly to the buckets, so the buckets held
/// give the number of services, and the pieces held give the upstreams per service.
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

/// Whether a node of this rank reads the instance list for its service: the first two alive do.
pub fn reads_instance_list(
    config: &Config,
    service: &ServiceName,
    own: &UpstreamName,
    alive: impl Fn(&UpstreamName) -> bool,
) -> bool {
    let rank = |name: &UpstreamName| rendezvous_score(&["list", service.as_str()], name.as_str());
    let mine = rank(own);
    let better = config
        .upstreams(service)
        .iter()
        .filter(|u| u.name != *own && alive(&u.name) && rank(&u.name) < mine);
    better.count() < READER_COUNT
}

/// A claim to be a reader, as known at this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Heard {
    counter: u32,
    at: Instant,
}

/// Who reads the configuration service for an availability zone.
///
/// A node that holds a part of the configuration cannot list the nodes of its zone. It therefore
/// compares its own score with the share of scores that contains two nodes on average, and
/// readers announce their scores on heartbeats. A node steps back while it hears two better ones.
#[derive(Debug)]
pub struct ReaderElection {
    zone: ZoneName,
    own: UpstreamName,
    epoch: u32,
    epoch_since: Instant,
    size: u64,
    heard: BTreeMap<(u32, u64), Heard>,
    last: Instant,
    counter: u32,
    reading: bool,
    failing_since: Option<Instant>,
    barred_until: Option<Instant>,
}

impl ReaderElection {
    /// No reader is known yet.
    pub fn new(zone: ZoneName, own: UpstreamName, now: Instant) -> Self {
        Self {
            zone,
            own,
            epoch: 0,
            epoch_since: now,
            size: 1,
            heard: BTreeMap::new(),
            last: now,
            counter: 0,
            reading: false,
            failing_since: None,
            barred_until: None,
        }
    }

    /// Sets the number of nodes in the zone.
    pub fn set_zone_size(&mut self, nodes: u64) {
        self.size = nodes.max(1);
    }

    /// The epoch.
    pub fn epoch(&self) -> u32 {
        self.epoch
    }

    /// Whether this node reads.
    pub fn is_reader(&self) -> bool {
        self.reading
    }

    /// Drops the claims of others, as after a pause.
    pub fn forget(&mut self, now: Instant) {
        self.heard.clear();
        self.last = now;
        self.reading = false;
    }

    /// Follows the epoch of a peer. Nodes have no common clock: the fastest node leads.
    pub fn update_epoch(&mut self, epoch: u32, now: Instant) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.epoch_since = now;
        }
    }

    /// Learns a claim from a peer of the same zone.
    pub fn update(&mut self, score: u64, epoch: u32, counter: u32, now: Instant) {
        if epoch.abs_diff(self.epoch) > 1 || score == self.score_in(epoch) {
            return;
        }
        let known = self.heard.get(&(epoch, score));
        if known.is_some_and(|k| counter <= k.counter) {
            return;
        }
        self.heard
            .insert((epoch, score), Heard { counter, at: now });
        self.last = now;
    }

    fn score_in(&self, epoch: u32) -> u64 {
        reader_score(&self.zone, epoch, &self.own)
    }

    fn live(&self, now: Instant) -> impl Iterator<Item = (&(u32, u64), &Heard)> {
        let silence = Duration::from_millis(SILENCE_TIMEOUT_MS);
        self.heard.iter().filter(move |(_, h)| now < h.at + silence)
    }

    fn better(&self, now: Instant) -> usize {
        let mine = (self.epoch, self.score_in(self.epoch));
        let ranks_before = |at: &(u32, u64)| at.0 > mine.0 || (at.0 == mine.0 && at.1 < mine.1);
        self.live(now).filter(|(at, _)| ranks_before(at)).count()
    }

    fn share(&self, now: Instant) -> f64 {
        let periods = (now - self.last).as_millis() as u64 / SILENCE_TIMEOUT_MS;
        let doublings = (periods as u32).min(DOUBLINGS_MAX);
        READER_COUNT as f64 / self.size as f64 * f64::from(1u32 << doublings)
    }

    /// Decides once per second whether this node reads. Raises its counter when it does.
    pub fn tick(&mut self, now: Instant) -> bool {
        if now >= self.epoch_since + Duration::from_secs(EPOCH_S) {
            self.epoch = self.epoch.saturating_add(1);
            self.epoch_since = now;
        }
        let epoch = self.epoch;
        let silence = Duration::from_millis(SILENCE_TIMEOUT_MS);
        self.heard
            .retain(|at, h| at.0.saturating_add(1) >= epoch && now < h.at + silence);
        let barred = self.barred_until.is_some_and(|until| now < until);
        let chosen = self.score_in(epoch) as f64 <= self.share(now) * u64::MAX as f64;
        self.reading = !barred && self.better(now) < READER_COUNT && (self.reading || chosen);
        if self.reading {
            self.counter = self.counter.wrapping_add(1);
        }
        self.reading
    }

    /// Records whether a read of the configuration service worked. A reader that has failed for
    /// [`SILENCE_TIMEOUT_MS`] steps back for a time, so that a node with a working path takes over.
    pub fn record_read(&mut self, worked: bool, now: Instant) {
        if worked {
            self.failing_since = None;
            return;
        }
        let since = *self.failing_since.get_or_insert(now);
        if now >= since + Duration::from_millis(SILENCE_TIMEOUT_MS) {
            self.failing_since = None;
            self.reading = false;
            self.barred_until = Some(now + Duration::from_millis(3 * SILENCE_TIMEOUT_MS));
        }
    }

    /// The best claims known, with the own one while reading, as (score, epoch, counter).
    pub fn claims(&self, now: Instant) -> Vec<(u64, u32, u32)> {
        let heard = self.live(now).map(|(at, h)| (at.1, at.0, h.counter));
        let mut all: Vec<_> = heard.collect();
        if self.reading {
            all.push((self.score_in(self.epoch), self.epoch, self.counter));
        }
        all.sort_by_key(|c| (std::cmp::Reverse(c.1), c.0));
        all.truncate(READER_COUNT);
        all
    }
}
