//! Guards the use of a server whose answers are lost on their way.

mod support;

use std::{cell::Cell, rc::Rc, time::Duration};

use http::{Response, StatusCode};
use support::{
    Reply, local,
    mesh::{MeshFleet, route},
    script,
};
use tokio::time::sleep;

const SLOTS: u32 = 4;
const WORK: Duration = Duration::from_millis(10);
/// Requests of which the server loses the answer of three in ten; it could complete 400 a second.
const REQUESTS: usize = 300;
const GAP: Duration = Duration::from_millis(10);
/// Share of the requests with an answer that have to be served: the target of the goodput of a
/// server that is used at a quarter.
const SERVED_MIN: f64 = 0.95;

/// Guards against requests whose answers are lost and which hold the slots of their server until
/// their deadline, although each answer of the server states that it runs few requests.
#[tokio::test(start_paused = true)]
async fn lost_answers_hold_no_slots() {
    local(async {
        let (running, received) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
        let script = script(move |seen| {
            let (running, received) = (running.clone(), received.clone());
            async move {
                received.set(received.get() + 1);
                let is_lost = received.get() % 10 < 3;
                running.set(running.get() + 1);
                sleep(WORK).await;
                running.set(running.get() - 1);
                if is_lost {
                    std::future::pending::<()>().await;
                }
                let load = format!("{},0,{SLOTS}", running.get());
                let answer = Response::builder()
                    .header("x-id", seen.id())
                    .header("x-seal", "s")
                    .header("x-load", load);
                Reply::Answer(answer.body("whole".into()).unwrap())
            }
        });
        let mut once = route("a", "deep");
        once.idempotent = false;
        once.timeout = Duration::from_millis(700);
        let services = [("front", 1, SLOTS), ("deep", 1, SLOTS)];
        let fleet = Rc::new(MeshFleet::with(&services, vec![once], script).await);
        let mut requests = Vec::new();
        for n in 0..REQUESTS {
            let fleet = fleet.clone();
            requests.push(tokio::task::spawn_local(async move {
                let id = n.to_string();
                let headers = [("x-id", id.as_str()), ("x-left", "700")];
                let answer = fleet.post("front-0", "/a/", &headers).await;
                answer.is_ok_and(|a| a.status == StatusCode::OK)
            }));
            sleep(GAP).await;
        }
        let mut served = 0;
        for request in requests {
            served += usize::from(request.await.unwrap());
        }
        let share = served as f64 / (REQUESTS as f64 * 0.7);
        assert!(
            share >= SERVED_MIN,
            "{share:.3} of the requests with an answer were served, expected {SERVED_MIN}"
        );
    })
    .await;
}
