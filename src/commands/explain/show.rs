//! Formats an explanation as tables.

use super::super::dump::table::Table;
use crate::state::{
    mesh::explain::{
        Candidate, Explained, Explanation, LevelSummary, OrganisationSummary, QuotaStanding,
        ServiceShare,
    },
    priority::Level,
    upstream::{Obstacle, Standing},
};

/// Formats an explanation: the request, then the candidates.
pub fn text(answer: &Explanation) -> String {
    let mut out = String::new();
    if let Some(request) = &answer.request {
        summary(answer, request).write(&mut out);
        candidates(request).write(&mut out);
    }
    out
}

fn summary(answer: &Explanation, request: &Explained) -> Table {
    let title = format!(
        "request at {} (service {}, zone {}), routes {}",
        answer.node,
        answer.service,
        answer.zone,
        cell(answer.routes.map(|revision| revision.0)),
    );
    let route = &request.route;
    let services: Vec<_> = route.services.iter().map(share).collect();
    let refusal = request
        .refusal
        .map(|refusal| format!("{} {}", refusal.status(), refusal.as_str()));
    let rows = [
        ("class", route.class.to_string()),
        ("services", services.join(", ")),
        ("idempotent", yes(route.idempotent)),
        ("attempts", route.attempts.to_string()),
        ("timeout", format!("{} ms", route.timeout_ms)),
        ("time limit", format!("{} ms", request.time_limit_ms)),
        (
            "organisation",
            cell(request.organisation.as_ref().map(organisation)),
        ),
        ("importance", request.importance.to_string()),
        ("level", cell(request.level.as_ref().map(refused))),
        ("refusal", cell(refusal)),
        ("most likely", cell(request.most_likely.as_ref())),
    ];
    let mut table = Table::new(&title, ["field", "value"]);
    for (field, value) in rows {
        table.row(vec![field.to_owned(), value]);
    }
    table
}

fn share(share: &ServiceShare) -> String {
    format!("{} {}", share.service, percent(share.share))
}

fn organisation(organisation: &OrganisationSummary) -> String {
    let Some(quota) = &organisation.quota else {
        return format!("{}, no quota", organisation.name);
    };
    let standing = match quota.standing {
        QuotaStanding::Within => "within its quota",
        QuotaStanding::Asks => "no token here, lenders are asked",
        QuotaStanding::Over => "over its quota",
    };
    let (rate, burst) = (quota.per_second, quota.burst);
    format!(
        "{}, {standing} ({rate}/s, burst {burst})",
        organisation.name
    )
}

fn refused(level: &LevelSummary) -> String {
    format!(
        "{} refuses {} of this importance (level {}, {} ms old)",
        level.service,
        percent(level.refused),
        shown(level.level),
        level.age_ms,
    )
}

fn candidates(request: &Explained) -> Table {
    let title = format!(
        "candidates, {} of {} (load: in flight/limit/queued)",
        request.candidates.len(),
        request.candidate_count,
    );
    let heads = [
        "server", "service", "zone", "standing", "load", "age", "level", "weight", "delay",
        "chance", "against",
    ];
    let mut table = Table::new(&title, heads);
    request.candidates.iter().for_each(|c| table.row(row(c)));
    table
}

fn row(candidate: &Candidate) -> Vec<String> {
    let own = if candidate.own { " (own)" } else { "" };
    vec![
        format!("{}{own}", candidate.server),
        candidate.service.to_string(),
        candidate.zone.to_string(),
        standing(candidate.standing).to_owned(),
        cell(candidate.load.as_ref()),
        cell(candidate.load_age_ms.map(|ms| format!("{ms} ms"))),
        cell(candidate.level.map(shown)),
        cell(candidate.weight.map(|weight| format!("{weight:.1}"))),
        cell(candidate.expected_delay.map(|delay| format!("{delay:.2}"))),
        percent(candidate.chance),
        cell(candidate.against.map(Obstacle::as_str)),
    ]
}

fn standing(standing: Standing) -> &'static str {
    match standing {
        Standing::Serving => "serving",
        Standing::Ramping => "ramping",
        Standing::Ejected => "ejected",
        Standing::Leaving => "leaving",
        Standing::Absent => "absent",
        Standing::OutsideSubset => "outside-subset",
    }
}

fn shown(level: Level) -> String {
    match level {
        Level::OPEN => "open".to_owned(),
        Level(value) => value.to_string(),
    }
}

fn percent(share: f64) -> String {
    format!("{:.1}%", share * 100.0)
}

fn yes(is_true: bool) -> String {
    if is_true { "yes" } else { "no" }.to_owned()
}

fn cell(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}
