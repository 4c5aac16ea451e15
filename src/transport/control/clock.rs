//! Pause detection, waking and leaving.

use std::{rc::Rc, time::Duration};

use tokio::time::{Instant, MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use super::share::{Shared, TICK_MS};
use crate::{
    coordination::membership::DIALLED_MAX,
    state::{counters::Counter, journal::DecisionKind, view::NodeState},
    transport::net::Net,
};

/// A woken node serves again after this time even without answers.
const WAKE_MS: u64 = 2_000;
const TICKS_PER_SECOND: u32 = 10;

/// Ticks, detects pauses, and ends the waking state.
pub async fn watch<N: Net>(shared: Rc<Shared<N>>, stop: CancellationToken) {
    let mut ticks = interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut waking_since = None;
    let mut count = 0u32;
    loop {
        tokio::select! {
            biased;
            () = stop.cancelled() => return,
            _ = ticks.tick() => {}
        }
        shared.check_pause();
        shared.last_tick.set(Instant::now());
        if shared.state.get() == NodeState::Waking {
            let since = *waking_since.get_or_insert_with(Instant::now);
            end_waking(&shared, since);
        } else {
            waking_since = None;
        }
        count = count.wrapping_add(1);
        if count.is_multiple_of(TICKS_PER_SECOND) {
            each_second(&shared);
        }
    }
}

fn end_waking<N: Net>(shared: &Shared<N>, since: Instant) {
    let answered = shared.links.borrow().values().filter(|l| l.dialled).count();
    if answered * 2 > DIALLED_MAX {
        shared.set_state(NodeState::Serving, "a majority of peers has answered");
    } else if since.elapsed() >= Duration::from_millis(WAKE_MS) {
        shared.set_state(NodeState::Serving, "no majority of peers answered in time");
    }
}

fn each_second<N: Net>(shared: &Shared<N>) {
    let now = Instant::now();
    let was = shared.readers.borrow().is_reader();
    let may = shared.follower.is_accepting() && shared.state.get() != NodeState::Leaving;
    let reads = may && shared.readers.borrow_mut().tick(now);
    shared.counters.set(Counter::ConfigReader, reads.into());
    if was != reads {
        let subject = if reads { "started" } else { "stopped" };
        shared.decide(
            DecisionKind::Reader,
            subject.into(),
            "rendezvous hash".into(),
        );
    }
    let linked = |name: &_| shared.links.borrow().contains_key(name);
    shared.view.borrow_mut().prune(linked, now);
    shared.collect_suspects(now);
}

/// Waits for the signal to leave, stops new work and tells the peers.
pub async fn leave<N: Net>(shared: Rc<Shared<N>>, stop: CancellationToken) {
    tokio::select! {
        biased;
        () = stop.cancelled() => return,
        () = shared.leaving.cancelled() => {}
    }
    let now = Instant::now();
    shared.leave.borrow_mut().request_stop();
    let reason = shared.leave.borrow().reason();
    let cause = reason.map(|r| r.to_string()).unwrap_or_default();
    shared.set_state(NodeState::Leaving, &cause);
    shared.view.borrow_mut().announce_self(true, now);
    shared.tell_news();
}
