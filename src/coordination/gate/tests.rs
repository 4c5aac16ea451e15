//! Tests of the admission order and of the release of permits and queue entries.

mod stop;

use std::collections::BTreeSet;

use tokio::{task::LocalSet, time::sleep};

use super::*;
use crate::state::id::RootId;

pub(super) const TIMEOUT: Duration = Duration::from_secs(1);

pub(super) fn block_on<F: Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O");
    LocalSet::new().block_on(&runtime, future)
}

/// A serving gate whose concurrency limit has reached the number of slots.
pub(super) fn warm_gate(slots: u32, control: Control) -> Gate {
    let gate = Gate::new(slots, Favour::Goodput, control, fastrand::Rng::with_seed(1));
    gate.set_state(GateState::Serving);
    gate.core.borrow_mut().warm_up();
    gate
}

pub(super) fn call(importance: u8, root: u8) -> AdmissionRequest {
    AdmissionRequest {
        priority: Priority::new(importance, false, RootId([root; 16])),
        class: format!("c{importance}").parse().expect("valid name"),
        important: importance == 0,
        begun: false,
        deadline: Instant::now() + TIMEOUT,
        timeout: TIMEOUT,
        fingerprint: Fingerprint([root; 16]),
    }
}

async fn refusal_reason(gate: &Gate, request: AdmissionRequest) -> Option<RefusalReason> {
    gate.admit(request).await.err().map(|refusal| refusal.why)
}

#[derive(Debug, Clone, Copy)]
struct Event {
    important: bool,
    priority: Priority,
    /// Values of the gate's counter, which each admission and each insertion into a queue
    /// increments.
    arrived: u64,
    decided: u64,
    refused: Option<RefusalReason>,
}

/// Runs a random overload in which the important requests alone exceed the capacity, and returns
/// what happened to each request.
async fn overload(seed: u64) -> Vec<Event> {
    let gate = warm_gate(5, Control::Adaptive);
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
            let mut request = call(importance, 0);
            request.priority =
                Priority::new(importance, false, RootId::random(&mut rng.borrow_mut()));
            request.fingerprint = Fingerprint(rng.borrow_mut().u128(..).to_be_bytes());
            let (important, priority) = (request.important, request.priority);
            let fingerprint = request.fingerprint;
            let arrived = gate.core.borrow().counter();
            let admitted = gate.admit(request).await;
            events.borrow_mut().push(Event {
                important,
                priority,
                arrived,
                decided: match &admitted {
                    Ok(permit) => permit.id,
                    // An evicted call resumes only after the eviction.
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
    assert_eq!(
        (load.in_flight, load.queued),
        (0, 0),
        "seed {seed}: calls in flight and queued after all calls ended"
    );
    events.take()
}

/// Guards against refusing an important request although an ordinary one is admitted at the same
/// gate while the important one waits, or waits beside it and is admitted later.
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
                let is_admitted_meanwhile =
                    lost.arrived < won.decided && won.decided <= lost.decided;
                assert!(!is_admitted_meanwhile, "seed {seed}: {lost:?} {won:?}");
                let is_admitted_later = won.arrived < lost.decided && lost.decided < won.decided;
                let is_by_rank = matches!(why, Some(RefusalReason::Level | RefusalReason::Evicted));
                assert!(
                    !(is_by_rank && is_admitted_later),
                    "seed {seed}: {lost:?} {won:?}"
                );
            }
        }
    }
    assert!(
        refusals > 100,
        "too few important requests refused for the test: {refusals}, expected more than 100"
    );
}

/// Guards against evicting a request while one of lower rank stays in the queue and is admitted.
#[test]
fn evicted_request_does_not_rank_before_one_that_stays_queued() {
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

/// Guards against a level that refuses an important request while an ordinary one, queued before
/// the level closed, still waits.
#[test]
fn level_does_not_refuse_important_while_ordinary_waits() {
    block_on(async {
        let gate = warm_gate(1, Control::Adaptive);
        let held = gate.admit(call(0, 1)).await;
        let ordinary = gate.clone();
        let ordinary =
            tokio::task::spawn_local(async move { refusal_reason(&ordinary, call(3, 2)).await });
        tokio::task::yield_now().await;
        gate.core.borrow_mut().set_level(Level(0));
        let important = gate.clone();
        let important =
            tokio::task::spawn_local(async move { refusal_reason(&important, call(0, 3)).await });
        tokio::task::yield_now().await;
        assert_eq!(
            refusal_reason(&gate, call(3, 4)).await,
            Some(RefusalReason::Level)
        );
        drop(held);
        assert_eq!(important.await.ok(), Some(None));
        assert_eq!(ordinary.await.ok(), Some(None));
        assert_eq!(
            refusal_reason(&gate, call(0, 6)).await,
            Some(RefusalReason::Level)
        );
    });
}

/// Guards against slots and queue entries that leak when the future of a queued call is dropped.
#[test]
fn dropped_calls_free_slots_and_queue_entries() {
    block_on(async {
        let gate = warm_gate(2, Control::Adaptive);
        let held = (gate.admit(call(1, 1)).await, gate.admit(call(1, 2)).await);
        let waiting: Vec<_> = (0..10)
            .map(|n| {
                let gate = gate.clone();
                tokio::task::spawn_local(async move { gate.admit(call(1, 10 + n)).await })
            })
            .collect();
        tokio::task::yield_now().await;
        assert_eq!(gate.load().queued, 10);
        waiting.iter().for_each(|task| task.abort());
        tokio::task::yield_now().await;
        assert_eq!(gate.load().queued, 0);
        drop(held);
        assert_eq!(gate.load().in_flight, 0);
        // A permit granted to a cancelled call is released at once.
        let first = gate.admit(call(1, 1)).await.expect("the gate has room");
        let second = gate.admit(call(1, 2)).await.expect("the gate has room");
        let task = tokio::task::spawn_local({
            let gate = gate.clone();
            async move { gate.admit(call(1, 3)).await }
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

/// Guards against calls admitted in a state in which the node must refuse them.
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
        assert_eq!(
            refusal_reason(&gate, call(1, 1)).await,
            Some(RefusalReason::NoConfig)
        );
        for (state, expected) in cases {
            gate.set_state(state);
            assert_eq!(
                refusal_reason(&gate, call(1, 1)).await,
                expected,
                "{state:?}"
            );
        }
    });
}

/// Guards against a wait in the queue longer than the fraction of the class timeout allowed for it.
#[test]
fn max_wait_is_the_fraction_set_by_favour() {
    for (favour, share) in [(Favour::Goodput, 2), (Favour::Recovery, 5)] {
        block_on(async {
            let gate = Gate::new(10, favour, Control::Adaptive, fastrand::Rng::with_seed(1));
            gate.set_state(GateState::Serving);
            let held = gate.admit(call(1, 1)).await;
            let start = Instant::now();
            assert_eq!(
                refusal_reason(&gate, call(1, 2)).await,
                Some(RefusalReason::QueueTimeout)
            );
            let waited = start.elapsed();
            let max = TIMEOUT / share + Duration::from_millis(2);
            assert!(
                (TIMEOUT / share..max).contains(&waited),
                "{favour:?}: {waited:?}"
            );
            drop(held);
        });
    }
}

/// Guards against dispatching a call that can't be answered before its deadline.
#[test]
fn call_with_too_little_time_is_refused() {
    block_on(async {
        let gate = warm_gate(5, Control::Adaptive);
        for n in 0..20 {
            let permit = gate.admit(call(1, n)).await.expect("the gate has room");
            sleep(Duration::from_millis(200)).await;
            permit.finish(Duration::from_millis(200), CallEnd::Answered);
        }
        let mut short = call(1, 30);
        short.deadline = Instant::now() + Duration::from_millis(100);
        assert_eq!(
            refusal_reason(&gate, short.clone()).await,
            Some(RefusalReason::Deadline)
        );
        // The expected duration decays without samples, so the class is admitted again.
        sleep(Duration::from_secs(5)).await;
        short.deadline = Instant::now() + Duration::from_millis(100);
        assert_eq!(refusal_reason(&gate, short).await, None);
    });
}

/// Guards against a class that exceeds its `Limit` object, and against a limit that affects other
/// classes.
#[test]
fn class_limit_holds_for_its_class_only() {
    block_on(async {
        let gate = warm_gate(20, Control::Adaptive);
        let limit = r#"{"name":"l","owner":"o","service":"s","class":"c1","in_flight":3}"#;
        let limit = serde_json::from_str(limit).expect("valid limit");
        gate.core.borrow_mut().set_limits(&[limit]);
        let mut held = Vec::new();
        for n in 0..3 {
            held.push(
                gate.admit(call(1, n))
                    .await
                    .expect("the class is below its limit"),
            );
        }
        assert_eq!(
            refusal_reason(&gate, call(1, 4)).await,
            Some(RefusalReason::ClassLimit)
        );
        assert_eq!(refusal_reason(&gate, call(2, 5)).await, None);
        held.pop();
        assert_eq!(refusal_reason(&gate, call(1, 6)).await, None);
    });
}

/// Guards against the baseline without overload control refusing or queueing calls.
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
            held.push(
                gate.admit(call(1, n))
                    .await
                    .expect("no concurrency limit without control"),
            );
        }
        assert_eq!(gate.load().in_flight, 100);
    });
}

/// Guards against the fixed baseline adapting its limit or ordering its queue by priority.
#[test]
fn fixed_control_uses_all_slots_in_order_of_arrival() {
    block_on(async {
        let gate = warm_gate(2, Control::Fixed);
        let first = gate.admit(call(3, 1)).await.expect("the gate has room");
        let second = gate.admit(call(3, 2)).await.expect("the gate has room");
        let order = Rc::new(RefCell::new(Vec::new()));
        for importance in [3, 0] {
            let (gate, order) = (gate.clone(), order.clone());
            tokio::task::spawn_local(async move {
                let _permit = gate.admit(call(importance, importance)).await;
                order.borrow_mut().push(importance);
            });
            tokio::task::yield_now().await;
        }
        drop((first, second));
        sleep(Duration::from_millis(1)).await;
        assert_eq!(*order.borrow(), [3, 0]);
    });
}

/// Guards against dispatching calls to a server that is known to be down.
#[test]
fn lost_server_refuses_until_it_restarts() {
    block_on(async {
        let gate = warm_gate(20, Control::Adaptive);
        let running = gate.admit(call(1, 1)).await.expect("the gate has room");
        assert_eq!(gate.server_lost(), [Fingerprint([1; 16])]);
        assert_eq!(
            refusal_reason(&gate, call(1, 2)).await,
            Some(RefusalReason::Down)
        );
        running.finish(Duration::ZERO, CallEnd::Lost);
        gate.server_restarted();
        assert_eq!(gate.load().limit, 2, "a restarted server starts cold");
        assert_eq!(refusal_reason(&gate, call(1, 2)).await, None);
    });
}

/// Guards against `Retry-After` values that make all callers retry at the same time.
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
            let refusal = gate
                .admit(call(1, n))
                .await
                .expect_err("the gate is not serving");
            let ms = refusal.retry_after.as_millis();
            assert!((250..=750).contains(&ms), "{ms}");
            seen.insert(ms);
        }
        assert!(seen.len() > 50);
    });
}
