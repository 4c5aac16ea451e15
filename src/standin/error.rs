use std::io;

use thiserror::Error;

/// Errors of the stand-ins.
#[derive(Debug, Error)]
pub enum Error {
    /// A stand-in could not listen on its address.
    #[error("could not listen at {at}")]
    Bind {
        /// Listen address.
        at: std::net::SocketAddr,
        /// Cause.
        #[source]
        source: io::Error,
    },
    /// The publication lacks an object that an experiment refers to or requires.
    #[error("could not find {kind} {name:?}")]
    Missing {
        /// Kind of the object.
        kind: &'static str,
        /// Name of the object, or of what it is missing in.
        name: String,
    },
    /// A name is not valid.
    #[error(transparent)]
    State(#[from] crate::state::Error),
    /// A plot could not be drawn.
    #[error("could not draw plot: {0}")]
    Plot(String),
}

/// Result type of the stand-ins.
pub type Result<T, E = Error> = std::result::Result<T, E>;
