//! The connections of all nodes to the store go silent; the configuration changes later.

use std::{path::Path, thread, time::Instant};

use crate::{
    LAYOUT,
    fleet::{CONFIG_S, Fleet, Result, STABLE_WINDOW_S, route},
    record::{Record, seconds, wait_until},
};

const ROUNDS: usize = 4;

pub fn run(node: &Path, record: &Record, trouble: bool) -> Result<usize> {
    let routes = |service: &str| route("r-browse", "/browse/", "idempotent", service, 2);
    let mut now = "catalogo";
    let mut fleet = Fleet::start(node, record, &LAYOUT, &routes(now))?;
    let mut broken = 0;
    for round in 1..=ROUNDS {
        thread::sleep(seconds(5.0));
        // All nodes have the configuration, and the fleet is quiet.
        if trouble {
            record.line("trouble  open connections to the store go silent; new ones work");
            fleet.store.silence();
        }
        let silent_at = Instant::now();
        // From here on, all machines are in touch again.
        wait_until(silent_at + seconds(STABLE_WINDOW_S + 0.5));
        let old = now;
        now = if old == "catalogo" {
            "oficina"
        } else {
            "catalogo"
        };
        let (version, acked) = fleet.configure(&routes(now));
        wait_until(acked + seconds(CONFIG_S + 0.2));
        let late: Vec<_> = thread::scope(|scope| {
            let machines = fleet.machines.iter();
            let sent = machines.map(|m| {
                scope.spawn(|| {
                    let after = acked.elapsed();
                    let path = format!("/browse/{round}");
                    let answer = m.send(record, "GET", &path, b"", seconds(2.0));
                    (m.ip, after, answer)
                })
            });
            let sent: Vec<_> = sent.collect();
            sent.into_iter()
                .map(|s| s.join().expect("no panic"))
                .collect()
        });
        if !fleet.is_alive() {
            return Err("a node has ended".to_owned());
        }
        for (ip, after, answer) in late {
            let Some(run) = record
                .run_of(&answer.attempt)
                .filter(|run| run.service == old)
            else {
                continue;
            };
            broken += 1;
            record.line(&format!(
                "broken   {} on {ip}, sent {:.2} s after the ack of r{version}, was run by {} of {old}; only the version before allows this",
                answer.attempt,
                after.as_secs_f64(),
                run.server,
            ));
        }
    }
    Ok(broken)
}
