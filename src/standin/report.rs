//! Results of a sweep as table rows, and their check against the bounds of a script.

use std::fmt::Write;

use serde::Serialize;

use super::{
    experiment::Run,
    script::{Bounds, Script},
};
use crate::state::object::Control;

/// Results of one kind of overload control over all seeds.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// Overload control that the nodes used.
    pub control: Control,
    /// Number of runs.
    pub runs: usize,
    /// Mean goodput during the disturbance, in requests/s.
    pub goodput: f64,
    /// Mean goodput as a share of capacity.
    pub share_mean: f64,
    /// Minimum goodput as a share of capacity.
    pub share_worst: f64,
    /// Median recovery time, in s; `None` when the median run did not recover.
    pub recovery_median: Option<f64>,
    /// Maximum recovery time, in s; `None` when a run did not recover.
    pub recovery_worst: Option<f64>,
    /// Maximum time from the start of the disturbance to normal goodput, in s; `None` when a run
    /// did not reach it during the disturbance.
    pub onset_worst: Option<f64>,
    /// Refused attempts of important requests, over all runs.
    pub important_refused: u64,
    /// Requests that ended neither with a complete response nor with a refusal, over all runs.
    pub interrupted: u64,
    /// Maximum share of non-repeatable requests that ended as unknown.
    pub unknown_worst: f64,
    /// Maximum share of wasted work at the deepest service.
    pub wasted_worst: f64,
    /// Violations of the invariants, over all runs.
    pub violations: u64,
    /// Executions that departing backend servers started after the grace period, over all runs.
    pub late_work: u64,
}

/// Returns one row per overload control, in the order of the script.
pub fn rows(script: &Script, runs: &[Run]) -> Vec<Row> {
    let runs_of = |c: &Control| runs.iter().filter(|r| r.control == *c).collect::<Vec<_>>();
    let controls = script.controls.iter();
    let rows = controls
        .map(|c| (*c, runs_of(c)))
        .filter(|(_, runs)| !runs.is_empty());
    rows.map(|(control, runs)| row(control, &runs)).collect()
}

fn row(control: Control, runs: &[&Run]) -> Row {
    let mean = |f: fn(&Run) -> f64| runs.iter().map(|r| f(r)).sum::<f64>() / runs.len() as f64;
    let max = |f: fn(&Run) -> f64| runs.iter().map(|r| f(r)).fold(0.0, f64::max);
    let total = |f: fn(&Run) -> u64| runs.iter().map(|r| f(r)).sum();
    let recovery = |r: &&Run| r.recovery_s.unwrap_or(f64::INFINITY);
    let mut recoveries: Vec<f64> = runs.iter().map(recovery).collect();
    recoveries.sort_by(f64::total_cmp);
    let finite = |t: &f64| t.is_finite().then_some(*t);
    Row {
        control,
        runs: runs.len(),
        goodput: mean(|r| r.goodput),
        share_mean: mean(|r| r.goodput_share),
        share_worst: runs
            .iter()
            .map(|r| r.goodput_share)
            .fold(f64::INFINITY, f64::min),
        recovery_median: recoveries.get(runs.len() / 2).and_then(finite),
        recovery_worst: recoveries.last().and_then(finite),
        onset_worst: runs
            .iter()
            .map(|r| r.onset_s)
            .collect::<Option<Vec<f64>>>()
            .map(|all| all.into_iter().fold(0.0, f64::max)),
        important_refused: total(|r| r.important_refused),
        interrupted: total(|r| r.interrupted),
        unknown_worst: max(|r| r.unknown),
        wasted_worst: max(|r| r.audit.wasted),
        violations: total(|r| r.audit.violations()),
        late_work: total(|r| r.late_work),
    }
}

/// Returns the name of an overload control.
pub fn name(control: Control) -> &'static str {
    match control {
        Control::Adaptive => "adaptive",
        Control::Ranked => "ranked",
        Control::Fixed => "fixed",
        Control::Off => "off",
    }
}

/// Formats the rows as a plain-text table.
pub fn table(rows: &[Row]) -> String {
    let mut text = format!(
        "{:<9} {:>9} {:>8} {:>8} {:>10} {:>10} {:>9} {:>11} {:>8} {:>8} {:>10}\n",
        "control",
        "goodput/s",
        "share",
        "worst",
        "recovery s",
        "worst s",
        "refused!",
        "interrupted",
        "unknown",
        "wasted",
        "violations",
    );
    for row in rows {
        let time = |t: Option<f64>| t.map_or("never".to_owned(), |t| format!("{t:.1}"));
        let _ = writeln!(
            text,
            "{:<9} {:>9.1} {:>7.1}% {:>7.1}% {:>10} {:>10} {:>9} {:>11} {:>7.2}% {:>7.2}% {:>10}",
            name(row.control),
            row.goodput,
            100.0 * row.share_mean,
            100.0 * row.share_worst,
            time(row.recovery_median),
            time(row.recovery_worst),
            row.important_refused,
            row.interrupted,
            100.0 * row.unknown_worst,
            100.0 * row.wasted_worst,
            row.violations,
        );
    }
    text.push_str("refused! counts refusals of important requests; never: not within the run\n");
    text
}

/// Returns one line for each bound that the runs with adaptive control missed.
pub fn missed_bounds(bounds: &Bounds, rows: &[Row]) -> Vec<String> {
    let Some(row) = rows.iter().find(|r| r.control == Control::Adaptive) else {
        return Vec::new();
    };
    let mut missed = Vec::new();
    let mut check = |what: &str, bound: Option<f64>, value: f64, is_minimum: bool| {
        let Some(bound) = bound else {
            return;
        };
        if (is_minimum && value < bound) || (!is_minimum && value > bound) {
            let word = if is_minimum { "least" } else { "most" };
            missed.push(format!("{what}: {value:.4}, bound: at {word} {bound}"));
        }
    };
    let count = |n: Option<u64>| n.map(|n| n as f64);
    let recovery = row.recovery_worst.unwrap_or(f64::INFINITY);
    check("goodput share", bounds.goodput_share, row.share_worst, true);
    let onset = row.onset_worst.unwrap_or(f64::INFINITY);
    check("onset in s", bounds.onset_s, onset, false);
    check("recovery in s", bounds.recovery_s, recovery, false);
    check("wasted share", bounds.wasted, row.wasted_worst, false);
    check("unknown share", bounds.unknown, row.unknown_worst, false);
    let counts = [
        (
            "important refused",
            bounds.important_refused,
            row.important_refused,
        ),
        ("violations", bounds.violations, row.violations),
        ("interrupted", bounds.interrupted, row.interrupted),
        ("late work", bounds.late_work, row.late_work),
    ];
    for (what, bound, value) in counts {
        check(what, count(bound), value as f64, false);
    }
    missed
}
