//! Guards the audit of experiments against missed and false violations.

use std::future::Future;

use comfreybay::{
    standin::{
        audit::Audit,
        ledger::{End, Ledger},
        tally::{Attempt, AttemptOutcome, Tally},
    },
    state::{
        id::{ServiceName, UpstreamName},
        object::Class,
    },
};
use tokio::time::Instant;

struct Case {
    tally: Tally,
    ledger: Ledger,
}

fn class(name: &str, repeatable: bool) -> Class {
    Class {
        name: name.parse().expect("valid name"),
        owner: "o".parse().expect("valid name"),
        importance: 0,
        important: false,
        repeatable,
        deadline_ms: 1_000,
        retries: 1,
    }
}

fn paused<F: Future>(main: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("runtime");
    runtime.block_on(main)
}

impl Case {
    fn new() -> Self {
        let classes = [class("many", true), class("once", false)];
        Self {
            tally: Tally::new(&classes),
            ledger: Ledger::default(),
        }
    }

    /// Records an attempt and what its caller was told.
    fn told(&self, id: u64, request: u64, class: usize, outcome: AttemptOutcome) {
        self.tally.record_attempt(Attempt {
            id,
            request,
            class,
            outcome,
            sent: Instant::now(),
            ended: Instant::now(),
            node: None,
            why: None,
        });
    }

    /// Records an execution of an attempt at a server.
    fn ran(&self, id: u64, end: End) {
        let service: ServiceName = "s".parse().expect("valid name");
        let upstream: UpstreamName = "s-1".parse().expect("valid name");
        self.ledger.begin(id, &service, &upstream).end(end);
    }

    fn audit(&self) -> Audit {
        let service: ServiceName = "s".parse().expect("valid name");
        Audit::new(&self.tally, &self.ledger, &service)
    }
}

/// Guards against an audit that reports a violation in correct runs.
#[test]
fn correct_runs_pass() {
    paused(async {
        let case = Case::new();
        case.told(1, 1, 0, AttemptOutcome::Complete);
        case.ran(1, End::Answered);
        case.told(2, 2, 1, AttemptOutcome::NotRun);
        case.told(3, 2, 1, AttemptOutcome::Complete);
        case.ran(3, End::Answered);
        assert_eq!(case.audit().violations(), 0);
    });
}

/// Guards against an audit that misses a request that ran although its caller was told `not-run`.
#[test]
fn false_refusal_is_detected() {
    paused(async {
        let case = Case::new();
        case.told(1, 1, 0, AttemptOutcome::NotRun);
        case.ran(1, End::Cancelled);
        assert_eq!(case.audit().false_refusals, 1);
    });
}

/// Guards against an audit that misses a second run, with the same ticket or another one.
#[test]
fn duplicate_is_detected() {
    paused(async {
        let case = Case::new();
        case.told(1, 1, 1, AttemptOutcome::Unknown);
        case.told(2, 1, 1, AttemptOutcome::Complete);
        case.ran(1, End::Answered);
        case.ran(2, End::Answered);
        case.told(9, 2, 1, AttemptOutcome::Complete);
        case.ran(9, End::Answered);
        case.ran(9, End::Answered);
        assert_eq!(case.audit().duplicates, 2);
    });
}

/// Guards against an audit that misses wrong answers, answers without an execution and too many
/// executions.
#[test]
fn other_violations_are_detected() {
    paused(async {
        let case = Case::new();
        case.told(1, 1, 0, AttemptOutcome::Wrong);
        case.ran(1, End::Answered);
        case.told(2, 2, 0, AttemptOutcome::Complete);
        case.ran(2, End::Cancelled);
        case.told(3, 3, 0, AttemptOutcome::Complete);
        (0..3).for_each(|_| case.ran(3, End::Answered));
        let audit = case.audit();
        assert_eq!((audit.wrong, audit.invented, audit.excess), (1, 1, 1));
    });
}
