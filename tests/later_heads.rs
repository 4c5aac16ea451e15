//! Guards the limits of heads that are not the first ones of their connection.

mod support;

use std::time::Duration;

use comfreybay::transport::pipeline::{
    head::{Extent, HeadScan},
    request_body::RequestBody,
};
use proptest::{
    collection::vec,
    prelude::{any, prop_assert_eq},
    proptest,
};
use support::{
    caller::{Caller, get, with_lines},
    local,
    mesh::{MeshFleet, route, sealed, table_with},
    script,
};
use tokio::time::{sleep, timeout};

const WAIT: Duration = Duration::from_secs(30);

async fn start() -> MeshFleet {
    let script = script(|seen| async move { sealed(&seen, seen.request.uri().path()) });
    let services = [("front", 1, 40), ("deep", 1, 40)];
    MeshFleet::with(&services, vec![route("a", "deep")], script).await
}

/// A request with this many fields besides the ordinary ones.
fn many(path: &str, count: usize) -> String {
    let fields: String = (0..count).map(|n| format!("{n:x}:\r\n")).collect();
    with_lines("GET", path, &fields)
}

/// A request with a body and further lines in its head.
fn post(path: &str, lines: &str, body: &str) -> String {
    with_lines("POST", path, lines) + body
}

fn chunked(path: &str, trailer: &str) -> String {
    let body = format!("4;x=y\r\nbody\r\n1\r\n\n\r\n0\r\n{trailer}\r\n");
    post(path, "transfer-encoding: chunked\r\n", &body)
}

/// Expects an answer of 200 for each path, in this order.
async fn expect(caller: &mut Caller, paths: &[&str]) {
    for path in paths {
        let answer = timeout(WAIT, caller.answer()).await.expect("an answer");
        let answer = answer.unwrap_or_else(|| panic!("{path}: the connection has ended"));
        assert_eq!(answer.status, 200, "{path}");
        assert_eq!(String::from_utf8_lossy(&answer.body), *path);
    }
}

/// Guards against heads within the limit that are refused because an earlier one on the connection
/// had few fields.
#[tokio::test(start_paused = true)]
async fn later_heads_with_many_fields_are_served() {
    local(async {
        let fleet = start().await;
        let mut caller = Caller::dial(&fleet, "front-0").await;
        let requests = [
            ("/a/1", get("/a/1")),
            ("/a/2", many("/a/2", 104)),
            ("/a/3", many("/a/3", 1_500)),
            ("/a/4", get("/a/4")),
            ("/a/5", many("/a/5", 1_500)),
        ];
        for (path, request) in requests {
            caller.write(request).await;
            expect(&mut caller, &[path]).await;
        }
        assert_eq!(fleet.runs.borrow().len(), 5);
    })
    .await;
}

/// Guards against the same behind requests that are not answered yet.
#[tokio::test(start_paused = true)]
async fn heads_behind_pipelined_requests_may_have_many_fields() {
    local(async {
        let fleet = start().await;
        let mut caller = Caller::dial(&fleet, "front-0").await;
        let all = [
            get("/a/1"),
            get("/a/2"),
            many("/a/3", 104),
            get("/a/4"),
            many("/a/5", 1_500),
            many("/a/6", 104),
        ];
        caller.write(all.concat()).await;
        let paths = ["/a/1", "/a/2", "/a/3", "/a/4", "/a/5", "/a/6"];
        expect(&mut caller, &paths).await;
        assert_eq!(fleet.runs.borrow().len(), 6);
    })
    .await;
}

/// Guards against the same behind a body, which arrives together with the next head.
#[tokio::test(start_paused = true)]
async fn heads_behind_a_body_may_have_many_fields() {
    local(async {
        let fleet = start().await;
        let mut caller = Caller::dial(&fleet, "front-0").await;
        let all = [
            post("/a/1", "content-length: 4\r\n", "body"),
            many("/a/2", 104),
            chunked("/a/3", ""),
            many("/a/4", 1_500),
            chunked("/a/5", "x-trailer: a\r\n"),
            many("/a/6", 104),
            get("/a/7"),
        ];
        caller.write(all.concat()).await;
        let paths = ["/a/1", "/a/2", "/a/3", "/a/4", "/a/5", "/a/6", "/a/7"];
        expect(&mut caller, &paths).await;
        assert_eq!(fleet.runs.borrow().len(), 7);
    })
    .await;
}

/// Guards against a head that is lost or refused because it arrives in parts, or with empty lines
/// before it.
#[tokio::test(start_paused = true)]
async fn parts_of_a_head_are_put_together() {
    local(async {
        let fleet = start().await;
        let mut caller = Caller::dial(&fleet, "front-0").await;
        let bytes = [
            many("/a/1", 104),
            "\r\n".to_owned() + &get("/a/2"),
            "\r\n\r\n".to_owned() + &many("/a/3", 104),
            get("/a/4").replace("\r\n", "\n"),
            post("/a/5", "content-length: 4\r\n", "body"),
            many("/a/6", 1_500),
            chunked("/a/7", ""),
            get("/a/8"),
        ]
        .concat();
        let writing = async {
            for part in bytes.as_bytes().chunks(37) {
                caller.write(part).await;
                sleep(Duration::from_millis(1)).await;
            }
        };
        writing.await;
        let paths = [1, 2, 3, 4, 5, 6, 7, 8].map(|n| format!("/a/{n}"));
        expect(&mut caller, &paths.each_ref().map(String::as_str)).await;
    })
    .await;
}

/// Guards against a limit that stays in effect on a connection although the configuration has changed.
#[tokio::test(start_paused = true)]
async fn limit_in_effect_applies_to_open_connections() {
    local(async {
        let fleet = start().await;
        let mut caller = Caller::dial(&fleet, "front-0").await;
        let long = |path| with_lines("GET", path, &format!("x-long: {}\r\n", "a".repeat(24_000)));
        caller.write(get("/a/1")).await;
        expect(&mut caller, &["/a/1"]).await;
        fleet.put_routes(table_with(2, vec![route("a", "deep")], 32_768));
        sleep(Duration::from_millis(500)).await;
        caller.write(long("/a/2")).await;
        expect(&mut caller, &["/a/2"]).await;
        fleet.put_routes(table_with(3, vec![route("a", "deep")], 16_384));
        sleep(Duration::from_millis(500)).await;
        caller.write(get("/a/3")).await;
        expect(&mut caller, &["/a/3"]).await;
        caller.write(long("/a/4")).await;
        let answer = timeout(WAIT, caller.answer()).await.expect("an answer");
        assert_eq!(answer.map(|answer| answer.status), Some(431));
        assert_eq!(fleet.runs.borrow().len(), 3);
    })
    .await;
}

/// Guards against a request that is dropped because a stop begins while its head needs other limits.
#[tokio::test(start_paused = true)]
async fn whole_request_is_answered_when_a_stop_begins() {
    local(async {
        let fleet = start().await;
        let mut caller = Caller::dial(&fleet, "front-0").await;
        caller.write(get("/a/1")).await;
        expect(&mut caller, &["/a/1"]).await;
        caller.write(many("/a/2", 1_500)).await;
        fleet.pairs["front-0"].stop.cancel();
        let answer = timeout(WAIT, caller.answer()).await.expect("an answer");
        let status = answer.map(|answer| answer.status);
        assert!(status == Some(200) || status == Some(503), "{status:?}");
    })
    .await;
}

proptest! {
    /// Guards against an end of a body that is missed or invented where reads split it: what follows
    /// would be taken for the body, or the rest of the body for a request.
    #[test]
    fn end_of_a_body_is_found_however_it_is_split(
        chunks in vec(vec(any::<u8>(), 1..40), 0..5),
        is_chunked in any::<bool>(),
        sizes in vec(1..9_usize, 1..24),
    ) {
        let mut bytes = Vec::new();
        for chunk in &chunks {
            if is_chunked {
                bytes.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
            }
            bytes.extend(chunk);
            if is_chunked {
                bytes.extend(b"\r\n");
            }
        }
        if is_chunked {
            bytes.extend(b"0\r\nx-trailer: a\r\n\r\n");
        }
        let length = (!is_chunked).then_some(bytes.len() as u64);
        let (whole, mut taken) = (bytes.len(), 0);
        bytes.extend(b"GET / HTTP/1.1\r\n\r\n");
        let mut body = RequestBody::new(length);
        for size in sizes.iter().cycle() {
            if body == RequestBody::Ended {
                break;
            }
            let part = &bytes[taken..bytes.len().min(taken + size)];
            taken += body.take(part);
        }
        prop_assert_eq!(taken, whole);
    }

    /// Guards against fields that are counted twice or missed where reads split a head.
    #[test]
    fn fields_are_counted_however_a_head_is_split(
        fields in 0..30_usize,
        sizes in vec(1..9_usize, 1..24),
    ) {
        let head = format!("GET / HTTP/1.1\r\n{}\r\nGET", "a: b\r\n".repeat(fields));
        let (mut scan, mut at, mut extent) = (HeadScan::default(), 0, Extent::Partial);
        for size in sizes.iter().cycle() {
            if extent != Extent::Partial {
                break;
            }
            at = head.len().min(at + size);
            extent = scan.scan(&head.as_bytes()[..at]);
        }
        let bytes = head.len() - "GET".len();
        prop_assert_eq!(extent, Extent::Complete { bytes, fields });
    }
}
