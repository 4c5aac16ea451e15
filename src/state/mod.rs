//! Domain types and tables. Nothing in this layer performs I/O.

pub mod config;
pub mod counters;
mod error;
pub mod id;
pub mod journal;
pub mod object;
pub mod priority;
pub mod publication;
pub mod settings;
pub mod store;
pub mod view;

pub use error::{Error, Result};
