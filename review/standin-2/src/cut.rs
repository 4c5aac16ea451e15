//! Clients that send requests ahead, some with many short fields, and read slowly.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::Write,
    net::{SocketAddr, TcpStream},
    path::Path,
    process::ExitCode,
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    world::{Deployment, HOST, Record, has_trouble},
};

const CLIENTS: usize = 6;
const REQUESTS: usize = 160;
/// Fields of every other request besides the usual ones; 1.3 KB, of 16 KB that are allowed.
const MANY_FIELDS: usize = 120;
const ANSWER_BYTES: usize = 60_000;
/// Time for which a slow client reads nothing. The time limit of its requests is 5 s.
const PAUSE: Duration = Duration::from_millis(1_500);
/// Requests that may end without an answer under the rule.
const ALLOWED: usize = 3;

/// What a client saw.
struct Seen {
    /// Status and time of the whole answers, in the order of the requests.
    answers: Vec<(u16, Instant)>,
    /// How the connection ended, unless all requests were answered.
    end: Option<(String, Instant)>,
}

pub fn run(path: &Path) -> ExitCode {
    let deployment = Deployment::start("preview", 2, 160);
    let mut record = Record::new();
    let (at, started) = (deployment.outbound(1), Instant::now());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| thread::spawn(move || exchange(at, client)))
        .collect();
    let mut seen = Vec::new();
    for client in clients {
        seen.push(client.join().expect("the client ends"));
    }
    // What the upstreams still work on ends.
    thread::sleep(Duration::from_secs(1));
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for upstream in &deployment.upstreams {
        for arrival in upstream.arrivals().iter().filter(|a| a.ran) {
            *runs.entry(arrival.id.clone()).or_default() += 1;
            let text = format!("run by {}: request {}", upstream.id, arrival.id);
            record.add(arrival.at, &text);
        }
    }
    let mut lost = BTreeSet::new();
    for (client, seen) in seen.iter().enumerate() {
        record.add(
            started,
            &format!("client {client} sends {REQUESTS} requests"),
        );
        for (n, (status, at)) in seen.answers.iter().enumerate() {
            record.add(
                *at,
                &format!("answered: request {} with {status}", id(client, n)),
            );
        }
        let Some((end, at)) = &seen.end else {
            continue;
        };
        record.add(*at, &format!("connection of client {client} ends: {end}"));
        let unanswered = seen.answers.len()..REQUESTS;
        lost.extend(
            unanswered
                .map(|n| id(client, n))
                .filter(|id| runs.contains_key(id)),
        );
    }
    let cut = seen.iter().filter(|s| s.end.is_some()).count();
    record.now(&format!(
        "{cut} of {CLIENTS} connections were closed by the node"
    ));
    record.now(&format!(
        "{} requests were passed on to an upstream and not answered, {ALLOWED} are allowed",
        lost.len()
    ));
    record.write(path);
    ExitCode::from(u8::from(lost.len() > ALLOWED))
}

fn id(client: usize, number: usize) -> String {
    format!("{client:04x}{number:012x}")
}

fn request(client: usize, number: usize) -> String {
    let fields = if number % 2 == 1 { MANY_FIELDS } else { 0 };
    let fields: String = (0..fields).map(|n| format!("x-f{n}: a\r\n")).collect();
    format!(
        "GET /read/{number}-10+{ANSWER_BYTES} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: 5000\r\n{fields}\r\n",
        id(client, number)
    )
}

/// Sends all requests of a client, and reads the answers after a pause, or as they come.
fn exchange(at: SocketAddr, client: usize) -> Seen {
    let mut conn = TcpStream::connect(at).expect("the node accepts connections");
    let _ = conn.set_read_timeout(Some(Duration::from_secs(10)));
    let text: String = (0..REQUESTS).map(|n| request(client, n)).collect();
    let mut writer = conn.try_clone().expect("the connection has a clone");
    let writing = thread::spawn(move || writer.write_all(text.as_bytes()).is_ok());
    if has_trouble() {
        thread::sleep(PAUSE);
    }
    let (mut rest, mut answers) = (Vec::new(), Vec::new());
    let end = loop {
        if answers.len() == REQUESTS {
            break None;
        }
        let head = match http::read_head(&mut conn, rest) {
            Ok(Some(head)) => head,
            Ok(None) => break Some("closed before an answer".to_owned()),
            Err(error) => break Some(format!("before an answer: {error}")),
        };
        let (status, length) = (head.status(), head.length());
        match http::read_body(&mut conn, head.rest, length) {
            Ok((_, behind)) => rest = behind,
            Err(error) => break Some(format!("in the body of an answer {status}: {error}")),
        }
        answers.push((status, Instant::now()));
    };
    let _ = conn.shutdown(std::net::Shutdown::Both);
    let _ = writing.join();
    Seen {
        answers,
        end: end.map(|end| (end, Instant::now())),
    }
}
