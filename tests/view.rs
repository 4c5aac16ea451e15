//! Guards the view of peers against false suspicion, outdated statements and unbounded news.

use std::time::Duration;

use comfreybay::state::{
    id::{Incarnation, Revision, UpstreamName},
    priority::Level,
    view::{NEWS_MAX, News, NodeState, PeerStatus, PeerView, Report},
};
use tokio::time::Instant;

const FIRST: Incarnation = Incarnation([1; 16]);
const SECOND: Incarnation = Incarnation([2; 16]);

fn name(text: &str) -> UpstreamName {
    text.parse().expect("valid name")
}

fn report(state: NodeState) -> Report {
    Report {
        state,
        revision: Revision(1),
        level: Level::OPEN,
        last_heard: Instant::now(),
    }
}

fn down(subject: &str, incarnation: Incarnation, number: u32, witness: &str) -> News {
    News::Down {
        subject: name(subject),
        incarnation,
        number,
        witness: name(witness),
    }
}

/// Guards against a healthy peer that one node with a bad link declares down.
#[test]
fn down_needs_two_witnesses() {
    let now = Instant::now();
    let mut view = PeerView::new(name("a"), FIRST);
    view.record_heartbeat(&name("b"), FIRST, report(NodeState::Serving));
    assert!(view.update(down("b", FIRST, 0, "c"), now));
    assert!(!view.update(down("b", FIRST, 0, "c"), now));
    assert_eq!(view.status(&name("b")), PeerStatus::Alive);
    assert!(view.report_lost(&name("b"), now));
    assert_eq!(view.status(&name("b")), PeerStatus::Down);
}

/// Guards against news about a peer that prevails over the peer's own newer statement.
#[test]
fn own_statement_overrides_news() {
    let now = Instant::now();
    let mut view = PeerView::new(name("a"), FIRST);
    view.record_heartbeat(&name("b"), FIRST, report(NodeState::Serving));
    view.update(down("b", FIRST, 0, "c"), now);
    view.update(down("b", FIRST, 0, "d"), now);
    assert_eq!(view.status(&name("b")), PeerStatus::Down);
    let alive = News::Alive {
        subject: name("b"),
        incarnation: FIRST,
        number: 1,
    };
    assert!(view.update(alive, now));
    assert_eq!(view.status(&name("b")), PeerStatus::Alive);
    view.update(down("b", FIRST, 0, "e"), now);
    view.update(down("b", FIRST, 0, "f"), now);
    assert_eq!(view.status(&name("b")), PeerStatus::Alive);
}

/// Guards against a node that does not refute news that it is down.
#[test]
fn news_about_the_node_itself_is_refuted() {
    let now = Instant::now();
    let mut view = PeerView::new(name("a"), FIRST);
    view.update(down("a", FIRST, 4, "b"), now);
    let news = view.take_news(now);
    let alive = News::Alive {
        subject: name("a"),
        incarnation: FIRST,
        number: 5,
    };
    assert_eq!(news, [alive]);
}

/// Guards against late heartbeats of a process that has been replaced.
#[test]
fn replaced_incarnation_is_ignored() {
    let mut view = PeerView::new(name("a"), FIRST);
    assert!(view.record_heartbeat(&name("b"), FIRST, report(NodeState::Leaving)));
    assert_eq!(view.status(&name("b")), PeerStatus::Leaving);
    assert!(view.record_heartbeat(&name("b"), SECOND, report(NodeState::Serving)));
    assert_eq!(view.status(&name("b")), PeerStatus::Alive);
    assert!(!view.record_heartbeat(&name("b"), FIRST, report(NodeState::Leaving)));
    assert_eq!(view.status(&name("b")), PeerStatus::Alive);
}

/// Guards against news that is forwarded without end, and against too much news in a heartbeat.
#[test]
fn news_is_bounded() {
    let now = Instant::now();
    let mut view = PeerView::new(name("a"), FIRST);
    view.set_node_count(1_024);
    for n in 0..5_000u32 {
        view.update(down(&format!("p{n}"), FIRST, 0, "b"), now);
    }
    let mut taken = 0;
    while view.has_news() {
        let news = view.take_news(now);
        assert!(!news.is_empty() && news.len() <= NEWS_MAX);
        taken += news.len();
    }
    // log2(1,024) + 2 = 12 copies of at most 1,024 items kept.
    assert!(
        taken <= 12 * 1_024,
        "{taken} items sent, at most 12,288 expected"
    );
    let later = now + Duration::from_secs(61);
    view.prune(|_| false, later);
    assert_eq!(view.len(), 0);
}

/// Guards against state that is kept over a pause of the process.
#[test]
fn clear_drops_everything() {
    let now = Instant::now();
    let mut view = PeerView::new(name("a"), FIRST);
    view.record_heartbeat(&name("b"), FIRST, report(NodeState::Serving));
    view.update(down("b", FIRST, 0, "c"), now);
    view.clear();
    assert_eq!(view.status(&name("b")), PeerStatus::Unknown);
    assert!(!view.has_news());
}
