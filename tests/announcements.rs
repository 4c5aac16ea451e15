//! Guards what nodes promise to backend servers that announce a rate limit or that they leave.

mod support;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{Response, StatusCode};
use support::{
    Reply, Seen, local,
    mesh::{MeshFleet, route, table},
    script,
};
use tokio::time::{Instant, sleep};

/// Time from the first announcement until the bound on arrivals applies.
const SETTLE: Duration = Duration::from_secs(3);
/// Length of the sliding window of the bound on arrivals.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after an announced leaving from which requests must not reach the server.
const DRAIN: Duration = Duration::from_secs(2);

/// Time that a request takes at a server.
const FAST: Duration = Duration::from_millis(100);
/// The same, so long that a node that has restarted receives no answer for a while.
const SLOW: Duration = Duration::from_millis(900);

/// Largest number of arrivals that a server with this limit may get in one window.
fn arrivals_max(per_second: f64) -> usize {
    (1.5 * per_second * WINDOW.as_secs_f64() + 5.0) as usize
}

/// An answer of the server, with a header if `value` is set.
fn announcing(seen: &Seen, name: &str, value: Option<String>) -> Reply {
    let mut answer = Response::builder()
        .header("x-id", seen.id())
        .header("x-seal", "s");
    if let Some(value) = value {
        answer = answer.header(name, value);
    }
    Reply::Answer(answer.body(Bytes::from(seen.upstream.clone())).unwrap())
}

/// Requests that reached servers: name of the server and time.
#[derive(Clone, Default)]
struct Arrivals(Rc<RefCell<Vec<(String, Instant)>>>);

impl Arrivals {
    fn record(&self, server: &str) {
        self.0
            .borrow_mut()
            .push((server.to_owned(), Instant::now()));
    }

    /// The largest number of arrivals at a server in a window that begins after `from`.
    fn most(&self, server: &str, from: Instant) -> usize {
        let arrivals = self.0.borrow();
        let times = arrivals.iter().filter(|(s, at)| s == server && *at >= from);
        let times: Vec<_> = times.map(|(_, at)| *at).collect();
        let counts = times.iter().enumerate().map(|(n, start)| {
            let within = times[n..].iter().take_while(|at| **at < *start + WINDOW);
            within.count()
        });
        counts.max().unwrap_or(0)
    }

    fn count(&self, server: &str, from: Instant) -> usize {
        let arrivals = self.0.borrow();
        arrivals
            .iter()
            .filter(|(s, at)| s == server && *at >= from)
            .count()
    }
}

/// Sends requests to a node at a constant rate; returns the answers' status codes.
async fn offer(
    fleet: &Rc<MeshFleet>,
    node: &'static str,
    per_second: u32,
    time: Duration,
) -> Vec<StatusCode> {
    let (end, pause) = (Instant::now() + time, Duration::from_secs(1) / per_second);
    let mut requests = Vec::new();
    while Instant::now() < end {
        let (fleet, id) = (fleet.clone(), format!("{node}-{}", fastrand::u64(..)));
        requests.push(tokio::task::spawn_local(async move {
            let headers = [("x-id", id.as_str()), ("x-left", "2000")];
            fleet.post(node, "/a/", &headers).await.unwrap().status
        }));
        sleep(pause).await;
    }
    let all = futures::future::join_all(requests).await;
    all.into_iter().map(Result::unwrap).collect()
}

fn served(answers: &[StatusCode]) -> usize {
    answers.iter().filter(|s| s.is_success()).count()
}

/// Servers that take `time` and announce what `limit` returns for their name.
fn limited_servers(
    arrivals: &Arrivals,
    time: Duration,
    limit: impl Fn(&str) -> Option<f64> + 'static,
) -> support::Script {
    let (arrivals, limit) = (arrivals.clone(), Rc::new(limit));
    script(move |seen| {
        arrivals.record(&seen.upstream);
        let limit = limit.clone();
        async move {
            sleep(time).await;
            let value = limit(&seen.upstream).map(|l| l.to_string());
            announcing(&seen, "x-rate-limit", value)
        }
    })
}

/// Guards against a server that gets more requests than the rate limit that it announces.
#[tokio::test(start_paused = true)]
async fn server_gets_no_more_requests_than_its_announced_rate() {
    local(async {
        let arrivals = Arrivals::default();
        let script = limited_servers(&arrivals, FAST, |_| Some(10.0));
        let services = [("front", 2, 4), ("deep", 1, 50)];
        let fleet = MeshFleet::with(&services, vec![route("a", "deep")], script).await;
        let (fleet, start) = (Rc::new(fleet), Instant::now());
        let time = Duration::from_secs(12);
        let offers = [
            offer(&fleet, "front-0", 50, time),
            offer(&fleet, "front-1", 50, time),
        ];
        let answers = futures::future::join_all(offers).await.concat();
        let most = arrivals.most("deep-0", start + SETTLE);
        assert!(most <= arrivals_max(10.0), "{most} arrivals in a window");
        // The server gets at least nine tenths of what it accepts.
        let served = served(&answers);
        assert!(served >= 12 * 9, "{served} requests served in 12 s");
    })
    .await;
}

/// Guards against a limit that is lost when the node beside the server restarts, gracefully or not.
#[tokio::test(start_paused = true)]
async fn announced_rate_holds_across_restarts_of_the_servers_node() {
    local(async {
        let arrivals = Arrivals::default();
        let script = limited_servers(&arrivals, SLOW, |_| Some(10.0));
        let services = [("front", 2, 4), ("deep", 1, 50)];
        let mut fleet = MeshFleet::with(&services, vec![route("a", "deep")], script).await;
        let start = Instant::now();
        for kills in [true, false, true, true] {
            let shared = Rc::new(fleet);
            let time = Duration::from_secs(4);
            futures::join!(
                offer(&shared, "front-0", 50, time),
                offer(&shared, "front-1", 50, time)
            );
            fleet = Rc::into_inner(shared).expect("all requests have ended");
            fleet.restart("deep-0", kills).await;
        }
        let shared = Rc::new(fleet);
        let time = Duration::from_secs(4);
        futures::join!(
            offer(&shared, "front-0", 50, time),
            offer(&shared, "front-1", 50, time)
        );
        let most = arrivals.most("deep-0", start + SETTLE);
        assert!(most <= arrivals_max(10.0), "{most} arrivals in a window");
    })
    .await;
}

/// Guards against a limit that stays in effect after the server has ceased to announce it, or that
/// an answer from before the announcement ends.
#[tokio::test(start_paused = true)]
async fn announced_rate_ends_with_the_announcement() {
    local(async {
        let (arrivals, limited) = (Arrivals::default(), Rc::new(Cell::new(true)));
        let flag = limited.clone();
        let script = limited_servers(&arrivals, FAST, move |_| flag.get().then_some(0.0));
        let services = [("front", 1, 4), ("deep", 1, 50)];
        let fleet = MeshFleet::with(&services, vec![route("a", "deep")], script).await;
        let (fleet, start) = (Rc::new(fleet), Instant::now());
        offer(&fleet, "front-0", 50, Duration::from_secs(8)).await;
        let most = arrivals.most("deep-0", start + SETTLE);
        assert!(most <= arrivals_max(0.0), "{most} arrivals in a window");
        limited.set(false);
        offer(&fleet, "front-0", 50, Duration::from_secs(4)).await;
        let answers = offer(&fleet, "front-0", 50, Duration::from_secs(2)).await;
        assert_eq!(served(&answers), answers.len());
    })
    .await;
}

/// Guards against requests that are refused although another server of the service has room, and
/// against a limited server that gets none of what it accepts.
#[tokio::test(start_paused = true)]
async fn requests_go_to_the_servers_that_accept_them() {
    local(async {
        let arrivals = Arrivals::default();
        let script = limited_servers(&arrivals, FAST, |name| (name != "deep-0").then_some(8.0));
        let services = [("front", 3, 4), ("deep", 5, 50)];
        let fleet = MeshFleet::with(&services, vec![route("a", "deep")], script).await;
        let (fleet, start) = (Rc::new(fleet), Instant::now());
        let time = Duration::from_secs(12);
        let nodes = ["front-0", "front-1", "front-2"];
        let offers = nodes.map(|node| offer(&fleet, node, 60, time));
        let answers = futures::future::join_all(offers).await.concat();
        for server in ["deep-1", "deep-2", "deep-3", "deep-4"] {
            let most = arrivals.most(server, start + SETTLE);
            assert!(most <= arrivals_max(8.0), "{server}: {most} in a window");
            let count = arrivals.count(server, start + SETTLE);
            assert!(count >= 9, "{server}: {count} arrivals in 9 s");
        }
        let served = served(&answers);
        assert!(
            served * 100 >= answers.len() * 99,
            "{served} of {} served",
            answers.len()
        );
    })
    .await;
}

/// Guards against requests that reach a server later than the drain bound after it has announced
/// that it leaves, while the store can't be read and when it lists the server as ready again.
#[tokio::test(start_paused = true)]
async fn server_that_announces_its_leaving_gets_no_requests() {
    local(async {
        let (arrivals, leaves) = (Arrivals::default(), Rc::new(Cell::new(false)));
        let (seen_by, flag) = (arrivals.clone(), leaves.clone());
        let script = script(move |seen| {
            seen_by.record(&seen.upstream);
            let is_leaving = flag.get() && seen.upstream == "deep-0";
            async move { announcing(&seen, "x-leaving", is_leaving.then(|| "1".to_owned())) }
        });
        let services = [("front", 2, 4), ("deep", 2, 4)];
        let fleet = MeshFleet::with(&services, vec![route("a", "deep")], script).await;
        let fleet = Rc::new(fleet);
        fleet.store.down.set(true);
        leaves.set(true);
        let nodes = ["front-0", "front-1", "deep-0"];
        let load = |time| futures::future::join_all(nodes.map(|n| offer(&fleet, n, 20, time)));
        let early = load(Duration::from_secs(1)).await.concat();
        assert!(arrivals.count("deep-0", Instant::now() - DRAIN) > 0);
        let late = Instant::now() + DRAIN;
        let mut answers = load(Duration::from_secs(4)).await.concat();
        fleet.store.down.set(false);
        sleep(Duration::from_secs(2)).await;
        fleet.remove_entry("deep-0");
        answers.extend(load(Duration::from_secs(4)).await.concat());
        fleet.put_entry(fleet.pairs["deep-0"].entry.clone());
        answers.extend(load(Duration::from_secs(4)).await.concat());
        assert_eq!(arrivals.count("deep-0", late), 0);
        assert_eq!(served(&answers), answers.len());
        assert_eq!(served(&early), early.len());
        let mut restarted = fleet.pairs["deep-0"].entry.clone();
        restarted.started_ms = Some(2);
        leaves.set(false);
        fleet.put_entry(restarted);
        load(Duration::from_secs(4)).await;
        assert!(
            arrivals.count("deep-0", late) > 0,
            "a new run gets requests"
        );
    })
    .await;
}

/// Guards against requests that fail because every server of a service announces that it leaves,
/// instead of being refused as not run.
#[tokio::test(start_paused = true)]
async fn requests_without_a_server_that_stays_are_refused_as_not_run() {
    local(async {
        let script = script(|seen| async move { announcing(&seen, "x-leaving", Some("1".into())) });
        let services = [("front", 1, 4), ("deep", 2, 4)];
        let fleet = MeshFleet::with(&services, vec![], script).await;
        fleet.put_routes(table(2, vec![route("a", "deep")]));
        sleep(Duration::from_millis(50)).await;
        let fleet = Rc::new(fleet);
        offer(&fleet, "front-0", 20, DRAIN).await;
        let before = fleet.runs.borrow().len();
        let late = offer(&fleet, "front-0", 20, Duration::from_secs(2)).await;
        assert!(late.iter().all(|s| *s == StatusCode::SERVICE_UNAVAILABLE));
        assert_eq!(fleet.runs.borrow().len(), before);
    })
    .await;
}
