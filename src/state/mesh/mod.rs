//! State of a node on a platform that publishes routes and backend servers.

pub mod backend;
pub mod calls;
pub mod changelog;
pub mod downstream;
pub mod explain;
pub mod organisation;
pub mod precedence;
pub mod progress;
pub mod quota;
pub mod readers;
pub mod registry;
pub mod revision;
pub mod route;
pub mod settings;
pub mod split;
pub mod window;
