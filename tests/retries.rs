//! Guards the retry allowance of a request over a whole chain of services.

mod support;

use std::time::Duration;

use bytes::Bytes;
use comfreybay::state::{
    counters::Counter,
    id::Revision,
    object::{Class, Control},
    publication::Publication,
};
use http::Response;
use support::{Fleet, Reply, class, local, ok, publication, script};

/// Number of retries sent by all nodes.
fn retries_sent(fleet: &Fleet) -> u64 {
    let counters = fleet.members.values().map(|m| &m.context.counters);
    counters.map(|c| c.get(Counter::RetriesSent)).sum()
}

fn shed() -> Reply {
    let response = Response::builder().status(503).header("x-shed", "1");
    Reply::Answer(response.body(Bytes::new()).unwrap())
}

/// Guards against retries that multiply over the hops of a chain.
#[tokio::test(start_paused = true)]
async fn allowance_bounds_attempts_over_three_hops() {
    for retries in [0, 1, 3, 7] {
        let mut retried = false;
        for seed in 0..10_u64 {
            let extra = local(async move {
                let mut total = 0;
                // Backend servers behind the first shed 70% of their requests; a server that does
                // not shed calls the next service twice.
                let rng = std::cell::RefCell::new(fastrand::Rng::with_seed(seed));
                let flaky = script(move |seen: support::Seen| {
                    let sheds = rng.borrow_mut().u8(..100) < 70;
                    async move {
                        let next = match seen.upstream.split('-').next().unwrap() {
                            "front" => "middle",
                            "middle" if !sheds => "deep",
                            "deep" if !sheds => return ok("done"),
                            _ => return shed(),
                        };
                        let (a, b) = tokio::join!(
                            seen.call(next, Bytes::new()),
                            seen.call(next, Bytes::new()),
                        );
                        let complete = [a, b]
                            .into_iter()
                            .flatten()
                            .all(|a| a.outcome() == "complete");
                        ok(if complete { "done" } else { "partly" })
                    }
                });
                let class = Class {
                    retries,
                    ..class("a")
                };
                let services = [("front", 2), ("middle", 3), ("deep", 3)];
                let fleet = Fleet::start(publication(&services, &[class]), flaky).await;
                for n in 0..5 {
                    let before = retries_sent(&fleet);
                    let id = n.to_string();
                    fleet
                        .post("front-0", "/a", &[("x-id", &id)], "")
                        .await
                        .unwrap();
                    tokio::time::sleep(Duration::from_millis(100)).await;
                    let extra = retries_sent(&fleet) - before;
                    assert!(
                        extra <= u64::from(retries),
                        "{extra} retries, at most {retries} allowed, seed {seed}"
                    );
                    // Apart from retries, each run makes two calls.
                    let runs = fleet.runs_of(&id);
                    let at =
                        |service| runs.iter().filter(|u| u.starts_with(service)).count() as u64;
                    assert!(at("middle") <= 2 * at("front") + extra);
                    assert!(at("deep") <= 2 * at("middle") + extra);
                    total += extra;
                }
                total
            })
            .await;
            retried |= extra > 0;
        }
        assert_eq!(
            retried,
            retries > 0,
            "up to {retries} retries allowed; the bound is tested only if calls are retried"
        );
    }
}

/// Guards against the outcome `not-run` for a call whose first attempt may have run and whose
/// retry was refused. With control off, a lost call of a repeatable class is retried.
#[tokio::test(start_paused = true)]
async fn refused_retry_of_a_lost_call_is_not_reported_as_not_run() {
    local(async {
        let first = std::cell::Cell::new(true);
        let lossy = script(move |seen: support::Seen| {
            let lost = seen.upstream.starts_with("deep") && first.replace(false);
            async move {
                if seen.upstream.starts_with("deep") {
                    return if lost { Reply::Raw(vec![]) } else { shed() };
                }
                let below = seen.call("deep", Bytes::new()).await;
                ok(below.map_or_else(|e| e, |a| a.outcome()))
            }
        });
        let base = publication(&[("front", 1), ("deep", 2)], &[class("a")]);
        let mut deployment = base.head.deployment.clone();
        deployment.control = Control::Off;
        let pieces = base.pieces.into_values().collect();
        let publication = Publication::new(Revision(1), deployment, pieces);
        let fleet = Fleet::start(publication, lossy).await;
        let headers = [("x-id", "1")];
        let answer = fleet.post("front-0", "/a", &headers, "").await.unwrap();
        assert_eq!(
            fleet.runs_of("1").len(),
            3,
            "the lost call must be retried once"
        );
        assert_eq!(answer.body, "unknown");
    })
    .await;
}
