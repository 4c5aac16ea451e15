//! Wire formats: headers, control messages, and the platform's documents.

pub mod call;
pub mod directory;
pub mod explain;
pub mod header;
pub mod hop;
pub mod message;
pub mod outcome;
/// Generated from `peer.capnp` by `tools/schema`.
#[rustfmt::skip]
#[allow(missing_docs, clippy::all, clippy::unimplemented, reason = "generated code")]
pub mod peer_capnp;
pub mod platform;
pub mod quota;
pub mod report;
pub mod suspects;
