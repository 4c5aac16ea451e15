//! Guards against connections that a node ends in the middle of an answer, because the caller reads
//! slowly and the next request needs other limits of the HTTP library.

mod support;

use std::time::Duration;

use comfreybay::state::mesh::route::Route;
use support::{
    Script,
    caller::{Caller, with_lines},
    local,
    mesh::{MeshFleet, route, sealed, table_with},
    script,
};
use tokio::time::sleep;

/// Time for which a caller reads nothing.
const PAUSE: Duration = Duration::from_millis(1_500);
const HEADER_BYTES: usize = 16_384;
/// Longer answers are not read in full before they are passed on.
const LONG_ANSWER_BYTES: usize = 64 * 1_024;

/// How a caller sends its requests.
#[derive(Debug, Clone, Copy)]
struct Case {
    requests: usize,
    /// Fields besides the usual ones, of each third, second and other request.
    fields: [usize; 3],
    /// Bytes of the body of each fourth request.
    sent: usize,
    /// Bytes of each answer.
    answered: usize,
    /// Whether the caller pauses before each tenth answer too.
    pauses_again: bool,
}

const SMALL_HEADS: Case = Case {
    requests: 60,
    fields: [0; 3],
    sent: 0,
    answered: 60_000,
    pauses_again: false,
};

/// A server whose answer begins with the path and has as many bytes as the number at its end.
fn server() -> Script {
    script(|seen| async move {
        let path = seen.request.uri().path().to_owned();
        let bytes: usize = path.rsplit('/').next().unwrap().parse().unwrap();
        let padding = ".".repeat(bytes.saturating_sub(path.len()));
        sealed(&seen, &(path + &padding))
    })
}

fn routes() -> Vec<Route> {
    let timeout = Duration::from_secs(8);
    let target = timeout;
    vec![Route {
        timeout,
        target,
        ..route("a", "deep")
    }]
}

fn request(case: Case, number: usize) -> String {
    let line = |n| format!("f{n}: {n}\r\n");
    let fields = case.fields[number % 3];
    let mut lines: String = (0..fields).map(line).collect();
    let path = format!("/a/{number}/{}", case.answered);
    if number % 4 != 3 || case.sent == 0 {
        return with_lines("GET", &path, &lines);
    }
    lines += &format!("content-length: {}\r\n", case.sent);
    with_lines("POST", &path, &lines) + &"b".repeat(case.sent)
}

/// Sends all requests at once, pauses, and checks that each one gets its answer.
async fn read_slowly(case: Case, change: impl FnOnce(&MeshFleet)) {
    let services = [("front", 1, 400), ("deep", 1, 400)];
    let fleet = MeshFleet::with(&services, routes(), server()).await;
    let mut caller = Caller::dial(&fleet, "front-0").await;
    let text: String = (0..case.requests).map(|n| request(case, n)).collect();
    caller.write(text).await;
    sleep(PAUSE / 2).await;
    change(&fleet);
    sleep(PAUSE / 2).await;
    for number in 0..case.requests {
        if case.pauses_again && number % 10 == 5 {
            sleep(PAUSE / 5).await;
        }
        let answer = caller.answer().await;
        let answer = answer.unwrap_or_else(|| panic!("{case:?}: no answer to request {number}"));
        let path = format!("/a/{number}/");
        let is_own = answer.body.starts_with(path.as_bytes());
        let is_whole = answer.status == 200 && is_own && answer.body.len() == case.answered;
        // Long answers that wait beyond the bounds are given up.
        let is_given_up = answer.status == 502 && case.answered > LONG_ANSWER_BYTES;
        assert!(
            is_whole || is_given_up,
            "{case:?}: answer to request {number} is {}",
            answer.status
        );
    }
}

/// Guards against an answer that is cut off because the request behind it has more fields than usual
/// and the caller has not read the answer.
#[tokio::test(start_paused = true)]
async fn heads_of_many_fields_end_no_connection_of_a_slow_caller() {
    for fields in [
        [0, 120, 0],
        [120, 0, 120],
        [0, 1_000, 120],
        [120; 3],
        [0; 3],
    ] {
        for answered in [40, 6_000, 60_000, 300_000] {
            for pauses_again in [false, true] {
                let case = Case {
                    fields,
                    answered,
                    pauses_again,
                    ..SMALL_HEADS
                };
                local(read_slowly(case, |_| {})).await;
            }
        }
    }
}

/// Guards against the same with bodies between the heads, and with few requests.
#[tokio::test(start_paused = true)]
async fn bodies_and_heads_of_many_fields_end_no_connection_of_a_slow_caller() {
    // A caller that reads nothing before it has sent all can't send more than the buffers take.
    let sizes = [(1, 0), (2, 0), (5, 1), (5, 100_000), (40, 1), (40, 3_000)];
    for (requests, sent) in sizes {
        let case = Case {
            requests,
            sent,
            fields: [0, 120, 0],
            ..SMALL_HEADS
        };
        local(read_slowly(case, |_| {})).await;
    }
}

/// Guards against an answer that is cut off because the limits of requests change while the caller
/// has not read it.
#[tokio::test(start_paused = true)]
async fn changed_limits_end_no_connection_of_a_slow_caller() {
    let change = |fleet: &MeshFleet| {
        fleet.put_routes(table_with(2, routes(), HEADER_BYTES / 2));
    };
    for fields in [[0; 3], [0, 120, 0]] {
        let case = Case {
            fields,
            ..SMALL_HEADS
        };
        local(read_slowly(case, change)).await;
    }
}

/// Guards against bytes that a node reads behind a request and charges to nobody.
#[tokio::test(start_paused = true)]
async fn bytes_read_behind_a_request_are_charged() {
    local(async {
        let services = [("front", 1, 400), ("deep", 1, 400)];
        let slow = script(|seen| async move {
            sleep(PAUSE).await;
            sealed(&seen, "")
        });
        let fleet = MeshFleet::with(&services, routes(), slow).await;
        let used = || fleet.pairs["front-0"].mesh.memory.used().0;
        let before = used();
        let mut caller = Caller::dial(&fleet, "front-0").await;
        caller.write(with_lines("GET", "/a/1", "")).await;
        sleep(PAUSE / 10).await;
        let with_one = used();
        // A request with a body is not started ahead.
        let lines = format!("content-length: 1\r\ncookie: {}\r\n", "a".repeat(12_000));
        let behind = with_lines("POST", "/a/2", &lines) + "b";
        caller.write(behind.repeat(4)).await;
        sleep(PAUSE / 10).await;
        let charged = used() - with_one;
        assert!(charged >= 4 * behind.len(), "{charged} bytes charged");
        assert!(charged <= 16 * behind.len(), "{charged} bytes charged");
        let answers = caller.answers(5).await;
        assert!(answers.iter().all(|a| a.status == 200) && answers.len() == 5);
        drop(caller);
        sleep(PAUSE).await;
        assert_eq!(used(), before);
    })
    .await;
}
