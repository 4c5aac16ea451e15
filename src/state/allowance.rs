//! Extra attempts that one client request may still cause.

/// Extra attempts left to one call, with the parts lent to its downstream calls.
///
/// A part that is lent leaves the allowance until it is settled, so the sum over the whole call
/// tree never exceeds the allowance that the root started with.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Allowance {
    left: u32,
    lent: u32,
}

impl Allowance {
    /// An allowance of `extra` attempts.
    ///
    /// ```
    /// use comfreybay::state::allowance::Allowance;
    /// let mut allowance = Allowance::new(3);
    /// let lent = allowance.delegate();
    /// assert_eq!((lent, allowance.remaining()), (2, 1));
    /// allowance.reclaim(lent, 2);
    /// assert_eq!(allowance.remaining(), 3);
    /// ```
    pub fn new(extra: u32) -> Self {
        Self {
            left: extra,
            lent: 0,
        }
    }

    /// Attempts that can be spent or lent now.
    pub fn remaining(&self) -> u32 {
        self.left
    }

    /// Takes one attempt; false when none is left.
    pub fn try_spend(&mut self) -> bool {
        let some = self.left > 0;
        self.left -= u32::from(some);
        some
    }

    /// Takes half of what is left, rounded up, for a downstream call.
    pub fn delegate(&mut self) -> u32 {
        let part = self.left.div_ceil(2);
        self.left -= part;
        self.lent += part;
        part
    }

    /// Takes back the unused part of a loan; what is not returned counts as spent.
    ///
    /// A return above the loan, or above all loans still out, is cut, so a faulty answer creates
    /// no attempts.
    pub fn reclaim(&mut self, lent: u32, unused: u32) {
        let lent = lent.min(self.lent);
        self.lent -= lent;
        self.left += unused.min(lent);
    }

    /// Ends the allowance and gives the remainder; later returns are ignored.
    pub fn close(&mut self) -> u32 {
        self.lent = 0;
        std::mem::take(&mut self.left)
    }
}

#[cfg(test)]
mod tests;
