//! Routes in effect: which requests go to which service, and how.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use thiserror::Error;

use crate::state::id::{ClassName, Revision, ServiceName};

use super::{
    organisation::{Organisation, Organisations},
    precedence::Precedence,
};

/// Errors in a set of routes.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum Error {
    /// A prefix does not begin and end with a slash.
    #[error("could not accept route {0}: expected a prefix that begins and ends with a slash")]
    Prefix(ClassName),
    /// Two routes have the same host and prefix.
    #[error("could not accept route {0}: another route has the same host and prefix")]
    Duplicate(ClassName),
    /// A route names a service that is not configured.
    #[error("could not accept route {0}: service {1} is not configured")]
    Service(ClassName, ServiceName),
    /// A number is out of its range.
    #[error("could not accept route {0}: {1}")]
    Range(ClassName, &'static str),
}

/// Result of checking routes.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the weights of the route's other services.
    pub weight: f64,
}

/// A class of requests, recognised by host and path.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the class.
    pub class: ClassName,
    /// Host of the requests.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Services that process the requests; at least one.
    pub services: Vec<WeightedService>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time from a request to its answer.
    pub timeout: Duration,
    /// Latency target: time within which an answer is of full use to the caller.
    pub target: Duration,
    /// Largest number of backend servers that one request may be sent to.
    pub attempts: u32,
    /// Importance; 0 is the most important.
    pub importance: u8,
    /// Whether its requests need no key of an organisation.
    pub is_exempt: bool,
}

/// Limits on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Largest head of a request in bytes.
    pub header_bytes: usize,
    /// Longest time from the first byte of a head to its end.
    pub header_timeout: Duration,
    /// Longest time without a request on an open connection.
    pub idle_timeout: Duration,
}

/// Configuration of a service.
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
    most_important: Option<u8>,
    organisations: Option<Organisations>,
    precedence: Precedence,
}

impl RouteTable {
    /// Checks routes and services as one set.
    ///
    /// # Errors
    /// The first error found; no part of the set is usable then.
    pub fn new(
        revision: Revision,
        routes: Vec<Route>,
        services: BTreeMap<ServiceName, Service>,
        bounds: Bounds,
    ) -> Result<Self> {
        let most_important = routes.iter().map(|route| route.importance).min();
        let mut hosts: BTreeMap<String, BTreeMap<String, Rc<Route>>> = BTreeMap::new();
        for route in routes {
            check(&route, &services)?;
            let class = route.class.clone();
            let prefixes = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            let previous = prefixes.insert(route.prefix.clone(), Rc::new(route));
            if previous.is_some() {
                return Err(Error::Duplicate(class));
            }
        }
        Ok(Self {
            revision,
            hosts,
            services,
            bounds,
            most_important,
            organisations: None,
            precedence: Precedence::default(),
        })
    }

    /// The same set with organisations, one of which each request on a route that is not exempt
    /// must belong to.
    #[must_use]
    pub fn with_organisations(mut self, organisations: Organisations) -> Self {
        let priorities = organisations.iter().map(|o| o.priority);
        let routes = self.routes().map(|route| route.importance);
        self.precedence = Precedence::new(priorities, routes);
        self.most_important = self
            .most_important
            .map(|route| self.precedence.most_important(route));
        self.organisations = Some(organisations);
        self
    }

    /// The organisations that may send requests; `None` if requests need no key.
    pub fn organisations(&self) -> Option<&Organisations> {
        self.organisations.as_ref()
    }

    /// The importance of a request of an organisation on a route; 0 is the highest.
    pub fn importance(&self, route: &Route, organisation: Option<&Organisation>) -> u8 {
        let priority = organisation.and_then(|o| o.priority);
        self.precedence.importance(priority, route.importance)
    }

    /// The revision of the set.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Limits on what callers may send.
    pub fn bounds(&self) -> Bounds {
        self.bounds
    }

    /// Names of all services.
    pub fn service_names(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// The configuration of a service.
    pub fn service(&self, name: &ServiceName) -> Option<Service> {
        self.services.get(name).copied()
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.hosts.values().flat_map(BTreeMap::values)
    }

    /// The importance of the most important requests; 0 is the highest. `None` without routes.
    pub fn most_important(&self) -> Option<u8> {
        self.most_important
    }

    /// The route of the host with the longest prefix of `path`.
    ///
    /// The port and the letter case of `host` are ignored.
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
        return Err(Error::Range(
            class(),
            "the timeout is 0, expected a longer time",
        ));
    }
    if route.attempts == 0 {
        return Err(Error::Range(
            class(),
            "the number of attempts is 0, expected at least 1",
        ));
    }
    let weights = || route.services.iter().map(|s| s.weight);
    let usable = weights().all(|w| w.is_finite() && w >= 0.0);
    if !usable || weights().sum::<f64>() <= 0.0 {
        return Err(Error::Range(
            class(),
            "a weight is negative or not finite, or the sum of the weights is 0",
        ));
    }
    let unknown = route
        .services
        .iter()
        .find(|s| !services.contains_key(&s.service));
    match unknown {
        Some(unknown) => Err(Error::Service(class(), unknown.service.clone())),
        None => Ok(()),
    }
}
