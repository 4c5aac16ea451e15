//! Guards the pool of connections to the backend server.

use std::{
    cell::RefCell, future::poll_fn, io, net::SocketAddr, rc::Rc, task::Poll, time::Duration,
};

use comfreybay::transport::{
    body::{Buffered, Framing, read_buffered},
    chunks::Chunks,
    net::{Listener, Net},
    pool::{Lease, Pool},
};
use futures::FutureExt;
use http::Request;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex},
    task::{LocalSet, spawn_local},
    time::sleep,
};

/// A network whose dials end at the test.
#[derive(Clone, Default)]
struct PipeNet(Rc<RefCell<Vec<DuplexStream>>>);

struct NoListener;

impl Listener for NoListener {
    type Conn = DuplexStream;

    async fn accept(&mut self) -> io::Result<(DuplexStream, SocketAddr)> {
        std::future::pending().await
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Err(io::ErrorKind::Unsupported.into())
    }
}

impl Net for PipeNet {
    type Conn = DuplexStream;
    type Listener = NoListener;

    async fn dial(&self, _to: SocketAddr) -> io::Result<DuplexStream> {
        let (near, far) = duplex(64 * 1_024);
        self.0.borrow_mut().push(far);
        Ok(near)
    }

    async fn bind(&self, _at: SocketAddr) -> io::Result<NoListener> {
        Err(io::ErrorKind::Unsupported.into())
    }
}

impl PipeNet {
    fn pool(&self) -> Pool<Self> {
        let pool = Pool::new(self.clone(), ([127, 0, 0, 1], 1).into());
        pool.resize(4);
        pool
    }

    /// The server's end of the connection that was dialled last.
    fn accepted(&self) -> DuplexStream {
        self.0.borrow_mut().pop().expect("a connection was opened")
    }
}

fn request() -> Request<Chunks> {
    let request = Request::get("/item").header("host", "deep");
    request
        .body(Chunks::default())
        .expect("the request is valid")
}

async fn read_head(conn: &mut DuplexStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(conn.read_u8().await.expect("the request arrives"));
    }
}

fn answer(body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// Reads a response of `length` bytes and returns the connection to the pool.
async fn exchange(mut lease: Lease<PipeNet>, length: u64) {
    let response = lease.send(request()).await.expect("a response");
    let reading = read_buffered(response.into_body(), Framing::Length(length));
    let body = lease.drive(reading).await.expect("a body");
    assert!(matches!(body, Buffered::Whole(bytes) if bytes.len() as u64 == length));
    lease.reuse();
}

/// Waits until the tasks that are ready now have run.
async fn next_turn() {
    let mut has_waited = false;
    poll_fn(|cx| {
        if has_waited {
            return Poll::Ready(());
        }
        has_waited = true;
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

/// Guards against a slot of the server that is in use for further turns of a busy node's scheduler
/// before the request is written and after the answer has arrived.
#[tokio::test]
async fn request_and_answer_take_one_turn_of_the_scheduler_each() {
    let test = async {
        let net = PipeNet::default();
        let lease = net.pool().lease().await.expect("a connection");
        let mut server = net.accepted();
        let exchange = spawn_local(exchange(lease, 4));
        next_turn().await;
        let head = read_head(&mut server).now_or_never();
        head.expect("the request was written in the turn in which it was sent");
        let body = server.write_all(&answer(b"body")).now_or_never();
        body.expect("there is room").expect("a write");
        next_turn().await;
        assert!(exchange.is_finished(), "the answer was not read");
    };
    LocalSet::new()
        .run_until(async { spawn_local(test).await.expect("no panic") })
        .await;
}

/// Guards against a request on a connection that the server has closed, or on which it has sent
/// bytes that belong to no request.
#[tokio::test(start_paused = true)]
async fn connection_that_was_used_while_idle_is_not_leased() {
    let test = async {
        for unsolicited in [answer(b"late"), Vec::new()] {
            let net = PipeNet::default();
            let pool = net.pool();
            let lease = pool.lease().await.expect("a connection");
            let mut server = net.accepted();
            let served = spawn_local(async move {
                read_head(&mut server).await;
                server.write_all(&answer(b"body")).await.expect("a write");
                server
            });
            exchange(lease, 4).await;
            let mut server = served.await.expect("the request was served");
            server.write_all(&unsolicited).await.expect("a write");
            drop(server);
            let lease = pool.lease().await.expect("a new connection");
            assert_eq!(net.0.borrow().len(), 1, "the old connection is in use");
            drop(lease);
            sleep(Duration::from_millis(1)).await;
            assert_eq!(pool.open(), 0);
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a count of open connections that includes those that the server has closed.
#[tokio::test(start_paused = true)]
async fn closed_connections_are_pruned() {
    let test = async {
        let net = PipeNet::default();
        let pool = net.pool();
        let leases = [pool.lease().await, pool.lease().await];
        for lease in leases {
            lease.expect("a connection").reuse();
        }
        assert_eq!(pool.open(), 2);
        net.0.borrow_mut().clear();
        pool.prune();
        assert_eq!(pool.open(), 0);
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a call that waits for a connection although the server is idle: connections that
/// have been idle for too long to be used count against the limit.
#[tokio::test(start_paused = true)]
async fn idle_connections_that_are_too_old_make_room() {
    let test = async {
        let max_idle = Duration::from_secs(1);
        for limit in [4, 2] {
            let net = PipeNet::default();
            let pool = net.pool();
            for lease in [(); 4].map(|()| pool.lease().now_or_never()) {
                lease.expect("there is room").expect("a connection").reuse();
            }
            // Two rounds, so that the second finds the limit reached by connections of both ages.
            for _ in 0..2 {
                pool.resize(limit);
                sleep(Duration::from_secs(2)).await;
                let leases: Vec<_> = (0..limit)
                    .map(|_| pool.lease_idle(max_idle, None).now_or_never())
                    .collect();
                assert!(leases.iter().all(Option::is_some), "a call waits");
                assert_eq!(pool.open(), limit, "connections of a server with {limit}");
                for lease in leases {
                    lease.expect("no wait").expect("a connection").reuse();
                }
            }
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a connection in use, or one that a call can use, which is closed to make room.
#[tokio::test(start_paused = true)]
async fn only_idle_connections_that_are_too_old_make_room() {
    let test = async {
        let max_idle = Duration::from_secs(1);
        let net = PipeNet::default();
        let pool = net.pool();
        let in_use = pool.lease().await.expect("a connection");
        for lease in [(); 3].map(|()| pool.lease().now_or_never()) {
            lease.expect("there is room").expect("a connection").reuse();
        }
        let opened = net.0.borrow().len();
        let recent: Vec<_> = (0..3)
            .map(|_| pool.lease_idle(max_idle, None).now_or_never())
            .collect();
        assert!(recent.iter().all(Option::is_some), "a call waits");
        assert_eq!(net.0.borrow().len(), opened, "a connection was opened");
        assert_eq!(pool.evicted(), 0);
        let mut waiting = Box::pin(pool.lease_idle(max_idle, None));
        assert!((&mut waiting).now_or_never().is_none(), "above the limit");
        assert_eq!(pool.waiting(), 1);
        in_use.reuse();
        waiting.await.expect("the connection that was returned");
        assert_eq!((pool.waiting(), pool.evicted()), (0, 0));
        assert_eq!(net.0.borrow().len(), opened, "a connection was opened");
    };
    LocalSet::new().run_until(test).await;
}
