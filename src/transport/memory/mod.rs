//! An in-memory network of many hosts in one process, for runs under tokio's paused clock.

mod conn;
mod host;
mod network;

pub use conn::MemoryConn;
pub use host::{Ended, Host, Process};
pub use network::{MemoryListener, MemoryNet, Network, Place, Traffic};
