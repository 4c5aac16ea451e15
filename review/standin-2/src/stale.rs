//! A node that gets the changes of the store from nodes which the store does not answer any more.

use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpStream},
    path::Path,
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    world::{self, Deployment, HOST, Record, has_trouble},
};

const OLD: &str = "bookings";
const NEW: &str = "certify";
/// Service and zone of each machine, as in the deployment; two services are enough for the case.
const MACHINES: [(&str, &str); 13] = [
    (OLD, "kv-a"),
    (OLD, "kv-a"),
    (NEW, "kv-a"),
    (NEW, "kv-a"),
    (NEW, "kv-a"),
    (OLD, "kv-b"),
    (OLD, "kv-b"),
    (NEW, "kv-b"),
    (NEW, "kv-b"),
    (OLD, "kv-c"),
    (OLD, "kv-c"),
    (NEW, "kv-c"),
    (NEW, "kv-c"),
];
/// Machines of the first zone.
const ZONE: usize = 5;
/// Time for which the calls to the store are counted, to find the node that makes none.
const COUNT: Duration = Duration::from_secs(8);
/// Calls in that time by a node that asks the store often. Two nodes of the fleet do; if both are among
/// those that the store does not answer, they notice it and the others of the zone learn it from them.
const FREQUENT: u32 = 8;
/// Times that addresses are drawn, on which it depends which nodes these are.
const DRAWS: usize = 3;
/// Time within which a configuration has to be in effect (`config_s`).
const BOUND: Duration = Duration::from_secs(2);
/// The same while the core is not stable (`config_s` and `max_stretch_s`). The script judges by this
/// one, as it may be disputed whether the store that serves all others is stable.
const OUTER_BOUND: Duration = Duration::from_secs(7);
/// Time for which the store does not answer some nodes.
const SILENCE: Duration = Duration::from_secs(9);

/// A request as its client saw it.
struct Seen {
    id: String,
    sent: Instant,
    status: u16,
}

pub fn run(path: &Path) -> ExitCode {
    let mut record = Record::new();
    let mut found = None;
    for _ in 0..DRAWS {
        let deployment = Deployment::start_all(&MACHINES, 260);
        let made = count_calls(&deployment);
        record.now(&format!(
            "calls to the store by the nodes of the zone: {made:?}"
        ));
        let follower = made.iter().position(|made| *made == 0);
        let frequent = made.iter().filter(|made| **made >= FREQUENT).count();
        found = follower.map(|node| (deployment, node));
        if found.is_some() && frequent < 2 {
            break;
        }
        record.now("other addresses are drawn");
    }
    let Some((deployment, node)) = found else {
        record.now("each node of the zone reads the store itself");
        record.write(path);
        return ExitCode::from(2);
    };
    record.now(&format!(
        "node {} gets the changes from other nodes",
        node + 1
    ));
    let goes_on = Arc::new(AtomicBool::new(true));
    let clients: Vec<_> = (1..=MACHINES.len() as u8)
        .map(|number| {
            let (at, goes_on) = (deployment.outbound(number), goes_on.clone());
            thread::spawn(move || act(at, number, &goes_on))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    if has_trouble() {
        for other in (0..ZONE).filter(|other| *other != node) {
            let entrance = &deployment.entrances[other];
            entrance.is_silent.store(true, Ordering::SeqCst);
            record.now(&format!("the store answers nothing to node {}", other + 1));
        }
    }
    thread::sleep(Duration::from_millis(500));
    let routes = [world::route("read", "idempotent", NEW, 5.0, 2)];
    let text = world::config(5, &routes, &[OLD, NEW]);
    deployment.store.put("op/config", Some(&text));
    let acked = Instant::now();
    record.now(&format!(
        "version r5 moves the route from {OLD} to {NEW} and is acknowledged"
    ));
    thread::sleep(SILENCE);
    goes_on.store(false, Ordering::SeqCst);
    let mut ran: BTreeMap<String, &str> = BTreeMap::new();
    for (upstream, (service, _)) in deployment.upstreams.iter().zip(MACHINES) {
        for arrival in upstream.arrivals().iter().filter(|a| a.ran) {
            ran.insert(arrival.id.clone(), service);
        }
    }
    let (mut late, mut outer, mut last) = (0, 0, Duration::ZERO);
    for (at, client) in clients.into_iter().enumerate() {
        let seen = client.join().expect("the client ends");
        let old = |seen: &&Seen| ran.get(&seen.id) == Some(&OLD) && seen.sent > acked;
        let longest = seen.iter().filter(old).map(|s| s.sent - acked).max();
        let longest = longest.unwrap_or_default();
        record.now(&format!(
            "node {}: last request run by {OLD} was sent {longest:?} after the acknowledgement",
            at + 1
        ));
        if at != node {
            continue;
        }
        for seen in seen.iter().filter(|seen| seen.sent > acked) {
            let service = ran.get(&seen.id).copied().unwrap_or("no service");
            let (id, status) = (&seen.id, seen.status);
            let text = format!("request {id} is run by {service} and answered with {status}");
            record.add(seen.sent, &text);
        }
        last = longest;
        let later = |bound| {
            seen.iter()
                .filter(old)
                .filter(|s| s.sent > acked + bound)
                .count()
        };
        (late, outer) = (later(BOUND), later(OUTER_BOUND));
    }
    record.now(&format!(
        "node {}: of the requests sent after the acknowledgement, {late} sent later than {BOUND:?} and {outer} sent later than {OUTER_BOUND:?} were run by {OLD}, the last after {last:?}",
        node + 1
    ));
    record.write(path);
    ExitCode::from(u8::from(outer > 0))
}

/// Calls to the store by the nodes of the first zone.
fn count_calls(deployment: &Deployment) -> Vec<u32> {
    let calls = || -> Vec<u32> {
        let entrances = deployment.entrances.iter().take(ZONE);
        entrances.map(|e| e.calls.load(Ordering::SeqCst)).collect()
    };
    thread::sleep(Duration::from_secs(2));
    let before = calls();
    thread::sleep(COUNT);
    let pairs = calls().into_iter().zip(before);
    pairs.map(|(now, before)| now - before).collect()
}

/// Sends a request each 100 ms on one connection.
fn act(at: SocketAddr, client: u8, goes_on: &AtomicBool) -> Vec<Seen> {
    let mut all = Vec::new();
    let mut conn = None;
    for number in 0_u32.. {
        if !goes_on.load(Ordering::SeqCst) {
            break;
        }
        let id = format!("{client:04x}{number:012x}");
        let sent = Instant::now();
        let status = exchange(&mut conn, at, &id).unwrap_or(0);
        if status == 0 {
            conn = None;
        }
        all.push(Seen { id, sent, status });
        thread::sleep(Duration::from_millis(100));
    }
    all
}

fn exchange(conn: &mut Option<TcpStream>, at: SocketAddr, id: &str) -> Option<u16> {
    if conn.is_none() {
        let new = TcpStream::connect(at).ok()?;
        new.set_read_timeout(Some(Duration::from_secs(6))).ok()?;
        *conn = Some(new);
    }
    let conn = conn.as_mut()?;
    let text = format!(
        "GET /read/a-10 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 5000\r\n\r\n"
    );
    conn.write_all(text.as_bytes()).ok()?;
    let head = http::read_head(conn, Vec::new()).ok()??;
    let (status, length) = (head.status(), head.length());
    http::read_body(conn, head.rest, length).ok()?;
    Some(status)
}
