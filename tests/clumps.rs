//! Guards requests that come in clumps, with pauses in between.

mod support;

use std::{rc::Rc, time::Duration};

use http::StatusCode;
use support::{
    local,
    mesh::{MeshFleet, route, sealed},
    script,
};
use tokio::{
    task::{JoinHandle, spawn_local},
    time::{Instant, sleep, sleep_until},
};

const WORK_MS: u64 = 290;

/// Sends `size` requests at once; each result is the status, or `None` without an answer.
fn send_clump(
    fleet: &Rc<MeshFleet>,
    round: usize,
    size: usize,
) -> Vec<JoinHandle<Option<StatusCode>>> {
    let post = |n| {
        let fleet = fleet.clone();
        spawn_local(async move {
            let id = format!("{round}-{n}");
            let headers = [("x-id", id.as_str()), ("x-left", "6000")];
            let answer = fleet.post("front-0", "/once/", &headers).await;
            answer.ok().map(|answer| answer.status)
        })
    };
    (0..size).map(post).collect()
}

/// Sends clumps of `size` requests `gap_ms` apart to one server with 40 slots, of which the node at
/// `stopped` stops 0.6 s before the last one.
async fn assert_clumps_are_served(size: usize, gap_ms: u64, stopped: &str) {
    let script = script(|seen| async move {
        sleep(Duration::from_millis(WORK_MS)).await;
        sealed(&seen, "")
    });
    let mut once = route("once", "deep");
    once.idempotent = false;
    once.timeout = Duration::from_secs(6);
    let services = [("front", 1, 40), ("deep", 1, 40)];
    let fleet = Rc::new(MeshFleet::with(&services, vec![once], script).await);
    let (began, gap) = (Instant::now(), Duration::from_millis(gap_ms));
    let rounds = 4;
    let mut sent = vec![];
    for round in 0..rounds {
        let at = began + gap * round as u32;
        if round + 1 == rounds {
            sleep_until(at - Duration::from_millis(600)).await;
            fleet.pairs[stopped].stop.cancel();
        }
        sleep_until(at).await;
        sent.extend(send_clump(&fleet, round, size));
    }
    for (n, request) in sent.into_iter().enumerate() {
        let (status, round) = (request.await.unwrap(), n / size);
        let what = format!("{size} requests each {gap_ms} ms, stop of {stopped}, round {round}");
        assert_eq!(status, Some(StatusCode::OK), "{what}");
    }
}

/// Guards against requests that wait until a stop cuts them, although their server is idle.
#[tokio::test(start_paused = true)]
async fn clumps_around_a_stop_are_served() {
    local(async {
        for stopped in ["front-0", "deep-0"] {
            for (size, gap_ms) in [(30, 2_000), (40, 2_000), (20, 1_100), (35, 3_900)] {
                assert_clumps_are_served(size, gap_ms, stopped).await;
            }
        }
    })
    .await;
}
