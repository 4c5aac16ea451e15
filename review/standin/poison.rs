//! A request that crashes each backend server that begins to run it comes again and again.

use std::{
    error::Error,
    fs,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    net::Message,
    node::{self, Node, Request, Site},
    record::Record,
    server::{Manner, Server, Work},
    store::Store,
};

/// Services of the nodes: five servers of the service that the request goes to, and four machines
/// of another service, from which it is sent in turn.
const NODES: [(&str, &str); 9] = [
    ("catalogo", "sul-a"),
    ("catalogo", "sul-b"),
    ("catalogo", "sul-c"),
    ("catalogo", "sul-d"),
    ("catalogo", "sul-a"),
    ("encomendas", "sul-a"),
    ("encomendas", "sul-b"),
    ("encomendas", "sul-c"),
    ("encomendas", "sul-d"),
];
const SENDERS: [usize; 4] = [5, 6, 7, 8];
const HOST: &str = "shop.example";
const CONFIG: &str = r#"{"version":"r7","routes":{
"order":{"hostname":"shop.example","path_prefix":"/order/","route_type":"non_idempotent","timeout_s":6.0,"target_latency_s":2.0,"attempts":2,"priority":0,"service":"catalogo"},
"browse":{"hostname":"shop.example","path_prefix":"/browse/","route_type":"idempotent","timeout_s":6.0,"target_latency_s":2.0,"attempts":2,"priority":1,"service":"catalogo"}},
"services":{"catalogo":{"max_connections":532,"health_path":"/health"},"encomendas":{"max_connections":556,"health_path":"/health"}},
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_s":5.0,"idle_timeout_s":20.0}}"#;
/// The request that crashes servers.
const POISON: &str = "/order/mould-7";
/// Time until a crashed server is back.
const DOWN: Duration = Duration::from_secs(2);
/// Pause between two retries of the request.
const GAP: Duration = Duration::from_secs(3);
const RETRIES: usize = 24;
/// `stable_window_s` of the settings.
const STABLE: Duration = Duration::from_secs(3);
/// Retries that may reach servers later than [`STABLE`] after the third crash.
const LATE_MAX: usize = 3;

fn crashing(request: &Message) -> Work {
    match request.target() == POISON {
        true => Work::Crash,
        false => calm(request),
    }
}

/// Work of 220 ms on average.
fn calm(request: &Message) -> Work {
    let id = request.header("x-attempt-id");
    let spread = id.bytes().map(u64::from).sum::<u64>() % 200;
    Work::Serve(Duration::from_millis(120 + spread))
}

pub fn run(folder: &Path, has_trouble: bool) -> Result<bool, Box<dyn Error>> {
    let root = std::env::current_dir()?;
    let scratch = std::env::temp_dir().join(format!("review-poison-{}", std::process::id()));
    fs::create_dir_all(&scratch)?;
    let site = Site::find(NODES.len())?;
    let (store, record) = (Arc::new(Store::default()), Arc::new(Record::new()));
    store.serve(site.store())?;
    store.put("op/config", CONFIG);
    let manner = Manner {
        slots: 72,
        idle: Duration::from_secs(10),
        work: if has_trouble { crashing } else { calm },
        down: DOWN,
    };
    for (index, place) in NODES.into_iter().enumerate() {
        let (store, record) = (store.clone(), record.clone());
        let at = site.server(index);
        Server::new(index, place, at, store, record, manner).start()?;
    }
    let mut nodes = Vec::new();
    for (index, (service, zone)) in NODES.into_iter().enumerate() {
        let settings = site.settings(index, service, zone);
        nodes.push(Node::start(&root, &scratch, index, &settings)?);
    }
    if !node::wait_ready(site, NODES.len(), Duration::from_secs(15)) {
        return Err("the nodes were not ready within 15 s".into());
    }
    // From here on all machines have been left alone for the stable window.
    thread::sleep(STABLE + Duration::from_secs(1));

    let has_ended = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..NODES.len() * 2)
        .map(|n| {
            let (record, has_ended) = (record.clone(), has_ended.clone());
            thread::spawn(move || orders(&record, site, n, &has_ended))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    for retry in 0..RETRIES {
        let node = SENDERS[retry % SENDERS.len()];
        let request = Request {
            method: "POST",
            host: HOST,
            path: POISON,
            idempotent: false,
            body: b"one butter mould, cedar",
            limit: Duration::from_secs(6),
        };
        node::send(&record, site, node, &mut None, &request);
        thread::sleep(GAP);
    }
    has_ended.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let ended_early = nodes
        .iter_mut()
        .any(|n| !matches!(n.child.try_wait(), Ok(None)));
    drop(nodes);
    let verdict = judge(&record, ended_early);
    fs::write(folder.join("record.txt"), record.text())?;
    let _ = fs::remove_dir_all(&scratch);
    Ok(verdict)
}

/// Other requests of callers on a machine, each with a path of its own.
fn orders(record: &Record, site: Site, n: usize, has_ended: &AtomicBool) {
    let mut sender = None;
    for number in 0.. {
        if has_ended.load(Ordering::SeqCst) {
            return;
        }
        let path = format!("/order/{n}-{number}");
        let request = Request {
            method: "POST",
            host: HOST,
            path: &path,
            idempotent: false,
            body: b"another mould",
            limit: Duration::from_secs(6),
        };
        node::send(record, site, n / 2, &mut sender, &request);
        thread::sleep(Duration::from_millis(100));
    }
}

/// BUDGET: a request that crashes the servers that run it reaches servers in at most three retries
/// sent later than the stable window after it has crashed the third.
fn judge(record: &Record, ended_early: bool) -> bool {
    let (runs, sent) = (record.runs.lock().unwrap(), record.sent.lock().unwrap());
    let crash = |r: &&crate::record::Run| {
        r.path == POISON
            && r.end
                .as_ref()
                .is_some_and(|(_, how)| how == "the server crashed")
    };
    let crashes: Vec<_> = runs.iter().filter(crash).collect();
    let late = crashes.get(2).map(|third| {
        let from = third.at + STABLE;
        let is_late = |id: &str| sent.iter().any(|s| s.id == id && s.at > from);
        crashes.iter().filter(|r| is_late(&r.id)).count()
    });
    let late = late.unwrap_or(0);
    let lost = runs.iter().filter(|r| {
        r.path != POISON
            && r.end
                .as_ref()
                .is_some_and(|(_, how)| how == "the server crashed")
    });
    let (lost, retries) = (
        lost.count(),
        sent.iter().filter(|s| s.path == POISON).count(),
    );
    drop((runs, sent));
    record.note(format!(
        "{retries} retries of {POISON}, {} crashes; {late} retries sent later than 3 s after the third crash reached servers, at most {LATE_MAX} may; {lost} other requests that must not be repeated were lost with their servers",
        crashes_text(record)
    ));
    if ended_early {
        record.note("a node process ended by itself".to_owned());
    }
    late <= LATE_MAX && !ended_early
}

fn crashes_text(record: &Record) -> usize {
    let runs = record.runs.lock().unwrap();
    let crashed = runs.iter().filter(|r| r.path == POISON);
    crashed
        .filter(|r| {
            r.end
                .as_ref()
                .is_some_and(|(_, how)| how == "the server crashed")
        })
        .count()
}
