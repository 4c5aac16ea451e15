//! Request metadata, and the headers that carry it between two nodes.

use std::time::Duration;

use http::{HeaderMap, HeaderName};
use tokio::time::Instant;

use crate::{
    protocol::{
        call::{HeaderError, Result, read, read_required, write, write_unique},
        header,
    },
    state::{
        id::{ClassName, OrganisationName, RootId, ServiceName},
        mesh::backend::InstanceId,
        priority::Priority,
    },
};

use super::super::request::BufferedRequest;

/// Upper bound on a duration received from a peer, so that adding it to a time can't overflow.
const TIMEOUT_MAX_MS: u64 = 3_600_000;

/// A request and its metadata, the same at the sending and the receiving node.
#[derive(Debug, Clone)]
pub struct RequestContext {
    /// Class name of its route.
    pub class: ClassName,
    /// ID of the client request that caused it.
    pub root: RootId,
    /// Importance of the client request; 0 is the most important.
    pub importance: u8,
    /// Whether it is a call made on behalf of a request that has begun.
    pub begun: bool,
    /// Whether it, or a request on whose behalf it is made, has been sent before.
    pub repeated: bool,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// When its response is due.
    pub deadline: Instant,
    /// Longest useful wait for a slot of a backend server.
    pub max_wait: Duration,
    /// Service of the instance that sent it.
    pub origin: ServiceName,
    /// Organisation of the client request, if it belongs to one.
    pub organisation: Option<OrganisationName>,
    /// The request itself.
    pub request: BufferedRequest,
}

impl RequestContext {
    /// Its priority, the same for all calls made for one client request.
    pub fn priority(&self) -> Priority {
        Priority::new(self.importance, false, self.root)
    }

    /// The attempt ID from the header `name`; empty if it is missing or not ASCII.
    pub fn id(&self, name: &HeaderName) -> &str {
        let value = self.request.headers.get(name);
        value.and_then(|v| v.to_str().ok()).unwrap_or_default()
    }

    /// Time left until the deadline.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Writes the metadata for the receiving node.
    pub fn write(&self, instance: &InstanceId, headers: &mut HeaderMap) {
        write(headers, header::CLASS, &self.class);
        write_unique(headers, header::ROOT, &self.root);
        write(headers, header::IMPORTANCE, &self.importance);
        write_unique(headers, header::TIMEOUT_MS, &self.left().as_millis());
        write(headers, header::MAX_WAIT_MS, &self.max_wait.as_millis());
        write(headers, header::ORIGIN, &self.origin);
        write(headers, header::INSTANCE, instance);
        if let Some(organisation) = &self.organisation {
            write(headers, header::ORGANISATION, organisation);
        }
        if self.begun {
            write(headers, header::BEGUN, &1);
        }
        if self.repeated {
            write(headers, header::REPEATED, &1);
        }
        if self.idempotent {
            write(headers, header::IDEMPOTENT, &1);
        }
    }
}

/// Metadata of a request received from another node.
#[derive(Debug, Clone)]
pub struct PeerHeaders {
    class: ClassName,
    root: RootId,
    importance: u8,
    begun: bool,
    repeated: bool,
    idempotent: bool,
    timeout: Duration,
    max_wait: Duration,
    origin: ServiceName,
    organisation: Option<OrganisationName>,
    /// The only backend server that may run it.
    pub instance: InstanceId,
}

impl PeerHeaders {
    /// Whether it is a call made on behalf of a request that has begun.
    pub fn begun(&self) -> bool {
        self.begun
    }

    /// Time left until the response is due.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Reads the headers that [`RequestContext::write`] writes.
    ///
    /// # Errors
    /// A header is missing or malformed.
    pub fn read(headers: &HeaderMap) -> Result<Self> {
        Ok(Self {
            class: read_required(headers, header::CLASS)?,
            root: read_required(headers, header::ROOT)?,
            importance: read_required(headers, header::IMPORTANCE)?,
            begun: read::<u8>(headers, header::BEGUN)?.is_some(),
            repeated: read::<u8>(headers, header::REPEATED)?.is_some(),
            idempotent: read::<u8>(headers, header::IDEMPOTENT)?.is_some(),
            timeout: read_time(headers, header::TIMEOUT_MS)?,
            max_wait: read_time(headers, header::MAX_WAIT_MS)?,
            origin: read_required(headers, header::ORIGIN)?,
            organisation: read(headers, header::ORGANISATION)?,
            instance: read_required(headers, header::INSTANCE)?,
        })
    }

    /// Combines the metadata with the request, received at `arrived`.
    pub fn into_context(
        self,
        arrived: Instant,
        request: BufferedRequest,
    ) -> (RequestContext, InstanceId) {
        let context = RequestContext {
            class: self.class,
            root: self.root,
            importance: self.importance,
            begun: self.begun,
            repeated: self.repeated,
            idempotent: self.idempotent,
            deadline: arrived + self.timeout,
            max_wait: self.max_wait,
            origin: self.origin,
            organisation: self.organisation,
            request,
        };
        (context, self.instance)
    }
}

fn read_time(headers: &HeaderMap, name: &'static str) -> Result<Duration> {
    let ms: u64 = read_required(headers, name)?;
    if ms > TIMEOUT_MAX_MS {
        return Err(HeaderError::Malformed(name));
    }
    Ok(Duration::from_millis(ms))
}
