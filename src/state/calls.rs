//! Calls in progress at the node's own backend server.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::{
    allowance::Allowance,
    id::{CallToken, ChainName, ClassName, Fingerprint, RootId},
    priority::Priority,
};

/// State of a call that the backend server made and that must not be made again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Once {
    /// It has not ended, or has ended other than as `not-run`.
    Used,
    /// It ended as `not-run`, so it may be made again.
    NotRun,
}

/// One call in progress.
#[derive(Debug)]
pub struct Call {
    /// The client request.
    pub root: RootId,
    /// Class of the client request.
    pub class: ClassName,
    /// Chain of the client request.
    pub chain: ChainName,
    /// Priority of the client request.
    pub priority: Priority,
    /// When the call must have ended.
    pub deadline: Instant,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Extra attempts left to the call and all below it.
    pub allowance: Allowance,
    /// Cancelled when the call ends without its answer having been passed on.
    pub cancel: CancellationToken,
    /// Calls that the backend server has made for this one.
    pub egress: Egress,
}

/// Calls that the backend server has made for one call in progress.
#[derive(Debug, Default)]
pub struct Egress {
    count: u32,
    open: u32,
    since: Option<Instant>,
    waited: Duration,
    once: BTreeMap<Fingerprint, Once>,
}

impl Egress {
    /// Number of calls made so far.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Notes that a call has begun.
    pub fn begin(&mut self, now: Instant) {
        self.count += 1;
        self.open += 1;
        self.since.get_or_insert(now);
    }

    /// Notes that a call has ended.
    pub fn end(&mut self, now: Instant) {
        self.open = self.open.saturating_sub(1);
        if self.open > 0 {
            return;
        }
        if let Some(since) = self.since.take() {
            self.waited += now.saturating_duration_since(since);
        }
    }

    /// Time during which at least one call was in progress.
    pub fn waited(&self, now: Instant) -> Duration {
        let open = self.since.map(|s| now.saturating_duration_since(s));
        self.waited + open.unwrap_or_default()
    }

    /// Claims the right to make a call that must not be made twice; false when it was used.
    ///
    /// ```
    /// use comfreybay::state::{calls::Egress, id::Fingerprint};
    /// let mut egress = Egress::default();
    /// let request = Fingerprint([1; 16]);
    /// assert!(egress.claim(request));
    /// assert!(!egress.claim(request));
    /// egress.release(request);
    /// assert!(egress.claim(request));
    /// ```
    pub fn claim(&mut self, request: Fingerprint) -> bool {
        self.once.insert(request, Once::Used) != Some(Once::Used)
    }

    /// Allows a call to be made again after it has ended as `not-run`.
    pub fn release(&mut self, request: Fingerprint) {
        self.once.insert(request, Once::NotRun);
    }
}

/// The calls in progress, by the token that the backend server passes on.
#[derive(Debug)]
pub struct CallTable {
    calls: BTreeMap<CallToken, Call>,
    rng: fastrand::Rng,
}

impl CallTable {
    /// An empty table that draws its tokens from `rng`.
    pub fn new(rng: fastrand::Rng) -> Self {
        Self {
            calls: BTreeMap::new(),
            rng,
        }
    }

    /// Enters a call and gives it its token.
    pub fn open(&mut self, call: Call) -> CallToken {
        let token = CallToken::random(&mut self.rng);
        self.calls.insert(token, call);
        token
    }

    /// The call of a token, unless it has ended.
    pub fn get(&mut self, token: &CallToken) -> Option<&mut Call> {
        self.calls.get_mut(token)
    }

    /// Removes a call; its token and what is left of its allowance can't be used after this.
    pub fn close(&mut self, token: &CallToken) -> Option<Call> {
        self.calls.remove(token)
    }

    /// Number of calls in progress.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call is in progress.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}
