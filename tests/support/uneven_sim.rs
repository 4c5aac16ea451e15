//! Nodes and servers of one service as plain values in virtual time.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use comfreybay::state::{
    id::{ClassName, RootId, UpstreamName},
    object::Upstream,
    priority::{Level, Priority},
    upstream::{AttemptEnd, Load, Pace, ServiceTime, ServiceTimeMeter, UpstreamTable},
};
use tokio::time::Instant;

const SLOTS: usize = 40;
/// Mean work of a call at speed 1.
const WORK_MS: f64 = 85.0;
/// Work of a long call relative to an ordinary one.
const LONG_FACTOR: f64 = 10.0;
/// Time after which calls are counted, when the estimates have settled.
pub const SETTLE_MS: u64 = 6_000;
/// Share of the slots from which servers with a knee slow down, and by how much.
const KNEE_SHARE: f64 = 0.95;
const KNEE_FACTOR: f64 = 1.3;
/// Share of the slots from which a node takes its server for nearly full.
const CROWDED_SHARE: f64 = 0.9;

/// What the servers report besides their load.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Report {
    /// Nothing: the choice by expected delay is off.
    None,
    /// The pace of their machine.
    Pace,
    /// Nothing, but their nodes measure the times of calls.
    Times,
    /// The same, and server 0 claims this time, in µs.
    Claimed(u64),
    /// The same, and the report of server 0 stays the one of this time, in ms.
    Frozen(u64),
    /// The same, without reports of server 0.
    Missing,
}

/// A service and its load.
#[derive(Clone)]
pub struct Setup {
    pub speeds: Vec<f64>,
    pub report: Report,
    /// Whether machines are slow 15% of the time, each at another time.
    pub has_neighbours: bool,
    pub has_knee: bool,
    /// Begin and end in ms of a time in which server 0 takes twice as long.
    pub slow_ms: (u64, u64),
    /// Calls of the class of long work each second, all of node 0 and for the servers 0 and 1.
    pub long_per_s: u64,
    /// Load, as a share of the throughput.
    pub share: f64,
    pub nodes: usize,
    pub end_ms: u64,
    pub seed: u64,
}

impl Setup {
    /// Twelve servers with these speeds in turn.
    pub fn new(speeds: &[f64], share: f64) -> Self {
        Self {
            speeds: speeds.iter().copied().cycle().take(12).collect(),
            report: Report::Times,
            has_neighbours: false,
            has_knee: false,
            slow_ms: (0, 0),
            long_per_s: 0,
            share,
            nodes: 20,
            end_ms: 16_000,
            seed: 5,
        }
    }

    pub fn run(&self, report: Report) -> World {
        let setup = Self {
            report,
            ..self.clone()
        };
        World::new(setup).run()
    }
}

struct Call {
    node: usize,
    begin: u64,
    work_ms: f64,
    is_long: bool,
}

struct Running {
    ends: u64,
    began: u64,
    call: Call,
    was_crowded: bool,
}

struct Server {
    name: UpstreamName,
    running: Vec<Running>,
    queue: VecDeque<Call>,
    meter: ServiceTimeMeter,
    frozen: Option<ServiceTime>,
}

/// An ordinary call that has ended.
pub struct Ended {
    pub begin: u64,
    pub lasted: u64,
    pub waited: u64,
    pub server: usize,
}

pub struct World {
    setup: Setup,
    tables: Vec<UpstreamTable>,
    servers: Vec<Server>,
    rng: fastrand::Rng,
    classes: [ClassName; 2],
    pub ended: Vec<Ended>,
}

/// Periods of 600 ms in which the machine of a server takes 2.5 times as long: 15% of the time, at
/// another time for each server.
fn pace(server: usize, ms: u64) -> Pace {
    let period = (ms / 600 + server as u64 * 3) % 7;
    Pace::new(if period == 0 { 250 } else { 100 })
}

fn is_crowded(running: usize) -> bool {
    running as f64 >= SLOTS as f64 * CROWDED_SHARE
}

impl World {
    fn new(setup: Setup) -> Self {
        let at = "127.0.0.1:1".parse().expect("valid address");
        let upstream = |n: usize| Upstream {
            name: format!("u-{n:02}").parse().expect("valid name"),
            owner: "o".parse().expect("valid name"),
            service: "s".parse().expect("valid name"),
            zone: "z".parse().expect("valid name"),
            public: at,
            peer: at,
            control: at,
            slots: SLOTS as u32,
            connections: 500,
        };
        let upstreams: Vec<_> = (0..setup.speeds.len()).map(upstream).collect();
        let table = |node: usize| {
            let own = format!("n-{node}").parse().expect("valid name");
            let mut table = UpstreamTable::new(own, "z".parse().expect("valid name"));
            table.apply(&upstreams, Instant::now());
            table
        };
        let server = |upstream: &Upstream| Server {
            name: upstream.name.clone(),
            running: Vec::new(),
            queue: VecDeque::new(),
            meter: ServiceTimeMeter::default(),
            frozen: None,
        };
        Self {
            tables: (0..setup.nodes).map(table).collect(),
            servers: upstreams.iter().map(server).collect(),
            rng: fastrand::Rng::with_seed(setup.seed),
            classes: ["order", "long"].map(|name| name.parse().expect("valid name")),
            setup,
            ended: Vec::new(),
        }
    }

    fn run(mut self) -> Self {
        let start = Instant::now();
        let speeds: f64 = self.setup.speeds.iter().sum();
        let slow = match self.setup.has_neighbours {
            true => 1.0 / 1.09,
            false => 1.0,
        };
        let long_work = self.setup.long_per_s as f64 / 1_000.0 * LONG_FACTOR;
        let throughput = speeds * SLOTS as f64 / WORK_MS * slow;
        let per_ms = self.setup.share * throughput - long_work;
        let (mut due, mut long_due) = (0.0, 0.0);
        for ms in 0..self.setup.end_ms {
            let now = start + Duration::from_millis(ms);
            for server in 0..self.servers.len() {
                self.end_calls(server, ms, now);
                self.start_queued(server, ms);
            }
            due += per_ms;
            while due >= 1.0 {
                due -= 1.0;
                let node = self.rng.usize(..self.setup.nodes);
                self.start_call(node, false, ms, now);
            }
            long_due += self.setup.long_per_s as f64 / 1_000.0;
            while long_due >= 1.0 {
                long_due -= 1.0;
                self.start_call(0, true, ms, now);
            }
        }
        self
    }

    fn pace(&self, server: usize, ms: u64) -> Pace {
        match self.setup.has_neighbours {
            true => pace(server, ms),
            false => Pace::USUAL,
        }
    }

    fn end_calls(&mut self, index: usize, ms: u64, now: Instant) {
        let (pace, report) = (self.pace(index, ms), self.setup.report);
        let server = &mut self.servers[index];
        let ended: Vec<_> = server.running.extract_if(.., |r| r.ends <= ms).collect();
        for running in ended {
            let Running { began, call, .. } = running;
            let class = &self.classes[usize::from(call.is_long)];
            match report {
                Report::None => {}
                Report::Pace => server.meter.record_load(Some(pace)),
                _ => server.meter.record_load(None),
            }
            let crowded = running.was_crowded || is_crowded(server.running.len() + 1);
            let took = Duration::from_millis(ms - began);
            server.meter.record(class, took, crowded, now);
            let load = Load {
                in_flight: server.running.len() as u32,
                limit: SLOTS as u32,
                queued: server.queue.len() as u32,
            };
            let table = &mut self.tables[call.node];
            let lasted = Duration::from_millis(ms - call.begin);
            table.record_end(&server.name, AttemptEnd::Answered, lasted, now);
            table.update_load(&server.name, load, Level::OPEN, now);
            let measured = server.meter.report(class);
            let time = match (report, index) {
                (Report::Claimed(us), 0) => Some(ServiceTime {
                    usual: Duration::from_micros(us),
                    pace: Pace::USUAL,
                }),
                (Report::Frozen(from), 0) if ms >= from => {
                    server.frozen = server.frozen.or(measured);
                    server.frozen
                }
                (Report::Missing, 0) => None,
                _ => measured,
            };
            if let Some(time) = time {
                table.update_service_time(&server.name, class, time, now);
            }
            if !call.is_long {
                self.ended.push(Ended {
                    begin: call.begin,
                    lasted: ms - call.begin,
                    waited: began - call.begin,
                    server: index,
                });
            }
        }
    }

    fn start_queued(&mut self, index: usize, ms: u64) {
        let pace = self.pace(index, ms);
        let (from, to) = self.setup.slow_ms;
        let server = &mut self.servers[index];
        while server.running.len() < SLOTS
            && let Some(call) = server.queue.pop_front()
        {
            let mut lasts = call.work_ms / self.setup.speeds[index] * pace.factor();
            if index == 0 && (from..to).contains(&ms) {
                lasts *= 2.0;
            }
            if self.setup.has_knee && (server.running.len() + 1) as f64 >= SLOTS as f64 * KNEE_SHARE
            {
                lasts *= KNEE_FACTOR;
            }
            server.running.push(Running {
                ends: ms + lasts.ceil() as u64,
                began: ms,
                call,
                was_crowded: is_crowded(server.running.len() + 1),
            });
        }
    }

    fn start_call(&mut self, node: usize, is_long: bool, ms: u64, now: Instant) {
        let root = RootId::random(&mut self.rng);
        let priority = Priority::new(0, false, root);
        let mut tried = BTreeSet::new();
        if is_long {
            tried.extend(self.servers.iter().skip(2).map(|s| s.name.clone()));
        }
        let picked = self.tables[node].pick(priority, &tried, &mut self.rng, now);
        let picked = picked.expect("a server");
        let found = self.servers.iter().position(|s| s.name == picked.name);
        let factor = if is_long { LONG_FACTOR } else { 1.0 };
        let call = Call {
            node,
            begin: ms,
            work_ms: WORK_MS * factor * (0.4 + 1.2 * self.rng.f64()),
            is_long,
        };
        self.servers[found.expect("known")].queue.push_back(call);
    }

    fn counted(&self) -> impl Iterator<Item = &Ended> {
        self.ended.iter().filter(|e| e.begin >= SETTLE_MS)
    }

    /// Share of the calls that waited longer than a time for a slot.
    pub fn waited(&self, ms: u64) -> f64 {
        let late = self.counted().filter(|e| e.waited > ms).count();
        late as f64 / self.counted().count() as f64
    }

    pub fn mean_ms(&self) -> f64 {
        let sum: u64 = self.counted().map(|e| e.lasted).sum();
        sum as f64 / self.counted().count() as f64
    }

    /// The 99th percentile of the time from begin to end.
    pub fn p99_ms(&self) -> f64 {
        let mut all: Vec<_> = self.counted().map(|e| e.lasted).collect();
        all.sort_unstable();
        all[all.len() * 99 / 100] as f64
    }

    /// Share of the calls begun in a time that server 0 got, relative to an equal share.
    pub fn first_share(&self, from_ms: u64, to_ms: u64) -> f64 {
        let begun = || {
            let range = from_ms..to_ms;
            self.ended.iter().filter(move |e| range.contains(&e.begin))
        };
        let first = begun().filter(|e| e.server == 0).count();
        first as f64 / begun().count() as f64 * self.servers.len() as f64
    }
}

/// Figures of several runs with different seeds.
#[derive(Debug, Clone, Copy)]
pub struct Figures {
    pub waited: f64,
    pub mean_ms: f64,
    pub p99_ms: f64,
}

/// Mean figures of a setup over the seeds 1 to 4.
pub fn figures(setup: &Setup, report: Report) -> Figures {
    let seeds = 1..=4;
    let runs: Vec<_> = seeds
        .map(|seed| {
            let setup = Setup {
                seed,
                ..setup.clone()
            };
            setup.run(report)
        })
        .collect();
    let mean = |of: &dyn Fn(&World) -> f64| runs.iter().map(of).sum::<f64>() / runs.len() as f64;
    let all = Figures {
        waited: mean(&|w| w.waited(20)),
        mean_ms: mean(&World::mean_ms),
        p99_ms: mean(&World::p99_ms),
    };
    println!(
        "{report:?}: {:.4} waited, mean {:.1} ms, p99 {:.0} ms",
        all.waited, all.mean_ms, all.p99_ms
    );
    all
}
