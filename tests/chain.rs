//! Queueing experiment with two services: the entry service refuses requests early when the level
//! of the deep service excludes them.
//!
//! Guards against levels that oscillate so much that capacity is lost, against work at the entry
//! for requests that the deep service refuses, and against refused important requests.

use std::{cell::RefCell, rc::Rc, time::Duration};

use comfreybay::{
    coordination::{
        gate::{AdmissionRequest, Gate, GateState},
        router::Router,
    },
    state::{
        config::Config,
        held::RefusalTable,
        id::{Digest, Fingerprint, Revision, RootId, ServiceName},
        level::Levels,
        limit::CallEnd,
        object::{Control, Favour},
        priority::Priority,
        publication::Piece,
    },
};
use tokio::{
    task::LocalSet,
    time::{Instant, interval, sleep, sleep_until, timeout_at},
};

/// Mean service times, without calls.
const ENTRY_OWN: Duration = Duration::from_millis(5);
const DEEP_OWN: Duration = Duration::from_millis(50);
/// One-way network delay.
const HOP: Duration = Duration::from_micros(500);
const DEADLINE: Duration = Duration::from_secs(1);
const DEEP_SLOTS: u32 = 70;
const WARM_S: f64 = 4.0;
const OVERLOAD_S: f64 = 10.0;
const AFTER_S: f64 = 3.0;
/// Demand of the important class as a share of capacity.
const IMPORTANT: f64 = 0.4;

#[derive(Debug, Default, Clone, Copy)]
struct Counts {
    good: u32,
    good_after: u32,
    sent_after: u32,
    entered: u32,
    refused_deep: u32,
    important_refused: u32,
}

/// The load during the overload phase.
#[derive(Debug, Clone, Copy)]
struct Disturbance {
    /// Demand as a multiple of the deep service's normal capacity.
    demand: f64,
    /// Factor on the deep service's service time.
    slowdown: f64,
    /// Times that a caller resends a refused request.
    resends: u32,
}

struct Chain {
    disturbance: Disturbance,
    refusals: RefCell<RefusalTable>,
    entry: Gate,
    deep: Gate,
    router: Router,
    service: ServiceName,
    rng: RefCell<fastrand::Rng>,
    counts: RefCell<Counts>,
    start: Instant,
}

impl Chain {
    fn new(favour: Favour, disturbance: Disturbance, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let own = "a-0".parse().expect("valid name");
        let zone = "z".parse().expect("valid name");
        let router = Router::new(own, zone, Control::Adaptive, rng.fork());
        let service = r#"{"name":"deep","owner":"o"}"#;
        let deployment = r#"{"name":"d","owner":"o","favour":"goodput","zones":[]}"#;
        let service: ServiceName = {
            let piece = Piece {
                service: serde_json::from_str(service).expect("valid service"),
                upstreams: vec![],
                limits: vec![],
                chains: vec![],
                classes: vec![],
            };
            let name = piece.service.name.clone();
            router.apply(&Config {
                revision: Revision(1),
                digest: Digest::of(b""),
                deployment: serde_json::from_str(deployment).expect("valid deployment"),
                pieces: [(name.clone(), piece)].into(),
            });
            name
        };
        let gate = |slots, rng| Gate::new(slots, favour, Control::Adaptive, rng);
        let chain = Self {
            disturbance,
            refusals: RefCell::default(),
            entry: gate(4 * DEEP_SLOTS, rng.fork()),
            deep: gate(DEEP_SLOTS, rng.fork()),
            router,
            service,
            rng: RefCell::new(rng),
            counts: RefCell::default(),
            start: Instant::now(),
        };
        chain.entry.set_state(GateState::Serving);
        chain.deep.set_state(GateState::Serving);
        chain
    }

    /// Seconds since the start of the overload.
    fn phase(&self) -> f64 {
        self.start.elapsed().as_secs_f64() - WARM_S
    }

    async fn run(&self, own: Duration) -> Duration {
        let own = own.mul_f64(0.5 + self.rng.borrow_mut().f64());
        sleep(own).await;
        own
    }

    /// Calls the deep service; true if it answered.
    async fn egress(&self, request: AdmissionRequest) -> bool {
        sleep(HOP).await;
        let admitted = self.deep.admit(request).await;
        let done = match admitted {
            Ok(permit) => {
                let is_slow = (0.0..OVERLOAD_S).contains(&self.phase());
                let factor = if is_slow {
                    self.disturbance.slowdown
                } else {
                    1.0
                };
                let own = self.run(DEEP_OWN.mul_f64(factor)).await;
                permit.finish(own, CallEnd::Answered);
                true
            }
            Err(_) => false,
        };
        let level = self.deep.level();
        sleep(HOP).await;
        self.router
            .update_levels(&Levels([(self.service.clone(), level)].into()));
        done
    }

    /// Handles a request at the entry; true if it was answered.
    async fn serve(&self, request: AdmissionRequest) -> bool {
        let services = std::slice::from_ref(&self.service);
        if self
            .router
            .first_refusing(services, request.priority)
            .is_some()
        {
            return false;
        }
        let deadline = request.deadline;
        let Ok(permit) = self.entry.admit(request.clone()).await else {
            return false;
        };
        let is_overload = (0.0..OVERLOAD_S).contains(&self.phase());
        let work = async {
            let own = self.run(ENTRY_OWN).await;
            let done = self.egress(request).await;
            permit.finish(own, CallEnd::Answered);
            done
        };
        let done = timeout_at(deadline, work).await.unwrap_or(false);
        let mut counts = self.counts.borrow_mut();
        counts.entered += u32::from(is_overload);
        counts.refused_deep += u32::from(is_overload && !done);
        done
    }

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

    /// One request of a caller that resends it after a refusal and ignores `Retry-After`.
    async fn request(self: Rc<Self>, important: bool) {
        let sent = self.phase();
        let mut done = false;
        let first = self.admission_request(important);
        for _ in 0..=self.disturbance.resends {
            let now = Instant::now();
            let early = self
                .refusals
                .borrow()
                .is_early_retry(&first.fingerprint, now);
            let root = RootId::random(&mut self.rng.borrow_mut());
            let mut request = first.clone();
            request.priority = Priority::new(first.priority.importance(), early, root);
            request.deadline = now + DEADLINE;
            done = self.serve(request).await;
            if done {
                break;
            }
            let now = Instant::now();
            let until = now + Duration::from_millis(500);
            self.refusals
                .borrow_mut()
                .record_refusal(first.fingerprint, until, now);
            sleep(Duration::from_millis(100)).await;
        }
        let mut counts = self.counts.borrow_mut();
        if (0.0..OVERLOAD_S).contains(&self.phase()) {
            counts.good += u32::from(done);
        }
        if (OVERLOAD_S + 1.0..OVERLOAD_S + 2.0).contains(&sent) {
            counts.sent_after += 1;
            counts.good_after += u32::from(done);
        }
        counts.important_refused += u32::from(sent >= 0.0 && important && !done);
    }

    async fn arrivals(self: Rc<Self>, important: bool, rate: impl Fn(f64) -> f64) {
        let mut at = self.start;
        loop {
            let seconds = (at - self.start).as_secs_f64() - WARM_S;
            if seconds > OVERLOAD_S + AFTER_S {
                return;
            }
            let gap = -(1.0 - self.rng.borrow_mut().f64()).ln() / rate(seconds);
            at += Duration::from_secs_f64(gap);
            sleep_until(at).await;
            tokio::task::spawn_local(self.clone().request(important));
        }
    }
}

fn run(favour: Favour, disturbance: Disturbance, seed: u64) -> (f64, Counts) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O");
    let capacity = f64::from(DEEP_SLOTS) / DEEP_OWN.as_secs_f64();
    let counts = LocalSet::new().block_on(&runtime, async move {
        let chain = Rc::new(Chain::new(favour, disturbance, seed));
        let ticked = chain.clone();
        tokio::task::spawn_local(async move {
            let mut ticks = interval(Duration::from_millis(100));
            loop {
                ticks.tick().await;
                ticked.entry.tick();
                ticked.deep.tick();
            }
        });
        let overload = |s| (0.0..OVERLOAD_S).contains(&s);
        let rate = move |s| {
            if overload(s) {
                disturbance.demand - IMPORTANT
            } else {
                0.3
            }
        };
        let important = chain.clone().arrivals(true, move |_| IMPORTANT * capacity);
        let ordinary = chain.clone().arrivals(false, move |s| rate(s) * capacity);
        tokio::join!(important, ordinary);
        sleep(4 * DEADLINE).await;
        *chain.counts.borrow()
    });
    (f64::from(counts.good) / (capacity * OVERLOAD_S), counts)
}

#[test]
fn chain_keeps_its_goodput_and_recovers_in_a_second() {
    for favour in [Favour::Goodput, Favour::Recovery] {
        for (demand, least) in [(2.0, 0.95), (5.0, 0.93), (10.0, 0.90)] {
            for seed in 0..3 {
                let overload = Disturbance {
                    demand,
                    slowdown: 1.0,
                    resends: 0,
                };
                let (share, counts) = run(favour, overload, seed);
                let wasted = f64::from(counts.refused_deep) / f64::from(counts.entered);
                let after = f64::from(counts.good_after) / f64::from(counts.sent_after);
                let case = format!(
                    "{favour:?} {demand}x seed {seed}: goodput {share:.3}, refused deep \
                     {wasted:.3}, goodput after 1 s {after:.3}, {counts:?}"
                );
                println!("{case}");
                assert!(share >= least, "{case}");
                assert_eq!(counts.important_refused, 0, "{case}");
                assert!(after >= 0.99, "{case}");
                // Without early refusal the entry would admit all demand, and the deep service
                // would refuse 1 - 1/demand of it. Early refusal must save at least half of that.
                assert!(wasted <= (1.0 - 1.0 / demand) / 2.0, "{case}");
            }
        }
    }
}

/// Guards against overload that persists after its cause has ended: a deep service five times
/// slower, twice the demand, and callers that resend each refused request up to three times.
#[test]
fn chain_recovers_in_a_second_from_a_slow_deep_service() {
    for favour in [Favour::Goodput, Favour::Recovery] {
        for seed in 0..3 {
            let disturbance = Disturbance {
                demand: 2.0,
                slowdown: 5.0,
                resends: 3,
            };
            let (share, counts) = run(favour, disturbance, seed);
            let after = f64::from(counts.good_after) / f64::from(counts.sent_after);
            let case = format!(
                "{favour:?} seed {seed}: goodput {share:.3}, after 1 s {after:.3}, {counts:?}"
            );
            println!("slow deep {case}");
            assert!(after >= 0.99, "{case}");
        }
    }
}
