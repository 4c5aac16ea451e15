//! The TCP network of the operating system.

use std::{
    future::Future,
    io,
    net::{IpAddr, SocketAddr},
    os::fd::AsFd,
    pin::Pin,
    task::{Context, Poll, ready},
};

use futures::FutureExt;
use tokio::{
    io::Interest,
    net::{TcpListener, TcpSocket, TcpStream},
};

use super::net::{Conn, Listener, Net};

const BACKLOG: u32 = 1_024;
/// Receive buffer of accepted connections. It bounds what a client can leave unread in the kernel,
/// which counts as memory of the process; at 3 ms of round trip it passes 10 MB a second.
const ACCEPTED_BUFFER_BYTES: u32 = 32 * 1_024;
/// Receive buffer of connections to servers, other nodes and the store.
const DIALLED_BUFFER_BYTES: u32 = 64 * 1_024;

/// TCP network whose outgoing connections use one local address.
#[derive(Debug, Clone)]
pub struct TcpNet {
    host: IpAddr,
}

impl TcpNet {
    /// A network that opens connections from `host`.
    pub fn new(host: IpAddr) -> Self {
        Self { host }
    }
}

impl Net for TcpNet {
    type Conn = TcpStream;
    type Listener = TcpListener;

    async fn dial(&self, to: SocketAddr) -> io::Result<TcpStream> {
        let socket = if to.is_ipv4() {
            TcpSocket::new_v4()?
        } else {
            TcpSocket::new_v6()?
        };
        socket.set_recv_buffer_size(DIALLED_BUFFER_BYTES)?;
        socket.bind(SocketAddr::new(self.host, 0))?;
        let conn = socket.connect(to).await?;
        conn.set_nodelay(true)?;
        Ok(conn)
    }

    async fn bind(&self, at: SocketAddr) -> io::Result<TcpListener> {
        let socket = if at.is_ipv4() {
            TcpSocket::new_v4()?
        } else {
            TcpSocket::new_v6()?
        };
        socket.set_reuseaddr(true)?;
        // Accepted connections inherit it.
        socket.set_recv_buffer_size(ACCEPTED_BUFFER_BYTES)?;
        socket.bind(at)?;
        socket.listen(BACKLOG)
    }
}

impl Conn for TcpStream {
    type End = TcpEnd;

    fn end(&self) -> TcpEnd {
        let watched = || -> io::Result<_> {
            let fd = self.as_fd().try_clone_to_owned()?;
            TcpStream::from_std(fd.into())
        };
        let conn = watched().inspect_err(|error| {
            log::debug!(error:%; "end of a connection can't be waited for");
        });
        TcpEnd(conn.ok())
    }
}

/// Waits for the end of a connection on a descriptor of its own, from which nothing is read: the
/// events of the connection's own descriptor wake nobody while bytes are left unread.
#[derive(Debug)]
pub struct TcpEnd(Option<TcpStream>);

impl Future for TcpEnd {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let Some(conn) = &self.0 else {
            return Poll::Pending;
        };
        loop {
            if ready!(conn.poll_read_ready(cx)).is_err() {
                return Poll::Pending;
            }
            match conn.ready(Interest::READABLE).now_or_never() {
                Some(Ok(ready)) if ready.is_read_closed() => return Poll::Ready(()),
                _ => {}
            }
            // Waits for the next event instead of for the bytes that have arrived.
            let _: io::Result<()> =
                conn.try_io(Interest::READABLE, || Err(io::ErrorKind::WouldBlock.into()));
        }
    }
}

impl Listener for TcpListener {
    type Conn = TcpStream;

    async fn accept(&mut self) -> io::Result<(TcpStream, SocketAddr)> {
        let (conn, from) = TcpListener::accept(self).await?;
        conn.set_nodelay(true)?;
        Ok((conn, from))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        TcpListener::local_addr(self)
    }
}
