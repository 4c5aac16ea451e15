use std::{io, net::SocketAddr, path::PathBuf, process::ExitCode};

use miette::Diagnostic;
use thiserror::Error;

use super::report::{self, Together};
use crate::{state::id::RootId, transport::node};

/// Exit code of a run that found faults or could not do its work.
const FAULTS: u8 = 1;
/// Exit code of a command line that could not be understood.
const USAGE: u8 = 2;

/// Errors of the command lines.
#[derive(Debug, Error, Diagnostic)]
pub enum Error {
    /// The command line could not be understood.
    #[error("could not understand the command line: {0}")]
    #[diagnostic(code(usage), help("see --help"))]
    Usage(String),
    /// Faults were found and have been reported.
    #[error("faults were found")]
    Faults,
    /// Settings have faults.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(Box<Together>),
    /// Settings of a platform have a fault.
    #[error("could not use {}", path.display())]
    #[diagnostic(code(settings))]
    Setting {
        /// The file.
        path: PathBuf,
        /// The fault.
        #[source]
        fault: crate::state::mesh::settings::InvalidSettings,
    },
    /// A file or folder could not be read.
    #[error("could not read {}", path.display())]
    #[diagnostic(code(read))]
    Read {
        /// The file or folder.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// A file could not be written.
    #[error("could not write {}", path.display())]
    #[diagnostic(code(write))]
    Write {
        /// The file.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// A file is not a publication.
    #[error("could not read publication {}", path.display())]
    #[diagnostic(code(publication))]
    Publication {
        /// The file.
        path: PathBuf,
        /// What the decoder reported.
        source: serde_json::Error,
    },
    /// A publication would not be accepted by nodes that hold the one it replaces.
    #[error("could not replace {}: it has revision {held}", path.display())]
    #[diagnostic(
        code(revision),
        help("nodes accept only a higher revision; use --revision {} or higher", held + 1)
    )]
    Revision {
        /// The file.
        path: PathBuf,
        /// The revision that it holds.
        held: u64,
    },
    /// A file is not an experiment.
    #[error("could not read experiment {}: {reason}", path.display())]
    #[diagnostic(code(script))]
    Script {
        /// The file.
        path: PathBuf,
        /// What the decoder reported.
        reason: String,
    },
    /// An experiment could not be run.
    #[error("could not run the experiment: {0}")]
    #[diagnostic(code(experiment))]
    Experiment(String),
    /// Logging could not be started.
    #[error("could not start logging")]
    #[diagnostic(code(log))]
    Log,
    /// No socket for metrics.
    #[error("could not open a socket for metrics to {to}")]
    #[diagnostic(code(metrics))]
    Metrics {
        /// Where metrics are sent.
        to: SocketAddr,
        /// What the system reported.
        source: io::Error,
    },
    /// The runtime or the signal handlers could not be started.
    #[error("could not start the runtime")]
    #[diagnostic(code(runtime))]
    Runtime(#[source] io::Error),
    /// The node could not be started.
    #[error("could not run the node")]
    #[diagnostic(code(node))]
    Node(#[from] node::Error),
    /// No node knows a request.
    #[error("could not find request {root} at any of the nodes asked")]
    #[diagnostic(
        code(request),
        help("a node keeps only its most recent requests; ask the nodes of the whole chain")
    )]
    Request {
        /// The request.
        root: RootId,
    },
    /// A name that no object has.
    #[error("could not find an object named {name:?}")]
    #[diagnostic(code(name))]
    Name {
        /// The name.
        name: String,
        /// The name that may have been meant.
        #[help]
        help: Option<String>,
    },
}

/// Result of the command lines.
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl From<pico_args::Error> for Error {
    fn from(error: pico_args::Error) -> Self {
        Self::Usage(error.to_string())
    }
}

/// Reports an error, if any, and gives the exit code: 0, 1 for faults, 2 for usage.
pub fn finish(result: Result<()>) -> ExitCode {
    let error = match result {
        Ok(()) => return ExitCode::SUCCESS,
        Err(Error::Faults) => return ExitCode::from(FAULTS),
        Err(error) => error,
    };
    let code = match error {
        Error::Usage(_) => USAGE,
        _ => FAULTS,
    };
    eprint!("{}", report::diagnostic(&error, report::is_terminal()));
    ExitCode::from(code)
}
