//! Rate limit that a backend server announces in its answers.

use std::{fmt, str::FromStr};

use tokio::time::Instant;

use super::{Error, Result};

/// Upper bound on an announced limit; no server accepts more.
const LIMIT_MAX_PER_S: f64 = 1e6;

/// Number of requests per second that a backend server accepts from all nodes together.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RateLimit(f64);

impl RateLimit {
    /// Requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for RateLimit {
    type Err = Error;

    /// ```
    /// use comfreybay::state::rate::RateLimit;
    /// let limit: RateLimit = "14.4".parse().unwrap();
    /// assert_eq!(limit.per_second(), 14.4);
    /// assert!("-1".parse::<RateLimit>().is_err());
    /// assert!("inf".parse::<RateLimit>().is_err());
    /// ```
    fn from_str(text: &str) -> Result<Self> {
        let error = || Error::Number {
            what: "rate limit",
            text: text.chars().take(64).collect(),
        };
        let per_second: f64 = text.parse().map_err(|_| error())?;
        let is_valid = (0.0..=LIMIT_MAX_PER_S).contains(&per_second);
        is_valid.then_some(Self(per_second)).ok_or_else(error)
    }
}

/// The rate limit that a backend server announces at the moment.
#[derive(Debug, Default)]
pub struct AnnouncedLimit {
    limit: Option<RateLimit>,
    /// When the last answer that announced a limit was received.
    announced_at: Option<Instant>,
}

impl AnnouncedLimit {
    /// The limit, if the server announces one.
    pub fn get(&self) -> Option<RateLimit> {
        self.limit
    }

    /// Records what an answer announces, received at `now` to a request sent at `sent`. Returns
    /// whether the limit has changed.
    ///
    /// An answer without a limit ends an earlier one only if its request was sent after that was
    /// announced: answers on several connections may arrive out of order.
    ///
    /// ```
    /// use comfreybay::state::rate::AnnouncedLimit;
    /// use std::time::Duration;
    /// use tokio::time::Instant;
    /// let (now, mut announced) = (Instant::now(), AnnouncedLimit::default());
    /// let later = |ms| now + Duration::from_millis(ms);
    /// assert!(announced.record("5".parse().ok(), now, later(10)));
    /// assert!(!announced.record(None, now, later(11)));
    /// assert!(announced.record(None, later(20), later(30)));
    /// assert_eq!(announced.get(), None);
    /// ```
    pub fn record(&mut self, limit: Option<RateLimit>, sent: Instant, now: Instant) -> bool {
        match limit {
            Some(_) => self.announced_at = Some(now),
            None if self.announced_at.is_some_and(|at| sent <= at) => return false,
            None => {}
        }
        let has_changed = self.limit != limit;
        self.limit = limit;
        has_changed
    }
}
