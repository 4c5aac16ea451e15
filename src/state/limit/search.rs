//! Search for the concurrency at which a backend server completes most.

use std::collections::BTreeMap;

use super::super::id::ClassName;

/// Share of the current limit by which a step lowers it.
const STEP: f64 = 1.0 / 16.0;
/// Largest number of steps that a trial lowers the limit by. A server may be slow over more than
/// one step below its slots, and then shows no gain after the first.
const STEPS_MAX: i32 = 2;
/// Share of the slots below which the limit never falls.
const FLOOR_SHARE: f64 = 0.5;
/// Windows that are ignored after a change, while calls that started before it end.
const SETTLE_WINDOWS: u32 = 2;
/// Shortest and longest measurement.
const MEASURE_MIN_WINDOWS: u32 = 3;
const MEASURE_MAX_WINDOWS: u32 = 10;
/// Number of calls that end a measurement once it has the minimum length.
const MEASURE_CALLS: u32 = 250;
/// Standard deviation of the duration of a call that is assumed, relative to its mean.
const DURATION_SPREAD: f64 = 0.6;
/// Number of standard errors by which a lower limit must be better to be kept.
const SIGNIFICANT_ERRORS: f64 = 2.0;
/// Windows between two trials: at first, and at most. Doubles with each trial that failed.
const PAUSE_MIN_WINDOWS: u32 = 10;
const PAUSE_MAX_WINDOWS: u32 = 320;

/// Calls that ended within some windows.
#[derive(Debug, Default)]
struct Measurement {
    windows: u32,
    /// Number and total duration in seconds of the calls, by class.
    calls: BTreeMap<ClassName, (u32, f64)>,
}

impl Measurement {
    fn count(&self) -> u32 {
        self.calls.values().map(|(count, _)| count).sum()
    }

    fn is_complete(&self) -> bool {
        self.windows >= MEASURE_MAX_WINDOWS
            || self.windows >= MEASURE_MIN_WINDOWS && self.count() >= MEASURE_CALLS
    }

    /// Work per window, where a call of each class counts as much as it took in `reference`, so
    /// that a change of the mix of classes has no effect.
    fn work(&self, reference: &Self) -> f64 {
        let known = self.calls.iter().filter_map(|(class, (count, _))| {
            let (calls, total_s) = reference.calls.get(class)?;
            Some(f64::from(*count) * total_s / f64::from(*calls))
        });
        known.sum::<f64>() / f64::from(self.windows.max(1))
    }

    /// Standard error of the work, relative to it.
    fn relative_error(&self) -> f64 {
        DURATION_SPREAD / f64::from(self.count().max(1)).sqrt()
    }
}

/// A changed limit whose effect is being measured.
#[derive(Debug)]
struct Trial {
    /// Limit before the change.
    before: u32,
    /// Measurement at that limit.
    reference: Measurement,
}

/// Finds the limit on calls in flight at which a backend server with a fixed number of slots
/// completes most.
///
/// Some servers slow down when nearly all of their slots are in use, and then complete more with
/// fewer calls in flight. While calls wait all the time, the limit is changed by a small step on
/// trial, and the change is kept if more work is completed. Without waiting calls the limit has no
/// effect and stays as it is.
#[derive(Debug)]
pub struct LimitSearch {
    slots: u32,
    limit: u32,
    measurement: Measurement,
    /// Windows still to ignore.
    settle: u32,
    trial: Option<Trial>,
    /// Whether the next trial raises the limit.
    is_rising: bool,
    /// Number of steps by which the next trial lowers the limit.
    steps: i32,
    /// Windows until the next trial.
    wait: u32,
    /// Windows to wait after the next trial that fails.
    pause: u32,
}

impl LimitSearch {
    /// Starts at the number of slots.
    ///
    /// ```
    /// use comfreybay::state::limit::search::LimitSearch;
    /// use std::time::Duration;
    ///
    /// let class = "order".parse()?;
    /// let mut search = LimitSearch::new(100);
    /// // The server completes 1,300 calls in a window unless all of its slots are in use.
    /// for _ in 0..20 {
    ///     let calls = if search.limit() == 100 { 1_000 } else { 1_300 };
    ///     for _ in 0..calls {
    ///         search.record(&class, Duration::from_millis(10));
    ///     }
    ///     search.end_window(true);
    /// }
    /// assert!(search.limit() < 100);
    /// # Ok::<(), comfreybay::state::Error>(())
    /// ```
    pub fn new(slots: u32) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            limit: slots,
            measurement: Measurement::default(),
            settle: SETTLE_WINDOWS,
            trial: None,
            is_rising: false,
            steps: 1,
            wait: 0,
            pause: PAUSE_MIN_WINDOWS,
        }
    }

    /// Number of calls that may be in flight.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Changes the number of slots and starts again.
    pub fn resize(&mut self, slots: u32) {
        *self = Self::new(slots);
    }

    /// Records a call that was answered, with its time at the server.
    pub fn record(&mut self, class: &ClassName, duration: std::time::Duration) {
        let duration_s = duration.as_secs_f64();
        match self.measurement.calls.get_mut(class) {
            Some((count, total_s)) => {
                *count += 1;
                *total_s += duration_s;
            }
            None => {
                let first = (1, duration_s);
                self.measurement.calls.insert(class.clone(), first);
            }
        }
    }

    /// Leaves out the current window, in which the machine of the server was slow: what it completed
    /// says nothing about the limit.
    pub fn skip_window(&mut self) {
        self.restart(SETTLE_WINDOWS);
    }

    /// Ends a window of 100 ms. `is_saturated`: whether calls waited for a slot all the time.
    pub fn end_window(&mut self, is_saturated: bool) {
        self.wait = self.wait.saturating_sub(1);
        if !is_saturated {
            self.restart(SETTLE_WINDOWS);
            return;
        }
        if self.settle > 0 {
            self.restart(self.settle - 1);
            return;
        }
        self.measurement.windows += 1;
        if !self.measurement.is_complete() {
            return;
        }
        let measured = std::mem::take(&mut self.measurement);
        match self.trial.take() {
            Some(trial) => self.judge(trial, measured),
            None if self.wait == 0 => self.start_trial(measured),
            None => {}
        }
    }

    fn restart(&mut self, settle: u32) {
        self.measurement = Measurement::default();
        self.settle = settle;
    }

    fn start_trial(&mut self, reference: Measurement) {
        let before = self.limit;
        let target = match self.is_rising {
            true => (f64::from(before) / (1.0 - STEP)).ceil() as u32,
            false => (f64::from(before) * (1.0 - STEP).powi(self.steps)).floor() as u32,
        };
        let floor = (f64::from(self.slots) * FLOOR_SHARE).ceil() as u32;
        self.limit = target.clamp(floor, self.slots);
        if self.limit == before {
            self.is_rising = !self.is_rising;
            return;
        }
        self.trial = Some(Trial { before, reference });
        self.restart(SETTLE_WINDOWS);
    }

    fn judge(&mut self, trial: Trial, measured: Measurement) {
        let reference = &trial.reference;
        let gain = measured.work(reference) / reference.work(reference).max(f64::MIN_POSITIVE);
        // A higher limit is the normal state and needs no proof.
        let margin = match self.is_rising {
            true => 0.0,
            false => {
                let (a, b) = (reference.relative_error(), measured.relative_error());
                SIGNIFICANT_ERRORS * a.hypot(b)
            }
        };
        if gain > 1.0 + margin {
            (self.pause, self.steps) = (PAUSE_MIN_WINDOWS, 1);
            self.start_trial(measured);
            return;
        }
        self.limit = trial.before;
        if !self.is_rising {
            self.steps = self.steps % STEPS_MAX + 1;
        }
        self.is_rising = !self.is_rising && self.limit < self.slots;
        self.wait = self.pause;
        self.pause = (self.pause * 2).min(PAUSE_MAX_WINDOWS);
        self.restart(SETTLE_WINDOWS);
    }
}

#[cfg(test)]
mod tests;
