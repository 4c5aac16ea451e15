//! Where a request of a caller would go now, and why. Nothing is changed or counted.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use http::Method;
use tokio::time::Instant;

use super::router::Router;
use crate::state::{
    id::{OrganisationName, ServiceName, UpstreamName, ZoneName},
    mesh::{
        backend::Phase,
        downstream::{DownstreamLevels, Excluded},
        explain::{
            CANDIDATES_MAX, Candidate, Explained, Explanation, LevelSummary, OrganisationQuota,
            OrganisationSummary, Question, QuotaStanding, Refusal, RouteSummary, ServiceShare,
            Unknown,
        },
        organisation::Organisation,
        registry::{BackendRecord, Registry},
        route::{Route, RouteTable},
    },
    priority::Priority,
    upstream::{Considered, Obstacle, Standing},
};

/// What a node knows when it is asked.
pub struct View<'a> {
    /// Name of the node.
    pub node: &'a UpstreamName,
    /// Service of the backend server beside it.
    pub service: &'a ServiceName,
    /// Availability zone of the node.
    pub zone: &'a ZoneName,
    /// Address of the backend server beside it.
    pub server: SocketAddr,
    /// The routes in effect.
    pub routes: Option<&'a RouteTable>,
    /// The known backend servers.
    pub registry: &'a Registry,
    /// Selection of backend servers.
    pub router: &'a Router,
    /// Levels reported by the answers to requests that begin at this node.
    pub levels: &'a DownstreamLevels,
    /// Whether requests of callers are refused because the node stops.
    pub is_refusing_callers: bool,
    /// Whether memory is short.
    pub is_memory_short: bool,
}

/// Explains a request. `quota` returns the quota of an organisation at this node.
pub fn explain(
    question: &Question,
    view: &View<'_>,
    quota: impl Fn(&OrganisationName) -> Option<OrganisationQuota>,
) -> Explanation {
    let explained = request(question, view, quota);
    Explanation {
        node: view.node.clone(),
        service: view.service.clone(),
        zone: view.zone.clone(),
        routes: view.routes.map(RouteTable::revision),
        unknown: explained.as_ref().err().copied(),
        request: explained.ok(),
    }
}

fn request(
    question: &Question,
    view: &View<'_>,
    quota: impl Fn(&OrganisationName) -> Option<OrganisationQuota>,
) -> Result<Explained, Unknown> {
    let table = view.routes.ok_or(Unknown::NoConfiguration)?;
    let route = table.find(&question.host, &question.path);
    let route = route.ok_or(Unknown::Route)?;
    let organisation = match &question.organisation {
        Some(name) => Some(find(table, name).ok_or(Unknown::Organisation)?),
        None => None,
    };
    let importance = table.importance(route, organisation);
    let priority = Priority::middle(importance);
    let level = level(view.levels, route, importance);
    let is_excluded = excluded(view.levels, route, priority).is_some();
    let mut candidates = candidates(view, route, priority);
    let organisation = organisation.map(|o| OrganisationSummary {
        name: o.name.clone(),
        quota: quota(&o.name),
    });
    let needs_key = organisation.is_none() && table.organisations().is_some() && !route.is_exempt;
    let has_server = candidates.iter().any(|c| c.chance > 0.0);
    let is_over = organisation
        .as_ref()
        .and_then(|o| o.quota.as_ref())
        .is_some_and(|quota| quota.standing == QuotaStanding::Over);
    // In the order in which they are checked when a request arrives.
    let refusals = [
        (view.is_memory_short, Refusal::Memory),
        (needs_key, Refusal::NoKey),
        (!is_served(&question.method), Refusal::Method),
        (view.is_refusing_callers, Refusal::Leaving),
        (is_excluded, Refusal::LevelBelow),
        (is_over, Refusal::OverQuota),
        (!has_server, Refusal::NoBackend),
    ];
    let refusal = refusals.into_iter().find(|(applies, _)| *applies);
    let candidate_count = candidates.len();
    candidates.truncate(CANDIDATES_MAX);
    let most_likely = candidates.first().filter(|c| c.chance > 0.0);
    let time_limit = question.time_left.unwrap_or(Duration::MAX);
    Ok(Explained {
        route: summary(route),
        organisation,
        importance,
        time_limit_ms: millis(time_limit.min(route.timeout)),
        level,
        refusal: refusal.map(|(_, refusal)| refusal),
        most_likely: most_likely.map(|c| c.server.clone()),
        candidate_count,
        candidates,
    })
}

fn find<'a>(table: &'a RouteTable, name: &OrganisationName) -> Option<&'a Organisation> {
    let mut all = table.organisations()?.iter();
    all.find(|o| o.name == *name).map(|o| &**o)
}

/// Whether requests with a method are passed on.
fn is_served(method: &Method) -> bool {
    *method != Method::CONNECT && *method != Method::TRACE
}

/// The first level that refuses a request in the middle of its importance, or else one that refuses
/// any.
fn level(levels: &DownstreamLevels, route: &Route, importance: u8) -> Option<LevelSummary> {
    let priorities = [Priority::middle(importance), Priority::last(importance)];
    let mut found = priorities
        .into_iter()
        .filter_map(|priority| excluded(levels, route, priority));
    found.next().map(|excluded| LevelSummary {
        refused: rounded(1.0 - excluded.level.admitted_share(importance)),
        service: excluded.service,
        level: excluded.level,
        age_ms: millis(excluded.age),
    })
}

fn excluded(levels: &DownstreamLevels, route: &Route, priority: Priority) -> Option<Excluded> {
    levels.excluded_by(&route.class, priority, Instant::now())
}

/// The backend servers of all services of a route, the most likely ones first.
fn candidates(view: &View<'_>, route: &Route, priority: Priority) -> Vec<Candidate> {
    let mut all = Vec::new();
    for share in shares(route).filter(|share| share.share > 0.0) {
        let considered = view.router.explain(&share.service, priority);
        let known: BTreeSet<_> = considered.iter().map(|c| &c.upstream.name).collect();
        let records = view.registry.iter();
        let records = records.filter(|record| record.backend.service == share.service);
        let others: Vec<_> = records
            .filter(|record| !known.contains(&record.backend.name()))
            .map(|record| unused(view, record))
            .collect();
        let considered = considered.iter().map(|c| candidate(view, c, share.share));
        all.extend(considered.chain(others));
    }
    all.sort_by(|a, b| {
        let order = b.chance.total_cmp(&a.chance);
        order.then_with(|| a.server.cmp(&b.server))
    });
    all
}

fn candidate(view: &View<'_>, considered: &Considered, share: f64) -> Candidate {
    let (upstream, status) = (&considered.upstream, &considered.status);
    Candidate {
        server: upstream.name.clone(),
        service: upstream.service.clone(),
        zone: upstream.zone.clone(),
        address: upstream.public,
        own: upstream.public == view.server,
        standing: status.standing,
        load: considered.report.map(|(load, _)| load.to_string()),
        load_age_ms: considered.report.map(|(_, age)| millis(age)),
        level: status.level,
        expected_delay: considered.expected_delay.map(rounded),
        weight: Some(rounded(status.weight)),
        chance: rounded(considered.chance * share),
        against: considered.obstacle,
    }
}

/// A server that is known but not used: it leaves, its entry is missing, or another server has its
/// address.
fn unused(view: &View<'_>, record: &BackendRecord) -> Candidate {
    let backend = &record.backend;
    let is_leaving = backend.phase == Phase::Draining || view.registry.is_leaving(backend);
    let (standing, obstacle) = match is_leaving {
        true => (Standing::Leaving, Obstacle::Leaving),
        false => (Standing::Absent, Obstacle::Absent),
    };
    Candidate {
        server: backend.name(),
        service: backend.service.clone(),
        zone: backend.zone.clone(),
        address: backend.address,
        own: backend.address == view.server,
        standing,
        load: None,
        load_age_ms: None,
        level: None,
        expected_delay: None,
        weight: None,
        chance: 0.0,
        against: Some(obstacle),
    }
}

fn summary(route: &Route) -> RouteSummary {
    let services = shares(route).map(|share| ServiceShare {
        share: rounded(share.share),
        ..share
    });
    RouteSummary {
        class: route.class.clone(),
        services: services.take(CANDIDATES_MAX).collect(),
        idempotent: route.idempotent,
        attempts: route.attempts,
        timeout_ms: millis(route.timeout),
    }
}

/// The services of a route with their shares of the requests.
fn shares(route: &Route) -> impl Iterator<Item = ServiceShare> {
    let total: f64 = route.services.iter().map(|s| s.weight).sum();
    route.services.iter().map(move |s| ServiceShare {
        service: s.service.clone(),
        share: s.weight / total,
    })
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// A number with four decimal places, enough to compare servers.
fn rounded(number: f64) -> f64 {
    (number * 10_000.0).round() / 10_000.0
}

#[cfg(test)]
mod tests;
