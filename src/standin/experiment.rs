//! Runs a script once, in virtual time or on loopback, and measures the run.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use serde::Serialize;
use tokio::{
    task::{JoinSet, LocalSet},
    time::{Instant, sleep, sleep_until},
};

use super::{
    Error, Result,
    audit::Audit,
    caller::{Callers, Flow, LoadControls},
    chaos,
    event::{Departure, EventTarget},
    fleet::{Fleet, FleetOptions},
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

/// Time from the start of the processes to the first request.
const STARTUP_S: f64 = 4.0;
/// Time for which a departing backend server may still start executions.
const DEPARTURE_GRACE_MS: u64 = 3_000;

/// Measures of one run.
#[derive(Debug, Clone, Serialize)]
pub struct Run {
    /// Seed of the run.
    pub seed: u64,
    /// Overload control that the nodes used.
    pub control: Control,
    /// Capacity of the deepest service, in requests/s.
    pub capacity: f64,
    /// Complete responses per second during the disturbance that involved the deepest service.
    pub goodput: f64,
    /// Goodput as a share of capacity.
    pub goodput_share: f64,
    /// Time from the start of the disturbance to normal goodput; `None` when not reached before
    /// its end.
    pub onset_s: Option<f64>,
    /// Time from the end of the disturbance to normal goodput; `None` when not reached.
    pub recovery_s: Option<f64>,
    /// Refused attempts of important requests.
    pub important_refused: u64,
    /// Requests that ended neither with a complete response nor with a refusal, at the entry
    /// service or downstream.
    pub interrupted: u64,
    /// Share of non-repeatable requests that ended as unknown.
    pub unknown: f64,
    /// Executions that departing backend servers started after the grace period.
    pub late_work: u64,
    /// Violations of the invariants, and wasted work.
    pub audit: Audit,
    /// Results by class.
    pub classes: Vec<ClassResult>,
    /// Errors of nodes that failed or exceeded the stop timeout.
    pub errors: Vec<String>,
    /// Time lines by class, for plots.
    pub series: Vec<Series>,
}

/// Capacity of the chains of a publication.
#[derive(Debug, Clone, PartialEq)]
pub struct Capacity {
    /// Service with the fewest slots, which limits all chains through it.
    pub deepest: ServiceName,
    /// Capacity of the deepest service, in requests/s.
    pub rate: f64,
    /// Mean service time of each service, without downstream calls.
    pub service_times: BTreeMap<ServiceName, Duration>,
}

impl Capacity {
    /// Computes the capacity of a publication with the service times of a script.
    ///
    /// # Errors
    /// Returns an error when the publication has no service.
    pub fn new(script: &Script, publication: &Publication) -> Result<Self> {
        let upstreams = plan::upstreams(publication);
        let slots = |s: &ServiceName| upstreams[s].iter().map(|u| u.slots).sum::<u32>();
        let missing = || Error::Missing {
            kind: "service in",
            name: script.deployment.clone(),
        };
        // Among services with the same number of slots, the last one in a chain is the deepest.
        let depth = |s: &ServiceName| {
            let chains = plan::chains(publication);
            let depths = chains
                .iter()
                .map(|(c, _)| c.services().iter().position(|n| n == s));
            depths.max().flatten()
        };
        let key = |s: &&ServiceName| (slots(s), std::cmp::Reverse(depth(s)));
        let deepest = upstreams
            .keys()
            .min_by_key(key)
            .ok_or_else(missing)?
            .clone();
        let ms = |name: &ServiceName| {
            let service_ms = script.work.services_ms.get(name).copied();
            service_ms.unwrap_or(match *name == deepest {
                true => script.work.deepest_ms,
                false => script.work.others_ms,
            })
        };
        let service_time = |name: &ServiceName| (name.clone(), Duration::from_millis(ms(name)));
        let rate = f64::from(slots(&deepest)) * 1_000.0 / ms(&deepest) as f64;
        Ok(Self {
            service_times: upstreams.keys().map(service_time).collect(),
            deepest,
            rate,
        })
    }
}

/// Returns the flows of a script, with rates at which the load on the deepest service is the
/// script's demand.
///
/// # Errors
/// Returns an error when no chain passes through the deepest service.
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
        response_bytes: script.bytes,
        request_bytes: 0,
    };
    let mut flows: Vec<Flow> = chains.into_iter().map(flow).collect();
    let passes_deepest = |f: &&Flow| f.chain.services().contains(&capacity.deepest);
    let total_weight: f64 = flows.iter().filter(passes_deepest).map(weight).sum();
    if total_weight <= 0.0 {
        return Err(Error::Missing {
            kind: "chain through",
            name: capacity.deepest.to_string(),
        });
    }
    for flow in &mut flows {
        flow.rate = script.demand * capacity.rate * weight(flow) / total_weight;
        if flow.chain.method != "GET" {
            flow.request_bytes = script.bytes;
        }
    }
    flows.retain(|f| f.rate > 0.0);
    Ok(flows)
}

/// Runs a script once, in virtual time.
///
/// # Errors
/// Returns an error when the publication doesn't fit the script.
pub fn run(script: &Script, publication: &Publication, control: Control, seed: u64) -> Result<Run> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O needs no resources");
    let publication = plan::controlled(publication, control);
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        let network = world::memory_network(&publication, script.latency.into(), seed)?;
        network.set_loss(script.loss);
        drive(script, &publication, network.clone(), Some(network), seed).await
    })
}

/// Runs a script once on the loopback addresses of this machine, in real time.
///
/// # Errors
/// Returns an error when the publication doesn't fit the script.
pub async fn live(
    script: &Script,
    publication: &Publication,
    control: Control,
    seed: u64,
) -> Result<Run> {
    let publication = plan::controlled(publication, control);
    drive(script, &publication, Loopback, None, seed).await
}

/// Returns the parameters of the fleet of a script.
pub fn fleet_options(script: &Script, capacity: &Capacity, seed: u64) -> FleetOptions {
    FleetOptions {
        service_times: capacity.service_times.clone(),
        warm_up: Duration::from_millis(script.work.cold_ms),
        queue_limit: script.work.waiting,
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
    let make = fleet_options(script, &capacity, seed);
    let fleet = Fleet::new(world.clone(), publication, make);
    fleet.start();
    sleep(Duration::from_secs_f64(STARTUP_S)).await;
    let flows = flows(script, publication, &capacity)?;
    let mut classes: Vec<Class> = Vec::new();
    for flow in &flows {
        if !classes.contains(&flow.class) {
            classes.push(flow.class.clone());
        }
    }
    let tally = Tally::new(&classes);
    let retry_policy = script.retry.into();
    let dial = LoadControls::new(retry_policy);
    let target = EventTarget {
        network: network.clone(),
        fleet: fleet.clone(),
        dial: dial.clone(),
        retry_policy,
        old_configuration: fleet.configuration().snapshot(),
        departures: Rc::default(),
    };
    let mut events = script.events.clone();
    if script.chaos {
        events.extend(chaos::events(publication, seed, script.length_s));
    }
    let measure_start = Instant::now() + Duration::from_secs_f64(script.warmup_s);
    let end = measure_start + Duration::from_secs_f64(script.length_s);
    let mut event_tasks = JoinSet::new();
    for event in events.clone() {
        event_tasks.spawn_local(target.clone().apply(event, measure_start));
    }
    let net = world.net(CALLERS, Process::default());
    let callers = Callers::new(net, fleet.directory(), dial, tally.clone(), seed);
    let mut flow_tasks = JoinSet::new();
    for flow in flows {
        flow_tasks.spawn_local(callers.clone().run(flow, end));
    }
    sleep_until(end).await;
    while flow_tasks.join_next().await.is_some() {}
    event_tasks.shutdown().await;
    if let Some(network) = network {
        network.heal_all();
    }
    let errors = fleet.shutdown().await;
    let audit = Audit::new(&tally, fleet.ledger(), &capacity.deepest);
    let window = window(script, &events);
    let late = late_work(fleet.ledger(), &target.departures);
    let mut run = measure::measure(&tally, &capacity, window);
    (run.seed, run.late_work) = (seed, late);
    run.control = publication.head.deployment.control;
    (run.audit, run.errors) = (audit, errors);
    let length = (window.fault_end - window.fault_start).as_secs_f64();
    let delivered = delivered(&tally, fleet.ledger(), &capacity.deepest, window);
    run.goodput = delivered as f64 / length.max(f64::MIN_POSITIVE);
    run.goodput_share = run.goodput / capacity.rate;
    Ok(run)
}

/// Counts the complete responses during the disturbance whose requests the deepest service ran.
fn delivered(tally: &Tally, ledger: &Ledger, deepest: &ServiceName, window: Window) -> usize {
    let start = tally.start();
    let counts = |a: &Attempt| {
        let age = a.ended.saturating_duration_since(start);
        a.outcome == AttemptOutcome::Complete
            && (window.fault_start..window.fault_end).contains(&age)
            && ledger
                .executions(a.id)
                .iter()
                .any(|e| e.service == *deepest)
    };
    tally.attempts().iter().filter(|a| counts(a)).count()
}

/// Returns the phases of a run. The disturbance lasts from the first disturbing event to the end
/// of the last one; without such an event it is the whole measurement.
fn window(script: &Script, events: &[Event]) -> Window {
    let warmup = script.warmup_s;
    let disturbing = || events.iter().filter(|e| e.fault.disturbs());
    let from = disturbing().map(|e| e.at_s).fold(f64::INFINITY, f64::min);
    let to = disturbing().map(|e| e.at_s + e.for_s).fold(0.0, f64::max);
    let undisturbed = from.is_infinite();
    let (from, to) = if undisturbed {
        (0.0, script.length_s)
    } else {
        (from, to)
    };
    let at = |s: f64| Duration::from_secs_f64(warmup + s);
    Window {
        start: at(0.0),
        fault_start: at(from),
        fault_end: at(to),
        end: at(script.length_s),
    }
}

/// Counts the executions that departing backend servers started after the grace period.
fn late_work(ledger: &Ledger, departures: &RefCell<Vec<Departure>>) -> u64 {
    let mut late = 0;
    let grace = Duration::from_millis(DEPARTURE_GRACE_MS);
    let departures = departures.borrow();
    ledger.for_each(|_, executions| {
        for execution in executions {
            let is_late = |d: &&Departure| {
                d.upstream == execution.upstream
                    && execution.start > d.from + grace
                    && execution.start < d.to
            };
            late += departures.iter().filter(is_late).count() as u64;
        }
    });
    late
}
