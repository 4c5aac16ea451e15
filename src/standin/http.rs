//! Plain HTTP/1.1 server and client over a [`Net`].

use std::{
    cell::RefCell, collections::BTreeMap, future::Future, net::SocketAddr, rc::Rc, sync::Arc,
};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Incoming,
    client::conn::http1::{SendRequest, handshake},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::{sync::Semaphore, task::JoinSet};

use super::{Error, Result};
use crate::transport::net::{Listener, Net};

/// Body of the requests and responses that the stand-ins send.
pub type Body = Full<Bytes>;

/// Returned by a handler to drop the connection without a response.
#[derive(Debug, thiserror::Error)]
#[error("connection dropped")]
pub struct Dropped;

/// Serves `handler` at `at` with at most `connections` open connections until the future is
/// dropped.
///
/// # Errors
/// Returns an error when the address can't be bound.
pub async fn serve<N, F, R>(net: &N, at: SocketAddr, connections: u32, handler: F) -> Result<()>
where
    N: Net,
    F: Fn(Request<Bytes>) -> R + Clone + 'static,
    R: Future<Output = Result<Response<Body>, Dropped>> + 'static,
{
    let mut listener = net
        .bind(at)
        .await
        .map_err(|source| Error::Bind { at, source })?;
    let permits = Arc::new(Semaphore::new(connections as usize));
    let mut tasks = JoinSet::new();
    loop {
        while tasks.try_join_next().is_some() {}
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return Ok(());
        };
        let Ok((conn, _)) = listener.accept().await else {
            return Ok(());
        };
        let handler = handler.clone();
        tasks.spawn_local(async move {
            let _permit = permit;
            let service = service_fn(move |request| handle_request(request, handler.clone()));
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(conn), service)
                .await;
        });
    }
}

async fn handle_request<F, R>(
    request: Request<Incoming>,
    handler: F,
) -> Result<Response<Body>, Dropped>
where
    F: Fn(Request<Bytes>) -> R,
    R: Future<Output = Result<Response<Body>, Dropped>>,
{
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| Dropped)?.to_bytes();
    handler(Request::from_parts(head, body)).await
}

/// A complete response.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl Reply {
    /// Returns the value of a header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Reason why no complete response was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The connection could not be established; nothing was sent.
    Connect,
    /// The connection broke after the request was sent, before the response was complete.
    Broken,
}

type Sender = SendRequest<Body>;

/// HTTP client that reuses idle connections; cheap to clone.
pub struct Client<N> {
    net: N,
    idle: Rc<RefCell<BTreeMap<SocketAddr, Vec<Sender>>>>,
    tasks: Rc<RefCell<JoinSet<()>>>,
}

impl<N: Clone> Clone for Client<N> {
    fn clone(&self) -> Self {
        Self {
            net: self.net.clone(),
            idle: self.idle.clone(),
            tasks: self.tasks.clone(),
        }
    }
}

impl<N: Net> Client<N> {
    /// Creates a client without connections.
    pub fn new(net: N) -> Self {
        Self {
            net,
            idle: Rc::default(),
            tasks: Rc::default(),
        }
    }

    /// Sends a request and reads the complete response. Dropping the future closes the connection.
    ///
    /// # Errors
    /// Returns an error when the connection can't be established or breaks.
    pub async fn send(&self, to: SocketAddr, request: Request<Body>) -> Result<Reply, Failure> {
        let mut request = request;
        while let Some(mut sender) = self.take_idle(to) {
            if sender.ready().await.is_err() {
                continue;
            }
            match sender.try_send_request(request).await {
                Ok(response) => return self.read_response(to, sender, response).await,
                Err(mut error) => request = error.take_message().ok_or(Failure::Broken)?,
            }
        }
        let mut sender = self.connect(to).await?;
        let response = sender.send_request(request).await;
        let response = response.map_err(|_| Failure::Broken)?;
        self.read_response(to, sender, response).await
    }

    fn take_idle(&self, to: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        let senders = idle.get_mut(&to)?;
        while let Some(sender) = senders.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    async fn connect(&self, to: SocketAddr) -> Result<Sender, Failure> {
        let conn = self.net.dial(to).await.map_err(|_| Failure::Connect)?;
        let connected = handshake(TokioIo::new(conn)).await;
        let (sender, conn) = connected.map_err(|_| Failure::Connect)?;
        let mut tasks = self.tasks.borrow_mut();
        while tasks.try_join_next().is_some() {}
        tasks.spawn_local(async move {
            let _ = conn.await;
        });
        Ok(sender)
    }

    async fn read_response(
        &self,
        to: SocketAddr,
        sender: Sender,
        response: Response<Incoming>,
    ) -> Result<Reply, Failure> {
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(|_| Failure::Broken)?;
        if !sender.is_closed() {
            self.idle.borrow_mut().entry(to).or_default().push(sender);
        }
        Ok(Reply {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        })
    }
}
