//! Machines that are stopped one after the other, and orders that last longer than those before.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    path::Path,
    process::ExitCode,
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    world::{self, Deployment, HOST, Record, has_trouble},
};

/// The servers' machines, and the one of the callers.
const MACHINES: [(&str, &str); 3] = [
    ("encomendas", "sul-a"),
    ("encomendas", "sul-b"),
    ("catalogo", "sul-c"),
];
/// Number of the machine of the callers.
const CALLERS: u8 = 3;
const USUAL_MS: u64 = 290;
const LONG_MS: u64 = 4_000;
/// Time limit of an order, and timeout of its route.
const LIMIT_MS: u64 = 6_000;
/// Orders that last long.
const ORDERS: usize = 10;
/// Time between the SIGTERMs.
const GAP: Duration = Duration::from_millis(1_100);
/// When the long orders are sent, from the first SIGTERM on.
const SENT: Duration = Duration::from_millis(2_900);
const GRACE: Duration = Duration::from_secs(6);
/// Part of the grace period in which work that is cut is not counted.
const LAST: Duration = Duration::from_secs(1);

pub fn run(path: &Path) -> ExitCode {
    let mut deployment = Deployment::start_all(&MACHINES, 260);
    let mut record = Record::new();
    let order = world::route("order", "non_idempotent", "encomendas", 6.0, 1);
    let text = world::config(5, &[order], &["catalogo", "encomendas"]);
    deployment.store.put("op/config", Some(&text));
    thread::sleep(Duration::from_secs(2));
    let at = deployment.outbound(CALLERS);
    record.now("usual orders are sent for 6 s");
    let first_stop = Instant::now() + Duration::from_secs(5);
    let usual = thread::spawn(move || {
        let mut clients = Vec::new();
        let until = first_stop + SENT - Duration::from_millis(200);
        for number in 0.. {
            if Instant::now() >= until {
                break;
            }
            let id = format!("a{number:015x}");
            clients.push(thread::spawn(move || exchange(at, &id, USUAL_MS)));
            thread::sleep(Duration::from_millis(40));
        }
        let answers = clients.into_iter().filter_map(|c| c.join().ok());
        answers.filter(|(status, _)| *status == Some(200)).count()
    });
    wait_until(first_stop);
    let mut stops = Vec::new();
    let mut sent = None;
    for number in 1..=MACHINES.len() {
        if has_trouble() {
            deployment.nodes[number - 1].stop();
            record.now(&format!("SIGTERM of the node of machine {number}"));
        }
        stops.push(Instant::now());
        if number < MACHINES.len() {
            thread::sleep(GAP);
        }
    }
    wait_until(first_stop + SENT);
    let clients: Vec<_> = (0..ORDERS)
        .map(|number| {
            let id = format!("b{number:015x}");
            sent.get_or_insert_with(Instant::now);
            thread::spawn(move || (id.clone(), exchange(at, &id, LONG_MS)))
        })
        .collect();
    record.now(&format!("{ORDERS} orders are sent that last {LONG_MS} ms"));
    let ends = clients
        .into_iter()
        .map(|c| c.join().expect("the client ends"));
    let ends: Vec<_> = ends.collect();
    // An upstream notices within some ms that its caller has gone.
    thread::sleep(Duration::from_secs(1));
    let mut cut = 0;
    for (id, (status, ended)) in ends {
        let text = format!("order {id} ends for its client: {status:?}");
        record.add(ended, &text);
        for upstream in &deployment.upstreams {
            for arrival in upstream.arrivals().iter().filter(|a| a.ran && a.id == id) {
                record.add(arrival.at, &format!("run by {}: order {id}", upstream.id));
                let work_ended = arrival.ended.unwrap_or(ended);
                let text = match arrival.is_cut {
                    true => format!("{}: order {id} is cut at work", upstream.id),
                    false => format!("{}: order {id} is finished", upstream.id),
                };
                record.add(work_ended, &text);
                let last = stops[usize::from(CALLERS) - 1] + GRACE - LAST;
                if arrival.is_cut && status != Some(200) && work_ended < last {
                    cut += 1;
                }
            }
        }
    }
    let served = usual.join().expect("the clients end");
    record.now(&format!("{served} usual orders were served"));
    record.now(&format!(
        "{cut} of {ORDERS} orders were cut at work before the last sixth of the grace period of the machine that took them"
    ));
    for node in &mut deployment.nodes {
        node.kill();
    }
    record.write(path);
    ExitCode::from(u8::from(cut > 0))
}

fn wait_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Sends an order, and returns the status of the answer and when it ended.
fn exchange(at: SocketAddr, id: &str, work_ms: u64) -> (Option<u16>, Instant) {
    let exchange = || -> Option<u16> {
        let mut conn = TcpStream::connect(at).ok()?;
        let limit = Duration::from_millis(LIMIT_MS + 1_000);
        conn.set_read_timeout(Some(limit)).ok()?;
        let text = format!(
            "POST /order/{id}-{work_ms} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {LIMIT_MS}\r\nContent-Length: 0\r\n\r\n"
        );
        conn.write_all(text.as_bytes()).ok()?;
        Some(http::read_head(&mut conn, Vec::new()).ok()??.status())
    };
    (exchange(), Instant::now())
}
