//! Guards the limits on callers of a node on a platform.

mod support;

use std::time::Duration;

use comfreybay::transport::{
    memory::{MemoryConn, Process},
    net::Net,
};
use support::{
    CALLER, local,
    mesh::{MeshFleet, OUTBOUND, route, sealed},
    script,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    time::{Instant, sleep, timeout},
};

const WAIT: Duration = Duration::from_secs(60);

async fn start() -> MeshFleet {
    let script = script(|seen| async move { sealed(&seen, "done") });
    let services = [("front", 1, 4), ("deep", 1, 4)];
    let mut route = route("a", "deep");
    route.timeout = Duration::from_secs(60);
    MeshFleet::with(&services, vec![route], script).await
}

async fn dial(fleet: &MeshFleet) -> MemoryConn {
    let at = (fleet.pairs["front-0"].entry.address.ip(), OUTBOUND).into();
    let net = fleet.network.net(CALLER, Process::default());
    net.dial(at).await.unwrap()
}

/// Reads until the node closes the connection.
async fn read_to_end(conn: &mut MemoryConn) -> String {
    let mut answer = Vec::new();
    let read = timeout(WAIT, conn.read_to_end(&mut answer)).await;
    assert!(read.is_ok(), "the connection is still open");
    String::from_utf8_lossy(&answer).into_owned()
}

/// A request whose head has this many bytes.
fn request(bytes: usize, fill: impl Fn(usize) -> String) -> String {
    let begin = "GET /a/ HTTP/1.1\r\nhost: h\r\nx-id: 1\r\nx-left: 1000\r\nconnection: close\r\n";
    let left = bytes - begin.len() - 2;
    format!("{begin}{}\r\n", fill(left))
}

/// Guards against a head within the configured limit that is refused for the number of its fields,
/// also by another node, and against one beyond it that is served.
#[tokio::test(start_paused = true)]
async fn heads_are_served_up_to_the_configured_limit() {
    local(async {
        let fleet = start().await;
        let long = |left: usize| format!("x-long: {}\r\n", "a".repeat(left - 10));
        let many = |left: usize| {
            // Each has a name of four characters.
            let fields = (left - 20) / 7;
            let fields: String = (0..fields)
                .map(|n| format!("{:x}:\r\n", 4_096 + n))
                .collect();
            fields
        };
        for (head, status) in [
            (request(16_000, long), 200),
            (request(16_000, many), 200),
            (request(16_600, long), 431),
            (request(20_000, long), 431),
        ] {
            let mut conn = dial(&fleet).await;
            conn.write_all(head.as_bytes()).await.unwrap();
            let answer = read_to_end(&mut conn).await;
            let expected = format!("HTTP/1.1 {status}");
            assert!(answer.starts_with(&expected), "{status}: {answer:?}");
        }
    })
    .await;
}

/// Guards against heads that come slowly and hold a connection, and against the close of one that is
/// idle for less than the configured time.
#[tokio::test(start_paused = true)]
async fn time_of_a_head_is_bounded_and_idle_connections_stay_open() {
    local(async {
        let fleet = start().await;
        let mut conn = dial(&fleet).await;
        sleep(Duration::from_secs(12)).await;
        let begin = Instant::now();
        let head = "GET /a/ HTTP/1.1\r\nhost: h\r\nx-id: 1\r\nx-left: 1000\r\n\r\n";
        conn.write_all(head.as_bytes()).await.unwrap();
        let mut answer = [0; 4_096];
        let size = conn.read(&mut answer).await.unwrap();
        assert!(answer[..size].starts_with(b"HTTP/1.1 200"));
        conn.write_all(b"GET /a/ HTTP/1.1\r\nhost: ").await.unwrap();
        read_to_end(&mut conn).await;
        let spent = begin.elapsed();
        assert!(spent >= Duration::from_secs(3), "{spent:?}");
        assert!(spent < Duration::from_millis(3_500), "{spent:?}");
    })
    .await;
}

async fn post_slowly(fleet: &MeshFleet, piece: usize, count: usize) -> String {
    let mut conn = dial(fleet).await;
    let head = format!(
        "POST /a/ HTTP/1.1\r\nhost: h\r\nx-id: 1\r\nx-left: 60000\r\nconnection: close\r\n\
         content-length: {}\r\n\r\n",
        piece * count
    );
    conn.write_all(head.as_bytes()).await.unwrap();
    for _ in 0..count {
        sleep(Duration::from_millis(100)).await;
        if conn.write_all(&vec![b'a'; piece]).await.is_err() {
            break;
        }
    }
    read_to_end(&mut conn).await
}

/// Guards against bodies at some bytes a second that are read on, and against a client on a slow line
/// that is refused.
#[tokio::test(start_paused = true)]
async fn bodies_need_a_lowest_rate() {
    local(async {
        let fleet = start().await;
        let answer = post_slowly(&fleet, 200, 150).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
        let begin = Instant::now();
        let answer = post_slowly(&fleet, 1, 600).await;
        assert!(begin.elapsed() < Duration::from_secs(6));
        assert!(answer.starts_with("HTTP/1.1 408"), "{answer:?}");
        assert!(answer.contains("connection: close"), "{answer:?}");
        assert_eq!(fleet.runs.borrow().len(), 1);
    })
    .await;
}

/// Guards against a request for a path without a route whose body is waited for.
#[tokio::test(start_paused = true)]
async fn bodies_without_a_route_are_not_read() {
    local(async {
        let fleet = start().await;
        let mut conn = dial(&fleet).await;
        let begin = Instant::now();
        let head = "POST /b/ HTTP/1.1\r\nhost: h\r\ncontent-length: 1000000\r\n\r\nabc";
        conn.write_all(head.as_bytes()).await.unwrap();
        let answer = read_to_end(&mut conn).await;
        assert!(answer.starts_with("HTTP/1.1 404"), "{answer:?}");
        assert!(begin.elapsed() < Duration::from_secs(1));
    })
    .await;
}
