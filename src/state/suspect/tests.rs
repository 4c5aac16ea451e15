//! Guards against suspects that are lost, kept for ever, or restored by late reports.

use super::*;

fn request(n: u32) -> Fingerprint {
    let mut bytes = [0; 16];
    bytes[..4].copy_from_slice(&n.to_be_bytes());
    Fingerprint(bytes)
}

/// Guards against entries that outlast their time.
#[test]
fn entries_expire() {
    let now = Instant::now();
    let mut table = SuspectTable::new();
    table.suspect(request(1), now);
    table.convict(request(2), now);
    let cases = [
        (
            0,
            Some(SuspectState::Suspect),
            Some(SuspectState::Convicted),
        ),
        (
            599,
            Some(SuspectState::Suspect),
            Some(SuspectState::Convicted),
        ),
        (600, None, None),
    ];
    for (seconds, first, second) in cases {
        let at = now + Duration::from_secs(seconds);
        assert_eq!(table.state(&request(1), at), first, "after {seconds} s");
        assert_eq!(table.state(&request(2), at), second, "after {seconds} s");
    }
}

/// Guards against reports exchanged between two nodes that extend the time of a suspect.
#[test]
fn reports_do_not_extend_an_entry() {
    let now = Instant::now();
    let (mut first, mut second) = (SuspectTable::new(), SuspectTable::new());
    first.suspect(request(1), now);
    for seconds in 0..1_200 {
        let at = now + Duration::from_secs(seconds);
        second.update(&first.report(at), at);
        first.update(&second.report(at), at);
        let expected = (seconds < 600).then_some(SuspectState::Suspect);
        assert_eq!(second.state(&request(1), at), expected, "after {seconds} s");
    }
}

/// Guards against a late report that makes a cleared request a suspect again, and against a
/// conviction that a completion undoes.
#[test]
fn cleared_request_ignores_late_suspects_but_not_convictions() {
    let now = Instant::now();
    let mut table = SuspectTable::new();
    table.suspect(request(1), now);
    let report = table.report(now);
    table.clear(&request(1), now);
    table.update(&report, now);
    assert_eq!(table.state(&request(1), now), Some(SuspectState::Cleared));
    let convicted = vec![(request(1), CONVICTED_TTL)];
    let report = SuspectReport {
        convicted,
        ..SuspectReport::default()
    };
    table.update(&report, now);
    table.clear(&request(1), now);
    assert_eq!(table.state(&request(1), now), Some(SuspectState::Convicted));
}

/// Guards against unbounded memory, and against convictions that are evicted for suspects.
#[test]
fn table_is_bounded_and_keeps_convictions() {
    let now = Instant::now();
    let mut table = SuspectTable::new();
    table.convict(request(0), now);
    for n in 1..2 * ENTRIES_MAX as u32 {
        table.suspect(request(n), now);
        assert!(table.len() <= ENTRIES_MAX);
    }
    assert_eq!(table.state(&request(0), now), Some(SuspectState::Convicted));
}

/// Guards against requests that are isolated at every server because one of them has crashed, and
/// against one that crashes servers and is not isolated after the second crash.
#[test]
fn suspects_of_other_nodes_are_isolated_after_a_second_crash() {
    let now = Instant::now();
    let [mut first, mut second, mut third] = [(); 3].map(|()| SuspectTable::new());
    first.suspect(request(1), now);
    first.suspect(request(2), now);
    for _ in 0..3 {
        assert!(!second.merge(&first.report(now), now));
        assert!(!third.merge(&first.report(now), now));
    }
    assert!(!second.is_isolated(&request(1), now));
    assert_eq!(second.report(now), SuspectReport::default());
    second.suspect(request(1), now);
    assert!(!third.merge(&second.report(now), now));
    first.merge(&second.report(now), now);
    for table in [&first, &second, &third] {
        let state = table.state(&request(1), now);
        assert_eq!(state, Some(SuspectState::Recurrent));
        assert!(table.is_isolated(&request(1), now));
    }
    assert!(!third.is_isolated(&request(2), now));
    third.clear(&request(2), now);
    third.convict(request(1), now);
    second.merge(&third.report(now), now);
    let state = second.state(&request(1), now);
    assert_eq!(state, Some(SuspectState::Convicted));
}

/// Guards against two crashes at the same time that count as one at each of the nodes.
#[test]
fn crashes_at_two_nodes_before_they_tell_each_other_count_twice() {
    let now = Instant::now();
    let [mut first, mut second, mut third] = [(); 3].map(|()| SuspectTable::new());
    first.suspect(request(1), now);
    second.suspect(request(1), now);
    let reports = [first.report(now), second.report(now)];
    for report in &reports {
        third.merge(report, now);
    }
    assert!(first.merge(&reports[1], now));
    assert!(second.merge(&reports[0], now));
    third.merge(&first.report(now), now);
    for table in [&first, &second, &third] {
        assert!(table.is_isolated(&request(1), now));
    }
}
