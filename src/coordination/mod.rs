//! Decisions on admission, routing, retries, acceptance of configuration, and membership.

pub mod check;
pub mod explain;
pub mod follow;
pub mod gate;
pub mod leave;
pub mod membership;
pub mod retry;
pub mod router;
