//! `comfreybay-node`: runs the node beside one backend server.

use std::{io, path::PathBuf, process::ExitCode, rc::Rc};

use pico_args::Arguments;
use tokio::{
    runtime::Builder,
    signal::unix::{Signal, SignalKind, signal},
    task::{JoinSet, LocalSet},
};
use tokio_util::sync::CancellationToken;

use super::{Error, Result, finish, log as logging, metrics::Metrics, settings};
use crate::{
    state::settings::Settings,
    transport::{
        node::{NodeContext, run_with},
        tcp::TcpNet,
    },
};

const HELP: &str = "\
Runs the node beside one backend server until SIGTERM or SIGINT.

Usage:
  comfreybay-node SETTINGS [--print-config]

Options:
  --print-config  prints the settings with all defaults and exits
  --help          prints this text
  --version       prints the version

At a signal the node refuses new work, finishes the calls in progress and exits 0. Further
signals change nothing.

Exit codes: 0 after a planned stop, 1 for faults in the settings or at the start, 2 for a wrong
command line.
";

/// The command to run, as parsed from the command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Prints the help text.
    Help,
    /// Prints the version.
    Version,
    /// Prints the settings in this file.
    Print(PathBuf),
    /// Runs the node with the settings in this file.
    Run(PathBuf),
}

impl Command {
    /// Parses the command line.
    ///
    /// # Errors
    /// An option or argument is unknown or missing.
    pub fn parse(mut args: Arguments) -> Result<Self> {
        if args.contains("--help") {
            return Ok(Self::Help);
        }
        if args.contains("--version") {
            return Ok(Self::Version);
        }
        let print = args.contains("--print-config");
        match args.finish().as_slice() {
            [path] if !path.to_string_lossy().starts_with('-') => match print {
                true => Ok(Self::Print(path.into())),
                false => Ok(Self::Run(path.into())),
            },
            _ => Err(Error::Usage("expected one settings file".to_owned())),
        }
    }
}

/// Runs the command, and returns the exit code of the process.
pub fn run(args: Arguments) -> ExitCode {
    finish(Command::parse(args).and_then(execute))
}

fn execute(command: Command) -> Result<()> {
    match command {
        Command::Help => print!("{HELP}"),
        Command::Version => println!("comfreybay-node {}", env!("CARGO_PKG_VERSION")),
        Command::Print(path) => print!("{}", settings::print(&settings::read(&path)?)),
        Command::Run(path) => return start(settings::read(&path)?),
    }
    Ok(())
}

fn start(settings: Settings) -> Result<()> {
    logging::setup(&settings.log)?;
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(Error::Runtime)?;
    LocalSet::new().block_on(&runtime, serve(settings))
}

async fn serve(settings: Settings) -> Result<()> {
    let signals = Signals::new().map_err(Error::Runtime)?;
    let metrics = settings
        .metrics
        .map(|address| Metrics::new(&settings, address));
    let metrics = metrics.transpose()?;
    let net = TcpNet::new(settings.peer.ip());
    let (stop, stopped) = (CancellationToken::new(), CancellationToken::new());

    let context = Rc::new(NodeContext::new(settings));
    let name = &context.settings.name;
    log::info!(name:%, incarnation:% = context.incarnation; "node starts");
    let mut tasks = JoinSet::new();
    tasks.spawn_local(signals.watch(stop.clone(), stopped.clone()));
    if let Some(metrics) = metrics {
        tasks.spawn_local(metrics.run(context.counters.clone(), stopped.clone()));
    }
    let result = run_with(net, context.clone(), stop).await;
    stopped.cancel();
    while tasks.join_next().await.is_some() {}
    result?;
    log::info!(name:%; "node stopped");
    Ok(())
}

/// The signals at which the node stops.
struct Signals {
    term: Signal,
    int: Signal,
}

impl Signals {
    fn new() -> io::Result<Self> {
        Ok(Self {
            term: signal(SignalKind::terminate())?,
            int: signal(SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) -> &'static str {
        tokio::select! {
            biased;
            _ = self.term.recv() => "SIGTERM",
            _ = self.int.recv() => "SIGINT",
        }
    }

    /// Cancels `stop` at each signal until `stopped` is cancelled.
    async fn watch(mut self, stop: CancellationToken, stopped: CancellationToken) {
        loop {
            let signal = tokio::select! {
                biased;
                () = stopped.cancelled() => return,
                signal = self.next() => signal,
            };
            log::info!(signal; "node stops");
            stop.cancel();
        }
    }
}
