//! Guards against differences between the documentation and the code, and against imports and
//! names that violate the layers.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

use comfreybay::state::{
    counters::{Counter, MetricKind},
    journal::DecisionKind,
};

/// The layers, highest first; each may import only from itself and those after it.
const LAYERS: [&str; 6] = [
    "commands",
    "standin",
    "transport",
    "protocol",
    "coordination",
    "state",
];

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn page(name: &str) -> String {
    fs::read_to_string(root().join("docs").join(name)).expect("the page is readable")
}

/// Guards against a metric that is not documented, or with another kind, unit or description.
#[test]
fn every_counter_is_documented() {
    let page = page("operating.md");
    let rows: BTreeSet<_> = page.lines().filter(|l| l.starts_with("| `")).collect();
    let row = |c: &Counter| {
        let kind = match c.kind() {
            MetricKind::Total => "total",
            MetricKind::Gauge => "gauge",
        };
        format!(
            "| `{}` | {} | {kind} | {} |",
            c.name(),
            c.unit(),
            c.description()
        )
    };
    let expected: BTreeSet<_> = Counter::ALL.iter().map(row).collect();
    let missing: Vec<_> = expected
        .iter()
        .filter(|r| !rows.contains(r.as_str()))
        .collect();
    assert!(
        missing.is_empty(),
        "add to docs/operating.md:\n{missing:#?}"
    );
    let stale: Vec<_> = rows.iter().filter(|r| !expected.contains(**r)).collect();
    assert!(
        stale.is_empty(),
        "remove from docs/operating.md:\n{stale:#?}"
    );
}

/// Guards against a counter or decision that is documented as if it were set but never is.
#[test]
fn unset_counters_and_decisions_are_listed() {
    let mut files = vec![];
    sources(&root().join("src"), &mut files);
    let declared = |f: &PathBuf| f.ends_with("counters.rs") || f.ends_with("journal.rs");
    let texts: Vec<_> = files
        .iter()
        .filter(|f| !declared(f))
        .map(|f| fs::read_to_string(f).expect("the source is readable"))
        .collect();
    // Matches whole names only: `Suspects` must not match `SuspectsAdded`.
    let has_name = |text: &str, name: &str| {
        let mut ends = text
            .match_indices(name)
            .map(|(at, _)| &text[at + name.len()..]);
        ends.any(|rest| !rest.starts_with(char::is_alphanumeric))
    };
    let set = |name: &str| texts.iter().any(|t| has_name(t, name));
    let counters = Counter::ALL
        .iter()
        .filter(|c| !set(&format!("Counter::{c:?}")));
    let counters = counters.map(|c| format!("- counter `{c}`"));
    let changes = DecisionKind::ALL
        .iter()
        .filter(|c| !set(&format!("DecisionKind::{c:?}")));
    let changes = changes.map(|c| format!("- decision `{c}`"));
    let unset: BTreeSet<_> = counters.chain(changes).collect();
    let page = page("operating.md");
    let listed = page
        .lines()
        .filter(|l| l.starts_with("- counter") || l.starts_with("- decision"));
    let listed: BTreeSet<_> = listed.map(str::to_owned).collect();
    assert_eq!(
        listed, unset,
        "the list in docs/operating.md differs from the code"
    );
}

/// Guards against a term of the code that is missing from the glossary.
#[test]
fn terms_are_in_the_glossary() {
    let page = page("glossary.md");
    let terms = [
        "upstream",
        "backend server",
        "node",
        "availability zone",
        "instance",
        "customer",
        "service",
        "class",
        "chain",
        "limit",
        "owner",
        "deployment",
        "publication",
        "head",
        "bucket",
        "piece",
        "revision",
        "digest",
        "outcome",
        "ticket",
        "incarnation",
        "allowance",
        "priority",
        "level",
        "gate",
        "held",
        "suspect",
        "convicted",
        "reader",
        "peer",
        "heartbeat",
        "root request id",
        "call token",
        "fingerprint",
        "goodput",
    ];
    for term in terms {
        assert!(page.contains(&format!("| {term} |")), "no row for {term}");
    }
}

fn sources(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("the folder is readable") {
        let path = entry.expect("the entry is readable").path();
        if path.is_dir() {
            sources(&path, files);
        } else if path.extension().is_some_and(|e| e == "rs") {
            files.push(path);
        }
    }
}

/// Returns the top-level modules that a source text imports with `crate::`.
fn imports(text: &str) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    for (at, _) in text.match_indices("crate::") {
        let rest = &text[at + "crate::".len()..];
        let Some(group) = rest.strip_prefix('{') else {
            found.insert(word(rest));
            continue;
        };
        let mut depth = 1;
        let mut item = true;
        for (n, c) in group.char_indices() {
            match c {
                '{' => depth += 1,
                '}' => depth -= 1,
                ',' if depth == 1 => item = true,
                c if item && depth == 1 && c.is_alphabetic() => {
                    found.insert(word(&group[n..]));
                    item = false;
                }
                _ => {}
            }
            if depth == 0 {
                break;
            }
        }
    }
    found
}

fn word(text: &str) -> String {
    text.chars()
        .take_while(|c| c.is_alphanumeric() || *c == '_')
        .collect()
}

/// Guards against an import from a higher layer, which would make decisions depend on I/O.
#[test]
fn layers_import_only_from_lower_layers() {
    let page = page("layers.md");
    let mut seen = 0;
    for (position, layer) in LAYERS.iter().enumerate() {
        let mut files = vec![];
        sources(&root().join("src").join(layer), &mut files);
        for file in files {
            let text = fs::read_to_string(&file).expect("the source is readable");
            for name in imports(&text) {
                let Some(other) = LAYERS.iter().position(|l| *l == name) else {
                    continue;
                };
                assert!(other >= position, "{} imports {name}", file.display());
                seen += 1;
            }
        }
        let below = LAYERS[position + 1..].join(", ");
        let below = if below.is_empty() { "none" } else { &below };
        assert!(
            page.contains(&format!("| `{layer}` | {below} |")),
            "no row for {layer}"
        );
    }
    assert!(seen > 0, "found no import in any layer");
}

/// Guards against `imports` missing an import.
#[test]
fn imports_are_found() {
    let text = "use crate::state::id; use crate::{\n  commands::{check, yaml},\n  state,\n};";
    let found: Vec<_> = imports(text).into_iter().collect();
    assert_eq!(found, ["commands", "state"]);
}

/// Guards against names of the platform's protocol outside the adapter.
#[test]
fn platform_names_stay_in_the_adapter() {
    let names = [
        "x-attempt-id",
        "x-deadline-ms",
        "x-server-seal",
        "x-expect-instance",
        "x-server-load",
        "x-not-executed",
        "x-caller-service",
        "server-limit",
        "server-leaving",
        "store-era",
        "op/config",
        "kv-range",
        "kv-watch",
        "weighted_targets",
        "route_type",
        "bind_addresses",
        "app_addr",
        "cold_left_s",
        "x-tenant-id",
        "tenant",
        "api_keys",
        "auth_exempt",
        "burst_size",
    ];
    let mut files = vec![];
    sources(&root().join("src"), &mut files);
    for file in files {
        let text = fs::read_to_string(&file).expect("the source is readable");
        let text = text.to_ascii_lowercase();
        for name in names {
            assert!(
                !text.contains(name),
                "{} contains {name}, which belongs to the adapter",
                file.display()
            );
        }
    }
    let wire = fs::read_to_string(root().join("platform/src/wire.rs")).expect("it is readable");
    assert!(
        wire.contains(names[0]),
        "platform/src/wire.rs no longer contains the platform's names"
    );
}

/// Guards against an adapter that does more than translate between protocols.
#[test]
fn adapter_only_translates() {
    let mut files = vec![];
    sources(&root().join("platform/src"), &mut files);
    let texts = files
        .iter()
        .map(|f| fs::read_to_string(f).expect("the source is readable"));
    let text: String = texts.collect();
    assert!(text.lines().count() < 1_500);
    for word in ["tokio", "sleep", "Instant", "retry", "spawn", "loop {"] {
        assert!(
            !text.contains(word),
            "the adapter contains {word}, but must only translate"
        );
    }
}

/// Guards against log lines that the operators' page does not explain.
#[test]
fn log_lines_on_a_platform_are_explained() {
    let page = page("OPERATIONS.md");
    let mut files = vec![];
    sources(&root().join("src/transport/mesh"), &mut files);
    files.push(root().join("src/commands/mesh.rs"));
    sources(&root().join("src/commands/mesh"), &mut files);
    let mut seen = 0;
    for file in files {
        let text = fs::read_to_string(&file).expect("the source is readable");
        for (at, _) in text
            .match_indices("log::")
            .filter(|(at, _)| text[*at..].contains(';'))
        {
            let call = text[at..].lines().next().unwrap_or_default();
            let Some(message) = call
                .rsplit_once("; \"")
                .and_then(|(_, m)| m.split_once('"'))
            else {
                continue;
            };
            let first: Vec<_> = message.0.split(':').collect();
            seen += 1;
            assert!(
                page.contains(first[0]),
                "{}: docs/OPERATIONS.md does not explain {}",
                file.display(),
                message.0
            );
        }
    }
    assert!(
        seen >= 15,
        "found only {seen} log lines, expected at least 15"
    );
}
