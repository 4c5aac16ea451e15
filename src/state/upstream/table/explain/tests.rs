//! Guards against an explanation that differs from the choice, or changes it.

use std::{collections::BTreeMap, time::Duration};

use super::{
    super::super::{AttemptEnd, Load, Pace, ServiceTime},
    *,
};
use crate::state::{id::UpstreamName, object::Upstream, priority::Level};

const PICKS: u32 = 4_000;
/// Standard deviations by which the share of picks may differ from its probability. Over the about
/// 1,000 shares that a run compares, a correct one exceeds it with a probability of 0.006%.
const DEVIATIONS: f64 = 5.5;

fn name(n: usize) -> UpstreamName {
    format!("u-{n:02}").parse().expect("valid name")
}

fn upstream(n: usize, zone: usize, slots: u32) -> Upstream {
    let address = "127.0.0.1:1".parse().expect("valid address");
    Upstream {
        name: name(n),
        owner: "o".parse().expect("valid name"),
        service: "s".parse().expect("valid name"),
        zone: format!("z-{zone}").parse().expect("valid name"),
        public: address,
        peer: address,
        control: address,
        slots,
        connections: 500,
    }
}

fn fail(table: &mut UpstreamTable, n: usize, times: u32, now: Instant) {
    for _ in 0..times {
        table.record_end(&name(n), AttemptEnd::Lost, Duration::from_millis(1), now);
    }
}

/// A table of 1 to 30 upstreams in random states; the node is in zone 0.
fn random_table(rng: &mut fastrand::Rng, now: Instant) -> UpstreamTable {
    let zone = "z-0".parse().expect("valid name");
    let mut table = UpstreamTable::new("own".parse().expect("valid name"), zone);
    let count = rng.choice([1, 2, 3, 5, 8, 30]).expect("not empty");
    let zones = rng.usize(1..4);
    let upstreams: Vec<_> = (0..count)
        .map(|n| upstream(n, rng.usize(..zones), rng.u32(1..20)))
        .collect();
    table.apply(&upstreams, now);
    let (has_times, has_limits) = (rng.bool(), rng.u8(..3) == 0);
    let mut at = now;
    for _ in 0..rng.usize(..count * 6) {
        at += Duration::from_millis(rng.u64(..200));
        let n = rng.usize(..count);
        let load = Load {
            in_flight: rng.u32(..20),
            limit: rng.u32(..20),
            queued: rng.u32(..10),
        };
        let level = match rng.u8(..4) {
            0 => Level(rng.u32(..1 << 26)),
            _ => Level::OPEN,
        };
        match rng.u8(..12) {
            0 => fail(&mut table, n, 6, at),
            1 => table.set_reachable(&name(n), false, at),
            2 => table.set_retiring(&name(n), true, at),
            3 => table.set_leaving(&name(n), true, at),
            4 if has_limits => {
                let limit = rng.u32(1..50).to_string().parse().expect("valid limit");
                table.set_rate_limit(&name(n), Some(limit));
            }
            5 | 6 if has_times => {
                let usual = Duration::from_millis(rng.u64(1..200));
                let pace = Pace::new(rng.u32(50..300));
                let class = "c".parse().expect("valid name");
                table.update_service_time(&name(n), &class, ServiceTime { usual, pace }, at);
            }
            7 => {
                let priority = Priority::middle(1);
                table.pick(priority, &BTreeSet::new(), rng, at);
            }
            8 => {
                let time = Duration::from_millis(rng.u64(1..100));
                table.record_end(&name(n), AttemptEnd::Answered, time, at);
            }
            _ => table.update_load(&name(n), load, level, at),
        }
    }
    table
}

/// Guards against a stated probability that the choice does not have, against a stated reason for an
/// upstream that is chosen or none for one that never is, and against a question that changes the
/// table.
#[test]
fn explained_chances_are_those_of_the_choice() {
    let start = Instant::now();
    let mut reasons = BTreeMap::new();
    for seed in 0..120 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let table = random_table(&mut rng, start);
        let now = start + Duration::from_millis(rng.u64(..6_000));
        let priority = Priority::middle(1);
        let before = format!("{table:?}");
        let considered = table.explain(priority, now);
        assert_eq!(format!("{table:?}"), before, "seed {seed}");

        let mut picks: BTreeMap<_, u32> = BTreeMap::new();
        for _ in 0..PICKS {
            let mut copy = table.clone();
            if let Some(picked) = copy.pick(priority, &BTreeSet::new(), &mut rng, now) {
                *picks.entry(picked.name.clone()).or_default() += 1;
            }
        }
        assert_eq!(considered.len(), table.len(), "seed {seed}");
        for upstream in considered {
            let name = &upstream.upstream.name;
            let picked = f64::from(picks.get(name).copied().unwrap_or_default());
            let expected = upstream.chance * f64::from(PICKS);
            let deviation = (expected * (1.0 - upstream.chance)).max(0.0).sqrt();
            assert!(
                (picked - expected).abs() <= DEVIATIONS * deviation + 1e-6,
                "seed {seed}: {name} was picked {picked} times, expected {expected}"
            );
            if let Some(obstacle) = upstream.obstacle {
                assert_eq!(picked, 0.0, "seed {seed}: {name} {obstacle:?}");
                *reasons.entry(obstacle.as_str()).or_insert(0) += 1;
            }
        }
    }
    let seen: Vec<_> = reasons.keys().copied().collect();
    let expected = [
        "ejected",
        "leaving",
        "level",
        "other-zone",
        "outside-subset",
        "stopping",
        "unreachable",
    ];
    assert_eq!(seen, expected, "the tables do not cover all reasons");
}
