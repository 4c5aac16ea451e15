//! Servers that get no requests for a short time.

use std::time::Duration;

use tokio::time::Instant;

use crate::state::id::UpstreamName;

use super::{super::net::Net, shared::Mesh};

/// Time for which a node that is leaving, or whose backend server is down, gets no requests.
const COOLDOWN_MS: u64 = 500;

impl<N: Net, D> Mesh<N, D> {
    /// Excludes a backend server from selection for a short time, because its node is leaving or
    /// the server is down.
    pub fn start_cooldown(&self, name: &UpstreamName) {
        let until = Instant::now() + Duration::from_millis(COOLDOWN_MS);
        self.router.set_leaving(name, true);
        self.cooldowns.borrow_mut().insert(name.clone(), until);
    }

    /// Makes servers selectable again whose cooldown has ended.
    pub fn end_cooldowns(&self, now: Instant) {
        let mut cooldowns = self.cooldowns.borrow_mut();
        for (name, _) in cooldowns.extract_if(.., |_, until| *until <= now) {
            self.router.set_leaving(&name, false);
        }
    }
}
