//! Guards the command line of `comfreybay-check`: exit codes, files and printed text.

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Output},
};

use comfreybay::state::{
    config::Config,
    id::{Revision, ServiceName, UpstreamName},
    object::Favour,
    publication::{Publication, bucket_of, decode, encode},
};
use serde_json::Value;

const CHECK: &str = env!("CARGO_BIN_EXE_comfreybay-check");

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(name)
}

fn run(program: &str, args: &[&str]) -> Output {
    let output = Command::new(program)
        .args(args)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .output();
    output.expect("the program starts")
}

fn out(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn err(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn copy(from: &Path, to: &Path) {
    fs::create_dir_all(to).expect("folder can be made");
    for entry in fs::read_dir(from).expect("folder is readable") {
        let entry = entry.expect("entry is readable");
        let target = to.join(entry.file_name());
        match entry.path().is_dir() {
            true => copy(&entry.path(), &target),
            false => drop(fs::copy(entry.path(), target).expect("file can be copied")),
        }
    }
}

fn edit(path: &Path, from: &str, to: &str) {
    let text = fs::read_to_string(path).expect("file is readable");
    assert!(text.contains(from), "{} has no {from:?}", path.display());
    fs::write(path, text.replacen(from, to, 1)).expect("file is writable");
}

fn text(path: &Path) -> &str {
    path.to_str().expect("path is text")
}

/// Guards against invalid command lines that are accepted.
#[test]
fn usage_exits_with_2() {
    let cases: &[&[&str]] = &[
        &[],
        &["--wrong", "examples/tenggara"],
        &["no-such-folder"],
        &["Cargo.toml"],
        &["examples/tenggara", "more"],
        &["examples/tenggara", "--revision", "x"],
        &["examples/tenggara", "--out"],
        &["explain", "examples/tenggara"],
        &["explain", "examples/tenggara", "billing", "--json"],
        &["diff", "examples/tenggara"],
    ];
    for args in cases {
        let output = run(CHECK, args);
        assert_eq!(output.status.code(), Some(2), "{args:?}: {}", err(&output));
        assert!(!err(&output).is_empty(), "{args:?}");
        assert!(out(&output).is_empty(), "{args:?}");
    }
}

/// Guards against help and version that fail or are not printed on standard output.
#[test]
fn help_and_version_exit_with_0() {
    let help = run(CHECK, &["--help"]);
    assert_eq!(help.status.code(), Some(0));
    assert!(out(&help).contains("Usage:"));
    let version = run(CHECK, &["--version"]);
    assert_eq!(
        out(&version),
        format!("comfreybay-check {}\n", env!("CARGO_PKG_VERSION"))
    );
}

/// Guards against examples that are invalid or differ from the sizes that the design states.
#[test]
fn examples_have_the_stated_sizes() {
    let cases = [
        (
            "tenggara",
            Favour::Goodput,
            3,
            &[
                ("bookings", 4, 110, 750),
                ("certify", 3, 140, 960),
                ("dispatch", 3, 140, 960),
                ("billing", 3, 20, 210),
            ],
        ),
        (
            "serrana",
            Favour::Recovery,
            4,
            &[
                ("catalogo", 5, 70, 530),
                ("encomendas", 4, 70, 530),
                ("oficina", 4, 70, 530),
                ("madeira", 4, 30, 260),
            ],
        ),
    ];
    let folder = tempfile::tempdir().expect("folder can be made");
    for (name, favour, zones, services) in cases {
        let file = folder.path().join(name);
        let tree = example(name);
        let output = run(
            CHECK,
            &[text(&tree), "--out", text(&file), "--revision", "5"],
        );
        assert_eq!(output.status.code(), Some(0), "{}", err(&output));
        assert_eq!(err(&output), "", "{name} has warnings");
        let bytes = fs::read(&file).expect("publication was written");
        let publication: Publication = serde_json::from_slice(&bytes).expect("a publication");
        let deployment = &publication.head.deployment;
        assert_eq!(deployment.favour, favour);
        assert_eq!(deployment.zones.len(), zones);
        assert!(out(&output).contains(&publication.head.digest().to_string()));
        let config = Config::from_publication(&publication);
        assert_eq!(
            (config.revision, config.pieces.len()),
            (Revision(5), services.len())
        );
        for (service, count, slots, connections) in services {
            let service: ServiceName = service.parse().expect("a name");
            let upstreams = config.upstreams(&service);
            assert_eq!(upstreams.len(), *count, "{service}");
            for upstream in upstreams {
                assert_eq!(
                    (upstream.slots, upstream.connections),
                    (*slots, *connections)
                );
            }
        }
    }
}

/// Guards against parts that a node cannot find or verify by digest.
#[test]
fn parts_match_their_digests() {
    let folder = tempfile::tempdir().expect("folder can be made");
    let file = folder.path().join("publication.json");
    run(CHECK, &["examples/serrana", "--out", text(&file)]);
    let bytes = fs::read(&file).expect("publication was written");
    let publication: Publication = serde_json::from_slice(&bytes).expect("a publication");
    let mut pieces = 0;
    for digest in &publication.head.buckets {
        let bucket = &publication.buckets[digest];
        decode::<comfreybay::state::publication::Bucket>("bucket", *digest, &encode(bucket))
            .expect("the bucket has its digest");
        for (service, digest) in &bucket.services {
            let piece = &publication.pieces[digest];
            decode::<comfreybay::state::publication::Piece>("piece", *digest, &encode(piece))
                .expect("the piece has its digest");
            assert_eq!(piece.service.name, *service);
            let position = bucket_of(service);
            assert!(publication.head.buckets[position] == bucket_digest(bucket));
            pieces += 1;
        }
    }
    assert_eq!(pieces, publication.pieces.len());
}

fn bucket_digest(bucket: &comfreybay::state::publication::Bucket) -> comfreybay::state::id::Digest {
    comfreybay::state::id::Digest::of(&encode(bucket))
}

/// Guards against example requests that match no chain or the wrong class.
#[test]
fn examples_classify_their_requests() {
    let cases = [
        (
            "tenggara",
            "bookings",
            "POST",
            "/certificates/7",
            Some(("certificate", true, false)),
        ),
        (
            "tenggara",
            "bookings",
            "POST",
            "/bookings",
            Some(("booking", true, false)),
        ),
        (
            "tenggara",
            "bookings",
            "GET",
            "/schedules",
            Some(("browse", false, true)),
        ),
        (
            "tenggara",
            "bookings",
            "GET",
            "/routes/4",
            Some(("browse", false, true)),
        ),
        (
            "tenggara",
            "bookings",
            "GET",
            "/bookings/4",
            Some(("polling", false, true)),
        ),
        ("tenggara", "bookings", "DELETE", "/bookings/4", None),
        (
            "serrana",
            "encomendas",
            "POST",
            "/commissions",
            Some(("commission", true, false)),
        ),
        (
            "serrana",
            "encomendas",
            "GET",
            "/progress/1",
            Some(("progress", false, true)),
        ),
        (
            "serrana",
            "catalogo",
            "GET",
            "/catalogo",
            Some(("browse", false, true)),
        ),
        ("serrana", "catalogo", "GET", "/other", None),
        (
            "serrana",
            "catalogo",
            "GET",
            "/stock/oak",
            Some(("stock", false, true)),
        ),
        (
            "serrana",
            "catalogo",
            "GET",
            "/woods",
            Some(("browse", false, true)),
        ),
    ];
    for (tree, service, method, path, expected) in cases {
        let publication = comfreybay::commands::check::publication(&example(tree));
        let config = Config::from_publication(&publication.expect("the example is valid"));
        let service = service.parse().expect("a name");
        let found = config.classify(&service, method, path);
        let found = found.map(|(_, c)| (c.name.as_str(), c.important, c.repeatable));
        assert_eq!(found, expected, "{tree} {method} {path}");
    }
}

/// Guards against a publication that depends on the machine, the folder or the run.
#[test]
fn same_tree_same_bytes() {
    let folder = tempfile::tempdir().expect("folder can be made");
    let tree = folder.path().join("copy");
    copy(&example("tenggara"), &tree);
    let (first, second) = (folder.path().join("1"), folder.path().join("2"));
    run(CHECK, &["examples/tenggara", "--out", text(&first)]);
    run(CHECK, &[text(&tree), "--out", text(&second)]);
    let (first, second) = (fs::read(first), fs::read(second));
    assert_eq!(first.expect("written"), second.expect("written"));
}

/// Guards against a publication of a faulty tree that overwrites the last valid one.
#[test]
fn faults_exit_with_1_and_write_nothing() {
    let folder = tempfile::tempdir().expect("folder can be made");
    let (tree, file) = (folder.path().join("copy"), folder.path().join("p"));
    copy(&example("serrana"), &tree);
    edit(
        &tree.join("madeira/upstreams.yaml"),
        "zone: sul-b",
        "zone: sul-x",
    );
    edit(
        &tree.join("oficina/limits.yaml"),
        "in_flight: 40",
        "in_flight: 0",
    );
    let output = run(CHECK, &[text(&tree), "--out", text(&file)]);
    assert_eq!(output.status.code(), Some(1));
    assert!(err(&output).contains("unknown-zone"), "{}", err(&output));
    assert!(err(&output).contains("out-of-range"), "{}", err(&output));
    assert!(out(&output).ends_with("2 faults, 0 warnings; nothing can be published\n"));
    assert!(!file.exists());

    let output = run(CHECK, &[text(&tree), "--json"]);
    assert_eq!(output.status.code(), Some(1));
    let summary: Value = serde_json::from_str(&out(&output)).expect("JSON");
    assert_eq!(summary["digest"], Value::Null);
    let found = &summary["findings"][0];
    assert_eq!(
        (&found["code"], &found["line"]),
        (&"unknown-zone".into(), &16.into())
    );
    assert_eq!(err(&output), "");
}

/// Guards against a publication that nodes would refuse because its revision does not increase.
#[test]
fn revision_must_increase() {
    let folder = tempfile::tempdir().expect("folder can be made");
    let (tree, file) = (folder.path().join("copy"), folder.path().join("p"));
    copy(&example("serrana"), &tree);
    let publish = |revision: &str| {
        let args = [text(&tree), "--out", text(&file), "--revision", revision];
        run(CHECK, &args).status.code()
    };
    assert_eq!(publish("4"), Some(0));
    assert_eq!(
        publish("4"),
        Some(0),
        "the same publication may be written again"
    );
    edit(
        &tree.join("oficina/limits.yaml"),
        "in_flight: 40",
        "in_flight: 30",
    );
    assert_eq!(
        publish("4"),
        Some(1),
        "one revision must not have two digests"
    );
    assert_eq!(publish("3"), Some(1));
    assert_eq!(publish("5"), Some(0));
}

/// Guards against an explanation that omits the owner or an object that refers to the subject.
#[test]
fn explain_shows_owner_and_referrers() {
    let output = run(CHECK, &["explain", "examples/tenggara", "billing"]);
    assert_eq!(output.status.code(), Some(0));
    insta::assert_snapshot!("explain-billing", out(&output));
    let output = run(CHECK, &["explain", "examples/serrana", "commission"]);
    insta::assert_snapshot!("explain-commission", out(&output));
    let output = run(CHECK, &["explain", "examples/tenggara", "bilings"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(
        err(&output).contains("did you mean bill"),
        "{}",
        err(&output)
    );
}

/// Guards against a change whose effect on a service is not shown.
#[test]
fn diff_shows_the_change_to_each_service() {
    let folder = tempfile::tempdir().expect("folder can be made");
    let (tree, file) = (folder.path().join("copy"), folder.path().join("p"));
    copy(&example("tenggara"), &tree);
    run(CHECK, &[text(&tree), "--out", text(&file)]);
    let same = run(CHECK, &["diff", text(&file), text(&tree)]);
    assert_eq!(
        (same.status.code(), out(&same)),
        (Some(0), "no change\n".to_owned())
    );

    let classes = tree.join("bookings/classes.yaml");
    edit(&classes, "deadline_ms: 3000", "deadline_ms: 2500");
    edit(&classes, "importance: 4", "importance: 5");
    edit(
        &tree.join("billing/upstreams.yaml"),
        "slots: 20",
        "slots: 30",
    );
    edit(
        &tree.join("certify/upstreams.yaml"),
        "certify-3",
        "certify-4",
    );
    edit(
        &tree.join("dispatch/limits.yaml"),
        "in_flight: 100",
        "in_flight: 90",
    );
    edit(
        &tree.join("bookings/chains.yaml"),
        "path: /routes",
        "path: /roads",
    );
    edit(
        &tree.join("platform/deployment.yaml"),
        "favour: goodput",
        "favour: recovery",
    );
    let change = run(CHECK, &["diff", text(&file), text(&tree)]);
    assert_eq!(change.status.code(), Some(0), "{}", err(&change));
    insta::assert_snapshot!("diff-change", out(&change));

    edit(&classes, "name: booking\n", "name: boking\n");
    let faulty = run(CHECK, &["diff", text(&file), text(&tree)]);
    assert_eq!(faulty.status.code(), Some(1));
    assert!(
        err(&faulty).contains("dangling-reference"),
        "{}",
        err(&faulty)
    );
}

/// Guards against example upstreams that share an address with another example process.
#[test]
fn example_addresses_follow_the_plan() {
    for (tree, net) in [("tenggara", 1), ("serrana", 2)] {
        let publication = comfreybay::commands::check::publication(&example(tree));
        let config = Config::from_publication(&publication.expect("the example is valid"));
        for upstream in config.pieces.values().flat_map(|p| &p.upstreams) {
            let ip = upstream.peer.ip().to_string();
            let name: &UpstreamName = &upstream.name;
            assert!(ip.starts_with(&format!("127.{net}.")), "{name} {ip}");
            assert!(
                !ip.ends_with(".0.1"),
                "{name} uses {ip}, which is reserved for the simulated platform"
            );
            let ports = [upstream.public, upstream.peer, upstream.control].map(|a| a.port());
            assert_eq!(ports, [7000, 7001, 7002], "{name}");
        }
    }
}
