//! All nodes, backend servers and platform services of a publication, in virtual time or on
//! loopback.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use tokio::{
    sync::watch,
    task::JoinSet,
    time::{Instant, sleep, timeout},
};
use tokio_util::sync::CancellationToken;

mod faults;

use super::{
    Error, Result,
    caller::Directory,
    configuration::Configuration,
    instances::{Instances, State},
    ledger::Ledger,
    plan,
    server::{self, ServerControls},
    world::{PLATFORM, World},
};
use crate::{
    state::{
        id::{RegionName, ServiceName, UpstreamName, ZoneName},
        object::{Chain, Upstream},
        publication::Publication,
        settings::Settings,
    },
    transport::{
        memory::{Host, HostEnd, Process},
        node,
    },
};

const CONFIGURATION_PORT: u16 = 7_100;
const INSTANCES_PORT: u16 = 7_101;
const EGRESS_PORT: u16 = 7_003;
const ADMIN_PORT: u16 = 7_004;
const SERVER_PORT: u16 = 7_005;
/// Time from the crash of a process to its restart.
const RESTART_DELAY_MS: u64 = 1_000;
/// Maximum time that a planned stop waits for the node to exit.
const STOP_TIMEOUT_MS: u64 = 30_000;
/// Time after which callers learn that a node was added or removed.
const DIRECTORY_DELAY_MS: u64 = 500;
/// Number of control addresses in a node's settings that it contacts at its start.
const SEEDS_PER_NODE: usize = 5;

/// Parameters of a fleet.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// Mean service time of the backend servers of each service, without downstream calls.
    pub service_times: BTreeMap<ServiceName, Duration>,
    /// Time after its start during which a backend server is slower.
    pub warm_up: Duration,
    /// Maximum number of requests waiting in a backend server; further ones are shed.
    pub queue_limit: u32,
    /// Seed of all random choices.
    pub seed: u64,
}

struct RunningProcess {
    process: Process,
    stop: CancellationToken,
    ended: watch::Receiver<bool>,
}

struct Member {
    upstream: Upstream,
    region: RegionName,
    server_controls: ServerControls,
    node: Option<RunningProcess>,
    server: Option<RunningProcess>,
    launches: u64,
    /// Set while the upstream is lost or stopped; its processes must not be started.
    down: bool,
}

struct Inner<W> {
    world: W,
    options: FleetOptions,
    chains: Vec<Chain>,
    members: RefCell<BTreeMap<UpstreamName, Member>>,
    tasks: RefCell<JoinSet<()>>,
    errors: RefCell<Vec<String>>,
    start_warm: Cell<bool>,
    configuration: Configuration,
    instances: Instances,
    directory: Directory,
    ledger: Ledger,
}

/// A fleet; cheap to clone. All its processes end when the last clone is dropped.
pub struct Fleet<W>(Rc<Inner<W>>);

impl<W> Clone for Fleet<W> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<W: World> Fleet<W> {
    /// Creates the fleet of a publication without starting its processes.
    pub fn new(world: W, publication: &Publication, options: FleetOptions) -> Self {
        let configuration = Configuration::default();
        configuration.publish(publication);
        let zones = &publication.head.deployment.zones;
        let region = |zone: &ZoneName| {
            let zone = zones.iter().find(|z| z.name == *zone);
            zone.map(|z| z.region.clone())
        };
        let mut members = BTreeMap::new();
        for upstream in plan::upstreams(publication).into_values().flatten() {
            let Some(region) = region(&upstream.zone) else {
                continue;
            };
            world.set_zone(upstream.public.ip(), &upstream.zone);
            let member = Member {
                region,
                server_controls: ServerControls::default(),
                node: None,
                server: None,
                launches: 0,
                down: false,
                upstream,
            };
            members.insert(member.upstream.name.clone(), member);
        }
        let chains = plan::chains(publication).into_iter().map(|(c, _)| c);
        Self(Rc::new(Inner {
            world,
            options,
            chains: chains.collect(),
            members: RefCell::new(members),
            tasks: RefCell::default(),
            errors: RefCell::default(),
            start_warm: Cell::new(true),
            configuration,
            instances: Instances::default(),
            directory: Directory::default(),
            ledger: Ledger::default(),
        }))
    }

    /// Returns the configuration service.
    pub fn configuration(&self) -> &Configuration {
        &self.0.configuration
    }

    /// Returns the instance list.
    pub fn instances(&self) -> &Instances {
        &self.0.instances
    }

    /// Returns the node addresses known to callers.
    pub fn directory(&self) -> Directory {
        self.0.directory.clone()
    }

    /// Returns the record of executions.
    pub fn ledger(&self) -> &Ledger {
        &self.0.ledger
    }

    /// Returns the errors so far: nodes that failed or exceeded the stop timeout.
    pub fn errors(&self) -> Vec<String> {
        self.0.errors.borrow().clone()
    }

    /// Returns the names of all upstreams.
    pub fn names(&self) -> Vec<UpstreamName> {
        self.0.members.borrow().keys().cloned().collect()
    }

    /// Returns the names of the upstreams that match a condition.
    pub fn find_upstreams(&self, matches: impl Fn(&Upstream) -> bool) -> Vec<UpstreamName> {
        let members = self.0.members.borrow();
        let found = members.values().filter(|m| matches(&m.upstream));
        found.map(|m| m.upstream.name.clone()).collect()
    }

    /// Returns the host addresses of the upstreams that match a condition.
    pub fn find_hosts(&self, matches: impl Fn(&Upstream) -> bool) -> Vec<IpAddr> {
        let members = self.0.members.borrow();
        let found = members.values().filter(|m| matches(&m.upstream));
        found.map(|m| m.upstream.public.ip()).collect()
    }

    /// Returns all upstream names with their services.
    pub fn services(&self) -> Vec<(ServiceName, UpstreamName)> {
        let members = self.0.members.borrow();
        let all = members.values().map(|m| &m.upstream);
        all.map(|u| (u.service.clone(), u.name.clone())).collect()
    }

    /// Starts the configuration service and the instance list.
    pub fn start_platform(&self) {
        let net = self.0.world.net(PLATFORM, Process::default());
        let at = |port| SocketAddr::new(PLATFORM, port);
        let configuration = self.0.configuration.clone();
        let instances = self.0.instances.clone();
        let mut tasks = self.0.tasks.borrow_mut();
        let configuration_net = net.clone();
        tasks.spawn_local(async move {
            let _ = configuration
                .run(configuration_net, at(CONFIGURATION_PORT))
                .await;
        });
        tasks.spawn_local(async move {
            let _ = instances.run(net, at(INSTANCES_PORT)).await;
        });
    }

    /// Starts all backend servers without a warm-up and lists them as live.
    pub fn start_servers(&self) {
        self.0.start_warm.set(true);
        for name in self.names() {
            self.start_server(&name);
            self.set_listed(&name, State::Live);
        }
        self.0.start_warm.set(false);
    }

    /// Starts the platform services, all backend servers and all nodes.
    pub fn start(&self) {
        self.start_platform();
        self.start_servers();
        for name in self.names() {
            self.start_node(&name);
            self.advertise(&name, true);
        }
    }

    /// Returns the runtime controls of a backend server.
    ///
    /// # Errors
    /// Returns an error when there is no upstream of this name.
    pub fn server_controls(&self, name: &UpstreamName) -> Result<ServerControls> {
        let members = self.0.members.borrow();
        let member = members.get(name).ok_or_else(|| missing(name))?;
        Ok(member.server_controls.clone())
    }

    /// Returns the settings of a node.
    ///
    /// # Errors
    /// Returns an error when there is no upstream of this name.
    pub fn settings(&self, name: &UpstreamName) -> Result<Settings> {
        let members = self.0.members.borrow();
        let member = members.get(name).ok_or_else(|| missing(name))?;
        let upstream = &member.upstream;
        let at = |port| SocketAddr::new(upstream.public.ip(), port);
        let others = members.values().filter(|m| m.upstream.name != *name);
        let mut seeds: Vec<_> = others.map(|m| m.upstream.control).collect();
        let mut rng = fastrand::Rng::with_seed(self.seed(name, member.launches));
        rng.shuffle(&mut seeds);
        seeds.truncate(SEEDS_PER_NODE);
        Ok(Settings {
            name: upstream.name.clone(),
            service: upstream.service.clone(),
            zone: upstream.zone.clone(),
            region: member.region.clone(),
            public: upstream.public,
            peer: upstream.peer,
            control: upstream.control,
            egress: at(EGRESS_PORT),
            admin: at(ADMIN_PORT),
            server: at(SERVER_PORT),
            configuration: SocketAddr::new(PLATFORM, CONFIGURATION_PORT),
            instances: SocketAddr::new(PLATFORM, INSTANCES_PORT),
            seeds,
            seed: Some(rng.u64(..)),
            log: Default::default(),
            metrics: None,
        })
    }

    fn seed(&self, name: &UpstreamName, launch: u64) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(name.as_str().as_bytes());
        hasher.update(&self.0.options.seed.to_be_bytes());
        hasher.update(&launch.to_be_bytes());
        let bytes = hasher.finalize();
        u64::from_be_bytes(bytes.as_bytes()[..8].try_into().unwrap_or_default())
    }

    /// Starts a node without state. Does nothing when the node is running or its upstream is down.
    pub fn start_node(&self, name: &UpstreamName) {
        if self.missing_or(name, |m| m.node.is_some() || m.down) {
            return;
        }
        let Ok(settings) = self.settings(name) else {
            return;
        };
        let (process, stop) = (Process::default(), CancellationToken::new());
        let net = self.0.world.net(settings.public.ip(), process.clone());
        let (fleet, token) = (Rc::downgrade(&self.0), stop.clone());
        let main = async move {
            let name = settings.name.clone();
            if let Err(error) = node::run(net, settings, token).await
                && let Some(fleet) = fleet.upgrade()
            {
                fleet
                    .errors
                    .borrow_mut()
                    .push(format!("node {name}: {error}"));
            }
        };
        let ended = self.spawn(process.clone(), main, |_| {});
        self.update_member(name, |member| {
            member.launches += 1;
            member.node = Some(RunningProcess {
                process,
                stop,
                ended,
            });
        });
    }

    /// Starts a backend server, with a warm-up except at the start of the fleet. Does nothing when
    /// the server is running or its upstream is down.
    pub fn start_server(&self, name: &UpstreamName) {
        if self.missing_or(name, |m| m.server.is_some() || m.down) {
            return;
        }
        let (Ok(settings), Ok(controls)) = (self.settings(name), self.server_controls(name)) else {
            return;
        };
        let options = &self.0.options;
        let warm_up = if self.0.start_warm.get() {
            Duration::ZERO
        } else {
            options.warm_up
        };
        let mean_time = options.service_times.get(&settings.service).copied();
        let mut server_settings = server::Settings {
            name: name.clone(),
            service: settings.service.clone(),
            at: settings.server,
            egress: settings.egress,
            slots: 0,
            connections: 0,
            queue_limit: options.queue_limit,
            mean_time: mean_time.unwrap_or(Duration::from_millis(20)),
            warm_up,
            chains: self.0.chains.clone(),
            seed: settings.seed.unwrap_or_default() ^ 1,
        };
        self.update_member(name, |member| {
            member.launches += 1;
            server_settings.slots = member.upstream.slots;
            server_settings.connections = member.upstream.connections;
        });
        controls.set_draining(false);
        let (process, stop) = (Process::default(), CancellationToken::new());
        let net = self.0.world.net(server_settings.at.ip(), process.clone());
        let (token, ledger) = (stop.clone(), self.0.ledger.clone());
        let server_process = process.clone();
        let main = async move {
            let _ = server::run(net, server_settings, controls, ledger, token).await;
            server_process.crash();
        };
        let (weak, crashed_name) = (Rc::downgrade(&self.0), name.clone());
        let ended = self.spawn(process.clone(), main, move |ended| {
            if ended == HostEnd::Crashed
                && let Some(inner) = weak.upgrade()
            {
                Fleet(inner).restart_server(crashed_name);
            }
        });
        self.update_member(name, |member| {
            member.server = Some(RunningProcess {
                process,
                stop,
                ended,
            });
        });
    }

    /// Whether an upstream doesn't exist or `holds` is true for it.
    fn missing_or(&self, name: &UpstreamName, holds: impl Fn(&Member) -> bool) -> bool {
        self.0.members.borrow().get(name).is_none_or(holds)
    }

    fn restart_server(&self, name: UpstreamName) {
        if self.missing_or(&name, |m| m.down) {
            return;
        }
        self.update_member(&name, |member| member.server = None);
        let fleet = self.clone();
        self.0.tasks.borrow_mut().spawn_local(async move {
            sleep(Duration::from_millis(RESTART_DELAY_MS)).await;
            fleet.start_server(&name);
        });
    }

    fn spawn(
        &self,
        process: Process,
        main: impl Future<Output = ()> + 'static,
        after: impl FnOnce(HostEnd) + 'static,
    ) -> watch::Receiver<bool> {
        let (sender, receiver) = watch::channel(false);
        let host = Host::new(process, main);
        self.0.tasks.borrow_mut().spawn_local(async move {
            let ended = host.await;
            let _ = sender.send(true);
            after(ended);
        });
        receiver
    }

    fn update_member(&self, name: &UpstreamName, change: impl FnOnce(&mut Member)) {
        if let Some(member) = self.0.members.borrow_mut().get_mut(name) {
            change(member);
        }
    }

    fn set_listed(&self, name: &UpstreamName, state: State) {
        if let Some(member) = self.0.members.borrow().get(name) {
            self.0.instances.set(&member.upstream, state);
        }
    }

    /// Adds a node to the addresses known to callers, or removes it.
    pub fn advertise(&self, name: &UpstreamName, present: bool) {
        let members = self.0.members.borrow();
        let Some(member) = members.get(name) else {
            return;
        };
        let mut directory = self.0.directory.borrow_mut();
        let addresses = directory
            .entry(member.upstream.service.clone())
            .or_default();
        addresses.retain(|a| *a != member.upstream.public);
        if present {
            addresses.push(member.upstream.public);
        }
    }
}

fn missing(name: &UpstreamName) -> Error {
    Error::Missing {
        kind: "upstream",
        name: name.to_string(),
    }
}
