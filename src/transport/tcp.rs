//! The TCP network of the operating system.

use std::{
    io,
    net::{IpAddr, SocketAddr},
};

use tokio::net::{TcpListener, TcpSocket, TcpStream};

use super::net::{Listener, Net};

const BACKLOG: u32 = 1_024;

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
