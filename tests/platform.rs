//! Guards the state of a node on a platform: server registry, routes, traffic split, retry budget
//! and levels of downstream services.

use std::{collections::BTreeSet, time::Duration};

use comfreybay::{
    coordination::router::Router,
    state::{
        id::{Revision, RootId, ServiceName},
        level::Levels,
        mesh::{
            backend::{Backend, Phase},
            downstream::DownstreamLevels,
            progress::{Progress, watch_duration},
            registry::{Change, Registry, RemovalDelay},
            revision::{Epoch, StoreRevision},
            route::{Bounds, Error, Route, RouteTable, Service, WeightedService},
            split::WeightedRoundRobin,
            window::{Budget, RetryRank, RetryWindow},
        },
        object::Control,
        priority::{Level, Priority},
        upstream::Load,
    },
};
use tokio::time::Instant;

const PORT: u16 = 7;

fn backend(id: &str, host: u8) -> Backend {
    Backend {
        id: id.parse().unwrap(),
        started_ms: Some(1),
        service: "deep".parse().unwrap(),
        address: ([10, 0, 0, host], 80).into(),
        zone: "z".parse().unwrap(),
        slots: 4,
        phase: Phase::Ready,
        warmup: Duration::ZERO,
    }
}

fn registry() -> Registry {
    Registry::new(RemovalDelay {
        normal: Duration::from_millis(800),
        after_outage: Duration::from_millis(2_200),
    })
}

fn usable(registry: &Registry) -> Vec<String> {
    let services = registry.upstreams(PORT);
    let upstreams = services.values().flatten();
    upstreams.map(|u| u.name.to_string()).collect()
}

/// A revision of the first epoch.
fn at(revision: u64) -> StoreRevision {
    let epoch = Epoch(1);
    StoreRevision { epoch, revision }
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Guards against servers that are removed as soon as their entries are missing, although most of
/// their service is missing too, as when entries expire during a store outage.
#[test]
fn expired_servers_stay_until_the_delay_after_a_store_outage() {
    let (mut registry, now) = (registry(), Instant::now());
    for host in 1..=3 {
        registry.update(backend(&format!("i-{host}"), host), at(1), now);
    }
    registry.store_lost();
    registry.store_answered(now);
    assert_eq!(
        registry.mark_unlisted(&BTreeSet::new(), false, now).len(),
        3
    );
    assert!(registry.expire(now + ms(2_100)).is_empty());
    assert_eq!(usable(&registry).len(), 3);
    assert_eq!(registry.expire(now + ms(2_200)).len(), 3);
    assert!(usable(&registry).is_empty());
}

/// Guards against requests sent to the one server of its service whose entry was removed.
#[test]
fn single_missing_server_is_not_used() {
    let (mut registry, now) = (registry(), Instant::now());
    for host in 1..=3 {
        registry.update(backend(&format!("i-{host}"), host), at(1), now);
    }
    let removed = registry.mark_missing(&"i-2".parse().unwrap(), at(2), now);
    assert_eq!(removed, Some(Change::Missing));
    assert_eq!(usable(&registry), ["i-1.1", "i-3.1"]);
    assert_eq!(
        registry.update(backend("i-2", 2), at(3), now),
        Some(Change::Returned)
    );
    assert_eq!(usable(&registry).len(), 3);
}

/// Guards against a late update of an older revision that overwrites a newer one.
#[test]
fn older_update_is_ignored() {
    let (mut registry, now) = (registry(), Instant::now());
    let mut draining = backend("i-1", 1);
    draining.phase = Phase::Draining;
    registry.update(draining, at(5), now);
    assert_eq!(registry.update(backend("i-1", 1), at(4), now), None);
    assert!(usable(&registry).is_empty());
}

/// Guards against an old update that leaves a name behind which the server no longer has.
#[test]
fn older_update_leaves_no_name() {
    let (mut registry, now) = (registry(), Instant::now());
    let later = Backend {
        started_ms: Some(2),
        ..backend("i-1", 1)
    };
    registry.update(later, at(5), now);
    registry.update(backend("i-1", 1), at(4), now);
    assert_eq!(registry.by_name(&"i-1.1".parse().unwrap()), None);
    assert!(registry.by_name(&"i-1.2".parse().unwrap()).is_some());
}

/// Guards against requests sent to a server whose address another one has taken over.
#[test]
fn address_belongs_to_the_latest_server() {
    let (mut registry, now) = (registry(), Instant::now());
    registry.update(backend("i-old", 1), at(1), now);
    registry.update(backend("i-new", 1), at(2), now);
    assert_eq!(usable(&registry), ["i-new.1"]);
    assert_eq!(
        registry
            .by_address(backend("i", 1).address)
            .unwrap()
            .backend
            .id
            .as_str(),
        "i-new"
    );
}

/// Guards against measurements of a server that are still used after it has restarted.
#[test]
fn restart_under_the_same_id_is_another_server() {
    let (mut registry, now) = (registry(), Instant::now());
    registry.update(backend("i-1", 1), at(1), now);
    let mut again = backend("i-1", 1);
    again.started_ms = Some(2);
    assert_eq!(registry.update(again, at(2), now), Some(Change::Joined));
    assert_eq!(usable(&registry), ["i-1.2"]);
    assert!(registry.by_name(&"i-1.1".parse().unwrap()).is_none());
}

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        class: name.parse().unwrap(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        services: vec![WeightedService {
            service: "deep".parse().unwrap(),
            weight: 1.0,
        }],
        idempotent: true,
        timeout: ms(1_000),
        target: ms(500),
        attempts: 2,
        importance: 0,
        is_exempt: false,
    }
}

fn table(routes: Vec<Route>) -> Result<RouteTable, Error> {
    let service = Service { connections: 10 };
    let services = [("deep".parse().unwrap(), service)].into();
    let bounds = Bounds {
        body_bytes: 10,
        header_bytes: 100,
        header_timeout: ms(1_000),
        idle_timeout: ms(1_000),
    };
    RouteTable::new(Revision(1), routes, services, bounds)
}

/// Guards against a request that is matched to a route with a shorter prefix or of another host.
#[test]
fn longest_prefix_of_the_host_is_found() {
    let routes = vec![
        route("all", "a.example", "/"),
        route("long", "a.example", "/x/y/"),
        route("short", "A.example", "/x/"),
        route("other", "b.example", "/x/y/z/"),
    ];
    let table = table(routes).unwrap();
    for (host, path, class) in [
        ("a.example", "/x/y/z/1", "long"),
        ("a.example:8080", "/x/y", "short"),
        ("A.EXAMPLE", "/x/1", "short"),
        ("a.example", "/xy/", "all"),
        ("b.example", "/x/y/z/", "other"),
    ] {
        let found = table.find(host, path).map(|r| r.class.as_str());
        assert_eq!(found, Some(class), "{host} {path}");
    }
    assert!(table.find("b.example", "/x/").is_none());
    assert!(table.find("c.example", "/").is_none());
}

/// Guards against an invalid set of routes that is accepted.
#[test]
fn invalid_routes_are_rejected() {
    let open = route("a", "h", "/open");
    assert!(matches!(table(vec![open]), Err(Error::Prefix(_))));
    let twice = vec![route("a", "h", "/"), route("b", "H", "/")];
    assert!(matches!(table(twice), Err(Error::Duplicate(_))));
    let mut unknown = route("a", "h", "/");
    unknown.services[0].service = "other".parse().unwrap();
    assert!(matches!(table(vec![unknown]), Err(Error::Service(..))));
    let mut empty = route("a", "h", "/");
    empty.services.clear();
    assert!(matches!(table(vec![empty]), Err(Error::Range(..))));
    let mut weight = route("a", "h", "/");
    weight.services[0].weight = f64::NAN;
    assert!(matches!(table(vec![weight]), Err(Error::Range(..))));
}

/// Guards against shares that deviate from the weights in any 100 successive requests.
#[test]
fn shares_follow_the_weights_in_every_window() {
    let part = |weight| WeightedService {
        service: "deep".parse().unwrap(),
        weight,
    };
    let parts = [part(70.0), part(20.0), part(10.0)];
    for seed in 0..20 {
        let mut split = WeightedRoundRobin::new(&parts, &mut fastrand::Rng::with_seed(seed));
        let chosen: Vec<_> = (0..1_000).map(|_| split.next(&parts)).collect();
        for window in chosen.windows(100) {
            let first = window.iter().filter(|at| **at == 0).count();
            assert!((67..=73).contains(&first), "{first}");
        }
    }
}

/// Guards against retries that exceed the budget in some window, whatever the order of requests
/// and retries.
#[test]
fn no_window_exceeds_the_budget() {
    let budget = Budget {
        ratio: 0.1,
        slack: 5.0,
        window: Duration::from_secs(10),
    };
    let start = Instant::now();
    let mut window = RetryWindow::default();
    let mut rng = fastrand::Rng::with_seed(3);
    let mut spent = Vec::new();
    for n in 0..10_000 {
        let now = start + ms(n * 7);
        if rng.bool() {
            window.request(&budget, false, now);
        }
        let root = RootId::random(&mut rng);
        let rank = RetryRank::new(Priority::new(0, false, root), 0);
        if window.try_spend(&budget, 1.0, rank, now) {
            spent.push(now);
        }
    }
    // 10 s are 1,429 steps, about half of which are requests: a budget of about 71 + 5.
    for (at, first) in spent.iter().enumerate() {
        let within = spent[at..]
            .iter()
            .take_while(|t| **t < *first + budget.window);
        assert!(within.count() <= 95, "from {at}");
    }
}

/// Guards against retries on top of the repeated calls of requests that were sent again themselves.
#[test]
fn repeated_calls_use_up_the_retry_budget() {
    let budget = Budget {
        ratio: 0.1,
        slack: 0.0,
        window: Duration::from_secs(10),
    };
    let now = Instant::now();
    let rank = RetryRank::new(Priority::new(0, false, RootId([0; 16])), 0);
    for (repeated, expected) in [(0, true), (7, true), (10, false)] {
        let mut window = RetryWindow::default();
        (0..100).for_each(|n| window.request(&budget, n < repeated, now));
        let spent = window.try_spend(&budget, 1.0, rank, now);
        assert_eq!(spent, expected, "{repeated} repeated calls");
    }
}

/// Guards against an old load report of an upstream that overrides the newer level of its service,
/// so that requests are not refused at the entry but fail further down.
#[tokio::test(start_paused = true)]
async fn fresh_level_outweighs_an_old_report() {
    let rng = fastrand::Rng::with_seed(1);
    let (own, zone) = ("own".parse().unwrap(), "z".parse().unwrap());
    let router = Router::new(own, zone, Control::Ranked, rng);
    let mut registry = registry();
    registry.update(backend("i-1", 1), at(1), Instant::now());
    let services = registry.upstreams(PORT);
    router.replace(
        services
            .iter()
            .map(|(name, upstreams)| (name, upstreams.as_slice())),
    );
    let service: ServiceName = "deep".parse().unwrap();
    router.update_load(&"i-1.1".parse().unwrap(), Load::default(), Level::OPEN);
    tokio::time::advance(Duration::from_secs(2)).await;
    let levels = Levels([(service.clone(), Level(5))].into());
    router.update_levels(&levels);
    let priority = Priority::new(1, false, RootId([1; 16]));
    assert_eq!(router.first_refusing([&service], priority), Some(service));
}

fn deep_level(level: Level) -> Levels {
    Levels([("deep".parse().unwrap(), level)].into())
}

/// Guards against an old open level that two nodes keep reporting to each other: then they still
/// send requests that all gates of the deep service refuse.
///
/// The nodes send each other requests of one class, and one of them calls the deep service, which
/// becomes overloaded after 10 steps.
#[tokio::test(start_paused = true)]
async fn nodes_do_not_repeat_an_old_level_to_each_other() {
    let class = "order".parse().unwrap();
    let (mut entered, mut below): ([DownstreamLevels; 2], [DownstreamLevels; 2]) =
        Default::default();
    let priority = Priority::new(1, false, RootId([1; 16]));
    let (deep, order): (ServiceName, ServiceName) =
        ("deep".parse().unwrap(), "order".parse().unwrap());
    below[0].update(&class, &deep, &deep_level(Level::OPEN), Instant::now());
    for n in 0..200 {
        let now = Instant::now();
        if n >= 10 {
            below[0].update(&class, &deep, &deep_level(Level(5)), now);
        }
        for (from, to) in [(0, 1), (1, 0)] {
            let passed_on = below[to].recent(&class, now);
            entered[from].update(&class, &order, &passed_on, now);
        }
        tokio::time::advance(ms(10)).await;
    }
    let now = Instant::now();
    let excluded = entered[1].excluded_by(&class, priority, now);
    assert_eq!(excluded.map(|e| e.level), Some(Level(5)));
}

/// Guards against a level that is propagated as current although it was not updated recently.
#[tokio::test(start_paused = true)]
async fn old_levels_are_not_passed_on() {
    let class = "order".parse().unwrap();
    let mut reach = DownstreamLevels::default();
    let deep = "deep".parse().unwrap();
    reach.update(&class, &deep, &deep_level(Level(5)), Instant::now());
    assert_eq!(reach.recent(&class, Instant::now()), deep_level(Level(5)));
    tokio::time::advance(ms(600)).await;
    assert_eq!(reach.recent(&class, Instant::now()), Levels::default());
    assert!(reach.services(&class).next().is_some());
}

/// Guards against a node that renews its watch several times for one revision reported by peers,
/// and against a newer revision that is missed.
#[test]
fn peer_revision_counts_once() {
    let mut progress = Progress::default();
    progress.seen(at(4));
    progress.read_to(at(5));
    assert_eq!(
        progress.latest(),
        at(4),
        "the store's own revision must not count as an item"
    );
    let now = Instant::now();
    assert!(!progress.observe_peer(at(5), now));
    assert_eq!(progress.behind_since(), None);
    assert!(progress.observe_peer(at(7), now));
    assert!(!progress.observe_peer(at(7), now + ms(1)));
    // A later report does not extend the time for which this node has been behind.
    assert!(!progress.observe_peer(at(9), now + ms(2)));
    assert_eq!(progress.behind_since(), Some(now));
    progress.read_to(at(8));
    assert_eq!(progress.behind_since(), Some(now));
    progress.read_to(at(9));
    assert_eq!(progress.behind_since(), None);
    assert!(progress.observe_peer(at(10), now + ms(3)));
}

/// Guards against a node that renews its watch without end after a report that the store does not
/// confirm.
#[test]
fn report_that_the_store_does_not_confirm_is_dropped() {
    let mut progress = Progress::default();
    let now = Instant::now();
    progress.read_to(at(5));
    assert!(progress.observe_peer(at(u64::MAX), now));
    progress.confirm(at(6));
    assert_eq!(progress.behind_since(), None);
    assert!(!progress.observe_peer(at(6), now));
    assert!(progress.observe_peer(at(7), now));
}

/// Guards against a read rate that grows with the fleet, and against watches that all end
/// together: then no node would detect in time that the store's connections no longer answer.
#[test]
fn some_watch_of_a_fleet_always_ends_soon() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut reads = |nodes: usize| {
        let durations: Vec<_> = (0..nodes)
            .map(|_| watch_duration(nodes, &mut rng))
            .collect();
        assert!(
            durations
                .iter()
                .all(|h| *h >= ms(1_000) && *h <= ms(28_000))
        );
        let soon = durations.iter().filter(|h| **h < ms(3_000)).count();
        assert!(soon >= 2, "{soon} of {nodes} watches end within 3 s");
        nodes as f64 * nodes as f64 / durations.iter().sum::<Duration>().as_secs_f64()
    };
    let small = reads(13);
    let grown = reads(68);
    assert!(
        grown <= small * 1.5,
        "reads per second: {small} with 13 nodes, {grown} with 68"
    );
    // The read rate of which the store of the 68 nodes is capable.
    let large = reads(26_000);
    assert!(
        large <= 6_000.0,
        "{large} reads per second with 26,000 nodes"
    );
}

/// Guards against a lower level that each node on its way to the callers' nodes holds back, so that
/// requests are admitted for several hundred ms although the service below is full.
#[tokio::test(start_paused = true)]
async fn lower_level_passes_several_nodes_without_a_delay() {
    let class = "order".parse().unwrap();
    let service = |n: usize| -> ServiceName { format!("s{n}").parse().unwrap() };
    let mut nodes: [DownstreamLevels; 4] = Default::default();
    let deep: ServiceName = "deep".parse().unwrap();
    for n in 0..50 {
        let now = Instant::now();
        let level = if n < 25 { Level::OPEN } else { Level(5) };
        nodes[0].update(&class, &deep, &deep_level(level), now);
        for at in 1..nodes.len() {
            let passed_on = nodes[at - 1].recent(&class, now);
            nodes[at].update(&class, &service(at), &passed_on, now);
        }
        tokio::time::advance(ms(10)).await;
    }
    // The node beside the service combines the reports of 100 to 200 ms; the others add nothing.
    let now = Instant::now();
    assert_eq!(nodes[3].recent(&class, now), nodes[0].recent(&class, now));
    assert_eq!(nodes[3].recent(&class, now), deep_level(Level(5)));
}
