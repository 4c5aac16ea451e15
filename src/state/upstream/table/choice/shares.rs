//! Probabilities of a choice, computed without drawing random numbers.

use tokio::time::Instant;

use super::{PROBE_INTERVAL, UpstreamTable};

impl UpstreamTable {
    /// The probability with which [`Self::choose`] takes each of the candidates, in their order.
    pub(in crate::state::upstream::table) fn shares(
        &self,
        candidates: &[usize],
        now: Instant,
    ) -> Vec<f64> {
        if candidates.len() < 2 {
            return vec![1.0; candidates.len()];
        }
        let is_limited = |index: &usize| self.entries[*index].rate_limit.is_some();
        match candidates.iter().any(is_limited) {
            true => self.drawn_shares(candidates, now),
            false => self.compared_shares(candidates, now),
        }
    }

    /// Shares when two candidates are drawn evenly and compared, unless the first one is probed.
    fn compared_shares(&self, candidates: &[usize], now: Instant) -> Vec<f64> {
        let count = candidates.len();
        let scores = self.scores(candidates, now);
        let mut shares = vec![0.0; count];
        for first in 0..count {
            let is_probed = |median| self.needs_probe(candidates[first], median, now);
            let probe = match self.median_factor.is_some_and(is_probed) {
                true => 1.0 / f64::from(PROBE_INTERVAL),
                false => 0.0,
            };
            shares[first] += probe / count as f64;
            let pair = (1.0 - probe) / (count * (count - 1)) as f64;
            for second in (0..count).filter(|second| *second != first) {
                shares[better(&scores, first, second)] += pair;
            }
        }
        shares
    }

    /// Shares when candidates are drawn in proportion to their capacity.
    fn drawn_shares(&self, candidates: &[usize], now: Instant) -> Vec<f64> {
        let count = candidates.len();
        let scores = self.scores(candidates, now);
        let entry = |at: usize| &self.entries[candidates[at]];
        let capacities: Vec<_> = (0..count).map(|at| entry(at).capacity(now)).collect();
        let total: f64 = capacities.iter().sum();
        let mut shares = vec![0.0; count];
        for first in 0..count {
            let drawn = capacities[first] / total;
            if entry(first).load(now) + 1.0 <= capacities[first] {
                shares[first] += drawn;
                continue;
            }
            let others = total - capacities[first];
            for second in (0..count).filter(|second| *second != first) {
                let share = drawn * capacities[second] / others;
                shares[better(&scores, first, second)] += share;
            }
        }
        shares
    }

    fn scores(&self, candidates: &[usize], now: Instant) -> Vec<f64> {
        let scores = candidates.iter().map(|index| self.score(*index, now));
        scores.collect()
    }

    /// Expected delay of a call to the upstream with this index, as a multiple of the median service
    /// time, if upstreams are compared by it.
    pub(in crate::state::upstream::table) fn delay(
        &self,
        index: usize,
        now: Instant,
    ) -> Option<f64> {
        self.median_factor.map(|_| self.score(index, now))
    }
}

/// The position that is preferred of two, as in [`UpstreamTable::less_loaded`].
fn better(scores: &[f64], first: usize, second: usize) -> usize {
    match scores[first] <= scores[second] {
        true => first,
        false => second,
    }
}
