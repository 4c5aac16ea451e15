//! Latency histograms of a node, and the listener for metrics and the state dump.

use std::{
    fmt::Write,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body::Body as _;
use http_body_util::Full;
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::{
    protocol::{explain::PATH, outcome::Outcome},
    state::{
        connections::ConnectionLimits, counters::Counter, histogram::Histogram,
        mesh::registry::BackendRecord, rate::RateLimit,
    },
};

use super::{
    super::{net::Net, server::Handler},
    explain,
    ready::{HEAD_TIMEOUT, IDLE_TIMEOUT, STALL, body_refused},
    shared::Mesh,
};

/// Prefix of all metric names.
const PREFIX: &str = "comfreybay";

/// Latency histograms of the requests at one node.
#[derive(Debug, Default)]
pub struct Latency {
    complete: Histogram,
    not_run: Histogram,
    failed: Histogram,
    unknown: Histogram,
    waited: Histogram,
    ran: Histogram,
}

impl Latency {
    /// Records the time until the reply to a request from this instance.
    pub fn record_response(&self, outcome: Outcome, time: Duration) {
        let histogram = match outcome {
            Outcome::Complete => &self.complete,
            Outcome::NotRun => &self.not_run,
            Outcome::Failed => &self.failed,
            Outcome::Unknown => &self.unknown,
        };
        histogram.record(time);
    }

    /// Records the time that a request waited for admission to the backend server.
    pub fn record_wait(&self, time: Duration) {
        self.waited.record(time);
    }

    /// Records the time that the backend server took to respond.
    pub fn record_server_time(&self, time: Duration) {
        self.ran.record(time);
    }

    /// Number and sum of the times that requests waited for admission.
    pub fn waited(&self) -> (u64, Duration) {
        (self.waited.count(), self.waited.sum())
    }

    /// Number and sum of the times that the backend server took to respond.
    pub fn ran(&self) -> (u64, Duration) {
        (self.ran.count(), self.ran.sum())
    }

    fn render(&self) -> String {
        let histograms = [
            ("answer_complete", &self.complete),
            ("answer_not_run", &self.not_run),
            ("answer_failed", &self.failed),
            ("answer_unknown", &self.unknown),
            ("admission_wait", &self.waited),
            ("server_time", &self.ran),
        ];
        let text = histograms
            .iter()
            .map(|(name, h)| h.render(&format!("{PREFIX}_{name}")));
        text.collect()
    }
}

/// Serves `/metrics`, `/dump` and `/explain`.
pub struct Metrics<N: Net, D>(pub Rc<Mesh<N, D>>);

impl<N: Net, D: 'static> Handler for Metrics<N, D> {
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
        _from: SocketAddr,
    ) -> Response<Full<Bytes>> {
        if !request.body().is_end_stream() {
            return body_refused();
        }
        match request.uri().path() {
            "/metrics" => plain_text(self.metrics()),
            "/dump" => plain_text(format!("{:#}\n", self.dump())),
            PATH => explain::answer(&self.0, request.uri()),
            _ => {
                let mut response = plain_text("not found\n".to_owned());
                *response.status_mut() = StatusCode::NOT_FOUND;
                response
            }
        }
    }
}

impl<N: Net, D> Metrics<N, D> {
    fn metrics(&self) -> String {
        let mut text = String::new();
        for (counter, value) in self.0.counters.iter() {
            let name = counter.name().replace(['.', '-'], "_");
            // Writing to a string does not fail.
            let _ = writeln!(text, "{PREFIX}_{name} {value}");
        }
        text + &self.0.latency.render()
    }

    fn dump(&self) -> Value {
        let mesh = &self.0;
        let now = Instant::now();
        let registry = mesh.registry.borrow();
        let routes = mesh.routes.borrow();
        let organisations = routes.as_ref().and_then(|table| table.organisations());
        json!({
            "name": mesh.settings.name,
            "service": mesh.settings.service,
            "zone": mesh.settings.zone,
            "ready": mesh.is_ready(),
            "leaving": mesh.retiring.get(),
            "store": {
                "epoch": mesh.counters.get(Counter::ConfigEpoch),
                "read_to": mesh.counters.get(Counter::ConfigReadTo),
            },
            "routes": routes.as_ref().map(|table| table.revision()),
            "organisations": organisations.map(|all| json!({
                "count": all.len(),
                "keys": all.key_count(),
            })),
            "gate": {
                "load": mesh.gate.load().to_string(),
                "level": mesh.gate.level(),
                "rate_limit": mesh.gate.rate_limit().map(RateLimit::per_second),
            },
            "server": { "connections": mesh.pool.open(), "down": mesh.health.is_down() },
            "quota": mesh.quotas.is_active().then(|| mesh.quotas.dump()),
            "links": mesh.links.open_count(),
            "backends": registry.iter().map(|b| backend_json(b, now)).collect::<Vec<_>>(),
            "upstreams": mesh.router.statuses(),
        })
    }
}

fn backend_json(record: &BackendRecord, now: Instant) -> Value {
    let age = |at: Instant| now.duration_since(at).as_millis() as u64;
    json!({
        "id": record.backend.id.as_str(),
        "service": record.backend.service,
        "address": record.backend.address,
        "phase": format!("{:?}", record.backend.phase).to_lowercase(),
        "slots": record.backend.slots,
        "revision": record.revision.to_string(),
        "age_ms": age(record.read_at),
        "missing_ms": record.missing_since.map(age),
        "lost": record.is_lost,
    })
}

fn plain_text(text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(text));
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, plain);
    response
}
