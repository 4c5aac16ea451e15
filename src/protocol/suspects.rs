//! Text form of a report on requests that are suspected of crashing backend servers: a line
//! `STATE FINGERPRINT MS` for each, with the time for which the entry remains.

use std::{
    fmt::{self, Write},
    time::Duration,
};

use thiserror::Error;

use crate::state::{id::Fingerprint, suspect::SuspectReport};

const SUSPECT: &str = "suspect";
const RECURRENT: &str = "recurrent";
const CONVICTED: &str = "convicted";

/// A line that is no entry of a report.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
#[error("could not read line {line} of the report on suspects: expected STATE FINGERPRINT MS")]
pub struct InvalidReport {
    line: usize,
}

/// Result of reading a report.
pub type Result<T, E = InvalidReport> = std::result::Result<T, E>;

/// Writes a report.
///
/// ```
/// use std::time::Duration;
/// use comfreybay::{protocol::suspects, state::{id::Fingerprint, suspect::SuspectReport}};
/// let suspect = (Fingerprint([7; 16]), Duration::from_millis(1_500));
/// let report = SuspectReport { suspects: vec![suspect], ..SuspectReport::default() };
/// let text = suspects::write(&report);
/// assert_eq!(text, "suspect 07070707070707070707070707070707 1500\n");
/// assert_eq!(suspects::read(&text).unwrap(), report);
/// ```
pub fn write(report: &SuspectReport) -> String {
    let mut text = String::new();
    let lists = [
        (SUSPECT, &report.suspects),
        (RECURRENT, &report.recurrent),
        (CONVICTED, &report.convicted),
    ];
    for (state, list) in lists {
        let written: fmt::Result = list.iter().try_for_each(|(request, remaining)| {
            writeln!(text, "{state} {request} {}", remaining.as_millis())
        });
        written.expect("writing to a string can't fail");
    }
    text
}

/// Reads a report. Entries in a state that a later version added are left out.
///
/// # Errors
/// A line is malformed.
pub fn read(text: &str) -> Result<SuspectReport> {
    let mut report = SuspectReport::default();
    for (index, line) in text.lines().enumerate() {
        let invalid = || InvalidReport { line: index + 1 };
        let mut fields = line.split(' ');
        let (Some(state), Some(request), Some(ms), None) =
            (fields.next(), fields.next(), fields.next(), fields.next())
        else {
            return Err(invalid());
        };
        let request: Fingerprint = request.parse().map_err(|_| invalid())?;
        let ms: u32 = ms.parse().map_err(|_| invalid())?;
        let entry = (request, Duration::from_millis(ms.into()));
        match state {
            SUSPECT => report.suspects.push(entry),
            RECURRENT => report.recurrent.push(entry),
            CONVICTED => report.convicted.push(entry),
            _ => {}
        }
    }
    Ok(report)
}
