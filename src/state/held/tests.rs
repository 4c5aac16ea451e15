//! Guards against callers that retry too early, and against a table that grows with them.

use std::time::Duration;

use super::*;

fn request(n: usize) -> Fingerprint {
    fingerprint(&[&n.to_be_bytes()])
}

/// Guards against a caller that waited being treated as early, and the reverse.
#[test]
fn retry_is_early_until_retry_after_has_passed() {
    let now = Instant::now();
    let retry_at = now + Duration::from_secs(1);
    let mut table = RefusalTable::new();
    table.record_refusal(request(1), retry_at, now);
    assert!(table.is_early_retry(&request(1), retry_at - Duration::from_millis(1)));
    assert!(!table.is_early_retry(&request(1), retry_at));
    assert!(!table.is_early_retry(&request(2), now));
}

/// Guards against a second refusal with a shorter `Retry-After` that lets a caller in early.
#[test]
fn second_refusal_does_not_shorten_retry_after() {
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
        let retry_at = now + Duration::from_millis(500 + n as u64);
        table.record_refusal(request(n), retry_at, now);
        assert!(table.len() <= REFUSALS_MAX);
        assert_eq!(table.retry_times.len(), table.by_time.len());
    }
    table.record_refusal(
        request(0),
        now + Duration::from_secs(200),
        now + Duration::from_secs(100),
    );
    assert_eq!(table.len(), 1);
}
