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

/// Admin listeners answer from memory; a node that takes longer is paused or unreachable.
const REQUEST_TIMEOUT_MS: u64 = 3_000;
/// A dump with 100 decisions takes about 30 KB.
const BODY_MAX_BYTES: usize = 4 << 20;

/// Why a request failed; its text is shown to operators.
type FetchError = Box<dyn error::Error + Send + Sync>;

/// Requests `path` from `node`, and returns the status and body.
pub(super) async fn get(node: SocketAddr, path: &str) -> Result<(StatusCode, Bytes), FetchError> {
    let time_limit = Duration::from_millis(REQUEST_TIMEOUT_MS);
    match timeout(time_limit, exchange(node, path)).await {
        Ok(answer) => answer,
        Err(_) => Err(format!("no answer within {REQUEST_TIMEOUT_MS} ms").into()),
    }
}

async fn exchange(node: SocketAddr, path: &str) -> Result<(StatusCode, Bytes), FetchError> {
    let stream = TcpStream::connect(node).await?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await?;
    let request = Request::get(path)
        .header(HOST, node.to_string())
        .header(CONNECTION, "close")
        .body(Empty::<Bytes>::new())?;
    let answer = async move {
        let response = sender.send_request(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), BODY_MAX_BYTES);
        Ok((status, body.collect().await?.to_bytes()))
    };
    // The connection ends with the answer; an error of the connection also fails the answer.
    let (answer, _) = tokio::join!(answer, connection);
    answer
}
