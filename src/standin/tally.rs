//! What the callers were told, by class and time of arrival.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use hdrhistogram::Histogram;
use tokio::time::Instant;

use super::{ledger::AttemptId, measure::SLICE_MS};
use crate::state::{id::ClassName, object::Class};

/// Width of one bucket of the time line.
pub const BUCKET_MS: u64 = 100;
/// Latencies above this are counted as this.
pub const LATENCY_MAX_US: u64 = 600_000_000;

/// What a caller was told about one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptOutcome {
    /// The whole answer to its own request.
    Complete,
    /// Refused, not run anywhere.
    NotRun,
    /// Refused for want of a ticket.
    NoTicket,
    /// Ended without an answer.
    Failed,
    /// The request is known to crash servers.
    Convicted,
    /// May have run.
    Unknown,
    /// Nothing within the deadline and a margin.
    Timeout,
    /// No connection; nothing was sent.
    Unconnected,
    /// The connection broke.
    Broken,
    /// An answer that is not the whole answer to this request.
    Wrong,
    /// A whole answer that says that a service below refused the call.
    Below,
    /// Another error of the backend server.
    Error,
}

/// One attempt and what was told about it.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Identifier sent along with it.
    pub id: AttemptId,
    /// The client request that it belongs to.
    pub request: u64,
    /// Index of the class in [`Tally::classes`].
    pub class: usize,
    /// What was told.
    pub outcome: AttemptOutcome,
    /// When it was sent.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
    /// The node that it was last sent to.
    pub node: Option<SocketAddr>,
    /// The reason that the node gave.
    pub why: Option<String>,
}

/// Client requests that arrived within one bucket.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Bucket {
    /// Requests that arrived.
    pub offered: u64,
    /// Requests that ended with the whole answer.
    pub good: u64,
    /// Requests whose last attempt was refused as not run.
    pub refused: u64,
    /// Requests that ended as `unknown` or without any answer.
    pub unknown: u64,
    /// Requests that a service below the first one refused.
    pub below: u64,
    /// Requests that failed in another way.
    pub failed: u64,
    /// Whole answers that were received within the bucket, whenever the request arrived.
    pub delivered: u64,
}

impl Bucket {
    /// The sum of two buckets.
    pub fn plus(self, other: Self) -> Self {
        Self {
            offered: self.offered + other.offered,
            good: self.good + other.good,
            refused: self.refused + other.refused,
            unknown: self.unknown + other.unknown,
            below: self.below + other.below,
            failed: self.failed + other.failed,
            delivered: self.delivered + other.delivered,
        }
    }
}

/// Results of one class.
#[derive(Debug, Clone)]
pub struct Line {
    /// The class.
    pub class: Class,
    /// By time since the start.
    pub buckets: Vec<Bucket>,
    /// Latency of whole answers, in us, by slice of [`super::measure::SLICE_MS`] of arrival.
    pub latency: BTreeMap<u64, Histogram<u64>>,
}

#[derive(Debug)]
struct State {
    start: Instant,
    lines: Vec<Line>,
    attempts: Vec<Attempt>,
    next: u64,
}

/// All results of a run; cheap to clone.
#[derive(Debug, Clone)]
pub struct Tally(Rc<RefCell<State>>);

impl Tally {
    /// An empty tally that starts now.
    pub fn new(classes: &[Class]) -> Self {
        let line = |class: &Class| Line {
            class: class.clone(),
            buckets: Vec::new(),
            latency: BTreeMap::new(),
        };
        Self(Rc::new(RefCell::new(State {
            start: Instant::now(),
            lines: classes.iter().map(line).collect(),
            attempts: Vec::new(),
            next: 1,
        })))
    }

    /// A number for a new client request.
    pub fn number(&self) -> u64 {
        let mut state = self.0.borrow_mut();
        state.next += 1;
        state.next
    }

    /// The position of a class in the results.
    pub fn position(&self, class: &ClassName) -> Option<usize> {
        let state = self.0.borrow();
        state.lines.iter().position(|l| l.class.name == *class)
    }

    /// Notes one attempt.
    pub fn record_attempt(&self, attempt: Attempt) {
        self.0.borrow_mut().attempts.push(attempt);
    }

    /// Notes the arrival of a client request.
    pub fn arrived(&self, class: usize, at: Instant) {
        self.edit(class, at, |b| b.offered += 1);
    }

    /// Notes the end of a client request that arrived at `arrived`.
    pub fn ended(&self, class: usize, arrived: Instant, outcome: AttemptOutcome) {
        let now = Instant::now();
        self.edit(class, arrived, |b| match outcome {
            AttemptOutcome::Complete => b.good += 1,
            AttemptOutcome::NotRun | AttemptOutcome::NoTicket | AttemptOutcome::Unconnected => {
                b.refused += 1
            }
            AttemptOutcome::Unknown | AttemptOutcome::Timeout | AttemptOutcome::Broken => {
                b.unknown += 1
            }
            AttemptOutcome::Below => b.below += 1,
            AttemptOutcome::Failed
            | AttemptOutcome::Convicted
            | AttemptOutcome::Wrong
            | AttemptOutcome::Error => b.failed += 1,
        });
        if outcome != AttemptOutcome::Complete {
            return;
        }
        self.edit(class, now, |b| b.delivered += 1);
        let mut state = self.0.borrow_mut();
        let age = arrived.saturating_duration_since(state.start).as_millis() as u64;
        let latency = now.saturating_duration_since(arrived).as_micros() as u64;
        let histogram = state.lines[class]
            .latency
            .entry(age / SLICE_MS)
            .or_insert_with(|| {
                Histogram::new_with_max(LATENCY_MAX_US, 3).expect("valid bounds of a histogram")
            });
        histogram.saturating_record(latency.max(1));
    }

    fn edit(&self, class: usize, at: Instant, change: impl FnOnce(&mut Bucket)) {
        let mut state = self.0.borrow_mut();
        let age = at.saturating_duration_since(state.start).as_millis() as u64;
        let index = (age / BUCKET_MS) as usize;
        let buckets = &mut state.lines[class].buckets;
        if buckets.len() <= index {
            buckets.resize(index + 1, Bucket::default());
        }
        change(&mut buckets[index]);
    }

    /// The results by class.
    pub fn lines(&self) -> Vec<Line> {
        self.0.borrow().lines.clone()
    }

    /// The classes.
    pub fn classes(&self) -> Vec<Class> {
        let state = self.0.borrow();
        state.lines.iter().map(|l| l.class.clone()).collect()
    }

    /// All attempts, in the order of their ends.
    pub fn attempts(&self) -> Vec<Attempt> {
        self.0.borrow().attempts.clone()
    }

    /// The start of the time line.
    pub fn start(&self) -> Instant {
        self.0.borrow().start
    }
}

/// The sum of the buckets between two times since the start.
pub fn sum<'a>(lines: impl IntoIterator<Item = &'a Line>, from: Duration, to: Duration) -> Bucket {
    let index = |t: Duration| (t.as_millis() as u64 / BUCKET_MS) as usize;
    let mut total = Bucket::default();
    for line in lines {
        let end = index(to).min(line.buckets.len());
        let own = line.buckets.get(index(from).min(end)..end);
        total = own.into_iter().flatten().fold(total, |sum, b| sum.plus(*b));
    }
    total
}
