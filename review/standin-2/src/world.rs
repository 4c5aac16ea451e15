//! Addresses, settings and processes of one run.

use std::{
    collections::BTreeSet,
    env, fs,
    io::{self, Write},
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{self, Child, Command, Stdio},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    store::{Entrance, Store},
    upstream::Upstream,
};

pub const OUTBOUND: u16 = 8_304;
pub const INBOUND: u16 = 8_300;
pub const SERVER: u16 = 8_301;
pub const READY: u16 = 8_302;
pub const STORE: u16 = 8_309;
const METRICS: u16 = 9_464;
pub const HOST: &str = "review.example";

/// Whether the run has its disruption; `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").as_deref() != Ok("0")
}

/// Loopback addresses that no other process uses on the ports of a node.
pub struct Addresses {
    block: u8,
}

impl Addresses {
    /// Finds a block of addresses that is free.
    pub fn new() -> Self {
        let first = process::id() % 100;
        let blocks = (0..100).map(|n| 120 + ((first + n) % 100) as u8);
        let ports = [OUTBOUND, INBOUND, SERVER, READY, STORE, METRICS];
        let is_free = |block: &u8| {
            let at = |port| SocketAddr::new(IpAddr::from([127, 33, *block, 1]), port);
            ports
                .iter()
                .all(|port| TcpListener::bind(at(*port)).is_ok())
        };
        let block = blocks.into_iter().find(is_free).unwrap_or_else(|| {
            eprintln!("no free loopback addresses");
            process::exit(2)
        });
        Self { block }
    }

    /// The address with this number, from 1 on.
    pub fn ip(&self, number: u8) -> IpAddr {
        IpAddr::from([127, 33, self.block, number])
    }

    pub fn at(&self, number: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(number), port)
    }
}

/// What the settings file of a node holds.
pub struct Settings {
    pub number: u8,
    /// Address of the entry of its server, whose IP address other nodes use for this node too.
    pub server: SocketAddr,
    pub store: SocketAddr,
    pub service: String,
    pub zone: String,
    pub memory_mb: u32,
}

impl Settings {
    fn text(&self, addresses: &Addresses) -> String {
        let at = |port| addresses.at(self.number, port);
        let Self {
            number,
            server,
            store,
            service,
            zone,
            memory_mb,
        } = self;
        format!(
            "node_id: \"sidecar-{zone}-{number}\"\nrole: \"node\"\nmachine_class: \"sidecar\"\nserves:\n  - \"sidecar\"\nip: \"{}\"\nzone: \"{zone}\"\nregion: \"r\"\nzones:\n  {zone}: \"r\"\nbind_addresses:\n  inbound: \"{}\"\n  outbound: \"{}\"\n  ready: \"{}\"\ninternal_ports:\n  - 7620\n  - 7635\nseed_nodes: []\nbootstrap: true\nlimits:\n  cpu_share: 0.4\n  cpu_cores: 1\n  memory_mb: {memory_mb}\n  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\nheartbeat_s: 1.5\nbounds:\n  - \"reuse_after_s=2\"\n  - \"stable_window_s=3\"\n  - \"drain_s=2\"\n  - \"grace_s=6\"\n  - \"loss_slack_s=0.2\"\n  - \"config_s=2\"\n  - \"budget_ratio=0.2\"\n  - \"budget_window_s=10\"\n  - \"budget_slack=47\"\n  - \"recover_s=15\"\napp_addr: \"{server}\"\nservice: \"{service}\"\nplatform:\n  address: \"{store}\"\n  form: \"read\"\n  reads_per_s: 2000\n  history_s: 20\n  value_bytes: 1048576\n",
            addresses.ip(*number),
            at(INBOUND),
            at(OUTBOUND),
            at(READY),
        )
    }
}

/// The process of a node; it is ended when this is dropped.
pub struct Node {
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Node {
    /// Starts a node with the command of the deploy file.
    pub fn start(settings: &Settings, addresses: &Addresses, folder: &Path) -> Self {
        let file = folder.join(format!("node-{}.yaml", settings.number));
        fs::write(&file, settings.text(addresses)).expect("the settings can be written");
        let mut node = Self {
            log: folder.join(format!("node-{}.log", settings.number)),
            settings: file,
            child: None,
        };
        node.restart();
        node
    }

    /// Starts the process again.
    pub fn restart(&mut self) {
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log);
        let log = log.expect("the log can be opened");
        let child = Command::new("target/release/comfreybay-sidecar")
            .env_clear()
            .env("COMFREYBAY_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log can be opened twice"))
            .stderr(log)
            .spawn();
        self.child = Some(child.unwrap_or_else(|error| {
            eprintln!("the node does not start: {error}");
            process::exit(2)
        }));
    }

    fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut().expect("the node was started");
        matches!(child.try_wait(), Ok(Some(_)))
    }

    /// Sends SIGTERM to the process.
    pub fn stop(&self) {
        let command = format!("kill -TERM {}", self.id());
        let _ = Command::new("sh").args(["-c", &command]).status();
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// A figure of the process in kB, as the kernel states it: `VmRSS` or `VmHWM`.
    pub fn memory_kb(&self, name: &str) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let line = text.lines().find(|l| l.starts_with(name));
        let figure = line.and_then(|l| l.split_whitespace().nth(1));
        figure.and_then(|f| f.parse().ok()).unwrap_or(0)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A temporary folder; it is removed when this is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let path = env::temp_dir().join(format!("review-2-{}", process::id()));
        fs::create_dir_all(&path).expect("a temporary folder can be made");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// The entry of an upstream.
pub fn entry(address: SocketAddr, service: &str, zone: &str, slots: u32, born: u64) -> String {
    format!(
        "{{\"address\":\"{address}\",\"info\":{{\"service\":\"{service}\",\"version\":\"v1\",\"zone\":\"{zone}\",\"slots\":{slots}}},\"status\":{{\"state\":\"ready\",\"seq\":1,\"cold_left_s\":0}},\"born\":{born}}}"
    )
}

/// A route of the configuration.
pub fn route(name: &str, kind: &str, service: &str, timeout_s: f64, attempts: u32) -> String {
    format!(
        "\"r-{name}\":{{\"hostname\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\"route_type\":\"{kind}\",\"timeout_s\":{timeout_s},\"target_latency_s\":1.2,\"priority\":1,\"service\":\"{service}\",\"attempts\":{attempts}}}"
    )
}

/// A configuration with these routes and services.
pub fn config(version: u64, routes: &[String], services: &[&str]) -> String {
    let service =
        |s: &&str| format!("\"{s}\":{{\"health_path\":\"/health\",\"max_connections\":850}}");
    let services: Vec<_> = services.iter().map(service).collect();
    format!(
        "{{\"version\":\"r{version}\",\"routes\":{{{}}},\"services\":{{{}}},\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// A small deployment of one service: upstreams with their nodes, and the platform's store.
pub struct Deployment {
    addresses: Addresses,
    pub store: Store,
    /// The address of the store that each node has.
    pub entrances: Vec<Arc<Entrance>>,
    pub upstreams: Vec<Upstream>,
    pub nodes: Vec<Node>,
    _folder: Folder,
}

/// Slots of each upstream of a deployment.
const SLOTS: u32 = 76;
/// The address of the store for a node has the number of the node and this one.
const STORE_NUMBERS: u8 = 200;

impl Deployment {
    /// Starts a deployment of one service and zone, and waits until all nodes are ready.
    pub fn start(service: &str, count: u8, memory_mb: u32) -> Self {
        let machines = vec![(service, "leith"); count.into()];
        Self::start_all(&machines, memory_mb)
    }

    /// Starts a deployment with a machine for each service and zone, and one idempotent route to the
    /// first service; waits until all nodes are ready.
    pub fn start_all(machines: &[(&str, &str)], memory_mb: u32) -> Self {
        let (addresses, folder, store) = (Addresses::new(), Folder::new(), Store::default());
        let services: BTreeSet<_> = machines.iter().map(|(service, _)| *service).collect();
        let services: Vec<_> = services.into_iter().collect();
        let routes = [route("read", "idempotent", machines[0].0, 5.0, 2)];
        store.put("op/config", Some(&config(3, &routes, &services)));
        let (mut upstreams, mut nodes, mut entrances) = (Vec::new(), Vec::new(), Vec::new());
        for (number, (service, zone)) in (1..).zip(machines) {
            let store_at = addresses.at(number + STORE_NUMBERS, STORE);
            entrances.push(store.serve(store_at));
            let upstream = Upstream::new(&format!("i-{number}"), SLOTS);
            let server = addresses.at(number, SERVER);
            upstream.serve(server);
            let text = entry(server, service, zone, SLOTS, 1_700_000_000_000);
            store.put(&format!("servers/{}", upstream.id), Some(&text));
            let settings = Settings {
                number,
                server,
                store: store_at,
                service: (*service).to_owned(),
                zone: (*zone).to_owned(),
                memory_mb,
            };
            nodes.push(Node::start(&settings, &addresses, &folder.0));
            upstreams.push(upstream);
        }
        let deployment = Self {
            addresses,
            store,
            entrances,
            upstreams,
            nodes,
            _folder: folder,
        };
        let is_ready = |number| wait_for(Duration::from_secs(20), || deployment.is_ready(number));
        if !(1..).take(machines.len()).all(is_ready) {
            eprintln!("a node is not ready in time");
            process::exit(2);
        }
        // The nodes have listed the store; their first watches are open soon after.
        thread::sleep(Duration::from_secs(1));
        deployment
    }

    /// Whether a node answers the platform's readiness check with 200.
    pub fn is_ready(&self, number: u8) -> bool {
        let check = || -> io::Result<bool> {
            let mut conn = TcpStream::connect(self.addresses.at(number, READY))?;
            conn.set_read_timeout(Some(Duration::from_secs(1)))?;
            conn.write_all(b"GET /api/readiness HTTP/1.1\r\nhost: node\r\n\r\n")?;
            let head = http::read_head(&mut conn, Vec::new())?;
            Ok(head.is_some_and(|head| head.status() == 200))
        };
        check().unwrap_or(false)
    }

    /// Address of an upstream.
    pub fn server(&self, number: u8) -> SocketAddr {
        self.addresses.at(number, SERVER)
    }

    /// Address for the clients on the machine of a node.
    pub fn outbound(&self, number: u8) -> SocketAddr {
        self.addresses.at(number, OUTBOUND)
    }
}

/// Lines of a record, written at the end of a run.
pub struct Record {
    lines: String,
    started: Instant,
}

impl Record {
    pub fn new() -> Self {
        Self {
            lines: String::new(),
            started: Instant::now(),
        }
    }

    /// Adds a line about something that happened at a time.
    pub fn add(&mut self, at: Instant, text: &str) {
        let at = at.saturating_duration_since(self.started).as_secs_f64();
        self.lines += &format!("{at:8.3} s  {text}\n");
    }

    /// Adds a line about something that happened now.
    pub fn now(&mut self, text: &str) {
        println!("{text}");
        self.add(Instant::now(), text);
    }

    pub fn write(&self, path: &Path) {
        fs::write(path, &self.lines).expect("the record can be written");
    }
}

/// Calls `check` until it is true or the time has passed; returns whether it was.
pub fn wait_for(time: Duration, mut check: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + time;
    while Instant::now() < until {
        if check() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}
