//! Decisions: admission, routing, retries, acceptance of configuration, membership.

pub mod follow;
pub mod leave;
pub mod membership;
