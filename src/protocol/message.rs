//! Typed control messages between nodes and their conversion from and to capnp.
//!
//! Compatibility: a reader ignores unknown fields and unknown kinds of news. An unknown state
//! counts as [`NodeState::Starting`], because nothing may be assumed about it.

use std::{
    net::{IpAddr, SocketAddr},
    str::FromStr,
};

use capnp::{message::ReaderOptions, text};
use thiserror::Error;

use super::peer_capnp::{beat, claim, hello, list_view, news, status};
use crate::state::{
    id::{Digest, Fingerprint, Incarnation, Revision, ServiceName, UpstreamName, ZoneName},
    priority::Level,
    view::{NEWS_MAX, News, NodeState, PeerStatus},
};

/// Version of the protocol that this build implements.
pub const VERSION: u16 = 1;
/// Largest number of reader claims in one heartbeat.
pub const CLAIMS_MAX: usize = 2;
/// Largest number of entries in an instance list.
pub const INSTANCES_MAX: usize = 256;
/// Largest number of digests in one request for parts.
pub const FETCH_DIGESTS_MAX: usize = 64;
/// Largest content of one answer, in bytes; the configuration service allows values of 1 MB.
pub const CONTENT_MAX_BYTES: usize = 1_000_000;
/// Largest message with its framing, in 8-byte words.
const MESSAGE_MAX_WORDS: usize = CONTENT_MAX_BYTES / 8 + 8_192;
/// Deepest nesting of pointers in a message. Inside an RPC message, this schema reaches 7.
const NESTING_MAX: i32 = 16;

/// Errors of control messages.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The message is not a valid capnp message of its type.
    #[error("could not read control message: {0}")]
    Malformed(#[from] capnp::Error),
    /// The value of a field is not valid.
    #[error("could not read control message: {field} is not valid")]
    Field {
        /// The field.
        field: &'static str,
    },
    /// A list or the content of a part is too long.
    #[error("could not read control message: {field} has size {size}, expected at most {max}")]
    Size {
        /// The field.
        field: &'static str,
        /// The size found.
        size: usize,
        /// The largest size allowed.
        max: usize,
    },
}

/// Result of reading a control message.
pub type Result<T, E = MessageError> = std::result::Result<T, E>;

impl From<MessageError> for capnp::Error {
    fn from(error: MessageError) -> Self {
        Self::failed(error.to_string())
    }
}

/// Limits on received messages.
pub fn reader_options() -> ReaderOptions {
    ReaderOptions {
        traversal_limit_in_words: Some(MESSAGE_MAX_WORDS),
        nesting_limit: NESTING_MAX,
    }
}

fn check_size(field: &'static str, size: u32, max: usize) -> Result<u32> {
    if size as usize > max {
        let size = size as usize;
        return Err(MessageError::Size { field, size, max });
    }
    Ok(size)
}

fn parse<T: FromStr>(field: &'static str, text: text::Reader<'_>) -> Result<T> {
    let text = text.to_str().map_err(|_| MessageError::Field { field })?;
    text.parse().map_err(|_| MessageError::Field { field })
}

fn read_array<const N: usize>(field: &'static str, data: &[u8]) -> Result<[u8; N]> {
    data.try_into().map_err(|_| MessageError::Field { field })
}

/// Reads a digest.
///
/// # Errors
/// It is not 32 bytes long.
pub fn read_digest(data: &[u8]) -> Result<Digest> {
    read_array("digest", data).map(Digest)
}

/// The first 8 bytes of a digest, enough to detect two configurations with the same revision.
pub fn digest_prefix(digest: Digest) -> u64 {
    u64::from_be_bytes(digest.0[..8].try_into().unwrap_or_default())
}

fn encode_state(state: NodeState) -> u16 {
    match state {
        NodeState::Starting => 0,
        NodeState::Serving => 1,
        NodeState::Waking => 2,
        NodeState::Leaving => 3,
    }
}

fn decode_state(number: u16) -> NodeState {
    match number {
        1 => NodeState::Serving,
        2 => NodeState::Waking,
        3 => NodeState::Leaving,
        _ => NodeState::Starting,
    }
}

/// The number of a peer status on the wire.
pub fn encode_peer_status(status: PeerStatus) -> u16 {
    match status {
        PeerStatus::Unknown => 0,
        PeerStatus::Alive => 1,
        PeerStatus::Down => 2,
        PeerStatus::Leaving => 3,
    }
}

/// The peer status for a number on the wire.
pub fn decode_peer_status(number: u16) -> PeerStatus {
    match number {
        1 => PeerStatus::Alive,
        2 => PeerStatus::Down,
        3 => PeerStatus::Leaving,
        _ => PeerStatus::Unknown,
    }
}

/// Identity of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hello {
    /// Highest protocol version that the node supports.
    pub version: u16,
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Service of the node.
    pub service: ServiceName,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Address at which the node accepts control messages.
    pub control: SocketAddr,
}

impl Hello {
    /// Writes the message.
    pub fn write(&self, mut to: hello::Builder<'_>) {
        to.set_version(self.version);
        to.set_name(self.name.as_str());
        to.set_service(self.service.as_str());
        to.set_zone(self.zone.as_str());
        to.set_incarnation(&self.incarnation.0);
        let mut control = to.init_control();
        control.set_port(self.control.port());
        match self.control.ip() {
            IpAddr::V4(ip) => control.set_ip(&ip.octets()),
            IpAddr::V6(ip) => control.set_ip(&ip.octets()),
        }
    }

    /// Reads the message.
    ///
    /// # Errors
    /// A field is not valid.
    pub fn read(from: hello::Reader<'_>) -> Result<Self> {
        let control = from.get_control();
        let octets = control.get_ip()?;
        let ip = match octets.len() {
            4 => IpAddr::from(read_array::<4>("control", octets)?),
            _ => IpAddr::from(read_array::<16>("control", octets)?),
        };
        Ok(Self {
            version: from.get_version(),
            name: parse("name", from.get_name()?)?,
            service: parse("service", from.get_service()?)?,
            zone: parse("zone", from.get_zone()?)?,
            incarnation: Incarnation(read_array("incarnation", from.get_incarnation()?)?),
            control: SocketAddr::new(ip, control.get_port()),
        })
    }
}

/// State of a node, and the version of its configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// State of the node.
    pub state: NodeState,
    /// Revision and digest in effect; `None` without a configuration.
    pub held: Option<(Revision, Digest)>,
    /// Epoch of the reader election.
    pub epoch: u32,
}

impl Status {
    /// Writes the message.
    pub fn write(&self, mut to: status::Builder<'_>) {
        to.set_version(VERSION);
        to.set_state(encode_state(self.state));
        to.set_epoch(self.epoch);
        if let Some((revision, digest)) = self.held {
            to.set_revision(revision.0);
            to.set_digest(&digest.0);
        }
    }

    /// Reads the message.
    ///
    /// # Errors
    /// A field is not valid.
    pub fn read(from: status::Reader<'_>) -> Result<Self> {
        let held = match from.get_revision() {
            0 => None,
            revision => Some((Revision(revision), read_digest(from.get_digest()?)?)),
        };
        Ok(Self {
            state: decode_state(from.get_state()),
            held,
            epoch: from.get_epoch(),
        })
    }
}

/// The claim of a node to read the configuration service for its availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// Rendezvous hash of zone, epoch and name; the lowest wins.
    pub score: u64,
    /// Epoch of the hash.
    pub epoch: u32,
    /// Incremented by the reader once per second.
    pub counter: u32,
}

impl Claim {
    fn write(self, mut to: claim::Builder<'_>) {
        to.set_score(self.score);
        to.set_epoch(self.epoch);
        to.set_counter(self.counter);
    }

    fn read(from: claim::Reader<'_>) -> Self {
        Self {
            score: from.get_score(),
            epoch: from.get_epoch(),
            counter: from.get_counter(),
        }
    }
}

fn write_news(item: &News, mut to: news::Builder<'_>) {
    match item {
        News::Down {
            subject,
            incarnation,
            number,
            witness,
        } => {
            write_node_news(1, subject, incarnation, *number, to.reborrow());
            to.set_witness(witness.as_str());
        }
        News::Alive {
            subject,
            incarnation,
            number,
        } => write_node_news(2, subject, incarnation, *number, to),
        News::Leaving {
            subject,
            incarnation,
            number,
        } => write_node_news(3, subject, incarnation, *number, to),
        News::Suspect {
            service,
            fingerprint,
        } => write_suspect_news(4, service, fingerprint, to),
        News::Convicted {
            service,
            fingerprint,
        } => write_suspect_news(5, service, fingerprint, to),
    }
}

fn write_node_news(
    kind: u16,
    subject: &UpstreamName,
    incarnation: &Incarnation,
    number: u32,
    mut to: news::Builder<'_>,
) {
    to.set_kind(kind);
    to.set_subject(subject.as_str());
    to.set_id(&incarnation.0);
    to.set_number(number);
}

fn write_suspect_news(
    kind: u16,
    service: &ServiceName,
    fingerprint: &Fingerprint,
    mut to: news::Builder<'_>,
) {
    to.set_kind(kind);
    to.set_subject(service.as_str());
    to.set_id(&fingerprint.0);
}

/// Reads an item of news; `None` if it is of a kind that a later version added.
fn read_news(from: news::Reader<'_>) -> Result<Option<News>> {
    let kind = from.get_kind();
    if !(1..=5).contains(&kind) {
        return Ok(None);
    }
    let id: [u8; 16] = read_array("news", from.get_id()?)?;
    let number = from.get_number();
    if kind >= 4 {
        let service = parse("news", from.get_subject()?)?;
        let fingerprint = Fingerprint(id);
        return Ok(Some(if kind == 4 {
            News::Suspect {
                service,
                fingerprint,
            }
        } else {
            News::Convicted {
                service,
                fingerprint,
            }
        }));
    }
    let subject = parse("news", from.get_subject()?)?;
    let incarnation = Incarnation(id);
    Ok(Some(match kind {
        1 => News::Down {
            subject,
            incarnation,
            number,
            witness: parse("witness", from.get_witness()?)?,
        },
        2 => News::Alive {
            subject,
            incarnation,
            number,
        },
        _ => News::Leaving {
            subject,
            incarnation,
            number,
        },
    }))
}

/// A heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Revision in effect; 0 without a configuration.
    pub revision: Revision,
    /// First 8 bytes of the digest of the head in effect.
    pub digest: u64,
    /// Admission level.
    pub level: Level,
    /// Epoch of the reader election.
    pub epoch: u32,
    /// Calls in flight at the backend server.
    pub in_flight: u16,
    /// Concurrency limit.
    pub limit: u16,
    /// Calls in the queue.
    pub queued: u16,
    /// State of the node.
    pub state: NodeState,
    /// Claims of the readers of the availability zone; empty on heartbeats to other zones.
    pub claims: Vec<Claim>,
    /// News about nodes and about suspect requests.
    pub news: Vec<News>,
}

impl Heartbeat {
    /// Writes the message.
    pub fn write(&self, mut to: beat::Builder<'_>) {
        to.set_revision(self.revision.0);
        to.set_digest(self.digest);
        to.set_level(self.level.0);
        to.set_epoch(self.epoch);
        to.set_in_flight(self.in_flight);
        to.set_limit(self.limit);
        to.set_queued(self.queued);
        to.set_state(encode_state(self.state));
        if !self.claims.is_empty() {
            let mut claims = to.reborrow().init_claims(self.claims.len() as u32);
            for (index, claim) in self.claims.iter().enumerate() {
                claim.write(claims.reborrow().get(index as u32));
            }
        }
        if !self.news.is_empty() {
            let mut news = to.init_news(self.news.len() as u32);
            for (index, item) in self.news.iter().enumerate() {
                write_news(item, news.reborrow().get(index as u32));
            }
        }
    }

    /// Reads the message.
    ///
    /// # Errors
    /// A list is too long or a field is not valid.
    pub fn read(from: beat::Reader<'_>) -> Result<Self> {
        let (claims, news) = (from.get_claims()?, from.get_news()?);
        check_size("claims", claims.len(), CLAIMS_MAX)?;
        check_size("news", news.len(), NEWS_MAX)?;
        let items = news.iter().map(read_news).collect::<Result<Vec<_>>>()?;
        Ok(Self {
            revision: Revision(from.get_revision()),
            digest: from.get_digest(),
            level: Level(from.get_level()),
            epoch: from.get_epoch(),
            in_flight: from.get_in_flight(),
            limit: from.get_limit(),
            queued: from.get_queued(),
            state: decode_state(from.get_state()),
            claims: claims.iter().map(Claim::read).collect(),
            news: items.into_iter().flatten().collect(),
        })
    }
}

/// The instance list of one service, as one of its nodes read it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListView {
    /// The service.
    pub service: ServiceName,
    /// The node that read the list.
    pub origin: UpstreamName,
    /// Incremented by the origin with each list that it sends.
    pub counter: u32,
    /// Names of the instances, and whether each is leaving.
    pub entries: Vec<(UpstreamName, bool)>,
}

impl ListView {
    /// Writes the message.
    pub fn write(&self, mut to: list_view::Builder<'_>) {
        to.set_service(self.service.as_str());
        to.set_origin(self.origin.as_str());
        to.set_counter(self.counter);
        let mut entries = to.init_entries(self.entries.len() as u32);
        for (index, (name, leaving)) in self.entries.iter().enumerate() {
            let mut entry = entries.reborrow().get(index as u32);
            entry.set_name(name.as_str());
            entry.set_leaving(*leaving);
        }
    }

    /// Reads the message.
    ///
    /// # Errors
    /// The list is too long or a field is not valid.
    pub fn read(from: list_view::Reader<'_>) -> Result<Self> {
        let listed = from.get_entries()?;
        check_size("entries", listed.len(), INSTANCES_MAX)?;
        let mut entries = Vec::with_capacity(listed.len() as usize);
        for entry in listed.iter() {
            entries.push((parse("name", entry.get_name()?)?, entry.get_leaving()));
        }
        Ok(Self {
            service: parse("service", from.get_service()?)?,
            origin: parse("origin", from.get_origin()?)?,
            counter: from.get_counter(),
            entries,
        })
    }
}

/// Reads the digests of a request for parts.
///
/// # Errors
/// There are too many, or one is not 32 bytes long.
pub fn read_digests(from: capnp::data_list::Reader<'_>) -> Result<Vec<Digest>> {
    check_size("digests", from.len(), FETCH_DIGESTS_MAX)?;
    from.iter().map(|data| read_digest(data?)).collect()
}
