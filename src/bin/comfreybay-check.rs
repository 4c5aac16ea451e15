//! Checks a tree of objects and writes the publication.

use std::process::ExitCode;

fn main() -> ExitCode {
    comfreybay::commands::check::run(pico_args::Arguments::from_env())
}
