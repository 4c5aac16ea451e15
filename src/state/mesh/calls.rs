//! Requests in progress at a backend server, and the calls that it makes for them.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use crate::state::{
    held::fingerprint,
    id::{ClassName, OrganisationName, RootId},
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
    /// Organisation of the client request.
    pub organisation: Option<OrganisationName>,
    /// Whether the request, or one that it belongs to, was sent before.
    pub repeated: bool,
}

/// Requests in progress at the backend server, by id.
#[derive(Debug, Default)]
pub struct RunningRequests {
    running: BTreeMap<Rc<str>, Parent>,
}

impl RunningRequests {
    /// The request for which a call is made. The id of a call is that of its request, followed by
    /// `separator` and a suffix.
    ///
    /// ```
    /// use comfreybay::state::{id::RootId, mesh::calls::{Parent, RunningRequest, RunningRequests}};
    /// use std::{cell::RefCell, rc::Rc};
    /// let class = "order".parse()?;
    /// let root = RootId([1; 16]);
    /// let parent = Parent { root, importance: 0, class, organisation: None, repeated: false };
    /// let requests = Rc::<RefCell<RunningRequests>>::default();
    /// let running = RunningRequest::start(&requests, "a", parent.clone());
    /// assert_eq!(requests.borrow().parent("a.b", '.'), Some(&parent));
    /// assert_eq!(requests.borrow().parent("a", '.'), None);
    /// drop(running);
    /// assert_eq!(requests.borrow().parent("a.b", '.'), None);
    /// # Ok::<(), comfreybay::state::Error>(())
    /// ```
    pub fn parent(&self, id: &str, separator: char) -> Option<&Parent> {
        let (parent, _) = id.rsplit_once(separator)?;
        self.running.get(parent)
    }
}

/// A request that was sent to the backend server; listed in a table until this is dropped.
#[derive(Debug)]
pub struct RunningRequest {
    id: Rc<str>,
    table: Rc<RefCell<RunningRequests>>,
}

impl RunningRequest {
    /// Lists a request in a table.
    pub fn start(table: &Rc<RefCell<RunningRequests>>, id: &str, parent: Parent) -> Self {
        let (id, table): (Rc<str>, _) = (id.into(), table.clone());
        table.borrow_mut().running.insert(id.clone(), parent);
        Self { id, table }
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.table.borrow_mut().running.remove(&self.id);
    }
}

/// Id of the client request that a request or call belongs to, from the first part of its `id`.
pub fn root_id(id: &str, separator: char) -> RootId {
    let first = id.split(separator).next().unwrap_or_default();
    RootId(fingerprint(&[first.as_bytes()]).0)
}
