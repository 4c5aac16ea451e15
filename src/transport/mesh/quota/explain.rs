//! Quota of an organisation at this node, without taking a token.

use tokio::time::Instant;

use super::{QuotaKey, Quotas};
use crate::state::{id::OrganisationName, mesh::explain::OrganisationQuota};

impl Quotas {
    /// The quota of an organisation, and what [`super::take`] would find; `None` without a quota.
    pub fn explain(&self, organisation: &OrganisationName) -> Option<OrganisationQuota> {
        let (key, now) = (QuotaKey::of(organisation), Instant::now());
        let quota = self.limits.borrow().get(&key).copied()?;
        let fleet = match self.is_leaving.get() {
            true => u32::MAX,
            false => self.fleet(now),
        };
        Some(OrganisationQuota {
            per_second: quota.per_second,
            burst: quota.burst,
            standing: self.borrower.borrow().standing(key, fleet, now),
        })
    }
}
