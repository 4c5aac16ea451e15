//! A request body in memory, as a list of blocks.

use std::{
    convert::Infallible,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use http_body::{Frame, SizeHint};

use crate::state::memory::Charge;

/// Size of the first block of a body of unknown length; each further one is twice as large.
const FIRST_BLOCK_BYTES: usize = 4 * 1_024;
/// Size of the largest blocks. A body is never copied into a larger buffer as it grows.
const BLOCK_MAX_BYTES: usize = 64 * 1_024;

/// A body that can be sent several times; copies share its blocks.
#[derive(Debug, Clone, Default)]
pub struct Chunks {
    blocks: Rc<Vec<Bytes>>,
    next: usize,
    left: u64,
}

impl Chunks {
    /// The blocks, in their order.
    ///
    /// ```
    /// use bytes::Bytes;
    /// use comfreybay::transport::chunks::Chunks;
    /// let body = Chunks::from(Bytes::from_static(b"abc"));
    /// assert_eq!(body.blocks().count(), 1);
    /// assert_eq!(body.len(), 3);
    /// ```
    pub fn blocks(&self) -> impl Iterator<Item = &[u8]> + Clone {
        self.blocks.iter().map(|block| &block[..])
    }

    /// Number of bytes that have not been sent.
    pub fn len(&self) -> usize {
        self.left as usize
    }

    /// Whether nothing is left to send.
    pub fn is_empty(&self) -> bool {
        self.left == 0
    }
}

impl From<Bytes> for Chunks {
    fn from(block: Bytes) -> Self {
        let left = block.len() as u64;
        let blocks = Rc::new(Vec::from_iter(Some(block).filter(|b| !b.is_empty())));
        Self {
            blocks,
            next: 0,
            left,
        }
    }
}

impl http_body::Body for Chunks {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let this = self.get_mut();
        let block = this.blocks.get(this.next).cloned();
        if let Some(block) = &block {
            this.next += 1;
            this.left -= block.len() as u64;
        }
        Poll::Ready(block.map(|block| Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}

/// Collects a body in blocks that are charged to a memory budget.
///
/// Pieces are copied: one of a few bytes would keep the whole read buffer of its connection.
#[derive(Debug)]
pub struct ChunkWriter {
    blocks: Vec<Bytes>,
    last: BytesMut,
    next_bytes: usize,
    bytes: usize,
}

impl ChunkWriter {
    /// A writer without blocks for a body of this length, if it is known.
    pub fn new(length: Option<u64>) -> Self {
        let length = length.and_then(|length| usize::try_from(length).ok());
        Self {
            blocks: Vec::new(),
            last: BytesMut::new(),
            next_bytes: length.unwrap_or(FIRST_BLOCK_BYTES).min(BLOCK_MAX_BYTES),
            bytes: 0,
        }
    }

    /// Bytes written.
    pub fn len(&self) -> usize {
        self.bytes
    }

    /// Whether nothing was written.
    pub fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    /// Appends what fits into the last block and removes it from `data`.
    pub fn fill(&mut self, data: &mut Bytes) {
        let room = (self.last.capacity() - self.last.len()).min(data.len());
        self.last.extend_from_slice(&data.split_to(room));
        self.bytes += room;
    }

    /// Starts another block if the budget allows it.
    pub fn try_start_block(&mut self, charge: &mut Charge) -> bool {
        let bytes = self.next_bytes.max(1);
        if !charge.try_grow(bytes) {
            return false;
        }
        let last = std::mem::replace(&mut self.last, BytesMut::with_capacity(bytes));
        self.push(last);
        self.next_bytes = (bytes * 2).clamp(FIRST_BLOCK_BYTES, BLOCK_MAX_BYTES);
        true
    }

    /// The whole body.
    pub fn finish(mut self) -> Chunks {
        let last = std::mem::take(&mut self.last);
        self.push(last);
        Chunks {
            left: self.bytes as u64,
            blocks: Rc::new(self.blocks),
            next: 0,
        }
    }

    fn push(&mut self, block: BytesMut) {
        if !block.is_empty() {
            self.blocks.push(block.freeze());
        }
    }
}
