//! Wire forms: headers, control messages, the platform's documents.

pub mod call;
pub mod header;
pub mod hop;
pub mod outcome;
