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

/// A revision of the store and the epoch in which it was given out.
///
/// A later epoch is higher whatever the revisions are: revisions go back when an epoch begins.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreRevision {
    /// The epoch.
    pub epoch: Epoch,
    /// The revision within the epoch's count.
    pub revision: u64,
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.revision)
    }
}

impl FromStr for StoreRevision {
    type Err = Error;

    /// ```
    /// use comfreybay::state::mesh::revision::StoreRevision;
    /// let before: StoreRevision = "1.22".parse().unwrap();
    /// let after: StoreRevision = "2.17".parse().unwrap();
    /// assert!(after > before);
    /// assert_eq!(after.to_string(), "2.17");
    /// assert!("17".parse::<StoreRevision>().is_err());
    /// ```
    fn from_str(text: &str) -> Result<Self> {
        let error = || Error::Number {
            what: "revision of the store",
            text: text.chars().take(64).collect(),
        };
        let (epoch, revision) = text.split_once('.').ok_or_else(error)?;
        Ok(Self {
            epoch: epoch.parse()?,
            revision: revision.parse().map_err(|_| error())?,
        })
    }
}
