//! Builds publications in code, for experiments without a folder of objects.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
};

use super::Result;
use crate::state::{
    id::{OwnerName, Revision, ServiceName, UpstreamName, ZoneName},
    object::{Chain, Class, Control, Deployment, Favour, Service, Upstream, Zone},
    publication::{Piece, Publication},
};

const PUBLIC_PORT: u16 = 7_000;
const PEER_PORT: u16 = 7_001;
const CONTROL_PORT: u16 = 7_002;

/// A service of a plan.
#[derive(Debug, Clone)]
struct PlanService {
    name: ServiceName,
    upstreams: u8,
    slots: u32,
    connections: u32,
}

/// Builder of a publication.
#[derive(Debug, Clone)]
pub struct Plan {
    deployment: Deployment,
    owner: OwnerName,
    services: Vec<PlanService>,
    classes: Vec<Class>,
    chains: Vec<Chain>,
}

impl Plan {
    /// Starts with a deployment without services.
    ///
    /// # Errors
    /// Returns an error when a name is not valid.
    pub fn new(name: &str, favour: Favour, zones: &[&str], region: &str) -> Result<Self> {
        let owner: OwnerName = "operations".parse()?;
        let zone = |name: &&str| -> Result<Zone> {
            Ok(Zone {
                name: name.parse()?,
                region: region.parse()?,
            })
        };
        Ok(Self {
            deployment: Deployment {
                name: name.parse()?,
                owner: owner.clone(),
                favour,
                control: Control::Adaptive,
                zones: zones.iter().map(zone).collect::<Result<_>>()?,
            },
            owner,
            services: Vec::new(),
            classes: Vec::new(),
            chains: Vec::new(),
        })
    }

    /// Adds a service with a number of upstreams, each with `slots` and `connections`.
    ///
    /// # Errors
    /// Returns an error when the name is not valid.
    pub fn service(
        mut self,
        name: &str,
        upstreams: u8,
        slots: u32,
        connections: u32,
    ) -> Result<Self> {
        self.services.push(PlanService {
            name: name.parse()?,
            upstreams,
            slots,
            connections,
        });
        Ok(self)
    }

    /// Adds a class.
    ///
    /// # Errors
    /// Returns an error when the name is not valid.
    pub fn class(
        mut self,
        name: &str,
        importance: u8,
        important: bool,
        repeatable: bool,
        deadline_ms: u64,
    ) -> Result<Self> {
        self.classes.push(Class {
            name: name.parse()?,
            owner: self.owner.clone(),
            importance,
            important,
            repeatable,
            deadline_ms,
            retries: 3,
        });
        Ok(self)
    }

    /// Adds a chain with the name of its class, in which each service calls the next one of
    /// `services`.
    ///
    /// # Errors
    /// Returns an error when a name is not valid.
    pub fn chain(
        mut self,
        class: &str,
        method: &str,
        path: &str,
        services: &[&str],
    ) -> Result<Self> {
        let names: Vec<ServiceName> = services
            .iter()
            .map(|s| s.parse())
            .collect::<Result<_, _>>()?;
        let calls = names.windows(2);
        let calls = calls.map(|w| (w[0].clone(), vec![w[1].clone()]));
        self.chains.push(Chain {
            name: class.parse()?,
            owner: self.owner.clone(),
            class: class.parse()?,
            entry: names[0].clone(),
            method: method.to_owned(),
            path: path.to_owned(),
            calls: calls.collect(),
        });
        Ok(self)
    }

    /// Builds the publication.
    ///
    /// # Errors
    /// Returns an error when a name is not valid.
    pub fn publish(&self, revision: Revision) -> Result<Publication> {
        let pieces = (0..self.services.len()).map(|n| self.piece(n));
        let pieces = pieces.collect::<Result<_>>()?;
        Ok(Publication::new(revision, self.deployment.clone(), pieces))
    }

    fn piece(&self, service: usize) -> Result<Piece> {
        let name = &self.services[service].name;
        let through = |c: &&Chain| c.services().contains(name);
        let chains: Vec<_> = self.chains.iter().filter(through).cloned().collect();
        let used = |c: &&Class| chains.iter().any(|chain| chain.class == c.name);
        let upstreams = (0..self.services[service].upstreams).map(|n| self.upstream(service, n));
        Ok(Piece {
            service: Service {
                name: name.clone(),
                owner: self.owner.clone(),
                shed_header: "x-shed".to_owned(),
            },
            upstreams: upstreams.collect::<Result<_>>()?,
            limits: Vec::new(),
            classes: self.classes.iter().filter(used).cloned().collect(),
            chains,
        })
    }

    fn upstream(&self, service: usize, n: u8) -> Result<Upstream> {
        let planned = &self.services[service];
        let zone: &ZoneName = &self.deployment.zones[n as usize % self.deployment.zones.len()].name;
        let name: UpstreamName = format!("{}-{n}", planned.name).parse()?;
        let host = IpAddr::from([127, 1, service as u8, n + 1]);
        Ok(Upstream {
            name,
            owner: self.owner.clone(),
            service: planned.name.clone(),
            zone: zone.clone(),
            public: SocketAddr::new(host, PUBLIC_PORT),
            peer: SocketAddr::new(host, PEER_PORT),
            control: SocketAddr::new(host, CONTROL_PORT),
            slots: planned.slots,
            connections: planned.connections,
        })
    }

    /// Plans a chain of `depth` services with one repeatable class.
    ///
    /// # Errors
    /// Returns an error when a name is not valid.
    pub fn line(depth: usize) -> Result<Self> {
        let names: Vec<String> = (1..=depth).map(|n| format!("hop{n}")).collect();
        let mut plan = Self::new("line", Favour::Goodput, &["a", "b", "c"], "east")?;
        for name in &names {
            plan = plan.service(name, 3, 20, 210)?;
        }
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        plan.class("query", 1, false, true, 2_000)?
            .chain("query", "GET", "/query", &names)
    }
}

impl Plan {
    /// Plans a deployment of the size of Tenggara.
    ///
    /// # Errors
    /// Never fails: the names are valid.
    pub fn tenggara() -> Result<Self> {
        let chain = ["bookings", "certify", "dispatch", "billing"];
        Self::new("tenggara", Favour::Goodput, &["a", "b", "c"], "east")?
            .service("bookings", 4, 110, 750)?
            .service("certify", 3, 140, 960)?
            .service("dispatch", 3, 140, 960)?
            .service("billing", 3, 20, 210)?
            .class("booking", 0, true, true, 2_000)?
            .class("commission", 1, true, false, 2_000)?
            .class("query", 2, false, true, 2_000)?
            .class("bulk", 3, false, true, 2_000)?
            .chain("booking", "PUT", "/bookings", &chain)?
            .chain("commission", "POST", "/commissions", &chain)?
            .chain("query", "GET", "/queries", &chain)?
            .chain("bulk", "GET", "/bulk", &chain)
    }
}

/// Returns a copy of a publication with another kind of overload control.
pub fn controlled(publication: &Publication, control: Control) -> Publication {
    let mut deployment = publication.head.deployment.clone();
    deployment.control = control;
    let pieces = publication.pieces.values().cloned().collect();
    Publication::new(publication.head.revision, deployment, pieces)
}

/// Returns all upstreams of a publication, by service.
pub fn upstreams(publication: &Publication) -> BTreeMap<ServiceName, Vec<Upstream>> {
    let pieces = publication.pieces.values();
    pieces
        .map(|p| (p.service.name.clone(), p.upstreams.clone()))
        .collect()
}

/// Returns all chains of a publication with their classes, ordered by chain name.
pub fn chains(publication: &Publication) -> Vec<(Chain, Class)> {
    let mut found = BTreeMap::new();
    for piece in publication.pieces.values() {
        for chain in &piece.chains {
            let class = piece.classes.iter().find(|c| c.name == chain.class);
            if let Some(class) = class {
                found.insert(chain.name.clone(), (chain.clone(), class.clone()));
            }
        }
    }
    found.into_values().collect()
}
