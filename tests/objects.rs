//! Guards the parser of objects against input of any form, size and order.

use comfreybay::{commands::report, state::id::Revision};
use proptest::prelude::*;

mod common;

use common::{FILES, read};

/// Guards against a wrong location in the report of bytes that are not UTF-8.
#[test]
fn invalid_utf8_is_reported_at_its_location() {
    let (tree, faults) = read([("a/x.yaml", &b"kind: Class\nname: \xff\xfe\n"[..])]);
    assert_eq!(faults[0].code, "not-utf8");
    assert_eq!(
        report::place(&tree.sources, &faults[0].site),
        "a/x.yaml:2:7"
    );
}

/// Guards against a part that is too large for the configuration service.
#[test]
fn large_parts_are_refused() {
    let chain = |n| {
        format!(
            "---\nkind: Chain\nname: c{n}\nowner: a\nclass: browse\nentry: deep\nmethod: GET\npath: /{n}/{}\n",
            "x".repeat(900)
        )
    };
    let many: String = (0..1_000).map(chain).collect();
    let files = FILES.iter().map(|(p, t)| (*p, t.as_bytes()));
    let (_, faults) = read(files.chain([("a/x.yaml", many.as_bytes())]));
    let codes: Vec<_> = faults.iter().map(|f| f.code).collect();
    assert_eq!(codes, ["part-too-large"]);
    assert!(
        faults[0].message.starts_with("service deep takes"),
        "{}",
        faults[0].message
    );
}

/// Guards against a publication that depends on the order of files and objects.
#[test]
fn order_does_not_change_the_digest() {
    let digest = |files: Vec<(&str, String)>| {
        let (tree, faults) = read(files.iter().map(|(p, t)| (*p, t.as_bytes())));
        assert_eq!(faults, []);
        let publication = tree.compose(Revision(7)).expect("no faults");
        publication.head.digest()
    };
    let plain: Vec<_> = FILES.iter().map(|(p, t)| (*p, (*t).to_owned())).collect();
    let reversed = |text: &str| {
        let documents: Vec<_> = text.rsplit("---\n").collect();
        documents.join("\n---\n")
    };
    let mut other: Vec<_> = FILES.iter().map(|(p, t)| (*p, reversed(t))).collect();
    other.reverse();
    assert_eq!(digest(plain.clone()), digest(plain.clone()));
    assert_eq!(digest(plain), digest(other));
}

/// Parses, checks, reports and composes a tree with one more file.
fn process(bytes: &[u8]) {
    let files = FILES.iter().map(|(p, t)| (*p, t.as_bytes()));
    let (tree, faults) = read(files.chain([("a/x.yaml", bytes)]));
    let text = report::text(&tree.sources, &faults, false);
    assert!(faults.is_empty() || !text.is_empty());
    report::findings(&tree.sources, &faults);
    tree.compose(Revision(1));
}

proptest! {
    /// Guards against a panic in the parser, the rules or the report.
    #[test]
    fn no_bytes_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        process(&bytes);
    }

    /// Guards against a panic on files that are almost valid.
    #[test]
    fn no_damaged_file_panics(
        file in 0..FILES.len(),
        at in any::<prop::sample::Index>(),
        cut in 0..40_usize,
        insert in "[ -~\u{e9}\n]{0,12}",
    ) {
        let mut bytes = FILES[file].1.as_bytes().to_vec();
        let at = at.index(bytes.len());
        let end = (at + cut).min(bytes.len());
        bytes.splice(at..end, insert.bytes());
        process(&bytes);
    }

    /// Guards against a traversal of the call graph that does not end or overflows the stack.
    #[test]
    fn no_graph_panics(calls in prop::collection::vec((0..30_u8, 0..30_u8), 0..120)) {
        let mut text = String::from(
            "kind: Chain\nname: c\nowner: a\nclass: browse\nentry: s0\nmethod: GET\npath: /c\n\
             calls:\n",
        );
        let mut sorted = calls;
        sorted.sort_unstable();
        for group in sorted.chunk_by(|a, b| a.0 == b.0) {
            let called: Vec<_> = group.iter().map(|(_, to)| format!("s{to}")).collect();
            text += &format!("  s{}: [{}]\n", group[0].0, called.join(", "));
        }
        process(text.as_bytes());
    }
}

/// Guards against a stack overflow on a very deep chain.
#[test]
fn very_deep_chain_is_reported() {
    let calls: String = (0..5_000)
        .map(|n| format!("  s{n}: [s{}]\n", n + 1))
        .collect();
    let chain = "kind: Chain\nname: c\nowner: a\nclass: browse\nentry: s0\nmethod: GET\npath: /c\n";
    let (_, faults) = read([("a/x.yaml", format!("{chain}calls:\n{calls}").as_bytes())]);
    assert!(faults.iter().any(|f| f.code == "chain-too-deep"));
}
