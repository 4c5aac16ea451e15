//! Domain types and in-memory tables. Nothing in this layer performs I/O.

pub mod allowance;
pub mod budget;
pub mod calls;
pub mod config;
pub mod connections;
pub mod counters;
mod error;
pub mod held;
pub mod histogram;
pub mod id;
pub mod journal;
pub mod level;
pub mod limit;
pub mod memory;
pub mod mesh;
pub mod object;
pub mod priority;
pub mod publication;
pub mod queue;
pub mod rate;
pub mod settings;
pub mod store;
pub mod suspect;
pub mod ticket;
pub mod upstream;
pub mod view;
pub mod watch;

pub use error::{Error, Result};
