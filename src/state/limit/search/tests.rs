//! Guards against a limit at which a server completes less than it could.

use std::time::Duration;

use super::*;

/// Runs windows of a saturated server; `duration_ms` gives the mean duration of a call at a
/// concurrency. Returns the mean completions of a window in the last quarter of the run.
fn saturate(
    search: &mut LimitSearch,
    windows: u32,
    seed: u64,
    duration_ms: impl Fn(u32) -> f64,
) -> f64 {
    let class: ClassName = "a".parse().unwrap();
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut completed, mut counted) = (0.0, 0);
    for window in 0..windows {
        let limit = search.limit();
        let (mut busy_ms, total_ms) = (0.0, 100.0 * f64::from(limit));
        let mut calls = 0;
        while busy_ms < total_ms {
            let ms = duration_ms(limit) * (0.5 + rng.f64());
            search.record(&class, Duration::from_secs_f64(ms / 1_000.0));
            busy_ms += ms;
            calls += 1;
        }
        search.end_window(true);
        if window >= windows * 3 / 4 {
            completed += f64::from(calls);
            counted += 1;
        }
    }
    completed / f64::from(counted)
}

/// Guards against a server that is kept in the range in which it is slow.
#[test]
fn limit_stays_below_the_concurrency_at_which_the_server_slows_down() {
    for (slots, share, service_ms) in [
        (22, 0.95, 22.0),
        (60, 0.95, 37.0),
        (173, 0.95, 26.0),
        (173, 0.95, 60.0),
        (100, 0.9, 20.0),
    ] {
        for seed in 0..10 {
            let knee = (f64::from(slots) * share).floor();
            let duration = |n: u32| match f64::from(n) > knee {
                true => service_ms * 1.3,
                false => service_ms,
            };
            let mut search = LimitSearch::new(slots);
            let completed = saturate(&mut search, 400, seed, duration);
            let best = knee * 100.0 / service_ms;
            assert!(
                completed >= 0.9 * best,
                "{slots} slots, slow above {knee}, seed {seed}: {completed} of {best}"
            );
        }
    }
}

/// Guards against slots of a server that is as fast with all of them in use.
#[test]
fn limit_stays_at_the_slots_of_a_server_that_does_not_slow_down() {
    for slots in [4, 22, 60, 173] {
        for seed in 0..10 {
            let mut search = LimitSearch::new(slots);
            let completed = saturate(&mut search, 400, seed, |_| 30.0);
            let best = f64::from(slots) * 100.0 / 30.0;
            assert!(
                completed >= 0.95 * best,
                "{slots} slots, seed {seed}: {completed} of {best}"
            );
        }
    }
}

/// Guards against a limit that stays low after the cause has gone.
#[test]
fn limit_returns_to_the_slots_when_the_server_no_longer_slows_down() {
    let mut search = LimitSearch::new(100);
    saturate(&mut search, 100, 1, |n| if n > 90 { 40.0 } else { 20.0 });
    assert!(search.limit() <= 90, "{}", search.limit());
    saturate(&mut search, 1_500, 2, |_| 20.0);
    assert!(search.limit() >= 93, "{}", search.limit());
}

/// Guards against a limit that changes while it has no effect on the server.
#[test]
fn limit_stays_without_waiting_calls() {
    let class: ClassName = "a".parse().unwrap();
    let mut search = LimitSearch::new(100);
    for _ in 0..100 {
        for _ in 0..1_000 {
            search.record(&class, Duration::from_millis(5));
        }
        search.end_window(false);
        assert_eq!(search.limit(), 100);
    }
}

/// Guards against a change of the mix of classes that is taken for a change of the server.
#[test]
fn change_of_the_classes_is_no_gain() {
    let (long, short): (ClassName, ClassName) = ("a".parse().unwrap(), "b".parse().unwrap());
    let mut search = LimitSearch::new(100);
    for _ in 0..200 {
        // As many slots in use as the limit allows: at the slots for long calls, below for short
        // ones, which are more.
        let (class, ms) = match search.limit() {
            100 => (&long, 100),
            _ => (&short, 10),
        };
        for _ in 0..search.limit() * 100 / ms {
            search.record(class, Duration::from_millis(ms.into()));
        }
        search.end_window(true);
    }
    assert_eq!(search.limit(), 100);
}
