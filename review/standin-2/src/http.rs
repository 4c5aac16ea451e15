//! Reading and writing of HTTP/1.1 messages over blocking sockets.

use std::io::{self, Read};

/// A message head and the bytes that were read behind it.
pub struct Head {
    /// Request line or status line.
    pub line: String,
    /// Fields with names in lower case.
    pub fields: Vec<(String, String)>,
    /// Bytes behind the head.
    pub rest: Vec<u8>,
}

impl Head {
    /// The value of the first field with this name; empty if there is none.
    pub fn get(&self, name: &str) -> &str {
        let found = self.fields.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, value)| value)
    }

    /// The status of a response; 0 if the line is not a status line.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// The value of `Content-Length`; 0 if there is none.
    pub fn length(&self) -> usize {
        self.get("content-length").parse().unwrap_or(0)
    }
}

/// Reads a head that begins with `rest`; `None` at the end of the connection.
pub fn read_head(conn: &mut impl Read, mut rest: Vec<u8>) -> io::Result<Option<Head>> {
    let mut buffer = [0; 16 * 1_024];
    loop {
        if let Some(at) = rest.windows(4).position(|w| w == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&rest[..at]).into_owned();
            let rest = rest[at + 4..].to_vec();
            let mut lines = text.split("\r\n");
            let line = lines.next().unwrap_or_default().to_owned();
            let fields = lines.filter_map(|l| l.split_once(':'));
            let fields = fields.map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()));
            let fields = fields.collect();
            return Ok(Some(Head { line, fields, rest }));
        }
        let size = conn.read(&mut buffer)?;
        if size == 0 {
            return Ok(None);
        }
        rest.extend_from_slice(&buffer[..size]);
    }
}

/// Reads `length` bytes of a body that begins with `rest`; returns the body and what follows it.
pub fn read_body(
    conn: &mut impl Read,
    mut rest: Vec<u8>,
    length: usize,
) -> io::Result<(Vec<u8>, Vec<u8>)> {
    let mut buffer = [0; 64 * 1_024];
    while rest.len() < length {
        let size = conn.read(&mut buffer)?;
        if size == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        rest.extend_from_slice(&buffer[..size]);
    }
    let behind = rest.split_off(length);
    Ok((rest, behind))
}
