//! Guards against routing that trusts reports more than the measurements of this node.

use std::collections::BTreeMap;

use super::{super::super::id::RootId, *};

const SERVICE_MS: u64 = 50;

fn upstream(n: usize, zone: usize) -> Upstream {
    let address = "127.0.0.1:1".parse().expect("valid address");
    Upstream {
        name: format!("u-{n}").parse().expect("valid name"),
        owner: "o".parse().expect("valid name"),
        service: "s".parse().expect("valid name"),
        zone: format!("z-{zone}").parse().expect("valid name"),
        public: address,
        peer: address,
        control: address,
        slots: 100,
        connections: 500,
    }
}

/// Drives a table with one call per ms.
struct Driver {
    table: UpstreamTable,
    rng: fastrand::Rng,
    now: Instant,
    /// Calls in flight: end, start, upstream, and how the attempt ends.
    calls: Vec<(Instant, Instant, UpstreamName, AttemptEnd)>,
}

impl Driver {
    /// `zones` holds the zone number of each upstream; the node is in `z-0`.
    fn new(zones: &[usize]) -> Self {
        let name = |text: &str| text.parse().expect("valid name");
        let mut table = UpstreamTable::new(name("own"), "z-0".parse().expect("valid name"));
        let upstreams = zones.iter().enumerate().map(|(n, zone)| upstream(n, *zone));
        let now = Instant::now();
        table.apply(&upstreams.collect::<Vec<_>>(), now);
        Self {
            table,
            rng: fastrand::Rng::with_seed(3),
            now,
            calls: Vec::new(),
        }
    }

    /// Starts `calls` calls and returns their number per upstream. `behavior(upstream)` is the
    /// duration in ms and the end of an attempt; `on_tick` runs before each call.
    fn run(
        &mut self,
        calls: usize,
        mut behavior: impl FnMut(&str) -> (u64, AttemptEnd),
        mut on_tick: impl FnMut(&mut UpstreamTable, Instant),
    ) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for _ in 0..calls {
            self.now += Duration::from_millis(1);
            let now = self.now;
            let ended = self.calls.extract_if(.., |(end, ..)| *end <= now);
            for (end, start, name, attempt) in ended {
                self.table.record_end(&name, attempt, end - start, now);
            }
            on_tick(&mut self.table, now);
            let root = RootId::random(&mut self.rng);
            let priority = Priority::new(1, false, root);
            let picked = self
                .table
                .pick(priority, &BTreeSet::new(), &mut self.rng, now);
            let Some(picked) = picked else { continue };
            *counts.entry(picked.name.to_string()).or_default() += 1;
            let (ms, attempt) = behavior(picked.name.as_str());
            let end = now + Duration::from_millis(ms);
            self.calls.push((end, now, picked.name.clone(), attempt));
        }
        counts
    }
}

fn healthy(_: &str) -> (u64, AttemptEnd) {
    (SERVICE_MS, AttemptEnd::Answered)
}

fn no_op(_: &mut UpstreamTable, _: Instant) {}

fn name(n: usize) -> UpstreamName {
    format!("u-{n}").parse().expect("valid name")
}

fn listed(names: impl IntoIterator<Item = usize>, state: ListedState) -> Vec<ListEntry> {
    let listed = |n| ListEntry {
        name: name(n),
        state,
    };
    names.into_iter().map(listed).collect()
}

/// Guards against an uneven distribution over equal upstreams.
#[test]
fn equal_upstreams_get_equal_shares() {
    let counts = Driver::new(&[0; 5]).run(5_000, healthy, no_op);
    for (name, count) in counts {
        assert!((800..=1_200).contains(&count), "{name}: {count}");
    }
}

/// Guards against an upstream that attracts all traffic because it reports no load, a huge limit
/// and an empty queue, although it is five times slower than the others.
#[test]
fn false_report_does_not_attract_all_traffic() {
    let slow = |n: &str| {
        (
            if n == "u-0" {
                5 * SERVICE_MS
            } else {
                SERVICE_MS
            },
            AttemptEnd::Answered,
        )
    };
    let unreported = Driver::new(&[0; 4]).run(8_000, slow, no_op);
    let falsify = |table: &mut UpstreamTable, now| {
        let claimed = Load {
            in_flight: 0,
            limit: u32::MAX,
            queued: 0,
        };
        let busy = Load {
            in_flight: 30,
            limit: 100,
            queued: 10,
        };
        table.update_load(&name(0), claimed, Level::OPEN, now);
        (1..4).for_each(|n| table.update_load(&name(n), busy, Level::OPEN, now));
    };
    let falsified = Driver::new(&[0; 4]).run(8_000, slow, falsify);
    assert!(unreported["u-0"] < 1_000, "{unreported:?}");
    assert!(falsified["u-0"] < 4_000, "{falsified:?}");
}

/// Guards against an upstream that is avoided for ever because of one report of a full queue.
#[test]
fn stale_report_is_ignored() {
    let mut driver = Driver::new(&[0; 4]);
    let full = Load {
        in_flight: u32::MAX,
        limit: 0,
        queued: u32::MAX,
    };
    driver
        .table
        .update_load(&name(0), full, Level(0), driver.now);
    let avoided = driver.run(400, healthy, no_op);
    assert_eq!(avoided.get("u-0"), None, "{avoided:?}");
    driver.run(3_000, healthy, no_op);
    let counts = driver.run(4_000, healthy, no_op);
    assert!(counts["u-0"] > 700, "{counts:?}");
}

/// Guards against losing upstreams when half of a service disappears from the instance list while
/// calls still succeed.
#[test]
fn half_a_service_missing_from_the_list_changes_nothing() {
    let mut driver = Driver::new(&[0, 0, 1, 1, 2, 2]);
    let before: Vec<_> = driver.table.active().map(|u| u.name.clone()).collect();
    driver
        .table
        .update_list(&listed(0..6, ListedState::Live), driver.now);
    for _ in 0..100 {
        driver
            .table
            .update_list(&listed(0..3, ListedState::Live), driver.now);
        driver.run(1_000, healthy, no_op);
        let after: Vec<_> = driver.table.active().map(|u| u.name.clone()).collect();
        assert_eq!(after, before);
    }
    driver.table.update_list(&[], driver.now);
    assert_eq!(driver.table.active().count(), 6);
}

/// Guards against a wrong instance list that, together with failed connections, removes more than
/// half of a service.
#[test]
fn wrong_list_and_failures_leave_at_least_half() {
    let mut driver = Driver::new(&[0; 6]);
    for _ in 0..60 {
        driver.table.update_list(&[], driver.now);
        driver.run(1_000, |_| (1, AttemptEnd::Unreachable), no_op);
        assert!(driver.table.active().count() >= 3);
    }
}

/// Guards against calls to an upstream that is gone, and against never using it again after it has
/// returned.
#[test]
fn absent_and_unreachable_upstream_is_removed_and_returns() {
    let mut driver = Driver::new(&[0; 6]);
    driver
        .table
        .update_list(&listed(0..6, ListedState::Live), driver.now);
    let dead = |n: &str| match n {
        "u-0" => (1, AttemptEnd::Unreachable),
        _ => (SERVICE_MS, AttemptEnd::Answered),
    };
    driver
        .table
        .update_list(&listed(1..6, ListedState::Live), driver.now);
    driver.run(2_000, dead, no_op);
    let counts = driver.run(2_000, dead, no_op);
    assert_eq!(counts.get("u-0"), None, "{counts:?}");
    driver
        .table
        .update_list(&listed(0..6, ListedState::Live), driver.now);
    driver.run(6_000, healthy, no_op);
    let counts = driver.run(6_000, healthy, no_op);
    assert!(counts["u-0"] > 700, "{counts:?}");
}

/// Guards against new calls to an upstream that is leaving, announced by itself or by the instance
/// list.
#[test]
fn leaving_upstream_gets_no_calls() {
    let mut driver = Driver::new(&[0; 3]);
    driver.table.set_leaving(&name(0), true, driver.now);
    let mut list = listed([1], ListedState::Leaving);
    list.extend(listed([0, 2], ListedState::Live));
    driver.table.update_list(&list, driver.now);
    let counts = driver.run(1_000, healthy, no_op);
    assert_eq!(counts.into_keys().collect::<Vec<_>>(), ["u-2"]);
    driver.table.set_leaving(&name(0), false, driver.now);
    assert!(driver.run(1_000, healthy, no_op).contains_key("u-0"));
}

/// Guards against calls to a dead upstream, and against never using it again after it has
/// recovered.
#[test]
fn failing_upstream_is_ejected_and_returns_slowly() {
    let mut driver = Driver::new(&[0; 4]);
    driver.run(1_000, healthy, no_op);
    let dead = |n: &str| match n {
        "u-0" => (1, AttemptEnd::Lost),
        _ => (SERVICE_MS, AttemptEnd::Answered),
    };
    let counts = driver.run(10_000, dead, no_op);
    // Without ejection it would get 2,500 calls.
    assert!(counts["u-0"] <= 50, "{counts:?}");
    driver.run(40_000, healthy, no_op);
    let counts = driver.run(4_000, healthy, no_op);
    assert!(counts["u-0"] > 700, "{counts:?}");
}

/// Guards against ejection that leaves a service without upstreams.
#[test]
fn ejection_has_no_effect_below_half() {
    let mut driver = Driver::new(&[0; 4]);
    let mostly_dead = |n: &str| match n {
        "u-0" => (SERVICE_MS, AttemptEnd::Answered),
        _ => (1, AttemptEnd::Lost),
    };
    driver.run(1_000, mostly_dead, no_op);
    let counts = driver.run(5_000, mostly_dead, no_op);
    assert!(counts.values().all(|n| *n >= 50), "{counts:?}");
    let counts = driver.run(5_000, |_| (1, AttemptEnd::Lost), no_op);
    let all = counts.values().sum::<usize>();
    assert_eq!(all, 5_000, "each call has an upstream");
}

/// Guards against removing part of a service at once because it is missing from the instance list
/// while a network fault makes connections to it fail. The absences are ignored for 30 s.
#[test]
fn large_loss_from_the_list_is_ignored_for_30_s() {
    let mut driver = Driver::new(&[0; 6]);
    let partitioned = |n: &str| match n {
        "u-0" | "u-1" => (1, AttemptEnd::Unreachable),
        _ => (SERVICE_MS, AttemptEnd::Answered),
    };
    driver
        .table
        .update_list(&listed(0..6, ListedState::Live), driver.now);
    for second in 0..40 {
        driver
            .table
            .update_list(&listed(2..6, ListedState::Live), driver.now);
        let expected = if second < 30 { 6 } else { 4 };
        assert_eq!(driver.table.active().count(), expected, "after {second} s");
        driver.run(1_000, partitioned, no_op);
    }
}

/// Guards against calls that cross zones without need, and against overloading the own zone while
/// other zones are idle.
#[test]
fn own_zone_is_preferred_until_it_is_loaded() {
    let mut driver = Driver::new(&[0, 0, 1, 1, 2, 2]);
    // 10 calls in flight on 200 local slots stay local.
    let counts = driver.run(2_000, |_| (10, AttemptEnd::Answered), no_op);
    assert_eq!(counts.keys().collect::<Vec<_>>(), ["u-0", "u-1"]);
    // Each local upstream reports a server at its limit and a full queue.
    let full = |table: &mut UpstreamTable, now| {
        let load = Load {
            in_flight: 100,
            limit: 100,
            queued: 100,
        };
        (0..2).for_each(|n| table.update_load(&name(n), load, Level::OPEN, now));
    };
    let counts = driver.run(2_000, healthy, full);
    let local = counts.get("u-0").unwrap_or(&0) + counts.get("u-1").unwrap_or(&0);
    assert!(local < 1_000, "{counts:?}");
}

/// Guards against a zone with packet loss that still gets most calls, and against one that gets no
/// calls, so that its recovery is not noticed.
#[test]
fn degraded_zone_keeps_a_small_share() {
    let mut driver = Driver::new(&[0, 0, 1, 1]);
    let mut lossy = fastrand::Rng::with_seed(5);
    let mut degraded = |n: &str| match n {
        "u-0" | "u-1" if lossy.bool() => (200, AttemptEnd::TimedOut),
        "u-0" | "u-1" => (200, AttemptEnd::Answered),
        _ => (SERVICE_MS, AttemptEnd::Answered),
    };
    driver.run(5_000, &mut degraded, no_op);
    let counts = driver.run(10_000, &mut degraded, no_op);
    let share = (counts["u-0"] + counts["u-1"]) as f64 / 10_000.0;
    assert!((0.01..0.30).contains(&share), "{share}");
}

/// Guards against a new upstream that gets its full share of calls immediately.
#[test]
fn new_upstream_starts_slowly() {
    let mut driver = Driver::new(&[0; 3]);
    driver.run(1_000, healthy, no_op);
    let upstreams: Vec<_> = (0..4).map(|n| upstream(n, 0)).collect();
    driver.table.apply(&upstreams, driver.now);
    let first = driver.run(500, healthy, no_op);
    driver.run(5_000, healthy, no_op);
    let later = driver.run(4_000, healthy, no_op);
    let share = *first.get("u-3").unwrap_or(&0) as f64 / 500.0;
    assert!(share <= 0.10, "{share}");
    assert!(later["u-3"] > 700, "{later:?}");
}

/// Guards against calls to an upstream whose level excludes them while that of another admits them.
#[test]
fn admitting_upstream_is_preferred() {
    let mut driver = Driver::new(&[0; 3]);
    let closed = |table: &mut UpstreamTable, now| {
        (0..2).for_each(|n| table.update_load(&name(n), Load::default(), Level(0), now));
    };
    let counts = driver.run(1_000, healthy, closed);
    assert_eq!(counts.into_keys().collect::<Vec<_>>(), ["u-2"]);
}

/// Guards against a choice that examines more entries the larger the service is.
#[test]
fn choice_examines_a_bounded_number_of_upstreams() {
    let examined = |upstreams: usize| {
        let zones: Vec<_> = (0..upstreams).map(|n| n % 3).collect();
        let mut driver = Driver::new(&zones);
        driver.run(1_000, healthy, no_op);
        driver.table.examined() as f64 / 1_000.0
    };
    let few = examined(10);
    for upstreams in [24, 25, 100, 1_000] {
        let many = examined(upstreams);
        let growth = (upstreams as f64).log2() / 10_f64.log2();
        assert!(
            many <= few * growth.max(2.4),
            "{upstreams}: {many} entries, 10: {few}"
        );
    }
}

/// Guards against subsets that lie in a single zone, or that are the same for all nodes.
#[test]
fn subset_covers_all_zones_and_differs_between_nodes() {
    let upstreams: Vec<_> = (0..100).map(|n| upstream(n, n % 4)).collect();
    let mut used = BTreeMap::new();
    for node in 0..200 {
        let own = format!("node-{node}").parse().expect("valid name");
        let mut table = UpstreamTable::new(own, "z-1".parse().expect("valid name"));
        table.apply(&upstreams, Instant::now());
        let mut zones = BTreeMap::<_, usize>::new();
        for upstream in table.active() {
            *zones.entry(upstream.zone.clone()).or_default() += 1;
            *used.entry(upstream.name.clone()).or_insert(0) += 1;
        }
        assert_eq!(zones.into_values().collect::<Vec<_>>(), [5; 4]);
    }
    // 200 nodes x 20 upstreams over 100: 40 each on average.
    assert_eq!(used.len(), 100);
    assert!(used.values().all(|n| (15..=75).contains(n)), "{used:?}");
}

/// Guards against calls that wait for connection attempts to upstreams that were unreachable just
/// before, also when that is more than half of a service.
#[test]
fn unreachable_upstreams_get_no_calls_while_one_is_reachable() {
    let Driver { mut table, now, .. } = Driver::new(&[0, 0, 0]);
    let mut rng = fastrand::Rng::with_seed(1);
    let priority = Priority::new(0, false, RootId([0; 16]));
    for name in ["u-0", "u-1"] {
        let name = name.parse().unwrap();
        table.record_end(
            &name,
            AttemptEnd::Unreachable,
            Duration::from_millis(500),
            now,
        );
    }
    let mut pick = |table: &mut UpstreamTable, now| {
        let picked = table.pick(priority, &BTreeSet::new(), &mut rng, now);
        picked.unwrap().name.to_string()
    };
    for _ in 0..50 {
        assert_eq!(pick(&mut table, now), "u-2");
    }
    let later = now + Duration::from_secs(2);
    let all: BTreeSet<_> = (0..50).map(|_| pick(&mut table, later)).collect();
    assert!(
        all.contains("u-0") && all.contains("u-1"),
        "expected calls to u-0 and u-1 again, got {all:?}"
    );
}

/// Guards against new calls to a node that has announced that it will stop while others can take
/// them, and against refusals when no other node is left. The nodes of a service stop one after
/// the other, and all but one of them are stopping at the same time.
#[test]
fn retiring_upstream_is_used_only_without_others() {
    let Driver { mut table, now, .. } = Driver::new(&[0, 0, 0]);
    let mut rng = fastrand::Rng::with_seed(1);
    let priority = Priority::new(0, false, RootId([0; 16]));
    let mut pick = |table: &mut UpstreamTable, tried: &[&str], now| {
        let tried = tried.iter().map(|n| n.parse().unwrap()).collect();
        let picked = table.pick(priority, &tried, &mut rng, now);
        picked.map(|u| u.name.to_string())
    };
    for name in ["u-0", "u-1"] {
        table.set_retiring(&name.parse().unwrap(), true, now);
    }
    for _ in 0..50 {
        assert_eq!(pick(&mut table, &[], now).unwrap(), "u-2");
    }
    assert!(
        pick(&mut table, &["u-2"], now).is_some(),
        "retiring upstreams still serve when no other is left"
    );
    let later = now + Duration::from_secs(1);
    let all: BTreeSet<_> = (0..50)
        .filter_map(|_| pick(&mut table, &[], later))
        .collect();
    let is_back = all.contains("u-0") && all.contains("u-1");
    assert!(is_back, "{all:?}");
}
