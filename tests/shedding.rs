//! Servers of the deepest service that turn requests away by themselves, whatever is sent to them.
//!
//! Guards against retries that are spread over all requests, so that few of them get all that they
//! need: each request from a caller makes several calls there, one after the other.

mod support;

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use comfreybay::state::mesh::route::Route;
use http::{Response, StatusCode};
use support::{
    Reply, Script, Seen, local,
    mesh::{MeshFleet, route, sealed},
    script,
};
use tokio::time::{Instant, sleep, sleep_until};

/// Share of their requests that the servers of the deepest service turn away.
const SHED_SHARE: f64 = 0.55;
const CALLS: u32 = 4;
/// Servers to which one request may be sent.
const ATTEMPTS: u32 = 3;
/// Requests a second, of each class. The important ones are so few that the budget covers
/// their retries.
const CONFIRM_RATE: f64 = 30.0;
const VIEW_RATE: f64 = 600.0;
const WARM_S: f64 = 10.0;
const SHED_S: f64 = 10.0;
/// Constant part of the retry budget of the test fleet, and its ratio.
const SLACK: f64 = 40.0;
const RATIO: f64 = 0.2;
const WINDOW: Duration = Duration::from_secs(10);

#[derive(Debug, Default)]
struct Counts {
    sheds: bool,
    /// Number of requests sent while the servers shed, and those of them that were complete.
    classes: BTreeMap<&'static str, (u32, u32)>,
    /// When calls were made, and when those after the first of each call arrived.
    calls: Vec<Instant>,
    again: Vec<Instant>,
    arrived: BTreeMap<String, u32>,
}

impl Counts {
    /// Counts the arrival of a call at the deepest service; returns whether its servers shed.
    fn arrive(&mut self, id: String) -> bool {
        let arrivals = self.arrived.entry(id).or_default();
        *arrivals += 1;
        if *arrivals > 1 {
            self.again.push(Instant::now());
        }
        self.sheds
    }
}

type Shared = Rc<RefCell<Counts>>;

fn servers(counts: Shared) -> Script {
    let rng = Rc::new(RefCell::new(fastrand::Rng::with_seed(1)));
    script(move |seen: Seen| {
        let (counts, rng) = (counts.clone(), rng.clone());
        async move {
            if seen.upstream.starts_with("deep") {
                let sheds = counts.borrow_mut().arrive(seen.id());
                if sheds && rng.borrow_mut().f64() < SHED_SHARE {
                    return shed(&seen);
                }
                sleep(Duration::from_millis(5)).await;
                return sealed(&seen, "");
            }
            sleep(Duration::from_millis(20)).await;
            for n in 0..CALLS {
                counts.borrow_mut().calls.push(Instant::now());
                let id = format!("{}.{n}", seen.id());
                let headers = [("x-id", id.as_str()), ("x-left", "700")];
                let answer = seen.send("/rate/", &headers).await;
                if !answer.is_ok_and(|a| a.status == StatusCode::OK) {
                    return failed(&seen);
                }
            }
            sealed(&seen, "")
        }
    })
}

fn shed(seen: &Seen) -> Reply {
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

async fn arrivals(fleet: Rc<MeshFleet>, counts: Shared, class: &'static str, rate: f64) {
    let (start, mut rng) = (Instant::now(), fastrand::Rng::with_seed(2));
    let mut at = start;
    for n in 0.. {
        at += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate);
        let phase = (at - start).as_secs_f64();
        if phase > WARM_S + SHED_S {
            return sleep(Duration::from_secs(2)).await;
        }
        sleep_until(at).await;
        let sheds = phase > WARM_S;
        counts.borrow_mut().sheds = sheds;
        let (fleet, counts) = (fleet.clone(), counts.clone());
        tokio::task::spawn_local(async move {
            let (id, path) = (format!("{class}{n}"), format!("/{class}/"));
            let headers = [("x-id", id.as_str()), ("x-left", "2000")];
            let node = format!("front-{}", n % 4);
            let answer = fleet.post(&node, &path, &headers).await;
            if sheds {
                let mut counts = counts.borrow_mut();
                let (sent, complete) = counts.classes.entry(class).or_default();
                *sent += 1;
                *complete += u32::from(answer.is_ok_and(|a| a.status == StatusCode::OK));
            }
        });
    }
}

/// Largest number of arrivals after the first ones by which a window exceeds the budget.
fn over_budget(counts: &Counts) -> f64 {
    let within = |events: &[Instant], from: Instant| {
        let found = events
            .iter()
            .filter(|at| (from..from + WINDOW).contains(*at));
        found.count() as f64
    };
    let starts = counts.again.iter().copied();
    let over =
        starts.map(|at| within(&counts.again, at) - RATIO * within(&counts.calls, at) - SLACK);
    over.fold(0.0, f64::max)
}

/// Guards against retries that are spent on calls of requests that fail nevertheless, while the most
/// important requests fail for lack of a retry.
#[tokio::test(start_paused = true)]
async fn retries_at_shedding_servers_complete_the_most_important_requests() {
    local(async {
        let counts = Shared::default();
        let inner = Route {
            attempts: ATTEMPTS,
            ..route("rate", "deep")
        };
        let important = Route {
            importance: 0,
            idempotent: false,
            ..route("confirm", "front")
        };
        let ordinary = Route {
            importance: 2,
            idempotent: false,
            ..route("view", "front")
        };
        let routes = vec![inner, important, ordinary];
        let services = [("front", 4, 200), ("deep", 4, 200)];
        let fleet = MeshFleet::with(&services, routes, servers(counts.clone())).await;
        let fleet = Rc::new(fleet);
        tokio::join!(
            arrivals(fleet.clone(), counts.clone(), "confirm", CONFIRM_RATE),
            arrivals(fleet.clone(), counts.clone(), "view", VIEW_RATE),
        );
        let counts = counts.take();
        let share = |class| {
            let (sent, complete): (u32, u32) = counts.classes[class];
            f64::from(complete) / f64::from(sent)
        };
        let (confirm, view, over) = (share("confirm"), share("view"), over_budget(&counts));
        // What a request can reach if each of its calls is sent as often as its route allows.
        let most = (1.0 - SHED_SHARE.powi(ATTEMPTS as i32)).powi(CALLS as i32);
        let case = format!(
            "{confirm:.3} of the important requests complete, at most {most:.3}; {view:.3} of the others; \
             {over:.0} arrivals over the budget, {} again of {} calls",
            counts.again.len(),
            counts.calls.len(),
        );
        println!("{case}");
        assert!(confirm >= 0.8 * most, "{case}");
        assert_eq!(over, 0.0, "{case}");
    })
    .await;
}
