//! The connections of all nodes to the store go silent; the configuration changes later.

use std::{path::Path, thread, time::Instant};

use crate::{
    LAYOUT,
    fleet::{CONFIG_S, Fleet, Result, STABLE_WINDOW_S, route},
    record::{Record, seconds},
};

const ROUNDS: usize = 4;
/// Pause between two requests of clients, over the whole fleet.
const PAUSE_S: f64 = 0.5;

pub fn run(node: &Path, record: &Record, trouble: bool) -> Result<usize> {
    let routes = |service: &str| {
        let moved = route("r-browse", "/browse/", "idempotent", service, 2);
        let steady = route("r-place", "/place/", "non_idempotent", "encomendas", 2);
        format!("{moved},{steady}")
    };
    let mut sent = 0;
    let mut now = "catalogo";
    let mut fleet = Fleet::start(node, record, &LAYOUT, &routes(now))?;
    let mut broken = 0;
    for round in 1..=ROUNDS {
        sent = send_until(&fleet, record, sent, Instant::now() + seconds(5.0));
        // All nodes have the configuration.
        if trouble {
            record.line("trouble  open connections to the store go silent; new ones work");
            fleet.store.silence();
        }
        let silent_at = Instant::now();
        // From here on, all machines are in touch again.
        sent = send_until(
            &fleet,
            record,
            sent,
            silent_at + seconds(STABLE_WINDOW_S + 0.5),
        );
        let old = now;
        now = if old == "catalogo" {
            "oficina"
        } else {
            "catalogo"
        };
        let (version, acked) = fleet.configure(&routes(now));
        sent = send_until(&fleet, record, sent, acked + seconds(CONFIG_S + 0.2));
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

/// Sends requests of clients of all machines in turn, `PAUSE_S` apart, until a moment. `sent` is the
/// number sent before; returns the new one.
fn send_until(fleet: &Fleet, record: &Record, mut sent: usize, until: Instant) -> usize {
    loop {
        let left = until.saturating_duration_since(Instant::now());
        thread::sleep(left.min(seconds(PAUSE_S)));
        if left <= seconds(PAUSE_S) {
            return sent;
        }
        // A step that visits all machines, neighbours far apart.
        let machine = &fleet.machines[sent * 5 % fleet.machines.len()];
        machine.send(record, "POST", "/place/order", b"order", seconds(2.0));
        sent += 1;
    }
}
