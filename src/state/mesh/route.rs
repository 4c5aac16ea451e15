//! Routes in effect: which requests go to which service, and how.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use thiserror::Error;

use crate::state::id::{ClassName, Revision, ServiceName};

/// Faults of a set of routes.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum Error {
    /// A prefix does not begin and end with a slash.
    #[error("could not accept route {0}: its prefix has to begin and end with a slash")]
    Prefix(ClassName),
    /// Two routes have the same host and prefix.
    #[error("could not accept route {0}: another route has its host and prefix")]
    Twice(ClassName),
    /// A route names a service that is not configured.
    #[error("could not accept route {0}: service {1} is not configured")]
    Service(ClassName, ServiceName),
    /// A number is out of its range.
    #[error("could not accept route {0}: {1} is out of range")]
    Range(ClassName, &'static str),
}

/// Result of checking routes.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A service that gets a share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the other parts.
    pub weight: f64,
}

/// A class of requests, recognised by host and path.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub class: ClassName,
    /// Host of the requests.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// The services that run the requests; at least one.
    pub services: Vec<WeightedService>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time that a request may be kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is of full use.
    pub target: Duration,
    /// Most backend servers that one request may be sent to.
    pub attempts: u32,
    /// Importance; 0 is the most important.
    pub importance: u8,
}

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Longest time without a request on an open connection.
    pub idle_timeout: Duration,
}

/// What is configured for a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Service {
    /// Connections that one backend server accepts.
    pub connections: u32,
}

/// A checked set of routes.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTable {
    revision: Revision,
    hosts: BTreeMap<String, BTreeMap<String, Rc<Route>>>,
    services: BTreeMap<ServiceName, Service>,
    bounds: Bounds,
}

impl RouteTable {
    /// Checks routes and services as one set.
    ///
    /// # Errors
    /// The first fault found; nothing of the set is usable then.
    pub fn new(
        revision: Revision,
        routes: Vec<Route>,
        services: BTreeMap<ServiceName, Service>,
        bounds: Bounds,
    ) -> Result<Self> {
        let mut hosts: BTreeMap<String, BTreeMap<String, Rc<Route>>> = BTreeMap::new();
        for route in routes {
            check(&route, &services)?;
            let class = route.class.clone();
            let prefixes = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            let before = prefixes.insert(route.prefix.clone(), Rc::new(route));
            if before.is_some() {
                return Err(Error::Twice(class));
            }
        }
        Ok(Self {
            revision,
            hosts,
            services,
            bounds,
        })
    }

    /// The version of the set.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// What callers may send.
    pub fn bounds(&self) -> Bounds {
        self.bounds
    }

    /// What is configured for a service.
    pub fn service(&self, name: &ServiceName) -> Option<Service> {
        self.services.get(name).copied()
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.hosts.values().flat_map(BTreeMap::values)
    }

    /// The route of the host with the longest prefix of `path`.
    ///
    /// A port that follows the host is ignored, as is the case of the host.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        let mut slashes = path.rmatch_indices('/');
        slashes.find_map(|(at, _)| routes.get(&path[..=at]))
    }
}

fn check(route: &Route, services: &BTreeMap<ServiceName, Service>) -> Result<()> {
    let class = || route.class.clone();
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(Error::Prefix(class()));
    }
    if route.timeout.is_zero() {
        return Err(Error::Range(class(), "the timeout"));
    }
    if route.attempts == 0 {
        return Err(Error::Range(class(), "the number of attempts"));
    }
    let weights = || route.services.iter().map(|p| p.weight);
    let usable = weights().all(|w| w.is_finite() && w >= 0.0);
    if !usable || weights().sum::<f64>() <= 0.0 {
        return Err(Error::Range(class(), "a weight"));
    }
    let unknown = route
        .services
        .iter()
        .find(|p| !services.contains_key(&p.service));
    match unknown {
        Some(part) => Err(Error::Service(class(), part.service.clone())),
        None => Ok(()),
    }
}
