//! Guards against changes that are missed or undone after the platform's store is restored from a
//! copy, whose revisions are given out a second time.

mod support;

use std::{cell::Cell, rc::Rc, time::Duration};

use comfreybay::{
    state::{id::Revision, mesh::backend::Phase},
    transport::memory::Place,
};
use http::StatusCode;
use support::{
    local,
    mesh::{MeshFleet, route, sealed, table},
    script,
    store::STORE,
};
use tokio::time::{sleep, timeout};

/// Time within which a change must be in effect at a node that reaches the store.
const CONFIG: Duration = Duration::from_secs(2);

/// A fleet whose servers take 5 ms and answer with their name, with routes of version 1.
async fn fleet(services: &[(&str, u8, u32)]) -> MeshFleet {
    let script = script(|seen| async move {
        sleep(Duration::from_millis(5)).await;
        sealed(&seen, &seen.upstream)
    });
    MeshFleet::with(services, vec![route("a", "deep")], script).await
}

fn place(fleet: &MeshFleet, name: &str) -> Place {
    Place::Host(fleet.pairs[name].entry.address.ip())
}

fn version(fleet: &MeshFleet, name: &str) -> Revision {
    let routes = fleet.pairs[name].mesh.routes.borrow();
    routes.as_ref().unwrap().revision()
}

async fn status(fleet: &MeshFleet, node: &str, path: &str) -> StatusCode {
    let headers = [("x-id", "1"), ("x-left", "1000")];
    fleet.post(node, path, &headers).await.unwrap().status
}

/// Sends requests at the same time, so that they spread over the servers; all must be served.
async fn burst(fleet: &MeshFleet, node: &str, requests: usize) {
    let requests = (0..requests).map(|_| status(fleet, node, "/a/"));
    let answers = futures::future::join_all(requests).await;
    assert!(answers.iter().all(|s| *s == StatusCode::OK), "{answers:?}");
}

/// Loses what was written after `kept`, and writes the routes of `versions` in its place.
async fn restore(fleet: &MeshFleet, kept: u64, versions: &[u64]) {
    fleet.store.down.set(true);
    sleep(Duration::from_millis(500)).await;
    fleet.store.restore(kept);
    fleet.store.down.set(false);
    for version in versions {
        fleet.put_routes(table(*version, vec![route("a", "deep")]));
    }
}

/// Guards against a node that misses what was written while it could not reach the store, because
/// the new revisions have reached the one that it had read before the restore.
#[tokio::test(start_paused = true)]
async fn node_cut_off_during_a_restore_misses_no_change() {
    for versions in [&[3_u64][..], &[3, 4], &[3, 4, 5], &[3, 4, 5, 6]] {
        local(async {
            let fleet = fleet(&[("front", 2, 4), ("deep", 2, 4)]).await;
            let kept = fleet.store.revision();
            for version in [2, 3] {
                fleet.put_routes(table(version, vec![route("a", "deep")]));
            }
            sleep(Duration::from_secs(1)).await;
            let store = Place::Host(STORE.ip());
            fleet.network.cut_both(place(&fleet, "front-0"), store);
            restore(&fleet, kept, versions).await;
            sleep(Duration::from_secs(2)).await;
            fleet.network.heal_all();
            let last = Revision(*versions.last().unwrap());
            let reached = timeout(Duration::from_secs(10), async {
                while version(&fleet, "front-0") != last {
                    sleep(Duration::from_millis(50)).await;
                }
            });
            assert!(reached.await.is_ok(), "{versions:?} after the cut");
            fleet.put_routes(table(9, vec![route("a", "deep")]));
            sleep(CONFIG).await;
            assert_eq!(version(&fleet, "front-0"), Revision(9), "{versions:?}");
        })
        .await;
    }
}

/// Guards against a node whose connection to the store has fallen silent and whom the reports of
/// other nodes do not reach, because they name lower revisions than it had read before a restore.
#[tokio::test(start_paused = true)]
async fn reports_of_other_nodes_count_after_a_restore() {
    local(async {
        let fleet = fleet(&[("front", 1, 4), ("deep", 60, 4)]).await;
        let kept = fleet.store.revision();
        for version in 2..=5 {
            fleet.put_routes(table(version, vec![route("a", "deep")]));
        }
        sleep(Duration::from_secs(1)).await;
        fleet
            .store
            .silence(fleet.pairs["front-0"].entry.address.ip());
        fleet.store.restore(kept);
        fleet.put_routes(table(7, vec![route("b", "deep")]));
        for _ in 0..20 {
            status(&fleet, "front-0", "/a/").await;
            sleep(CONFIG / 20).await;
        }
        assert_eq!(version(&fleet, "front-0"), Revision(7));
        assert_eq!(status(&fleet, "front-0", "/b/").await, StatusCode::OK);
    })
    .await;
}

/// Guards against routes that go back to the older version of the copy.
#[tokio::test(start_paused = true)]
async fn routes_of_the_copy_do_not_replace_newer_ones() {
    local(async {
        let fleet = fleet(&[("front", 1, 4), ("deep", 1, 4)]).await;
        let kept = fleet.store.revision();
        fleet.put_routes(table(5, vec![route("a", "deep"), route("b", "deep")]));
        sleep(Duration::from_secs(1)).await;
        restore(&fleet, kept, &[]).await;
        for _ in 0..40 {
            assert_eq!(status(&fleet, "front-0", "/b/").await, StatusCode::OK);
            sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(version(&fleet, "front-0"), Revision(5));
    })
    .await;
}

/// Guards against servers that get no requests because their entries were lost in a restore and
/// have not been written again yet, and against requests for one that does not come back.
#[tokio::test(start_paused = true)]
async fn servers_whose_entries_are_lost_stay_in_use_until_written_again() {
    local(async {
        let fleet = fleet(&[("front", 1, 4), ("deep", 4, 4)]).await;
        let late = ["deep-1", "deep-2"];
        // The copy holds no entries of these two.
        for name in late {
            fleet.remove_entry(name);
        }
        sleep(Duration::from_secs(3)).await;
        let removed = fleet.store.revision();
        for name in late {
            fleet.put_entry(fleet.pairs[name].entry.clone());
        }
        // New servers start at a low weight.
        sleep(Duration::from_secs(6)).await;
        fleet.store.restore(removed);
        let before = fleet.runs.borrow().len();
        for _ in 0..18 {
            burst(&fleet, "front-0", 8).await;
            burst(&fleet, "deep-1", 8).await;
            sleep(Duration::from_millis(50)).await;
        }
        let used = |name: &str| {
            let runs = fleet.runs.borrow();
            runs[before..]
                .iter()
                .filter(|(server, _)| server == name)
                .count()
        };
        assert!(used("deep-1") > 20 && used("deep-2") > 20);
        fleet.put_entry(fleet.pairs["deep-1"].entry.clone());
        sleep(Duration::from_secs(2)).await;
        let (returned, gone) = (used("deep-1"), used("deep-2"));
        for _ in 0..10 {
            burst(&fleet, "front-0", 8).await;
        }
        assert!(used("deep-1") > returned + 10);
        assert_eq!(used("deep-2"), gone);
    })
    .await;
}

/// Guards against requests to a draining server that the copy lists as ready.
#[tokio::test(start_paused = true)]
async fn draining_server_stays_out_of_use_after_a_restore() {
    local(async {
        let fleet = fleet(&[("front", 1, 4), ("deep", 2, 4)]).await;
        let kept = fleet.store.revision();
        let mut entry = fleet.pairs["deep-0"].entry.clone();
        entry.phase = Phase::Draining;
        fleet.put_entry(entry);
        sleep(Duration::from_secs(1)).await;
        restore(&fleet, kept, &[2]).await;
        sleep(Duration::from_secs(1)).await;
        let before = fleet.runs.borrow().len();
        for _ in 0..40 {
            burst(&fleet, "front-0", 4).await;
            sleep(Duration::from_millis(100)).await;
        }
        let runs = fleet.runs.borrow();
        assert!(runs[before..].iter().all(|(server, _)| server == "deep-1"));
    })
    .await;
}

/// Guards against requests to a run of a server that has been listed as draining and is then listed
/// as ready, and against a later run that gets none.
#[tokio::test(start_paused = true)]
async fn drained_run_of_a_server_stays_out_of_use() {
    local(async {
        let fleet = fleet(&[("front", 1, 4), ("deep", 2, 4)]).await;
        let ready = fleet.pairs["deep-0"].entry.clone();
        let mut entry = ready.clone();
        entry.phase = Phase::Draining;
        fleet.put_entry(entry);
        sleep(Duration::from_secs(1)).await;
        fleet.remove_entry("deep-0");
        sleep(Duration::from_secs(3)).await;
        fleet.put_entry(ready.clone());
        sleep(Duration::from_secs(1)).await;
        for _ in 0..20 {
            burst(&fleet, "front-0", 4).await;
        }
        let of_first = |(server, _): &&(String, String)| server == "deep-0";
        assert_eq!(fleet.runs.borrow().iter().filter(of_first).count(), 0);
        let mut restarted = ready;
        restarted.started_ms = Some(2);
        fleet.put_entry(restarted);
        // New servers start at a low weight.
        sleep(Duration::from_secs(6)).await;
        for _ in 0..20 {
            burst(&fleet, "front-0", 4).await;
        }
        assert!(fleet.runs.borrow().iter().filter(of_first).count() > 0);
    })
    .await;
}

/// Guards against a server that gets no requests because the copy still lists an earlier server at
/// its address.
#[tokio::test(start_paused = true)]
async fn server_at_a_reused_address_stays_in_use_after_a_restore() {
    local(async {
        let served = Rc::new(Cell::new(0));
        let count = served.clone();
        let script = script(move |seen| {
            let expected = support::header(seen.request.headers(), "x-expected");
            assert_eq!(expected, "second", "the request is for another server");
            count.set(count.get() + 1);
            async move { sealed(&seen, "") }
        });
        let services = [("front", 1, 4), ("deep", 1, 4)];
        let fleet = MeshFleet::with(&services, vec![route("a", "deep")], script).await;
        let kept = fleet.store.revision();
        let mut second = fleet.pairs["deep-0"].entry.clone();
        fleet.remove_entry("deep-0");
        sleep(Duration::from_secs(3)).await;
        second.id = "second".parse().unwrap();
        second.started_ms = Some(5_000);
        fleet.put_entry(second.clone());
        sleep(Duration::from_secs(1)).await;
        fleet.store.restore(kept);
        for n in 0..30 {
            let answer = status(&fleet, "front-0", "/a/").await;
            assert_eq!(answer, StatusCode::OK, "{n}");
            sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(served.get(), 30);
    })
    .await;
}
