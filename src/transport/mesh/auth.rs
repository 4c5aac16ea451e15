//! The organisation that a caller's request belongs to, by the key that it carries.

use std::rc::Rc;

use http::{HeaderMap, header::AUTHORIZATION};
use thiserror::Error;

use crate::{
    protocol::directory::HeaderNames,
    state::{
        counters::Counter,
        mesh::{
            organisation::{Organisation, Organisations},
            route::{Route, RouteTable},
        },
    },
};

/// Scheme of the header that carries a key, with the space that ends it.
const SCHEME: &[u8] = b"Bearer ";

/// Why a request on a route that is not exempt is refused.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
pub enum KeyError {
    /// It carries no key, or more than one.
    #[error("no-key")]
    Missing,
    /// No organisation has its key.
    #[error("unknown-key")]
    Unknown,
}

impl KeyError {
    /// The counter of requests refused for this reason.
    pub fn counter(self) -> Counter {
        match self {
            Self::Missing => Counter::RefusedNoKey,
            Self::Unknown => Counter::RefusedUnknownKey,
        }
    }
}

/// Result of looking for the organisation of a request.
pub type Result<T, E = KeyError> = std::result::Result<T, E>;

/// The organisation that a caller's request belongs to; `None` if the configuration has no
/// organisations, or on an exempt route without a known key.
///
/// # Errors
/// The route is not exempt, and the request carries no known key.
pub fn organisation(
    table: &RouteTable,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<Rc<Organisation>>> {
    let Some(organisations) = table.organisations() else {
        return Ok(None);
    };
    match find(organisations, headers) {
        Ok(organisation) => Ok(Some(organisation.clone())),
        Err(_) if route.is_exempt => Ok(None),
        Err(error) => Err(error),
    }
}

/// Removes the key, and the name that the sender claims, if the configuration has organisations.
pub fn remove_claims(table: &RouteTable, names: &HeaderNames, headers: &mut HeaderMap) {
    if table.organisations().is_some() {
        headers.remove(AUTHORIZATION);
        headers.remove(&names.organisation);
    }
}

fn find<'a>(organisations: &'a Organisations, headers: &HeaderMap) -> Result<&'a Rc<Organisation>> {
    let key = bearer_key(headers).ok_or(KeyError::Missing)?;
    organisations.find(key).ok_or(KeyError::Unknown)
}

fn bearer_key(headers: &HeaderMap) -> Option<&[u8]> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let value = values.next()?.as_bytes();
    if values.next().is_some() {
        return None;
    }
    let (scheme, key) = value.split_at_checked(SCHEME.len())?;
    let key = key.trim_ascii();
    (scheme.eq_ignore_ascii_case(SCHEME) && !key.is_empty()).then_some(key)
}
