//! Guards the counters, and the journal of decisions and requests.

use std::{collections::BTreeSet, time::Duration};

use comfreybay::state::{
    counters::{Counter, Counters, MetricKind},
    id::RootId,
    journal::{DECISIONS_MAX, DecisionKind, Journal, REQUESTS_MAX, STEPS_MAX, Step},
};
use tokio::time::Instant;

fn root(n: usize) -> RootId {
    RootId((n as u128).to_be_bytes())
}

/// Guards against two counters that are sent as one metric, and names that cannot be parsed.
#[test]
fn counter_names_are_distinct() {
    let names: BTreeSet<_> = Counter::ALL.iter().map(|c| c.name()).collect();
    assert_eq!(names.len(), Counter::ALL.len());
    for counter in Counter::ALL {
        assert_eq!(counter.name().parse::<Counter>(), Ok(*counter));
        assert!(counter.description().ends_with('.'), "{counter}");
        assert!(!counter.unit().is_empty(), "{counter}");
    }
}

/// Guards against a counter that changes the value of another one.
#[test]
fn counters_are_independent() {
    let counters = Counters::default();
    for (n, counter) in Counter::ALL.iter().enumerate() {
        match counter.kind() {
            MetricKind::Total => counters.add(*counter, n as u64),
            MetricKind::Gauge => counters.set(*counter, n as u64),
        }
    }
    for (n, (counter, value)) in counters.iter().enumerate() {
        assert_eq!(value, n as u64, "{counter}");
    }
}

/// Guards against a journal that grows without bound or drops the newest decisions.
#[test]
fn decisions_are_bounded() {
    let start = Instant::now();
    let mut journal = Journal::new(start);
    for n in 0..DECISIONS_MAX + 5 {
        let now = start + Duration::from_millis(n as u64);
        journal.record_decision(now, DecisionKind::Ejected, format!("u{n}"), "5 failures");
    }
    let kept: Vec<_> = journal.decisions().collect();
    assert_eq!(kept.len(), DECISIONS_MAX);
    assert_eq!((kept[0].at_ms, kept[0].subject.as_ref()), (5, "u5"));
    assert_eq!(kept[DECISIONS_MAX - 1].at_ms, DECISIONS_MAX as u64 + 4);
}

/// Guards against a request table that grows with traffic, and against steps that displace the
/// last one.
#[test]
fn requests_are_bounded() {
    let start = Instant::now();
    let mut journal = Journal::new(start);
    for n in 0..REQUESTS_MAX + 3 {
        journal.record_step(start, root(n), Step::Cancelled);
    }
    assert_eq!(journal.requests(), REQUESTS_MAX);
    assert_eq!(journal.dropped(), 3);
    assert!(journal.events(&root(2)).is_empty());
    assert_eq!(journal.events(&root(3)).len(), 1);

    let last = Step::Answered {
        outcome: "failed".into(),
        status: 502,
    };
    for _ in 0..2 * STEPS_MAX {
        journal.record_step(start, root(7), Step::Admitted { waited_us: 3 });
    }
    journal.record_step(start, root(7), last.clone());
    let events = journal.events(&root(7));
    assert_eq!(events.len(), STEPS_MAX);
    assert_eq!(events[STEPS_MAX - 1].step, last);
}

/// Guards against events that the dump command cannot parse.
#[test]
fn events_round_trip_through_json() {
    let start = Instant::now();
    let mut journal = Journal::new(start);
    let service = "bookings".parse().expect("valid name");
    let class = "booking".parse().expect("valid name");
    let step = Step::Arrived {
        listener: "public".into(),
        service,
        class,
        priority: 9,
    };
    journal.record_step(start + Duration::from_micros(12), root(1), step);
    journal.record_decision(start, DecisionKind::ServerLost, "server", "reset");
    let events = journal.events(&root(1)).to_vec();
    let text = serde_json::to_string(&events).expect("events encode");
    let decoded: Vec<comfreybay::state::journal::Event> =
        serde_json::from_str(&text).expect("events decode");
    assert_eq!(decoded, events);
    let decision = journal.decisions().next().expect("one decision").clone();
    let text = serde_json::to_string(&decision).expect("decisions encode");
    assert!(text.contains("\"server-lost\""), "{text}");
}
