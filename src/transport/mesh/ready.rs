//! Listener for the platform's readiness checks.

use std::{
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header::CONNECTION};
use http_body::Body as _;
use http_body_util::Full;
use hyper::body::Incoming;

use crate::state::connections::ConnectionLimits;

use super::{
    super::{net::Net, server::Handler},
    shared::Mesh,
};

/// Time limit between two checks on a connection; the platform checks once a second.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time limit for a head, which is a few lines.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a client may take no byte of an answer.
pub const STALL: Duration = Duration::from_secs(2);

/// The answer to a request with a body, which has no use here.
pub fn body_refused() -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::PAYLOAD_TOO_LARGE;
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

/// Responds with status 200 if the node accepts callers, 503 if not.
pub struct Ready<N: Net, D>(pub Rc<Mesh<N, D>>);

impl<N: Net, D: 'static> Handler for Ready<N, D> {
    type Body = Full<Bytes>;

    fn accepts(&self, _from: IpAddr) -> bool {
        true
    }

    fn head_timeout(&self) -> Duration {
        IDLE_TIMEOUT
    }

    fn limits(&self) -> ConnectionLimits {
        ConnectionLimits {
            head: Some(HEAD_TIMEOUT),
            stall: Some(STALL),
        }
    }

    async fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
        _: SocketAddr,
    ) -> Response<Full<Bytes>> {
        if !request.body().is_end_stream() {
            return body_refused();
        }
        let mut response = Response::new(Full::default());
        if !self.0.is_ready() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }
}
