//! HTTP client for the configuration service, the instance list and the server report.

use std::{io, net::SocketAddr, pin::Pin, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode, header::HOST};
use http_body_util::{BodyExt, Empty, LengthLimitError, Limited};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::time::timeout;

use super::net::Net;
use crate::protocol::platform::{VERSION_HEADER, is_version};

/// Errors of a read from the platform.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// The connection could not be opened.
    #[error("could not connect: {0}")]
    Dial(#[from] io::Error),
    /// The exchange broke.
    #[error("could not exchange request and answer: {0}")]
    Http(#[from] hyper::Error),
    /// The path is not valid.
    #[error("could not build request: {0}")]
    Request(#[from] http::Error),
    /// The answer is larger than allowed or broke off.
    #[error("could not read answer: {0}")]
    Body(String),
    /// The service answered with an unexpected status.
    #[error("could not use answer with status {0}")]
    Status(StatusCode),
    /// No answer in time.
    #[error("could not get an answer in time")]
    Timeout,
}

/// Result of a read from the platform.
pub type Result<T, E = PlatformError> = std::result::Result<T, E>;

/// An answer of the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Version of the value, if the service sent a usable one.
    pub version: Option<String>,
    /// The value; `None` when it has not changed.
    pub body: Option<Bytes>,
}

type Driver<C> = Pin<Box<Connection<TokioIo<C>, Empty<Bytes>>>>;

struct Session<N: Net> {
    sender: SendRequest<Empty<Bytes>>,
    conn: Driver<N::Conn>,
}

/// Reads from one service of the platform over one persistent HTTP/1.1 connection.
pub struct PlatformClient<N: Net> {
    net: N,
    address: SocketAddr,
    session: Option<Session<N>>,
}

impl<N: Net> PlatformClient<N> {
    /// A client that connects on its first read.
    pub fn new(net: N, address: SocketAddr) -> Self {
        Self {
            net,
            address,
            session: None,
        }
    }

    /// Reads `path`, with an answer of at most `max` bytes within `limit`.
    ///
    /// # Errors
    /// The service cannot be reached, answers with an error, too much or too late.
    pub async fn get(&mut self, path: &str, max: usize, limit: Duration) -> Result<Answer> {
        let done = timeout(limit, self.exchange(path, max)).await;
        let answer = done.unwrap_or(Err(PlatformError::Timeout));
        if answer.is_err() {
            self.session = None;
        }
        answer
    }

    async fn exchange(&mut self, path: &str, max: usize) -> Result<Answer> {
        // The service may have closed an idle connection; that is no reason to count a failure.
        if let Some(session) = self.session.take()
            && let Ok(answer) = self.send(session, path, max).await
        {
            return Ok(answer);
        }
        let conn = self.net.dial(self.address).await?;
        let (sender, conn) = http1::handshake(TokioIo::new(conn)).await?;
        let session = Session {
            sender,
            conn: Box::pin(conn),
        };
        self.send(session, path, max).await
    }

    async fn send(&mut self, mut session: Session<N>, path: &str, max: usize) -> Result<Answer> {
        let request = Request::get(path)
            .header(HOST, self.address.to_string())
            .body(Empty::new())?;
        let Session { sender, conn } = &mut session;
        let exchange = async {
            sender.ready().await?;
            read(sender.send_request(request).await?, max).await
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
        done = &mut exchange => return done,
        _ = conn.as_mut() => {}
    }
    // The connection has ended; the answer may have been read in full before.
    exchange.await
}

async fn read(response: hyper::Response<hyper::body::Incoming>, max: usize) -> Result<Answer> {
    let header = response.headers().get(VERSION_HEADER);
    let text = header.and_then(|v| v.to_str().ok());
    let version = text.filter(|v| is_version(v)).map(str::to_owned);
    let status = response.status();
    let body = match Limited::new(response.into_body(), max).collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) if e.is::<LengthLimitError>() => {
            return Err(PlatformError::Body(format!("more than {max} bytes")));
        }
        Err(e) => return Err(PlatformError::Body(e.to_string())),
    };
    match status {
        StatusCode::OK => Ok(Answer {
            version,
            body: Some(body),
        }),
        StatusCode::NOT_MODIFIED => Ok(Answer {
            version,
            body: None,
        }),
        other => Err(PlatformError::Status(other)),
    }
}
