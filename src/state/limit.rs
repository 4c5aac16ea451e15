//! Adaptive concurrency limit of one backend server.

pub mod search;

use std::time::Duration;

use tokio::time::Instant;

/// How a call at the backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// With a response.
    Answered,
    /// Refused by the load shedding of the server itself.
    Shed,
    /// The connection was lost.
    Lost,
    /// Cancelled by the caller or the deadline.
    Cancelled,
}

/// Share of the slots at which the limit of a cold server starts.
const COLD_SHARE: f64 = 0.1;
/// Share of the slots below which the limit never falls.
const FLOOR_SHARE: f64 = 0.05;
/// Minimum samples of a window while the limit equals the slots; fewer make the average too noisy.
const STEADY_SAMPLES: u32 = 64;
/// Minimum samples of a window while the limit is below the slots and the server is not slow.
const RAMP_SAMPLES: u32 = 16;
/// Minimum samples of a window during a [`Trial`]. A server that is slow at any concurrency loses
/// goodput while the trial lasts: windows of 64 samples and a decrease by half kept the limit of a
/// server with 20 slots at 10 for 10 s of a 20 s slowdown.
const TRIAL_SAMPLES: u32 = 32;
/// Average service time, as a multiple of the baseline, up to which the limit may rise quickly.
const NORMAL_RATIO: f64 = 1.1;
/// Average service time, as a multiple of the baseline, above which the server counts as slow.
const SLOW_RATIO: f64 = 1.3;
/// Number of samples up to which the baseline is their plain average.
const BASELINE_SAMPLES: f64 = 256.0;
/// Factor of a trial decrease; the effect of a smaller decrease is lost in the noise.
const TRIAL_FACTOR: f64 = 0.7;
/// Factor of a decrease after the server shed load.
const SHED_FACTOR: f64 = 0.9;
/// Time after load shedding for which the limit rises only slowly near the concurrency at which it
/// happened.
const SHED_COOLDOWN: Duration = Duration::from_secs(5);
/// Time after a decrease that helped, for which the limit rises quickly only while the service time
/// is at the baseline.
const CONTENTION_COOLDOWN: Duration = Duration::from_secs(10);
/// Service times that differ by less count as equal.
const SLACK_S: f64 = 0.001;

/// A decrease whose effect on the service time is not known yet.
#[derive(Debug, Clone, Copy)]
struct Trial {
    /// Limit before the decrease.
    limit: f64,
    /// Average service time before the decrease.
    average: f64,
    /// Average service time to expect if concurrency was the cause.
    expected: f64,
    /// Whether one window has already shown no effect.
    is_repeated: bool,
}

/// Service times in seconds, collected since the limit was last evaluated.
#[derive(Debug, Clone, Copy, Default)]
struct Window {
    samples: u32,
    sum: f64,
    squares: f64,
    /// Highest number of calls in flight.
    peak: u32,
}

impl Window {
    /// Standard error of the average, relative to it.
    fn relative_error(&self) -> f64 {
        let samples = f64::from(self.samples);
        let average = self.sum / samples;
        let variance = (self.squares / samples - average * average).max(0.0);
        (variance / samples).sqrt() / average.max(f64::MIN_POSITIVE)
    }
}

/// Adapts the limit on calls in flight at one backend server, between a floor and its configured
/// slots.
///
/// The service time of a call is its time in the server without the calls that the server makes.
/// The average service time of a window is compared with a baseline that follows the low recent
/// averages. When it is well above, the limit is decreased on trial: if the service time falls too,
/// concurrency was the cause and the decrease stays; otherwise the server itself is slower, the
/// limit is restored and the longer time becomes the baseline.
#[derive(Debug)]
pub struct Limiter {
    slots: f64,
    limit: f64,
    /// Average service time, in seconds, of a server that is not overloaded.
    baseline: Option<f64>,
    /// Number of samples in the baseline.
    baseline_samples: f64,
    window: Window,
    /// Number of ended calls still to ignore, because they started under an earlier limit.
    skip: u32,
    is_slow: bool,
    trial: Option<Trial>,
    /// Time of the last decrease that helped.
    contended_at: Option<Instant>,
    /// Time and concurrency of the last load shedding.
    last_shed: Option<(Instant, f64)>,
}

impl Limiter {
    /// Creates the limiter of a cold server with this many slots.
    ///
    /// ```
    /// use comfreybay::state::limit::{CallEnd, Limiter};
    /// use std::time::Duration;
    /// use tokio::time::Instant;
    ///
    /// let now = Instant::now();
    /// let mut limiter = Limiter::new(100, now);
    /// assert_eq!(limiter.limit(), 10);
    /// for _ in 0..1_000 {
    ///     limiter.record(Duration::from_millis(5), limiter.limit(), CallEnd::Answered, now);
    /// }
    /// assert_eq!(limiter.limit(), 100);
    /// ```
    pub fn new(slots: u32, _now: Instant) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            slots,
            limit: (slots * COLD_SHARE).ceil(),
            baseline: None,
            baseline_samples: 0.0,
            window: Window::default(),
            // The calls that end first are the shortest ones, so they are ignored.
            skip: (slots * COLD_SHARE).ceil() as u32,
            is_slow: false,
            trial: None,
            contended_at: None,
            last_shed: None,
        }
    }

    /// Number of calls that may be in flight.
    pub fn limit(&self) -> u32 {
        self.limit.round().max(1.0) as u32
    }

    /// Records the end of a call with its service time and the number of calls that were in flight
    /// just before, this one included.
    pub fn record(&mut self, service_time: Duration, in_flight: u32, end: CallEnd, now: Instant) {
        let time = service_time.as_secs_f64();
        // The time of a cancelled call is a lower bound, so it counts only above the baseline.
        let is_slow = self.baseline.is_some_and(|baseline| time > baseline);
        let is_sample = match end {
            CallEnd::Answered => true,
            CallEnd::Cancelled => is_slow,
            CallEnd::Shed | CallEnd::Lost => false,
        };
        // Calls that started before the last change do not show the effect of the current limit.
        if self.skip > 0 {
            self.skip -= 1;
            return;
        }
        if end == CallEnd::Shed {
            self.decrease_for_shed(in_flight, now);
        }
        if !is_sample {
            return;
        }
        self.window.samples += 1;
        self.window.sum += time;
        self.window.squares += time * time;
        self.window.peak = self.window.peak.max(in_flight);
        let min_samples = match self.trial {
            Some(_) => TRIAL_SAMPLES,
            None if self.limit < self.slots && !self.is_slow => RAMP_SAMPLES,
            None => STEADY_SAMPLES,
        };
        if self.window.samples >= self.limit().max(min_samples) {
            let window = std::mem::take(&mut self.window);
            self.evaluate(window, in_flight, now);
        }
    }

    /// Resets the limiter to that of a cold server, after the server restarted.
    pub fn reset(&mut self, now: Instant) {
        *self = Self::new(self.slots as u32, now);
    }

    /// Changes the number of slots. A limit that equals the old number is set to the new one.
    pub fn resize(&mut self, slots: u32) {
        let slots = f64::from(slots.max(1));
        let is_full = self.limit >= self.slots;
        self.slots = slots;
        self.limit = if is_full {
            slots
        } else {
            self.limit.min(slots)
        };
    }

    /// Lets a test start with a warm server.
    #[cfg(test)]
    pub(crate) fn warm_up(&mut self) {
        self.limit = self.slots;
    }

    /// Adjusts the limit after a full window.
    fn evaluate(&mut self, window: Window, in_flight: u32, now: Instant) {
        let samples = f64::from(window.samples);
        let average = window.sum / samples;
        let Some(baseline) = self.baseline else {
            (self.baseline, self.baseline_samples) = (Some(average), samples);
            if self.increase(window.peak, 2.0, now) {
                self.skip = in_flight;
            }
            return;
        };
        let trial = self.trial.take();
        if let Some(trial) = trial
            && average > (trial.average + trial.expected) / 2.0
        {
            self.reject_trial(trial, average);
            return;
        }
        // The baseline is an average of samples, too, and adds its own error.
        let error = window.relative_error() * (1.0 + samples / self.baseline_samples).sqrt();
        let slow_ratio = SLOW_RATIO + 3.0 * error;
        let is_slow = average > slow_ratio * baseline + SLACK_S;
        // A window during which the service time changed mixes old and new times, so a decrease
        // waits for a second slow window.
        let is_confirmed = std::mem::replace(&mut self.is_slow, is_slow) || trial.is_some();
        if trial.is_some() {
            self.contended_at = Some(now);
        }
        if is_slow {
            self.skip = in_flight;
            if is_confirmed {
                self.decrease(average, window.peak);
            }
            return;
        }
        let is_contended = self
            .contended_at
            .is_some_and(|at| now < at + CONTENTION_COOLDOWN);
        self.baseline = Some(self.track_baseline(baseline, average, samples, error, is_contended));
        let (normal_ratio, factor) = if is_contended {
            (1.0, 1.5)
        } else {
            (NORMAL_RATIO, 2.0)
        };
        let is_normal = average <= (normal_ratio + 2.0 * error) * baseline + SLACK_S;
        let factor = if is_normal { factor } else { 1.0 };
        if self.increase(window.peak, factor, now) {
            self.skip = in_flight;
        }
    }

    /// Handles a window of a trial in which the service time did not fall. The window may include
    /// calls from before the decrease, so the limit is restored only after a second such window.
    fn reject_trial(&mut self, trial: Trial, average: f64) {
        if !trial.is_repeated {
            self.trial = Some(Trial {
                is_repeated: true,
                ..trial
            });
            return;
        }
        self.baseline = Some(average);
        self.limit = trial.limit;
    }

    /// Returns the baseline after a window that was not slow. The first samples count equally;
    /// after that the baseline falls quickly and rises slowly.
    fn track_baseline(
        &mut self,
        baseline: f64,
        average: f64,
        samples: f64,
        error: f64,
        is_contended: bool,
    ) -> f64 {
        // While a slowdown caused by concurrency is recent, longer times are attributed to
        // concurrency and do not raise the baseline.
        let is_slower = average > (NORMAL_RATIO + 2.0 * error) * baseline;
        let weight = match average < baseline {
            _ if is_slower && is_contended => 0.0,
            _ if is_slower => 0.05,
            _ if self.baseline_samples < BASELINE_SAMPLES => {
                samples / (self.baseline_samples + samples)
            }
            true => 0.25,
            false => 0.05,
        };
        self.baseline_samples += samples;
        baseline + weight * (average - baseline)
    }

    /// Decreases the limit on trial. If less than half of it was in use, or it is at its floor, the
    /// longer time becomes the baseline instead.
    fn decrease(&mut self, average: f64, peak: u32) {
        let floor = (self.slots * FLOOR_SHARE).ceil();
        let limit = (self.limit * TRIAL_FACTOR).max(floor);
        if f64::from(peak) < self.limit / 2.0 || limit >= self.limit {
            self.baseline = Some(average);
            return;
        }
        self.trial = Some(Trial {
            limit: self.limit,
            average,
            expected: average * limit / self.limit,
            is_repeated: false,
        });
        self.limit = limit;
    }

    /// Raises a limit that is in use, and returns whether it rose by more than the slow step
    /// of 2% (at least 1).
    fn increase(&mut self, peak: u32, factor: f64, now: Instant) -> bool {
        if f64::from(peak) < (0.8 * self.limit).floor() || self.limit >= self.slots {
            return false;
        }
        let recent = self.last_shed.filter(|(at, _)| now < *at + SHED_COOLDOWN);
        let ceiling = recent.map_or(self.slots, |(_, limit)| limit * SHED_FACTOR);
        let slow = self.limit + (self.limit * 0.02).max(1.0);
        self.limit = (self.limit * factor).min(ceiling).max(slow).min(self.slots);
        self.limit > slow
    }

    /// Decreases the limit below the concurrency at which the server shed load.
    fn decrease_for_shed(&mut self, in_flight: u32, now: Instant) {
        let floor = (self.slots * FLOOR_SHARE).ceil();
        let used = self.limit.min(f64::from(in_flight.max(1)));
        self.last_shed = Some((now, used));
        self.limit = (used * SHED_FACTOR).max(floor);
        self.skip = in_flight;
        self.window = Window::default();
        self.trial = None;
    }
}

#[cfg(test)]
mod tests;
