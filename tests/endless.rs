//! Guards against bytes from a backend server that are no answer and don't end.

mod support;

use std::{cell::Cell, rc::Rc, time::Duration};

use http::StatusCode;
use support::{
    CALLER, local,
    mesh::{MeshFleet, OUTBOUND, route, sealed},
    raw::RawConn,
    script,
};
use tokio::{
    io::AsyncWriteExt,
    time::{Instant, sleep},
};

use comfreybay::transport::{memory::Process, net::Net};

const LEFT: (&str, &str) = ("x-left", "1000");
const ANSWER: &str = "HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s\r\n";
/// Two nodes' windows and buffers for one answer.
const HELD_MAX_BYTES: usize = 4 * 1_024 * 1_024;

/// What the server has written, and whether its connection was closed.
#[derive(Debug, Default)]
struct Writer {
    bytes: Cell<usize>,
    closed: Cell<bool>,
}

async fn start(begin: String, repeated: String, writer: Rc<Writer>) -> MeshFleet {
    let serve = move |mut conn: RawConn| {
        let (begin, writer) = (begin.clone(), writer.clone());
        let block = repeated.repeat(16 * 1_024 / repeated.len());
        async move {
            if conn.read(false).await.is_none() || !conn.write(begin.as_bytes()).await {
                return;
            }
            while conn.write(block.as_bytes()).await {
                writer.bytes.set(writer.bytes.get() + block.len());
                sleep(Duration::from_millis(1)).await;
            }
            writer.closed.set(true);
        }
    };
    let script = script(|seen| async move { sealed(&seen, "") });
    let services = [("front", 1, 4), ("deep", 1, 4)];
    let fleet = MeshFleet::with(&services, vec![route("a", "deep")], script).await;
    fleet.replace_server("deep-0", serve).await;
    fleet
}

/// The start of each kind of bytes without end, and what is repeated.
fn cases() -> Vec<(String, &'static str)> {
    let chunked = format!("{ANSWER}transfer-encoding: chunked\r\n\r\n");
    vec![
        (String::new(), "a"),
        (ANSWER.to_owned(), "x-junk: a\r\n"),
        (format!("{ANSWER}x-junk: "), "a"),
        (String::new(), "HTTP/1.1 100 Continue\r\n\r\n"),
        (format!("{ANSWER}\r\n"), "a"),
        (chunked.clone(), "1\r\na\r\n"),
        (format!("{chunked}1;"), "a"),
        (format!("{chunked}1\r\na\r\n0\r\n"), "x-junk: a\r\n"),
    ]
}

/// Guards against a request that doesn't end, or that looks complete, while its server writes bytes
/// without end, and against a connection that stays open for them.
#[tokio::test(start_paused = true)]
async fn bytes_without_end_end_the_request_and_the_connection() {
    for (begin, repeated) in cases() {
        for node in ["front-0", "deep-0"] {
            let case = format!("{begin:?} {repeated:?} at {node}");
            local(async {
                let writer = Rc::new(Writer::default());
                let fleet = start(begin.clone(), repeated.to_owned(), writer.clone()).await;
                let sent = Instant::now();
                let answer = fleet.post(node, "/a/", &[("x-id", "1"), LEFT]).await;
                let spent = sent.elapsed();
                assert!(spent < Duration::from_millis(1_100), "{case}: {spent:?}");
                if let Ok(answer) = answer {
                    let failed = [StatusCode::BAD_GATEWAY, StatusCode::GATEWAY_TIMEOUT];
                    assert!(failed.contains(&answer.status), "{case}: {}", answer.status);
                }
                sleep(Duration::from_millis(50)).await;
                assert!(writer.closed.get(), "{case}");
            })
            .await;
        }
    }
}

/// Sends a request whose caller reads nothing, and waits until its time limit has passed.
async fn post_unread(fleet: &MeshFleet) {
    let at = (fleet.pairs["front-0"].entry.address.ip(), OUTBOUND).into();
    let net = fleet.network.net(CALLER, Process::default());
    let mut conn = net.dial(at).await.unwrap();
    let head = "POST /a/ HTTP/1.1\r\nhost: h\r\nx-id: 1\r\nx-left: 1000\r\n";
    let request = format!("{head}content-length: 4\r\n\r\nbody");
    conn.write_all(request.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(1_100)).await;
}

/// Guards against a node that holds more and more bytes for a caller that doesn't read.
#[tokio::test(start_paused = true)]
async fn bytes_without_end_are_not_held_for_a_caller_that_does_not_read() {
    let interim = "HTTP/1.1 100 Continue\r\n\r\n";
    for (begin, repeated) in cases().into_iter().filter(|(_, r)| *r != interim) {
        local(async {
            let writer = Rc::new(Writer::default());
            let fleet = start(begin.clone(), repeated.to_owned(), writer.clone()).await;
            post_unread(&fleet).await;
            let held = writer.bytes.get();
            assert!(held < HELD_MAX_BYTES, "{begin:?} {repeated:?}: {held}");
        })
        .await;
    }
}

/// Guards against a caller that doesn't read and so keeps a server's connection and slot beyond the
/// time limit.
#[tokio::test(start_paused = true)]
async fn unread_answer_without_end_is_closed_at_the_time_limit() {
    let mut open = Vec::new();
    for (begin, repeated) in cases() {
        local(async {
            let writer = Rc::new(Writer::default());
            let fleet = start(begin.clone(), repeated.to_owned(), writer.clone()).await;
            post_unread(&fleet).await;
            if !writer.closed.get() {
                open.push(format!("{begin:?} {repeated:?}"));
            }
        })
        .await;
    }
    assert!(open.is_empty(), "still open:\n{}", open.join("\n"));
}

/// Guards against a connection that is used again after a complete answer with bytes behind it.
#[tokio::test(start_paused = true)]
async fn bytes_without_end_after_an_answer_close_the_connection() {
    local(async {
        let writer = Rc::new(Writer::default());
        let begin = format!("{ANSWER}content-length: 2\r\n\r\nok");
        let fleet = start(begin, "a".to_owned(), writer.clone()).await;
        for _ in 0..2 {
            let answer = fleet.post("front-0", "/a/", &[("x-id", "1"), LEFT]).await;
            assert_eq!(answer.unwrap().body, "ok");
        }
        sleep(Duration::from_millis(50)).await;
        assert!(writer.closed.get());
    })
    .await;
}
