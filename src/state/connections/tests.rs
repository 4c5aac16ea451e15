//! Tests of which connection is closed.

use std::{rc::Rc, time::Duration};

use tokio::time::Instant;

use super::{ConnectionLimits, Connections};

const LIMITS: ConnectionLimits = ConnectionLimits {
    head: Some(Duration::from_secs(3)),
    stall: Some(Duration::from_secs(10)),
};

/// Guards against an idle connection that keeps new ones out, and against the close of a busy one.
#[test]
fn longest_idle_connection_is_ended_first() {
    let (table, start) = (Rc::new(Connections::new(3)), Instant::now());
    let busy = table.open(start).unwrap();
    busy.connection().request_started();
    let used = table.open(start).unwrap();
    let unused = table.open(start + Duration::from_secs(1)).unwrap();
    used.connection().received(start + Duration::from_secs(2));
    assert!(table.open(start + Duration::from_secs(3)).is_some());
    assert!(!table.open.borrow().contains_key(&unused.id));
    assert!(table.open.borrow().contains_key(&used.id));
    assert!(table.open.borrow().contains_key(&busy.id));
}

/// Guards against heads at one byte a second that hold a connection.
#[test]
fn time_of_a_head_counts_from_its_first_byte() {
    let (table, start) = (Rc::new(Connections::new(3)), Instant::now());
    let guard = table.open(start).unwrap();
    let idle = start + Duration::from_secs(12);
    assert_eq!(table.end_overdue(&LIMITS, idle), 0);
    guard.connection().received(idle);
    guard.connection().received(idle + Duration::from_secs(2));
    assert_eq!(table.end_overdue(&LIMITS, idle + Duration::from_secs(2)), 0);
    assert_eq!(table.end_overdue(&LIMITS, idle + Duration::from_secs(3)), 1);
}

/// Guards against the end of a connection whose request takes longer than a head may.
#[test]
fn body_and_work_are_not_part_of_the_head() {
    let (table, start) = (Rc::new(Connections::new(3)), Instant::now());
    let guard = table.open(start).unwrap();
    guard.connection().received(start);
    guard.connection().request_started();
    guard.connection().received(start + Duration::from_secs(1));
    let late = start + Duration::from_secs(60);
    assert_eq!(table.end_overdue(&LIMITS, late), 0);
}

/// Guards against answers that wait for a client that takes nothing, and against the end of one that
/// takes its answer slowly.
#[test]
fn stall_counts_from_the_last_byte_taken() {
    let (table, start) = (Rc::new(Connections::new(3)), Instant::now());
    let guard = table.open(start).unwrap();
    guard.connection().blocked(start);
    guard.connection().sent(start + Duration::from_secs(9));
    guard.connection().blocked(start + Duration::from_secs(9));
    let at = |seconds| start + Duration::from_secs(seconds);
    assert_eq!(table.end_overdue(&LIMITS, at(18)), 0);
    assert_eq!(table.end_overdue(&LIMITS, at(19)), 1);
    assert!(table.is_empty());
}
