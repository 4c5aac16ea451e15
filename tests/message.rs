//! Guards the control message codecs against malformed and oversized messages, and messages of
//! other versions.

use std::net::SocketAddr;

use capnp::{
    message::{Builder, HeapAllocator, Reader},
    serialize::{OwnedSegments, read_message, write_message_to_words},
};
use comfreybay::{
    protocol::{
        message::{
            Claim, FETCH_DIGESTS_MAX, Heartbeat, Hello, INSTANCES_MAX, ListView, Status, VERSION,
            read_digests, reader_options,
        },
        peer_capnp::{beat, hello, list_view, node, status},
        platform::{LIST_MAX_BYTES, is_version, read_list},
        report::{REPORT_MAX_BYTES, ServerReport},
    },
    state::{
        id::{Digest, Fingerprint, Incarnation, Revision},
        priority::Level,
        view::{NEWS_MAX, News, NodeState},
    },
};
use proptest::prelude::*;

fn name() -> impl Strategy<Value = String> {
    "[a-z0-9.-]{1,63}"
}

fn news() -> impl Strategy<Value = News> {
    let parts = (0u8..5, name(), name(), any::<[u8; 16]>(), any::<u32>());
    parts.prop_map(|(kind, subject, witness, id, number)| {
        let name = subject.parse().expect("valid name");
        let incarnation = Incarnation(id);
        match kind {
            0 => News::Down {
                subject: name,
                incarnation,
                number,
                witness: witness.parse().expect("valid name"),
            },
            1 => News::Alive {
                subject: name,
                incarnation,
                number,
            },
            2 => News::Leaving {
                subject: name,
                incarnation,
                number,
            },
            3 => News::Suspect {
                service: subject.parse().expect("valid name"),
                fingerprint: Fingerprint(id),
            },
            _ => News::Convicted {
                service: subject.parse().expect("valid name"),
                fingerprint: Fingerprint(id),
            },
        }
    })
}

fn state() -> impl Strategy<Value = NodeState> {
    prop_oneof![
        Just(NodeState::Starting),
        Just(NodeState::Serving),
        Just(NodeState::Waking),
        Just(NodeState::Leaving)
    ]
}

prop_compose! {
    fn heartbeat()(
        (revision, digest, level, epoch) in any::<(u64, u64, u32, u32)>(),
        (in_flight, limit, queued) in any::<(u16, u16, u16)>(),
        state in state(),
        claims in prop::collection::vec(any::<(u64, u32, u32)>(), 0..=2),
        news in prop::collection::vec(news(), 0..=NEWS_MAX),
    ) -> Heartbeat {
        let claim = |(score, epoch, counter)| Claim { score, epoch, counter };
        Heartbeat {
            revision: Revision(revision),
            digest,
            level: Level(level),
            epoch,
            in_flight,
            limit,
            queued,
            state,
            claims: claims.into_iter().map(claim).collect(),
            news,
        }
    }
}

fn beat_bytes(beat: &Heartbeat) -> Vec<u8> {
    let mut message = Builder::new_default();
    beat.write(message.init_root::<beat::Builder<'_>>());
    write_message_to_words(&message)
}

fn parse(bytes: &[u8]) -> capnp::Result<Reader<OwnedSegments>> {
    read_message(bytes, reader_options())
}

fn read_beat(bytes: &[u8]) -> Option<Heartbeat> {
    let message = parse(bytes).ok()?;
    Heartbeat::read(message.get_root::<beat::Reader<'_>>().ok()?).ok()
}

fn read_all(bytes: &[u8]) {
    let Ok(message) = parse(bytes) else {
        return;
    };
    let _ = message.get_root::<beat::Reader<'_>>().map(Heartbeat::read);
    let _ = message.get_root::<hello::Reader<'_>>().map(Hello::read);
    let _ = message.get_root::<status::Reader<'_>>().map(Status::read);
    let _ = message
        .get_root::<list_view::Reader<'_>>()
        .map(ListView::read);
}

proptest! {
    /// Guards against heartbeat fields that are lost or swapped by encoding.
    #[test]
    fn heartbeat_round_trips(beat in heartbeat()) {
        prop_assert_eq!(read_beat(&beat_bytes(&beat)), Some(beat));
    }

    /// Guards against a hello whose address or identity is changed by encoding.
    #[test]
    fn hello_round_trips(
        name in name(), service in name(), zone in name(),
        id in any::<[u8; 16]>(), control in any::<SocketAddr>(),
    ) {
        let control = SocketAddr::new(control.ip(), control.port());
        let hello = Hello {
            version: VERSION,
            name: name.parse().unwrap(),
            service: service.parse().unwrap(),
            zone: zone.parse().unwrap(),
            incarnation: Incarnation(id),
            control,
        };
        let mut message = Builder::new_default();
        hello.write(message.init_root::<hello::Builder<'_>>());
        let read = Hello::read(message.get_root_as_reader::<hello::Reader<'_>>().unwrap());
        prop_assert_eq!(read.unwrap(), hello);
    }

    /// Guards against a panic on arbitrary bytes from a peer.
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..4_096)) {
        read_all(&bytes);
        let _ = read_list(&bytes);
        let _ = ServerReport::read(&bytes);
    }

    /// Guards against a panic on an altered message from a peer.
    #[test]
    fn altered_messages_do_not_panic(
        beat in heartbeat(),
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..16),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut bytes = beat_bytes(&beat);
        for (at, value) in changes {
            let at = at.index(bytes.len());
            bytes[at] = value;
        }
        read_all(&bytes);
        bytes.truncate(cut.index(bytes.len()));
        read_all(&bytes);
    }

    /// Guards against a version from the configuration service that alters the path of a request.
    #[test]
    fn versions_have_no_url_syntax(text in ".{0,80}") {
        if is_version(&text) {
            prop_assert!(text.len() <= 64 && !text.contains(['&', '/', '?', '#', ' ', '%']));
        }
    }
}

fn list(entries: usize) -> ListView {
    let entry = |n: usize| (format!("u{n}").parse().expect("valid name"), false);
    ListView {
        service: "s".parse().expect("valid name"),
        origin: "u0".parse().expect("valid name"),
        counter: 1,
        entries: (0..entries).map(entry).collect(),
    }
}

/// Whether an encoded list can be decoded.
fn is_readable(list: &ListView) -> bool {
    let mut message = Builder::new_default();
    list.write(message.init_root::<list_view::Builder<'_>>());
    let reader = message.get_root_as_reader::<list_view::Reader<'_>>();
    ListView::read(reader.expect("valid root")).is_ok()
}

/// Guards against lists that make a node store or forward too much.
#[test]
fn oversized_lists_are_refused() {
    assert!(is_readable(&list(INSTANCES_MAX)));
    assert!(!is_readable(&list(INSTANCES_MAX + 1)));

    let mut message = Builder::new_default();
    message
        .init_root::<beat::Builder<'_>>()
        .init_news(NEWS_MAX as u32 + 1);
    let reader = message.get_root_as_reader::<beat::Reader<'_>>();
    assert!(Heartbeat::read(reader.expect("valid root")).is_err());

    let mut message = Builder::new_default();
    let params = message.init_root::<node::fetch_params::Builder<'_>>();
    params.init_digests(FETCH_DIGESTS_MAX as u32 + 1);
    let reader = message.get_root_as_reader::<node::fetch_params::Reader<'_>>();
    let digests = reader
        .expect("valid root")
        .get_digests()
        .expect("valid list");
    assert!(read_digests(digests).is_err());
}

/// Guards against a message that declares or has a size above the limit.
#[test]
fn oversized_messages_are_refused() {
    let words = reader_options().traversal_limit_in_words.expect("limited") as u32;
    let mut declared = vec![0u8; 4];
    declared.extend((words + 1).to_le_bytes());
    assert!(read_message(&declared[..], reader_options()).is_err());

    let mut message = Builder::new(HeapAllocator::new());
    let content = vec![0u8; words as usize * 8 + 8];
    message
        .init_root::<node::head_results::Builder<'_>>()
        .set_content(&content);
    let bytes = write_message_to_words(&message);
    assert!(read_message(&bytes[..], reader_options()).is_err());
}

/// Guards against amplification: a message of 32 bytes that declares 2^29-1 items of zero size.
#[test]
fn small_messages_with_large_lists_are_refused() {
    let mut bytes = Vec::new();
    bytes.extend([0, 0, 0, 0, 3, 0, 0, 0]);
    // A root without data and with two pointers: claims (null) and news.
    bytes.extend(0x0002_0000_0000_0000u64.to_le_bytes());
    bytes.extend(0u64.to_le_bytes());
    bytes.extend(0xffff_fff8_0000_0001u64.to_le_bytes());
    let message = parse(&bytes).expect("well-formed frame");
    let root = message.get_root::<beat::Reader<'_>>().expect("valid root");
    assert!(Heartbeat::read(root).is_err());
}

/// Guards against rejecting messages of a later version during a rolling upgrade.
#[test]
fn later_versions_are_accepted() {
    let mut message = Builder::new_default();
    let mut root = message.init_root::<beat::Builder<'_>>();
    root.set_revision(9);
    root.set_state(700);
    let mut news = root.init_news(2);
    news.reborrow().get(0).set_kind(900);
    let mut known = news.get(1);
    known.set_kind(2);
    known.set_subject("u1");
    known.set_id(&[1; 16]);
    let reader = message.get_root_as_reader::<beat::Reader<'_>>();
    let beat = Heartbeat::read(reader.expect("valid root")).expect("heartbeat of a later version");
    assert_eq!(beat.revision, Revision(9));
    assert_eq!(beat.state, NodeState::Starting);
    assert_eq!(beat.news.len(), 1);
}

/// Guards against rejecting messages of an earlier version, which lack the newest fields.
#[test]
fn earlier_versions_are_accepted() {
    let mut message = Builder::new_default();
    message.init_root::<capnp::any_pointer::Builder<'_>>();
    let reader = message.get_root_as_reader::<status::Reader<'_>>();
    let status = Status::read(reader.expect("valid root")).expect("status of an earlier version");
    assert_eq!(status.held, None);
}

/// Guards against identifiers and addresses of the wrong length, and invalid names.
#[test]
fn invalid_fields_are_refused() {
    let digest = Digest::of(b"x");
    let cases: [(&str, &[u8], &[u8]); 4] = [
        ("A", &[0; 16], &[127, 0, 0, 1]),
        ("a", &[0; 15], &[127, 0, 0, 1]),
        ("a", &[0; 16], &[127, 0, 0]),
        ("", &[0; 16], &digest.0),
    ];
    for (name, id, ip) in cases {
        let mut message = Builder::new_default();
        let mut root = message.init_root::<hello::Builder<'_>>();
        root.set_name(name);
        root.set_service("s");
        root.set_zone("z");
        root.set_incarnation(id);
        root.init_control().set_ip(ip);
        let reader = message.get_root_as_reader::<hello::Reader<'_>>();
        assert!(Hello::read(reader.expect("valid root")).is_err());
    }
}

/// Guards against platform documents above the size limits.
#[test]
fn oversized_documents_are_refused() {
    assert!(read_list(&vec![b' '; LIST_MAX_BYTES + 1]).is_none());
    let entry = r#"{"name":"a","address":"10.0.0.1:1","state":"live"}"#;
    let many = vec![entry; INSTANCES_MAX + 1].join(",");
    assert!(read_list(format!("[{many}]").as_bytes()).is_none());
    assert!(read_list(format!("[{entry}]").as_bytes()).is_some());
    let mut report = br#"{"busy":1,"slots":2,"draining":true}"#.to_vec();
    assert!(ServerReport::read(&report).is_some_and(|r| r.draining));
    report.resize(REPORT_MAX_BYTES + 1, b' ');
    assert!(ServerReport::read(&report).is_none());
}
