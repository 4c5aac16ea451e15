//! The read-only admin listener: health check, state dump and request traces.

use std::{
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::Serialize;
use serde_json::{Map, Value, json};

use crate::state::{
    id::{Fingerprint, RootId, ServiceName},
    upstream::UpstreamStatus,
};

use super::{
    net::Net,
    node::{DataPlane, NodeContext},
    server::Handler,
};

/// Handler of the admin listener.
pub struct Admin<N: Net>(pub Rc<DataPlane<N>>);

impl<N: Net> Handler for Admin<N> {
    type Body = Full<Bytes>;

    fn accepts(&self, _from: IpAddr) -> bool {
        true
    }

    async fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
        _from: SocketAddr,
    ) -> Response<Full<Bytes>> {
        if request.method() != Method::GET {
            return text_response(StatusCode::METHOD_NOT_ALLOWED, "read-only\n");
        }
        let node = &self.0.node;
        let path = request.uri().path();
        match path {
            "/healthz" => text_response(StatusCode::OK, "ok\n"),
            "/dump" => json_response(&self.dump()),
            "/decisions" => {
                let journal = node.journal.borrow();
                json_response(&journal.decisions().collect::<Vec<_>>())
            }
            _ => self.request_trace(path),
        }
    }
}

impl<N: Net> Admin<N> {
    fn request_trace(&self, path: &str) -> Response<Full<Bytes>> {
        let Some(root) = path.strip_prefix("/why/") else {
            return text_response(StatusCode::NOT_FOUND, "not found\n");
        };
        let Ok(root) = root.parse::<RootId>() else {
            return text_response(StatusCode::BAD_REQUEST, "not a root request id\n");
        };
        let journal = self.0.node.journal.borrow();
        match journal.events(&root) {
            [] => text_response(StatusCode::NOT_FOUND, "request not known here\n"),
            events => json_response(&events),
        }
    }

    fn dump(&self) -> Value {
        let DataPlane {
            node, pool, links, ..
        } = &*self.0;
        let counters: Map<_, _> = node
            .counters
            .iter()
            .map(|(c, value)| (c.name().to_owned(), value.into()))
            .collect();
        json!({
            "name": node.settings.name,
            "service": node.settings.service,
            "zone": node.settings.zone,
            "incarnation": node.incarnation,
            "revision": node.store.revision(),
            "gate": {
                "load": node.gate.load().to_string(),
                "level": node.gate.level(),
            },
            "calls": node.calls.borrow().len(),
            "tickets": node.tickets.borrow().len(),
            "held": node.refusals.borrow().len(),
            "server": {
                "connections": pool.open(),
                "down": self.0.health.is_down(),
            },
            "links": links.open_count(),
            "upstreams": upstreams(node),
            "suspects": suspects(node),
            "counters": counters,
            "decisions": node.journal.borrow().decisions().collect::<Vec<_>>(),
        })
    }
}

/// The routing table, one row per upstream.
fn upstreams(node: &NodeContext) -> Vec<Value> {
    let row = |service: &ServiceName, row: UpstreamStatus| {
        let mut value = json!(row);
        value["service"] = json!(service);
        value
    };
    let services = node.router.statuses();
    let rows = services.into_iter().flat_map(|(service, rows)| {
        rows.into_iter()
            .map(move |r| row(&service, r))
            .collect::<Vec<_>>()
    });
    rows.collect()
}

/// Requests suspected or convicted of crashing backend servers.
fn suspects(node: &NodeContext) -> Vec<Value> {
    let known = node.gate.suspects();
    let row = |standing: &str, (request, left): &(Fingerprint, Duration)| json!({ "fingerprint": request, "standing": standing, "left_s": left.as_secs() });
    let suspects = known.suspects.iter().map(|s| row("suspect", s));
    let convicted = known.convicted.iter().map(|c| row("convicted", c));
    suspects.chain(convicted).collect()
}

fn text_response(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(text));
    *response.status_mut() = status;
    response
}

fn json_response(content: &impl Serialize) -> Response<Full<Bytes>> {
    let Ok(content) = serde_json::to_vec_pretty(content) else {
        return text_response(
            StatusCode::INTERNAL_SERVER_ERROR,
            "could not encode the document\n",
        );
    };
    let mut response = Response::new(Full::from(content));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
