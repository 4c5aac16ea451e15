//! Guards against nodes that accept keys of another version of the configuration than the one that
//! should be in effect.

mod support;

use std::time::Duration;

use bytes::Bytes;
use comfreybay::{
    state::mesh::readers::Source,
    transport::{memory::Process, net::Net},
};
use futures::{StreamExt, stream};
use http::{Request, StatusCode};
use http_body::Frame;
use http_body_util::StreamBody;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use support::{
    CALLER, Script, local,
    mesh::{Connection, MeshFleet, outbound, route, sealed, with_keys},
    script,
};
use tokio::time::{Instant, sleep};

const LEFT: (&str, &str) = ("x-left", "1000");
/// Time within which changed keys must be in effect (`config_s`).
const BOUND: Duration = Duration::from_millis(2_500);

fn echo() -> Script {
    script(|seen| async move { sealed(&seen, "") })
}

/// A service `front` with one node and one `deep` with two.
async fn fleet(keys: &[(&str, &str)]) -> MeshFleet {
    let fleet = MeshFleet::start(&[("front", 1, 4), ("deep", 2, 4)], echo()).await;
    fleet.put_routes(with_keys(1, vec![route("a", "deep")], keys));
    sleep(Duration::from_millis(50)).await;
    fleet
}

/// Guards against a connection that stays authorised after its key was removed, and against one that
/// has to be opened anew for a key that was added. A refusal does not close it.
#[tokio::test(start_paused = true)]
async fn changed_keys_apply_to_open_connections() {
    local(async {
        let routes = || vec![route("a", "deep")];
        let fleet = fleet(&[("a", "old"), ("b", "kept")]).await;
        let net = fleet.network.net(CALLER, Process::default());
        let mut conn = Connection::open(&net, outbound(&fleet, "front-0")).await;
        let ok = StatusCode::OK;
        let no = StatusCode::UNAUTHORIZED;
        for (key, expected) in [("old", ok), ("new", no), ("kept", ok)] {
            assert_eq!(conn.status(key).await, expected, "{key}");
        }
        fleet.put_routes(with_keys(2, routes(), &[("a", "new"), ("b", "kept")]));
        sleep(Duration::from_millis(600)).await;
        for (key, expected) in [("old", no), ("new", ok), ("kept", ok)] {
            assert_eq!(conn.status(key).await, expected, "{key}");
        }
        // An older version does not come back.
        fleet.put_routes(with_keys(1, routes(), &[("a", "old")]));
        sleep(BOUND).await;
        for (key, expected) in [("old", no), ("new", ok), ("kept", ok)] {
            assert_eq!(conn.status(key).await, expected, "{key}");
        }
    })
    .await;
}

/// Guards against a request that runs with a key that was removed while its body arrived.
#[tokio::test(start_paused = true)]
async fn key_removed_while_the_body_arrives_is_refused() {
    local(async {
        let routes = || vec![route("a", "deep")];
        let fleet = fleet(&[("a", "old")]).await;
        let net = fleet.network.net(CALLER, Process::default());
        let conn = net.dial(outbound(&fleet, "front-0")).await.unwrap();
        let (mut sender, conn) = http1::handshake(TokioIo::new(conn)).await.unwrap();
        tokio::task::spawn_local(conn);
        let chunks =
            stream::iter([Duration::ZERO, Duration::from_secs(1)]).then(|pause| async move {
                sleep(pause).await;
                Ok::<_, std::convert::Infallible>(Frame::data(Bytes::from_static(b"part")))
            });
        let request = Request::post("/a/")
            .header("host", "h")
            .header("x-id", "1")
            .header("authorization", "Bearer old")
            .body(StreamBody::new(Box::pin(chunks)))
            .unwrap();
        let answer = tokio::task::spawn_local(async move { sender.send_request(request).await });
        sleep(Duration::from_millis(100)).await;
        fleet.put_routes(with_keys(2, routes(), &[("a", "new")]));
        let answer = answer.await.unwrap().unwrap();
        assert_eq!(answer.status(), StatusCode::UNAUTHORIZED);
        assert!(fleet.runs_of("1").is_empty());
    })
    .await;
}

/// Guards against a node that stays with removed keys because the store doesn't answer it, while
/// others read it, and against a node that returns to them.
#[tokio::test(start_paused = true)]
async fn node_kept_from_the_store_comes_to_the_new_keys() {
    local(async {
        let services = [("front", 8, 8), ("deep", 8, 8)];
        let routes = || vec![route("a", "deep")];
        let fleet = MeshFleet::start(&services, echo()).await;
        fleet.put_routes(with_keys(1, routes(), &[("a", "old")]));
        sleep(Duration::from_secs(10)).await;
        // One of the four nodes that read the store for the zone still reaches it.
        let reads = |name: &&str| *fleet.pairs[*name].mesh.source.borrow() == Source::Store;
        let all = || fleet.pairs.keys().map(String::as_str);
        let reader = all().find(reads).unwrap();
        let kept: Vec<&str> = all().filter(|name| *name != reader).collect();
        assert_eq!(kept.iter().copied().filter(reads).count(), 3);
        for name in &kept {
            fleet.store.turn_away(fleet.pairs[*name].entry.address.ip());
        }
        sleep(Duration::from_secs(3)).await;
        let status = async |name: &str, key: &str| {
            let key = format!("Bearer {key}");
            let headers = [("x-id", "1"), LEFT, ("authorization", key.as_str())];
            fleet.post(name, "/a/", &headers).await.unwrap().status
        };
        for name in &kept {
            assert_eq!(status(name, "old").await, StatusCode::OK, "{name}");
        }
        fleet.put_routes(with_keys(2, routes(), &[("a", "new")]));
        let put = Instant::now();
        let mut waiting: Vec<_> = fleet.pairs.keys().cloned().collect();
        let mut changed = vec![];
        while !waiting.is_empty() {
            assert!(put.elapsed() < BOUND, "{waiting:?}");
            let mut later = vec![];
            for name in waiting {
                match status(&name, "old").await {
                    StatusCode::OK => later.push(name),
                    _ => changed.push(name),
                }
            }
            waiting = later;
            for name in &changed {
                assert_eq!(status(name, "new").await, StatusCode::OK, "{name}");
                assert_eq!(
                    status(name, "old").await,
                    StatusCode::UNAUTHORIZED,
                    "{name}"
                );
            }
            sleep(Duration::from_millis(50)).await;
        }
    })
    .await;
}
