//! Limit on the extra arrivals that a node causes at a service within a sliding window.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

use crate::state::priority::Priority;

/// Buckets that the window is divided into.
const BUCKETS_PER_WINDOW: u32 = 20;

/// The budget that all nodes share. Each arrival of a request at the service after its first one
/// is an extra arrival.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    /// Extra arrivals allowed per request, of the last window or the one before it, whichever has
    /// more.
    pub ratio: f64,
    /// Extra arrivals allowed in a window in addition to those, over all nodes.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Parts of the budget that may be spent when the retries of the ordinary requests begin to stop,
/// last rank first, and when all of them have stopped.
const ORDINARY_SHARES: (f64, f64) = (0.2, 0.4);
/// The same for the most important requests.
const IMPORTANT_SHARES: (f64, f64) = (0.8, 1.0);

/// How much of the budget may be spent before the retries of a request have to stop.
///
/// A request that makes several calls to servers that fail is complete only if each of them is. So
/// the retries go to the requests that rank first, and not to all requests in part. The rank of a
/// request is the same at all nodes and for all calls made on its behalf.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RetryRank(f64);

impl RetryRank {
    /// The rank of a request, where the most important ones have importance `most`.
    ///
    /// ```
    /// use comfreybay::state::{id::RootId, mesh::window::RetryRank, priority::Priority};
    /// let rank = |importance| RetryRank::new(Priority::new(importance, false, RootId([1; 16])), 0);
    /// assert!(rank(0) > rank(1));
    /// assert_eq!(rank(1), rank(2));
    /// ```
    pub fn new(priority: Priority, most: u8) -> Self {
        let first = 1.0 - priority.position();
        let (last, all) = match priority.importance() <= most {
            true => IMPORTANT_SHARES,
            false => ORDINARY_SHARES,
        };
        Self(last + (all - last) * first)
    }
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    since: Instant,
    requests: u32,
    extra: u32,
}

/// Counts the requests for one service at this node and the extra arrivals that they cause, in this
/// window and the one before it.
#[derive(Debug, Default)]
pub struct RetryWindow {
    buckets: VecDeque<Bucket>,
}

impl RetryWindow {
    /// Counts a request for the service, whether it arrives or not. A repeated one is an extra
    /// arrival itself.
    pub fn request(&mut self, budget: &Budget, repeated: bool, now: Instant) {
        let bucket = self.current_bucket(budget, now);
        bucket.requests += 1;
        bucket.extra += u32::from(repeated);
    }

    /// Counts one extra arrival and returns true if this node's share of the budget allows it for a
    /// request of this rank.
    ///
    /// `share` is this node's part of the slack, which all nodes share.
    ///
    /// ```
    /// use comfreybay::state::{id::RootId, priority::Priority};
    /// use comfreybay::state::mesh::window::{Budget, RetryRank, RetryWindow};
    /// use std::time::Duration;
    /// use tokio::time::Instant;
    /// let budget = Budget { ratio: 0.2, slack: 10.0, window: Duration::from_secs(10) };
    /// let (mut window, now) = (RetryWindow::default(), Instant::now());
    /// (0..100).for_each(|_| window.request(&budget, false, now));
    /// let rank = |importance| RetryRank::new(Priority::new(importance, false, RootId([2; 16])), 0);
    /// let mut spend = |rank| (0..100).filter(|_| window.try_spend(&budget, 0.1, rank, now)).count();
    /// // 100 requests and this node's slack allow 21 extra arrivals.
    /// let ordinary = spend(rank(1));
    /// assert!((5..=9).contains(&ordinary));
    /// assert!((17..=21).contains(&(ordinary + spend(rank(0)))));
    /// ```
    pub fn try_spend(
        &mut self,
        budget: &Budget,
        share: f64,
        rank: RetryRank,
        now: Instant,
    ) -> bool {
        self.current_bucket(budget, now);
        let is_recent = |b: &&Bucket| now < b.since + budget.window;
        let recent = || self.buckets.iter().filter(is_recent);
        let extra: u32 = recent().map(|b| b.extra).sum();
        let last: u32 = recent().map(|b| b.requests).sum();
        let both: u32 = self.buckets.iter().map(|b| b.requests).sum();
        // Requests that fail early make fewer calls. The budget does not shrink with them.
        let requests = last.max(both - last);
        let allowed = budget.ratio * f64::from(requests) + budget.slack * share;
        if f64::from(extra + 1) > allowed || f64::from(extra) >= allowed * rank.0 {
            return false;
        }
        self.current_bucket(budget, now).extra += 1;
        true
    }

    fn current_bucket(&mut self, budget: &Budget, now: Instant) -> &mut Bucket {
        while let Some(oldest) = self.buckets.front()
            && now >= oldest.since + 2 * budget.window
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
