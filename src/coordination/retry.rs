//! When and after what delay a call is attempted again.

use std::time::Duration;

use tokio::time::Instant;

use super::router::AttemptEnd;
use crate::state::{allowance::Allowance, budget::RetryBudget, object::Control};

/// Shortest delay before the first retry.
const DELAY_MIN_MS: f64 = 5.0;
/// Longest delay before the first retry; both bounds double with each retry.
const DELAY_MAX_MS: f64 = 25.0;
/// Extra tries per hop when control is off.
const UNCONTROLLED_RETRIES: u32 = 2;

/// Why a call is not sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDenied {
    /// It must not be: it may have run, or it was answered.
    NotRetryable,
    /// Its allowance is spent.
    Allowance,
    /// The retry budget of the service is spent.
    Budget,
    /// Too little time is left.
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
    /// The policy for a call with this deadline.
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

    /// Sets whether the class is important, which may use the reserved part of the budget.
    pub fn important(mut self, important: bool) -> Self {
        self.important = important;
        self
    }

    /// The delay before the next attempt; the retry is then charged to the allowance and the budget.
    ///
    /// # Errors
    /// The call ends with this attempt, for the reason given.
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
        if !self.allows(attempt) {
            return Err(RetryDenied::NotRetryable);
        }
        let scale = f64::from(1 << self.retries.min(10));
        let spread = DELAY_MIN_MS + (DELAY_MAX_MS - DELAY_MIN_MS) * self.rng.f64();
        let delay = Duration::from_secs_f64(spread * scale / 1_000.0);
        if now + delay >= self.deadline {
            return Err(RetryDenied::Deadline);
        }
        self.charge(allowance, budget)?;
        self.retries += 1;
        Ok(delay)
    }

    fn allows(&self, attempt: AttemptEnd) -> bool {
        match attempt {
            AttemptEnd::Answered | AttemptEnd::Cancelled => false,
            // Nothing of the request was sent, or the upstream proved that it did not run.
            AttemptEnd::NotRun | AttemptEnd::Unreachable => true,
            // The request itself may be what crashes servers.
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
            let allowed = self.retries < UNCONTROLLED_RETRIES;
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
