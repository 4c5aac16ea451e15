//! Plain HTTP/1.1 server and client over any network.

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

/// Body of everything that a stand-in sends.
pub type Body = Full<Bytes>;

/// The connection is to be dropped without an answer.
#[derive(Debug, thiserror::Error)]
#[error("connection dropped")]
pub struct Dropped;

/// Serves `handler` at `at` with at most `connections` connections; ends when it is dropped.
///
/// # Errors
/// The address can't be bound.
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
    let room = Arc::new(Semaphore::new(connections as usize));
    let mut tasks = JoinSet::new();
    loop {
        while tasks.try_join_next().is_some() {}
        let Ok(permit) = room.clone().acquire_owned().await else {
            return Ok(());
        };
        let Ok((conn, _)) = listener.accept().await else {
            return Ok(());
        };
        let handler = handler.clone();
        tasks.spawn_local(async move {
            let _permit = permit;
            let service = service_fn(move |request| whole(request, handler.clone()));
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(conn), service)
                .await;
        });
    }
}

async fn whole<F, R>(request: Request<Incoming>, handler: F) -> Result<Response<Body>, Dropped>
where
    F: Fn(Request<Bytes>) -> R,
    R: Future<Output = Result<Response<Body>, Dropped>>,
{
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| Dropped)?.to_bytes();
    handler(Request::from_parts(head, body)).await
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body, to its end.
    pub body: Bytes,
}

impl Reply {
    /// A header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Why there is no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No connection, so nothing was sent.
    Connect,
    /// The connection broke after the request was sent, or in the answer.
    Broken,
}

type Sender = SendRequest<Body>;

/// A client with persistent connections; cheap to clone.
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
    /// A client without connections.
    pub fn new(net: N) -> Self {
        Self {
            net,
            idle: Rc::default(),
            tasks: Rc::default(),
        }
    }

    /// Sends a request and reads its whole answer. Dropping the future closes the connection.
    ///
    /// # Errors
    /// No connection, or a connection that broke.
    pub async fn send(&self, to: SocketAddr, request: Request<Body>) -> Result<Reply, Failure> {
        let mut request = request;
        while let Some(mut sender) = self.take(to) {
            if sender.ready().await.is_err() {
                continue;
            }
            match sender.try_send_request(request).await {
                Ok(answer) => return self.read(to, sender, answer).await,
                Err(mut error) => request = error.take_message().ok_or(Failure::Broken)?,
            }
        }
        let mut sender = self.connect(to).await?;
        let answer = sender.send_request(request).await;
        let answer = answer.map_err(|_| Failure::Broken)?;
        self.read(to, sender, answer).await
    }

    fn take(&self, to: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&to)?;
        while let Some(sender) = list.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    async fn connect(&self, to: SocketAddr) -> Result<Sender, Failure> {
        let conn = self.net.dial(to).await.map_err(|_| Failure::Connect)?;
        let shaken = handshake(TokioIo::new(conn)).await;
        let (sender, conn) = shaken.map_err(|_| Failure::Connect)?;
        let mut tasks = self.tasks.borrow_mut();
        while tasks.try_join_next().is_some() {}
        tasks.spawn_local(async move {
            let _ = conn.await;
        });
        Ok(sender)
    }

    async fn read(
        &self,
        to: SocketAddr,
        sender: Sender,
        answer: Response<Incoming>,
    ) -> Result<Reply, Failure> {
        let (head, body) = answer.into_parts();
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
