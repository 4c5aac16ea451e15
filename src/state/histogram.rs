//! Latency histograms with fixed buckets.

use std::{cell::Cell, fmt, time::Duration};

/// Upper bounds of the buckets in ms; a last bucket without bound holds all longer latencies.
pub const BUCKET_BOUNDS_MS: [u64; 13] = [
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000,
];

/// Number of latencies in each bucket, and the sum of all latencies.
#[derive(Debug, Default)]
pub struct Histogram {
    buckets: [Cell<u64>; BUCKET_BOUNDS_MS.len() + 1],
    sum_us: Cell<u64>,
}

impl Histogram {
    /// Adds one latency.
    ///
    /// ```
    /// use comfreybay::state::histogram::Histogram;
    /// use std::time::Duration;
    /// let histogram = Histogram::default();
    /// histogram.record(Duration::from_millis(3));
    /// assert_eq!(histogram.count(), 1);
    /// assert!(histogram.render("x").contains("x_ms_bucket{le=\"5\"} 1"));
    /// ```
    pub fn record(&self, latency: Duration) {
        let us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        let bucket = BUCKET_BOUNDS_MS.partition_point(|bound| bound * 1_000 < us);
        self.buckets[bucket].set(self.buckets[bucket].get() + 1);
        self.sum_us.set(self.sum_us.get().saturating_add(us));
    }

    /// Number of recorded latencies.
    pub fn count(&self) -> u64 {
        self.buckets.iter().map(Cell::get).sum()
    }

    /// Sum of all recorded latencies, to the microsecond.
    pub fn sum(&self) -> Duration {
        Duration::from_micros(self.sum_us.get())
    }

    /// Renders the histogram as lines of text. The count of a bucket includes all lower buckets.
    pub fn render(&self, name: &str) -> String {
        let mut text = String::new();
        // Writing to a string never fails.
        let _ = self.write(&mut text, name);
        text
    }

    fn write(&self, text: &mut impl fmt::Write, name: &str) -> fmt::Result {
        let mut cumulative = 0;
        for (bound, bucket) in BUCKET_BOUNDS_MS.iter().zip(&self.buckets) {
            cumulative += bucket.get();
            writeln!(text, "{name}_ms_bucket{{le=\"{bound}\"}} {cumulative}")?;
        }
        let (count, sum_ms) = (self.count(), self.sum_us.get() as f64 / 1_000.0);
        writeln!(text, "{name}_ms_bucket{{le=\"+Inf\"}} {count}")?;
        writeln!(text, "{name}_ms_sum {sum_ms}")?;
        writeln!(text, "{name}_ms_count {count}")
    }
}
