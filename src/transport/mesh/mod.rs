//! A node on a platform that publishes routes and backend servers.
//!
//! Callers send requests to the `outbound` listener of their instance's node. That node selects a
//! backend server and sends the request to the node beside it, which admits the request and
//! forwards it to the backend server.

mod alarm;
mod announce;
mod attempt;
mod auth;
mod context;
mod cooldown;
mod explain;
mod follow;
mod inbound;
mod intake;
mod items;
mod local;
mod metrics;
pub mod node;
mod outbound;
mod pressure;
mod quota;
mod ready;
mod relay;
mod replica;
mod server;
mod shared;
mod suspects;
mod trace;
mod unread;

pub use shared::Mesh;
pub use trace::REQUEST;
