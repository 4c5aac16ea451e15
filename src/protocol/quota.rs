//! Binary form of the messages between a node and a lender of quota tokens.
//!
//! Version 2, with numbers in LEB128 except where a length is stated:
//!
//! - message: fleet, 1 or 0 for a stamp or none, the stamp, then for each organisation the key
//!   (5 bytes), the need, and one byte with the reserve in the upper and the returned tokens in the
//!   lower half;
//! - answer: the stamp, the number of nodes, the milliseconds until the loan of the share expires, then
//!   for each organisation the tokens, the reserve and the time until the
//!   next token is due;
//! - stamp: the process (4 bytes) and the milliseconds (4 bytes), most significant byte first.

use thiserror::Error;

use crate::state::mesh::quota::{Ask, AskEntry, Grant, GrantEntry, QuotaKey, Stamp};

/// Version of the form, stated in the header of the message.
pub const VERSION: u32 = 2;
/// Most organisations in one message, which bounds its size.
pub const ENTRIES_MAX: usize = 1_024;
/// Largest message or answer in bytes.
pub const MESSAGE_MAX_BYTES: usize = 16 + ENTRIES_MAX * 16;
/// Most tokens of an organisation in one message.
const COUNT_MAX: u32 = 1_000_000;
/// Largest number of nodes in a message.
const FLEET_MAX: u32 = 1_000_000;
const HALF_MAX: u8 = 15;

/// A message that does not have the expected form.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
#[error("could not read byte {at} of the quota message: expected {expected}")]
pub struct InvalidMessage {
    at: usize,
    expected: &'static str,
}

/// Result of reading a message.
pub type Result<T, E = InvalidMessage> = std::result::Result<T, E>;

/// Writes a message. Entries after the first [`ENTRIES_MAX`] are left out.
///
/// ```
/// use comfreybay::{protocol::quota, state::mesh::quota::{Ask, AskEntry, QuotaKey, Stamp}};
/// let entry = AskEntry { key: QuotaKey([7; 5]), need: 300, reserve: 1, returned: 2 };
/// let stamp = Some(Stamp { run: 1, ms: 2 });
/// let ask = Ask { fleet: 89, stamp, entries: vec![entry] };
/// let bytes = quota::write_ask(&ask);
/// assert_eq!(bytes.len(), 18);
/// assert_eq!(quota::read_ask(&bytes).unwrap(), ask);
/// assert!(quota::read_ask(&bytes[..17]).is_err());
/// ```
pub fn write_ask(ask: &Ask<QuotaKey>) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(16 + ask.entries.len() * 8);
    write_number(&mut bytes, ask.fleet);
    bytes.push(ask.stamp.is_some().into());
    ask.stamp.iter().for_each(|s| write_stamp(&mut bytes, s));
    for entry in ask.entries.iter().take(ENTRIES_MAX) {
        bytes.extend(entry.key.0);
        write_number(&mut bytes, entry.need.min(COUNT_MAX));
        let (reserve, returned) = (entry.reserve.min(HALF_MAX), entry.returned.min(HALF_MAX));
        bytes.push(reserve << 4 | returned);
    }
    bytes
}

/// Reads a message.
///
/// # Errors
/// The bytes are not a message, or a number is out of its range.
pub fn read_ask(bytes: &[u8]) -> Result<Ask<QuotaKey>> {
    let mut reader = Reader { bytes, at: 0 };
    let fleet = reader.number(FLEET_MAX)?;
    let stamp = match reader.byte()? {
        0 => None,
        1 => Some(reader.stamp()?),
        _ => return Err(reader.invalid("0 or 1")),
    };
    let mut entries = Vec::new();
    while !reader.is_at_end() {
        if entries.len() == ENTRIES_MAX {
            return Err(reader.invalid("the end after 1,024 organisations"));
        }
        let key = QuotaKey(reader.array()?);
        let need = reader.number(COUNT_MAX)?;
        let halves = reader.byte()?;
        entries.push(AskEntry {
            key,
            need,
            reserve: halves >> 4,
            returned: halves & HALF_MAX,
        });
    }
    Ok(Ask {
        fleet,
        stamp,
        entries,
    })
}

/// Writes an answer.
///
/// ```
/// use comfreybay::{protocol::quota, state::mesh::quota::{Grant, GrantEntry, Stamp}};
/// let entry = GrantEntry { tokens: 3, reserve: 1, due_ms: 200 };
/// let grant = Grant { stamp: Stamp { run: 1, ms: 2 }, fleet: 89, lent_ms: 2_000, entries: vec![entry] };
/// let bytes = quota::write_grant(&grant);
/// assert_eq!(quota::read_grant(&bytes).unwrap(), grant);
/// assert!(quota::read_grant(b"").is_err());
/// ```
pub fn write_grant(grant: &Grant) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(8 + grant.entries.len() * 4);
    write_stamp(&mut bytes, &grant.stamp);
    write_number(&mut bytes, grant.fleet.min(FLEET_MAX));
    write_number(&mut bytes, grant.lent_ms.min(COUNT_MAX));
    for entry in &grant.entries {
        write_number(&mut bytes, entry.tokens);
        bytes.push(entry.reserve);
        write_number(&mut bytes, entry.due_ms.min(COUNT_MAX));
    }
    bytes
}

/// Reads an answer.
///
/// # Errors
/// The bytes are not an answer, or a number is out of its range.
pub fn read_grant(bytes: &[u8]) -> Result<Grant> {
    let mut reader = Reader { bytes, at: 0 };
    let stamp = reader.stamp()?;
    let fleet = reader.number(FLEET_MAX)?;
    let lent_ms = reader.number(COUNT_MAX)?;
    let mut entries = Vec::new();
    while !reader.is_at_end() {
        if entries.len() == ENTRIES_MAX {
            return Err(reader.invalid("the end after 1,024 organisations"));
        }
        entries.push(GrantEntry {
            tokens: reader.number(COUNT_MAX)?,
            reserve: reader.byte()?,
            due_ms: reader.number(COUNT_MAX)?,
        });
    }
    Ok(Grant {
        stamp,
        fleet,
        lent_ms,
        entries,
    })
}

fn write_stamp(bytes: &mut Vec<u8>, stamp: &Stamp) {
    bytes.extend(stamp.run.to_be_bytes());
    bytes.extend(stamp.ms.to_be_bytes());
}

fn write_number(bytes: &mut Vec<u8>, mut number: u32) {
    while number >= 0x80 {
        bytes.push(number as u8 | 0x80);
        number >>= 7;
    }
    bytes.push(number as u8);
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn is_at_end(&self) -> bool {
        self.at == self.bytes.len()
    }

    fn invalid(&self, expected: &'static str) -> InvalidMessage {
        InvalidMessage {
            at: self.at,
            expected,
        }
    }

    fn byte(&mut self) -> Result<u8> {
        self.array().map(|[byte]| byte)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N]> {
        let found = self.bytes[self.at..].first_chunk();
        let found = *found.ok_or(self.invalid("more bytes"))?;
        self.at += N;
        Ok(found)
    }

    fn stamp(&mut self) -> Result<Stamp> {
        Ok(Stamp {
            run: u32::from_be_bytes(self.array()?),
            ms: u32::from_be_bytes(self.array()?),
        })
    }

    fn number(&mut self, max: u32) -> Result<u32> {
        let mut number = 0_u32;
        // Numbers up to 1,000,000 have at most three bytes.
        for shift in [0, 7, 14] {
            let byte = self.byte()?;
            number |= u32::from(byte & 0x7f) << shift;
            if byte & 0x80 == 0 {
                return match number <= max {
                    true => Ok(number),
                    false => Err(self.invalid("at most 1,000,000")),
                };
            }
        }
        Err(self.invalid("a number of at most three bytes"))
    }
}
