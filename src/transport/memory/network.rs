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

/// Connections that wait for `accept`, as with the listeners on TCP.
const BACKLOG: usize = 1_024;
/// Cost of a new connection beside the round trip.
const CONNECT_MS: u64 = 1;
/// A dial that finds no path fails after this time.
const DIAL_TIMEOUT_MS: u64 = 7_000;
/// The first retransmission of a connection request; doubles.
const DIAL_RETRY_MS: u64 = 1_000;
const FIRST_PORT: u16 = 32_768;

/// One side of a cut.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    /// Every host.
    All,
    /// The hosts of an availability zone.
    Zone(ZoneName),
    /// One host.
    Host(IpAddr),
}

/// Payload bytes of a host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes written by the host.
    pub sent: u64,
    /// Bytes read by the host.
    pub received: u64,
}

type Backlog = mpsc::Sender<(MemoryConn, SocketAddr)>;

struct State {
    rng: fastrand::Rng,
    zones: BTreeMap<IpAddr, ZoneName>,
    latency: BTreeMap<(ZoneName, ZoneName), Duration>,
    default_latency: Duration,
    loss: f64,
    cuts: BTreeSet<(Place, Place)>,
    listeners: BTreeMap<SocketAddr, Backlog>,
    pipes: Vec<Weak<RefCell<Pipe>>>,
    pipes_max: usize,
    ports: BTreeMap<IpAddr, u16>,
    traffic: BTreeMap<(IpAddr, u16), Traffic>,
}

/// All hosts and the paths between them; cheap to clone.
///
/// Delays are whole milliseconds, the resolution of tokio's timers. A fraction is rounded up or
/// down at random, so that the mean is kept.
#[derive(Clone)]
pub struct Network(Rc<RefCell<State>>);

impl Network {
    /// A network without latency or loss.
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
            pipes_max: 1_024,
            ports: BTreeMap::new(),
            traffic: BTreeMap::new(),
        })))
    }

    /// Puts a host into an availability zone.
    pub fn place(&self, host: IpAddr, zone: ZoneName) {
        self.0.borrow_mut().zones.insert(host, zone);
    }

    /// Sets the one-way latency between two availability zones, in both directions.
    pub fn set_latency(&self, a: &ZoneName, b: &ZoneName, latency: Duration) {
        let mut state = self.0.borrow_mut();
        state.latency.insert((a.clone(), b.clone()), latency);
        state.latency.insert((b.clone(), a.clone()), latency);
    }

    /// Sets the one-way latency between hosts whose availability zones have none of their own.
    pub fn set_default_latency(&self, latency: Duration) {
        self.0.borrow_mut().default_latency = latency;
    }

    /// Sets the share of segments between different hosts that must be sent again, 0 to 1.
    pub fn set_loss(&self, share: f64) {
        self.0.borrow_mut().loss = share.clamp(0.0, 0.9);
    }

    /// Stops everything sent from `from` to `to`. The other direction is a cut of its own.
    pub fn cut(&self, from: Place, to: Place) {
        self.0.borrow_mut().cuts.insert((from, to));
    }

    /// Stops everything between two places.
    pub fn cut_both(&self, a: Place, b: Place) {
        self.cut(a.clone(), b.clone());
        self.cut(b, a);
    }

    /// Ends the cut from `from` to `to`; data held back arrives with the next retransmission.
    pub fn heal(&self, from: Place, to: Place) {
        self.remove(|cut| *cut == (from.clone(), to.clone()));
    }

    /// Ends the cuts between two places.
    pub fn heal_both(&self, a: Place, b: Place) {
        self.heal(a.clone(), b.clone());
        self.heal(b, a);
    }

    /// Ends all cuts.
    pub fn heal_all(&self) {
        self.remove(|_| true);
    }

    fn remove(&self, ends: impl Fn(&(Place, Place)) -> bool) {
        let was = self.0.borrow().cuts.clone();
        self.0.borrow_mut().cuts.retain(|cut| !ends(cut));
        let now = Instant::now();
        for pipe in self.live_pipes() {
            let (from, to) = pipe.borrow().ends();
            let blocked_before = self.0.borrow().matches(&was, from, to);
            if blocked_before && !self.blocked(from, to) {
                let latency = self.0.borrow().latency(from, to);
                pipe.borrow_mut().healed(now, latency);
            }
        }
    }

    fn live_pipes(&self) -> Vec<Rc<RefCell<Pipe>>> {
        let state = self.0.borrow();
        state.pipes.iter().filter_map(Weak::upgrade).collect()
    }

    /// Whether data from one host to another is held back.
    pub fn blocked(&self, from: IpAddr, to: IpAddr) -> bool {
        let state = self.0.borrow();
        from != to && state.matches(&state.cuts, from, to)
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

    /// Payload bytes of a host on all its connections.
    pub fn total(&self, host: IpAddr) -> Traffic {
        let state = self.0.borrow();
        let own = state.traffic.range((host, 0)..=(host, u16::MAX));
        own.fold(Traffic::default(), |sum, (_, t)| Traffic {
            sent: sum.sent + t.sent,
            received: sum.received + t.received,
        })
    }

    /// The network as one process on a host sees it.
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

    /// The delay of the next segment: latency, and retransmissions for losses.
    pub(super) fn delay(&self, from: IpAddr, to: IpAddr) -> Duration {
        if from == to {
            return Duration::ZERO;
        }
        let mut state = self.0.borrow_mut();
        let latency = state.latency(from, to);
        let mut delay = state.round(latency);
        let mut wait = Duration::from_millis(RETRANSMIT_MS);
        while state.loss > 0.0 && state.rng.f64() < state.loss {
            delay += wait;
            wait *= 2;
        }
        delay
    }

    fn connect(
        &self,
        from: SocketAddr,
        to: SocketAddr,
        process: &Process,
    ) -> io::Result<MemoryConn> {
        let mut state = self.0.borrow_mut();
        let refused = || io::Error::from(io::ErrorKind::ConnectionRefused);
        let backlog = state.listeners.get(&to).ok_or_else(refused)?.clone();
        let out = Pipe::new(from.ip(), to.ip(), to.port());
        let back = Pipe::new(to.ip(), from.ip(), to.port());
        state.watch(&out);
        state.watch(&back);
        drop(state);
        let near = MemoryConn::new(self.clone(), process.clone(), back.clone(), out.clone());
        let far = MemoryConn::new(self.clone(), Process::default(), out, back);
        backlog.try_send((far, from)).map_err(|_| refused())?;
        Ok(near)
    }
}

impl State {
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

    fn round(&mut self, latency: Duration) -> Duration {
        let whole = Duration::from_millis(latency.as_millis() as u64);
        let rest = (latency - whole).as_secs_f64() * 1_000.0;
        let up = rest > 0.0 && self.rng.f64() < rest;
        whole + Duration::from_millis(u64::from(up))
    }

    fn matches(&self, cuts: &BTreeSet<(Place, Place)>, from: IpAddr, to: IpAddr) -> bool {
        let covers = |place: &Place, host: IpAddr| match place {
            Place::All => true,
            Place::Zone(zone) => self.zones.get(&host) == Some(zone),
            Place::Host(ip) => *ip == host,
        };
        cuts.iter().any(|(a, b)| covers(a, from) && covers(b, to))
    }

    fn watch(&mut self, pipe: &Rc<RefCell<Pipe>>) {
        if self.pipes.len() >= self.pipes_max {
            self.pipes.retain(|p| p.strong_count() > 0);
            self.pipes_max = (2 * self.pipes.len()).max(1_024);
        }
        self.pipes.push(Rc::downgrade(pipe));
    }

    fn port(&mut self, host: IpAddr) -> u16 {
        let next = self.ports.entry(host).or_insert(FIRST_PORT);
        let port = *next;
        *next = next.checked_add(1).unwrap_or(FIRST_PORT);
        port
    }
}

/// The network as one process on a host sees it.
#[derive(Clone)]
pub struct MemoryNet {
    network: Network,
    host: IpAddr,
    process: Process,
}

impl MemoryNet {
    /// The process that dials and listens.
    pub fn process(&self) -> &Process {
        &self.process
    }
}

impl Net for MemoryNet {
    type Conn = MemoryConn;
    type Listener = MemoryListener;

    async fn dial(&self, to: SocketAddr) -> io::Result<MemoryConn> {
        let (here, there) = (self.host, to.ip());
        let start = Instant::now();
        let mut wait = Duration::from_millis(DIAL_RETRY_MS);
        while self.network.blocked(here, there) || self.network.blocked(there, here) {
            if start.elapsed() + wait > Duration::from_millis(DIAL_TIMEOUT_MS) {
                sleep(Duration::from_millis(DIAL_TIMEOUT_MS) - start.elapsed()).await;
                return Err(io::ErrorKind::TimedOut.into());
            }
            sleep(wait).await;
            wait *= 2;
        }
        let trip = self.network.delay(here, there) + self.network.delay(there, here);
        sleep(trip + Duration::from_millis(CONNECT_MS)).await;
        let port = self.network.0.borrow_mut().port(here);
        self.network
            .connect(SocketAddr::new(here, port), to, &self.process)
    }

    async fn bind(&self, at: SocketAddr) -> io::Result<MemoryListener> {
        if at.ip() != self.host {
            return Err(io::ErrorKind::AddrNotAvailable.into());
        }
        let mut state = self.network.0.borrow_mut();
        let port = match at.port() {
            0 => state.port(self.host),
            port => port,
        };
        let at = SocketAddr::new(self.host, port);
        if state.listeners.contains_key(&at) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        let (backlog, incoming) = mpsc::channel(BACKLOG);
        state.listeners.insert(at, backlog);
        Ok(MemoryListener {
            network: self.network.clone(),
            process: self.process.clone(),
            at,
            incoming,
        })
    }
}

/// A bound listener in memory.
pub struct MemoryListener {
    network: Network,
    process: Process,
    at: SocketAddr,
    incoming: mpsc::Receiver<(MemoryConn, SocketAddr)>,
}

impl Listener for MemoryListener {
    type Conn = MemoryConn;

    async fn accept(&mut self) -> io::Result<(MemoryConn, SocketAddr)> {
        let closed = || io::Error::from(io::ErrorKind::ConnectionAborted);
        let (conn, from) = self.incoming.recv().await.ok_or_else(closed)?;
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
