//! The load report of a backend server.

use serde::{Deserialize, Serialize};

/// Path of the report on the backend server.
pub const PATH: &str = "/load";
/// Largest report accepted.
pub const REPORT_MAX_BYTES: usize = 4_096;

/// The load of a backend server, as it reports it. Fields of later versions are ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerReport {
    /// Requests in progress.
    pub busy: u32,
    /// Requests that it can process at once.
    pub slots: u32,
    /// Whether it is draining.
    #[serde(default)]
    pub draining: bool,
}

impl ServerReport {
    /// Reads a report; `None` when it is malformed or too large.
    ///
    /// ```
    /// use comfreybay::protocol::report::ServerReport;
    /// let report = ServerReport::read(br#"{"busy":3,"slots":110}"#).expect("valid report");
    /// assert!(!report.draining);
    /// assert!(ServerReport::read(b"busy").is_none());
    /// ```
    pub fn read(body: &[u8]) -> Option<Self> {
        if body.len() > REPORT_MAX_BYTES {
            return None;
        }
        serde_json::from_slice(body).ok()
    }
}
