//! `comfreybay-bench`: load, faults and experiments with stand-ins for the platform.

use std::{fs, num::NonZeroUsize, path::PathBuf, process::ExitCode, thread};

use pico_args::Arguments;

use super::{Error, Result, check, finish};
use crate::standin::script::Script;

mod live;
mod run;
mod slopes;
mod standins;

const HELP: &str = "\
Brings up nodes with stand-ins for the platform and measures them.

Usage:
  comfreybay-bench DIR [--json]
  comfreybay-bench run FILE [--out DIR] [--seeds N] [--seed N] [--threads N] [--json]
  comfreybay-bench slopes --out DIR [--nodes N]
  comfreybay-bench standins DIR [--settings DIR] [--demand SHARE]

Commands:
  DIR       runs a slow deep service, a surge and hard retries on loopback, in real time,
            with adaptive control and two baselines; takes less than a minute
  run       runs an experiment in virtual time and checks its bounds
  slopes    measures how the cost of the control plane grows with the fleet; see slopes --help
  standins  runs the stand-ins alone, for nodes that run as their own processes

Options:
  --out DIR       writes NAME.json and NAME.html to DIR
  --seeds N       number of seeds, instead of that of the experiment
  --seed N        first seed, instead of that of the experiment
  --threads N     runs at once [default: half of the cores]
  --settings DIR  writes the settings of each node to DIR
  --demand SHARE  sends load, as a share of capacity, to the nodes that run [default: 0]
  --json          prints the results as JSON
  --help          prints this text
  --version       prints the version

Exit codes: 0 when all bounds hold, 1 when one is missed, 2 for a wrong command line.
";

/// The command to run, as parsed from the command line.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Prints the help text.
    Help,
    /// Prints the version.
    Version,
    /// Measures a deployment on loopback in real time.
    Live {
        /// The tree of objects.
        dir: PathBuf,
        /// Whether the results are printed as JSON.
        json: bool,
    },
    /// Runs an experiment in virtual time.
    Run(Options),
    /// Runs the stand-ins alone.
    Standins {
        /// The tree of objects.
        dir: PathBuf,
        /// Folder that the settings of the nodes are written to; standard output if none.
        settings: Option<PathBuf>,
        /// Offered load as a share of capacity.
        demand: f64,
    },
}

/// Options of an experiment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// The script of the experiment.
    pub file: PathBuf,
    /// Folder that the results are written to.
    pub out: Option<PathBuf>,
    /// Number of seeds, instead of that of the script.
    pub seeds: Option<u64>,
    /// First seed, instead of that of the script.
    pub seed: Option<u64>,
    /// Number of runs at once.
    pub threads: usize,
    /// Whether the results are printed as JSON.
    pub json: bool,
}

fn default_threads() -> usize {
    let cores = thread::available_parallelism().map_or(2, NonZeroUsize::get);
    (cores / 2).max(1)
}

impl Command {
    /// Parses the command line.
    ///
    /// # Errors
    /// An option or argument is unknown, missing or malformed.
    pub fn parse(mut args: Arguments) -> Result<Self> {
        if args.contains("--help") {
            return Ok(Self::Help);
        }
        if args.contains("--version") {
            return Ok(Self::Version);
        }
        let path = |s: &std::ffi::OsStr| Ok::<_, Error>(PathBuf::from(s));
        let json = args.contains("--json");
        let out = args.opt_value_from_os_str("--out", path)?;
        let settings = args.opt_value_from_os_str("--settings", path)?;
        let seeds = args.opt_value_from_str("--seeds")?;
        let seed = args.opt_value_from_str("--seed")?;
        let threads: Option<usize> = args.opt_value_from_str("--threads")?;
        let demand: Option<f64> = args.opt_value_from_str("--demand")?;
        let free = args.finish();
        if let Some(unknown) = free.iter().find(|a| a.to_string_lossy().starts_with('-')) {
            let text = format!("unknown option {}", unknown.display());
            return Err(Error::Usage(text));
        }
        let no_run_options =
            out.is_none() && seeds.is_none() && seed.is_none() && threads.is_none();
        let no_standin_options = settings.is_none() && demand.is_none();
        match free.as_slice() {
            [command, file] if command == "run" && no_standin_options => Ok(Self::Run(Options {
                file: file.into(),
                out,
                seeds,
                seed,
                threads: threads.unwrap_or_else(default_threads),
                json,
            })),
            [command, dir] if command == "standins" && no_run_options && !json => {
                Ok(Self::Standins {
                    dir: dir.into(),
                    settings,
                    demand: demand.unwrap_or_default(),
                })
            }
            [dir] if no_run_options && no_standin_options => Ok(Self::Live {
                dir: dir.into(),
                json,
            }),
            _ => Err(Error::Usage(
                "expected DIR, run FILE, slopes or standins DIR".to_owned(),
            )),
        }
    }
}

/// Runs the command, and returns the exit code of the process.
pub fn run(args: Arguments) -> ExitCode {
    let mut rest = args.clone();
    if matches!(rest.subcommand(), Ok(Some(command)) if command == "slopes") {
        return finish(slopes::run(rest));
    }
    finish(Command::parse(args).and_then(execute))
}

fn execute(command: Command) -> Result<()> {
    match command {
        Command::Help => print!("{HELP}"),
        Command::Version => println!("comfreybay-bench {}", env!("CARGO_PKG_VERSION")),
        Command::Live { dir, json } => return live::run(&check::publication(&dir)?, json),
        Command::Run(options) => return run::run(&options),
        Command::Standins {
            dir,
            settings,
            demand,
        } => return standins::run(&check::publication(&dir)?, settings.as_deref(), demand),
    }
    Ok(())
}

/// Reads the script of an experiment.
///
/// # Errors
/// The file cannot be read or is not a script.
pub fn script(path: &std::path::Path) -> Result<Script> {
    let text = fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })?;
    serde_saphyr::from_str(&text).map_err(|e| Error::Script {
        path: path.to_owned(),
        reason: e.to_string(),
    })
}
