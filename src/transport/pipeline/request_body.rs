//! End of the body of a request, in the bytes that the HTTP library gets.

use httparse::{Status, parse_chunk_size};

/// Longest line with the size of a chunk that is parsed. Ordinary ones have some bytes.
const SIZE_LINE_MAX_BYTES: usize = 256;
/// Bytes of the line end behind the data of a chunk.
const LINE_END_BYTES: u64 = 2;

/// Finds where a body ends, so that what follows it can be held back.
///
/// A body that it can't parse has no end here: the HTTP library gets all bytes as they arrive, and
/// refuses the body or closes the connection.
#[derive(Debug, Default, PartialEq, Eq)]
pub enum RequestBody {
    /// Nothing is left of the body.
    #[default]
    Ended,
    /// This many bytes are left.
    Length(u64),
    /// A line with the size of a chunk, as far as it has arrived.
    Size(Vec<u8>),
    /// Bytes that are left of a chunk and its line end.
    Chunk(u64),
    /// Behind the last chunk; the number of bytes of the present line.
    Trailers(usize),
    /// The end is not known.
    Endless,
}

impl RequestBody {
    /// A body of a known length, or in chunks.
    pub fn new(length: Option<u64>) -> Self {
        match length {
            Some(0) => Self::Ended,
            Some(length) => Self::Length(length),
            None => Self::Size(Vec::new()),
        }
    }

    /// Takes the bytes of the body that `bytes` begin with, and returns their number.
    ///
    /// ```
    /// use comfreybay::transport::pipeline::request_body::RequestBody;
    /// let mut body = RequestBody::new(None);
    /// assert_eq!(body.take(b"3\r\nabc\r"), 7);
    /// assert_eq!(body.take(b"\n0\r\n\r\nGET"), 6);
    /// assert_eq!(body, RequestBody::Ended);
    /// ```
    pub fn take(&mut self, bytes: &[u8]) -> usize {
        let mut taken = 0;
        while taken < bytes.len() && *self != Self::Ended {
            taken += self.take_part(&bytes[taken..]);
        }
        taken
    }

    fn take_part(&mut self, bytes: &[u8]) -> usize {
        match self {
            Self::Ended => 0,
            Self::Endless => bytes.len(),
            Self::Length(left) | Self::Chunk(left) => {
                let size = usize::try_from(*left).map_or(bytes.len(), |left| left.min(bytes.len()));
                *left -= size as u64;
                if *left == 0 {
                    *self = match self {
                        Self::Length(_) => Self::Ended,
                        _ => Self::Size(Vec::new()),
                    };
                }
                size
            }
            Self::Size(line) => {
                let end = memchr::memchr(b'\n', bytes).map(|at| at + 1);
                let size = end.unwrap_or(bytes.len());
                if line.len() + size > SIZE_LINE_MAX_BYTES {
                    *self = Self::Endless;
                    return size;
                }
                line.extend_from_slice(&bytes[..size]);
                if end.is_some() {
                    *self = match parse_chunk_size(line) {
                        Ok(Status::Complete((_, 0))) => Self::Trailers(0),
                        Ok(Status::Complete((_, data))) => {
                            Self::Chunk(data.saturating_add(LINE_END_BYTES))
                        }
                        _ => Self::Endless,
                    };
                }
                size
            }
            Self::Trailers(line) => {
                let Some(end) = memchr::memchr(b'\n', bytes) else {
                    *line += bytes.len();
                    return bytes.len();
                };
                // An empty line has a CR only.
                *self = match *line + end {
                    ..=1 => Self::Ended,
                    _ => Self::Trailers(0),
                };
                end + 1
            }
        }
    }
}
