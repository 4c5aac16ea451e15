//! `comfreybay-dump`: shows the state of nodes, and what happened to one request.

use std::{net::SocketAddr, process::ExitCode};

use http::StatusCode;
use pico_args::Arguments;
use serde_json::{Value, json};
use tokio::{runtime::Builder, task::JoinSet};

use super::{Error, Result, finish};
use crate::state::{id::RootId, journal::Event};

mod fetch;
mod show;
mod table;

pub use show::{dumps, events};

use fetch::get;

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

/// What the command line asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Prints the help text.
    Help,
    /// Prints the version.
    Version,
    /// Prints the state of nodes.
    Dump {
        /// Their admin listeners.
        nodes: Vec<SocketAddr>,
        /// Whether JSON is printed.
        json: bool,
    },
    /// Prints what happened to a request.
    Why {
        /// The request.
        root: RootId,
        /// The admin listeners of the nodes to ask.
        nodes: Vec<SocketAddr>,
        /// Whether JSON is printed.
        json: bool,
    },
}

impl Command {
    /// Reads a command line.
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
        let usage = |text: &str, what| Error::Usage(format!("{text:?} is not {what}"));
        let nodes = |texts: &[std::borrow::Cow<'_, str>]| -> Result<Vec<SocketAddr>> {
            if texts.is_empty() {
                return Err(Error::Usage(
                    "expected the address of at least one node".to_owned(),
                ));
            }
            let address = |t: &std::borrow::Cow<'_, str>| {
                t.parse().map_err(|_| usage(t, "an IP address and port"))
            };
            texts.iter().map(address).collect()
        };
        match free.as_slice() {
            [command, rest @ ..] if command == "why" => {
                let [root, rest @ ..] = rest else {
                    return Err(Error::Usage("expected a root request id".to_owned()));
                };
                let root = root.parse().map_err(|_| usage(root, "a root request id"))?;
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

/// Runs the command line.
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

/// The answer of one node: a document, or why there is none.
pub type Answer = (SocketAddr, Result<Value, String>);

async fn ask(nodes: Vec<SocketAddr>, path: String) -> Vec<Answer> {
    let mut tasks = JoinSet::new();
    for (n, node) in nodes.iter().copied().enumerate() {
        let path = path.clone();
        tasks.spawn(async move { (n, node, document(node, &path).await) });
    }
    let mut answers = tasks.join_all().await;
    answers.sort_by_key(|(n, ..)| *n);
    answers
        .into_iter()
        .map(|(_, node, answer)| (node, answer))
        .collect()
}

/// The answer of a node that does not know a request.
fn not_found() -> String {
    refused(StatusCode::NOT_FOUND)
}

fn refused(status: StatusCode) -> String {
    format!("answered {status}")
}

async fn document(node: SocketAddr, path: &str) -> Result<Value, String> {
    let (status, body) = get(node, path).await.map_err(|e| e.to_string())?;
    if status != StatusCode::OK {
        return Err(refused(status));
    }
    serde_json::from_slice(&body).map_err(|e| format!("could not read the answer: {e}"))
}

async fn dump(nodes: Vec<SocketAddr>, json: bool) -> Result<()> {
    let answers = ask(nodes, "/dump".to_owned()).await;
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
    let found = ask(nodes.clone(), format!("/why/{root}")).await;
    let names = ask(nodes, "/dump".to_owned()).await;
    let mut known = vec![];
    let mut any = false;
    for ((node, answer), (_, dump)) in found.iter().zip(&names) {
        let events = match answer {
            Ok(document) => serde_json::from_value::<Vec<Event>>(document.clone())
                .map_err(|e| format!("could not read the answer: {e}")),
            Err(error) if *error == not_found() => Ok(vec![]),
            Err(error) => Err(error.clone()),
        };
        any |= events.as_ref().is_ok_and(|e| !e.is_empty());
        known.push((*node, dump.as_ref().ok().cloned(), events));
    }
    match json {
        true => println!("{:#}", documents(&found)),
        false => print!("{}", events(&known)),
    }
    match any {
        true => Ok(()),
        false => Err(Error::Request { root }),
    }
}

fn documents(answers: &[Answer]) -> Value {
    let document = |(node, answer): &Answer| match answer {
        Ok(document) => json!({"node": node, "answer": document}),
        Err(error) => json!({"node": node, "error": error}),
    };
    answers.iter().map(document).collect()
}
