//! `comfreybay-dump`: shows the state of nodes, and what happened to one request.

use std::{net::SocketAddr, process::ExitCode};

use http::StatusCode;
use pico_args::Arguments;
use serde_json::{Value, json};
use tokio::{runtime::Builder, task::JoinSet};

use super::{Error, Result, finish};
use crate::state::{id::RootId, journal::Event};

pub(super) mod fetch;
mod show;
pub(super) mod table;

pub use show::{dumps, events};

use fetch::{Limits, get};

const HELP: &str = "\
Shows the state of nodes as served by their admin listeners.

Usage:
  comfreybay-dump ADDRESS... [--json]
  comfreybay-dump why ROOT-ID ADDRESS... [--json]

Commands:
  why  shows what each node did with the request of this id (header cb-root)

Options:
  --json     prints the documents of the nodes as JSON
  --help     prints this text
  --version  prints the version

Exit codes: 0 when every node answered (why: when any node knows the request), 1 otherwise, 2 for
a wrong command line.
";

/// The command to run, as parsed from the command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Prints the help text.
    Help,
    /// Prints the version.
    Version,
    /// Prints the state of nodes.
    Dump {
        /// Addresses of their admin listeners.
        nodes: Vec<SocketAddr>,
        /// Whether the output is JSON.
        json: bool,
    },
    /// Prints the events of a request at each node.
    Why {
        /// The id of the root request.
        root: RootId,
        /// Addresses of the admin listeners of the nodes to query.
        nodes: Vec<SocketAddr>,
        /// Whether the output is JSON.
        json: bool,
    },
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
        let json = args.contains("--json");
        let free = args.finish();
        let free: Vec<_> = free.iter().map(|a| a.to_string_lossy()).collect();
        let invalid = |text: &str, expected| Error::Usage(format!("{text:?} is not {expected}"));
        let nodes = |texts: &[std::borrow::Cow<'_, str>]| -> Result<Vec<SocketAddr>> {
            if texts.is_empty() {
                return Err(Error::Usage(
                    "expected the address of at least one node".to_owned(),
                ));
            }
            let address = |t: &std::borrow::Cow<'_, str>| {
                t.parse().map_err(|_| invalid(t, "an IP address and port"))
            };
            texts.iter().map(address).collect()
        };
        match free.as_slice() {
            [command, rest @ ..] if command == "why" => {
                let [root, rest @ ..] = rest else {
                    return Err(Error::Usage("expected a root request id".to_owned()));
                };
                let root = root
                    .parse()
                    .map_err(|_| invalid(root, "a root request id"))?;
                let nodes = nodes(rest)?;
                Ok(Self::Why { root, nodes, json })
            }
            all => Ok(Self::Dump {
                nodes: nodes(all)?,
                json,
            }),
        }
    }
}

/// Runs the command, and returns the exit code of the process.
pub fn run(args: Arguments) -> ExitCode {
    finish(Command::parse(args).and_then(execute))
}

fn execute(command: Command) -> Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(Error::Runtime)?;
    match command {
        Command::Help => print!("{HELP}"),
        Command::Version => println!("comfreybay-dump {}", env!("CARGO_PKG_VERSION")),
        Command::Dump { nodes, json } => return runtime.block_on(dump(nodes, json)),
        Command::Why { root, nodes, json } => return runtime.block_on(why(root, nodes, json)),
    }
    Ok(())
}

/// The address of a node with the document it returned, or the reason why there is none.
pub type Answer = (SocketAddr, Result<Value, String>);

/// Requests `path` from all nodes at once; the answers are in the order of `nodes`.
async fn query(nodes: Vec<SocketAddr>, path: String) -> Vec<Answer> {
    let mut tasks = JoinSet::new();
    for (n, node) in nodes.iter().copied().enumerate() {
        let path = path.clone();
        tasks.spawn(async move { (n, node, fetch_document(node, &path).await) });
    }
    let mut answers = tasks.join_all().await;
    answers.sort_by_key(|(n, ..)| *n);
    answers
        .into_iter()
        .map(|(_, node, answer)| (node, answer))
        .collect()
}

/// The error for a node that has no events of a request.
fn not_found() -> String {
    status_error(StatusCode::NOT_FOUND)
}

fn status_error(status: StatusCode) -> String {
    format!("answered {status}")
}

async fn fetch_document(node: SocketAddr, path: &str) -> Result<Value, String> {
    let (status, body) = get(node, path, Limits::DUMP)
        .await
        .map_err(|e| e.to_string())?;
    if status != StatusCode::OK {
        return Err(status_error(status));
    }
    serde_json::from_slice(&body).map_err(|e| format!("could not decode the answer: {e}"))
}

async fn dump(nodes: Vec<SocketAddr>, json: bool) -> Result<()> {
    let answers = query(nodes, "/dump".to_owned()).await;
    match json {
        true => println!("{:#}", documents(&answers)),
        false => print!("{}", dumps(&answers)),
    }
    match answers.iter().all(|(_, answer)| answer.is_ok()) {
        true => Ok(()),
        false => Err(Error::Faults),
    }
}

async fn why(root: RootId, nodes: Vec<SocketAddr>, json: bool) -> Result<()> {
    let answers = query(nodes.clone(), format!("/why/{root}")).await;
    let dumps = query(nodes, "/dump".to_owned()).await;
    let mut traces = vec![];
    let mut is_found = false;
    for ((node, answer), (_, dump)) in answers.iter().zip(&dumps) {
        let events = match answer {
            Ok(document) => serde_json::from_value::<Vec<Event>>(document.clone())
                .map_err(|e| format!("could not decode the answer: {e}")),
            Err(error) if *error == not_found() => Ok(vec![]),
            Err(error) => Err(error.clone()),
        };
        is_found |= events.as_ref().is_ok_and(|e| !e.is_empty());
        traces.push((*node, dump.as_ref().ok().cloned(), events));
    }
    match json {
        true => println!("{:#}", documents(&answers)),
        false => print!("{}", events(&traces)),
    }
    match is_found {
        true => Ok(()),
        false => Err(Error::Request { root }),
    }
}

/// The answers of all nodes as one JSON list.
fn documents(answers: &[Answer]) -> Value {
    let document = |(node, answer): &Answer| match answer {
        Ok(document) => json!({"node": node, "answer": document}),
        Err(error) => json!({"node": node, "error": error}),
    };
    answers.iter().map(document).collect()
}
