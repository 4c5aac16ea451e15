//! Runs the node beside one backend server.

use std::process::ExitCode;

fn main() -> ExitCode {
    comfreybay::commands::node::run(pico_args::Arguments::from_env())
}
