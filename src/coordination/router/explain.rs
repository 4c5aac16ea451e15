//! What the choice of an upstream considers, without making it.

use tokio::time::Instant;

use super::{Priority, Router, ServiceName};
use crate::state::upstream::Considered;

impl Router {
    /// All upstreams of a service as [`Router::pick`] would consider them for a call of this
    /// priority; none if the service is not known. Nothing is counted, and no random number is drawn.
    pub fn explain(&self, service: &ServiceName, priority: Priority) -> Vec<Considered> {
        let inner = self.inner.borrow();
        let service = inner.services.get(service);
        service.map_or_else(Vec::new, |s| s.table.explain(priority, Instant::now()))
    }
}
