//! Servers of the deepest service of a chain that turn away what they get, although they have free
//! slots: each request from a caller makes two calls there, one after the other.
//!
//! Guards against requests that are started although they can't complete: their callers get a
//! failure that does not say whether they have run, and the work of the services before is lost.

mod support;

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use comfreybay::state::mesh::route::Route;
use http::{Response, StatusCode};
use support::{
    Reply, Script, Seen, header, local,
    mesh::{MeshFleet, route, sealed},
    script,
};
use tokio::time::{Instant, sleep, sleep_until};

const FRONTS: u8 = 4;
const DEEPS: u8 = 4;
const CALLS: u32 = 2;
/// Classes of requests with their importance, and how many a second there are of each.
const CLASSES: [(&str, u8, f64); 3] = [
    ("confirm", 0, 40.0),
    ("reserve", 1, 120.0),
    ("view", 2, 240.0),
];
const WARM_S: f64 = 3.0;
const SHED_S: f64 = 5.0;
const AFTER_S: f64 = 3.0;
/// Time that a request takes, at most; those in progress when calls begin to be turned away fail.
const REQUEST_S: f64 = 0.1;
/// Time until the new state is known everywhere.
const SETTLE_S: f64 = 1.0;

/// Part of a run, by the time at which a request was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    Before,
    /// The first second in which the servers turn calls away, and the requests in progress then.
    Onset,
    Shedding,
    /// The first second after it.
    Recovery,
    After,
}

impl Phase {
    fn at(phase_s: f64) -> Self {
        match phase_s {
            s if s < -REQUEST_S => Self::Before,
            s if s < SETTLE_S => Self::Onset,
            s if s < SHED_S => Self::Shedding,
            s if s < SHED_S + SETTLE_S => Self::Recovery,
            _ => Self::After,
        }
    }
}

/// How the requests of one phase and class ended.
#[derive(Debug, Default, Clone, Copy)]
struct Ends {
    complete: u32,
    /// Refused before any server had run them.
    refused: u32,
    /// Ended with a failure, or refused after a server had run them.
    failed: u32,
}

impl Ends {
    fn all(&self) -> u32 {
        self.complete + self.refused + self.failed
    }

    fn share(&self, count: u32) -> f64 {
        f64::from(count) / f64::from(self.all())
    }
}

#[derive(Debug, Default)]
struct Counts {
    sheds: bool,
    /// Requests that a server of the first service has run.
    begun: BTreeSet<String>,
    ends: BTreeMap<(Phase, &'static str), Ends>,
    /// Smallest and largest `Retry-After` of the refused requests, in seconds.
    retry_after: Option<(f64, f64)>,
}

impl Counts {
    fn phase(&self, phase: Phase) -> Ends {
        let ends = self.ends.iter().filter(|((p, _), _)| *p == phase);
        ends.fold(Ends::default(), |sum, (_, ends)| Ends {
            complete: sum.complete + ends.complete,
            refused: sum.refused + ends.refused,
            failed: sum.failed + ends.failed,
        })
    }

    fn record(&mut self, phase: Phase, class: &'static str, id: &str, answer: Option<(u16, f64)>) {
        let has_begun = self.begun.contains(id);
        let ends = self.ends.entry((phase, class)).or_default();
        match answer {
            Some((200, _)) => ends.complete += 1,
            Some((503, after)) if !has_begun => {
                ends.refused += 1;
                let (min, max) = self.retry_after.unwrap_or((after, after));
                self.retry_after = Some((min.min(after), max.max(after)));
            }
            _ => ends.failed += 1,
        }
    }
}

type Shared = Rc<RefCell<Counts>>;

/// Which calls the servers of the deepest service turn away: those at the first `servers` of them,
/// with this probability.
#[derive(Debug, Clone, Copy)]
struct Shed {
    servers: u8,
    share: f64,
}

fn servers(counts: Shared, shed: Shed) -> Script {
    let rng = Rc::new(RefCell::new(fastrand::Rng::with_seed(1)));
    script(move |seen: Seen| {
        let (counts, rng) = (counts.clone(), rng.clone());
        async move {
            let (service, n) = seen.upstream.split_once('-').unwrap();
            let n: u8 = n.parse().unwrap();
            let is_done = match service {
                "front" => {
                    let root = seen.id().split('.').next().unwrap().to_owned();
                    counts.borrow_mut().begun.insert(root);
                    sleep(Duration::from_millis(20)).await;
                    call(&seen, "/ledger/", "l").await
                }
                "middle" => {
                    sleep(Duration::from_millis(10)).await;
                    let mut is_done = true;
                    for n in 0..CALLS {
                        is_done = is_done && call(&seen, "/rate/", &n.to_string()).await;
                    }
                    is_done
                }
                _ => {
                    let is_shed = counts.borrow().sheds && n < shed.servers;
                    if is_shed && rng.borrow_mut().f64() < shed.share {
                        return turn_away(&seen);
                    }
                    sleep(Duration::from_millis(5)).await;
                    true
                }
            };
            match is_done {
                true => sealed(&seen, ""),
                false => failed(&seen),
            }
        }
    })
}

async fn call(seen: &Seen, path: &str, suffix: &str) -> bool {
    let id = format!("{}.{suffix}", seen.id());
    let headers = [("x-id", id.as_str()), ("x-left", "1000")];
    let answer = seen.send(path, &headers).await;
    answer.is_ok_and(|a| a.status == StatusCode::OK)
}

fn turn_away(seen: &Seen) -> Reply {
    let response = Response::builder()
        .status(StatusCode::SERVICE_UNAVAILABLE)
        .header("x-not-run", "1")
        .header("x-id", seen.id());
    Reply::Answer(response.body("".into()).unwrap())
}

fn failed(seen: &Seen) -> Reply {
    match sealed(seen, "") {
        Reply::Answer(mut answer) => {
            *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            Reply::Answer(answer)
        }
        other => other,
    }
}

async fn arrivals(
    fleet: Rc<MeshFleet>,
    counts: Shared,
    (class, importance, rate): (&'static str, u8, f64),
) {
    let mut rng = fastrand::Rng::with_seed(importance.into());
    let start = Instant::now();
    let mut at = start;
    for n in 0.. {
        at += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate);
        let phase_s = (at - start).as_secs_f64() - WARM_S;
        if phase_s > SHED_S + AFTER_S {
            return sleep(Duration::from_secs(2)).await;
        }
        sleep_until(at).await;
        let phase = Phase::at(phase_s);
        let (fleet, counts) = (fleet.clone(), counts.clone());
        tokio::task::spawn_local(async move {
            let (id, path) = (format!("{class}{n}"), format!("/{class}/"));
            let headers = [("x-id", id.as_str()), ("x-left", "2000")];
            let node = format!("front-{}", n % u32::from(FRONTS));
            let answer = fleet.post(&node, &path, &headers).await;
            let answer = answer.ok().map(|a| {
                let after = header(&a.headers, "retry-after").parse();
                (a.status.as_u16(), after.unwrap_or_default())
            });
            counts.borrow_mut().record(phase, class, &id, answer);
        });
    }
}

/// Turns the shedding of the servers on and off.
async fn switch(counts: Shared) {
    for (at_s, sheds) in [(WARM_S, true), (SHED_S, false)] {
        sleep(Duration::from_secs_f64(at_s)).await;
        counts.borrow_mut().sheds = sheds;
    }
}

async fn run(shed: Shed) -> (Counts, String) {
    let counts = Shared::default();
    let class = |(name, importance, _)| Route {
        importance,
        ..route(name, "front")
    };
    let mut routes: Vec<_> = CLASSES.into_iter().map(class).collect();
    routes.extend([route("ledger", "middle"), route("rate", "deep")]);
    let services = [
        ("front", FRONTS, 200),
        ("middle", 2, 200),
        ("deep", DEEPS, 200),
    ];
    let fleet = MeshFleet::with(&services, routes, servers(counts.clone(), shed)).await;
    let fleet = Rc::new(fleet);
    let [a, b, c] = CLASSES.map(|class| arrivals(fleet.clone(), counts.clone(), class));
    tokio::join!(a, b, c, switch(counts.clone()));
    let counts = counts.take();
    let mut case = format!("{shed:?}, Retry-After {:?} s", counts.retry_after);
    for phase in [
        Phase::Before,
        Phase::Onset,
        Phase::Shedding,
        Phase::Recovery,
        Phase::After,
    ] {
        let ends = counts.phase(phase);
        case += &format!("; {phase:?}: {ends:?}");
    }
    println!("{case}");
    (counts, case)
}

/// Guards against requests that are started although all servers of a service that they need turn
/// away what they get, and against a service that stays closed after they have recovered.
#[tokio::test(start_paused = true)]
async fn requests_are_refused_where_they_begin_while_the_deepest_service_runs_nothing() {
    local(async {
        let shed = Shed {
            servers: DEEPS,
            share: 1.0,
        };
        let (counts, case) = run(shed).await;
        for phase in [Phase::Before, Phase::After] {
            let ends = counts.phase(phase);
            assert_eq!(ends.complete, ends.all(), "{phase:?}: {case}");
        }
        let ends = counts.phase(Phase::Shedding);
        assert!(ends.share(ends.failed) <= 0.05, "{case}");
        let (min, max) = counts.retry_after.unwrap_or_default();
        assert!(min >= 0.5 && max <= 2.0 && max - min > 0.3, "{case}");
    })
    .await;
}

/// Guards against a service that is closed because one of its servers turns calls away, although
/// the others have room.
#[tokio::test(start_paused = true)]
async fn one_server_that_turns_calls_away_closes_nothing() {
    local(async {
        let shed = Shed {
            servers: 1,
            share: 1.0,
        };
        let (counts, case) = run(shed).await;
        for phase in [Phase::Shedding, Phase::Recovery, Phase::After] {
            let ends = counts.phase(phase);
            assert_eq!(ends.refused, 0, "{phase:?}: {case}");
            assert!(ends.share(ends.complete) >= 0.99, "{phase:?}: {case}");
        }
    })
    .await;
}

/// Guards against a service that is closed to all requests, or to the important ones first, although
/// its servers turn away only a part of the calls.
#[tokio::test(start_paused = true)]
async fn requests_are_refused_in_proportion_and_the_least_important_first() {
    local(async {
        let shed = Shed {
            servers: DEEPS,
            share: 0.4,
        };
        let (counts, case) = run(shed).await;
        let ends = counts.phase(Phase::Shedding);
        let refused = ends.share(ends.refused);
        assert!((0.25..=0.5).contains(&refused), "{refused:.3}: {case}");
        for class in ["confirm", "reserve"] {
            let ends = counts.ends[&(Phase::Shedding, class)];
            assert_eq!(ends.refused, 0, "{class}: {case}");
        }
        let ends = counts.phase(Phase::After);
        assert_eq!(ends.complete, ends.all(), "{case}");
    })
    .await;
}
