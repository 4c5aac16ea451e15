//! Decisions: admission, routing, retries, acceptance of configuration, membership.

pub mod check;
