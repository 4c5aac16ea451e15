//! Guards against retries that outgrow first attempts.

use super::*;

/// Guards against a ratio above 10% plus the burst, at any number of first attempts.
#[test]
fn retries_stay_at_a_tenth_of_first_attempts() {
    for firsts in [0, 9, 10, 99, 1_000, 10_000] {
        let mut budget = RetryBudget::new();
        let mut retries = 0;
        for _ in 0..firsts {
            budget.deposit();
            retries += (0..3).filter(|_| budget.try_spend(true)).count();
        }
        retries += (0..20).filter(|_| budget.try_spend(true)).count();
        assert!(retries <= 10 + firsts / 10, "{retries} retries of {firsts}");
    }
}

/// Guards against ordinary retries that leave nothing for important ones.
#[test]
fn half_of_the_budget_is_kept_for_important_requests() {
    let mut budget = RetryBudget::new();
    assert_eq!((0..20).filter(|_| budget.try_spend(false)).count(), 5);
    assert_eq!((0..20).filter(|_| budget.try_spend(true)).count(), 5);
}
