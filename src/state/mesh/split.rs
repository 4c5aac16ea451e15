//! Distribution of requests over the services of a route by weight.

use super::route::WeightedService;

/// Selects services so that after any number of requests each is within one request of its share.
#[derive(Debug, Clone, Default)]
pub struct WeightedRoundRobin {
    credits: Vec<f64>,
}

impl WeightedRoundRobin {
    /// Starts at a random position, so that nodes don't all begin with the same service.
    pub fn new(services: &[WeightedService], rng: &mut fastrand::Rng) -> Self {
        let credits = services.iter().map(|s| s.weight * rng.f64());
        Self {
            credits: credits.collect(),
        }
    }

    /// The index of the service for the next request.
    ///
    /// ```
    /// use comfreybay::state::mesh::{route::WeightedService, split::WeightedRoundRobin};
    /// let weighted = |name: &str, weight| WeightedService {
    ///     service: name.parse().unwrap(),
    ///     weight,
    /// };
    /// let services = [weighted("a", 3.0), weighted("b", 1.0)];
    /// let mut split = WeightedRoundRobin::new(&services, &mut fastrand::Rng::with_seed(1));
    /// let to_b = (0..400).filter(|_| split.next(&services) == 1).count();
    /// assert!((99..=101).contains(&to_b));
    /// ```
    pub fn next(&mut self, services: &[WeightedService]) -> usize {
        if services.len() < 2 {
            return 0;
        }
        self.credits.resize(services.len(), 0.0);
        let total: f64 = services.iter().map(|s| s.weight).sum();
        let mut best = 0;
        for (index, service) in services.iter().enumerate() {
            self.credits[index] += service.weight;
            if self.credits[index] > self.credits[best] {
                best = index;
            }
        }
        self.credits[best] -= total;
        best
    }
}
