//! Guards the keys of organisations on the request path: who is refused, what reaches a server, and
//! which version of the keys is in effect.

mod support;

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    sync::{Mutex, Once},
    time::Duration,
};

use bytes::Bytes;
use comfreybay::{
    state::{
        counters::Counter,
        mesh::route::{Route, RouteTable},
    },
    transport::memory::Process,
};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use support::{
    Answer, CALLER, Reply, Script, Seen, header, local,
    mesh::{Connection, METRICS, MeshFleet, outbound, route, sealed, table, with_keys},
    script, send,
};
use tokio::time::sleep;

const LEFT: (&str, &str) = ("x-left", "1000");
const FORGED: (&str, &str) = ("x-organisation", "forged");
const PAIRS: [(&str, u8, u32); 2] = [("front", 1, 4), ("deep", 2, 4)];

fn exempt(name: &str, service: &str) -> Route {
    Route {
        is_exempt: true,
        ..route(name, service)
    }
}

/// What a server has received: authorization, name of the organisation and a further header.
fn received(seen: &Seen) -> String {
    let text = |name| header(seen.request.headers(), name);
    format!(
        "{}|{}|{}",
        text("authorization"),
        text("x-organisation"),
        text("x-kept")
    )
}

fn echo() -> Script {
    script(|seen| async move { sealed(&seen, &received(&seen)) })
}

async fn fleet(table: RouteTable, script: Script) -> MeshFleet {
    let fleet = MeshFleet::start(&PAIRS, script).await;
    fleet.put_routes(table);
    sleep(Duration::from_millis(50)).await;
    fleet
}

async fn post(fleet: &MeshFleet, path: &str, headers: &[(&str, &str)]) -> Answer {
    let all = [&[("x-id", "1"), LEFT], headers].concat();
    fleet.post("front-0", path, &all).await.unwrap()
}

fn assert_unauthorised(answer: &Answer) {
    assert_eq!(answer.status, StatusCode::UNAUTHORIZED, "{answer:?}");
    assert_eq!(answer.header("retry-after"), "", "{answer:?}");
}

/// Guards against a request that runs without a known key, against an answer that invites a retry,
/// and against a node without a configuration that answers 401.
#[tokio::test(start_paused = true)]
async fn request_without_a_known_key_does_not_run() {
    local(async {
        let fleet = MeshFleet::start(&PAIRS, echo()).await;
        let known = ("authorization", "Bearer k1");
        for headers in [&[][..], &[known]] {
            let answer = post(&fleet, "/a/", headers).await;
            assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        }
        fleet.put_routes(with_keys(1, vec![route("a", "deep")], &[("Acme_1", "k1")]));
        sleep(Duration::from_millis(50)).await;
        let refused: [&[(&str, &str)]; 8] = [
            &[],
            &[("authorization", "Bearer")],
            &[("authorization", "Bearer ")],
            &[("authorization", "Bearer k2")],
            &[("authorization", "Bearer K1")],
            &[("authorization", "Basic k1")],
            &[("authorization", "k1")],
            &[known, ("authorization", "Bearer k2")],
        ];
        for headers in refused {
            assert_unauthorised(&post(&fleet, "/a/", headers).await);
        }
        assert!(fleet.runs_of("1").is_empty());
        let counters = &fleet.pairs["front-0"].mesh.counters;
        assert_eq!(counters.get(Counter::RefusedNoKey), 6);
        assert_eq!(counters.get(Counter::RefusedUnknownKey), 2);
        for value in ["Bearer k1", "bearer k1", "Bearer  k1 "] {
            let answer = post(&fleet, "/a/", &[("authorization", value)]).await;
            assert_eq!(answer.body, "|Acme_1|", "{value}");
        }
        assert_eq!(
            post(&fleet, "/none/", &[]).await.status,
            StatusCode::NOT_FOUND
        );
    })
    .await;
}

/// Guards against a key that reaches a server, at the own node or through another one, and against
/// a name that the caller chose.
#[tokio::test(start_paused = true)]
async fn server_gets_the_name_in_place_of_the_key() {
    local(async {
        let routes = vec![route("near", "front"), route("far", "deep")];
        let fleet = fleet(with_keys(1, routes, &[("a", "k1"), ("b", "k2")]), echo()).await;
        for (key, name) in [("Bearer k1", "a"), ("Bearer k2", "b")] {
            for path in ["/near/", "/far/"] {
                let forged = [
                    ("authorization", key),
                    FORGED,
                    ("X-Organisation", "again"),
                    ("cb-organisation", "forged"),
                    ("x-kept", "k"),
                ];
                let answer = post(&fleet, path, &forged).await;
                assert_eq!(answer.body, format!("|{name}|k"), "{path}");
            }
        }
    })
    .await;
}

/// Guards against a configuration without organisations that changes what is forwarded.
#[tokio::test(start_paused = true)]
async fn without_organisations_headers_are_forwarded() {
    local(async {
        let routes = vec![route("near", "front"), route("far", "deep")];
        let fleet = fleet(table(1, routes), echo()).await;
        for path in ["/near/", "/far/"] {
            let headers = [("authorization", "Bearer k1"), FORGED];
            let answer = post(&fleet, path, &headers).await;
            assert_eq!(answer.body, "Bearer k1|forged|", "{path}");
        }
    })
    .await;
}

/// Guards against an exempt route that asks for a key, passes one on, or passes on a name that the
/// caller chose.
#[tokio::test(start_paused = true)]
async fn exempt_route_needs_no_key() {
    local(async {
        let routes = vec![exempt("open", "deep"), route("a", "deep")];
        let fleet = fleet(with_keys(1, routes, &[("a", "k1")]), echo()).await;
        assert_eq!(post(&fleet, "/open/", &[FORGED]).await.body, "||");
        for (key, expected) in [("Bearer k1", "|a|"), ("Bearer k2", "||"), ("Basic x", "||")] {
            let answer = post(&fleet, "/open/", &[("authorization", key), FORGED]).await;
            assert_eq!(answer.body, expected, "{key}");
        }
        assert_unauthorised(&post(&fleet, "/a/", &[]).await);
    })
    .await;
}

/// Guards against a call that is refused for want of a key, that loses the organisation of its root
/// or gets that of a key or name that it carries; and against a request that only claims to be one.
#[tokio::test(start_paused = true)]
async fn calls_belong_to_the_organisation_of_their_root() {
    local(async {
        let script = script(|seen| async move {
            let below = match header(seen.request.headers(), "x-kept").as_str() {
                "" => return sealed(&seen, &received(&seen)),
                "plain" => vec![],
                _ => vec![("authorization", "Bearer k2"), FORGED],
            };
            let id = format!("{}.1", seen.id());
            let headers = [
                &[("x-id", id.as_str()), ("x-left", "500")],
                below.as_slice(),
            ]
            .concat();
            let answer = seen.send("/inner/", &headers).await.unwrap();
            sealed(&seen, std::str::from_utf8(&answer.body).unwrap())
        });
        let routes = vec![
            route("outer", "front"),
            route("inner", "deep"),
            exempt("open", "front"),
        ];
        let fleet = fleet(with_keys(1, routes, &[("a", "k1"), ("b", "k2")]), script).await;
        let key = ("authorization", "Bearer k1");
        for calls in ["plain", "forged"] {
            let answer = post(&fleet, "/outer/", &[key, ("x-kept", calls)]).await;
            assert_eq!(answer.body, "|a|", "{calls}");
            let answer = post(&fleet, "/open/", &[("x-kept", calls)]).await;
            assert_eq!(answer.body, "||", "{calls}");
        }
        // The request with the id 1 has ended.
        let headers = [("x-id", "1.1"), LEFT];
        let answer = fleet.post("front-0", "/inner/", &headers).await.unwrap();
        assert_unauthorised(&answer);
    })
    .await;
}

/// Guards against a call that is refused because the server has begun to stream its response to the
/// request that the call is made for, and against an entry that stays after the end of the stream.
#[tokio::test(start_paused = true)]
async fn call_made_while_a_response_is_streamed_needs_no_key() {
    local(async {
        let calls = Rc::new(RefCell::new(vec![]));
        let statuses = calls.clone();
        let script = script(move |seen| {
            let statuses = statuses.clone();
            async move {
                if seen.upstream.starts_with("deep") {
                    return sealed(&seen, &received(&seen));
                }
                let (id, part) = (seen.id(), Bytes::from(vec![0; 16 << 20]));
                tokio::task::spawn_local(async move {
                    sleep(Duration::from_millis(20)).await;
                    let id = format!("{}.1", seen.id());
                    let headers = [("x-id", id.as_str()), ("x-left", "500")];
                    let answer = seen.send("/inner/", &headers).await.unwrap();
                    statuses.borrow_mut().push(answer.status);
                });
                let head = Response::builder().header("x-id", id).header("x-seal", "s");
                Reply::Answer(head.body(part).unwrap())
            }
        });
        let routes = vec![route("outer", "front"), route("inner", "deep")];
        let fleet = fleet(with_keys(1, routes, &[("a", "k1")]), script).await;
        let net = fleet.network.net(CALLER, Process::default());
        let request = Request::post("/outer/")
            .header("host", "h")
            .header("x-id", "1")
            .header("authorization", "Bearer k1")
            .body(Full::new(Bytes::new()))
            .unwrap();
        let mut conn = Connection::open(&net, outbound(&fleet, "front-0")).await;
        let response = conn.0.send_request(request).await.unwrap();
        assert_eq!(response.status(), StatusCode::OK);
        sleep(Duration::from_millis(100)).await;
        assert_eq!(*calls.borrow(), [StatusCode::OK]);
        response.into_body().collect().await.unwrap();
        sleep(Duration::from_millis(100)).await;
        let running = &fleet.pairs["front-0"].mesh.calls;
        assert!(running.borrow().parent("1.1", '.').is_none());
    })
    .await;
}

/// Guards against a retry that goes out with the key, or without the name.
#[tokio::test(start_paused = true)]
async fn retry_carries_the_name() {
    local(async {
        let script = script(|seen| async move {
            match header(seen.request.headers(), "x-expected").as_str() {
                "deep-0" => Reply::Raw(Vec::new()),
                _ => sealed(&seen, &received(&seen)),
            }
        });
        let fleet = fleet(
            with_keys(1, vec![route("a", "deep")], &[("a", "k1")]),
            script,
        )
        .await;
        let mut retried = 0;
        for id in 0..40 {
            let id = id.to_string();
            let headers = [
                ("x-id", id.as_str()),
                LEFT,
                ("authorization", "Bearer k1"),
                FORGED,
            ];
            let answer = fleet.post("front-0", "/a/", &headers).await.unwrap();
            if fleet.runs_of(&id).len() == 2 {
                assert_eq!(answer.body, "|a|");
                retried += 1;
            }
        }
        assert!(retried > 0);
    })
    .await;
}

/// Collects all log lines of this process.
struct Lines(Mutex<String>);

static LINES: Lines = Lines(Mutex::new(String::new()));

impl log::Log for Lines {
    fn enabled(&self, _: &log::Metadata) -> bool {
        true
    }

    fn log(&self, record: &log::Record) {
        struct Pairs(String);
        impl<'kvs> log::kv::VisitSource<'kvs> for Pairs {
            fn visit_pair(
                &mut self,
                key: log::kv::Key<'kvs>,
                value: log::kv::Value<'kvs>,
            ) -> Result<(), log::kv::Error> {
                self.0 += &format!(" {key}={value}");
                Ok(())
            }
        }
        let mut pairs = Pairs(String::new());
        let _ = record.key_values().visit(&mut pairs);
        let mut lines = self.0.lock().unwrap();
        *lines += &format!("{}{}\n", record.args(), pairs.0);
    }

    fn flush(&self) {}
}

/// Guards against a key in the log, in the dump, in a metric or in an answer.
#[tokio::test(start_paused = true)]
async fn keys_are_not_shown() {
    static START: Once = Once::new();
    START.call_once(|| {
        log::set_logger(&LINES).unwrap();
        log::set_max_level(log::LevelFilter::Trace);
    });
    local(async {
        let routes = vec![route("a", "deep"), route("none", "front")];
        let keys = [("a", "k-secret-1"), ("b", "k-secret-2")];
        let fleet = fleet(with_keys(1, routes, &keys), echo()).await;
        let mut texts = vec![];
        for key in ["Bearer k-secret-1", "Bearer k-secret-9", "k-secret-1"] {
            let answer = post(&fleet, "/a/", &[("authorization", key)]).await;
            texts.push(format!("{answer:?}"));
        }
        let at = SocketAddr::new(fleet.pairs["front-0"].entry.address.ip(), METRICS);
        let net = fleet.network.net(CALLER, Process::default());
        for path in ["/dump", "/metrics"] {
            let request = Request::get(path).header("host", "m");
            let request = request.body(Full::default()).unwrap();
            let answer = send(&net, at, request).await.unwrap();
            texts.push(String::from_utf8(answer.body.to_vec()).unwrap());
        }
        let dump: serde_json::Value = serde_json::from_str(&texts[3]).unwrap();
        let expected = serde_json::json!({"count": 2, "keys": 2});
        assert_eq!(dump["organisations"], expected);
        assert!(texts[4].contains("comfreybay_config_organisation_keys 2"));
        let lines = LINES.0.lock().unwrap().clone();
        assert!(lines.contains("routes are in effect"), "{lines}");
        texts.push(lines);
        for text in texts {
            assert!(!text.contains("k-secret"), "{text}");
        }
    })
    .await;
}
