//! Guards non-repeatable requests and their tickets.

mod support;

use std::time::Duration;

use comfreybay::state::object::Class;
use support::{Answer, Fleet, Reply, Script, class, local, ok, publication, relay, script};
use tokio::time::sleep;

fn commission() -> Class {
    Class {
        repeatable: false,
        ..class("commission")
    }
}

async fn fleet(script: Script) -> Fleet {
    let services = [("front", 3), ("deep", 2)];
    Fleet::start(publication(&services, &[commission()]), script).await
}

fn slow(delay_ms: u64) -> Script {
    script(move |seen: support::Seen| async move {
        sleep(Duration::from_millis(delay_ms)).await;
        ok(seen.id())
    })
}

async fn ticket(fleet: &Fleet, name: &str) -> String {
    let answer = fleet
        .post(name, "/.comfreybay/ticket?count=2", &[], "")
        .await
        .unwrap();
    let tickets: Vec<String> = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(tickets.len(), 2);
    tickets[0].clone()
}

async fn present(fleet: &Fleet, name: &str, ticket: &str, body: &'static str) -> Answer {
    let headers = [("idempotency-key", ticket), ("x-id", "1")];
    fleet
        .post(name, "/commission", &headers, body)
        .await
        .unwrap()
}

/// Guards against a non-repeatable request that runs without a ticket.
#[tokio::test(start_paused = true)]
async fn missing_ticket_is_refused_with_a_fresh_one() {
    local(async {
        let fleet = fleet(slow(0)).await;
        for key in ["", "my-own-key"] {
            let headers = [("idempotency-key", key), ("x-id", "1")];
            let answer = fleet
                .post("front-0", "/commission", &headers, "")
                .await
                .unwrap();
            assert_eq!(
                (answer.status.as_u16(), answer.outcome().as_str()),
                (428, "not-run")
            );
            assert!(fleet.runs_of("1").is_empty());
            let fresh = answer.header("cb-ticket");
            let answer = present(&fleet, "front-0", &fresh, key).await;
            assert_eq!(
                (answer.status.as_u16(), answer.body.as_ref()),
                (200, &b"1"[..])
            );
            assert!(!answer.header("cb-ticket").is_empty());
            fleet.runs.borrow_mut().clear();
        }
    })
    .await;
}

/// Guards against a request that runs twice when its ticket is presented to several nodes at once.
#[tokio::test(start_paused = true)]
async fn ticket_presented_to_several_nodes_runs_once() {
    local(async {
        let fleet = fleet(slow(100)).await;
        let ticket = ticket(&fleet, "front-0").await;
        let (a, b, c) = tokio::join!(
            present(&fleet, "front-0", &ticket, "x"),
            present(&fleet, "front-1", &ticket, "x"),
            present(&fleet, "front-2", &ticket, "x"),
        );
        assert_eq!(fleet.runs_of("1").len(), 1);
        let mut statuses = [a.status.as_u16(), b.status.as_u16(), c.status.as_u16()];
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 409, 409]);
        // The issuer keeps the answer, so every node returns it from now on.
        for name in ["front-0", "front-1", "front-2"] {
            let answer = present(&fleet, name, &ticket, "x").await;
            assert_eq!(
                (answer.outcome().as_str(), answer.body.as_ref()),
                ("complete", &b"1"[..])
            );
        }
        let other = present(&fleet, "front-1", &ticket, "y").await;
        assert_eq!(
            (other.status.as_u16(), other.outcome().as_str()),
            (422, "unknown")
        );
        assert_eq!(fleet.runs_of("1").len(), 1);
    })
    .await;
}

/// Guards against a ticket that runs again after its issuer has lost its state.
#[tokio::test(start_paused = true)]
async fn restarted_issuer_answers_unknown() {
    local(async {
        let mut fleet = fleet(slow(0)).await;
        let (used, unused) = (
            ticket(&fleet, "front-0").await,
            ticket(&fleet, "front-0").await,
        );
        assert_eq!(
            present(&fleet, "front-0", &used, "").await.outcome(),
            "complete"
        );
        fleet.members["front-0"].node.crash();
        sleep(Duration::from_millis(10)).await;
        let unreachable = present(&fleet, "front-1", &used, "").await;
        assert_eq!(unreachable.outcome(), "unknown");
        fleet.restart_node("front-0").await;
        for name in ["front-0", "front-1"] {
            for ticket in [&used, &unused] {
                let answer = present(&fleet, name, ticket, "").await;
                assert_eq!(
                    (answer.status.as_u16(), answer.outcome().as_str()),
                    (504, "unknown")
                );
            }
        }
        assert_eq!(fleet.runs_of("1").len(), 1);
    })
    .await;
}

/// Guards against a second run after the caller cancelled the first.
#[tokio::test(start_paused = true)]
async fn cancelled_request_does_not_run_again() {
    local(async {
        let fleet = fleet(slow(500)).await;
        let ticket = ticket(&fleet, "front-0").await;
        let first = present(&fleet, "front-1", &ticket, "");
        assert!(
            tokio::time::timeout(Duration::from_millis(100), first)
                .await
                .is_err()
        );
        sleep(Duration::from_millis(1_000)).await;
        let answer = present(&fleet, "front-0", &ticket, "").await;
        assert_eq!(
            (answer.status.as_u16(), answer.outcome().as_str()),
            (409, "unknown")
        );
        assert_eq!(fleet.runs_of("1").len(), 1);
    })
    .await;
}

/// Guards against a refused ticket that runs when a delayed copy arrives.
#[tokio::test(start_paused = true)]
async fn refused_ticket_never_runs() {
    local(async {
        let mut fleet = fleet(slow(0)).await;
        let ticket = ticket(&fleet, "front-0").await;
        for name in ["front-0", "front-1", "front-2"] {
            fleet.crash_server(name);
        }
        let refused = present(&fleet, "front-0", &ticket, "").await;
        assert_eq!(refused.outcome(), "not-run");
        assert_ne!(refused.header("cb-ticket"), ticket);
        for name in ["front-0", "front-1", "front-2"] {
            fleet.restart_server(name);
        }
        sleep(Duration::from_millis(1_000)).await;
        let again = present(&fleet, "front-1", &ticket, "").await;
        assert_eq!(again.outcome(), "not-run");
        assert!(fleet.runs_of("1").is_empty());
    })
    .await;
}

/// Guards against a backend server that repeats a call of a non-repeatable request.
#[tokio::test(start_paused = true)]
async fn repeated_egress_call_is_refused() {
    local(async {
        let twice = script(|seen: support::Seen| async move {
            if seen.upstream.starts_with("deep") {
                return ok("done");
            }
            let first = seen.call("deep", "x".into()).await.unwrap();
            let again = seen.call("deep", "x".into()).await.unwrap();
            let other = seen.call("deep", "y".into()).await.unwrap();
            let outcomes = [first.outcome(), again.outcome(), other.outcome()];
            ok(outcomes.join(" "))
        });
        let fleet = fleet(twice).await;
        let ticket = ticket(&fleet, "front-0").await;
        let answer = present(&fleet, "front-0", &ticket, "").await;
        assert_eq!(answer.body, "complete unknown complete");
    })
    .await;
}

/// Guards against a non-repeatable request that is sent to a second upstream after it may have run.
#[tokio::test(start_paused = true)]
async fn broken_non_repeatable_call_is_not_retried() {
    local(async {
        let inner = relay([("front", "deep")].into());
        let broken = script(move |seen: support::Seen| {
            let inner = inner.clone();
            async move {
                if seen.upstream.starts_with("deep") {
                    return Reply::Raw(Vec::new());
                }
                let response = seen.call("deep", "x".into()).await.unwrap();
                drop(inner);
                ok(response.outcome())
            }
        });
        let fleet = fleet(broken).await;
        let ticket = ticket(&fleet, "front-0").await;
        let answer = present(&fleet, "front-0", &ticket, "").await;
        assert_eq!(answer.body, "failed");
        let deep = fleet
            .runs
            .borrow()
            .iter()
            .filter(|(u, _)| u.starts_with("deep"))
            .count();
        assert_eq!(deep, 1);
    })
    .await;
}

/// Guards against any outcome but `unknown` for a request whose ticket issuer crashes while it
/// runs.
#[tokio::test(start_paused = true)]
async fn issuer_crash_during_a_request_is_unknown() {
    local(async {
        let fleet = fleet(slow(500)).await;
        let ticket = ticket(&fleet, "front-0").await;
        let crash = async {
            sleep(Duration::from_millis(100)).await;
            fleet.members["front-0"].node.crash();
        };
        let (answer, ()) = tokio::join!(present(&fleet, "front-1", &ticket, ""), crash);
        assert_eq!(
            (answer.status.as_u16(), answer.outcome().as_str()),
            (504, "unknown")
        );
        assert_eq!(fleet.runs_of("1").len(), 1);
    })
    .await;
}

/// Guards against tickets issued by a leaving node, which will be gone when they are presented.
#[tokio::test(start_paused = true)]
async fn leaving_node_issues_no_ticket() {
    local(async {
        let fleet = fleet(slow(300)).await;
        let ticket = ticket(&fleet, "front-0").await;
        let stop = async {
            sleep(Duration::from_millis(100)).await;
            fleet.members["front-0"].stop.cancel();
        };
        let (answer, ()) = tokio::join!(present(&fleet, "front-0", &ticket, ""), stop);
        assert_eq!(
            (answer.outcome().as_str(), answer.header("cb-ticket")),
            ("complete", "".into())
        );
        let path = "/.comfreybay/ticket";
        let refused = fleet.post("front-0", path, &[], "").await.unwrap();
        assert_eq!(
            (refused.status.as_u16(), refused.header("cb-leaving")),
            (503, "1".into())
        );
    })
    .await;
}
