//! Listener for the platform's readiness checks.

use std::{
    net::{IpAddr, SocketAddr},
    rc::Rc,
};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;

use super::{
    super::{net::Net, server::Handler},
    shared::Mesh,
};

/// Responds with status 200 if the node accepts callers, 503 if not.
pub struct Ready<N: Net, D>(pub Rc<Mesh<N, D>>);

impl<N: Net, D: 'static> Handler for Ready<N, D> {
    type Body = Full<Bytes>;

    fn accepts(&self, _from: IpAddr) -> bool {
        true
    }

    async fn handle(self: Rc<Self>, _: Request<Incoming>, _: SocketAddr) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::default());
        if !self.0.is_ready() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }
}
