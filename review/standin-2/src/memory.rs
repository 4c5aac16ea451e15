//! A crowd of clients that send requests with very many short fields ahead and read no answers.

use std::{
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
    world::{Deployment, HOST, Record, has_trouble, wait_for},
};

/// Nodes of the deployment.
const NODES: u8 = 8;
/// Nodes with a crowd; the rule is about two of them at least.
const CROWDED: u8 = 2;
const CLIENTS: usize = 400;
/// Ends of a process by which the rule is broken, on each of these nodes.
const ENDS: usize = 3;
/// Memory of the machine, and the larger of the two readings of it in kB.
const MEMORY_MB: u32 = 160;
const MEMORY_KB: u64 = MEMORY_MB as u64 * 1_024;
/// Requests that a client sends behind its first one.
const AHEAD: usize = 10;
/// Fields of these; 13 KB, of 16 KB that are allowed.
const MANY_FIELDS: usize = 1_900;
/// Longest time of a crowd.
const WAVE: Duration = Duration::from_secs(15);
/// Time until the platform starts a process again.
const RESTART: Duration = Duration::from_secs(1);

pub fn run(path: &Path) -> ExitCode {
    let mut deployment = Deployment::start("preview", NODES, MEMORY_MB);
    let mut record = Record::new();
    let mut ends = [0; CROWDED as usize];
    for wave in 1..=ENDS {
        let goes_on = Arc::new(AtomicBool::new(true));
        let mut clients = Vec::new();
        for number in 1..=CROWDED {
            let at = deployment.outbound(number);
            record.now(&format!(
                "wave {wave}: {CLIENTS} clients connect to node {number}"
            ));
            for client in 0..CLIENTS {
                let goes_on = goes_on.clone();
                let builder = thread::Builder::new().stack_size(256 * 1_024);
                let client = builder.spawn(move || act(at, wave, client, &goes_on));
                clients.push(client.expect("a thread can be started"));
            }
        }
        let (until, mut ended) = (Instant::now() + WAVE, [false; CROWDED as usize]);
        let mut most_kb = [0; CROWDED as usize];
        while Instant::now() < until && !ended.iter().all(|ended| *ended) {
            for at in (0..CROWDED as usize)
                .filter(|at| !ended[*at])
                .collect::<Vec<_>>()
            {
                let node = &mut deployment.nodes[at];
                let used_kb = node.memory_kb("VmRSS");
                most_kb[at] = most_kb[at].max(used_kb);
                let why = match node.has_ended() {
                    true => "it has ended".to_owned(),
                    false if used_kb <= MEMORY_KB => continue,
                    false => format!("its memory is {used_kb} kB, above {MEMORY_KB} kB"),
                };
                record.now(&format!("wave {wave}: node {} is killed: {why}", at + 1));
                node.kill();
                (ended[at], ends[at]) = (true, ends[at] + 1);
            }
            thread::sleep(Duration::from_millis(20));
        }
        record.now(&format!("wave {wave}: most memory was {most_kb:?} kB"));
        goes_on.store(false, Ordering::SeqCst);
        let answered: usize = clients.into_iter().filter_map(|c| c.join().ok()).sum();
        record.now(&format!(
            "wave {wave}: clients have read {answered} answers"
        ));
        thread::sleep(RESTART);
        for at in (0..CROWDED as usize).filter(|at| ended[*at]) {
            deployment.nodes[at].restart();
        }
        let is_ready = |n| wait_for(Duration::from_secs(10), || deployment.is_ready(n));
        if !(1..=CROWDED).all(is_ready) {
            record.now("a node is not ready again");
        }
    }
    for upstream in &deployment.upstreams {
        let ran = upstream.arrivals().iter().filter(|a| a.ran).count();
        record.now(&format!("{} has run {ran} requests", upstream.id));
    }
    record.now(&format!("processes over their memory, by node: {ends:?}"));
    record.write(path);
    ExitCode::from(u8::from(ends.iter().all(|count| *count >= ENDS)))
}

fn request(wave: usize, client: usize, number: usize, fields: usize) -> String {
    let fields: String = (0..fields).map(|n| format!("{n:x}:a\r\n")).collect();
    format!(
        "GET /read/{number}-4000 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {wave:04x}{client:08x}{number:04x}\r\nX-Deadline-Ms: 5000\r\n{fields}\r\n"
    )
}

/// Sends requests until the wave ends, and returns the number of answers that were read. A client
/// that behaves sends one request at a time, with few fields.
fn act(at: SocketAddr, wave: usize, client: usize, goes_on: &AtomicBool) -> usize {
    let Ok(mut conn) = TcpStream::connect(at) else {
        return 0;
    };
    let _ = conn.set_read_timeout(Some(Duration::from_secs(6)));
    let _ = conn.set_write_timeout(Some(Duration::from_secs(6)));
    if has_trouble() {
        let ahead = (1..=AHEAD).map(|n| request(wave, client, n, MANY_FIELDS));
        let text: String = [request(wave, client, 0, 0)]
            .into_iter()
            .chain(ahead)
            .collect();
        let _ = conn.write_all(text.as_bytes());
        while goes_on.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(50));
        }
        return 0;
    }
    let mut rest = Vec::new();
    for number in 0..=AHEAD {
        let text = request(wave, client, number, 0);
        if !goes_on.load(Ordering::SeqCst) || conn.write_all(text.as_bytes()).is_err() {
            return number;
        }
        let Ok(Some(head)) = http::read_head(&mut conn, rest) else {
            return number;
        };
        let length = head.length();
        match http::read_body(&mut conn, head.rest, length) {
            Ok((_, behind)) => rest = behind,
            Err(_) => return number,
        }
    }
    AHEAD + 1
}
