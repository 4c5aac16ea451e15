//! A request between two nodes.

use std::time::Duration;

use http::{HeaderMap, HeaderName};
use tokio::time::Instant;

use crate::{
    protocol::{
        call::{HeaderError, Result, read, read_required, write},
        header,
    },
    state::{
        id::{ClassName, RootId, ServiceName},
        mesh::backend::InstanceId,
        priority::Priority,
    },
};

use super::super::request::BufferedRequest;

/// Upper bound on a time that a peer names, so that sums with it can't overflow.
const TIME_MAX_MS: u64 = 3_600_000;

/// What is known about a request wherever it goes.
#[derive(Debug, Clone)]
pub struct Order {
    /// Its route.
    pub class: ClassName,
    /// The client request behind it.
    pub root: RootId,
    /// Importance of the client request; 0 is the most important.
    pub importance: u8,
    /// Whether it is a call of work that has begun.
    pub begun: bool,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// When its answer is due.
    pub deadline: Instant,
    /// Longest useful wait for a slot.
    pub patience: Duration,
    /// Service of the instance where it began.
    pub origin: ServiceName,
    /// The request itself.
    pub message: BufferedRequest,
}

impl Order {
    /// Its place among others, the same for all calls that are made for one client request.
    pub fn priority(&self) -> Priority {
        Priority::new(self.importance, false, self.root)
    }

    /// The id of the request, from the header that holds it; empty when there is none.
    pub fn id(&self, name: &HeaderName) -> &str {
        let value = self.message.headers.get(name);
        value.and_then(|v| v.to_str().ok()).unwrap_or_default()
    }

    /// Time left until the deadline.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Writes what the next node needs to know.
    pub fn write(&self, instance: &InstanceId, headers: &mut HeaderMap) {
        write(headers, header::CLASS, &self.class);
        write(headers, header::ROOT, &self.root);
        write(headers, header::IMPORTANCE, &self.importance);
        write(headers, header::TIMEOUT_MS, &self.left().as_millis());
        write(headers, header::PATIENCE_MS, &self.patience.as_millis());
        write(headers, header::ORIGIN, &self.origin);
        write(headers, header::INSTANCE, instance);
        if self.begun {
            write(headers, header::BEGUN, &1);
        }
        if self.idempotent {
            write(headers, header::IDEMPOTENT, &1);
        }
    }
}

/// What another node tells about a request.
#[derive(Debug, Clone)]
pub struct Head {
    class: ClassName,
    root: RootId,
    importance: u8,
    begun: bool,
    idempotent: bool,
    timeout: Duration,
    patience: Duration,
    origin: ServiceName,
    /// The only backend server that may run it.
    pub instance: InstanceId,
}

impl Head {
    /// Reads the headers that [`Order::write`] writes.
    ///
    /// # Errors
    /// A header is missing or malformed.
    pub fn read(headers: &HeaderMap) -> Result<Self> {
        Ok(Self {
            class: read_required(headers, header::CLASS)?,
            root: read_required(headers, header::ROOT)?,
            importance: read_required(headers, header::IMPORTANCE)?,
            begun: read::<u8>(headers, header::BEGUN)?.is_some(),
            idempotent: read::<u8>(headers, header::IDEMPOTENT)?.is_some(),
            timeout: time(headers, header::TIMEOUT_MS)?,
            patience: time(headers, header::PATIENCE_MS)?,
            origin: read_required(headers, header::ORIGIN)?,
            instance: read_required(headers, header::INSTANCE)?,
        })
    }

    /// The order for a request that arrived at `arrived`.
    pub fn order(self, arrived: Instant, message: BufferedRequest) -> (Order, InstanceId) {
        let order = Order {
            class: self.class,
            root: self.root,
            importance: self.importance,
            begun: self.begun,
            idempotent: self.idempotent,
            deadline: arrived + self.timeout,
            patience: self.patience,
            origin: self.origin,
            message,
        };
        (order, self.instance)
    }
}

fn time(headers: &HeaderMap, name: &'static str) -> Result<Duration> {
    let ms: u64 = read_required(headers, name)?;
    if ms > TIME_MAX_MS {
        return Err(HeaderError::Malformed(name));
    }
    Ok(Duration::from_millis(ms))
}
