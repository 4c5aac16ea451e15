//! Callers send orders in clumps, more than a second apart, while a machine is stopped or a server
//! leaves.

use std::{
    error::Error,
    fs,
    path::Path,
    process::Command,
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::{
    net::Message,
    node::{self, NO_CONNECTION, Node, Request, Site},
    record::Record,
    server::{Manner, Server, Work},
    store::Store,
};

const NODES: [(&str, &str); 3] = [
    ("encomendas", "sul-a"),
    ("encomendas", "sul-b"),
    ("encomendas", "sul-c"),
];
/// The machine that is stopped, or whose server leaves.
const CHOSEN: usize = 0;
const HOST: &str = "shop.example";
const CONFIG: &str = r#"{"version":"r7","routes":{
"order":{"hostname":"shop.example","path_prefix":"/order/","route_type":"non_idempotent","timeout_s":6.0,"target_latency_s":2.0,"attempts":2,"priority":0,"service":"encomendas"}},
"services":{"encomendas":{"max_connections":556,"health_path":"/health"}},
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_s":5.0,"idle_timeout_s":20.0}}"#;
/// `stable_window_s`, `drain_s`, `grace_s` and `loss_slack_s` of the settings.
const STABLE: Duration = Duration::from_secs(3);
const DRAIN: Duration = Duration::from_secs(2);
const GRACE: Duration = Duration::from_secs(6);
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Time for which a leaving server serves on after its report.
const SERVES_ON: Duration = Duration::from_secs(7);
/// Time limit of the callers.
const LIMIT: Duration = Duration::from_secs(6);
/// Requests of one clump at each machine; a server has 76 slots.
const CLUMP: usize = 60;
const SLOTS: u32 = 76;

/// Work of 290 ms on average.
fn work(request: &Message) -> Work {
    let id = request.header("x-attempt-id");
    let spread = id.bytes().map(u64::from).sum::<u64>() % 100;
    Work::Serve(Duration::from_millis(240 + spread))
}

struct Run {
    site: Site,
    record: Arc<Record>,
    servers: Vec<Arc<Server>>,
    nodes: Vec<Node>,
    scratch: std::path::PathBuf,
    callers: Vec<JoinHandle<()>>,
}

impl Run {
    /// Starts everything, and waits until all machines have been left alone for the stable window.
    fn start(name: &str, idle: Duration) -> Result<Self, Box<dyn Error>> {
        let root = std::env::current_dir()?;
        let scratch = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        fs::create_dir_all(&scratch)?;
        let site = Site::find(NODES.len())?;
        let (store, record) = (Arc::new(Store::default()), Arc::new(Record::new()));
        store.serve(site.store())?;
        store.put("op/config", CONFIG);
        let manner = Manner {
            slots: SLOTS,
            idle,
            work,
            down: Duration::ZERO,
        };
        let (mut servers, mut nodes) = (Vec::new(), Vec::new());
        for (index, place) in NODES.into_iter().enumerate() {
            let (store, record) = (store.clone(), record.clone());
            let server = Server::new(index, place, site.server(index), store, record, manner);
            server.start()?;
            servers.push(server);
        }
        for (index, (service, zone)) in NODES.into_iter().enumerate() {
            let settings = site.settings(index, service, zone);
            nodes.push(Node::start(&root, &scratch, index, &settings)?);
        }
        if !node::wait_ready(site, NODES.len(), Duration::from_secs(15)) {
            return Err("the nodes were not ready within 15 s".into());
        }
        thread::sleep(STABLE + Duration::from_secs(1));
        Ok(Self {
            site,
            record,
            servers,
            nodes,
            scratch,
            callers: Vec::new(),
        })
    }

    /// Sends a clump at each machine, each request on a connection of its own.
    fn clump(&mut self, number: usize) {
        for n in 0..CLUMP * NODES.len() {
            let (record, site) = (self.record.clone(), self.site);
            self.callers.push(thread::spawn(move || {
                let path = format!("/order/{number}-{n}");
                let request = Request {
                    method: "POST",
                    host: HOST,
                    path: &path,
                    idempotent: false,
                    body: b"one butter mould",
                    limit: LIMIT,
                };
                node::send(&record, site, n % NODES.len(), &mut None, &request);
            }));
        }
    }

    fn end(
        mut self,
        folder: &Path,
        judge: impl Fn(&Record) -> bool,
    ) -> Result<bool, Box<dyn Error>> {
        for caller in self.callers.drain(..) {
            let _ = caller.join();
        }
        drop(self.nodes);
        let verdict = judge(&self.record);
        fs::write(folder.join("record.txt"), self.record.text())?;
        let _ = fs::remove_dir_all(&self.scratch);
        Ok(verdict)
    }
}

/// A planned stop of one machine.
pub fn stop(folder: &Path, has_trouble: bool) -> Result<bool, Box<dyn Error>> {
    let mut run = Run::start("stop", Duration::from_secs(10))?;
    run.clump(1);
    thread::sleep(Duration::from_secs(2));
    run.clump(2);
    thread::sleep(Duration::from_millis(1_400));
    let stopped = run.record.now();
    if has_trouble {
        let pid = run.nodes[CHOSEN].child.id().to_string();
        run.record.note(format!("SIGTERM to node {CHOSEN}"));
        Command::new("kill").args(["-TERM", &pid]).status()?;
    }
    thread::sleep(Duration::from_millis(600));
    run.clump(3);
    // The platform kills a process that is still there at the end of the grace period.
    thread::sleep(GRACE - Duration::from_millis(600));
    if has_trouble && let Ok(None) = run.nodes[CHOSEN].child.try_wait() {
        run.record.note(format!("SIGKILL to node {CHOSEN}"));
        run.nodes[CHOSEN].child.kill()?;
    }
    run.end(folder, |record| {
        let is_lost = |id: &str, sent: Duration, end: &Option<(Duration, Result<u16, String>)>| {
            let Some((at, Err(cause))) = end else {
                return false;
            };
            if cause.starts_with(NO_CONNECTION) {
                return false;
            }
            // Left out: the time limit, and work that lasted too long.
            let took = *at - sent;
            let runs = record.runs.lock().unwrap();
            let is_at_work = runs.iter().any(|r| {
                r.id == id && r.end.as_ref().is_none_or(|(e, _)| *e > stopped + GRACE * 5 / 6)
            });
            took > LOSS_SLACK && took < LIMIT - LOSS_SLACK && !is_at_work
        };
        let sent = record.sent.lock().unwrap().clone();
        let at_node = sent.iter().filter(|s| s.node == CHOSEN);
        let lost = at_node.filter(|s| is_lost(&s.id, s.at, &s.end)).count();
        record.note(format!(
            "{lost} requests that node {CHOSEN} had taken ended with their connection, without an answer"
        ));
        lost == 0
    })
}

/// A server announces in the store that it leaves.
pub fn drain(folder: &Path, has_trouble: bool) -> Result<bool, Box<dyn Error>> {
    let mut run = Run::start("drain", Duration::from_secs(10))?;
    run.clump(1);
    thread::sleep(Duration::from_millis(2_500));
    run.clump(2);
    thread::sleep(Duration::from_millis(2_500));
    run.clump(3);
    thread::sleep(Duration::from_millis(200));
    let mut acked = None;
    if has_trouble {
        run.servers[CHOSEN].drain();
        acked = Some(run.record.now());
        run.record.note(format!(
            "the store has accepted that server {CHOSEN} is draining"
        ));
    }
    thread::sleep(SERVES_ON);
    if has_trouble {
        run.servers[CHOSEN].exit();
        run.record.note(format!("server {CHOSEN} has left"));
    }
    run.end(folder, |record| {
        let runs = record.runs.lock().unwrap().clone();
        let is_late = |r: &&crate::record::Run| {
            r.server == CHOSEN && acked.is_some_and(|acked| r.at > acked + DRAIN)
        };
        let late = runs.iter().filter(is_late).count();
        record.note(format!(
            "{late} requests reached server {CHOSEN} later than 2 s after the store had accepted that it is draining"
        ));
        late == 0
    })
}
