//! Quotas of organisations, applied over all nodes without a common store.
//!
//! Each of the `n` nodes owns one `n`th of every quota. It lends its share to one of a few lenders
//! for [`SHARE_LEASE`] at a time, or uses it itself while no lender can be reached. A lender owns
//! the shares that it has been lent, and lends tokens against them. A node decides alone to whom it
//! lends its share, and no share is lent twice, so the sum over all nodes does not depend on
//! agreement about who lends: not with two views of the fleet, nor on two sides of a partition.
//! `docs/design/quotas.md` has the alternatives and the derivation of the constants.

mod borrower;
mod fleet;
mod lender;

use std::time::Duration;

use super::organisation::Quota;
use crate::state::id::{Digest, OrganisationName};

pub use borrower::{Borrower, Taken, Token};
pub use fleet::{FleetSize, LENDERS, lenders};
pub use lender::Lender;

/// Time for which a node lends its share, counted from the lender's time in the answer before. A
/// lender that stops takes the shares along for that long.
pub const SHARE_LEASE: Duration = Duration::from_secs(2);
/// Interval at which a node renews the loan of its share. The lender counts a loan from one interval
/// before it arrives, so two and a half of them fit into the lease.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(800);
/// Lifetime of a token that a node asks for because of its present demand.
pub const TOKEN_LEASE: Duration = Duration::from_millis(700);
/// Lifetime of a reserve token, which serves the next request of an organisation that sends few.
/// Their number is limited, see [`Allotment::reserve`].
pub const RESERVE_LEASE: Duration = Duration::from_secs(10);
/// Longest time after its start for which a node neither lends nor uses its share, because a loan of
/// its previous process may still be valid. It ends early when all lenders have answered and none has
/// such a loan.
pub const START_DELAY: Duration = SHARE_LEASE;

/// Part of the permitted overshoot of the rate that is left for nodes whose views of the fleet's
/// size differ.
const SIZE_MARGIN: f64 = 0.04;
/// Parts of the slack that add to the burst, to the tokens of a window, and to the reserve tokens.
/// They let small organisations have whole tokens at several lenders. The rest is a margin.
const SLACK_BURST: f64 = 0.25;
const SLACK_RATE: f64 = 0.2;
const SLACK_RESERVE: f64 = 0.4;
/// Part of the burst for reserve tokens.
const BURST_RESERVE: f64 = 0.15;

/// Short form of an organisation's name in messages: the first bytes of its digest. Of 10,000
/// organisations, two have the same key with a probability of 0.005%; they would share their tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QuotaKey(pub [u8; 5]);

impl QuotaKey {
    /// The key of an organisation.
    ///
    /// ```
    /// use comfreybay::state::mesh::quota::QuotaKey;
    /// let key = |name: &str| QuotaKey::of(&name.parse().expect("a valid name"));
    /// assert_ne!(key("a"), key("b"));
    /// ```
    pub fn of(name: &OrganisationName) -> Self {
        let Digest([a, b, c, d, e, ..]) = Digest::of(name.as_str().as_bytes());
        Self([a, b, c, d, e])
    }
}

/// Limits on what all nodes together serve of an organisation in any window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// Length of the window.
    pub window: Duration,
    /// Part of rate and burst by which the sum may be exceeded.
    pub overshoot: f64,
    /// Requests that are allowed in addition.
    pub slack: f64,
}

impl Default for QuotaBounds {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            overshoot: 0.25,
            slack: 20.0,
        }
    }
}

impl QuotaBounds {
    /// The most requests that may be served in a window.
    ///
    /// ```
    /// use comfreybay::state::mesh::{organisation::Quota, quota::QuotaBounds};
    /// let quota = Quota { per_second: 10.0, burst: 14.0 };
    /// assert_eq!(QuotaBounds::default().max(&quota), 100.0);
    /// ```
    pub fn max(&self, quota: &Quota) -> f64 {
        let base = quota.per_second * self.window.as_secs_f64() + quota.burst;
        base * (1.0 + self.overshoot) + self.slack
    }

    /// What all shares of a quota together allow.
    ///
    /// In a window, at most `per_second` x (window + token lease) + `burst` + `reserve` tokens are
    /// used: those lent in it, and those lent before and still valid. That fits within [`Self::max`].
    ///
    /// ```
    /// use comfreybay::state::mesh::{organisation::Quota, quota::QuotaBounds};
    /// let quota = Quota { per_second: 431.0, burst: 431.0 };
    /// let bounds = QuotaBounds::default();
    /// let all = bounds.allotment(&quota);
    /// assert!(all.per_second >= 431.0 && all.burst >= 431.0);
    /// assert!(all.per_second * 5.7 + all.burst + all.reserve < bounds.max(&quota));
    /// ```
    pub fn allotment(&self, quota: &Quota) -> Allotment {
        let window_s = self.window.as_secs_f64();
        let lease_s = TOKEN_LEASE.as_secs_f64();
        let usable = window_s * (1.0 + self.overshoot - SIZE_MARGIN) / (window_s + lease_s);
        let rate = usable.min(1.0 + self.overshoot);
        let extra_per_s = self.slack * SLACK_RATE / (window_s + lease_s);
        let burst_reserve = BURST_RESERVE.min(self.overshoot * 0.6);
        Allotment {
            per_second: quota.per_second * rate + extra_per_s,
            burst: quota.burst + self.slack * SLACK_BURST,
            reserve: quota.burst * burst_reserve + self.slack * SLACK_RESERVE,
        }
    }
}

/// What all shares of a quota together allow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allotment {
    /// Tokens per second.
    pub per_second: f64,
    /// Most tokens that collect while none is used.
    pub burst: f64,
    /// Most reserve tokens that nodes hold at a time.
    pub reserve: f64,
}

/// Time of a lender, which a node sends back with the next loan of its share.
///
/// The lender counts the loan from this time: it lies before the node's message, however long that
/// was on the way. So the lender takes the loan for expired no later than the node does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Stamp {
    /// Random number of the lender's process; others' stamps are not accepted.
    pub run: u32,
    /// Milliseconds since that process started.
    pub ms: u32,
}

/// Message of a node to a lender.
#[derive(Debug, Clone, PartialEq)]
pub struct Ask<K> {
    /// Number of nodes, of which the node owns one share; 0 if it lends none now.
    pub fleet: u32,
    /// Time that the lender sent last.
    pub stamp: Option<Stamp>,
    /// The organisations that it needs tokens of.
    pub entries: Vec<AskEntry<K>>,
}

/// What a node asks for one organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AskEntry<K> {
    /// The organisation.
    pub key: K,
    /// Tokens for requests that wait or are about to come.
    pub need: u32,
    /// Reserve tokens.
    pub reserve: u8,
    /// Reserve tokens of this lender that the node gives back.
    pub returned: u8,
}

/// Answer of a lender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The lender's time.
    pub stamp: Stamp,
    /// Largest number of nodes that the lender or a node that has lent it a share knows.
    pub fleet: u32,
    /// Time until the loan of the node's share to this lender expires, in ms; 0 without one. A node
    /// that has just started learns of the loans of its previous process.
    pub lent_ms: u32,
    /// One entry for each of the message, in the same order.
    pub entries: Vec<GrantEntry>,
}

/// What a lender grants for one organisation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GrantEntry {
    /// Tokens valid for [`TOKEN_LEASE`].
    pub tokens: u32,
    /// Tokens valid for [`RESERVE_LEASE`].
    pub reserve: u8,
    /// Time until the lender has another token, in ms, if it had too few.
    pub due_ms: u32,
}
