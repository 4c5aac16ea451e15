//! Controller of the admission level of one gate.

use std::time::Duration;

use super::super::priority::{Level, Priority};

/// Number of importances that a controller has bins for at the start.
const IMPORTANCES_START: usize = 16;
/// Highest importance of a priority.
const IMPORTANCE_MAX: usize = 255;
/// Number of low-order priority bits that one bin covers.
const BIN_BITS: u32 = 17;
const BINS_PER_IMPORTANCE: usize = 1 << (24 - BIN_BITS);
/// Factor by which arrivals and completions are multiplied after each window.
const DECAY: f32 = 0.6;
/// Requests to admit per completion; above 1 so that the server is kept busy.
const RATIO_START: f32 = 1.1;
const RATIO_MAX: f32 = 2.0;
/// Share of immediate admissions above which the server is considered idle part of the time.
/// At 0.2, a server of 20 slots or more is idle for less than 4% of its time.
const IMMEDIATE_SHARE_MAX: f64 = 0.2;
/// Factor applied to the ratio per window while the server is idle part of the time.
const RATIO_RISE: f32 = 1.05;
/// Factor applied to the ratio per window while requests wait too long.
const RATIO_FALL: f32 = 0.97;
/// Largest step, in bins, by which the level rises when fewer requests arrive than can be
/// admitted: half the priority range of one importance.
const RAISE_MAX_BINS: f32 = 64.0;
const RETRY_AFTER_MIN_MS: u64 = 500;
/// Maximum number of times that `Retry-After` is doubled.
const RETRY_AFTER_DOUBLINGS: u32 = 4;
/// Length of a window.
const WINDOW_MS: u64 = 100;
/// Number of windows for which the level may exclude important requests after the queue refused
/// one.
const IMPORTANT_CUT_WINDOWS: u32 = 10;

/// Statistics of the gate's queue over one window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QueueStats {
    /// Smallest number of waiting requests.
    pub min_len: usize,
    /// Largest number of waiting requests.
    pub max_len: usize,
    /// Number of requests admitted without a wait, because the limit was not reached.
    pub immediate: u32,
    /// Number of requests admitted after a wait.
    pub waited: u32,
    /// Whether a request waited longer than the target time.
    pub late: bool,
    /// Whether an important request was evicted or timed out in the queue.
    pub important_refused: bool,
}

impl QueueStats {
    /// Whether the queue was never empty in the window and a request waited too long.
    pub fn is_overloaded(&self) -> bool {
        self.min_len > 0 && self.late
    }
}

/// Computes the level of one gate from its arrivals and completions, once per window of 100 ms.
#[derive(Debug)]
pub struct LevelController {
    /// Recent arrivals by bin of their priority, up to the highest importance that has arrived.
    arrivals: Vec<f32>,
    completions: f32,
    /// Highest importance value seen among important requests.
    important_max: Option<u8>,
    /// Windows left in which the level may exclude important requests.
    cut_windows: u32,
    /// Requests to admit per completion.
    ratio: f32,
    level: Level,
    /// Consecutive windows in which the level excluded requests of each importance.
    refused_windows: Vec<u32>,
}

impl Default for LevelController {
    fn default() -> Self {
        Self::new()
    }
}

impl LevelController {
    /// Creates a controller whose level admits every request.
    pub fn new() -> Self {
        Self {
            arrivals: vec![0.0; IMPORTANCES_START * BINS_PER_IMPORTANCE],
            completions: 0.0,
            important_max: None,
            cut_windows: 0,
            ratio: RATIO_START,
            level: Level::OPEN,
            refused_windows: vec![0; IMPORTANCES_START],
        }
    }

    /// Counts a request that arrived, whether it is admitted or not.
    pub fn record_arrival(&mut self, priority: Priority, important: bool) {
        let importances = usize::from(priority.importance()) + 1;
        if importances > self.refused_windows.len() {
            self.refused_windows.resize(importances, 0);
            let bins = importances * BINS_PER_IMPORTANCE;
            self.arrivals.resize(bins, 0.0);
        }
        self.arrivals[(priority.value() >> BIN_BITS) as usize] += 1.0;
        if important {
            self.important_max = self.important_max.max(Some(priority.importance()));
        }
    }

    /// Counts a completed request.
    pub fn record_completion(&mut self) {
        self.completions += 1.0;
    }

    /// The current level.
    pub fn level(&self) -> Level {
        self.level
    }

    /// Sets the level that a test starts with.
    #[cfg(test)]
    pub(crate) fn set_level(&mut self, level: Level) {
        self.level = level;
    }

    /// Ends a window and computes the level of the next one.
    pub fn tick(&mut self, window: QueueStats) {
        self.cut_windows = match window.important_refused {
            true => IMPORTANT_CUT_WINDOWS,
            false => self.cut_windows.saturating_sub(1),
        };
        if window.max_len == 0 {
            self.level = Level::OPEN;
            self.ratio = RATIO_START;
        } else if self.level != Level::OPEN || window.is_overloaded() {
            self.adjust_ratio(window);
            self.level = self.threshold();
        }
        self.arrivals.iter_mut().for_each(|bin| *bin *= DECAY);
        self.completions *= DECAY;
        for (importance, windows) in self.refused_windows.iter_mut().enumerate() {
            let admits = self.level.0 >= highest(importance as u8);
            *windows = if admits { 0 } else { windows.saturating_add(1) };
        }
    }

    /// Base value of `Retry-After`: 0.5 s, doubling with the time for which the level has excluded
    /// the importance of this priority, up to 8 s.
    pub fn retry_after(&self, priority: Priority) -> Duration {
        let windows = self.refused_windows.get(usize::from(priority.importance()));
        let refused_ms = u64::from(windows.copied().unwrap_or_default()) * WINDOW_MS;
        let doublings = (refused_ms / RETRY_AFTER_MIN_MS + 1)
            .ilog2()
            .min(RETRY_AFTER_DOUBLINGS);
        Duration::from_millis(RETRY_AFTER_MIN_MS << doublings)
    }

    fn adjust_ratio(&mut self, window: QueueStats) {
        let admitted = window.immediate + window.waited;
        let is_busy = f64::from(window.immediate) <= f64::from(admitted) * IMMEDIATE_SHARE_MAX;
        let factor = match is_busy {
            false => RATIO_RISE,
            true if window.late => RATIO_FALL,
            true => 1.0,
        };
        // The standard deviation of a count is about its square root, which is significant for
        // servers with few slots.
        let ratio_min = 1.0 + 1.0 / self.completions.max(1.0).sqrt();
        self.ratio = (self.ratio * factor).clamp(ratio_min, RATIO_MAX);
    }

    /// The level that admits `more` additional requests, assuming that priorities above the current
    /// level are as frequent as those below.
    ///
    /// The nodes of the callers refuse requests that the level excludes, so this node does not see
    /// how many there are.
    fn raised(&self, more: f32) -> Level {
        let seen = self.arrivals.iter().filter(|bin| **bin > 0.5).count();
        let density = self.arrivals.iter().sum::<f32>() / seen.max(1) as f32;
        let bins = (more / density.max(f32::MIN_POSITIVE)).clamp(1.0, RAISE_MAX_BINS);
        Level(self.level.0.saturating_add((bins as u32) << BIN_BITS))
    }

    fn threshold(&self) -> Level {
        let target = self.completions * self.ratio + 1.0;
        let mut sum = 0.0;
        let above = self.arrivals.iter().position(|arrivals| {
            sum += arrivals;
            sum > target
        });
        let level = match above {
            Some(bin) => Level(((bin.max(1) as u32) << BIN_BITS) - 1),
            None => self.raised(target - sum),
        };
        // The level excludes important requests only after the queue refused one of them, because
        // completions lag behind arrivals when calls take longer than a window.
        match self.important_max {
            Some(importance) if self.cut_windows == 0 => level.max(Level(highest(importance))),
            _ => level,
        }
    }
}

/// The highest priority value of an importance.
fn highest(importance: u8) -> u32 {
    match usize::from(importance) {
        n if n < IMPORTANCE_MAX => ((n as u32 + 1) << 24) - 1,
        _ => u32::MAX,
    }
}

#[cfg(test)]
mod tests;
