//! What a node takes in from callers and other nodes: size of heads, and memory.

use std::{rc::Rc, time::Duration};

use http::request::Parts;
use tokio::time::Instant;

use crate::state::{
    counters::{Counter, Counters},
    memory::{Charge, MemoryBudget},
};

use super::super::{
    body::BodyError,
    reply::Reply,
    request::RequestError,
    server::{HEAD_LIST_MAX_BYTES, HeadLimits},
};

/// Bytes of the shortest field of a head: a name of one character, a colon and the end of the line.
const FIELD_MIN_BYTES: usize = 4;
/// Bytes of a request line besides the method and the target, and of the end of the head.
const REQUEST_LINE_BYTES: usize = 14;
/// Bytes around the name and the value of a field. The space after the colon is optional and not
/// counted, so that no head within the limit is refused.
const FIELD_EXTRA_BYTES: usize = 3;
/// Smallest limit that the HTTP library accepts, and room for a head that arrives in parts.
const BUFFER_MIN_BYTES: usize = 8 * 1_024;
const BUFFER_SPARE_BYTES: usize = 1_024;
/// Memory charged for a request and its tasks.
const REQUEST_BYTES: usize = 4 * 1_024;
/// Memory charged for each field, besides its name and value: its entries in two maps, as the request
/// to the server or to another node has its own, and a name and a value on the heap in each. The maps
/// may be half empty, and blocks this small waste a part of the heap.
const FIELD_BYTES: usize = 768;
/// Time for which a caller may take no byte of an answer. Well-behaved ones take it as it comes.
pub const STALL: Duration = Duration::from_secs(10);
/// The same while memory is short.
const STALL_SHORT: Duration = Duration::from_secs(2);
/// Retry delay sent to callers that are refused for lack of memory.
const RETRY: Duration = Duration::from_secs(1);

/// The budget is used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutOfMemory;

/// Limits of the HTTP library for heads of at most `bytes`.
pub fn head_limits(bytes: usize) -> HeadLimits {
    HeadLimits {
        bytes: bytes.max(BUFFER_MIN_BYTES) + BUFFER_SPARE_BYTES,
        fields: bytes / FIELD_MIN_BYTES,
        list_bytes: HEAD_LIST_MAX_BYTES,
    }
}

/// Size of a head on the wire.
pub fn head_bytes(head: &Parts) -> usize {
    let line = head.method.as_str().len() + target_bytes(head) + REQUEST_LINE_BYTES;
    let fields = head.headers.iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + FIELD_EXTRA_BYTES);
    line + fields.sum::<usize>()
}

fn target_bytes(head: &Parts) -> usize {
    head.uri.path_and_query().map_or(0, |p| p.as_str().len())
}

/// Charges the head of a request. When memory is short, only a call of a request that has been
/// forwarded is taken.
///
/// # Errors
/// The memory is used up or short.
pub fn charge_head(
    memory: &Rc<MemoryBudget>,
    head: &Parts,
    is_call: bool,
) -> Result<Charge, OutOfMemory> {
    if memory.is_short() && !is_call {
        // Its memory is released only after this refusal.
        memory.end_slowest(Instant::now());
        return Err(OutOfMemory);
    }
    let mut charge = Charge::new(memory);
    let bytes = REQUEST_BYTES + head_bytes(head) + head.headers.len() * FIELD_BYTES;
    match charge.try_grow(bytes) {
        true => Ok(charge),
        false => Err(OutOfMemory),
    }
}

/// The reply for a request that is refused for lack of memory.
pub fn refused() -> Reply {
    Reply::not_run(0, "memory", RETRY)
}

/// The reply for a request whose body could not be read.
pub fn unread(counters: &Counters, error: &RequestError) -> Reply {
    match error {
        RequestError::Body(BodyError::BufferFull) => counters.add(Counter::RefusedMemory, 1),
        RequestError::Body(BodyError::TimedOut) => counters.add(Counter::RefusedSlow, 1),
        _ => {}
    }
    Reply::not_run(0, error.to_string(), RETRY).with_status(error.status())
}

/// Time for which a caller may take no byte of an answer.
pub fn stall_limit(memory: &MemoryBudget) -> Duration {
    if memory.is_short() {
        return STALL_SHORT;
    }
    STALL
}
