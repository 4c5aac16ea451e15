//! Minimal HTTP/1.1 for the stand-ins: one message at a time on a blocking connection.

use std::{
    io::{Error, ErrorKind, Read, Result, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or_default()
    }

    /// A parameter of the query of a request.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, value)| value)
    }
}

fn broken(text: &str) -> Error {
    Error::new(ErrorKind::UnexpectedEof, text)
}

/// Reads one message; `None` if the connection ends before its first byte.
pub fn read(conn: &mut TcpStream) -> Result<Option<Message>> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if conn.read(&mut byte)? == 0 {
            return match head.is_empty() {
                true => Ok(None),
                false => Err(broken("connection ended within a head")),
            };
        }
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head);
    let mut lines = text.split("\r\n");
    let start = lines.next().unwrap_or_default().to_owned();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()));
    let mut message = Message {
        start,
        headers: headers.collect(),
        body: Vec::new(),
    };
    if message.header("transfer-encoding").is_some() {
        message.body = read_chunks(conn)?;
    } else if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(|_| broken("malformed length"))?;
        message.body = vec![0; length];
        conn.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

fn read_line(conn: &mut TcpStream) -> Result<String> {
    let (mut line, mut byte) = (Vec::new(), [0]);
    while !line.ends_with(b"\r\n") {
        conn.read_exact(&mut byte)?;
        line.push(byte[0]);
    }
    Ok(String::from_utf8_lossy(&line).trim().to_owned())
}

fn read_chunks(conn: &mut TcpStream) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let size = usize::from_str_radix(&read_line(conn)?, 16);
        let size = size.map_err(|_| broken("malformed chunk"))?;
        let mut chunk = vec![0; size];
        conn.read_exact(&mut chunk)?;
        read_line(conn)?;
        if size == 0 {
            return Ok(body);
        }
        body.extend(chunk);
    }
}

/// Writes a message with its length.
pub fn write(
    conn: &mut TcpStream,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<()> {
    let mut bytes = format!("{start}\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").into_bytes());
    }
    bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
    bytes.extend(body);
    conn.write_all(&bytes)
}

/// Sends a request on a new connection and reads the response.
pub fn exchange(
    to: SocketAddr,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    time_limit: Duration,
) -> Result<Message> {
    let end = Instant::now() + time_limit;
    let mut conn = TcpStream::connect_timeout(&to, time_limit.min(Duration::from_secs(1)))?;
    conn.set_nodelay(true)?;
    let left = end.saturating_duration_since(Instant::now());
    conn.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    write(&mut conn, start, headers, body)?;
    read(&mut conn)?.ok_or_else(|| broken("connection closed without a response"))
}
