//! Growth of the control plane's cost with the fleet size: one measurement per size, and a fit.

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

/// Number of nodes at the design scale.
pub const DESIGN_NODES: f64 = 26_000.0;
/// Number of availability zones at the design scale.
const DESIGN_ZONES: f64 = 32.0;
const CHANGE_INTERVAL_MS: u64 = 9_500;
const CHANGE_COUNT: u64 = 10;
const START_TIMEOUT_S: u64 = 120;
const SETTLE_TIME_S: u64 = 30;
const FAULT_DURATION_S: u64 = 60;

/// Measurements of one fleet size. Rates are per second of virtual time.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Size {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of availability zones.
    pub zones: usize,
    /// Seed of the run.
    pub seed: u64,
    /// Measured values by name.
    pub values: BTreeMap<String, f64>,
}

/// Returns the processor time of this thread in ns, from the kernel's accounting; 0 when it can't
/// be read.
fn cpu_ns() -> f64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|n| n.parse().ok()).unwrap_or_default()
}

/// Returns the resident memory of this process in bytes; 0 when it can't be read.
fn resident_bytes() -> f64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kb = line.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok());
    kb.unwrap_or_default() * 1_024.0
}

/// Counter values of all nodes at one time.
struct Sample {
    at: Instant,
    cpu_ns: f64,
    config_reads: u64,
    list_reads: u64,
    heartbeats: u64,
    control_bytes: Vec<u64>,
    total_bytes: Vec<u64>,
}

impl Sample {
    fn new(planes: &Planes) -> Self {
        let control = |n: usize| {
            let counters = planes.counters(n);
            counters.get(Counter::ControlSentBytes) + counters.get(Counter::ControlReceivedBytes)
        };
        let total = |n: usize| {
            let traffic = planes.network.total(planes.nodes[n].upstream.control.ip());
            traffic.sent + traffic.received
        };
        let nodes = 0..planes.nodes.len();
        Self {
            at: Instant::now(),
            cpu_ns: cpu_ns(),
            config_reads: planes.configuration.reads(),
            list_reads: planes.sum(Counter::ListReads),
            heartbeats: planes.sum(Counter::HeartbeatsSent)
                + planes.sum(Counter::HeartbeatsReceived),
            control_bytes: nodes.clone().map(control).collect(),
            total_bytes: nodes.map(total).collect(),
        }
    }
}

/// Returns the mean and the maximum over all nodes of the rate at which a counter grew.
fn mean_and_max_rate(before: &[u64], after: &[u64], seconds: f64) -> (f64, f64) {
    let rates: Vec<_> = before
        .iter()
        .zip(after)
        .map(|(before, after)| after.saturating_sub(*before) as f64 / seconds)
        .collect();
    let sum: f64 = rates.iter().sum();
    let worst = rates.iter().copied().fold(0.0, f64::max);
    (sum / rates.len() as f64, worst)
}

fn quantile(sorted: &[f64], share: f64) -> f64 {
    let at = (sorted.len().saturating_sub(1) as f64 * share).round() as usize;
    sorted.get(at).copied().unwrap_or(f64::NAN)
}

/// Measures a fleet of one size; with `faults` also node restarts, the loss of an availability zone
/// and a network partition of a region.
pub fn measure(plan: Plan, faults: bool) -> Size {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O can be built");
    let initial_memory = resident_bytes();
    let values = LocalSet::new().block_on(&runtime, run(plan, faults, initial_memory));
    Size {
        nodes: plan.nodes,
        zones: plan.zones,
        seed: plan.seed,
        values,
    }
}

async fn run(plan: Plan, faults: bool, initial_memory: f64) -> BTreeMap<String, f64> {
    let mut planes = Planes::new(plan);
    let mut values = BTreeMap::new();
    let mut put = |name: &str, value: f64| {
        values.insert(name.to_owned(), value);
    };
    let first = planes.publish();
    planes.start_all();
    let limit = Duration::from_secs(START_TIMEOUT_S);
    let took = planes
        .wait_until(limit, |p| p.all_at(first, 0..plan.nodes))
        .await;
    put("cold-start-s", took.map_or(f64::NAN, |t| t.as_secs_f64()));
    put("cold-start-reads", planes.configuration.reads() as f64);
    put(
        "cold-start-worst-second",
        planes.configuration.max_reads_per_second() as f64,
    );
    sleep(Duration::from_secs(SETTLE_TIME_S)).await;

    let before = Sample::new(&planes);
    let mut delays = Vec::new();
    for _ in 0..CHANGE_COUNT {
        let published = Instant::now();
        let revision = planes.publish();
        sleep(Duration::from_millis(CHANGE_INTERVAL_MS)).await;
        let found = planes.delays(revision, published).into_iter();
        delays.extend(found.map(|d| d.map_or(f64::INFINITY, |d| d.as_secs_f64())));
    }
    let after = Sample::new(&planes);
    let seconds = (after.at - before.at).as_secs_f64();
    let nodes = plan.nodes as f64;
    let (mean, worst) = mean_and_max_rate(&before.control_bytes, &after.control_bytes, seconds);
    put("control-bytes-per-s", mean);
    put("control-bytes-per-s-worst-node", worst);
    let (mean, worst) = mean_and_max_rate(&before.total_bytes, &after.total_bytes, seconds);
    put("bytes-per-s", mean);
    put("bytes-per-s-worst-node", worst);
    put(
        "heartbeats-per-s",
        (after.heartbeats - before.heartbeats) as f64 / nodes / seconds,
    );
    put(
        "reads-per-s",
        (after.config_reads - before.config_reads) as f64 / seconds,
    );
    put(
        "reads-per-change",
        (after.config_reads - before.config_reads) as f64 / CHANGE_COUNT as f64,
    );
    put(
        "list-reads-per-s",
        (after.list_reads - before.list_reads) as f64 / seconds,
    );
    put(
        "cpu-ms-per-node-s",
        (after.cpu_ns - before.cpu_ns) / 1e6 / nodes / seconds,
    );
    put(
        "memory-kb",
        (resident_bytes() - initial_memory) / 1_024.0 / nodes,
    );
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
        let limit = Duration::from_secs(START_TIMEOUT_S);
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
    let before = Sample::new(planes);
    sleep(Duration::from_secs(FAULT_DURATION_S)).await;
    let after = Sample::new(planes);
    let of = |all: &[u64]| rest.iter().map(|n| all[*n]).collect::<Vec<_>>();
    let seconds = FAULT_DURATION_S as f64;
    let (mean, worst) =
        mean_and_max_rate(&of(&before.total_bytes), &of(&after.total_bytes), seconds);
    values.insert("lost-zone-bytes-per-s".into(), mean);
    values.insert("lost-zone-bytes-per-s-worst-node".into(), worst);
    let reads = planes.configuration.reads();
    lost.iter().for_each(|n| planes.start(*n));
    let revision = Revision(planes.revision);
    let limit = Duration::from_secs(START_TIMEOUT_S);
    let took = planes
        .wait_until(limit, |p| p.all_at(revision, lost.clone()))
        .await;
    let took = took.map_or(f64::INFINITY, |t| t.as_secs_f64());
    values.insert("zone-back-s".into(), took);
    let reads = (planes.configuration.reads() - reads) as f64;
    values.insert("zone-back-reads-per-node".into(), reads / lost.len() as f64);
    sleep(Duration::from_secs(SETTLE_TIME_S)).await;
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
    // Each region has four zones.
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
    let before = Sample::new(planes);
    let mut revision = Revision(planes.revision);
    for _ in 0..2 * FAULT_DURATION_S * 1_000 / CHANGE_INTERVAL_MS {
        revision = planes.publish();
        sleep(Duration::from_millis(CHANGE_INTERVAL_MS)).await;
    }
    let after = Sample::new(planes);
    let seconds = (after.at - before.at).as_secs_f64();
    let (mean, worst) = mean_and_max_rate(&before.total_bytes, &after.total_bytes, seconds);
    values.insert("cut-region-s".into(), seconds);
    values.insert("cut-region-bytes-per-s".into(), mean);
    values.insert("cut-region-bytes-per-s-worst-node".into(), worst);
    let reads = (after.config_reads - before.config_reads) as f64 / seconds;
    values.insert("cut-region-reads-per-s".into(), reads);
    planes.network.heal_all();
    let nodes = planes.nodes.len();
    let limit = Duration::from_secs(START_TIMEOUT_S);
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
    /// Growth when the number of nodes grows by a factor of e.
    pub slope: f64,
}

impl Fit {
    /// Fits the curve to points (nodes, value) by least squares.
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
        let covariance_sum: f64 = points.iter().map(|p| (p.0.ln() - x) * (p.1 - y)).sum();
        let variance_sum: f64 = points.iter().map(|p| (p.0.ln() - x).powi(2)).sum();
        let slope = if variance_sum > 0.0 {
            covariance_sum / variance_sum
        } else {
            0.0
        };
        Self {
            base: y - slope * x,
            slope,
        }
    }

    /// Returns the fitted value at a number of nodes.
    pub fn at(&self, nodes: f64) -> f64 {
        self.base + self.slope * nodes.ln()
    }
}

fn points(sizes: &[Size], name: &str) -> Vec<(f64, f64)> {
    let value = |s: &Size| Some((s.nodes as f64, *s.values.get(name)?));
    sizes.iter().filter_map(value).collect()
}

/// Returns the exponent of a power law fitted to the points; 1 is growth in proportion to the
/// number of nodes.
fn exponent(points: &[(f64, f64)]) -> f64 {
    let logs: Vec<_> = points.iter().map(|p| (p.0, p.1.ln())).collect();
    Fit::new(&logs).slope
}

/// Formats all measured values as a table, with the logarithmic fit and its value at the design
/// scale.
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
        text += &format!(" {:.3} | {:.2} |", fit.at(DESIGN_NODES), exponent(&points));
    }
    let reads = points(sizes, "reads-per-s");
    if let (Some(size), true) = (sizes.last(), reads.len() > 1) {
        let scaled = Fit::new(&reads).at(DESIGN_NODES) * DESIGN_ZONES / size.zones as f64;
        text += &format!("\n\nConfiguration reads at 26,000 nodes in 32 zones: {scaled:.1}/s.");
    }
    text.push('\n');
    text
}

/// Plots traffic, configuration reads, processor time and memory over the number of nodes.
///
/// # Errors
/// Returns an error when the file can't be written.
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
        let max_value = points
            .iter()
            .map(|p| p.1)
            .fold(fit.at(DESIGN_NODES), f64::max);
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 16))
            .margin(12)
            .x_label_area_size(28)
            .y_label_area_size(64)
            .build_cartesian_2d((10f64..30_000f64).log_scale(), 0f64..max_value * 1.1)?;
        chart.configure_mesh().x_desc("nodes").draw()?;
        let curve = (0..=100).map(|n| 10f64 * 2_600f64.powf(f64::from(n) / 100.0));
        chart.draw_series(LineSeries::new(curve.map(|n| (n, fit.at(n))), &BLUE))?;
        chart.draw_series(points.iter().map(|p| Circle::new(*p, 4, RED.filled())))?;
    }
    root.present()?;
    Ok(())
}
