//! Guards the quotas of organisations in a fleet of whole nodes on the in-memory network.

mod support;

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use comfreybay::{
    state::{
        counters::Counter,
        mesh::{
            organisation::{Organisation, Organisations, Quota},
            quota::{self, QuotaBounds},
            route::RouteTable,
        },
    },
    transport::{
        chunks::Chunks,
        link::Links,
        memory::{MemoryNet, Place, Process},
    },
};
use futures::future::join_all;
use http::{Request, StatusCode};
use support::{
    local,
    mesh::{INBOUND, MeshFleet, route, sealed, table},
    script,
};
use tokio::time::{Instant, sleep, sleep_until};

/// Time after which the lenders have shares and tokens.
const WARM_UP: Duration = Duration::from_secs(15);

/// Routes with organisations `o0`, `o1` and so on, whose keys are `k0`, `k1` and so on.
fn routes(revision: u64, quotas: &[Option<Quota>]) -> RouteTable {
    let organisation = |(n, quota): (usize, &Option<Quota>)| {
        let name = format!("o{n}").parse().unwrap();
        let (priority, quota) = (None, *quota);
        let organisation = Organisation {
            name,
            priority,
            quota,
        };
        (organisation, vec![format!("k{n}")])
    };
    let all = quotas.iter().enumerate().map(organisation).collect();
    let all = Organisations::new(all).unwrap();
    table(revision, vec![route("a", "front"), route("b", "gone")]).with_organisations(all)
}

fn limit(per_second: f64, burst: f64) -> Option<Quota> {
    Some(Quota { per_second, burst })
}

async fn fleet_with(nodes: u8, quotas: &[Option<Quota>]) -> MeshFleet {
    let script = script(|seen| async move { sealed(&seen, "") });
    let fleet = MeshFleet::start(&[("front", nodes, 50)], script).await;
    fleet.put_routes(routes(1, quotas));
    sleep(WARM_UP).await;
    fleet
}

async fn post(fleet: &MeshFleet, node: &str, organisation: usize) -> StatusCode {
    let key = format!("Bearer k{organisation}");
    let headers = [("x-id", "1"), ("x-left", "1000"), ("authorization", &key)];
    let answer = fleet.post(node, "/a/1", &headers).await;
    answer.map_or(StatusCode::BAD_GATEWAY, |answer| {
        if answer.status == StatusCode::TOO_MANY_REQUESTS {
            let after: f64 = answer.header("retry-after").parse().unwrap();
            assert!(after > 0.0, "{after}");
        }
        answer.status
    })
}

/// Times at which requests were served, and numbers of responses by status.
#[derive(Default)]
struct Results {
    served: RefCell<Vec<Instant>>,
    statuses: RefCell<BTreeMap<u16, usize>>,
}

impl Results {
    fn record(&self, at: Instant, status: StatusCode) {
        *self
            .statuses
            .borrow_mut()
            .entry(status.as_u16())
            .or_default() += 1;
        if status == StatusCode::OK {
            self.served.borrow_mut().push(at);
        }
    }

    fn count(&self, status: u16) -> usize {
        self.statuses.borrow().get(&status).copied().unwrap_or(0)
    }

    /// The most requests served in one window.
    fn worst(&self, bounds: &QuotaBounds) -> usize {
        let mut served = self.served.borrow().clone();
        served.sort_unstable();
        let in_window = |from: &Instant| {
            let window = served
                .iter()
                .filter(|at| *from <= **at && **at < *from + bounds.window);
            window.count()
        };
        served.iter().map(in_window).max().unwrap_or(0)
    }
}

/// Sends `per_second` requests of the first organisation in turn to the nodes.
async fn load(
    fleet: &MeshFleet,
    nodes: &[String],
    per_second: u32,
    time: Duration,
    results: &Results,
) {
    let start = Instant::now();
    let count = (f64::from(per_second) * time.as_secs_f64()) as u32;
    let requests = (0..count).map(async |n| {
        sleep_until(start + n * Duration::from_secs(1) / per_second).await;
        let at = Instant::now();
        let node = &nodes[n as usize % nodes.len()];
        results.record(at, post(fleet, node, 0).await);
    });
    join_all(requests).await;
}

fn names(range: std::ops::Range<u8>) -> Vec<String> {
    range.map(|n| format!("front-{n}")).collect()
}

/// Guards against a request of an idle organisation that is refused, and against organisations
/// that share tokens; the third one has no quota.
#[tokio::test(start_paused = true)]
async fn one_request_of_each_organisation_is_served() {
    local(async {
        let small = limit(1.0 / 60.0, 1.0);
        let fleet = fleet_with(8, &[small, limit(5.0, 5.0), None]).await;
        for organisation in 0..3 {
            let status = post(&fleet, "front-3", organisation).await;
            assert_eq!(status, StatusCode::OK, "organisation {organisation}");
        }
    })
    .await;
}

/// Guards against messages, memory and tokens where no organisation has a quota.
#[tokio::test(start_paused = true)]
async fn nothing_is_sent_without_quotas() {
    local(async {
        let fleet = fleet_with(8, &[None, limit(0.0, 5.0)]).await;
        assert_eq!(post(&fleet, "front-3", 0).await, StatusCode::OK);
        assert_eq!(post(&fleet, "front-3", 1).await, StatusCode::OK);
        for (name, pair) in &fleet.pairs {
            assert_eq!(pair.mesh.counters.get(Counter::QuotaAsked), 0, "{name}");
        }
    })
    .await;
}

/// Guards against tokens that are lost with requests that do not run: there is no server for them.
#[tokio::test(start_paused = true)]
async fn a_request_that_does_not_run_returns_its_token() {
    local(async {
        let small = Quota {
            per_second: 1.0 / 60.0,
            burst: 1.0,
        };
        let fleet = fleet_with(4, &[Some(small)]).await;
        let key = [
            ("x-id", "1"),
            ("x-left", "1000"),
            ("authorization", "Bearer k0"),
        ];
        // Without returns, tokens for 8 of them would be there.
        for n in 0..12 {
            let answer = fleet.post("front-1", "/b/1", &key).await.unwrap();
            assert_eq!(
                answer.status,
                StatusCode::SERVICE_UNAVAILABLE,
                "request {n}"
            );
        }
        // The counters are updated when the node asks its lenders.
        sleep(Duration::from_secs(1)).await;
        assert!(
            fleet.pairs["front-1"]
                .mesh
                .counters
                .get(Counter::QuotaReturned)
                > 0
        );
    })
    .await;
}

/// Guards against an organisation that is served beyond the bound, and one that gets less than its
/// limit, while it sends more than its limit.
#[tokio::test(start_paused = true)]
async fn an_organisation_over_its_quota_gets_its_limit() {
    local(async {
        let quota = Quota {
            per_second: 20.0,
            burst: 20.0,
        };
        let fleet = fleet_with(8, &[Some(quota)]).await;
        let results = Results::default();
        load(&fleet, &names(0..8), 150, Duration::from_secs(12), &results).await;
        let worst = results.worst(&QuotaBounds::default());
        assert!(
            worst as f64 <= QuotaBounds::default().max(&quota),
            "{worst}"
        );
        let served = results.count(200);
        assert!(served >= 230, "{served} served, 12 x 20 are allowed");
        assert_eq!(served + results.count(429), 1_800, "{:?}", results.statuses);
    })
    .await;
}

/// Guards against a partition in which the halves together serve more than the bound, or one of
/// them nothing, although the store lists only the nodes of one half.
#[tokio::test(start_paused = true)]
async fn both_halves_of_a_partition_keep_to_the_bound() {
    local(async {
        let quota = Quota {
            per_second: 40.0,
            burst: 40.0,
        };
        let fleet = fleet_with(8, &[Some(quota)]).await;
        let (first, second) = (names(0..4), names(4..8));
        let host = |name: &String| Place::Host(fleet.pairs[name].entry.address.ip());
        for a in &first {
            for b in &second {
                fleet.network.cut_both(host(a), host(b));
            }
        }
        for b in &second {
            fleet
                .network
                .cut_both(host(b), Place::Host(support::store::STORE.ip()));
            fleet.remove_entry(b);
        }
        let results = Results::default();
        let of_second = Results::default();
        let time = Duration::from_secs(20);
        let all = names(0..8);
        let together = load(&fleet, &all, 200, time, &results);
        let more = load(&fleet, &second, 20, time, &of_second);
        tokio::join!(together, more);
        assert!(of_second.count(200) >= 40, "{:?}", of_second.statuses);
        results.served.borrow_mut().extend(of_second.served.take());
        let worst = results.worst(&QuotaBounds::default());
        assert!(
            worst as f64 <= QuotaBounds::default().max(&quota),
            "{worst}"
        );
        let served = results.served.borrow().len();
        assert!(served >= 500, "{served} served, 20 x 40 are allowed");
    })
    .await;
}

/// Guards against refusals below the limit for longer than a share is lent (2 s) after a lender was
/// killed, or of more than a twentieth of the requests meanwhile, and against a lender that lends twice after its restart.
#[tokio::test(start_paused = true)]
async fn a_killed_lender_is_replaced() {
    local(async {
        let quota = Quota {
            per_second: 100.0,
            burst: 100.0,
        };
        let mut fleet = fleet_with(8, &[Some(quota)]).await;
        let peers: Vec<SocketAddr> = fleet.pairs.values().map(|p| p.mesh.own_peer()).collect();
        let lender = quota::lenders(peers[0], peers.iter().copied())[0];
        let name = fleet
            .pairs
            .iter()
            .find(|(_, p)| p.mesh.own_peer() == lender);
        let name = name.map(|(name, _)| name.clone()).unwrap();
        let mut others = names(0..8);
        others.retain(|other| *other != name);
        let results = Results::default();
        fleet.pairs[&name].node.crash();
        load(&fleet, &others, 50, Duration::from_secs(3), &results).await;
        assert!(results.count(429) <= 7, "{:?}", results.statuses);
        let results = Results::default();
        load(&fleet, &others, 50, Duration::from_secs(10), &results).await;
        assert_eq!(results.count(429), 0, "{:?}", results.statuses);
        fleet.restart(&name, true).await;
        let results = Results::default();
        load(&fleet, &names(0..8), 400, Duration::from_secs(10), &results).await;
        let worst = results.worst(&QuotaBounds::default());
        assert!(
            worst as f64 <= QuotaBounds::default().max(&quota),
            "{worst}"
        );
    })
    .await;
}

/// Guards against tokens of the old limit that are used after a limit was lowered.
#[tokio::test(start_paused = true)]
async fn a_lowered_limit_is_binding() {
    local(async {
        let fleet = fleet_with(8, &[limit(200.0, 200.0)]).await;
        let results = Results::default();
        load(&fleet, &names(0..8), 100, Duration::from_secs(5), &results).await;
        assert_eq!(results.count(429), 0, "{:?}", results.statuses);
        let lowered = Quota {
            per_second: 4.0,
            burst: 4.0,
        };
        fleet.put_routes(routes(2, &[Some(lowered)]));
        sleep(Duration::from_millis(2_500)).await;
        let results = Results::default();
        load(&fleet, &names(0..8), 100, Duration::from_secs(15), &results).await;
        let worst = results.worst(&QuotaBounds::default());
        assert!(
            worst as f64 <= QuotaBounds::default().max(&lowered),
            "{worst}"
        );
        let served = results.count(200);
        assert!(served >= 55, "{served} served, 15 x 4 are allowed");
    })
    .await;
}

/// Guards against a node that answers malformed messages with tokens, or fails.
#[tokio::test(start_paused = true)]
async fn malformed_messages_are_refused() {
    local(async {
        let fleet = fleet_with(2, &[limit(5.0, 5.0)]).await;
        let pair = &fleet.pairs["front-0"];
        let net = fleet.network.net(support::CALLER, Process::default());
        let to = pair.mesh.own_peer();
        let long = vec![0; 1 << 20];
        let cases: [(&str, &str, &[u8]); 6] = [
            ("2", "10.1.0.2:9002", b""),
            ("2", "10.1.0.2:9002", b"\x01\x02"),
            ("2", "10.1.0.2:9002", b"\xff\xff\xff\xff\x00"),
            ("2", "nobody", b"\x01\x00"),
            ("1", "10.1.0.2:9002", b"\x01\x00"),
            ("2", "10.1.0.2:9002", &long),
        ];
        for (version, from, body) in cases {
            let status = post_quota(&net, to, version, from, body).await;
            assert_eq!(status, StatusCode::BAD_REQUEST, "{version} {from}");
        }
        let valid = post_quota(&net, to, "2", "10.1.0.2:9002", b"\x01\x00").await;
        assert_eq!(valid, StatusCode::OK);
        assert_eq!(pair.mesh.counters.get(Counter::MessagesRefused), 6);
    })
    .await;
}

async fn post_quota(
    net: &MemoryNet,
    to: SocketAddr,
    version: &str,
    from: &str,
    body: &[u8],
) -> StatusCode {
    let request = Request::post(format!("http://{to}/"))
        .header("cb-quota", version)
        .header("cb-quota-from", from)
        .body(Chunks::from(Bytes::copy_from_slice(body)))
        .unwrap();
    let links = Links::new(net.clone(), Rc::default());
    links.send(to, request).await.unwrap().status()
}

/// Bytes a second that nodes send each other, per node, with a load of `per_second` requests of 87
/// organisations at random nodes, and the number of responses with 429.
async fn bytes_per_node(quotas: &[Option<Quota>], per_second: u64) -> (f64, usize) {
    let fleet = fleet_with(89, quotas).await;
    let hosts: Vec<_> = fleet.pairs.values().map(|p| p.entry.address.ip()).collect();
    let sent = || -> u64 {
        let traffic = hosts
            .iter()
            .map(|host| fleet.network.traffic(*host, INBOUND));
        traffic.map(|t| t.sent).sum()
    };
    let before = sent();
    let (seconds, start) = (10, Instant::now());
    let rng = RefCell::new(fastrand::Rng::with_seed(1));
    let results = Results::default();
    let requests = (0..per_second * seconds).map(async |n| {
        let (node, organisation) = {
            let mut rng = rng.borrow_mut();
            // The large organisations send three quarters of the requests.
            let organisation = match rng.u8(0..4) {
                0 => rng.usize(5..87),
                _ => rng.usize(0..5),
            };
            (format!("front-{}", rng.u8(0..89)), organisation)
        };
        sleep_until(start + Duration::from_micros(n * 1_000_000 / per_second)).await;
        results.record(Instant::now(), post(&fleet, &node, organisation).await);
    });
    join_all(requests).await;
    sleep_until(start + Duration::from_secs(seconds)).await;
    let bytes = (sent() - before) as f64;
    assert_eq!(
        results.count(200) + results.count(429),
        (per_second * seconds) as usize
    );
    (bytes / 89.0 / seconds as f64, results.count(429))
}

/// Bytes a second and node that quotas add to the same requests without quotas, at 89 nodes and 87
/// organisations.
async fn cost(per_second: u64) -> f64 {
    let quota = |n| {
        if n < 5 {
            limit(431.0, 431.0)
        } else {
            limit(12.0, 12.0)
        }
    };
    let quotas: Vec<_> = (0..87).map(quota).collect();
    let (without, _) = bytes_per_node(&[None; 87], per_second).await;
    let (with, refused) = bytes_per_node(&quotas, per_second).await;
    assert_eq!(refused, 0);
    println!(
        "{per_second} requests a second: {:.0} bytes a second and node",
        with - without
    );
    with - without
}

/// Guards against traffic of quotas above 200 bytes a second and node while hardly any requests come.
#[tokio::test(start_paused = true)]
async fn quotas_cost_few_bytes_at_rest() {
    local(async {
        let cost = cost(1).await;
        assert!(cost < 200.0, "{cost}");
    })
    .await;
}

/// Guards against traffic of quotas above 200 bytes a second and node at 11 requests a second and
/// node.
#[tokio::test(start_paused = true)]
async fn quotas_cost_few_bytes_under_load() {
    local(async {
        let cost = cost(1_000).await;
        assert!(cost < 200.0, "{cost}");
    })
    .await;
}
