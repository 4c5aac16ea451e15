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

/// Time from issue after which a ticket can't run.
pub const LIFETIME: Duration = Duration::from_secs(60);
/// Largest answer that is kept for a ticket presented again.
pub const STORED_MAX_BYTES: usize = 16 * 1024;
/// Presented tickets kept: three lifetimes' worth of calls at the design rate of 354 calls/s.
const TICKETS_MAX: usize = 65_536;
/// Bytes of stored answers over all tickets, an eighth of the memory of a node.
const STORED_TOTAL_BYTES: usize = 8 * 1024 * 1024;
/// Overhead of one kept answer and of each of its headers.
const STORED_OVERHEAD_BYTES: usize = 256;
const HEADER_OVERHEAD_BYTES: usize = 128;
const FORMAT: &str = "cb1";

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
            "{FORMAT}:{issuer}:{incarnation}:{sequence}:{issued_ms}:{tag}"
        )
    }
}

impl FromStr for Ticket {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let fault = || Error::Number {
            what: "ticket",
            text: text.chars().take(256).collect(),
        };
        let parts: Vec<_> = text.trim_matches('"').split(':').collect();
        let [FORMAT, issuer, incarnation, sequence, issued_ms, tag] = parts[..] else {
            return Err(fault());
        };
        let tag = HEXLOWER.decode(tag.as_bytes()).map_err(|_| fault())?;
        Ok(Self {
            issuer: issuer.parse().map_err(|_| fault())?,
            incarnation: incarnation.parse().map_err(|_| fault())?,
            sequence: sequence.parse().map_err(|_| fault())?,
            issued_ms: issued_ms.parse().map_err(|_| fault())?,
            tag: tag.try_into().map_err(|_| fault())?,
        })
    }
}

/// An answer kept for a ticket that is presented again.
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

    /// Bytes that keeping it takes, with the overhead of the header table.
    fn cost(&self) -> usize {
        self.size() + STORED_OVERHEAD_BYTES + self.headers.len() * HEADER_OVERHEAD_BYTES
    }
}

/// What the issuer knows about a ticket that is presented.
#[derive(Debug, Clone, PartialEq)]
pub enum TicketStatus {
    /// First use; the request may be dispatched now, and only now.
    First,
    /// Dispatched, without an answer yet.
    InProgress,
    /// Refused with proof; the request never runs on this ticket.
    Refused,
    /// Answered; the answer when it was kept.
    Done(Option<StoredAnswer>),
    /// Used before with another request.
    Mismatch,
    /// Expired, forged or of another incarnation.
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
/// State is dropped from the lowest sequence up, and no ticket at or below the highest dropped
/// sequence runs. A forgotten ticket therefore can't run, even when the table is full.
#[derive(Debug)]
pub struct TicketIssuer {
    issuer: UpstreamName,
    incarnation: Incarnation,
    secret: [u8; 32],
    start: Instant,
    next: u64,
    dropped: u64,
    stored: usize,
    entries: BTreeMap<u64, Entry>,
}

impl TicketIssuer {
    /// An issuer with a secret that exists only in this incarnation.
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
            next: 1,
            dropped: 0,
            stored: 0,
            entries: BTreeMap::new(),
        }
    }

    /// Issues a ticket; nothing is kept until it is presented.
    pub fn issue(&mut self, now: Instant) -> Ticket {
        let mut ticket = Ticket {
            issuer: self.issuer.clone(),
            incarnation: self.incarnation,
            sequence: self.next,
            issued_ms: self.since_start(now),
            tag: [0; 16],
        };
        self.next += 1;
        let tag = ticket.tag(&self.secret);
        ticket.tag.copy_from_slice(&tag.as_bytes()[..16]);
        ticket
    }

    /// Looks up a presented ticket; a first use is recorded as dispatched.
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
        if ticket.sequence <= self.dropped {
            return TicketStatus::Unknown;
        }
        if self.entries.len() == TICKETS_MAX {
            self.drop_first();
            if ticket.sequence <= self.dropped {
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

    /// Records that the dispatched request was refused with proof that it ran nowhere.
    pub fn refuse(&mut self, ticket: &Ticket) {
        if let Some(entry) = self.dispatched(ticket) {
            entry.phase = Phase::Refused;
        }
    }

    /// Records that the dispatched request was answered, or ended without an answer (`None`).
    pub fn done(&mut self, ticket: &Ticket, answer: Option<StoredAnswer>) {
        let size = answer.as_ref().map_or(0, StoredAnswer::size);
        let cost = answer.as_ref().map_or(0, StoredAnswer::cost);
        let fits = size <= STORED_MAX_BYTES && self.stored + cost <= STORED_TOTAL_BYTES;
        let Some(entry) = self.dispatched(ticket) else {
            return;
        };
        entry.phase = Phase::Done(answer.filter(|_| fits).map(Box::new));
        if fits {
            self.stored += cost;
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

    /// Bytes that the stored answers take.
    pub fn stored_bytes(&self) -> usize {
        self.stored
    }

    fn since_start(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.start).as_millis() as u64
    }

    fn is_valid(&self, ticket: &Ticket, now: Instant) -> bool {
        let expected = ticket.tag(&self.secret);
        let mut tag = [0; 32];
        tag.copy_from_slice(expected.as_bytes());
        tag[..16].copy_from_slice(&ticket.tag);
        let age = self.since_start(now).checked_sub(ticket.issued_ms);
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
        let now_ms = u128::from(self.since_start(now));
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
        self.dropped = self.dropped.max(sequence);
        if let Phase::Done(Some(answer)) = entry.phase {
            self.stored -= answer.cost();
        }
    }
}

#[cfg(test)]
mod tests;
