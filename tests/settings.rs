//! Guards the settings of a node: all faults are reported at once, with their location, without a
//! panic.

use std::path::Path;

use comfreybay::{
    commands::{
        Error,
        check::publication,
        report,
        settings::{parse, print},
    },
    state::{config::Config, settings::LogFormat},
};
use proptest::prelude::*;

const TENGGARA: &str = include_str!("../examples/settings/tenggara-bookings-1.yaml");
const SERRANA: &str = include_str!("../examples/settings/serrana-catalogo-1.yaml");

fn refusal(text: &[u8]) -> String {
    let error = parse("node.yaml", text).expect_err("the settings are invalid");
    assert!(matches!(error, Error::Settings(_)), "{error:?}");
    report::diagnostic(&error, false)
}

fn edited(edits: &[(&str, &str)]) -> String {
    let mut text = TENGGARA.to_owned();
    for (from, to) in edits {
        assert!(text.contains(from), "no {from:?}");
        text = text.replacen(from, to, 1);
    }
    text
}

/// Guards against examples that a node refuses, or that contradict the example's objects.
#[test]
fn examples_are_accepted_and_match_the_objects() {
    for (tree, text) in [("tenggara", TENGGARA), ("serrana", SERRANA)] {
        let settings = parse(tree, text.as_bytes()).expect("the example is valid");
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
        let published = publication(&root.join(tree)).expect("the example is valid");
        let config = Config::from_publication(&published);
        let own = config
            .upstream(&settings.name)
            .expect("the upstream is declared");
        assert_eq!(
            (&own.service, &own.zone),
            (&settings.service, &settings.zone)
        );
        assert_eq!(
            (own.public, own.peer, own.control),
            (settings.public, settings.peer, settings.control)
        );
        let upstreams = config.pieces.values().flat_map(|p| &p.upstreams);
        let controls: Vec<_> = upstreams.map(|u| u.control).collect();
        assert!(settings.seeds.iter().all(|s| controls.contains(s)));
    }
}

/// Guards against settings that lose a value when they are printed and parsed again.
#[test]
fn printed_settings_round_trip() {
    for text in [TENGGARA, SERRANA] {
        let read = parse("a", text.as_bytes()).expect("the example is valid");
        let again = parse("b", print(&read).as_bytes()).expect("printed settings are valid");
        assert_eq!(again, read);
    }
    insta::assert_snapshot!(
        "printed",
        print(&parse("a", TENGGARA.as_bytes()).expect("valid settings"))
    );
}

/// Guards against defaults that differ from those of the settings type.
#[test]
fn keys_may_be_omitted() {
    let text = edited(&[(
        "log:\n  level: info\n  format: text\n",
        "log:\n  level: warn\n",
    )]);
    let settings = parse("a", text.as_bytes()).expect("valid settings");
    assert_eq!(
        (settings.log.level.as_str(), settings.log.format),
        ("warn", LogFormat::Text)
    );
    assert_eq!((settings.seed, settings.metrics), (None, None));
}

/// Guards against a fault that is not detected, masks others or has the wrong location.
#[test]
fn faults_are_reported_with_their_locations() {
    let cases: &[(&str, &[(&str, &str)])] = &[
        ("unknown-key", &[("egress:", "egres:")]),
        (
            "missing-keys",
            &[("zone: timor-a\n", ""), ("server: 127.1.1.1:8000\n", "")],
        ),
        (
            "repeated-key",
            &[("region: timor", "region: timor\nregion: timor")],
        ),
        (
            "wrong-types",
            &[
                ("service: bookings", "service: [a]"),
                ("log:", "log: 3\nlogs:"),
            ],
        ),
        (
            "bad-address",
            &[
                ("127.1.1.1:7000", "127.1.1:7000"),
                ("127.1.1.1:7001", "host:7001"),
            ],
        ),
        ("no-port", &[("127.1.1.1:7003", "127.1.1.1:0")]),
        ("any-host", &[("127.1.1.1:7001", "0.0.0.0:7001")]),
        ("two-hosts", &[("127.1.1.1:7002", "127.1.1.9:7002")]),
        ("same-address", &[("127.1.1.1:7004", "127.1.1.1:7000")]),
        (
            "seeds",
            &[
                ("127.1.1.2:7002", "127.1.1.1:7002"),
                ("127.1.3.2", "127.1.2.1"),
            ],
        ),
        (
            "log",
            &[
                ("level: info", "level: inform"),
                ("format: text", "format: xml"),
            ],
        ),
        // A seed in the file would give the same incarnation and ticket secret at each start.
        ("seed", &[("region: timor", "region: timor\nseed: -1")]),
        ("syntax", &[("seeds:", "seeds: [")]),
        (
            "many",
            &[
                ("name: bookings-1", "name: Bookings 1"),
                ("peer:", "per:"),
                ("level: info", "level: 5"),
                ("127.1.0.1:6001", "127.1.0.1"),
            ],
        ),
    ];
    for (name, edits) in cases {
        insta::assert_snapshot!(*name, refusal(edited(edits).as_bytes()));
    }
    insta::assert_snapshot!("empty", refusal(b""));
    insta::assert_snapshot!("not-utf8", refusal(b"name: a\nservice: \xff\n"));
    insta::assert_snapshot!("two-documents", refusal(b"name: a\n---\nname: b\n"));
}

fn no_panic(bytes: &[u8]) {
    match parse("node.yaml", bytes) {
        Ok(settings) => {
            let again = parse("node.yaml", print(&settings).as_bytes());
            assert_eq!(again.expect("printed settings are valid"), settings);
        }
        Err(error) => assert!(!report::diagnostic(&error, false).is_empty()),
    }
}

proptest! {
    /// Guards against a panic in the parser or the report.
    #[test]
    fn no_bytes_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        no_panic(&bytes);
    }

    /// Guards against a panic on almost valid settings, and values that are changed by printing.
    #[test]
    fn no_damaged_settings_panic(
        at in any::<prop::sample::Index>(),
        cut in 0..30_usize,
        insert in "[ -~\u{e9}\n]{0,12}",
    ) {
        let mut bytes = SERRANA.as_bytes().to_vec();
        let at = at.index(bytes.len());
        let end = (at + cut).min(bytes.len());
        bytes.splice(at..end, insert.bytes());
        no_panic(&bytes);
    }
}
