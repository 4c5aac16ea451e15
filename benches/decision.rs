//! Cost of the decisions for one call (admission, routing, retry) with 10 to 1,000 upstreams, and
//! of waiting in the admission queue.

use std::{collections::BTreeSet, hint::black_box, time::Duration};

use comfreybay::{
    coordination::{
        gate::{AdmissionRequest, Gate, GateState},
        retry::Retry,
        router::{AttemptEnd, Router},
    },
    state::{
        allowance::Allowance,
        budget::RetryBudget,
        config::Config,
        id::{Digest, Fingerprint, Revision, RootId, ServiceName},
        limit::CallEnd,
        object::{Control, Favour, Upstream},
        priority::{Level, Priority},
        publication::Piece,
        upstream::Load,
    },
};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use futures::FutureExt;
use tokio::time::Instant;

fn config(upstreams: usize) -> Config {
    let service = r#"{"name":"s","owner":"o"}"#;
    let deployment = r#"{"name":"d","owner":"o","favour":"goodput","zones":[]}"#;
    let address = "127.0.0.1:1".parse().expect("valid address");
    let upstream = |n: usize| Upstream {
        name: format!("u-{n}").parse().expect("valid name"),
        owner: "o".parse().expect("valid name"),
        service: "s".parse().expect("valid name"),
        zone: format!("z-{}", n % 3).parse().expect("valid name"),
        public: address,
        peer: address,
        control: address,
        slots: 100,
        connections: 500,
    };
    let piece = Piece {
        service: serde_json::from_str(service).expect("valid service"),
        upstreams: (0..upstreams).map(upstream).collect(),
        limits: vec![],
        chains: vec![],
        classes: vec![],
    };
    Config {
        revision: Revision(1),
        digest: Digest::of(b""),
        deployment: serde_json::from_str(deployment).expect("valid deployment"),
        pieces: [(piece.service.name.clone(), piece)].into(),
    }
}

struct Fixture {
    gate: Gate,
    router: Router,
    service: ServiceName,
    class: comfreybay::state::id::ClassName,
    rng: fastrand::Rng,
    requests: Vec<(Priority, Fingerprint)>,
    next: usize,
}

impl Fixture {
    fn new(upstreams: usize) -> Self {
        let mut rng = fastrand::Rng::with_seed(1);
        let control = Control::Adaptive;
        let name = "own".parse().expect("valid name");
        let zone = "z-0".parse().expect("valid name");
        let router = Router::new(name, zone, control, rng.fork());
        router.apply(&config(upstreams));
        // Every upstream has a load report, so that each choice considers all of them.
        for n in 0..upstreams {
            let name = format!("u-{n}").parse().expect("valid name");
            let load = Load {
                in_flight: 10,
                limit: 100,
                queued: 0,
            };
            router.update_load(&name, load, Level::OPEN);
        }
        let gate = Gate::new(1_000, Favour::Goodput, control, rng.fork());
        gate.set_state(GateState::Serving);
        let mut request = || {
            let root = RootId::random(&mut rng);
            (Priority::new(1, false, root), Fingerprint(root.0))
        };
        // Computed in advance: a node computes priority and fingerprint once per request, not in
        // each decision.
        let requests = (0..4_096).map(|_| request()).collect();
        Self {
            requests,
            next: 0,
            gate,
            router,
            service: "s".parse().expect("valid name"),
            class: "c".parse().expect("valid name"),
            rng,
        }
    }

    fn admission_request(&mut self, now: Instant) -> AdmissionRequest {
        self.next = (self.next + 1) % self.requests.len();
        let (priority, fingerprint) = self.requests[self.next];
        let span = Duration::from_secs(1);
        AdmissionRequest {
            priority,
            class: self.class.clone(),
            important: false,
            begun: false,
            deadline: now + span,
            timeout: span,
            fingerprint,
        }
    }

    /// Decides for one call from arrival to the end of its first attempt, including a retry check.
    fn decide(&mut self) {
        let now = Instant::now();
        let request = self.admission_request(now);
        let (priority, deadline) = (request.priority, request.deadline);
        let permit = self.gate.admit(request).now_or_never().expect("no wait");
        let permit = permit.expect("the gate has room");
        let services = std::slice::from_ref(&self.service);
        assert!(self.router.first_refusing(services, priority).is_none());
        let pick = self.router.pick(&self.service, priority, &BTreeSet::new());
        pick.expect("an upstream").finish(AttemptEnd::NotRun);
        let rng = self.rng.fork();
        let mut retry = Retry::new(true, deadline, Control::Adaptive, rng);
        let mut allowance = Allowance::new(3);
        let mut budget = RetryBudget::new();
        let delay = retry.next_delay(AttemptEnd::NotRun, &mut allowance, &mut budget, now);
        black_box(delay).ok();
        permit.finish(Duration::from_millis(10), CallEnd::Answered);
    }
}

fn decision(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision");
    for upstreams in [10, 20, 100, 1_000] {
        let mut fixture = Fixture::new(upstreams);
        let id = BenchmarkId::new("admit+route+retry", upstreams);
        group.bench_function(id, |bencher| bencher.iter(|| fixture.decide()));
    }
    group.finish();
}

/// Measures a call that joins a queue of this length and is then cancelled.
fn wait(criterion: &mut Criterion) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build();
    let runtime = runtime.expect("a runtime without I/O");
    let _context = runtime.enter();
    let mut group = criterion.benchmark_group("wait");
    for queued in [10, 100, 1_000] {
        let mut fixture = Fixture::new(10);
        let gate = fixture.gate.clone();
        let mut permits = Vec::new();
        while let Some(Ok(permit)) = gate
            .admit(fixture.admission_request(Instant::now()))
            .now_or_never()
        {
            permits.push(permit);
        }
        let mut waiting: Vec<_> = (0..queued)
            .map(|_| Box::pin(gate.admit(fixture.admission_request(Instant::now()))))
            .collect();
        for call in &mut waiting {
            assert!(call.now_or_never().is_none());
        }
        assert_eq!(gate.load().queued, queued);
        group.bench_function(BenchmarkId::new("enter+leave", queued), |bencher| {
            bencher.iter(|| {
                let request = fixture.admission_request(Instant::now());
                assert!(gate.admit(request).now_or_never().is_none());
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decision, wait);
criterion_main!(benches);
