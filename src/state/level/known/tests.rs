//! Guards against levels that refuse on old news, or close a service for one upstream.

use super::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Guards against a level without news that stays closed, or that opens all at once.
#[test]
fn level_without_news_opens_in_steps() {
    let level = Level(3 << 24);
    assert_eq!(aged(level, ms(500)), level);
    assert_eq!(aged(level, ms(549)), level);
    let steps: Vec<_> = (0..10).map(|n| aged(level, ms(500 + 50 * n))).collect();
    assert!(steps.windows(2).all(|w| w[0] < w[1] || w[1] == Level::OPEN));
    assert!(steps[1].0 - level.0 < 1 << 24);
    assert_eq!(aged(level, ms(950)), Level::OPEN);
    assert_eq!(aged(level, Duration::from_secs(86_400)), Level::OPEN);
}

/// Guards against a service refused early because one of its upstreams is overloaded.
#[test]
fn one_open_upstream_keeps_the_service_open() {
    let start = Instant::now();
    let mut known = ReportedLevel::new(Level(5), start);
    for n in 1..100 {
        let now = start + ms(10 * n);
        let level = if n % 5 == 0 { Level::OPEN } else { Level(5) };
        known.update(level, now);
        assert_eq!(known.level(now), if n < 5 { Level(5) } else { Level::OPEN });
    }
}

/// Guards against a level that opens late, or closes never.
#[test]
fn level_opens_at_once_and_closes_when_all_agree() {
    let start = Instant::now();
    let mut known = ReportedLevel::new(Level::OPEN, start);
    for n in 1..=25 {
        known.update(Level(5), start + ms(10 * n));
    }
    assert_eq!(known.level(start + ms(250)), Level(5));
    known.update(Level::OPEN, start + ms(251));
    assert_eq!(known.level(start + ms(251)), Level::OPEN);
}
