//! Rate limit that a backend server announces in its answers.

use std::{fmt, str::FromStr, time::Duration};

use tokio::time::Instant;

use super::{Error, Result};

/// Upper bound on an announced limit; no server accepts more.
const LIMIT_MAX_PER_S: f64 = 1e6;
/// Lowest rate at which requests are sent: a server can only raise its limit in an answer.
const PROBE_RATE_PER_S: f64 = 0.5;
/// Time without requests that may be made up for at once, in seconds.
const BURST_S: f64 = 0.25;
/// Tolerance for rounding in the computation of tokens.
const EPSILON: f64 = 1e-6;

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

/// Bucket that fills with tokens at a constant rate.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    per_second: f64,
    capacity: f64,
    tokens: f64,
    filled_at: Instant,
}

impl TokenBucket {
    /// A bucket that holds up to `capacity` tokens and starts with `tokens`.
    pub fn new(per_second: f64, capacity: f64, tokens: f64, now: Instant) -> Self {
        Self {
            per_second,
            capacity,
            tokens,
            filled_at: now,
        }
    }

    /// The number of tokens.
    pub fn tokens(&self, now: Instant) -> f64 {
        let elapsed_s = now.saturating_duration_since(self.filled_at).as_secs_f64();
        (self.tokens + elapsed_s * self.per_second).min(self.capacity)
    }

    /// Takes a token, if there is one.
    ///
    /// ```
    /// use comfreybay::state::rate::TokenBucket;
    /// use std::time::Duration;
    /// use tokio::time::Instant;
    /// let now = Instant::now();
    /// let mut bucket = TokenBucket::new(10.0, 2.0, 2.0, now);
    /// assert_eq!((0..5).filter(|_| bucket.try_take(now)).count(), 2);
    /// let later = now + Duration::from_millis(150);
    /// assert_eq!((0..5).filter(|_| bucket.try_take(later)).count(), 1);
    /// ```
    pub fn try_take(&mut self, now: Instant) -> bool {
        let tokens = self.tokens(now);
        let is_available = tokens >= 1.0 - EPSILON;
        if is_available {
            (self.tokens, self.filled_at) = ((tokens - 1.0).max(0.0), now);
        }
        is_available
    }

    /// Time until there are `count` tokens, also if it can't hold as many.
    pub fn time_until(&self, count: f64, now: Instant) -> Duration {
        let missing = (count - self.tokens(now)).max(0.0);
        Duration::try_from_secs_f64(missing / self.per_second).unwrap_or(Duration::MAX)
    }
}

/// Releases requests to a backend server at the rate limit that it announces in its answers.
///
/// The node beside a server is the only one that sends requests to it, so the limit holds for all
/// nodes together.
#[derive(Debug, Default)]
pub struct RateLimiter {
    limit: Option<RateLimit>,
    bucket: Option<TokenBucket>,
    /// When the last answer that announced a limit was received.
    announced_at: Option<Instant>,
    /// Whether an answer of the server has been received.
    is_informed: bool,
}

impl RateLimiter {
    /// The limit, if the server announces one.
    pub fn limit(&self) -> Option<RateLimit> {
        self.limit
    }

    /// Records what an answer announces, received at `now` to a request sent at `sent`. Returns
    /// whether the limit has changed.
    ///
    /// An answer without a limit ends an earlier one only if its request was sent after that was
    /// announced: answers on several connections may arrive out of order.
    ///
    /// ```
    /// use comfreybay::state::rate::RateLimiter;
    /// use std::time::Duration;
    /// use tokio::time::Instant;
    /// let (now, mut limiter) = (Instant::now(), RateLimiter::default());
    /// let later = |ms| now + Duration::from_millis(ms);
    /// assert!(limiter.record("5".parse().ok(), now, later(10)));
    /// assert!(!limiter.record(None, now, later(11)));
    /// assert!(limiter.record(None, later(20), later(30)));
    /// assert_eq!(limiter.limit(), None);
    /// ```
    pub fn record(&mut self, limit: Option<RateLimit>, sent: Instant, now: Instant) -> bool {
        self.is_informed = true;
        match limit {
            Some(_) => self.announced_at = Some(now),
            None if self.announced_at.is_some_and(|at| sent <= at) => return false,
            None => {}
        }
        self.set(limit, now)
    }

    /// Adopts the limit that another node has received from the server, as long as this node has
    /// received no answer of it. Returns whether the limit has changed.
    pub fn adopt(&mut self, limit: RateLimit, now: Instant) -> bool {
        if self.is_informed {
            return false;
        }
        self.announced_at = Some(now);
        self.set(Some(limit), now)
    }

    /// Takes the permission to send one request, if the limit has room.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let bucket = self.bucket.as_mut();
        bucket.is_none_or(|bucket| bucket.try_take(now))
    }

    /// Whether the limit has room for a request.
    pub fn has_room(&self, now: Instant) -> bool {
        self.wait(0, now).is_zero()
    }

    /// Time until a request is released that has `ahead` others before it.
    pub fn wait(&self, ahead: usize, now: Instant) -> Duration {
        let count = ahead as f64 + 1.0 - EPSILON;
        let wait = self.bucket.map(|bucket| bucket.time_until(count, now));
        wait.unwrap_or_default()
    }

    fn set(&mut self, limit: Option<RateLimit>, now: Instant) -> bool {
        if self.limit == limit {
            return false;
        }
        let bucket = |limit: RateLimit| {
            let per_second = limit.per_second().max(PROBE_RATE_PER_S);
            let capacity = (per_second * BURST_S).max(1.0);
            let tokens = self.bucket.map_or(0.0, |bucket| bucket.tokens(now));
            TokenBucket::new(per_second, capacity, tokens.min(capacity), now)
        };
        self.bucket = limit.map(bucket);
        self.limit = limit;
        true
    }
}

#[cfg(test)]
mod tests;
