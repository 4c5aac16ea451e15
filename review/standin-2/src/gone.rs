//! Clients that send requests ahead with long heads, and leave before their time limit.

use std::{
    io::Write,
    net::TcpStream,
    path::Path,
    process::ExitCode,
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    world::{Deployment, HOST, Record, has_trouble},
};

const CLIENTS: usize = 40;
/// Clients that leave; a share of 0.3, as the pages have it at most.
const LEAVING: usize = 12;
/// Requests of each of these that are sent before the first is answered. The others send one.
const REQUESTS: usize = 8;
/// Bytes of the longest field; 16 KB are allowed for a head.
const FIELD_BYTES: usize = 12_000;
/// Time that an upstream works on a request. The time limit of the requests is 5 s.
const WORK_MS: u64 = 4_000;
/// Time for which a client stays.
const STAY: Duration = Duration::from_millis(500);
/// Time within which work for a client that has left is to end.
const SLACK: Duration = Duration::from_millis(500);
/// Requests that may reach an upstream later than that: "a few".
const ALLOWED: usize = 3;

pub fn run(path: &Path) -> ExitCode {
    let deployment = Deployment::start("preview", 2, 160);
    let mut record = Record::new();
    let at = deployment.outbound(1);
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let mut conn = TcpStream::connect(at).expect("the node accepts connections");
        let count = if client < LEAVING { REQUESTS } else { 1 };
        let text: String = (0..count).map(|n| request(client, n)).collect();
        conn.write_all(text.as_bytes()).expect("the node reads");
        record.now(&format!("client {client} sends {count} requests"));
        clients.push((client, count, conn));
    }
    thread::sleep(STAY);
    let left = has_trouble().then(Instant::now);
    if left.is_some() {
        clients.drain(..LEAVING);
        record.now(&format!("{LEAVING} clients close their connections"));
    }
    read_all(clients, &mut record);
    thread::sleep(Duration::from_millis(WORK_MS) * 2 + SLACK);
    let (mut long, mut working, mut late) = (0, 0, 0);
    for upstream in &deployment.upstreams {
        for arrival in upstream.arrivals().iter().filter(|a| a.ran) {
            let id = &arrival.id;
            record.add(arrival.at, &format!("run by {}: request {id}", upstream.id));
            let ended = arrival.ended.unwrap_or_else(Instant::now);
            let end = if arrival.is_cut {
                "is stopped"
            } else {
                "is finished"
            };
            record.add(
                ended,
                &format!("{}: work on request {id} {end}", upstream.id),
            );
            let client = usize::from_str_radix(&id[..4], 16).unwrap_or(usize::MAX);
            let Some(left) = left.filter(|_| client < LEAVING) else {
                continue;
            };
            late += usize::from(arrival.at > left + SLACK);
            let would_end = arrival.at + Duration::from_millis(WORK_MS);
            if arrival.at <= left && would_end > left + SLACK {
                long += 1;
                working += usize::from(ended > left + SLACK);
            }
        }
    }
    record.now(&format!(
        "{SLACK:?} after their client had left, upstreams were at work on {working} of {long} requests, a quarter is allowed"
    ));
    record.now(&format!(
        "{late} requests reached an upstream still later, a few ({ALLOWED}) are allowed"
    ));
    record.write(path);
    ExitCode::from(u8::from(working * 4 > long || late > ALLOWED))
}

/// Reads the answers of clients that stay.
fn read_all(clients: Vec<(usize, usize, TcpStream)>, record: &mut Record) {
    for (client, count, mut conn) in clients {
        let _ = conn.set_read_timeout(Some(Duration::from_secs(12)));
        let mut rest = Vec::new();
        for number in 0..count {
            let Ok(Some(head)) = http::read_head(&mut conn, rest) else {
                record.now(&format!("client {client}: no answer to request {number}"));
                break;
            };
            let (status, length) = (head.status(), head.length());
            let Ok((_, behind)) = http::read_body(&mut conn, head.rest, length) else {
                record.now(&format!("client {client}: answer {number} breaks off"));
                break;
            };
            rest = behind;
            record.now(&format!(
                "client {client}: request {number} is answered with {status}"
            ));
        }
    }
}

fn request(client: usize, number: usize) -> String {
    format!(
        "GET /read/{number}-{WORK_MS} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {client:04x}{number:012x}\r\nX-Deadline-Ms: 5000\r\nCookie: {}\r\n\r\n",
        "a".repeat(FIELD_BYTES)
    )
}
