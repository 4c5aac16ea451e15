//! A connection whose first bytes have been read already.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    task::{Context, Poll},
};

use bytes::{Buf, BytesMut};
use memchr::{memchr_iter, memmem};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf};

/// Size of the first read; the head of an ordinary request fits.
const FIRST_READ_BYTES: usize = 4 * 1_024;

/// Reads the first bytes of a connection; empty at its end.
///
/// # Errors
/// The connection fails.
pub async fn read_first<C: AsyncRead + Unpin>(conn: &mut C) -> io::Result<BytesMut> {
    let mut first = BytesMut::with_capacity(FIRST_READ_BYTES);
    conn.read_buf(&mut first).await?;
    Ok(first)
}

/// Whether the bytes begin with a complete HTTP/1.1 head of at most `max` fields.
///
/// ```
/// use comfreybay::transport::prefixed::has_few_fields;
/// let head = b"GET / HTTP/1.1\r\nhost: a\r\nx: 1\r\n\r\n";
/// assert!(has_few_fields(head, 2));
/// assert!(!has_few_fields(head, 1));
/// assert!(!has_few_fields(&head[..20], 2));
/// ```
pub fn has_few_fields(bytes: &[u8], max: usize) -> bool {
    let end = memmem::find(bytes, b"\r\n\r\n");
    // The request line and all fields but the last end before it.
    end.is_some_and(|end| memchr_iter(b'\n', &bytes[..end]).count() <= max)
}

/// A connection that returns bytes which were read before, and then its own.
#[derive(Debug)]
pub struct Prefixed<C> {
    first: BytesMut,
    conn: C,
}

impl<C> Prefixed<C> {
    /// A connection that returns `first` before its own bytes.
    pub fn new(first: BytesMut, conn: C) -> Self {
        Self { first, conn }
    }
}

impl<C: AsyncRead + Unpin> AsyncRead for Prefixed<C> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.first.is_empty() {
            return Pin::new(&mut self.conn).poll_read(cx, out);
        }
        let size = self.first.len().min(out.remaining());
        out.put_slice(&self.first[..size]);
        self.first.advance(size);
        if self.first.is_empty() {
            self.first = BytesMut::new();
        }
        Poll::Ready(Ok(()))
    }
}

impl<C: AsyncWrite + Unpin> AsyncWrite for Prefixed<C> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.conn).poll_write(cx, data)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.conn).poll_write_vectored(cx, data)
    }

    fn is_write_vectored(&self) -> bool {
        self.conn.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.conn).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.conn).poll_shutdown(cx)
    }
}
