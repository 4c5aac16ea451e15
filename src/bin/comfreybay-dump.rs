//! Shows the state of nodes, and what happened to one request.

use std::process::ExitCode;

fn main() -> ExitCode {
    comfreybay::commands::dump::run(pico_args::Arguments::from_env())
}
