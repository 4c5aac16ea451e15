//! Guards the election of readers, the choice of peers, the cold start and the decision to leave.

use std::{collections::BTreeSet, time::Duration};

use comfreybay::{
    coordination::{
        follow::ColdStart,
        leave::{LeaveReason, LeaveTracker},
        membership::{DIALLED_MAX, READER_COUNT, ReaderElection, choose_peers},
    },
    state::{
        config::Config,
        id::{Revision, ZoneName},
    },
};
use tokio::time::Instant;

const NODES: usize = 812;

fn zone() -> ZoneName {
    "z".parse().expect("valid name")
}

fn fleet(now: Instant) -> Vec<ReaderElection> {
    let node = |n: usize| {
        let name = format!("u{n}").parse().expect("valid name");
        let mut readers = ReaderElection::new(zone(), name, now);
        readers.set_zone_size(NODES as u64);
        readers
    };
    (0..NODES).map(node).collect()
}

/// Advances a zone by one second: heartbeats propagate claims by one hop along a random graph.
fn advance(
    fleet: &mut [ReaderElection],
    dead: &BTreeSet<usize>,
    rng: &mut fastrand::Rng,
    now: Instant,
) {
    for (at, node) in fleet.iter_mut().enumerate() {
        if !dead.contains(&at) {
            node.tick(now);
        }
    }
    for at in 0..fleet.len() {
        for _ in 0..2 {
            let other = rng.usize(..fleet.len());
            if dead.contains(&at) || dead.contains(&other) {
                continue;
            }
            let (here, there) = (fleet[at].claims(now), fleet[other].claims(now));
            for (score, epoch, counter) in here {
                fleet[other].update(score, epoch, counter, now);
            }
            for (score, epoch, counter) in there {
                fleet[at].update(score, epoch, counter, now);
            }
            let epoch = fleet[at].epoch().max(fleet[other].epoch());
            fleet[at].update_epoch(epoch, now);
            fleet[other].update_epoch(epoch, now);
        }
    }
}

fn readers(fleet: &[ReaderElection], dead: &BTreeSet<usize>) -> Vec<usize> {
    let alive = |at: &usize| !dead.contains(at) && fleet[*at].is_reader();
    (0..fleet.len()).filter(alive).collect()
}

/// Guards against a zone in which many nodes, or none, poll the configuration service.
///
/// 812 nodes is one zone at the design scale. Readers beyond two cost only reads: 2,000 reads/s
/// over 32 zones allow 62 pending watches per zone.
#[test]
fn few_nodes_of_a_zone_are_readers() {
    for seed in 0..5 {
        let start = Instant::now();
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut fleet, none) = (fleet(start), BTreeSet::new());
        let mut most = 0;
        for s in 1..180 {
            advance(&mut fleet, &none, &mut rng, start + Duration::from_secs(s));
            let count = readers(&fleet, &none).len();
            most = most.max(count);
            assert!(s < 20 || count >= 1, "seed {seed}: no reader after {s} s");
        }
        assert!(
            most <= 62,
            "seed {seed}: {most} readers at once, at most 62 allowed"
        );
        let last = readers(&fleet, &none).len();
        assert!(
            last <= 4 * READER_COUNT,
            "seed {seed}: {last} readers at the end"
        );
    }
}

/// Guards against a zone that stays without a reader after its readers have died.
#[test]
fn dead_readers_are_replaced() {
    for seed in 0..5 {
        let start = Instant::now();
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut fleet = fleet(start);
        let mut dead = BTreeSet::new();
        let mut s = 0;
        while readers(&fleet, &dead).is_empty() || s < 30 {
            s += 1;
            advance(&mut fleet, &dead, &mut rng, start + Duration::from_secs(s));
            assert!(s < 60, "seed {seed}: no reader after {s} s");
        }
        dead.extend(readers(&fleet, &dead));
        let died = s;
        while readers(&fleet, &dead).is_empty() {
            s += 1;
            advance(&mut fleet, &dead, &mut rng, start + Duration::from_secs(s));
            assert!(s - died <= 15, "seed {seed}: no new reader after 15 s");
        }
        let count = readers(&fleet, &dead).len();
        assert!(
            count <= 62,
            "seed {seed}: {count} new readers at once, at most 62 allowed"
        );
    }
}

/// Guards against a node that remains a reader although it cannot reach the configuration service.
#[test]
fn failing_reader_withdraws() {
    let start = Instant::now();
    let mut readers = ReaderElection::new(zone(), "u1".parse().expect("valid name"), start);
    let at = |s| start + Duration::from_secs(s);
    assert!(readers.tick(at(1)));
    readers.record_read(false, at(1));
    assert!(readers.tick(at(2)));
    readers.record_read(false, at(5));
    assert!(!readers.tick(at(5)));
    assert!(readers.tick(at(20)));
}

fn config(services: usize, upstreams: usize) -> Config {
    let names: Vec<_> = (0..services).map(|s| format!("s{s}")).collect();
    let piece = |s: usize| {
        let upstream = |u: usize| {
            format!(
                r#"{{"name":"s{s}-{u}","owner":"o","service":"s{s}","zone":"z{}",
                "public":"10.0.{s}.{u}:1","peer":"10.0.{s}.{u}:2","control":"10.0.{s}.{u}:3",
                "slots":10,"connections":20}}"#,
                u % 3
            )
        };
        let upstreams: Vec<_> = (0..upstreams).map(upstream).collect();
        let chain = format!(
            r#"{{"name":"c{s}","owner":"o","class":"k","entry":"s{s}","method":"GET","path":"/",
            "calls":{{"s{s}":["{}"]}}}}"#,
            names[(s + 1) % services]
        );
        format!(
            r#""s{s}":{{"service":{{"name":"s{s}","owner":"o"}},"upstreams":[{}],"limits":[],
            "chains":[{chain}],"classes":[]}}"#,
            upstreams.join(",")
        )
    };
    let pieces: Vec<_> = (0..services).map(piece).collect();
    let pieces = serde_json::from_str(&format!("{{{}}}", pieces.join(","))).expect("valid pieces");
    let deployment = r#"{"name":"d","owner":"o","favour":"goodput","zones":[]}"#;
    Config {
        revision: Revision(1),
        digest: comfreybay::state::id::Digest::of(b""),
        deployment: serde_json::from_str(deployment).expect("valid deployment"),
        pieces,
    }
}

/// Guards against peers that are all in one zone or one service, and against peers to be avoided.
#[test]
fn peers_are_spread() {
    let config = config(6, 9);
    let own = "s0-0".parse().expect("valid name");
    let service = "s0".parse().expect("valid name");
    let zone = "z0".parse().expect("valid name");
    let choose = |avoid: &_| choose_peers(&config, &own, &service, &zone, avoid);
    let chosen = choose(&BTreeSet::new());
    assert_eq!(chosen.len(), DIALLED_MAX);
    let count = |f: &dyn Fn(&comfreybay::state::object::Upstream) -> bool| {
        chosen.iter().filter(|u| f(u)).count()
    };
    assert!(count(&|u| u.service == service) >= 2);
    assert!(count(&|u| u.service.as_str() == "s1") >= 1);
    assert!(count(&|u| u.zone == zone) >= 2);
    assert!(count(&|u| u.zone != zone) >= 1);
    let avoid: BTreeSet<_> = chosen.iter().map(|u| u.name.clone()).collect();
    assert_eq!(avoid.len(), DIALLED_MAX, "a peer was chosen twice");
    assert!(choose(&avoid).iter().all(|u| !avoid.contains(&u.name)));
    let upstreams = config.pieces.values().flat_map(|p| &p.upstreams);
    let all: BTreeSet<_> = upstreams.map(|u| u.name.clone()).collect();
    assert!(choose(&all).is_empty());
}

/// Guards against a cold start that trusts a stale configuration service.
#[test]
fn cold_start_waits_for_a_majority() {
    let at = |n: u8| ([10, 0, 0, n], 3).into();
    let mut start = ColdStart::new((1..=9).map(at));
    start.record_answer(at(1), Revision(3));
    start.record_answer(at(2), Revision(8));
    start.record_answer(at(2), Revision(2));
    start.record_answer(at(9), Revision(99));
    assert_eq!(
        start.min_revision(),
        None,
        "2 of 5 nodes have answered, not a majority"
    );
    start.record_answer(at(3), Revision(0));
    assert_eq!(start.min_revision(), Some(Revision(8)));
    assert_eq!(start.unanswered(), [at(4), at(5)]);
}

/// Guards against a node that leaves because of an instance list entry of its previous instance.
#[test]
fn stale_instance_list_does_not_stop_a_new_instance() {
    let start = Instant::now();
    let at = |s| start + Duration::from_secs(s);
    let mut leave = LeaveTracker::new(start);
    leave.update_listed(true, at(1));
    assert_eq!(leave.reason(), None);
    leave.update_listed(false, at(2));
    leave.update_listed(true, at(3));
    assert_eq!(leave.reason(), Some(LeaveReason::Listed));
    leave.request_stop();
    assert_eq!(leave.reason(), Some(LeaveReason::Listed));
    let mut late = LeaveTracker::new(start);
    late.update_listed(true, at(31));
    assert_eq!(late.reason(), Some(LeaveReason::Listed));
}
