//! Guards the data path's targets with a small fixed set of seeds; `comfreybay-bench run` runs more.

use std::path::Path;

use comfreybay::{
    commands::{bench, check},
    standin::{
        experiment::{self, Run},
        plan::Plan,
        report::{misses, rows},
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

/// Runs adaptive control with a few seeds and checks the bounds of the script.
fn holds(name: &str, seeds: u64) {
    let (script, runs) = adaptive(name, seeds);
    let missed = misses(&script.bounds, &rows(&script, &runs));
    let samples: Vec<_> = runs.iter().flat_map(|r| &r.audit.samples).collect();
    let errors: Vec<_> = runs.iter().flat_map(|r| &r.errors).collect();
    assert!(
        missed.is_empty(),
        "{name}: {missed:#?} {samples:#?} {errors:#?}"
    );
    assert!(errors.is_empty(), "{name}: {errors:#?}");
}

/// Guards against runs that can't be repeated from their seed.
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
    holds("tenggara-mixed", 8);
}

/// Guards against duplicates, wrong answers, false refusals and extra executions under faults.
#[test]
fn serrana_mixed_faults_keep_invariants() {
    holds("serrana-mixed", 6);
}

/// Guards against goodput that falls when demand exceeds capacity.
#[test]
fn tenggara_goodput_at_twice_the_capacity() {
    holds("tenggara-2x", 1);
}

/// Guards against goodput that falls when demand exceeds capacity.
#[test]
fn serrana_goodput_at_twice_the_capacity() {
    holds("serrana-2x", 1);
}

/// Guards against important requests that are refused for less important ones.
#[test]
fn tenggara_important_requests_are_not_refused() {
    holds("tenggara-important", 1);
}

/// Guards against important requests that are refused for less important ones.
#[test]
fn serrana_important_requests_are_not_refused() {
    holds("serrana-important", 1);
}

/// Guards against overload that outlasts its cause.
#[test]
fn tenggara_recovers_from_a_surge() {
    holds("tenggara-surge", 1);
}

/// Guards against overload that outlasts its cause.
#[test]
fn serrana_recovers_from_a_surge() {
    holds("serrana-surge", 1);
}

/// Guards against long failures after an availability zone is lost and after it is back.
#[test]
fn tenggara_recovers_from_a_lost_zone() {
    holds("tenggara-zone", 1);
}

/// Guards against long failures after an availability zone is lost and after it is back.
#[test]
fn serrana_recovers_from_a_lost_zone() {
    holds("serrana-zone", 1);
}

/// Guards against new work at a backend server that is draining.
#[test]
fn leaving_servers_get_no_new_work() {
    holds("tenggara-leaving", 1);
    holds("serrana-leaving", 1);
}

/// Guards against planned stops that interrupt requests.
#[test]
fn tenggara_rolling_restart_interrupts_nothing() {
    holds("tenggara-rolling", 1);
}

/// Guards against planned stops that interrupt requests.
#[test]
fn serrana_rolling_restart_interrupts_nothing() {
    holds("serrana-rolling", 1);
}

/// Guards against retries that multiply along a chain.
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
            assert!(run.audit.executions > 500, "depth {depth}: no load");
            assert_eq!(run.audit.violations(), 0, "depth {depth}: {:#?}", run.audit);
        }
    }
}
