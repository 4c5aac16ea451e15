//! Measures computed from a tally.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::{
    audit::Audit,
    experiment::{Capacity, Run},
    tally::{AttemptOutcome, BUCKET_MS, Bucket, LATENCY_MAX_US, Line, Tally, sum},
};
use crate::state::object::Control;

/// Goodput is normal again at this share of the goodput before the disturbance.
const NORMAL_SHARE: f64 = 0.99;
/// Width of the windows in which goodput must be normal, in buckets.
const NORMAL_BUCKETS: usize = 10;

/// Times since the start of the tally.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Window {
    /// End of the warm-up.
    pub measured: Duration,
    /// Start of the disturbance.
    pub from: Duration,
    /// End of the disturbance.
    pub to: Duration,
    /// End of the run.
    pub end: Duration,
}

/// Results of one class after the warm-up.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ClassResult {
    /// The class.
    pub class: String,
    /// Requests that arrived.
    pub offered: u64,
    /// Requests that ended with the whole answer.
    pub good: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests that ended as unknown or without an answer.
    pub unknown: u64,
    /// Requests that a service below the first one refused.
    pub below: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Median latency of whole answers, in ms.
    pub p50_ms: f64,
    /// 99th percentile of the latency of whole answers, in ms.
    pub p99_ms: f64,
}

/// Width of one point of a time line.
pub const SLICE_MS: u64 = 500;

/// The time line of one class, in points of [`SLICE_MS`] from the start of the warm-up.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Series {
    /// The class.
    pub class: String,
    /// Arrivals per second.
    pub offered: Vec<f64>,
    /// Whole answers per second, by time of receipt.
    pub goodput: Vec<f64>,
    /// Share of the arrivals that ended with the whole answer.
    pub share: Vec<f64>,
    /// 99th percentile of the latency by time of arrival, in ms.
    pub p99_ms: Vec<f64>,
}

fn series(line: &Line, window: Window) -> Series {
    let slice = Duration::from_millis(SLICE_MS);
    let count = (window.end.as_millis() as u64).div_ceil(SLICE_MS);
    let sums = (0..count).map(|n| sum([line], slice * n as u32, slice * (n as u32 + 1)));
    let sums: Vec<Bucket> = sums.collect();
    let rate = |n: u64| n as f64 * 1_000.0 / SLICE_MS as f64;
    let share = |b: &Bucket| {
        if b.offered == 0 {
            1.0
        } else {
            ratio(b.good, b.offered)
        }
    };
    let p99 = |n| {
        let own = line.latency.get(&n);
        own.map_or(0.0, |h| h.value_at_quantile(0.99) as f64 / 1_000.0)
    };
    Series {
        class: line.class.name.to_string(),
        offered: sums.iter().map(|b| rate(b.offered)).collect(),
        goodput: sums.iter().map(|b| rate(b.delivered)).collect(),
        share: sums.iter().map(share).collect(),
        p99_ms: (0..count).map(p99).collect(),
    }
}

/// The measures of one run, apart from those that the executions give.
pub fn measure(tally: &Tally, capacity: &Capacity, window: Window) -> Run {
    let lines = tally.lines();
    let after = sum(&lines, window.measured, window.end);
    let once = |line: &&Line| !line.class.repeatable;
    let once = sum(lines.iter().filter(once), window.measured, window.end);
    Run {
        seed: 0,
        control: Control::Adaptive,
        capacity: capacity.rate,
        goodput: 0.0,
        goodput_share: 0.0,
        onset_s: recovery(
            &lines,
            Window {
                to: window.from,
                end: window.to,
                ..window
            },
        ),
        recovery_s: recovery(&lines, window),
        important_refused: important_refused(tally, &lines),
        interrupted: after.unknown + after.failed,
        unknown: ratio(once.unknown, once.offered),
        late_work: 0,
        audit: Audit::default(),
        classes: lines.iter().map(|l| class(l, window)).collect(),
        errors: Vec::new(),
        series: lines.iter().map(|l| series(l, window)).collect(),
    }
}

fn ratio(part: u64, all: u64) -> f64 {
    if all == 0 {
        0.0
    } else {
        part as f64 / all as f64
    }
}

fn important_refused(tally: &Tally, lines: &[Line]) -> u64 {
    let refused = |a: &&super::tally::Attempt| {
        a.outcome == AttemptOutcome::NotRun && lines[a.class].class.important
    };
    tally.attempts().iter().filter(refused).count() as u64
}

fn class(line: &Line, window: Window) -> ClassResult {
    let total = sum([line], window.measured, window.end);
    let mut latency =
        Histogram::<u64>::new_with_max(LATENCY_MAX_US, 3).expect("valid bounds of a histogram");
    let slice = window.measured.as_millis() as u64 / SLICE_MS;
    for (_, own) in line.latency.range(slice..) {
        let _ = latency.add(own);
    }
    let ms = |q| latency.value_at_quantile(q) as f64 / 1_000.0;
    ClassResult {
        class: line.class.name.to_string(),
        offered: total.offered,
        good: total.good,
        refused: total.refused,
        unknown: total.unknown,
        below: total.below,
        failed: total.failed,
        p50_ms: ms(0.5),
        p99_ms: ms(0.99),
    }
}

/// Time from the end of the disturbance until the share of good requests, by arrival, is normal
/// and stays so in every window of a second.
pub fn recovery(lines: &[Line], window: Window) -> Option<f64> {
    let mut all: Vec<Bucket> = Vec::new();
    for line in lines {
        all.resize(all.len().max(line.buckets.len()), Bucket::default());
        let pairs = all.iter_mut().zip(&line.buckets);
        pairs.for_each(|(total, own)| *total = total.plus(*own));
    }
    let index = |t: Duration| (t.as_millis() as u64 / BUCKET_MS) as usize;
    let (from, to, end) = (index(window.from), index(window.to), index(window.end));
    let share = |buckets: &[Bucket]| {
        let total = buckets
            .iter()
            .fold(Bucket::default(), |sum, b| sum.plus(*b));
        match total.offered {
            0 => 1.0,
            offered => total.good as f64 / offered as f64,
        }
    };
    // The second before the disturbance up to four seconds before it is the normal state.
    let normal = all.get(from.saturating_sub(40)..from).map_or(1.0, share);
    let end = end.min(all.len());
    let last = end.saturating_sub(NORMAL_BUCKETS);
    let bad = |start: &usize| {
        let own = all.get(*start..start + NORMAL_BUCKETS).unwrap_or_default();
        share(own) < NORMAL_SHARE * normal
    };
    let first = (to..=last).rev().find(bad).map_or(to, |n| n + 1);
    if first > last {
        return None;
    }
    Some((first - to) as f64 * BUCKET_MS as f64 / 1_000.0)
}
