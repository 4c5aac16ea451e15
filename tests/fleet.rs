//! Guards the distribution of configuration to a fleet of control planes, in virtual time.

use std::{future::Future, time::Duration};

use comfreybay::{
    standin::planes::{Plan, Planes},
    state::{counters::Counter, id::Revision},
    transport::memory::Place,
};
use tokio::{
    task::LocalSet,
    time::{Instant, sleep},
};

/// Targets of section 13 for a change to be in effect at each node: 2 s (median), 7 s (worst).
const MEDIAN: Duration = Duration::from_secs(2);
const WORST: Duration = Duration::from_secs(7);
const START: Duration = Duration::from_secs(30);

async fn local<T>(test: impl Future<Output = T>) -> T {
    LocalSet::new().run_until(test).await
}

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

async fn started(plan: Plan) -> (Planes, Revision) {
    let mut planes = Planes::new(plan);
    let revision = planes.publish();
    planes.start_all();
    let all = 0..plan.nodes;
    let took = planes
        .wait_until(START, |p| p.all_at(revision, all.clone()))
        .await;
    assert!(
        took.is_some(),
        "seed {}: the fleet did not start",
        plan.seed
    );
    sleep(s(10)).await;
    (planes, revision)
}

fn median(mut delays: Vec<Duration>) -> Duration {
    delays.sort();
    delays[delays.len() / 2]
}

/// Guards against changes that reach some nodes late or never when packets are lost.
#[tokio::test(start_paused = true)]
async fn change_reaches_all_nodes() {
    local(async {
        let plan = Plan {
            nodes: 40,
            loss: 0.01,
            seed: 3,
            ..Plan::default()
        };
        let (mut planes, _) = started(plan).await;
        for _ in 0..8 {
            let published = Instant::now();
            let revision = planes.publish();
            sleep(WORST).await;
            let delays: Option<Vec<_>> = planes.delays(revision, published).into_iter().collect();
            let delays = delays.expect("the change is in effect at every node within 7 s");
            assert!(delays.iter().all(|d| *d <= WORST));
            assert!(median(delays) <= MEDIAN);
            sleep(Duration::from_millis(2_500)).await;
        }
        planes.end().await.expect("ends");
    })
    .await;
}

/// Guards against a zone that keeps an old revision after a partition, and against a partitioned
/// zone that delays the others.
#[tokio::test(start_paused = true)]
async fn healed_zone_catches_up() {
    local(async {
        let plan = Plan {
            nodes: 40,
            zones: 4,
            loss: 0.01,
            seed: 5,
            ..Plan::default()
        };
        let (mut planes, _) = started(plan).await;
        let zone = planes.nodes[0].upstream.zone.clone();
        let (inside, outside): (Vec<_>, Vec<_>) =
            (0..plan.nodes).partition(|n| planes.nodes[*n].upstream.zone == zone);
        let others: Vec<_> = planes
            .nodes
            .iter()
            .map(|n| n.upstream.zone.clone())
            .filter(|z| *z != zone)
            .collect();
        let cut = |planes: &Planes| {
            for other in &others {
                planes
                    .network
                    .cut_both(Place::Zone(zone.clone()), Place::Zone(other.clone()));
            }
            let platform = comfreybay::standin::planes::PLATFORM;
            planes
                .network
                .cut_both(Place::Zone(zone.clone()), Place::Host(platform));
        };
        cut(&planes);
        sleep(s(20)).await;
        let published = Instant::now();
        let revision = planes.publish();
        sleep(WORST).await;
        assert!(
            planes.all_at(revision, outside),
            "some node outside the cut zone does not have {revision}"
        );
        assert!(inside.iter().all(|n| !planes.all_at(revision, [*n])));
        sleep(s(30)).await;
        planes.network.heal_all();
        let healed = Instant::now();
        sleep(WORST).await;
        let delays = planes.delays(revision, healed);
        for n in inside {
            assert!(
                delays[n].is_some_and(|d| d <= WORST),
                "node {n}: {revision} in effect {:?} after the partition healed",
                delays[n]
            );
        }
        assert!(healed > published);
        planes.end().await.expect("ends");
    })
    .await;
}

/// Guards against reads of the configuration service that grow in proportion to the fleet.
#[tokio::test(start_paused = true)]
async fn reads_grow_slower_than_the_fleet() {
    let mut found = Vec::new();
    for nodes in [20, 80] {
        let reads = local(async move {
            let plan = Plan {
                nodes,
                seed: 7,
                ..Plan::default()
            };
            let (mut planes, _) = started(plan).await;
            sleep(s(30)).await;
            let readers = planes.sum(Counter::ConfigReader);
            // Section 9 requires two readers per zone; up to twice as many are tolerated.
            assert!(
                (1..=12).contains(&readers),
                "{readers} readers of {nodes} nodes in 3 zones"
            );
            let before = planes.configuration.reads();
            for _ in 0..10 {
                planes.publish();
                sleep(Duration::from_millis(9_500)).await;
            }
            let reads = planes.configuration.reads() - before;
            planes.end().await.expect("ends");
            reads
        })
        .await;
        found.push(reads);
    }
    let (small, large) = (found[0], found[1]);
    assert!(
        large < 4 * small,
        "reads at 20 and 80 nodes: {small}, {large}"
    );
}

/// Guards against nodes that mix two publications with the same revision.
#[tokio::test(start_paused = true)]
async fn publications_of_one_revision_are_not_mixed() {
    local(async {
        let plan = Plan {
            nodes: 20,
            seed: 11,
            ..Plan::default()
        };
        let (mut planes, _) = started(plan).await;
        // Two zones receive one publication, the third another one with the same revision.
        let zone = planes.nodes[0].upstream.zone.clone();
        let (inside, outside): (Vec<_>, Vec<_>) =
            (0..plan.nodes).partition(|n| planes.nodes[*n].upstream.zone == zone);
        for n in &outside {
            let host = planes.nodes[*n].upstream.control.ip();
            planes
                .network
                .cut_both(Place::Zone(zone.clone()), Place::Host(host));
        }
        let platform = comfreybay::standin::planes::PLATFORM;
        planes
            .network
            .cut_both(Place::Zone(zone.clone()), Place::Host(platform));
        sleep(s(10)).await;
        let first = planes.change();
        planes.configuration.publish(&first);
        sleep(s(20)).await;
        assert!(planes.all_at(first.head.revision, outside.clone()));
        planes.change_piece(0);
        let second = planes.publication();
        assert_eq!(first.head.revision, second.head.revision);
        assert_ne!(first.head.digest(), second.head.digest());
        planes.configuration.publish(&second);
        for n in &outside {
            let host = planes.nodes[*n].upstream.control.ip();
            planes
                .network
                .cut_both(Place::Host(platform), Place::Host(host));
        }
        planes
            .network
            .heal_both(Place::Zone(zone.clone()), Place::Host(platform));
        sleep(s(30)).await;
        assert!(planes.all_at(second.head.revision, inside.clone()));
        planes.network.heal_all();
        sleep(s(30)).await;
        for (group, head) in [(&outside, &first.head), (&inside, &second.head)] {
            for n in group {
                let node = &planes.nodes[*n];
                let config = node.context.store.config().expect("in effect");
                assert_eq!(
                    config.digest,
                    head.digest(),
                    "node {n} replaced its publication by another of the same revision"
                );
                assert!(planes.counters(*n).get(Counter::ConfigConflicts) > 0);
            }
        }
        // Both groups accept the next revision.
        let next = planes.publish();
        sleep(WORST).await;
        assert!(planes.all_at(next, 0..plan.nodes));
        planes.end().await.expect("ends");
    })
    .await;
}
