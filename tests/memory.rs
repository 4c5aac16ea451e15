//! Guards the in-memory network against behaviour that differs from TCP.

use std::{
    future::Future,
    io,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use comfreybay::transport::{
    memory::{Host, HostEnd, MemoryConn, Network, Place, Process},
    net::{Listener, Net},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    task::{LocalSet, spawn_local},
    time::{Instant, sleep, timeout},
};

const A: [u8; 4] = [10, 0, 0, 1];
const B: [u8; 4] = [10, 0, 1, 1];

fn run<F: Future>(main: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("runtime");
    LocalSet::new().block_on(&runtime, main)
}

fn network() -> Network {
    let network = Network::new(1);
    network.set_default_latency(Duration::from_millis(5));
    network
}

async fn pair(network: &Network, far: &Process) -> (MemoryConn, MemoryConn) {
    let at = SocketAddr::from((B, 80));
    let near = network.net(IpAddr::from(A), Process::default());
    let mut listener = network
        .net(at.ip(), far.clone())
        .bind(at)
        .await
        .expect("bind");
    let accept = spawn_local(async move { listener.accept().await.expect("accept").0 });
    let conn = near.dial(at).await.expect("dial");
    (conn, accept.await.expect("join"))
}

/// Guards against connections that are set up in no time.
#[test]
fn dial_takes_a_round_trip_and_the_connect_cost() {
    run(async {
        let start = Instant::now();
        let (mut near, mut far) = pair(&network(), &Process::default()).await;
        assert_eq!(start.elapsed(), Duration::from_millis(11));
        near.write_all(b"hello").await.expect("write");
        let mut text = [0; 5];
        far.read_exact(&mut text).await.expect("read");
        assert_eq!(start.elapsed(), Duration::from_millis(16));
        assert_eq!(&text, b"hello");
    });
}

/// Guards against a one-way cut that stops both directions or loses data.
#[test]
fn one_way_cut_stalls_one_direction() {
    run(async {
        let network = network();
        let (mut near, mut far) = pair(&network, &Process::default()).await;
        let (a, b) = (Place::Host(A.into()), Place::Host(B.into()));
        network.cut(a.clone(), b.clone());
        near.write_all(b"x").await.expect("write");
        far.write_all(b"y").await.expect("write");
        let mut byte = [0];
        near.read_exact(&mut byte).await.expect("other direction");
        let read = timeout(Duration::from_secs(9), far.read_exact(&mut byte)).await;
        assert!(read.is_err(), "data passed through the cut direction");
        network.heal(a, b);
        far.read_exact(&mut byte)
            .await
            .expect("data after the heal");
        assert_eq!(&byte, b"x");
    });
}

/// Guards against dials that hang or succeed while one direction is cut.
#[test]
fn dial_through_a_cut_times_out() {
    run(async {
        let network = network();
        let (a, b) = (Place::Host(A.into()), Place::Host(B.into()));
        network.cut(b, a);
        let near = network.net(IpAddr::from(A), Process::default());
        let error = near
            .dial(SocketAddr::from((B, 80)))
            .await
            .err()
            .expect("error");
        assert_eq!(error.kind(), io::ErrorKind::TimedOut);
    });
}

/// Guards against a crashed process whose peers see a clean close.
#[test]
fn crash_resets_connections_and_frees_the_port() {
    run(async {
        let network = network();
        let process = Process::default();
        let net = network.net(B.into(), process.clone());
        let at = SocketAddr::from((B, 80));
        let host = Host::new(process.clone(), async move {
            let mut listener = net.bind(at).await.expect("bind");
            let (mut conn, _) = listener.accept().await.expect("accept");
            spawn_local(async move { conn.read_u8().await });
            std::future::pending().await
        });
        let host = spawn_local(host);
        let near = network.net(A.into(), Process::default());
        sleep(Duration::from_millis(1)).await;
        let mut conn = near.dial(at).await.expect("dial");
        sleep(Duration::from_millis(1)).await;
        process.crash();
        assert_eq!(host.await.expect("join"), HostEnd::Crashed);
        let error = conn.read_u8().await.expect_err("reset");
        assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
        let refused = near.dial(at).await.err().expect("refused");
        assert_eq!(refused.kind(), io::ErrorKind::ConnectionRefused);
    });
}

/// Guards against a paused process that keeps running or never resumes.
#[test]
fn paused_process_runs_nothing() {
    run(async {
        let process = Process::default();
        let (sender, mut ticks) = tokio::sync::mpsc::unbounded_channel();
        let host = Host::new(process.clone(), async move {
            loop {
                sleep(Duration::from_millis(100)).await;
                let _ = sender.send(Instant::now());
            }
        });
        spawn_local(host);
        sleep(Duration::from_millis(250)).await;
        process.pause();
        sleep(Duration::from_secs(5)).await;
        assert_eq!(ticks.len(), 2);
        process.resume();
        sleep(Duration::from_millis(1)).await;
        assert_eq!(ticks.len(), 3);
        ticks.close();
    });
}

/// Guards against a writer without backpressure from its reader, and against data that is lost or
/// altered under packet loss.
#[test]
fn large_bodies_pass_unchanged_through_the_window() {
    run(async {
        let network = network();
        network.set_loss(0.05);
        let (mut near, mut far) = pair(&network, &Process::default()).await;
        let body: Vec<u8> = (0..1_000_000_u32).map(|n| n as u8).collect();
        let sent = body.clone();
        spawn_local(async move {
            near.write_all(&sent).await.expect("write");
            near.shutdown().await.expect("shutdown");
        });
        let mut got = Vec::new();
        far.read_to_end(&mut got).await.expect("read");
        assert!(got == body, "the data received differs from the data sent");
        assert_eq!(network.total(B.into()).received, 1_000_000);
    });
}
