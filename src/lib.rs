//! Overload control layer for service call graphs.
//!
//! The folders are layers; each imports only from those after it:
//! `commands`, `standin`, `transport`, `protocol`, `coordination`, `state`.

pub mod commands;
pub mod coordination;
pub mod protocol;
pub mod standin;
pub mod state;
pub mod transport;
