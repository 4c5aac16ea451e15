//! Guards requests between two nodes against others whose callers read slowly.

mod support;

use std::time::Duration;

use bytes::Bytes;
use comfreybay::{
    state::memory::{MemorySize, ProcessLimits},
    transport::{
        memory::Process,
        net::{Listener, Net},
    },
};
use http::Response;
use support::{
    CALLER, Reply,
    caller::{Caller, get},
    local,
    mesh::{INBOUND, MeshFleet, route, sealed},
    script,
};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWriteExt},
    time::{sleep, timeout},
};

/// Time in which an ordinary request is answered; the time limit of the slow ones is far longer.
const WAIT: Duration = Duration::from_secs(2);
const ANSWER_BYTES: usize = 10_000_000;
const SLOW_READERS: usize = 30;

/// Servers with an answer of 10 MB for `/a/big` and an ordinary one for other paths.
async fn start() -> MeshFleet {
    let big = Bytes::from(vec![b'x'; ANSWER_BYTES]);
    let script = script(move |seen| {
        let big = big.clone();
        async move {
            match seen.request.uri().path() {
                "/a/big" => {
                    let answer = Response::builder().header("x-id", seen.id());
                    Reply::Answer(answer.header("x-seal", "s").body(big).unwrap())
                }
                _ => sealed(&seen, "done"),
            }
        }
    });
    let services = [("front", 1, 400), ("deep", 1, 400)];
    let mut route = route("a", "deep");
    route.timeout = Duration::from_secs(600);
    MeshFleet::with(&services, vec![route], script).await
}

/// A caller that asks for a long answer with 10 minutes left, and reads nothing.
async fn slow_reader(fleet: &MeshFleet) -> Caller {
    let mut caller = Caller::dial(fleet, "front-0").await;
    caller
        .write(get("/a/big").replace("x-left: 8000", "x-left: 600000"))
        .await;
    caller
}

/// Guards against answers that wait for slow callers and hold up all others between two nodes.
#[tokio::test(start_paused = true)]
async fn slow_readers_delay_no_other_request() {
    local(async {
        let fleet = start().await;
        let mut slow = Vec::new();
        for _ in 0..SLOW_READERS {
            slow.push(slow_reader(&fleet).await);
        }
        sleep(Duration::from_secs(1)).await;
        assert_eq!(fleet.runs.borrow().len(), SLOW_READERS);
        let mut caller = Caller::dial(&fleet, "front-0").await;
        caller.write(get("/a/ordinary")).await;
        let answer = timeout(WAIT, caller.answer()).await;
        let answer = answer.expect("an answer").expect("a whole answer");
        assert_eq!((answer.status, &answer.body[..]), (200, &b"done"[..]));
        // The slow ones get the rest.
        let answer = slow[0].answer().await.expect("a whole answer");
        assert_eq!(answer.body.len(), ANSWER_BYTES);
    })
    .await;
}

/// Guards against slow readers that take more memory than the process has.
#[tokio::test(start_paused = true)]
async fn memory_held_for_slow_readers_is_bounded() {
    local(async {
        for megabytes in [64, 160, 512] {
            let mut fleet = start().await;
            let pair = fleet.pairs.get_mut("front-0").unwrap();
            pair.node.crash();
            let _ = pair.task.take().unwrap().await;
            let memory = megabytes * 1_000_000;
            let mut settings = pair.mesh.settings.clone();
            settings.limits = ProcessLimits {
                memory: Some(MemorySize(memory)),
                ..ProcessLimits::default()
            };
            let (mesh, _stop, _task, _node) = fleet.start_node(settings);
            sleep(Duration::from_secs(1)).await;
            let mut slow = Vec::new();
            for _ in 0..1_000 {
                slow.push(slow_reader(&fleet).await);
            }
            sleep(Duration::from_secs(1)).await;
            // All but 24 MB for the process itself.
            let MemorySize(used) = mesh.memory.used();
            assert!(used <= memory - 24_000_000, "{megabytes} MB: {used} B");
        }
    })
    .await;
}

/// The windows and the number of streams that the first frames of an HTTP/2 connection announce.
#[derive(Debug, Default)]
struct Announced {
    streams: Option<u64>,
    stream_window: Option<u64>,
    connection_window: Option<u64>,
}

/// Reads settings and window updates until both windows are known.
async fn announced(conn: &mut (impl AsyncRead + Unpin)) -> Announced {
    let mut found = Announced::default();
    while found.stream_window.is_none() || found.connection_window.is_none() {
        let mut head = [0; 9];
        conn.read_exact(&mut head).await.expect("a frame");
        let length = u32::from_be_bytes([0, head[0], head[1], head[2]]);
        let mut frame = vec![0; length as usize];
        conn.read_exact(&mut frame).await.expect("a whole frame");
        let number = |bytes: &[u8]| u64::from(u32::from_be_bytes(bytes.try_into().unwrap()));
        match head[3] {
            // SETTINGS
            4 => {
                for setting in frame.chunks(6) {
                    match setting[1] {
                        3 => found.streams = Some(number(&setting[2..])),
                        4 => found.stream_window = Some(number(&setting[2..])),
                        _ => {}
                    }
                }
            }
            // WINDOW_UPDATE, added to the initial window of HTTP/2
            8 => found.connection_window = Some(65_535 + number(&frame)),
            _ => {}
        }
    }
    found
}

/// Guards against bodies of requests that are read slowly by the other node, and against answers that
/// are read slowly by this one: the window of a connection has a share for each stream.
#[tokio::test(start_paused = true)]
async fn each_stream_has_its_share_of_the_connection() {
    local(async {
        let fleet = start().await;
        let at = (fleet.pairs["deep-0"].entry.address.ip(), INBOUND).into();
        let net = fleet.network.net(CALLER, Process::default());
        let mut conn = net.dial(at).await.unwrap();
        let hello = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";
        conn.write_all(hello).await.unwrap();
        let server = timeout(WAIT, announced(&mut conn)).await.unwrap();
        let (streams, window) = (server.streams.unwrap(), server.stream_window.unwrap());
        assert!(
            server.connection_window.unwrap() >= streams * window,
            "{server:?}"
        );

        let pair = &fleet.pairs["deep-0"];
        pair.node.crash();
        sleep(Duration::from_millis(100)).await;
        let net = fleet.network.net(at.ip(), Process::default());
        let mut listener = net.bind(at).await.unwrap();
        let mut caller = Caller::dial(&fleet, "front-0").await;
        caller.write(get("/a/ordinary")).await;
        let (mut conn, _) = timeout(WAIT, listener.accept()).await.unwrap().unwrap();
        conn.read_exact(&mut [0; 24]).await.unwrap();
        let client = timeout(WAIT, announced(&mut conn)).await.unwrap();
        let window = client.stream_window.unwrap();
        assert!(
            client.connection_window.unwrap() >= streams * window,
            "{client:?}"
        );
    })
    .await;
}
