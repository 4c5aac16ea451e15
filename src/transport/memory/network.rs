use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    io,
    net::{IpAddr, SocketAddr},
    rc::{Rc, Weak},
    time::Duration,
};

use tokio::{
    sync::mpsc,
    time::{Instant, sleep},
};

use super::{
    conn::{MemoryConn, Pipe, RETRANSMIT_MS},
    host::Process,
};
use crate::{
    state::id::ZoneName,
    transport::net::{Listener, Net},
};

/// Most connections that wait for `accept` at one listener, as for the TCP listeners.
const BACKLOG_MAX: usize = 1_024;
/// Time that a new connection takes in addition to the round trip.
const CONNECT_COST_MS: u64 = 1;
/// A dial that is blocked by a cut fails after this time.
const DIAL_TIMEOUT_MS: u64 = 7_000;
/// First retransmission timeout of a connection request; doubles with each retransmission.
const DIAL_RETRANSMIT_MS: u64 = 1_000;
/// First of the ports that are assigned to dialled connections and to listeners without a port.
const EPHEMERAL_PORT_MIN: u16 = 32_768;

/// The hosts on one side of a cut.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    /// Every host.
    All,
    /// The hosts of an availability zone.
    Zone(ZoneName),
    /// One host.
    Host(IpAddr),
}

/// Payload bytes sent and received by a host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes written by the host.
    pub sent: u64,
    /// Bytes read by the host.
    pub received: u64,
}

/// Delivers a new connection and the address of its client to a listener.
type Backlog = mpsc::Sender<(MemoryConn, SocketAddr)>;

struct State {
    rng: fastrand::Rng,
    zones: BTreeMap<IpAddr, ZoneName>,
    latency: BTreeMap<(ZoneName, ZoneName), Duration>,
    default_latency: Duration,
    loss: f64,
    cuts: BTreeSet<(Place, Place)>,
    listeners: BTreeMap<SocketAddr, Backlog>,
    /// One entry for each direction of each connection; entries of closed ones are purged later.
    pipes: Vec<Weak<RefCell<Pipe>>>,
    /// Length of `pipes` at which the entries of closed connections are purged.
    purge_len: usize,
    /// Next port to assign on each host.
    ports: BTreeMap<IpAddr, u16>,
    /// Traffic by host and port of the listener.
    traffic: BTreeMap<(IpAddr, u16), Traffic>,
}

/// The simulated network between all hosts; cheap to clone.
///
/// Delays are whole milliseconds, the resolution of tokio's timers. A fraction of a millisecond is
/// rounded up or down at random so that the mean stays the same.
#[derive(Clone)]
pub struct Network(Rc<RefCell<State>>);

impl Network {
    /// Creates a network without latency or loss; `seed` seeds its random generator.
    ///
    /// ```
    /// use comfreybay::transport::memory::Network;
    /// let network = Network::new(7);
    /// network.set_loss(0.01);
    /// ```
    pub fn new(seed: u64) -> Self {
        Self(Rc::new(RefCell::new(State {
            rng: fastrand::Rng::with_seed(seed),
            zones: BTreeMap::new(),
            latency: BTreeMap::new(),
            default_latency: Duration::ZERO,
            loss: 0.0,
            cuts: BTreeSet::new(),
            listeners: BTreeMap::new(),
            pipes: Vec::new(),
            purge_len: 1_024,
            ports: BTreeMap::new(),
            traffic: BTreeMap::new(),
        })))
    }

    /// Assigns a host to an availability zone.
    pub fn assign_zone(&self, host: IpAddr, zone: ZoneName) {
        self.0.borrow_mut().zones.insert(host, zone);
    }

    /// Sets the one-way latency between two availability zones, in both directions.
    pub fn set_latency(&self, a: &ZoneName, b: &ZoneName, latency: Duration) {
        let mut state = self.0.borrow_mut();
        state.latency.insert((a.clone(), b.clone()), latency);
        state.latency.insert((b.clone(), a.clone()), latency);
    }

    /// Sets the one-way latency between hosts whose pair of availability zones has no latency set.
    pub fn set_default_latency(&self, latency: Duration) {
        self.0.borrow_mut().default_latency = latency;
    }

    /// Sets the share of segments between different hosts that are lost and retransmitted, clamped
    /// to 0 to 0.9.
    pub fn set_loss(&self, share: f64) {
        self.0.borrow_mut().loss = share.clamp(0.0, 0.9);
    }

    /// Blocks all data from `from` to `to`. The opposite direction needs a cut of its own.
    pub fn cut(&self, from: Place, to: Place) {
        self.0.borrow_mut().cuts.insert((from, to));
    }

    /// Blocks all data between two places, in both directions.
    pub fn cut_both(&self, a: Place, b: Place) {
        self.cut(a.clone(), b.clone());
        self.cut(b, a);
    }

    /// Removes the cut from `from` to `to`. Blocked data arrives with the next retransmission.
    pub fn heal(&self, from: Place, to: Place) {
        self.remove_cuts(|cut| *cut == (from.clone(), to.clone()));
    }

    /// Removes the cuts between two places, in both directions.
    pub fn heal_both(&self, a: Place, b: Place) {
        self.heal(a.clone(), b.clone());
        self.heal(b, a);
    }

    /// Removes all cuts.
    pub fn heal_all(&self) {
        self.remove_cuts(|_| true);
    }

    /// Removes the selected cuts and resumes the connections that no other cut blocks.
    fn remove_cuts(&self, selected: impl Fn(&(Place, Place)) -> bool) {
        let old_cuts = self.0.borrow().cuts.clone();
        self.0.borrow_mut().cuts.retain(|cut| !selected(cut));
        let now = Instant::now();
        for pipe in self.live_pipes() {
            let (from, to) = pipe.borrow().hosts();
            let blocked_before = self.0.borrow().is_cut(&old_cuts, from, to);
            if blocked_before && !self.blocked(from, to) {
                let latency = self.0.borrow().latency(from, to);
                pipe.borrow_mut().resume(now, latency);
            }
        }
    }

    fn live_pipes(&self) -> Vec<Rc<RefCell<Pipe>>> {
        let state = self.0.borrow();
        state.pipes.iter().filter_map(Weak::upgrade).collect()
    }

    /// Silences the connections to listeners with this port that are open now: nothing arrives on
    /// them any more, without an error. New connections work.
    pub fn silence_open(&self, port: u16) {
        let state = self.0.borrow();
        for pipe in state.pipes.iter().filter_map(Weak::upgrade) {
            let mut pipe = pipe.borrow_mut();
            if pipe.port() == port {
                pipe.silence();
            }
        }
    }

    /// Whether a cut blocks data from one host to another.
    pub fn blocked(&self, from: IpAddr, to: IpAddr) -> bool {
        let state = self.0.borrow();
        from != to && state.is_cut(&state.cuts, from, to)
    }

    /// Payload bytes of a host on connections to listeners with this port.
    pub fn traffic(&self, host: IpAddr, port: u16) -> Traffic {
        let state = self.0.borrow();
        state
            .traffic
            .get(&(host, port))
            .copied()
            .unwrap_or_default()
    }

    /// Payload bytes of a host on all its connections together.
    pub fn total(&self, host: IpAddr) -> Traffic {
        let state = self.0.borrow();
        let own = state.traffic.range((host, 0)..=(host, u16::MAX));
        own.fold(Traffic::default(), |sum, (_, t)| Traffic {
            sent: sum.sent + t.sent,
            received: sum.received + t.received,
        })
    }

    /// Network access for one process on a host.
    pub fn net(&self, host: IpAddr, process: Process) -> MemoryNet {
        MemoryNet {
            network: self.clone(),
            host,
            process,
        }
    }

    pub(super) fn count_sent(&self, host: IpAddr, port: u16, bytes: usize) {
        let mut state = self.0.borrow_mut();
        state.traffic.entry((host, port)).or_default().sent += bytes as u64;
    }

    pub(super) fn count_received(&self, host: IpAddr, port: u16, bytes: usize) {
        let mut state = self.0.borrow_mut();
        state.traffic.entry((host, port)).or_default().received += bytes as u64;
    }

    /// The delay of the next segment: latency plus a retransmission timeout for each loss.
    pub(super) fn delay(&self, from: IpAddr, to: IpAddr) -> Duration {
        if from == to {
            return Duration::ZERO;
        }
        let mut state = self.0.borrow_mut();
        let latency = state.latency(from, to);
        let mut delay = state.round_to_ms(latency);
        let mut timeout = Duration::from_millis(RETRANSMIT_MS);
        while state.loss > 0.0 && state.rng.f64() < state.loss {
            delay += timeout;
            timeout *= 2;
        }
        delay
    }

    /// Creates a connection and adds its server end to the backlog of the listener at `to`.
    fn connect(
        &self,
        from: SocketAddr,
        to: SocketAddr,
        process: &Process,
    ) -> io::Result<MemoryConn> {
        let mut state = self.0.borrow_mut();
        let refused = || io::Error::from(io::ErrorKind::ConnectionRefused);
        let backlog = state.listeners.get(&to).ok_or_else(refused)?.clone();
        let to_server = Pipe::new(from.ip(), to.ip(), to.port());
        let to_client = Pipe::new(to.ip(), from.ip(), to.port());
        state.track(&to_server);
        state.track(&to_client);
        drop(state);
        let client = MemoryConn::new(
            self.clone(),
            process.clone(),
            to_client.clone(),
            to_server.clone(),
        );
        let server = MemoryConn::new(self.clone(), Process::default(), to_server, to_client);
        backlog.try_send((server, from)).map_err(|_| refused())?;
        Ok(client)
    }
}

impl State {
    /// The one-way latency between two hosts.
    fn latency(&self, from: IpAddr, to: IpAddr) -> Duration {
        let (Some(a), Some(b)) = (self.zones.get(&from), self.zones.get(&to)) else {
            return self.default_latency;
        };
        let pair = (a.clone(), b.clone());
        self.latency
            .get(&pair)
            .copied()
            .unwrap_or(self.default_latency)
    }

    /// Rounds a latency to whole milliseconds, up or down at random so that the mean is kept.
    fn round_to_ms(&mut self, latency: Duration) -> Duration {
        let whole = Duration::from_millis(latency.as_millis() as u64);
        let fraction = (latency - whole).as_secs_f64() * 1_000.0;
        let round_up = fraction > 0.0 && self.rng.f64() < fraction;
        whole + Duration::from_millis(u64::from(round_up))
    }

    /// Whether one of `cuts` blocks data from one host to another.
    fn is_cut(&self, cuts: &BTreeSet<(Place, Place)>, from: IpAddr, to: IpAddr) -> bool {
        let covers = |place: &Place, host: IpAddr| match place {
            Place::All => true,
            Place::Zone(zone) => self.zones.get(&host) == Some(zone),
            Place::Host(ip) => *ip == host,
        };
        cuts.iter().any(|(a, b)| covers(a, from) && covers(b, to))
    }

    /// Adds a pipe to those that are resumed when a cut is removed.
    fn track(&mut self, pipe: &Rc<RefCell<Pipe>>) {
        if self.pipes.len() >= self.purge_len {
            self.pipes.retain(|p| p.strong_count() > 0);
            self.purge_len = (2 * self.pipes.len()).max(1_024);
        }
        self.pipes.push(Rc::downgrade(pipe));
    }

    /// Assigns the next ephemeral port of a host.
    fn next_port(&mut self, host: IpAddr) -> u16 {
        let next = self.ports.entry(host).or_insert(EPHEMERAL_PORT_MIN);
        let port = *next;
        *next = next.checked_add(1).unwrap_or(EPHEMERAL_PORT_MIN);
        port
    }
}

/// Network access for one process on a host.
#[derive(Clone)]
pub struct MemoryNet {
    network: Network,
    host: IpAddr,
    process: Process,
}

impl MemoryNet {
    /// The process that owns the connections and listeners.
    pub fn process(&self) -> &Process {
        &self.process
    }
}

impl Net for MemoryNet {
    type Conn = MemoryConn;
    type Listener = MemoryListener;

    async fn dial(&self, to: SocketAddr) -> io::Result<MemoryConn> {
        let (local, remote) = (self.host, to.ip());
        let start = Instant::now();
        let mut timeout = Duration::from_millis(DIAL_RETRANSMIT_MS);
        while self.network.blocked(local, remote) || self.network.blocked(remote, local) {
            if start.elapsed() + timeout > Duration::from_millis(DIAL_TIMEOUT_MS) {
                sleep(Duration::from_millis(DIAL_TIMEOUT_MS) - start.elapsed()).await;
                return Err(io::ErrorKind::TimedOut.into());
            }
            sleep(timeout).await;
            timeout *= 2;
        }
        let round_trip = self.network.delay(local, remote) + self.network.delay(remote, local);
        sleep(round_trip + Duration::from_millis(CONNECT_COST_MS)).await;
        let port = self.network.0.borrow_mut().next_port(local);
        self.network
            .connect(SocketAddr::new(local, port), to, &self.process)
    }

    async fn bind(&self, at: SocketAddr) -> io::Result<MemoryListener> {
        if at.ip() != self.host {
            return Err(io::ErrorKind::AddrNotAvailable.into());
        }
        let mut state = self.network.0.borrow_mut();
        let port = match at.port() {
            0 => state.next_port(self.host),
            port => port,
        };
        let at = SocketAddr::new(self.host, port);
        if state.listeners.contains_key(&at) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        let (backlog, incoming) = mpsc::channel(BACKLOG_MAX);
        state.listeners.insert(at, backlog);
        Ok(MemoryListener {
            network: self.network.clone(),
            process: self.process.clone(),
            at,
            incoming,
        })
    }
}

/// A listener of the in-memory network; its port is free again when it is dropped.
pub struct MemoryListener {
    network: Network,
    process: Process,
    at: SocketAddr,
    incoming: mpsc::Receiver<(MemoryConn, SocketAddr)>,
}

impl Listener for MemoryListener {
    type Conn = MemoryConn;

    async fn accept(&mut self) -> io::Result<(MemoryConn, SocketAddr)> {
        let aborted = || io::Error::from(io::ErrorKind::ConnectionAborted);
        let (conn, from) = self.incoming.recv().await.ok_or_else(aborted)?;
        Ok((conn.owned_by(&self.process), from))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.at)
    }
}

impl Drop for MemoryListener {
    fn drop(&mut self) {
        self.network.0.borrow_mut().listeners.remove(&self.at);
        while let Ok((conn, _)) = self.incoming.try_recv() {
            drop(conn.owned_by(&self.process));
        }
    }
}
