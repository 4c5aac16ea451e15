//! What a node needs from a platform: the names of its headers, and the contents of its store.
//!
//! An adapter implements [`Directory`]. No other code depends on the platform's wire format.

use std::time::Duration;

use http::{HeaderMap, HeaderName};
use thiserror::Error;

use crate::state::mesh::{
    backend::{Backend, InstanceId},
    revision::Epoch,
    route::RouteTable,
};

/// Names of the headers that the platform's callers and backend servers use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeaderNames {
    /// Id of one attempt of a caller, repeated in the answer.
    pub attempt_id: HeaderName,
    /// Time left, in ms.
    pub time_left: HeaderName,
    /// Present on answers that the backend server generated itself.
    pub seal: HeaderName,
    /// The only backend server that may run the request.
    pub expected_instance: HeaderName,
    /// The backend server's load.
    pub load: HeaderName,
    /// Present when the backend server did not run the request.
    pub not_run: HeaderName,
    /// Requests per second that the backend server accepts, while it is in need.
    pub rate_limit: HeaderName,
    /// Present when the backend server leaves.
    pub leaving: HeaderName,
    /// Service of the instance where the request originated.
    pub origin_service: HeaderName,
    /// Name of the organisation that a request belongs to, for the backend server.
    pub organisation: HeaderName,
    /// Separates the id of a request from the suffix in the ids of the calls made for it.
    pub call_separator: char,
}

/// Why data from the store can't be used.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum DirectoryError {
    /// The answer of the store is malformed.
    #[error("could not read the answer of the store: {0}")]
    Answer(String),
    /// The entry of a backend server is malformed.
    #[error("could not read an entry of a backend server: {0}")]
    Entry(String),
    /// The routes are malformed or inconsistent.
    #[error("could not read the routes: {0}")]
    Routes(String),
}

/// Result of reading from the store.
pub type Result<T, E = DirectoryError> = std::result::Result<T, E>;

/// Something that the store holds, or that was removed from it.
#[derive(Debug, Clone, PartialEq)]
pub enum Item {
    /// The entry of a backend server.
    Backend {
        /// Its id.
        id: InstanceId,
        /// The entry; an error if it does not describe a usable server.
        entry: Result<Backend>,
        /// Revision of the store at which it was written.
        revision: u64,
    },
    /// The entry of a backend server was removed.
    Removed {
        /// Its id.
        id: InstanceId,
        /// Revision of the store at which it was removed.
        revision: u64,
    },
    /// The routes in effect.
    Routes {
        /// The routes; an error if they are not usable.
        table: Result<RouteTable>,
        /// Revision of the store at which they were written.
        revision: u64,
    },
}

impl Item {
    /// Revision of the store at which the item was last changed.
    pub fn revision(&self) -> u64 {
        match self {
            Self::Backend { revision, .. }
            | Self::Removed { revision, .. }
            | Self::Routes { revision, .. } => *revision,
        }
    }
}

/// One page of the contents of the store.
#[derive(Debug, Clone, PartialEq)]
pub struct Page {
    /// The items on the page.
    pub items: Vec<Item>,
    /// The last key of the page, after which the next one begins; `None` on the last page.
    pub cursor: Option<String>,
    /// Revision of the store when the page was read.
    pub revision: u64,
}

/// Changes of the store since a revision.
#[derive(Debug, Clone, PartialEq)]
pub struct Changes {
    /// The changes, in their order.
    pub items: Vec<Item>,
    /// Revision to continue from.
    pub revision: u64,
}

/// Requests to the platform's store, and parsing of its answers.
pub trait Directory: 'static {
    /// Path and query of a request for a page: the first, or the one after the key `after`.
    fn list_path(&self, after: Option<&str>) -> String;

    /// Path and query of a request that waits up to `wait` for changes after a revision.
    fn watch_path(&self, revision: u64, wait: Duration) -> String;

    /// The epoch of the store that an answer states; `None` if it states none.
    fn epoch(&self, headers: &HeaderMap) -> Option<Epoch>;

    /// Parses a page.
    ///
    /// # Errors
    /// The body is not a page.
    fn parse_page(&self, body: &[u8]) -> Result<Page>;

    /// Parses changes.
    ///
    /// # Errors
    /// The body is not a list of changes.
    fn parse_changes(&self, body: &[u8]) -> Result<Changes>;
}
