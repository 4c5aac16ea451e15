//! Guards against callers that retry hard and against a table that grows with them.

use std::time::Duration;

use super::*;

fn request(n: usize) -> Fingerprint {
    fingerprint(&[&n.to_be_bytes()])
}

/// Guards against holding a caller that waited, or not holding one that did not.
#[test]
fn request_is_held_until_its_time() {
    let now = Instant::now();
    let until = now + Duration::from_secs(1);
    let mut table = RefusalTable::new();
    table.record_refusal(request(1), until, now);
    assert!(table.is_early_retry(&request(1), until - Duration::from_millis(1)));
    assert!(!table.is_early_retry(&request(1), until));
    assert!(!table.is_early_retry(&request(2), now));
}

/// Guards against a second, shorter refusal that frees a caller early.
#[test]
fn shorter_refusal_does_not_shorten_the_time() {
    let now = Instant::now();
    let mut table = RefusalTable::new();
    table.record_refusal(request(1), now + Duration::from_secs(8), now);
    table.record_refusal(request(1), now + Duration::from_secs(1), now);
    assert!(table.is_early_retry(&request(1), now + Duration::from_secs(7)));
}

/// Guards against unbounded memory when each request has a new body.
#[test]
fn table_is_bounded() {
    let now = Instant::now();
    let mut table = RefusalTable::new();
    for n in 0..3 * REFUSALS_MAX {
        let until = now + Duration::from_millis(500 + n as u64);
        table.record_refusal(request(n), until, now);
        assert!(table.len() <= REFUSALS_MAX);
        assert_eq!(table.until.len(), table.order.len());
    }
    table.record_refusal(
        request(0),
        now + Duration::from_secs(200),
        now + Duration::from_secs(100),
    );
    assert_eq!(table.len(), 1);
}
