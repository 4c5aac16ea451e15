//! The commands and their command lines, with one file for each command.

pub mod bench;
pub mod check;
pub mod dump;
mod error;
pub mod explain;
pub mod log;
pub mod mesh;
pub mod metrics;
pub mod node;
pub mod report;
pub mod settings;
pub mod sink;
pub mod yaml;

pub use error::{Error, Result, finish};
