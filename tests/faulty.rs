//! Guards the answers of the request path when a backend server breaks the protocol.

mod support;

use std::{cell::RefCell, rc::Rc, time::Duration};

use comfreybay::state::mesh::route::Route;
use http::StatusCode;
use support::{
    Answer, Fleet, class, local,
    mesh::{MeshFleet, route, sealed},
    ok, publication,
    raw::RawConn,
    script,
};
use tokio::time::sleep;

const LEFT: (&str, &str) = ("x-left", "1500");
/// Time for which the stand-in runs a request before it answers.
const RUN_MS: u64 = 100;
/// Statuses by which a caller is told that its request has not run and will not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

type Runs = Rc<RefCell<Vec<String>>>;

fn runs_of(runs: &Runs, id: &str) -> usize {
    runs.borrow().iter().filter(|i| *i == id).count()
}

/// A fleet with a caller's node and a node beside a server that is served by `serve`.
async fn fleet<F: Future<Output = ()> + 'static>(
    route: Route,
    serve: impl Fn(RawConn) -> F + 'static,
) -> MeshFleet {
    let script = script(|seen| async move { sealed(&seen, "") });
    let fleet = MeshFleet::with(&[("front", 1, 4), ("deep", 1, 4)], vec![route], script).await;
    fleet.replace_server("deep-0", serve).await;
    fleet
}

fn whole(id: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\ncontent-length: 2\r\n\r\nok")
}

/// When the second copy of a refusal arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Arrival {
    WithTheFirst,
    WhileIdle,
    AfterTheNextRequest,
}

/// The attempt ID of the second copy, or that of the next request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Id {
    /// The copy has the ID of the refused request, the next request has another.
    Earlier,
    /// The copy has no ID.
    Missing,
    /// The refused request is sent again, so the copy has the ID of the next request.
    Same,
}

const REFUSALS: [&str; 6] = [
    "503 Service Unavailable\r\nx-not-run: 1\r\n",
    "429 Too Many Requests\r\nx-not-run: 1\r\n",
    "421 Misdirected Request\r\nx-not-run: 1\r\n",
    "421 Misdirected Request\r\n",
    "400 Bad Request\r\nx-not-run: 1\r\n",
    "408 Request Timeout\r\nx-not-run: 1\r\n",
];

fn refusal(head: &str, id: &str) -> String {
    let id = match id {
        "" => String::new(),
        id => format!("x-id: {id}\r\n"),
    };
    format!("HTTP/1.1 {head}{id}content-length: 0\r\n\r\n")
}

/// Refuses the request `first` once, writes the refusal a second time, and runs all other requests.
async fn repeats_refusal(
    mut conn: RawConn,
    head: &'static str,
    (arrival, id): (Arrival, Id),
    (refused, runs): (Runs, Runs),
    server: usize,
) {
    let copy_id = if id == Id::Missing { "" } else { "first" };
    let copy = refusal(head, copy_id);
    let mut copy_due = false;
    while let Some(request) = conn.read(false).await {
        if copy_due && arrival == Arrival::AfterTheNextRequest {
            conn.write(copy.as_bytes()).await;
            copy_due = false;
        }
        let key = format!("{server} {}", request.id);
        if request.id == "first" && !refused.borrow().contains(&key) {
            refused.borrow_mut().push(key);
            let first = refusal(head, "first");
            match arrival {
                Arrival::WithTheFirst => {
                    conn.write(format!("{first}{copy}").as_bytes()).await;
                }
                Arrival::WhileIdle => {
                    conn.write(first.as_bytes()).await;
                    sleep(Duration::from_millis(20)).await;
                    conn.write(copy.as_bytes()).await;
                }
                Arrival::AfterTheNextRequest => {
                    conn.write(first.as_bytes()).await;
                    copy_due = true;
                }
            }
            continue;
        }
        runs.borrow_mut().push(request.id.clone());
        sleep(Duration::from_millis(RUN_MS)).await;
        conn.write(whole(&request.id).as_bytes()).await;
    }
}

/// Guards against a second copy of a refusal that is taken for the refusal of the next request on
/// the connection: its caller is told that it has not run, or it runs at a second server.
#[tokio::test(start_paused = true)]
async fn repeated_refusal_is_not_the_answer_of_the_next_request() {
    let arrivals = [
        Arrival::WithTheFirst,
        Arrival::WhileIdle,
        Arrival::AfterTheNextRequest,
    ];
    let mut faults = Vec::new();
    for arrival in arrivals {
        for id in [Id::Earlier, Id::Missing, Id::Same] {
            for head in REFUSALS {
                for idempotent in [true, false] {
                    let case = format!("{arrival:?} {id:?} {head:?} idempotent: {idempotent}");
                    let (status, ran) =
                        local(next_after_a_refusal(head, (arrival, id), idempotent)).await;
                    let promised = PROMISES.contains(&status.as_u16());
                    let replaced = arrival != Arrival::AfterTheNextRequest || id == Id::Same;
                    if promised && ran > 0 {
                        faults.push(format!("{case}: {status} though it ran"));
                    }
                    if !idempotent && ran > 1 {
                        faults.push(format!("{case}: ran {ran} times"));
                    }
                    if replaced && status != StatusCode::OK {
                        faults.push(format!("{case}: {status} though no copy could reach it"));
                    }
                }
            }
        }
    }
    assert!(
        faults.is_empty(),
        "{}:\n{}",
        faults.len(),
        faults.join("\n")
    );
}

/// Status of the request after a refused one, and how often it ran.
async fn next_after_a_refusal(
    head: &'static str,
    case: (Arrival, Id),
    idempotent: bool,
) -> (StatusCode, usize) {
    let (refused, runs) = (Runs::default(), Runs::default());
    let state = (refused.clone(), runs.clone());
    let a = Route {
        idempotent,
        ..route("a", "deep")
    };
    let script = script(|seen| async move { sealed(&seen, "") });
    let fleet = MeshFleet::with(&[("front", 2, 4), ("deep", 2, 4)], vec![a], script).await;
    for (server, name) in ["deep-0", "deep-1"].into_iter().enumerate() {
        let state = state.clone();
        let serve = move |conn| repeats_refusal(conn, head, case, state.clone(), server);
        fleet.replace_server(name, serve).await;
    }
    let first = fleet.post("front-0", "/a/", &[("x-id", "first"), LEFT]);
    first.await.unwrap();
    sleep(Duration::from_millis(50)).await;
    assert_eq!(runs_of(&runs, "first"), 0);
    let id = if case.1 == Id::Same { "first" } else { "next" };
    let next = fleet.post("front-1", "/a/", &[("x-id", id), LEFT]).await;
    // An attempt that goes on after the answer counts as well.
    sleep(Duration::from_secs(1)).await;
    (next.unwrap().status, runs_of(&runs, id))
}

/// Guards against a promise that a request has not run, made from an answer that doesn't state this
/// or that can't be shown to belong to the request.
#[tokio::test(start_paused = true)]
async fn promise_needs_a_statement_with_the_attempt_id() {
    let cases = [
        ("503 Unavailable\r\nx-not-run: 1\r\nx-id: 1\r\n", 503),
        ("429 Too Many\r\nx-not-run: 1\r\nx-id: 1\r\n", 503),
        ("421 Misdirected\r\nx-id: 1\r\n", 503),
        ("503 Unavailable\r\nx-not-run: 1\r\n", 502),
        ("429 Too Many\r\nx-not-run: 1\r\n", 502),
        ("421 Misdirected\r\n", 502),
        ("400 Bad Request\r\nx-not-run: 1\r\n", 502),
        ("503 Unavailable\r\nx-not-run: 1\r\nx-id: 2\r\n", 502),
        (
            "503 Unavailable\r\nx-not-run: 1\r\nx-id: 1\r\nx-id: 2\r\n",
            502,
        ),
        ("200 OK\r\nx-seal: s\r\nx-not-run: 1\r\nx-id: 1\r\n", 502),
        ("503 Unavailable\r\nx-id: 1\r\n", 502),
        ("429 Too Many\r\nx-id: 1\r\n", 502),
        ("408 Request Timeout\r\nx-id: 1\r\n", 502),
    ];
    let mut faults = Vec::new();
    for (head, expected) in cases {
        for node in ["front-0", "deep-0"] {
            let answer = local(async move {
                let serve = move |mut conn: RawConn| async move {
                    while conn.read(false).await.is_some() {
                        conn.write(refusal(head, "").as_bytes()).await;
                    }
                };
                let a = Route {
                    idempotent: false,
                    ..route("a", "deep")
                };
                let fleet = fleet(a, serve).await;
                fleet
                    .post(node, "/a/", &[("x-id", "1"), LEFT])
                    .await
                    .unwrap()
            })
            .await;
            if answer.status.as_u16() != expected {
                faults.push(format!("{head:?} at {node}: {}", answer.status));
            }
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// Guards against a second copy of a shed answer that ends the next call on the connection as
/// `not-run` while it runs.
#[tokio::test(start_paused = true)]
async fn repeated_shed_answer_is_not_the_answer_of_the_next_call() {
    for delay_ms in [0, 20] {
        local(async move {
            let shed = "HTTP/1.1 503 Busy\r\nx-shed: 1\r\ncontent-length: 0\r\n\r\n";
            let runs = Rc::new(RefCell::new(0));
            let count = runs.clone();
            let serve = move |mut conn: RawConn| {
                let runs = count.clone();
                async move {
                    let mut refused = false;
                    while let Some(request) = conn.read(false).await {
                        match request.id.as_str() {
                            "shed" => {
                                conn.write(shed.as_bytes()).await;
                                refused = true;
                                continue;
                            }
                            "next" => *runs.borrow_mut() += 1,
                            // Requests of the node itself.
                            _ => {}
                        }
                        sleep(Duration::from_millis(delay_ms)).await;
                        if refused {
                            conn.write(shed.as_bytes()).await;
                        }
                        sleep(Duration::from_millis(RUN_MS)).await;
                        conn.write(whole(&request.id).as_bytes()).await;
                    }
                }
            };
            let services = publication(&[("front", 1)], &[class("a")]);
            let fleet = Fleet::start(services, script(|_| async { ok("") })).await;
            fleet.replace_server("front-0", serve).await;
            let post = async |id| {
                let answer = fleet.post("front-0", "/a", &[("x-id", id)], "body").await;
                answer.unwrap().outcome()
            };
            assert_eq!(post("shed").await, "not-run");
            assert_eq!(*runs.borrow(), 0);
            assert_eq!(post("next").await, "complete");
            assert_eq!(*runs.borrow(), 1);
        })
        .await;
    }
}

/// How the end of a body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Marked {
    Length,
    Chunks,
    Close,
}

fn framed(marked: Marked, body: &str) -> String {
    let head = "HTTP/1.1 200 OK\r\nx-kept: k\r\nx-id: 1\r\nx-seal: s\r\n";
    match marked {
        Marked::Length => format!("{head}content-length: {}\r\n\r\n{body}", body.len()),
        Marked::Chunks => {
            let (a, b) = body.split_at(body.len() / 3);
            let (n, m) = (a.len(), b.len());
            format!(
                "{head}transfer-encoding: chunked\r\n\r\n{n:x}\r\n{a}\r\n{m:x}\r\n{b}\r\n0\r\n\r\n"
            )
        }
        Marked::Close => format!("{head}\r\n{body}"),
    }
}

/// Where to cut an answer: each position of its head, and positions of its body.
fn cuts(answer: &str) -> Vec<usize> {
    let head = answer.find("\r\n\r\n").unwrap() + 4;
    let step = ((answer.len() - head) / 150).max(1);
    let tail = answer.len().saturating_sub(12).max(head);
    let body = (head..tail).step_by(step);
    (0..head).chain(body).chain(tail..=answer.len()).collect()
}

/// Guards against an answer whose server stops in its head or body and that looks complete.
#[tokio::test(start_paused = true)]
async fn answer_cut_at_any_byte_does_not_look_complete() {
    let mut faults = Vec::new();
    for size in [120, 100 * 1_024] {
        for marked in [Marked::Length, Marked::Chunks, Marked::Close] {
            for (resets, kept) in [(false, false), (false, true), (true, false), (true, true)] {
                for node in ["front-0", "deep-0"] {
                    let case = format!("{size} {marked:?} resets: {resets} kept: {kept} {node}");
                    let found = local(cut_everywhere(size, marked, (resets, kept), node)).await;
                    faults.extend(found.iter().map(|f| format!("{case}: {f}")));
                }
            }
        }
    }
    assert!(
        faults.is_empty(),
        "{}:\n{}",
        faults.len(),
        faults.join("\n")
    );
}

async fn cut_everywhere(
    size: usize,
    marked: Marked,
    (resets, kept): (bool, bool),
    node: &str,
) -> Vec<String> {
    let body: String = (0..size)
        .map(|n| char::from(b'a' + (n % 23) as u8))
        .collect();
    let answer = framed(marked, &body);
    let bytes = answer.clone();
    let serve = move |mut conn: RawConn| {
        let answer = bytes.clone();
        async move {
            loop {
                let Some(request) = conn.read(resets && (!kept || conn.count > 0)).await else {
                    return;
                };
                let cut = request.path.strip_prefix("/a/cut/");
                let Some(cut) = cut.map(|n| n.parse::<usize>().unwrap()) else {
                    conn.write(whole(&request.id).as_bytes()).await;
                    continue;
                };
                conn.write(&answer.as_bytes()[..cut]).await;
                sleep(Duration::from_millis(2)).await;
                return;
            }
        }
    };
    let fleet = fleet(route("a", "deep"), serve).await;
    let head = answer.find("\r\n\r\n").unwrap() + 4;
    let mut faults = Vec::new();
    for cut in cuts(&answer) {
        if kept {
            let first = fleet.post(node, "/a/", &[("x-id", "0"), LEFT]).await;
            assert_eq!(first.unwrap().status, StatusCode::OK);
        }
        let headers = [("x-id", "1"), LEFT];
        let got = fleet.post(node, &format!("/a/cut/{cut}"), &headers).await;
        // A body that ends with the connection is whole if the connection ends in order.
        let (is_whole, sent) = match marked {
            Marked::Close if cut >= head && !resets => (true, &body[..cut - head]),
            Marked::Close => (false, ""),
            _ => (cut == answer.len(), body.as_str()),
        };
        match got {
            Ok(got) if got.status.is_success() => {
                let matches = got.body == sent && got.header("x-kept") == "k";
                if !is_whole || !matches || got.header("x-seal") != "s" {
                    let (status, size) = (got.status, got.body.len());
                    faults.push(format!("cut at {cut}: {status} with {size} bytes"));
                }
            }
            Ok(got) if is_whole => faults.push(format!("whole answer: {}", got.status)),
            Err(error) if is_whole => faults.push(format!("whole answer: {error}")),
            Ok(got) if PROMISES.contains(&got.status.as_u16()) => {
                faults.push(format!("cut at {cut}: {}", got.status));
            }
            Ok(_) | Err(_) => {}
        }
        // One lost connection at a time, so that the server doesn't count as crashed.
        sleep(Duration::from_millis(300)).await;
    }
    faults
}

/// Guards against a short or empty body that looks complete because the head states its end twice,
/// or in a way that is not known.
#[tokio::test(start_paused = true)]
async fn ambiguous_end_of_a_body_is_a_failure() {
    let chunks = "5\r\nabcde\r\n0\r\n\r\n";
    let heads = [
        "transfer-encoding: gzip\r\n\r\nabcde".to_owned(),
        // The chunks count, whatever length is stated.
        format!("content-length: 2\r\ntransfer-encoding: chunked\r\n\r\n{chunks}"),
        format!("content-length: 9\r\ntransfer-encoding: chunked\r\n\r\n{chunks}"),
        format!("transfer-encoding: gzip, chunked\r\n\r\n{chunks}"),
        "content-length: 2\r\ncontent-length: 5\r\n\r\nabcde".to_owned(),
        "content-length: 2, 5\r\n\r\nabcde".to_owned(),
        "content-length: \r\n\r\nabcde".to_owned(),
        "content-length: +2\r\n\r\nabcde".to_owned(),
        "content-length: 0x5\r\n\r\nabcde".to_owned(),
    ];
    let mut faults = Vec::new();
    for head in heads {
        for node in ["front-0", "deep-0"] {
            let text = format!("HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s\r\n{head}");
            let answer: Result<Answer, String> = local(async move {
                let serve = move |mut conn: RawConn| {
                    let text = text.clone();
                    async move {
                        if conn.read(false).await.is_some() {
                            conn.write(text.as_bytes()).await;
                        }
                    }
                };
                let fleet = fleet(route("a", "deep"), serve).await;
                fleet.post(node, "/a/", &[("x-id", "1"), LEFT]).await
            })
            .await;
            let has_chunks = head.ends_with(chunks) && head.starts_with("content-length");
            if let Ok(answer) = answer
                && answer.status != StatusCode::BAD_GATEWAY
                && !(has_chunks && answer.body == "abcde")
            {
                let (status, body) = (answer.status, answer.body);
                faults.push(format!("{head:?} at {node}: {status} {body:?}"));
            }
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}
