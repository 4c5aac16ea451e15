//! Computes the measures of a run from its tally.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::{
    audit::Audit,
    experiment::{Capacity, Run},
    tally::{AttemptOutcome, BUCKET_MS, Bucket, ClassTally, LATENCY_MAX_US, Tally, sum},
};
use crate::state::object::Control;

/// Share of the goodput before the disturbance from which goodput counts as normal.
const NORMAL_SHARE: f64 = 0.99;
/// Length of the windows in which goodput must be normal, in buckets.
const NORMAL_WINDOW_BUCKETS: usize = 10;

/// Phases of a run, as times since the start of the tally.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Window {
    /// End of the warm-up.
    pub start: Duration,
    /// Start of the disturbance.
    pub fault_start: Duration,
    /// End of the disturbance.
    pub fault_end: Duration,
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
    /// Requests that ended with the complete response.
    pub good: u64,
    /// Requests refused without being run.
    pub refused: u64,
    /// Requests that ended as unknown or without a complete response.
    pub unknown: u64,
    /// Requests refused by a service downstream of the entry service.
    pub below: u64,
    /// Requests that failed in another way.
    pub failed: u64,
    /// Median latency of complete responses, in ms.
    pub p50_ms: f64,
    /// 99th percentile of the latency of complete responses, in ms.
    pub p99_ms: f64,
}

/// Duration of one point of a time line.
pub const POINT_MS: u64 = 500;

/// Time line of one class, with one point for each [`POINT_MS`] from the start of the warm-up.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Series {
    /// The class.
    pub class: String,
    /// Arrivals per second.
    pub offered: Vec<f64>,
    /// Complete responses per second, by time of receipt.
    pub goodput: Vec<f64>,
    /// Share of the arrivals that ended with the complete response.
    pub share: Vec<f64>,
    /// 99th percentile of the latency of complete responses by time of arrival, in ms.
    pub p99_ms: Vec<f64>,
}

fn class_series(class_tally: &ClassTally, window: Window) -> Series {
    let point = Duration::from_millis(POINT_MS);
    let count = (window.end.as_millis() as u64).div_ceil(POINT_MS);
    let sums = (0..count).map(|n| sum([class_tally], point * n as u32, point * (n as u32 + 1)));
    let sums: Vec<Bucket> = sums.collect();
    let rate = |n: u64| n as f64 * 1_000.0 / POINT_MS as f64;
    let share = |b: &Bucket| {
        if b.offered == 0 {
            1.0
        } else {
            share_of(b.good, b.offered)
        }
    };
    let p99 = |n| {
        let latency = class_tally.latency.get(&n);
        latency.map_or(0.0, |h| h.value_at_quantile(0.99) as f64 / 1_000.0)
    };
    Series {
        class: class_tally.class.name.to_string(),
        offered: sums.iter().map(|b| rate(b.offered)).collect(),
        goodput: sums.iter().map(|b| rate(b.delivered)).collect(),
        share: sums.iter().map(share).collect(),
        p99_ms: (0..count).map(p99).collect(),
    }
}

/// Computes the measures of one run, except those that depend on the executions.
pub fn measure(tally: &Tally, capacity: &Capacity, window: Window) -> Run {
    let tallies = tally.class_tallies();
    let total = sum(&tallies, window.start, window.end);
    let non_repeatable = |class_tally: &&ClassTally| !class_tally.class.repeatable;
    let non_repeatable = sum(
        tallies.iter().filter(non_repeatable),
        window.start,
        window.end,
    );
    Run {
        seed: 0,
        control: Control::Adaptive,
        capacity: capacity.rate,
        goodput: 0.0,
        goodput_share: 0.0,
        onset_s: recovery(
            &tallies,
            Window {
                fault_end: window.fault_start,
                end: window.fault_end,
                ..window
            },
        ),
        recovery_s: recovery(&tallies, window),
        important_refused: important_refused(tally, &tallies),
        interrupted: total.unknown + total.failed,
        unknown: share_of(non_repeatable.unknown, non_repeatable.offered),
        late_work: 0,
        audit: Audit::default(),
        classes: tallies.iter().map(|t| class_result(t, window)).collect(),
        errors: Vec::new(),
        series: tallies.iter().map(|t| class_series(t, window)).collect(),
    }
}

fn share_of(part: u64, all: u64) -> f64 {
    if all == 0 {
        0.0
    } else {
        part as f64 / all as f64
    }
}

fn important_refused(tally: &Tally, tallies: &[ClassTally]) -> u64 {
    let refused = |a: &&super::tally::Attempt| {
        a.outcome == AttemptOutcome::NotRun && tallies[a.class].class.important
    };
    tally.attempts().iter().filter(refused).count() as u64
}

fn class_result(class_tally: &ClassTally, window: Window) -> ClassResult {
    let total = sum([class_tally], window.start, window.end);
    let mut latency =
        Histogram::<u64>::new_with_max(LATENCY_MAX_US, 3).expect("valid bounds of a histogram");
    let point = window.start.as_millis() as u64 / POINT_MS;
    for (_, histogram) in class_tally.latency.range(point..) {
        let _ = latency.add(histogram);
    }
    let ms = |q| latency.value_at_quantile(q) as f64 / 1_000.0;
    ClassResult {
        class: class_tally.class.name.to_string(),
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

/// Returns the time in s from the end of the disturbance until the share of good requests, by time
/// of arrival, is normal in every following window of 1 s; `None` when that is not reached by the
/// end of the run.
pub fn recovery(tallies: &[ClassTally], window: Window) -> Option<f64> {
    let mut totals: Vec<Bucket> = Vec::new();
    for class_tally in tallies {
        totals.resize(
            totals.len().max(class_tally.buckets.len()),
            Bucket::default(),
        );
        let pairs = totals.iter_mut().zip(&class_tally.buckets);
        pairs.for_each(|(total, bucket)| *total = total.plus(*bucket));
    }
    let index = |t: Duration| (t.as_millis() as u64 / BUCKET_MS) as usize;
    let (fault_start, fault_end, end) = (
        index(window.fault_start),
        index(window.fault_end),
        index(window.end),
    );
    let share = |buckets: &[Bucket]| {
        let total = buckets
            .iter()
            .fold(Bucket::default(), |sum, b| sum.plus(*b));
        match total.offered {
            0 => 1.0,
            offered => total.good as f64 / offered as f64,
        }
    };
    // The four seconds before the disturbance are the normal state.
    let normal = totals
        .get(fault_start.saturating_sub(40)..fault_start)
        .map_or(1.0, share);
    let end = end.min(totals.len());
    let last = end.saturating_sub(NORMAL_WINDOW_BUCKETS);
    let degraded = |start: &usize| {
        let buckets = totals
            .get(*start..start + NORMAL_WINDOW_BUCKETS)
            .unwrap_or_default();
        share(buckets) < NORMAL_SHARE * normal
    };
    let first = (fault_end..=last)
        .rev()
        .find(degraded)
        .map_or(fault_end, |n| n + 1);
    if first > last {
        return None;
    }
    Some((first - fault_end) as f64 * BUCKET_MS as f64 / 1_000.0)
}
