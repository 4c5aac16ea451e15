//! Checks the outcomes that callers observed against the executions at the backend servers.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
};

use serde::Serialize;
use tokio::time::Instant;

use super::{
    ledger::{AttemptId, End, Execution, Ledger},
    tally::{Attempt, AttemptOutcome, Tally},
};
use crate::state::id::ServiceName;

/// Maximum number of descriptions kept of each kind.
const MAX_SAMPLES: usize = 8;

/// Violations of the invariants, and wasted work.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Audit {
    /// Number of attempts checked.
    pub attempts: u64,
    /// Number of executions checked.
    pub executions: u64,
    /// Non-repeatable requests that a service ran more than once.
    pub duplicates: u64,
    /// Responses that were not the complete response to the caller's request.
    pub wrong: u64,
    /// Attempts reported as not run that were run.
    pub false_refusals: u64,
    /// Attempts reported as complete without an execution that returned a complete response.
    pub invented: u64,
    /// Repeatable attempts with more extra executions at one service than their class allows.
    pub excess: u64,
    /// Maximum number of extra executions of one repeatable attempt at one service.
    pub extra_max: u64,
    /// Share of the deepest service's work spent on attempts without a complete response.
    pub wasted: f64,
    /// Descriptions of the first attempts with an unknown outcome or an error.
    pub unanswered: Vec<String>,
    /// Descriptions of the first violations.
    pub samples: Vec<String>,
}

impl Audit {
    /// Returns the number of violations.
    pub fn violations(&self) -> u64 {
        self.duplicates + self.wrong + self.false_refusals + self.invented + self.excess
    }

    /// Checks a run. `deepest` is the service whose wasted work is measured.
    pub fn new(tally: &Tally, ledger: &Ledger, deepest: &ServiceName) -> Self {
        let mut audit = Self::default();
        let classes = tally.classes();
        let mut by_id: BTreeMap<AttemptId, Vec<Attempt>> = BTreeMap::new();
        for attempt in tally.attempts() {
            by_id.entry(attempt.id).or_default().push(attempt);
        }
        let complete =
            |list: &[Attempt]| list.iter().any(|a| a.outcome == AttemptOutcome::Complete);
        let completed = by_id.iter().filter(|(_, list)| complete(list));
        let completed: BTreeSet<_> = completed.map(|(id, _)| *id).collect();
        let mut run_counts: BTreeMap<(u64, ServiceName), u64> = BTreeMap::new();
        for (id, attempts) in &by_id {
            audit.attempts += attempts.len() as u64;
            let executions = ledger.executions(*id);
            audit.executions += executions.len() as u64;
            let class = &classes[attempts[0].class];
            let mut counts: BTreeMap<&ServiceName, u64> = BTreeMap::new();
            for execution in &executions {
                *counts.entry(&execution.service).or_default() += 1;
            }
            for (service, count) in counts {
                if !class.repeatable {
                    *run_counts
                        .entry((attempts[0].request, service.clone()))
                        .or_default() += count;
                    continue;
                }
                audit.extra_max = audit.extra_max.max(count - 1);
                if count - 1 > u64::from(class.retries) {
                    audit.excess += 1;
                    audit.add_sample(format!(
                        "id {id} class {}: {count} runs at {service}",
                        class.name
                    ));
                }
            }
            let trace = || trace(tally.start(), attempts, &executions);
            for attempt in attempts {
                audit.check(attempt, &executions, &trace);
            }
        }
        for ((request, service), count) in run_counts {
            if count > 1 {
                audit.duplicates += 1;
                audit.add_sample(format!("request {request}: {count} runs at {service}"));
            }
        }
        audit.wasted = wasted_share(ledger, deepest, &completed);
        audit
    }

    fn check(&mut self, attempt: &Attempt, executions: &[Execution], trace: &dyn Fn() -> String) {
        let id = attempt.id;
        let unanswered = matches!(
            attempt.outcome,
            AttemptOutcome::Failed
                | AttemptOutcome::Unknown
                | AttemptOutcome::Timeout
                | AttemptOutcome::Broken
                | AttemptOutcome::Error
        );
        if unanswered && self.unanswered.len() < MAX_SAMPLES {
            self.unanswered.push(format!("id {id}:{}", trace()));
        }
        match attempt.outcome {
            AttemptOutcome::Wrong => {
                self.wrong += 1;
                self.add_sample(format!("id {id}: wrong answer:{}", trace()));
            }
            AttemptOutcome::NotRun | AttemptOutcome::NoTicket if !executions.is_empty() => {
                self.false_refusals += 1;
                self.add_sample(format!("id {id}: told not-run and ran:{}", trace()));
            }
            AttemptOutcome::Complete if !executions.iter().any(|e| e.end == End::Answered) => {
                self.invented += 1;
                self.add_sample(format!(
                    "id {id}: told complete, never answered:{}",
                    trace()
                ));
            }
            _ => {}
        }
    }

    fn add_sample(&mut self, text: String) {
        if self.samples.len() < MAX_SAMPLES {
            self.samples.push(text);
        }
    }
}

/// Describes the attempts and their executions, with times since the start in s.
fn trace(start: Instant, attempts: &[Attempt], executions: &[Execution]) -> String {
    let time = |t: Instant| t.saturating_duration_since(start).as_secs_f64();
    let mut text = String::new();
    for attempt in attempts {
        let (sent, ended) = (time(attempt.sent), time(attempt.ended));
        let why = attempt.why.as_deref().unwrap_or("-");
        let node = attempt.node.map_or("-".to_owned(), |n| n.to_string());
        let outcome = attempt.outcome;
        let _ = write!(text, " [{sent:.3}-{ended:.3} {node} {outcome:?} {why}]");
    }
    for run in executions {
        let _ = write!(
            text,
            " ({:.3} {} {:?})",
            time(run.start),
            run.upstream,
            run.end
        );
    }
    text
}

/// Returns the share of the service's work spent on attempts without a complete response.
fn wasted_share(ledger: &Ledger, deepest: &ServiceName, completed: &BTreeSet<AttemptId>) -> f64 {
    let (mut total, mut wasted) = (0.0, 0.0);
    ledger.for_each(|id, list| {
        for execution in list.iter().filter(|e| e.service == *deepest) {
            let work = execution.work.as_secs_f64();
            total += work;
            if !completed.contains(&id) {
                wasted += work;
            }
        }
    });
    if total > 0.0 { wasted / total } else { 0.0 }
}
