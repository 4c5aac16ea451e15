//! Guards the rules for a set of objects: each rule reports its own fault only, with the right
//! location.

use comfreybay::{commands::report, state::id::Revision};

mod common;

use common::{FILES, read};

/// File, old text, new text: replaces the old text in a file of the valid tree, or adds a new file
/// with the new text.
type Edit = (&'static str, &'static str, &'static str);

fn edited(edits: &[Edit]) -> Vec<(String, String)> {
    let mut files: Vec<_> = FILES
        .iter()
        .map(|(p, t)| ((*p).to_owned(), (*t).to_owned()))
        .collect();
    for (path, from, to) in edits {
        let Some((_, text)) = files.iter_mut().find(|(p, _)| p == path) else {
            files.push(((*path).to_owned(), (*to).to_owned()));
            continue;
        };
        assert!(text.contains(from), "{path} has no {from:?}");
        *text = text.replacen(from, to, 1);
    }
    files.sort();
    files
}

/// The snapshot name, the codes of the expected faults, and the edits.
type Case = (&'static str, &'static [&'static str], &'static [Edit]);

/// Checks the edited trees, expects exactly the given fault codes, and compares the reports with
/// their snapshots.
fn check_cases(cases: &[Case]) {
    for (name, codes, edits) in cases {
        let files = edited(edits);
        let (tree, faults) = read(files.iter().map(|(p, t)| (p.as_str(), t.as_bytes())));
        let mut found: Vec<_> = faults.iter().map(|f| f.code).collect();
        found.sort_unstable();
        assert_eq!(&found, codes, "{name}: {faults:#?}");
        insta::assert_snapshot!(*name, report::text(&tree.sources, &faults, false));
    }
}

const RULES: &str = "a/rules.yaml";
const SERVICES: &str = "b/services.yaml";
const DEPLOYMENT: &str = "a/deployment.yaml";

/// Guards against a rule that reports a fault in a valid tree.
#[test]
fn valid_tree_has_no_faults() {
    let files = FILES.iter().map(|(p, t)| (*p, t.as_bytes()));
    let (tree, faults) = read(files);
    assert_eq!(faults, []);
    assert!(tree.compose(Revision(1)).is_some());
}

const LIMIT: &str =
    "kind: Limit\nname: few\nowner: a\nservice: front\nclass: browse\nin_flight: 5\n";

/// Guards against trees with conflicting objects or wrong owners.
#[test]
fn names_and_owners() {
    const SECOND_OWNER: &str = "ext. 1\n---\nkind: Owner\nname: c\ncontact: ext. 3\n";
    const SECOND_DEPLOYMENT: &str =
        "kind: Deployment\nname: e\nowner: a\nfavour: recovery\nzones: [{name: z1, region: r}]\n";
    const SECOND_LIMIT: &str =
        "kind: Limit\nname: more\nowner: a\nservice: front\nclass: browse\nin_flight: 6\n";
    const MOVED: &str = "ext. 1\n---\nkind: Limit\nname: few\nowner: a\nservice: front\n\
         class: browse\nin_flight: 5\n";
    const OWNERLESS: &str =
        "kind: Limit\nname: few\nowner: c\nservice: front\nclass: browse\nin_flight: 5\n";
    check_cases(&[
        (
            "name-twice",
            &["duplicate-name"],
            &[(SERVICES, "name: deep-2", "name: front-1")],
        ),
        (
            "limit-twice",
            &["duplicate-limit"],
            &[("a/x.yaml", "", SECOND_LIMIT)],
        ),
        (
            "second-deployment",
            &["second-deployment"],
            &[("a/x.yaml", "", SECOND_DEPLOYMENT)],
        ),
        (
            "second-owner",
            &["second-owner"],
            &[("a/owner.yaml", "ext. 1\n", SECOND_OWNER)],
        ),
        (
            "stray-owner",
            &["stray-owner"],
            &[("a/x.yaml", "", "kind: Owner\nname: c\ncontact: ext. 3\n")],
        ),
        (
            "stray-object",
            &["stray-object"],
            &[(RULES, LIMIT, ""), ("a/owner.yaml", "ext. 1\n", MOVED)],
        ),
        (
            "no-owner",
            &["no-owner"],
            &[(RULES, LIMIT, ""), ("c/x.yaml", "", OWNERLESS)],
        ),
        (
            "foreign-owner",
            &["foreign-owner"],
            &[(SERVICES, "name: deep\nowner: b", "name: deep\nowner: a")],
        ),
    ]);
}

/// Guards against references to objects that do not exist.
#[test]
fn references() {
    check_cases(&[
        (
            "no-deployment",
            &["no-deployment"],
            &[(DEPLOYMENT, FILES[0].1, "")],
        ),
        (
            "chain-class",
            &["dangling-reference", "unused-class"],
            &[(RULES, "class: book\n", "class: boook\n")],
        ),
        (
            "chain-calls",
            &["dangling-reference"],
            &[(RULES, "[deep]", "[deep, depe]")],
        ),
        (
            "chain-caller",
            &[
                "dangling-reference",
                "unreached-service",
                "unspendable-retries",
                "unused-service",
            ],
            &[(RULES, "  front: [deep]", "  frnt: [deep]")],
        ),
        (
            "limit-service",
            &["dangling-reference", "unused-limit"],
            &[(RULES, "service: front", "service: fron")],
        ),
        (
            "upstream-service",
            &["dangling-reference", "single-zone", "unspendable-retries"],
            &[(
                SERVICES,
                "deep-2\nowner: b\nservice: deep",
                "deep-2\nowner: b\nservice: deeep",
            )],
        ),
        (
            "unknown-zone",
            &["unknown-zone"],
            &[(SERVICES, "zone: z2", "zone: z22")],
        ),
        (
            "no-upstream",
            &["no-upstream"],
            &[
                ("b/x.yaml", "", "kind: Service\nname: idle\nowner: b\n"),
                (RULES, "[deep]", "[deep, idle]"),
            ],
        ),
    ]);
}

/// Guards against values that a node cannot use.
#[test]
fn values() {
    check_cases(&[
        (
            "slots",
            &["out-of-range"],
            &[(SERVICES, "slots: 10", "slots: 0")],
        ),
        (
            "connections",
            &["out-of-range"],
            &[(SERVICES, "connections: 20", "connections: 70000")],
        ),
        (
            "deadline",
            &["out-of-range"],
            &[(RULES, "deadline_ms: 1000", "deadline_ms: 600001")],
        ),
        (
            "retries",
            &["out-of-range", "unspendable-retries"],
            &[(RULES, "retries: 2", "retries: 17")],
        ),
        (
            "limit",
            &["out-of-range"],
            &[(RULES, "in_flight: 5", "in_flight: 0")],
        ),
        (
            "number",
            &["out-of-range"],
            &[(SERVICES, "slots: 10", "slots: -3")],
        ),
        (
            "contact",
            &["invalid-value"],
            &[("a/owner.yaml", "ext. 1", "' '")],
        ),
        (
            "no-zones",
            &["invalid-value"],
            &[
                (
                    DEPLOYMENT,
                    "  - name: z1\n    region: r\n  - name: z2\n    region: r\n",
                    "",
                ),
                (DEPLOYMENT, "zones:\n", "zones: []\n"),
                (SERVICES, FILES[4].1, ""),
                (RULES, FILES[2].1, ""),
            ],
        ),
        (
            "zone-twice",
            &["duplicate-zone"],
            &[(
                DEPLOYMENT,
                "zones:\n",
                "zones:\n  - name: z2\n    region: r\n",
            )],
        ),
        (
            "shed-header",
            &["invalid-value"],
            &[(
                SERVICES,
                "name: deep\nowner: b",
                "name: deep\nowner: b\nshed_header: cb-shed",
            )],
        ),
        (
            "address",
            &["invalid-value"],
            &[(SERVICES, "127.0.1.1:7000", "0.0.0.0:7000")],
        ),
        (
            "host",
            &["invalid-value"],
            &[(SERVICES, "127.0.1.1:7002", "127.0.1.9:7002")],
        ),
        (
            "method",
            &["invalid-value"],
            &[(RULES, "method: POST", "method: post")],
        ),
        (
            "path",
            &["invalid-value"],
            &[(RULES, "path: /book", "path: book")],
        ),
        (
            "reserved",
            &["invalid-value"],
            &[(RULES, "path: /book", "path: /.comfreybay/x")],
        ),
        (
            "address-twice",
            &["duplicate-address"],
            &[(SERVICES, "127.0.1.2:7000", "127.0.1.1:7002")],
        ),
    ]);
}

/// Guards against cyclic or too deep chains, and against requests that match two chains.
#[test]
fn chains() {
    const DEEP: &str = "  front: [deep]\n  deep: [s3, s4]\n  s3: [s4]\n  s4: [s5]\n  s5: [s6]\n  \
         s6: [s7]\n  s7: [s8]\n";
    const MORE: &str = include_str!("data/services.yaml");
    check_cases(&[
        (
            "cycle",
            &["chain-cycle"],
            &[(RULES, "  front: [deep]", "  front: [deep]\n  deep: [front]")],
        ),
        (
            "self-call",
            &["chain-cycle"],
            &[(RULES, "[deep]", "[deep, front]")],
        ),
        (
            "too-deep",
            &["chain-too-deep"],
            &[(RULES, "  front: [deep]\n", DEEP), ("b/x.yaml", "", MORE)],
        ),
        (
            "unreached",
            &["unreached-service", "unspendable-retries", "unused-service"],
            &[(RULES, "  front: [deep]", "  front: []\n  deep: [front]")],
        ),
        (
            "same-path",
            &["path-overlap"],
            &[(RULES, "POST\npath: /book", "GET\npath: /read")],
        ),
        (
            "path-in-name",
            &["path-overlap"],
            &[(RULES, "POST\npath: /book", "GET\npath: /reader")],
        ),
        (
            "nested-path",
            &[],
            &[(RULES, "POST\npath: /book", "GET\npath: /read/er")],
        ),
    ]);
}

/// Guards against valid settings that are likely mistakes.
#[test]
fn warnings() {
    check_cases(&[
        (
            "few-connections",
            &["few-connections"],
            &[(SERVICES, "connections: 20", "connections: 9")],
        ),
        (
            "importance-order",
            &["importance-order"],
            &[(RULES, "importance: 0", "importance: 4")],
        ),
        (
            "deadline-over-ticket",
            &["deadline-over-ticket"],
            &[(RULES, "deadline_ms: 3000", "deadline_ms: 60001")],
        ),
        (
            "short-deadline",
            &["short-deadline"],
            &[(RULES, "deadline_ms: 3000", "deadline_ms: 45")],
        ),
        (
            "unspendable-retries",
            &["unspendable-retries"],
            &[(RULES, "retries: 2", "retries: 3")],
        ),
        (
            "limit-above-slots",
            &["limit-above-slots"],
            &[(RULES, "in_flight: 5", "in_flight: 11")],
        ),
        (
            "unused-limit",
            &["unused-limit"],
            &[(
                RULES,
                "service: front\nclass: browse\nin_flight: 5",
                "service: deep\nclass: browse\nin_flight: 3",
            )],
        ),
        (
            "unused-class",
            &["unused-class"],
            &[
                (RULES, "class: book\n", "class: browse\n"),
                (RULES, "retries: 1", "retries: 2"),
            ],
        ),
        (
            "unused-service",
            &["unused-service"],
            &[(RULES, "[deep]", "[]"), (RULES, "ries: 2", "ries: 1")],
        ),
        (
            "single-zone",
            &["single-zone"],
            &[(SERVICES, "deep\nzone: z2", "deep\nzone: z1")],
        ),
        (
            "shared-host",
            &["shared-host"],
            &[
                (SERVICES, "127.0.2.2:7000", "127.0.2.1:7100"),
                (SERVICES, "127.0.2.2:7001", "127.0.2.1:7101"),
                (SERVICES, "127.0.2.2:7002", "127.0.2.1:7102"),
            ],
        ),
        (
            "baseline-control",
            &["baseline-control"],
            &[(
                DEPLOYMENT,
                "favour: goodput\n",
                "favour: goodput\ncontrol: off\n",
            )],
        ),
    ]);
}

/// Guards against faults of one file that mask each other or have no location.
#[test]
fn parsing() {
    const MANY: &str = "kind: Class\nname: B o\nowner: [a]\nimportance: 300\nimportnat: true\n\
         deadline_ms: soon\nretries: 1\nretries: 2\n";
    check_cases(&[
        ("syntax", &["syntax"], &[(RULES, "[deep]", "[deep")]),
        (
            "many",
            &[
                "duplicate-key",
                "invalid-value",
                "out-of-range",
                "unknown-key",
                "wrong-type",
                "wrong-type",
            ],
            &[("a/x.yaml", "", MANY)],
        ),
        (
            "missing",
            &["missing-key", "missing-key"],
            &[("a/x.yaml", "", "kind: Owner\n")],
        ),
        (
            "kind",
            &["invalid-value"],
            &[("a/x.yaml", "", "kind: Servise\nname: x\n")],
        ),
        (
            "no-kind",
            &["missing-key"],
            &[("a/x.yaml", "", "name: x\n")],
        ),
        (
            "not-a-mapping",
            &["wrong-type"],
            &[("a/x.yaml", "", "- 1\n")],
        ),
        (
            "nested",
            &["missing-key", "unknown-key", "wrong-type"],
            &[
                (
                    DEPLOYMENT,
                    "name: z1\n    region: r",
                    "name: z1\n    regoin: r",
                ),
                (RULES, "  front: [deep]", "  front: deep"),
            ],
        ),
    ]);
}
