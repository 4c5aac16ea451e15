//! The TCP network of the operating system.

use std::{
    io,
    net::{IpAddr, SocketAddr},
};

use tokio::net::{TcpListener, TcpSocket, TcpStream};

use super::net::{Listener, Net};

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
