//! A small in-memory fleet: real nodes with scripted backend servers.
#![allow(dead_code, reason = "each test binary uses a part of it")]

mod backend;
pub mod caller;
pub mod changes;
pub mod mesh;
pub mod raw;
pub mod store;
pub mod tcp;

use std::{
    cell::RefCell,
    collections::BTreeMap,
    convert::Infallible,
    future::Future,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    pin::Pin,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use comfreybay::{
    state::{
        id::Revision,
        object::{Chain, Class, Service, Upstream},
        publication::{Piece, Publication},
        settings::Settings,
    },
    transport::{
        memory::{Host, HostEnd, MemoryNet, Network, Process},
        net::{Listener, Net},
        node::{self, NodeContext},
    },
};
use futures::{FutureExt, StreamExt, future::LocalBoxFuture, stream};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::{body::Incoming, client::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    task::{JoinHandle, LocalSet},
};
use tokio_util::sync::CancellationToken;

pub const CALLER: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 9, 9, 9));

/// Runs a test and the tasks of all hosts on one thread.
pub async fn local<T>(test: impl Future<Output = T>) -> T {
    LocalSet::new().run_until(test).await
}

/// A scripted backend server's reply to a request.
pub enum Reply {
    /// Sends a complete answer.
    Answer(Response<Bytes>),
    /// Sends the chunks without a length, then completes the answer (`true`) or breaks the
    /// connection (`false`).
    Chunks(Vec<Bytes>, bool),
    /// Sends these bytes unchanged and closes the connection.
    Raw(Vec<u8>),
}

pub fn ok(body: impl Into<Bytes>) -> Reply {
    Reply::Answer(Response::new(body.into()))
}

/// A request received by a backend server.
pub struct Seen {
    pub upstream: String,
    pub request: Request<Bytes>,
    net: MemoryNet,
    egress: SocketAddr,
}

impl Seen {
    /// Calls another service through the server's node, with the `cb-call` token of this request.
    pub async fn call(&self, service: &str, body: Bytes) -> Result<Answer, String> {
        self.call_with(
            service,
            self.request.headers()["cb-call"].to_str().unwrap(),
            body,
        )
        .await
    }

    pub async fn call_with(
        &self,
        service: &str,
        token: &str,
        body: Bytes,
    ) -> Result<Answer, String> {
        let request = Request::builder()
            .method(self.request.method())
            .uri(self.request.uri().path_and_query().unwrap().as_str())
            .header("host", service)
            .header("cb-call", token)
            .header("x-id", self.id())
            .body(Full::new(body))
            .unwrap();
        send(&self.net, self.egress, request).await
    }

    /// Sends a request without a body to the server's own node.
    pub async fn send(&self, path: &str, headers: &[(&str, &str)]) -> Result<Answer, String> {
        let mut request = Request::post(path).header("host", "h");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::default()).unwrap();
        send(&self.net, self.egress, request).await
    }

    pub fn id(&self) -> String {
        header(self.request.headers(), "x-id")
    }
}

pub fn header(headers: &HeaderMap, name: &str) -> String {
    headers
        .get(name)
        .map_or("", |v| v.to_str().unwrap())
        .to_owned()
}

pub type Script = Rc<dyn Fn(Seen) -> LocalBoxFuture<'static, Reply>>;

pub fn script<F: Future<Output = Reply> + 'static>(reply: impl Fn(Seen) -> F + 'static) -> Script {
    Rc::new(move |seen| reply(seen).boxed_local())
}

/// Calls the next service of the chain and passes its answer on; the last service echoes the body.
pub fn relay(next: BTreeMap<&'static str, &'static str>) -> Script {
    let next = Rc::new(next);
    script(move |seen: Seen| {
        let next = next.clone();
        async move {
            let service = seen.upstream.split('-').next().unwrap();
            let Some(to) = next.get(service) else {
                return ok(seen.request.body().clone());
            };
            match seen.call(to, seen.request.body().clone()).await {
                Ok(answer) => {
                    let mut response = Response::new(answer.body);
                    *response.status_mut() = answer.status;
                    let below = header(&answer.headers, "cb-outcome");
                    response
                        .headers_mut()
                        .insert("x-below", below.parse().unwrap());
                    Reply::Answer(response)
                }
                Err(_) => {
                    let mut response = Response::new(Bytes::new());
                    *response.status_mut() = StatusCode::BAD_GATEWAY;
                    Reply::Answer(response)
                }
            }
        }
    })
}

/// One upstream: a node and its backend server.
pub struct Member {
    pub settings: Settings,
    pub context: Rc<NodeContext>,
    pub stop: CancellationToken,
    pub node: Process,
    pub task: Option<JoinHandle<HostEnd>>,
    pub server: Process,
}

pub struct Fleet {
    pub network: Network,
    pub members: BTreeMap<String, Member>,
    pub publication: Publication,
    /// Upstream and `x-id` of each request that a backend server has received.
    pub runs: Rc<RefCell<Vec<(String, String)>>>,
    script: Script,
}

pub fn class(name: &str) -> Class {
    serde_json::from_value(serde_json::json!({
        "name": name, "owner": "o", "importance": 1, "deadline_ms": 2_000,
    }))
    .unwrap()
}

/// A publication with a chain of services, each with a number of upstreams. The request path of a
/// class is `/` and its name.
pub fn publication(services: &[(&str, u8)], classes: &[Class]) -> Publication {
    let deployment = serde_json::from_value(serde_json::json!({
        "name": "d", "owner": "o", "favour": "goodput",
        "zones": [{"name": "z", "region": "r"}],
    }))
    .unwrap();
    let names: Vec<_> = services.iter().map(|(s, _)| s.parse().unwrap()).collect();
    let chains: Vec<_> = classes
        .iter()
        .map(|class| Chain {
            name: class.name.as_str().parse().unwrap(),
            owner: class.owner.clone(),
            class: class.name.clone(),
            entry: services[0].0.parse().unwrap(),
            method: "POST".to_owned(),
            path: format!("/{}", class.name),
            calls: names
                .windows(2)
                .map(|w: &[comfreybay::state::id::ServiceName]| (w[0].clone(), vec![w[1].clone()]))
                .collect(),
        })
        .collect();
    let piece = |(index, (service, count)): (usize, &(&str, u8))| Piece {
        service: Service {
            name: service.parse().unwrap(),
            owner: "o".parse().unwrap(),
            shed_header: "x-shed".to_owned(),
        },
        upstreams: (0..*count)
            .map(|n| upstream(service, index as u8, n))
            .collect(),
        limits: vec![],
        chains: chains.clone(),
        classes: classes.to_vec(),
    };
    let pieces = services.iter().enumerate().map(piece).collect();
    Publication::new(Revision(1), deployment, pieces)
}

fn upstream(service: &str, index: u8, n: u8) -> Upstream {
    let at = |port| SocketAddr::new(Ipv4Addr::new(10, 0, index, n + 1).into(), port);
    Upstream {
        name: format!("{service}-{n}").parse().unwrap(),
        owner: "o".parse().unwrap(),
        service: service.parse().unwrap(),
        zone: "z".parse().unwrap(),
        public: at(8000),
        peer: at(8001),
        control: at(8002),
        // A cold server admits a tenth of its slots, which must be enough for every test.
        slots: 500,
        connections: 600,
    }
}

fn settings(upstream: &Upstream, seed: u64) -> Settings {
    let at = |port| SocketAddr::new(upstream.public.ip(), port);
    Settings {
        name: upstream.name.clone(),
        service: upstream.service.clone(),
        zone: upstream.zone.clone(),
        region: "r".parse().unwrap(),
        public: upstream.public,
        peer: upstream.peer,
        control: upstream.control,
        egress: at(8003),
        admin: at(8004),
        server: at(9000),
        configuration: at(7000),
        instances: at(7001),
        seeds: vec![],
        seed: Some(seed),
        log: Default::default(),
        metrics: None,
    }
}

impl Fleet {
    /// Starts all nodes and backend servers.
    pub async fn start(publication: Publication, script: Script) -> Self {
        let mut fleet = Self {
            network: Network::new(1),
            members: BTreeMap::new(),
            publication,
            runs: Rc::default(),
            script,
        };
        let pieces = fleet.publication.pieces.values();
        let upstreams: Vec<_> = pieces.flat_map(|p| p.upstreams.clone()).collect();
        for (seed, upstream) in upstreams.iter().enumerate() {
            let settings = settings(upstream, seed as u64);
            let server = fleet.serve(&settings);
            fleet.join(settings, server);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        fleet
    }

    fn serve(&self, settings: &Settings) -> Process {
        let process = Process::default();
        let net = self.network.net(settings.server.ip(), process.clone());
        let backend = backend::Backend {
            net: net.clone(),
            name: settings.name.to_string(),
            at: settings.server,
            egress: settings.egress,
            script: self.script.clone(),
            runs: self.runs.clone(),
        };
        tokio::task::spawn_local(Host::new(process.clone(), backend.run()));
        process
    }

    fn join(&mut self, settings: Settings, server: Process) {
        let node = Process::default();
        let net = self.network.net(settings.public.ip(), node.clone());
        let context = Rc::new(NodeContext::new(settings.clone()));
        context.store.accept_publication(&self.publication);
        let stop = CancellationToken::new();
        let (run, token) = (context.clone(), stop.clone());
        let main = async move {
            node::run_with(net, run, token).await.unwrap();
        };
        let task = Some(tokio::task::spawn_local(Host::new(node.clone(), main)));
        let name = settings.name.to_string();
        self.members.insert(
            name,
            Member {
                settings,
                context,
                stop,
                node,
                task,
                server,
            },
        );
    }

    /// Crashes the backend server of an upstream.
    pub fn crash_server(&self, name: &str) {
        self.members[name].server.crash();
    }

    /// Starts a new backend server for an upstream.
    pub fn restart_server(&mut self, name: &str) {
        let settings = self.members[name].settings.clone();
        let server = self.serve(&settings);
        self.members.get_mut(name).unwrap().server = server;
    }

    /// Crashes the node of an upstream and starts a new one that has only its settings.
    pub async fn restart_node(&mut self, name: &str) {
        let member = self.members.remove(name).unwrap();
        member.node.crash();
        member.task.unwrap().await.unwrap();
        let mut settings = member.settings;
        settings.seed = settings.seed.map(|s| s + 1_000);
        self.join(settings, member.server);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }

    /// Stops the node of an upstream and waits for its main task to end.
    pub async fn stop_node(&mut self, name: &str) -> HostEnd {
        let member = self.members.get_mut(name).unwrap();
        member.stop.cancel();
        member.task.take().unwrap().await.unwrap()
    }

    pub fn caller(&self) -> MemoryNet {
        self.network.net(CALLER, Process::default())
    }

    /// Sends a request to the public listener of an upstream.
    pub async fn post(
        &self,
        name: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Answer, String> {
        let mut request = Request::post(path).header("host", "public");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let at = self.members[name].settings.public;
        send(
            &self.caller(),
            at,
            request.body(Full::new(body.into())).unwrap(),
        )
        .await
    }

    pub async fn admin(&self, name: &str, path: &str) -> Answer {
        let at = self.members[name].settings.admin;
        let request = Request::get(path)
            .header("host", "admin")
            .body(Full::default())
            .unwrap();
        send(&self.caller(), at, request).await.unwrap()
    }

    /// Upstreams that received the request with this `x-id`, one entry for each time.
    pub fn runs_of(&self, id: &str) -> Vec<String> {
        let runs = self.runs.borrow();
        runs.iter()
            .filter(|(_, i)| i == id)
            .map(|(u, _)| u.clone())
            .collect()
    }
}

/// A complete answer.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    pub fn outcome(&self) -> String {
        header(&self.headers, "cb-outcome")
    }

    pub fn header(&self, name: &str) -> String {
        header(&self.headers, name)
    }
}

/// Sends a request over a new connection; an error if the answer is incomplete.
pub async fn send(
    net: &MemoryNet,
    to: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Answer, String> {
    let text = |e: &dyn std::fmt::Debug| format!("{e:?}");
    let conn = net.dial(to).await.map_err(|e| text(&e))?;
    let (mut sender, conn) = http1::handshake(TokioIo::new(conn))
        .await
        .map_err(|e| text(&e))?;
    let conn = tokio::task::spawn_local(conn);
    let answered = async {
        let response = sender.send_request(request).await.map_err(|e| text(&e))?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(|e| text(&e))?.to_bytes();
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body,
        })
    };
    let guard = AbortOnDrop(conn.abort_handle());
    let answer = answered.await;
    drop(guard);
    answer
}

struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Sends raw bytes and reads until the connection closes or `wait` has passed.
pub async fn raw(net: &MemoryNet, to: SocketAddr, bytes: &[u8], wait: Duration) -> String {
    let conn = net.dial(to).await.unwrap();
    let (mut input, mut output) = tokio::io::split(conn);
    let mut got = Vec::new();
    // The peer may answer and close before it has read the whole request.
    let both = async { tokio::join!(output.write_all(bytes), input.read_to_end(&mut got)) };
    let _ = tokio::time::timeout(wait, both).await;
    String::from_utf8_lossy(&got).into_owned()
}
