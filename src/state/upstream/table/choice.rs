//! Choice among several upstreams that a call can go to.

use tokio::time::Instant;

use super::UpstreamTable;

mod shares;

/// One call in so many goes to a random candidate if that one counts as slow and has room. It brings a
/// new report of an upstream that an old or false report keeps calls away from.
const PROBE_INTERVAL: u32 = 16;

impl UpstreamTable {
    /// Chooses among at least two candidates.
    ///
    /// Compares two random candidates and takes the one with the shorter expected delay, or the lower
    /// load relative to its weight.
    /// If a candidate announces a rate limit, the two are drawn in proportion to their capacity, and
    /// the first is taken if it has room: where most candidates accept few calls, two that are drawn
    /// evenly rarely include one that has room, and comparing them would leave nothing for those
    /// that accept few.
    pub(super) fn choose(
        &self,
        candidates: &[usize],
        rng: &mut fastrand::Rng,
        now: Instant,
    ) -> usize {
        let is_limited = |index: &usize| self.entries[*index].rate_limit.is_some();
        if !candidates.iter().any(is_limited) {
            let first = rng.usize(..candidates.len());
            if let Some(median) = self.median_factor
                && rng.u32(..PROBE_INTERVAL) == 0
                && self.needs_probe(candidates[first], median, now)
            {
                return candidates[first];
            }
            let second = (first + rng.usize(1..candidates.len())) % candidates.len();
            return self.less_loaded(candidates[first], candidates[second], now);
        }
        let first = self.draw(candidates, None, rng, now);
        let entry = &self.entries[first];
        if entry.has_room(now) {
            return first;
        }
        let second = self.draw(candidates, Some(first), rng, now);
        self.less_loaded(first, second, now)
    }

    fn needs_probe(&self, index: usize, median: f64, now: Instant) -> bool {
        let entry = &self.entries[index];
        entry.slowness(median, now) > 1.0 && entry.has_room(now)
    }

    /// Draws a candidate in proportion to its capacity.
    fn draw(
        &self,
        candidates: &[usize],
        without: Option<usize>,
        rng: &mut fastrand::Rng,
        now: Instant,
    ) -> usize {
        let capacity = |index: &usize| self.entries[*index].capacity(now);
        let others = || candidates.iter().filter(|c| Some(**c) != without);
        let mut left = rng.f64() * others().map(capacity).sum::<f64>();
        let is_drawn = |c: &&usize| {
            left -= capacity(c);
            left < 0.0
        };
        // Rounding may leave a rest after the last candidate.
        let drawn = others().find(is_drawn).or(others().next_back());
        *drawn.expect("there are at least two candidates")
    }

    fn less_loaded(&self, first: usize, second: usize, now: Instant) -> usize {
        match self.score(first, now) <= self.score(second, now) {
            true => first,
            false => second,
        }
    }

    /// Expected delay of the call to be placed, if the upstreams report their service times; otherwise
    /// the load of an upstream relative to its weight, with this call included.
    fn score(&self, index: usize, now: Instant) -> f64 {
        let entry = &self.entries[index];
        match self.median_factor {
            Some(median) => entry.expected_delay(median, now),
            None => (entry.load(now) + 1.0) / entry.weight(self.best_latency, now),
        }
    }
}
