//! Order of requests by the priorities of their organisation and of their route.

use std::collections::BTreeSet;

/// Number of importances that a request's priority can hold.
const IMPORTANCES: usize = 256;

/// Combines the priorities of an organisation and a route into one importance.
///
/// The organisation's priority comes first, then the route's. Without an organisation, or where it
/// has no priority, the route's stands for both. The importance is the position of the combination
/// among all that the configuration allows, so that nodes with the same configuration agree.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Precedence(Box<[(u8, u8)]>);

impl Precedence {
    /// The order for these priorities. Without priorities of organisations, the importance of a
    /// request is that of its route.
    ///
    /// ```
    /// use comfreybay::state::mesh::precedence::Precedence;
    /// let order = Precedence::new([Some(0), Some(1), None], [0, 2]);
    /// assert!(order.importance(Some(0), 2) < order.importance(Some(1), 0));
    /// assert!(order.importance(Some(1), 0) < order.importance(Some(1), 2));
    /// assert!(order.importance(Some(1), 2) < order.importance(None, 2));
    /// assert_eq!(Precedence::new([None], [0, 2]).importance(None, 2), 2);
    /// ```
    pub fn new(
        organisations: impl IntoIterator<Item = Option<u8>>,
        routes: impl IntoIterator<Item = u8>,
    ) -> Self {
        let first: BTreeSet<u8> = organisations.into_iter().flatten().collect();
        if first.is_empty() {
            return Self::default();
        }
        let mut pairs = BTreeSet::new();
        for route in BTreeSet::from_iter(routes) {
            pairs.insert((route, route));
            pairs.extend(first.iter().map(|priority| (*priority, route)));
        }
        Self(pairs.into_iter().collect())
    }

    /// The importance of a request; 0 is the most important. Above 256 combinations, neighbouring
    /// ones share an importance.
    pub fn importance(&self, organisation: Option<u8>, route: u8) -> u8 {
        if self.0.is_empty() {
            return route;
        }
        let pair = (organisation.unwrap_or(route), route);
        let position = self.0.partition_point(|other| *other < pair);
        let importance = match self.0.len() {
            count if count > IMPORTANCES => position * IMPORTANCES / count,
            _ => position,
        };
        u8::try_from(importance).unwrap_or(u8::MAX)
    }

    /// The importance of the most important requests, where `route` is that of the most important
    /// routes.
    pub fn most_important(&self, route: u8) -> u8 {
        match self.0.is_empty() {
            true => route,
            false => 0,
        }
    }
}
