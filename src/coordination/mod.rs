//! Decisions: admission, routing, retries, acceptance of configuration, membership.

pub mod check;
pub mod follow;
pub mod gate;
pub mod leave;
pub mod membership;
pub mod retry;
pub mod router;
