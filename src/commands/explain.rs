//! `comfreybay-explain`: shows where a request would go now, and why, without sending it.

use std::{net::SocketAddr, process::ExitCode};

use bytes::Bytes;
use http::StatusCode;
use pico_args::Arguments;
use tokio::runtime::Builder;

use super::{
    Error, Result,
    dump::fetch::{Limits, get},
    finish,
};
use crate::{
    protocol::explain::{ANSWER_MAX_BYTES, QUESTION_MAX_BYTES, write_question},
    state::mesh::explain::{Explanation, QuestionText, Unknown},
};

mod show;

const HELP: &str = "\
Shows where a request would go now, and why, without sending it.

Usage:
  comfreybay-explain ADDRESS --method METHOD --host HOST --path PATH [--organisation NAME]
                     [--time-left-ms N] [--json]

ADDRESS is the address of a node for metrics and the dump.

Options:
  --method METHOD      method of the request, such as GET
  --host HOST          host of the request
  --path PATH          path of the request, without a query
  --organisation NAME  name of the organisation that sends it; never a key
  --time-left-ms N     time left for it, in ms
  --json               prints the answer of the node as JSON
  --help               prints this text
  --version            prints the version

Exit codes: 0 when the request was explained (also one that would be refused), 1 when the node gave no
answer or knows no configuration, no route or no such organisation, 2 for a wrong command line.
";

/// Limits of the answer, which the node gives from memory.
const LIMITS: Limits = Limits {
    timeout_ms: 2_000,
    body_bytes: ANSWER_MAX_BYTES,
};
/// Characters of an unusable answer that an error shows.
const SHOWN_CHARS: usize = 200;

/// The command to run, as parsed from the command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Prints the help text.
    Help,
    /// Prints the version.
    Version,
    /// Explains a request.
    Explain {
        /// Address of the node for metrics and the dump.
        node: SocketAddr,
        /// Path and query of the question.
        question: String,
        /// Whether the output is JSON.
        json: bool,
    },
}

impl Command {
    /// Parses the command line.
    ///
    /// # Errors
    /// An option or argument is unknown, missing or malformed. The text of an argument that is not
    /// expected is left out, as it may be a key.
    pub fn parse(mut args: Arguments) -> Result<Self> {
        if args.contains("--help") {
            return Ok(Self::Help);
        }
        if args.contains("--version") {
            return Ok(Self::Version);
        }
        let json = args.contains("--json");
        let question = QuestionText {
            method: args.opt_value_from_str("--method")?,
            host: args.opt_value_from_str("--host")?,
            path: args.opt_value_from_str("--path")?,
            organisation: args.opt_value_from_str("--organisation")?,
            time_left_ms: args.opt_value_from_str("--time-left-ms")?,
        };
        let expected = "one address of a node, as IP address and port, and only known options";
        let usage = |expected: &str| Error::Usage(format!("expected {expected}"));
        let [node] = args.finish().try_into().map_err(|_| usage(expected))?;
        let node = node.to_str().and_then(|text| text.parse().ok());
        let node = node.ok_or_else(|| usage(expected))?;
        question.parse().map_err(|e| Error::Usage(e.to_string()))?;
        let question = write_question(&question);
        if question.len() > QUESTION_MAX_BYTES {
            let expected = format!("a question of at most {QUESTION_MAX_BYTES} bytes");
            return Err(usage(&expected));
        }
        Ok(Self::Explain {
            node,
            question,
            json,
        })
    }
}

/// Runs the command, and returns the exit code of the process.
pub fn run(args: Arguments) -> ExitCode {
    finish(Command::parse(args).and_then(execute))
}

fn execute(command: Command) -> Result<()> {
    let (node, question, json) = match command {
        Command::Help => {
            print!("{HELP}");
            return Ok(());
        }
        Command::Version => {
            println!("comfreybay-explain {}", env!("CARGO_PKG_VERSION"));
            return Ok(());
        }
        Command::Explain {
            node,
            question,
            json,
        } => (node, question, json),
    };
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(Error::Runtime)?;
    let explain = |reason| Error::Explain { node, reason };
    let answer = runtime.block_on(get(node, &question, LIMITS));
    let (status, body) = answer.map_err(|e| explain(e.to_string()))?;
    let answer = read(status, &body).map_err(explain)?;
    if json {
        let text = serde_json::to_string_pretty(&answer);
        println!("{}", text.map_err(|e| explain(e.to_string()))?);
    }
    if let Some(unknown) = answer.unknown {
        let what = what(unknown);
        return Err(Error::Unknown { node, what });
    }
    if !json {
        print!("{}", show::text(&answer));
    }
    Ok(())
}

/// Reads the answer of a node. One without an explanation states what is not known.
fn read(status: StatusCode, body: &Bytes) -> Result<Explanation, String> {
    if status != StatusCode::OK {
        let text = String::from_utf8_lossy(body);
        let shown: String = text.trim().chars().take(SHOWN_CHARS).collect();
        return Err(format!("answered {status}: {shown}"));
    }
    let answer: Explanation =
        serde_json::from_slice(body).map_err(|e| format!("could not decode the answer: {e}"))?;
    match answer.unknown.is_some() == answer.request.is_some() {
        true => {
            Err("the answer has neither an explanation nor a reason why not, or both".to_owned())
        }
        false => Ok(answer),
    }
}

fn what(unknown: Unknown) -> &'static str {
    match unknown {
        Unknown::NoConfiguration => "there is no configuration yet",
        Unknown::Route => "no route has this host and path",
        Unknown::Organisation => "no organisation has this name",
    }
}
