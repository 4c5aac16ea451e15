//! Checks the targets of the data path with a few fixed seeds; `comfreybay-bench run` runs more.

use std::path::Path;

use comfreybay::{
    commands::{bench, check},
    standin::{
        experiment::{self, Run},
        plan::Plan,
        report::{missed_bounds, rows},
        script::Script,
        sweep::sweep,
    },
    state::{id::Revision, object::Control},
};

const THREADS: usize = 2;

fn script(name: &str) -> Script {
    let path = format!("experiments/{name}.yaml");
    bench::script(Path::new(&path)).expect("valid script")
}

fn adaptive(name: &str, seeds: u64) -> (Script, Vec<Run>) {
    let mut script = script(name);
    script.controls = vec![Control::Adaptive];
    script.seeds = seeds;
    let publication = check::publication(Path::new(&script.deployment)).expect("valid tree");
    let runs = sweep(&script, &publication, THREADS, |_, _| {}).expect("runs");
    (script, runs)
}

/// Runs a script with adaptive control for some seeds and checks its bounds.
fn check_bounds(name: &str, seeds: u64) {
    let (script, runs) = adaptive(name, seeds);
    let missed = missed_bounds(&script.bounds, &rows(&script, &runs));
    let samples: Vec<_> = runs.iter().flat_map(|r| &r.audit.samples).collect();
    let errors: Vec<_> = runs.iter().flat_map(|r| &r.errors).collect();
    assert!(
        missed.is_empty(),
        "{name}: {missed:#?} {samples:#?} {errors:#?}"
    );
    assert!(errors.is_empty(), "{name}: {errors:#?}");
}

/// Guards against runs that can't be reproduced from their seed.
#[test]
fn same_seed_gives_same_result() {
    let text = |seed| {
        let mut script = script("tenggara-mixed");
        script.length_s = 12.0;
        let publication = check::publication(Path::new(&script.deployment)).expect("valid tree");
        let run = experiment::run(&script, &publication, Control::Adaptive, seed);
        serde_json::to_string(&run.expect("run")).expect("json")
    };
    for seed in [3, 5] {
        assert!(text(seed) == text(seed), "seed {seed}: two runs differ");
    }
    assert!(text(3) != text(5), "the seed has no effect");
}

/// Guards against duplicates, wrong answers, false refusals and extra executions under faults.
#[test]
fn tenggara_mixed_faults_keep_invariants() {
    check_bounds("tenggara-mixed", 8);
}

/// Guards against duplicates, wrong answers, false refusals and extra executions under faults.
#[test]
fn serrana_mixed_faults_keep_invariants() {
    check_bounds("serrana-mixed", 6);
}

/// Guards against goodput that falls when demand exceeds capacity.
#[test]
fn tenggara_goodput_at_twice_the_capacity() {
    check_bounds("tenggara-2x", 1);
}

/// Guards against goodput that falls when demand exceeds capacity.
#[test]
fn serrana_goodput_at_twice_the_capacity() {
    check_bounds("serrana-2x", 1);
}

/// Guards against important requests that are refused for less important ones.
#[test]
fn tenggara_important_requests_are_not_refused() {
    check_bounds("tenggara-important", 1);
}

/// Guards against important requests that are refused for less important ones.
#[test]
fn serrana_important_requests_are_not_refused() {
    check_bounds("serrana-important", 1);
}

/// Guards against overload that outlasts its cause.
#[test]
fn tenggara_recovers_from_a_surge() {
    check_bounds("tenggara-surge", 1);
}

/// Guards against overload that outlasts its cause.
#[test]
fn serrana_recovers_from_a_surge() {
    check_bounds("serrana-surge", 1);
}

/// Guards against long failures after an availability zone is lost and after it is back.
#[test]
fn tenggara_recovers_from_a_lost_zone() {
    check_bounds("tenggara-zone", 1);
}

/// Guards against long failures after an availability zone is lost and after it is back.
#[test]
fn serrana_recovers_from_a_lost_zone() {
    check_bounds("serrana-zone", 1);
}

/// Guards against new work at a backend server that is draining.
#[test]
fn leaving_servers_get_no_new_work() {
    check_bounds("tenggara-leaving", 1);
    check_bounds("serrana-leaving", 1);
}

/// Guards against planned stops that interrupt requests.
#[test]
fn tenggara_rolling_restart_interrupts_nothing() {
    check_bounds("tenggara-rolling", 1);
}

/// Guards against planned stops that interrupt requests.
#[test]
fn serrana_rolling_restart_interrupts_nothing() {
    check_bounds("serrana-rolling", 1);
}

/// Guards against retries that multiply over the services of a chain.
#[test]
fn extra_executions_stay_within_the_allowance_at_every_depth() {
    let mut script = script("tenggara-mixed");
    script.length_s = 12.0;
    script.mix.clear();
    for depth in 1..=7 {
        let plan = Plan::line(depth).expect("valid names");
        let publication = plan.publish(Revision(1)).expect("valid names");
        for seed in 1..=2 {
            let run = experiment::run(&script, &publication, Control::Adaptive, seed);
            let run = run.expect("run");
            assert!(
                run.audit.executions > 500,
                "depth {depth}: too little load, expected over 500 executions"
            );
            assert_eq!(run.audit.violations(), 0, "depth {depth}: {:#?}", run.audit);
        }
    }
}
