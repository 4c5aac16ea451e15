//! Wire forms: headers, control messages, the platform's documents.

pub mod header;
pub mod outcome;
