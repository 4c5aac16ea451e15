//! Typed reading and writing of the headers on calls and answers between nodes.

use std::{fmt::Display, str::FromStr, time::Duration};

use http::{
    HeaderMap,
    header::{HeaderName, HeaderValue, RETRY_AFTER},
};
use thiserror::Error;

use crate::state::{
    id::{ChainName, ClassName, RootId},
    priority::Priority,
};

use super::{header, outcome::Outcome};

/// Longest time left that is accepted from a caller; the bound keeps sums with it from overflowing.
const TIMEOUT_MAX_MS: u64 = 3_600_000;

/// A header that is missing or malformed.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum HeaderError {
    /// A required header is absent.
    #[error("could not read the call: header {0} is missing")]
    Missing(&'static str),
    /// A header occurs more than once, or its value can't be parsed.
    #[error("could not read the call: header {0} is malformed")]
    Malformed(&'static str),
}

/// Result of reading headers.
pub type Result<T, E = HeaderError> = std::result::Result<T, E>;

/// Reads a header that occurs at most once.
///
/// # Errors
/// The header occurs more than once or its value is not a `T`.
pub fn read<T: FromStr>(headers: &HeaderMap, name: &'static str) -> Result<Option<T>> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(HeaderError::Malformed(name));
    }
    let text = value.to_str().map_err(|_| HeaderError::Malformed(name))?;
    let parsed = text.trim().parse();
    parsed.map(Some).map_err(|_| HeaderError::Malformed(name))
}

/// Reads a header that occurs exactly once.
///
/// # Errors
/// The header is missing, occurs more than once or its value is not a `T`.
pub fn read_required<T: FromStr>(headers: &HeaderMap, name: &'static str) -> Result<T> {
    read(headers, name)?.ok_or(HeaderError::Missing(name))
}

/// Writes a header, replacing earlier values. A value with characters that are invalid in a header
/// is not written.
pub fn write(headers: &mut HeaderMap, name: &'static str, value: &impl Display) {
    if let Ok(value) = HeaderValue::try_from(value.to_string()) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Writes a header whose value hardly ever recurs; see [`mark_unique`].
pub fn write_unique(headers: &mut HeaderMap, name: &'static str, value: &impl Display) {
    write(headers, name, value);
    mark_unique(headers, &HeaderName::from_static(name));
}

/// Keeps the value of a header out of the compression table of an HTTP/2 connection, where values
/// that hardly ever recur would displace those that do.
pub fn mark_unique(headers: &mut HeaderMap, name: &HeaderName) {
    if let Some(value) = headers.get_mut(name) {
        value.set_sensitive(true);
    }
}

/// What the headers of a call between nodes state about it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallHead {
    /// Id of the client request.
    pub root: RootId,
    /// Class of the client request.
    pub class: ClassName,
    /// Chain of the client request.
    pub chain: ChainName,
    /// Priority of the client request.
    pub priority: Priority,
    /// Time left until the deadline.
    pub timeout: Duration,
    /// Extra attempts delegated to the call.
    pub allowance: u32,
}

impl CallHead {
    /// Reads the head of a call from a peer.
    ///
    /// # Errors
    /// A header is missing or malformed, or the time left is above one hour.
    pub fn read(headers: &HeaderMap) -> Result<Self> {
        let timeout_ms: u64 = read_required(headers, header::TIMEOUT_MS)?;
        if timeout_ms > TIMEOUT_MAX_MS {
            return Err(HeaderError::Malformed(header::TIMEOUT_MS));
        }
        Ok(Self {
            root: read_required(headers, header::ROOT)?,
            class: read_required(headers, header::CLASS)?,
            chain: read_required(headers, header::CHAIN)?,
            priority: read_required(headers, header::PRIORITY)?,
            timeout: Duration::from_millis(timeout_ms),
            allowance: read_required(headers, header::ALLOWANCE)?,
        })
    }

    /// Writes the head of a call to a peer.
    pub fn write(&self, headers: &mut HeaderMap) {
        write(headers, header::ROOT, &self.root);
        write(headers, header::CLASS, &self.class);
        write(headers, header::CHAIN, &self.chain);
        write(headers, header::PRIORITY, &self.priority);
        write(headers, header::TIMEOUT_MS, &self.timeout.as_millis());
        write(headers, header::ALLOWANCE, &self.allowance);
    }
}

/// The time left that an external caller states, at most one hour; `None` if it is absent or
/// malformed.
pub fn caller_timeout(headers: &HeaderMap) -> Option<Duration> {
    let timeout_ms: u64 = read(headers, header::TIMEOUT_MS).ok().flatten()?;
    Some(Duration::from_millis(timeout_ms.min(TIMEOUT_MAX_MS)))
}

/// Writes `Retry-After` in whole seconds, rounded up, and `cb-retry-ms`.
pub fn write_retry_after(headers: &mut HeaderMap, after: Duration) {
    let after_ms = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
    headers.insert(RETRY_AFTER, after_ms.div_ceil(1_000).into());
    write(headers, header::RETRY_MS, &after_ms);
}

/// Reads the outcome of an answer from a node.
///
/// # Errors
/// The outcome is missing or malformed.
pub fn read_outcome(headers: &HeaderMap) -> Result<Outcome> {
    read_required(headers, header::OUTCOME)
}
