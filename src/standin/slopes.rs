//! How the cost of the control plane grows with the fleet: one measurement per size, and a fit.

use std::{collections::BTreeMap, fs, path::Path, time::Duration};

use plotters::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::{
    task::LocalSet,
    time::{Instant, sleep},
};

use super::planes::{PLATFORM, Plan, Planes};
use crate::{
    state::{counters::Counter, id::Revision},
    transport::memory::Place,
};

/// Nodes at the design scale.
pub const FLEET: f64 = 26_000.0;
/// Availability zones at the design scale.
const FLEET_ZONES: f64 = 32.0;
const CHANGE_MS: u64 = 9_500;
const CHANGES: u64 = 10;
const START_S: u64 = 120;
const SETTLE_S: u64 = 30;
const FAULT_S: u64 = 60;

/// What one run measured. Rates are per second of virtual time.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Size {
    /// Nodes.
    pub nodes: usize,
    /// Availability zones.
    pub zones: usize,
    /// Seed.
    pub seed: u64,
    /// Measured values by name.
    pub values: BTreeMap<String, f64>,
}

/// Nanoseconds of processor time that this thread has used, from the kernel's accounting.
fn cpu_ns() -> f64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|n| n.parse().ok()).unwrap_or_default()
}

/// Resident memory of this process in bytes.
fn resident() -> f64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kb = line.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok());
    kb.unwrap_or_default() * 1_024.0
}

struct Mark {
    at: Instant,
    cpu: f64,
    reads: u64,
    lists: u64,
    beats: u64,
    control: Vec<u64>,
    total: Vec<u64>,
}

impl Mark {
    fn new(planes: &Planes) -> Self {
        let control = |n: usize| {
            let counters = planes.counters(n);
            counters.get(Counter::ControlSentBytes) + counters.get(Counter::ControlReceivedBytes)
        };
        let total = |n: usize| {
            let traffic = planes.network.total(planes.nodes[n].upstream.control.ip());
            traffic.sent + traffic.received
        };
        let all = 0..planes.nodes.len();
        Self {
            at: Instant::now(),
            cpu: cpu_ns(),
            reads: planes.configuration.reads(),
            lists: planes.sum(Counter::ListReads),
            beats: planes.sum(Counter::HeartbeatsSent) + planes.sum(Counter::HeartbeatsReceived),
            control: all.clone().map(control).collect(),
            total: all.map(total).collect(),
        }
    }
}

fn ratio(a: &[u64], b: &[u64], seconds: f64) -> (f64, f64) {
    let rates: Vec<_> = a
        .iter()
        .zip(b)
        .map(|(a, b)| b.saturating_sub(*a) as f64 / seconds)
        .collect();
    let sum: f64 = rates.iter().sum();
    let worst = rates.iter().copied().fold(0.0, f64::max);
    (sum / rates.len() as f64, worst)
}

fn quantile(sorted: &[f64], share: f64) -> f64 {
    let at = (sorted.len().saturating_sub(1) as f64 * share).round() as usize;
    sorted.get(at).copied().unwrap_or(f64::NAN)
}

/// Measures a fleet of one size; with `faults` also restarts, a lost zone and a cut region.
pub fn measure(plan: Plan, faults: bool) -> Size {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O can be built");
    let memory = resident();
    let values = LocalSet::new().block_on(&runtime, run(plan, faults, memory));
    Size {
        nodes: plan.nodes,
        zones: plan.zones,
        seed: plan.seed,
        values,
    }
}

async fn run(plan: Plan, faults: bool, memory: f64) -> BTreeMap<String, f64> {
    let mut planes = Planes::new(plan);
    let mut values = BTreeMap::new();
    let mut put = |name: &str, value: f64| {
        values.insert(name.to_owned(), value);
    };
    let first = planes.publish();
    planes.start_all();
    let limit = Duration::from_secs(START_S);
    let took = planes
        .wait_until(limit, |p| p.all_at(first, 0..plan.nodes))
        .await;
    put("cold-start-s", took.map_or(f64::NAN, |t| t.as_secs_f64()));
    put("cold-start-reads", planes.configuration.reads() as f64);
    put(
        "cold-start-worst-second",
        planes.configuration.worst_second() as f64,
    );
    sleep(Duration::from_secs(SETTLE_S)).await;

    let before = Mark::new(&planes);
    let mut delays = Vec::new();
    for _ in 0..CHANGES {
        let published = Instant::now();
        let revision = planes.publish();
        sleep(Duration::from_millis(CHANGE_MS)).await;
        let found = planes.delays(revision, published).into_iter();
        delays.extend(found.map(|d| d.map_or(f64::INFINITY, |d| d.as_secs_f64())));
    }
    let after = Mark::new(&planes);
    let seconds = (after.at - before.at).as_secs_f64();
    let nodes = plan.nodes as f64;
    let (mean, worst) = ratio(&before.control, &after.control, seconds);
    put("control-bytes-per-s", mean);
    put("control-bytes-per-s-worst-node", worst);
    let (mean, worst) = ratio(&before.total, &after.total, seconds);
    put("bytes-per-s", mean);
    put("bytes-per-s-worst-node", worst);
    put(
        "heartbeats-per-s",
        (after.beats - before.beats) as f64 / nodes / seconds,
    );
    put("reads-per-s", (after.reads - before.reads) as f64 / seconds);
    put(
        "reads-per-change",
        (after.reads - before.reads) as f64 / CHANGES as f64,
    );
    put(
        "list-reads-per-s",
        (after.lists - before.lists) as f64 / seconds,
    );
    put(
        "cpu-ms-per-node-s",
        (after.cpu - before.cpu) / 1e6 / nodes / seconds,
    );
    put("memory-kb", (resident() - memory) / 1_024.0 / nodes);
    let links = (0..plan.nodes).map(|n| planes.counters(n).get(Counter::Peers));
    put("links-max", links.clone().max().unwrap_or_default() as f64);
    put("links-mean", links.sum::<u64>() as f64 / nodes);
    put("readers", planes.sum(Counter::ConfigReader) as f64);
    let held = planes.nodes.iter().map(|n| n.context.store.held_bytes());
    put("held-bytes-max", held.max().unwrap_or_default() as f64);
    delays.sort_by(f64::total_cmp);
    put("effect-s-median", quantile(&delays, 0.5));
    put("effect-s-p99", quantile(&delays, 0.99));
    put("effect-s-worst", quantile(&delays, 1.0));
    if faults {
        restart(&mut planes, &mut values).await;
        lose_zone(&mut planes, &mut values).await;
        cut_region(&mut planes, &mut values).await;
    }
    let _ = planes.end().await;
    values
}

type Values = BTreeMap<String, f64>;

async fn restart(planes: &mut Planes, values: &mut Values) {
    let (mut worst, mut bytes, reads) = (0f64, 0f64, planes.configuration.reads());
    const RESTARTS: usize = 10;
    for n in 0..RESTARTS {
        let at = n * planes.nodes.len() / RESTARTS;
        planes.crash(at);
        sleep(Duration::from_secs(1)).await;
        planes.start(at);
        let revision = Revision(planes.revision);
        let limit = Duration::from_secs(START_S);
        let took = planes.wait_until(limit, |p| p.all_at(revision, [at])).await;
        worst = worst.max(took.map_or(f64::INFINITY, |t| t.as_secs_f64()));
        let counters = planes.counters(at);
        bytes += counters.get(Counter::ControlReceivedBytes) as f64;
        sleep(Duration::from_secs(2)).await;
    }
    let reads = planes.configuration.reads() - reads;
    values.insert("restart-s-worst".into(), worst);
    values.insert("restart-received-bytes".into(), bytes / RESTARTS as f64);
    values.insert("restart-reads-all".into(), reads as f64 / RESTARTS as f64);
}

async fn lose_zone(planes: &mut Planes, values: &mut Values) {
    let zone = planes.nodes[0].upstream.zone.clone();
    let in_zone = |n: &usize| planes.nodes[*n].upstream.zone == zone;
    let (lost, rest): (Vec<_>, Vec<_>) = (0..planes.nodes.len()).partition(in_zone);
    lost.iter().for_each(|n| planes.crash(*n));
    let before = Mark::new(planes);
    sleep(Duration::from_secs(FAULT_S)).await;
    let after = Mark::new(planes);
    let of = |all: &[u64]| rest.iter().map(|n| all[*n]).collect::<Vec<_>>();
    let seconds = FAULT_S as f64;
    let (mean, worst) = ratio(&of(&before.total), &of(&after.total), seconds);
    values.insert("lost-zone-bytes-per-s".into(), mean);
    values.insert("lost-zone-bytes-per-s-worst-node".into(), worst);
    let reads = planes.configuration.reads();
    lost.iter().for_each(|n| planes.start(*n));
    let revision = Revision(planes.revision);
    let limit = Duration::from_secs(START_S);
    let took = planes
        .wait_until(limit, |p| p.all_at(revision, lost.clone()))
        .await;
    let took = took.map_or(f64::INFINITY, |t| t.as_secs_f64());
    values.insert("zone-back-s".into(), took);
    let reads = (planes.configuration.reads() - reads) as f64;
    values.insert("zone-back-reads-per-node".into(), reads / lost.len() as f64);
    sleep(Duration::from_secs(SETTLE_S)).await;
}

async fn cut_region(planes: &mut Planes, values: &mut Values) {
    let zones: Vec<_> = {
        let mut all: Vec<_> = planes
            .nodes
            .iter()
            .map(|n| n.upstream.zone.clone())
            .collect();
        all.sort();
        all.dedup();
        all
    };
    // Regions have four zones each.
    let inside: Vec<_> = zones.iter().take(4).cloned().collect();
    for zone in &inside {
        for other in zones.iter().filter(|z| !inside.contains(z)) {
            planes
                .network
                .cut_both(Place::Zone(zone.clone()), Place::Zone(other.clone()));
        }
        planes
            .network
            .cut_both(Place::Zone(zone.clone()), Place::Host(PLATFORM));
    }
    let before = Mark::new(planes);
    let mut revision = Revision(planes.revision);
    for _ in 0..2 * FAULT_S * 1_000 / CHANGE_MS {
        revision = planes.publish();
        sleep(Duration::from_millis(CHANGE_MS)).await;
    }
    let after = Mark::new(planes);
    let seconds = (after.at - before.at).as_secs_f64();
    let (mean, worst) = ratio(&before.total, &after.total, seconds);
    values.insert("cut-region-s".into(), seconds);
    values.insert("cut-region-bytes-per-s".into(), mean);
    values.insert("cut-region-bytes-per-s-worst-node".into(), worst);
    let reads = (after.reads - before.reads) as f64 / seconds;
    values.insert("cut-region-reads-per-s".into(), reads);
    planes.network.heal_all();
    let nodes = planes.nodes.len();
    let limit = Duration::from_secs(START_S);
    let took = planes
        .wait_until(limit, |p| p.all_at(revision, 0..nodes))
        .await;
    let took = took.map_or(f64::INFINITY, |t| t.as_secs_f64());
    values.insert("region-back-s".into(), took);
}

/// A fitted curve: `base + slope * ln(nodes)`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    /// Value at one node.
    pub base: f64,
    /// Growth per factor e of nodes.
    pub slope: f64,
}

impl Fit {
    /// Least squares over (nodes, value).
    ///
    /// ```
    /// use comfreybay::standin::slopes::Fit;
    /// let fit = Fit::new(&[(1.0, 2.0), (std::f64::consts::E, 5.0)]);
    /// assert!((fit.base - 2.0).abs() < 1e-9 && (fit.slope - 3.0).abs() < 1e-9);
    /// ```
    pub fn new(points: &[(f64, f64)]) -> Self {
        let n = points.len() as f64;
        let x = points.iter().map(|p| p.0.ln()).sum::<f64>() / n;
        let y = points.iter().map(|p| p.1).sum::<f64>() / n;
        let above: f64 = points.iter().map(|p| (p.0.ln() - x) * (p.1 - y)).sum();
        let below: f64 = points.iter().map(|p| (p.0.ln() - x).powi(2)).sum();
        let slope = if below > 0.0 { above / below } else { 0.0 };
        Self {
            base: y - slope * x,
            slope,
        }
    }

    /// The value at a number of nodes.
    pub fn at(&self, nodes: f64) -> f64 {
        self.base + self.slope * nodes.ln()
    }
}

fn points(sizes: &[Size], name: &str) -> Vec<(f64, f64)> {
    let value = |s: &Size| Some((s.nodes as f64, *s.values.get(name)?));
    sizes.iter().filter_map(value).collect()
}

/// The exponent of a power law through the points, 1 for growth with the fleet.
fn exponent(points: &[(f64, f64)]) -> f64 {
    let logs: Vec<_> = points.iter().map(|p| (p.0, p.1.ln())).collect();
    Fit::new(&logs).slope
}

/// All measured values as a table, with the logarithmic fit and its value at the design scale.
pub fn table(sizes: &[Size]) -> String {
    let mut text = String::from("| per run |");
    for size in sizes {
        text += &format!(" {} |", size.nodes);
    }
    text += " fit (base + slope ln n) | at 26,000 | exponent |\n|---|";
    text += &"---:|".repeat(sizes.len() + 3);
    let names: std::collections::BTreeSet<_> = sizes.iter().flat_map(|s| s.values.keys()).collect();
    for name in names {
        text += &format!("\n| {name} |");
        for size in sizes {
            let value = size.values.get(name);
            text += &value.map_or(" |".to_owned(), |v| format!(" {v:.3} |"));
        }
        let points = points(sizes, name);
        if points.len() < 2 {
            text += " | | |";
            continue;
        }
        let fit = Fit::new(&points);
        text += &format!(" {:.3} + {:.3} ln n |", fit.base, fit.slope);
        text += &format!(" {:.3} | {:.2} |", fit.at(FLEET), exponent(&points));
    }
    let reads = points(sizes, "reads-per-s");
    if let (Some(size), true) = (sizes.last(), reads.len() > 1) {
        let scaled = Fit::new(&reads).at(FLEET) * FLEET_ZONES / size.zones as f64;
        text += &format!("\n\nConfiguration reads at 26,000 nodes in 32 zones: {scaled:.1}/s.");
    }
    text.push('\n');
    text
}

/// Draws bytes, reads, processor time and memory over the number of nodes.
///
/// # Errors
/// The file cannot be written.
pub fn plot(sizes: &[Size], path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, (1_000, 700)).into_drawing_area();
    root.fill(&WHITE)?;
    let charts = [
        ("bytes-per-s", "bytes/s per node"),
        ("reads-per-s", "configuration reads/s, whole fleet"),
        ("cpu-ms-per-node-s", "processor ms per node second"),
        ("memory-kb", "memory per node, KB"),
    ];
    for (area, (name, title)) in root.split_evenly((2, 2)).iter().zip(charts) {
        let points = points(sizes, name);
        let fit = Fit::new(&points);
        let most = points.iter().map(|p| p.1).fold(fit.at(FLEET), f64::max);
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 16))
            .margin(12)
            .x_label_area_size(28)
            .y_label_area_size(64)
            .build_cartesian_2d((10f64..30_000f64).log_scale(), 0f64..most * 1.1)?;
        chart.configure_mesh().x_desc("nodes").draw()?;
        let curve = (0..=100).map(|n| 10f64 * 2_600f64.powf(f64::from(n) / 100.0));
        chart.draw_series(LineSeries::new(curve.map(|n| (n, fit.at(n))), &BLUE))?;
        chart.draw_series(points.iter().map(|p| Circle::new(*p, 4, RED.filled())))?;
    }
    root.present()?;
    Ok(())
}
