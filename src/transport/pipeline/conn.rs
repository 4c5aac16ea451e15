//! Adapter between an accepted connection and the HTTP library.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::{
    super::server::Handler,
    Ahead, Pipeline,
    head::HeadEnd,
    signal::{Phase, Signal},
};

/// A connection that gives the HTTP library one head at a time, and holds back the bytes behind it
/// while a request without a body is in progress.
///
/// The HTTP library reads during such a request only while its own buffer is empty, to notice that
/// the caller has gone. Bytes that it reads then begin with a head.
pub struct PipelineConn<C, H: Handler, F> {
    conn: C,
    pipeline: Rc<Pipeline<H, F>>,
    signal: Rc<Signal>,
    end: HeadEnd,
}

impl<C, H: Handler, F> PipelineConn<C, H, F> {
    /// The adapter of `conn`.
    pub fn new(conn: C, pipeline: Rc<Pipeline<H, F>>) -> Self {
        let signal = pipeline.signal.clone();
        Self {
            conn,
            pipeline,
            signal,
            end: HeadEnd::default(),
        }
    }
}

impl<C, H, F> PipelineConn<C, H, F>
where
    C: AsyncRead + Unpin,
    H: Handler,
    F: Ahead<H>,
{
    /// Passes on the next head, and keeps what follows it.
    fn poll_head(&mut self, cx: &mut Context<'_>, out: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.signal.has_unread.get() {
            let end = &mut self.end;
            return self
                .pipeline
                .take_unread(out, |queue, max| queue.take(max, end));
        }
        let start = out.filled().len();
        let polled = Pin::new(&mut self.conn).poll_read(cx, out);
        let read = &out.filled()[start..];
        if let Some(size) = self.end.find(read).filter(|size| *size < read.len()) {
            self.pipeline.push_unread(cx, &read[size..]);
            out.set_filled(start + size);
        }
        polled
    }

    /// Reads what the caller sends behind the request in progress; passes on only its end.
    fn poll_behind(&mut self, cx: &mut Context<'_>, out: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let start = out.filled().len();
        while !self.pipeline.is_full() {
            match Pin::new(&mut self.conn).poll_read(cx, out) {
                Poll::Ready(Ok(())) if out.filled().len() > start => {
                    self.pipeline.push_unread(cx, &out.filled()[start..]);
                    out.set_filled(start);
                }
                polled => return polled,
            }
        }
        Poll::Pending
    }
}

impl<C, H, F> AsyncRead for PipelineConn<C, H, F>
where
    C: AsyncRead + Unpin,
    H: Handler,
    F: Ahead<H>,
{
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        match this.signal.phase() {
            Phase::Idle => this.poll_head(cx, out),
            Phase::Opaque if this.signal.has_unread.get() => this
                .pipeline
                .take_unread(out, |queue, max| queue.take_any(max)),
            Phase::Opaque => Pin::new(&mut this.conn).poll_read(cx, out),
            Phase::Begun | Phase::Open | Phase::Shut => this.poll_behind(cx, out),
        }
    }
}

impl<C, H, F> PipelineConn<C, H, F>
where
    H: Handler,
{
    fn note_write<T>(&self, polled: Poll<T>) -> Poll<T> {
        self.signal.is_blocked.set(polled.is_pending());
        polled
    }
}

impl<C, H, F> AsyncWrite for PipelineConn<C, H, F>
where
    C: AsyncWrite + Unpin,
    H: Handler,
{
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.conn).poll_write(cx, data);
        this.note_write(polled)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().conn).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().conn).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.conn).poll_write_vectored(cx, parts);
        this.note_write(polled)
    }

    fn is_write_vectored(&self) -> bool {
        // In this mode the HTTP library begins no response before the one before it is sent.
        self.signal.phase() != Phase::Opaque || self.conn.is_write_vectored()
    }
}
