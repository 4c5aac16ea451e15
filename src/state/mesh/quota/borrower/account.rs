//! The tokens of one organisation at a node, and its demand.

use std::{net::SocketAddr, time::Duration};

use tokio::time::Instant;

use super::super::{Allotment, TOKEN_LEASE};

/// Time over which the demand is averaged.
const DEMAND_TIME_S: f64 = 1.0;
/// Time for which tokens are asked in advance; shorter than the life of a token, because demand
/// varies and what is not used is lost.
const AHEAD_S: f64 = 0.5;
/// Number of standard deviations by which the requests of that time may stay below their mean while
/// all tokens asked in advance are still used. Tokens that expire unused are missing at other nodes:
/// one for each request of a node that gets about one a second takes half as much again as is served.
const AHEAD_DEVIATIONS: f64 = 1.0;
/// Time after the last request of an organisation for which tokens are asked in advance. Its callers
/// may have moved to other nodes, which need the tokens.
const AHEAD_IDLE: Duration = Duration::from_millis(300);
/// Time after the last request of an organisation for which a reserve token is held for it.
const RESERVE_IDLE: Duration = Duration::from_secs(5);
/// Bound on the factor by which callers over quota come back later than the next token is due.
const SPREAD_MAX: f64 = 10.0;

#[derive(Debug)]
pub(super) struct Account {
    pub(super) all: Allotment,
    pub(super) lots: Vec<Lot>,
    pub(super) demand: Mean,
    pub(super) taken: Mean,
    pub(super) waiting: u32,
    /// Tokens that the lenders asked in this round did not have.
    pub(super) missing: u32,
    /// Tokens that were asked in advance.
    pub(super) ahead: u32,
    pub(super) due: Option<Duration>,
    pub(super) over_until: Instant,
    pub(super) requested_at: Instant,
    pub(super) reserve_after: Instant,
    pub(super) own: OwnShare,
}

/// Tokens with the same end.
#[derive(Debug, Clone, Copy)]
pub(super) struct Lot {
    pub(super) count: u32,
    pub(super) until: Instant,
    /// The lender and its process, if they are reserve tokens.
    pub(super) lender: Option<(SocketAddr, u32)>,
}

/// Tokens of the node's own share, since it has not been lent.
#[derive(Debug, Clone, Copy)]
pub(super) struct OwnShare {
    pub(super) since: Instant,
    pub(super) filled_at: Instant,
    pub(super) tokens: f64,
}

/// Events per second, averaged with exponentially decreasing weight.
#[derive(Debug, Clone, Copy)]
pub(super) struct Mean {
    pub(super) per_second: f64,
    pub(super) at: Instant,
}

impl Account {
    pub(super) fn new(all: Allotment, now: Instant) -> Self {
        let mean = Mean {
            per_second: 0.0,
            at: now,
        };
        Self {
            all,
            lots: Vec::new(),
            demand: mean,
            taken: mean,
            waiting: 0,
            missing: 0,
            ahead: 0,
            due: None,
            over_until: now,
            requested_at: now,
            reserve_after: now,
            own: OwnShare {
                since: now,
                filled_at: now,
                tokens: 0.0,
            },
        }
    }

    pub(super) fn change(&mut self, all: Allotment) {
        if all.per_second < self.all.per_second || all.burst < self.all.burst {
            self.lots.clear();
            self.own.tokens = 0.0;
        }
        self.all = all;
    }

    pub(super) fn held(&self) -> u32 {
        self.lots.iter().map(|lot| lot.count).sum()
    }

    pub(super) fn add(&mut self, count: u32, until: Instant, lender: Option<(SocketAddr, u32)>) {
        if count > 0 {
            self.lots.push(Lot {
                count,
                until,
                lender,
            });
        }
    }

    /// Takes the token that expires first; returns its end.
    pub(super) fn take_lot(&mut self) -> Option<Instant> {
        let lots = self.lots.iter_mut().filter(|lot| lot.count > 0);
        let lot = lots.min_by_key(|lot| lot.until)?;
        lot.count -= 1;
        Some(lot.until)
    }

    /// The tokens to ask for: for present demand, and reserve ones.
    pub(super) fn needs(&mut self, now: Instant) -> (u32, u8) {
        if now < self.over_until {
            return (0, 0);
        }
        let held = self.held();
        self.ahead = match now < self.requested_at + AHEAD_IDLE {
            true => self.expected_requests(now),
            false => 0,
        };
        let need = self.waiting.saturating_add(self.ahead).saturating_sub(held);
        let is_recent = now < self.requested_at + RESERVE_IDLE;
        let reserve = is_recent && held == 0 && now >= self.reserve_after;
        (need, reserve.into())
    }

    /// Number of requests that are very likely to come while tokens asked for now are valid.
    pub(super) fn expected_requests(&self, now: Instant) -> u32 {
        // The average contains the request that is being counted.
        let others = (self.demand.get(now) - 1.0 / DEMAND_TIME_S).max(0.0);
        let mean = others * AHEAD_S;
        (mean - AHEAD_DEVIATIONS * mean.sqrt()).max(0.0) as u32
    }

    /// Removes the reserve tokens of a lender if no request has come for some time.
    pub(super) fn take_idle_reserve(&mut self, lender: (SocketAddr, u32), now: Instant) -> u8 {
        if now < self.requested_at + RESERVE_IDLE {
            return 0;
        }
        let of_lender = |lot: &mut Lot| lot.lender == Some(lender);
        let lots: Vec<_> = self.lots.extract_if(.., of_lender).collect();
        let count: u32 = lots.iter().map(|lot| lot.count).sum();
        u8::try_from(count).unwrap_or(u8::MAX)
    }

    /// Time until a token is due for a caller. Of the callers over quota, only a part can be served
    /// then, so they come back over a time that grows with the excess.
    pub(super) fn due(&self, now: Instant) -> Duration {
        let excess = self.demand.get(now) / self.taken.get(now).max(f64::MIN_POSITIVE);
        let due = self.over_until.saturating_duration_since(now);
        due.mul_f64(excess.clamp(1.0, SPREAD_MAX))
    }
}

impl OwnShare {
    /// Takes a token of the share, which has not been lent since `since`.
    pub(super) fn try_take(
        &mut self,
        all: &Allotment,
        part: f64,
        since: Instant,
        now: Instant,
    ) -> Option<Instant> {
        if now <= since {
            return None;
        }
        if since > self.since {
            *self = Self {
                since,
                filled_at: since,
                tokens: 0.0,
            };
        }
        let elapsed_s = now.saturating_duration_since(self.filled_at).as_secs_f64();
        let tokens = self.tokens + elapsed_s * all.per_second * part;
        self.tokens = tokens.min(all.burst * part);
        self.filled_at = now;
        if self.tokens < 1.0 {
            return None;
        }
        self.tokens -= 1.0;
        Some(now + TOKEN_LEASE)
    }
}

impl Mean {
    pub(super) fn get(&self, now: Instant) -> f64 {
        let elapsed_s = now.saturating_duration_since(self.at).as_secs_f64();
        self.per_second * (-elapsed_s / DEMAND_TIME_S).exp()
    }

    pub(super) fn add(&mut self, now: Instant) {
        self.per_second = self.get(now) + 1.0 / DEMAND_TIME_S;
        self.at = now;
    }
}
