//! Overload of the deepest service of a chain: each request from a caller makes several calls to it,
//! one after the other.
//!
//! Guards against roots that are admitted although the deepest service can't finish them: their
//! work is lost, and with it capacity for others.

mod support;

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use comfreybay::state::mesh::route::Route;
use http::StatusCode;
use support::{
    Script, Seen, header, local,
    mesh::{MeshFleet, route, sealed},
    ok, script,
};
use tokio::time::{Instant, sleep, sleep_until};

/// Mean service times, without calls.
const FRONT_OWN: Duration = Duration::from_millis(150);
const MIDDLE_OWN: Duration = Duration::from_millis(15);
const DEEP_OWN: Duration = Duration::from_millis(37);
/// Calls to the deep service for each root, one after the other.
const CALLS: u32 = 4;
const FRONTS: u8 = 4;
const DEEPS: u8 = 2;
const DEEP_SLOTS: u32 = 30;
/// Share of its slots in use above which a server that slows down when it is full does so, and the
/// factor on the duration of the calls that start then.
const FULL_SHARE: f64 = 0.95;
const FULL_FACTOR: f64 = 1.3;
/// Time that a caller waits.
const DEADLINE: Duration = Duration::from_secs(5);
/// Time with half of the capacity in demand.
const WARM_S: f64 = 2.0;
/// Time from the start of the overload until its roots are counted.
const SETTLE_S: f64 = 1.0;
const OVERLOAD_S: f64 = 6.0;
const AFTER_S: f64 = 2.0;

/// How the servers of the deep service behave when all of their slots are in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Full {
    /// As fast as otherwise.
    Steady,
    /// Slower.
    Slow,
}

impl Full {
    /// Roots that the deep service can finish in a second if a call takes up a slot for this time.
    fn capacity(self, slot_time: Duration) -> f64 {
        let slots = match self {
            Self::Steady => f64::from(DEEP_SLOTS),
            Self::Slow => (f64::from(DEEP_SLOTS) * FULL_SHARE).floor(),
        };
        f64::from(DEEPS) * slots / slot_time.as_secs_f64() / f64::from(CALLS)
    }

    /// Factor on the duration of a call that starts with this many calls at its server.
    fn factor(self, in_use: u32) -> f64 {
        let is_full = f64::from(in_use) > f64::from(DEEP_SLOTS) * FULL_SHARE;
        match self {
            Self::Slow if is_full => FULL_FACTOR,
            _ => 1.0,
        }
    }
}

#[derive(Debug, Default)]
struct Counts {
    /// Roots complete while the overload was counted, whenever they began.
    complete: u32,
    /// Refused before any work was done.
    refused: u32,
    /// Refused after a server had run them.
    refused_late: u32,
    failed: u32,
    /// Roots after the overload, and those of them that were not complete.
    after: u32,
    after_lost: u32,
    /// Calls that the deep service ran, by root.
    deep: BTreeMap<String, u32>,
    /// Roots that a server of the first service ran, and whether they are complete.
    begun: BTreeMap<String, bool>,
    /// Calls at each server of the deep service.
    in_use: BTreeMap<String, u32>,
}

type Shared = Rc<RefCell<Counts>>;

async fn work(mean: Duration, rng: &RefCell<fastrand::Rng>) {
    let factor = 0.5 + rng.borrow_mut().f64();
    sleep(mean.mul_f64(factor)).await;
}

/// Adds to the calls at a server of the deep service, and returns their number.
fn count(counts: &Shared, seen: &Seen, change: i32) -> u32 {
    let mut counts = counts.borrow_mut();
    let in_use = counts.in_use.entry(seen.upstream.clone()).or_default();
    *in_use = in_use.checked_add_signed(change).unwrap();
    *in_use
}

/// Calls a service for a request; whether the answer was complete and successful.
async fn call(seen: &Seen, path: &str, suffix: &str, due: Instant) -> bool {
    let left = due.saturating_duration_since(Instant::now());
    let id = format!("{}.{suffix}", seen.id());
    let headers = [
        ("x-id", id.as_str()),
        ("x-left", &left.as_millis().to_string()),
    ];
    let answer = seen.send(path, &headers).await;
    answer.is_ok_and(|a| a.status == StatusCode::OK)
}

fn servers(counts: Shared, full: Full, seed: u64) -> Script {
    let rng = Rc::new(RefCell::new(fastrand::Rng::with_seed(seed)));
    script(move |seen: Seen| {
        let (counts, rng) = (counts.clone(), rng.clone());
        async move {
            let left: u64 = header(seen.request.headers(), "x-left").parse().unwrap();
            let due = Instant::now() + Duration::from_millis(left);
            let id = seen.id();
            let root = id.split('.').next().unwrap().to_owned();
            let is_done = match seen.upstream.split('-').next().unwrap() {
                "front" => {
                    counts.borrow_mut().begun.insert(root, false);
                    work(FRONT_OWN, &rng).await;
                    call(&seen, "/ledger/", "l", due).await
                }
                "middle" => {
                    work(MIDDLE_OWN, &rng).await;
                    let mut is_done = true;
                    for n in 0..CALLS {
                        is_done = is_done && call(&seen, "/rate/", &n.to_string(), due).await;
                    }
                    is_done
                }
                _ => {
                    let in_use = count(&counts, &seen, 1);
                    work(DEEP_OWN.mul_f64(full.factor(in_use)), &rng).await;
                    count(&counts, &seen, -1);
                    *counts.borrow_mut().deep.entry(root).or_default() += 1;
                    true
                }
            };
            match is_done {
                true => sealed(&seen, ""),
                false => failed(),
            }
        }
    })
}

fn failed() -> support::Reply {
    match ok("") {
        support::Reply::Answer(mut answer) => {
            *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            support::Reply::Answer(answer)
        }
        other => other,
    }
}

fn routes() -> Vec<Route> {
    let inner = |name, service, timeout_ms, target_ms| Route {
        timeout: Duration::from_millis(timeout_ms),
        target: Duration::from_millis(target_ms),
        ..route(name, service)
    };
    vec![
        Route {
            timeout: DEADLINE,
            target: Duration::from_millis(1_500),
            importance: 2,
            ..route("view", "front")
        },
        inner("ledger", "middle", 2_500, 1_000),
        inner("rate", "deep", 700, 300),
    ]
}

async fn root(fleet: Rc<MeshFleet>, counts: Shared, n: u32, start: Instant) {
    let at = || start.elapsed().as_secs_f64() - WARM_S;
    let (began, id) = (at(), format!("r{n}"));
    let left = DEADLINE.as_millis().to_string();
    let headers = [("x-id", id.as_str()), ("x-left", &left)];
    let node = format!("front-{}", n % u32::from(FRONTS));
    let answer = fleet.post(&node, "/view/", &headers).await;
    let status = answer.map(|a| a.status);
    let mut counts = counts.borrow_mut();
    let is_complete = status == Ok(StatusCode::OK);
    if is_complete {
        counts.begun.insert(id.clone(), true);
    }
    if began > OVERLOAD_S + SETTLE_S {
        counts.after += 1;
        counts.after_lost += u32::from(!is_complete);
    }
    if !(SETTLE_S..OVERLOAD_S).contains(&at()) {
        return;
    }
    match status {
        Ok(StatusCode::OK) => counts.complete += 1,
        Ok(StatusCode::SERVICE_UNAVAILABLE) => match counts.begun.contains_key(&id) {
            true => counts.refused_late += 1,
            false => counts.refused += 1,
        },
        _ => counts.failed += 1,
    }
}

/// Poisson arrivals of roots: half of the capacity, `demand` times the capacity, and half again.
async fn arrivals(fleet: Rc<MeshFleet>, counts: Shared, capacity: f64, demand: f64, seed: u64) {
    let (start, mut rng) = (Instant::now(), fastrand::Rng::with_seed(seed));
    let (mut at, mut n) = (start, 0);
    loop {
        let phase = (at - start).as_secs_f64() - WARM_S;
        if phase > OVERLOAD_S + AFTER_S {
            return sleep(DEADLINE).await;
        }
        let share = match (0.0..OVERLOAD_S).contains(&phase) {
            true => demand,
            false => 0.5,
        };
        let gap = -(1.0 - rng.f64()).ln() / (share * capacity);
        at += Duration::from_secs_f64(gap);
        sleep_until(at).await;
        tokio::task::spawn_local(root(fleet.clone(), counts.clone(), n, start));
        n += 1;
    }
}

/// Mean time for which a call to the deep service has taken up a slot.
fn slot_time(fleet: &MeshFleet) -> Duration {
    let deep = fleet
        .pairs
        .iter()
        .filter(|(name, _)| name.starts_with("deep"));
    let ran: Vec<_> = deep.map(|(_, pair)| pair.mesh.latency.ran()).collect();
    let calls: u64 = ran.iter().map(|(calls, _)| calls).sum();
    ran.iter().map(|(_, total)| *total).sum::<Duration>() / calls as u32
}

async fn check(full: Full, demand: f64, least: f64) {
    let seed = 1;
    let counts = Shared::default();
    let services = [
        ("front", FRONTS, 500),
        ("middle", 2, 500),
        ("deep", DEEPS, DEEP_SLOTS),
    ];
    let servers = servers(counts.clone(), full, seed);
    let fleet = Rc::new(MeshFleet::with(&services, routes(), servers).await);
    let load = arrivals(
        fleet.clone(),
        counts.clone(),
        full.capacity(DEEP_OWN),
        demand,
        seed,
    );
    let before_overload = async {
        sleep(Duration::from_secs_f64(WARM_S)).await;
        slot_time(&fleet)
    };
    let ((), slot_time) = tokio::join!(load, before_overload);
    let capacity = full.capacity(slot_time);
    let counts = counts.take();
    let goodput = f64::from(counts.complete) / (capacity * (OVERLOAD_S - SETTLE_S));
    let all: u32 = counts.deep.values().sum();
    let lost = counts.deep.iter().filter(|(id, _)| !counts.begun[*id]);
    let lost: u32 = lost.map(|(_, calls)| calls).sum();
    let vain = f64::from(lost) / f64::from(all);
    let Counts {
        complete,
        refused,
        refused_late,
        failed,
        after,
        after_lost,
        ..
    } = counts;
    let case = format!(
        "{full:?} {demand}x: {goodput:.3} of the capacity at {slot_time:?} a call, {vain:.3} of the deep calls in vain; \
         {complete} complete, {refused} refused, {refused_late} late, {failed} failed; \
         {after_lost} of {after} lost afterwards"
    );
    println!("{case}");
    assert!(goodput >= least, "{case}");
    assert!(vain <= 0.03, "{case}");
    assert_eq!(refused_late, 0, "{case}");
    assert!(refused > 0, "{case}");
    assert_eq!(after_lost, 0, "{case}");
}

/// Guards against capacity that is lost to roots which the deepest service can't finish.
#[tokio::test(start_paused = true)]
async fn deepest_service_finishes_what_is_admitted_at_twice_its_capacity() {
    local(check(Full::Steady, 2.0, 0.95)).await;
}

/// Guards against the same with a demand that changes the number of admitted roots faster.
#[tokio::test(start_paused = true)]
async fn deepest_service_finishes_what_is_admitted_at_five_times_its_capacity() {
    local(check(Full::Steady, 5.0, 0.93)).await;
}

/// Guards against servers that are kept in the range in which they are slow: those of the deepest
/// service take longer for each call while nearly all of their slots are in use.
#[tokio::test(start_paused = true)]
async fn servers_that_slow_down_when_full_complete_what_they_can() {
    local(check(Full::Slow, 2.0, 0.95)).await;
}
