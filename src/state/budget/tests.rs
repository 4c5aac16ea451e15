//! Guards against retries that exceed their share of the first attempts.

use super::*;

/// Guards against more retries than the burst plus 10% of the first attempts.
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
        assert!(
            retries <= 10 + firsts / 10,
            "{retries} retries after {firsts} first attempts"
        );
    }
}

/// Guards against ordinary retries that use up the budget of important ones.
#[test]
fn half_of_the_budget_is_reserved_for_important_requests() {
    let mut budget = RetryBudget::new();
    assert_eq!((0..20).filter(|_| budget.try_spend(false)).count(), 5);
    assert_eq!((0..20).filter(|_| budget.try_spend(true)).count(), 5);
}
