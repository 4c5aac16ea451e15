//! A request crashes each server that begins to run it, and comes again at other machines.

use std::{path::Path, thread, time::Instant};

use crate::{
    LAYOUT,
    fleet::{Fleet, Result, STABLE_WINDOW_S, route},
    record::{Record, seconds},
    server::{CRASHING, DOWN},
};

/// Times that the request comes again.
const TIMES: usize = 22;
/// Retries that may reach servers later than the window after the third crash.
const ALLOWED: usize = 3;
const CRASHES: usize = 3;

pub fn run(node: &Path, record: &Record, trouble: bool) -> Result<usize> {
    let routes = route("r-place", "/place/", "non_idempotent", "catalogo", 2);
    let mut fleet = Fleet::start(node, record, &LAYOUT, &routes)?;
    thread::sleep(seconds(STABLE_WINDOW_S + 1.0));
    let path = match trouble {
        true => format!("/place{CRASHING}"),
        false => "/place/calm".to_owned(),
    };
    // The same caller, as all machines that it comes from belong to one service.
    let callers: Vec<_> = fleet
        .machines
        .iter()
        .filter(|m| m.server.service == "encomendas")
        .collect();
    let mut crashes = Vec::new();
    let mut late = 0;
    for time in 0..TIMES {
        let sent = Instant::now();
        let answer =
            callers[time % callers.len()].send(record, "POST", &path, b"order 17", seconds(2.0));
        if let Some(run) = record.run_of(&answer.attempt).filter(|_| trouble) {
            crashes.push(run.at);
            let third = crashes.get(CRASHES - 1);
            if third.is_some_and(|third| sent > *third + seconds(STABLE_WINDOW_S)) {
                late += 1;
                record.line(&format!(
                    "late     {} reached {} after the window; {late} so far",
                    answer.attempt, run.server
                ));
            }
        }
        // The server is back and known to all nodes.
        thread::sleep(DOWN + seconds(1.5));
    }
    if !fleet.is_alive() {
        return Err("a node has ended".to_owned());
    }
    record.line(&format!("{} crashes, {late} of them late", crashes.len()));
    Ok(if late > ALLOWED { late } else { 0 })
}
