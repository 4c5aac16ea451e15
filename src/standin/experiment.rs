//! One run of a script in virtual time, and its measures.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use serde::Serialize;
use tokio::{
    task::{JoinSet, LocalSet},
    time::{Instant, sleep, sleep_until},
};

use super::{
    Error, Result,
    audit::Audit,
    caller::{Callers, Dial, Flow},
    chaos,
    event::{Leave, Stage},
    fleet::{Fleet, Make},
    ledger::Ledger,
    measure::{self, ClassResult, Series, Window},
    plan,
    script::{Event, Script},
    tally::{Attempt, AttemptOutcome, Tally},
    world::{self, CALLERS, Loopback, World},
};
use crate::{
    state::{
        id::ServiceName,
        object::{Class, Control},
        publication::Publication,
    },
    transport::memory::{Network, Process},
};

/// Time from the start of the processes to the first request, in s.
const SETTLE_S: f64 = 4.0;
/// A leaving server may begin new work for this long.
const LEAVE_MS: u64 = 3_000;

/// The measures of one run.
#[derive(Debug, Clone, Serialize)]
pub struct Run {
    /// Seed.
    pub seed: u64,
    /// How overload was controlled.
    pub control: Control,
    /// Requests per second that the deepest service can serve.
    pub capacity: f64,
    /// Whole answers per second through the deepest service during the disturbance.
    pub goodput: f64,
    /// Goodput as a share of capacity.
    pub goodput_share: f64,
    /// Time from the start of the disturbance to normal goodput, while it lasts.
    pub onset_s: Option<f64>,
    /// Time from the end of the disturbance to normal goodput; none when not reached.
    pub recovery_s: Option<f64>,
    /// Refusals of important requests.
    pub important_refused: u64,
    /// Requests that ended neither with a whole answer nor refused, at the first service or below.
    pub interrupted: u64,
    /// Share of non-repeatable requests that ended as unknown.
    pub unknown: f64,
    /// Executions that leaving servers began too late.
    pub late_work: u64,
    /// Invariants and wasted work.
    pub audit: Audit,
    /// By class.
    pub classes: Vec<ClassResult>,
    /// Errors with which processes ended.
    pub errors: Vec<String>,
    /// The time line by class, for plots.
    pub series: Vec<Series>,
}

/// Capacity of the chains of a publication.
#[derive(Debug, Clone, PartialEq)]
pub struct Capacity {
    /// The service that limits all chains that pass it: the one with the fewest slots.
    pub deepest: ServiceName,
    /// Requests per second that it can serve.
    pub rate: f64,
    /// Mean own time of each service.
    pub work: BTreeMap<ServiceName, Duration>,
}

impl Capacity {
    /// The capacity of a publication with the service times of a script.
    ///
    /// # Errors
    /// There is no service.
    pub fn new(script: &Script, publication: &Publication) -> Result<Self> {
        let all = plan::upstreams(publication);
        let slots = |s: &ServiceName| all[s].iter().map(|u| u.slots).sum::<u32>();
        let missing = || Error::Missing {
            kind: "service in",
            name: script.deployment.clone(),
        };
        // Of services with equally many slots, the last one of a chain is the deepest.
        let depth = |s: &ServiceName| {
            let chains = plan::chains(publication);
            let depths = chains
                .iter()
                .map(|(c, _)| c.services().iter().position(|n| n == s));
            depths.max().flatten()
        };
        let key = |s: &&ServiceName| (slots(s), std::cmp::Reverse(depth(s)));
        let deepest = all.keys().min_by_key(key).ok_or_else(missing)?.clone();
        let ms = |name: &ServiceName| {
            let own = script.work.services_ms.get(name).copied();
            own.unwrap_or(match *name == deepest {
                true => script.work.deepest_ms,
                false => script.work.others_ms,
            })
        };
        let work = |name: &ServiceName| (name.clone(), Duration::from_millis(ms(name)));
        let rate = f64::from(slots(&deepest)) * 1_000.0 / ms(&deepest) as f64;
        Ok(Self {
            work: all.keys().map(work).collect(),
            deepest,
            rate,
        })
    }
}

/// The flows of a script: demand is set so that the deepest service has its share of load.
///
/// # Errors
/// No chain passes the deepest service.
pub fn flows(script: &Script, publication: &Publication, capacity: &Capacity) -> Result<Vec<Flow>> {
    let chains = plan::chains(publication);
    let weight = |c: &super::caller::Flow| match script.mix.is_empty() {
        true => 1.0,
        false => script.mix.get(&c.chain.name).copied().unwrap_or_default(),
    };
    let flow = |(chain, class)| Flow {
        chain,
        class,
        rate: 0.0,
        bytes: script.bytes,
        body: 0,
    };
    let mut flows: Vec<Flow> = chains.into_iter().map(flow).collect();
    let deep = |f: &&Flow| f.chain.services().contains(&capacity.deepest);
    let total: f64 = flows.iter().filter(deep).map(weight).sum();
    if total <= 0.0 {
        return Err(Error::Missing {
            kind: "chain through",
            name: capacity.deepest.to_string(),
        });
    }
    for flow in &mut flows {
        flow.rate = script.demand * capacity.rate * weight(flow) / total;
        if flow.chain.method != "GET" {
            flow.body = script.bytes;
        }
    }
    flows.retain(|f| f.rate > 0.0);
    Ok(flows)
}

/// Runs a script once, in virtual time.
///
/// # Errors
/// The publication does not fit the script.
pub fn run(script: &Script, publication: &Publication, control: Control, seed: u64) -> Result<Run> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O needs no resources");
    let publication = plan::controlled(publication, control);
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        let network = world::memory(&publication, script.latency.into(), seed)?;
        network.set_loss(script.loss);
        drive(script, &publication, network.clone(), Some(network), seed).await
    })
}

/// Runs a script once on the loopback addresses of this machine, in real time.
///
/// # Errors
/// The publication does not fit the script.
pub async fn live(
    script: &Script,
    publication: &Publication,
    control: Control,
    seed: u64,
) -> Result<Run> {
    let publication = plan::controlled(publication, control);
    drive(script, &publication, Loopback, None, seed).await
}

/// What a fleet of a script is made of.
pub fn make(script: &Script, capacity: &Capacity, seed: u64) -> Make {
    Make {
        work: capacity.work.clone(),
        cold: Duration::from_millis(script.work.cold_ms),
        waiting: script.work.waiting,
        seed,
    }
}

async fn drive<W: World>(
    script: &Script,
    publication: &Publication,
    world: W,
    network: Option<Network>,
    seed: u64,
) -> Result<Run> {
    let capacity = Capacity::new(script, publication)?;
    let make = make(script, &capacity, seed);
    let fleet = Fleet::new(world.clone(), publication, make);
    fleet.start();
    sleep(Duration::from_secs_f64(SETTLE_S)).await;
    let flows = flows(script, publication, &capacity)?;
    let mut classes: Vec<Class> = Vec::new();
    for flow in &flows {
        if !classes.contains(&flow.class) {
            classes.push(flow.class.clone());
        }
    }
    let tally = Tally::new(&classes);
    let manners = script.retry.into();
    let dial = Dial::new(manners);
    let stage = Stage {
        network: network.clone(),
        fleet: fleet.clone(),
        dial: dial.clone(),
        manners,
        old: fleet.configuration().snapshot(),
        leaves: Rc::default(),
    };
    let mut events = script.events.clone();
    if script.chaos {
        events.extend(chaos::events(publication, seed, script.length_s));
    }
    let measured = Instant::now() + Duration::from_secs_f64(script.warmup_s);
    let end = measured + Duration::from_secs_f64(script.length_s);
    let mut happening = JoinSet::new();
    for event in events.clone() {
        happening.spawn_local(stage.clone().apply(event, measured));
    }
    let net = world.net(CALLERS, Process::default());
    let callers = Callers::new(net, fleet.directory(), dial, tally.clone(), seed);
    let mut sending = JoinSet::new();
    for flow in flows {
        sending.spawn_local(callers.clone().run(flow, end));
    }
    sleep_until(end).await;
    while sending.join_next().await.is_some() {}
    happening.shutdown().await;
    if let Some(network) = network {
        network.heal_all();
    }
    let errors = fleet.shutdown().await;
    let audit = Audit::new(&tally, fleet.ledger(), &capacity.deepest);
    let window = window(script, &events);
    let late = late_work(fleet.ledger(), &stage.leaves);
    let mut run = measure::measure(&tally, &capacity, window);
    (run.seed, run.late_work) = (seed, late);
    run.control = publication.head.deployment.control;
    (run.audit, run.errors) = (audit, errors);
    let length = (window.to - window.from).as_secs_f64();
    let delivered = delivered(&tally, fleet.ledger(), &capacity.deepest, window);
    run.goodput = delivered as f64 / length.max(f64::MIN_POSITIVE);
    run.goodput_share = run.goodput / capacity.rate;
    Ok(run)
}

/// Whole answers received during the disturbance for which the deepest service ran.
fn delivered(tally: &Tally, ledger: &Ledger, deepest: &ServiceName, window: Window) -> usize {
    let start = tally.start();
    let counts = |a: &Attempt| {
        let age = a.ended.saturating_duration_since(start);
        a.outcome == AttemptOutcome::Complete
            && (window.from..window.to).contains(&age)
            && ledger.of(a.id).iter().any(|e| e.service == *deepest)
    };
    tally.attempts().iter().filter(|a| counts(a)).count()
}

/// The disturbance: from the first event to the end of the last one; all when there is none.
fn window(script: &Script, events: &[Event]) -> Window {
    let warmup = script.warmup_s;
    let disturbing = || events.iter().filter(|e| e.fault.disturbs());
    let from = disturbing().map(|e| e.at_s).fold(f64::INFINITY, f64::min);
    let to = disturbing().map(|e| e.at_s + e.for_s).fold(0.0, f64::max);
    let all = from.is_infinite();
    let (from, to) = if all {
        (0.0, script.length_s)
    } else {
        (from, to)
    };
    let at = |s: f64| Duration::from_secs_f64(warmup + s);
    Window {
        measured: at(0.0),
        from: at(from),
        to: at(to),
        end: at(script.length_s),
    }
}

fn late_work(ledger: &Ledger, leaves: &RefCell<Vec<Leave>>) -> u64 {
    let mut late = 0;
    let grace = Duration::from_millis(LEAVE_MS);
    let leaves = leaves.borrow();
    ledger.each(|_, executions| {
        for execution in executions {
            let within = |l: &&Leave| {
                l.upstream == execution.upstream
                    && execution.start > l.from + grace
                    && execution.start < l.to
            };
            late += leaves.iter().filter(within).count() as u64;
        }
    });
    late
}
