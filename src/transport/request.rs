//! Validation and buffering of requests, shared by all listeners.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{
    HeaderMap, HeaderValue, Method, Request, StatusCode, Uri, Version,
    header::{CONTENT_LENGTH, EXPECT, HOST, TRANSFER_ENCODING},
    request::Parts,
    uri::{Authority, PathAndQuery, Scheme},
};
use hyper::body::Incoming;
use thiserror::Error;
use tokio::time::Instant;

use crate::{
    protocol::hop::{remove_hop_by_hop, remove_internal},
    state::{
        held::FingerprintHasher,
        id::{Fingerprint, ServiceName},
        memory::{Charge, MemoryBudget},
    },
};

use super::{
    body::{BodyError, read_request},
    chunks::Chunks,
    parts::NodeContext as Node,
};

/// Size limit of a request body.
pub const BODY_MAX_BYTES: usize = 2 * 1_024 * 1_024;
/// Time limit for reading a request body.
pub const BODY_TIMEOUT_MS: u64 = 10_000;

const TARGET_MAX_BYTES: usize = 8 * 1_024;
const FINGERPRINT_BODY_MAX_BYTES: usize = 64 * 1_024;

/// Why a request is rejected before it is processed.
#[derive(Debug, Error)]
pub enum RequestError {
    /// Framing that two HTTP parsers could interpret differently.
    #[error("could not accept the request: its framing is ambiguous")]
    Framing,
    /// An HTTP version before 1.1, which has no chunked bodies, so that only the end of the
    /// connection could mark the end of a response.
    #[error("could not accept the request: HTTP/1.1 or HTTP/2 is required")]
    Version,
    /// A method that is addressed to the proxy itself and not forwarded: CONNECT or TRACE.
    #[error("could not accept the request: method {0} is not passed on")]
    Method(Method),
    /// A target that is too long or has no path.
    #[error("could not accept the request: its target is too long or has no path")]
    Target,
    /// The body could not be read.
    #[error(transparent)]
    Body(#[from] BodyError),
}

impl RequestError {
    /// Status of the response to the caller.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Framing => StatusCode::BAD_REQUEST,
            Self::Version => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            Self::Method(_) => StatusCode::METHOD_NOT_ALLOWED,
            Self::Target => StatusCode::URI_TOO_LONG,
            Self::Body(BodyError::TooLarge(_)) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Body(BodyError::BufferFull) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Body(BodyError::TimedOut) => StatusCode::REQUEST_TIMEOUT,
            Self::Body(_) => StatusCode::BAD_REQUEST,
        }
    }
}

/// A request with its whole body in memory, so that it can be sent several times.
#[derive(Debug, Clone)]
pub struct BufferedRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: PathAndQuery,
    /// Host from the caller's request.
    pub host: Option<Authority>,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Chunks,
    _charge: Rc<Charge>,
}

impl BufferedRequest {
    /// Validates a request and reads its body.
    ///
    /// # Errors
    /// The request is malformed, too large or too slow.
    pub async fn read(head: Parts, body: Incoming, node: &Node) -> Result<Self, RequestError> {
        if target_bytes(&head) > TARGET_MAX_BYTES {
            return Err(RequestError::Target);
        }
        let deadline = Instant::now() + Duration::from_millis(BODY_TIMEOUT_MS);
        let charge = Charge::new(&node.memory);
        Self::read_up_to(BODY_MAX_BYTES, deadline, head, body, &node.memory, charge).await
    }

    /// Validates a request and reads its body of at most `max_bytes` until `deadline`. `charge` holds
    /// what is charged to `memory` for the head.
    ///
    /// # Errors
    /// The request is malformed, too large or too slow.
    pub async fn read_up_to<B>(
        max_bytes: usize,
        deadline: Instant,
        head: Parts,
        body: B,
        memory: &Rc<MemoryBudget>,
        mut charge: Charge,
    ) -> Result<Self, RequestError>
    where
        B: http_body::Body<Data = Bytes, Error = hyper::Error> + Unpin,
    {
        validate(&head)?;
        let host = authority(&head);
        let target = head.uri.path_and_query().cloned();
        let target = target.ok_or(RequestError::Target)?;
        let body = read_request(body, max_bytes, deadline, memory, &mut charge).await?;
        let mut headers = head.headers;
        remove_hop_by_hop(&mut headers);
        remove_internal(&mut headers);
        for name in [CONTENT_LENGTH, HOST, EXPECT] {
            headers.remove(name);
        }
        Ok(Self {
            method: head.method,
            target,
            host,
            headers,
            body,
            _charge: Rc::new(charge),
        })
    }

    /// Digest of method, path and the first 64 KiB of the body, which identifies requests that
    /// crash servers.
    pub fn fingerprint(&self) -> Fingerprint {
        let mut hasher = self.hasher();
        hasher.parts(FINGERPRINT_BODY_MAX_BYTES, self.body.blocks());
        hasher.finish()
    }

    /// Digest of method, path, whole body and further `fields`.
    pub fn digest(&self, fields: &[&[u8]]) -> Fingerprint {
        let mut hasher = self.hasher();
        hasher.parts(usize::MAX, self.body.blocks());
        fields.iter().for_each(|field| hasher.field(field));
        hasher.finish()
    }

    fn hasher(&self) -> FingerprintHasher {
        let mut hasher = FingerprintHasher::default();
        hasher.field(self.method.as_str().as_bytes());
        hasher.field(self.path());
        hasher
    }

    fn path(&self) -> &[u8] {
        self.target.as_str().as_bytes()
    }

    /// The HTTP/1.1 request to a backend server.
    pub fn to_server(&self, service: &ServiceName) -> Request<Chunks> {
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = Uri::from(self.target.clone());
        *request.headers_mut() = self.headers.clone();
        let host = self
            .host
            .as_ref()
            .map_or(service.as_str(), Authority::as_str);
        if let Ok(host) = HeaderValue::try_from(host) {
            request.headers_mut().insert(HOST, host);
        }
        request
    }

    /// The HTTP/2 request to a peer.
    ///
    /// # Errors
    /// The service name is not a valid host.
    pub fn to_peer(&self, service: &ServiceName) -> http::Result<Request<Chunks>> {
        let host = self
            .host
            .as_ref()
            .map_or(service.as_str(), Authority::as_str);
        let uri = Uri::builder()
            .scheme(Scheme::HTTP)
            .authority(host)
            .path_and_query(self.target.clone())
            .build()?;
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = uri;
        *request.version_mut() = Version::HTTP_2;
        *request.headers_mut() = self.headers.clone();
        Ok(request)
    }
}

fn authority(head: &Parts) -> Option<Authority> {
    if let Some(authority) = head.uri.authority() {
        return Some(authority.clone());
    }
    head.headers.get(HOST)?.to_str().ok()?.parse().ok()
}

fn target_bytes(head: &Parts) -> usize {
    head.uri.path_and_query().map_or(0, |p| p.as_str().len())
}

/// Checks a head before its request is processed.
pub(super) fn validate(head: &Parts) -> Result<(), RequestError> {
    if head.version < Version::HTTP_11 {
        return Err(RequestError::Version);
    }
    if head.method == Method::CONNECT || head.method == Method::TRACE {
        return Err(RequestError::Method(head.method.clone()));
    }
    let encodings: Vec<_> = head.headers.get_all(TRANSFER_ENCODING).iter().collect();
    let lengths = head.headers.get_all(CONTENT_LENGTH).iter().count();
    let hosts = head.headers.get_all(HOST).iter().count();
    let plain = encodings
        .iter()
        .all(|e| e.as_bytes().eq_ignore_ascii_case(b"chunked"));
    let ambiguous = lengths + encodings.len() > 1 || hosts > 1 || !plain;
    if ambiguous {
        return Err(RequestError::Framing);
    }
    Ok(())
}
