//! Simulation of the control planes of many nodes in one process, without backend servers or calls.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

use super::{Result, configuration::Configuration, instances::Instances};
use crate::{
    state::{
        counters::{Counter, Counters},
        id::{Digest, Revision, ZoneName},
        object::{Chain, Class, Deployment, Service, Upstream, Zone},
        publication::{Piece, Publication},
        settings::Settings,
    },
    transport::{
        control::{self, Control},
        memory::{Host, Network, Process},
        net::Net,
        node::NodeContext,
    },
};

/// Host address of the configuration service and the instance list.
pub const PLATFORM: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 255, 0, 1));
const CONFIGURATION_PORT: u16 = 80;
const INSTANCES_PORT: u16 = 81;
const CONTROL_PORT: u16 = 7_003;
const SEEDS_PER_NODE: usize = 5;

/// Size and network conditions of a run.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of upstreams per service.
    pub per_service: usize,
    /// Number of availability zones.
    pub zones: usize,
    /// Share of network segments that are lost and retransmitted.
    pub loss: f64,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            nodes: 30,
            per_service: 10,
            zones: 3,
            loss: 0.0,
            seed: 1,
        }
    }
}

/// A configuration revision that came into effect at a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AppliedRevision {
    /// Time at which it came into effect.
    pub at: Instant,
    /// Revision.
    pub revision: Revision,
    /// Digest of the publication's head.
    pub digest: Digest,
    /// Number of the process on this host, counted from 0.
    pub run: usize,
}

/// One node: its host and its current process.
pub struct PlaneNode {
    /// Upstream that the node belongs to.
    pub upstream: Upstream,
    /// Settings of the node.
    pub settings: Settings,
    /// Current process.
    pub process: Process,
    /// State of the current process.
    pub context: Rc<NodeContext>,
    /// Cancelled to make the node leave.
    pub leaving: CancellationToken,
    /// Cancelled to end the process.
    pub stop: CancellationToken,
    /// Revisions that came into effect, over all processes of the node.
    pub effects: Rc<RefCell<Vec<AppliedRevision>>>,
    starts: usize,
}

/// The control planes of many nodes, with a configuration service and an instance list.
///
/// Must be used within a `LocalSet`.
pub struct Planes {
    /// Network of all hosts.
    pub network: Network,
    /// The configuration service.
    pub configuration: Configuration,
    /// The instance list.
    pub instances: Instances,
    /// The nodes.
    pub nodes: Vec<PlaneNode>,
    /// Current revision.
    pub revision: u64,
    pieces: Vec<Piece>,
    deployment: Deployment,
    rng: fastrand::Rng,
    tasks: JoinSet<()>,
}

fn from_json<T: serde::de::DeserializeOwned>(value: serde_json::Value) -> T {
    serde_json::from_value(value).expect("generated objects are valid")
}

fn address(node: usize, port: u16) -> SocketAddr {
    let ip = Ipv4Addr::new(10, (node >> 16) as u8, (node >> 8) as u8, node as u8);
    SocketAddr::new(ip.into(), port)
}

fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

fn upstream(service: usize, n: usize, node: usize, zones: usize) -> Upstream {
    from_json(serde_json::json!({
        "name": format!("svc-{service}-{n}"), "owner": "office",
        "service": format!("svc-{service}"), "zone": zone_name(node % zones),
        "public": address(node, 7_001), "peer": address(node, 7_002),
        "control": address(node, CONTROL_PORT), "slots": 100, "connections": 500,
    }))
}

fn chain(entry: usize, services: usize) -> Chain {
    let hops = [
        entry,
        (entry * 7 + 3) % services,
        (entry * 13 + 5) % services,
    ];
    let name = |s: usize| format!("svc-{s}");
    let mut calls = BTreeMap::new();
    for pair in hops.windows(2).filter(|p| p[0] < p[1]) {
        calls.insert(name(pair[0]), vec![name(pair[1])]);
    }
    from_json(serde_json::json!({
        "name": format!("chain-{entry}"), "owner": "office", "class": "browse",
        "entry": name(entry), "method": "GET", "path": format!("/svc-{entry}"), "calls": calls,
    }))
}

fn pieces(plan: &Plan) -> Vec<Piece> {
    let services = plan.nodes.div_ceil(plan.per_service);
    let chains: Vec<_> = (0..services).map(|s| chain(s, services)).collect();
    let class: Class = from_json(serde_json::json!({
        "name": "browse", "owner": "office", "importance": 1, "deadline_ms": 2_000,
    }));
    let piece = |s: usize| {
        let service: Service = from_json(serde_json::json!({
            "name": format!("svc-{s}"), "owner": "office",
        }));
        let through = chains
            .iter()
            .filter(|c| c.services().contains(&service.name));
        let nodes = s * plan.per_service..((s + 1) * plan.per_service).min(plan.nodes);
        Piece {
            upstreams: nodes
                .map(|node| upstream(s, node % plan.per_service, node, plan.zones))
                .collect(),
            limits: Vec::new(),
            chains: through.cloned().collect(),
            classes: vec![class.clone()],
            service,
        }
    };
    (0..services).map(piece).collect()
}

fn deployment(zones: usize) -> Deployment {
    let zone = |z: usize| Zone {
        name: zone_name(z).parse().expect("valid name"),
        region: format!("region-{}", z / 4).parse().expect("valid name"),
    };
    Deployment {
        zones: (0..zones).map(zone).collect(),
        ..from_json(serde_json::json!({
            "name": "fleet", "owner": "office", "favour": "goodput", "zones": [],
        }))
    }
}

impl Planes {
    /// Creates a network with a configuration service, an instance list and hosts for all nodes,
    /// without starting the nodes.
    pub fn new(plan: Plan) -> Self {
        let network = Network::new(plan.seed);
        network.set_loss(plan.loss);
        network.set_default_latency(Duration::from_millis(2));
        let zones: Vec<ZoneName> = (0..plan.zones)
            .map(|z| zone_name(z).parse().expect("valid name"))
            .collect();
        for (a, near) in zones.iter().enumerate() {
            for (b, far) in zones.iter().enumerate() {
                let latency_ms = match (a == b, a / 4 == b / 4) {
                    (true, _) => 0.3,
                    (_, true) => 1.0,
                    _ => 30.0,
                };
                let latency = Duration::from_secs_f64(latency_ms / 1_000.0);
                network.set_latency(near, far, latency);
            }
        }
        let pieces = pieces(&plan);
        let mut planes = Self {
            network,
            configuration: Configuration::default(),
            instances: Instances::default(),
            nodes: Vec::new(),
            revision: 0,
            deployment: deployment(plan.zones),
            rng: fastrand::Rng::with_seed(plan.seed ^ 0x0f1e_2d3c),
            tasks: JoinSet::new(),
            pieces,
        };
        planes.serve_platform();
        let upstreams: Vec<_> = planes.upstreams().cloned().collect();
        for upstream in upstreams {
            planes.add_node(upstream);
        }
        planes
    }

    fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.pieces.iter().flat_map(|p| &p.upstreams)
    }

    fn serve_platform(&mut self) {
        let net = self.network.net(PLATFORM, Process::default());
        let (configuration, instances) = (self.configuration.clone(), self.instances.clone());
        let at = |port| SocketAddr::new(PLATFORM, port);
        let instances_net = net.clone();
        self.tasks.spawn_local(async move {
            let _ = configuration.run(net, at(CONFIGURATION_PORT)).await;
        });
        self.tasks.spawn_local(async move {
            let _ = instances.run(instances_net, at(INSTANCES_PORT)).await;
        });
    }

    fn add_node(&mut self, upstream: Upstream) {
        let host = upstream.control.ip();
        self.network.assign_zone(host, upstream.zone.clone());
        let step = (self.upstreams().count() / SEEDS_PER_NODE).max(1);
        let seeds: Vec<_> = self
            .upstreams()
            .step_by(step)
            .take(SEEDS_PER_NODE)
            .map(|u| u.control)
            .collect();
        let at = |port| SocketAddr::new(host, port);
        let settings = Settings {
            name: upstream.name.clone(),
            service: upstream.service.clone(),
            zone: upstream.zone.clone(),
            region: "region-0".parse().expect("valid name"),
            public: upstream.public,
            peer: upstream.peer,
            control: upstream.control,
            egress: at(7_004),
            admin: at(7_005),
            server: at(7_006),
            configuration: SocketAddr::new(PLATFORM, CONFIGURATION_PORT),
            instances: SocketAddr::new(PLATFORM, INSTANCES_PORT),
            seeds,
            seed: Some(self.rng.u64(..)),
            log: Default::default(),
            metrics: None,
        };
        self.instances.set(&upstream, super::instances::State::Live);
        let context = Rc::new(NodeContext::new(settings.clone()));
        self.nodes.push(PlaneNode {
            upstream,
            settings,
            process: Process::default(),
            context,
            leaving: CancellationToken::new(),
            stop: CancellationToken::new(),
            effects: Rc::default(),
            starts: 0,
        });
    }

    /// Starts a node without state, as a new process on its host.
    pub fn start(&mut self, at: usize) {
        let seed = self.rng.u64(..);
        let node = &mut self.nodes[at];
        node.settings.seed = Some(seed);
        node.process = Process::default();
        node.context = Rc::new(NodeContext::new(node.settings.clone()));
        node.leaving = CancellationToken::new();
        node.stop = CancellationToken::new();
        let net = self
            .network
            .net(node.upstream.control.ip(), node.process.clone());
        let (context, leaving, stop) = (
            node.context.clone(),
            node.leaving.clone(),
            node.stop.clone(),
        );
        let run = run(net, context.clone(), leaving, stop);
        let host = Host::new(node.process.clone(), run);
        self.tasks.spawn_local(async move {
            host.await;
        });
        let (effects, run_number) = (node.effects.clone(), node.starts);
        node.starts += 1;
        self.tasks.spawn_local(async move {
            let mut changes = context.store.subscribe();
            // The store outlives the process, so this task may last until the simulation ends.
            while changes.changed().await.is_ok() {
                let Some((revision, digest)) = context.store.version() else {
                    continue;
                };
                effects.borrow_mut().push(AppliedRevision {
                    at: Instant::now(),
                    revision,
                    digest,
                    run: run_number,
                });
            }
        });
    }

    /// Starts all nodes.
    pub fn start_all(&mut self) {
        for at in 0..self.nodes.len() {
            self.start(at);
        }
    }

    /// Crashes the process of a node.
    pub fn crash(&self, at: usize) {
        self.nodes[at].process.crash();
    }

    /// Returns the next revision, in which one upstream of a random service has changed.
    pub fn change(&mut self) -> Publication {
        self.revision += 1;
        let piece = self.rng.usize(..self.pieces.len());
        self.change_piece(piece);
        self.publication()
    }

    /// Changes the number of slots of a random upstream of a service.
    pub fn change_piece(&mut self, piece: usize) {
        let upstreams = &mut self.pieces[piece].upstreams;
        let at = self.rng.usize(..upstreams.len());
        upstreams[at].slots = self.rng.u32(50..150);
    }

    /// Returns the publication of the current revision.
    pub fn publication(&self) -> Publication {
        let revision = Revision(self.revision);
        Publication::new(revision, self.deployment.clone(), self.pieces.clone())
    }

    /// Publishes the next revision, with a change as in [`Planes::change`], and returns its number.
    pub fn publish(&mut self) -> Revision {
        let publication = self.change();
        self.configuration.publish(&publication);
        publication.head.revision
    }

    /// Waits until a condition holds and returns the time taken, or `None` after `limit`.
    pub async fn wait_until(
        &self,
        limit: Duration,
        holds: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = Instant::now();
        while !holds(self) {
            if start.elapsed() >= limit {
                return None;
            }
            sleep(Duration::from_millis(50)).await;
        }
        Some(start.elapsed())
    }

    /// Whether a revision is in effect at all of these nodes.
    pub fn all_at(&self, revision: Revision, nodes: impl IntoIterator<Item = usize>) -> bool {
        let mut nodes = nodes.into_iter();
        nodes.all(|at| self.nodes[at].context.store.revision() == revision)
    }

    /// Returns for each node the time from `published` until `revision` or a later one was in
    /// effect; `None` where it never was.
    pub fn delays(&self, revision: Revision, published: Instant) -> Vec<Option<Duration>> {
        let delay = |node: &PlaneNode| {
            let effects = node.effects.borrow();
            let found = effects.iter().find(|e| e.revision >= revision);
            found.map(|e| e.at.saturating_duration_since(published))
        };
        self.nodes.iter().map(delay).collect()
    }

    /// Returns the sum of a counter over all nodes.
    pub fn sum(&self, counter: Counter) -> u64 {
        let values = self.nodes.iter().map(|n| n.context.counters.get(counter));
        values.sum()
    }

    /// Returns the counters of a node.
    pub fn counters(&self, at: usize) -> &Counters {
        &self.nodes[at].context.counters
    }

    /// Stops all nodes and then the platform services.
    ///
    /// # Errors
    /// Never fails.
    pub async fn end(mut self) -> Result<()> {
        for node in &self.nodes {
            node.stop.cancel();
            node.process.resume();
        }
        sleep(Duration::from_secs(1)).await;
        self.tasks.shutdown().await;
        Ok(())
    }
}

async fn run<N: Net>(
    net: N,
    context: Rc<NodeContext>,
    leaving: CancellationToken,
    stop: CancellationToken,
) {
    // The address may still be in use by the previous process of this host after a crash.
    let listener = loop {
        match net.bind(context.settings.control).await {
            Ok(listener) => break listener,
            Err(_) => sleep(Duration::from_millis(100)).await,
        }
    };
    let control = Control {
        net,
        settings: context.settings.clone(),
        store: context.store.clone(),
        gate: context.gate.clone(),
        router: context.router.clone(),
        counters: context.counters.clone(),
        journal: context.journal.clone(),
        rng: context.new_rng(),
        incarnation: context.incarnation,
        leaving,
    };
    control::run(control, listener, stop).await;
}
