//! Guards against a queue that serves or evicts out of order, or exceeds its capacity.

use proptest::prelude::*;

use super::{super::id::RootId, *};

fn priority(importance: u8, root: u8) -> Priority {
    Priority::new(importance, false, RootId([root; 16]))
}

proptest! {
    /// Guards against serving a request before one that ranks higher, against evicting any but the
    /// last, and against evicting an important request while an ordinary one waits.
    #[test]
    fn order_and_capacity_hold(capacity in 1_usize..20, steps in prop::collection::vec((any::<bool>(), 0_u8..4, any::<u8>(), 0_u8..4), 0..200)) {
        let mut queue = WaitQueue::new(capacity);
        let mut model: Vec<QueueKey> = Vec::new();
        for (n, (important, importance, root, step)) in steps.into_iter().enumerate() {
            if step == 0 {
                model.sort();
                let best = (!model.is_empty()).then(|| model.remove(0));
                prop_assert_eq!(queue.pop().map(|(key, _)| key), best);
                continue;
            }
            let key = QueueKey::new(important, priority(importance, root), n as u64);
            model.push(key);
            model.sort();
            let worst = if model.len() > capacity { model.pop() } else { None };
            match (queue.push(key, key), worst) {
                (PushResult::Waiting, None) => {}
                (PushResult::Full(p) | PushResult::Evicted(p), Some(worst)) => {
                    prop_assert_eq!(p, worst);
                    let has_ordinary = model.iter().any(|p| p.is_ordinary());
                    prop_assert!(p.is_ordinary() || !has_ordinary);
                }
                other => prop_assert!(false, "{:?}", other),
            }
            prop_assert!(queue.len() <= capacity);
        }
    }
}

/// Guards against a first-in first-out queue whose order is not that of arrival.
#[test]
fn fifo_keys_keep_the_order_of_arrival() {
    let mut queue = WaitQueue::new(2);
    queue.push(QueueKey::fifo(1), "first");
    queue.push(QueueKey::fifo(2), "second");
    assert_eq!(
        queue.push(QueueKey::fifo(3), "third"),
        PushResult::Full("third")
    );
    assert_eq!(queue.pop().map(|(_, entry)| entry), Some("first"));
}
