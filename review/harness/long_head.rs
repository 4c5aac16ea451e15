//! Clients send request heads within the limit of the configuration.

use std::{path::Path, thread};

use crate::{
    LAYOUT,
    fleet::{Fleet, Result, route},
    record::{Record, seconds},
};

const TIMES: usize = 60;
/// Refusals that are allowed: 5 and one in 500.
const ALLOWED: usize = 5;

pub fn run(node: &Path, record: &Record, trouble: bool) -> Result<usize> {
    let routes = route("r-browse", "/browse/", "idempotent", "catalogo", 2);
    let mut fleet = Fleet::start(node, record, &LAYOUT, &routes)?;
    thread::sleep(seconds(4.0));
    let query = "q".repeat(if trouble { 9_000 } else { 7_000 });
    let names: Vec<_> = (0..if trouble { 100 } else { 80 })
        .map(|n| format!("X-Item-{n}"))
        .collect();
    let many: Vec<_> = names.iter().map(|name| (name.as_str(), "1")).collect();
    let mut refused = [0, 0];
    for time in 0..TIMES {
        let machine = &fleet.machines[time % fleet.machines.len()];
        let is_many = time % 2 == 1;
        let answer = match is_many {
            false => machine.send(
                record,
                "GET",
                &format!("/browse/{time}?{query}"),
                b"",
                seconds(2.0),
            ),
            true => machine.send_with(
                record,
                "GET",
                &format!("/browse/{time}"),
                &many,
                b"",
                seconds(2.0),
            ),
        };
        let is_own = record.run_of(&answer.attempt).is_none();
        if (300..500).contains(&answer.status)
            && is_own
            && ![408, 421, 429].contains(&answer.status)
        {
            refused[usize::from(is_many)] += 1;
        }
    }
    if !fleet.is_alive() {
        return Err("a node has ended".to_owned());
    }
    record.line(&format!(
        "refused: {} with a long target, {} with many headers",
        refused[0], refused[1]
    ));
    let all = refused[0] + refused[1];
    Ok(if all > ALLOWED + TIMES / 500 { all } else { 0 })
}
