//! Nodes on loopback, for what depends on the sockets of the operating system.

use super::{
    mesh::{INBOUND, METRICS, OUTBOUND, READY, SERVER, bounds, names},
    store::{FakeStore, TestDirectory, serve_store_at},
    *,
};
use comfreybay::{
    protocol::directory::Item,
    state::{
        memory::ProcessLimits,
        mesh::{
            backend::{Backend as Entry, Phase},
            route::RouteTable,
            settings::Settings as MeshSettings,
        },
    },
    transport::{
        mesh::{Mesh, node as mesh_node},
        tcp::TcpNet,
    },
};

const STORE_PORT: u16 = 9_009;

/// Nodes with one service each, whose backend servers the test runs itself.
pub struct TcpFleet {
    store: Rc<FakeStore>,
    block: u8,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for TcpFleet {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl TcpFleet {
    /// Starts a store on loopback addresses that no other test uses which has another `block`.
    pub fn new(block: u8) -> Self {
        let mut fleet = Self {
            store: Rc::default(),
            block,
            tasks: Vec::new(),
        };
        let net = TcpNet::new(fleet.ip(0));
        let serving = serve_store_at(net, fleet.at(0, STORE_PORT), fleet.store.clone());
        fleet.tasks.push(tokio::task::spawn_local(serving));
        fleet
    }

    fn ip(&self, number: u8) -> IpAddr {
        // Differs for runs at the same time.
        let process = (std::process::id() % 250) as u8;
        IpAddr::from([127, 20 + self.block, process, number + 1])
    }

    /// Address of a port of a node, counted from 1.
    pub fn at(&self, node: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(node), port)
    }

    /// Address at which a node takes requests of its callers.
    pub fn outbound(&self, node: u8) -> SocketAddr {
        self.at(node, OUTBOUND)
    }

    /// Address of the backend server beside a node.
    pub fn server(&self, node: u8) -> SocketAddr {
        self.at(node, SERVER)
    }

    /// Starts a node and enters its server into the store.
    pub fn join(&mut self, node: u8, service: &str) {
        let at = |port| self.at(node, port);
        let name = format!("{service}-{node}");
        let settings = MeshSettings {
            name: format!("node-{name}").parse().unwrap(),
            service: service.parse().unwrap(),
            zone: "z".parse().unwrap(),
            outbound: at(OUTBOUND),
            inbound: at(INBOUND),
            ready: at(READY),
            server: at(SERVER),
            store: self.at(0, STORE_PORT),
            metrics: Some(at(METRICS)),
            bounds: bounds(),
            limits: ProcessLimits::default(),
            select_by_delay: true,
        };
        let entry = Entry {
            id: name.parse().unwrap(),
            started_ms: Some(1),
            service: service.parse().unwrap(),
            address: at(SERVER),
            zone: "z".parse().unwrap(),
            slots: 8,
            phase: Phase::Ready,
            warmup: Duration::ZERO,
        };
        let net = TcpNet::new(self.ip(node));
        let mesh = Mesh::new(net, settings, names(), TestDirectory(self.store.clone()));
        let running = mesh_node::run(Rc::new(mesh), CancellationToken::new());
        let running = async move { running.await.unwrap() };
        self.tasks.push(tokio::task::spawn_local(running));
        self.store.put(|revision| Item::Backend {
            id: entry.id.clone(),
            entry: Ok(entry),
            revision,
        });
    }

    pub fn put_routes(&self, table: RouteTable) {
        self.store.put(|revision| Item::Routes {
            table: Ok(table),
            revision,
        });
    }
}
