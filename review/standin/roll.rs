//! Machines are stopped one after the other while a few orders take longer than the others.

use std::{
    error::Error,
    fs,
    path::Path,
    process::Command,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    net::Message,
    node::{self, NO_CONNECTION, Node, Request, Site},
    record::Record,
    server::{Manner, Server, Work},
    store::Store,
};

/// The first machine takes the orders; the servers of the others run them.
const NODES: [(&str, &str); 3] = [
    ("encomendas", "sul-a"),
    ("catalogo", "sul-a"),
    ("catalogo", "sul-b"),
];
/// Order in which the machines are stopped.
const ORDER: [usize; 3] = [1, 2, 0];
const TAKER: usize = 0;
/// Pause between two stops.
const GAP: Duration = Duration::from_millis(1_100);
const HOST: &str = "shop.example";
const CONFIG: &str = r#"{"version":"r7","routes":{
"order":{"hostname":"shop.example","path_prefix":"/order/","route_type":"non_idempotent","timeout_s":6.0,"target_latency_s":2.0,"attempts":2,"priority":0,"service":"catalogo"}},
"services":{"catalogo":{"max_connections":532,"health_path":"/health"},"encomendas":{"max_connections":556,"health_path":"/health"}},
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_s":5.0,"idle_timeout_s":20.0}}"#;
/// `stable_window_s` and `grace_s` of the settings.
const STABLE: Duration = Duration::from_secs(3);
const GRACE: Duration = Duration::from_secs(6);
/// Requests sent no later than this after a stop may still be at work near the end of the grace.
const EARLY: Duration = Duration::from_secs(3);
/// Time limit of the callers.
const LIMIT: Duration = Duration::from_secs(6);
/// Work of a large order.
const LARGE: Duration = Duration::from_millis(2_700);

/// Work of 290 ms on average, of large orders more.
fn work(request: &Message) -> Work {
    if request.target().starts_with("/order/large") {
        return Work::Serve(LARGE);
    }
    let id = request.header("x-attempt-id");
    let spread = id.bytes().map(u64::from).sum::<u64>() % 100;
    Work::Serve(Duration::from_millis(240 + spread))
}

pub fn run(folder: &Path, has_trouble: bool) -> Result<bool, Box<dyn Error>> {
    let root = std::env::current_dir()?;
    let scratch = std::env::temp_dir().join(format!("review-roll-{}", std::process::id()));
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

    let has_ended = Arc::new(AtomicBool::new(false));
    let usual = {
        let (record, has_ended) = (record.clone(), has_ended.clone());
        thread::spawn(move || {
            let mut callers = Vec::new();
            for n in 0.. {
                if has_ended.load(Ordering::SeqCst) {
                    break;
                }
                callers.push(order(&record, site, format!("/order/{n}")));
                thread::sleep(Duration::from_millis(25));
            }
            for caller in callers {
                let _ = caller.join();
            }
        })
    };
    thread::sleep(Duration::from_secs(5));
    let mut stopped = [Duration::MAX; NODES.len()];
    for (n, node) in ORDER.into_iter().enumerate() {
        if n > 0 {
            thread::sleep(GAP);
        }
        stopped[node] = record.now();
        if has_trouble {
            let pid = nodes[node].child.id().to_string();
            record.note(format!("SIGTERM to node {node}"));
            Command::new("kill").args(["-TERM", &pid]).status()?;
        }
    }
    // The platform still sends callers: it learns from two misses a second apart.
    thread::sleep(Duration::from_millis(2_000));
    let mut callers = Vec::new();
    for n in 0..10 {
        callers.push(order(&record, site, format!("/order/large-{n}")));
    }
    thread::sleep(Duration::from_millis(200));
    has_ended.store(true, Ordering::SeqCst);
    callers.push(usual);
    for caller in callers {
        let _ = caller.join();
    }
    drop(nodes);
    let verdict = judge(&record, &stopped);
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
        node::send(&record, site, TAKER, &mut None, &request);
    })
}

/// LOST: a request is broken off at which its server is at work, after a SIGTERM of the machine that
/// took it, with an answer of that machine's own or none.
fn judge(record: &Record, stopped: &[Duration]) -> bool {
    let runs = record.runs.lock().unwrap().clone();
    let sent = record.sent.lock().unwrap().clone();
    let mut lost = 0;
    for s in sent.iter().filter(|s| s.at > stopped[TAKER]) {
        let Some((at, end)) = &s.end else {
            continue;
        };
        let has_answer = match end {
            Ok(status) => *status != 502,
            Err(cause) => cause.starts_with(NO_CONNECTION),
        };
        if has_answer || *at - s.at >= LIMIT - Duration::from_millis(200) {
            continue;
        }
        let is_broken_off = runs.iter().filter(|r| r.id == s.id).any(|r| {
            let Some((ended, how)) = &r.end else {
                return false;
            };
            // Left out: work in the last sixth of the grace period of the machine that took it, and
            // what was sent soon after the stop of the server's machine.
            let is_late = *ended > stopped[TAKER] + GRACE * 5 / 6;
            let is_early = s.at <= stopped[r.server] + EARLY;
            how == "its connection closed" && !is_late && !is_early
        });
        lost += usize::from(is_broken_off);
    }
    record.note(format!(
        "{lost} orders were broken off at which the server was at work, and ended with 502 or without an answer"
    ));
    lost == 0
}
