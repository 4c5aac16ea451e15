//! Guards against work that goes on for callers that have left, because the end of their connection
//! is behind bytes for which a node has no room.

mod support;

use std::{
    cell::Cell,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use comfreybay::{
    state::{counters::Counter, mesh::route::Route},
    transport::{
        net::{Conn, Listener, Net},
        pipeline::UNREAD_MAX_BYTES,
        tcp::TcpNet,
    },
};
use support::{
    Script,
    caller::{Caller, get, with_lines},
    local,
    mesh::{MeshFleet, route, sealed},
    script,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

/// Time within which work for a caller that has left has to end.
const SLACK: Duration = Duration::from_millis(500);
const WORK_MS: u64 = 4_000;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Counts a request while its server is at work.
struct AtWork(Rc<Cell<usize>>);

impl AtWork {
    fn start(count: &Rc<Cell<usize>>) -> Self {
        count.update(|n| n + 1);
        Self(count.clone())
    }
}

impl Drop for AtWork {
    fn drop(&mut self) {
        self.0.update(|n| n - 1);
    }
}

/// A server that takes as long as the number at the end of the path says, in ms.
fn server(at_work: Rc<Cell<usize>>) -> Script {
    script(move |seen| {
        let at_work = AtWork::start(&at_work);
        async move {
            let path = seen.request.uri().path().to_owned();
            sleep(ms(path.rsplit('/').next().unwrap().parse().unwrap())).await;
            drop(at_work);
            sealed(&seen, &path)
        }
    })
}

async fn fleet() -> (MeshFleet, Rc<Cell<usize>>) {
    let at_work = Rc::new(Cell::new(0));
    let services = [("front", 1, 400), ("deep", 1, 400)];
    let timeout = Duration::from_secs(8);
    let any = Route {
        timeout,
        target: timeout,
        ..route("a", "deep")
    };
    let fleet = MeshFleet::with(&services, vec![any], server(at_work.clone())).await;
    (fleet, at_work)
}

fn count(fleet: &MeshFleet, counter: Counter) -> u64 {
    fleet.pairs["front-0"].mesh.counters.get(counter)
}

fn path(number: usize, work_ms: u64) -> String {
    format!("/a/{number}/{work_ms}")
}

/// Heads of one size, the first `first` with short work and the others with long work.
fn heads(count: usize, field_bytes: usize, first: usize) -> String {
    let line = format!("cookie: {}\r\n", "a".repeat(field_bytes));
    let work = |n| if n < first { 50 } else { WORK_MS };
    let heads = (0..count).map(|n| with_lines("GET", &path(n, work(n)), &line));
    heads.collect()
}

/// A request with a body, and heads behind it.
fn body_and_heads(body_bytes: usize, count: usize, field_bytes: usize) -> String {
    let line = format!("content-length: {body_bytes}\r\n");
    let body = "b".repeat(body_bytes);
    let first = with_lines("POST", &path(0, WORK_MS), &line);
    first + &body + &heads(count, field_bytes, 0)
}

/// The begin of a request with a body.
fn part_of_a_body(bytes: usize) -> String {
    let mut text = body_and_heads(200_000, 0, 0);
    text.truncate(bytes);
    text
}

/// Sends requests, leaves after `stay_ms`, and checks that the work ends and nothing arrives later.
async fn leave(text: String, stay_ms: u64, what: &str) {
    let (fleet, at_work) = fleet().await;
    let mut caller = Caller::dial(&fleet, "front-0").await;
    caller.write(&text).await;
    sleep(ms(stay_ms)).await;
    drop(caller);
    sleep(SLACK).await;
    assert_eq!(at_work.get(), 0, "{what}: at work after {SLACK:?}");
    let arrived = fleet.runs.borrow().len();
    sleep(ms(WORK_MS * 2)).await;
    let late = fleet.runs.borrow().len() - arrived;
    assert_eq!(late, 0, "{what}: requests that arrive later");
}

/// Guards against a node that reads nothing behind heads of many bytes, the end neither.
#[tokio::test(start_paused = true)]
async fn work_ends_for_callers_that_leave_behind_unread_heads() {
    let cases = [
        ("few large heads", heads(8, 12_000, 0)),
        ("large heads", heads(14, 15_500, 0)),
        ("many small heads", heads(1_500, 10, 0)),
        ("heads of ordinary size", heads(250, 500, 0)),
        ("heads behind a body", body_and_heads(100_000, 9, 12_000)),
        ("small heads behind a body", body_and_heads(10, 1_200, 10)),
        ("one request at a time", heads(1, 12_000, 0)),
        ("one small request", heads(1, 1, 0)),
        ("part of a head", heads(9, 12_000, 0)[..100_000].to_owned()),
        ("part of a body", part_of_a_body(50_000)),
        (
            "part of a body behind heads",
            heads(3, 12_000, 0) + &part_of_a_body(60_000),
        ),
        (
            "part of a body behind one head",
            heads(1, 10, 0) + &part_of_a_body(90_000),
        ),
    ];
    for (what, text) in cases {
        local(leave(text, 500, what)).await;
    }
}

/// Guards against an end that is noticed at some moments only: before the first answer, between
/// answers, and while answers wait to be read.
#[tokio::test(start_paused = true)]
async fn work_ends_whenever_the_caller_leaves() {
    for stay_ms in [0, 1, 5, 45, 52, 60, 110, 160, 700, 2_000] {
        for first in [0, 1, 3, 9] {
            let what = format!("{first} answers, left after {stay_ms} ms");
            local(leave(heads(16, 12_000, first), stay_ms, &what)).await;
        }
    }
}

/// Guards against a connection that is taken for ended because there is no room to read further.
#[tokio::test(start_paused = true)]
async fn caller_that_stays_gets_all_answers() {
    for (number, bytes) in [(12, 12_000), (1_000, 10)] {
        local(async move {
            let (fleet, _) = fleet().await;
            let mut caller = Caller::dial(&fleet, "front-0").await;
            let text = heads(number, bytes, number);
            assert!(text.len() > UNREAD_MAX_BYTES);
            caller.write(&text).await;
            let answers = caller.answers(number).await;
            let bodies = answers.iter().map(|a| String::from_utf8_lossy(&a.body));
            let expected: Vec<_> = (0..number).map(|n| path(n, 50)).collect();
            let bodies: Vec<_> = bodies.collect();
            assert_eq!(bodies, expected, "{number} heads of {bytes} bytes");
            assert_eq!(count(&fleet, Counter::EndsSeen), 0);
            // Later requests of the connection are served as well.
            caller.write(get("/a/9/1")).await;
            assert_eq!(caller.answer().await.unwrap().status, 200);
        })
        .await;
    }
}

/// Guards against ends that nobody sees when many callers leave at once.
#[tokio::test(start_paused = true)]
async fn work_ends_for_a_crowd_that_leaves() {
    local(async {
        let (fleet, at_work) = fleet().await;
        let mut callers = Vec::new();
        for _ in 0..40 {
            let mut caller = Caller::dial(&fleet, "front-0").await;
            caller.write(heads(8, 12_000, 0)).await;
            callers.push(caller);
        }
        sleep(ms(500)).await;
        assert!(at_work.get() > 40);
        drop(callers);
        sleep(SLACK).await;
        assert_eq!(at_work.get(), 0);
        assert_eq!(count(&fleet, Counter::EndsSeen), 40);
        assert_eq!(count(&fleet, Counter::EndsUnwatched), 0);
    })
    .await;
}

/// Both ends of a TCP connection on loopback; nothing is read at the second one.
async fn tcp_pair() -> (TcpStream, TcpStream) {
    let net = TcpNet::new(Ipv4Addr::LOCALHOST.into());
    let at = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0);
    let mut listener = net.bind(at).await.unwrap();
    let at = listener.local_addr().unwrap();
    let (near, far) = tokio::join!(net.dial(at), Listener::accept(&mut listener));
    (near.unwrap(), far.unwrap().0)
}

async fn is_ended(end: &mut (impl Future<Output = ()> + Unpin)) -> bool {
    timeout(ms(200), end).await.is_ok()
}

/// Guards against an end of a TCP connection that is not seen behind unread bytes, or seen before it
/// has come.
#[tokio::test]
async fn end_of_a_tcp_connection_is_seen_behind_unread_bytes() {
    let bytes = [7; 20_000];
    for (reads_some, resets) in [(false, false), (true, false), (false, true)] {
        let what = format!("reads some: {reads_some}, resets: {resets}");
        let (mut near, mut far) = tcp_pair().await;
        near.write_all(&bytes).await.unwrap();
        if reads_some {
            far.read_exact(&mut [0; 1_000]).await.unwrap();
        }
        let mut end = far.end();
        assert!(!is_ended(&mut end).await, "{what}: before the end");
        near.write_all(&bytes[..100]).await.unwrap();
        assert!(!is_ended(&mut end).await, "{what}: more bytes");
        if resets {
            // A close with unread bytes resets the connection.
            far.write_all(&bytes).await.unwrap();
            sleep(ms(20)).await;
        }
        drop(near);
        assert!(is_ended(&mut end).await, "{what}: after the end");
        assert!(is_ended(&mut far.end()).await, "{what}: asked afterwards");
        if !resets {
            let mut left = Vec::new();
            let started = Instant::now();
            far.read_to_end(&mut left).await.unwrap();
            let read = if reads_some { 1_000 } else { 0 };
            assert_eq!(left.len(), bytes.len() + 100 - read, "{what}");
            assert!(started.elapsed() < ms(500), "{what}");
        }
    }
}
