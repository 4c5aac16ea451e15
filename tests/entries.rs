//! Guards against entries of another writer in the list of backend servers.

mod support;

use std::{collections::BTreeSet, time::Duration};

use comfreybay::protocol::directory::{DirectoryError, Item};
use futures::future::join_all;
use http::StatusCode;
use support::{
    Script, local,
    mesh::{MeshFleet, route, sealed},
    script,
};
use tokio::time::sleep;

/// Replaces the entry of a server by one that can't be read.
fn put_odd(fleet: &MeshFleet, name: &str) {
    let id = fleet.pairs[name].entry.id.clone();
    fleet.store.put(|revision| Item::Backend {
        id,
        entry: Err(DirectoryError::Entry("odd".to_owned())),
        revision,
    });
}

/// The servers that run requests sent at the same time, so that they spread over all in use.
async fn servers(fleet: &MeshFleet, first: u32) -> BTreeSet<String> {
    let ids: Vec<_> = (first..first + 12).map(|n| n.to_string()).collect();
    let requests = ids.iter().map(|id| async move {
        let headers = [("x-id", id.as_str()), ("x-left", "1000")];
        let answer = fleet.post("front-0", "/a/", &headers).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK);
    });
    join_all(requests).await;
    ids.iter().flat_map(|id| fleet.runs_of(id)).collect()
}

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn answers() -> Script {
    script(|seen| async move {
        sleep(Duration::from_millis(5)).await;
        sealed(&seen, "")
    })
}

/// Guards against a server that stays in use by an entry that was good and names none any more, and
/// against one that stays out of use after its entry is good again.
#[tokio::test(start_paused = true)]
async fn entry_that_turns_odd_names_no_server() {
    local(async {
        let services = [("front", 1, 4), ("deep", 3, 4)];
        let fleet = MeshFleet::with(&services, vec![route("a", "deep")], answers()).await;
        assert_eq!(
            servers(&fleet, 0).await,
            names(&["deep-0", "deep-1", "deep-2"])
        );
        put_odd(&fleet, "deep-1");
        sleep(Duration::from_secs(2)).await;
        assert_eq!(servers(&fleet, 100).await, names(&["deep-0", "deep-2"]));
        fleet.put_entry(fleet.pairs["deep-1"].entry.clone());
        sleep(Duration::from_secs(6)).await;
        assert_eq!(
            servers(&fleet, 200).await,
            names(&["deep-0", "deep-1", "deep-2"])
        );
    })
    .await;
}

/// Guards against a node that counts an entry which can't be read as listed, and so keeps the server
/// that it named before the list was read again.
#[tokio::test(start_paused = true)]
async fn odd_entry_in_a_new_list_names_no_server() {
    local(async {
        let services = [("front", 1, 4), ("deep", 3, 4)];
        let fleet = MeshFleet::with(&services, vec![route("a", "deep")], answers()).await;
        fleet.store.down.set(true);
        sleep(Duration::from_secs(1)).await;
        put_odd(&fleet, "deep-1");
        fleet.store.restore(fleet.store.revision());
        fleet.store.down.set(false);
        sleep(Duration::from_secs(6)).await;
        assert_eq!(servers(&fleet, 0).await, names(&["deep-0", "deep-2"]));
    })
    .await;
}
