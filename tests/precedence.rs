//! Guards the order of requests by the priorities of organisations, from the node where they begin to
//! the servers below.

mod support;

use std::{cell::RefCell, rc::Rc, time::Duration};

use comfreybay::state::mesh::{
    organisation::{Organisation, Organisations},
    route::{Route, RouteTable},
};
use support::{
    local,
    mesh::{MeshFleet, route, sealed, table},
    script,
};
use tokio::time::sleep;

/// Organisations `first`, `second` and `none` without a priority; their keys are their names.
fn with_priorities(revision: u64, routes: Vec<Route>) -> RouteTable {
    let priorities = [("first", Some(1)), ("second", Some(4)), ("none", None)];
    let entry = |(name, priority): (&str, Option<u8>)| {
        let organisation = Organisation {
            name: name.parse().unwrap(),
            priority,
            quota: None,
        };
        (organisation, vec![name.to_owned()])
    };
    let entries = priorities.map(entry).into_iter().collect();
    table(revision, routes).with_organisations(Organisations::new(entries).unwrap())
}

fn routes() -> Vec<Route> {
    let with = |name, service, importance| Route {
        importance,
        attempts: 1,
        timeout: Duration::from_secs(20),
        target: Duration::from_secs(20),
        ..route(name, service)
    };
    vec![
        with("urgent", "front", 0),
        with("middle", "front", 3),
        with("last", "front", 6),
        with("inner", "deep", 0),
    ]
}

/// Requests as organisation and route, in the order in which they have to be served.
const EXPECTED: [(&str, &str); 9] = [
    ("none", "urgent"),
    ("first", "urgent"),
    ("first", "middle"),
    ("first", "last"),
    ("none", "middle"),
    ("second", "urgent"),
    ("second", "middle"),
    ("second", "last"),
    ("none", "last"),
];

/// Guards against a request of a less important organisation that is served first, at the node where
/// it began or at the end of a chain: the calls have another route, and the deepest server's node
/// gets them from several nodes.
#[tokio::test(start_paused = true)]
async fn organisation_decides_at_every_hop() {
    local(async {
        let order = Rc::new(RefCell::new(vec![]));
        let served = order.clone();
        let script = script(move |seen| {
            let served = served.clone();
            async move {
                let id = seen.id();
                if seen.upstream.starts_with("deep") {
                    served.borrow_mut().push(id);
                    sleep(Duration::from_millis(300)).await;
                    return sealed(&seen, "");
                }
                let id = format!("{id}.1");
                let headers = [("x-id", id.as_str()), ("x-left", "15000")];
                let answer = seen.send("/inner/", &headers).await.unwrap();
                sealed(&seen, answer.status.as_str())
            }
        });
        let fleet = MeshFleet::start(&[("front", 2, 20), ("deep", 1, 1)], script).await;
        fleet.put_routes(with_priorities(1, routes()));
        sleep(Duration::from_millis(50)).await;
        let fleet = Rc::new(fleet);
        let post = |organisation: &'static str, route: &'static str, n: usize| {
            let fleet = fleet.clone();
            tokio::task::spawn_local(async move {
                let id = format!("{organisation}-{route}-{n}");
                let (path, key) = (format!("/{route}/"), format!("Bearer {organisation}"));
                let headers = [
                    ("x-id", id.as_str()),
                    ("x-left", "15000"),
                    ("authorization", key.as_str()),
                ];
                let node = format!("front-{}", n % 2);
                fleet.post(&node, &path, &headers).await.unwrap()
            })
        };
        // It occupies the only slot of the deepest server while the others arrive, worst first.
        let mut tasks = vec![post("second", "last", 0)];
        sleep(Duration::from_millis(100)).await;
        for (n, (organisation, route)) in (1..).zip(EXPECTED.into_iter().rev()) {
            tasks.push(post(organisation, route, n));
            sleep(Duration::from_millis(5)).await;
        }
        for task in tasks {
            let answer = task.await.unwrap();
            assert_eq!(answer.body, "200", "{answer:?}");
        }
        let name = |id: &String| id.rsplit_once('-').unwrap().0.to_owned();
        let order: Vec<_> = order.borrow().iter().skip(1).map(name).collect();
        assert_eq!(order, EXPECTED.map(|(o, route)| format!("{o}-{route}")));
    })
    .await;
}
