//! Periodic tasks: pause detection, the end of the waking state that follows a pause, and leaving.

use std::{rc::Rc, time::Duration};

use tokio::time::{Instant, MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use super::share::{Shared, TICK_MS};
use crate::{
    coordination::membership::DIALLED_MAX,
    state::{counters::Counter, journal::DecisionKind, view::NodeState},
    transport::net::Net,
};

/// Longest time in the waking state when no majority of peers answers.
const WAKING_TIMEOUT_MS: u64 = 2_000;
const TICKS_PER_SECOND: u32 = 10;

/// Checks for pauses on each tick, ends the waking state, and runs the once-a-second work.
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
            run_each_second(&shared);
        }
    }
}

fn end_waking<N: Net>(shared: &Shared<N>, since: Instant) {
    let answered = shared.links.borrow().values().filter(|l| l.dialled).count();
    if answered * 2 > DIALLED_MAX {
        shared.set_state(NodeState::Serving, "a majority of peers has answered");
    } else if since.elapsed() >= Duration::from_millis(WAKING_TIMEOUT_MS) {
        shared.set_state(NodeState::Serving, "no majority of peers answered in time");
    }
}

/// Updates the reader election, removes outdated peers from the view and collects suspects.
fn run_each_second<N: Net>(shared: &Shared<N>) {
    let now = Instant::now();
    let was_reader = shared.readers.borrow().is_reader();
    let eligible = shared.follower.is_accepting() && shared.state.get() != NodeState::Leaving;
    let is_reader = eligible && shared.readers.borrow_mut().tick(now);
    shared.counters.set(Counter::ConfigReader, is_reader.into());
    if was_reader != is_reader {
        let subject = if is_reader { "started" } else { "stopped" };
        shared.record_decision(
            DecisionKind::Reader,
            subject.into(),
            "rendezvous hash".into(),
        );
    }
    let linked = |name: &_| shared.links.borrow().contains_key(name);
    shared.view.borrow_mut().prune(linked, now);
    shared.collect_suspects(now);
}

/// Waits until the node must leave, then refuses new work and announces the leave to the peers.
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
    shared.send_news();
}
