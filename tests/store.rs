//! Guards the configuration store against reverts and mixed publications.

use comfreybay::state::{
    id::Revision,
    object::Deployment,
    publication::Publication,
    store::{ConfigStore, OfferOutcome},
};

fn publication(revision: u64, name: &str) -> Publication {
    let json = format!(r#"{{"name":"{name}","owner":"o","favour":"goodput","zones":[]}}"#);
    let deployment: Deployment = serde_json::from_str(&json).expect("valid deployment");
    Publication::new(Revision(revision), deployment, vec![])
}

/// Guards against a stale source that replaces the configuration by an older revision.
#[test]
fn revision_only_rises() {
    let store = ConfigStore::new();
    let mut changes = store.subscribe();
    let offers = [
        (2, OfferOutcome::Accepted),
        (1, OfferOutcome::Older),
        (2, OfferOutcome::Same),
        (3, OfferOutcome::Accepted),
    ];
    for (revision, expected) in offers {
        let before = store.revision();
        assert_eq!(
            store.accept_publication(&publication(revision, "d")),
            expected
        );
        assert!(store.revision() >= before);
        assert_eq!(
            changes.has_changed().expect("the store still exists"),
            expected == OfferOutcome::Accepted
        );
        changes.mark_unchanged();
    }
}

/// Guards against mixing two publications with the same revision.
#[test]
fn conflict_keeps_the_current_publication() {
    let store = ConfigStore::new();
    let (first, second) = (publication(5, "a"), publication(5, "b"));
    store.accept_publication(&first);
    assert_eq!(store.accept_publication(&second), OfferOutcome::Conflict);
    assert_eq!(store.conflicts(), 1);
    let config = store.config().expect("the first publication is accepted");
    assert_eq!(config.digest, first.head.digest());
    assert!(store.part(&second.head.digest()).is_none());
}
