//! Runs load and experiments on nodes with stand-ins for the platform.

use std::process::ExitCode;

use comfreybay::commands::bench;
use pico_args::Arguments;

fn main() -> ExitCode {
    bench::run(Arguments::from_env())
}
