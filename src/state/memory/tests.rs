//! Tests of the memory budget and of whose body is ended.

use std::{rc::Rc, time::Duration};

use tokio::time::Instant;

use super::{
    BODY_WINDOW, BODY_WINDOW_BYTES, CONNECTION_BYTES, Charge, MemoryBudget, MemorySize,
    ProcessLimits,
};

fn limits(memory_mb: usize, descriptors: usize) -> ProcessLimits {
    ProcessLimits {
        memory: Some(MemorySize(memory_mb * 1_000_000)),
        descriptors: Some(descriptors),
    }
}

fn budget() -> Rc<MemoryBudget> {
    MemoryBudget::new(MemorySize(1_000))
}

/// Guards against a node of the smallest kind that refuses the largest body of the examples while
/// all of its connections are open.
#[test]
fn largest_body_fits_beside_all_connections() {
    let limits = limits(160, 4_100);
    let connections = (limits.callers() + limits.peers()) * CONNECTION_BYTES;
    assert!(connections + (64 << 20) <= limits.budget().0);
}

/// Guards against connections that use up the descriptors of the store, the server or files.
#[test]
fn connections_leave_descriptors() {
    for descriptors in [0, 256, 400, 4_100, 8_192] {
        let limits = limits(512, descriptors);
        let open = limits.callers() + limits.peers();
        assert!(open <= descriptors.saturating_sub(256).max(2), "{open}");
    }
    let default = ProcessLimits::default();
    assert_eq!((default.callers(), default.peers()), (2_048, 1_024));
}

/// Guards against a budget that a refused charge changes, or that is never released.
#[test]
fn refused_charge_changes_nothing() {
    let budget = budget();
    let mut first = Charge::new(&budget);
    assert!(first.try_grow(900));
    assert!(!Charge::new(&budget).try_grow(101));
    assert_eq!(budget.used(), MemorySize(900));
    drop(first);
    assert_eq!(budget.used(), MemorySize(0));
}

/// Guards against a body that is ended for another one although it brings bytes.
#[test]
fn only_stalled_bodies_are_ended_the_slowest_first() {
    let (budget, start) = (budget(), Instant::now());
    let (stalled, slower) = (budget.start_body(start), budget.start_body(start));
    stalled.received(1, start + Duration::from_millis(500));
    assert!(!budget.end_slowest(start + Duration::from_millis(900)));
    let now = start + Duration::from_millis(1_100);
    assert!(budget.end_slowest(now));
    assert!(slower.is_too_slow(now));
    assert!(!stalled.is_too_slow(now));
    assert!(!budget.end_slowest(now));
}

/// Guards against a forwarded request whose body counts as one that is still being read.
#[test]
fn read_bodies_are_not_ended() {
    let (budget, start) = (budget(), Instant::now());
    drop(budget.start_body(start));
    assert!(!budget.end_slowest(start + BODY_WINDOW));
}

/// Guards against bodies at one byte a second that are read on, and against slow ones that are ended.
#[test]
fn rate_is_judged_over_a_window() {
    let (budget, start) = (budget(), Instant::now());
    let body = budget.start_body(start);
    body.received(BODY_WINDOW_BYTES, start);
    assert!(!body.is_too_slow(start + BODY_WINDOW));
    body.received(BODY_WINDOW_BYTES - 1, start + BODY_WINDOW);
    assert!(!body.is_too_slow(start + BODY_WINDOW * 3 / 2));
    assert!(body.is_too_slow(start + BODY_WINDOW * 2));
}
