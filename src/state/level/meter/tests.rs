//! Guards against a level that refuses the wrong requests, or stays closed.

use super::*;
use crate::state::id::RootId;

const PRESSURE: QueueStats = QueueStats {
    min_len: 5,
    max_len: 50,
    immediate: 0,
    waited: 50,
    late: true,
    important_refused: false,
};

/// Feeds windows of `rates` arrivals per importance, of which 0 is important.
fn feed(
    meter: &mut LevelController,
    rates: &[usize],
    done: usize,
    window: QueueStats,
    ticks: usize,
) {
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..ticks {
        for (importance, rate) in rates.iter().enumerate() {
            for _ in 0..*rate {
                let root = RootId::random(&mut rng);
                let priority = Priority::new(importance as u8, false, root);
                meter.arrived(priority, importance == 0);
            }
        }
        (0..done).for_each(|_| meter.completed());
        meter.tick(window);
    }
}

/// Guards against a level far from what the server completes.
#[test]
fn level_admits_about_what_is_completed() {
    let mut meter = LevelController::new();
    feed(&mut meter, &[200, 400, 400], 500, PRESSURE, 20);
    let importance = meter.level().0 >> 24;
    let rank = f64::from(meter.level().0 & 0x7f_ffff) / f64::from(1 << 23);
    let admitted = 200.0 + 400.0 * rank;
    assert_eq!(importance, 1, "{:?}", meter.level());
    assert!((475.0..=575.0).contains(&admitted), "{admitted}");
}

/// Guards against refusing important requests because completions lag behind.
#[test]
fn level_spares_important_classes_until_the_queue_refused_some() {
    let mut meter = LevelController::new();
    feed(&mut meter, &[400, 400], 10, PRESSURE, 20);
    assert_eq!(meter.level(), Level((1 << 24) - 1));
    let refused = QueueStats {
        important_refused: true,
        ..PRESSURE
    };
    feed(&mut meter, &[400, 400], 10, refused, 2);
    assert!(meter.level() < Level((1 << 24) - 1));
}

/// Guards against a level that stays closed after the pressure has ended.
#[test]
fn level_opens_after_one_window_without_a_queue() {
    let mut meter = LevelController::new();
    feed(&mut meter, &[10, 500], 100, PRESSURE, 20);
    assert_ne!(meter.level(), Level::OPEN);
    meter.tick(QueueStats::default());
    assert_eq!(meter.level(), Level::OPEN);
}

/// Guards against a level that closes for a short queue, as any busy server has.
#[test]
fn short_queue_does_not_close_the_level() {
    let mut meter = LevelController::new();
    let short = QueueStats {
        late: false,
        ..PRESSURE
    };
    feed(&mut meter, &[10, 500], 100, short, 20);
    assert_eq!(meter.level(), Level::OPEN);
}

/// Guards against callers that are sent back at once during long overload, or for ever after.
#[test]
fn retry_after_doubles_while_the_class_is_refused() {
    let root = RootId([1; 16]);
    let after = |meter: &LevelController, importance| {
        meter
            .retry_after(Priority::new(importance, false, root))
            .as_millis()
    };
    let mut meter = LevelController::new();
    for (ticks, expected) in [(0, 500), (5, 1_000), (10, 2_000), (20, 4_000), (100, 8_000)] {
        feed(&mut meter, &[10, 500], 100, PRESSURE, ticks);
        assert_eq!(after(&meter, 1), expected, "after {ticks} more ticks");
        assert_eq!(after(&meter, 0), 500);
    }
    meter.tick(QueueStats::default());
    assert_eq!(after(&meter, 1), 500);
}
