//! Network access, HTTP listeners and connections, and the node built on them.

pub mod admin;
pub mod attempts;
pub mod body;
pub mod chunks;
mod connections;
pub mod control;
pub mod egress;
pub mod health;
pub mod link;
pub mod memory;
pub mod mesh;
pub mod net;
pub mod node;
mod observe;
pub mod parts;
pub mod peer;
pub mod platform;
pub mod pool;
pub mod public;
pub mod remote;
pub mod reply;
pub mod request;
pub mod root;
pub mod serve;
pub mod server;
pub mod tasks;
pub mod tcp;
