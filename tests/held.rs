//! Guards against memory that nodes take for answers in many small parts.

mod support;

use std::{rc::Rc, time::Duration};

use peak_alloc::PeakAlloc;
use support::{
    CALLER, local,
    mesh::{MeshFleet, OUTBOUND, route, sealed},
    raw::RawConn,
    script,
};
use tokio::{io::AsyncWriteExt, task::spawn_local, time::sleep};

use comfreybay::transport::{memory::Process, net::Net};

#[global_allocator]
static MEMORY: PeakAlloc = PeakAlloc;

/// Answers without end whose parts of one byte each take six on the wire.
const ANSWER: &str = "HTTP/1.1 200 OK\r\nx-seal: s\r\ntransfer-encoding: chunked\r\n";
const PART: &str = "1\r\na\r\n";
const REQUESTS: usize = 20;
/// Memory that one request may take: a node may have 260 MB, and the largest server 167 slots. What
/// the test counts is that of both nodes, the network between them and the server.
const HELD_MAX_BYTES: usize = 260_000_000 / 167;

async fn serve(mut conn: RawConn) {
    let Some(request) = conn.read(false).await else {
        return;
    };
    let head = format!("{ANSWER}x-id: {}\r\n\r\n", request.id);
    let block = PART.repeat(2_730);
    let mut is_open = conn.write(head.as_bytes()).await;
    while is_open {
        is_open = conn.write(block.as_bytes()).await;
        sleep(Duration::from_millis(1)).await;
    }
}

/// Guards against a node that runs out of memory, and ends the requests of all its clients, because
/// servers send answers without end in small parts and their callers read nothing.
#[tokio::test(start_paused = true)]
async fn answers_in_small_parts_take_little_memory() {
    local(async {
        let script = script(|seen| async move { sealed(&seen, "") });
        let services = [("front", 1, 64), ("deep", 1, 64)];
        let mut route = route("a", "deep");
        route.timeout = Duration::from_secs(5);
        let fleet = MeshFleet::with(&services, vec![route], script).await;
        fleet.replace_server("deep-0", serve).await;
        let fleet = Rc::new(fleet);
        MEMORY.reset_peak_usage();
        let before = MEMORY.current_usage();
        let at = (fleet.pairs["front-0"].entry.address.ip(), OUTBOUND).into();
        for id in 0..REQUESTS {
            let net = fleet.network.net(CALLER, Process::default());
            spawn_local(async move {
                let mut conn = net.dial(at).await.unwrap();
                let head =
                    format!("POST /a/ HTTP/1.1\r\nhost: h\r\nx-id: {id}\r\nx-left: 4000\r\n");
                let request = format!("{head}content-length: 4\r\n\r\nbody");
                conn.write_all(request.as_bytes()).await.unwrap();
                sleep(Duration::from_secs(10)).await;
            });
        }
        sleep(Duration::from_secs(3)).await;
        let held = MEMORY.peak_usage().saturating_sub(before) / REQUESTS;
        println!("{held} bytes held for each request");
        assert!(held < HELD_MAX_BYTES, "{held} bytes held for each request");
    })
    .await;
}
