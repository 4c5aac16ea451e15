//! Guards against a level that excludes the wrong requests, or stays low after an overload.

use super::*;
use crate::state::id::RootId;

const OVERLOAD: QueueStats = QueueStats {
    min_len: 5,
    max_len: 50,
    immediate: 0,
    waited: 50,
    late: true,
    important_refused: false,
};

/// Runs windows with `rates` arrivals per importance and `done` completions. Importance 0 is that
/// of the important requests.
fn run_windows(
    controller: &mut LevelController,
    rates: &[usize],
    done: usize,
    window: QueueStats,
    windows: usize,
) {
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..windows {
        for (importance, rate) in rates.iter().enumerate() {
            for _ in 0..*rate {
                let root = RootId::random(&mut rng);
                let priority = Priority::new(importance as u8, false, root);
                controller.record_arrival(priority, importance == 0);
            }
        }
        (0..done).for_each(|_| controller.record_completion());
        controller.tick(window);
    }
}

/// Guards against a level that admits far more or fewer requests than the server completes.
#[test]
fn level_admits_about_what_is_completed() {
    let mut controller = LevelController::new();
    run_windows(&mut controller, &[200, 400, 400], 500, OVERLOAD, 20);
    let importance = controller.level().0 >> 24;
    let rank = f64::from(controller.level().0 & 0x7f_ffff) / f64::from(1 << 23);
    let admitted = 200.0 + 400.0 * rank;
    assert_eq!(importance, 1, "{:?}", controller.level());
    assert!((475.0..=575.0).contains(&admitted), "{admitted}");
}

/// Guards against refusing important requests because completions lag behind arrivals.
#[test]
fn level_spares_important_classes_until_the_queue_refused_some() {
    let mut controller = LevelController::new();
    run_windows(&mut controller, &[400, 400], 10, OVERLOAD, 20);
    assert_eq!(controller.level(), Level((1 << 24) - 1));
    let refused = QueueStats {
        important_refused: true,
        ..OVERLOAD
    };
    run_windows(&mut controller, &[400, 400], 10, refused, 2);
    assert!(controller.level() < Level((1 << 24) - 1));
}

/// Guards against a level that stays low after an overload.
#[test]
fn level_opens_after_one_window_without_a_queue() {
    let mut controller = LevelController::new();
    run_windows(&mut controller, &[10, 500], 100, OVERLOAD, 20);
    assert_ne!(controller.level(), Level::OPEN);
    controller.tick(QueueStats::default());
    assert_eq!(controller.level(), Level::OPEN);
}

/// Guards against a level that falls because of a short queue, which any busy server has.
#[test]
fn short_queue_does_not_lower_the_level() {
    let mut controller = LevelController::new();
    let short = QueueStats {
        late: false,
        ..OVERLOAD
    };
    run_windows(&mut controller, &[10, 500], 100, short, 20);
    assert_eq!(controller.level(), Level::OPEN);
}

/// Guards against a `Retry-After` that stays short during a long overload, or long after it.
#[test]
fn retry_after_doubles_while_the_class_is_refused() {
    let root = RootId([1; 16]);
    let after = |controller: &LevelController, importance| {
        controller
            .retry_after(Priority::new(importance, false, root))
            .as_millis()
    };
    let mut controller = LevelController::new();
    for (windows, expected) in [(0, 500), (5, 1_000), (10, 2_000), (20, 4_000), (100, 8_000)] {
        run_windows(&mut controller, &[10, 500], 100, OVERLOAD, windows);
        assert_eq!(
            after(&controller, 1),
            expected,
            "after {windows} more windows"
        );
        assert_eq!(after(&controller, 0), 500);
    }
    controller.tick(QueueStats::default());
    assert_eq!(after(&controller, 1), 500);
}
