//! Tests that retries are safe, end before the deadline, and stay within allowance and budget.

use super::*;

fn delay(attempt: AttemptEnd, repeatable: bool, control: Control) -> Result<Duration, RetryDenied> {
    let now = Instant::now();
    let rng = fastrand::Rng::with_seed(1);
    let mut retry = Retry::new(repeatable, now + Duration::from_secs(1), control, rng);
    retry.next_delay(
        attempt,
        &mut Allowance::new(3),
        &mut RetryBudget::new(),
        now,
    )
}

/// Guards against retrying a request that is not repeatable after it may have run, and against
/// sending a crashing request to one server after another.
#[test]
fn attempts_that_may_have_run_are_not_repeated() {
    let cases = [
        (AttemptEnd::Answered, false, false),
        (AttemptEnd::Cancelled, false, false),
        (AttemptEnd::NotRun, true, true),
        (AttemptEnd::Unreachable, true, true),
        (AttemptEnd::TimedOut, true, false),
        (AttemptEnd::Lost, false, false),
    ];
    for (attempt, when_repeatable, otherwise) in cases {
        for control in [Control::Adaptive, Control::Fixed] {
            let is_retried = |repeatable| delay(attempt, repeatable, control).is_ok();
            assert_eq!(is_retried(true), when_repeatable, "{attempt:?}");
            assert_eq!(is_retried(false), otherwise, "{attempt:?}");
        }
    }
}

/// Guards against delays outside 5-25 ms doubled with each retry, and against charging the
/// allowance without a retry.
#[test]
fn delays_double_and_stop_at_allowance_and_deadline() {
    for seed in 0..100 {
        let now = Instant::now();
        let deadline = now + Duration::from_millis(150);
        let rng = fastrand::Rng::with_seed(seed);
        let mut retry = Retry::new(true, deadline, Control::Adaptive, rng).important(true);
        let (mut allowance, mut budget) = (Allowance::new(9), RetryBudget::new());
        let mut spent = 0;
        while let Ok(delay) = retry.next_delay(AttemptEnd::NotRun, &mut allowance, &mut budget, now)
        {
            let (min, max) = (5 << spent, 25 << spent);
            assert!(
                (min..=max).contains(&(delay.as_millis() as u64)),
                "{delay:?}"
            );
            assert!(now + delay < deadline);
            spent += 1;
        }
        assert_eq!(allowance.remaining(), 9 - spent as u32);
    }
}

/// Guards against retries beyond the allowance or the retry budget.
#[test]
fn allowance_and_budget_both_bound_retries() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(3_600);
    let retry = || {
        Retry::new(
            true,
            deadline,
            Control::Adaptive,
            fastrand::Rng::with_seed(1),
        )
    };
    let mut budget = RetryBudget::new();
    let mut allowance = Allowance::new(2);
    let mut first = retry().important(true);
    let mut count = || {
        let delay = first.next_delay(AttemptEnd::NotRun, &mut allowance, &mut budget, now);
        delay.is_ok()
    };
    assert_eq!((0..9).filter(|_| count()).count(), 2);
    let mut allowance = Allowance::new(100);
    let mut second = retry().important(true);
    let mut count = || {
        let delay = second.next_delay(AttemptEnd::NotRun, &mut allowance, &mut budget, now);
        delay.is_ok()
    };
    assert_eq!((0..20).filter(|_| count()).count(), 8);
    assert_eq!(allowance.remaining(), 92);
}

/// Guards against a baseline without overload control that makes fewer than three tries per hop.
#[test]
fn without_control_each_hop_tries_three_times() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(1);
    let mut retry = Retry::new(true, deadline, Control::Off, fastrand::Rng::with_seed(1));
    let (mut allowance, mut budget) = (Allowance::new(0), RetryBudget::new());
    let mut count = || {
        let delay = retry.next_delay(AttemptEnd::Lost, &mut allowance, &mut budget, now);
        delay.is_ok()
    };
    assert_eq!((0..9).filter(|_| count()).count(), 2);
}
