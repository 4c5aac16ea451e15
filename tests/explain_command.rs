//! Guards the command line of `comfreybay-explain`: exit codes, text and JSON, against a stand-in for
//! a node.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    process::{Command, Output},
    thread,
    time::{Duration, Instant},
};

use comfreybay::state::mesh::explain::Explanation;
use serde_json::{Value, json};

const EXPLAIN: &str = env!("CARGO_BIN_EXE_comfreybay-explain");
const REQUEST: [&str; 6] = ["--method", "GET", "--host", "shop", "--path", "/orders/7"];

fn run(args: &[&str]) -> Output {
    let output = Command::new(EXPLAIN).args(args).output();
    output.expect("the program starts")
}

fn out(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn err(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// What the program reports, without its line breaks.
fn report(output: &Output) -> String {
    let text = err(output);
    let words: Vec<_> = text.split_whitespace().filter(|w| *w != "|").collect();
    words.join(" ")
}

/// Accepts one connection, and answers it; without an answer, keeps it open. Returns its address and
/// the first line that it got.
fn stand_in(answer: Option<String>) -> (SocketAddr, thread::JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = listener.local_addr().expect("bound");
    let node = thread::spawn(move || {
        let (mut conn, _) = listener.accept().expect("a connection");
        let mut head = vec![];
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") && conn.read(&mut byte).is_ok_and(|n| n == 1) {
            head.push(byte[0]);
        }
        match answer {
            Some(answer) => conn.write_all(answer.as_bytes()).expect("it can answer"),
            // The program closes the connection when it gives up.
            None => while conn.read(&mut byte).is_ok_and(|n| n == 1) {},
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        head.lines().next().unwrap_or_default().to_owned()
    });
    (at, node)
}

fn http(status: &str, body: &str) -> Option<String> {
    let length = body.len();
    Some(format!(
        "HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
    ))
}

/// Asks a stand-in; returns the output of the program and the first line that the stand-in got.
fn ask(answer: Option<String>, more: &[&str]) -> (Output, String, SocketAddr) {
    let (at, node) = stand_in(answer);
    let address = at.to_string();
    let output = run(&[&[address.as_str()], &REQUEST[..], more].concat());
    (output, node.join().expect("the stand-in ends"), at)
}

/// An answer with a candidate for each kind of column.
fn answer() -> Value {
    let candidate = |server: &str, zone: &str, standing: &str| {
        json!({
            "server": server, "service": "orders", "zone": zone, "address": "10.0.0.1:80",
            "own": false, "standing": standing, "load": null, "load_age_ms": null, "level": null,
            "expected_delay": null, "weight": null, "chance": 0.0, "against": null,
        })
    };
    let mut best = candidate("orders-1.17", "a", "serving");
    best["own"] = true.into();
    best["load"] = "3/20/0".into();
    best["load_age_ms"] = 120.into();
    best["level"] = u32::MAX.into();
    best["expected_delay"] = 1.25.into();
    best["weight"] = 20.0.into();
    best["chance"] = 0.75.into();
    let mut far = candidate("orders-2.17", "b", "ramping");
    far["weight"] = 4.5.into();
    far["level"] = 16_777_216.into();
    far["against"] = "other-zone".into();
    let mut next = candidate("next-1.9", "a", "serving");
    next["service"] = "orders-next".into();
    next["load"] = "0/10/0".into();
    next["load_age_ms"] = 2_900.into();
    next["weight"] = 10.0.into();
    next["chance"] = 0.25.into();
    let mut left = candidate("orders-3.17", "a", "leaving");
    left["against"] = "leaving".into();
    json!({
        "node": "node-1", "service": "front", "zone": "a", "routes": 7, "unknown": null,
        "request": {
            "route": {
                "class": "order",
                "services": [
                    {"service": "orders", "share": 0.75},
                    {"service": "orders-next", "share": 0.25},
                ],
                "idempotent": false, "attempts": 2, "timeout_ms": 2_000,
            },
            "organisation": {
                "name": "Acme_1",
                "quota": {"per_second": 12.5, "burst": 20.0, "standing": "over"},
            },
            "importance": 1, "time_limit_ms": 800,
            "level": {"service": "stock", "level": 18_874_367, "refused": 0.75, "age_ms": 40},
            "refusal": "level-below", "most_likely": "orders-1.17", "candidate_count": 4,
            "candidates": [best, next, far, left],
        },
    })
}

/// Guards against a field that is lost on the way to the operator, and against JSON names that
/// change under scripts.
#[test]
fn text_and_json_show_the_whole_answer() {
    let body = answer().to_string();
    let more = ["--organisation", "Acme_1", "--time-left-ms", "800"];
    let (output, line, _) = ask(http("200 OK", &body), &more);
    assert_eq!(output.status.code(), Some(0), "{}", err(&output));
    let question = "method=GET&host=shop&path=/orders/7&organisation=Acme_1&time_left_ms=800";
    assert_eq!(line, format!("GET /explain?{question} HTTP/1.1"));
    insta::assert_snapshot!("explain-text", out(&output));
    let page = include_str!("../docs/OPERATIONS.md");
    assert!(
        page.contains(&out(&output)),
        "docs/OPERATIONS.md has another example"
    );

    let (output, ..) = ask(http("200 OK", &body), &["--json"]);
    assert_eq!(output.status.code(), Some(0), "{}", err(&output));
    let printed: Value = serde_json::from_str(&out(&output)).expect("JSON");
    assert_eq!(printed, answer());
    let typed: Explanation = serde_json::from_str(&out(&output)).expect("an answer");
    insta::assert_json_snapshot!("explain-json", typed);
}

/// Guards against something unknown that looks like an explanation to a script.
#[test]
fn unknown_things_exit_with_1() {
    for (unknown, text) in [
        ("no-configuration", "no configuration"),
        ("route", "no route"),
        ("organisation", "no organisation"),
    ] {
        let mut answer = answer();
        answer["unknown"] = unknown.into();
        answer["request"] = Value::Null;
        let body = answer.to_string();
        let (output, _, at) = ask(http("200 OK", &body), &[]);
        assert_eq!(output.status.code(), Some(1), "{unknown}");
        let report = report(&output);
        assert!(report.contains(text), "{report}");
        assert!(report.contains(&at.to_string()), "{report}");
        assert_eq!(out(&output), "", "{unknown}");
        let (output, ..) = ask(http("200 OK", &body), &["--json"]);
        assert_eq!(output.status.code(), Some(1), "{unknown}");
        let printed: Value = serde_json::from_str(&out(&output)).expect("JSON");
        assert_eq!(printed["unknown"], unknown);
    }
}

/// Guards against an answer that can't be read, or none, that is not reported with the address.
#[test]
fn unusable_answers_exit_with_1() {
    let long = format!("{}{}", answer(), " ".repeat(64 * 1_024));
    let neither = json!({
        "node": "n", "service": "s", "zone": "z", "routes": 7, "unknown": null, "request": null,
    });
    let cases = [
        (
            http("400 Bad Request", "the path is malformed"),
            "the path is malformed",
        ),
        (http("404 Not Found", "not found"), "404"),
        (http("200 OK", "{}"), "could not decode"),
        (http("200 OK", "not JSON"), "could not decode"),
        (http("200 OK", &long), "length limit"),
        (http("200 OK", &neither.to_string()), "neither"),
        (Some("garbage\r\n\r\n".to_owned()), "HTTP"),
        (Some(String::new()), "could not get an explanation"),
    ];
    for (answer, text) in cases {
        let (output, _, at) = ask(answer, &[]);
        let report = report(&output);
        assert_eq!(output.status.code(), Some(1), "{report}");
        assert!(report.contains(text), "{text}: {report}");
        assert!(report.contains(&at.to_string()), "{report}");
        assert_eq!(out(&output), "");
    }
}

/// Guards against a command that waits for ever for a node that is paused.
#[test]
fn silent_node_is_reported_after_2_s() {
    let started = Instant::now();
    let (output, _, at) = ask(None, &[]);
    assert!(started.elapsed() >= Duration::from_secs(2));
    let report = report(&output);
    assert_eq!(output.status.code(), Some(1), "{report}");
    assert!(report.contains("no answer within 2000 ms"), "{report}");
    assert!(report.contains(&at.to_string()), "{report}");
}

/// Guards against invalid command lines that are accepted, and against a key that is printed.
#[test]
fn usage_exits_with_2() {
    let node = "127.0.0.1:1";
    let with = |more: &[&'static str]| [&[node], &REQUEST[..], more].concat();
    let path = format!("/{}", "a".repeat(8 * 1_024));
    let cases = [
        vec![],
        vec![node],
        REQUEST.to_vec(),
        vec![node, "--method", "GET", "--host", "shop"],
        [&["localhost:1"], &REQUEST[..]].concat(),
        with(&["127.0.0.1:2"]),
        with(&["--time-left-ms", "soon"]),
        with(&["--organisation", "k secret"]),
        with(&["--key", "k-secret"]),
        with(&["--organisation"]),
        vec![node, "--method", "G T", "--host", "shop", "--path", "/"],
        vec![node, "--method", "GET", "--host", "sh op", "--path", "/"],
        vec![
            node, "--method", "GET", "--host", "shop", "--path", "orders",
        ],
        vec![
            node, "--method", "GET", "--host", "shop", "--path", "/a?b=c",
        ],
        vec![node, "--method", "GET", "--host", "shop", "--path", &path],
    ];
    for args in cases {
        let output = run(&args);
        assert_eq!(output.status.code(), Some(2), "{args:?}: {}", err(&output));
        assert!(
            !err(&output).is_empty() && out(&output).is_empty(),
            "{args:?}"
        );
        assert!(!err(&output).contains("secret"), "{}", err(&output));
    }
    let output = run(&[&[node], &REQUEST[..]].concat());
    assert_eq!(output.status.code(), Some(1), "{}", err(&output));
}

/// Guards against help and version that fail or are not printed on standard output.
#[test]
fn help_and_version_exit_with_0() {
    let help = run(&["--help"]);
    assert_eq!(help.status.code(), Some(0));
    assert!(out(&help).contains("Usage:"));
    let version = out(&run(&["--version"]));
    assert_eq!(
        version,
        format!("comfreybay-explain {}\n", env!("CARGO_PKG_VERSION"))
    );
}
