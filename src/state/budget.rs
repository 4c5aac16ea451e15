//! Ratio of retries to first attempts, per downstream service.

/// Tokens are counted in tenths, so that a first attempt adds a whole number.
const RETRY_COST: u32 = 10;
const FIRST_ADDS: u32 = 1;
const BURST: u32 = 10;
/// The lower half of the bucket is kept for important requests.
const RESERVE: u32 = BURST * RETRY_COST / 2;

/// Token bucket that limits retries to 10% of first attempts, with a burst of 10.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryBudget {
    tokens: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

impl RetryBudget {
    /// A full bucket.
    ///
    /// ```
    /// use comfreybay::state::budget::RetryBudget;
    /// let mut budget = RetryBudget::new();
    /// assert_eq!((0..20).filter(|_| budget.try_spend(true)).count(), 10);
    /// (0..10).for_each(|_| budget.deposit());
    /// assert!(budget.try_spend(true) && !budget.try_spend(true));
    /// ```
    pub fn new() -> Self {
        Self {
            tokens: BURST * RETRY_COST,
        }
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + FIRST_ADDS).min(BURST * RETRY_COST);
    }

    /// Takes one retry; requests that are not important leave half of the bucket.
    pub fn try_spend(&mut self, important: bool) -> bool {
        let kept = if important { 0 } else { RESERVE };
        let some = self.tokens >= kept + RETRY_COST;
        if some {
            self.tokens -= RETRY_COST;
        }
        some
    }
}

#[cfg(test)]
mod tests;
