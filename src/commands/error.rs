use std::{io, net::SocketAddr, path::PathBuf, process::ExitCode};

use miette::Diagnostic;
use thiserror::Error;

use super::report::{self, FaultReport};
use crate::{state::id::RootId, transport::node};

/// Exit code when faults were found or the command failed.
const EXIT_FAULTS: u8 = 1;
/// Exit code for an invalid command line.
const EXIT_USAGE: u8 = 2;

/// Errors of the commands.
#[derive(Debug, Error, Diagnostic)]
pub enum Error {
    /// The command line is invalid.
    #[error("could not understand the command line: {0}")]
    #[diagnostic(code(usage), help("see --help"))]
    Usage(String),
    /// Faults were found and are already printed.
    #[error("faults were found")]
    Faults,
    /// The settings of a node have faults.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(Box<FaultReport>),
    /// The settings of a sidecar have a fault.
    #[error("could not use the settings in {}", path.display())]
    #[diagnostic(code(settings))]
    SidecarSettings {
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
        /// The error of the operating system.
        source: io::Error,
    },
    /// A file could not be written.
    #[error("could not write {}", path.display())]
    #[diagnostic(code(write))]
    Write {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A file does not hold a valid publication.
    #[error("could not read publication {}", path.display())]
    #[diagnostic(code(publication))]
    Publication {
        /// The file.
        path: PathBuf,
        /// The error of the decoder.
        source: serde_json::Error,
    },
    /// The revision does not rise, so nodes that have the replaced publication would refuse it.
    #[error("could not replace {}: it has revision {current}", path.display())]
    #[diagnostic(
        code(revision),
        help("nodes accept only a higher revision; use --revision {} or higher", current + 1)
    )]
    Revision {
        /// The file.
        path: PathBuf,
        /// The revision of the publication in the file.
        current: u64,
    },
    /// A file does not hold a valid experiment.
    #[error("could not read experiment {}: {reason}", path.display())]
    #[diagnostic(code(script))]
    Script {
        /// The file.
        path: PathBuf,
        /// The error of the decoder.
        reason: String,
    },
    /// An experiment could not be run.
    #[error("could not run the experiment: {0}")]
    #[diagnostic(code(experiment))]
    Experiment(String),
    /// Logging could not be started.
    #[error("could not start logging: the level is unknown or logging is already started")]
    #[diagnostic(code(log))]
    Log,
    /// The socket for metrics could not be opened.
    #[error("could not open a UDP socket for metrics to {address}")]
    #[diagnostic(code(metrics))]
    Metrics {
        /// The address that metrics are sent to.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The runtime or the signal handlers could not be started.
    #[error("could not start the async runtime or its signal handlers")]
    #[diagnostic(code(runtime))]
    Runtime(#[source] io::Error),
    /// The node could not be started, or failed.
    #[error("could not run the node")]
    #[diagnostic(code(node))]
    Node(#[from] node::Error),
    /// None of the queried nodes has events of a request.
    #[error("could not find request {root} at any of the queried nodes")]
    #[diagnostic(
        code(request),
        help("a node keeps only its most recent requests; query the nodes of the whole chain")
    )]
    Request {
        /// The id of the root request.
        root: RootId,
    },
    /// A node could not be asked about a request, or its answer could not be read.
    #[error("could not get an explanation from {node}: {reason}")]
    #[diagnostic(code(explain))]
    Explain {
        /// Address of the node.
        node: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// A node does not know something about a request.
    #[error("could not explain the request: {what} at {node}")]
    #[diagnostic(code(unknown))]
    Unknown {
        /// Address of the node.
        node: SocketAddr,
        /// What it does not know.
        what: &'static str,
    },
    /// No object has the name.
    #[error("could not find an object named {name:?}")]
    #[diagnostic(code(name))]
    Name {
        /// The name searched for.
        name: String,
        /// Suggestion of a similar name.
        #[help]
        help: Option<String>,
    },
}

/// Result of the commands.
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl From<pico_args::Error> for Error {
    fn from(error: pico_args::Error) -> Self {
        Self::Usage(error.to_string())
    }
}

/// Prints an error, if any, and returns the exit code: 0 on success, 1 for faults, 2 for usage.
pub fn finish(result: Result<()>) -> ExitCode {
    let error = match result {
        Ok(()) => return ExitCode::SUCCESS,
        Err(Error::Faults) => return ExitCode::from(EXIT_FAULTS),
        Err(error) => error,
    };
    let code = match error {
        Error::Usage(_) => EXIT_USAGE,
        _ => EXIT_FAULTS,
    };
    eprint!("{}", report::diagnostic(&error, report::is_terminal()));
    ExitCode::from(code)
}
