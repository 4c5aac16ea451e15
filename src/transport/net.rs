//! Abstraction of the network: TCP or in memory.

use std::{
    future::{Future, Pending},
    io,
    net::SocketAddr,
};

use tokio::io::{AsyncRead, AsyncWrite, DuplexStream};

/// The network of one host, which opens connections from the address of that host.
#[allow(
    async_fn_in_trait,
    reason = "all tasks run on one thread and need no Send bound"
)]
pub trait Net: Clone + 'static {
    /// A connection.
    type Conn: Conn;
    /// A bound listener.
    type Listener: Listener<Conn = Self::Conn> + 'static;

    /// Opens a connection to `to`.
    ///
    /// # Errors
    /// The remote host refuses or resets the connection, or can't be reached.
    async fn dial(&self, to: SocketAddr) -> io::Result<Self::Conn>;

    /// Listens at `at`.
    ///
    /// # Errors
    /// The address is in use or doesn't belong to this host.
    async fn bind(&self, at: SocketAddr) -> io::Result<Self::Listener>;
}

/// A connection.
pub trait Conn: AsyncRead + AsyncWrite + Unpin + 'static {
    /// Completes when the remote end has closed or reset the connection.
    type End: Future<Output = ()> + Unpin + 'static;

    /// Waits for the end of the connection without reading the bytes before it. A connection whose
    /// end can't be seen so does not complete it.
    fn end(&self) -> Self::End;
}

impl Conn for DuplexStream {
    type End = Pending<()>;

    fn end(&self) -> Pending<()> {
        std::future::pending()
    }
}

/// A bound listener.
#[allow(
    async_fn_in_trait,
    reason = "all tasks run on one thread and need no Send bound"
)]
pub trait Listener {
    /// A connection.
    type Conn: Conn;

    /// Waits for the next connection; returns it with the address of its remote end.
    ///
    /// # Errors
    /// The listener is closed or the process is out of descriptors.
    async fn accept(&mut self) -> io::Result<(Self::Conn, SocketAddr)>;

    /// The address that the listener is bound to.
    ///
    /// # Errors
    /// The listener is closed.
    fn local_addr(&self) -> io::Result<SocketAddr>;
}
