//! Stand-ins of the second review, and the cases that are scripts.

mod cut;
mod gone;
mod http;
mod memory;
mod stale;
mod stops;
mod store;
mod stray;
mod upstream;
mod world;

use std::{env, process::ExitCode};

fn main() -> ExitCode {
    let mut args = env::args().skip(1);
    match (args.next().as_deref(), args.next()) {
        (Some("cut"), Some(record)) => cut::run(record.as_ref()),
        (Some("memory"), Some(record)) => memory::run(record.as_ref()),
        (Some("stale"), Some(record)) => stale::run(record.as_ref()),
        (Some("stops"), Some(record)) => stops::run(record.as_ref()),
        (Some("stray"), Some(record)) => stray::run(record.as_ref()),
        (Some("gone"), Some(record)) => gone::run(record.as_ref()),
        _ => {
            eprintln!("usage: review-standin-2 CASE RECORD");
            ExitCode::from(2)
        }
    }
}
