//! Guards the answer to the question where a request would go: a table of situations, and that
//! asking changes no later choice.

use std::{collections::BTreeSet, time::Duration};

use super::*;
use crate::state::{
    id::Revision,
    mesh::{backend::Backend, explain::QuestionText},
    priority::Level,
    upstream::{AttemptEnd, Pace, ServiceTime},
};
use world::{World, backend, revision, server};

mod world;

fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("valid name")
}

/// A question such as `GET /one/ Acme_1`.
fn question(text: &str) -> Question {
    let mut words = text.split(' ').map(str::to_owned);
    let question = QuestionText {
        method: words.next(),
        host: Some("H:80".to_owned()),
        path: words.next(),
        organisation: words.next(),
        time_left_ms: words.next(),
    };
    question.parse().expect("a valid question")
}

/// An answer such as `429 over-quota; b-0; b-0 100%, b-1 leaving`: the refusal, the most likely server,
/// and the candidates with their chance or the reason against them.
fn short(answer: &Explanation) -> String {
    let Some(request) = &answer.request else {
        return format!("{:?}", answer.unknown.expect("what is not known"));
    };
    assert_eq!(answer.unknown, None);
    let server = |name: &UpstreamName| name.as_str().trim_end_matches(".1").to_owned();
    let refusal = request.refusal;
    let refusal = refusal.map(|r| format!("{} {}; ", r.status(), r.as_str()));
    let candidates = request.candidates.iter().map(|c| {
        let own = if c.own { "own " } else { "" };
        match c.against {
            None => format!("{own}{} {:.1}%", server(&c.server), c.chance * 100.0),
            Some(against) => format!("{own}{} {}", server(&c.server), against.as_str()),
        }
    });
    format!(
        "{}{}; {}",
        refusal.unwrap_or_default(),
        request.most_likely.as_ref().map_or("-".to_owned(), server),
        candidates.collect::<Vec<_>>().join(", ")
    )
}

type Change = fn(&mut World);

/// Guards against an operator who is told that a request goes where it does not, or not why.
#[tokio::test(start_paused = true)]
async fn answers_in_known_situations() {
    let none: Change = |_| {};
    let cases: &[(&str, Change, &str, &str)] = &[
        (
            "no configuration",
            |w| w.routes = None,
            "GET /one/",
            "NoConfiguration",
        ),
        ("unknown path", none, "GET /other/", "Route"),
        (
            "unknown organisation",
            none,
            "GET /one/ Acme_2",
            "Organisation",
        ),
        (
            "a key in place of a name",
            none,
            "GET /one/ k-secret",
            "Organisation",
        ),
        (
            "equal servers: of two equal ones the first drawn is taken",
            none,
            "GET /one/",
            "a-0; a-0 33.3%, a-1 33.3%, a-2 33.3%",
        ),
        (
            "loaded servers",
            |w| {
                w.load("a-0", 5, Level::OPEN);
                w.load("a-1", 1, Level::OPEN);
            },
            "GET /one/",
            "a-2; a-2 66.7%, a-1 33.3%, a-0 0.0%",
        ),
        (
            "several services by weight",
            none,
            "GET /two/",
            "a-0; a-0 25.0%, a-1 25.0%, a-2 25.0%, b-0 25.0%",
        ),
        ("own server", none, "GET /own/", "own-0; own own-0 100.0%"),
        ("no server", none, "GET /none/", "503 no-backend; -; "),
        (
            "expected delay, with one call in 16 to a slow server that is drawn",
            |w| {
                for (n, ms) in [("a-0", 10), ("a-1", 20), ("a-2", 90)] {
                    let time = ServiceTime {
                        usual: Duration::from_millis(ms),
                        pace: Pace::new(100),
                    };
                    let class = "c".parse().expect("valid name");
                    w.router.update_service_time(&server(n), &class, time);
                }
            },
            "GET /one/",
            "a-0; a-0 65.6%, a-1 32.3%, a-2 2.1%",
        ),
        (
            "announced as leaving",
            |w| w.router.set_leaving(&server("a-0"), true),
            "GET /one/",
            "a-1; a-1 50.0%, a-2 50.0%, a-0 leaving",
        ),
        (
            "entry is draining",
            |w| {
                let draining = Backend {
                    phase: Phase::Draining,
                    ..backend("a", 1, "z-0")
                };
                w.put(draining);
            },
            "GET /one/",
            "a-0; a-0 50.0%, a-2 50.0%, a-1 leaving",
        ),
        (
            "entry is missing",
            |w| {
                let at = revision(2_000);
                w.registry.mark_missing(&name("a-2"), at, Instant::now());
                w.apply();
            },
            "GET /one/",
            "a-0; a-0 50.0%, a-1 50.0%, a-2 absent",
        ),
        (
            "ejected",
            |w| w.fail("a", "a-1", AttemptEnd::Lost),
            "GET /one/",
            "a-0; a-0 50.0%, a-2 50.0%, a-1 ejected",
        ),
        (
            "unreachable",
            |w| w.fail("a", "a-1", AttemptEnd::Unreachable),
            "GET /one/",
            "a-0; a-0 50.0%, a-2 50.0%, a-1 unreachable",
        ),
        (
            "all unreachable: they are tried nevertheless",
            |w| {
                for n in ["a-0", "a-1", "a-2"] {
                    w.router.set_reachable(&server(n), false);
                }
            },
            "GET /one/",
            "a-0; a-0 33.3%, a-1 33.3%, a-2 33.3%",
        ),
        (
            "node about to stop",
            |w| w.router.set_retiring(&server("a-2"), true),
            "GET /one/",
            "a-0; a-0 50.0%, a-1 50.0%, a-2 stopping",
        ),
        (
            "other zone",
            |w| {
                w.put(backend("a", 1, "z-1"));
                w.put(backend("a", 2, "z-1"));
            },
            "GET /one/",
            "a-0; a-0 100.0%, a-1 other-zone, a-2 other-zone",
        ),
        (
            "other zone, calls spill over",
            |w| {
                w.put(backend("a", 1, "z-1"));
                w.put(backend("a", 2, "z-1"));
                w.load("a-0", 9, Level::OPEN);
            },
            "GET /one/",
            "a-1; a-1 50.0%, a-2 50.0%, a-0 0.0%",
        ),
        (
            "level of one server",
            |w| w.load("a-0", 0, Level(0)),
            "GET /one/",
            "a-1; a-1 50.0%, a-2 50.0%, a-0 level",
        ),
        (
            "level of all servers: one of them refuses the request",
            |w| {
                for n in ["a-0", "a-1", "a-2"] {
                    w.load(n, 0, Level(0));
                }
            },
            "GET /one/",
            "a-0; a-0 33.3%, a-1 33.3%, a-2 33.3%",
        ),
        (
            "level of a service below",
            |w| w.refuse("keyed", "deep", 0),
            "GET /keyed/ Acme_1",
            "503 level-below; b-0; b-0 100.0%",
        ),
        (
            "the same for a more important organisation",
            |w| w.refuse("keyed", "deep", 1 << 24),
            "GET /keyed/ Best_2",
            "b-0; b-0 100.0%",
        ),
        ("no key", none, "GET /keyed/", "401 no-key; b-0; b-0 100.0%"),
        ("no quota", none, "GET /keyed/ Acme_1", "b-0; b-0 100.0%"),
        (
            "over quota",
            |w| w.quota = Some(QuotaStanding::Over),
            "GET /keyed/ Acme_1",
            "429 over-quota; b-0; b-0 100.0%",
        ),
        (
            "within quota",
            |w| w.quota = Some(QuotaStanding::Within),
            "GET /keyed/ Acme_1",
            "b-0; b-0 100.0%",
        ),
        (
            "quota of an organisation does not concern requests without one",
            |w| w.quota = Some(QuotaStanding::Over),
            "GET /own/",
            "own-0; own own-0 100.0%",
        ),
        (
            "method that is not served",
            none,
            "TRACE /own/",
            "405 method; own-0; own own-0 100.0%",
        ),
        (
            "node that stops; the level is not looked at then",
            |w| {
                w.is_refusing_callers = true;
                w.refuse("own", "deep", 0);
            },
            "GET /own/",
            "503 leaving; own-0; own own-0 100.0%",
        ),
        (
            "memory is short",
            |w| w.is_memory_short = true,
            "GET /keyed/",
            "503 memory; b-0; b-0 100.0%",
        ),
    ];
    for (situation, change, text, expected) in cases {
        let mut world = World::new();
        change(&mut world);
        let answer = world.ask(&question(text));
        assert_eq!(short(&answer), *expected, "{situation}");
        let json = serde_json::to_string(&answer).expect("the answer is JSON");
        assert!(!json.contains("k-secret"), "{situation}: {json}");
    }
}

/// Guards against fields that an operator relies on and that are those of another request.
#[tokio::test(start_paused = true)]
async fn answer_has_the_fields_of_the_request() {
    let mut world = World::new();
    world.quota = Some(QuotaStanding::Asks);
    // Three quarters of the requests of this importance are refused.
    let importance = world.routes.as_ref().map(|table| {
        let route = table.find("h", "/two/").expect("a route");
        table.importance(route, find(table, &name("Acme_1")))
    });
    let importance = importance.expect("routes");
    let level = (u32::from(importance) << 24) + (1 << 21) - 1;
    world.refuse("two", "deep", level);
    world.load("a-0", 4, Level::OPEN);
    tokio::time::advance(Duration::from_millis(40)).await;
    let answer = world.ask(&question("GET /two/x Acme_1 700"));
    let request = answer.request.expect("an explanation");
    assert_eq!(answer.routes, Some(Revision(7)));
    assert_eq!(request.time_limit_ms, 700);
    assert_eq!(request.route.timeout_ms, 2_000);
    assert_eq!(
        (request.route.attempts, request.route.idempotent),
        (2, true)
    );
    let shares: Vec<_> = request.route.services.iter().map(|s| s.share).collect();
    assert_eq!(shares, [0.75, 0.25, 0.0]);
    assert_eq!(request.importance, importance);
    let found = request.level.expect("a level");
    assert_eq!((found.refused, found.age_ms), (0.75, 40));
    let organisation = request.organisation.expect("an organisation");
    let quota = organisation.quota.expect("a quota");
    assert_eq!((quota.per_second, quota.burst), (5.0, 9.0));
    let loaded = request
        .candidates
        .iter()
        .find(|c| c.server == server("a-0"));
    let loaded = loaded.expect("the server is listed");
    let load = (loaded.load.as_deref(), loaded.load_age_ms, loaded.weight);
    assert_eq!(load, (Some("4/10/0"), Some(40), Some(10.0)));
}

/// Guards against an answer that grows with the size of a service.
#[tokio::test(start_paused = true)]
async fn candidates_are_bounded() {
    let mut world = World::new();
    (3..=200).for_each(|n| world.put(backend("a", n, "z-0")));
    let answer = world.ask(&question("GET /one/"));
    let request = answer.request.expect("an explanation");
    assert_eq!(request.candidate_count, 201);
    assert_eq!(request.candidates.len(), CANDIDATES_MAX);
    let chance: f64 = request.candidates.iter().map(|c| c.chance).sum();
    assert!((chance - 1.0).abs() < 0.01, "{chance}");
}

/// Guards against questions that draw random numbers, or change what later choices depend on.
#[tokio::test(start_paused = true)]
async fn questions_change_no_later_choice() {
    let (asked, other) = (World::new(), World::new());
    let mut rng = fastrand::Rng::with_seed(5);
    for _ in 0..300 {
        for world in [&asked, &other] {
            world.load("a-1", 3, Level::OPEN);
        }
        let texts = ["GET /one/", "GET /two/ Acme_1", "GET /other/"];
        for text in texts {
            asked.ask(&question(text));
        }
        let picks = [&asked, &other].map(|world| {
            let pick = world
                .router
                .pick(&name("a"), Priority::middle(1), &BTreeSet::new());
            pick.expect("a server")
        });
        let names = picks.each_ref().map(|pick| pick.upstream().name.clone());
        assert_eq!(names[0], names[1]);
        let end = match rng.u8(..10) {
            0 => AttemptEnd::Lost,
            1 => AttemptEnd::Unreachable,
            _ => AttemptEnd::Answered,
        };
        tokio::time::advance(Duration::from_millis(rng.u64(..400))).await;
        picks.into_iter().for_each(|pick| pick.finish(end));
    }
    assert_eq!(asked.router.examined(), other.router.examined());
}
