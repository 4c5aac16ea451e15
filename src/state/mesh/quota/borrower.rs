//! The node as a borrower: the tokens that it holds for requests of its callers, and its own share.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use tokio::time::Instant;

use super::{
    Allotment, Ask, AskEntry, Grant, RENEW_INTERVAL, RESERVE_LEASE, SHARE_LEASE, START_DELAY,
    Stamp, TOKEN_LEASE,
};

mod account;
mod explain;

use account::{Account, Lot};

/// Pause after a lender had no reserve token.
const RESERVE_PAUSE: Duration = Duration::from_secs(4);
/// Shortest and longest time for which no token is asked for after all lenders had too few. It
/// bounds the messages for an organisation over its quota.
const PAUSE_MIN: Duration = Duration::from_millis(200);
const PAUSE_MAX: Duration = Duration::from_secs(1);
/// Interval at which a node tries to lend its share while it is not lent.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which a lender that has not answered is asked last.
const DOWN_TIME: Duration = Duration::from_secs(1);
/// Time after which an organisation without requests is forgotten.
const IDLE_TTL: Duration = Duration::from_secs(30);

/// A token that a request has taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Token {
    until: Instant,
}

/// Whether a request may be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    /// It has a token.
    Token(Token),
    /// There is no token here; the lenders have to be asked.
    Ask,
    /// The organisation is over its quota; a token is due for its callers after this time.
    Over(Duration),
}

/// Tokens and the share of one node.
#[derive(Debug)]
pub struct Borrower<K> {
    started: Instant,
    /// Whether a lender has answered, which tells a node that has just started how many nodes own
    /// shares.
    is_informed: bool,
    /// The lenders that have answered since the node started; `None` once all have.
    answered: Option<BTreeSet<SocketAddr>>,
    /// The share is lent to this lender until then.
    lent_to: Option<SocketAddr>,
    lent_until: Instant,
    tried_at: Option<Instant>,
    is_lent: bool,
    down: BTreeMap<SocketAddr, Instant>,
    stamps: BTreeMap<SocketAddr, Stamp>,
    accounts: BTreeMap<K, Account>,
    expired: u64,
    returned: u64,
}

impl<K: Ord + Copy> Borrower<K> {
    /// The state of a node that starts now.
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            is_informed: false,
            answered: Some(BTreeSet::new()),
            lent_to: None,
            lent_until: now + START_DELAY,
            tried_at: None,
            is_lent: false,
            down: BTreeMap::new(),
            stamps: BTreeMap::new(),
            accounts: BTreeMap::new(),
            expired: 0,
            returned: 0,
        }
    }

    /// Records a request of an organisation with a quota, before its first [`Self::try_take`].
    pub fn request(&mut self, key: K, all: Allotment, now: Instant) {
        let account = self.accounts.entry(key);
        let account = account.or_insert_with(|| Account::new(all, now));
        account.change(all);
        account.demand.add(now);
        account.requested_at = now;
    }

    /// Takes a token for a request. `fleet` is the number of nodes.
    pub fn try_take(&mut self, key: K, fleet: u32, now: Instant) -> Taken {
        self.purge(key, now);
        let (since, Some(account)) = (self.lent_until, self.accounts.get_mut(&key)) else {
            return Taken::Ask;
        };
        let until = account.take_lot();
        let is_informed = self.is_informed;
        let until = until.or_else(|| {
            let part = 1.0 / f64::from(fleet);
            if !is_informed {
                return None;
            }
            account.own.try_take(&account.all, part, since, now)
        });
        if let Some(until) = until {
            account.taken.add(now);
            return Taken::Token(Token { until });
        }
        match account.over_until > now {
            true => Taken::Over(account.due(now)),
            false => Taken::Ask,
        }
    }

    /// Returns the token of a request that did not run.
    pub fn give_back(&mut self, key: K, token: Token, now: Instant) {
        let until = token.until.min(now + TOKEN_LEASE);
        if let Some(account) = self.accounts.get_mut(&key)
            && now < until
        {
            let (count, lender) = (1, None);
            account.lots.push(Lot {
                count,
                until,
                lender,
            });
            self.returned += 1;
        }
    }

    /// Changes the number of requests of an organisation that wait for an answer of the lenders.
    pub fn set_waiting(&mut self, key: K, change: i32) {
        if let Some(account) = self.accounts.get_mut(&key) {
            account.waiting = account.waiting.saturating_add_signed(change);
        }
    }

    /// Puts changed quotas in effect; tokens of a lowered one are dropped. `allotment` returns
    /// nothing for organisations without a quota.
    pub fn set_quotas(&mut self, mut allotment: impl FnMut(&K) -> Option<Allotment>) {
        self.accounts.retain(|key, account| match allotment(key) {
            Some(all) => {
                account.change(all);
                true
            }
            None => false,
        });
    }

    /// When the loan of the share has to be renewed.
    pub fn renew_at(&self) -> Instant {
        match self.tried_at {
            None => self.started,
            Some(at) if self.is_lent => at + RENEW_INTERVAL,
            Some(at) => at + RETRY_INTERVAL,
        }
    }

    /// Whether the node has just started: it asks all lenders how many nodes own shares, and whether
    /// they have a loan of its previous process.
    pub fn is_starting(&self, now: Instant) -> bool {
        self.answered.is_some() && now < self.started + START_DELAY
    }

    /// The order in which to ask the lenders: first the one that the share is lent to, because a
    /// share that changes hands is lost for a moment; last those that have not answered.
    pub fn order(&self, lenders: &[SocketAddr], now: Instant) -> Vec<SocketAddr> {
        let mut order = lenders.to_vec();
        let is_down = |at: &SocketAddr| self.down.get(at).is_some_and(|until| now < *until);
        let lent_to = self.lent_to(now);
        order.sort_by_key(|at| (is_down(at), lent_to != Some(*at)));
        order
    }

    /// The lender that the share is lent to.
    pub fn lent_to(&self, now: Instant) -> Option<SocketAddr> {
        self.lent_to.filter(|_| now < self.lent_until)
    }

    /// The message to a lender. `may_lend`: whether the share may be lent to it, as to the first lender
    /// that answers. The message has to be sent at once: the share counts as lent from now on.
    pub fn ask(&mut self, to: SocketAddr, may_lend: bool, fleet: u32, now: Instant) -> Ask<K> {
        let keys: Vec<_> = self.accounts.keys().copied().collect();
        keys.into_iter().for_each(|key| self.purge(key, now));
        let idle = |a: &Account| a.lots.is_empty() && a.waiting == 0;
        self.accounts
            .retain(|_, a| !idle(a) || now < a.requested_at + IDLE_TTL);
        let stamp = self.stamps.get(&to).copied();
        let run = stamp.map(|stamp| stamp.run);
        let mut entries = Vec::new();
        for (key, account) in &mut self.accounts {
            let returned = run.map_or(0, |run| account.take_idle_reserve((to, run), now));
            self.returned += u64::from(returned);
            let (need, reserve) = account.needs(now);
            account.missing = need;
            if need > 0 || reserve > 0 || returned > 0 {
                entries.push(AskEntry {
                    key: *key,
                    need,
                    reserve,
                    returned,
                });
            }
        }
        let is_free = now >= self.lent_until || self.lent_to == Some(to);
        // Without a stamp, the loan follows with the next message.
        let lends = may_lend && is_free && stamp.is_some();
        if may_lend {
            self.tried_at = Some(now);
            self.is_lent = lends;
        }
        if lends {
            self.lent_to = Some(to);
            self.lent_until = self.lent_until.max(now + SHARE_LEASE);
        }
        let fleet = if lends { fleet } else { 0 };
        Ask {
            fleet,
            stamp,
            entries,
        }
    }

    /// Records the answer to a message that was sent at `sent`.
    pub fn granted(
        &mut self,
        from: SocketAddr,
        ask: &Ask<K>,
        grant: &Grant,
        sent: Instant,
        now: Instant,
    ) {
        self.is_informed = true;
        let known = self.stamps.insert(from, grant.stamp);
        if self.lent_to == Some(from) && known.is_some_and(|stamp| stamp.run != grant.stamp.run) {
            // The lender has restarted and lost the loan; it gets the share at once.
            self.tried_at = None;
        }
        self.down.remove(&from);
        self.record_earlier_loan(from, grant, now);
        for (asked, entry) in ask.entries.iter().zip(&grant.entries) {
            let Some(account) = self.accounts.get_mut(&asked.key) else {
                continue;
            };
            // A lender that grants more than was asked for does not keep to the protocol.
            let tokens = entry.tokens.min(asked.need);
            let reserve = u32::from(entry.reserve.min(asked.reserve));
            account.add(tokens, sent + TOKEN_LEASE, None);
            let lender = Some((from, grant.stamp.run));
            account.add(reserve, sent + RESERVE_LEASE, lender);
            if reserve < u32::from(asked.reserve) {
                account.reserve_after = now + RESERVE_PAUSE;
            }
            account.missing = asked.need - tokens;
            if account.missing > 0 {
                let due = Duration::from_millis(entry.due_ms.into());
                account.due = Some(account.due.map_or(due, |known| known.min(due)));
            }
        }
    }

    /// Records, while the node is starting, whether a lender has a loan of the previous process.
    fn record_earlier_loan(&mut self, from: SocketAddr, grant: &Grant, now: Instant) {
        let Some(answered) = &mut self.answered else {
            return;
        };
        answered.insert(from);
        if grant.lent_ms > 0 {
            self.lent_to = Some(from);
            self.lent_until = now + Duration::from_millis(grant.lent_ms.into());
        }
    }

    /// Ends the start of the node if all of these lenders have answered. Its share is free, or lent
    /// to the lender that has the loan of its previous process.
    fn end_start(&mut self, lenders: &[SocketAddr], now: Instant) {
        let Some(answered) = &self.answered else {
            return;
        };
        if lenders.is_empty() || !lenders.iter().all(|lender| answered.contains(lender)) {
            return;
        }
        self.answered = None;
        if self.lent_to.is_none() {
            self.lent_until = now;
        }
        self.tried_at = None;
    }

    /// Records that a lender has not answered. The share is lent to it again only after an answer.
    pub fn unreachable(&mut self, lender: SocketAddr, now: Instant) {
        self.stamps.remove(&lender);
        self.down.retain(|_, until| now < *until);
        self.down.insert(lender, now + DOWN_TIME);
    }

    /// Whether requests wait, or will soon, for which the lenders asked so far had no token.
    pub fn is_short(&self) -> bool {
        self.accounts.values().any(|a| a.missing > 0)
    }

    /// Ends a round in which `lenders` were asked. Organisations whose requests waited for more tokens
    /// than there were are over their quota for a moment.
    pub fn end_round(&mut self, lenders: &[SocketAddr], now: Instant) {
        self.end_start(lenders, now);
        for account in self.accounts.values_mut() {
            let due = account.due.take();
            if account.missing > account.ahead {
                let pause = due.unwrap_or(PAUSE_MIN).clamp(PAUSE_MIN, PAUSE_MAX);
                account.over_until = now + pause;
            }
            account.missing = 0;
        }
    }

    /// Numbers of tokens that have expired unused and that were returned, since the last call.
    pub fn take_counts(&mut self) -> (u64, u64) {
        (
            std::mem::take(&mut self.expired),
            std::mem::take(&mut self.returned),
        )
    }

    /// Number of organisations that are active here.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether no organisation with a quota is active here.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    fn purge(&mut self, key: K, now: Instant) {
        let Some(account) = self.accounts.get_mut(&key) else {
            return;
        };
        let before = account.held();
        account.lots.retain(|lot| now < lot.until && lot.count > 0);
        self.expired += u64::from(before - account.held());
    }
}
