//! A node, and what it knows, as plain values.

use std::{collections::BTreeSet, time::Duration};

use super::{super::*, name};
use crate::state::{
    id::Revision,
    mesh::{
        backend::Backend,
        organisation::Organisations,
        registry::RemovalDelay,
        revision::{Epoch, StoreRevision},
        route::{Bounds, Service, WeightedService},
    },
    object::Control,
    priority::Level,
    upstream::{AttemptEnd, Load},
};

const PEER_PORT: u16 = 9_000;

/// A node in zone `z-0` beside the server `own-0`, and the servers `a-0` to `a-2` and `b-0`.
pub struct World {
    pub routes: Option<RouteTable>,
    pub registry: Registry,
    pub router: Router,
    pub levels: DownstreamLevels,
    pub quota: Option<QuotaStanding>,
    pub is_refusing_callers: bool,
    pub is_memory_short: bool,
}

pub fn backend(service: &str, n: u8, zone: &str) -> Backend {
    Backend {
        id: name(&format!("{service}-{n}")),
        started_ms: Some(1),
        service: name(service),
        address: ([10, 0, service.as_bytes()[0], n], 80).into(),
        zone: name(zone),
        slots: 10,
        phase: Phase::Ready,
        warmup: Duration::ZERO,
    }
}

pub fn revision(number: u64) -> StoreRevision {
    StoreRevision {
        epoch: Epoch(1),
        revision: number,
    }
}

pub fn server(text: &str) -> UpstreamName {
    name(&format!("{text}.1"))
}

pub fn routes() -> RouteTable {
    let route = |class: &str, services: &[(&str, f64)], is_exempt| Route {
        class: name(class),
        host: "h".to_owned(),
        prefix: format!("/{class}/"),
        services: services
            .iter()
            .map(|(service, weight)| WeightedService {
                service: name(service),
                weight: *weight,
            })
            .collect(),
        idempotent: true,
        timeout: Duration::from_secs(2),
        target: Duration::from_secs(1),
        attempts: 2,
        importance: 1,
        is_exempt,
    };
    let routes = vec![
        route("one", &[("a", 1.0)], true),
        route("two", &[("a", 3.0), ("b", 1.0), ("own", 0.0)], true),
        route("own", &[("own", 1.0)], true),
        route("none", &[("c", 1.0)], true),
        route("keyed", &[("b", 1.0)], false),
    ];
    let services = ["a", "b", "c", "own"].map(|s| (name(s), Service { connections: 10 }));
    let bounds = Bounds {
        body_bytes: 1_000,
        header_bytes: 1_000,
        header_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };
    let table = RouteTable::new(Revision(7), routes, services.into(), bounds);
    let organisation = |text, priority| Organisation {
        name: name(text),
        priority,
        quota: None,
    };
    let organisations = Organisations::new(vec![
        (organisation("Acme_1", None), vec!["k-secret".to_owned()]),
        (organisation("Best_2", Some(0)), vec![]),
    ]);
    let organisations = organisations.expect("valid organisations");
    table
        .expect("valid routes")
        .with_organisations(organisations)
}

impl World {
    pub fn new() -> Self {
        let delay = RemovalDelay {
            normal: Duration::from_secs(60),
            after_outage: Duration::from_secs(60),
        };
        let rng = fastrand::Rng::with_seed(1);
        let mut world = Self {
            routes: Some(routes()),
            registry: Registry::new(delay),
            router: Router::new(name("node"), name("z-0"), Control::Ranked, rng),
            levels: DownstreamLevels::default(),
            quota: None,
            is_refusing_callers: false,
            is_memory_short: false,
        };
        for (service, n) in [("a", 0), ("a", 1), ("a", 2), ("b", 0), ("own", 0)] {
            world.update(backend(service, n, "z-0"));
        }
        // All at once: servers that join later start at a low weight.
        world.apply();
        world
    }

    pub fn update(&mut self, backend: Backend) {
        let at = revision(self.registry.len() as u64 + 1_000);
        self.registry.update(backend, at, Instant::now());
    }

    pub fn put(&mut self, backend: Backend) {
        self.update(backend);
        self.apply();
    }

    pub fn apply(&self) {
        let all = self.registry.upstreams(PEER_PORT);
        let all = all
            .iter()
            .map(|(name, upstreams)| (name, upstreams.as_slice()));
        self.router.replace(all);
    }

    pub fn load(&self, server_name: &str, in_flight: u32, level: Level) {
        let load = Load {
            in_flight,
            limit: 10,
            queued: 0,
        };
        self.router.update_load(&server(server_name), load, level);
    }

    pub fn fail(&self, service: &str, failing: &str, end: AttemptEnd) {
        for _ in 0..5 {
            let others = ["a-0", "a-1", "a-2"].map(server);
            let tried = others.into_iter().filter(|s| *s != server(failing));
            let tried: BTreeSet<_> = tried.collect();
            let pick = self
                .router
                .pick(&name(service), Priority::middle(1), &tried);
            let pick = pick.expect("the server is known");
            assert_eq!(pick.upstream().name, server(failing));
            pick.finish(end);
            if end == AttemptEnd::Unreachable {
                return;
            }
        }
    }

    pub fn refuse(&mut self, class: &str, service: &str, level: u32) {
        let levels = format!("{service}={level}").parse().expect("valid levels");
        let (class, service) = (name(class), name(service));
        self.levels
            .update(&class, &service, &levels, Instant::now());
    }

    pub fn ask(&self, question: &Question) -> Explanation {
        let view = View {
            node: &name("node"),
            service: &name("own"),
            zone: &name("z-0"),
            server: backend("own", 0, "z-0").address,
            routes: self.routes.as_ref(),
            registry: &self.registry,
            router: &self.router,
            levels: &self.levels,
            is_refusing_callers: self.is_refusing_callers,
            is_memory_short: self.is_memory_short,
        };
        explain(question, &view, |_| {
            self.quota.map(|standing| OrganisationQuota {
                per_second: 5.0,
                burst: 9.0,
                standing,
            })
        })
    }
}
