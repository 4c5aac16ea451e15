//! Guards against entries of another writer that take the addresses of backend servers.

mod support;

use std::time::Duration;

use comfreybay::state::mesh::{backend::Backend, route::Route};
use http::StatusCode;
use support::{
    local,
    mesh::{MeshFleet, route, sealed, table},
    script,
};
use tokio::time::sleep;

const SERVICES: [(&str, u8, u32); 2] = [("front", 2, 8), ("deep", 3, 8)];

fn routes() -> Vec<Route> {
    vec![route("a", "deep")]
}

async fn start() -> MeshFleet {
    let script = script(|seen| async move { sealed(&seen, "") });
    MeshFleet::start(&SERVICES, script).await
}

/// Enters a server of another service at the address of each server, which began later.
fn put_strays(fleet: &MeshFleet, service: &str) {
    for (name, pair) in &fleet.pairs {
        fleet.put_entry(Backend {
            id: format!("stray-{name}").parse().unwrap(),
            started_ms: Some(1_000),
            service: service.parse().unwrap(),
            ..pair.entry.clone()
        });
    }
}

/// Sends a request at each node; returns the statuses.
async fn statuses(fleet: &MeshFleet, path: &str) -> Vec<StatusCode> {
    let mut all = Vec::new();
    for name in fleet.pairs.keys() {
        let headers = [("x-id", name.as_str()), ("x-left", "1000")];
        all.push(fleet.post(name, path, &headers).await.unwrap().status);
    }
    all
}

/// Guards against a fleet that refuses all requests as long as such entries exist, before or after the
/// first routes.
#[tokio::test(start_paused = true)]
async fn entries_of_unknown_services_take_no_addresses() {
    for is_before_routes in [false, true] {
        local(async move {
            let fleet = start().await;
            if is_before_routes {
                put_strays(&fleet, "elsewhere");
                sleep(Duration::from_secs(1)).await;
            }
            fleet.put_routes(table(1, routes()));
            sleep(Duration::from_secs(1)).await;
            put_strays(&fleet, "elsewhere");
            sleep(Duration::from_secs(3)).await;
            let statuses = statuses(&fleet, "/a/").await;
            assert!(
                statuses.iter().all(|s| *s == StatusCode::OK),
                "{statuses:?}"
            );
            for name in fleet.pairs.keys() {
                assert!(fleet.is_ready(name).await, "{name}");
            }
        })
        .await;
    }
}

/// Guards against an address that is not given to a later server of a known service, and against one
/// that stays with the earlier server once the configuration names the later one's service.
#[tokio::test(start_paused = true)]
async fn entries_of_known_services_take_addresses() {
    local(async {
        let fleet = start().await;
        fleet.put_routes(table(1, routes()));
        put_strays(&fleet, "later");
        sleep(Duration::from_secs(1)).await;
        let backends = |fleet: &MeshFleet, service: &str| {
            let registry = fleet.pairs["front-0"].mesh.registry.borrow();
            let upstreams = registry.upstreams(1);
            upstreams.get(&service.parse().unwrap()).map_or(0, Vec::len)
        };
        assert_eq!(
            (backends(&fleet, "deep"), backends(&fleet, "later")),
            (3, 0)
        );
        let added = [routes(), vec![route("b", "later")]].concat();
        fleet.put_routes(table(2, added));
        sleep(Duration::from_secs(1)).await;
        assert_eq!(
            (backends(&fleet, "deep"), backends(&fleet, "later")),
            (0, 5)
        );
    })
    .await;
}
