//! The four outcomes of a call.

use std::{fmt, str::FromStr};

use http::StatusCode;
use thiserror::Error;

/// How a call ended, as a node reports it to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The backend server answered completely.
    Complete,
    /// The call was refused; the request did not run anywhere.
    NotRun,
    /// The request may have run, and ended without an answer.
    Failed,
    /// The request may have run, or may still run.
    Unknown,
}

/// Text that is not an outcome.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
#[error("could not read outcome from {0:?}")]
pub struct OutcomeError(String);

impl Outcome {
    /// The value of the header `cb-outcome`.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::NotRun => "not-run",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
        }
    }

    /// The status of an answer that a node generates itself.
    ///
    /// A complete answer has the backend server's own status instead.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Complete => StatusCode::OK,
            Self::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::Failed => StatusCode::BAD_GATEWAY,
            Self::Unknown => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl FromStr for Outcome {
    type Err = OutcomeError;

    fn from_str(text: &str) -> Result<Self, OutcomeError> {
        let all = [Self::Complete, Self::NotRun, Self::Failed, Self::Unknown];
        all.into_iter()
            .find(|o| o.as_str() == text)
            .ok_or_else(|| OutcomeError(text.to_owned()))
    }
}
