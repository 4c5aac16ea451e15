//! Guards against retries that multiply down a call chain.

use proptest::prelude::*;

use super::*;

const DEPTH_MAX: u32 = 7;

/// Runs one call with the attempts delegated to it and adds all extra attempts of its subtree to
/// `extra`. Returns the unused attempts stated in its response, or `None` when the response is
/// lost.
fn call(depth: u32, delegated: u32, rng: &mut fastrand::Rng, extra: &mut u32) -> Option<u32> {
    let mut allowance = Allowance::new(delegated);
    let fan_out = if depth < DEPTH_MAX { rng.u32(0..4) } else { 0 };
    for _ in 0..fan_out {
        loop {
            let delegated = allowance.delegate();
            match call(depth + 1, delegated, rng, extra) {
                // The response states more unused attempts than delegated; the excess is ignored.
                Some(unused) if unused == delegated && rng.bool() => {
                    allowance.reclaim(delegated, rng.u32(delegated..));
                }
                Some(unused) => allowance.reclaim(delegated, unused),
                None if rng.bool() => allowance.reclaim(delegated, 0),
                None => {}
            }
            let failed = rng.bool();
            if !failed || !allowance.try_spend() {
                break;
            }
            *extra += 1;
        }
    }
    let unused = allowance.close();
    (rng.u8(..) > 32).then_some(unused)
}

proptest! {
    /// Guards against a call tree that makes more extra attempts than the root's allowance when
    /// responses are lost. A response that arrives never hides attempts that were spent.
    #[test]
    fn extra_attempts_stay_within_the_allowance(seed: u64, root in 0_u32..12) {
        let mut extra = 0;
        call(1, root, &mut fastrand::Rng::with_seed(seed), &mut extra);
        prop_assert!(extra <= root, "{extra} of {root}");
    }

    /// Guards against an order of operations on one allowance that creates attempts.
    #[test]
    fn operations_create_no_attempts(start in 0_u32..50, steps in prop::collection::vec((0_u8..3, any::<u32>()), 0..60)) {
        let mut allowance = Allowance::new(start);
        let (mut spent, mut delegated) = (0, 0);
        for (step, number) in steps {
            match step {
                0 => spent += u32::from(allowance.try_spend()),
                1 => delegated += allowance.delegate(),
                _ => {
                    let before = allowance.remaining();
                    allowance.reclaim(number % 8, number);
                    delegated -= (allowance.remaining() - before).min(delegated);
                }
            }
            prop_assert!(allowance.remaining() + spent + delegated <= start);
        }
    }
}

/// Guards against attempts returned by a response that arrives after the caller has finished.
#[test]
fn reclaim_after_close_is_ignored() {
    let mut allowance = Allowance::new(4);
    let delegated = allowance.delegate();
    assert_eq!(allowance.close(), 2);
    allowance.reclaim(delegated, delegated);
    assert_eq!(allowance.remaining(), 0);
    assert!(!allowance.try_spend());
}
