//! Requests in progress at a backend server, and the calls that it makes for them.

use std::collections::BTreeMap;

use crate::state::{
    held::fingerprint,
    id::{ClassName, RootId},
};

/// What calls inherit from the request that they are made for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Parent {
    /// Id of the client request.
    pub root: RootId,
    /// Importance of the client request.
    pub importance: u8,
    /// Class of the request.
    pub class: ClassName,
    /// Whether the request, or one that it belongs to, was sent before.
    pub repeated: bool,
}

/// Requests in progress at the backend server, by id.
#[derive(Debug, Default)]
pub struct RunningRequests {
    running: BTreeMap<String, Parent>,
}

impl RunningRequests {
    /// Records that a request was sent to the backend server.
    pub fn started(&mut self, id: &str, parent: Parent) {
        self.running.insert(id.to_owned(), parent);
    }

    /// Records that a request has ended.
    pub fn ended(&mut self, id: &str) {
        self.running.remove(id);
    }

    /// The request for which a call is made. The id of a call is that of its request, followed by
    /// `separator` and a suffix.
    ///
    /// ```
    /// use comfreybay::state::{id::RootId, mesh::calls::{RunningRequests, Parent}};
    /// let class = "order".parse()?;
    /// let parent = Parent { root: RootId([1; 16]), importance: 0, class, repeated: false };
    /// let mut requests = RunningRequests::default();
    /// requests.started("a", parent.clone());
    /// assert_eq!(requests.parent("a.b", '.'), Some(&parent));
    /// assert_eq!(requests.parent("a", '.'), None);
    /// # Ok::<(), comfreybay::state::Error>(())
    /// ```
    pub fn parent(&self, id: &str, separator: char) -> Option<&Parent> {
        let (parent, _) = id.rsplit_once(separator)?;
        self.running.get(parent)
    }
}

/// Id of the client request that a request or call belongs to, from the first part of its `id`.
pub fn root_id(id: &str, separator: char) -> RootId {
    let first = id.split(separator).next().unwrap_or_default();
    RootId(fingerprint(&[first.as_bytes()]).0)
}
