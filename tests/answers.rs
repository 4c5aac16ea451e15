//! Guards the answers of the request path: complete, to the right caller, with the right outcome.

mod support;

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use comfreybay::transport::memory::Place;
use http::{Response, StatusCode};
use support::{Fleet, Reply, class, local, ok, publication, relay, script};
use tokio::time::{Instant, sleep};

const SMALL: usize = 1_024;
const LARGE: usize = 200 * 1_024;

fn chain() -> BTreeMap<&'static str, &'static str> {
    BTreeMap::from([("front", "deep")])
}

/// Guards against a truncated answer that looks complete when the server fails while sending it.
#[tokio::test(start_paused = true)]
async fn truncated_answer_is_an_error() {
    for size in [SMALL, LARGE] {
        for deep in [false, true] {
            local(async move {
                let broken = script(move |seen: support::Seen| async move {
                    if deep && seen.upstream == "front-0" {
                        return match seen.call("deep", Bytes::new()).await {
                            Ok(answer) => {
                                let below = answer.outcome();
                                let mut response = Response::new(answer.body);
                                *response.status_mut() = answer.status;
                                response
                                    .headers_mut()
                                    .insert("x-below", below.parse().unwrap());
                                Reply::Answer(response)
                            }
                            Err(_) => ok("below broke"),
                        };
                    }
                    Reply::Chunks(vec![Bytes::from(vec![7; size / 4]); 3], false)
                });
                let services = [("front", 1), ("deep", 1)];
                let fleet = Fleet::start(publication(&services, &[class("a")]), broken).await;
                let answer = fleet.post("front-0", "/a", &[], "").await;
                match (deep, size, answer) {
                    // The head has been forwarded already, so the connection must be broken.
                    (false, LARGE, answer) => assert!(answer.is_err(), "{answer:?}"),
                    (false, _, answer) => {
                        let answer = answer.unwrap();
                        assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
                        assert_eq!(answer.outcome(), "failed");
                    }
                    (true, LARGE, answer) => assert_eq!(answer.unwrap().body, "below broke"),
                    (true, _, answer) => {
                        let answer = answer.unwrap();
                        assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
                        assert_eq!(answer.header("x-below"), "failed");
                    }
                }
            })
            .await;
        }
    }
}

/// Guards against answers whose truncation can't be detected.
#[tokio::test(start_paused = true)]
async fn answers_without_a_detectable_end_are_errors() {
    let heads = [
        "HTTP/1.1 200 OK\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabc",
        "HTTP/1.1 000 OK\r\ncontent-length: 3\r\n\r\nabc",
        "HTTP/1.1 101 Switching Protocols\r\ncontent-length: 3\r\n\r\nabc",
        "no answer at all",
        "",
    ];
    for head in heads {
        local(async move {
            let server = script(move |_| async move { Reply::Raw(head.into()) });
            let fleet = Fleet::start(publication(&[("front", 1)], &[class("a")]), server).await;
            let answer = fleet.post("front-0", "/a", &[], "").await.unwrap();
            assert_eq!(answer.outcome(), "failed", "{head:?} gave {answer:?}");
            assert!(answer.body.is_empty(), "{head:?}");
        })
        .await;
    }
}

/// Guards against an answer that arrives after its deadline and is sent to another caller.
#[tokio::test(start_paused = true)]
async fn late_answer_is_discarded() {
    local(async {
        let slow = script(|seen: support::Seen| async move {
            if seen.id() == "slow" {
                sleep(Duration::from_millis(500)).await;
            }
            ok(seen.id())
        });
        let fleet = Fleet::start(publication(&[("front", 1)], &[class("a")]), slow).await;
        for _ in 0..20 {
            let headers = [("x-id", "slow"), ("cb-timeout-ms", "100")];
            let late = fleet.post("front-0", "/a", &headers, "").await.unwrap();
            assert_eq!(late.outcome(), "unknown");
            for id in ["1", "2", "3"] {
                let answer = fleet
                    .post("front-0", "/a", &[("x-id", id)], "")
                    .await
                    .unwrap();
                assert_eq!(answer.body, id);
                sleep(Duration::from_millis(150)).await;
            }
        }
    })
    .await;
}

/// Guards against a timed-out call that may have run and is reported as `not-run`.
#[tokio::test(start_paused = true)]
async fn timeout_is_not_reported_as_not_run_at_any_depth() {
    for stalled in ["front-0", "middle-0", "deep-0"] {
        local(async move {
            let chain = BTreeMap::from([("front", "middle"), ("middle", "deep")]);
            let inner = relay(chain);
            let stall = script(move |seen: support::Seen| {
                let inner = inner.clone();
                async move {
                    if seen.upstream == stalled {
                        std::future::pending::<()>().await;
                    }
                    inner(seen).await
                }
            });
            let services = [("front", 1), ("middle", 1), ("deep", 1)];
            let fleet = Fleet::start(publication(&services, &[class("a")]), stall).await;
            let start = Instant::now();
            let answer = fleet
                .post("front-0", "/a", &[("x-id", "1")], "")
                .await
                .unwrap();
            assert!(start.elapsed() >= Duration::from_millis(1_990));
            assert!(
                start.elapsed() <= Duration::from_millis(2_100),
                "{:?}",
                start.elapsed()
            );
            assert_ne!(answer.outcome(), "not-run");
            assert_eq!(
                fleet.runs_of("1").iter().filter(|u| *u == stalled).count(),
                1
            );
        })
        .await;
    }
}

/// Guards against a lost connection to a peer that is reported as `not-run`.
#[tokio::test(start_paused = true)]
async fn peer_crash_during_a_call_is_failed() {
    local(async {
        let inner = relay(chain());
        let stall = script(move |seen: support::Seen| {
            let inner = inner.clone();
            async move {
                if seen.upstream == "deep-0" {
                    sleep(Duration::from_millis(300)).await;
                }
                inner(seen).await
            }
        });
        let services = [("front", 1), ("deep", 1)];
        let fleet = Fleet::start(publication(&services, &[class("a")]), stall).await;
        let crash = async {
            sleep(Duration::from_millis(100)).await;
            fleet.members["deep-0"].node.crash();
        };
        let (answer, ()) = tokio::join!(fleet.post("front-0", "/a", &[("x-id", "1")], ""), crash);
        assert_eq!(answer.unwrap().header("x-below"), "failed");
        // Nothing listens at the peer's address now, so the next call cannot have run.
        let answer = fleet
            .post("front-0", "/a", &[("x-id", "2")], "")
            .await
            .unwrap();
        assert_eq!(answer.header("x-below"), "not-run");
        assert_eq!(fleet.runs_of("2"), ["front-0"]);
    })
    .await;
}

/// Guards against downstream calls that continue after their caller has disconnected.
#[tokio::test(start_paused = true)]
async fn disconnect_cancels_downstream_calls() {
    local(async {
        let inner = relay(chain());
        let slow = script(move |seen: support::Seen| {
            let inner = inner.clone();
            async move {
                if seen.upstream == "deep-0" {
                    sleep(Duration::from_millis(1_000)).await;
                }
                inner(seen).await
            }
        });
        let services = [("front", 1), ("deep", 1)];
        let fleet = Fleet::start(publication(&services, &[class("a")]), slow).await;
        let call = fleet.post("front-0", "/a", &[], "");
        assert!(
            tokio::time::timeout(Duration::from_millis(200), call)
                .await
                .is_err()
        );
        sleep(Duration::from_millis(100)).await;
        for name in ["front-0", "deep-0"] {
            let context = &fleet.members[name].context;
            assert_eq!(context.calls.borrow().len(), 0, "{name}");
            assert_eq!(context.gate.load().in_flight, 0, "{name}");
        }
    })
    .await;
}

/// Guards against shed requests reported as `not-run` after a call to another service, and against
/// refusals without the headers that tell callers when to retry.
#[tokio::test(start_paused = true)]
async fn shed_answer_is_not_run_only_without_egress() {
    local(async {
        let shed = script(|seen: support::Seen| async move {
            if seen.id() == "calls" && seen.upstream == "front-0" {
                let _ = seen.call("deep", Bytes::new()).await;
            }
            if seen.upstream == "deep-0" {
                return ok("");
            }
            let response = Response::builder().status(503).header("x-shed", "1");
            Reply::Answer(response.body(Bytes::new()).unwrap())
        });
        let services = [("front", 1), ("deep", 1)];
        let fleet = Fleet::start(publication(&services, &[class("a")]), shed).await;
        let answer = fleet
            .post("front-0", "/a", &[("x-id", "plain")], "")
            .await
            .unwrap();
        assert_eq!(answer.outcome(), "not-run");
        let retry_ms: u64 = answer.header("cb-retry-ms").parse().unwrap();
        let retry_s: u64 = answer.header("retry-after").parse().unwrap();
        assert!(
            (250..=750).contains(&retry_ms) && retry_s == 1,
            "{answer:?}"
        );
        let answer = fleet
            .post("front-0", "/a", &[("x-id", "calls")], "")
            .await
            .unwrap();
        assert_ne!(answer.outcome(), "not-run");
    })
    .await;
}

/// Guards against calls that fail because the server has closed an idle connection.
#[tokio::test(start_paused = true)]
async fn closed_idle_connection_is_replaced() {
    local(async {
        let answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        let closes = script(move |_| async move { Reply::Raw(answer.into()) });
        let fleet = Fleet::start(publication(&[("front", 1)], &[class("a")]), closes).await;
        for n in 0..20 {
            let answer = fleet.post("front-0", "/a", &[], "").await.unwrap();
            assert_eq!(answer.outcome(), "complete", "call {n}: {answer:?}");
            sleep(Duration::from_millis(n)).await;
        }
    })
    .await;
}

/// Guards against calls that wait one after another for the connection timeout of an unreachable
/// peer.
#[tokio::test(start_paused = true)]
async fn unreachable_peer_delays_calls_once() {
    local(async {
        let services = [("front", 1), ("deep", 2)];
        let fleet = Fleet::start(publication(&services, &[class("a")]), relay(chain())).await;
        let deep = fleet.members["deep-0"].settings.peer.ip();
        let front = fleet.members["front-0"].settings.peer.ip();
        fleet
            .network
            .cut_both(Place::Host(front), Place::Host(deep));
        let calls = (0..4).map(|_| async {
            let begin = Instant::now();
            (
                fleet.post("front-0", "/a", &[], "").await.unwrap(),
                begin.elapsed(),
            )
        });
        for (answer, spent) in futures::future::join_all(calls).await {
            assert_eq!(answer.header("x-below"), "complete", "{answer:?}");
            assert!(spent < Duration::from_millis(700), "{spent:?}");
        }
    })
    .await;
}
