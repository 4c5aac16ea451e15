//! Tickets that let a non-repeatable request run at most once.

use std::{collections::BTreeMap, fmt, str::FromStr, time::Duration};

use bytes::Bytes;
use data_encoding::HEXLOWER;
use http::{HeaderMap, StatusCode};
use tokio::time::Instant;

use super::{
    Error, Result,
    id::{Fingerprint, Incarnation, UpstreamName},
};

/// Time for which a ticket is valid after it was issued.
pub const LIFETIME: Duration = Duration::from_secs(60);
/// Largest answer that is kept for a ticket that is presented again.
pub const STORED_MAX_BYTES: usize = 16 * 1024;
/// Largest number of presented tickets kept: those of three lifetimes at the design rate of
/// 354 calls/s.
const TICKETS_MAX: usize = 65_536;
/// Largest size of the stored answers of all tickets, an eighth of the memory of a node.
const STORED_TOTAL_MAX_BYTES: usize = 8 * 1024 * 1024;
/// Memory overhead of a stored answer and of each of its headers.
const STORED_OVERHEAD_BYTES: usize = 256;
const HEADER_OVERHEAD_BYTES: usize = 128;
const FORMAT_PREFIX: &str = "cb1";

/// A ticket, written as `cb1:issuer:incarnation:sequence:issued_ms:tag`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    issuer: UpstreamName,
    incarnation: Incarnation,
    sequence: u64,
    issued_ms: u64,
    tag: [u8; 16],
}

impl Ticket {
    /// The upstream whose node issued it.
    pub fn issuer(&self) -> &UpstreamName {
        &self.issuer
    }

    fn tag(&self, secret: &[u8; 32]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(secret);
        hasher.update(&self.incarnation.0);
        hasher.update(&self.sequence.to_be_bytes());
        hasher.update(&self.issued_ms.to_be_bytes());
        hasher.update(self.issuer.as_str().as_bytes());
        hasher.finalize()
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            issuer,
            incarnation,
            sequence,
            issued_ms,
            tag,
        } = self;
        let tag = HEXLOWER.encode(tag);
        write!(
            f,
            "{FORMAT_PREFIX}:{issuer}:{incarnation}:{sequence}:{issued_ms}:{tag}"
        )
    }
}

impl FromStr for Ticket {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let error = || Error::Number {
            what: "ticket",
            text: text.chars().take(256).collect(),
        };
        let parts: Vec<_> = text.trim_matches('"').split(':').collect();
        let [FORMAT_PREFIX, issuer, incarnation, sequence, issued_ms, tag] = parts[..] else {
            return Err(error());
        };
        let tag = HEXLOWER.decode(tag.as_bytes()).map_err(|_| error())?;
        Ok(Self {
            issuer: issuer.parse().map_err(|_| error())?,
            incarnation: incarnation.parse().map_err(|_| error())?,
            sequence: sequence.parse().map_err(|_| error())?,
            issued_ms: issued_ms.parse().map_err(|_| error())?,
            tag: tag.try_into().map_err(|_| error())?,
        })
    }
}

/// An answer stored for a ticket that is presented again.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredAnswer {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Body of the answer.
    pub body: Bytes,
}

impl StoredAnswer {
    fn size(&self) -> usize {
        let pairs = self.headers.iter();
        let headers: usize = pairs.map(|(k, v)| k.as_str().len() + v.len()).sum();
        headers + self.body.len()
    }

    /// Memory that it takes in bytes, including the overhead of the header table.
    fn cost(&self) -> usize {
        self.size() + STORED_OVERHEAD_BYTES + self.headers.len() * HEADER_OVERHEAD_BYTES
    }
}

/// State of a presented ticket according to its issuer.
#[derive(Debug, Clone, PartialEq)]
pub enum TicketStatus {
    /// First use; the request may be dispatched now, and only now.
    First,
    /// Dispatched, without an answer yet.
    InProgress,
    /// Refused with proof that the request did not run; it never runs with this ticket.
    Refused,
    /// Ended; the answer if there was one and it was stored.
    Done(Option<StoredAnswer>),
    /// Used before for another request.
    Mismatch,
    /// Expired, forged, dropped or of another incarnation.
    Unknown,
}

#[derive(Debug)]
enum Phase {
    Dispatched,
    Refused,
    Done(Option<Box<StoredAnswer>>),
}

#[derive(Debug)]
struct Entry {
    request: Fingerprint,
    issued_ms: u64,
    phase: Phase,
}

/// Issues tickets and keeps the state of those that were presented.
///
/// State is dropped in the order of the sequence numbers, lowest first, and a ticket that is not
/// kept can't run if its number is at or below the highest dropped one. A dropped ticket therefore
/// can't run again, even when the table is full.
#[derive(Debug)]
pub struct TicketIssuer {
    issuer: UpstreamName,
    incarnation: Incarnation,
    secret: [u8; 32],
    start: Instant,
    next_sequence: u64,
    dropped_sequence: u64,
    stored_bytes: usize,
    entries: BTreeMap<u64, Entry>,
}

impl TicketIssuer {
    /// An issuer whose secret is valid only in this incarnation.
    pub fn new(
        issuer: UpstreamName,
        incarnation: Incarnation,
        mut rng: fastrand::Rng,
        now: Instant,
    ) -> Self {
        let mut secret = [0; 32];
        rng.fill(&mut secret);
        Self {
            issuer,
            incarnation,
            secret,
            start: now,
            next_sequence: 1,
            dropped_sequence: 0,
            stored_bytes: 0,
            entries: BTreeMap::new(),
        }
    }

    /// Issues a ticket. Its state is not kept until it is presented.
    pub fn issue(&mut self, now: Instant) -> Ticket {
        let mut ticket = Ticket {
            issuer: self.issuer.clone(),
            incarnation: self.incarnation,
            sequence: self.next_sequence,
            issued_ms: self.elapsed_ms(now),
            tag: [0; 16],
        };
        self.next_sequence += 1;
        let tag = ticket.tag(&self.secret);
        ticket.tag.copy_from_slice(&tag.as_bytes()[..16]);
        ticket
    }

    /// The state of a presented ticket; on its first use it is recorded as dispatched.
    ///
    /// ```
    /// use comfreybay::state::{id::*, ticket::*};
    /// use tokio::time::Instant;
    ///
    /// let mut rng = fastrand::Rng::with_seed(1);
    /// let now = Instant::now();
    /// let incarnation = Incarnation::random(&mut rng);
    /// let mut issuer = TicketIssuer::new("a-1".parse().unwrap(), incarnation, rng, now);
    /// let ticket = issuer.issue(now);
    /// let request = Fingerprint([1; 16]);
    /// assert_eq!(issuer.present(&ticket, request, now), TicketStatus::First);
    /// assert_eq!(issuer.present(&ticket, request, now), TicketStatus::InProgress);
    /// issuer.refuse(&ticket);
    /// assert_eq!(issuer.present(&ticket, request, now), TicketStatus::Refused);
    /// ```
    pub fn present(&mut self, ticket: &Ticket, request: Fingerprint, now: Instant) -> TicketStatus {
        self.expire(now);
        if !self.is_valid(ticket, now) {
            return TicketStatus::Unknown;
        }
        if let Some(entry) = self.entries.get(&ticket.sequence) {
            return match &entry.phase {
                _ if entry.request != request => TicketStatus::Mismatch,
                Phase::Dispatched => TicketStatus::InProgress,
                Phase::Refused => TicketStatus::Refused,
                Phase::Done(answer) => TicketStatus::Done(answer.as_deref().cloned()),
            };
        }
        if ticket.sequence <= self.dropped_sequence {
            return TicketStatus::Unknown;
        }
        if self.entries.len() == TICKETS_MAX {
            self.drop_first();
            if ticket.sequence <= self.dropped_sequence {
                return TicketStatus::Unknown;
            }
        }
        let entry = Entry {
            request,
            issued_ms: ticket.issued_ms,
            phase: Phase::Dispatched,
        };
        self.entries.insert(ticket.sequence, entry);
        TicketStatus::First
    }

    /// Records that the dispatched request was refused with proof that it did not run.
    pub fn refuse(&mut self, ticket: &Ticket) {
        if let Some(entry) = self.dispatched(ticket) {
            entry.phase = Phase::Refused;
        }
    }

    /// Records that the dispatched request was answered, or ended without an answer (`None`).
    pub fn done(&mut self, ticket: &Ticket, answer: Option<StoredAnswer>) {
        let size = answer.as_ref().map_or(0, StoredAnswer::size);
        let cost = answer.as_ref().map_or(0, StoredAnswer::cost);
        let fits = size <= STORED_MAX_BYTES && self.stored_bytes + cost <= STORED_TOTAL_MAX_BYTES;
        let Some(entry) = self.dispatched(ticket) else {
            return;
        };
        entry.phase = Phase::Done(answer.filter(|_| fits).map(Box::new));
        if fits {
            self.stored_bytes += cost;
        }
    }

    /// Number of presented tickets kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no presented ticket is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Memory that the stored answers take, in bytes.
    pub fn stored_bytes(&self) -> usize {
        self.stored_bytes
    }

    fn elapsed_ms(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.start).as_millis() as u64
    }

    fn is_valid(&self, ticket: &Ticket, now: Instant) -> bool {
        let expected = ticket.tag(&self.secret);
        let mut tag = [0; 32];
        tag.copy_from_slice(expected.as_bytes());
        tag[..16].copy_from_slice(&ticket.tag);
        let age = self.elapsed_ms(now).checked_sub(ticket.issued_ms);
        ticket.incarnation == self.incarnation
            && ticket.issuer == self.issuer
            && expected == blake3::Hash::from_bytes(tag)
            && age.is_some_and(|ms| u128::from(ms) < LIFETIME.as_millis())
    }

    fn dispatched(&mut self, ticket: &Ticket) -> Option<&mut Entry> {
        let own = ticket.incarnation == self.incarnation;
        let entry = self.entries.get_mut(&ticket.sequence).filter(|_| own)?;
        matches!(entry.phase, Phase::Dispatched).then_some(entry)
    }

    fn expire(&mut self, now: Instant) {
        let now_ms = u128::from(self.elapsed_ms(now));
        let is_old = |e: &Entry| now_ms >= u128::from(e.issued_ms) + LIFETIME.as_millis();
        while self
            .entries
            .first_key_value()
            .is_some_and(|(_, e)| is_old(e))
        {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        let Some((sequence, entry)) = self.entries.pop_first() else {
            return;
        };
        self.dropped_sequence = self.dropped_sequence.max(sequence);
        if let Phase::Done(Some(answer)) = entry.phase {
            self.stored_bytes -= answer.cost();
        }
    }
}

#[cfg(test)]
mod tests;
