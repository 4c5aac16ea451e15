//! State shared by the tasks of the control plane.

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

/// Interval of the checks for pauses of the process.
pub const TICK_MS: u64 = 100;
/// A tick that is late by at least this time means that the process was paused.
const PAUSE_MIN_MS: u64 = 1_000;

/// Identity of the peer of a link.
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
    /// Whether this node dialled the link; otherwise the peer did.
    pub dialled: bool,
    /// Revision in effect at the peer, as last reported.
    pub revision: Revision,
    /// Time of the last heartbeat or hello of the peer.
    pub last_heard: Instant,
}

/// Counts of changes that links send at once instead of with the next heartbeat.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UrgentChanges {
    pub revisions: u64,
    pub news: u64,
}

/// A revision newer than the current one, reported by a peer.
#[derive(Debug, Clone)]
pub struct RevisionHint {
    pub revision: Revision,
    pub peer: UpstreamName,
    pub first_seen: Instant,
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
    /// Counter of the last instance list from each origin, and when it was received.
    pub list_counters: RefCell<BTreeMap<UpstreamName, (u32, Instant)>>,
    /// Peers that this node is dialling or has a dialled link to.
    pub dialling: RefCell<BTreeSet<UpstreamName>>,
    pub list_received: Cell<Option<Instant>>,
    pub urgent: watch::Sender<UrgentChanges>,
    pub hint: watch::Sender<Option<RevisionHint>>,
    /// Number of detected pauses. At each, all links are closed and dialled again.
    pub pauses: watch::Sender<u64>,
    pub state: Cell<NodeState>,
    pub last_tick: Cell<Instant>,
    last_link: Cell<u64>,
    /// Suspects already announced to peers, and whether they are convicted.
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
            list_counters: RefCell::default(),
            dialling: RefCell::default(),
            list_received: Cell::new(None),
            urgent: watch::Sender::default(),
            hint: watch::Sender::default(),
            pauses: watch::Sender::default(),
            state: Cell::new(NodeState::Starting),
            last_tick: Cell::new(now),
            last_link: Cell::new(0),
            known_suspects: RefCell::default(),
            settings: control.settings,
        })
    }

    /// Logs a decision and adds it to the journal.
    pub fn record_decision(&self, kind: DecisionKind, subject: String, cause: String) {
        log::info!("{kind:?} subject={subject} cause={cause:?}");
        let now = Instant::now();
        self.journal
            .borrow_mut()
            .record_decision(now, kind, subject, cause);
    }

    /// A random duration of whole milliseconds in `[low, high)`.
    pub fn jitter(&self, low: u64, high: u64) -> Duration {
        Duration::from_millis(self.rng.borrow_mut().u64(low..high))
    }

    /// Changes the state of the node and of the gate.
    pub fn set_state(&self, state: NodeState, cause: &str) {
        // Leaving is final: no other state follows it.
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
        self.record_decision(DecisionKind::State, format!("{state:?}"), cause.to_owned());
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
    pub fn heartbeat(&self, zone: &ZoneName) -> Heartbeat {
        let now = Instant::now();
        self.collect_suspects(now);
        let (load, readers) = (self.gate.load(), self.readers.borrow());
        let claims = match *zone == self.settings.zone {
            true => readers.claims(now),
            false => Vec::new(),
        };
        let saturate = |n: u32| u16::try_from(n).unwrap_or(u16::MAX);
        let held = self.store.version();
        let news = self.view.borrow_mut().take_news(now);
        self.counters.add(Counter::NewsForwarded, news.len() as u64);
        Heartbeat {
            revision: held.map_or(Revision::default(), |h| h.0),
            digest: held.map_or(0, |h| digest_prefix(h.1)),
            level: self.gate.level(),
            epoch: readers.epoch(),
            in_flight: saturate(load.in_flight),
            limit: saturate(load.limit),
            queued: saturate(load.queued),
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

    /// Puts an assembled configuration in effect if it may replace the current one.
    ///
    /// # Errors
    /// The pieces do not form a valid set together.
    pub fn accept(
        &self,
        assembly: Assembly,
        first_seen: Instant,
    ) -> Result<OfferOutcome, FollowError> {
        let (revision, digest) = (assembly.revision(), assembly.digest());
        let offered = self.follower.accept(assembly)?;
        match offered {
            OfferOutcome::Accepted => self.apply_config(revision, first_seen),
            OfferOutcome::Older => self.counters.add(Counter::ConfigOlder, 1),
            OfferOutcome::Conflict => self.record_conflict(revision, digest, "a source".into()),
            OfferOutcome::Same => {}
        }
        Ok(offered)
    }

    /// Applies the configuration in the store to the gate, the router, the reader election and the
    /// view, and makes links announce its revision.
    pub fn apply_config(&self, revision: Revision, first_seen: Instant) {
        let Some(config) = self.store.config() else {
            return;
        };
        self.gate.apply(&self.settings.name, &config);
        self.router.apply(&config);
        let size = self.store.with(estimate_zone_size).unwrap_or(1);
        self.readers.borrow_mut().set_zone_size(size);
        let node_count = config.pieces.values().map(|p| p.upstreams.len()).sum();
        self.view.borrow_mut().set_node_count(node_count);
        self.counters.set(Counter::ConfigRevision, revision.0);
        self.counters.add(Counter::ConfigAccepted, 1);
        let apply_ms = first_seen.elapsed().as_millis() as u64;
        self.counters.set(Counter::ConfigApplyMs, apply_ms);
        self.record_decision(
            DecisionKind::Config,
            revision.to_string(),
            format!("in effect after {apply_ms} ms"),
        );
        if self.state.get() == NodeState::Starting {
            self.set_state(NodeState::Serving, "the first configuration is in effect");
        }
        self.urgent.send_modify(|u| u.revisions += 1);
    }

    /// Detects a pause of the process, and then drops what was received from peers and closes all
    /// links.
    ///
    /// Called before a received message is handled, because after a pause other tasks may run
    /// before the periodic check.
    pub fn check_pause(&self) {
        let now = Instant::now();
        let elapsed = now.saturating_duration_since(self.last_tick.get());
        if elapsed < Duration::from_millis(TICK_MS + PAUSE_MIN_MS) {
            return;
        }
        self.last_tick.set(now);
        self.counters.add(Counter::Pauses, 1);
        self.record_decision(
            DecisionKind::Paused,
            format!("{} ms", elapsed.as_millis()),
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
        self.list_counters.borrow_mut().clear();
        self.list_received.set(None);
        self.hint.send_replace(None);
        self.links.borrow_mut().clear();
        self.pauses.send_modify(|count| *count += 1);
    }

    /// A new link id, unique in this process.
    pub fn next_link_id(&self) -> u64 {
        self.last_link.set(self.last_link.get() + 1);
        self.last_link.get()
    }

    /// Adds a link; false if the peer is already linked or there is no room.
    ///
    /// When two nodes dial each other at once, the link dialled by the node with the lower name is
    /// kept.
    pub fn add_link(&self, link: Link) -> bool {
        let mut links = self.links.borrow_mut();
        let identity = &link.identity;
        let current = links.get(&identity.name);
        if link.dialled && current.is_some() {
            return false;
        }
        let is_same_run = |l: &Link| l.dialled && l.identity.incarnation == identity.incarnation;
        if !link.dialled && current.is_some_and(is_same_run) {
            return false;
        }
        let dialling = self.dialling.borrow().contains(&identity.name);
        if !link.dialled && dialling && self.settings.name < identity.name {
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

    /// Removes a link unless another one to the same peer has replaced it.
    pub fn remove_link(&self, name: &UpstreamName, id: u64) {
        let mut links = self.links.borrow_mut();
        if links.get(name).is_some_and(|l| l.id == id) {
            links.remove(name);
        }
        self.counters.set(Counter::Peers, links.len() as u64);
    }

    /// Records that the link to a peer was lost, and adds this to the news for other peers. The
    /// peer counts as down once two nodes have reported it.
    pub fn mark_lost(&self, name: &UpstreamName) {
        let down = self.view.borrow_mut().report_lost(name, Instant::now());
        if down {
            self.counters.add(Counter::PeersLost, 1);
            self.record_decision(
                DecisionKind::PeerLost,
                name.to_string(),
                "2 witnesses".into(),
            );
        }
    }

    /// Makes the node leave if there is a reason to.
    pub fn check_leave(&self) {
        if self.leave.borrow().reason().is_some() {
            self.leaving.cancel();
        }
    }
}
