//! Fleets without requests, whose nodes learn of changes from the store and from each other.

use super::{
    mesh::{MeshFleet, route, sealed, table},
    *,
};

/// A fleet whose nodes have found each other, with version 1 of the routes in effect.
pub async fn quiet_fleet(zones: u8, nodes: u8) -> MeshFleet {
    let script = script(|seen| async move { sealed(&seen, "") });
    let half = nodes / 2;
    let services = [("front", half, 8), ("deep", nodes - half, 8)];
    let fleet = MeshFleet::start_in(zones, &services, script).await;
    publish(&fleet, 1);
    tokio::time::sleep(Duration::from_secs(10)).await;
    fleet
}

/// Publishes a version of the routes.
pub fn publish(fleet: &MeshFleet, version: u64) {
    fleet.put_routes(table(version, vec![route("a", "deep")]));
}

/// Address of a node.
pub fn address(fleet: &MeshFleet, name: &str) -> IpAddr {
    fleet.pairs[name].entry.address.ip()
}

/// Version of the routes in effect at a node.
pub fn version(fleet: &MeshFleet, name: &str) -> u64 {
    let routes = fleet.pairs[name].mesh.routes.borrow();
    routes.as_ref().map_or(0, |r| r.revision().0)
}
