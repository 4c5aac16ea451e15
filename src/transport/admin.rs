//! The read-only listener for operators.

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
    node::{NodeContext, Path},
    server::Handler,
};

/// Answers operators.
pub struct Admin<N>(pub Rc<Path<N>>);

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
            return text(StatusCode::METHOD_NOT_ALLOWED, "read-only\n");
        }
        let parts = &self.0.parts;
        let path = request.uri().path();
        match path {
            "/healthz" => text(StatusCode::OK, "ok\n"),
            "/dump" => document(&self.dump()),
            "/decisions" => {
                let journal = parts.journal.borrow();
                document(&journal.decisions().collect::<Vec<_>>())
            }
            _ => self.why(path),
        }
    }
}

impl<N: Net> Admin<N> {
    fn why(&self, path: &str) -> Response<Full<Bytes>> {
        let Some(root) = path.strip_prefix("/why/") else {
            return text(StatusCode::NOT_FOUND, "not found\n");
        };
        let Ok(root) = root.parse::<RootId>() else {
            return text(StatusCode::BAD_REQUEST, "not a root request id\n");
        };
        let journal = self.0.parts.journal.borrow();
        match journal.events(&root) {
            [] => text(StatusCode::NOT_FOUND, "request not known here\n"),
            events => document(&events),
        }
    }

    fn dump(&self) -> Value {
        let Path {
            parts, pool, links, ..
        } = &*self.0;
        let counters: Map<_, _> = parts
            .counters
            .iter()
            .map(|(c, value)| (c.name().to_owned(), value.into()))
            .collect();
        json!({
            "name": parts.settings.name,
            "service": parts.settings.service,
            "zone": parts.settings.zone,
            "incarnation": parts.incarnation,
            "revision": parts.store.revision(),
            "gate": {
                "load": parts.gate.load().to_string(),
                "level": parts.gate.level(),
            },
            "calls": parts.calls.borrow().len(),
            "tickets": parts.tickets.borrow().len(),
            "held": parts.held.borrow().len(),
            "server": {
                "connections": pool.open(),
                "down": self.0.health.is_down(),
            },
            "links": links.start_accepting(),
            "upstreams": upstreams(parts),
            "suspects": suspects(parts),
            "counters": counters,
            "decisions": parts.journal.borrow().decisions().collect::<Vec<_>>(),
        })
    }
}

/// The routing table, one row an upstream.
fn upstreams(parts: &NodeContext) -> Vec<Value> {
    let row = |service: &ServiceName, row: UpstreamStatus| {
        let mut value = json!(row);
        value["service"] = json!(service);
        value
    };
    let services = parts.router.statuses();
    let rows = services.into_iter().flat_map(|(service, rows)| {
        rows.into_iter()
            .map(move |r| row(&service, r))
            .collect::<Vec<_>>()
    });
    rows.collect()
}

/// Requests that may crash or do crash backend servers.
fn suspects(parts: &NodeContext) -> Vec<Value> {
    let news = parts.gate.suspects();
    let row = |standing: &str, (request, left): &(Fingerprint, Duration)| json!({ "fingerprint": request, "standing": standing, "left_s": left.as_secs() });
    let suspects = news.suspects.iter().map(|s| row("suspect", s));
    let convicted = news.convicted.iter().map(|c| row("convicted", c));
    suspects.chain(convicted).collect()
}

fn text(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(text));
    *response.status_mut() = status;
    response
}

fn document(content: &impl Serialize) -> Response<Full<Bytes>> {
    let Ok(content) = serde_json::to_vec_pretty(content) else {
        return text(
            StatusCode::INTERNAL_SERVER_ERROR,
            "could not encode the document\n",
        );
    };
    let mut response = Response::new(Full::from(content));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
