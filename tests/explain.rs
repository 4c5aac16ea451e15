//! Guards the listener for questions of a node: its answers against the requests that follow, and
//! that questions change nothing.

mod support;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use comfreybay::{
    protocol::explain::{ANSWER_MAX_BYTES, QUESTION_MAX_BYTES},
    state::{
        counters::{Counter, MetricKind},
        id::UpstreamName,
        mesh::{
            backend::{Backend, Phase},
            explain::{Explained, Explanation, QuotaStanding, Refusal, Unknown},
            organisation::{Organisation, Organisations, Quota},
            route::{Route, WeightedService},
        },
        upstream::Obstacle,
    },
    transport::memory::Process,
};
use http::{Request, StatusCode};
use http_body_util::Full;
use support::{
    Answer, CALLER, Script, local,
    mesh::{METRICS, MeshFleet, route, sealed, table},
    script, send,
};
use tokio::time::{Instant, sleep, sleep_until};

const LEFT: (&str, &str) = ("x-left", "1000");
const QUESTION: &str = "/explain?method=POST&host=h&path=/a/";

fn echo() -> Script {
    script(|seen| async move { sealed(&seen, "") })
}

async fn get(fleet: &MeshFleet, path: &str) -> Answer {
    let at = SocketAddr::new(fleet.pairs["front-0"].entry.address.ip(), METRICS);
    let net = fleet.network.net(CALLER, Process::default());
    let request = Request::get(path).header("host", "m");
    let request = request.body(Full::default()).unwrap();
    send(&net, at, request).await.unwrap()
}

async fn ask(fleet: &MeshFleet, question: &str) -> Explanation {
    let answer = get(fleet, question).await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    assert_eq!(answer.header("content-type"), "application/json");
    assert!(answer.body.len() <= ANSWER_MAX_BYTES);
    serde_json::from_slice(&answer.body).unwrap()
}

async fn explained(fleet: &MeshFleet) -> Explained {
    ask(fleet, QUESTION).await.request.expect("an explanation")
}

/// Sends requests one after the other; returns the servers that ran them.
async fn run(fleet: &MeshFleet, ids: std::ops::Range<usize>) -> Vec<String> {
    let mut servers = vec![];
    for id in ids {
        let id = id.to_string();
        let headers = [("x-id", id.as_str()), LEFT];
        let answer = fleet.post("front-0", "/a/", &headers).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        servers.extend(fleet.runs_of(&id));
    }
    servers
}

fn server_name(name: &UpstreamName) -> String {
    name.as_str().trim_end_matches(".1").to_owned()
}

fn counts(servers: &[String]) -> BTreeMap<String, u32> {
    let mut counts = BTreeMap::new();
    for server in servers {
        *counts.entry(server.clone()).or_default() += 1;
    }
    counts
}

/// Guards against an operator who is told another server than the only one that requests go to.
#[tokio::test(start_paused = true)]
async fn only_candidate_gets_the_requests() {
    local(async {
        let pairs = [("front", 1, 4), ("deep", 3, 4)];
        let fleet = MeshFleet::with(&pairs, vec![route("a", "deep")], echo()).await;
        for name in ["deep-0", "deep-2"] {
            let draining = Backend {
                phase: Phase::Draining,
                ..fleet.pairs[name].entry.clone()
            };
            fleet.put_entry(draining);
        }
        sleep(Duration::from_millis(100)).await;
        let answer = explained(&fleet).await;
        let most_likely = answer.most_likely.as_ref().map(server_name);
        assert_eq!(most_likely.as_deref(), Some("deep-1"));
        let others = answer.candidates.iter().skip(1);
        let others: Vec<_> = others
            .map(|c| (server_name(&c.server), c.against))
            .collect();
        let leaving = |name: &str| (name.to_owned(), Some(Obstacle::Leaving));
        assert_eq!(others, [leaving("deep-0"), leaving("deep-2")]);
        assert_eq!(
            counts(&run(&fleet, 0..50).await),
            [("deep-1".into(), 50)].into()
        );
    })
    .await;
}

/// Guards against a server that is named as the most likely one, and gets fewer requests than
/// another.
#[tokio::test(start_paused = true)]
async fn most_likely_server_gets_the_most_requests() {
    // The generators of the nodes are seeded from the one of this thread.
    fastrand::seed(3);
    local(async {
        let weighted = |service: &str, weight| WeightedService {
            service: service.parse().unwrap(),
            weight,
        };
        let split = Route {
            services: vec![weighted("deep", 1.0), weighted("wide", 3.0)],
            ..route("a", "deep")
        };
        // One server of each service has more slots than its others.
        let pairs = [("front", 1, 4), ("deep", 2, 4), ("wide", 3, 4)];
        let fleet = MeshFleet::with(&pairs, vec![split], echo()).await;
        for name in ["deep-1", "wide-1"] {
            let large = Backend {
                slots: 40,
                ..fleet.pairs[name].entry.clone()
            };
            fleet.put_entry(large);
        }
        sleep(Duration::from_millis(100)).await;
        let answer = explained(&fleet).await;
        let most_likely = answer.most_likely.as_ref().map(server_name).unwrap();
        let first = &answer.candidates[0];
        assert!(
            first.chance > answer.candidates[1].chance + 0.1,
            "{answer:?}"
        );
        let counts = counts(&run(&fleet, 0..400).await);
        let most = counts.values().copied().max();
        assert_eq!(
            counts.get(&most_likely).copied(),
            most,
            "{most_likely}: {counts:?}"
        );
    })
    .await;
}

/// Totals of a node: everything that counts events.
fn totals(fleet: &MeshFleet) -> Vec<(Counter, u64)> {
    let counters = fleet.pairs["front-0"].mesh.counters.iter();
    counters
        .filter(|(counter, _)| counter.kind() == MetricKind::Total)
        .collect()
}

/// Runs 300 requests, and between the 100th and the 101st asks a number of questions, in an
/// interval of fixed length. Returns the servers that ran the requests, and the state of the node's
/// random number generator at the end.
async fn run_with_questions(questions: usize) -> (Vec<String>, u64) {
    // The generators of the nodes are seeded from the one of this thread.
    fastrand::seed(11);
    let pairs = [("front", 1, 4), ("deep", 5, 4)];
    let fleet = MeshFleet::with(&pairs, vec![route("a", "deep")], echo()).await;
    let mut servers = run(&fleet, 0..100).await;
    let (before, until) = (totals(&fleet), Instant::now() + Duration::from_secs(5));
    for _ in 0..questions {
        explained(&fleet).await;
    }
    assert!(
        Instant::now() < until,
        "the questions take longer than the interval"
    );
    if questions > 0 {
        assert_eq!(totals(&fleet), before);
    }
    sleep_until(until).await;
    servers.extend(run(&fleet, 100..300).await);
    let state = fleet.pairs["front-0"].mesh.rng.borrow().get_seed();
    (servers, state)
}

/// Guards against questions that are counted as requests, draw random numbers of the node, or change
/// which servers later requests go to.
#[tokio::test(start_paused = true)]
async fn thousand_questions_change_nothing() {
    let without = local(run_with_questions(0)).await;
    let with = local(run_with_questions(1_000)).await;
    assert_eq!(without.0.len(), 300);
    assert_eq!(without, with);
}

/// Guards against questions that are answered although they are too long or malformed.
#[tokio::test(start_paused = true)]
async fn long_and_malformed_questions_are_refused() {
    local(async {
        let fleet = MeshFleet::with(&[("front", 1, 4)], vec![route("a", "front")], echo()).await;
        let longest = format!(
            "{QUESTION}{}",
            "a".repeat(QUESTION_MAX_BYTES - QUESTION.len())
        );
        assert_eq!(get(&fleet, &longest).await.status, StatusCode::OK);
        let cases = [
            (format!("{longest}a"), StatusCode::URI_TOO_LONG),
            ("/explain".to_owned(), StatusCode::BAD_REQUEST),
            (
                format!("{QUESTION}&time_left_ms=x"),
                StatusCode::BAD_REQUEST,
            ),
            (format!("{QUESTION}&organisation="), StatusCode::BAD_REQUEST),
            (format!("{QUESTION}&key=k"), StatusCode::BAD_REQUEST),
            (format!("{QUESTION}&path=/b/"), StatusCode::BAD_REQUEST),
            (QUESTION.replace("POST", "P(T"), StatusCode::BAD_REQUEST),
        ];
        for (question, expected) in cases {
            let shown: String = question.chars().take(80).collect();
            assert_eq!(get(&fleet, &question).await.status, expected, "{shown}");
        }
    })
    .await;
}

/// Guards against a node that gives no answer before it has a configuration or while it refuses
/// callers.
#[tokio::test(start_paused = true)]
async fn questions_are_answered_while_callers_are_refused() {
    local(async {
        let fleet = MeshFleet::start(&[("front", 1, 4)], echo()).await;
        let unknown = ask(&fleet, QUESTION).await.unknown;
        assert_eq!(unknown, Some(Unknown::NoConfiguration));
        fleet.put_routes(table(1, vec![route("a", "front")]));
        sleep(Duration::from_millis(100)).await;
        assert_eq!(explained(&fleet).await.refusal, None);
        fleet.pairs["front-0"].mesh.refusing_callers.set(true);
        assert_eq!(explained(&fleet).await.refusal, Some(Refusal::Leaving));
        let refused = fleet.post("front-0", "/a/", &[("x-id", "1"), LEFT]).await;
        assert_eq!(refused.unwrap().status, StatusCode::SERVICE_UNAVAILABLE);
    })
    .await;
}

/// Guards against an organisation over its quota that is shown as within it, or the reverse, and
/// against a question that takes a token.
#[tokio::test(start_paused = true)]
async fn quota_is_shown_as_requests_find_it() {
    local(async {
        let limited = Organisation {
            name: "Acme_1".parse().unwrap(),
            priority: None,
            quota: Some(Quota {
                per_second: 2.0,
                burst: 1.0,
            }),
        };
        let organisations = Organisations::new(vec![(limited, vec!["k1".to_owned()])]).unwrap();
        let fleet = MeshFleet::start(&[("front", 2, 4)], echo()).await;
        fleet.put_routes(table(1, vec![route("a", "front")]).with_organisations(organisations));
        sleep(Duration::from_secs(5)).await;
        let question = format!("{QUESTION}&organisation=Acme_1");
        let headers = [("x-id", "1"), LEFT, ("authorization", "Bearer k1")];
        let mut seen = BTreeMap::new();
        // Far below the quota at first, when the node holds reserve tokens, then above it.
        for n in 0..70 {
            if n < 10 {
                sleep(Duration::from_secs(1)).await;
            }
            for _ in 0..20 {
                ask(&fleet, &question).await;
            }
            let answer = ask(&fleet, &question).await.request.unwrap();
            let standing = answer.organisation.unwrap().quota.unwrap().standing;
            let status = fleet.post("front-0", "/a/", &headers).await.unwrap().status;
            match standing {
                QuotaStanding::Within => assert_eq!(status, StatusCode::OK),
                QuotaStanding::Over => assert_eq!(status, StatusCode::TOO_MANY_REQUESTS),
                QuotaStanding::Asks => {}
            }
            *seen.entry(format!("{standing:?}")).or_insert(0) += 1;
        }
        assert!(
            seen.contains_key("Over") && seen.contains_key("Within"),
            "{seen:?}"
        );
    })
    .await;
}
