//! Wire formats of the configuration service and the instance list.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::message::INSTANCES_MAX;
use crate::state::id::{Digest, ServiceName, UpstreamName};

/// Header with the version of a value.
pub const VERSION_HEADER: &str = "x-version";
/// Largest value of the configuration service.
pub const VALUE_MAX_BYTES: usize = 1_000_000;
/// Largest instance list of one service that is accepted.
pub const LIST_MAX_BYTES: usize = 256 * 1_024;

/// Path of the head of the publication.
pub fn head_path() -> &'static str {
    "/v1/kv/head"
}

/// Path that waits for a head with a version other than `after`.
///
/// ```
/// use comfreybay::protocol::platform::wait_path;
/// use std::time::Duration;
/// assert_eq!(wait_path("7", Duration::from_secs(20)), "/v1/kv/head?after=7&wait=20");
/// ```
pub fn wait_path(after: &str, wait: Duration) -> String {
    format!("/v1/kv/head?after={after}&wait={}", wait.as_secs())
}

/// Path of a bucket.
pub fn bucket_path(digest: &Digest) -> String {
    format!("/v1/kv/bucket/{digest}")
}

/// Path of a piece.
pub fn piece_path(digest: &Digest) -> String {
    format!("/v1/kv/piece/{digest}")
}

/// Path of the instance list of a service.
pub fn list_path(service: &ServiceName) -> String {
    format!("/v1/instances/{service}")
}

/// Whether a version that the configuration service sent can be used in a path.
pub fn is_version(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'.';
    !text.is_empty() && text.len() <= 64 && text.bytes().all(allowed)
}

/// State of an instance on the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// It takes requests.
    Live,
    /// It will stop soon.
    Leaving,
}

/// An instance on the list. Fields of later versions are ignored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Its address.
    pub address: String,
    /// Its availability zone.
    #[serde(default)]
    pub zone: String,
    /// Its state.
    pub state: InstanceState,
}

/// Reads an instance list; `None` when it is malformed or too long.
///
/// ```
/// use comfreybay::protocol::platform::read_list;
/// let body = br#"[{"name":"a1","address":"10.0.0.1:1","zone":"a","state":"live"}]"#;
/// assert_eq!(read_list(body).expect("valid list").len(), 1);
/// assert!(read_list(b"[{}]").is_none());
/// ```
pub fn read_list(body: &[u8]) -> Option<Vec<Instance>> {
    if body.len() > LIST_MAX_BYTES {
        return None;
    }
    let list: Vec<Instance> = serde_json::from_slice(body).ok()?;
    (list.len() <= INSTANCES_MAX).then_some(list)
}
