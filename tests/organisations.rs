//! Guards decisions on organisations: their keys, and the order of requests by their priorities and
//! those of the routes. No network.

use std::{collections::BTreeMap, time::Duration};

use comfreybay::state::{
    id::{Revision, RootId, ServiceName},
    level::{LevelController, QueueStats},
    mesh::{
        organisation::{Error, Organisation, Organisations, Quota},
        precedence::Precedence,
        route::{Bounds, Route, RouteTable, Service, WeightedService},
        window::RetryRank,
    },
    priority::Priority,
};
use proptest::prelude::*;

const ROOT: RootId = RootId([1; 16]);

fn organisation(name: &str, priority: Option<u8>, keys: &[&str]) -> (Organisation, Vec<String>) {
    let organisation = Organisation {
        name: name.parse().unwrap(),
        priority,
        quota: None,
    };
    (organisation, keys.iter().map(|&key| key.into()).collect())
}

fn route(name: &str, importance: u8) -> Route {
    Route {
        class: name.parse().unwrap(),
        host: "h".to_owned(),
        prefix: format!("/{name}/"),
        services: vec![WeightedService {
            service: "s".parse().unwrap(),
            weight: 1.0,
        }],
        idempotent: true,
        timeout: Duration::from_secs(1),
        target: Duration::from_secs(1),
        attempts: 2,
        importance,
        is_exempt: false,
    }
}

fn table(importances: &[u8]) -> RouteTable {
    let routes = importances.iter().map(|i| route(&format!("r{i}"), *i));
    let services: BTreeMap<ServiceName, Service> =
        [("s".parse().unwrap(), Service { connections: 1 })].into();
    let bounds = Bounds {
        body_bytes: 1,
        header_bytes: 1_000,
        header_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };
    RouteTable::new(Revision(1), routes.collect(), services, bounds).unwrap()
}

fn owner(all: &Organisations, key: &str) -> Option<String> {
    all.find(key.as_bytes()).map(|o| o.name.to_string())
}

/// Guards against a key that is taken for that of another organisation, and against one that is
/// accepted although the configuration does not contain it.
#[test]
fn key_belongs_to_one_organisation() {
    let all = Organisations::new(vec![
        organisation("a", None, &["k1", "k2", "k2"]),
        organisation("B_2", None, &["k3"]),
        organisation("without", None, &[]),
        organisation("empty", None, &[""]),
    ])
    .unwrap();
    assert_eq!((all.len(), all.key_count()), (4, 4));
    assert_eq!(owner(&all, "k1").as_deref(), Some("a"));
    assert_eq!(owner(&all, "k2").as_deref(), Some("a"));
    assert_eq!(owner(&all, "k3").as_deref(), Some("B_2"));
    for unknown in ["", "k", "k11", "K1", "k4", " k1"] {
        assert_eq!(owner(&all, unknown), None, "{unknown:?}");
    }
}

/// Guards against keys of an earlier table that stay valid, and new ones that don't become so, when
/// one version changes all keys of an organisation.
#[test]
fn changed_table_has_only_its_own_keys() {
    let before = Organisations::new(vec![organisation("a", None, &["old", "kept"])]).unwrap();
    let after = Organisations::new(vec![organisation("a", None, &["kept", "new"])]).unwrap();
    let found = |all| ["old", "kept", "new"].map(|key| owner(all, key).is_some());
    assert_eq!(found(&before), [true, true, false]);
    assert_eq!(found(&after), [false, true, true]);
}

/// Guards against a set that is used although two organisations share a key or a name, or a limit
/// can't be enforced, and against an error that contains a key.
#[test]
fn inconsistent_organisations_are_rejected() {
    let shared = vec![
        organisation("a", None, &["k-one", "k-shared"]),
        organisation("b", None, &["k-shared"]),
    ];
    let error = Organisations::new(shared).unwrap_err();
    assert!(matches!(error, Error::SharedKey(..)), "{error}");
    assert!(!error.to_string().contains("k-"), "{error}");
    let twice = vec![organisation("a", None, &[]), organisation("a", None, &[])];
    let error = Organisations::new(twice).unwrap_err();
    assert!(matches!(error, Error::Duplicate(_)), "{error}");
    for (per_second, burst) in [
        (-1.0, 0.0),
        (f64::NAN, 0.0),
        (f64::INFINITY, 0.0),
        (1.0, -0.5),
        (1.0, f64::NAN),
    ] {
        let (mut limited, keys) = organisation("a", None, &["k"]);
        limited.quota = Some(Quota { per_second, burst });
        let error = Organisations::new(vec![(limited, keys)]).unwrap_err();
        assert!(matches!(error, Error::Range { .. }), "{error}");
    }
}

/// Guards against keys in a log line or a dump that prints a table of routes.
#[test]
fn keys_are_not_printed() {
    let all = Organisations::new(vec![organisation("a", None, &["k-secret"])]).unwrap();
    let text = format!("{:?}", table(&[0]).with_organisations(all));
    assert!(!text.contains("k-secret"), "{text}");
    assert!(text.contains("1 keys"), "{text}");
}

/// Guards against importances that change where no organisation has a priority.
#[test]
fn routes_alone_decide_without_priorities_of_organisations() {
    let plain = table(&[1, 3]);
    assert_eq!(plain.most_important(), Some(1));
    assert_eq!(plain.importance(&route("r3", 3), None), 3);
    let all = Organisations::new(vec![organisation("a", None, &["k"])]).unwrap();
    let a = all.iter().next().unwrap().clone();
    let table = plain.with_organisations(all);
    assert_eq!(table.most_important(), Some(1));
    assert_eq!(table.importance(&route("r3", 3), Some(&a)), 3);
}

/// Guards against retries of the most important requests that are treated as those of others,
/// because the importances of a table with organisations are positions.
#[test]
fn most_important_requests_are_those_of_the_first_organisation() {
    let all = Organisations::new(vec![
        organisation("first", Some(1), &["k1"]),
        organisation("second", Some(2), &["k2"]),
    ])
    .unwrap();
    let [first, second] = ["k1", "k2"].map(|key| all.find(key.as_bytes()).unwrap().clone());
    let table = table(&[2, 5]).with_organisations(all);
    let importance = |importance, o| table.importance(&route("r", importance), Some(o));
    let most = table.most_important().unwrap();
    assert_eq!(importance(2, &first), most);
    let rank = |importance| RetryRank::new(Priority::new(importance, false, ROOT), most);
    assert!(rank(importance(2, &first)) > rank(importance(5, &first)));
    assert_eq!(rank(importance(5, &first)), rank(importance(2, &second)));
}

/// Guards against an admission level that can't tell requests apart beyond the sixteenth
/// importance, so that it excludes those of an important organisation with the others.
#[test]
fn level_tells_many_importances_apart() {
    let mut controller = LevelController::new();
    let mut rng = fastrand::Rng::with_seed(1);
    let busy = QueueStats {
        min_len: 5,
        max_len: 50,
        waited: 20,
        late: true,
        ..QueueStats::default()
    };
    for _ in 0..20 {
        for n in 0..40 {
            let importance = if n % 2 == 0 { 30 } else { 40 };
            let root = RootId::random(&mut rng);
            controller.record_arrival(Priority::new(importance, false, root), false);
        }
        (0..20).for_each(|_| controller.record_completion());
        controller.tick(busy);
    }
    let level = controller.level();
    let admits = |importance| {
        let roots = (0..100).map(|n| RootId([n; 16]));
        roots
            .filter(|root| level.admits(Priority::new(importance, false, *root)))
            .count()
    };
    assert_eq!((admits(30), admits(255)), (100, 0), "{level:?}");
    assert!(admits(40) < 50, "{level:?}");
}

/// Guards against a large organisation that starves a small one of equal precedence: the level must
/// admit at least a quarter of the share of all requests from each.
#[test]
fn small_organisation_is_not_starved() {
    let mut controller = LevelController::new();
    let mut rng = fastrand::Rng::with_seed(2);
    let busy = QueueStats {
        min_len: 5,
        max_len: 50,
        waited: 20,
        late: true,
        ..QueueStats::default()
    };
    // The first of every 20 requests is one of the small organisation.
    let (mut sent, mut admitted) = ([0.0, 0.0], [0.0, 0.0]);
    for _ in 0..300 {
        for n in 0..60 {
            let priority = Priority::new(3, false, RootId::random(&mut rng));
            controller.record_arrival(priority, false);
            let large = usize::from(n % 20 != 0);
            sent[large] += 1.0;
            if controller.level().admits(priority) {
                admitted[large] += 1.0;
            }
        }
        (0..10).for_each(|_| controller.record_completion());
        controller.tick(busy);
    }
    let all = (admitted[0] + admitted[1]) / (sent[0] + sent[1]);
    assert!(all < 0.5, "{all} of the requests were admitted");
    let small = admitted[0] / sent[0];
    assert!(small >= all / 4.0, "{small} of the small one, {all} of all");
}

proptest! {
    /// Guards against a route that outranks the priority of an organisation, against nodes that
    /// order requests differently, and against importances that wrap around above 256 combinations.
    #[test]
    fn organisation_comes_before_route(
        organisations in prop::collection::vec(prop::option::of(any::<u8>()), 1..300),
        routes in prop::collection::btree_set(any::<u8>(), 1..12),
    ) {
        let order = Precedence::new(organisations.clone(), routes.clone());
        let all = organisations.iter().flat_map(|o| routes.iter().map(|r| (*o, *r)));
        let mut all: Vec<_> = all.collect();
        let is_ranked = organisations.iter().any(Option::is_some);
        let pair = |(organisation, route): &(Option<u8>, u8)| (organisation.unwrap_or(*route), *route);
        all.sort_by_key(pair);
        let importance = |(organisation, route): &(Option<u8>, u8)| order.importance(*organisation, *route);
        let distinct = {
            let mut pairs: Vec<_> = all.iter().map(pair).collect();
            pairs.dedup();
            pairs.len()
        };
        for both in all.windows(2) {
            prop_assert!(importance(&both[0]) <= importance(&both[1]));
            let differ = pair(&both[0]) != pair(&both[1]);
            // With room for each combination, different ones never share an importance.
            if is_ranked && distinct + routes.len() <= 256 && differ {
                prop_assert!(importance(&both[0]) < importance(&both[1]));
            }
        }
    }
}
