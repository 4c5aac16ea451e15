//! Revisions of the platform's store.

use std::{fmt, str::FromStr};

use crate::state::{Error, Result};

/// Number that rises each time the store is restored from a copy and counts its revisions anew from
/// there.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Epoch(pub u64);

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Epoch {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let error = |_| Error::Number {
            what: "epoch of the store",
            text: text.chars().take(64).collect(),
        };
        text.parse().map(Self).map_err(error)
    }
}
