//! One HTTP request to an admin listener.

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

/// An admin listener answers from memory; a node that needs longer is paused or unreachable.
const TIMEOUT_MS: u64 = 3_000;
/// A dump with 100 decisions takes about 30 KB.
const BODY_MAX_BYTES: usize = 4 << 20;

/// Why there is no answer; shown to operators as it is.
type InvalidSettings = Box<dyn error::Error + Send + Sync>;

/// Status and body of `path` at `node`.
pub(super) async fn get(
    node: SocketAddr,
    path: &str,
) -> Result<(StatusCode, Bytes), InvalidSettings> {
    let limit = Duration::from_millis(TIMEOUT_MS);
    match timeout(limit, exchange(node, path)).await {
        Ok(answer) => answer,
        Err(_) => Err(format!("no answer within {TIMEOUT_MS} ms").into()),
    }
}

async fn exchange(node: SocketAddr, path: &str) -> Result<(StatusCode, Bytes), InvalidSettings> {
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
    // The connection ends with the answer; its own fault shows in the answer.
    let (answer, _) = tokio::join!(answer, connection);
    answer
}
