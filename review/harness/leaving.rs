//! One machine is partitioned from the store; a server beside another machine drains.

use std::{path::Path, thread, time::Instant};

use crate::{
    LAYOUT,
    fleet::{DRAIN_S, Fleet, Result, STABLE_WINDOW_S, route},
    record::{Record, seconds, wait_until},
};

const ROUNDS: usize = 5;
const ZONE: &str = "sul-a";
/// Time for which the machine is cut off.
const CUT_S: f64 = 5.0;

pub fn run(node: &Path, record: &Record, trouble: bool) -> Result<usize> {
    let routes: Vec<_> = ["catalogo", "encomendas", "oficina", "madeira"]
        .iter()
        .map(|service| {
            route(
                &format!("r-{service}"),
                &format!("/{service}/"),
                "non_idempotent",
                service,
                2,
            )
        })
        .collect();
    let mut fleet = Fleet::start(node, record, &LAYOUT, &routes.join(","))?;
    thread::sleep(seconds(3.0));
    let (follower, readers) = find_follower(&fleet)?;
    let mut broken = 0;
    for round in 1..=ROUNDS {
        thread::sleep(seconds(STABLE_WINDOW_S + 2.0));
        let machine = &fleet.machines[follower];
        let reader = &fleet.machines[readers[round % readers.len()]];
        let server = &machine.server;
        if trouble {
            record.line(&format!(
                "trouble  {} is partitioned from the store",
                reader.ip
            ));
            fleet.store.cut(reader.ip);
        }
        let cut_at = Instant::now();
        wait_until(cut_at + seconds(0.3));
        let id = server.id();
        let acked = server.report("draining");
        record.line(&format!(
            "server   {id} of {} on {} reports draining; acknowledged",
            server.service, machine.ip
        ));
        wait_until(acked + seconds(DRAIN_S + 0.2));
        for number in 0..6 {
            let after = acked.elapsed();
            let path = format!("/{}/{round}-{number}", server.service);
            let answer = machine.send(record, "POST", &path, b"order", seconds(2.0));
            let Some(run) = record
                .run_of(&answer.attempt)
                .filter(|run| run.server == id)
            else {
                continue;
            };
            broken += 1;
            record.line(&format!(
                "broken   {} on {}, sent {:.2} s after the ack, reached {} {:.2} s after it",
                answer.attempt,
                machine.ip,
                after.as_secs_f64(),
                run.server,
                (run.at - acked).as_secs_f64(),
            ));
        }
        wait_until(cut_at + seconds(CUT_S));
        fleet.store.heal();
        server.replace().map_err(|e| e.to_string())?;
        if !fleet.is_alive() {
            return Err("a node has ended".to_owned());
        }
    }
    Ok(broken)
}

/// A node that gets the store's changes from another one of its zone, and the nodes that it may get
/// them from. Before any request is sent, it has connections to these only.
fn find_follower(fleet: &Fleet) -> Result<(usize, Vec<usize>)> {
    let all = &fleet.machines;
    let in_zone = |index: &usize| all[*index].zone == ZONE;
    let peers = |index: usize| -> Vec<usize> {
        let peers = all[index].peers(all);
        let found = peers
            .iter()
            .filter_map(|p| all.iter().position(|m| m.ip == p.ip));
        found.collect()
    };
    let found = (0..all.len())
        .filter(in_zone)
        .map(|index| (index, peers(index)));
    let mut found = found.filter(|(_, peers)| !peers.is_empty());
    found
        .next()
        .ok_or_else(|| "no node gets the store's changes from another one".to_owned())
}
