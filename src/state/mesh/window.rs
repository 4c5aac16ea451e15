//! Limit on the extra arrivals that a node causes at a service within a sliding window.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

/// Buckets that the window is divided into.
const BUCKETS_PER_WINDOW: u32 = 20;

/// The budget that all nodes share. Each arrival of a request at the service after its first one
/// is an extra arrival.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    /// Extra arrivals allowed per request.
    pub ratio: f64,
    /// Extra arrivals allowed in a window in addition to those, over all nodes.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    since: Instant,
    requests: u32,
    extra: u32,
}

/// Counts the requests for one service at this node and the extra arrivals that they cause.
#[derive(Debug, Default)]
pub struct RetryWindow {
    buckets: VecDeque<Bucket>,
}

impl RetryWindow {
    /// Counts a request for the service, whether it arrives or not.
    pub fn request(&mut self, budget: &Budget, now: Instant) {
        self.current_bucket(budget, now).requests += 1;
    }

    /// Counts one extra arrival and returns true if this node's share of the budget allows it.
    ///
    /// `share` is this node's part of the slack, which all nodes share.
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
        self.current_bucket(budget, now);
        let requests: u32 = self.buckets.iter().map(|b| b.requests).sum();
        let extra: u32 = self.buckets.iter().map(|b| b.extra).sum();
        let allowed = budget.ratio * f64::from(requests) + budget.slack * share;
        if f64::from(extra + 1) > allowed {
            return false;
        }
        self.current_bucket(budget, now).extra += 1;
        true
    }

    fn current_bucket(&mut self, budget: &Budget, now: Instant) -> &mut Bucket {
        while let Some(oldest) = self.buckets.front()
            && now >= oldest.since + budget.window
        {
            self.buckets.pop_front();
        }
        let length = budget.window / BUCKETS_PER_WINDOW;
        let is_current = self.buckets.back().is_some_and(|b| now < b.since + length);
        if !is_current {
            let (requests, extra) = (0, 0);
            self.buckets.push_back(Bucket {
                since: now,
                requests,
                extra,
            });
        }
        self.buckets.back_mut().expect("a bucket was added")
    }
}
