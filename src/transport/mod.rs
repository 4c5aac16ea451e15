//! Networks, listeners and connections.

pub mod memory;
pub mod net;
pub mod platform;
pub mod tcp;
