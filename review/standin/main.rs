//! Cases of the review that run the node processes against stand-ins on loopback.
//!
//! `stand CASE FOLDER` runs a case and writes `record.txt` into the folder. Exit codes: 0 if the
//! rule held, 1 if it was broken, 2 if the case could not run. `TROUBLE=0` leaves the disruption
//! out.

mod clumps;
mod net;
mod node;
mod poison;
mod record;
mod roll;
mod server;
mod slow;
mod store;

use std::{env, path::PathBuf, process::ExitCode};

fn main() -> ExitCode {
    let args: Vec<_> = env::args().skip(1).collect();
    let [case, folder] = args.as_slice() else {
        eprintln!("usage: stand CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let folder = PathBuf::from(folder);
    let result = match case.as_str() {
        "poison" => poison::run(&folder, has_trouble),
        "stop" => clumps::stop(&folder, has_trouble),
        "roll" => roll::run(&folder, has_trouble),
        "slow" => slow::run(&folder, has_trouble),
        "drain" => clumps::drain(&folder, has_trouble),
        other => Err(format!("there is no case {other}").into()),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
