//! Retry policy: whether a call is retried, and after which delay.

use std::time::Duration;

use tokio::time::Instant;

use super::router::AttemptEnd;
use crate::state::{allowance::Allowance, budget::RetryBudget, object::Control};

/// Minimum delay before the first retry.
const FIRST_DELAY_MIN_MS: f64 = 5.0;
/// Maximum delay before the first retry. Both bounds double with each retry.
const FIRST_DELAY_MAX_MS: f64 = 25.0;
/// Maximum number of retries per hop when overload control is off.
const UNCONTROLLED_RETRIES_MAX: u32 = 2;

/// Why a call is not retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDenied {
    /// A retry is not permitted: the call was answered or cancelled, or may have run.
    NotRetryable,
    /// The retry allowance of the call is used up.
    Allowance,
    /// The retry budget of the service is used up.
    Budget,
    /// The deadline of the call would pass before the retry.
    Deadline,
}

/// Retry policy of one call at one hop.
#[derive(Debug)]
pub struct Retry {
    repeatable: bool,
    important: bool,
    deadline: Instant,
    control: Control,
    rng: fastrand::Rng,
    retries: u32,
}

impl Retry {
    /// Creates the policy of one call with this deadline.
    pub fn new(repeatable: bool, deadline: Instant, control: Control, rng: fastrand::Rng) -> Self {
        Self {
            repeatable,
            important: false,
            deadline,
            control,
            rng,
            retries: 0,
        }
    }

    /// Sets whether the class of the call is important, which allows it to use the reserved part of
    /// the retry budget.
    pub fn important(mut self, important: bool) -> Self {
        self.important = important;
        self
    }

    /// Returns the delay before the next attempt, and charges the retry to the allowance and the
    /// retry budget.
    ///
    /// # Errors
    /// The call must not be retried, for the reason given.
    ///
    /// ```
    /// use comfreybay::coordination::{retry::Retry, router::AttemptEnd};
    /// use comfreybay::state::{allowance::Allowance, budget::RetryBudget, object::Control};
    /// use std::time::Duration;
    /// use tokio::time::Instant;
    ///
    /// let now = Instant::now();
    /// let rng = fastrand::Rng::with_seed(1);
    /// let mut retry = Retry::new(true, now + Duration::from_secs(1), Control::Adaptive, rng);
    /// let (mut allowance, mut budget) = (Allowance::new(1), RetryBudget::new());
    /// let mut delay = |attempt| retry.next_delay(attempt, &mut allowance, &mut budget, now);
    /// assert!(delay(AttemptEnd::NotRun).is_ok());
    /// assert!(delay(AttemptEnd::NotRun).is_err());
    /// ```
    pub fn next_delay(
        &mut self,
        attempt: AttemptEnd,
        allowance: &mut Allowance,
        budget: &mut RetryBudget,
        now: Instant,
    ) -> Result<Duration, RetryDenied> {
        if !self.is_retryable(attempt) {
            return Err(RetryDenied::NotRetryable);
        }
        let scale = f64::from(1 << self.retries.min(10));
        let first_delay_ms =
            FIRST_DELAY_MIN_MS + (FIRST_DELAY_MAX_MS - FIRST_DELAY_MIN_MS) * self.rng.f64();
        let delay = Duration::from_secs_f64(first_delay_ms * scale / 1_000.0);
        if now + delay >= self.deadline {
            return Err(RetryDenied::Deadline);
        }
        self.charge(allowance, budget)?;
        self.retries += 1;
        Ok(delay)
    }

    fn is_retryable(&self, attempt: AttemptEnd) -> bool {
        match attempt {
            AttemptEnd::Answered | AttemptEnd::Cancelled => false,
            // Nothing of the request was sent, or the upstream confirmed that it did not run.
            AttemptEnd::NotRun | AttemptEnd::Unreachable => true,
            // The request itself may have crashed the server.
            AttemptEnd::Lost => self.control == Control::Off && self.repeatable,
            AttemptEnd::TimedOut => self.repeatable,
        }
    }

    fn charge(
        &self,
        allowance: &mut Allowance,
        budget: &mut RetryBudget,
    ) -> Result<(), RetryDenied> {
        if self.control == Control::Off {
            let allowed = self.retries < UNCONTROLLED_RETRIES_MAX;
            return allowed.then_some(()).ok_or(RetryDenied::Allowance);
        }
        if allowance.remaining() == 0 {
            return Err(RetryDenied::Allowance);
        }
        if !budget.try_spend(self.important) {
            return Err(RetryDenied::Budget);
        }
        allowance.try_spend();
        Ok(())
    }
}

#[cfg(test)]
mod tests;
