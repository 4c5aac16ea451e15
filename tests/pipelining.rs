//! Guards requests that callers send before they have the answers to the ones before.

mod support;

use std::{cell::Cell, rc::Rc, time::Duration};

use comfreybay::{
    state::{counters::Counter, mesh::route::Route},
    transport::pipeline::REQUESTS_MAX,
};
use proptest::{
    prelude::{Strategy, any},
    prop_assert_eq,
    test_runner::{Config, TestCaseError, TestRunner},
};
use support::{
    Reply, Script,
    caller::{Caller, Received, get, with_lines},
    local,
    mesh::{MeshFleet, route, sealed},
    script,
};
use tokio::time::{Instant, sleep, timeout};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Counts a request while its server is at work.
struct AtWork(Rc<Cell<i32>>);

impl AtWork {
    fn start(count: &Rc<Cell<i32>>) -> Self {
        count.update(|n| n + 1);
        Self(count.clone())
    }
}

impl Drop for AtWork {
    fn drop(&mut self) {
        self.0.update(|n| n - 1);
    }
}

/// A server that takes as long as the number at the end of the path says, in ms, and answers with the
/// path; `/break/` in it closes the connection, `/big/` repeats the path to 1 MB.
fn server(at_work: Rc<Cell<i32>>) -> Script {
    script(move |seen| {
        let at_work = AtWork::start(&at_work);
        async move {
            let path = seen.request.uri().path().to_owned();
            let time = path.rsplit('/').next().unwrap().parse().unwrap_or(0);
            sleep(ms(time)).await;
            drop(at_work);
            match path.as_str() {
                p if p.contains("/break/") => Reply::Raw(Vec::new()),
                p if p.contains("/big/") => sealed(&seen, &path.repeat(1 << 20 >> 4)),
                _ => sealed(&seen, &path),
            }
        }
    })
}

fn routes() -> Vec<Route> {
    let timeout = Duration::from_secs(8);
    let (idempotent, target) = (false, timeout);
    let once = Route {
        idempotent,
        timeout,
        target,
        ..route("once", "deep")
    };
    let any = Route {
        timeout,
        target,
        ..route("a", "deep")
    };
    vec![any, once]
}

async fn fleet() -> (MeshFleet, Rc<Cell<i32>>) {
    let at_work = Rc::new(Cell::new(0));
    let services = [("front", 1, 400), ("deep", 1, 400)];
    let fleet = MeshFleet::with(&services, routes(), server(at_work.clone())).await;
    (fleet, at_work)
}

fn is_ok(answer: &Received, path: &str) -> bool {
    answer.status == 200 && answer.body == path.as_bytes()
}

fn started(fleet: &MeshFleet) -> u64 {
    let counters = &fleet.pairs["front-0"].mesh.counters;
    counters.get(Counter::AheadStarted)
}

/// Guards against requests that wait for a slow one before them on their connection, and against
/// answers in another order than that of the requests.
#[tokio::test(start_paused = true)]
async fn later_requests_run_beside_a_slow_first_one() {
    local(async {
        let (fleet, _) = fleet().await;
        let mut caller = Caller::dial(&fleet, "front-0").await;
        let paths = ["/a/1/500", "/a/2/400", "/a/3/0", "/a/4/450"];
        let sent = Instant::now();
        caller.write(paths.map(get).concat()).await;
        sleep(ms(50)).await;
        assert_eq!(fleet.runs.borrow().len(), 4);
        for path in paths {
            let answer = caller.answer().await.unwrap();
            assert!(is_ok(&answer, path), "{path}: {answer:?}");
        }
        assert!(sent.elapsed() < ms(600), "{:?}", sent.elapsed());
        assert_eq!(started(&fleet), 3);
        // The connection is used further.
        caller.write(get("/a/5/0")).await;
        assert!(is_ok(&caller.answer().await.unwrap(), "/a/5/0"));
    })
    .await;
}

/// Guards against more requests at once on a connection than the bound, and against those beyond it
/// being lost.
#[tokio::test(start_paused = true)]
async fn requests_beyond_the_bound_wait_for_their_turn() {
    local(async {
        let (fleet, at_work) = fleet().await;
        let mut caller = Caller::dial(&fleet, "front-0").await;
        let paths: Vec<_> = (0..100).map(|n| format!("/a/{n}/500")).collect();
        caller
            .write(paths.iter().map(|p| get(p)).collect::<String>())
            .await;
        sleep(ms(100)).await;
        assert_eq!(at_work.get(), REQUESTS_MAX as i32);
        for path in &paths {
            let answer = caller.answer().await.unwrap();
            assert!(is_ok(&answer, path), "{path}: {answer:?}");
            assert!(at_work.get() <= REQUESTS_MAX as i32);
        }
        assert_eq!(fleet.runs.borrow().len(), 100);
    })
    .await;
}

/// Guards against a stop that closes a connection before what was started on it is answered, that
/// announces the end in an earlier answer than the last, or that starts requests while it refuses.
#[tokio::test(start_paused = true)]
async fn stop_answers_what_was_started_and_closes_with_the_last_answer() {
    local(async {
        let (fleet, _) = fleet().await;
        let mut caller = Caller::dial(&fleet, "front-0").await;
        let paths = ["/a/1/4000", "/a/2/0", "/a/3/3000", "/a/4/0"];
        caller.write(paths.map(get).concat()).await;
        sleep(ms(100)).await;
        fleet.pairs["front-0"].stop.cancel();
        sleep(ms(2_500)).await;
        caller.write(["/a/5/0", "/a/6/0"].map(get).concat()).await;
        let answers = caller.answers(10).await;
        assert_eq!(answers.len(), 4, "{answers:?}");
        for (at, (answer, path)) in answers.iter().zip(paths).enumerate() {
            assert!(is_ok(answer, path), "{path}: {answer:?}");
            assert_eq!(answer.closes, at == 3, "{path}");
        }
        assert_eq!(fleet.runs.borrow().len(), 4);
    })
    .await;
}

/// Guards against requests that go on at their servers although their caller has gone.
#[tokio::test(start_paused = true)]
async fn caller_that_goes_away_cancels_all_of_its_requests() {
    local(async {
        let (fleet, at_work) = fleet().await;
        let mut caller = Caller::dial(&fleet, "front-0").await;
        let paths: Vec<_> = (0..10).map(|n| format!("/a/{n}/3000")).collect();
        caller
            .write(paths.iter().map(|p| get(p)).collect::<String>())
            .await;
        sleep(ms(100)).await;
        assert_eq!(at_work.get(), 10);
        drop(caller);
        sleep(ms(400)).await;
        assert_eq!(at_work.get(), 0);
        assert_eq!(fleet.pairs["front-0"].mesh.local_requests.get(), 0);
    })
    .await;
}

/// Guards against requests that are started behind one with a body, whose end is not known yet, or
/// that are taken from its body.
#[tokio::test(start_paused = true)]
async fn nothing_is_started_behind_a_request_with_a_body() {
    local(async {
        let (fleet, _) = fleet().await;
        let mut caller = Caller::dial(&fleet, "front-0").await;
        let body = get("/a/body/0");
        let length = format!("content-length: {}\r\n", body.len());
        let post = with_lines("POST", "/a/1/300", &length);
        let all = [post, body, get("/a/2/300"), get("/a/3/300")];
        caller.write(all.concat()).await;
        sleep(ms(100)).await;
        assert_eq!(fleet.runs.borrow().len(), 1);
        for path in ["/a/1/300", "/a/2/300", "/a/3/300"] {
            let answer = caller.answer().await.unwrap();
            assert!(is_ok(&answer, path), "{path}: {answer:?}");
        }
        assert_eq!(fleet.runs.borrow().len(), 3);
    })
    .await;
}

/// Guards against a failed request that takes the answers of the others with it.
#[tokio::test(start_paused = true)]
async fn failed_request_is_answered_in_its_place() {
    local(async {
        let (fleet, _) = fleet().await;
        let mut caller = Caller::dial(&fleet, "front-0").await;
        let paths = ["/a/1/300", "/a/break/100", "/none/3", "/a/4/0"];
        caller.write(paths.map(get).concat()).await;
        let statuses: Vec<_> = caller.answers(4).await.iter().map(|a| a.status).collect();
        assert_eq!(statuses, [200, 502, 404, 200]);
    })
    .await;
}

/// Guards against requests that run although the answer before them ended the connection, since their
/// caller sends them again.
#[tokio::test(start_paused = true)]
async fn nothing_runs_behind_a_closing_answer() {
    let closing = with_lines("GET", "/a/1/100", "connection: close\r\n");
    let old = closing.replace("HTTP/1.1", "HTTP/1.0");
    let long = get(&format!("/a/{}", "x".repeat(9_000)));
    let large = with_lines("POST", "/a/1", "content-length: 9999999\r\n");
    let trace = with_lines("TRACE", "/a/1/100", "");
    for (first, ran) in [(closing, 1), (old, 0), (large, 0), (trace, 0), (long, 0)] {
        local(async {
            let (fleet, _) = fleet().await;
            let mut caller = Caller::dial(&fleet, "front-0").await;
            let all = [first.clone(), get("/a/2/0"), get("/a/3/0")];
            caller.write(all.concat()).await;
            let answers = caller.answers(3).await;
            let case = &first[..40];
            assert_eq!(answers.len(), 1, "{case}: {answers:?}");
            sleep(ms(100)).await;
            assert_eq!(fleet.runs.borrow().len(), ran, "{case}");
        })
        .await;
    }
}

/// Guards against requests before a malformed head that get no answer, and behind it that run.
#[tokio::test(start_paused = true)]
async fn malformed_head_ends_the_connection_after_the_answers_before_it() {
    local(async {
        let (fleet, _) = fleet().await;
        let mut caller = Caller::dial(&fleet, "front-0").await;
        let bad = "GET /a/x HTTP/1.1\r\nhost h\r\n\r\n".to_owned();
        let all = [get("/a/1/200"), get("/a/2/0"), bad, get("/a/3/0")];
        caller.write(all.concat()).await;
        let statuses: Vec<_> = caller.answers(9).await.iter().map(|a| a.status).collect();
        assert_eq!(statuses, [200, 200, 400]);
        assert_eq!(fleet.runs.borrow().len(), 2);
    })
    .await;
}

/// Guards against requests that are started ahead although they must not run twice, or although two
/// parsers may read their heads differently.
#[tokio::test(start_paused = true)]
async fn unusual_heads_wait_for_their_turn() {
    let lines = |lines: &str| with_lines("GET", "/a/2/0", lines);
    let cases = [
        lines("content-length: 1\r\n") + "x",
        lines("content-length: 0\r\ncontent-length: 0\r\n"),
        lines("transfer-encoding: chunked\r\n") + "0\r\n\r\n",
        lines("transfer-encoding: chunked\r\ncontent-length: 5\r\n") + "0\r\n\r\n",
        lines("x-folded: a\r\n b\r\n"),
        lines("x-bare: a\n"),
        lines("connection: close\r\n"),
        lines("connection: upgrade\r\nupgrade: x\r\n"),
        lines("expect: 100-continue\r\n"),
        lines("host: i\r\n"),
        "\r\n".to_owned() + &lines(""),
        lines("").replace("/a/2/0 HTTP", "http://h/a/2/0 HTTP"),
        lines("").replace("HTTP/1.1", "HTTP/1.0"),
        with_lines("POST", "/a/2/0", ""),
        get("/once/2/0"),
        get("/none/2/0"),
    ];
    for second in cases {
        local(async {
            let (fleet, _) = fleet().await;
            let mut caller = Caller::dial(&fleet, "front-0").await;
            caller
                .write([get("/a/1/300"), second.clone(), get("/a/3/0")].concat())
                .await;
            sleep(ms(200)).await;
            assert_eq!(started(&fleet), 0, "{second}");
            assert_eq!(fleet.runs.borrow().len(), 1, "{second}");
            assert!(
                is_ok(&caller.answer().await.unwrap(), "/a/1/300"),
                "{second}"
            );
            let rest = timeout(ms(2_000), caller.answers(2)).await.unwrap();
            assert!(!rest.is_empty(), "{second}");
            assert!(fleet.runs.borrow().len() <= 3, "{second}");
        })
        .await;
    }
}

/// Guards against memory and work without bound for a caller that sends requests and reads no answer.
#[tokio::test(start_paused = true)]
async fn caller_that_reads_nothing_is_held_to_the_bounds() {
    local(async {
        let (fleet, _) = fleet().await;
        let mut caller = Caller::dial(&fleet, "front-0").await;
        let paths: Vec<_> = (0..200).map(|n| format!("/a/big/{n:04}/0")).collect();
        caller
            .write(paths.iter().map(|p| get(p)).collect::<String>())
            .await;
        sleep(ms(5_000)).await;
        let runs = fleet.runs.borrow().len();
        assert!(runs <= REQUESTS_MAX + 2, "{runs}");
        // Long answers beyond the bounds are given up; all requests are answered.
        let mut whole = 0;
        for path in &paths {
            let answer = caller.answer().await.unwrap();
            let is_whole = answer.body == path.repeat(1 << 16).as_bytes();
            assert!(is_whole || answer.status == 502, "{path}");
            whole += usize::from(is_whole);
            assert!(fleet.runs_of(path).len() <= 1, "{path}");
        }
        assert!(whole >= 8, "{whole}");
    })
    .await;
}

/// Guards against a long answer that holds a slot of its server while it waits for an earlier one.
#[tokio::test(start_paused = true)]
async fn waiting_answer_holds_no_slot() {
    local(async {
        let (fleet, _) = fleet().await;
        let mut caller = Caller::dial(&fleet, "front-0").await;
        caller
            .write([get("/a/1/2000"), get("/a/big/2/0")].concat())
            .await;
        sleep(ms(500)).await;
        let load = fleet.pairs["deep-0"].mesh.gate.load();
        assert_eq!(load.in_flight, 1);
        assert!(is_ok(&caller.answer().await.unwrap(), "/a/1/2000"));
        let big = caller.answer().await.unwrap();
        assert_eq!(big.body.len(), "/a/big/2/0".len() << 16);
    })
    .await;
}

/// Guards against time limits that begin with the turn of a request instead of its reading.
#[tokio::test(start_paused = true)]
async fn time_limit_begins_when_the_request_is_read() {
    local(async {
        let (fleet, _) = fleet().await;
        let mut caller = Caller::dial(&fleet, "front-0").await;
        let short = |path| get(path).replace("x-left: 8000", "x-left: 300");
        let all = [get("/a/1/1000"), short("/a/2/500"), short("/a/3/200")];
        caller.write(all.concat()).await;
        let statuses: Vec<_> = caller.answers(3).await.iter().map(|a| a.status).collect();
        assert_eq!(statuses, [200, 504, 200]);
    })
    .await;
}

/// Sends the requests in pieces of these sizes; returns what was answered and what ran.
async fn run_split(kinds: &[u8], sizes: &[u8]) -> Result<(), TestCaseError> {
    let (fleet, _) = fleet().await;
    let mut caller = Caller::dial(&fleet, "front-0").await;
    let path = |n: usize| {
        format!(
            "/{}/{n}/{}",
            if kinds[n] == 3 { "once" } else { "a" },
            n % 7 * 9
        )
    };
    let request = |n| match kinds[n] {
        0 => with_lines("POST", &path(n), "content-length: 4\r\n") + "\r\n\r\n",
        1 => with_lines("PUT", &path(n), "transfer-encoding: chunked\r\n") + "1\r\nx\r\n0\r\n\r\n",
        2 => with_lines("DELETE", &path(n), "content-length: 0\r\n"),
        _ => get(&path(n)),
    };
    let bytes: String = (0..kinds.len()).map(request).collect();
    let (mut rest, mut sizes) = (bytes.as_bytes(), sizes.iter().cycle());
    while !rest.is_empty() {
        let size = usize::from(*sizes.next().unwrap()).clamp(1, rest.len());
        caller.write(&rest[..size]).await;
        rest = &rest[size..];
        if size % 3 == 0 {
            sleep(ms(3)).await;
        }
    }
    for n in 0..kinds.len() {
        let answer = timeout(ms(5_000), caller.answer()).await;
        let answer = answer.map_err(|_| TestCaseError::fail("no answer in time"))?;
        let body = answer.map(|a| String::from_utf8(a.body).unwrap());
        prop_assert_eq!(body, Some(path(n)));
        prop_assert_eq!(fleet.runs_of(&path(n)).len(), 1);
    }
    Ok(())
}

/// Guards against requests that run twice, not at all or under another id, and answers of another
/// request, however the requests are mixed and split over reads.
#[test]
fn any_mix_and_split_is_answered_once_and_in_order() {
    let kinds = proptest::collection::vec(0..9_u8, 1..12);
    let sizes = proptest::collection::vec(any::<u8>().prop_map(|n| n / 2), 1..20);
    let config = Config {
        cases: 64,
        failure_persistence: None,
        ..Config::default()
    };
    let run = |(kinds, sizes): (Vec<u8>, Vec<u8>)| {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let runtime = builder.enable_all().start_paused(true).build().unwrap();
        runtime.block_on(local(run_split(&kinds, &sizes)))
    };
    TestRunner::new(config).run(&(kinds, sizes), run).unwrap();
}
