//! The admission level of one gate.

use std::time::Duration;

use super::super::priority::{Level, Priority};

/// Importances told apart; all higher ones share the last.
const IMPORTANCES: usize = 16;
/// Bits of a priority that one bin covers: 128 bins per importance.
const BIN_BITS: u32 = 17;
const BINS: usize = IMPORTANCES << (24 - BIN_BITS);
/// Weight that the past keeps from window to window.
const DECAY: f32 = 0.6;
/// Admitted share of the completion rate; above 1 so that the server is kept busy.
const SHARE_START: f32 = 1.1;
const SHARE_MAX: f32 = 2.0;
/// Share of admissions without a wait above which the server is not kept busy. At 0.2, a server
/// of 20 slots or more is idle for less than 4% of its time.
const IMMEDIATE_SHARE: f64 = 0.2;
const SHARE_RISE: f32 = 1.05;
const SHARE_FALL: f32 = 0.97;
/// Largest step by which a level rises when fewer requests arrive than are wanted: half an
/// importance.
const RAISE_MAX_BINS: f32 = 64.0;
const RETRY_MIN_MS: u64 = 500;
const RETRY_DOUBLINGS: u32 = 4;
const TICK_MS: u64 = 100;
/// Windows for which the level may cut into important classes after the queue refused some.
const IMPORTANT_WINDOWS: u32 = 10;

/// What the queue of the gate did in one window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QueueStats {
    /// Least number of waiting requests.
    pub min_len: usize,
    /// Largest number of waiting requests.
    pub max_len: usize,
    /// Requests admitted at once, because the limit had room.
    pub immediate: u32,
    /// Requests admitted after a wait.
    pub waited: u32,
    /// Whether a request waited longer than the target.
    pub late: bool,
    /// Whether an important request was evicted or waited in vain.
    pub important_refused: bool,
}

impl QueueStats {
    /// Whether the queue held requests for the whole window and they waited too long.
    pub fn is_overloaded(&self) -> bool {
        self.min_len > 0 && self.late
    }
}

/// Computes the level of one gate from its arrivals and completions, once per window of 100 ms.
#[derive(Debug)]
pub struct LevelController {
    arrivals: Box<[f32]>,
    completions: f32,
    important: Option<u8>,
    cutting: u32,
    share: f32,
    level: Level,
    refusing: [u32; IMPORTANCES],
}

impl Default for LevelController {
    fn default() -> Self {
        Self::new()
    }
}

impl LevelController {
    /// A meter with an open level.
    pub fn new() -> Self {
        Self {
            arrivals: vec![0.0; BINS].into(),
            completions: 0.0,
            important: None,
            cutting: 0,
            share: SHARE_START,
            level: Level::OPEN,
            refusing: [0; IMPORTANCES],
        }
    }

    /// Counts an arrival, admitted or not.
    pub fn arrived(&mut self, priority: Priority, important: bool) {
        self.arrivals[bin(priority)] += 1.0;
        if important {
            self.important = self.important.max(Some(priority.importance()));
        }
    }

    /// Counts a completed request.
    pub fn completed(&mut self) {
        self.completions += 1.0;
    }

    /// The current level.
    pub fn level(&self) -> Level {
        self.level
    }

    /// Lets a test start at a level.
    #[cfg(test)]
    pub(crate) fn set_level(&mut self, level: Level) {
        self.level = level;
    }

    /// Ends a window and computes the level for the next.
    pub fn tick(&mut self, window: QueueStats) {
        self.cutting = match window.important_refused {
            true => IMPORTANT_WINDOWS,
            false => self.cutting.saturating_sub(1),
        };
        if window.max_len == 0 {
            self.level = Level::OPEN;
            self.share = SHARE_START;
        } else if self.level != Level::OPEN || window.is_overloaded() {
            self.adjust_share(window);
            self.level = self.threshold();
        }
        self.arrivals.iter_mut().for_each(|bin| *bin *= DECAY);
        self.completions *= DECAY;
        for (importance, ticks) in self.refusing.iter_mut().enumerate() {
            let admits = self.level.0 >= top(importance as u8);
            *ticks = if admits { 0 } else { ticks.saturating_add(1) };
        }
    }

    /// The base of `Retry-After`: 0.5 s, doubled while the level stays below the class, up to 8 s.
    pub fn retry_after(&self, priority: Priority) -> Duration {
        let importance = usize::from(priority.importance()).min(IMPORTANCES - 1);
        let refused_ms = u64::from(self.refusing[importance]) * TICK_MS;
        let doublings = (refused_ms / RETRY_MIN_MS + 1).ilog2().min(RETRY_DOUBLINGS);
        Duration::from_millis(RETRY_MIN_MS << doublings)
    }

    fn adjust_share(&mut self, window: QueueStats) {
        let admitted = window.immediate + window.waited;
        let is_fed = f64::from(window.immediate) <= f64::from(admitted) * IMMEDIATE_SHARE;
        let factor = match is_fed {
            false => SHARE_RISE,
            true if window.late => SHARE_FALL,
            true => 1.0,
        };
        // Arrivals scatter by the root of their number, which matters at few slots.
        let least = 1.0 + 1.0 / self.completions.max(1.0).sqrt();
        self.share = (self.share * factor).clamp(least, SHARE_MAX);
    }

    /// The level that lets in `more` requests, if those above arrive as densely as those below.
    ///
    /// Callers' nodes refuse early what the level excludes, so arrivals above it are not seen.
    fn raised(&self, more: f32) -> Level {
        let seen = self.arrivals.iter().filter(|bin| **bin > 0.5).count();
        let density = self.arrivals.iter().sum::<f32>() / seen.max(1) as f32;
        let bins = (more / density.max(f32::MIN_POSITIVE)).clamp(1.0, RAISE_MAX_BINS);
        Level(self.level.0.saturating_add((bins as u32) << BIN_BITS))
    }

    fn threshold(&self) -> Level {
        let wanted = self.completions * self.share + 1.0;
        let mut sum = 0.0;
        let above = self.arrivals.iter().position(|arrivals| {
            sum += arrivals;
            sum > wanted
        });
        let level = match above {
            Some(bin) => Level(((bin.max(1) as u32) << BIN_BITS) - 1),
            None => self.raised(wanted - sum),
        };
        // The level cuts into important classes only after the queue had to refuse some of them,
        // because completions lag behind when calls take longer than a window.
        match self.important {
            Some(importance) if self.cutting == 0 => level.max(Level(top(importance))),
            _ => level,
        }
    }
}

fn top(importance: u8) -> u32 {
    match usize::from(importance) {
        n if n < IMPORTANCES - 1 => ((n as u32 + 1) << 24) - 1,
        _ => u32::MAX,
    }
}

fn bin(priority: Priority) -> usize {
    ((priority.value() >> BIN_BITS) as usize).min(BINS - 1)
}

#[cfg(test)]
mod tests;
