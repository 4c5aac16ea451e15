//! Names of the headers that nodes, callers and backend servers exchange.

/// Prefix of all headers that are internal to the system.
pub const PREFIX: &str = "cb-";
/// Outcome of a call, on every answer of a node.
pub const OUTCOME: &str = "cb-outcome";
/// Token of the call in progress, which the backend server copies to the calls that it makes.
pub const CALL: &str = "cb-call";
/// Service that a call from the backend server goes to; `Host` names it if this is absent.
pub const SERVICE: &str = "cb-service";
/// Identifier of the client request.
pub const ROOT: &str = "cb-root";
/// Class of the client request.
pub const CLASS: &str = "cb-class";
/// Chain that the client request takes.
pub const CHAIN: &str = "cb-chain";
/// Priority of the client request.
pub const PRIORITY: &str = "cb-priority";
/// Time left until the deadline, in ms.
pub const TIMEOUT_MS: &str = "cb-timeout-ms";
/// Extra attempts delegated to a call.
pub const ALLOWANCE: &str = "cb-allowance";
/// Extra attempts that were delegated and not used, on an answer.
pub const UNUSED: &str = "cb-unused";
/// Admission levels, as `service=level` joined by `;`.
pub const LEVELS: &str = "cb-levels";
/// Load of the answering upstream, as `in_flight/limit/queued`.
pub const LOAD: &str = "cb-load";
/// Time that a call takes at the backend server of the answering node, as `usual_us/pace`.
pub const SERVICE_TIME: &str = "cb-service-time";
/// Present when the answering node accepts no new requests and will stop.
pub const LEAVING: &str = "cb-leaving";
/// Present when the answering node still accepts requests but will stop soon.
pub const RETIRING: &str = "cb-retiring";
/// Present when a refused request reached the backend server, which refused it itself.
pub const ARRIVED: &str = "cb-arrived";
/// Service of the instance where a request originated.
pub const ORIGIN: &str = "cb-origin";
/// Name of the organisation that a request belongs to; absent if it belongs to none.
pub const ORGANISATION: &str = "cb-organisation";
/// Id of the only backend server that may run the request.
pub const INSTANCE: &str = "cb-instance";
/// Rate limit that the backend server announced to the sending node, in requests per second.
pub const RATE_LIMIT: &str = "cb-rate-limit";
/// Epoch and revision of the latest item that a node has read from the platform's store.
pub const REVISION: &str = "cb-revision";
/// Epoch and revision after which a node asks another one for the changes of the platform's store.
pub const AFTER: &str = "cb-after";
/// Time for which the answer to that request may be held back, in ms.
pub const HOLD_MS: &str = "cb-hold-ms";
/// Present when a node reports the requests that it suspects of crashing servers, in the body, and
/// asks for those of the other one.
pub const SUSPECTS: &str = "cb-suspects";
/// Present when a node tells another one that its connections to the platform's store had fallen
/// silent.
pub const STORE_SILENT: &str = "cb-store-silent";
/// Present when a node tells another one that it has read a change of the platform's store.
pub const STORE_CHANGED: &str = "cb-store-changed";
/// Version of a message about quotas, which is in the body.
pub const QUOTA: &str = "cb-quota";
/// Address at which the node that sends such a message serves other nodes.
pub const QUOTA_FROM: &str = "cb-quota-from";
/// Longest useful wait in the queue, in ms.
pub const MAX_WAIT_MS: &str = "cb-patience-ms";
/// Importance of the client request.
pub const IMPORTANCE: &str = "cb-importance";
/// Present when the call belongs to a request that is already in progress, not to a new one from
/// outside.
pub const BEGUN: &str = "cb-begun";
/// Present when the request, or one on whose behalf it is made, has been sent before.
pub const REPEATED: &str = "cb-repeated";
/// Present when the request may run more than once.
pub const IDEMPOTENT: &str = "cb-idempotent";
/// Ticket for a non-repeatable request.
pub const TICKET: &str = "cb-ticket";
/// Time to wait before a retry, in ms.
pub const RETRY_MS: &str = "cb-retry-ms";
/// Ticket that a caller presents, or a key that the caller chose.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Present when a request is refused because earlier attempts crashed backend servers.
pub const CONVICTED: &str = "cb-convicted";
/// Human-readable reason for a refusal.
pub const WHY: &str = "cb-why";
/// Number of body bytes, in the trailer of a streamed answer between nodes.
pub const LENGTH: &str = "cb-length";
