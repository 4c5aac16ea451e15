//! The node as a lender: shares that it has been lent, and tokens that it lends against them.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use tokio::time::Instant;

use super::{
    Allotment, Ask, AskEntry, Grant, GrantEntry, LENDERS, RESERVE_LEASE, SHARE_LEASE, Stamp,
};

/// Most reserve tokens in one grant.
const RESERVE_MAX: u32 = 2;
/// Protects whole tokens from rounding errors.
const EPSILON: f64 = 1e-6;
/// Longest time until a token is due that a lender states.
const DUE_MAX: Duration = Duration::from_secs(60);
/// Shortest time after which an organisation that no node asks for is forgotten.
const IDLE_TTL: Duration = Duration::from_secs(600);

/// Shares and tokens of one lender, by organisation.
#[derive(Debug)]
pub struct Lender<K> {
    run: u32,
    started: Instant,
    settled: Instant,
    /// Number of nodes: the largest one known here or stated with a share.
    fleet: u32,
    shares: BTreeMap<SocketAddr, Share>,
    /// When a node last asked without a stamp, as one that has just started does. Stamps from before
    /// are those of its previous process, whose messages may still arrive.
    greeted: BTreeMap<SocketAddr, Instant>,
    pools: BTreeMap<K, Pool>,
}

#[derive(Debug, Clone, Copy)]
struct Share {
    since: Instant,
    until: Instant,
    fleet: u32,
}

/// The tokens of one organisation.
#[derive(Debug)]
struct Pool {
    all: Allotment,
    tokens: f64,
    filled_at: Instant,
    asked_at: Instant,
    /// Reserve tokens that nodes may hold: number and expiry, oldest first.
    reserve: VecDeque<(u32, Instant)>,
}

impl<K: Ord + Copy> Lender<K> {
    /// A lender without shares. `run` is a random number of this process.
    pub fn new(run: u32, now: Instant) -> Self {
        Self {
            run,
            started: now,
            settled: now,
            fleet: 1,
            shares: BTreeMap::new(),
            greeted: BTreeMap::new(),
            pools: BTreeMap::new(),
        }
    }

    /// Records a node's share and grants what there is of the tokens that it asks for. `allotment`
    /// looks up what the quota of an organisation allows; nothing is lent without one.
    ///
    /// `fleet` is the number of nodes that this node knows.
    pub fn answer(
        &mut self,
        from: SocketAddr,
        ask: &Ask<K>,
        fleet: u32,
        mut allotment: impl FnMut(&K) -> Option<Allotment>,
        now: Instant,
    ) -> Grant {
        self.expire(now);
        self.set_fleet(fleet, now);
        if ask.stamp.is_none() {
            self.greeted.insert(from, now);
        }
        if let Some(until) = ask.stamp.and_then(|stamp| self.loan_end(from, stamp))
            && ask.fleet > 0
            && now < until
        {
            let fleet = ask.fleet.max(fleet);
            let since = now;
            self.lend(
                from,
                Share {
                    since,
                    until,
                    fleet,
                },
                now,
            );
        }
        let part = self.part();
        let reserve_part = self.reserve_part(now);
        let mut entries = Vec::with_capacity(ask.entries.len());
        for entry in &ask.entries {
            let Some(all) = allotment(&entry.key) else {
                self.pools.remove(&entry.key);
                entries.push(GrantEntry::default());
                continue;
            };
            let shares = &self.shares;
            let pool = self.pools.entry(entry.key);
            let pool = pool.or_insert_with(|| Pool::new(all, shares.values(), self.fleet, now));
            pool.change(all, part, now);
            entries.push(pool.grant(entry, part, reserve_part, now));
        }
        let lent = self.shares.get(&from).map(|share| share.until);
        let lent = lent.map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        Grant {
            stamp: self.stamp(now),
            fleet: self.fleet,
            // Rounded up: the node must not take the loan for expired too early.
            lent_ms: lent.as_micros().div_ceil(1_000) as u32,
            entries,
        }
    }

    /// The part of all shares that this lender has been lent.
    pub fn part(&self) -> f64 {
        (self.shares.len() as f64 / f64::from(self.fleet)).min(1.0)
    }

    /// The part of all shares on which reserve tokens may be lent: those that this lender has had for
    /// as long as reserve tokens of an earlier one are valid.
    fn reserve_part(&self, now: Instant) -> f64 {
        let shares = self.shares.values();
        let old = shares.filter(|share| now >= share.since + RESERVE_LEASE);
        (old.count() as f64 / f64::from(self.fleet)).min(1.0)
    }

    fn stamp(&self, now: Instant) -> Stamp {
        let ms = now.saturating_duration_since(self.started).as_millis();
        Stamp {
            run: self.run,
            ms: u32::try_from(ms).unwrap_or(u32::MAX),
        }
    }

    /// When a loan with this stamp expires; `None` if the stamp is not valid.
    fn loan_end(&self, from: SocketAddr, stamp: Stamp) -> Option<Instant> {
        let sent = self.started + Duration::from_millis(stamp.ms.into());
        let greeted = self.greeted.get(&from);
        // Stamps are rounded down, so one from the greeting itself may lie up to 1 ms before it.
        let is_current = greeted.is_none_or(|at| *at < sent + Duration::from_millis(1));
        (stamp.run == self.run && is_current).then_some(sent + SHARE_LEASE)
    }

    fn lend(&mut self, from: SocketAddr, share: Share, now: Instant) {
        let known = self.shares.get(&from).copied();
        if known.is_none() {
            self.settle(now);
        }
        let since = known.map_or(share.since, |known| known.since);
        // Messages may overtake each other.
        let until = known.map_or(share.until, |known| known.until.max(share.until));
        let fleet = share.fleet;
        self.shares.insert(
            from,
            Share {
                since,
                until,
                fleet,
            },
        );
    }

    /// Takes over the number of nodes that this node knows, unless an owner of a share knows more.
    fn set_fleet(&mut self, known: u32, now: Instant) {
        let stated = self.shares.values().map(|share| share.fleet);
        let fleet = stated.fold(known.max(1), u32::max);
        if fleet != self.fleet {
            self.settle(now);
            self.fleet = fleet;
            self.clip();
        }
    }

    /// Ends the loans that are over, at the time at which each ended.
    fn expire(&mut self, now: Instant) {
        loop {
            let first = self.shares.iter().min_by_key(|(_, share)| share.until);
            let Some((node, until)) = first.map(|(node, share)| (*node, share.until)) else {
                break;
            };
            if now < until {
                break;
            }
            self.settle(until);
            self.shares.remove(&node);
            self.clip();
        }
        self.greeted.retain(|_, at| now < *at + SHARE_LEASE);
        if now > self.settled + IDLE_TTL {
            self.settle(now);
            self.pools.retain(|_, pool| now < pool.idle_end());
        }
    }

    /// Credits all pools with the tokens of the time until `now`, in which the shares were the same.
    fn settle(&mut self, now: Instant) {
        let part = self.part();
        self.pools
            .values_mut()
            .for_each(|pool| pool.fill(part, now));
        self.settled = now;
    }

    /// Drops the tokens for which there are no shares any more.
    fn clip(&mut self) {
        let part = self.part();
        for pool in self.pools.values_mut() {
            pool.tokens = pool.tokens.min(pool.all.burst * part);
        }
    }
}

impl Pool {
    /// The pool of an organisation that no node has asked for since the shares were lent: each has
    /// collected tokens since then.
    fn new<'a>(
        all: Allotment,
        shares: impl Iterator<Item = &'a Share>,
        fleet: u32,
        now: Instant,
    ) -> Self {
        let collected = shares.map(|share| {
            let elapsed_s = now.saturating_duration_since(share.since).as_secs_f64();
            (elapsed_s * all.per_second).min(all.burst) / f64::from(fleet)
        });
        Self {
            all,
            tokens: collected.sum(),
            filled_at: now,
            asked_at: now,
            reserve: VecDeque::new(),
        }
    }

    fn fill(&mut self, part: f64, now: Instant) {
        let elapsed_s = now.saturating_duration_since(self.filled_at).as_secs_f64();
        let tokens = self.tokens + elapsed_s * self.all.per_second * part;
        self.tokens = tokens.min(self.all.burst * part);
        self.filled_at = self.filled_at.max(now);
    }

    /// When the pool is full if no node asks for it, so that it can be forgotten.
    fn idle_end(&self) -> Instant {
        let fill = Duration::try_from_secs_f64(self.all.burst / self.all.per_second);
        self.asked_at + fill.unwrap_or(DUE_MAX).max(IDLE_TTL)
    }

    /// Puts a changed quota in effect, from now on.
    fn change(&mut self, all: Allotment, part: f64, now: Instant) {
        self.fill(part, now);
        self.all = all;
        self.tokens = self.tokens.min(all.burst * part);
    }

    fn grant<K>(
        &mut self,
        entry: &AskEntry<K>,
        part: f64,
        reserve_part: f64,
        now: Instant,
    ) -> GrantEntry {
        self.asked_at = now;
        while self.reserve.front().is_some_and(|(_, until)| *until <= now) {
            self.reserve.pop_front();
        }
        self.take_back(entry.returned.into(), part);
        let held: u32 = self.reserve.iter().map(|(count, _)| count).sum();
        let room = (self.all.reserve * reserve_part).floor() as u32;
        let whole = (self.tokens + EPSILON).floor().max(0.0) as u32;
        let tokens = entry.need.min(whole);
        let reserve = u32::from(entry.reserve).min(RESERVE_MAX);
        let reserve = reserve.min(whole - tokens).min(room.saturating_sub(held));
        if reserve > 0 {
            self.reserve.push_back((reserve, now + RESERVE_LEASE));
        }
        self.tokens = (self.tokens - f64::from(tokens + reserve)).max(0.0);
        let is_short = tokens < entry.need;
        GrantEntry {
            tokens,
            reserve: reserve as u8,
            due_ms: if is_short { self.due_ms(part) } else { 0 },
        }
    }

    /// Credits reserve tokens that a node gives back, if they can be among those that it holds.
    fn take_back(&mut self, count: u32, part: f64) {
        let mut left = count;
        while left > 0
            && let Some((newest, _)) = self.reserve.back_mut()
        {
            let taken = left.min(*newest);
            *newest -= taken;
            left -= taken;
            if *newest == 0 {
                self.reserve.pop_back();
            }
        }
        let returned = f64::from(count - left);
        self.tokens = (self.tokens + returned).min(self.all.burst * part);
    }

    fn due_ms(&self, part: f64) -> u32 {
        let missing = (1.0 - self.tokens).max(0.0);
        // A lender that has just started gets its shares within a moment.
        let part = part.max(1.0 / LENDERS as f64);
        let wait = Duration::try_from_secs_f64(missing / (self.all.per_second * part));
        wait.unwrap_or(DUE_MAX).min(DUE_MAX).as_millis() as u32
    }
}
