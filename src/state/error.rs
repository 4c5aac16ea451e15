use thiserror::Error;

/// Errors of the state layer.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum Error {
    /// A name has characters or a length that names may not have.
    #[error("could not read name {0:?}: expected 1 to 63 of a-z, 0-9, '-' and '.'")]
    Name(String),
    /// Text that is not the hexadecimal form of an identifier.
    #[error("could not read {what} from {text:?}: expected {digits} hexadecimal digits")]
    Hex {
        /// The kind of identifier.
        what: &'static str,
        /// The rejected text.
        text: String,
        /// The number of digits expected.
        digits: usize,
    },
    /// Text that is not a number of the kind wanted.
    #[error("could not read {what} from {text:?}")]
    Number {
        /// The kind of number.
        what: &'static str,
        /// The rejected text.
        text: String,
    },
    /// Content that does not match the digest it was asked for by.
    #[error("could not accept content: its digest is {actual}, not {expected}")]
    Digest {
        /// The digest asked for.
        expected: String,
        /// The digest of the content received.
        actual: String,
    },
    /// A part of a publication that is not valid JSON of its type.
    #[error("could not decode {what}: {reason}")]
    Decode {
        /// The kind of part.
        what: &'static str,
        /// What the decoder reported.
        reason: String,
    },
}

/// Result of the state layer.
pub type Result<T, E = Error> = std::result::Result<T, E>;
