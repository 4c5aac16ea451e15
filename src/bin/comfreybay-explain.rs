//! Shows where a request would go now, and why, without sending it.

use std::process::ExitCode;

fn main() -> ExitCode {
    comfreybay::commands::explain::run(pico_args::Arguments::from_env())
}
