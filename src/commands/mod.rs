//! The command lines: one file for each command.

pub mod bench;
pub mod check;
mod error;
pub mod report;
pub mod settings;
pub mod yaml;

pub use error::{Error, Result, finish};
