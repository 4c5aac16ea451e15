//! Counters and gauges of one node.

use std::{cell::Cell, fmt, str::FromStr};

use super::{Error, Result};

/// Whether a value is a running total or a current reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MetricKind {
    /// A total since the start of the process.
    Total,
    /// The current value.
    Gauge,
}

macro_rules! counters {
    ($($variant:ident $name:literal $unit:literal $kind:ident $description:literal,)+) => {
        /// A counter or gauge that every node keeps.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Counter {
            $(#[doc = $description] $variant,)+
        }

        impl Counter {
            /// All counters and gauges, in the order of the dump.
            pub const ALL: &[Self] = &[$(Self::$variant,)+];

            /// The name in the dump and in metrics, as `group.name`.
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)+
                }
            }

            /// The unit of the value.
            pub fn unit(self) -> &'static str {
                match self {
                    $(Self::$variant => $unit,)+
                }
            }

            /// Whether it is a total or a gauge.
            pub fn kind(self) -> MetricKind {
                match self {
                    $(Self::$variant => MetricKind::$kind,)+
                }
            }

            /// A description of what it counts.
            pub fn description(self) -> &'static str {
                match self {
                    $(Self::$variant => $description,)+
                }
            }
        }
    };
}

counters! {
    PublicCalls "calls.public" "calls" Total "Calls accepted from callers outside.",
    PeerCalls "calls.peer" "calls" Total "Calls accepted from other nodes.",
    EgressCalls "calls.egress" "calls" Total "Calls accepted from the node's own backend server.",
    CallsComplete "calls.complete" "calls" Total "Calls answered as complete.",
    CallsNotRun "calls.not-run" "calls" Total "Calls answered as not run.",
    CallsFailed "calls.failed" "calls" Total "Calls answered as failed.",
    CallsUnknown "calls.unknown" "calls" Total "Calls answered as unknown.",
    CallsCancelled "calls.cancelled" "calls" Total "Calls whose caller disconnected before the answer.",
    CallsOpen "calls.open" "calls" Gauge "Calls in progress in the call table.",
    CallsHeld "calls.held" "calls" Total "Calls held because the caller sent again before its time.",
    AheadStarted "ahead.started" "calls" Total "Calls started before those ahead of them on their connection were answered.",
    AheadHeld "ahead.held" "calls" Total "Calls behind another one on their connection that waited for their turn, because they may not be started ahead or a bound was reached.",
    EndsSeen "ends.seen" "connections" Total "Connections of callers whose end was seen behind bytes that were not read for lack of room.",
    EndsUnwatched "ends.unwatched" "events" Total "Times that the end of such a connection could not be waited for, because too many were.",
    AheadGivenUp "ahead.given-up" "calls" Total "Calls started ahead that were answered as failed, because there was no room for their long answer to wait.",
    AnswersBroken "answers.broken" "answers" Total "Answers of a server that ended before their end.",

    RefusedLevel "refused.level" "calls" Total "Refused by the admission level.",
    RefusedEvicted "refused.evicted" "calls" Total "Evicted from the queue by a better call.",
    RefusedWaited "refused.waited" "calls" Total "Refused after the longest wait in the queue.",
    RefusedDeadline "refused.deadline" "calls" Total "Refused because the deadline could not be met.",
    RefusedLeaving "refused.leaving" "calls" Total "Refused because the node is leaving.",
    RefusedStopping "refused.stopping" "calls" Total "Refused because the node may stop before they would end.",
    RefusedWaking "refused.waking" "calls" Total "Refused because the node is waking after a pause.",
    RefusedConvicted "refused.convicted" "calls" Total "Refused because the request crashes servers.",
    RefusedRate "refused.rate" "calls" Total "Refused because the rate limit that the backend server announces would delay them for too long.",
    RefusedClassLimit "refused.class-limit" "calls" Total "Refused by a limit object.",
    RefusedNoConfig "refused.no-config" "calls" Total "Refused because no configuration is in effect.",
    RefusedDown "refused.down" "calls" Total "Refused because the backend server is down.",
    RefusedChain "refused.chain" "calls" Total "Refused early because a service of the chain refuses the class.",
    RefusedNoRoute "refused.no-route" "calls" Total "Refused because no chain or no upstream matches.",
    RefusedNoKey "refused.no-key" "calls" Total "Calls of callers refused because they carried no key of an organisation.",
    RefusedUnknownKey "refused.unknown-key" "calls" Total "Calls of callers refused because no organisation has their key.",
    RefusedNoTicket "refused.no-ticket" "calls" Total "Refused because a non-repeatable call carried no ticket.",
    RefusedEgress "refused.egress" "calls" Total "Egress calls refused because their call token is not in progress.",
    RefusedRepeat "refused.repeat" "calls" Total "Egress calls refused as a repeat of a non-repeatable call.",
    RefusedMemory "refused.memory" "calls" Total "Refused unsent because the memory of the process is short.",
    RefusedSlow "refused.slow" "calls" Total "Refused unsent because their body arrived too slowly.",
    RefusedPeer "refused.peer" "connections" Total "Connections refused because the peer is no known upstream.",
    RefusedImportant "refused.important" "calls" Total "Calls of important classes refused at this node's gate.",

    RetriesSent "retries.sent" "calls" Total "Extra attempts sent.",
    RetriesAllowance "retries.no-allowance" "calls" Total "Retries not sent because the allowance was spent.",
    RetriesBudget "retries.no-budget" "calls" Total "Retries not sent because the retry budget was spent.",
    RetriesDeadline "retries.no-time" "calls" Total "Retries not sent because of the deadline.",

    TicketsIssued "tickets.issued" "tickets" Total "Tickets issued.",
    TicketsFirst "tickets.first" "tickets" Total "Tickets presented for the first time.",
    TicketsAgain "tickets.again" "tickets" Total "Tickets presented again.",
    TicketsMismatch "tickets.mismatch" "tickets" Total "Tickets presented with another request.",
    TicketsUnknown "tickets.unknown" "tickets" Total "Tickets that were too old, forged or of another incarnation.",
    TicketsForwarded "tickets.forwarded" "tickets" Total "Tickets forwarded to their issuer.",
    TicketsKept "tickets.kept" "tickets" Gauge "Presented tickets whose state is kept.",

    ServerCalls "server.calls" "calls" Total "Calls dispatched to the node's own backend server.",
    ServerSheds "server.sheds" "calls" Total "Calls that the backend server refused on its own.",
    ServerCut "server.cut" "calls" Total "Calls that the backend server was running when the end of a stop cancelled them.",
    ServerLost "server.lost" "events" Total "Times that the backend server's connections were lost.",
    ServerRateLimit "server.rate-limit" "calls/s" Gauge "Rate limit that the backend server announces, rounded up; 0 if it announces none.",
    ServerLeaving "server.leaving" "flag" Gauge "1 after the backend server has announced that it leaves.",
    ServerMalformed "server.malformed" "answers" Total "Answers of the backend server with a header that could not be read.",
    MemoryCharged "memory.charged" "bytes" Gauge "Memory charged for connections, heads, bodies and answers.",
    ServerConnections "server.connections" "connections" Gauge "Connections open to the backend server.",
    ServerConnectionsWaiting "server.connections-waiting" "calls" Gauge "Admitted calls that wait for a connection to the backend server.",
    ServerConnectionsEvicted "server.connections-evicted" "connections" Total "Idle connections closed because the limit was reached and a call could use none of them.",
    SuspectsAdded "suspects.added" "requests" Total "Requests marked as suspects.",
    SuspectsCleared "suspects.cleared" "requests" Total "Suspects cleared by a complete answer.",
    SuspectsConvicted "suspects.convicted" "requests" Total "Suspects convicted of crashing the backend server.",
    SuspectsSent "suspects.sent" "messages" Total "Reports on suspects sent to other nodes.",
    SuspectsReceived "suspects.received" "messages" Total "Reports on suspects received from other nodes.",
    Suspects "suspects.kept" "requests" Gauge "Suspects and convicted requests known.",

    QuotaAsked "quota.asked" "messages" Total "Messages sent to lenders of quota tokens.",
    QuotaLent "quota.lent" "tokens" Total "Tokens lent to nodes, this one included, as a lender.",
    QuotaRefused "quota.refused" "requests" Total "Requests of callers refused because their organisation is over its quota.",
    QuotaReturned "quota.returned" "tokens" Total "Tokens returned by requests that did not run, and reserve tokens given back to lenders.",
    QuotaExpired "quota.expired" "tokens" Total "Tokens that expired unused.",
    QuotaActive "quota.active" "organisations" Gauge "Organisations with a quota that have sent requests to this node in the last 30 s.",

    GateInFlight "gate.in-flight" "calls" Gauge "Calls in flight at the backend server.",
    GateQueued "gate.queued" "calls" Gauge "Calls waiting in the queue.",
    GateLimit "gate.limit" "calls" Gauge "Concurrency limit.",
    GateLevel "gate.level" "priority" Gauge "Admission level; 4294967295 is fully open.",

    UpstreamsEjected "upstreams.ejected" "events" Total "Times that an upstream was ejected.",
    UpstreamsOut "upstreams.out" "upstreams" Gauge "Upstreams ejected at the moment.",
    UpstreamsKnown "upstreams.known" "upstreams" Gauge "Upstreams in the routing table.",
    Dials "connections.dialled" "connections" Total "Connections opened to other nodes.",
    DialsFailed "connections.failed" "connections" Total "Connections to other nodes that could not be opened.",
    ListDistrusted "instances.distrusted" "events" Total "Times that the instance list was not trusted.",
    ListReads "instances.reads" "reads" Total "Reads of the instance list.",

    ConfigRevision "config.revision" "revision" Gauge "Revision in effect.",
    ConfigAccepted "config.accepted" "revisions" Total "Revisions accepted.",
    ConfigConflicts "config.conflicts" "heads" Total "Heads of the current revision with another digest.",
    ConfigOlder "config.older" "heads" Total "Heads of an older revision that were offered.",
    ConfigInvalid "config.invalid" "parts" Total "Parts refused for their digest or content.",
    ConfigReads "config.reads" "reads" Total "Reads of the configuration service.",
    ConfigEpoch "config.epoch" "epoch" Gauge "Epoch of the platform's store, which rises when it is restored from a copy.",
    ConfigRestores "config.restores" "events" Total "Times that the platform's store was found restored from a copy.",
    ConfigReadTo "config.read-to" "revision" Gauge "Revision up to which the platform's store has been read.",
    ConfigBehind "config.behind" "reads" Total "Watches renewed because another node has read further.",
    ConfigSilent "config.silent" "reads" Total "Watches whose answer was overdue, while the store answered on a new connection.",
    ConfigAlarms "config.alarms" "messages" Total "Messages of other nodes that their connections to the platform's store had fallen silent.",
    ConfigAnnounced "config.announced" "changes" Total "Changes of the platform's store that this node told the other readers of.",
    ConfigUnanswered "config.unanswered" "reads" Total "Reads that the platform's store left unanswered while another node had read further.",
    ConfigReceived "config.received" "answers" Total "Changes of the platform's store that another node passed on.",
    ConfigPassedOn "config.passed-on" "answers" Total "Changes of the platform's store that this node passed on to another one.",
    ConfigReaderFailed "config.reader-failed" "events" Total "Times that a node could not pass on changes of the platform's store.",
    ConfigReadsFailed "config.reads-failed" "reads" Total "Reads of the configuration service that failed.",
    ConfigPulls "config.pulls" "parts" Total "Parts pulled from peers.",
    ConfigReader "config.reader" "flag" Gauge "1 while this node reads the configuration service for its zone.",
    ConfigApplyMs "config.apply-ms" "ms" Gauge "Time from first notice of the last revision to its effect.",
    Organisations "config.organisations" "organisations" Gauge "Organisations in the routes in effect.",
    OrganisationKeys "config.organisation-keys" "keys" Gauge "Keys of organisations in the routes in effect.",

    Peers "peers.known" "peers" Gauge "Peers that heartbeats are exchanged with.",
    PeersLost "peers.lost" "events" Total "Times that a peer was found down.",
    HeartbeatsSent "peers.heartbeats-sent" "messages" Total "Heartbeats sent.",
    HeartbeatsReceived "peers.heartbeats-received" "messages" Total "Heartbeats received.",
    NewsForwarded "peers.news" "items" Total "Items of news forwarded.",
    MessagesRefused "peers.refused" "messages" Total "Control messages refused as malformed or oversized.",
    ControlSentBytes "control.sent-bytes" "bytes" Total "Bytes sent as control traffic.",
    ControlReceivedBytes "control.received-bytes" "bytes" Total "Bytes received as control traffic.",
    Pauses "process.pauses" "events" Total "Pauses of the process that were detected.",
    JournalDropped "journal.dropped" "requests" Total "Requests dropped from the table of recent requests.",
}

impl fmt::Display for Counter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}

impl FromStr for Counter {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let found = Self::ALL.iter().find(|c| c.name() == text);
        found.copied().ok_or_else(|| Error::Number {
            what: "counter",
            text: text.to_owned(),
        })
    }
}

/// The values of all counters and gauges of one node, shared by reference within its thread.
///
/// ```
/// use comfreybay::state::counters::{Counter, Counters};
/// let counters = Counters::default();
/// counters.add(Counter::PublicCalls, 2);
/// counters.set(Counter::GateLimit, 110);
/// assert_eq!(counters.get(Counter::PublicCalls), 2);
/// assert_eq!(counters.iter().count(), Counter::ALL.len());
/// ```
#[derive(Debug)]
pub struct Counters([Cell<u64>; Counter::ALL.len()]);

impl Default for Counters {
    fn default() -> Self {
        Self([const { Cell::new(0) }; Counter::ALL.len()])
    }
}

impl Counters {
    /// Adds `n` to a total.
    pub fn add(&self, counter: Counter, n: u64) {
        let cell = &self.0[counter as usize];
        cell.set(cell.get().wrapping_add(n));
    }

    /// Sets a gauge.
    pub fn set(&self, counter: Counter, value: u64) {
        self.0[counter as usize].set(value);
    }

    /// The value of a counter or gauge.
    pub fn get(&self, counter: Counter) -> u64 {
        self.0[counter as usize].get()
    }

    /// All values, in the order of the dump.
    pub fn iter(&self) -> impl Iterator<Item = (Counter, u64)> + '_ {
        Counter::ALL.iter().map(|&c| (c, self.get(c)))
    }
}
