//! Guards against changes that come late because open connections to the platform's store, or to a
//! node that reads it for others, have fallen silent. No requests are sent that would tell of them.

mod support;

use std::{net::IpAddr, time::Duration};

use comfreybay::{state::mesh::readers::Source, transport::memory::Place};
use support::{
    local,
    mesh::{MeshFleet, route, sealed, table},
    script,
    store::STORE,
};
use tokio::time::{Instant, sleep, sleep_until};

/// Time within which a change must be in effect.
const BOUND: Duration = Duration::from_secs(2);
/// Time after which a disturbance is no excuse.
const STABLE: Duration = Duration::from_secs(3);
const SERVERS: [(&str, u8, u32); 3] = [("front", 8, 8), ("deep", 8, 8), ("other", 1, 8)];

async fn fleet(zones: u8) -> MeshFleet {
    let script = script(|seen| async move { sealed(&seen, "") });
    let fleet = MeshFleet::start_in(zones, &SERVERS, script).await;
    fleet.put_routes(table(1, vec![route("a", "deep")]));
    sleep(Duration::from_secs(10)).await;
    fleet
}

fn address(fleet: &MeshFleet, name: &str) -> IpAddr {
    fleet.pairs[name].entry.address.ip()
}

/// Publishes a version; returns the nodes where it is not in effect at the end of the bound, or of
/// the time for which a disturbance at `disturbed` counts.
async fn late_nodes(fleet: &MeshFleet, version: u64, disturbed: Instant) -> Vec<String> {
    fleet.put_routes(table(version, vec![route("a", "deep")]));
    sleep_until((Instant::now() + BOUND).max(disturbed + STABLE)).await;
    let is_late = |name: &&String| {
        let routes = fleet.pairs[*name].mesh.routes.borrow();
        routes.as_ref().is_none_or(|r| r.revision().0 < version)
    };
    fleet.pairs.keys().filter(is_late).cloned().collect()
}

/// Guards against nodes that wait for a change on connections on which it never arrives.
#[tokio::test(start_paused = true)]
async fn silent_connections_to_the_store_are_noticed_before_a_change_is_due() {
    for (zones, changed_ms) in [
        (4, 0),
        (4, 500),
        (4, 1_000),
        (4, 3_500),
        (1, 500),
        (2, 2_500),
    ] {
        local(async {
            let fleet = fleet(zones).await;
            for version in 2..8 {
                let disturbed = Instant::now();
                for name in fleet.pairs.keys() {
                    fleet.store.silence(address(&fleet, name));
                }
                sleep(Duration::from_millis(changed_ms)).await;
                let late = late_nodes(&fleet, version, disturbed).await;
                let what = format!("{zones} zones, change after {changed_ms} ms");
                assert!(late.is_empty(), "{what}: {late:?}");
                sleep(Duration::from_millis(4_300 + version * 170)).await;
            }
        })
        .await;
    }
}

/// Guards against a fleet that depends on one node to notice this.
#[tokio::test(start_paused = true)]
async fn silent_connections_are_noticed_while_a_sentinel_is_cut_off() {
    local(async {
        let fleet = fleet(4).await;
        let is_sentinel = |name: &&String| fleet.pairs[*name].mesh.is_sentinel();
        let sentinels: Vec<_> = fleet.pairs.keys().filter(is_sentinel).cloned().collect();
        assert_eq!(sentinels.len(), 2);
        for (version, sentinel) in (2..).zip(&sentinels) {
            let ip = address(&fleet, sentinel);
            let ends = [Place::Host(ip), Place::Host(STORE.ip())];
            fleet.network.cut(ends[0].clone(), ends[1].clone());
            fleet.network.cut(ends[1].clone(), ends[0].clone());
            sleep(Duration::from_secs(5)).await;
            let disturbed = Instant::now();
            for name in fleet.pairs.keys() {
                fleet.store.silence(address(&fleet, name));
            }
            let mut late = late_nodes(&fleet, version, disturbed).await;
            // Its own routes may be old, as it does not reach the store.
            late.retain(|name| name != sentinel);
            assert!(late.is_empty(), "{late:?}");
            fleet.network.heal(ends[0].clone(), ends[1].clone());
            fleet.network.heal(ends[1].clone(), ends[0].clone());
            sleep(Duration::from_secs(5)).await;
        }
    })
    .await;
}

/// Guards against nodes behind one reader, whose connection to the store has fallen silent, that
/// take its word for it that nothing has changed.
#[tokio::test(start_paused = true)]
async fn reader_that_lost_the_store_delays_no_other_node() {
    local(async {
        let fleet = fleet(1).await;
        let reads = |name: &&String| *fleet.pairs[*name].mesh.source.borrow() == Source::Store;
        let readers: Vec<_> = fleet.pairs.keys().filter(reads).cloned().collect();
        for (version, reader) in (2..).zip(&readers) {
            fleet.store.silence(address(&fleet, reader));
            let disturbed = Instant::now() - STABLE;
            let mut late = late_nodes(&fleet, version, disturbed).await;
            late.retain(|name| name != reader);
            assert!(late.is_empty(), "behind {reader}: {late:?}");
            sleep(Duration::from_secs(10)).await;
        }
    })
    .await;
}

/// Guards against alarms that multiply: each reader renews its watch a few times and no more.
#[tokio::test(start_paused = true)]
async fn alarm_costs_each_reader_few_reads() {
    local(async {
        let fleet = fleet(4).await;
        let reads = || {
            let counters = fleet.pairs.values().map(|p| &p.mesh.counters);
            counters
                .map(|c| c.get(comfreybay::state::counters::Counter::ConfigReads))
                .sum::<u64>()
        };
        let span = Duration::from_secs(20);
        let before = reads();
        sleep(span).await;
        let calm = reads() - before;
        for name in fleet.pairs.keys() {
            fleet.store.silence(address(&fleet, name));
        }
        sleep(span).await;
        let disturbed = reads() - before - calm;
        // Two sentinels may alarm each of 16 readers, and each renewal is one read and a new watch.
        assert!(disturbed <= calm + 4 * 16, "{calm} reads, then {disturbed}");
    })
    .await;
}
