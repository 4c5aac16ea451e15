//! A small in-memory fleet of nodes on a simulated platform with a fake directory store.

use super::{
    backend::Backend,
    store::{FakeStore, STORE, TestDirectory, serve_store},
    *,
};
use comfreybay::{
    protocol::directory::{HeaderNames, Item},
    state::{
        id::{ServiceName, ZoneName},
        memory::ProcessLimits,
        mesh::{
            backend::{Backend as Entry, Phase},
            organisation::{Organisation, Organisations},
            quota::QuotaBounds,
            route::{Bounds, Route, RouteTable, Service as Described, WeightedService},
            settings::{PlatformBounds, Settings as MeshSettings},
            window::Budget,
        },
    },
    transport::mesh::{Mesh, node},
};
use http::HeaderName;

pub const OUTBOUND: u16 = 9001;
pub const INBOUND: u16 = 9002;
pub const READY: u16 = 9003;
pub const SERVER: u16 = 9004;
pub const METRICS: u16 = 9005;

pub fn names() -> HeaderNames {
    let name = HeaderName::from_static;
    HeaderNames {
        attempt_id: name("x-id"),
        time_left: name("x-left"),
        seal: name("x-seal"),
        expected_instance: name("x-expected"),
        load: name("x-load"),
        not_run: name("x-not-run"),
        rate_limit: name("x-rate-limit"),
        leaving: name("x-leaving"),
        origin_service: name("x-origin"),
        organisation: name("x-organisation"),
        call_separator: '.',
    }
}

/// A route to one service, on the host `h` and the path `/NAME/`.
pub fn route(name: &str, service: &str) -> Route {
    Route {
        class: name.parse().unwrap(),
        host: "h".to_owned(),
        prefix: format!("/{name}/"),
        services: vec![WeightedService {
            service: service.parse().unwrap(),
            weight: 1.0,
        }],
        idempotent: true,
        timeout: Duration::from_secs(2),
        target: Duration::from_secs(1),
        attempts: 2,
        importance: 1,
        is_exempt: false,
    }
}

pub fn table(revision: u64, routes: Vec<Route>) -> RouteTable {
    table_with(revision, routes, 16_384)
}

/// A table with this limit of the bytes of a head.
pub fn table_with(revision: u64, routes: Vec<Route>, header_bytes: usize) -> RouteTable {
    let services = routes.iter().flat_map(|r| &r.services);
    let services = services.map(|p| (p.service.clone(), Described { connections: 100 }));
    let services: BTreeMap<ServiceName, Described> = services.collect();
    let bounds = Bounds {
        body_bytes: 1 << 20,
        header_bytes,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    RouteTable::new(Revision(revision), routes, services, bounds).unwrap()
}

/// Organisations with one key each, without priorities.
fn organisations(keys: &[(&str, &str)]) -> Organisations {
    let organisation = |name: &str| Organisation {
        name: name.parse().unwrap(),
        priority: None,
        quota: None,
    };
    let entry = |(name, key): &(&str, &str)| (organisation(name), vec![(*key).to_owned()]);
    Organisations::new(keys.iter().map(entry).collect()).unwrap()
}

/// A table of routes with organisations, given as names and keys.
pub fn with_keys(revision: u64, routes: Vec<Route>, keys: &[(&str, &str)]) -> RouteTable {
    table(revision, routes).with_organisations(organisations(keys))
}

/// Limits that the simulated platform imposes.
pub fn bounds() -> PlatformBounds {
    PlatformBounds {
        drain: Duration::from_secs(2),
        grace: Duration::from_secs(6),
        budget: Budget {
            ratio: 0.2,
            slack: 40.0,
            window: Duration::from_secs(10),
        },
        quota: QuotaBounds::default(),
    }
}

/// A node and its backend server.
pub struct Pair {
    pub mesh: Rc<Mesh<MemoryNet, TestDirectory>>,
    pub entry: Entry,
    pub stop: CancellationToken,
    pub task: Option<JoinHandle<HostEnd>>,
    pub node: Process,
    pub server: Process,
}

pub type StartedNode = (
    Rc<Mesh<MemoryNet, TestDirectory>>,
    CancellationToken,
    Option<JoinHandle<HostEnd>>,
    Process,
);

pub struct MeshFleet {
    pub network: Network,
    pub store: Rc<FakeStore>,
    pub pairs: BTreeMap<String, Pair>,
    /// Server name and request id of each request that a server has received.
    pub runs: Rc<RefCell<Vec<(String, String)>>>,
    script: Script,
    zones: u8,
}

impl MeshFleet {
    /// Starts a store without routes, and for each `(service, count, slots)` that many nodes and
    /// servers, named `SERVICE-N`.
    pub async fn start(services: &[(&str, u8, u32)], script: Script) -> Self {
        Self::start_in(1, services, script).await
    }

    /// The same, with the servers of each service spread over a number of availability zones.
    pub async fn start_in(zones: u8, services: &[(&str, u8, u32)], script: Script) -> Self {
        let network = Network::new(1);
        let store = Rc::new(FakeStore::default());
        let net = network.net(STORE.ip(), Process::default());
        tokio::task::spawn_local(serve_store(net, store.clone()));
        let mut fleet = Self {
            network,
            store,
            pairs: BTreeMap::new(),
            runs: Rc::default(),
            script,
            zones,
        };
        for (index, (service, count, slots)) in services.iter().enumerate() {
            for n in 0..*count {
                fleet.join(service, index as u8, n, *slots);
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        fleet
    }

    /// Starts the fleet and publishes routes.
    pub async fn with(services: &[(&str, u8, u32)], routes: Vec<Route>, script: Script) -> Self {
        let fleet = Self::start(services, script).await;
        fleet.put_routes(table(1, routes));
        tokio::time::sleep(Duration::from_millis(50)).await;
        fleet
    }

    pub fn put_routes(&self, table: RouteTable) {
        self.store.put(|revision| Item::Routes {
            table: Ok(table),
            revision,
        });
    }

    pub fn put_entry(&self, entry: Entry) {
        self.store.put(|revision| Item::Backend {
            id: entry.id.clone(),
            entry: Ok(entry),
            revision,
        });
    }

    pub fn remove_entry(&self, name: &str) {
        let id = self.pairs[name].entry.id.clone();
        self.store.put(|revision| Item::Removed { id, revision });
    }

    fn join(&mut self, service: &str, index: u8, n: u8, slots: u32) {
        let ip = IpAddr::from([10, 1, index, n + 1]);
        let at = |port| SocketAddr::new(ip, port);
        let name = format!("{service}-{n}");
        let zone: ZoneName = format!("z{}", n % self.zones).parse().unwrap();
        let entry = Entry {
            id: name.parse().unwrap(),
            started_ms: Some(1),
            service: service.parse().unwrap(),
            address: at(SERVER),
            zone: zone.clone(),
            slots,
            phase: Phase::Ready,
            warmup: Duration::ZERO,
        };
        let settings = MeshSettings {
            name: format!("node-{name}").parse().unwrap(),
            service: service.parse().unwrap(),
            zone,
            outbound: at(OUTBOUND),
            inbound: at(INBOUND),
            ready: at(READY),
            server: at(SERVER),
            store: STORE,
            metrics: Some(at(METRICS)),
            bounds: bounds(),
            limits: ProcessLimits::default(),
            select_by_delay: true,
        };
        let server = self.start_server(&name, at(SERVER));
        let (mesh, stop, task, node) = self.start_node(settings);
        self.put_entry(entry.clone());
        let pair = Pair {
            mesh,
            entry,
            stop,
            task,
            node,
            server,
        };
        self.pairs.insert(name, pair);
    }

    /// Starts a node.
    pub fn start_node(&self, settings: MeshSettings) -> StartedNode {
        let node = Process::default();
        let net = self.network.net(settings.inbound.ip(), node.clone());
        let mesh = Mesh::new(net, settings, names(), TestDirectory(self.store.clone()));
        let (mesh, stop) = (Rc::new(mesh), CancellationToken::new());
        let (run, token) = (mesh.clone(), stop.clone());
        let main = async move { node::run(run, token).await.unwrap() };
        let task = tokio::task::spawn_local(Host::new(node.clone(), main));
        (mesh, stop, Some(task), node)
    }

    /// Starts the backend server of a pair at an address.
    pub fn start_server(&self, name: &str, at: SocketAddr) -> Process {
        let server = Process::default();
        let backend = Backend {
            net: self.network.net(at.ip(), server.clone()),
            name: name.to_owned(),
            at,
            egress: SocketAddr::new(at.ip(), OUTBOUND),
            script: self.script.clone(),
            runs: self.runs.clone(),
        };
        tokio::task::spawn_local(Host::new(server.clone(), backend.run()));
        server
    }

    /// Restarts a node: crashes it, or stops it and waits for its end. Its backend server goes on.
    pub async fn restart(&mut self, name: &str, crashes: bool) {
        let pair = self.pairs.get_mut(name).unwrap();
        match crashes {
            true => pair.node.crash(),
            false => pair.stop.cancel(),
        }
        pair.task.take().unwrap().await.unwrap();
        let settings = pair.mesh.settings.clone();
        let started = self.start_node(settings);
        let pair = self.pairs.get_mut(name).unwrap();
        (pair.mesh, pair.stop, pair.task, pair.node) = started;
    }

    /// Sends a request to a node's outbound listener from its own address.
    pub async fn post(
        &self,
        name: &str,
        path: &str,
        headers: &[(&str, &str)],
    ) -> Result<Answer, String> {
        let mut request = Request::post(path).header("host", "h");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let ip = self.pairs[name].entry.address.ip();
        let net = self.network.net(ip, Process::default());
        let request = request
            .body(Full::new(Bytes::from_static(b"body")))
            .unwrap();
        send(&net, SocketAddr::new(ip, OUTBOUND), request).await
    }

    pub async fn is_ready(&self, name: &str) -> bool {
        let at = SocketAddr::new(self.pairs[name].entry.address.ip(), READY);
        let net = self.network.net(CALLER, Process::default());
        let request = Request::get("/")
            .header("host", "r")
            .body(Full::default())
            .unwrap();
        send(&net, at, request)
            .await
            .is_ok_and(|a| a.status == StatusCode::OK)
    }

    /// Servers that received the request with this id, one entry for each time.
    pub fn runs_of(&self, id: &str) -> Vec<String> {
        let runs = self.runs.borrow();
        let matching = runs.iter().filter(|(_, i)| i == id);
        matching.map(|(server, _)| server.clone()).collect()
    }
}

/// An answer with the server's seal and the request's id.
pub fn sealed(seen: &Seen, body: &str) -> Reply {
    let answer = Response::builder()
        .header("x-id", seen.id())
        .header("x-seal", "s");
    Reply::Answer(answer.body(Bytes::from(body.to_owned())).unwrap())
}

/// A connection that is kept open between requests.
pub struct Connection(pub http1::SendRequest<Full<Bytes>>);

impl Connection {
    pub async fn open(net: &MemoryNet, to: SocketAddr) -> Self {
        let conn = net.dial(to).await.unwrap();
        let (sender, conn) = http1::handshake(TokioIo::new(conn)).await.unwrap();
        tokio::task::spawn_local(conn);
        Self(sender)
    }

    /// Sends a request with a key.
    pub async fn status(&mut self, key: &str) -> StatusCode {
        let request = Request::post("/a/")
            .header("host", "h")
            .header("x-id", "1")
            .header("x-left", "1000")
            .header("authorization", format!("Bearer {key}"))
            .body(Full::new(Bytes::from_static(b"body")))
            .unwrap();
        let response = self.0.send_request(request).await.unwrap();
        let status = response.status();
        response.into_body().collect().await.unwrap();
        status
    }
}

/// Address of a node's listener for callers.
pub fn outbound(fleet: &MeshFleet, name: &str) -> SocketAddr {
    SocketAddr::new(fleet.pairs[name].entry.address.ip(), OUTBOUND)
}
