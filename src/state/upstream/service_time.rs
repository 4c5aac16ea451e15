//! Time that calls take at one backend server, as its node measures and reports it.

use std::{fmt, str::FromStr, time::Duration};

use super::super::{Error, Result};

/// Range of the pace that is accepted from a server. Other workloads slow a machine down by a few
/// times; a value outside is taken for the nearest one inside.
const PACE_PERCENT: std::ops::RangeInclusive<u32> = 25..=1_000;
/// Pace, in percent, up to which a machine counts as running at its usual speed.
const USUAL_MAX_PERCENT: u32 = 120;

/// How long work takes on a machine at the moment, in percent of the usual time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pace(u32);

impl Pace {
    /// The usual pace.
    pub const USUAL: Self = Self(100);

    /// A pace in percent; the nearest one from 25 to 1,000.
    ///
    /// ```
    /// use comfreybay::state::upstream::Pace;
    /// assert_eq!(Pace::new(250).factor(), 2.5);
    /// assert_eq!(Pace::new(0).factor(), 0.25);
    /// ```
    pub fn new(percent: u32) -> Self {
        Self(percent.clamp(*PACE_PERCENT.start(), *PACE_PERCENT.end()))
    }

    /// The pace as a factor; 1 is usual, more is slower.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }

    /// Whether the machine is slower than usual.
    pub fn is_slow(self) -> bool {
        self.0 > USUAL_MAX_PERCENT
    }
}

impl fmt::Display for Pace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Pace {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let fault = |_| Error::Number {
            what: "pace",
            text: text.chars().take(64).collect(),
        };
        text.trim().parse().map(Self::new).map_err(fault)
    }
}

/// Time that a call of one class takes at a backend server. Its text form is `usual_us/pace`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceTime {
    /// Mean time of a call at the usual pace of the machine.
    pub usual: Duration,
    /// Pace of the machine at the time of the report.
    pub pace: Pace,
}

impl fmt::Display for ServiceTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.usual.as_micros(), self.pace)
    }
}

impl FromStr for ServiceTime {
    type Err = Error;

    /// ```
    /// use comfreybay::state::upstream::ServiceTime;
    /// let time: ServiceTime = "85000/250".parse().unwrap();
    /// assert_eq!(time.usual.as_millis(), 85);
    /// assert_eq!(time.to_string(), "85000/250");
    /// assert!("85000".parse::<ServiceTime>().is_err());
    /// ```
    fn from_str(text: &str) -> Result<Self> {
        let fault = || Error::Number {
            what: "service time",
            text: text.chars().take(64).collect(),
        };
        let (usual, pace) = text.split_once('/').ok_or_else(fault)?;
        let usual_us: u32 = usual.parse().map_err(|_| fault())?;
        Ok(Self {
            usual: Duration::from_micros(u64::from(usual_us)),
            pace: pace.parse()?,
        })
    }
}
