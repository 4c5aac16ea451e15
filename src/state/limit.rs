//! Learned concurrency limit of one backend server.

use std::time::Duration;

use tokio::time::Instant;

/// How a call at the backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// With an answer.
    Answered,
    /// Refused by the server's own load shedding.
    Shed,
    /// The connection was lost.
    Lost,
    /// Cancelled by the caller or the deadline.
    Cancelled,
}

/// Part of the slots that a cold server starts with.
const COLD_SHARE: f64 = 0.1;
/// Part of the slots below which the limit never falls.
const FLOOR_SHARE: f64 = 0.05;
/// Samples of a window while the limit is at the slots; fewer make the average too noisy.
const STEADY_SAMPLES: u32 = 64;
const RAMP_SAMPLES: u32 = 16;
/// Samples of a window of a trial. A server that is slow at any concurrency loses goodput while the
/// trial lasts: windows of 64 and a step of 0.5 held 20 slots at 10 for 10 s of a 20 s slowdown.
const TRIAL_SAMPLES: u32 = 32;
/// Average own time, as a multiple of the reference, up to which answers count as in time.
const IN_TIME: f64 = 1.1;
/// Average own time, as a multiple of the reference, above which the server is slow.
const TOLERANCE: f64 = 1.3;
/// Samples from which the reference is no longer a plain average.
const SETTLED_SAMPLES: f64 = 256.0;
/// Decrease in one step; the effect of a smaller one is lost in the scatter.
const STEP: f64 = 0.7;
const SHED_STEP: f64 = 0.9;
/// Time for which the limit approaches a level at which the server shed load only slowly.
const SHED_MEMORY: Duration = Duration::from_secs(5);
/// Time after a decrease that helped, for which the limit doubles only at the reference time.
const CONTENTION_MEMORY: Duration = Duration::from_secs(10);
/// Own times that differ by less are taken as equal.
const SLACK_S: f64 = 0.001;

/// A decrease whose effect on the own time is awaited.
#[derive(Debug, Clone, Copy)]
struct Trial {
    limit: f64,
    average: f64,
    expected: f64,
    is_repeated: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct Window {
    samples: u32,
    sum: f64,
    squares: f64,
    peak: u32,
}

impl Window {
    /// Standard error of the average, as a share of it.
    fn scatter(&self) -> f64 {
        let samples = f64::from(self.samples);
        let average = self.sum / samples;
        let variance = (self.squares / samples - average * average).max(0.0);
        (variance / samples).sqrt() / average.max(f64::MIN_POSITIVE)
    }
}

/// Cap on calls in flight at one backend server, between a floor and its published slots.
///
/// The average own time of a window of answers is compared with the lowest recent average. When
/// it is well above, the limit is decreased on trial: if the own time follows, concurrency was the
/// cause and the decrease stays; otherwise the server itself is slower, the limit returns and the
/// longer time becomes the reference.
#[derive(Debug)]
pub struct Limiter {
    slots: f64,
    limit: f64,
    base: Option<f64>,
    seen: f64,
    window: Window,
    skip: u32,
    is_slow: bool,
    trial: Option<Trial>,
    contended: Option<Instant>,
    shed: Option<(Instant, f64)>,
}

impl Limiter {
    /// The limiter of a cold server with this many slots.
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
            base: None,
            seen: 0.0,
            window: Window::default(),
            // The first answers are those of the shortest calls.
            skip: (slots * COLD_SHARE).ceil() as u32,
            is_slow: false,
            trial: None,
            contended: None,
            shed: None,
        }
    }

    /// Calls that may be in flight now.
    pub fn limit(&self) -> u32 {
        self.limit.round().max(1.0) as u32
    }

    /// Records the end of a call that spent `own` in the server itself, with `in_flight` calls
    /// there just before the end.
    pub fn record(&mut self, own: Duration, in_flight: u32, end: CallEnd, now: Instant) {
        let own = own.as_secs_f64();
        // A cancelled call ran at least as long as it was seen to run.
        let is_slow = self.base.is_some_and(|base| own > base);
        let is_sample = match end {
            CallEnd::Answered => true,
            CallEnd::Cancelled => is_slow,
            CallEnd::Shed | CallEnd::Lost => false,
        };
        // Calls that started before the last change say nothing about the limit now.
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
        self.window.sum += own;
        self.window.squares += own * own;
        self.window.peak = self.window.peak.max(in_flight);
        let least = match self.trial {
            Some(_) => TRIAL_SAMPLES,
            None if self.limit < self.slots && !self.is_slow => RAMP_SAMPLES,
            None => STEADY_SAMPLES,
        };
        if self.window.samples >= self.limit().max(least) {
            let window = std::mem::take(&mut self.window);
            self.adapt(window, in_flight, now);
        }
    }

    /// Starts over after the server restarted.
    pub fn reset(&mut self, now: Instant) {
        *self = Self::new(self.slots as u32, now);
    }

    /// Changes the slots; a warm limit at the old slots moves to the new ones.
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

    /// Lets a test start with a server that is warm.
    #[cfg(test)]
    pub(crate) fn warm_up(&mut self) {
        self.limit = self.slots;
    }

    fn adapt(&mut self, window: Window, in_flight: u32, now: Instant) {
        let samples = f64::from(window.samples);
        let average = window.sum / samples;
        let Some(base) = self.base else {
            (self.base, self.seen) = (Some(average), samples);
            if self.grow(window.peak, 2.0, now) {
                self.skip = in_flight;
            }
            return;
        };
        let trial = self.trial.take();
        if let Some(trial) = trial
            && average > (trial.average + trial.expected) / 2.0
        {
            self.fail(trial, average);
            return;
        }
        // The reference, too, is the average of a sample.
        let scatter = window.scatter() * (1.0 + samples / self.seen).sqrt();
        let tolerance = TOLERANCE + 3.0 * scatter;
        let is_slow = average > tolerance * base + SLACK_S;
        // A window across the change mixes both times, so the next one is the reference.
        let is_confirmed = std::mem::replace(&mut self.is_slow, is_slow) || trial.is_some();
        if trial.is_some() {
            self.contended = Some(now);
        }
        if is_slow {
            self.skip = in_flight;
            if is_confirmed {
                self.decrease(average, window.peak);
            }
            return;
        }
        let is_contended = self
            .contended
            .is_some_and(|at| now < at + CONTENTION_MEMORY);
        self.base = Some(self.track(base, average, samples, scatter, is_contended));
        let (in_time, factor) = if is_contended {
            (1.0, 1.5)
        } else {
            (IN_TIME, 2.0)
        };
        let is_in_time = average <= (in_time + 2.0 * scatter) * base + SLACK_S;
        let factor = if is_in_time { factor } else { 1.0 };
        if self.grow(window.peak, factor, now) {
            self.skip = in_flight;
        }
    }

    /// Handles a window in which the decrease did not help. Calls from before the decrease may
    /// have been in it, so a second one decides.
    fn fail(&mut self, trial: Trial, average: f64) {
        if !trial.is_repeated {
            self.trial = Some(Trial {
                is_repeated: true,
                ..trial
            });
            return;
        }
        self.base = Some(average);
        self.limit = trial.limit;
    }

    /// The reference after a window that was not slow. It takes in the first samples evenly, then
    /// falls quickly and rises slowly.
    fn track(
        &mut self,
        base: f64,
        average: f64,
        samples: f64,
        scatter: f64,
        is_contended: bool,
    ) -> f64 {
        // Where concurrency was found to matter, a longer time does not become the reference.
        let is_later = average > (IN_TIME + 2.0 * scatter) * base;
        let weight = match average < base {
            _ if is_later && is_contended => 0.0,
            _ if is_later => 0.05,
            _ if self.seen < SETTLED_SAMPLES => samples / (self.seen + samples),
            true => 0.25,
            false => 0.05,
        };
        self.seen += samples;
        base + weight * (average - base)
    }

    fn decrease(&mut self, average: f64, peak: u32) {
        let floor = (self.slots * FLOOR_SHARE).ceil();
        let limit = (self.limit * STEP).max(floor);
        if f64::from(peak) < self.limit / 2.0 || limit >= self.limit {
            self.base = Some(average);
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

    /// Raises a limit that is in use; true when it rose by a large step.
    fn grow(&mut self, peak: u32, factor: f64, now: Instant) -> bool {
        if f64::from(peak) < (0.8 * self.limit).floor() || self.limit >= self.slots {
            return false;
        }
        let shed = self.shed.filter(|(at, _)| now < *at + SHED_MEMORY);
        let ceiling = shed.map_or(self.slots, |(_, limit)| limit * SHED_STEP);
        let slow = self.limit + (self.limit * 0.02).max(1.0);
        self.limit = (self.limit * factor).min(ceiling).max(slow).min(self.slots);
        self.limit > slow
    }

    fn decrease_for_shed(&mut self, in_flight: u32, now: Instant) {
        let floor = (self.slots * FLOOR_SHARE).ceil();
        let used = self.limit.min(f64::from(in_flight.max(1)));
        self.shed = Some((now, used));
        self.limit = (used * SHED_STEP).max(floor);
        self.skip = in_flight;
        self.window = Window::default();
        self.trial = None;
    }
}

#[cfg(test)]
mod tests;
