//! Adapter between an accepted connection and the HTTP library.

use std::{
    future::Future,
    io::{self, IoSlice},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::{
    super::{net::Conn, server::Handler},
    Ahead, Mismatch, NextHead, Pipeline,
    end::EndWatch,
    head::{Extent, HeadScan},
    request_body::RequestBody,
    signal::{Phase, Signal},
};

/// A connection that gives the HTTP library one request at a time, and holds back the bytes behind it.
/// A head is passed on once it is complete, so that it is known which limits it needs.
///
/// The HTTP library reads during such a request only while its own buffer is empty, to notice that
/// the caller has gone. Bytes that it reads then begin with a head.
pub struct PipelineConn<C: Conn, H: Handler, F> {
    conn: C,
    pipeline: Rc<Pipeline<H, F>>,
    signal: Rc<Signal>,
    scan: HeadScan,
    /// Bytes of an admitted head that the HTTP library has not got.
    head_left: usize,
    /// What the HTTP library has not got of the body of the request in progress.
    body: RequestBody,
    /// The end of the connection, while nothing is read for lack of room.
    end: Option<EndWatch<C::End>>,
}

impl<C: Conn, H: Handler, F> PipelineConn<C, H, F> {
    /// The adapter of `conn`.
    pub fn new(conn: C, pipeline: Rc<Pipeline<H, F>>) -> Self {
        let signal = pipeline.signal.clone();
        let body = match signal.phase() {
            // Without requests that are started ahead, nothing is held back.
            Phase::Opaque => RequestBody::Endless,
            _ => RequestBody::Ended,
        };
        Self {
            conn,
            pipeline,
            signal,
            scan: HeadScan::default(),
            head_left: 0,
            body,
            end: None,
        }
    }
}

impl<C, H, F> PipelineConn<C, H, F>
where
    C: Conn,
    H: Handler,
    F: Ahead<H>,
{
    /// Passes on the next head if it can be read with the present limits. If not, nothing is passed
    /// on, which ends this instance of the HTTP library.
    fn poll_head(&mut self, cx: &mut Context<'_>, out: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let start = out.filled().len();
        loop {
            if self.signal.next_limits.get().is_some() {
                return Poll::Ready(Ok(()));
            }
            if self.head_left > 0 {
                return self.poll_admitted(cx, out);
            }
            if self.signal.has_unread.get()
                && let Some(head) = self.pipeline.next_head(&mut self.scan)
            {
                if head.bytes() == 0 {
                    // It was passed on, but the HTTP library did not take it for a head.
                    return Poll::Ready(Err(io::Error::other(Mismatch)));
                }
                self.admit(head);
                continue;
            }
            let polled = Pin::new(&mut self.conn).poll_read(cx, out);
            let read = &out.filled()[start..];
            if read.is_empty() {
                // The end of the connection follows what has arrived of a head.
                let is_end = matches!(polled, Poll::Ready(Ok(())));
                if is_end && self.signal.has_unread.get() {
                    self.admit(NextHead::UNKNOWN);
                    continue;
                }
                return polled;
            }
            if !self.signal.has_unread.get()
                && let Extent::Complete { bytes, fields } = self.scan.scan(read)
                && self.admit(NextHead::Unstarted { bytes, fields })
            {
                self.head_left = 0;
                if bytes < read.len() {
                    self.pipeline.push_unread(cx, &read[bytes..]);
                    out.set_filled(start + bytes);
                }
                return polled;
            }
            self.pipeline.push_unread(cx, read);
            out.set_filled(start);
        }
    }

    fn admit(&mut self, head: NextHead) -> bool {
        self.scan = HeadScan::default();
        let is_admitted = self.pipeline.admit(head);
        if is_admitted {
            self.head_left = head.bytes();
        }
        is_admitted
    }

    /// Passes on the rest of a head that can be read with the present limits.
    fn poll_admitted(
        &mut self,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.signal.has_unread.get() {
            return Pin::new(&mut self.conn).poll_read(cx, out);
        }
        let start = out.filled().len();
        let left = self.head_left;
        let polled = self
            .pipeline
            .take_unread(out, |queue, max| queue.take(max.min(left)));
        if left != NextHead::UNKNOWN.bytes() {
            self.head_left -= out.filled().len() - start;
        }
        polled
    }

    /// Passes on the body of the request, and keeps what follows it.
    fn poll_body(&mut self, cx: &mut Context<'_>, out: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let body = &mut self.body;
        if self.signal.has_unread.get() {
            return self
                .pipeline
                .take_unread(out, |queue, max| queue.take_body(max, body));
        }
        let start = out.filled().len();
        let polled = Pin::new(&mut self.conn).poll_read(cx, out);
        let read = &out.filled()[start..];
        let size = body.take(read);
        if size < read.len() {
            self.pipeline.push_unread(cx, &read[size..]);
            out.set_filled(start + size);
        }
        polled
    }

    /// Reads what the caller sends behind the request in progress; passes on only its end. Where
    /// there is no room to read further, the end may be behind bytes that stay unread.
    fn poll_behind(&mut self, cx: &mut Context<'_>, out: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let start = out.filled().len();
        while !self.pipeline.is_full() {
            self.end = None;
            match Pin::new(&mut self.conn).poll_read(cx, out) {
                Poll::Ready(Ok(())) if out.filled().len() > start => {
                    self.pipeline.push_unread(cx, &out.filled()[start..]);
                    out.set_filled(start);
                }
                polled => return polled,
            }
        }
        if self.end.is_none() {
            self.end = self.pipeline.watch_end(|| self.conn.end());
        }
        let Some(end) = &mut self.end else {
            return Poll::Pending;
        };
        let polled = Pin::new(end).poll(cx);
        if polled.is_ready() {
            self.pipeline.count_end();
        }
        polled.map(Ok)
    }
}

impl<C, H, F> AsyncRead for PipelineConn<C, H, F>
where
    C: Conn,
    H: Handler,
    F: Ahead<H>,
{
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if let Some(body) = this.signal.take_body() {
            (this.body, this.head_left) = (body, 0);
        }
        if this.body != RequestBody::Ended {
            return this.poll_body(cx, out);
        }
        match this.signal.phase() {
            // The HTTP library has taken the last response, but not written it. It reads only to
            // notice the end of the connection, for which it would take an empty read.
            Phase::Idle if this.signal.is_blocked.get() => this.poll_behind(cx, out),
            Phase::Idle => this.poll_head(cx, out),
            Phase::Begun | Phase::Open | Phase::Shut | Phase::Opaque => this.poll_behind(cx, out),
        }
    }
}

impl<C, H, F> PipelineConn<C, H, F>
where
    C: Conn,
    H: Handler,
{
    fn note_write<T>(&self, polled: Poll<T>) -> Poll<T> {
        let was_blocked = self.signal.is_blocked.replace(polled.is_pending());
        if was_blocked && polled.is_ready() && self.signal.has_unread.get() {
            self.signal.wake();
        }
        polled
    }
}

impl<C, H, F> AsyncWrite for PipelineConn<C, H, F>
where
    C: Conn,
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
        if self.signal.next_limits.get().is_some() {
            return Poll::Ready(Ok(()));
        }
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
