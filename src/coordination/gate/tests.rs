//! Guards against refusals out of order and leaked permits.

use std::collections::BTreeSet;

use tokio::{task::LocalSet, time::sleep};

use super::*;
use crate::state::id::RootId;

pub(super) const SPAN: Duration = Duration::from_secs(1);

pub(super) fn block_on<F: Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O");
    LocalSet::new().block_on(&runtime, future)
}

/// A serving gate whose limit has reached the slots.
pub(super) fn warm(slots: u32, control: Control) -> Gate {
    let gate = Gate::new(slots, Favour::Goodput, control, fastrand::Rng::with_seed(1));
    gate.set_state(GateState::Serving);
    gate.core.borrow_mut().warm_up();
    gate
}

pub(super) fn ask(importance: u8, root: u8) -> AdmissionRequest {
    AdmissionRequest {
        priority: Priority::new(importance, false, RootId([root; 16])),
        class: format!("c{importance}").parse().expect("valid name"),
        important: importance == 0,
        begun: false,
        deadline: Instant::now() + SPAN,
        timeout: SPAN,
        fingerprint: Fingerprint([root; 16]),
    }
}

async fn why(gate: &Gate, ask: AdmissionRequest) -> Option<RefusalReason> {
    gate.admit(ask).await.err().map(|refusal| refusal.why)
}

#[derive(Debug, Clone, Copy)]
struct Event {
    important: bool,
    priority: Priority,
    /// Values of the gate's counter, which each admission and each new place in the queue raises.
    arrived: u64,
    decided: u64,
    refused: Option<RefusalReason>,
}

/// Runs random overload with more important demand than fits; gives each request's history.
async fn overload(seed: u64) -> Vec<Event> {
    let gate = warm(5, Control::Adaptive);
    let rng = Rc::new(RefCell::new(fastrand::Rng::with_seed(seed)));
    let events = Rc::new(RefCell::new(Vec::new()));
    let ticker = gate.clone();
    tokio::task::spawn_local(async move {
        loop {
            sleep(Duration::from_millis(100)).await;
            ticker.tick();
        }
    });
    for _ in 0..800 {
        let gap = rng.borrow_mut().u64(0..6);
        sleep(Duration::from_millis(gap)).await;
        let (gate, rng) = (gate.clone(), rng.clone());
        let events = events.clone();
        tokio::task::spawn_local(async move {
            let importance = if rng.borrow_mut().u8(..) < 150 { 0 } else { 3 };
            let mut ask = ask(importance, 0);
            ask.priority = Priority::new(importance, false, RootId::random(&mut rng.borrow_mut()));
            ask.fingerprint = Fingerprint(rng.borrow_mut().u128(..).to_be_bytes());
            let (important, priority) = (ask.important, ask.priority);
            let fingerprint = ask.fingerprint;
            let arrived = gate.core.borrow().counter();
            let admitted = gate.admit(ask).await;
            events.borrow_mut().push(Event {
                important,
                priority,
                arrived,
                decided: match &admitted {
                    Ok(permit) => permit.id,
                    // An evicted call learns of it a moment later.
                    Err(_) => gate.core.borrow().evicted_at(&fingerprint),
                },
                refused: admitted.as_ref().err().map(|r| r.why),
            });
            if let Ok(permit) = admitted {
                let own = Duration::from_millis(rng.borrow_mut().u64(20..80));
                sleep(own).await;
                permit.finish(own, CallEnd::Answered);
            }
        });
    }
    sleep(Duration::from_secs(5)).await;
    let load = gate.load();
    assert_eq!((load.in_flight, load.queued), (0, 0), "seed {seed}: leaked");
    events.take()
}

/// Guards against an important request refused while a less important one is admitted at the
/// same gate, before or after it.
#[test]
fn important_is_not_refused_while_ordinary_is_admitted() {
    let mut refusals = 0;
    for seed in 0..20 {
        let events = block_on(overload(seed));
        assert_eq!(events.len(), 800);
        for lost in events.iter().filter(|e| e.important && e.refused.is_some()) {
            refusals += 1;
            let why = lost.refused;
            for won in events
                .iter()
                .filter(|e| !e.important && e.refused.is_none())
            {
                let is_during = lost.arrived < won.decided && won.decided <= lost.decided;
                assert!(!is_during, "seed {seed}: {lost:?} {won:?}");
                let waited_beside = won.arrived < lost.decided && lost.decided < won.decided;
                let is_by_order =
                    matches!(why, Some(RefusalReason::Level | RefusalReason::Evicted));
                assert!(
                    !(is_by_order && waited_beside),
                    "seed {seed}: {lost:?} {won:?}"
                );
            }
        }
    }
    assert!(
        refusals > 100,
        "the overload must reach important requests: {refusals}"
    );
}

/// Guards against a better request refused by order while a worse one of its kind is admitted.
#[test]
fn evicted_request_is_not_better_than_one_that_waited_beside_it() {
    for seed in 0..20 {
        let events = block_on(overload(seed));
        for lost in events
            .iter()
            .filter(|e| e.refused == Some(RefusalReason::Evicted))
        {
            let beside = |e: &&Event| {
                let waited = e.arrived < lost.decided && lost.decided < e.decided;
                waited && e.refused.is_none()
            };
            for won in events.iter().filter(beside) {
                let place = |e: &Event| (!e.important, e.priority);
                assert!(place(won) <= place(lost), "seed {seed}: {won:?} {lost:?}");
            }
        }
    }
}

/// Guards against a level that refuses an important request while an ordinary one, let in before
/// the level closed, still waits.
#[test]
fn level_does_not_refuse_important_while_ordinary_waits() {
    block_on(async {
        let gate = warm(1, Control::Adaptive);
        let held = gate.admit(ask(0, 1)).await;
        let ordinary = gate.clone();
        let ordinary = tokio::task::spawn_local(async move { why(&ordinary, ask(3, 2)).await });
        tokio::task::yield_now().await;
        gate.core.borrow_mut().set_level(Level(0));
        let important = gate.clone();
        let important = tokio::task::spawn_local(async move { why(&important, ask(0, 3)).await });
        tokio::task::yield_now().await;
        assert_eq!(why(&gate, ask(3, 4)).await, Some(RefusalReason::Level));
        drop(held);
        assert_eq!(important.await.ok(), Some(None));
        assert_eq!(ordinary.await.ok(), Some(None));
        assert_eq!(why(&gate, ask(0, 6)).await, Some(RefusalReason::Level));
    });
}

/// Guards against slots that leak when a waiting call's future is dropped.
#[test]
fn dropped_calls_free_their_places() {
    block_on(async {
        let gate = warm(2, Control::Adaptive);
        let held = (gate.admit(ask(1, 1)).await, gate.admit(ask(1, 2)).await);
        let waiting: Vec<_> = (0..10)
            .map(|n| {
                let gate = gate.clone();
                tokio::task::spawn_local(async move { gate.admit(ask(1, 10 + n)).await })
            })
            .collect();
        tokio::task::yield_now().await;
        assert_eq!(gate.load().queued, 10);
        waiting.iter().for_each(|task| task.abort());
        tokio::task::yield_now().await;
        assert_eq!(gate.load().queued, 0);
        drop(held);
        assert_eq!(gate.load().in_flight, 0);
        // A permit granted to a call that is gone returns at once.
        let first = gate.admit(ask(1, 1)).await.expect("room");
        let second = gate.admit(ask(1, 2)).await.expect("room");
        let task = tokio::task::spawn_local({
            let gate = gate.clone();
            async move { gate.admit(ask(1, 3)).await }
        });
        tokio::task::yield_now().await;
        first.finish(Duration::ZERO, CallEnd::Answered);
        assert_eq!(gate.load().in_flight, 2);
        task.abort();
        tokio::task::yield_now().await;
        assert_eq!(gate.load().in_flight, 1);
        drop(second);
    });
}

/// Guards against work admitted in a state in which the node must refuse it.
#[test]
fn states_refuse_new_work() {
    block_on(async {
        let gate = Gate::new(
            5,
            Favour::Goodput,
            Control::Off,
            fastrand::Rng::with_seed(1),
        );
        let cases = [
            (GateState::Starting, Some(RefusalReason::NoConfig)),
            (GateState::Waking, Some(RefusalReason::Waking)),
            (GateState::Leaving, Some(RefusalReason::Leaving)),
            (GateState::Serving, None),
        ];
        assert_eq!(why(&gate, ask(1, 1)).await, Some(RefusalReason::NoConfig));
        for (state, expected) in cases {
            gate.set_state(state);
            assert_eq!(why(&gate, ask(1, 1)).await, expected, "{state:?}");
        }
    });
}

/// Guards against a wait that outlasts the class's part of the deadline.
#[test]
fn wait_ends_at_the_share_that_the_deployment_favours() {
    for (favour, share) in [(Favour::Goodput, 2), (Favour::Recovery, 5)] {
        block_on(async {
            let gate = Gate::new(10, favour, Control::Adaptive, fastrand::Rng::with_seed(1));
            gate.set_state(GateState::Serving);
            let held = gate.admit(ask(1, 1)).await;
            let start = Instant::now();
            assert_eq!(
                why(&gate, ask(1, 2)).await,
                Some(RefusalReason::QueueTimeout)
            );
            let waited = start.elapsed();
            let most = SPAN / share + Duration::from_millis(2);
            assert!(
                (SPAN / share..most).contains(&waited),
                "{favour:?}: {waited:?}"
            );
            drop(held);
        });
    }
}

/// Guards against dispatching a call that can't be answered in time.
#[test]
fn call_with_too_little_time_is_refused() {
    block_on(async {
        let gate = warm(5, Control::Adaptive);
        for n in 0..20 {
            let permit = gate.admit(ask(1, n)).await.expect("room");
            sleep(Duration::from_millis(200)).await;
            permit.finish(Duration::from_millis(200), CallEnd::Answered);
        }
        let mut short = ask(1, 30);
        short.deadline = Instant::now() + Duration::from_millis(100);
        assert_eq!(
            why(&gate, short.clone()).await,
            Some(RefusalReason::Deadline)
        );
        // Without samples the expectation fades, so the class is tried again.
        sleep(Duration::from_secs(5)).await;
        short.deadline = Instant::now() + Duration::from_millis(100);
        assert_eq!(why(&gate, short).await, None);
    });
}

/// Guards against a class that uses more than its `Limit` object grants, and against a limit
/// that affects other classes.
#[test]
fn class_limit_holds_for_its_class_only() {
    block_on(async {
        let gate = warm(20, Control::Adaptive);
        let limit = r#"{"name":"l","owner":"o","service":"s","class":"c1","in_flight":3}"#;
        let limit = serde_json::from_str(limit).expect("valid limit");
        gate.core.borrow_mut().set_limits(&[limit]);
        let mut held = Vec::new();
        for n in 0..3 {
            held.push(gate.admit(ask(1, n)).await.expect("below the limit"));
        }
        assert_eq!(why(&gate, ask(1, 4)).await, Some(RefusalReason::ClassLimit));
        assert_eq!(why(&gate, ask(2, 5)).await, None);
        held.pop();
        assert_eq!(why(&gate, ask(1, 6)).await, None);
    });
}

/// Guards against a baseline without control that refuses or queues.
#[test]
fn without_control_everything_is_admitted() {
    block_on(async {
        let gate = Gate::new(
            1,
            Favour::Goodput,
            Control::Off,
            fastrand::Rng::with_seed(1),
        );
        gate.set_state(GateState::Serving);
        let mut held = Vec::new();
        for n in 0..100 {
            held.push(gate.admit(ask(1, n)).await.expect("no limit"));
        }
        assert_eq!(gate.load().in_flight, 100);
    });
}

/// Guards against a fixed limit that adapts, or a baseline queue that orders by priority.
#[test]
fn fixed_control_uses_all_slots_in_order_of_arrival() {
    block_on(async {
        let gate = warm(2, Control::Fixed);
        let first = gate.admit(ask(3, 1)).await.expect("room");
        let second = gate.admit(ask(3, 2)).await.expect("room");
        let order = Rc::new(RefCell::new(Vec::new()));
        for importance in [3, 0] {
            let (gate, order) = (gate.clone(), order.clone());
            tokio::task::spawn_local(async move {
                let _permit = gate.admit(ask(importance, importance)).await;
                order.borrow_mut().push(importance);
            });
            tokio::task::yield_now().await;
        }
        drop((first, second));
        sleep(Duration::from_millis(1)).await;
        assert_eq!(*order.borrow(), [3, 0]);
    });
}

/// Guards against calls dispatched to a server that is known to be down.
#[test]
fn lost_server_refuses_until_it_restarts() {
    block_on(async {
        let gate = warm(20, Control::Adaptive);
        let running = gate.admit(ask(1, 1)).await.expect("room");
        assert_eq!(gate.server_lost(), [Fingerprint([1; 16])]);
        assert_eq!(why(&gate, ask(1, 2)).await, Some(RefusalReason::Down));
        running.finish(Duration::ZERO, CallEnd::Lost);
        gate.server_restarted();
        assert_eq!(gate.load().limit, 2, "a restarted server starts cold");
        assert_eq!(why(&gate, ask(1, 2)).await, None);
    });
}

/// Guards against `Retry-After` values that send all callers back at the same moment.
#[test]
fn retry_after_is_jittered_around_its_base() {
    block_on(async {
        let gate = Gate::new(
            5,
            Favour::Goodput,
            Control::Adaptive,
            fastrand::Rng::with_seed(1),
        );
        let mut seen = BTreeSet::new();
        for n in 0..100 {
            let refusal = gate.admit(ask(1, n)).await.expect_err("not serving");
            let ms = refusal.retry_after.as_millis();
            assert!((250..=750).contains(&ms), "{ms}");
            seen.insert(ms);
        }
        assert!(seen.len() > 50);
    });
}
