//! Decisions: admission, routing, retries, acceptance of configuration, membership.

pub mod gate;
pub mod retry;
pub mod router;
