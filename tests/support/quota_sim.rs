//! A simulated fleet of nodes that exchange shares and tokens, in virtual time.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use comfreybay::state::mesh::{
    organisation::Quota,
    quota::{
        Allotment, Ask, Borrower, FleetSize, Grant, Lender, QuotaBounds, RENEW_INTERVAL, Taken,
        lenders,
    },
};
use tokio::time::Instant;

/// Step of the simulation.
pub const STEP_MS: u64 = 10;
/// Time after which a node gives up an answer.
pub const TIMEOUT_MS: u64 = 40;

pub type Key = u16;

pub fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 80))
}

pub struct SimNode {
    pub borrower: Borrower<Key>,
    pub lender: Lender<Key>,
    pub size: FleetSize,
    /// Nodes that it knows, and the quotas of its configuration.
    pub view: BTreeSet<SocketAddr>,
    pub quotas: BTreeMap<Key, Quota>,
    pub down_until: Instant,
    pub paused_until: Instant,
    /// Messages that arrive while it is paused or that are late on the way: sender, sent, message.
    pub inbox: Vec<(usize, Instant, Ask<Key>)>,
}

/// A fleet whose nodes exchange messages at once, or late, or not at all.
pub struct Sim {
    pub bounds: QuotaBounds,
    pub start: Instant,
    pub now: Instant,
    pub nodes: Vec<SimNode>,
    /// Side of a partition of each node.
    pub side: Vec<u8>,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Share of messages that arrive long after the sender has given them up.
    pub late: f64,
    pub rng: fastrand::Rng,
    pub served: BTreeMap<Key, Vec<Instant>>,
    pub refused: BTreeMap<Key, u64>,
    pub messages: u64,
    pub entries: u64,
}

impl Sim {
    pub fn new(count: usize, quotas: &[(Key, Quota)], seed: u64) -> Self {
        let start = Instant::now();
        let quotas: BTreeMap<_, _> = quotas.iter().copied().collect();
        let view: BTreeSet<_> = (0..count).map(addr).collect();
        let mut sim = Self {
            bounds: QuotaBounds::default(),
            start,
            now: start,
            nodes: Vec::new(),
            side: vec![0; count],
            loss: 0.0,
            late: 0.0,
            rng: fastrand::Rng::with_seed(seed),
            served: BTreeMap::new(),
            refused: BTreeMap::new(),
            messages: 0,
            entries: 0,
        };
        for n in 0..count {
            let node = sim.fresh(n, view.clone(), quotas.clone());
            sim.nodes.push(node);
        }
        sim
    }

    pub fn fresh(
        &mut self,
        n: usize,
        view: BTreeSet<SocketAddr>,
        quotas: BTreeMap<Key, Quota>,
    ) -> SimNode {
        let mut size = FleetSize::default();
        size.update(view.clone(), &BTreeSet::new(), self.now);
        let run = self.rng.u32(..) ^ n as u32;
        SimNode {
            borrower: Borrower::new(self.now),
            lender: Lender::new(run, self.now),
            size,
            view,
            quotas,
            down_until: self.now,
            paused_until: self.now,
            inbox: Vec::new(),
        }
    }

    /// Replaces a node by one that has just started, after `gap`.
    pub fn restart(&mut self, n: usize, gap: Duration) {
        let (view, quotas) = (self.nodes[n].view.clone(), self.nodes[n].quotas.clone());
        self.nodes[n] = self.fresh(n, view, quotas);
        self.nodes[n].down_until = self.now + gap;
    }

    pub fn set_view(
        &mut self,
        n: usize,
        view: BTreeSet<SocketAddr>,
        leaving: &BTreeSet<SocketAddr>,
    ) {
        let now = self.now;
        self.nodes[n].size.update(view.clone(), leaving, now);
        self.nodes[n].view = view;
    }

    pub fn set_quota(&mut self, n: usize, key: Key, quota: Quota) {
        let bounds = self.bounds;
        let node = &mut self.nodes[n];
        node.quotas.insert(key, quota);
        let quotas = &node.quotas;
        node.borrower
            .set_quotas(|key| quotas.get(key).map(|q| bounds.allotment(q)));
    }

    pub fn is_up(&self, n: usize) -> bool {
        self.now >= self.nodes[n].down_until && self.now >= self.nodes[n].paused_until
    }

    pub fn allotment(&self, n: usize, key: Key) -> Allotment {
        self.bounds.allotment(&self.nodes[n].quotas[&key])
    }

    /// A caller's request at node `n`; returns whether it is served.
    pub fn request(&mut self, n: usize, key: Key) -> bool {
        if !self.is_up(n) {
            return true;
        }
        let (now, all) = (self.now, self.allotment(n, key));
        let fleet = self.nodes[n].size.get(now);
        let node = &mut self.nodes[n];
        node.borrower.request(key, all, now);
        let mut taken = node.borrower.try_take(key, fleet, now);
        if taken == Taken::Ask {
            node.borrower.set_waiting(key, 1);
            self.round(n);
            let node = &mut self.nodes[n];
            taken = node.borrower.try_take(key, fleet, now);
            node.borrower.set_waiting(key, -1);
        }
        let is_served = matches!(taken, Taken::Token(_));
        match is_served {
            true => self.served.entry(key).or_default().push(now),
            false => *self.refused.entry(key).or_default() += 1,
        }
        is_served
    }

    /// Node `n` asks its lenders.
    pub fn round(&mut self, n: usize) {
        let now = self.now;
        let known = lenders(addr(n), self.nodes[n].view.iter().copied());
        let order = self.nodes[n].borrower.order(&known, now);
        let mut lends = true;
        for to in order {
            let fleet = self.nodes[n].size.get(now);
            let ask = self.nodes[n].borrower.ask(to, lends, fleet, now);
            let is_starting = self.nodes[n].borrower.is_starting(now);
            if !lends && ask.entries.is_empty() && !is_starting {
                break;
            }
            match self.exchange(n, to, &ask) {
                Some(grant) => {
                    self.nodes[n].borrower.granted(to, &ask, &grant, now, now);
                    if is_starting {
                        self.nodes[n].size.learn(grant.fleet, now);
                    }
                    lends = false;
                }
                None => self.nodes[n].borrower.unreachable(to, now),
            }
            if !lends && !is_starting && !self.nodes[n].borrower.is_short() {
                break;
            }
        }
        self.nodes[n].borrower.end_round(&known, now);
    }

    pub fn exchange(&mut self, from: usize, to: SocketAddr, ask: &Ask<Key>) -> Option<Grant> {
        let at = (0..self.nodes.len()).find(|n| addr(*n) == to)?;
        self.messages += 1;
        self.entries += ask.entries.len() as u64;
        let is_cut = self.side[from] != self.side[at];
        let is_late = self.rng.f64() < self.late;
        if at != from && (is_cut || is_late || !self.is_up(at)) {
            // It may still arrive when the cut is healed or the node resumed, with no use for the
            // sender.
            if self.now >= self.nodes[at].down_until {
                let (now, ask) = (self.now, ask.clone());
                self.nodes[at].inbox.push((from, now, ask));
            }
            return None;
        }
        if at != from && self.rng.f64() < self.loss {
            return None;
        }
        let grant = self.answer(at, from, ask);
        // The answer may be lost, too.
        (at == from || self.rng.f64() >= self.loss).then_some(grant)
    }

    pub fn answer(&mut self, at: usize, from: usize, ask: &Ask<Key>) -> Grant {
        let (now, bounds) = (self.now, self.bounds);
        let node = &mut self.nodes[at];
        let fleet = node.size.get(now);
        let quotas = &node.quotas;
        let allotment = |key: &Key| quotas.get(key).map(|q| bounds.allotment(q));
        node.lender.answer(addr(from), ask, fleet, allotment, now)
    }

    /// Delivers late messages and renews the loans that are due.
    pub fn step(&mut self) {
        self.now += Duration::from_millis(STEP_MS);
        for n in 0..self.nodes.len() {
            if !self.is_up(n) {
                continue;
            }
            let inbox = std::mem::take(&mut self.nodes[n].inbox);
            for (from, sent, ask) in inbox {
                let is_due = self.now >= sent + Duration::from_millis(TIMEOUT_MS);
                match is_due && self.side[from] == self.side[n] {
                    true => drop(self.answer(n, from, &ask)),
                    false => self.nodes[n].inbox.push((from, sent, ask)),
                }
            }
            let is_due = self.nodes[n].borrower.renew_at() <= self.now;
            let phase = n as u64 * STEP_MS % RENEW_INTERVAL.as_millis() as u64;
            let is_first = self.now >= self.start + Duration::from_millis(phase);
            if is_due && is_first {
                self.round(n);
            }
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// The most requests of an organisation served in any window, from `since` on.
    pub fn worst(&self, key: Key, since: Instant) -> usize {
        let empty = Vec::new();
        let served = self.served.get(&key).unwrap_or(&empty);
        let served: Vec<_> = served.iter().filter(|at| **at >= since).collect();
        let mut first = 0;
        let counts = served.iter().enumerate().map(|(last, at)| {
            while *served[first] + self.bounds.window <= **at {
                first += 1;
            }
            last + 1 - first
        });
        counts.max().unwrap_or(0)
    }
}
