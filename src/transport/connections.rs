//! Adapters that report the progress of a connection and of its requests to the table of the
//! listener.

use std::{
    cell::RefCell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::Instant,
};

use super::net::Conn;
use crate::state::connections::Connection;

/// A connection that reports what it has read and written.
#[derive(Debug)]
pub struct Watched<C> {
    conn: C,
    connection: Rc<Connection>,
}

impl<C> Watched<C> {
    /// Reports the progress of `conn` to `connection`.
    pub fn new(conn: C, connection: Rc<Connection>) -> Self {
        Self { conn, connection }
    }

    fn report<T>(&self, written: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        match &written {
            Poll::Ready(_) => self.connection.sent(Instant::now()),
            Poll::Pending => self.connection.blocked(Instant::now()),
        }
        written
    }
}

impl<C: AsyncRead + Unpin> AsyncRead for Watched<C> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.conn).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.connection.received(Instant::now());
        }
        read
    }
}

impl<C: AsyncWrite + Unpin> AsyncWrite for Watched<C> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.conn).poll_write(cx, buf);
        self.report(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.conn).poll_write_vectored(cx, bufs);
        self.report(written)
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

impl<C: Conn> Conn for Watched<C> {
    type End = C::End;

    fn end(&self) -> C::End {
        self.conn.end()
    }
}

/// A connection that several instances of the HTTP library use, one after the other.
#[derive(Debug)]
pub struct Reused<C>(Rc<RefCell<C>>);

impl<C> Reused<C> {
    /// A connection that outlives the instance of the HTTP library which gets a clone.
    pub fn new(conn: C) -> Self {
        Self(Rc::new(RefCell::new(conn)))
    }
}

impl<C> Clone for Reused<C> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<C: AsyncRead + Unpin> AsyncRead for Reused<C> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_read(cx, buf)
    }
}

impl<C: AsyncWrite + Unpin> AsyncWrite for Reused<C> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_shutdown(cx)
    }
}

/// Counts a request of a connection until it is dropped.
#[derive(Debug)]
pub struct RequestGuard(Rc<Connection>);

impl RequestGuard {
    /// Counts a request that was read on `connection`.
    pub fn start(connection: &Rc<Connection>) -> Self {
        connection.request_started();
        Self(connection.clone())
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.request_ended(Instant::now());
    }
}

/// Body of an answer, until whose end the request is in progress.
#[derive(Debug)]
pub struct Tracked<B> {
    body: B,
    _request: RequestGuard,
}

impl<B> Tracked<B> {
    /// Keeps the guard until the body is dropped.
    pub fn new(body: B, request: RequestGuard) -> Self {
        Self {
            body,
            _request: request,
        }
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for Tracked<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
