//! The priority of a request, and the admission level that it is compared with.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use super::{Error, Result, id::RootId};

/// Set for a request that is repeated before its `Retry-After` has passed.
const EARLY_RETRY_BIT: u32 = 1 << 23;
const IMPORTANCE_SHIFT: u32 = 24;
/// Number of bits of the request hash that a priority holds.
const HASH_BITS: u32 = 23;

/// Priority of a request; the lowest value is served first.
///
/// Orders by the importance of the class, then early retries after other requests, then by a hash
/// of the root request id, so that every hop of a call chain prefers the same requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Priority(u32);

impl Priority {
    /// The priority of request `root` in a class of this importance (0 is served first).
    /// `early_retry` is set when the caller did not wait for its `Retry-After`.
    ///
    /// ```
    /// use comfreybay::state::{id::RootId, priority::Priority};
    /// let root = RootId([7; 16]);
    /// assert!(Priority::new(0, false, root) < Priority::new(0, true, root));
    /// assert!(Priority::new(0, true, root) < Priority::new(1, false, root));
    /// ```
    pub fn new(importance: u8, early_retry: bool, root: RootId) -> Self {
        let hash = blake3::hash(&root.0);
        let bits = u32::from_be_bytes(hash.as_bytes()[..4].try_into().unwrap_or_default());
        let early = if early_retry { EARLY_RETRY_BIT } else { 0 };
        Self(u32::from(importance) << IMPORTANCE_SHIFT | early | bits >> (32 - HASH_BITS))
    }

    /// The priority in the middle of the requests of an importance, for a request without an ID.
    pub fn middle(importance: u8) -> Self {
        Self((u32::from(importance) << IMPORTANCE_SHIFT) + EARLY_RETRY_BIT / 2)
    }

    /// The priority of an importance that is served last, early retries left out.
    pub fn last(importance: u8) -> Self {
        Self((u32::from(importance) << IMPORTANCE_SHIFT) + EARLY_RETRY_BIT - 1)
    }

    /// Importance of the class; 0 is served first.
    pub fn importance(self) -> u8 {
        (self.0 >> IMPORTANCE_SHIFT) as u8
    }

    /// Whether the caller did not wait for its `Retry-After`.
    pub fn is_early_retry(self) -> bool {
        self.0 & EARLY_RETRY_BIT != 0
    }

    /// Position among the requests of its importance, from 0 for the first to 1. Early retries come
    /// last.
    pub fn position(self) -> f64 {
        match self.is_early_retry() {
            true => 1.0,
            false => f64::from(self.0 & (EARLY_RETRY_BIT - 1)) / f64::from(EARLY_RETRY_BIT),
        }
    }

    /// The priority as a number.
    pub fn value(self) -> u32 {
        self.0
    }
}

/// Admission level: requests whose priority value is at or below it are admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Level(pub u32);

impl Level {
    /// The level that admits every request.
    pub const OPEN: Self = Self(u32::MAX);

    /// Whether a request of this priority is admitted.
    pub fn admits(self, priority: Priority) -> bool {
        priority.0 <= self.0
    }

    /// Share of the requests of an importance that are admitted, early retries left out.
    ///
    /// ```
    /// use comfreybay::state::priority::Level;
    /// let level = Level((1 << 24) + (1 << 22) - 1);
    /// let shares = [0, 1, 2].map(|importance| level.admitted_share(importance));
    /// assert_eq!(shares, [1.0, 0.5, 0.0]);
    /// ```
    pub fn admitted_share(self, importance: u8) -> f64 {
        let first = u32::from(importance) << IMPORTANCE_SHIFT;
        match self.0.checked_sub(first) {
            Some(above) => ((f64::from(above) + 1.0) / f64::from(EARLY_RETRY_BIT)).min(1.0),
            None => 0.0,
        }
    }
}

macro_rules! impl_text {
    ($type:ident, $what:literal) => {
        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $type {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                let fault = |_| Error::Number {
                    what: $what,
                    text: text.to_owned(),
                };
                text.parse().map(Self).map_err(fault)
            }
        }
    };
}

impl_text!(Priority, "priority");
impl_text!(Level, "level");
