//! Guards the request path on a platform: caller, caller's node, server's node, backend server.

mod support;

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::Bytes;
use comfreybay::{
    state::mesh::{backend::Phase, downstream::DownstreamLevels},
    transport::{
        memory::Process,
        mesh::{Mesh, node},
    },
};
use http::{Response, StatusCode};
use support::{
    Reply, local,
    mesh::{MeshFleet, names, route, sealed, table},
    script,
    store::TestDirectory,
};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

const LEFT: (&str, &str) = ("x-left", "1000");

/// Guards against a request that reaches its server without the platform's headers, and against a
/// caller that forges the name of its service.
#[tokio::test(start_paused = true)]
async fn request_is_served_with_the_platform_headers() {
    local(async {
        let script = script(|seen| async move {
            let h = |name| support::header(seen.request.headers(), name);
            let left: u64 = h("x-left").parse().unwrap();
            assert!((900..=1_000).contains(&left), "{left}");
            sealed(
                &seen,
                &format!("{} {} {}", h("x-origin"), h("x-expected"), h("x-kept")),
            )
        });
        let services = [("front", 1, 4), ("deep", 1, 4)];
        let fleet = MeshFleet::with(&services, vec![route("a", "deep")], script).await;
        let headers = [("x-id", "1"), LEFT, ("x-origin", "forged"), ("x-kept", "k")];
        let answer = fleet.post("front-0", "/a/1", &headers).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(answer.body, "front deep-0 k");
        assert_eq!(answer.header("x-seal"), "s");
        assert!(
            !answer.headers.keys().any(|n| n.as_str().starts_with("cb-")),
            "{answer:?}"
        );
    })
    .await;
}

/// Guards against a node that answers 404 before it has received the routes.
#[tokio::test(start_paused = true)]
async fn not_found_is_answered_only_with_routes() {
    local(async {
        let script = script(|seen| async move { sealed(&seen, "") });
        let fleet = MeshFleet::start(&[("front", 1, 4)], script).await;
        assert!(!fleet.is_ready("front-0").await);
        let answer = fleet
            .post("front-0", "/a/", &[("x-id", "1"), LEFT])
            .await
            .unwrap();
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(!answer.header("retry-after").is_empty());
        fleet.put_routes(table(1, vec![route("a", "front")]));
        sleep(Duration::from_millis(50)).await;
        assert!(fleet.is_ready("front-0").await);
        let answer = fleet
            .post("front-0", "/b/", &[("x-id", "2"), LEFT])
            .await
            .unwrap();
        assert_eq!(answer.status, StatusCode::NOT_FOUND);
    })
    .await;
}

/// Guards against routes that are replaced by an older revision.
#[tokio::test(start_paused = true)]
async fn older_routes_are_ignored() {
    local(async {
        let script = script(|seen| async move { sealed(&seen, "") });
        let fleet = MeshFleet::with(&[("front", 1, 4)], vec![], script).await;
        fleet.put_routes(table(7, vec![route("new", "front")]));
        sleep(Duration::from_millis(50)).await;
        fleet.put_routes(table(6, vec![route("old", "front")]));
        sleep(Duration::from_millis(50)).await;
        let status = async |path| {
            fleet
                .post("front-0", path, &[("x-id", "1"), LEFT])
                .await
                .unwrap()
                .status
        };
        assert_eq!(status("/new/").await, StatusCode::OK);
        assert_eq!(status("/old/").await, StatusCode::NOT_FOUND);
    })
    .await;
}

/// A server that closes the connection of the first request it receives without an answer.
fn breaks_first() -> support::Script {
    let first = Rc::new(Cell::new(true));
    script(move |seen| {
        let breaks = first.replace(false);
        async move {
            match breaks {
                true => Reply::Raw(Vec::new()),
                false => sealed(&seen, "again"),
            }
        }
    })
}

/// Guards against a non-idempotent request that is sent again after it may have run, or answered
/// as if it had not run.
#[tokio::test(start_paused = true)]
async fn request_that_may_have_run_is_not_repeated() {
    local(async {
        let mut once = route("a", "deep");
        once.idempotent = false;
        let services = [("front", 1, 4), ("deep", 2, 4)];
        let fleet = MeshFleet::with(&services, vec![once], breaks_first()).await;
        let answer = fleet
            .post("front-0", "/a/", &[("x-id", "1"), LEFT])
            .await
            .unwrap();
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
        assert_eq!(fleet.runs_of("1").len(), 1);
    })
    .await;
}

/// Guards against an idempotent request that fails because one server closes its connection.
#[tokio::test(start_paused = true)]
async fn idempotent_request_is_repeated_elsewhere() {
    local(async {
        let services = [("front", 1, 4), ("deep", 2, 4)];
        let fleet = MeshFleet::with(&services, vec![route("a", "deep")], breaks_first()).await;
        // The retry budget grows with the number of requests.
        for id in 2..40 {
            let id = id.to_string();
            fleet
                .post("front-0", "/a/", &[("x-id", id.as_str()), LEFT])
                .await
                .unwrap();
        }
        let breaks = fleet.runs.borrow().clone();
        let twice = breaks
            .iter()
            .filter(|(_, id)| fleet.runs_of(id).len() == 2)
            .count();
        assert_eq!(twice, 2, "one request ran at two servers: {breaks:?}");
    })
    .await;
}

/// Guards against answers that belong to another request, carry no seal of the server, or have an
/// encoded body.
#[tokio::test(start_paused = true)]
async fn foreign_answers_are_not_passed_on() {
    local(async {
        let script = script(|seen| async move {
            let answer = Response::builder();
            let answer = match seen.request.uri().path() {
                "/a/other" => answer.header("x-id", "another").header("x-seal", "s"),
                "/a/encoded" => answer
                    .header("x-seal", "s")
                    .header("content-encoding", "gzip"),
                _ => answer.header("x-id", seen.id()),
            };
            Reply::Answer(answer.body(Bytes::from_static(b"foreign")).unwrap())
        });
        let mut once = route("a", "deep");
        once.idempotent = false;
        let fleet = MeshFleet::with(&[("front", 1, 4), ("deep", 1, 4)], vec![once], script).await;
        for path in ["/a/other", "/a/unsealed", "/a/encoded"] {
            let answer = fleet
                .post("front-0", path, &[("x-id", "1"), LEFT])
                .await
                .unwrap();
            assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{path}");
            assert!(answer.body.is_empty(), "{path}");
        }
    })
    .await;
}

/// Guards against a node that keeps sending to a server after its address has answered 421, as it
/// does once another server has taken it over.
#[tokio::test(start_paused = true)]
async fn replaced_server_gets_no_more_requests() {
    local(async {
        let script = script(|seen| async move {
            let answer = Response::builder().status(421).header("x-id", seen.id());
            Reply::Answer(answer.body(Bytes::new()).unwrap())
        });
        let services = [("front", 1, 4), ("deep", 1, 4)];
        let fleet = MeshFleet::with(&services, vec![route("a", "deep")], script).await;
        for id in ["1", "2", "3"] {
            let answer = fleet
                .post("front-0", "/a/", &[("x-id", id), LEFT])
                .await
                .unwrap();
            assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        }
        assert_eq!(fleet.runs.borrow().len(), 1);
    })
    .await;
}

/// Guards against more concurrent requests at a server than it has slots (some servers never
/// answer the excess), and against refusals without `Retry-After`.
#[tokio::test(start_paused = true)]
async fn server_gets_no_more_requests_than_slots() {
    local(async {
        let (running, most) = (Rc::new(Cell::new(0_u32)), Rc::new(Cell::new(0)));
        let (now, peak) = (running.clone(), most.clone());
        let script = script(move |seen| {
            let (now, peak) = (now.clone(), peak.clone());
            async move {
                now.set(now.get() + 1);
                peak.set(now.get().max(peak.get()));
                sleep(Duration::from_millis(100)).await;
                now.set(now.get() - 1);
                sealed(&seen, "")
            }
        });
        let services = [("front", 2, 4), ("deep", 1, 3)];
        let fleet = MeshFleet::with(&services, vec![route("a", "deep")], script).await;
        let ids: Vec<_> = (0..60).map(|n| n.to_string()).collect();
        let all = ids.iter().enumerate().map(|(n, id)| {
            let node = if n % 2 == 0 { "front-0" } else { "front-1" };
            let fleet = &fleet;
            async move {
                fleet
                    .post(node, "/a/", &[("x-id", id.as_str()), LEFT])
                    .await
                    .unwrap()
            }
        });
        let answers = futures::future::join_all(all).await;
        assert_eq!(most.get(), 3);
        let refused = answers
            .iter()
            .filter(|a| a.status == StatusCode::SERVICE_UNAVAILABLE);
        assert!(refused.clone().count() > 0);
        assert!(refused.clone().all(|a| !a.header("retry-after").is_empty()));
        assert_eq!(
            refused.count() + fleet.runs.borrow().len(),
            60,
            "refused requests and runs must add up to the 60 requests sent"
        );
    })
    .await;
}

/// Guards against requests sent to a draining server, and against requests that fail because of it.
#[tokio::test(start_paused = true)]
async fn draining_server_gets_no_new_work() {
    local(async {
        let script = script(|seen| async move { sealed(&seen, "") });
        let services = [("front", 1, 4), ("deep", 2, 4)];
        let fleet = MeshFleet::with(&services, vec![route("a", "deep")], script).await;
        let mut entry = fleet.pairs["deep-0"].entry.clone();
        entry.phase = Phase::Draining;
        fleet.put_entry(entry);
        sleep(Duration::from_millis(50)).await;
        for id in 0..20 {
            let id = id.to_string();
            let answer = fleet
                .post("front-0", "/a/", &[("x-id", id.as_str()), LEFT])
                .await;
            assert_eq!(answer.unwrap().status, StatusCode::OK);
        }
        assert!(
            fleet
                .runs
                .borrow()
                .iter()
                .all(|(server, _)| server == "deep-1")
        );
    })
    .await;
}

/// Guards against requests sent to a server later than the removal delay after its entry was
/// removed from the store.
#[tokio::test(start_paused = true)]
async fn removed_server_gets_no_work_after_the_bound() {
    local(async {
        let script = script(|seen| async move { sealed(&seen, "") });
        let fleet = MeshFleet::with(
            &[("front", 1, 4), ("deep", 1, 4)],
            vec![route("a", "deep")],
            script,
        )
        .await;
        fleet.remove_entry("deep-0");
        sleep(Duration::from_millis(1_500)).await;
        let answer = fleet
            .post("front-0", "/a/", &[("x-id", "1"), LEFT])
            .await
            .unwrap();
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(fleet.runs.borrow().is_empty());
    })
    .await;
}

/// Guards against routing that stops working while the store is unavailable.
#[tokio::test(start_paused = true)]
async fn store_outage_changes_nothing() {
    local(async {
        let script = script(|seen| async move { sealed(&seen, "") });
        let services = [("front", 1, 4), ("deep", 1, 4)];
        let fleet = MeshFleet::with(&services, vec![route("a", "deep")], script).await;
        fleet.store.down.set(true);
        sleep(Duration::from_secs(20)).await;
        let answer = fleet
            .post("front-0", "/a/", &[("x-id", "1"), LEFT])
            .await
            .unwrap();
        assert_eq!(answer.status, StatusCode::OK);
        assert!(fleet.is_ready("front-0").await);
    })
    .await;
}

/// Guards against a node that keeps sending to a draining server because its connection to the
/// store no longer answers, although peers already have the newer revision.
#[tokio::test(start_paused = true)]
async fn silent_store_connection_is_detected_by_peer_revisions() {
    local(async {
        let script = script(|seen| async move { sealed(&seen, &seen.upstream) });
        let services = [("front", 2, 4), ("deep", 6, 4)];
        let fleet = MeshFleet::with(&services, vec![route("a", "deep")], script).await;
        let front = &fleet.pairs["front-0"];
        fleet.store.silence(front.entry.address.ip());
        let mut entry = fleet.pairs["deep-0"].entry.clone();
        entry.phase = Phase::Draining;
        fleet.put_entry(entry);
        for n in 0..40 {
            let id = format!("f{n}");
            fleet
                .post("front-0", "/a/", &[("x-id", &id), LEFT])
                .await
                .unwrap();
            sleep(Duration::from_millis(10)).await;
        }
        let registry = front.mesh.registry.borrow();
        let known = registry.get(&fleet.pairs["deep-0"].entry.id).unwrap();
        assert_eq!(known.backend.phase, Phase::Draining);
    })
    .await;
}

/// Guards against store reads that grow with the square of the fleet: when it starts, each node's
/// entry is a change, and each node would read each of them on its own.
#[tokio::test(start_paused = true)]
async fn successive_changes_are_read_together() {
    local(async {
        let script = script(|seen| async move { sealed(&seen, "") });
        let fleet = MeshFleet::with(&[("front", 4, 4)], vec![route("a", "front")], script).await;
        sleep(Duration::from_secs(1)).await;
        let (before, entry) = (fleet.store.watches.get(), &fleet.pairs["front-0"].entry);
        for n in 1..=100 {
            let mut entry = entry.clone();
            entry.slots = 4 + n;
            fleet.put_entry(entry);
            sleep(Duration::from_millis(50)).await;
        }
        let reads = (fleet.store.watches.get() - before) / 4;
        // The changes last 5 s; after 4 shorter intervals, the node reads at least every 0.5 s.
        assert!(reads <= 15, "{reads} watches per node for 100 changes");
        sleep(Duration::from_secs(1)).await;
        let front = &fleet.pairs["front-1"].mesh.registry.borrow();
        assert_eq!(front.get(&entry.id).unwrap().backend.slots, 104);
    })
    .await;
}

/// Guards against a request that fails, or is sent twice, while the only node of the called
/// service restarts.
#[tokio::test(start_paused = true)]
async fn request_waits_for_a_node_that_starts_anew() {
    local(async {
        let script = script(|seen| async move { sealed(&seen, "deep") });
        let services = [("front", 1, 4), ("deep", 1, 4)];
        let mut fleet = MeshFleet::with(&services, vec![route("a", "deep")], script).await;
        let pair = fleet.pairs.get_mut("deep-0").unwrap();
        pair.stop.cancel();
        pair.task.take().unwrap().await.unwrap();
        let settings = pair.mesh.settings.clone();
        let net = fleet
            .network
            .net(settings.outbound.ip(), Process::default());
        let directory = TestDirectory(fleet.store.clone());
        let mesh = Rc::new(Mesh::new(net, settings, names(), directory));
        tokio::task::spawn_local(async move {
            sleep(Duration::from_millis(60)).await;
            node::run(mesh, CancellationToken::new()).await.unwrap();
        });
        let headers = [("x-id", "1"), LEFT];
        let answer = fleet.post("front-0", "/a/", &headers).await.unwrap();
        assert_eq!(answer.body, "deep");
        assert_eq!(fleet.runs_of("1").len(), 1);
    })
    .await;
}

/// Guards against work that continues after the caller has disconnected.
#[tokio::test(start_paused = true)]
async fn caller_disconnect_cancels_the_work() {
    local(async {
        let ended = Rc::new(Cell::new(false));
        struct SetOnDrop(Rc<Cell<bool>>);
        impl Drop for SetOnDrop {
            fn drop(&mut self) {
                self.0.set(true);
            }
        }
        let flag = ended.clone();
        let script = script(move |seen| {
            let guard = SetOnDrop(flag.clone());
            async move {
                sleep(Duration::from_secs(60)).await;
                drop(guard);
                sealed(&seen, "")
            }
        });
        let services = [("front", 1, 4), ("deep", 1, 4)];
        let fleet = MeshFleet::with(&services, vec![route("a", "deep")], script).await;
        let headers = [("x-id", "1"), LEFT];
        let post = fleet.post("front-0", "/a/", &headers);
        let left = tokio::time::timeout(Duration::from_millis(200), post).await;
        assert!(left.is_err());
        sleep(Duration::from_millis(200)).await;
        assert_eq!(fleet.runs_of("1").len(), 1);
        assert!(ended.get(), "the server still runs the request");
    })
    .await;
}

/// Guards against calls that are not attributed to the request they are made for, and so lose its
/// importance and rank.
#[tokio::test(start_paused = true)]
async fn calls_inherit_their_root() {
    local(async {
        let script = script(|seen| async move {
            if seen.upstream.starts_with("deep") {
                return sealed(&seen, "deep");
            }
            let id = format!("{}.1", seen.id());
            let below = seen
                .send("/inner/", &[("x-id", &id), ("x-left", "500")])
                .await;
            sealed(&seen, std::str::from_utf8(&below.unwrap().body).unwrap())
        });
        let mut outer = route("outer", "front");
        outer.importance = 3;
        let routes = vec![outer, route("inner", "deep")];
        let services = [("front", 1, 4), ("deep", 1, 4)];
        let fleet = MeshFleet::with(&services, routes, script).await;
        let answer = fleet
            .post("front-0", "/outer/", &[("x-id", "1"), LEFT])
            .await
            .unwrap();
        assert_eq!(answer.body, "deep");
        let mesh = &fleet.pairs["front-0"].mesh;
        let outer = "outer".parse().unwrap();
        let services = |reach: &DownstreamLevels| -> Vec<_> {
            let services = reach.services(&outer);
            services.map(|s| s.as_str().to_owned()).collect()
        };
        assert_eq!(services(&mesh.local_levels.borrow()), ["deep", "front"]);
        assert_eq!(services(&mesh.call_levels.borrow()), ["deep"]);
        let calls = mesh.calls.borrow();
        assert!(
            calls.parent("1.1", '.').is_none(),
            "the request has ended but is still registered"
        );
    })
    .await;
}
