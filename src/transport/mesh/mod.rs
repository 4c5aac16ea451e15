//! A node on a platform that publishes routes and backend servers.
//!
//! Requests begin at the `outbound` listener of an instance. Its node chooses a backend server and
//! hands the request to the node beside it, which admits it and passes it on.

mod attempt;
mod follow;
mod inbound;
mod metrics;
pub mod node;
mod order;
mod outbound;
mod ready;
mod server;
mod shared;
mod trace;

pub use shared::Mesh;
pub use trace::REQUEST;
