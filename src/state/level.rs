//! Admission levels: the level of this node's gate, and those that other services report.

use std::{collections::BTreeMap, fmt, str::FromStr};

use super::{Error, Result, id::ServiceName, priority::Level};

mod known;
mod meter;

pub use known::{ReportedLevel, is_recent, relaxed};
pub use meter::{LevelController, QueueStats};

/// Levels by service, written as `service=level` joined by `;`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Levels(pub BTreeMap<ServiceName, Level>);

/// Maximum number of services in one text, well above the maximum depth of a call chain, 7. A
/// longer text is rejected.
const SERVICES_MAX: usize = 64;

impl fmt::Display for Levels {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, (service, level)) in self.0.iter().enumerate() {
            let separator = if n == 0 { "" } else { ";" };
            write!(f, "{separator}{service}={level}")?;
        }
        Ok(())
    }
}

impl FromStr for Levels {
    type Err = Error;

    /// ```
    /// use comfreybay::state::level::Levels;
    /// let levels: Levels = "a=7;b=4294967295".parse().unwrap();
    /// assert_eq!(levels.to_string(), "a=7;b=4294967295");
    /// assert!("a:7".parse::<Levels>().is_err());
    /// ```
    fn from_str(text: &str) -> Result<Self> {
        let fault = || Error::Number {
            what: "levels",
            text: text.chars().take(256).collect(),
        };
        let mut levels = BTreeMap::new();
        for part in text.split(';').filter(|p| !p.is_empty()) {
            let (service, level) = part.split_once('=').ok_or_else(fault)?;
            let service: ServiceName = service.parse().map_err(|_| fault())?;
            levels.insert(service, level.parse().map_err(|_| fault())?);
            if levels.len() > SERVICES_MAX {
                return Err(fault());
            }
        }
        Ok(Self(levels))
    }
}
