use thiserror::Error;

/// Errors of the state layer.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum Error {
    /// A name with invalid characters or an invalid length.
    #[error("could not read name {0:?}: expected 1 to 63 of a-z, 0-9, '-' and '.'")]
    Name(String),
    /// A name given by an operator with invalid characters or an invalid length.
    #[error("could not read name {0:?}: expected 1 to 63 visible ASCII characters")]
    VisibleName(String),
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
    /// Text that is not a value of the expected kind.
    #[error("could not read {what} from {text:?}")]
    Number {
        /// The kind of value.
        what: &'static str,
        /// The rejected text.
        text: String,
    },
    /// Content whose digest differs from the one it was requested by.
    #[error("could not accept content: got digest {actual}, expected {expected}")]
    Digest {
        /// The requested digest.
        expected: String,
        /// The digest of the received content.
        actual: String,
    },
    /// A part of a publication that is not valid JSON of its type.
    #[error("could not decode {what}: {reason}")]
    Decode {
        /// The kind of part.
        what: &'static str,
        /// The error of the decoder.
        reason: String,
    },
}

/// A result whose error type defaults to that of the state layer.
pub type Result<T, E = Error> = std::result::Result<T, E>;
