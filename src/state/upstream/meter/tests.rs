//! Guards against taking long work, or a server that is nearly full, for a slow server.

use super::*;

const STEP: Duration = Duration::from_millis(50);

/// A meter with a clock and two classes, the second ten times as long.
struct Driver {
    meter: ServiceTimeMeter,
    now: Instant,
    classes: [ClassName; 2],
}

impl Driver {
    fn new() -> Self {
        let mut meter = ServiceTimeMeter::default();
        meter.record_load(None);
        let classes = ["short", "long"].map(|name| name.parse().unwrap());
        let now = Instant::now();
        let mut driver = Self {
            meter,
            now,
            classes,
        };
        for _ in 0..40 {
            driver.record(0, 1.0, false);
            driver.record(1, 1.0, false);
        }
        driver
    }

    fn record(&mut self, class: usize, factor: f64, is_crowded: bool) {
        self.now += STEP;
        let usual_ms = [10.0, 100.0][class];
        let time = Duration::from_secs_f64(usual_ms * factor / 1_000.0);
        let class = &self.classes[class];
        self.meter.record(class, time, is_crowded, self.now);
    }

    fn usual_ms(&self, class: usize) -> f64 {
        let time = self.meter.report(&self.classes[class]).unwrap();
        time.usual.as_secs_f64() * 1_000.0
    }
}

/// Guards against a server that counts as slow because it gets only long work for a while.
#[test]
fn long_work_does_not_change_the_time_of_other_classes() {
    let mut driver = Driver::new();
    for _ in 0..100 {
        driver.record(1, 1.0, false);
    }
    assert!((9.5..10.5).contains(&driver.usual_ms(0)));
}

/// Guards against a slow server that is known only for the class it has just run.
#[test]
fn a_slow_server_is_slow_for_all_classes() {
    let mut driver = Driver::new();
    for _ in 0..100 {
        driver.record(0, 2.0, false);
    }
    assert!(driver.usual_ms(1) > 160.0, "{}", driver.usual_ms(1));
    for _ in 0..100 {
        driver.record(0, 1.0, false);
    }
    assert!(driver.usual_ms(1) < 120.0, "{}", driver.usual_ms(1));
}

/// Guards against a knee of 1.3 that counts as a slow server, and against a server that is slow as
/// well and not found because it is always nearly full.
#[test]
fn a_nearly_full_server_counts_as_slow_only_beyond_its_knee() {
    let mut driver = Driver::new();
    for _ in 0..200 {
        driver.record(0, 1.3, true);
    }
    assert!(driver.usual_ms(0) < 10.5, "{}", driver.usual_ms(0));
    for _ in 0..200 {
        driver.record(0, 2.6, true);
    }
    assert!(driver.usual_ms(0) > 17.0, "{}", driver.usual_ms(0));
}

/// Guards against measuring servers that report no load.
#[test]
fn nothing_is_measured_without_a_load() {
    let class = "a".parse().unwrap();
    let mut meter = ServiceTimeMeter::default();
    for _ in 0..20 {
        meter.record(&class, STEP, false, Instant::now());
    }
    assert_eq!(meter.report(&class), None);
}
