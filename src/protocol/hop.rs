//! Removal of headers that a node must not forward.

use http::{
    HeaderMap,
    header::{
        CONNECTION, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
        TRANSFER_ENCODING, UPGRADE,
    },
};

use super::header;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

const HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes the headers that apply to one connection only, and those that `Connection` names.
///
/// ```
/// use comfreybay::protocol::hop::remove_hop_by_hop;
/// use http::{HeaderMap, HeaderValue};
/// let mut headers = HeaderMap::new();
/// headers.insert("connection", HeaderValue::from_static("x-private"));
/// headers.insert("x-private", HeaderValue::from_static("1"));
/// remove_hop_by_hop(&mut headers);
/// assert!(headers.is_empty());
/// ```
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|v| v.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Removes all headers that are internal to the system.
pub fn remove_internal(headers: &mut HeaderMap) {
    let internal: Vec<HeaderName> = headers
        .keys()
        .filter(|n| n.as_str().starts_with(header::PREFIX))
        .cloned()
        .collect();
    for name in &internal {
        headers.remove(name);
    }
}
