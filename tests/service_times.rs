//! Guards what nodes measure and report about the speed of their servers.

mod support;

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::Bytes;
use comfreybay::state::id::ClassName;
use http::Response;
use support::{
    Reply, Seen, local,
    mesh::{MeshFleet, route},
    script,
};
use tokio::time::sleep;

/// Enough calls for a report of each of two servers.
const CALLS: usize = 40;

/// An answer after 20 ms, with the server's load if it reports one.
fn answer(seen: &Seen, load: Option<&str>) -> Reply {
    let mut answer = Response::builder()
        .header("x-id", seen.id())
        .header("x-seal", "s");
    if let Some(load) = load {
        answer = answer.header("x-load", load);
    }
    Reply::Answer(answer.body(Bytes::from_static(b"done")).unwrap())
}

async fn call(fleet: &MeshFleet) {
    for n in 0..CALLS {
        let id = format!("c{n}");
        let headers = [("x-id", id.as_str()), ("x-left", "1000")];
        fleet.post("front-0", "/a/", &headers).await.unwrap();
    }
}

/// Whether the node of a server reports a service time.
fn reports(fleet: &MeshFleet, name: &str) -> bool {
    let class: ClassName = "a".parse().unwrap();
    let mesh = &fleet.pairs[name].mesh;
    mesh.service_times.borrow().report(&class).is_some()
}

/// Guards against servers that are measured only if they report the pace of their machine, or though
/// they report no load, or though the setting switches it off.
#[tokio::test(start_paused = true)]
async fn servers_that_report_their_load_are_measured_unless_switched_off() {
    local(async {
        let load: Rc<Cell<Option<&str>>> = Rc::default();
        let reported = load.clone();
        let fleet = MeshFleet::with(
            &[("front", 1, 8), ("back", 2, 8)],
            vec![route("a", "back")],
            script(move |seen| {
                let load = reported.get();
                async move {
                    sleep(Duration::from_millis(20)).await;
                    answer(&seen, load)
                }
            }),
        )
        .await;
        call(&fleet).await;
        assert!(!reports(&fleet, "back-0"), "without a load");
        load.set(Some("1,0,8"));
        call(&fleet).await;
        assert!(reports(&fleet, "back-0") && reports(&fleet, "back-1"));
        for pair in fleet.pairs.values() {
            let mut settings = pair.mesh.settings.clone();
            settings.select_by_delay = false;
            pair.mesh.reload(&settings).unwrap();
        }
        call(&fleet).await;
        assert!(!reports(&fleet, "back-0"), "switched off");
    })
    .await;
}
