//! Guards the choice of the nodes that read the platform's store for others, and the order in which
//! they pass changes on.

use std::{collections::BTreeSet, net::SocketAddr};

use bytes::Bytes;
use comfreybay::state::{
    mesh::{
        changelog::{Batch, ChangeLog, Lookup},
        readers::{self, READERS_PER_ZONE, Source, source},
        revision::{Epoch, StoreRevision},
    },
    object::Upstream,
};
use proptest::prelude::*;

const ZONES: [&str; 2] = ["a", "b"];

/// Node `n`; every third one is in the second zone.
fn server(n: u16) -> Upstream {
    let at = |port| SocketAddr::from(([10, 0, 0, n as u8], port));
    Upstream {
        name: format!("s-{n}").parse().unwrap(),
        owner: "o".parse().unwrap(),
        service: "s".parse().unwrap(),
        zone: ZONES[usize::from(n.is_multiple_of(3))].parse().unwrap(),
        public: at(1),
        peer: at(2),
        control: at(2),
        slots: 1,
        connections: 1,
    }
}

fn source_of(n: u16, servers: &[Upstream]) -> Source {
    let own = server(n);
    source(own.peer, &own.zone, servers)
}

/// Guards against a zone that nobody reads for, against nodes that ask each other in a circle, and
/// against one more reader lost than nodes have left. Tries each subset of 12 servers.
#[test]
fn every_choice_of_readers_covers_its_zone() {
    let all: Vec<_> = (1..=12).map(server).collect();
    let mut lists_compared = 0;
    for subset in 0_u32..1 << all.len() {
        let is_in = |n: &u16| subset >> (n - 1) & 1 == 1;
        let members: Vec<u16> = (1..=12).filter(is_in).collect();
        let servers: Vec<_> = members.iter().map(|n| server(*n)).collect();
        let reading: BTreeSet<_> = members
            .iter()
            .filter(|n| source_of(**n, &servers) == Source::Store)
            .map(|n| server(*n).peer)
            .collect();
        assert_eq!(reading.len(), readers::all(&servers).len(), "{members:?}");
        for n in &members {
            if let Source::Readers(readers) = source_of(*n, &servers) {
                assert_eq!(readers.len(), READERS_PER_ZONE, "{n} of {members:?}");
                assert!(readers.iter().all(|r| reading.contains(r)), "{members:?}");
                lists_compared += 1;
            }
        }
        for gone in &servers {
            let others: Vec<_> = servers
                .iter()
                .filter(|s| s.name != gone.name)
                .cloned()
                .collect();
            let kept = members.iter().filter(|n| server(**n).peer != gone.peer);
            let kept = kept.filter(|n| source_of(**n, &others) == Source::Store);
            let kept: BTreeSet<_> = kept.map(|n| server(*n).peer).collect();
            let new = kept.difference(&reading).count();
            assert!(new <= 1, "{new} new readers after {} left", gone.name);
        }
    }
    assert!(lists_compared > 1_000, "{lists_compared}");
}

/// Guards against nodes that ask each other in a circle, so that none of them reads the store, while
/// each knows other servers. Tries all pairs of views of nodes that could ask each other.
#[test]
fn nodes_with_different_views_ask_in_one_direction() {
    let members: Vec<u16> = (1..=14).filter(|n| n % 3 != 0).collect();
    // For each node, the nodes that it asks with some view.
    let mut asked = std::collections::BTreeMap::<_, BTreeSet<_>>::new();
    for subset in 0_u32..1 << members.len() {
        let view = members.iter().enumerate();
        let view = view.filter(|(at, _)| subset >> at & 1 == 1);
        let view: Vec<_> = view.map(|(_, n)| server(*n)).collect();
        for n in &members {
            if let Source::Readers(readers) = source_of(*n, &view) {
                asked.entry(server(*n).peer).or_default().extend(readers);
            }
        }
    }
    let circle = asked.iter().find_map(|(node, readers)| {
        let back = readers
            .iter()
            .find(|r| asked.get(r).is_some_and(|a| a.contains(node)));
        back.map(|reader| (node, reader))
    });
    assert_eq!(circle, None);
}

/// Guards against readers of a large zone that get far more askers than others.
#[test]
fn nodes_spread_evenly_over_the_readers() {
    let servers: Vec<_> = (1..=240).map(server).collect();
    let mut askers = std::collections::BTreeMap::<_, u32>::new();
    for n in 1..=240 {
        if let Source::Readers(readers) = source_of(n, &servers) {
            *askers.entry(readers[0]).or_default() += 1;
        }
    }
    assert_eq!(askers.len(), 2 * READERS_PER_ZONE);
    // 36 nodes a reader in the larger zone, 18 in the other.
    assert!(askers.values().all(|n| (6..=60).contains(n)), "{askers:?}");
}

fn at(epoch: u64, revision: u64) -> StoreRevision {
    let epoch = Epoch(epoch);
    StoreRevision { epoch, revision }
}

proptest! {
    /// Guards against changes that a node never gets: what a log gives from any revision on leaves
    /// no gap up to its end, and it never gives changes of another epoch.
    #[test]
    fn changes_follow_each_other_without_a_gap(
        start in 0_u64..20,
        steps in proptest::collection::vec((0_u64..4, 0_usize..80_000), 0..60),
        from in 0_u64..200,
        epoch in 1_u64..4,
    ) {
        let mut log = ChangeLog::default();
        log.restart(at(2, start));
        let mut end = start;
        for (step, bytes) in steps {
            let body = Bytes::from(vec![0; bytes]);
            log.push(Batch { from: at(2, end), to: at(2, end + step), body });
            end += step;
        }
        let mut read = at(epoch, from);
        loop {
            match log.after(read) {
                Lookup::Next(batch) => {
                    prop_assert_eq!(read.epoch, Epoch(2));
                    prop_assert!(batch.from <= read && read < batch.to);
                    read = batch.to;
                }
                Lookup::UpToDate => {
                    prop_assert!(epoch == 2 && read >= at(2, end));
                    break;
                }
                Lookup::Unknown => {
                    prop_assert!(epoch != 2 || from < end);
                    prop_assert_eq!(read, at(epoch, from));
                    break;
                }
            }
        }
    }

    /// Guards against a log that joins changes with some missing between them.
    #[test]
    fn a_batch_that_does_not_continue_the_log_replaces_it(gap in 1_u64..9, from in 0_u64..40) {
        let mut log = ChangeLog::default();
        log.restart(at(1, 10));
        let body = Bytes::from_static(b"x");
        log.push(Batch { from: at(1, 10), to: at(1, 15), body: body.clone() });
        log.push(Batch { from: at(1, 15 + gap), to: at(1, 30), body });
        let found = log.after(at(1, from));
        match from {
            _ if from < 15 + gap => prop_assert_eq!(found, Lookup::Unknown),
            _ if from < 30 => prop_assert!(matches!(found, Lookup::Next(_))),
            _ => prop_assert_eq!(found, Lookup::UpToDate),
        }
    }
}
