//! Where a request would go now and why: the question, and the answer of a node.

use std::{net::SocketAddr, time::Duration};

use http::{
    Method,
    uri::{Authority, PathAndQuery},
};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::state::{
    id::{ClassName, OrganisationName, Revision, ServiceName, UpstreamName, ZoneName},
    priority::Level,
    upstream::{Obstacle, Standing},
};

/// Most backend servers in an answer, and most services of a route.
pub const CANDIDATES_MAX: usize = 64;

/// An argument of a question that is missing or malformed.
///
/// The text of an organisation is left out: it may be a key that was given by mistake.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
#[error("the {argument} is {found}, expected {expected}")]
pub struct InvalidArgument {
    argument: &'static str,
    found: String,
    expected: &'static str,
}

/// Result of reading a question.
pub type Result<T, E = InvalidArgument> = std::result::Result<T, E>;

/// A request of a caller that is explained but not sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Question {
    /// Its method.
    pub method: Method,
    /// Its host; the port is ignored.
    pub host: String,
    /// Its path, without a query.
    pub path: String,
    /// The organisation whose key it would carry.
    pub organisation: Option<OrganisationName>,
    /// Time left for it, if its caller states one.
    pub time_left: Option<Duration>,
}

/// The arguments of a question as text.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QuestionText {
    /// Its method.
    pub method: Option<String>,
    /// Its host.
    pub host: Option<String>,
    /// Its path.
    pub path: Option<String>,
    /// Name of its organisation.
    pub organisation: Option<String>,
    /// Time left for it, in ms.
    pub time_left_ms: Option<String>,
}

impl QuestionText {
    /// Checks the arguments.
    ///
    /// # Errors
    /// The first argument that is missing or malformed.
    ///
    /// ```
    /// use comfreybay::state::mesh::explain::QuestionText;
    /// let text = QuestionText {
    ///     method: Some("GET".to_owned()),
    ///     host: Some("shop".to_owned()),
    ///     path: Some("/orders/7".to_owned()),
    ///     ..QuestionText::default()
    /// };
    /// assert!(text.parse().is_ok());
    /// let error = QuestionText { method: None, ..text }.parse().unwrap_err();
    /// assert_eq!(error.to_string(), "the method is missing, expected a method of HTTP");
    /// ```
    pub fn parse(&self) -> Result<Question> {
        let method = required(self.method.as_ref(), "method", "a method of HTTP", |text| {
            Method::from_bytes(text.as_bytes()).ok()
        })?;
        let host = required(self.host.as_ref(), "host", "a host name", |text| {
            let host: Authority = text.parse().ok()?;
            (!text.contains('@')).then(|| host.as_str().to_owned())
        })?;
        let expected = "a path that begins with a slash, without a query";
        let path = required(self.path.as_ref(), "path", expected, |text| {
            let path: PathAndQuery = text.parse().ok()?;
            (path.as_str().starts_with('/') && path.path() == text).then(|| text.clone())
        })?;
        let organisation = self.organisation.as_ref().map(|text| {
            text.parse().map_err(|_| InvalidArgument {
                argument: "organisation",
                found: "malformed".to_owned(),
                expected: "a name of 1 to 63 visible ASCII characters",
            })
        });
        let time_left = self.time_left_ms.as_ref().map(|text| {
            let expected = "a whole number of milliseconds";
            let ms = required(Some(text), "time left", expected, |text| text.parse().ok());
            ms.map(Duration::from_millis)
        });
        Ok(Question {
            method,
            host,
            path,
            organisation: organisation.transpose()?,
            time_left: time_left.transpose()?,
        })
    }
}

/// Characters of a malformed argument that an error shows.
const SHOWN_CHARS: usize = 64;

fn required<T>(
    text: Option<&String>,
    argument: &'static str,
    expected: &'static str,
    read: impl FnOnce(&String) -> Option<T>,
) -> Result<T> {
    let error = |found| InvalidArgument {
        argument,
        found,
        expected,
    };
    let Some(text) = text else {
        return Err(error("missing".to_owned()));
    };
    let shown = || format!("{:?}", text.chars().take(SHOWN_CHARS).collect::<String>());
    read(text).ok_or_else(|| error(shown()))
}

/// The answer of a node to a question.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Name of the node.
    pub node: UpstreamName,
    /// Service of the backend server beside it.
    pub service: ServiceName,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Revision of the routes in effect; `None` without a configuration.
    pub routes: Option<Revision>,
    /// Why there is no explanation.
    pub unknown: Option<Unknown>,
    /// What would happen to the request; `None` if something about it is not known.
    pub request: Option<Explained>,
}

/// What the node does not know.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Unknown {
    /// The node has no configuration yet.
    NoConfiguration,
    /// No route has the host and path.
    Route,
    /// The configuration has no organisation of this name.
    Organisation,
}

/// What would happen to a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explained {
    /// Its route.
    pub route: RouteSummary,
    /// Its organisation.
    pub organisation: Option<OrganisationSummary>,
    /// Its importance; 0 is the most important.
    pub importance: u8,
    /// Longest time until its answer: the time left, or the timeout of the route if that is shorter.
    pub time_limit_ms: u64,
    /// The level of a service that refuses all or some requests of this class and importance.
    pub level: Option<LevelSummary>,
    /// Why this node would refuse the request without sending it.
    pub refusal: Option<Refusal>,
    /// The server that the request would most likely be sent to, if it were not refused.
    pub most_likely: Option<UpstreamName>,
    /// Number of candidates, including those that are left out of the list.
    pub candidate_count: usize,
    /// The candidates, the most likely ones first; at most [`CANDIDATES_MAX`].
    pub candidates: Vec<Candidate>,
}

/// The route of a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteSummary {
    /// Name of its class.
    pub class: ClassName,
    /// Services with their shares of the requests; at most [`CANDIDATES_MAX`].
    pub services: Vec<ServiceShare>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Largest number of backend servers that one request may be sent to.
    pub attempts: u32,
    /// Longest time from a request to its answer.
    pub timeout_ms: u64,
}

/// A service of a route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceName,
    /// Its share of the requests.
    pub share: f64,
}

/// An organisation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrganisationSummary {
    /// Its name.
    pub name: OrganisationName,
    /// Its quota, if it has one.
    pub quota: Option<OrganisationQuota>,
}

/// The quota of an organisation at one node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrganisationQuota {
    /// Requests a second.
    pub per_second: f64,
    /// Requests that may be sent at once after a time without any.
    pub burst: f64,
    /// Whether a request would get a token.
    pub standing: QuotaStanding,
}

/// Whether a request of an organisation would get a token now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum QuotaStanding {
    /// The node has a token.
    Within,
    /// The node has no token and would ask the lenders.
    Asks,
    /// The organisation is over its quota; the request would be refused.
    Over,
}

/// The admission level of a service that refuses requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LevelSummary {
    /// The service.
    pub service: ServiceName,
    /// Its level.
    pub level: Level,
    /// Share of the requests of this importance that it refuses.
    pub refused: f64,
    /// Time since the last answer that reported it.
    pub age_ms: u64,
}

/// Why a node would refuse a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The memory of the process is short.
    Memory,
    /// It needs the key of an organisation.
    NoKey,
    /// Its method is not served.
    Method,
    /// The node is about to stop and refuses callers.
    Leaving,
    /// The admission level of a service excludes it.
    LevelBelow,
    /// Its organisation is over its quota.
    OverQuota,
    /// No backend server is known for it.
    NoBackend,
}

impl Refusal {
    /// The status of the answer.
    pub fn status(self) -> u16 {
        match self {
            Self::NoKey => 401,
            Self::Method => 405,
            Self::OverQuota => 429,
            Self::Memory | Self::Leaving | Self::LevelBelow | Self::NoBackend => 503,
        }
    }

    /// The reason, as `why` in the log has it where the refusal has a line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::NoKey => "no-key",
            Self::Method => "method",
            Self::Leaving => "leaving",
            Self::LevelBelow => "level-below",
            Self::OverQuota => "over-quota",
            Self::NoBackend => "no-backend",
        }
    }
}

/// A backend server that a request may go to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// Its name.
    pub server: UpstreamName,
    /// Its service.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its address.
    pub address: SocketAddr,
    /// Whether it is the server beside the node.
    pub own: bool,
    /// State that determines its share of the calls.
    pub standing: Standing,
    /// Last reported load, as `in_flight/limit/queued`.
    pub load: Option<String>,
    /// Time since that report.
    pub load_age_ms: Option<u64>,
    /// Last reported admission level, relaxed when the report is stale.
    pub level: Option<Level>,
    /// Expected delay as a multiple of the median service time, if the servers of the service are
    /// compared by it.
    pub expected_delay: Option<f64>,
    /// Share of the calls that it should get, in slots; `None` if it gets none.
    pub weight: Option<f64>,
    /// Probability with which the request goes to it.
    pub chance: f64,
    /// Why it does not get the request.
    pub against: Option<Obstacle>,
}
