//! A caller that writes bytes of its own choice to a node and reads the answers one by one.

use super::{
    mesh::{MeshFleet, OUTBOUND},
    *,
};

/// An answer as it was received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Received {
    pub status: u16,
    pub body: Vec<u8>,
    /// Whether it announces the end of the connection.
    pub closes: bool,
}

/// A connection to the listener for callers of a node.
pub struct Caller<C = <MemoryNet as Net>::Conn>(pub C);

impl Caller {
    pub async fn dial(fleet: &MeshFleet, name: &str) -> Self {
        let ip = fleet.pairs[name].entry.address.ip();
        let net = fleet.network.net(ip, Process::default());
        Self(net.dial(SocketAddr::new(ip, OUTBOUND)).await.unwrap())
    }
}

impl<C: AsyncRead + AsyncWrite + Unpin> Caller<C> {
    pub async fn write(&mut self, bytes: impl AsRef<[u8]>) {
        self.0.write_all(bytes.as_ref()).await.unwrap();
        self.0.flush().await.unwrap();
    }

    /// The next answer; `None` at the end of the connection.
    pub async fn answer(&mut self) -> Option<Received> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(self.0.read_u8().await.ok()?);
        }
        let head = String::from_utf8(head).unwrap().to_ascii_lowercase();
        let line = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
        let length = line("content-length: ").map_or(0, |text| text.parse().unwrap());
        let body = match line("transfer-encoding: ") {
            Some(_) => self.chunks().await?,
            None => self.bytes(length).await?,
        };
        Some(Received {
            status: head.split(' ').nth(1).unwrap().parse().unwrap(),
            body,
            closes: line("connection: ") == Some("close"),
        })
    }

    async fn bytes(&mut self, length: usize) -> Option<Vec<u8>> {
        let mut bytes = vec![0; length];
        self.0.read_exact(&mut bytes).await.ok()?;
        Some(bytes)
    }

    async fn chunks(&mut self) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let mut line = Vec::new();
            while !line.ends_with(b"\r\n") {
                line.push(self.0.read_u8().await.ok()?);
            }
            let size = String::from_utf8(line).unwrap();
            let size = usize::from_str_radix(size.trim(), 16).unwrap();
            body.extend(self.bytes(size).await?);
            self.bytes(2).await?;
            if size == 0 {
                return Some(body);
            }
        }
    }

    /// The next answers, up to `count` or the end of the connection.
    pub async fn answers(&mut self, count: usize) -> Vec<Received> {
        let mut all = Vec::new();
        while all.len() < count {
            let Some(answer) = self.answer().await else {
                break;
            };
            all.push(answer);
        }
        all
    }
}

/// A request without a body, with `path` as its id.
pub fn get(path: &str) -> String {
    with_lines("GET", path, "")
}

/// A request without a body and with further lines in its head.
pub fn with_lines(method: &str, path: &str, lines: &str) -> String {
    let left = "x-left: 8000";
    format!("{method} {path} HTTP/1.1\r\nhost: h\r\nx-id: {path}\r\n{left}\r\n{lines}\r\n")
}
