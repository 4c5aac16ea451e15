//! Usual times of the classes of calls to one service, from what the nodes of its servers report.

use std::collections::BTreeMap;

use super::super::id::ClassName;

/// Largest number of classes that are compared; reports about further ones are ignored.
const CLASSES_MAX: usize = 32;
/// Reports over which the time of a class is averaged.
const SAMPLES: f64 = 64.0;
/// Factor by which a report can be above the mean of its class and still count in full.
const SAMPLE_FACTOR_MAX: f64 = 4.0;
/// Range of the factor of a server, which keeps a false report from growing without bound.
const FACTOR: std::ops::RangeInclusive<f64> = 1.0 / 16.0..=16.0;

/// Mean of a number of samples, at most [`SAMPLES`].
#[derive(Debug, Clone, Default)]
struct Mean {
    value: f64,
    samples: f64,
}

impl Mean {
    fn record(&mut self, sample: f64) {
        self.samples = (self.samples + 1.0).min(SAMPLES);
        self.value += (sample - self.value) / self.samples;
    }
}

/// Usual times of the classes over all servers of a service.
///
/// A report states the time of one class at one server. Compared with the usual time of its class, it
/// yields a factor of the server that does not depend on which work it gets.
#[derive(Debug, Clone, Default)]
pub(super) struct ClassTimes {
    /// Times in seconds at a server with the factor 1.
    classes: BTreeMap<ClassName, Mean>,
}

impl ClassTimes {
    /// Records the time of a class that a server reports, and returns by which factor calls take
    /// longer at it than usual. `known` is its factor so far.
    pub(super) fn record(
        &mut self,
        class: &ClassName,
        reported_s: f64,
        known: Option<f64>,
    ) -> Option<f64> {
        // A factor that is known must not be taken for a property of the class.
        let sample = reported_s / known.unwrap_or(1.0);
        let has_room = self.classes.len() < CLASSES_MAX;
        let usual = match self.classes.get_mut(class) {
            Some(usual) => {
                usual.record(sample.min(usual.value * SAMPLE_FACTOR_MAX));
                usual.value
            }
            None if has_room => {
                let mut usual = Mean::default();
                usual.record(sample);
                self.classes.insert(class.clone(), usual);
                sample
            }
            None => return known,
        };
        let factor = reported_s / usual.max(f64::MIN_POSITIVE);
        Some(factor.clamp(*FACTOR.start(), *FACTOR.end()))
    }
}
