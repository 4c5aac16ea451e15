//! State that the tasks of the control plane share.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::Control;
use crate::{
    coordination::{
        follow::{Assembly, FollowError, Follower},
        gate::{Gate, GateState},
        leave::LeaveTracker,
        membership::{ACCEPTED_MAX, ReaderElection, estimate_zone_size},
        router::Router,
    },
    protocol::{
        message::{Claim, Heartbeat, Hello, Status, VERSION, digest_prefix},
        peer_capnp::node,
    },
    state::{
        counters::{Counter, Counters},
        id::{Fingerprint, Incarnation, Revision, ServiceName, UpstreamName, ZoneName},
        journal::{DecisionKind, Journal},
        settings::Settings,
        store::{ConfigStore, OfferOutcome},
        view::{NodeState, PeerView},
        watch,
    },
    transport::net::Net,
};

/// A tick of the clock watch.
pub const TICK_MS: u64 = 100;
/// A tick that is later than this means that the process was paused.
const PAUSE_MS: u64 = 1_000;

/// Who is at the other end of a link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    pub name: UpstreamName,
    pub service: ServiceName,
    pub zone: ZoneName,
    pub incarnation: Incarnation,
}

/// An established link to a peer.
#[derive(Clone)]
pub struct Link {
    pub id: u64,
    pub client: node::Client,
    pub identity: Identity,
    pub dialled: bool,
    pub revision: Revision,
    pub heard: Instant,
}

/// What links are to tell at once instead of with the next heartbeat.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Urgent {
    pub revisions: u64,
    pub news: u64,
}

/// A newer revision that a peer named.
#[derive(Debug, Clone)]
pub struct Hint {
    pub revision: Revision,
    pub from: UpstreamName,
    pub at: Instant,
}

/// State of the control plane.
pub struct Shared<N: Net> {
    pub net: N,
    pub settings: Settings,
    pub store: Rc<ConfigStore>,
    pub gate: Gate,
    pub router: Router,
    pub counters: Rc<Counters>,
    pub journal: Rc<RefCell<Journal>>,
    pub rng: RefCell<fastrand::Rng>,
    pub incarnation: Incarnation,
    pub leaving: CancellationToken,
    pub leave: RefCell<LeaveTracker>,
    pub view: RefCell<PeerView>,
    pub readers: RefCell<ReaderElection>,
    pub follower: Follower,
    pub links: RefCell<BTreeMap<UpstreamName, Link>>,
    pub lists: RefCell<BTreeMap<UpstreamName, (u32, Instant)>>,
    pub dialling: RefCell<BTreeSet<UpstreamName>>,
    pub list_heard: Cell<Option<Instant>>,
    pub urgent: watch::Sender<Urgent>,
    pub hint: watch::Sender<Option<Hint>>,
    /// Raised when a pause was detected; all links end and are dialled again.
    pub woken: watch::Sender<u64>,
    pub state: Cell<NodeState>,
    pub last_tick: Cell<Instant>,
    next_link: Cell<u64>,
    pub known_suspects: RefCell<BTreeMap<Fingerprint, bool>>,
}

impl<N: Net> Shared<N> {
    pub fn new(control: Control<N>) -> Rc<Self> {
        let now = Instant::now();
        let name = control.settings.name.clone();
        let zone = control.settings.zone.clone();
        Rc::new(Self {
            net: control.net,
            follower: Follower::new(control.store.clone()),
            store: control.store,
            gate: control.gate,
            router: control.router,
            counters: control.counters,
            journal: control.journal,
            rng: RefCell::new(control.rng),
            incarnation: control.incarnation,
            leaving: control.leaving,
            leave: RefCell::new(LeaveTracker::new(now)),
            view: RefCell::new(PeerView::new(name.clone(), control.incarnation)),
            readers: RefCell::new(ReaderElection::new(zone, name, now)),
            links: RefCell::default(),
            lists: RefCell::default(),
            dialling: RefCell::default(),
            list_heard: Cell::new(None),
            urgent: watch::Sender::default(),
            hint: watch::Sender::default(),
            woken: watch::Sender::default(),
            state: Cell::new(NodeState::Starting),
            last_tick: Cell::new(now),
            next_link: Cell::new(0),
            known_suspects: RefCell::default(),
            settings: control.settings,
        })
    }

    pub fn decide(&self, change: DecisionKind, subject: String, cause: String) {
        log::info!("{change:?} subject={subject} cause={cause:?}");
        let now = Instant::now();
        self.journal
            .borrow_mut()
            .record_decision(now, change, subject, cause);
    }

    /// A random duration in `[low, high)` ms.
    pub fn jitter(&self, low: u64, high: u64) -> Duration {
        Duration::from_millis(self.rng.borrow_mut().u64(low..high))
    }

    pub fn set_state(&self, state: NodeState, cause: &str) {
        // A leaving node never returns to another state.
        if self.state.get() == state || self.state.get() == NodeState::Leaving {
            return;
        }
        self.state.set(state);
        self.gate.set_state(match state {
            NodeState::Starting => GateState::Starting,
            NodeState::Serving => GateState::Serving,
            NodeState::Waking => GateState::Waking,
            NodeState::Leaving => GateState::Leaving,
        });
        self.decide(DecisionKind::State, format!("{state:?}"), cause.to_owned());
    }

    pub fn hello(&self) -> Hello {
        Hello {
            version: VERSION,
            name: self.settings.name.clone(),
            service: self.settings.service.clone(),
            zone: self.settings.zone.clone(),
            incarnation: self.incarnation,
            control: self.settings.control,
        }
    }

    pub fn status(&self) -> Status {
        Status {
            state: self.state.get(),
            held: self.store.version(),
            epoch: self.readers.borrow().epoch(),
        }
    }

    /// The heartbeat for a peer in `zone`.
    pub fn beat(&self, zone: &ZoneName) -> Heartbeat {
        let now = Instant::now();
        self.collect_suspects(now);
        let (load, readers) = (self.gate.load(), self.readers.borrow());
        let claims = match *zone == self.settings.zone {
            true => readers.claims(now),
            false => Vec::new(),
        };
        let small = |n: u32| u16::try_from(n).unwrap_or(u16::MAX);
        let held = self.store.version();
        let news = self.view.borrow_mut().take_news(now);
        self.counters.add(Counter::NewsForwarded, news.len() as u64);
        Heartbeat {
            revision: held.map_or(Revision::default(), |h| h.0),
            digest: held.map_or(0, |h| digest_prefix(h.1)),
            level: self.gate.level(),
            epoch: readers.epoch(),
            in_flight: small(load.in_flight),
            limit: small(load.limit),
            queued: small(load.queued),
            state: self.state.get(),
            claims: claims
                .into_iter()
                .map(|(score, epoch, counter)| Claim {
                    score,
                    epoch,
                    counter,
                })
                .collect(),
            news,
        }
    }

    /// Puts an assembled configuration in effect, if it may be.
    ///
    /// # Errors
    /// Its pieces do not form a valid set.
    pub fn accept(
        &self,
        assembly: Assembly,
        noticed: Instant,
    ) -> Result<OfferOutcome, FollowError> {
        let (revision, digest) = (assembly.revision(), assembly.digest());
        let offered = self.follower.accept(assembly)?;
        match offered {
            OfferOutcome::Accepted => self.accepted(revision, noticed),
            OfferOutcome::Older => self.counters.add(Counter::ConfigOlder, 1),
            OfferOutcome::Conflict => self.conflict(revision, digest, "a source".into()),
            OfferOutcome::Same => {}
        }
        Ok(offered)
    }

    /// Makes a configuration that the store has just taken known to the rest of the node.
    pub fn accepted(&self, revision: Revision, noticed: Instant) {
        let Some(config) = self.store.config() else {
            return;
        };
        self.gate.apply(&self.settings.name, &config);
        self.router.apply(&config);
        let size = self.store.with(estimate_zone_size).unwrap_or(1);
        self.readers.borrow_mut().set_zone_size(size);
        let known = config.pieces.values().map(|p| p.upstreams.len()).sum();
        self.view.borrow_mut().set_node_count(known);
        self.counters.set(Counter::ConfigRevision, revision.0);
        self.counters.add(Counter::ConfigAccepted, 1);
        let took = noticed.elapsed().as_millis() as u64;
        self.counters.set(Counter::ConfigApplyMs, took);
        self.decide(
            DecisionKind::Config,
            revision.to_string(),
            format!("in effect after {took} ms"),
        );
        if self.state.get() == NodeState::Starting {
            self.set_state(NodeState::Serving, "the first configuration is in effect");
        }
        self.urgent.send_modify(|u| u.revisions += 1);
    }

    /// Detects a pause of the process. Called before anything that was received is acted on, since
    /// after a pause other tasks may run before the clock watch.
    pub fn check_pause(&self) {
        let now = Instant::now();
        let late = now.saturating_duration_since(self.last_tick.get());
        if late < Duration::from_millis(TICK_MS + PAUSE_MS) {
            return;
        }
        self.last_tick.set(now);
        self.counters.add(Counter::Pauses, 1);
        self.decide(
            DecisionKind::Paused,
            format!("{} ms", late.as_millis()),
            "a tick was late".into(),
        );
        if self.state.get() == NodeState::Serving {
            self.set_state(NodeState::Waking, "the process was paused");
        }
        if self.store.config().is_none() {
            self.follower.stop_accepting();
        }
        self.view.borrow_mut().clear();
        self.router.forget();
        self.readers.borrow_mut().forget(now);
        self.lists.borrow_mut().clear();
        self.list_heard.set(None);
        self.hint.send_replace(None);
        self.links.borrow_mut().clear();
        self.woken.send_modify(|g| *g += 1);
    }

    pub fn next_link(&self) -> u64 {
        self.next_link.set(self.next_link.get() + 1);
        self.next_link.get()
    }

    /// Adds a link; false when its place is taken or there is no room.
    ///
    /// When two nodes dial each other at once, the dial of the one with the lower name stands.
    pub fn add_link(&self, link: Link) -> bool {
        let mut links = self.links.borrow_mut();
        let identity = &link.identity;
        let current = links.get(&identity.name);
        if link.dialled && current.is_some() {
            return false;
        }
        let same = |l: &Link| l.dialled && l.identity.incarnation == identity.incarnation;
        if !link.dialled && current.is_some_and(same) {
            return false;
        }
        let crossed = self.dialling.borrow().contains(&identity.name);
        if !link.dialled && crossed && self.settings.name < identity.name {
            return false;
        }
        let others = links
            .values()
            .filter(|l| !l.dialled && l.identity.name != identity.name);
        if !link.dialled && others.count() >= ACCEPTED_MAX {
            return false;
        }
        self.view
            .borrow_mut()
            .record_link(&identity.name, identity.incarnation);
        links.insert(identity.name.clone(), link);
        self.counters.set(Counter::Peers, links.len() as u64);
        true
    }

    pub fn remove_link(&self, name: &UpstreamName, id: u64) {
        let mut links = self.links.borrow_mut();
        if links.get(name).is_some_and(|l| l.id == id) {
            links.remove(name);
        }
        self.counters.set(Counter::Peers, links.len() as u64);
    }

    /// Records that a peer was lost, and tells others when it was not leaving.
    pub fn lost(&self, name: &UpstreamName) {
        let down = self.view.borrow_mut().report_lost(name, Instant::now());
        if down {
            self.counters.add(Counter::PeersLost, 1);
            self.decide(
                DecisionKind::PeerLost,
                name.to_string(),
                "2 witnesses".into(),
            );
        }
    }

    /// Starts to leave once there is a reason.
    pub fn check_leave(&self) {
        if self.leave.borrow().reason().is_some() {
            self.leaving.cancel();
        }
    }
}
