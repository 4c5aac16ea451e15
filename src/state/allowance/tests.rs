//! Guards against retries that multiply down a call chain.

use proptest::prelude::*;

use super::*;

const DEPTH_MAX: u32 = 7;

/// Runs one call with what was lent to it, counting all extra attempts below. Gives the unused
/// part that its answer names, or `None` when the answer is lost.
fn call(depth: u32, lent: u32, rng: &mut fastrand::Rng, extra: &mut u32) -> Option<u32> {
    let mut allowance = Allowance::new(lent);
    let fan_out = if depth < DEPTH_MAX { rng.u32(0..4) } else { 0 };
    for _ in 0..fan_out {
        loop {
            let lent = allowance.delegate();
            match call(depth + 1, lent, rng, extra) {
                // An answer that names more than was lent gives back no more than that.
                Some(unused) if unused == lent && rng.bool() => {
                    allowance.reclaim(lent, rng.u32(lent..));
                }
                Some(unused) => allowance.reclaim(lent, unused),
                None if rng.bool() => allowance.reclaim(lent, 0),
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
    /// Guards against a call tree with more extra attempts than the root's allowance, with lost
    /// answers. The answers are those of other nodes, so they name at least what was spent.
    #[test]
    fn extra_attempts_stay_within_the_allowance(seed: u64, root in 0_u32..12) {
        let mut extra = 0;
        call(1, root, &mut fastrand::Rng::with_seed(seed), &mut extra);
        prop_assert!(extra <= root, "{extra} of {root}");
    }

    /// Guards against attempts created by any order of operations on one allowance.
    #[test]
    fn nothing_is_created(start in 0_u32..50, steps in prop::collection::vec((0_u8..3, any::<u32>()), 0..60)) {
        let mut allowance = Allowance::new(start);
        let (mut spent, mut out) = (0, 0);
        for (step, number) in steps {
            match step {
                0 => spent += u32::from(allowance.try_spend()),
                1 => out += allowance.delegate(),
                _ => {
                    let before = allowance.remaining();
                    allowance.reclaim(number % 8, number);
                    out -= (allowance.remaining() - before).min(out);
                }
            }
            prop_assert!(allowance.remaining() + spent + out <= start);
        }
    }
}

/// Guards against an answer that arrives after its caller's call has ended.
#[test]
fn return_after_the_end_is_ignored() {
    let mut allowance = Allowance::new(4);
    let lent = allowance.delegate();
    assert_eq!(allowance.close(), 2);
    allowance.reclaim(lent, lent);
    assert_eq!(allowance.remaining(), 0);
    assert!(!allowance.try_spend());
}
