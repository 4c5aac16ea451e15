//! Checks what callers were told against what the backend servers ran.

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

const SAMPLES: usize = 8;

/// Violations of the invariants, and the work done in vain.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Audit {
    /// Attempts that were checked.
    pub attempts: u64,
    /// Executions that were checked.
    pub executions: u64,
    /// Non-repeatable requests that a service ran more than once.
    pub duplicates: u64,
    /// Answers that were not the whole answer to the caller's own request.
    pub wrong: u64,
    /// Requests told as not run that ran.
    pub false_refusals: u64,
    /// Requests told as complete without a complete execution.
    pub invented: u64,
    /// Requests with more extra executions at one service than their allowance.
    pub excess: u64,
    /// The most extra executions of one request at one service.
    pub extra_max: u64,
    /// Share of the deepest service's work that was for requests without a whole answer.
    pub wasted: f64,
    /// Descriptions of the first attempts without an answer.
    pub unanswered: Vec<String>,
    /// Descriptions of the first violations.
    pub samples: Vec<String>,
}

impl Audit {
    /// Number of violations.
    pub fn violations(&self) -> u64 {
        self.duplicates + self.wrong + self.false_refusals + self.invented + self.excess
    }

    /// Checks a run. `deepest` is the service whose work is measured.
    pub fn new(tally: &Tally, ledger: &Ledger, deepest: &ServiceName) -> Self {
        let mut audit = Self::default();
        let classes = tally.classes();
        let mut by_id: BTreeMap<AttemptId, Vec<Attempt>> = BTreeMap::new();
        for attempt in tally.attempts() {
            by_id.entry(attempt.id).or_default().push(attempt);
        }
        let complete =
            |list: &[Attempt]| list.iter().any(|a| a.outcome == AttemptOutcome::Complete);
        let good = by_id.iter().filter(|(_, list)| complete(list));
        let good: BTreeSet<_> = good.map(|(id, _)| *id).collect();
        let mut runs: BTreeMap<(u64, ServiceName), u64> = BTreeMap::new();
        for (id, attempts) in &by_id {
            audit.attempts += attempts.len() as u64;
            let executions = ledger.of(*id);
            audit.executions += executions.len() as u64;
            let class = &classes[attempts[0].class];
            let mut counts: BTreeMap<&ServiceName, u64> = BTreeMap::new();
            for execution in &executions {
                *counts.entry(&execution.service).or_default() += 1;
            }
            for (service, count) in counts {
                if !class.repeatable {
                    *runs
                        .entry((attempts[0].request, service.clone()))
                        .or_default() += count;
                    continue;
                }
                audit.extra_max = audit.extra_max.max(count - 1);
                if count - 1 > u64::from(class.retries) {
                    audit.excess += 1;
                    audit.sample(format!(
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
        for ((request, service), count) in runs {
            if count > 1 {
                audit.duplicates += 1;
                audit.sample(format!("request {request}: {count} runs at {service}"));
            }
        }
        audit.wasted = wasted(ledger, deepest, &good);
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
        if unanswered && self.unanswered.len() < SAMPLES {
            self.unanswered.push(format!("id {id}:{}", trace()));
        }
        match attempt.outcome {
            AttemptOutcome::Wrong => {
                self.wrong += 1;
                self.sample(format!("id {id}: wrong answer:{}", trace()));
            }
            AttemptOutcome::NotRun | AttemptOutcome::NoTicket if !executions.is_empty() => {
                self.false_refusals += 1;
                self.sample(format!("id {id}: told not-run and ran:{}", trace()));
            }
            AttemptOutcome::Complete if !executions.iter().any(|e| e.end == End::Answered) => {
                self.invented += 1;
                self.sample(format!(
                    "id {id}: told complete, never answered:{}",
                    trace()
                ));
            }
            _ => {}
        }
    }

    fn sample(&mut self, text: String) {
        if self.samples.len() < SAMPLES {
            self.samples.push(text);
        }
    }
}

/// What was told and what ran, with times since the start.
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

fn wasted(ledger: &Ledger, deepest: &ServiceName, good: &BTreeSet<AttemptId>) -> f64 {
    let (mut all, mut vain) = (0.0, 0.0);
    ledger.each(|id, list| {
        for execution in list.iter().filter(|e| e.service == *deepest) {
            let work = execution.work.as_secs_f64();
            all += work;
            if !good.contains(&id) {
                vain += work;
            }
        }
    });
    if all > 0.0 { vain / all } else { 0.0 }
}
