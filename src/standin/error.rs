use std::io;

use thiserror::Error;

/// Errors of the stand-ins.
#[derive(Debug, Error)]
pub enum Error {
    /// A stand-in could not listen.
    #[error("could not listen at {at}")]
    Bind {
        /// The address.
        at: std::net::SocketAddr,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// An experiment names something that the publication does not have.
    #[error("could not find {kind} {name:?}")]
    Missing {
        /// The kind of thing.
        kind: &'static str,
        /// Its name.
        name: String,
    },
    /// A name in a plan is not valid.
    #[error(transparent)]
    State(#[from] crate::state::Error),
    /// A plot could not be drawn.
    #[error("could not draw plot: {0}")]
    Plot(String),
}

/// Result of the stand-ins.
pub type Result<T, E = Error> = std::result::Result<T, E>;
