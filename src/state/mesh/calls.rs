//! Requests at a backend server, and the calls that belong to them.

use std::collections::BTreeMap;

use crate::state::{
    held::fingerprint,
    id::{ClassName, RootId},
};

/// What the calls of a request take over from it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Parent {
    /// The client request behind it.
    pub root: RootId,
    /// Importance of the client request.
    pub importance: u8,
    /// Class of the request.
    pub class: ClassName,
}

/// Requests at the backend server by their ids.
#[derive(Debug, Default)]
pub struct RunningRequests {
    running: BTreeMap<String, Parent>,
}

impl RunningRequests {
    /// Notes that a request was handed to the backend server.
    pub fn started(&mut self, id: &str, parent: Parent) {
        self.running.insert(id.to_owned(), parent);
    }

    /// Notes that a request has ended.
    pub fn ended(&mut self, id: &str) {
        self.running.remove(id);
    }

    /// The request for which a call is made; the id of a call begins with that of the request.
    ///
    /// ```
    /// use comfreybay::state::{id::RootId, mesh::calls::{RunningRequests, Parent}};
    /// let parent = Parent { root: RootId([1; 16]), importance: 0, class: "order".parse()? };
    /// let mut calls = RunningRequests::default();
    /// calls.started("a", parent.clone());
    /// assert_eq!(calls.parent("a.b", '.'), Some(&parent));
    /// assert_eq!(calls.parent("a", '.'), None);
    /// # Ok::<(), comfreybay::state::Error>(())
    /// ```
    pub fn parent(&self, id: &str, mark: char) -> Option<&Parent> {
        let (parent, _) = id.rsplit_once(mark)?;
        self.running.get(parent)
    }
}

/// The client request behind an id: that of the first request in it.
pub fn root_id(id: &str, mark: char) -> RootId {
    let first = id.split(mark).next().unwrap_or_default();
    RootId(fingerprint(&[first.as_bytes()]).0)
}
