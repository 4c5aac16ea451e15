//! Memory of the process: the budget, who may use it, and whose body is ended when it is short.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    fmt,
    rc::Rc,
    str::FromStr,
    time::Duration,
};

use tokio::{sync::Notify, time::Instant};

use super::{Error, Result};

/// Memory of the process without clients: code, tables of servers and routes, and logs.
const PROCESS_BYTES: usize = 24_000_000;
/// Share of the rest that may be charged. The remainder is left for what the allocator retains and
/// for what is charged by estimate.
const CHARGED_SHARE: f64 = 0.75;
/// Budget for request bodies without a limit of the process.
pub const DEFAULT_BODIES: MemorySize = MemorySize(32 * 1_024 * 1_024);
/// Memory charged for an open connection: buffers of the process and a part of the bytes that the
/// kernel may hold unread. A whole receive buffer is rarely in use.
pub const CONNECTION_BYTES: usize = 32 * 1_024;
/// Upper bound on the share of the budget that open connections may take.
const CONNECTIONS_SHARE: f64 = 0.25;

/// Descriptors that are left for files.
const FILE_DESCRIPTORS: usize = 200;
/// Descriptors for listeners, timers, logs, the store, and the listeners for readiness and metrics.
const FIXED_DESCRIPTORS: usize = 56;
/// Shares of the other descriptors for connections of callers and of other nodes. The rest is left
/// for connections to the own server and to other nodes.
const CALLERS_SHARE: f64 = 0.5;
const PEERS_SHARE: f64 = 0.2;
/// The same for waiting for the ends of callers' connections whose bytes are not read for now, a
/// descriptor each.
const ENDS_SHARE: f64 = 0.125;
/// Connections of callers and of other nodes without limits of the process.
const DEFAULT_CALLERS: usize = 2_048;
const DEFAULT_PEERS: usize = 1_024;
const DEFAULT_ENDS: usize = 256;

/// Time in which a body must bring at least [`BODY_WINDOW_BYTES`].
pub const BODY_WINDOW: Duration = Duration::from_secs(5);
/// Least number of bytes that a body brings in [`BODY_WINDOW`], about 1 KB a second. A client on a
/// poor line sends ten times as many; one that stops, or sends a byte a second, is ended.
pub const BODY_WINDOW_BYTES: usize = 5 * 1_024;
/// Time without a byte after which a body may be ended for another one when memory is short.
const BODY_STALL: Duration = Duration::from_secs(1);

/// A number of bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemorySize(pub usize);

impl fmt::Display for MemorySize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} B", self.0)
    }
}

impl FromStr for MemorySize {
    type Err = Error;

    /// ```
    /// use comfreybay::state::memory::MemorySize;
    /// let size: MemorySize = "1024 B".parse().unwrap();
    /// assert_eq!(size, MemorySize(1_024));
    /// assert_eq!(size.to_string(), "1024 B");
    /// assert!("1024".parse::<MemorySize>().is_err());
    /// ```
    fn from_str(text: &str) -> Result<Self> {
        let error = || Error::Number {
            what: "memory size",
            text: text.chars().take(64).collect(),
        };
        let number = text.strip_suffix(" B").ok_or_else(error)?;
        number.parse().map(Self).map_err(|_| error())
    }
}

/// Limits that the machine imposes on the process; `None` if they are not known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory.
    pub memory: Option<MemorySize>,
    /// File descriptors, including those reserved for files.
    pub descriptors: Option<usize>,
}

impl ProcessLimits {
    /// Memory that may be charged for clients, backend servers and other nodes.
    ///
    /// ```
    /// use comfreybay::state::memory::{MemorySize, ProcessLimits};
    /// let memory = Some(MemorySize(160_000_000));
    /// let limits = ProcessLimits { memory, ..ProcessLimits::default() };
    /// // One body of 64 MiB fits.
    /// assert!(limits.budget() > MemorySize(64 << 20));
    /// ```
    pub fn budget(&self) -> MemorySize {
        let Some(MemorySize(memory)) = self.memory else {
            let connections = (DEFAULT_CALLERS + DEFAULT_PEERS) * CONNECTION_BYTES;
            return MemorySize(DEFAULT_BODIES.0 + connections);
        };
        let left = memory.saturating_sub(PROCESS_BYTES);
        MemorySize((left as f64 * CHARGED_SHARE) as usize)
    }

    /// Largest number of connections whose end is waited for while their bytes are not read.
    pub fn ends(&self) -> usize {
        self.by_descriptors(ENDS_SHARE, DEFAULT_ENDS)
    }

    /// Largest number of connections of callers.
    pub fn callers(&self) -> usize {
        self.connections(CALLERS_SHARE, DEFAULT_CALLERS)
    }

    /// Largest number of connections of other nodes.
    pub fn peers(&self) -> usize {
        self.connections(PEERS_SHARE, DEFAULT_PEERS)
    }

    fn by_descriptors(&self, share: f64, default: usize) -> usize {
        self.descriptors.map_or(default, |all| {
            let left = all.saturating_sub(FILE_DESCRIPTORS + FIXED_DESCRIPTORS);
            (left as f64 * share) as usize
        })
    }

    fn connections(&self, share: f64, default: usize) -> usize {
        let by_descriptors = self.by_descriptors(share, default);
        let by_memory = self.memory.map_or(default, |_| {
            let share = CONNECTIONS_SHARE * share / (CALLERS_SHARE + PEERS_SHARE);
            (self.budget().0 as f64 * share) as usize / CONNECTION_BYTES
        });
        by_descriptors.min(by_memory).max(1)
    }
}

/// Number of bytes that may be held for clients, backend servers and other nodes.
#[derive(Debug)]
pub struct MemoryBudget {
    capacity: usize,
    used: Cell<usize>,
    bodies: RefCell<BTreeMap<u64, BodyProgress>>,
    next_body: Cell<u64>,
}

impl MemoryBudget {
    /// A budget of which nothing is used.
    pub fn new(capacity: MemorySize) -> Rc<Self> {
        Rc::new(Self {
            capacity: capacity.0,
            used: Cell::default(),
            bodies: RefCell::default(),
            next_body: Cell::default(),
        })
    }

    /// Bytes charged.
    pub fn used(&self) -> MemorySize {
        MemorySize(self.used.get())
    }

    /// Whether less than an eighth of the budget is left.
    ///
    /// ```
    /// use comfreybay::state::memory::{Charge, MemoryBudget, MemorySize};
    /// let budget = MemoryBudget::new(MemorySize(800));
    /// let mut charge = Charge::new(&budget);
    /// assert!(charge.try_grow(700));
    /// assert!(!budget.is_short());
    /// assert!(!charge.try_grow(200));
    /// charge.grow(200);
    /// assert!(budget.is_short());
    /// drop(charge);
    /// assert_eq!(budget.used(), MemorySize(0));
    /// ```
    pub fn is_short(&self) -> bool {
        self.used.get() > self.capacity - self.capacity / 8
    }

    /// Registers a body that begins to be read.
    pub fn start_body(self: &Rc<Self>, now: Instant) -> BodyRead {
        let id = self.next_body.get();
        self.next_body.set(id + 1);
        let progress = BodyProgress {
            last_byte: now,
            window_start: now,
            window_bytes: 0,
            ended: Rc::default(),
        };
        let ended = progress.ended.clone();
        self.bodies.borrow_mut().insert(id, progress);
        BodyRead {
            budget: self.clone(),
            id,
            ended,
        }
    }

    /// Ends the body that has brought nothing for longest, and at least for a second; returns whether
    /// there was one. Only bodies that are still being read are considered.
    pub fn end_slowest(&self, now: Instant) -> bool {
        let mut bodies = self.bodies.borrow_mut();
        let slowest = bodies.iter().min_by_key(|(_, body)| body.last_byte);
        let Some((&id, body)) = slowest else {
            return false;
        };
        if now.saturating_duration_since(body.last_byte) < BODY_STALL {
            return false;
        }
        let body = bodies.remove(&id).expect("the body was found");
        body.ended.notify_one();
        true
    }
}

/// Bytes charged to a budget until this is dropped.
#[derive(Debug)]
pub struct Charge {
    budget: Rc<MemoryBudget>,
    bytes: usize,
}

impl Charge {
    /// A charge of nothing.
    pub fn new(budget: &Rc<MemoryBudget>) -> Self {
        Self {
            budget: budget.clone(),
            bytes: 0,
        }
    }

    /// Charges more bytes if the budget allows it.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let fits = self.budget.used.get() + bytes <= self.budget.capacity;
        if fits {
            self.grow(bytes);
        }
        fits
    }

    /// Charges more bytes in any case, for requests that have been forwarded.
    pub fn grow(&mut self, bytes: usize) {
        self.set(self.bytes + bytes);
    }

    /// Charges this number of bytes in any case.
    pub fn set(&mut self, bytes: usize) {
        self.budget.used.update(|used| used - self.bytes + bytes);
        self.bytes = bytes;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.budget.used.update(|used| used - self.bytes);
    }
}

#[derive(Debug)]
struct BodyProgress {
    last_byte: Instant,
    window_start: Instant,
    window_bytes: usize,
    ended: Rc<Notify>,
}

/// A body that is being read, until this is dropped.
#[derive(Debug)]
pub struct BodyRead {
    budget: Rc<MemoryBudget>,
    id: u64,
    ended: Rc<Notify>,
}

impl BodyRead {
    /// Records bytes that have arrived.
    pub fn received(&self, bytes: usize, now: Instant) {
        if let Some(body) = self.budget.bodies.borrow_mut().get_mut(&self.id) {
            body.last_byte = now;
            body.window_bytes += bytes;
        }
    }

    /// Whether the body has brought too little, or was ended. Begins a new window after each one that
    /// has passed.
    pub fn is_too_slow(&self, now: Instant) -> bool {
        let mut bodies = self.budget.bodies.borrow_mut();
        let Some(body) = bodies.get_mut(&self.id) else {
            return true;
        };
        if now < body.window_start + BODY_WINDOW {
            return false;
        }
        let is_too_slow = body.window_bytes < BODY_WINDOW_BYTES;
        (body.window_start, body.window_bytes) = (now, 0);
        is_too_slow
    }

    /// End of the present window; now if the body was ended.
    pub fn window_end(&self, now: Instant) -> Instant {
        let bodies = self.budget.bodies.borrow();
        bodies
            .get(&self.id)
            .map_or(now, |body| body.window_start + BODY_WINDOW)
    }

    /// Waits until the body is ended for another one.
    pub async fn ended(&self) {
        self.ended.notified().await;
    }
}

impl Drop for BodyRead {
    fn drop(&mut self) {
        self.budget.bodies.borrow_mut().remove(&self.id);
    }
}

#[cfg(test)]
mod tests;
