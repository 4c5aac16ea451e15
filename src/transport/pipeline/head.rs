//! Heads of requests that wait behind another request on their connection.

use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, Version,
    header::{CONNECTION, CONTENT_LENGTH, EXPECT, TRAILER, TRANSFER_ENCODING, UPGRADE},
    request::Parts,
};

use super::super::server::HEADERS_MAX;

const HEAD_END: &[u8] = b"\r\n\r\n";

/// What the unread bytes of a connection begin with.
#[derive(Debug)]
pub enum Head {
    /// The end of the head has not arrived.
    Partial,
    /// A head without a body, and its length in bytes. Any HTTP/1.1 parser reads it the same way.
    Complete(Box<Parts>, usize),
    /// A head that is left to the HTTP library, because it announces a body, changes the connection,
    /// or is malformed or unusual.
    Opaque,
}

/// Reads the head at the beginning of `bytes`.
///
/// ```
/// use comfreybay::transport::pipeline::head::{Head, read};
/// let bytes = b"GET /a HTTP/1.1\r\nhost: h\r\n\r\nGET";
/// assert!(matches!(read(bytes), Head::Complete(_, 28)));
/// assert!(matches!(read(&bytes[..20]), Head::Partial));
/// ```
pub fn read(bytes: &[u8]) -> Head {
    let Some(at) = memchr::memmem::find(bytes, HEAD_END) else {
        return Head::Partial;
    };
    let length = at + HEAD_END.len();
    match parse(&bytes[..length]) {
        Some(head) => Head::Complete(Box::new(head), length),
        None => Head::Opaque,
    }
}

fn parse(bytes: &[u8]) -> Option<Parts> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut parsed = httparse::Request::new(&mut headers);
    let whole = httparse::Status::Complete(bytes.len());
    if parsed.parse(bytes).ok()? != whole || parsed.version != Some(1) || has_odd_lines(bytes) {
        return None;
    }
    let method = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    let target = parsed.path.filter(|path| path.starts_with('/'))?;
    if !is_idempotent(&method) {
        return None;
    }
    let mut request = Request::new(());
    *request.uri_mut() = Uri::try_from(target).ok()?;
    *request.method_mut() = method;
    *request.version_mut() = Version::HTTP_11;
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(header.value).ok()?;
        if !is_plain(&name, &value) {
            return None;
        }
        request.headers_mut().append(name, value);
    }
    let lengths = request.headers().get_all(CONTENT_LENGTH).iter().count();
    (lengths <= 1).then(|| request.into_parts().0)
}

/// Whether a line does not end with CR LF, or is empty before the end of the head.
fn has_odd_lines(bytes: &[u8]) -> bool {
    let mut ends = memchr::memchr_iter(b'\n', bytes);
    bytes[0] == b'\r' || ends.any(|at| at == 0 || bytes[at - 1] != b'\r')
}

fn is_idempotent(method: &Method) -> bool {
    method.is_safe() && method != Method::TRACE || [Method::PUT, Method::DELETE].contains(method)
}

/// Whether a header leaves the connection and the framing of the request as they are.
fn is_plain(name: &HeaderName, value: &HeaderValue) -> bool {
    if name == CONTENT_LENGTH {
        return value == "0";
    }
    if name == CONNECTION {
        return value.as_bytes().eq_ignore_ascii_case(b"keep-alive");
    }
    ![EXPECT, TRAILER, TRANSFER_ENCODING, UPGRADE].contains(name)
}

/// Whether the HTTP library keeps the connection as it is after the response to a request with these
/// headers.
pub fn keeps_connection(version: Version, headers: &HeaderMap) -> bool {
    let is_keep_alive = |value: &HeaderValue| is_plain(&CONNECTION, value);
    version == Version::HTTP_11
        && headers.get_all(CONNECTION).iter().all(is_keep_alive)
        && !headers.contains_key(UPGRADE)
}

/// What is known of the head that unread bytes begin with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Extent {
    /// Its end has not arrived.
    Partial,
    /// It has these numbers of bytes and of fields.
    Complete {
        /// Bytes with those of empty lines before it.
        bytes: usize,
        /// Number of lines behind the request line.
        fields: usize,
    },
    /// It does not begin with a method; the HTTP library refuses it.
    Odd,
}

/// Finds the end and the number of fields of a head in bytes that arrive in parts.
///
/// It only decides how many bytes the HTTP library gets at once and with which limits it reads them;
/// nothing is started because of it. Lines may end with LF alone, as the library accepts them.
#[derive(Debug, Default)]
pub struct HeadScan {
    scanned: usize,
    line_start: usize,
    /// Lines that are not empty.
    lines: usize,
}

impl HeadScan {
    /// The extent of the head at the beginning of `bytes`, which are those of the calls before and
    /// further ones.
    ///
    /// ```
    /// use comfreybay::transport::pipeline::head::{Extent, HeadScan};
    /// let mut scan = HeadScan::default();
    /// let head = b"GET / HTTP/1.1\r\nhost: a\r\nx: 1\r\n\r\nGET";
    /// assert_eq!(scan.scan(&head[..20]), Extent::Partial);
    /// let (bytes, fields) = (head.len() - 3, 2);
    /// assert_eq!(scan.scan(head), Extent::Complete { bytes, fields });
    /// ```
    pub fn scan(&mut self, bytes: &[u8]) -> Extent {
        let is_begin = |byte: &u8| byte.is_ascii_alphabetic() || [b'\r', b'\n'].contains(byte);
        if !bytes.first().is_none_or(is_begin) {
            return Extent::Odd;
        }
        let from = std::mem::replace(&mut self.scanned, bytes.len());
        for at in memchr::memchr_iter(b'\n', &bytes[from..]) {
            let line = &bytes[self.line_start..from + at];
            self.line_start = from + at + 1;
            if !matches!(line, b"" | b"\r") {
                self.lines += 1;
            } else if self.lines > 0 {
                return Extent::Complete {
                    bytes: self.line_start,
                    fields: self.lines - 1,
                };
            }
        }
        Extent::Partial
    }
}
