//! A backend server that reads and writes bytes, for answers that no HTTP library would write.

use super::*;

/// A request as the stand-in has received it.
#[derive(Debug, Clone)]
pub struct Received {
    pub path: String,
    pub id: String,
}

/// One connection to the stand-in.
pub struct RawConn {
    conn: <MemoryNet as Net>::Conn,
    /// Requests read on this connection.
    pub count: usize,
}

impl RawConn {
    /// Reads the next request and its body of 4 bytes, of which the last byte stays unread if
    /// `resets`: the connection is then reset when it is dropped.
    pub async fn read(&mut self, resets: bool) -> Option<Received> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(self.conn.read_u8().await.ok()?);
        }
        let head = String::from_utf8(head).unwrap();
        if head.contains("content-length: 4\r\n") {
            let mut body = vec![0; if resets { 3 } else { 4 }];
            self.conn.read_exact(&mut body).await.ok()?;
        }
        self.count += 1;
        let id = head.lines().find_map(|line| line.strip_prefix("x-id: "));
        Some(Received {
            path: head.split(' ').nth(1).unwrap().to_owned(),
            id: id.unwrap_or_default().to_owned(),
        })
    }

    /// Writes bytes; `false` if the peer has closed the connection.
    pub async fn write(&mut self, bytes: &[u8]) -> bool {
        let written = self.conn.write_all(bytes).await;
        written.is_ok() && self.conn.flush().await.is_ok()
    }

    /// Waits until the peer closes the connection.
    pub async fn closed(&mut self) {
        while self.conn.read_u8().await.is_ok() {}
    }
}

/// Serves each connection at `at` with `serve`.
async fn serve_raw<F: Future<Output = ()> + 'static>(
    net: MemoryNet,
    at: SocketAddr,
    serve: impl Fn(RawConn) -> F + 'static,
) {
    let mut listener = net.bind(at).await.unwrap();
    while let Ok((conn, _)) = listener.accept().await {
        tokio::task::spawn_local(serve(RawConn { conn, count: 0 }));
    }
}

async fn replace<F: Future<Output = ()> + 'static>(
    network: &Network,
    server: &Process,
    at: SocketAddr,
    serve: impl Fn(RawConn) -> F + 'static,
) {
    server.crash();
    let net = network.net(at.ip(), Process::default());
    tokio::task::spawn_local(serve_raw(net, at, serve));
    tokio::time::sleep(Duration::from_millis(500)).await;
}

impl mesh::MeshFleet {
    /// Replaces the server of a pair by a stand-in.
    pub async fn replace_server<F: Future<Output = ()> + 'static>(
        &self,
        name: &str,
        serve: impl Fn(RawConn) -> F + 'static,
    ) {
        let pair = &self.pairs[name];
        replace(&self.network, &pair.server, pair.entry.address, serve).await;
    }
}

impl Fleet {
    /// Replaces the server of an upstream by a stand-in.
    pub async fn replace_server<F: Future<Output = ()> + 'static>(
        &self,
        name: &str,
        serve: impl Fn(RawConn) -> F + 'static,
    ) {
        let member = &self.members[name];
        replace(&self.network, &member.server, member.settings.server, serve).await;
    }
}
