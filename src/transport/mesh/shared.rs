//! State of one node, shared by its tasks.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use http::HeaderMap;
use tokio::{sync::Notify, time::Instant};

use crate::{
    coordination::{gate::Gate, router::Router},
    protocol::{
        call::{read, write_unique},
        directory::HeaderNames,
        header,
    },
    state::{
        counters::{Counter, Counters},
        id::{ClassName, ServiceName, UpstreamName},
        level::Levels,
        memory::MemoryBudget,
        mesh::{
            backend::InstanceId,
            calls::RunningRequests,
            downstream::{DownstreamLevels, Excluded},
            progress::Progress,
            readers::{FormerReaders, SENTINELS, Source},
            registry::{Registry, RemovalDelay},
            revision::StoreRevision,
            route::{Route, RouteTable},
            settings::{InvalidSettings, PlatformBounds, Settings},
            split::WeightedRoundRobin,
            window::{Budget, RetryRank, RetryWindow},
        },
        object::{Control, Favour},
        priority::Priority,
        upstream::ServiceTimeMeter,
    },
};

use super::{
    super::{health::Health, link::Links, net::Net, pipeline::Shared, pool::Pool},
    metrics::Latency,
    quota::Quotas,
    relay::Relay,
    suspects::Sharing,
    unread::UnreadAnswers,
};

/// Share of the drain bound for which a server whose entry is missing may still get requests; the
/// rest is left for requests in transit.
const MISSING_DELAY_SHARE: f64 = 0.4;
/// Delay before a missing server is removed after an outage of the store. Entries that expired
/// during the outage are back within 2 s of its end.
const AFTER_OUTAGE_MS: u64 = 2_200;
/// Shares of the fleet's retry budget that the retries for one service may use. Retrying a request
/// that makes calls also repeats these calls at each downstream service, where they are counted: a
/// leaf service below three that make calls gets at most 3 x 0.15 of its budget that way, and its
/// own retries may fill it up to 0.7. The rest allows for clocks and windows that differ between
/// nodes.
const CALLING_RATIO_SHARE: f64 = 0.15;
const LEAF_RATIO_SHARE: f64 = 0.7;
/// The same for the constant part of the budget (the slack). The share of services that make calls
/// is small, because one retry there repeats several calls.
const CALLING_SLACK_SHARE: f64 = 0.05;
const LEAF_SLACK_SHARE: f64 = 0.4;
/// Time that a node takes to start anew.
const RESTART_MS: u64 = 500;

/// The state of one node, shared by its tasks.
pub struct Mesh<N: Net, D> {
    /// Settings of the node process at its start. Those that can change meanwhile are in
    /// [`Mesh::bounds`] and [`Mesh::store`].
    pub settings: Settings,
    bounds: Cell<PlatformBounds>,
    store: Cell<SocketAddr>,
    /// Notified when the store has another address.
    pub store_moved: Notify,
    /// Names of the platform's headers.
    pub names: HeaderNames,
    /// Paths and formats of the platform's store.
    pub directory: D,
    /// Network on which the node listens and dials.
    pub net: N,
    /// Admission to the backend server.
    pub gate: Gate,
    /// Selection of backend servers.
    pub router: Router,
    /// Connections to the backend server.
    pub pool: Pool<N>,
    /// Connections to other nodes.
    pub links: Links<N>,
    /// Crash detection of the backend server.
    pub health: Rc<Health>,
    /// The known backend servers.
    pub registry: RefCell<Registry>,
    /// The routes in effect.
    pub routes: RefCell<Option<Rc<RouteTable>>>,
    /// Whether the list of backend servers has been read at least once.
    pub listed: Cell<bool>,
    /// Store revisions read by this node and reported by other nodes.
    pub progress: RefCell<Progress>,
    /// Where this node gets the changes of the store from.
    pub source: RefCell<Source>,
    /// The nodes that read the store for others, the sentinels first.
    pub readers: RefCell<Vec<SocketAddr>>,
    /// The nodes that were readers until recently.
    pub former_readers: RefCell<FormerReaders>,
    /// Notified when the connections of another node to the store have fallen silent.
    pub store_alarm: Notify,
    /// Latest revision that a reader has told the others of.
    pub announced: Cell<StoreRevision>,
    /// Changes of the store that this node passes on.
    pub relay: Relay,
    /// Exchange of suspect requests with the other nodes of the service.
    pub suspects: Sharing,
    /// Quotas of organisations.
    pub quotas: Quotas,
    /// Notified when another node reports a newer store revision.
    pub behind_notify: Notify,
    /// Whether the node is about to stop: it is not ready, and reports this to other nodes.
    pub retiring: Cell<bool>,
    /// Whether requests from callers are refused, and connections closed after the next response.
    pub refusing_callers: Cell<bool>,
    /// End of the grace period, once the node is about to stop.
    pub stop_end: Cell<Option<Instant>>,
    /// Whether the node admits nothing any more, whatever its backend server does.
    pub closing: Cell<bool>,
    /// Time at which the last periodic work was due; it is long ago if the process was paused.
    pub tick_due: Cell<Instant>,
    /// End of the grace period, set when the requests still in progress are cancelled.
    pub grace_end: Cell<Option<Instant>>,
    /// Number of requests in progress that were received from this instance.
    pub local_requests: Rc<Cell<usize>>,
    /// Counters and gauges.
    pub counters: Rc<Counters>,
    /// Latency histograms.
    pub latency: Latency,
    /// Memory for what is held for callers, backend servers and other nodes.
    pub memory: Rc<MemoryBudget>,
    /// Streamed answers to other nodes.
    pub unread: UnreadAnswers,
    /// Requests of callers that are started ahead of their turn.
    pub pipeline: Shared,
    /// Random number generator.
    pub rng: RefCell<fastrand::Rng>,
    /// Requests running at the backend server.
    pub calls: Rc<RefCell<RunningRequests>>,
    /// Admission levels reported by the responses to requests from this instance, by their class.
    pub local_levels: RefCell<DownstreamLevels>,
    /// Admission levels reported by the responses to calls of the backend server, by the class of
    /// the request that made the call.
    pub call_levels: RefCell<DownstreamLevels>,
    /// Time that calls take at the backend server.
    pub service_times: RefCell<ServiceTimeMeter>,
    /// Whether servers are chosen by expected delay where they report their load.
    pub selects_by_delay: Cell<bool>,
    splits: RefCell<BTreeMap<ClassName, WeightedRoundRobin>>,
    retry_windows: RefCell<BTreeMap<ServiceName, RetryWindow>>,
    pub(super) cooldowns: RefCell<BTreeMap<UpstreamName, Instant>>,
    pub(super) own_id: RefCell<Option<InstanceId>>,
}

impl<N: Net, D> Mesh<N, D> {
    /// The state of a node before it has read the store.
    pub fn new(net: N, settings: Settings, names: HeaderNames, directory: D) -> Self {
        let mut rng = fastrand::Rng::new();
        let counters: Rc<Counters> = Rc::default();
        let control = Control::Ranked;
        let router = Router::new(
            settings.name.clone(),
            settings.zone.clone(),
            control,
            rng.fork(),
        );
        let removal_delay = removal_delay(&settings.bounds);
        Self {
            gate: Gate::new(1, Favour::Goodput, control, rng.fork()),
            router,
            pool: Pool::new(net.clone(), settings.server),
            links: Links::new(net.clone(), counters.clone()),
            health: Rc::default(),
            registry: RefCell::new(Registry::new(removal_delay)),
            routes: RefCell::default(),
            listed: Cell::new(false),
            progress: RefCell::default(),
            source: RefCell::new(Source::Store),
            readers: RefCell::default(),
            former_readers: RefCell::default(),
            store_alarm: Notify::new(),
            announced: Cell::default(),
            relay: Relay::default(),
            suspects: Sharing::default(),
            quotas: Quotas::new(&mut rng),
            behind_notify: Notify::new(),
            retiring: Cell::new(false),
            refusing_callers: Cell::new(false),
            stop_end: Cell::new(None),
            closing: Cell::new(false),
            tick_due: Cell::new(Instant::now()),
            grace_end: Cell::new(None),
            local_requests: Rc::default(),
            pipeline: Shared::new(counters.clone(), settings.limits.ends()),
            counters,
            latency: Latency::default(),
            memory: MemoryBudget::new(settings.limits.budget()),
            unread: UnreadAnswers::default(),
            rng: RefCell::new(rng),
            calls: Rc::default(),
            local_levels: RefCell::default(),
            call_levels: RefCell::default(),
            service_times: RefCell::default(),
            selects_by_delay: Cell::new(settings.select_by_delay),
            splits: RefCell::default(),
            retry_windows: RefCell::default(),
            cooldowns: RefCell::default(),
            own_id: RefCell::default(),
            bounds: Cell::new(settings.bounds),
            store: Cell::new(settings.store),
            store_moved: Notify::new(),
            settings,
            names,
            directory,
            net,
        }
    }

    /// Limits that the platform imposes.
    pub fn bounds(&self) -> PlatformBounds {
        self.bounds.get()
    }

    /// Address of the platform's store.
    pub fn store(&self) -> SocketAddr {
        self.store.get()
    }

    /// Puts changed settings in effect. Connections and requests in progress are not affected.
    ///
    /// # Errors
    /// A setting differs that can only change with a restart; nothing is changed then.
    pub fn reload(&self, settings: &Settings) -> Result<(), InvalidSettings> {
        self.settings.check_reload(settings)?;
        self.bounds.set(settings.bounds);
        self.set_select_by_delay(settings.select_by_delay);
        let mut registry = self.registry.borrow_mut();
        registry.set_delay(removal_delay(&settings.bounds));
        if self.store.replace(settings.store) != settings.store {
            self.store_moved.notify_one();
        }
        Ok(())
    }

    /// Whether the node can serve callers: routes and backend servers are known, and it is not
    /// retiring.
    pub fn is_ready(&self) -> bool {
        self.routes.borrow().is_some() && self.listed.get() && !self.retiring.get()
    }

    /// Time after which requests that the stopping node refuses can be served again; zero if it does
    /// not stop.
    pub fn time_to_restart(&self) -> Duration {
        let Some(end) = self.stop_end.get() else {
            return Duration::ZERO;
        };
        end.saturating_duration_since(Instant::now()) + Duration::from_millis(RESTART_MS)
    }

    /// Selects the service for the next request of a route.
    pub fn pick_service(&self, route: &Route) -> ServiceName {
        let at = match route.services.len() {
            0 | 1 => 0,
            _ => self.pick_split(route),
        };
        route.services[at].service.clone()
    }

    fn pick_split(&self, route: &Route) -> usize {
        let mut splits = self.splits.borrow_mut();
        let split = splits.entry(route.class.clone()).or_insert_with(|| {
            WeightedRoundRobin::new(&route.services, &mut self.rng.borrow_mut())
        });
        split.next(&route.services)
    }

    /// Replaces the routes, and clears the state that depends on them.
    pub fn apply_routes(&self, table: RouteTable) {
        self.splits.borrow_mut().clear();
        self.local_levels.borrow_mut().clear();
        self.call_levels.borrow_mut().clear();
        let revision = table.revision().0;
        let quota = self.bounds().quota;
        self.quotas.set_limits(table.organisations(), &quota);
        self.counters.set(Counter::ConfigRevision, revision);
        let (organisations, keys) = table
            .organisations()
            .map_or((0, 0), |all| (all.len(), all.key_count()));
        self.counters
            .set(Counter::Organisations, organisations as u64);
        self.counters.set(Counter::OrganisationKeys, keys as u64);
        let mut services: BTreeSet<_> = table.service_names().cloned().collect();
        // The node's own server counts as one whether or not it can be called.
        services.insert(self.settings.service.clone());
        self.registry.borrow_mut().set_services(services);
        *self.routes.borrow_mut() = Some(Rc::new(table));
        self.apply_registry();
    }

    /// Address at which this node serves the others.
    pub fn own_peer(&self) -> SocketAddr {
        SocketAddr::new(self.settings.server.ip(), self.settings.inbound.port())
    }

    /// Whether this node has to notice soon when its connection to the store falls silent.
    pub fn is_sentinel(&self) -> bool {
        self.reader_rank().is_some_and(|rank| rank < SENTINELS)
    }

    /// Position of this node among the readers of all zones, the sentinels first; `None` if it reads
    /// the store for no other node.
    pub fn reader_rank(&self) -> Option<usize> {
        let (readers, own) = (self.readers.borrow(), self.own_peer());
        readers.iter().position(|reader| *reader == own)
    }

    /// Whether the backend server beside this node leaves, or its entry is draining or missing.
    pub fn is_draining(&self) -> bool {
        let registry = self.registry.borrow();
        let own = registry.by_address(self.settings.server);
        own.is_some_and(|own| registry.is_leaving(&own.backend) || own.is_draining())
    }

    /// Reads the store revision that another node reports.
    pub fn read_progress(&self, headers: &HeaderMap) {
        let revision: Option<StoreRevision> = read(headers, header::REVISION).ok().flatten();
        let now = Instant::now();
        if revision.is_some_and(|r| self.progress.borrow_mut().observe_peer(r, now)) {
            self.behind_notify.notify_one();
        }
    }

    /// Writes the latest store revision read, for another node.
    pub fn write_progress(&self, headers: &mut HeaderMap) {
        write_unique(headers, header::REVISION, &self.progress.borrow().latest());
    }

    /// The ID of a backend server, by its name in the router.
    pub fn instance_id(&self, name: &UpstreamName) -> Option<InstanceId> {
        self.registry.borrow().by_name(name).cloned()
    }

    /// Counts a request for a service, for the retry budget. `repeated`: whether a request on whose
    /// behalf it is made was sent before, which makes this one an extra arrival.
    pub fn count_request(&self, service: &ServiceName, repeated: bool) {
        let budget = self.budget();
        let mut windows = self.retry_windows.borrow_mut();
        let window = windows.entry(service.clone()).or_default();
        window.request(&budget, repeated, Instant::now());
    }

    /// Spends one retry at a service, if this node's share of the retry budget allows it.
    ///
    /// `calls`: whether the request makes calls; a retry repeats them at each downstream service.
    pub fn try_spend_retry(&self, service: &ServiceName, calls: bool, priority: Priority) -> bool {
        let mut budget = self.budget();
        let nodes = self.registry.borrow().len().max(1) as f64;
        let (ratio, slack) = match calls {
            true => (CALLING_RATIO_SHARE, CALLING_SLACK_SHARE),
            false => (LEAF_RATIO_SHARE, LEAF_SLACK_SHARE),
        };
        budget.ratio *= ratio;
        budget.slack *= slack;
        let routes = self.routes.borrow();
        let most = routes.as_ref().and_then(|table| table.most_important());
        let rank = RetryRank::new(priority, most.unwrap_or_default());
        let mut windows = self.retry_windows.borrow_mut();
        let window = windows.entry(service.clone()).or_default();
        let spent = window.try_spend(&budget, 1.0 / nodes, rank, Instant::now());
        if !spent {
            self.counters.add(Counter::RetriesBudget, 1);
        }
        spent
    }

    fn budget(&self) -> Budget {
        self.bounds().budget
    }

    /// The levels to report on a response: this node's own, and recent ones of the services that
    /// requests of `class` call.
    pub fn levels(&self, class: Option<&ClassName>) -> Levels {
        let call_levels = self.call_levels.borrow();
        let mut levels = match class {
            Some(class) => call_levels.recent(class, Instant::now()),
            None => Levels::default(),
        };
        let own = self.settings.service.clone();
        levels.0.insert(own, self.gate.level());
        levels
    }

    /// Records the levels reported on a response of a node of service `from` to a request of
    /// `class`.
    ///
    /// `parent` is the class of the request on whose behalf it was made, if any.
    pub fn record_levels(
        &self,
        class: &ClassName,
        parent: Option<&ClassName>,
        from: &ServiceName,
        levels: &Levels,
    ) {
        let now = Instant::now();
        let mut local_levels = self.local_levels.borrow_mut();
        local_levels.update(class, from, levels, now);
        if let Some(parent) = parent {
            let mut call_levels = self.call_levels.borrow_mut();
            call_levels.update(parent, from, levels, now);
        }
    }

    /// The downstream level that excludes a request of a class and priority, if any.
    pub fn excluded_by(&self, class: &ClassName, priority: Priority) -> Option<Excluded> {
        let local_levels = self.local_levels.borrow();
        local_levels.excluded_by(class, priority, Instant::now())
    }

    /// Whether requests of a class for a service are known to make no calls.
    pub fn is_leaf(&self, class: &ClassName, service: &ServiceName) -> bool {
        let local_levels = self.local_levels.borrow();
        let mut services = local_levels.services(class).peekable();
        services.peek().is_some() && services.all(|s| s == service)
    }
}

fn removal_delay(bounds: &PlatformBounds) -> RemovalDelay {
    RemovalDelay {
        normal: bounds.drain.mul_f64(MISSING_DELAY_SHARE),
        after_outage: Duration::from_millis(AFTER_OUTAGE_MS),
    }
}
