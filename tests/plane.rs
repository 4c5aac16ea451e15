//! Guards the control plane in virtual time: leaving, waking after a pause, rejecting unknown
//! peers and malformed messages, and replacing readers.

use std::{
    cell::Cell,
    future::Future,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use capnp_futures::serialize_packed::{PackedRead, PackedWrite};
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use comfreybay::{
    coordination::gate::{AdmissionRequest, RefusalReason},
    protocol::{
        message::{Heartbeat, Hello, VERSION, reader_options},
        peer_capnp::node,
    },
    standin::{
        http::{Body, Dropped, serve},
        instances::State,
        planes::{Plan, Planes},
    },
    state::{
        counters::Counter,
        id::{Fingerprint, Incarnation, Revision, RootId},
        journal::DecisionKind,
        priority::{Level, Priority},
        view::{News, NodeState},
    },
    transport::{
        memory::{MemoryConn, Process},
        net::Net,
    },
};
use http::{Request, Response};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    task::{JoinHandle, LocalSet, spawn_local},
    time::{Instant, sleep, timeout},
};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

/// Bound within which a leaving server gets no new work (section 1, invariant 6).
const LEAVE: Duration = Duration::from_secs(3);

async fn local<T>(test: impl Future<Output = T>) -> T {
    LocalSet::new().run_until(test).await
}

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

async fn started(nodes: usize) -> Planes {
    let mut planes = Planes::new(Plan {
        nodes,
        ..Plan::default()
    });
    let revision = planes.publish();
    planes.start_all();
    let took = planes
        .wait_until(s(30), |p| p.all_at(revision, 0..nodes))
        .await;
    assert!(took.is_some(), "the fleet did not start");
    sleep(s(5)).await;
    planes
}

async fn admitted(planes: &Planes, at: usize) -> Result<(), RefusalReason> {
    let request = AdmissionRequest {
        priority: Priority::new(1, false, RootId([1; 16])),
        class: "browse".parse().expect("valid name"),
        important: false,
        begun: false,
        deadline: Instant::now() + s(1),
        timeout: s(1),
        fingerprint: Fingerprint([1; 16]),
    };
    let permit = planes.nodes[at].context.gate.admit(request).await;
    permit.map(drop).map_err(|r| r.why)
}

/// Starts a backend server whose load report says whether it is draining.
fn serve_report(planes: &Planes, at: usize, draining: Rc<Cell<bool>>) -> JoinHandle<()> {
    let server = planes.nodes[at].settings.server;
    let net = planes.network.net(server.ip(), Process::default());
    spawn_local(async move {
        let handler = move |_: Request<Bytes>| {
            let text = format!(r#"{{"busy":0,"slots":100,"draining":{}}}"#, draining.get());
            async move { Ok::<_, Dropped>(Response::new(Body::from(text))) }
        };
        serve(&net, server, 64, handler).await.expect("serves");
    })
}

fn knows_leaving(planes: &Planes, at: usize, other: usize) -> bool {
    let name = planes.nodes[other].upstream.name.as_str();
    let journal = planes.nodes[at].context.journal.borrow();
    let mut decisions = journal.decisions();
    decisions.any(|d| d.change == DecisionKind::UpstreamLeaving && d.subject == name)
}

/// Guards against new work at a draining server while the instance list still shows it as live.
#[tokio::test(start_paused = true)]
async fn draining_server_gets_no_new_work() {
    local(async {
        let planes = started(12).await;
        let draining = Rc::new(Cell::new(false));
        let server = serve_report(&planes, 0, draining.clone());
        planes.instances.freeze(true);
        sleep(s(2)).await;
        assert_eq!(admitted(&planes, 0).await, Ok(()));
        draining.set(true);
        sleep(LEAVE).await;
        for _ in 0..20 {
            assert_eq!(admitted(&planes, 0).await, Err(RefusalReason::Leaving));
            sleep(Duration::from_millis(500)).await;
        }
        assert!(planes.nodes[0].leaving.is_cancelled());
        assert_eq!(admitted(&planes, 1).await, Ok(()));
        let peers = (1..12).filter(|n| knows_leaving(&planes, *n, 0)).count();
        assert!(
            peers >= 5,
            "only {peers} peers know that node 0 is leaving, expected at least 5"
        );
        server.abort();
        planes.end().await.expect("ends");
    })
    .await;
}

/// Guards against new work at a server that the instance list shows as leaving.
#[tokio::test(start_paused = true)]
async fn listed_server_gets_no_new_work() {
    local(async {
        let planes = started(12).await;
        sleep(s(10)).await;
        planes
            .instances
            .set(&planes.nodes[3].upstream, State::Leaving);
        sleep(LEAVE + s(3)).await;
        assert_eq!(admitted(&planes, 3).await, Err(RefusalReason::Leaving));
        planes.end().await.expect("ends");
    })
    .await;
}

/// Guards against a stop that peers notice only by failed calls.
#[tokio::test(start_paused = true)]
async fn stopping_node_notifies_its_peers() {
    local(async {
        let planes = started(12).await;
        planes.nodes[2].leaving.cancel();
        sleep(Duration::from_millis(500)).await;
        assert_eq!(admitted(&planes, 2).await, Err(RefusalReason::Leaving));
        let peers = (0..12).filter(|n| knows_leaving(&planes, *n, 2)).count();
        assert!(
            peers >= 5,
            "only {peers} peers know that node 2 is leaving, expected at least 5"
        );
        planes.end().await.expect("ends");
    })
    .await;
}

/// Guards against a process that acts on state from before a pause.
#[tokio::test(start_paused = true)]
async fn resumed_process_drops_old_state_first() {
    local(async {
        let mut planes = started(12).await;
        planes.nodes[4].process.pause();
        sleep(s(2)).await;
        let revision = planes.publish();
        sleep(s(8)).await;
        let counters = planes.counters(4);
        assert_eq!(counters.get(Counter::Pauses), 0);
        let received = counters.get(Counter::HeartbeatsReceived);
        planes.nodes[4].process.resume();
        sleep(Duration::from_millis(1)).await;
        let counters = planes.counters(4);
        assert_eq!(counters.get(Counter::Pauses), 1);
        assert_eq!(
            counters.get(Counter::HeartbeatsReceived),
            received,
            "heartbeats were processed before the pause was detected"
        );
        assert_eq!(admitted(&planes, 4).await, Err(RefusalReason::Waking));
        sleep(s(3)).await;
        assert_eq!(admitted(&planes, 4).await, Ok(()));
        assert!(
            planes.all_at(revision, [4]),
            "the resumed node does not have {revision}"
        );
        planes.end().await.expect("ends");
    })
    .await;
}

/// Guards against a short delay of the process that is treated as a pause.
#[tokio::test(start_paused = true)]
async fn short_delay_is_no_pause() {
    local(async {
        let planes = started(6).await;
        planes.nodes[1].process.pause();
        sleep(Duration::from_millis(800)).await;
        planes.nodes[1].process.resume();
        sleep(s(1)).await;
        assert_eq!(planes.counters(1).get(Counter::Pauses), 0);
        planes.end().await.expect("ends");
    })
    .await;
}

/// A host that is not in the configuration.
const UNKNOWN_HOST: IpAddr = IpAddr::V4(std::net::Ipv4Addr::new(10, 9, 9, 9));

async fn dial(planes: &Planes, to: usize) -> MemoryConn {
    let net = planes.network.net(UNKNOWN_HOST, Process::default());
    let at: SocketAddr = planes.nodes[to].settings.control;
    net.dial(at).await.expect("the node listens")
}

fn client(conn: MemoryConn) -> node::Client {
    let (read, write) = tokio::io::split(conn);
    let network = VatNetwork::new(
        PackedRead::new(read.compat()),
        PackedWrite::new(write.compat_write()),
        Side::Client,
        reader_options(),
    );
    let mut rpc = RpcSystem::new(Box::new(network), None);
    let client = rpc.bootstrap(Side::Server);
    spawn_local(async move {
        let _ = rpc.await;
    });
    client
}

/// Guards against a process outside the configuration that is accepted as a peer, under a new name
/// or under that of an upstream.
#[tokio::test(start_paused = true)]
async fn unknown_peer_is_rejected() {
    local(async {
        let planes = started(12).await;
        let known = planes.nodes[7].upstream.clone();
        let cases = [
            (
                "stranger".parse().expect("valid name"),
                SocketAddr::new(UNKNOWN_HOST, 7_003),
            ),
            (known.name.clone(), SocketAddr::new(UNKNOWN_HOST, 7_003)),
            (known.name.clone(), known.control),
        ];
        for (name, control) in cases {
            let client = client(dial(&planes, 0).await);
            let hello = Hello {
                version: VERSION,
                name,
                service: known.service.clone(),
                zone: known.zone.clone(),
                incarnation: Incarnation([9; 16]),
                control,
            };
            let mut request = client.hello_request();
            hello.write(request.get().init_hello());
            let answer = request.send().promise.await.expect("an answer");
            assert!(!answer.get().expect("results").get_accepted());

            let beat = Heartbeat {
                revision: Revision(1_000_000),
                digest: 1,
                level: Level(0),
                epoch: 1_000,
                in_flight: 0,
                limit: 0,
                queued: 0,
                state: NodeState::Serving,
                claims: Vec::new(),
                news: vec![News::Leaving {
                    subject: known.name.clone(),
                    incarnation: planes.nodes[7].context.incarnation,
                    number: 99,
                }],
            };
            let mut request = client.beat_request();
            beat.write(request.get().init_beat());
            let answer = timeout(s(5), request.send().promise).await;
            assert!(answer.expect("an answer").is_err());
            sleep(s(3)).await;
            assert!(!knows_leaving(&planes, 0, 7));
            assert!(planes.all_at(Revision(1), 0..12));
        }
        assert!(planes.counters(0).get(Counter::MessagesRefused) >= 3);
        planes.end().await.expect("ends");
    })
    .await;
}

/// Guards against a connection with malformed bytes that disturbs the node or stays open.
#[tokio::test(start_paused = true)]
async fn malformed_bytes_close_the_connection() {
    local(async {
        let planes = started(6).await;
        let mut rng = fastrand::Rng::with_seed(5);
        let peers = planes.counters(0).get(Counter::Peers);
        // Frames that declare 2^32-1 segments or a segment of 16 GB, and random bytes.
        let mut frames = vec![vec![0xff; 8], vec![0, 0, 0, 0, 0xff, 0xff, 0xff, 0x7f]];
        frames.extend((0..20).map(|_| (0..512).map(|_| rng.u8(..)).collect()));
        for frame in frames {
            let mut conn = dial(&planes, 0).await;
            conn.write_all(&frame).await.expect("written");
            let mut rest = Vec::new();
            let closed = timeout(s(15), conn.read_to_end(&mut rest)).await;
            assert!(
                closed.is_ok(),
                "the connection was still open 15 s after malformed bytes"
            );
        }
        assert!(planes.counters(0).get(Counter::MessagesRefused) >= 2);
        assert_eq!(planes.counters(0).get(Counter::Peers), peers);
        assert_eq!(admitted(&planes, 0).await, Ok(()));
        planes.end().await.expect("ends");
    })
    .await;
}

/// Guards against a zone that stays without a reader after its readers have crashed.
#[tokio::test(start_paused = true)]
async fn crashed_readers_are_replaced() {
    local(async {
        let mut planes = started(24).await;
        sleep(s(20)).await;
        let readers: Vec<_> = (0..24)
            .filter(|n| planes.counters(*n).get(Counter::ConfigReader) == 1)
            .collect();
        assert!(
            !readers.is_empty() && readers.len() < 20,
            "readers: {readers:?}"
        );
        readers.iter().for_each(|n| planes.crash(*n));
        sleep(s(15)).await;
        let revision = planes.publish();
        sleep(s(7)).await;
        let rest = (0..24).filter(|n| !readers.contains(n));
        assert!(
            planes.all_at(revision, rest),
            "some node does not have {revision}: no new reader"
        );
        planes.end().await.expect("ends");
    })
    .await;
}
