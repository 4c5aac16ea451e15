//! Bounded queue of waiting requests, the best first.

use std::collections::BTreeMap;

use super::priority::Priority;

/// Place of a waiting request: important classes first, then by priority, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    ordinary: bool,
    priority: u32,
    sequence: u64,
}

impl QueueKey {
    /// The place of a request in an ordered queue; `sequence` is unique and rises with arrival.
    pub fn new(important: bool, priority: Priority, sequence: u64) -> Self {
        Self {
            ordinary: !important,
            priority: priority.value(),
            sequence,
        }
    }

    /// Whether the request's class is not important.
    pub fn is_ordinary(self) -> bool {
        self.ordinary
    }

    /// The place of a request in a first-in first-out queue.
    pub fn fifo(sequence: u64) -> Self {
        Self {
            ordinary: false,
            priority: 0,
            sequence,
        }
    }
}

/// What became of a request that asked to wait.
#[derive(Debug, PartialEq, Eq)]
pub enum PushResult<T> {
    /// It waits.
    Waiting,
    /// It waits, and the worst request was removed for it.
    Evicted(T),
    /// The queue is full of better requests.
    Full(T),
}

/// Bounded priority queue. All operations on one entry are logarithmic in its length.
#[derive(Debug)]
pub struct WaitQueue<T> {
    entries: BTreeMap<QueueKey, T>,
    bound: usize,
}

impl<T> WaitQueue<T> {
    /// A queue of at most `bound` requests.
    ///
    /// ```
    /// use comfreybay::state::{id::RootId, priority::Priority, queue::{QueueKey, PushResult, WaitQueue}};
    /// let place = |importance, n| {
    ///     QueueKey::new(false, Priority::new(importance, false, RootId([7; 16])), n)
    /// };
    /// let mut queue = WaitQueue::new(1);
    /// assert_eq!(queue.push(place(5, 1), "worse"), PushResult::Waiting);
    /// assert_eq!(queue.push(place(1, 2), "better"), PushResult::Evicted("worse"));
    /// assert_eq!(queue.push(place(5, 3), "worse"), PushResult::Full("worse"));
    /// ```
    pub fn new(bound: usize) -> Self {
        Self {
            entries: BTreeMap::new(),
            bound,
        }
    }

    /// Changes the bound; requests above a lower bound stay until they leave on their own.
    pub fn resize(&mut self, bound: usize) {
        self.bound = bound;
    }

    /// Adds a request; a full queue gives up its worst request for a better one.
    pub fn push(&mut self, place: QueueKey, entry: T) -> PushResult<T> {
        if self.entries.len() < self.bound {
            self.entries.insert(place, entry);
            return PushResult::Waiting;
        }
        match self.entries.last_entry() {
            Some(worst) if place < *worst.key() => {
                let evicted = worst.remove();
                self.entries.insert(place, entry);
                PushResult::Evicted(evicted)
            }
            _ => PushResult::Full(entry),
        }
    }

    /// The best place that is taken.
    pub fn best(&self) -> Option<QueueKey> {
        self.entries.first_key_value().map(|(place, _)| *place)
    }

    /// The worst place that is taken.
    pub fn worst(&self) -> Option<QueueKey> {
        self.entries.last_key_value().map(|(place, _)| *place)
    }

    /// Removes the best request.
    pub fn pop(&mut self) -> Option<(QueueKey, T)> {
        self.entries.pop_first()
    }

    /// Removes the request at a place.
    pub fn remove(&mut self, place: &QueueKey) -> Option<T> {
        self.entries.remove(place)
    }

    /// Removes and gives all requests for which `gone` holds.
    pub fn extract_if(&mut self, mut gone: impl FnMut(&T) -> bool) -> Vec<T> {
        let taken = self.entries.extract_if(.., |_, entry| gone(entry));
        taken.map(|(_, entry)| entry).collect()
    }

    /// All waiting requests, the best first.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.entries.values()
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

#[cfg(test)]
mod tests;
