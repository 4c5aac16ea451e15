//! Guards against a queue that serves or evicts out of order, or grows beyond its bound.

use proptest::prelude::*;

use super::{super::id::RootId, *};

fn priority(importance: u8, root: u8) -> Priority {
    Priority::new(importance, false, RootId([root; 16]))
}

proptest! {
    /// Guards against serving a worse request first, against evicting any but the worst, and
    /// against an important request evicted while an ordinary one waits.
    #[test]
    fn order_and_bound_hold(bound in 1_usize..20, steps in prop::collection::vec((any::<bool>(), 0_u8..4, any::<u8>(), 0_u8..4), 0..200)) {
        let mut queue = WaitQueue::new(bound);
        let mut model: Vec<QueueKey> = Vec::new();
        for (n, (important, importance, root, step)) in steps.into_iter().enumerate() {
            if step == 0 {
                model.sort();
                let best = (!model.is_empty()).then(|| model.remove(0));
                prop_assert_eq!(queue.pop().map(|(place, _)| place), best);
                continue;
            }
            let place = QueueKey::new(important, priority(importance, root), n as u64);
            model.push(place);
            model.sort();
            let worst = if model.len() > bound { model.pop() } else { None };
            match (queue.push(place, place), worst) {
                (PushResult::Waiting, None) => {}
                (PushResult::Full(p) | PushResult::Evicted(p), Some(worst)) => {
                    prop_assert_eq!(p, worst);
                    let has_ordinary = model.iter().any(|p| p.is_ordinary());
                    prop_assert!(p.is_ordinary() || !has_ordinary);
                }
                other => prop_assert!(false, "{:?}", other),
            }
            prop_assert!(queue.len() <= bound);
        }
    }
}

/// Guards against a first-in first-out queue that orders by anything but arrival.
#[test]
fn arrival_places_keep_their_order() {
    let mut queue = WaitQueue::new(2);
    queue.push(QueueKey::fifo(1), "first");
    queue.push(QueueKey::fifo(2), "second");
    assert_eq!(
        queue.push(QueueKey::fifo(3), "third"),
        PushResult::Full("third")
    );
    assert_eq!(queue.pop().map(|(_, entry)| entry), Some("first"));
}
