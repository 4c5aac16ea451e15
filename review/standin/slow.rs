//! Some callers read long answers slowly while a machine is stopped.

use std::{
    error::Error,
    fs,
    io::Read,
    path::Path,
    process::Command,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    net::Message,
    node::{self, NO_CONNECTION, Node, Request, Sender, Site},
    record::Record,
    server::{Manner, Server, Work},
    store::Store,
};

const NODES: [(&str, &str); 2] = [("encomendas", "sul-a"), ("catalogo", "sul-b")];
/// The machine that is stopped; all requests are sent there.
const CHOSEN: usize = 0;
const HOST: &str = "shop.example";
const CONFIG: &str = r#"{"version":"r7","routes":{
"order":{"hostname":"shop.example","path_prefix":"/order/","route_type":"non_idempotent","timeout_s":6.0,"target_latency_s":2.0,"attempts":2,"priority":0,"service":"catalogo"},
"browse":{"hostname":"shop.example","path_prefix":"/browse/","route_type":"idempotent","timeout_s":6.0,"target_latency_s":2.0,"attempts":2,"priority":1,"service":"catalogo"}},
"services":{"catalogo":{"max_connections":532,"health_path":"/health"},"encomendas":{"max_connections":556,"health_path":"/health"}},
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_s":5.0,"idle_timeout_s":20.0}}"#;
/// `stable_window_s`, `grace_s` and `loss_slack_s` of the settings.
const STABLE: Duration = Duration::from_secs(3);
const GRACE: Duration = Duration::from_secs(6);
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Time limits of the callers that order, and of those that read pages.
const LIMIT: Duration = Duration::from_secs(6);
const READ_LIMIT: Duration = Duration::from_secs(6);
/// Callers that read slowly, and the size of the answers that they read.
const READERS: usize = 30;
const ANSWER_BYTES: usize = 10 * 1_024 * 1_024;
/// What a slow caller reads at a time, and the pause in between.
const PIECE_BYTES: usize = 2_048;
const PAUSE: Duration = Duration::from_millis(200);

/// Orders take 290 ms on average; pages of the catalogue are long.
fn work(request: &Message) -> Work {
    if request.target().starts_with("/browse/") {
        return Work::Long(ANSWER_BYTES);
    }
    let id = request.header("x-attempt-id");
    let spread = id.bytes().map(u64::from).sum::<u64>() % 100;
    Work::Serve(Duration::from_millis(240 + spread))
}

pub fn run(folder: &Path, has_trouble: bool) -> Result<bool, Box<dyn Error>> {
    let root = std::env::current_dir()?;
    let scratch = std::env::temp_dir().join(format!("review-slow-{}", std::process::id()));
    fs::create_dir_all(&scratch)?;
    let site = Site::find(NODES.len())?;
    let (store, record) = (Arc::new(Store::default()), Arc::new(Record::new()));
    store.serve(site.store())?;
    store.put("op/config", CONFIG);
    let manner = Manner {
        slots: 72,
        idle: Duration::from_secs(10),
        work,
        down: Duration::ZERO,
    };
    for (index, place) in NODES.into_iter().enumerate() {
        let (store, record) = (store.clone(), record.clone());
        Server::new(index, place, site.server(index), store, record, manner).start()?;
    }
    let mut nodes = Vec::new();
    for (index, (service, zone)) in NODES.into_iter().enumerate() {
        let settings = site.settings(index, service, zone);
        nodes.push(Node::start(&root, &scratch, index, &settings)?);
    }
    if !node::wait_ready(site, NODES.len(), Duration::from_secs(15)) {
        return Err("the nodes were not ready within 15 s".into());
    }
    thread::sleep(STABLE + Duration::from_secs(1));

    let mut callers = Vec::new();
    // Orders before the stop, while nobody reads slowly.
    callers.extend((0..30).map(|n| order(&record, site, format!("/order/before-{n}"))));
    thread::sleep(Duration::from_secs(1));
    for n in 0..READERS {
        let record = record.clone();
        callers.push(thread::spawn(move || read_slowly(&record, site, n)));
    }
    thread::sleep(Duration::from_millis(200));
    let stopped = record.now();
    if has_trouble {
        let pid = nodes[CHOSEN].child.id().to_string();
        record.note(format!("SIGTERM to node {CHOSEN}"));
        Command::new("kill").args(["-TERM", &pid]).status()?;
    }
    // The platform still sends callers: it learns from two misses a second apart.
    thread::sleep(Duration::from_millis(1_200));
    for group in 0..3 {
        thread::sleep(Duration::from_millis(300));
        let path = |n| format!("/order/after-{group}-{n}");
        callers.extend((0..10).map(|n| order(&record, site, path(n))));
    }
    // The platform kills a process that is still there at the end of the grace period.
    thread::sleep(GRACE - Duration::from_millis(2_100));
    if has_trouble && let Ok(None) = nodes[CHOSEN].child.try_wait() {
        record.note(format!("SIGKILL to node {CHOSEN}"));
        nodes[CHOSEN].child.kill()?;
    }
    for caller in callers {
        let _ = caller.join();
    }
    drop(nodes);
    let verdict = judge(&record, stopped);
    fs::write(folder.join("record.txt"), record.text())?;
    let _ = fs::remove_dir_all(&scratch);
    Ok(verdict)
}

/// Sends an order on a connection of its own.
fn order(record: &Arc<Record>, site: Site, path: String) -> thread::JoinHandle<()> {
    let record = record.clone();
    thread::spawn(move || {
        let request = Request {
            method: "POST",
            host: HOST,
            path: &path,
            idempotent: false,
            body: b"one butter mould",
            limit: LIMIT,
        };
        node::send(&record, site, CHOSEN, &mut None, &request);
    })
}

/// Asks for a page and reads it slowly, until its time limit.
fn read_slowly(record: &Record, site: Site, n: usize) {
    let (id, path) = (record.new_id(), format!("/browse/{n}"));
    let number = record.sent(CHOSEN, &id, &path, true);
    let end = Instant::now() + READ_LIMIT;
    let Ok(mut sender) = Sender::open(site.outbound(CHOSEN)) else {
        return record.answered(number, Err(NO_CONNECTION.to_owned()));
    };
    let headers = [
        ("Host", HOST.to_owned()),
        ("X-Attempt-Id", id),
        ("X-Deadline-Ms", READ_LIMIT.as_millis().to_string()),
    ];
    let first = format!("GET {path} HTTP/1.1");
    let stream = &mut sender.conn;
    let _ = stream.stream.set_read_timeout(Some(READ_LIMIT));
    if stream.write(&first, &headers, b"").is_err() {
        return record.answered(number, Err(NO_CONNECTION.to_owned()));
    }
    let (mut total, mut piece) = (0, vec![0; PIECE_BYTES]);
    while Instant::now() < end {
        match stream.stream.read(&mut piece) {
            Ok(0) | Err(_) => break,
            Ok(n) => total += n,
        }
        thread::sleep(PAUSE);
    }
    record.answered(number, Err(format!("a slow reader, read {total} bytes")));
}

/// LOST: a process has read a whole request and the connection ends without a complete answer,
/// around a planned stop. Slow readers themselves are not judged.
fn judge(record: &Record, stopped: Duration) -> bool {
    let runs = record.runs.lock().unwrap().clone();
    let sent = record.sent.lock().unwrap().clone();
    let mut lost = Vec::new();
    for s in sent.iter().filter(|s| s.path.starts_with("/order/")) {
        let Some((at, Err(cause))) = &s.end else {
            continue;
        };
        if cause.starts_with(NO_CONNECTION) {
            continue;
        }
        let took = *at - s.at;
        let ended_late = stopped + GRACE * 5 / 6;
        let mut own = runs.iter().filter(|r| r.id == s.id);
        let is_at_work = own.any(|r| r.end.as_ref().is_none_or(|(e, _)| *e > ended_late));
        if took > LOSS_SLACK && took < LIMIT - LOSS_SLACK && !is_at_work {
            lost.push(s.id.clone());
        }
    }
    let has_run = |id: &&String| {
        let mut own = runs.iter().filter(|r| r.id == **id);
        own.any(|r| r.end.as_ref().is_some_and(|(_, how)| how.contains("200")))
    };
    let run = lost.iter().filter(has_run).count();
    record.note(format!(
        "{} orders that node {CHOSEN} had taken ended with their connection, without an answer; the server had run and answered {run} of them",
        lost.len()
    ));
    lost.is_empty()
}
