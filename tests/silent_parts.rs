//! Guards against changes that come late in a quiet fleet when only a part of its connections has
//! fallen silent, or when something else happens in the silence. No requests are sent.

mod support;

use std::{collections::BTreeMap, time::Duration};

use comfreybay::state::mesh::readers::Source;
use support::{
    changes::{address, publish, quiet_fleet, version},
    local,
    mesh::{INBOUND, MeshFleet},
};
use tokio::time::{Instant, sleep, sleep_until};

/// Time within which a change must be in effect.
const BOUND: Duration = Duration::from_secs(2);
/// Time after which a disturbance is no excuse.
const STABLE: Duration = Duration::from_secs(3);
/// Time that a store takes for an answer when it is 30 times slower than usual.
const SLOW_ANSWER: Duration = Duration::from_millis(120);

fn names(fleet: &MeshFleet, is_wanted: impl Fn(&str) -> bool) -> Vec<String> {
    let names = fleet.pairs.keys().filter(|name| is_wanted(name));
    names.cloned().collect()
}

fn sentinels(fleet: &MeshFleet) -> Vec<String> {
    names(fleet, |name| fleet.pairs[name].mesh.is_sentinel())
}

/// Nodes other than the sentinels that read the store themselves.
fn other_readers(fleet: &MeshFleet) -> Vec<String> {
    names(fleet, |name| {
        let mesh = &fleet.pairs[name].mesh;
        *mesh.source.borrow() == Source::Store && !mesh.is_sentinel()
    })
}

fn silence(fleet: &MeshFleet, names: &[String]) {
    for name in names {
        fleet.store.silence(address(fleet, name));
    }
}

fn silence_all(fleet: &MeshFleet) {
    silence(fleet, &names(fleet, |_| true));
}

fn versions(fleet: &MeshFleet) -> BTreeMap<String, u64> {
    let names = fleet.pairs.keys();
    names.map(|n| (n.clone(), version(fleet, n))).collect()
}

/// Waits until a version published now is due, and returns the nodes where it is not in effect.
/// `disturbed` is the time of the last disturbance. No node may go back to an older version.
async fn late_nodes(fleet: &MeshFleet, expected: u64, disturbed: Instant) -> Vec<String> {
    let due = (Instant::now() + BOUND).max(disturbed + STABLE);
    let mut before = versions(fleet);
    while Instant::now() < due {
        sleep_until((Instant::now() + Duration::from_millis(100)).min(due)).await;
        let now = versions(fleet);
        for (name, version) in &now {
            assert!(
                version >= &before[name],
                "{name} has gone back to {version}"
            );
        }
        before = now;
    }
    names(fleet, |name| version(fleet, name) < expected)
}

async fn assert_in_time(fleet: &MeshFleet, expected: u64, disturbed: Instant, what: &str) {
    let late = late_nodes(fleet, expected, disturbed).await;
    assert!(late.is_empty(), "{what}: {late:?}");
}

/// Guards against a bound that holds for one delay between the silence and the change, or for one
/// size of the fleet.
#[tokio::test(start_paused = true)]
async fn changes_are_in_time_whenever_they_come_after_the_silence() {
    for nodes in [5, 17, 60] {
        for after_ms in [2_500, 3_500, 8_000] {
            local(async move {
                let fleet = quiet_fleet(4, nodes).await;
                let disturbed = Instant::now();
                silence_all(&fleet);
                sleep(Duration::from_millis(after_ms)).await;
                publish(&fleet, 2);
                let what = format!("{nodes} nodes, change after {after_ms} ms");
                assert_in_time(&fleet, 2, disturbed, &what).await;
            })
            .await;
        }
    }
}

/// Guards against a change of which some nodes have read the beginning when the silence begins.
#[tokio::test(start_paused = true)]
async fn silence_that_begins_during_a_change_delays_no_node() {
    for after_ms in [0, 2, 20, 60, 300, 900] {
        local(async move {
            let fleet = quiet_fleet(4, 17).await;
            publish(&fleet, 2);
            sleep(Duration::from_millis(after_ms)).await;
            let disturbed = Instant::now();
            silence_all(&fleet);
            let what = format!("silence {after_ms} ms after the change");
            assert_in_time(&fleet, 2, disturbed, &what).await;
        })
        .await;
    }
}

/// Guards against readers that rely on the sentinels to notice a silence which these don't have. One
/// of many silent watches is soon overdue by chance, so small numbers show it best.
#[tokio::test(start_paused = true)]
async fn readers_that_alone_fall_silent_are_not_late() {
    for count in [1, 2, 4, 14] {
        for after_ms in [500, 2_500, 3_500] {
            local(async move {
                let fleet = quiet_fleet(4, 17).await;
                let disturbed = Instant::now();
                let mut readers = other_readers(&fleet);
                assert!(readers.len() >= 8, "{readers:?}");
                readers.truncate(count);
                silence(&fleet, &readers);
                sleep(Duration::from_millis(after_ms)).await;
                publish(&fleet, 2);
                let what = format!("{count} other readers, change after {after_ms} ms");
                assert_in_time(&fleet, 2, disturbed, &what).await;
            })
            .await;
        }
    }
}

/// Guards against sentinels that take their own silence for that of a quiet store.
#[tokio::test(start_paused = true)]
async fn sentinels_that_alone_fall_silent_are_not_late() {
    for after_ms in [0, 500, 2_500] {
        local(async move {
            let fleet = quiet_fleet(4, 17).await;
            let disturbed = Instant::now();
            silence(&fleet, &sentinels(&fleet));
            sleep(Duration::from_millis(after_ms)).await;
            publish(&fleet, 2);
            let what = format!("only the sentinels, change after {after_ms} ms");
            assert_in_time(&fleet, 2, disturbed, &what).await;
        })
        .await;
    }
}

/// Guards against an alarm, or a reader's answer, that is sent on a connection that is silent too.
#[tokio::test(start_paused = true)]
async fn silence_between_nodes_as_well_delays_no_change() {
    for after_ms in [0, 500, 2_500, 3_500] {
        local(async move {
            let fleet = quiet_fleet(4, 17).await;
            let disturbed = Instant::now();
            silence_all(&fleet);
            fleet.network.silence_open(INBOUND);
            sleep(Duration::from_millis(after_ms)).await;
            publish(&fleet, 2);
            let what = format!("silent between nodes too, change after {after_ms} ms");
            assert_in_time(&fleet, 2, disturbed, &what).await;
        })
        .await;
    }
}

/// Guards against watches that were renewed after one silence and are not trusted to fall silent
/// again.
#[tokio::test(start_paused = true)]
async fn second_silence_soon_after_the_first_delays_no_change() {
    for gap_ms in [500, 1_500, 2_000, 4_000] {
        local(async move {
            let fleet = quiet_fleet(4, 17).await;
            silence_all(&fleet);
            sleep(Duration::from_millis(gap_ms)).await;
            let disturbed = Instant::now();
            silence_all(&fleet);
            sleep(Duration::from_millis(2_500)).await;
            publish(&fleet, 2);
            let what = format!("second silence after {gap_ms} ms");
            assert_in_time(&fleet, 2, disturbed, &what).await;
        })
        .await;
    }
}

/// Guards against a fleet in which only the reader that stops, or is killed, would have noticed.
#[tokio::test(start_paused = true)]
async fn reader_that_ends_in_the_silence_delays_no_other_node() {
    for is_killed in [false, true] {
        for is_sentinel in [false, true] {
            local(async move {
                let fleet = quiet_fleet(4, 17).await;
                let readers = match is_sentinel {
                    true => sentinels(&fleet),
                    false => other_readers(&fleet),
                };
                silence_all(&fleet);
                sleep(Duration::from_millis(300)).await;
                let reader = &fleet.pairs[&readers[0]];
                match is_killed {
                    true => reader.node.crash(),
                    false => reader.stop.cancel(),
                }
                let disturbed = Instant::now();
                sleep(Duration::from_millis(2_500)).await;
                publish(&fleet, 2);
                let mut late = late_nodes(&fleet, 2, disturbed).await;
                late.retain(|name| *name != readers[0]);
                let what = format!("killed: {is_killed}, sentinel: {is_sentinel}");
                assert!(late.is_empty(), "{what}: {late:?}");
            })
            .await;
        }
    }
}

/// Guards against reads that are given up, or begun anew, because the store answers slowly right
/// after the silence.
#[tokio::test(start_paused = true)]
async fn slow_store_after_the_silence_delays_no_change() {
    for after_ms in [500, 2_500, 3_500] {
        local(async move {
            let fleet = quiet_fleet(4, 17).await;
            let disturbed = Instant::now();
            silence_all(&fleet);
            fleet.store.delay.set(SLOW_ANSWER);
            sleep(Duration::from_millis(after_ms)).await;
            publish(&fleet, 2);
            let what = format!("slow store, change after {after_ms} ms");
            assert_in_time(&fleet, 2, disturbed, &what).await;
        })
        .await;
    }
}
