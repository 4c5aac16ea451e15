//! The objects of a set, by kind and name.

use std::collections::BTreeMap;

use super::{Entry, ObjectSet};
use crate::state::{
    id::{ClassName, ServiceName},
    object::{Chain, Class, Deployment, Kind, Limit, Object, Service, Upstream},
};

/// An object with the [`Entry`] that it was read from.
pub type Declared<'a, T> = (&'a Entry, &'a T);

/// The objects of a set, by kind.
///
/// Of several services or classes with the same name, only the first is included.
#[derive(Debug)]
pub struct Index<'a> {
    /// The set.
    pub set: &'a ObjectSet,
    /// The deployments.
    pub deployments: Vec<Declared<'a, Deployment>>,
    /// Services by name.
    pub services: BTreeMap<&'a ServiceName, Declared<'a, Service>>,
    /// Upstreams by service, sorted by name.
    pub upstreams: BTreeMap<&'a ServiceName, Vec<Declared<'a, Upstream>>>,
    /// Classes by name.
    pub classes: BTreeMap<&'a ClassName, Declared<'a, Class>>,
    /// Chains, sorted by name.
    pub chains: Vec<Declared<'a, Chain>>,
    /// Limits, sorted by name.
    pub limits: Vec<Declared<'a, Limit>>,
}

impl<'a> Index<'a> {
    /// Creates the index of a set.
    pub fn new(set: &'a ObjectSet) -> Self {
        let mut index = Self {
            set,
            deployments: vec![],
            services: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            classes: BTreeMap::new(),
            chains: vec![],
            limits: vec![],
        };
        for entry in &set.entries {
            index.insert(entry);
        }
        for list in index.upstreams.values_mut() {
            list.sort_by_key(|(_, u)| &u.name);
        }
        index.chains.sort_by_key(|(_, c)| &c.name);
        index.limits.sort_by_key(|(_, l)| &l.name);
        index
    }

    fn insert(&mut self, entry: &'a Entry) {
        match &entry.object {
            Object::Owner(_) => {}
            Object::Deployment(o) => self.deployments.push((entry, o)),
            Object::Service(o) => {
                self.services.entry(&o.name).or_insert((entry, o));
            }
            Object::Upstream(o) => self
                .upstreams
                .entry(&o.service)
                .or_default()
                .push((entry, o)),
            Object::Class(o) => {
                self.classes.entry(&o.name).or_insert((entry, o));
            }
            Object::Chain(o) => self.chains.push((entry, o)),
            Object::Limit(o) => self.limits.push((entry, o)),
        }
    }

    /// The deployment, if there is exactly one.
    pub fn deployment(&self) -> Option<&'a Deployment> {
        match self.deployments.as_slice() {
            [(_, deployment)] => Some(deployment),
            _ => None,
        }
    }

    /// The upstreams of a service.
    pub fn upstreams(&self, service: &ServiceName) -> &[Declared<'a, Upstream>] {
        self.upstreams.get(service).map_or(&[], Vec::as_slice)
    }

    /// Whether an object of this kind and name is declared, or may be, because an object of the
    /// kind is unreadable and its name is unknown.
    pub fn is_declared(&self, kind: Kind, name: &str) -> bool {
        let unreadable = |name: &str| self.set.unreadable.contains(&(kind, name.to_owned()));
        unreadable(name) || unreadable("") || self.names(kind).any(|n| n == name)
    }

    /// The names of all readable objects of a kind.
    pub fn names(&self, kind: Kind) -> Box<dyn Iterator<Item = &'a str> + '_> {
        match kind {
            Kind::Service => Box::new(self.services.keys().map(|n| n.as_str())),
            Kind::Class => Box::new(self.classes.keys().map(|n| n.as_str())),
            _ => {
                let entries = self.set.entries.iter();
                let same = entries.filter(move |e| e.object.kind() == kind);
                Box::new(same.map(|e| e.object.name()))
            }
        }
    }
}
