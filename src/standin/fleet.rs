//! All nodes and stand-ins of a publication, in virtual time or on loopback.

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
    server::{self, Knobs},
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
        memory::{Ended, Host, Process},
        node,
    },
};

const CONFIGURATION_PORT: u16 = 7_100;
const INSTANCES_PORT: u16 = 7_101;
const EGRESS_PORT: u16 = 7_003;
const ADMIN_PORT: u16 = 7_004;
const SERVER_PORT: u16 = 7_005;
/// A crashed process is started again after this time.
const RESTART_MS: u64 = 1_000;
/// A planned stop waits this long for the node to end by itself.
const STOP_MS: u64 = 30_000;
/// Callers learn of new and gone nodes after this time.
const DIRECTORY_MS: u64 = 500;
/// Control addresses that a node asks at its start.
const SEEDS: usize = 5;

/// What the fleet is made of.
#[derive(Debug, Clone)]
pub struct Make {
    /// Mean own time of each service's backend servers.
    pub work: BTreeMap<ServiceName, Duration>,
    /// Time until a backend server is warm.
    pub cold: Duration,
    /// Requests that wait in a backend server before it sheds.
    pub waiting: u32,
    /// Seed of everything random.
    pub seed: u64,
}

struct Running {
    process: Process,
    stop: CancellationToken,
    ended: watch::Receiver<bool>,
}

struct Unit {
    upstream: Upstream,
    region: RegionName,
    knobs: Knobs,
    node: Option<Running>,
    server: Option<Running>,
    launches: u64,
    lost: bool,
}

struct Inner<W> {
    world: W,
    make: Make,
    chains: Vec<Chain>,
    units: RefCell<BTreeMap<UpstreamName, Unit>>,
    tasks: RefCell<JoinSet<()>>,
    errors: RefCell<Vec<String>>,
    warm: Cell<bool>,
    configuration: Configuration,
    instances: Instances,
    directory: Directory,
    ledger: Ledger,
}

/// A running fleet; cheap to clone. Everything ends when the last clone is dropped.
pub struct Fleet<W>(Rc<Inner<W>>);

impl<W> Clone for Fleet<W> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<W: World> Fleet<W> {
    /// Prepares the fleet of a publication.
    pub fn new(world: W, publication: &Publication, make: Make) -> Self {
        let configuration = Configuration::default();
        configuration.publish(publication);
        let zones = &publication.head.deployment.zones;
        let region = |zone: &ZoneName| {
            let zone = zones.iter().find(|z| z.name == *zone);
            zone.map(|z| z.region.clone())
        };
        let mut units = BTreeMap::new();
        for upstream in plan::upstreams(publication).into_values().flatten() {
            let Some(region) = region(&upstream.zone) else {
                continue;
            };
            world.place(upstream.public.ip(), &upstream.zone);
            let unit = Unit {
                region,
                knobs: Knobs::default(),
                node: None,
                server: None,
                launches: 0,
                lost: false,
                upstream,
            };
            units.insert(unit.upstream.name.clone(), unit);
        }
        let chains = plan::chains(publication).into_iter().map(|(c, _)| c);
        Self(Rc::new(Inner {
            world,
            make,
            chains: chains.collect(),
            units: RefCell::new(units),
            tasks: RefCell::default(),
            errors: RefCell::default(),
            warm: Cell::new(true),
            configuration,
            instances: Instances::default(),
            directory: Directory::default(),
            ledger: Ledger::default(),
        }))
    }

    /// The configuration service.
    pub fn configuration(&self) -> &Configuration {
        &self.0.configuration
    }

    /// The instance list.
    pub fn instances(&self) -> &Instances {
        &self.0.instances
    }

    /// The addresses that callers know.
    pub fn directory(&self) -> Directory {
        self.0.directory.clone()
    }

    /// The executions so far.
    pub fn ledger(&self) -> &Ledger {
        &self.0.ledger
    }

    /// Errors with which nodes and stand-ins ended.
    pub fn errors(&self) -> Vec<String> {
        self.0.errors.borrow().clone()
    }

    /// The names of all upstreams.
    pub fn names(&self) -> Vec<UpstreamName> {
        self.0.units.borrow().keys().cloned().collect()
    }

    /// The upstreams of a service or an availability zone.
    pub fn select(&self, fits: impl Fn(&Upstream) -> bool) -> Vec<UpstreamName> {
        let units = self.0.units.borrow();
        let fit = units.values().filter(|u| fits(&u.upstream));
        fit.map(|u| u.upstream.name.clone()).collect()
    }

    /// The hosts of the upstreams that fit.
    pub fn hosts(&self, fits: impl Fn(&Upstream) -> bool) -> Vec<IpAddr> {
        let units = self.0.units.borrow();
        let fit = units.values().filter(|u| fits(&u.upstream));
        fit.map(|u| u.upstream.public.ip()).collect()
    }

    /// All upstreams with their services.
    pub fn services(&self) -> Vec<(ServiceName, UpstreamName)> {
        let units = self.0.units.borrow();
        let all = units.values().map(|u| &u.upstream);
        all.map(|u| (u.service.clone(), u.name.clone())).collect()
    }

    /// Starts the configuration service and the instance list.
    pub fn start_platform(&self) {
        let net = self.0.world.net(PLATFORM, Process::default());
        let at = |port| SocketAddr::new(PLATFORM, port);
        let configuration = self.0.configuration.clone();
        let instances = self.0.instances.clone();
        let mut tasks = self.0.tasks.borrow_mut();
        let own = net.clone();
        tasks.spawn_local(async move {
            let _ = configuration.run(own, at(CONFIGURATION_PORT)).await;
        });
        tasks.spawn_local(async move {
            let _ = instances.run(net, at(INSTANCES_PORT)).await;
        });
    }

    /// Starts all backend servers, warm.
    pub fn start_servers(&self) {
        self.0.warm.set(true);
        for name in self.names() {
            self.start_server(&name);
            self.list(&name, State::Live);
        }
        self.0.warm.set(false);
    }

    /// Starts everything.
    pub fn start(&self) {
        self.start_platform();
        self.start_servers();
        for name in self.names() {
            self.start_node(&name);
            self.advertise(&name, true);
        }
    }

    /// Adjustments of one backend server.
    ///
    /// # Errors
    /// There is no upstream of this name.
    pub fn knobs(&self, name: &UpstreamName) -> Result<Knobs> {
        let units = self.0.units.borrow();
        let unit = units.get(name).ok_or_else(|| missing(name))?;
        Ok(unit.knobs.clone())
    }

    /// The settings of one node.
    ///
    /// # Errors
    /// There is no upstream of this name.
    pub fn settings(&self, name: &UpstreamName) -> Result<Settings> {
        let units = self.0.units.borrow();
        let unit = units.get(name).ok_or_else(|| missing(name))?;
        let own = &unit.upstream;
        let at = |port| SocketAddr::new(own.public.ip(), port);
        let others = units.values().filter(|u| u.upstream.name != *name);
        let mut seeds: Vec<_> = others.map(|u| u.upstream.control).collect();
        let mut rng = fastrand::Rng::with_seed(self.seed(name, unit.launches));
        rng.shuffle(&mut seeds);
        seeds.truncate(SEEDS);
        Ok(Settings {
            name: own.name.clone(),
            service: own.service.clone(),
            zone: own.zone.clone(),
            region: unit.region.clone(),
            public: own.public,
            peer: own.peer,
            control: own.control,
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
        hasher.update(&self.0.make.seed.to_be_bytes());
        hasher.update(&launch.to_be_bytes());
        let bytes = hasher.finalize();
        u64::from_be_bytes(bytes.as_bytes()[..8].try_into().unwrap_or_default())
    }

    /// Starts a node, empty; nothing happens when it runs or is to stay down.
    pub fn start_node(&self, name: &UpstreamName) {
        if self.unit(name, |u| u.node.is_some() || u.lost) {
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
        self.edit(name, |unit| {
            unit.launches += 1;
            unit.node = Some(Running {
                process,
                stop,
                ended,
            });
        });
    }

    /// Starts a backend server; cold, except at the start of the fleet.
    pub fn start_server(&self, name: &UpstreamName) {
        if self.unit(name, |u| u.server.is_some() || u.lost) {
            return;
        }
        let (Ok(settings), Ok(knobs)) = (self.settings(name), self.knobs(name)) else {
            return;
        };
        let make = &self.0.make;
        let cold = if self.0.warm.get() {
            Duration::ZERO
        } else {
            make.cold
        };
        let work = make.work.get(&settings.service).copied();
        let mut own = server::Settings {
            name: name.clone(),
            service: settings.service.clone(),
            at: settings.server,
            egress: settings.egress,
            slots: 0,
            connections: 0,
            waiting: make.waiting,
            work: work.unwrap_or(Duration::from_millis(20)),
            cold,
            chains: self.0.chains.clone(),
            seed: settings.seed.unwrap_or_default() ^ 1,
        };
        self.edit(name, |unit| {
            unit.launches += 1;
            own.slots = unit.upstream.slots;
            own.connections = unit.upstream.connections;
        });
        knobs.drain(false);
        let (process, stop) = (Process::default(), CancellationToken::new());
        let net = self.0.world.net(own.at.ip(), process.clone());
        let (token, ledger) = (stop.clone(), self.0.ledger.clone());
        let own_process = process.clone();
        let main = async move {
            let _ = server::run(net, own, knobs, ledger, token).await;
            own_process.crash();
        };
        let (weak, again) = (Rc::downgrade(&self.0), name.clone());
        let ended = self.spawn(process.clone(), main, move |ended| {
            if ended == Ended::Crashed
                && let Some(inner) = weak.upgrade()
            {
                Fleet(inner).restart_server(again);
            }
        });
        self.edit(name, |unit| {
            unit.server = Some(Running {
                process,
                stop,
                ended,
            });
        });
    }

    fn unit(&self, name: &UpstreamName, holds: impl Fn(&Unit) -> bool) -> bool {
        self.0.units.borrow().get(name).is_none_or(holds)
    }

    fn restart_server(&self, name: UpstreamName) {
        if self.unit(&name, |u| u.lost) {
            return;
        }
        self.edit(&name, |unit| unit.server = None);
        let fleet = self.clone();
        self.0.tasks.borrow_mut().spawn_local(async move {
            sleep(Duration::from_millis(RESTART_MS)).await;
            fleet.start_server(&name);
        });
    }

    fn spawn(
        &self,
        process: Process,
        main: impl Future<Output = ()> + 'static,
        after: impl FnOnce(Ended) + 'static,
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

    fn edit(&self, name: &UpstreamName, change: impl FnOnce(&mut Unit)) {
        if let Some(unit) = self.0.units.borrow_mut().get_mut(name) {
            change(unit);
        }
    }

    fn list(&self, name: &UpstreamName, state: State) {
        if let Some(unit) = self.0.units.borrow().get(name) {
            self.0.instances.set(&unit.upstream, state);
        }
    }

    /// Tells callers of a node, or to forget it.
    pub fn advertise(&self, name: &UpstreamName, present: bool) {
        let units = self.0.units.borrow();
        let Some(unit) = units.get(name) else {
            return;
        };
        let mut directory = self.0.directory.borrow_mut();
        let all = directory.entry(unit.upstream.service.clone()).or_default();
        all.retain(|a| *a != unit.upstream.public);
        if present {
            all.push(unit.upstream.public);
        }
    }
}

fn missing(name: &UpstreamName) -> Error {
    Error::Missing {
        kind: "upstream",
        name: name.to_string(),
    }
}
