//! Tests of the release of requests at an announced rate.

use proptest::prelude::*;

use super::*;

/// Requests that a limiter releases when one is tried every `gaps_ms`, by time since the start.
fn releases(limiter: &mut RateLimiter, gaps_ms: &[u64], start: Instant) -> Vec<Duration> {
    let mut at = Duration::ZERO;
    let mut released = Vec::new();
    for gap in gaps_ms {
        at += Duration::from_millis(*gap);
        if limiter.try_take(start + at) {
            released.push(at);
        }
    }
    released
}

proptest! {
    /// Guards against more requests in a window than the announced rate and one burst allow, and
    /// against a limiter that withholds what the server accepts.
    #[test]
    fn releases_follow_the_rate(per_second in 0.0..200.0_f64, gaps in prop::collection::vec(0..40_u64, 2_000)) {
        let start = Instant::now();
        let mut limiter = RateLimiter::default();
        limiter.record(Some(RateLimit(per_second)), start, start);
        let released = releases(&mut limiter, &gaps, start);
        let rate = per_second.max(PROBE_RATE_PER_S);
        for (n, from) in released.iter().enumerate() {
            let window = Duration::from_secs(4);
            let count = released[n..].iter().take_while(|at| **at < *from + window).count();
            prop_assert!(count as f64 <= (4.0 + BURST_S) * rate + 2.0, "{count} at {rate} a second");
        }
        let total = gaps.iter().sum::<u64>() as f64 / 1_000.0;
        let possible = (rate * total).min(gaps.len() as f64 / 2.0);
        prop_assert!(released.len() as f64 >= possible * 0.4 - 2.0, "{} of {possible}", released.len());
    }

    /// Guards against a wait that differs from the time at which a request is released.
    #[test]
    fn wait_ends_when_a_request_is_released(per_second in 1.0..500.0_f64, ahead in 0..20_usize) {
        let start = Instant::now();
        let mut limiter = RateLimiter::default();
        limiter.record(Some(RateLimit(per_second)), start, start);
        let wait = limiter.wait(ahead, start);
        let early = start + wait.saturating_sub(Duration::from_millis(1));
        let step = Duration::from_secs_f64(0.1 / per_second);
        let mut released = 0;
        let mut at = start;
        while at < early {
            released += usize::from(limiter.try_take(at));
            at += step;
        }
        prop_assert!(released <= ahead);
        prop_assert!(limiter.has_room(start + wait + step * 2));
    }
}

/// Guards against a report of another node that outweighs what the server itself announced.
#[test]
fn reports_of_other_nodes_count_only_before_the_first_answer() {
    let now = Instant::now();
    let later = now + Duration::from_millis(10);
    let mut limiter = RateLimiter::default();
    assert!(limiter.adopt(RateLimit(5.0), now));
    assert!(limiter.adopt(RateLimit(6.0), now));
    assert!(!limiter.record(None, now, now), "sent before the report");
    assert!(!limiter.adopt(RateLimit(7.0), now));
    assert!(limiter.record(None, later, later));
    assert_eq!(limiter.limit(), None);
    assert!(limiter.try_take(later));
}
