//! Guards the quotas of organisations: the decisions of nodes and lenders on a simulated network,
//! in virtual time, without the transport.

#[path = "support/quota_sim.rs"]
mod sim;

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use comfreybay::state::mesh::{organisation::Quota, quota};
use proptest::prelude::*;
use sim::{Key, STEP_MS, Sim, addr};
use tokio::time::Instant;

fn limit(per_second: f64, burst: f64) -> Quota {
    Quota { per_second, burst }
}

/// Disturbances of a random schedule.
#[derive(Debug, Clone)]
enum Event {
    /// Splits the fleet; the views of the first side lose the other one after a time, or not.
    Split {
        mask: u16,
        forgets: bool,
    },
    Heal,
    Restart(u16),
    Pause(u16, u64),
    Loss(f64, f64),
    /// The quota changes, with a delay at each node of up to 2.5 s.
    Change(f64),
    /// All demand moves to some nodes.
    Move(u16),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (1_u16..255, any::<bool>()).prop_map(|(mask, forgets)| Event::Split { mask, forgets }),
        Just(Event::Heal),
        any::<u16>().prop_map(Event::Restart),
        (any::<u16>(), 100_u64..6_000).prop_map(|(mask, ms)| Event::Pause(mask, ms)),
        (0.0..0.5_f64, 0.0..0.3_f64).prop_map(|(loss, late)| Event::Loss(loss, late)),
        (0.1..4.0_f64).prop_map(Event::Change),
        (1_u16..=u16::MAX).prop_map(Event::Move),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    /// Guards against more requests of an organisation in a window than the platform's bound, over
    /// all nodes, whatever is lost, late, cut off, paused, restarted or known differently.
    #[test]
    fn the_bound_holds_in_every_window(
        seed in any::<u64>(),
        count in 1_usize..14,
        per_second in prop_oneof![0.02..2.0_f64, 2.0..120.0],
        burst in prop_oneof![1.0..4.0_f64, 4.0..120.0],
        excess in 0.5..6.0_f64,
        events in prop::collection::vec((200_u64..4_000, event()), 1..12),
    ) {
        let first = limit(per_second, burst);
        let mut sim = Sim::new(count, &[(1, first)], seed);
        let members: BTreeSet<_> = (0..count).map(addr).collect();
        let (mut mask, mut latest) = (u16::MAX, first);
        // The highest quota in effect anywhere, for each time at which one was changed.
        let mut changes: Vec<(Instant, Quota)> = vec![(sim.now, first)];
        let mut pending: Vec<(Instant, usize, Quota)> = Vec::new();
        let mut forgets: Vec<(Instant, usize, BTreeSet<SocketAddr>)> = Vec::new();
        let mut checked_from = sim.now;
        for (ms, event) in events {
            let end = sim.now + Duration::from_millis(ms);
            while sim.now < end {
                sim.step();
                let now = sim.now;
                for (_, n, quota) in pending.extract_if(.., |(at, ..)| *at <= now) {
                    sim.set_quota(n, 1, quota);
                }
                for (_, n, view) in forgets.extract_if(.., |(at, ..)| *at <= now) {
                    sim.set_view(n, view, &BTreeSet::new());
                }
                let demand = latest.per_second.max(4.0) * excess * STEP_MS as f64 / 1_000.0;
                let whole = demand as u32 + u32::from(sim.rng.f64() < demand.fract());
                // Now and then all callers send at once.
                let whole = if sim.rng.f64() < 0.002 { latest.burst as u32 + 40 } else { whole };
                for _ in 0..whole {
                    let n = sim.rng.usize(..count);
                    if mask >> n & 1 == 1 || mask == 0 {
                        sim.request(n, 1);
                    }
                }
            }
            match event {
                Event::Split { mask, forgets: does } => {
                    sim.side = (0..count).map(|n| (mask >> n & 1) as u8).collect();
                    for n in (0..count).filter(|n| does && mask >> n & 1 == 1) {
                        let view = members.iter().enumerate();
                        let view = view.filter(|(m, _)| mask >> m & 1 == 1);
                        let view = view.map(|(_, node)| *node).collect();
                        let delay = Duration::from_millis(sim.rng.u64(300..2_500));
                        forgets.push((sim.now + delay, n, view));
                    }
                }
                Event::Heal => {
                    sim.side = vec![0; count];
                    sim.loss = 0.0;
                    sim.late = 0.0;
                    forgets.clear();
                    for n in 0..count {
                        sim.set_view(n, members.clone(), &BTreeSet::new());
                    }
                }
                Event::Restart(which) => {
                    for n in (0..count).filter(|n| which >> n & 1 == 1) {
                        let gap = Duration::from_millis(sim.rng.u64(0..1_500));
                        // Not covered (docs/design/quotas.md): a node that starts while the store
                        // has dropped nodes that are alive.
                        if sim.nodes[n].view == members {
                            sim.restart(n, gap);
                        }
                    }
                }
                Event::Pause(which, ms) => {
                    let now = sim.now;
                    for n in (0..count).filter(|n| which >> n & 1 == 1) {
                        sim.nodes[n].paused_until = now + Duration::from_millis(ms);
                    }
                }
                Event::Loss(loss, late) => {
                    sim.loss = loss;
                    sim.late = late;
                }
                Event::Change(factor) => {
                    latest = limit(per_second * factor, (burst * factor).max(1.0));
                    pending.clear();
                    for n in 0..count {
                        let delay = Duration::from_millis(sim.rng.u64(0..2_500));
                        pending.push((sim.now + delay, n, latest));
                    }
                    changes.push((sim.now, latest));
                    checked_from = sim.now;
                }
                Event::Move(to) => mask = to,
            }
        }
        // Up to the last change, the highest quota of all is the bound; one window and 2.5 s after
        // it, the last one.
        let highest = changes.iter().map(|(_, q)| sim.bounds.max(q)).fold(0.0, f64::max);
        let worst = sim.worst(1, sim.start);
        prop_assert!(worst as f64 <= highest, "{worst} served in a window, allowed {highest}");
        let settled = checked_from + Duration::from_millis(2_510) + sim.bounds.window;
        let (worst, allowed) = (sim.worst(1, settled), sim.bounds.max(&latest));
        prop_assert!(worst as f64 <= allowed, "{worst} served in a window, allowed {allowed} at the end");
    }
}

/// Guards against a node that takes the other side of a partition for gone because it has restarted,
/// while a lender on its side knows better: each side would have the whole quota.
#[test]
fn a_node_that_restarts_in_a_partition_learns_the_size_of_the_fleet() {
    let all = limit(100.0, 100.0);
    let mut sim = warmed_up(8, &[(1, all)]);
    sim.side = (0..8).map(|n| u8::from(n < 4)).collect();
    for n in 0..4 {
        sim.set_view(n, (0..4).map(addr).collect(), &BTreeSet::new());
    }
    for n in 0..3 {
        sim.restart(n, Duration::from_millis(300));
    }
    for side in [0..4, 4..8] {
        let nodes: Vec<_> = side.collect();
        send(&mut sim, 1, 300.0, &nodes, Duration::from_millis(2_500));
    }
    for _ in 0..100 {
        send(&mut sim, 1, 300.0, &[0, 1, 2, 3], Duration::from_millis(50));
        send(&mut sim, 1, 300.0, &[4, 5, 6, 7], Duration::from_millis(50));
    }
    let (worst, allowed) = (sim.worst(1, sim.start), sim.bounds.max(&all));
    assert!(worst as f64 <= allowed, "{worst} served, allowed {allowed}");
    assert!(sim.served[&1].len() > 900, "{}", sim.served[&1].len());
}

/// Waits until the lenders have collected their bursts.
fn warmed_up(count: usize, quotas: &[(Key, Quota)]) -> Sim {
    let mut sim = Sim::new(count, quotas, 7);
    sim.run(Duration::from_secs(40));
    sim.messages = 0;
    sim.entries = 0;
    sim
}

/// Guards against a refusal of the only request of a minute, of an organisation that may send no
/// more than that.
#[test]
fn one_request_a_minute_is_served() {
    let mut sim = warmed_up(89, &[(1, limit(1.0 / 60.0, 1.0))]);
    for minute in 0..10 {
        assert!(sim.request(minute * 8 % 89, 1), "minute {minute}");
        sim.run(Duration::from_secs(60));
    }
}

/// Sends requests at a rate that changes at the steps of a minute, at some of the nodes.
fn send(sim: &mut Sim, key: Key, per_second: f64, nodes: &[usize], time: Duration) {
    let end = sim.now + time;
    let mut owed = 0.0;
    while sim.now < end {
        sim.step();
        owed += per_second * STEP_MS as f64 / 1_000.0;
        while owed >= 1.0 {
            owed -= 1.0;
            let n = nodes[sim.rng.usize(..nodes.len())];
            sim.request(n, key);
        }
    }
}

/// Guards against refusals below the limit for longer than a moment after the whole fleet has lost
/// its processes at once: no loan of an earlier process is valid then.
#[test]
fn a_fleet_that_restarts_at_once_serves_soon() {
    let mut sim = warmed_up(89, &[(1, limit(100.0, 100.0))]);
    for n in 0..89 {
        sim.restart(n, Duration::from_millis(1_000 + n as u64 * 3));
    }
    sim.run(Duration::from_millis(1_300 + 500));
    let all: Vec<_> = (0..89).collect();
    send(&mut sim, 1, 60.0, &all, Duration::from_secs(10));
    assert_eq!(sim.refused.get(&1).copied().unwrap_or(0), 0);
}

/// Guards against refusals below the limit for longer than a moment after all lenders have restarted:
/// the loans of the other nodes are to their earlier processes.
#[test]
fn lenders_that_restart_get_their_shares_back_soon() {
    let mut sim = warmed_up(89, &[(1, limit(100.0, 100.0))]);
    let lenders = quota::lenders(addr(0), (0..89).map(addr));
    for n in (0..89).filter(|n| lenders.contains(&addr(*n))) {
        sim.restart(n, Duration::from_millis(300));
    }
    let others: Vec<_> = (0..89).filter(|n| !lenders.contains(&addr(*n))).collect();
    sim.run(Duration::from_millis(300 + 800 + 500));
    send(&mut sim, 1, 60.0, &others, Duration::from_secs(10));
    assert_eq!(sim.refused.get(&1).copied().unwrap_or(0), 0);
}

/// Guards against refusals while all traffic of an organisation, just below its limit, moves from
/// one availability zone to another within a second.
#[test]
fn traffic_that_moves_between_zones_is_served() {
    let mut sim = warmed_up(89, &[(1, limit(431.0, 431.0))]);
    let zones: Vec<Vec<usize>> = (0..3)
        .map(|z| (0..89).filter(|n| n % 3 == z).collect())
        .collect();
    for turn in 0..4 {
        send(&mut sim, 1, 400.0, &zones[turn % 3], Duration::from_secs(5));
    }
    send(&mut sim, 1, 400.0, &[5], Duration::from_secs(5));
    assert_eq!(sim.refused.get(&1).copied().unwrap_or(0), 0);
    assert!(sim.served[&1].len() > 9_900, "{}", sim.served[&1].len());
}

/// Guards against an organisation with 7.5 times its usual load that gets less than its limit, or
/// more than the bound.
#[test]
fn a_surge_is_served_up_to_the_limit() {
    let mut sim = warmed_up(89, &[(1, limit(100.0, 100.0))]);
    let all: Vec<_> = (0..89).collect();
    send(&mut sim, 1, 80.0, &all, Duration::from_secs(10));
    assert_eq!(sim.refused.get(&1).copied().unwrap_or(0), 0);
    let before = sim.served[&1].len();
    send(&mut sim, 1, 600.0, &all, Duration::from_secs(20));
    let served = sim.served[&1].len() - before;
    assert!(served >= 1_900, "{served} served, 100 a second are allowed");
    let allowed = sim.bounds.max(&limit(100.0, 100.0));
    assert!(sim.worst(1, sim.start) as f64 <= allowed);
}

/// Guards against refusals below the limits in a fleet of usual size with a few large
/// organisations, and against messages that grow with the requests.
#[test]
fn the_usual_load_is_served_with_few_messages() {
    let rate = |n: Key| if n < 5 { 431.0 } else { 12.0 };
    let quotas: Vec<_> = (0..87).map(|n| (n, limit(rate(n), rate(n)))).collect();
    let mut sim = warmed_up(89, &quotas);
    let seconds = 20;
    for _ in 0..seconds * 1_000 / STEP_MS {
        sim.step();
        for key in 0..87 {
            // Half of the limit for the large ones, a third for the others: about 1,400 a second.
            let share = if key < 5 { 0.5 } else { 0.33 };
            let expected = rate(key) * share * STEP_MS as f64 / 1_000.0;
            let whole = expected as u32 + u32::from(sim.rng.f64() < expected.fract());
            for _ in 0..whole {
                let n = sim.rng.usize(..89);
                sim.request(n, key);
            }
        }
    }
    let refused: u64 = sim.refused.values().sum();
    let served: usize = sim.served.values().map(Vec::len).sum();
    let per_node = |count: u64| count as f64 / 89.0 / seconds as f64;
    println!(
        "{served} served, {refused} refused; a second and node: {:.2} messages, {:.2} entries",
        per_node(sim.messages),
        per_node(sim.entries),
    );
    assert_eq!(refused, 0, "of {served}");
}
