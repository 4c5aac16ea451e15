//! Minimal HTTP/1.1 for the stand-ins: one request at a time on a connection.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
    time::{Duration, Instant},
};

/// A request or a response: its first line, headers with names in lower case, and body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, v)| v)
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        let word = self.first.split(' ').nth(1).unwrap_or_default();
        word.parse().unwrap_or(0)
    }

    /// Target of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Conn {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            rest: Vec::new(),
        }
    }

    /// Reads more bytes; `Ok(0)` at the end of the stream.
    fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 16_384];
        let n = self.stream.read(&mut buffer)?;
        self.rest.extend_from_slice(&buffer[..n]);
        Ok(n)
    }

    /// Reads the next message; `None` if the peer has closed the connection before its first byte.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let cut = || io::Error::new(io::ErrorKind::UnexpectedEof, "the message is cut short");
        let end = loop {
            if let Some(at) = find(&self.rest, b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return if self.rest.is_empty() {
                    Ok(None)
                } else {
                    Err(cut())
                };
            }
        };
        let head = String::from_utf8_lossy(&self.rest[..end]).into_owned();
        self.rest.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let headers: Vec<_> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let mut message = Message {
            first,
            headers,
            body: Vec::new(),
        };
        if message.header("transfer-encoding") == "chunked" {
            loop {
                let line = loop {
                    if let Some(at) = find(&self.rest, b"\r\n") {
                        break at;
                    }
                    if self.fill()? == 0 {
                        return Err(cut());
                    }
                };
                let size = String::from_utf8_lossy(&self.rest[..line]).into_owned();
                let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
                let size = size.map_err(|_| cut())?;
                while self.rest.len() < line + 2 + size + 2 {
                    if self.fill()? == 0 {
                        return Err(cut());
                    }
                }
                let data = &self.rest[line + 2..line + 2 + size];
                message.body.extend_from_slice(data);
                self.rest.drain(..line + 2 + size + 2);
                if size == 0 {
                    return Ok(Some(message));
                }
            }
        }
        let length: usize = message.header("content-length").parse().unwrap_or(0);
        while self.rest.len() < length {
            if self.fill()? == 0 {
                return Err(cut());
            }
        }
        message.body = self.rest.drain(..length).collect();
        Ok(Some(message))
    }

    /// Writes a message, with its length.
    pub fn write(
        &mut self,
        first: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut text = format!("{first}\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    /// Writes a response with a body of `length` equal bytes, in pieces.
    pub fn write_long(&mut self, headers: &[(&str, String)], length: usize) -> io::Result<()> {
        let mut text = "HTTP/1.1 200 OK\r\n".to_owned();
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {length}\r\n\r\n"));
        self.stream.write_all(text.as_bytes())?;
        let piece = [b'p'; 65_536];
        let mut left = length;
        while left > 0 {
            let n = left.min(piece.len());
            self.stream.write_all(&piece[..n])?;
            left -= n;
        }
        Ok(())
    }

    /// Waits for `time`; returns whether the peer has closed the connection meanwhile.
    pub fn closed_within(&mut self, time: Duration) -> bool {
        let end = Instant::now() + time;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                let _ = self.stream.set_read_timeout(None);
                return false;
            }
            let _ = self
                .stream
                .set_read_timeout(Some(left.max(Duration::from_millis(1))));
            match self.stream.peek(&mut [0]) {
                Ok(0) => return true,
                // Bytes of a further request: the connection is open.
                Ok(_) => std::thread::sleep(left.min(Duration::from_millis(20))),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) if e.kind() == io::ErrorKind::TimedOut => {}
                Err(_) => return true,
            }
        }
    }
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|w| w == what)
}

/// Standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word =
            chunk.iter().fold(0_u32, |w, b| w << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => text.push(DIGITS[(word >> (18 - 6 * digit)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}
