//! Calls in progress at the node's own backend server.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::{
    allowance::Allowance,
    id::{CallToken, ChainName, ClassName, Fingerprint, RootId},
    priority::Priority,
};

/// Whether the right to make a non-repeatable call has been used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimState {
    /// The call is in progress, or ended with another outcome than `not-run`.
    Claimed,
    /// The call ended as `not-run`, so it may be made again.
    NotRun,
}

/// One call in progress.
#[derive(Debug)]
pub struct Call {
    /// Id of the client request.
    pub root: RootId,
    /// Class of the client request.
    pub class: ClassName,
    /// Chain of the client request.
    pub chain: ChainName,
    /// Priority of the client request.
    pub priority: Priority,
    /// Time by which the call has to end.
    pub deadline: Instant,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Extra attempts left to the call and all below it.
    pub allowance: Allowance,
    /// Cancelled when the call ends before its answer was passed on.
    pub cancel: CancellationToken,
    /// Calls that the backend server has made for this one.
    pub egress: Egress,
}

/// Calls that the backend server has made for one call in progress.
#[derive(Debug, Default)]
pub struct Egress {
    count: u32,
    open_calls: u32,
    busy_since: Option<Instant>,
    waited: Duration,
    claims: BTreeMap<Fingerprint, ClaimState>,
}

impl Egress {
    /// Number of calls made so far.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Records that a call has begun.
    pub fn begin(&mut self, now: Instant) {
        self.count += 1;
        self.open_calls += 1;
        self.busy_since.get_or_insert(now);
    }

    /// Records that a call has ended.
    pub fn end(&mut self, now: Instant) {
        self.open_calls = self.open_calls.saturating_sub(1);
        if self.open_calls > 0 {
            return;
        }
        if let Some(since) = self.busy_since.take() {
            self.waited += now.saturating_duration_since(since);
        }
    }

    /// Time during which at least one call was in progress.
    pub fn waited(&self, now: Instant) -> Duration {
        let open = self.busy_since.map(|s| now.saturating_duration_since(s));
        self.waited + open.unwrap_or_default()
    }

    /// Claims the right to make a non-repeatable call; false if it has been claimed before.
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
        self.claims.insert(request, ClaimState::Claimed) != Some(ClaimState::Claimed)
    }

    /// Allows a non-repeatable call to be made again after it has ended as `not-run`.
    pub fn release(&mut self, request: Fingerprint) {
        self.claims.insert(request, ClaimState::NotRun);
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

    /// Adds a call and returns its token.
    pub fn open(&mut self, call: Call) -> CallToken {
        let token = CallToken::random(&mut self.rng);
        self.calls.insert(token, call);
        token
    }

    /// The call with a token, unless it has ended.
    pub fn get(&mut self, token: &CallToken) -> Option<&mut Call> {
        self.calls.get_mut(token)
    }

    /// Removes a call. Its token and the rest of its allowance can't be used afterwards.
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
