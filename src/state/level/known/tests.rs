//! Guards against refusals because of stale reports, or because of a single upstream.

use super::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Guards against a stale level that is never relaxed, or that opens in a single step.
#[test]
fn stale_level_is_relaxed_in_steps() {
    let level = Level(3 << 24);
    assert_eq!(relaxed(level, ms(500)), level);
    assert_eq!(relaxed(level, ms(549)), level);
    let steps: Vec<_> = (0..10).map(|n| relaxed(level, ms(500 + 50 * n))).collect();
    assert!(steps.windows(2).all(|w| w[0] < w[1] || w[1] == Level::OPEN));
    assert!(steps[1].0 - level.0 < 1 << 24);
    assert_eq!(relaxed(level, ms(950)), Level::OPEN);
    assert_eq!(relaxed(level, Duration::from_secs(86_400)), Level::OPEN);
}

/// Guards against refusing calls to a service because one of its upstreams is overloaded.
#[test]
fn one_open_upstream_keeps_the_service_open() {
    let start = Instant::now();
    let mut reported = ReportedLevel::new(Level(5), start);
    for n in 1..100 {
        let now = start + ms(10 * n);
        let level = if n % 5 == 0 { Level::OPEN } else { Level(5) };
        reported.update(level, now);
        assert_eq!(
            reported.level(now),
            if n < 5 { Level(5) } else { Level::OPEN }
        );
    }
}

/// Guards against a level that rises late, or never falls.
#[test]
fn level_rises_at_once_and_falls_when_all_agree() {
    let start = Instant::now();
    let mut reported = ReportedLevel::new(Level::OPEN, start);
    for n in 1..=25 {
        reported.update(Level(5), start + ms(10 * n));
    }
    assert_eq!(reported.level(start + ms(250)), Level(5));
    reported.update(Level::OPEN, start + ms(251));
    assert_eq!(reported.level(start + ms(251)), Level::OPEN);
}
