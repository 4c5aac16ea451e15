//! Tests of refusal by reported levels, of bounded tables, and of the release of dropped picks.

use std::time::Duration;

use proptest::prelude::*;

use super::*;
use crate::state::{
    id::{Digest, Revision, RootId},
    publication::Piece,
};

fn config(services: &[(&str, usize)]) -> Config {
    let deployment = r#"{"name":"d","owner":"o","favour":"goodput","zones":[]}"#;
    let piece = |(name, upstreams): &(&str, usize)| {
        let service = format!(r#"{{"name":"{name}","owner":"o"}}"#);
        let service: crate::state::object::Service =
            serde_json::from_str(&service).expect("valid service");
        let address = "127.0.0.1:1".parse().expect("valid address");
        let upstream = |n| Upstream {
            name: format!("{name}-{n}").parse().expect("valid name"),
            owner: service.owner.clone(),
            service: service.name.clone(),
            zone: "z".parse().expect("valid name"),
            public: address,
            peer: address,
            control: address,
            slots: 10,
            connections: 100,
        };
        let piece = Piece {
            service: service.clone(),
            upstreams: (0..*upstreams).map(upstream).collect(),
            limits: vec![],
            chains: vec![],
            classes: vec![],
        };
        (service.name.clone(), piece)
    };
    Config {
        revision: Revision(1),
        digest: Digest::of(b""),
        deployment: serde_json::from_str(deployment).expect("valid deployment"),
        pieces: services.iter().map(piece).collect(),
    }
}

fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("valid name")
}

fn router(control: Control) -> Router {
    let rng = fastrand::Rng::with_seed(1);
    let router = Router::new(name("a-0"), name("z"), control, rng);
    let mut config = config(&[("a", 2), ("b", 2), ("c", 2)]);
    config.deployment.control = control;
    router.apply(&config);
    router
}

fn priority(importance: u8) -> Priority {
    Priority::new(importance, false, RootId([1; 16]))
}

fn levels(text: &str) -> Levels {
    text.parse().expect("valid levels")
}

fn block_on<F: Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O");
    runtime.block_on(future)
}

/// Guards against a call that a service deep in the chain refuses after the services above it did
/// work for it, and against refusing a call that the service would admit.
#[test]
fn first_service_whose_level_excludes_the_priority_is_returned() {
    let router = router(Control::Adaptive);
    let chain = [name("a"), name("b"), name("c")];
    assert_eq!(router.first_refusing(&chain, priority(5)), None);
    router.update_levels(&levels(&format!("c={}", (2 << 24) - 1)));
    assert_eq!(router.first_refusing(&chain, priority(1)), None);
    assert_eq!(router.first_refusing(&chain, priority(2)), Some(name("c")));
    assert_eq!(router.first_refusing(&chain[..2], priority(2)), None);
}

/// Guards against a level that is never refreshed and blocks a service for ever.
#[tokio::test(start_paused = true)]
async fn level_without_updates_opens() {
    let router = router(Control::Adaptive);
    router.update_levels(&levels("c=0"));
    assert_eq!(
        router.first_refusing(&[name("c")], priority(5)),
        Some(name("c"))
    );
    tokio::time::advance(Duration::from_secs(1)).await;
    assert_eq!(router.first_refusing(&[name("c")], priority(5)), None);
    assert_eq!(
        router.levels(&[name("c")]),
        levels(&format!("c={}", u32::MAX))
    );
}

/// Guards against refusing calls to a service when only one of its two upstreams is overloaded.
#[test]
fn one_open_upstream_keeps_the_service_open() {
    let router = router(Control::Adaptive);
    router.update_load(&name("b-0"), Load::default(), Level(0));
    assert_eq!(router.first_refusing(&[name("b")], priority(5)), None);
    router.update_load(&name("b-1"), Load::default(), Level(0));
    assert_eq!(
        router.first_refusing(&[name("b")], priority(5)),
        Some(name("b"))
    );
    router.update_load(&name("b-1"), Load::default(), Level::OPEN);
    assert_eq!(router.first_refusing(&[name("b")], priority(5)), None);
}

/// Guards against baselines that refuse calls by the reported levels.
#[test]
fn baselines_do_not_refuse_early() {
    for control in [Control::Fixed, Control::Off] {
        let router = router(control);
        router.update_levels(&levels("c=0"));
        assert_eq!(router.first_refusing(&[name("c")], priority(5)), None);
    }
}

/// Guards against decisions based on reports from before a pause of the process.
#[test]
fn forget_discards_levels_and_reports() {
    let router = router(Control::Adaptive);
    router.update_levels(&levels("c=0"));
    router.set_leaving(&name("b-0"), true);
    router.set_leaving(&name("b-1"), true);
    assert!(
        router
            .pick(&name("b"), priority(1), &BTreeSet::new())
            .is_none()
    );
    router.forget();
    assert_eq!(router.first_refusing(&[name("c")], priority(5)), None);
    assert!(
        router
            .pick(&name("b"), priority(1), &BTreeSet::new())
            .is_some()
    );
}

/// Guards against a retry at the same upstream, and against a node that calls its own upstream.
#[test]
fn tried_and_own_upstreams_are_not_picked() {
    let router = router(Control::Adaptive);
    let mut tried = BTreeSet::new();
    for _ in 0..2 {
        let pick = router
            .pick(&name("b"), priority(1), &tried)
            .expect("an untried upstream");
        assert!(tried.insert(pick.upstream().name.clone()));
    }
    assert!(router.pick(&name("b"), priority(1), &tried).is_none());
    for _ in 0..20 {
        let pick = router
            .pick(&name("a"), priority(1), &BTreeSet::new())
            .expect("the other upstream of the service");
        assert_eq!(pick.upstream().name, name("a-1"));
    }
}

/// Guards against tables that grow with names that are not in the configuration.
#[test]
fn unknown_names_are_ignored() {
    let router = router(Control::Adaptive);
    router.update_levels(&levels("x=0"));
    router.update_load(&name("x-1"), Load::default(), Level(0));
    router.set_leaving(&name("x-1"), true);
    router.update_list(&name("x"), &[]);
    assert_eq!(router.first_refusing(&[name("x")], priority(5)), None);
    assert_eq!(router.levels(&[name("x")]), Levels::default());
    assert!(
        router
            .pick(&name("x"), priority(1), &BTreeSet::new())
            .is_none()
    );
    assert!(router.budget(&name("x")).is_none() && router.budget(&name("b")).is_some());
}

/// Guards against failing to end an attempt whose upstream was removed meanwhile.
#[test]
fn attempt_ends_after_its_upstream_was_removed() {
    let router = router(Control::Adaptive);
    let pick = router
        .pick(&name("b"), priority(1), &BTreeSet::new())
        .expect("an upstream");
    router.apply(&config(&[("a", 2)]));
    pick.finish(AttemptEnd::Answered);
    assert!(
        router
            .pick(&name("b"), priority(1), &BTreeSet::new())
            .is_none()
    );
}

/// Guards against cancelled attempts that stay counted as in flight.
#[test]
fn dropped_picks_leave_no_load() {
    block_on(async {
        let router = router(Control::Adaptive);
        for _ in 0..1_000 {
            drop(router.pick(&name("b"), priority(1), &BTreeSet::new()));
        }
        let mut counts = BTreeMap::new();
        let mut picks = Vec::new();
        for _ in 0..10 {
            let pick = router.pick(&name("b"), priority(1), &BTreeSet::new());
            let pick = pick.expect("an upstream");
            *counts.entry(pick.upstream().name.to_string()).or_insert(0) += 1;
            picks.push(pick);
        }
        assert_eq!(counts.into_values().collect::<Vec<_>>(), [5, 5]);
    });
}

proptest! {
    /// Guards against a header that is parsed to another value than was written, and against a
    /// parser that panics.
    #[test]
    fn header_texts_round_trip(text in "[a-c0-9=;/]{0,40}", in_flight: u32, limit: u32, queued: u32) {
        if let Ok(levels) = text.parse::<Levels>() {
            prop_assert_eq!(levels.to_string().parse::<Levels>().ok(), Some(levels));
        }
        let _ = text.parse::<Load>();
        let load = Load { in_flight, limit, queued };
        prop_assert_eq!(load.to_string().parse::<Load>().ok(), Some(load));
    }
}
