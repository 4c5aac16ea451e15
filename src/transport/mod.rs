//! Networks, listeners and connections.

pub mod net;
pub mod tcp;
