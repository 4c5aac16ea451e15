//! What a node needs of a platform: its header names and the reading of its store.
//!
//! An adapter implements [`Directory`]. Nothing else of the product knows the platform's wire form.

use std::time::Duration;

use http::HeaderName;
use thiserror::Error;

use crate::state::mesh::{
    backend::{Backend, InstanceId},
    route::RouteTable,
};

/// Names of the headers that the platform's callers and backend servers use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeaderNames {
    /// Id of one attempt of a caller, repeated on the answer.
    pub attempt_id: HeaderName,
    /// Time left, in ms.
    pub time_left: HeaderName,
    /// The backend server's mark on an answer that it made.
    pub seal: HeaderName,
    /// The only backend server that may run the request.
    pub expected_instance: HeaderName,
    /// The backend server's load.
    pub load: HeaderName,
    /// Present when the backend server did not run the request.
    pub not_run: HeaderName,
    /// Service of the instance where the request began.
    pub origin_service: HeaderName,
    /// Follows the id of a request in the ids of the calls that are made for it.
    pub call_separator: char,
}

/// Why something that the store holds can't be used.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum DirectoryError {
    /// The answer of the store has another form.
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

/// Something that the store holds or has lost.
#[derive(Debug, Clone, PartialEq)]
pub enum Item {
    /// A backend server's entry.
    Backend {
        /// Its id.
        id: InstanceId,
        /// The entry; an error when it names no usable server.
        entry: Result<Backend>,
        /// Revision of the store at which it was written.
        revision: u64,
    },
    /// The entry of a backend server is no longer there.
    Removed {
        /// Its id.
        id: InstanceId,
        /// Revision of the store at which it was removed.
        revision: u64,
    },
    /// The routes in effect.
    Routes {
        /// The routes; an error when the set is not usable.
        table: Result<RouteTable>,
        /// Revision of the store at which they were written.
        revision: u64,
    },
}

impl Item {
    /// Revision of the store at which it was last changed.
    pub fn revision(&self) -> u64 {
        match self {
            Self::Backend { revision, .. }
            | Self::Removed { revision, .. }
            | Self::Routes { revision, .. } => *revision,
        }
    }
}

/// One page of all that the store holds.
#[derive(Debug, Clone, PartialEq)]
pub struct Page {
    /// What is on the page.
    pub items: Vec<Item>,
    /// The last key of the page, when there are more pages.
    pub cursor: Option<String>,
    /// Revision of the store when the page was read.
    pub revision: u64,
}

/// What has changed since a revision.
#[derive(Debug, Clone, PartialEq)]
pub struct Changes {
    /// The changes in their order.
    pub items: Vec<Item>,
    /// Revision to continue from.
    pub revision: u64,
}

/// Translation between the platform's store and the product's types.
pub trait Directory: 'static {
    /// Path and query that read a page, the one after the key `after` if given.
    fn list_path(&self, after: Option<&str>) -> String;

    /// Path and query that wait up to `wait` for changes after a revision.
    fn watch_path(&self, revision: u64, wait: Duration) -> String;

    /// Reads a page.
    ///
    /// # Errors
    /// The body is no page.
    fn parse_page(&self, body: &[u8]) -> Result<Page>;

    /// Reads changes.
    ///
    /// # Errors
    /// The body is no list of changes.
    fn parse_changes(&self, body: &[u8]) -> Result<Changes>;
}
