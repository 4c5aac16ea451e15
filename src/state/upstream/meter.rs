//! Measurement of the time that calls take at the backend server beside a node.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use super::{super::id::ClassName, Pace, ServiceTime};

/// Largest number of classes that are measured; calls of further ones are ignored.
const CLASSES_MAX: usize = 32;
/// Calls of a class from which its time is reported and its calls tell about the server; fewer say
/// more about the calls.
const CLASS_SAMPLES_MIN: f64 = 8.0;
/// Calls of a class that count alike in its mean.
const CLASS_SAMPLES_EQUAL: f64 = 16.0;
/// Calls over which the mean of a class is averaged from then on. Many, so that a change of the server
/// shows in its factor and not in the means: with calls that counted alike, a server that became 2
/// times slower was reported as 1.55 times slower for the other classes.
const CLASS_SAMPLES: f64 = 256.0;
/// Weight of a call in the factor of the server: 1 of 32, or more where calls are rare, so that a
/// change shows within seconds.
const WEIGHT: std::ops::RangeInclusive<f64> = 1.0 / 32.0..=1.0 / 8.0;
/// Time over which the factor is averaged where calls are rare, in seconds. A change is to be known
/// within 5 s.
const MEMORY_S: f64 = 4.0;
/// Largest factor by which a call counts as longer than usual, so that a single one does not decide.
const RATIO_MAX: f64 = 8.0;
/// Factor by which calls may take longer at a server that is nearly full without it counting as
/// slow: a knee of 1.3, with a margin for chance.
const CROWDED_FACTOR_MAX: f64 = 1.4;
/// Margin by which calls at a server that is nearly full must be shorter than usual until it counts
/// as faster.
const CROWDED_MARGIN: f64 = 1.1;
/// Shortest time of a call, in seconds, as the base of a ratio.
const TIME_MIN_S: f64 = 1e-6;

/// Mean time of the calls of one class at this server when its factor is 1.
#[derive(Debug, Clone, Copy)]
struct ClassTime {
    mean_s: f64,
    samples: f64,
}

/// Measures the time that calls take at a backend server which reports its load.
///
/// Three causes of a long time are separated:
/// - *Long work* belongs to a class: the time of a call is compared with the mean of its class.
/// - *A slow server* is slow for all classes at once: the comparisons of all classes are averaged to
///   the factor of the server. Times are divided by the pace that the server reports, if any.
/// - *A server that is nearly full* may be slow for that reason. Its times change the factor only by
///   what this cannot explain.
///
/// ```
/// use comfreybay::state::upstream::{Pace, ServiceTimeMeter};
/// use std::time::Duration;
/// use tokio::time::Instant;
/// let class = "order".parse()?;
/// let mut meter = ServiceTimeMeter::default();
/// for n in 0..20 {
///     meter.record_load(Some(Pace::new(250)));
///     let now = Instant::now() + Duration::from_millis(100 * n);
///     meter.record(&class, Duration::from_millis(250), false, now);
/// }
/// let time = meter.report(&class).expect("enough calls");
/// assert!((98..=100).contains(&time.usual.as_millis()));
/// assert_eq!(time.pace, Pace::new(250));
/// # Ok::<(), comfreybay::state::Error>(())
/// ```
#[derive(Debug)]
pub struct ServiceTimeMeter {
    /// `None` while the server has not reported its load; nothing is measured then.
    pace: Option<Pace>,
    classes: BTreeMap<ClassName, ClassTime>,
    /// Factor by which calls take longer than the means of their classes.
    factor: f64,
    /// The same since the server became nearly full.
    crowded: f64,
    recorded_at: Option<Instant>,
}

impl Default for ServiceTimeMeter {
    fn default() -> Self {
        Self {
            pace: None,
            classes: BTreeMap::new(),
            factor: 1.0,
            crowded: 1.0,
            recorded_at: None,
        }
    }
}

impl ServiceTimeMeter {
    /// Records that the server has reported its load, with the pace of its machine if it states one.
    pub fn record_load(&mut self, pace: Option<Pace>) {
        self.pace = Some(pace.unwrap_or(Pace::USUAL));
    }

    /// The last pace that the server has reported, the usual one if it reports none; `None` if it
    /// has not reported its load.
    pub fn pace(&self) -> Option<Pace> {
        self.pace
    }

    /// Records the time of a call that was answered, after the load that its answer reported.
    /// `is_crowded`: whether the server was nearly full.
    pub fn record(&mut self, class: &ClassName, time: Duration, is_crowded: bool, now: Instant) {
        let Some(pace) = self.pace else {
            return;
        };
        let time_s = (time.as_secs_f64() / pace.factor()).max(TIME_MIN_S);
        let Some(known) = self.classes.get_mut(class) else {
            self.add_class(class, time_s);
            return;
        };
        let is_known = known.samples >= CLASS_SAMPLES_MIN;
        if is_known {
            let ratio = (time_s / known.mean_s).min(RATIO_MAX);
            let last = self.recorded_at.replace(now).unwrap_or(now);
            let elapsed_s = now.saturating_duration_since(last).as_secs_f64();
            let weight = (elapsed_s / MEMORY_S).clamp(*WEIGHT.start(), *WEIGHT.end());
            if is_crowded {
                self.crowded += weight * (ratio - self.crowded);
                let (low, high) = (
                    self.crowded / CROWDED_FACTOR_MAX,
                    self.crowded * CROWDED_MARGIN,
                );
                self.factor = self.factor.clamp(low, high);
            } else {
                self.factor += weight * (ratio - self.factor);
                self.crowded = self.factor;
            }
        }
        if !is_known || !is_crowded {
            known.samples = match known.samples + 1.0 {
                samples if samples <= CLASS_SAMPLES_EQUAL => samples,
                _ => CLASS_SAMPLES,
            };
            known.mean_s += (time_s / self.factor - known.mean_s) / known.samples;
        }
    }

    /// The time to report on the answer to a call of a class; `None` if too few calls were measured.
    pub fn report(&self, class: &ClassName) -> Option<ServiceTime> {
        let pace = self.pace?;
        let known = self.classes.get(class)?;
        if known.samples < CLASS_SAMPLES_MIN {
            return None;
        }
        let usual_s = known.mean_s * self.factor;
        let usual_us = rounded((usual_s * 1e6).min(f64::from(u32::MAX)) as u32);
        Some(ServiceTime {
            usual: Duration::from_micros(usual_us.into()),
            pace,
        })
    }

    /// Starts again, because another server runs at the address.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    fn add_class(&mut self, class: &ClassName, time_s: f64) {
        if self.classes.len() < CLASSES_MAX {
            let first = ClassTime {
                mean_s: time_s / self.factor,
                samples: 1.0,
            };
            self.classes.insert(class.clone(), first);
        }
    }
}

/// A value with its 8 highest bits only, so that most reports repeat an earlier one and take one
/// byte in a compressed head.
fn rounded(value: u32) -> u32 {
    let shift = (u32::BITS - value.leading_zeros()).saturating_sub(8);
    value >> shift << shift
}

#[cfg(test)]
mod tests;
