//! Bounded priority queue of waiting requests.

use std::collections::BTreeMap;

use super::priority::Priority;

/// Sort key of a waiting request: important classes first, then by priority, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    ordinary: bool,
    priority: u32,
    sequence: u64,
}

impl QueueKey {
    /// The key of a request in a queue by priority. `sequence` is unique and increases with each
    /// arrival.
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

    /// The key of a request in a first-in first-out queue.
    pub fn fifo(sequence: u64) -> Self {
        Self {
            ordinary: false,
            priority: 0,
            sequence,
        }
    }
}

/// Result of adding a request to a queue.
#[derive(Debug, PartialEq, Eq)]
pub enum PushResult<T> {
    /// The request was added.
    Waiting,
    /// The request was added, and the lowest-ranked one was evicted to make room.
    Evicted(T),
    /// The request was not added: the queue is full and none in it ranks lower.
    Full(T),
}

/// Bounded priority queue. Operations on one entry take logarithmic time.
#[derive(Debug)]
pub struct WaitQueue<T> {
    entries: BTreeMap<QueueKey, T>,
    capacity: usize,
}

impl<T> WaitQueue<T> {
    /// Creates a queue of at most `capacity` requests.
    ///
    /// ```
    /// use comfreybay::state::{
    ///     id::RootId,
    ///     priority::Priority,
    ///     queue::{PushResult, QueueKey, WaitQueue},
    /// };
    /// let key = |importance, n| {
    ///     QueueKey::new(false, Priority::new(importance, false, RootId([7; 16])), n)
    /// };
    /// let mut queue = WaitQueue::new(1);
    /// assert_eq!(queue.push(key(5, 1), "worse"), PushResult::Waiting);
    /// assert_eq!(queue.push(key(1, 2), "better"), PushResult::Evicted("worse"));
    /// assert_eq!(queue.push(key(5, 3), "worse"), PushResult::Full("worse"));
    /// ```
    pub fn new(capacity: usize) -> Self {
        Self {
            entries: BTreeMap::new(),
            capacity,
        }
    }

    /// Changes the capacity. When the queue holds more than a lower capacity, the excess requests
    /// stay until they are served or removed.
    pub fn resize(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Adds a request. A full queue evicts its last request if the new one ranks higher.
    pub fn push(&mut self, key: QueueKey, entry: T) -> PushResult<T> {
        if self.entries.len() < self.capacity {
            self.entries.insert(key, entry);
            return PushResult::Waiting;
        }
        match self.entries.last_entry() {
            Some(worst) if key < *worst.key() => {
                let evicted = worst.remove();
                self.entries.insert(key, entry);
                PushResult::Evicted(evicted)
            }
            _ => PushResult::Full(entry),
        }
    }

    /// The key of the request that is served next.
    pub fn best(&self) -> Option<QueueKey> {
        self.entries.first_key_value().map(|(key, _)| *key)
    }

    /// The key of the request that is evicted next.
    pub fn worst(&self) -> Option<QueueKey> {
        self.entries.last_key_value().map(|(key, _)| *key)
    }

    /// Number of waiting requests that are served before one with this key.
    pub fn rank(&self, key: &QueueKey) -> usize {
        self.entries.range(..key).count()
    }

    /// Removes the request that is served next.
    pub fn pop(&mut self) -> Option<(QueueKey, T)> {
        self.entries.pop_first()
    }

    /// Removes the request with this key.
    pub fn remove(&mut self, key: &QueueKey) -> Option<T> {
        self.entries.remove(key)
    }

    /// Removes and returns all requests for which `predicate` is true.
    pub fn extract_if(&mut self, mut predicate: impl FnMut(&T) -> bool) -> Vec<T> {
        let removed = self.entries.extract_if(.., |_, entry| predicate(entry));
        removed.map(|(_, entry)| entry).collect()
    }

    /// All waiting requests in the order in which they are served.
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
