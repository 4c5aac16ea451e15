//! HTTP client for the configuration service, the instance list and the server's status report.

use std::{io, net::SocketAddr, pin::Pin, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, header::HOST};
use http_body_util::{BodyExt, Empty, LengthLimitError, Limited};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::time::timeout;

use super::net::Net;
use crate::protocol::platform::{VERSION_HEADER, is_version};

/// Errors of a request to a platform service.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// The connection could not be opened.
    #[error("could not connect: {0}")]
    Dial(#[from] io::Error),
    /// The connection failed during the request.
    #[error("could not exchange request and response: {0}")]
    Http(#[from] hyper::Error),
    /// The path is not valid.
    #[error("could not build the request: {0}")]
    Request(#[from] http::Error),
    /// The response body is larger than allowed or incomplete.
    #[error("could not read the response body: {0}")]
    Body(String),
    /// The status of the response is neither 200 nor 304.
    #[error("could not use the response: got status {0}, expected 200 or 304")]
    Status(StatusCode),
    /// No response within the time limit.
    #[error("could not get a response within the time limit")]
    Timeout,
}

/// Result of a request to a platform service.
pub type Result<T, E = PlatformError> = std::result::Result<T, E>;

/// A response of a platform service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Version of the value, if the service sent a valid one.
    pub version: Option<String>,
    /// The headers.
    pub headers: HeaderMap,
    /// The value; `None` if it has not changed.
    pub body: Option<Bytes>,
}

type ConnDriver<C> = Pin<Box<Connection<TokioIo<C>, Empty<Bytes>>>>;

struct Session<N: Net> {
    sender: SendRequest<Empty<Bytes>>,
    conn: ConnDriver<N::Conn>,
}

/// Client of one platform service, with one persistent HTTP/1.1 connection.
pub struct PlatformClient<N: Net> {
    net: N,
    address: SocketAddr,
    session: Option<Session<N>>,
}

impl<N: Net> PlatformClient<N> {
    /// A client that connects on its first request.
    pub fn new(net: N, address: SocketAddr) -> Self {
        Self {
            net,
            address,
            session: None,
        }
    }

    /// Address of the service.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens a new connection for the next request: the present one may have fallen silent.
    pub fn disconnect(&mut self) {
        self.session = None;
    }

    /// Requests `path`; the response may have at most `max_bytes` and take at most `time_limit`.
    ///
    /// # Errors
    /// The service can't be reached, or its response is an error, too large or too late.
    pub async fn get(
        &mut self,
        path: &str,
        max_bytes: usize,
        time_limit: Duration,
    ) -> Result<Answer> {
        let finished = timeout(time_limit, self.exchange(path, max_bytes)).await;
        let answer = finished.unwrap_or(Err(PlatformError::Timeout));
        if answer.is_err() {
            self.session = None;
        }
        answer
    }

    async fn exchange(&mut self, path: &str, max_bytes: usize) -> Result<Answer> {
        // The service may have closed the idle connection, so a failure on it is retried on a new
        // connection.
        if let Some(session) = self.session.take()
            && let Ok(answer) = self.send(session, path, max_bytes).await
        {
            return Ok(answer);
        }
        let conn = self.net.dial(self.address).await?;
        let (sender, conn) = http1::handshake(TokioIo::new(conn)).await?;
        let session = Session {
            sender,
            conn: Box::pin(conn),
        };
        self.send(session, path, max_bytes).await
    }

    async fn send(
        &mut self,
        mut session: Session<N>,
        path: &str,
        max_bytes: usize,
    ) -> Result<Answer> {
        let request = Request::get(path)
            .header(HOST, self.address.to_string())
            .body(Empty::new())?;
        let Session { sender, conn } = &mut session;
        let exchange = async {
            sender.ready().await?;
            read_response(sender.send_request(request).await?, max_bytes).await
        };
        let answer = drive(conn.as_mut(), exchange).await?;
        self.session = Some(session);
        Ok(answer)
    }
}

async fn drive<T>(
    mut conn: Pin<&mut (impl Future<Output = hyper::Result<()>> + ?Sized)>,
    exchange: impl Future<Output = Result<T>>,
) -> Result<T> {
    let mut exchange = std::pin::pin!(exchange);
    tokio::select! {
        biased;
        finished = &mut exchange => return finished,
        _ = conn.as_mut() => {}
    }
    // The connection has ended, but the whole response may have been received before.
    exchange.await
}

async fn read_response(
    response: hyper::Response<hyper::body::Incoming>,
    max_bytes: usize,
) -> Result<Answer> {
    let header = response.headers().get(VERSION_HEADER);
    let text = header.and_then(|v| v.to_str().ok());
    let version = text.filter(|v| is_version(v)).map(str::to_owned);
    let status = response.status();
    let (head, body) = response.into_parts();
    let headers = head.headers;
    let body = match Limited::new(body, max_bytes).collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) if e.is::<LengthLimitError>() => {
            return Err(PlatformError::Body(format!(
                "larger than {max_bytes} bytes"
            )));
        }
        Err(e) => return Err(PlatformError::Body(e.to_string())),
    };
    match status {
        StatusCode::OK => Ok(Answer {
            version,
            headers,
            body: Some(body),
        }),
        StatusCode::NOT_MODIFIED => Ok(Answer {
            version,
            headers,
            body: None,
        }),
        other => Err(PlatformError::Status(other)),
    }
}
