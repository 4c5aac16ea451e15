//! Guards the request path: calls through the nodes of a chain, and their answers.

mod support;

use std::{collections::BTreeMap, time::Duration};

use support::{Fleet, class, local, publication, relay};

fn chain() -> BTreeMap<&'static str, &'static str> {
    BTreeMap::from([("front", "middle"), ("middle", "deep")])
}

/// Guards against a call that does not reach the end of its chain, and an answer that is altered.
#[tokio::test(start_paused = true)]
async fn call_passes_three_nodes() {
    local(async {
        let services = [("front", 1), ("middle", 1), ("deep", 1)];
        let fleet = Fleet::start(publication(&services, &[class("a")]), relay(chain())).await;
        let answer = fleet
            .post("front-0", "/a", &[("x-id", "1")], "hello")
            .await
            .unwrap();
        assert_eq!(
            (answer.status.as_u16(), answer.outcome().as_str()),
            (200, "complete"),
            "{answer:?}"
        );
        assert_eq!(answer.body, "hello");
        assert_eq!(answer.header("x-below"), "complete");
        let root = answer.header("cb-root");
        let why = fleet.admin("deep-0", &format!("/why/{root}")).await;
        assert!(
            std::str::from_utf8(&why.body).unwrap().contains("answered"),
            "{why:?}"
        );
        let dump = fleet.admin("front-0", "/dump").await;
        assert!(
            serde_json::from_slice::<serde_json::Value>(&dump.body).unwrap()["counters"]
                .is_object()
        );
    })
    .await;
}

/// Guards against bodies larger than the buffer that are truncated, altered or not streamed.
#[tokio::test(start_paused = true)]
async fn large_body_passes_three_nodes_unchanged() {
    local(async {
        let services = [("front", 1), ("middle", 1), ("deep", 1)];
        let fleet = Fleet::start(publication(&services, &[class("a")]), relay(chain())).await;
        let body: Vec<u8> = (0..1_048_576_u32).map(|n| (n % 251) as u8).collect();
        let answer = fleet
            .post("front-0", "/a", &[], body.clone())
            .await
            .unwrap();
        assert_eq!(answer.outcome(), "complete", "{:?}", answer.headers);
        assert!(
            answer.body == body,
            "the body of {} bytes differs from the one sent",
            answer.body.len()
        );
    })
    .await;
}

/// Guards against a resumed process that dispatches a call before it has detected its pause.
#[tokio::test(start_paused = true)]
async fn call_to_a_paused_node_is_not_dispatched() {
    local(async {
        let fleet = Fleet::start(publication(&[("front", 1)], &[class("a")]), relay(chain())).await;
        let node = &fleet.members["front-0"].node;
        let paused = async {
            node.pause();
            tokio::time::sleep(Duration::from_millis(1_500)).await;
            node.resume();
        };
        let headers = [("x-id", "1")];
        let call = fleet.post("front-0", "/a", &headers, "hello");
        let ((), answer) = tokio::join!(paused, call);
        assert_eq!(answer.unwrap().outcome(), "not-run");
        assert!(fleet.runs_of("1").is_empty());
    })
    .await;
}
