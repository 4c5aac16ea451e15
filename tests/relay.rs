//! Guards against reads of the platform's store that grow with the fleet, and against changes that
//! come late, or not at all, when the nodes that read it for others fail.

mod support;

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use comfreybay::{
    state::{
        id::Revision,
        mesh::{
            backend::{InstanceId, Phase},
            readers::{READERS_PER_ZONE, Source},
        },
    },
    transport::memory::Place,
};
use support::{
    local,
    mesh::{MeshFleet, route, sealed, table},
    script,
    store::STORE,
};
use tokio::time::{Instant, sleep};

/// Time within which a change must be in effect at each node that reaches the store, and in which
/// a leaving server must get no more requests.
const BOUND: Duration = Duration::from_secs(2);
const FRONT: u8 = 10;
const DEEP: u8 = 20;

/// A fleet in one zone, after its nodes have found each other.
async fn fleet() -> MeshFleet {
    let script = script(|seen| async move { sealed(&seen, &seen.upstream) });
    let services = [("front", FRONT, 8), ("deep", DEEP, 8)];
    let fleet = MeshFleet::with(&services, vec![route("a", "deep")], script).await;
    sleep(Duration::from_secs(10)).await;
    fleet
}

/// Names of the nodes that read the store themselves.
fn readers(fleet: &MeshFleet) -> Vec<String> {
    let reads = |name: &&String| *fleet.pairs[*name].mesh.source.borrow() == Source::Store;
    fleet.pairs.keys().filter(reads).cloned().collect()
}

fn followers(fleet: &MeshFleet) -> Vec<String> {
    let readers = readers(fleet);
    let others = fleet.pairs.keys().filter(|name| !readers.contains(name));
    others.cloned().collect()
}

fn version(fleet: &MeshFleet, name: &str) -> u64 {
    let routes = fleet.pairs[name].mesh.routes.borrow();
    routes.as_ref().map_or(0, |table| table.revision().0)
}

/// Publishes a version; returns when it was in effect at each of `nodes`, at most after 10 s.
async fn time_to_effect(fleet: &MeshFleet, revision: u64, nodes: &[String]) -> Duration {
    let put = Instant::now();
    fleet.put_routes(table(revision, vec![route("a", "deep")]));
    while nodes.iter().any(|name| version(fleet, name) < revision) {
        if put.elapsed() > Duration::from_secs(10) {
            break;
        }
        sleep(Duration::from_millis(10)).await;
    }
    put.elapsed()
}

/// Sends requests from a node to the other service, which tells both sides how far the other has
/// read.
async fn talk(fleet: &MeshFleet, name: &str) {
    for _ in 0..3 {
        let headers = [("x-id", "1"), ("x-left", "1000")];
        let _ = fleet.post(name, "/a/", &headers).await;
    }
}

fn ip(fleet: &MeshFleet, name: &str) -> std::net::IpAddr {
    fleet.pairs[name].entry.address.ip()
}

/// Guards against one read of each node at each change, and against watches that end all the time
/// where nothing changes.
#[tokio::test(start_paused = true)]
async fn only_the_readers_of_a_zone_read_the_store() {
    local(async {
        let fleet = fleet().await;
        assert_eq!(readers(&fleet).len(), READERS_PER_ZONE);
        let before = fleet.store.watches.get();
        let all: Vec<_> = fleet.pairs.keys().cloned().collect();
        for revision in 2..=6 {
            let took = time_to_effect(&fleet, revision, &all).await;
            assert!(took < BOUND / 2, "version {revision} took {took:?}");
            sleep(Duration::from_secs(2)).await;
        }
        let watches = fleet.store.watches.get() - before;
        // Five changes end one watch of each reader; others end by themselves, four a second.
        let most = READERS_PER_ZONE * 5 + 4 * 11;
        assert!(
            watches <= most,
            "{watches} watches, expected at most {most}"
        );
    })
    .await;
}

/// Guards against nodes that miss a change when all readers of their zone crash just before it.
#[tokio::test(start_paused = true)]
async fn change_is_in_effect_when_all_readers_crash() {
    local(async {
        let fleet = fleet().await;
        let others = followers(&fleet);
        for name in readers(&fleet) {
            fleet.pairs[&name].node.crash();
        }
        let took = time_to_effect(&fleet, 2, &others).await;
        assert!(took < BOUND, "{took:?}");
    })
    .await;
}

/// Guards against nodes that wait for readers which are gone without closing a connection.
#[tokio::test(start_paused = true)]
async fn change_is_in_effect_when_all_readers_are_cut_off() {
    local(async {
        let fleet = fleet().await;
        let (readers, others) = (readers(&fleet), followers(&fleet));
        for reader in &readers {
            for other in fleet.pairs.keys().filter(|name| *name != reader) {
                let place = |name: &str| Place::Host(ip(&fleet, name));
                fleet.network.cut_both(place(reader), place(other));
            }
            fleet
                .network
                .cut_both(Place::Host(ip(&fleet, reader)), Place::Host(STORE.ip()));
        }
        let took = time_to_effect(&fleet, 2, &others).await;
        assert!(took < BOUND, "{took:?}");
    })
    .await;
}

/// Guards against nodes that rely on readers which the store turns away while it serves others.
#[tokio::test(start_paused = true)]
async fn change_is_in_effect_when_the_store_turns_the_readers_away() {
    local(async {
        let fleet = fleet().await;
        let others = followers(&fleet);
        for name in readers(&fleet) {
            fleet.store.turn_away(ip(&fleet, &name));
        }
        for revision in 2..=4 {
            let took = time_to_effect(&fleet, revision, &others).await;
            assert!(took < BOUND, "version {revision} took {took:?}");
            sleep(Duration::from_secs(4)).await;
        }
    })
    .await;
}

/// Guards against nodes that rely on readers whose connections to the store have fallen silent,
/// while other nodes have read further.
#[tokio::test(start_paused = true)]
async fn change_is_in_effect_when_most_readers_hear_nothing() {
    local(async {
        let fleet = fleet().await;
        let others = followers(&fleet);
        for name in readers(&fleet).iter().skip(1) {
            fleet.store.silence(ip(&fleet, name));
        }
        let put = Instant::now();
        fleet.put_routes(table(2, vec![route("a", "deep")]));
        while others.iter().any(|name| version(&fleet, name) < 2) {
            for name in &others {
                talk(&fleet, name).await;
            }
            sleep(Duration::from_millis(100)).await;
            assert!(put.elapsed() < BOUND, "{:?}", put.elapsed());
        }
    })
    .await;
}

/// Guards against a server that has left and is used again, because a node changes to a reader that
/// passes on changes which the node has read before.
#[tokio::test(start_paused = true)]
async fn changed_reader_brings_no_server_back() {
    local(async {
        let fleet = fleet().await;
        let mut leaving = fleet.pairs["deep-0"].entry.clone();
        leaving.phase = Phase::Draining;
        fleet.put_entry(leaving);
        fleet.remove_entry("deep-1");
        sleep(BOUND * 2).await;
        // Each of these ends the relation of some nodes to their reader.
        for name in readers(&fleet) {
            fleet.pairs[&name].node.crash();
            fleet.put_routes(table(
                version(&fleet, "front-0") + 1,
                vec![route("a", "deep")],
            ));
            for _ in 0..20 {
                sleep(Duration::from_millis(100)).await;
                for (at, pair) in &fleet.pairs {
                    let upstreams = pair.mesh.registry.borrow().upstreams(1);
                    let names = upstreams.values().flatten().map(|u| u.public);
                    let names: BTreeSet<SocketAddr> = names.collect();
                    for gone in ["deep-0", "deep-1"] {
                        let address = fleet.pairs[gone].entry.address;
                        assert!(!names.contains(&address), "{at} uses {gone}");
                    }
                }
            }
        }
    })
    .await;
}

/// Guards against nodes that keep what a store restored from a copy has lost, and against readers
/// that pass on changes of the time before.
#[tokio::test(start_paused = true)]
async fn restore_of_the_store_reaches_nodes_that_follow_a_reader() {
    local(async {
        let fleet = fleet().await;
        let kept = fleet.store.revision();
        let all: Vec<_> = fleet.pairs.keys().cloned().collect();
        time_to_effect(&fleet, 2, &all).await;
        fleet.store.restore(kept);
        fleet.put_routes(table(3, vec![route("a", "deep")]));
        let put = Instant::now();
        while all.iter().any(|name| version(&fleet, name) < 3) {
            for name in &all {
                talk(&fleet, name).await;
            }
            sleep(Duration::from_millis(50)).await;
            assert!(put.elapsed() < BOUND, "{:?}", put.elapsed());
        }
        let took = time_to_effect(&fleet, 4, &all).await;
        assert!(took < BOUND, "{took:?}");
    })
    .await;
}

/// Guards against a node that asks another one for changes after a revision and gets an answer that
/// is not about the store, such as that of a backend server.
#[tokio::test(start_paused = true)]
async fn header_of_a_caller_does_not_read_changes() {
    local(async {
        let fleet = fleet().await;
        let headers = [("x-id", "7"), ("x-left", "1000"), ("cb-after", "1.1")];
        let answer = fleet.post("front-0", "/a/", &headers).await.unwrap();
        assert_eq!(answer.body, fleet.runs_of("7")[0]);
    })
    .await;
}

/// Guards against a planned stop that waits for nodes which wait for changes.
#[tokio::test(start_paused = true)]
async fn stopping_reader_lets_go_of_the_nodes_that_ask_it() {
    local(async {
        let mut fleet = fleet().await;
        let others = followers(&fleet);
        let name = readers(&fleet).remove(0);
        let id: InstanceId = name.parse().unwrap();
        let started = Instant::now();
        fleet.restart(&name, false).await;
        assert!(started.elapsed() < Duration::from_secs(4), "{id}");
        let took = time_to_effect(&fleet, 2, &others).await;
        assert!(took < BOUND, "{took:?}");
        assert_eq!(version(&fleet, &others[0]), Revision(2).0);
    })
    .await;
}
