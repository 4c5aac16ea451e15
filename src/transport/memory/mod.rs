//! An in-memory network of simulated hosts in one process, for use under tokio's paused clock.

mod conn;
mod host;
mod network;

pub use conn::MemoryConn;
pub use host::{Host, HostEnd, Process};
pub use network::{MemoryListener, MemoryNet, Network, Place, Traffic};
