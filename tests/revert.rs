//! Guards against nodes that revert to an older revision under mixed faults, in virtual time.

use std::{collections::BTreeSet, future::Future, net::IpAddr, time::Duration};

use comfreybay::{
    standin::{
        configuration::{Mode, Snapshot},
        planes::{PLATFORM, Plan, Planes},
    },
    state::id::Revision,
    transport::memory::Place,
};
use tokio::{task::LocalSet, time::sleep};

const NODES: usize = 6;
const STEPS: usize = 12;

async fn local<T>(test: impl Future<Output = T>) -> T {
    LocalSet::new().run_until(test).await
}

fn ms(t: u64) -> Duration {
    Duration::from_millis(t)
}

struct Chaos {
    planes: Planes,
    rng: fastrand::Rng,
    seed: u64,
    snapshots: Vec<Snapshot>,
    paused: BTreeSet<usize>,
    /// For each restart: node, run number, and the lowest revision of the other nodes.
    restarts: Vec<(usize, usize, Revision)>,
}

impl Chaos {
    fn host(&self, at: usize) -> IpAddr {
        self.planes.nodes[at].upstream.control.ip()
    }

    fn publish(&mut self) {
        self.snapshots.push(self.planes.configuration.snapshot());
        self.planes.publish();
    }

    fn step(&mut self) {
        match self.rng.u8(..8) {
            0 | 1 => self.publish(),
            2 => {
                let at = self.rng.usize(..self.snapshots.len());
                self.planes.configuration.revert(self.snapshots[at].clone());
            }
            3 => {
                let mode = self
                    .rng
                    .choice([Mode::Up, Mode::Up, Mode::Down, Mode::Stale]);
                self.planes.configuration.set_mode(mode.unwrap_or_default());
            }
            4 => {
                let at = self.rng.usize(..NODES);
                match self.paused.remove(&at) {
                    true => self.planes.nodes[at].process.resume(),
                    false => {
                        self.paused.insert(at);
                        self.planes.nodes[at].process.pause();
                    }
                }
            }
            5 => {
                let (a, b) = (self.rng.usize(..NODES), self.rng.usize(..NODES));
                let (a, b) = (Place::Host(self.host(a)), Place::Host(self.host(b)));
                match self.rng.u8(..3) {
                    0 => self.planes.network.cut(a, b),
                    1 => self.planes.network.cut_both(a, Place::All),
                    _ => self.planes.network.cut_both(a, Place::Host(PLATFORM)),
                }
            }
            6 => self.planes.network.heal_all(),
            _ => self.restart(),
        }
    }

    /// Restarts a node without its state, unless some other node has no configuration: a cold start
    /// cannot prevent a revert when a majority of the fleet has lost its state at once.
    fn restart(&mut self) {
        let at = self.rng.usize(..NODES);
        let others = (0..NODES).filter(|n| *n != at);
        let revisions = others.map(|n| self.planes.nodes[n].context.store.revision());
        let least = revisions.min().unwrap_or_default();
        if least == Revision::default() {
            return;
        }
        if self.rng.u8(..3) == 0 {
            self.isolate(at);
        }
        self.paused.remove(&at);
        self.planes.crash(at);
        self.planes.start(at);
        let run = self.restarts.iter().filter(|r| r.0 == at).count() + 1;
        self.restarts.push((at, run, least));
    }

    /// Cuts a node off from all peers but at most one, and reverts the configuration service.
    fn isolate(&mut self, at: usize) {
        let old = self.rng.usize(..self.snapshots.len());
        self.planes
            .configuration
            .revert(self.snapshots[old].clone());
        let spared = self.rng.usize(..NODES);
        for other in (0..NODES).filter(|n| *n != at && *n != spared) {
            let (a, b) = (Place::Host(self.host(at)), Place::Host(self.host(other)));
            self.planes.network.cut_both(a, b);
        }
    }

    fn check(&self) {
        let seed = self.seed;
        for (at, node) in self.planes.nodes.iter().enumerate() {
            let effects = node.effects.borrow();
            for pair in effects.windows(2).filter(|p| p[0].run == p[1].run) {
                assert!(
                    pair[0].revision < pair[1].revision,
                    "seed {seed}: node {at} went from {} to {}",
                    pair[0].revision,
                    pair[1].revision
                );
            }
            for (_, run, least) in self.restarts.iter().filter(|r| r.0 == at) {
                let first = effects.iter().find(|e| e.run == *run);
                assert!(
                    first.is_none_or(|e| e.revision >= *least),
                    "seed {seed}: node {at} restarted with {first:?}, all others had at least {least}"
                );
            }
        }
    }
}

async fn run(seed: u64) {
    let plan = Plan {
        nodes: NODES,
        per_service: 3,
        seed,
        loss: 0.01,
        ..Plan::default()
    };
    let mut planes = Planes::new(plan);
    let revision = planes.publish();
    planes.start_all();
    let started = planes
        .wait_until(ms(30_000), |p| p.all_at(revision, 0..NODES))
        .await;
    assert!(started.is_some(), "seed {seed}: the fleet did not start");
    let mut chaos = Chaos {
        snapshots: vec![planes.configuration.snapshot()],
        planes,
        rng: fastrand::Rng::with_seed(seed),
        seed,
        paused: BTreeSet::new(),
        restarts: Vec::new(),
    };
    for _ in 0..STEPS {
        chaos.step();
        let wait = chaos.rng.u64(200..3_000);
        sleep(ms(wait)).await;
    }
    chaos.check();
    chaos.planes.network.heal_all();
    chaos.planes.configuration.set_mode(Mode::Up);
    for at in &chaos.paused {
        chaos.planes.nodes[*at].process.resume();
    }
    chaos.publish();
    let last = Revision(chaos.planes.revision);
    let settled = chaos
        .planes
        .wait_until(ms(30_000), |p| p.all_at(last, 0..NODES))
        .await;
    let revisions: Vec<_> = chaos
        .planes
        .nodes
        .iter()
        .map(|n| n.context.store.revision().0)
        .collect();
    assert!(
        settled.is_some(),
        "seed {seed}: not all nodes at {last} 30 s after the faults: {revisions:?}"
    );
    chaos.check();
    chaos.planes.end().await.expect("ends");
}

macro_rules! runs {
    ($($name:ident $seeds:expr,)+) => {
        $(
            /// Guards against a revert in 50 seeded runs with a stale configuration service,
            /// pauses, partitions and restarts without state.
            #[tokio::test(start_paused = true)]
            async fn $name() {
                for seed in $seeds {
                    local(run(seed)).await;
                }
            }
        )+
    };
}

runs! {
    no_revert_in_runs_0_to_49 0..50,
    no_revert_in_runs_50_to_99 50..100,
    no_revert_in_runs_100_to_149 100..150,
    no_revert_in_runs_150_to_199 150..200,
}
