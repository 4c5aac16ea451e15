//! Requests at a backend server, and the services that requests lead to.

use std::collections::{BTreeMap, BTreeSet};

use crate::state::{
    held::fingerprint,
    id::{ClassName, RootId, ServiceName},
};

/// Classes of which the services are kept; a configuration has fewer.
const CLASSES_MAX: usize = 4_096;

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

/// Requests at the backend server by their ids, and the services below each class.
#[derive(Debug, Default)]
pub struct Calls {
    running: BTreeMap<String, Parent>,
    below: BTreeMap<ClassName, BTreeSet<ServiceName>>,
}

impl Calls {
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
    /// use comfreybay::state::{id::RootId, mesh::calls::{Calls, Parent}};
    /// let parent = Parent { root: RootId([1; 16]), importance: 0, class: "order".parse()? };
    /// let mut calls = Calls::default();
    /// calls.started("a", parent.clone());
    /// assert_eq!(calls.parent("a.b", '.'), Some(&parent));
    /// assert_eq!(calls.parent("a", '.'), None);
    /// # Ok::<(), comfreybay::state::Error>(())
    /// ```
    pub fn parent(&self, id: &str, mark: char) -> Option<&Parent> {
        let (parent, _) = id.rsplit_once(mark)?;
        self.running.get(parent)
    }

    /// Takes over the services that an answer to a request of a class names.
    pub fn reached<'a>(
        &mut self,
        class: &ClassName,
        services: impl Iterator<Item = &'a ServiceName>,
    ) {
        if self.below.len() >= CLASSES_MAX && !self.below.contains_key(class) {
            return;
        }
        let known = self.below.entry(class.clone()).or_default();
        for service in services {
            if !known.contains(service) {
                known.insert(service.clone());
            }
        }
    }

    /// The services that requests of a class are known to lead to.
    pub fn below(&self, class: &ClassName) -> impl Iterator<Item = &ServiceName> {
        self.below.get(class).into_iter().flatten()
    }

    /// Forgets the services, after the routes have changed.
    pub fn forget(&mut self) {
        self.below.clear();
    }
}

/// The client request behind an id: that of the first request in it.
pub fn root(id: &str, mark: char) -> RootId {
    let first = id.split(mark).next().unwrap_or_default();
    RootId(fingerprint(&[first.as_bytes()]).0)
}
