//! Guards planned stops of a node and crashes of its backend server.

mod support;

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use comfreybay::transport::memory::HostEnd;
use support::{Answer, Fleet, Reply, class, local, ok, publication, relay, script};
use tokio::{
    task::{JoinSet, spawn_local},
    time::{Instant, sleep, timeout},
};

/// Delays each request at `front` and `deep`; large answers are still streaming during the stop.
fn slow() -> support::Script {
    let inner = relay([("front", "deep")].into());
    script(move |seen: support::Seen| {
        let inner = inner.clone();
        async move {
            sleep(Duration::from_millis(200)).await;
            if seen.upstream.starts_with("deep") && seen.id() == "large" {
                return Reply::Chunks(vec![Bytes::from(vec![1; 10_000]); 300], true);
            }
            inner(seen).await
        }
    })
}

/// Guards against a planned stop that interrupts calls in progress or never completes.
#[tokio::test(start_paused = true)]
async fn stop_interrupts_no_call() {
    for stopped in ["front-0", "deep-0"] {
        local(async move {
            let services = [("front", 1), ("deep", 2)];
            let fleet = Fleet::start(publication(&services, &[class("a")]), slow()).await;
            let mut fleet = Rc::new(fleet);
            let mut calls = JoinSet::new();
            for n in 0..40 {
                let fleet = fleet.clone();
                calls.spawn_local(async move {
                    sleep(Duration::from_millis(n * 10)).await;
                    let id = if n % 2 == 0 { "large" } else { "small" };
                    let arrived = Instant::now();
                    let answer = fleet.post("front-0", "/a", &[("x-id", id)], "abc").await;
                    (arrived, id, answer)
                });
            }
            sleep(Duration::from_millis(300)).await;
            // A call that starts just before the stop may still be connecting when the listener
            // closes.
            let stop = Instant::now() - Duration::from_millis(2);
            fleet.members[stopped].stop.cancel();
            let (mut complete, mut refused) = (0, 0);
            while let Some(ended) = calls.join_next().await {
                let (arrived, id, answer) = ended.unwrap();
                let answer: Answer = match answer {
                    Ok(answer) => answer,
                    // The listener was closed, so the call was never accepted.
                    Err(error) if arrived > stop && stopped == "front-0" => {
                        assert!(
                            error.contains("Refused") || error.contains("Canceled"),
                            "{error}"
                        );
                        refused += 1;
                        continue;
                    }
                    Err(error) => panic!("call {id} at {arrived:?} was interrupted: {error}"),
                };
                if answer.outcome() == "not-run" {
                    assert!(
                        arrived > stop,
                        "{stopped} {id} {:?} {answer:?}",
                        stop - arrived
                    );
                    refused += 1;
                    continue;
                }
                if answer.header("x-below") != "complete" {
                    let why = fleet
                        .admin("front-0", &format!("/why/{}", answer.header("cb-root")))
                        .await;
                    println!("{}", String::from_utf8_lossy(&why.body));
                }
                assert_eq!(answer.outcome(), "complete");
                assert_eq!(
                    answer.header("x-below"),
                    "complete",
                    "{stopped} {answer:?} {:?} after the stop",
                    arrived - stop
                );
                let size = if id == "large" { 3_000_000 } else { 3 };
                assert_eq!(answer.body.len(), size);
                complete += 1;
            }
            assert_eq!(complete + refused, 40);
            if stopped == "deep-0" {
                assert_eq!(complete, 40, "the other upstream must serve all new calls");
            }
            let member = Rc::get_mut(&mut fleet)
                .unwrap()
                .members
                .get_mut(stopped)
                .unwrap();
            let task = member.task.take().unwrap();
            let ended = timeout(Duration::from_secs(5), task)
                .await
                .expect("the node stops within 5 s");
            assert_eq!(ended.unwrap(), HostEnd::Done);
        })
        .await;
    }
}

/// Guards against a stop that waits for idle connections or for calls that never end.
#[tokio::test(start_paused = true)]
async fn stop_is_bounded() {
    local(async {
        let stall = script(|_| std::future::pending::<Reply>());
        let fleet = Fleet::start(publication(&[("front", 1)], &[class("a")]), stall).await;
        let mut fleet = fleet;
        let at = fleet.members["front-0"].settings.public;
        let net = fleet.caller();
        let idle = spawn_local(async move {
            support::raw(&net, at, b"", Duration::from_secs(100)).await;
        });
        let net = fleet.caller();
        let call = b"POST /a HTTP/1.1\r\nhost: p\r\ncontent-length: 0\r\n\r\n";
        let open =
            spawn_local(
                async move { support::raw(&net, at, call, Duration::from_secs(100)).await },
            );
        sleep(Duration::from_millis(100)).await;
        let begin = Instant::now();
        assert_eq!(fleet.stop_node("front-0").await, HostEnd::Done);
        assert!(
            begin.elapsed() < Duration::from_millis(3_000),
            "{:?}",
            begin.elapsed()
        );
        idle.await.unwrap();
        let answer = open.await.unwrap();
        assert!(answer.contains("cb-outcome: unknown"), "{answer:?}");
    })
    .await;
}

/// Guards against a crash of the backend server that is not detected, or that still counts after
/// the server is back.
#[tokio::test(start_paused = true)]
async fn server_crash_is_detected() {
    local(async {
        let slow = script(|seen: support::Seen| async move {
            if seen.id() == "slow" {
                sleep(Duration::from_millis(300)).await;
            }
            ok("done")
        });
        let mut fleet = Fleet::start(publication(&[("front", 1)], &[class("a")]), slow).await;
        let calls = futures::future::join_all(
            (0..3).map(|_| fleet.post("front-0", "/a", &[("x-id", "slow")], "")),
        );
        let crash = async {
            sleep(Duration::from_millis(100)).await;
            fleet.crash_server("front-0");
        };
        let (answers, ()) = tokio::join!(calls, crash);
        for answer in answers {
            assert_eq!(answer.unwrap().outcome(), "failed");
        }
        sleep(Duration::from_millis(50)).await;
        let down = fleet
            .post("front-0", "/a", &[("x-id", "down")], "")
            .await
            .unwrap();
        assert_eq!(down.outcome(), "not-run");
        let decisions = fleet.admin("front-0", "/decisions").await;
        let text = String::from_utf8_lossy(&decisions.body).into_owned();
        assert!(text.contains("server-lost"), "{text}");
        fleet.restart_server("front-0");
        sleep(Duration::from_millis(500)).await;
        let back = fleet
            .post("front-0", "/a", &[("x-id", "back")], "other")
            .await
            .unwrap();
        assert_eq!(back.outcome(), "complete");
        assert!(fleet.runs_of("down").is_empty());
    })
    .await;
}
