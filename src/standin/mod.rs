//! Simulated callers, backend servers and platform services ("stand-ins"), and experiments with
//! them.

pub mod audit;
pub mod caller;
pub mod chaos;
pub mod configuration;
mod error;
pub mod event;
pub mod experiment;
pub mod fleet;
pub mod http;
pub mod instances;
pub mod ledger;
pub mod measure;
pub mod plan;
pub mod planes;
pub mod plot;
pub mod report;
pub mod script;
pub mod server;
pub mod slopes;
pub mod sweep;
pub mod tally;
pub mod world;

pub use error::{Error, Result};
