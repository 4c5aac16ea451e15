//! Retry budget of one downstream service.

/// Tokens that one retry costs. A token is a tenth of a retry, so that a first attempt adds a
/// whole number of them.
const RETRY_TOKENS: u32 = 10;
/// Tokens that one first attempt adds.
const FIRST_TOKENS: u32 = 1;
/// Retries that a full bucket allows at once.
const BURST_RETRIES: u32 = 10;
/// Tokens reserved for important requests: the lower half of the bucket.
const RESERVED_TOKENS: u32 = BURST_RETRIES * RETRY_TOKENS / 2;

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
    /// Creates a full bucket.
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
            tokens: BURST_RETRIES * RETRY_TOKENS,
        }
    }

    /// Adds the tokens of one first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + FIRST_TOKENS).min(BURST_RETRIES * RETRY_TOKENS);
    }

    /// Takes the tokens of one retry; returns false when too few remain. Requests that are not
    /// important can take only the upper half of the bucket.
    pub fn try_spend(&mut self, important: bool) -> bool {
        let reserved = if important { 0 } else { RESERVED_TOKENS };
        let is_granted = self.tokens >= reserved + RETRY_TOKENS;
        if is_granted {
            self.tokens -= RETRY_TOKENS;
        }
        is_granted
    }
}

#[cfg(test)]
mod tests;
