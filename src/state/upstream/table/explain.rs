//! What the choice for the next call considers, without making it.

use std::collections::BTreeSet;

use tokio::time::Instant;

use super::{
    super::{Considered, Obstacle},
    COMPARE_INTERVAL, Candidates, Priority, REVIEW_INTERVAL, UpstreamTable,
};

impl UpstreamTable {
    /// All upstreams, with the probability that [`Self::pick`] chooses them for a call of this
    /// priority, or the reason why it does not.
    ///
    /// The checks that are due with the next call are made on a copy, so nothing changes here.
    pub fn explain(&self, priority: Priority, now: Instant) -> Vec<Considered> {
        let mut table = self.clone();
        if table
            .reviewed_at
            .is_none_or(|at| now >= at + REVIEW_INTERVAL)
        {
            table.review_removals(now);
        }
        let candidates = table.candidates(priority, &BTreeSet::new(), now);
        if table
            .compared_at
            .is_none_or(|at| now >= at + COMPARE_INTERVAL)
        {
            table.compare_zones(&candidates, now);
        }
        let preferred = table.preferred(&candidates);
        let shares = table.shares(preferred, now);
        let considered = table.entries.iter().enumerate().map(|(index, entry)| {
            let is_active = table.active.contains(&index);
            let position = preferred.iter().position(|p| *p == index);
            Considered {
                upstream: entry.upstream.clone(),
                status: entry.status(is_active, table.best_latency, now),
                report: entry.last_report(now),
                expected_delay: table.delay(index, now),
                chance: position.map_or(0.0, |at| shares[at]),
                obstacle: match position {
                    Some(_) => None,
                    None => Some(table.obstacle(index, &candidates, now)),
                },
            }
        });
        considered.collect()
    }

    /// Why an upstream that is not among the preferred candidates gets no call.
    fn obstacle(&self, index: usize, candidates: &Candidates, now: Instant) -> Obstacle {
        let entry = &self.entries[index];
        if candidates.all().contains(&index) {
            return Obstacle::OtherZone;
        }
        if entry.is_removed {
            return match entry.is_leaving(now) {
                true => Obstacle::Leaving,
                false => Obstacle::Absent,
            };
        }
        if !self.active.contains(&index) {
            return Obstacle::OutsideSubset;
        }
        let active = || self.active.iter().map(|index| &self.entries[*index]);
        if entry.is_avoided(now) && active().any(|e| !e.is_avoided(now)) {
            return match entry.is_unreachable(now) {
                true => Obstacle::Unreachable,
                false => Obstacle::Stopping,
            };
        }
        let ejected = active().filter(|e| e.is_ejected(now)).count();
        let is_applied = (self.active.len() - ejected) * 2 >= self.active.len();
        match is_applied && entry.is_ejected(now) {
            true => Obstacle::Ejected,
            false => Obstacle::Level,
        }
    }
}

#[cfg(test)]
mod tests;
