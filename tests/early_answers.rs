//! Guards against answers that look complete, or valid, although the backend server broke them off
//! while it was still being sent the request, or gave no valid status. On loopback, because a write
//! can take the error of a reset, so that a later read finds the end of the connection instead.

mod support;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use comfreybay::state::{
    id::Revision,
    mesh::route::{Bounds, Route, RouteTable, Service},
};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use support::{
    caller::{Caller, Received, get},
    local,
    mesh::route,
    tcp::TcpFleet,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::{sleep, timeout},
};

/// More than the buffers of a connection take.
const UPLOAD_BYTES: usize = 12 << 20;
/// Receive buffer of the server's connections.
const SERVER_BUFFER_BYTES: u32 = 8 * 1_024;
const LIMIT: Duration = Duration::from_secs(5);
/// Time that the server takes for an answer behind which others wait.
const WAIT: Duration = Duration::from_millis(200);

/// How the end of the answer's body is given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Close,
    Length,
    Chunked,
}

/// An answer that breaks off.
#[derive(Debug, Clone, Copy)]
struct Broken {
    end: End,
    /// Bytes of the body that are sent.
    sent: usize,
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Reads a head; returns the attempt ID and the target, or nothing at the end of the connection.
async fn read_head(conn: &mut TcpStream) -> Option<(String, String)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(conn.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).unwrap();
    let id = head.lines().find_map(|line| line.strip_prefix("x-id: "));
    let target = head.split(' ').nth(1).unwrap();
    Some((id.unwrap_or_default().to_owned(), target.to_owned()))
}

fn head(status: &str, id: &str, lines: &str) -> String {
    format!("HTTP/1.1 {status}\r\nx-id: {id}\r\nx-seal: s\r\n{lines}\r\n")
}

fn begin(broken: Broken, id: &str) -> Vec<u8> {
    let whole = broken.sent * 2;
    let lines = match broken.end {
        End::Close => String::new(),
        End::Length => format!("content-length: {whole}\r\n"),
        End::Chunked => "transfer-encoding: chunked\r\n".to_owned(),
    };
    let mut bytes = head("200 OK", id, &lines).into_bytes();
    if broken.end == End::Chunked {
        bytes.extend(format!("{:x}\r\n", broken.sent).bytes());
    }
    bytes.extend(vec![b'x'; broken.sent]);
    if broken.end == End::Chunked {
        bytes.extend(b"\r\n");
    }
    bytes
}

type Answer = Box<dyn Fn(&str) -> Vec<u8>>;

/// The server beside the second node: targets that end in `/ok` are answered, after `WAIT` if they end
/// in `/wait/ok`. Any other target gets the `answer`, and the connection is reset behind it.
struct Server {
    answer: RefCell<Answer>,
    read: Cell<usize>,
    pause: Cell<Duration>,
    /// Requests with another target that have arrived.
    arrived: Cell<usize>,
}

impl Server {
    async fn run(self: Rc<Self>, at: SocketAddr) {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_reuseaddr(true).unwrap();
        socket.set_recv_buffer_size(SERVER_BUFFER_BYTES).unwrap();
        socket.bind(at).unwrap();
        let listener = socket.listen(64).unwrap();
        while let Ok((conn, _)) = listener.accept().await {
            tokio::task::spawn_local(self.clone().serve(conn));
        }
    }

    async fn serve(self: Rc<Self>, mut conn: TcpStream) {
        while let Some((id, target)) = read_head(&mut conn).await {
            if target.ends_with("/ok") {
                let wait = target.ends_with("/wait/ok");
                sleep(if wait { WAIT } else { Duration::ZERO }).await;
                let ok = head("200 OK", &id, "content-length: 2\r\n") + "ok";
                let _ = conn.write_all(ok.as_bytes()).await;
                continue;
            }
            self.arrived.update(|n| n + 1);
            let _ = conn.read_exact(&mut vec![0; self.read.get()]).await;
            let answer = self.answer.borrow()(&id);
            let _ = conn.write_all(&answer).await;
            sleep(self.pause.get()).await;
            // The rest of the request's body is unread, which resets the connection.
            if target.starts_with("/b/") {
                conn.set_zero_linger().unwrap();
            }
            return;
        }
    }
}

fn routes() -> RouteTable {
    let upload = Route {
        idempotent: false,
        timeout: LIMIT,
        target: LIMIT,
        attempts: 1,
        ..route("a", "deep")
    };
    // Its requests are started ahead.
    let ahead = Route {
        class: "b".parse().unwrap(),
        prefix: "/b/".to_owned(),
        idempotent: true,
        ..upload.clone()
    };
    let bounds = Bounds {
        body_bytes: 2 * UPLOAD_BYTES,
        header_bytes: 16_384,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let services = BTreeMap::from([("deep".parse().unwrap(), Service { connections: 100 })]);
    RouteTable::new(Revision(1), vec![upload, ahead], services, bounds).unwrap()
}

type Sender = SendRequest<Full<Bytes>>;

async fn connect(at: SocketAddr) -> Option<Sender> {
    let conn = TcpStream::connect(at).await.ok()?;
    let (sender, conn) = http1::handshake(TokioIo::new(conn)).await.ok()?;
    tokio::task::spawn_local(conn);
    Some(sender)
}

/// Sends a request; the status and the body, or nothing if no complete answer came.
async fn post(at: SocketAddr, target: &str, body: Bytes) -> Option<(StatusCode, Bytes)> {
    let mut sender = connect(at).await?;
    let request = Request::post(target)
        .header("host", "h")
        .header("x-id", "1")
        .header("x-left", LIMIT.as_millis().to_string())
        .body(Full::new(body))
        .unwrap();
    let answered = async {
        let response = sender.send_request(request).await.ok()?;
        let status = response.status();
        let body = response.into_body().collect().await.ok()?;
        Some((status, body.to_bytes()))
    };
    let answer = timeout(LIMIT * 2, answered).await;
    answer.expect("the request ends")
}

/// Two nodes; the server is beside the second one.
struct World {
    fleet: TcpFleet,
    server: Rc<Server>,
}

impl World {
    fn start(block: u8) -> Self {
        let server = Rc::new(Server {
            answer: RefCell::new(Box::new(|_| Vec::new())),
            read: Cell::default(),
            pause: Cell::default(),
            arrived: Cell::default(),
        });
        let mut fleet = TcpFleet::new(block);
        tokio::task::spawn_local(server.clone().run(fleet.server(2)));
        fleet.join(1, "front");
        fleet.join(2, "deep");
        fleet.put_routes(routes());
        Self { fleet, server }
    }

    /// Sends a request to the server through its own node and through another one, on new connections
    /// to it and on kept ones.
    async fn answers(
        &self,
        body: &Bytes,
        answer: Answer,
    ) -> Vec<(String, Option<(StatusCode, Bytes)>)> {
        *self.server.answer.borrow_mut() = answer;
        let mut all = Vec::new();
        for (node, path) in [(2, "own server"), (1, "server of another node")] {
            let at = self.fleet.outbound(node);
            wait_until_served(at).await;
            // The first one ends the connection that was kept.
            for connection in ["kept connection", "new connection"] {
                let answer = self.post_until_arrived(at, body).await;
                all.push((format!("{path}, {connection}"), answer));
            }
        }
        all
    }

    /// Sends a request until the server has got it. The node refuses it for a while after a failure.
    async fn post_until_arrived(
        &self,
        at: SocketAddr,
        body: &Bytes,
    ) -> Option<(StatusCode, Bytes)> {
        let before = self.server.arrived.get();
        for number in 0..100 {
            // One target would soon be taken for a request that crashes servers.
            let target = format!("/a/{before}/{number}");
            let answer = post(at, &target, body.clone()).await;
            if self.server.arrived.get() > before {
                return answer;
            }
            sleep(ms(20)).await;
        }
        panic!("no request reaches the server");
    }
}

/// Sends three requests at once, the second one of which gets the server's `answer` while the first
/// one waits. Returns what the caller receives.
async fn answers_ahead(world: &World, at: SocketAddr) -> Vec<Received> {
    for number in 0..100 {
        let before = world.server.arrived.get();
        let mut caller = Caller(TcpStream::connect(at).await.unwrap());
        let broken = format!("/b/{before}/{number}");
        let targets = ["/b/wait/ok", &broken, "/b/ok"];
        caller.write(targets.map(get).concat()).await;
        sleep(WAIT / 2).await;
        // The node refuses requests for a while after a failure.
        if world.server.arrived.get() > before {
            return timeout(LIMIT, caller.answers(3)).await.unwrap();
        }
    }
    panic!("no request is started ahead");
}

/// Waits until a node serves, which also leaves a connection to the server that is kept.
async fn wait_until_served(at: SocketAddr) {
    for _ in 0..100 {
        if let Some((StatusCode::OK, _)) = post(at, "/a/ok", Bytes::new()).await {
            return;
        }
        sleep(ms(50)).await;
    }
    panic!("no request is served");
}

fn upload() -> Bytes {
    Bytes::from(vec![b'u'; UPLOAD_BYTES])
}

/// Guards against the begin of an answer that is taken for all of it, because the connection is reset
/// while a long body is still being written.
#[tokio::test]
async fn answer_that_is_reset_during_an_upload_does_not_look_complete() {
    local(async {
        let (world, upload) = (World::start(1), upload());
        for end in [End::Close, End::Length, End::Chunked] {
            for sent in [400, 100_000] {
                for (read, pause_ms) in [(0, 0), (0, 20), (100_000, 0), (100_000, 20)] {
                    let case = Broken { end, sent };
                    world.server.read.set(read);
                    world.server.pause.set(ms(pause_ms));
                    let answer = Box::new(move |id: &str| begin(case, id));
                    for (what, answer) in world.answers(&upload, answer).await {
                        if let Some((status, body)) = answer {
                            let bytes = body.len();
                            assert!(
                                status.is_server_error(),
                                "{case:?} after {read} and {pause_ms} ms, {what}: {status} with {bytes} bytes"
                            );
                        }
                    }
                }
            }
        }
    })
    .await;
}

/// Guards against a broken answer to a request that was started ahead: it must not look complete, or
/// be taken for that of the request before it or behind it.
#[tokio::test]
async fn broken_answers_to_requests_started_ahead_stay_in_their_place() {
    local(async {
        let world = World::start(3);
        let mut cases: Vec<(String, Box<dyn Fn() -> Answer>)> = Vec::new();
        for end in [End::Close, End::Length, End::Chunked] {
            // The longer one does not fit into the memory for an answer that waits.
            for sent in [400, 1_000_000] {
                let case = Broken { end, sent };
                let answer = move || -> Answer { Box::new(move |id| begin(case, id)) };
                cases.push((format!("{case:?}"), Box::new(answer)));
            }
        }
        for status in ["000 OK", "101 Switching Protocols"] {
            let text = move |id: &str| head(status, id, "content-length: 3\r\n") + "abc";
            let answer = move || -> Answer { Box::new(move |id| text(id).into_bytes()) };
            cases.push((status.to_owned(), Box::new(answer)));
        }
        for (case, answer) in cases {
            for (node, path) in [(2, "own server"), (1, "server of another node")] {
                let at = world.fleet.outbound(node);
                wait_until_served(at).await;
                *world.server.answer.borrow_mut() = answer();
                let answers = answers_ahead(&world, at).await;
                let summary = answers.iter().map(|a| (a.status, a.body.len()));
                let what = format!("{case}, {path}: {:?}", summary.collect::<Vec<_>>());
                let [first, rest @ ..] = answers.as_slice() else {
                    panic!("{what}");
                };
                assert_eq!((first.status, &*first.body), (200, &b"ok"[..]), "{what}");
                if let Some(broken) = rest.first() {
                    assert!(broken.status >= 500, "{what}");
                }
                if let Some(last) = rest.get(1) {
                    let is_served = last.status == 200 && last.body == b"ok";
                    assert!(is_served || last.status >= 500, "{what}");
                }
            }
        }
    })
    .await;
}

/// Guards against an answer without a valid status that is passed on.
#[tokio::test]
async fn answer_without_a_valid_status_is_a_failure() {
    local(async {
        let (world, body) = (World::start(2), Bytes::from_static(b"b"));
        let statuses = [
            "000 OK",
            "000",
            "001 OK",
            "099 OK",
            "20 OK",
            "2000 OK",
            "+20 OK",
            "101 Switching Protocols",
        ];
        let ends = [
            "content-length: 3\r\n\r\nabc",
            "\r\nabc",
            "transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        ];
        for status in statuses {
            for end in ends {
                let answer = Box::new(move |id: &str| {
                    let mut text = head(status, id, "");
                    text.truncate(text.len() - 2);
                    (text + end).into_bytes()
                });
                for (what, answer) in world.answers(&body, answer).await {
                    let (got, body) = answer.expect("the caller gets an answer");
                    assert_eq!(got, StatusCode::BAD_GATEWAY, "{status}, {end:?}, {what}");
                    assert!(!body.ends_with(b"abc"), "{status}, {end:?}, {what}");
                }
            }
        }
    })
    .await;
}
