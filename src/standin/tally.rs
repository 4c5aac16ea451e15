//! Results that the callers observed, by class and time of arrival.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use hdrhistogram::Histogram;
use tokio::time::Instant;

use super::{ledger::AttemptId, measure::POINT_MS};
use crate::state::{id::ClassName, object::Class};

/// Duration of one bucket of the time line.
pub const BUCKET_MS: u64 = 100;
/// Maximum recorded latency; longer ones are recorded as this.
pub const LATENCY_MAX_US: u64 = 600_000_000;

/// Outcome of one attempt as the caller observed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptOutcome {
    /// The caller received the complete response to its request.
    Complete,
    /// The request was refused and not run.
    NotRun,
    /// The request was refused because it requires a ticket.
    NoTicket,
    /// The node reported that the call failed.
    Failed,
    /// The request was refused because it is known to crash servers.
    Convicted,
    /// The node reported that the request may have run.
    Unknown,
    /// No response within the deadline and a margin.
    Timeout,
    /// No node could be connected; nothing was sent.
    Unconnected,
    /// The connection broke before the response was complete.
    Broken,
    /// A response that is not the complete response to this request.
    Wrong,
    /// A complete response that reports that a downstream service refused the call.
    Below,
    /// Another error response, or a response without an outcome.
    Error,
}

/// One attempt and its outcome.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Identifier sent with the attempt.
    pub id: AttemptId,
    /// Number of the client request that the attempt belongs to.
    pub request: u64,
    /// Index of the class in [`Tally::classes`].
    pub class: usize,
    /// Observed outcome.
    pub outcome: AttemptOutcome,
    /// Time when the attempt began.
    pub sent: Instant,
    /// Time when the attempt ended.
    pub ended: Instant,
    /// Node that the request was sent to.
    pub node: Option<SocketAddr>,
    /// Reason that the node reported.
    pub why: Option<String>,
}

/// Counts of the client requests that arrived within one bucket.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Bucket {
    /// Requests that arrived.
    pub offered: u64,
    /// Requests that ended with the complete response.
    pub good: u64,
    /// Requests whose last attempt was refused without being run.
    pub refused: u64,
    /// Requests that ended as `unknown` or without a complete response.
    pub unknown: u64,
    /// Requests refused by a service downstream of the entry service.
    pub below: u64,
    /// Requests that failed in another way.
    pub failed: u64,
    /// Complete responses received within the bucket, whenever the request arrived.
    pub delivered: u64,
}

impl Bucket {
    /// Returns the sum of two buckets.
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
pub struct ClassTally {
    /// The class.
    pub class: Class,
    /// Buckets of [`BUCKET_MS`], by time since the start.
    pub buckets: Vec<Bucket>,
    /// Latency of complete responses, in µs, by [`super::measure::POINT_MS`] interval of arrival.
    pub latency: BTreeMap<u64, Histogram<u64>>,
}

#[derive(Debug)]
struct State {
    start: Instant,
    classes: Vec<ClassTally>,
    attempts: Vec<Attempt>,
    next: u64,
}

/// All results of a run; cheap to clone.
#[derive(Debug, Clone)]
pub struct Tally(Rc<RefCell<State>>);

impl Tally {
    /// Creates an empty tally whose time line starts now.
    pub fn new(classes: &[Class]) -> Self {
        let class_tally = |class: &Class| ClassTally {
            class: class.clone(),
            buckets: Vec::new(),
            latency: BTreeMap::new(),
        };
        Self(Rc::new(RefCell::new(State {
            start: Instant::now(),
            classes: classes.iter().map(class_tally).collect(),
            attempts: Vec::new(),
            next: 1,
        })))
    }

    /// Returns the number of a new client request.
    pub fn next_request(&self) -> u64 {
        let mut state = self.0.borrow_mut();
        state.next += 1;
        state.next
    }

    /// Returns the index of a class in [`Tally::classes`].
    pub fn class_index(&self, class: &ClassName) -> Option<usize> {
        let state = self.0.borrow();
        state.classes.iter().position(|t| t.class.name == *class)
    }

    /// Records an attempt.
    pub fn record_attempt(&self, attempt: Attempt) {
        self.0.borrow_mut().attempts.push(attempt);
    }

    /// Records the arrival of a client request.
    pub fn record_arrival(&self, class: usize, at: Instant) {
        self.update_bucket(class, at, |b| b.offered += 1);
    }

    /// Records the outcome of a client request that arrived at `arrived` and ends now.
    pub fn record_end(&self, class: usize, arrived: Instant, outcome: AttemptOutcome) {
        let now = Instant::now();
        self.update_bucket(class, arrived, |b| match outcome {
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
        self.update_bucket(class, now, |b| b.delivered += 1);
        let mut state = self.0.borrow_mut();
        let age = arrived.saturating_duration_since(state.start).as_millis() as u64;
        let latency = now.saturating_duration_since(arrived).as_micros() as u64;
        let histogram = state.classes[class]
            .latency
            .entry(age / POINT_MS)
            .or_insert_with(|| {
                Histogram::new_with_max(LATENCY_MAX_US, 3).expect("valid bounds of a histogram")
            });
        histogram.saturating_record(latency.max(1));
    }

    fn update_bucket(&self, class: usize, at: Instant, change: impl FnOnce(&mut Bucket)) {
        let mut state = self.0.borrow_mut();
        let age = at.saturating_duration_since(state.start).as_millis() as u64;
        let index = (age / BUCKET_MS) as usize;
        let buckets = &mut state.classes[class].buckets;
        if buckets.len() <= index {
            buckets.resize(index + 1, Bucket::default());
        }
        change(&mut buckets[index]);
    }

    /// Returns the results by class.
    pub fn class_tallies(&self) -> Vec<ClassTally> {
        self.0.borrow().classes.clone()
    }

    /// Returns the classes.
    pub fn classes(&self) -> Vec<Class> {
        let state = self.0.borrow();
        state.classes.iter().map(|t| t.class.clone()).collect()
    }

    /// Returns all attempts, in the order of their ends.
    pub fn attempts(&self) -> Vec<Attempt> {
        self.0.borrow().attempts.clone()
    }

    /// Returns the start of the time line.
    pub fn start(&self) -> Instant {
        self.0.borrow().start
    }
}

/// Returns the sum of the buckets between two times since the start.
pub fn sum<'a>(
    tallies: impl IntoIterator<Item = &'a ClassTally>,
    from: Duration,
    to: Duration,
) -> Bucket {
    let index = |t: Duration| (t.as_millis() as u64 / BUCKET_MS) as usize;
    let mut total = Bucket::default();
    for class_tally in tallies {
        let end = index(to).min(class_tally.buckets.len());
        let buckets = class_tally.buckets.get(index(from).min(end)..end);
        total = buckets
            .into_iter()
            .flatten()
            .fold(total, |sum, b| sum.plus(*b));
    }
    total
}
