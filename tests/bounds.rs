//! Guards the limits on what the listeners accept.

mod support;

use std::time::Duration;

use bytes::Bytes;
use comfreybay::state::{id::CallToken, memory::MemorySize};
use http::Request;
use http_body_util::Full;
use support::{Fleet, Reply, class, header, local, ok, publication, raw, script};
use tokio::time::{Instant, sleep};

const WAIT: Duration = Duration::from_secs(60);

fn echo() -> support::Script {
    script(|seen: support::Seen| async move { ok(seen.request.into_body()) })
}

/// Guards against request framing that two successive servers could interpret differently.
#[tokio::test(start_paused = true)]
async fn ambiguous_framing_is_refused() {
    let heads = [
        "content-length: 3\r\ncontent-length: 4\r\n\r\nabcd",
        "content-length: 3, 3\r\n\r\nabc",
        "content-length: +3\r\n\r\nabc",
        "content-length: 0x3\r\n\r\nabc",
        "content-length: -3\r\n\r\nabc",
        "content-length : 3\r\n\r\nabc",
        "transfer-encoding: gzip\r\n\r\nabc",
        "transfer-encoding: gzip, chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        "transfer-encoding: chunked, chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        "transfer-encoding: xchunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\n\r\n3 x\r\nabc\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\n\r\nfffffffffffffffff\r\nabc\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\n\r\n-3\r\nabc\r\n0\r\n\r\n",
        " x-folded: 1\r\ncontent-length: 3\r\n\r\nabc",
        "host: other\r\ncontent-length: 3\r\n\r\nabc",
        "content-length: 3\r\nx-null: a\0b\r\n\r\nabc",
    ];
    for head in heads {
        local(async move {
            let fleet = Fleet::start(publication(&[("front", 1)], &[class("a")]), echo()).await;
            let at = fleet.members["front-0"].settings.public;
            // The second request in the same bytes must not be answered either.
            let bytes = format!(
                "POST /a HTTP/1.1\r\nhost: public\r\nx-id: 1\r\n{head}\
                 POST /a HTTP/1.1\r\nhost: public\r\nx-id: 2\r\ncontent-length: 0\r\n\r\n"
            );
            let answer = raw(&fleet.caller(), at, bytes.as_bytes(), WAIT).await;
            assert!(answer.starts_with("HTTP/1.1 4"), "{head:?} gave {answer:?}");
            assert_eq!(
                answer.matches("HTTP/1.1").count(),
                1,
                "{head:?} gave {answer:?}"
            );
            assert!(fleet.runs.borrow().is_empty(), "{head:?} ran");
        })
        .await;
    }
}

/// Guards against a request with both a length and chunks whose remaining bytes are taken for
/// another request.
///
/// RFC 9112 section 6.3 lets a server refuse such a request, or read it by its chunks and close
/// the connection after the answer. The HTTP library does the latter and removes the length.
#[tokio::test(start_paused = true)]
async fn chunks_with_a_length_end_the_connection() {
    let heads = [
        "content-length: 3\r\ntransfer-encoding: chunked",
        "transfer-encoding: chunked\r\ncontent-length: 3",
        "transfer-encoding: chunked\r\ncontent-length: 0",
        "transfer-encoding: chunked\r\ncontent-length: 300",
    ];
    for head in heads {
        local(async move {
            let fleet = Fleet::start(publication(&[("front", 1)], &[class("a")]), echo()).await;
            let at = fleet.members["front-0"].settings.public;
            let bytes = format!(
                "POST /a HTTP/1.1\r\nhost: public\r\nx-id: 1\r\n{head}\r\n\r\n3\r\nabc\r\n0\r\n\r\n\
                 POST /a HTTP/1.1\r\nhost: public\r\nx-id: 2\r\ncontent-length: 0\r\n\r\n"
            );
            let begin = Instant::now();
            let answer = raw(&fleet.caller(), at, bytes.as_bytes(), WAIT).await;
            assert!(
                begin.elapsed() < Duration::from_secs(1),
                "{head:?}: the connection was not closed within 1 s"
            );
            assert_eq!(
                answer.matches("HTTP/1.1").count(),
                1,
                "{head:?} gave {answer:?}"
            );
            assert!(
                answer.contains("connection: close"),
                "{head:?} gave {answer:?}"
            );
            assert!(
                answer.ends_with("\r\n\r\nabc") || !answer.contains(" 200 "),
                "{answer:?}"
            );
            assert!(
                fleet.runs_of("2").is_empty(),
                "{head:?}: the remaining bytes ran as a request"
            );
        })
        .await;
    }
}

/// Guards against requests that use unbounded memory.
#[tokio::test(start_paused = true)]
async fn oversized_requests_are_refused() {
    local(async {
        let fleet = Fleet::start(publication(&[("front", 1)], &[class("a")]), echo()).await;
        let at = fleet.members["front-0"].settings.public;
        let long = "x".repeat(40_000);
        let many: String = (0..200).map(|n| format!("x-{n}: 1\r\n")).collect();
        let heads = [
            format!("POST /a HTTP/1.1\r\nhost: p\r\nx-long: {long}\r\n\r\n"),
            format!("POST /a HTTP/1.1\r\nhost: p\r\n{many}\r\n"),
            format!("POST /a?{long} HTTP/1.1\r\nhost: p\r\n\r\n"),
            format!("POST /a?{} HTTP/1.1\r\nhost: p\r\n\r\n", &long[..10_000]),
            "POST /a HTTP/1.1\r\nhost: p\r\ncontent-length: 99999999999\r\n\r\n".to_owned(),
            "POST /a HTTP/1.0\r\nhost: p\r\ncontent-length: 0\r\n\r\n".to_owned(),
            "CONNECT a:1 HTTP/1.1\r\nhost: a:1\r\n\r\n".to_owned(),
        ];
        for head in heads {
            let answer = raw(&fleet.caller(), at, head.as_bytes(), WAIT).await;
            let status: u16 = answer.get(9..12).and_then(|s| s.parse().ok()).unwrap_or(0);
            let short = &head[..head.len().min(60)];
            assert!((400..=505).contains(&status), "{short:?} gave {answer:?}");
        }
        let chunk = format!("{:x}\r\n{}\r\n", 1 << 20, "y".repeat(1 << 20));
        let body = format!("POST /a HTTP/1.1\r\nhost: p\r\ntransfer-encoding: chunked\r\n\r\n{chunk}{chunk}{chunk}0\r\n\r\n");
        let answer = raw(&fleet.caller(), at, body.as_bytes(), WAIT).await;
        assert!(answer.starts_with("HTTP/1.1 413"), "{answer:?}");
        assert!(fleet.runs.borrow().is_empty());
    })
    .await;
}

/// Guards against clients that keep connections open by sending slowly.
#[tokio::test(start_paused = true)]
async fn slow_requests_are_closed() {
    let starts = [
        ("", 31),
        ("POST /a HTTP/1.1\r\nhost: p\r\n", 31),
        (
            "POST /a HTTP/1.1\r\nhost: p\r\ncontent-length: 5\r\n\r\nabc",
            11,
        ),
    ];
    for (start, limit_s) in starts {
        local(async move {
            let fleet = Fleet::start(publication(&[("front", 1)], &[class("a")]), echo()).await;
            let at = fleet.members["front-0"].settings.public;
            let begin = Instant::now();
            raw(&fleet.caller(), at, start.as_bytes(), WAIT).await;
            let spent = begin.elapsed();
            assert!(
                spent <= Duration::from_secs(limit_s),
                "{start:?} was open for {spent:?}, limit {limit_s} s"
            );
            assert!(fleet.runs.borrow().is_empty());
        })
        .await;
    }
}

/// Guards against callers and servers that set headers reserved for nodes.
#[tokio::test(start_paused = true)]
async fn internal_headers_are_dropped() {
    local(async {
        let report = script(|seen: support::Seen| async move {
            let headers = seen.request.headers();
            let names = [
                "cb-priority",
                "cb-allowance",
                "cb-ticket",
                "x-private",
                "connection",
            ];
            let kept: Vec<_> = names.iter().filter(|n| headers.contains_key(**n)).collect();
            let timeout_ms: u64 = header(headers, "cb-timeout-ms").parse().unwrap();
            assert!(timeout_ms <= 2_000, "{timeout_ms}");
            let body = format!("{kept:?} {}", header(headers, "cb-root"));
            let mut answer = http::Response::new(Bytes::from(body));
            for name in ["cb-outcome", "cb-ticket", "cb-unused", "cb-levels"] {
                answer
                    .headers_mut()
                    .insert(name, "unknown".parse().unwrap());
            }
            Reply::Answer(answer)
        });
        let fleet = Fleet::start(publication(&[("front", 1)], &[class("a")]), report).await;
        let root = "0".repeat(32);
        let headers = [
            ("cb-root", root.as_str()),
            ("cb-priority", "0"),
            ("cb-allowance", "1000"),
            ("cb-ticket", "x"),
            ("cb-timeout-ms", "999999999999"),
            ("connection", "x-private"),
            ("x-private", "1"),
        ];
        let answer = fleet.post("front-0", "/a", &headers, "").await.unwrap();
        let text = format!("[] {}", answer.header("cb-root"));
        assert_eq!(answer.body, text);
        assert_ne!(answer.header("cb-root"), root);
        assert_eq!(answer.outcome(), "complete");
        for name in ["cb-ticket", "cb-unused", "cb-levels"] {
            assert_eq!(answer.header(name), "", "{name}");
        }
    })
    .await;
}

/// Guards against calls accepted by the peer listener from hosts outside the configuration.
#[tokio::test(start_paused = true)]
async fn peer_listener_refuses_unknown_hosts() {
    local(async {
        let fleet = Fleet::start(publication(&[("front", 2)], &[class("a")]), echo()).await;
        let member = &fleet.members["front-0"];
        let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";
        let begin = Instant::now();
        let answer = raw(&fleet.caller(), member.settings.peer, preface, WAIT).await;
        assert_eq!(answer, "");
        assert!(begin.elapsed() < Duration::from_secs(1));
        assert_eq!(fleet.runs.borrow().len(), 0);
    })
    .await;
}

/// Guards against egress calls with a token that is missing, unknown, or of a finished call.
#[tokio::test(start_paused = true)]
async fn egress_needs_a_call_in_progress() {
    local(async {
        let tokens = std::rc::Rc::new(std::cell::RefCell::new(Vec::new()));
        let kept = tokens.clone();
        let keep = script(move |seen: support::Seen| {
            let tokens = kept.clone();
            async move {
                if seen.upstream == "deep-0" {
                    return ok("deep");
                }
                let token = header(seen.request.headers(), "cb-call");
                let old = tokens.borrow().first().cloned();
                tokens.borrow_mut().push(token.clone());
                let forged = CallToken([9; 16]).to_string();
                let mut text = String::new();
                for token in [Some(token), old, Some(forged), Some("x".into())] {
                    let Some(token) = token else { continue };
                    let answer = seen.call_with("deep", &token, Bytes::new()).await.unwrap();
                    text += &format!("{} ", answer.outcome());
                }
                ok(text)
            }
        });
        let services = [("front", 1), ("deep", 1)];
        let fleet = Fleet::start(publication(&services, &[class("a")]), keep).await;
        let first = fleet.post("front-0", "/a", &[], "").await.unwrap();
        assert_eq!(first.body, "complete not-run not-run ");
        let second = fleet.post("front-0", "/a", &[], "").await.unwrap();
        assert_eq!(second.body, "complete not-run not-run not-run ");
        sleep(Duration::from_millis(10)).await;
        // A call without a token.
        let at = fleet.members["front-0"].settings.egress;
        let request = Request::post("/a")
            .header("host", "deep")
            .body(Full::default())
            .unwrap();
        let answer = support::send(&fleet.caller(), at, request).await.unwrap();
        assert_eq!(answer.outcome(), "not-run");
        assert_eq!(
            fleet
                .runs
                .borrow()
                .iter()
                .filter(|(u, _)| u == "deep-0")
                .count(),
            2
        );
    })
    .await;
}

/// Guards against concurrent request bodies that exhaust the memory of the node.
#[tokio::test(start_paused = true)]
async fn bodies_of_all_requests_are_bounded() {
    local(async {
        let fleet = Fleet::start(publication(&[("front", 1)], &[class("a")]), echo()).await;
        let at = fleet.members["front-0"].settings.public;
        let head = "POST /a HTTP/1.1\r\nhost: p\r\ncontent-length: 2000000\r\n\r\n";
        let part = format!("{head}{}", "x".repeat(1_900_000));
        let (net, part) = (fleet.caller(), part.as_bytes());
        let answers = futures::future::join_all((0..30).map(|_| raw(&net, at, part, WAIT))).await;
        let full = answers
            .iter()
            .filter(|a| a.starts_with("HTTP/1.1 503"))
            .count();
        let slow = answers
            .iter()
            .filter(|a| a.starts_with("HTTP/1.1 408"))
            .count();
        // The buffer of 32 MiB holds 17 bodies of 1.9 MB.
        assert_eq!((slow, full), (17, 13), "{answers:?}");
        assert!(answers.iter().all(|a| a.contains("cb-outcome: not-run")));
        assert_eq!(
            fleet.members["front-0"].context.memory.used(),
            MemorySize(0)
        );
        let answer = fleet
            .post("front-0", "/a", &[], vec![1; 1_000_000])
            .await
            .unwrap();
        assert_eq!(answer.body.len(), 1_000_000);
    })
    .await;
}
