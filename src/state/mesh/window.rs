//! Extra arrivals at a service that a node may cause within a sliding window.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

/// Parts of the window that are counted together.
const STEPS_MAX: u32 = 20;

/// The budget that all nodes share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    /// Extra arrivals for each request.
    pub ratio: f64,
    /// Extra arrivals in a window beyond that, over all nodes.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Step {
    since: Instant,
    requests: u32,
    extra: u32,
}

/// Counts requests and extra arrivals of one service at this node.
#[derive(Debug, Default)]
pub struct RetryWindow {
    steps: VecDeque<Step>,
}

impl RetryWindow {
    /// Counts a request for the service, whether it arrives or not.
    pub fn request(&mut self, budget: &Budget, now: Instant) {
        self.step(budget, now).requests += 1;
    }

    /// Spends one extra arrival if this node's part of the budget allows it.
    ///
    /// `share` is this node's part of the common slack.
    ///
    /// ```
    /// use comfreybay::state::mesh::window::{Budget, RetryWindow};
    /// use std::time::Duration;
    /// use tokio::time::Instant;
    /// let budget = Budget { ratio: 0.2, slack: 10.0, window: Duration::from_secs(10) };
    /// let (mut window, now) = (RetryWindow::default(), Instant::now());
    /// (0..10).for_each(|_| window.request(&budget, now));
    /// let spent = (0..100).filter(|_| window.try_spend(&budget, 0.1, now)).count();
    /// assert_eq!(spent, 3);
    /// ```
    pub fn try_spend(&mut self, budget: &Budget, share: f64, now: Instant) -> bool {
        self.step(budget, now);
        let requests: u32 = self.steps.iter().map(|s| s.requests).sum();
        let extra: u32 = self.steps.iter().map(|s| s.extra).sum();
        let most = budget.ratio * f64::from(requests) + budget.slack * share;
        if f64::from(extra + 1) > most {
            return false;
        }
        self.step(budget, now).extra += 1;
        true
    }

    fn step(&mut self, budget: &Budget, now: Instant) -> &mut Step {
        while let Some(first) = self.steps.front()
            && now >= first.since + budget.window
        {
            self.steps.pop_front();
        }
        let length = budget.window / STEPS_MAX;
        let current = self.steps.back().is_some_and(|s| now < s.since + length);
        if !current {
            let (requests, extra) = (0, 0);
            self.steps.push_back(Step {
                since: now,
                requests,
                extra,
            });
        }
        self.steps.back_mut().expect("a step was added")
    }
}
