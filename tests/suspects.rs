//! Guards against a request that crashes one backend server of its service after the other.

mod support;

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use support::{
    Script, local,
    mesh::{MeshFleet, route, sealed},
    script,
};
use tokio::{
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    task::spawn_local,
    time::{Instant, sleep},
};

/// Time until a crashed server is back.
const DOWN: Duration = Duration::from_secs(2);
/// Crashes after which the request must be known at all nodes of the service.
const CRASHES_MAX: usize = 3;
const CRASHING: &str = "/once/crashing";
/// Longest time for which it is sent; a conviction ends after 10 minutes.
const TIME: Duration = Duration::from_secs(590);

/// A server that tells its name when it runs the crashing request, and serves all others.
fn crashing(crashes: UnboundedSender<String>) -> Script {
    script(move |seen| {
        let crashes = crashes.clone();
        async move {
            if seen.request.uri().path() == CRASHING {
                crashes.send(seen.upstream.clone()).unwrap();
                std::future::pending::<()>().await;
            }
            sleep(Duration::from_millis(100)).await;
            sealed(&seen, "")
        }
    })
}

/// Crashes each server that asks for it, and starts it again some time later.
async fn crash_servers(fleet: Rc<MeshFleet>, mut crashes: UnboundedReceiver<String>) {
    let servers = fleet.pairs.iter();
    let servers = servers.map(|(name, pair)| (name.clone(), pair.server.clone()));
    let servers: BTreeMap<_, _> = servers.collect();
    let servers = Rc::new(RefCell::new(servers));
    while let Some(name) = crashes.recv().await {
        servers.borrow()[&name].crash();
        let (fleet, servers) = (fleet.clone(), servers.clone());
        spawn_local(async move {
            sleep(DOWN).await;
            let server = fleet.start_server(&name, fleet.pairs[&name].entry.address);
            servers.borrow_mut().insert(name, server);
        });
    }
}

struct Service {
    fleet: Rc<MeshFleet>,
    began: Instant,
}

impl Service {
    async fn start(callers: u8, servers: u8) -> Self {
        let (sender, crashes) = unbounded_channel();
        let mut once = route("once", "deep");
        once.idempotent = false;
        once.timeout = Duration::from_secs(6);
        let services = [("front", callers, 8), ("deep", servers, 8)];
        let fleet = MeshFleet::with(&services, vec![once], crashing(sender)).await;
        let fleet = Rc::new(fleet);
        spawn_local(crash_servers(fleet.clone(), crashes));
        let service = Self {
            fleet,
            began: Instant::now(),
        };
        sleep(Duration::from_secs(2)).await;
        service
    }

    /// Sends the crashing request from the callers in turn, beside other requests.
    async fn send(&self, callers: u8, times: usize, gap: Duration) {
        for n in 0..times {
            let node = format!("front-{}", n % usize::from(callers));
            for (path, id) in [(CRASHING, "c"), ("/once/sound", "s")] {
                let id = format!("{id}-{n}-{}", self.began.elapsed().as_millis());
                let (fleet, node, path) = (self.fleet.clone(), node.clone(), path.to_owned());
                spawn_local(async move {
                    let headers = [("x-id", id.as_str()), ("x-left", "6000")];
                    let _ = fleet.post(&node, &path, &headers).await;
                });
            }
            sleep(gap).await;
        }
    }

    fn crashes(&self) -> usize {
        let runs = self.fleet.runs.borrow();
        runs.iter().filter(|(_, id)| id.starts_with("c-")).count()
    }
}

/// Guards against a conviction by each node for itself, for which each server crashes twice.
#[tokio::test(start_paused = true)]
async fn crashing_request_is_known_to_all_nodes_of_its_service() {
    for (callers, servers, gap_ms) in [(4, 5, 3_000), (1, 2, 3_000), (3, 9, 700), (2, 4, 45_000)] {
        local(async {
            let service = Service::start(callers, servers).await;
            let gap = Duration::from_millis(gap_ms);
            let times = (TIME.as_millis() / gap.as_millis()).min(24) as usize;
            service.send(callers, times, gap).await;
            let crashes = service.crashes();
            let what =
                format!("{servers} servers, one request each {gap_ms} ms: {crashes} crashes");
            assert!((1..=CRASHES_MAX).contains(&crashes), "{what}");
        })
        .await;
    }
}

/// Guards against a node that forgets which requests crash servers when it is restarted.
#[tokio::test(start_paused = true)]
async fn restarted_nodes_learn_which_requests_crash_servers() {
    local(async {
        let service = Service::start(2, 4).await;
        let gap = Duration::from_secs(3);
        service.send(2, 12, gap).await;
        let before = service.crashes();
        for n in 0..4 {
            let pair = &service.fleet.pairs[&format!("deep-{n}")];
            pair.node.crash();
            service.fleet.start_node(pair.mesh.settings.clone());
            sleep(Duration::from_secs(1)).await;
        }
        service.send(2, 12, gap).await;
        assert_eq!(service.crashes(), before, "crashes after the restarts");
    })
    .await;
}
