//! Queueing experiment: one gate in front of a simulated server with a fixed number of slots.
//!
//! Guards against goodput collapse under overload, refused important requests although their
//! demand fits the capacity, and a level that stays closed after the overload.

use std::{cell::RefCell, rc::Rc, time::Duration};

use comfreybay::{
    coordination::gate::{AdmissionRequest, Gate, GateState},
    state::{
        id::{Fingerprint, RootId},
        limit::CallEnd,
        object::{Control, Favour},
        priority::{Level, Priority},
    },
};
use tokio::{
    task::LocalSet,
    time::{Instant, interval, sleep, sleep_until, timeout_at},
};

/// Mean service time.
const SERVICE: Duration = Duration::from_millis(50);
const DEADLINE: Duration = Duration::from_secs(1);
const WARM_S: f64 = 3.0;
const OVERLOAD_S: f64 = 10.0;
const AFTER_S: f64 = 3.0;
/// Demand of the important class as a share of capacity.
const IMPORTANT: f64 = 0.4;

#[derive(Debug, Default)]
struct Counts {
    good: u32,
    important_refused: u32,
    ordinary_refused: u32,
    level_open_after: Option<Duration>,
    ticks_closed_later: u32,
}

struct Run {
    gate: Gate,
    rng: RefCell<fastrand::Rng>,
    counts: RefCell<Counts>,
    start: Instant,
}

impl Run {
    fn admission_request(&self, important: bool) -> AdmissionRequest {
        let mut rng = self.rng.borrow_mut();
        let importance = if important { 0 } else { rng.u8(2..5) };
        AdmissionRequest {
            priority: Priority::new(importance, false, RootId::random(&mut rng)),
            class: format!("c{importance}").parse().expect("valid name"),
            important,
            begun: false,
            deadline: Instant::now() + DEADLINE,
            timeout: DEADLINE,
            fingerprint: Fingerprint(rng.u128(..).to_be_bytes()),
        }
    }

    fn is_overload(&self) -> bool {
        let at = self.start.elapsed().as_secs_f64();
        (WARM_S..WARM_S + OVERLOAD_S).contains(&at)
    }

    async fn request(self: Rc<Self>, important: bool) {
        let request = self.admission_request(important);
        let deadline = request.deadline;
        let Ok(permit) = self.gate.admit(request).await else {
            // Refusals of the warm phase don't count: a cold server admits a tenth of its slots,
            // less than the important demand.
            if self.start.elapsed().as_secs_f64() < WARM_S {
                return;
            }
            let mut counts = self.counts.borrow_mut();
            match important {
                true => counts.important_refused += 1,
                false => counts.ordinary_refused += 1,
            }
            return;
        };
        let own = SERVICE.mul_f64(0.5 + self.rng.borrow_mut().f64());
        if timeout_at(deadline, sleep(own)).await.is_ok() {
            permit.finish(own, CallEnd::Answered);
            self.counts.borrow_mut().good += u32::from(self.is_overload());
        }
    }

    /// Poisson arrivals of one class at `rate(seconds since start)` per second.
    async fn arrivals(self: Rc<Self>, important: bool, rate: impl Fn(f64) -> f64) {
        let mut at = self.start;
        loop {
            let seconds = (at - self.start).as_secs_f64();
            if seconds > WARM_S + OVERLOAD_S + AFTER_S {
                return;
            }
            let gap = -(1.0 - self.rng.borrow_mut().f64()).ln() / rate(seconds);
            at += Duration::from_secs_f64(gap);
            sleep_until(at).await;
            tokio::task::spawn_local(self.clone().request(important));
        }
    }

    async fn ticks(self: Rc<Self>) {
        let mut ticks = interval(Duration::from_millis(100));
        let end = self.start + Duration::from_secs_f64(WARM_S + OVERLOAD_S);
        loop {
            ticks.tick().await;
            self.gate.tick();
            let mut counts = self.counts.borrow_mut();
            let now = Instant::now();
            if now < end {
                continue;
            }
            let is_open = self.gate.level() == Level::OPEN;
            if is_open && counts.level_open_after.is_none() {
                counts.level_open_after = Some(now - end);
            }
            let is_later = now >= end + Duration::from_secs(1);
            counts.ticks_closed_later += u32::from(is_later && !is_open);
        }
    }
}

/// Runs one experiment; returns goodput as a share of capacity, and the counts.
fn run(slots: u32, favour: Favour, demand: f64, seed: u64) -> (f64, Counts) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O");
    let capacity = f64::from(slots) / SERVICE.as_secs_f64();
    let counts = LocalSet::new().block_on(&runtime, async move {
        let mut rng = fastrand::Rng::with_seed(seed);
        let run = Rc::new(Run {
            gate: Gate::new(slots, favour, Control::Adaptive, rng.fork()),
            rng: RefCell::new(rng),
            counts: RefCell::default(),
            start: Instant::now(),
        });
        run.gate.set_state(GateState::Serving);
        let overload = |s| (WARM_S..WARM_S + OVERLOAD_S).contains(&s);
        let ordinary = move |s| if overload(s) { demand - IMPORTANT } else { 0.3 };
        tokio::task::spawn_local(run.clone().ticks());
        let important = run.clone().arrivals(true, move |_| IMPORTANT * capacity);
        let ordinary = run.clone().arrivals(false, move |s| ordinary(s) * capacity);
        tokio::join!(important, ordinary);
        run.counts.take()
    });
    (f64::from(counts.good) / (capacity * OVERLOAD_S), counts)
}

fn check(demand: f64, least: f64) {
    for favour in [Favour::Goodput, Favour::Recovery] {
        for slots in [20, 70, 110] {
            for seed in 0..3 {
                let (share, counts) = run(slots, favour, demand, seed);
                let case = format!("{favour:?} slots {slots} seed {seed}: {share:.3} {counts:?}");
                println!("{demand}x {case}");
                assert!(share >= least, "{case}");
                assert_eq!(counts.important_refused, 0, "{case}");
                assert!(counts.ordinary_refused > 0, "{case}");
                let open = counts
                    .level_open_after
                    .expect("the level opens after the overload");
                assert!(open <= Duration::from_secs(1), "{case}");
                // A burst at normal demand may close the level briefly, in at most 2 of the 20 or
                // more ticks that follow.
                assert!(counts.ticks_closed_later <= 2, "{case}");
            }
        }
    }
}

#[test]
fn twice_the_capacity_keeps_95_percent() {
    check(2.0, 0.95);
}

#[test]
fn five_times_the_capacity_keeps_93_percent() {
    check(5.0, 0.93);
}

#[test]
fn ten_times_the_capacity_keeps_90_percent() {
    check(10.0, 0.90);
}
