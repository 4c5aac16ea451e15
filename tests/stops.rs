//! Guards against requests that a planned stop of a node interrupts.

mod support;

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::StatusCode;
use support::{
    local,
    mesh::{MeshFleet, route, sealed},
    script,
};
use tokio::time::{Instant, sleep};

const LEFT: (&str, &str) = ("x-left", "1000");

/// Guards against a planned stop that interrupts a request, and against a node that exceeds its
/// grace period.
#[tokio::test(start_paused = true)]
async fn planned_stop_interrupts_no_request() {
    local(async {
        let script = script(|seen| async move {
            sleep(Duration::from_millis(1_900)).await;
            sealed(&seen, "whole")
        });
        let services = [("front", 1, 4), ("deep", 1, 4)];
        let mut fleet = MeshFleet::with(&services, vec![route("a", "deep")], script).await;
        let began = Instant::now();
        for name in ["front-0", "deep-0"] {
            fleet.pairs[name].stop.cancel();
        }
        sleep(Duration::from_millis(10)).await;
        assert!(!fleet.is_ready("front-0").await);
        let left = ("x-left", "2000");
        let answer = fleet
            .post("front-0", "/a/", &[("x-id", "1"), left])
            .await
            .unwrap();
        assert_eq!(answer.body, "whole");
        for name in ["front-0", "deep-0"] {
            let task = fleet.pairs.get_mut(name).unwrap().task.take().unwrap();
            task.await.unwrap();
        }
        assert!(began.elapsed() < Duration::from_secs(6));
    })
    .await;
}

/// Guards against a stopping node that no longer serves other nodes while it waits for slow
/// answers to its own callers, as in a rolling restart with one slow service.
#[tokio::test(start_paused = true)]
async fn stopping_node_serves_other_nodes_while_callers_wait() {
    local(async {
        let script = script(|seen| async move {
            if seen.upstream.starts_with("slow") {
                sleep(Duration::from_secs(4)).await;
            }
            sealed(&seen, "")
        });
        let mut slow = route("b", "slow");
        slow.timeout = Duration::from_secs(5);
        let routes = vec![route("a", "deep"), slow];
        let services = [("front", 1, 4), ("deep", 1, 4), ("slow", 1, 4)];
        let fleet = Rc::new(MeshFleet::with(&services, routes, script).await);
        let (caller, left) = (fleet.clone(), ("x-left", "5000"));
        let late = tokio::task::spawn_local(async move {
            let headers = [("x-id", "late"), left];
            caller.post("deep-0", "/b/", &headers).await.unwrap()
        });
        sleep(Duration::from_millis(50)).await;
        fleet.pairs["deep-0"].stop.cancel();
        for n in 0..39 {
            let id = format!("f{n}");
            let headers = [("x-id", id.as_str()), LEFT];
            let answer = fleet.post("front-0", "/a/", &headers).await.unwrap();
            assert_eq!(
                answer.status,
                StatusCode::OK,
                "{} ms after the stop signal",
                n * 100
            );
            sleep(Duration::from_millis(100)).await;
        }
        assert_eq!(late.await.unwrap().status, StatusCode::OK);
    })
    .await;
}

/// Guards against a request in progress that fails because its server's stopping node no longer
/// accepts the server's calls.
#[tokio::test(start_paused = true)]
async fn stopping_node_serves_the_calls_of_its_server() {
    local(async {
        let script = script(|seen| async move {
            if seen.upstream.starts_with("deep") {
                return sealed(&seen, "deep");
            }
            sleep(Duration::from_millis(3_500)).await;
            let id = format!("{}.1", seen.id());
            let headers = [("x-id", id.as_str()), ("x-left", "500")];
            let call = seen.send("/inner/", &headers).await;
            let body = call.map_or(Bytes::from_static(b"lost"), |a| a.body);
            sealed(&seen, std::str::from_utf8(&body).unwrap())
        });
        let mut outer = route("outer", "middle");
        outer.timeout = Duration::from_secs(5);
        let routes = vec![outer, route("inner", "deep")];
        let services = [("front", 1, 4), ("middle", 1, 4), ("deep", 1, 4)];
        let fleet = Rc::new(MeshFleet::with(&services, routes, script).await);
        let caller = fleet.clone();
        let outer = tokio::task::spawn_local(async move {
            let headers = [("x-id", "1"), ("x-left", "5000")];
            caller.post("front-0", "/outer/", &headers).await.unwrap()
        });
        sleep(Duration::from_millis(50)).await;
        fleet.pairs["middle-0"].stop.cancel();
        assert_eq!(outer.await.unwrap().body, "deep");
    })
    .await;
}

/// Guards against a caller's request that is accepted late in a stop and interrupted when the
/// process exits.
#[tokio::test(start_paused = true)]
async fn stopping_node_refuses_late_requests_of_callers() {
    local(async {
        let script = script(|seen| async move {
            sleep(Duration::from_secs(2)).await;
            sealed(&seen, "")
        });
        let mut slow = route("a", "deep");
        slow.timeout = Duration::from_secs(5);
        let services = [("front", 1, 4), ("deep", 1, 4)];
        let fleet = Rc::new(MeshFleet::with(&services, vec![slow], script).await);
        let (caller, left) = (fleet.clone(), ("x-left", "5000"));
        fleet.pairs["front-0"].stop.cancel();
        sleep(Duration::from_millis(2_000)).await;
        let early = tokio::task::spawn_local(async move {
            let headers = [("x-id", "early"), left];
            caller.post("front-0", "/a/", &headers).await.unwrap()
        });
        sleep(Duration::from_millis(500)).await;
        let headers = [("x-id", "late"), left];
        let late = fleet.post("front-0", "/a/", &headers).await.unwrap();
        assert_eq!(late.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(fleet.runs_of("late").is_empty());
        assert_eq!(early.await.unwrap().status, StatusCode::OK);
    })
    .await;
}
