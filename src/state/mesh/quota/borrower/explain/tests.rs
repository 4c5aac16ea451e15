//! Guards against a stated standing that differs from what a request gets.

use std::{net::SocketAddr, time::Duration};

use super::{
    super::super::{Grant, GrantEntry, QuotaBounds, Stamp},
    *,
};
use crate::state::mesh::{organisation::Quota, quota::Taken};

const NODES: u32 = 3;

/// Guards against an organisation that is shown as over its quota and served, or the reverse, and
/// against a question that takes a token.
#[test]
fn standing_is_what_the_next_request_gets() {
    let lender: SocketAddr = "127.0.0.1:1".parse().expect("valid address");
    let quota = Quota {
        per_second: 20.0,
        burst: 5.0,
    };
    let all = QuotaBounds::default().allotment(&quota);
    let mut seen = [0; 3];
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut now = Instant::now();
        let mut borrower = Borrower::new(now);
        for _ in 0..60 {
            now += Duration::from_millis(rng.u64(..600));
            let key = rng.u8(..2);
            if rng.u8(..3) == 0 {
                let ask = borrower.ask(lender, rng.bool(), NODES, now);
                let entry = |_: &_| GrantEntry {
                    tokens: rng.u32(..3),
                    reserve: 0,
                    due_ms: rng.u32(..500),
                };
                let grant = Grant {
                    stamp: Stamp { run: 1, ms: 1 },
                    fleet: NODES,
                    lent_ms: 0,
                    entries: ask.entries.iter().map(entry).collect(),
                };
                borrower.granted(lender, &ask, &grant, now, now);
                borrower.end_round(&[lender], now);
                continue;
            }
            borrower.request(key, all, now);
            let before = format!("{borrower:?}");
            let standing = borrower.standing(key, NODES, now);
            assert_eq!(format!("{borrower:?}"), before, "seed {seed}");
            let taken = match borrower.try_take(key, NODES, now) {
                Taken::Token(_) => QuotaStanding::Within,
                Taken::Ask => QuotaStanding::Asks,
                Taken::Over(_) => QuotaStanding::Over,
            };
            assert_eq!(standing, taken, "seed {seed}");
            if taken == QuotaStanding::Asks {
                borrower.set_waiting(key, 1);
            }
            seen[taken as usize] += 1;
        }
    }
    assert!(seen.iter().all(|count| *count > 100), "{seen:?}");
}
