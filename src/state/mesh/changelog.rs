//! Recent changes of the platform's store, kept by a node to pass them on.

use std::collections::VecDeque;

use bytes::Bytes;

use super::revision::StoreRevision;

/// Upper bound on the batches kept. Nodes ask for the next one as soon as they have applied the
/// last, so older batches serve only nodes that come from another reader.
const BATCHES_MAX: usize = 32;
/// Upper bound on the bytes kept; the last batch is kept whatever its size.
const BYTES_MAX: usize = 256 * 1_024;

/// One answer of the store: the changes after one revision, up to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Revision after which the changes begin.
    pub from: StoreRevision,
    /// Revision of the store at the end of the batch.
    pub to: StoreRevision,
    /// The changes as the store sent them.
    pub body: Bytes,
}

/// What the log has for a node that has read up to a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lookup {
    /// The earliest batch with changes that the node has not read. It may begin with changes that
    /// the node has.
    Next(Batch),
    /// Nothing later is known.
    UpToDate,
    /// Changes between that revision and the log's first batch are not known, or the revision is of
    /// another epoch.
    Unknown,
}

/// The last batches, each beginning where the one before ends.
#[derive(Debug, Default)]
pub struct ChangeLog {
    batches: VecDeque<Batch>,
    bytes: usize,
    /// Where the last batch ended, or where the log began.
    end: StoreRevision,
}

impl ChangeLog {
    /// Drops all batches and continues from a revision.
    pub fn restart(&mut self, at: StoreRevision) {
        self.batches.clear();
        self.bytes = 0;
        self.end = at;
    }

    /// Appends a batch; one that does not continue the log replaces it.
    pub fn push(&mut self, batch: Batch) {
        if batch.from != self.end {
            self.restart(batch.from);
        }
        if batch.to <= batch.from {
            return;
        }
        self.end = batch.to;
        self.bytes += batch.body.len();
        self.batches.push_back(batch);
        while self.batches.len() > 1 && (self.batches.len() > BATCHES_MAX || self.bytes > BYTES_MAX)
        {
            let dropped = self.batches.pop_front();
            self.bytes -= dropped.map_or(0, |b| b.body.len());
        }
    }

    /// What follows a revision.
    pub fn after(&self, at: StoreRevision) -> Lookup {
        let start = self.batches.front().map_or(self.end, |b| b.from);
        if at.epoch != self.end.epoch || at < start {
            return Lookup::Unknown;
        }
        // A node that has read further than this log waits until the log has reached it.
        match self.batches.iter().find(|b| b.to > at) {
            Some(batch) => Lookup::Next(batch.clone()),
            None => Lookup::UpToDate,
        }
    }
}
