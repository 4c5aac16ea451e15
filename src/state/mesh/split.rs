//! Distribution of requests among the services of a route by weight.

use super::route::WeightedService;

/// Chooses parts so that after any number of requests each part is within one of its share.
#[derive(Debug, Clone, Default)]
pub struct WeightedRoundRobin {
    credits: Vec<f64>,
}

impl WeightedRoundRobin {
    /// A split that begins at a random place, so that nodes don't favour the same part.
    pub fn new(parts: &[WeightedService], rng: &mut fastrand::Rng) -> Self {
        let credits = parts.iter().map(|p| p.weight * rng.f64());
        Self {
            credits: credits.collect(),
        }
    }

    /// The index of the part for the next request.
    ///
    /// ```
    /// use comfreybay::state::mesh::{route::WeightedService, split::WeightedRoundRobin};
    /// let part = |name: &str, weight| WeightedService { service: name.parse().unwrap(), weight };
    /// let parts = [part("a", 3.0), part("b", 1.0)];
    /// let mut split = WeightedRoundRobin::new(&parts, &mut fastrand::Rng::with_seed(1));
    /// let to_b = (0..400).filter(|_| split.next(&parts) == 1).count();
    /// assert!((99..=101).contains(&to_b));
    /// ```
    pub fn next(&mut self, parts: &[WeightedService]) -> usize {
        if parts.len() < 2 {
            return 0;
        }
        self.credits.resize(parts.len(), 0.0);
        let total: f64 = parts.iter().map(|p| p.weight).sum();
        let mut best = 0;
        for (at, part) in parts.iter().enumerate() {
            self.credits[at] += part.weight;
            if self.credits[at] > self.credits[best] {
                best = at;
            }
        }
        self.credits[best] -= total;
        best
    }
}
