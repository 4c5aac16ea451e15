//! The total order of requests and the admission threshold on it.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use super::{Error, Result, id::RootId};

const HELD_BIT: u32 = 1 << 23;
const IMPORTANCE_SHIFT: u32 = 24;
const RANK_BITS: u32 = 23;

/// Position of a request among all others; the lower value is served first.
///
/// Orders by importance of the class, then held callers last, then by a hash of the root request
/// id, so that every hop of a chain prefers the same requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Priority(u32);

impl Priority {
    /// The priority of request `root` in a class of the given importance (0 is served first).
    ///
    /// ```
    /// use comfreybay::state::{id::RootId, priority::Priority};
    /// let root = RootId([7; 16]);
    /// assert!(Priority::new(0, false, root) < Priority::new(0, true, root));
    /// assert!(Priority::new(0, true, root) < Priority::new(1, false, root));
    /// ```
    pub fn new(importance: u8, held: bool, root: RootId) -> Self {
        let hash = blake3::hash(&root.0);
        let word = u32::from_be_bytes(hash.as_bytes()[..4].try_into().unwrap_or_default());
        let held = if held { HELD_BIT } else { 0 };
        Self(u32::from(importance) << IMPORTANCE_SHIFT | held | word >> (32 - RANK_BITS))
    }

    /// Importance of the class, 0 is served first.
    pub fn importance(self) -> u8 {
        (self.0 >> IMPORTANCE_SHIFT) as u8
    }

    /// Whether the caller is held for retrying hard.
    pub fn held(self) -> bool {
        self.0 & HELD_BIT != 0
    }

    /// The position as a number.
    pub fn value(self) -> u32 {
        self.0
    }
}

/// Admission threshold: requests with a priority at or below it are let in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Level(pub u32);

impl Level {
    /// The level that admits every request.
    pub const OPEN: Self = Self(u32::MAX);

    /// Whether a request of this priority is let in.
    pub fn admits(self, priority: Priority) -> bool {
        priority.0 <= self.0
    }
}

macro_rules! number_text {
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

number_text!(Priority, "priority");
number_text!(Level, "level");
