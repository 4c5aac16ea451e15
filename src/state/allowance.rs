//! Retry allowance: the number of extra attempts that one client request may still cause.

/// Extra attempts available to one call, and those delegated to its downstream calls.
///
/// Delegated attempts leave the allowance until they are reclaimed, so the sum over the whole call
/// tree never exceeds the allowance that the root started with.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Allowance {
    remaining: u32,
    delegated: u32,
}

impl Allowance {
    /// Creates an allowance of `extra` attempts.
    ///
    /// ```
    /// use comfreybay::state::allowance::Allowance;
    /// let mut allowance = Allowance::new(3);
    /// let delegated = allowance.delegate();
    /// assert_eq!((delegated, allowance.remaining()), (2, 1));
    /// allowance.reclaim(delegated, 2);
    /// assert_eq!(allowance.remaining(), 3);
    /// ```
    pub fn new(extra: u32) -> Self {
        Self {
            remaining: extra,
            delegated: 0,
        }
    }

    /// Number of attempts that can be spent or delegated now.
    pub fn remaining(&self) -> u32 {
        self.remaining
    }

    /// Takes one attempt; returns false when none remains.
    pub fn try_spend(&mut self) -> bool {
        let is_granted = self.remaining > 0;
        self.remaining -= u32::from(is_granted);
        is_granted
    }

    /// Delegates half of the remaining attempts, rounded up, to a downstream call.
    pub fn delegate(&mut self) -> u32 {
        let part = self.remaining.div_ceil(2);
        self.remaining -= part;
        self.delegated += part;
        part
    }

    /// Takes back the unused part of `delegated` attempts; the rest counts as spent.
    ///
    /// Both numbers are capped at the attempts that are still delegated, so a faulty response
    /// cannot create attempts.
    pub fn reclaim(&mut self, delegated: u32, unused: u32) {
        let delegated = delegated.min(self.delegated);
        self.delegated -= delegated;
        self.remaining += unused.min(delegated);
    }

    /// Closes the allowance and returns the remaining attempts. Later calls of [`Self::reclaim`]
    /// add nothing.
    pub fn close(&mut self) -> u32 {
        self.delegated = 0;
        std::mem::take(&mut self.remaining)
    }
}

#[cfg(test)]
mod tests;
