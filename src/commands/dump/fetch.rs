//! HTTP requests to an admin listener.

use std::{error, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{
    Request, StatusCode,
    header::{CONNECTION, HOST},
};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout};

/// Limits of a request to an admin listener.
#[derive(Debug, Clone, Copy)]
pub(in crate::commands) struct Limits {
    /// Time limit for the answer. Admin listeners answer from memory; a node that takes longer is
    /// paused or unreachable.
    pub timeout_ms: u64,
    /// Size limit of its body.
    pub body_bytes: usize,
}

impl Limits {
    /// For a dump. One with 100 decisions takes about 30 KB.
    pub const DUMP: Self = Self {
        timeout_ms: 3_000,
        body_bytes: 4 << 20,
    };
}

/// Why a request failed; its text is shown to operators.
pub(in crate::commands) type FetchError = Box<dyn error::Error + Send + Sync>;

/// Requests `path` from `node`, and returns the status and body.
pub(in crate::commands) async fn get(
    node: SocketAddr,
    path: &str,
    limits: Limits,
) -> Result<(StatusCode, Bytes), FetchError> {
    let time_limit = Duration::from_millis(limits.timeout_ms);
    match timeout(time_limit, exchange(node, path, limits.body_bytes)).await {
        Ok(answer) => answer,
        Err(_) => Err(format!("no answer within {} ms", limits.timeout_ms).into()),
    }
}

async fn exchange(
    node: SocketAddr,
    path: &str,
    body_bytes: usize,
) -> Result<(StatusCode, Bytes), FetchError> {
    let stream = TcpStream::connect(node).await?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await?;
    let request = Request::get(path)
        .header(HOST, node.to_string())
        .header(CONNECTION, "close")
        .body(Empty::<Bytes>::new())?;
    let answer = async move {
        let response = sender.send_request(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), body_bytes);
        Ok((status, body.collect().await?.to_bytes()))
    };
    // The connection ends with the answer; an error of the connection also fails the answer.
    let (answer, _) = tokio::join!(answer, connection);
    answer
}
