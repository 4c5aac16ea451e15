//! Whether a request would get a token, without taking one.

use tokio::time::Instant;

use super::{Borrower, account::Account};
use crate::state::mesh::explain::QuotaStanding;

impl<K: Ord + Copy> Borrower<K> {
    /// What [`Self::try_take`] would return for the next request of an organisation.
    pub fn standing(&self, key: K, fleet: u32, now: Instant) -> QuotaStanding {
        let Some(account) = self.accounts.get(&key) else {
            return QuotaStanding::Asks;
        };
        let has_lot = |a: &Account| a.lots.iter().any(|lot| now < lot.until && lot.count > 0);
        let has_own = |a: &Account| {
            let (mut own, part) = (a.own, 1.0 / f64::from(fleet));
            let taken = own.try_take(&a.all, part, self.lent_until, now);
            self.is_informed && taken.is_some()
        };
        if has_lot(account) || has_own(account) {
            return QuotaStanding::Within;
        }
        match account.over_until > now {
            true => QuotaStanding::Over,
            false => QuotaStanding::Asks,
        }
    }
}

#[cfg(test)]
mod tests;
