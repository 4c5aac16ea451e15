//! Guards the operator's interface of the node process: start, stop, log lines, metrics and dump.

use std::{
    fs,
    io::Read,
    net::{Ipv4Addr, SocketAddr, TcpStream, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Output, Stdio},
    thread::sleep,
    time::{Duration, Instant, SystemTime},
};

use comfreybay::{
    commands::{
        dump::{dumps, events},
        log::line,
        metrics::Metrics,
        settings,
    },
    state::{
        counters::{Counter, Counters},
        settings::{LogFormat, Settings},
    },
};
use serde_json::{Value, json};

const NODE: &str = env!("CARGO_BIN_EXE_comfreybay-node");
const DUMP: &str = env!("CARGO_BIN_EXE_comfreybay-dump");
const EXAMPLE: &str = include_str!("../examples/settings/serrana-catalogo-1.yaml");
const START_S: u64 = 20;

/// A loopback address derived from the process id, so that concurrent test runs do not conflict.
fn host(last: u32) -> Ipv4Addr {
    let [_, a, b, c] = (std::process::id().wrapping_mul(8) + last).to_be_bytes();
    Ipv4Addr::new(127, 64 | (a & 63), b, c.clamp(1, 254))
}

fn settings_text(host: Ipv4Addr) -> String {
    EXAMPLE.replace("127.2.1.1", &host.to_string())
}

fn settings_of(host: Ipv4Addr) -> Settings {
    settings::parse("test", settings_text(host).as_bytes()).expect("the settings are valid")
}

struct Folder {
    folder: tempfile::TempDir,
}

impl Folder {
    fn new() -> Self {
        let folder = tempfile::tempdir().expect("folder can be made");
        Self { folder }
    }

    fn write(&self, text: &str) -> PathBuf {
        let path = self.folder.path().join("node.yaml");
        fs::write(&path, text).expect("file can be written");
        path
    }
}

/// A node process; killed when a test ends early.
struct Node(Child);

impl Node {
    fn start(settings: &PathBuf, admin: SocketAddr) -> Self {
        let mut command = Command::new(NODE);
        command.arg(settings).stderr(Stdio::piped());
        let node = Self(command.spawn().expect("the node starts"));
        let until = Instant::now() + Duration::from_secs(START_S);
        while TcpStream::connect(admin).is_err() {
            assert!(
                Instant::now() < until,
                "the node does not listen at {admin} after {START_S} s"
            );
            sleep(Duration::from_millis(20));
        }
        node
    }

    fn signal(&self, name: &str) {
        let mut kill = Command::new("kill");
        kill.arg(name).arg(self.0.id().to_string());
        assert!(kill.status().expect("kill starts").success());
    }

    /// Waits for the process to exit; returns its exit code and log.
    fn wait(mut self) -> (Option<i32>, String) {
        let mut log = String::new();
        let mut stderr = self.0.stderr.take().expect("stderr is piped");
        stderr.read_to_string(&mut log).expect("the log is text");
        (self.0.wait().expect("the node exits").code(), log)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn run(program: &str, args: &[&str]) -> Output {
    Command::new(program)
        .args(args)
        .output()
        .expect("the program starts")
}

fn out(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn err(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Guards against invalid command lines that are accepted.
#[test]
fn exit_codes() {
    let folder = Folder::new();
    let faulty = folder.write("name: a\n");
    let faulty = faulty.to_str().expect("path is text");
    let cases: &[(&str, &[&str], i32)] = &[
        (NODE, &[], 2),
        (NODE, &["a.yaml", "b.yaml"], 2),
        (NODE, &["--print-confg", "a.yaml"], 2),
        (NODE, &["/no/such/file.yaml"], 1),
        (NODE, &[faulty], 1),
        (NODE, &[faulty, "--print-config"], 1),
        (NODE, &["--help"], 0),
        (NODE, &["--version"], 0),
        (DUMP, &[], 2),
        (DUMP, &["localhost:1"], 2),
        (DUMP, &["why"], 2),
        (DUMP, &["why", "abc", "127.0.0.1:1"], 2),
        (DUMP, &["why", "8dec3de5354d9dbe834946f7c0321b79"], 2),
        (DUMP, &["--jsn", "127.0.0.1:1"], 2),
        (DUMP, &["127.0.0.1:1"], 1),
        (DUMP, &["--help"], 0),
        (DUMP, &["--version"], 0),
    ];
    for (program, args, code) in cases {
        let output = run(program, args);
        assert_eq!(
            output.status.code(),
            Some(*code),
            "{program} {args:?}: {}",
            err(&output)
        );
    }
    let report = err(&run(NODE, &[faulty]));
    assert!(report.contains("node.yaml:1:1"), "{report}");
}

/// Guards against printed settings that a node does not accept.
#[test]
fn print_config_prints_all_defaults() {
    let folder = Folder::new();
    let path = folder.write(&settings_text(host(0)));
    let output = run(
        NODE,
        &[path.to_str().expect("path is text"), "--print-config"],
    );
    assert_eq!(output.status.code(), Some(0), "{}", err(&output));
    let printed = settings::parse("printed", &output.stdout).expect("valid settings");
    assert_eq!(printed, settings_of(host(0)));
}

/// Guards against a node that does not answer the dump command, or does not exit cleanly on a
/// signal.
#[test]
fn node_serves_the_dump_and_stops_at_a_signal() {
    for (last, signal) in [(1, "-TERM"), (2, "-INT")] {
        let folder = Folder::new();
        let settings = settings_of(host(last));
        let path = folder.write(&settings_text(host(last)));
        let admin = settings.admin.to_string();
        let node = Node::start(&path, settings.admin);

        let output = run(DUMP, &[&admin]);
        assert_eq!(output.status.code(), Some(0), "{}", err(&output));
        assert!(out(&output).contains("catalogo-1"), "{}", out(&output));
        let output = run(DUMP, &[&admin, "--json"]);
        let documents: Value = serde_json::from_str(&out(&output)).expect("JSON");
        assert_eq!(documents[0]["answer"]["name"], "catalogo-1");

        node.signal(signal);
        let (code, log) = node.wait();
        assert_eq!(code, Some(0), "{log}");
        let lines: Vec<Value> = log
            .lines()
            .map(|l| serde_json::from_str(l).expect("each log line is JSON"))
            .collect();
        let messages: Vec<_> = lines.iter().filter_map(|l| l["msg"].as_str()).collect();
        for message in ["node starts", "node stops", "node stopped"] {
            assert!(messages.contains(&message), "{messages:?}");
        }
    }
}

/// Guards against a request whose refusal cannot be explained afterwards.
#[test]
fn why_explains_a_refused_request() {
    let folder = Folder::new();
    let settings = settings_of(host(3));
    let node = Node::start(&folder.write(&settings_text(host(3))), settings.admin);
    let head = get(settings.public, "/catalogo");
    let root = head.lines().find_map(|l| l.strip_prefix("cb-root: "));
    let root = root.expect("the answer names the request").trim();
    let admin = settings.admin.to_string();
    let output = run(DUMP, &["why", root, &admin]);
    assert_eq!(output.status.code(), Some(0), "{}", err(&output));
    let shown = out(&output);
    assert!(shown.contains("catalogo-1 (catalogo, sul-a)"), "{shown}");
    assert!(shown.contains("answered 503 not-run"), "{shown}");

    let other = "00000000000000000000000000000000";
    let output = run(DUMP, &["why", other, &admin]);
    assert_eq!(output.status.code(), Some(1));
    assert!(
        err(&output).contains("could not find request"),
        "{}",
        err(&output)
    );
    node.signal("-TERM");
    assert_eq!(node.wait().0, Some(0));
}

fn get(at: SocketAddr, path: &str) -> String {
    use std::io::Write;
    let mut stream = TcpStream::connect(at).expect("the node listens");
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
    )
    .expect("sent");
    let mut answer = String::new();
    stream
        .read_to_string(&mut answer)
        .expect("the answer is text");
    answer
}

/// Guards against a node that keeps running although it cannot listen for calls.
#[test]
fn address_in_use_is_reported() {
    let folder = Folder::new();
    let settings = settings_of(host(4));
    let listener = std::net::TcpListener::bind(settings.public).expect("address is free");
    let path = folder.write(&settings_text(host(4)));
    let output = run(NODE, &[path.to_str().expect("path is text")]);
    drop(listener);
    assert_eq!(output.status.code(), Some(1));
    let report = err(&output);
    assert!(
        report.contains(&format!("could not listen at {}", settings.public)),
        "{report}"
    );
}

/// Guards against metrics without name, unit or source, and against increments sent twice.
#[test]
fn metrics_are_sent_with_names_and_units() {
    let settings = settings_of(host(5));
    let socket = UdpSocket::bind((host(5), 0)).expect("socket can be bound");
    let limit = Some(Duration::from_millis(500));
    socket.set_read_timeout(limit).expect("timeout can be set");
    let to = socket.local_addr().expect("socket is bound");
    let mut metrics = Metrics::new(&settings, to).expect("socket can be bound");
    let counters = Counters::default();
    counters.add(Counter::PublicCalls, 3);
    counters.set(Counter::GateLimit, 70);

    metrics.send(&counters).expect("sent");
    let tags = "service:catalogo,upstream:catalogo-1,zone:sul-a";
    let lines = received(&socket);
    let calls = format!("comfreybay.calls.public:3|c|#{tags},unit:calls");
    let limit = format!("comfreybay.gate.limit:70|g|#{tags},unit:calls");
    assert!(lines.contains(&calls), "{lines:?}");
    assert!(lines.contains(&limit), "{lines:?}");
    assert!(!lines.iter().any(|l| l.contains("calls.peer")), "{lines:?}");

    counters.add(Counter::PublicCalls, 2);
    metrics.send(&counters).expect("sent");
    let calls = format!("comfreybay.calls.public:2|c|#{tags},unit:calls");
    assert!(received(&socket).contains(&calls));
}

fn received(socket: &UdpSocket) -> Vec<String> {
    let mut lines = vec![];
    let mut packet = [0; 2_048];
    while let Ok(size) = socket.recv(&mut packet) {
        let text = std::str::from_utf8(&packet[..size]).expect("metrics are text");
        lines.extend(text.lines().map(str::to_owned));
    }
    lines
}

/// Guards against log lines that a program cannot parse.
#[test]
fn log_lines_can_be_parsed() {
    let pairs = [
        ("peer", "127.0.0.1:1"),
        ("cause", "two \"words\"\n"),
        ("empty", ""),
    ];
    let time = SystemTime::UNIX_EPOCH + Duration::from_millis(1_234);
    let record = |format| {
        let record = log::Record::builder()
            .args(format_args!("peer is down"))
            .level(log::Level::Warn)
            .target("node")
            .key_values(&pairs)
            .build();
        line(format, time, &record)
    };
    assert_eq!(
        record(LogFormat::Text),
        "time=1970-01-01T00:00:01.234Z level=warn target=node msg=\"peer is down\" \
         peer=127.0.0.1:1 cause=\"two \\\"words\\\"\\n\" empty=\"\""
    );
    let read: Value = serde_json::from_str(&record(LogFormat::Json)).expect("JSON");
    let expected = json!({
        "time": "1970-01-01T00:00:01.234Z", "level": "warn", "target": "node",
        "msg": "peer is down", "peer": "127.0.0.1:1", "cause": "two \"words\"\n", "empty": "",
    });
    assert_eq!(read, expected);
}

/// Guards against a printed dump that omits a node, counter or list, or fails on malformed answers.
#[test]
fn dumps_are_shown_as_tables() {
    let node = |name: &str, calls: u64, level: u64| {
        json!({
            "name": name, "service": "bookings", "zone": "timor-a", "state": "serving",
            "revision": 7, "calls": 2, "gate": {"load": "2/110/0", "level": level},
            "server": {"connections": 4, "down": false},
            "counters": {"calls.public": calls, "gate.limit": 110, "calls.peer": 0},
            "peers": [{"name": "bookings-2", "state": "serving"}, {"name": "certify-1"}],
            "decisions": [
                {"at_ms": 61_002, "change": "ejected", "subject": "certify-1",
                 "cause": "5 failures in a row"},
            ],
        })
    };
    let at = |n: u8| SocketAddr::from(([127, 1, 1, n], 7004));
    let answers = [
        (at(1), Ok(node("bookings-1", 30, u64::from(u32::MAX)))),
        (at(2), Ok(node("bookings-2", 12, 70_000_000))),
        (at(3), Err("no answer within 3000 ms".to_owned())),
        (at(4), Ok(json!({"decisions": 3, "gate": []}))),
        (
            at(6),
            Ok(json!({"decisions": [{"change": "state", "subject": "Leaving"}]})),
        ),
        (at(5), Ok(json!([1, null]))),
    ];
    insta::assert_snapshot!("dump", dumps(&answers));
}

/// Guards against events of a request that are printed in the wrong order.
#[test]
fn events_start_at_the_first_node() {
    let event = |value: Value| serde_json::from_value(value).expect("an event");
    let first = vec![
        event(
            json!({"at_us": 5_000_000, "step": "arrived", "listener": "public",
            "service": "bookings", "class": "booking", "priority": 17}),
        ),
        event(json!({"at_us": 5_000_200, "step": "sent", "upstream": "bookings-2"})),
        event(
            json!({"at_us": 5_003_200, "step": "ended", "upstream": "bookings-2",
            "result": "not-run"}),
        ),
        event(json!({"at_us": 5_003_300, "step": "retry", "delay_ms": 12, "left": 2})),
        event(
            json!({"at_us": 6_015_300, "step": "answered", "outcome": "complete",
            "status": 200}),
        ),
    ];
    let second = vec![
        event(
            json!({"at_us": 99, "step": "arrived", "listener": "peer", "service": "bookings",
            "class": "booking", "priority": 17}),
        ),
        event(json!({"at_us": 130, "step": "refused", "cause": "level"})),
    ];
    let dump = |name: &str| Some(json!({"name": name, "service": "bookings", "zone": "timor-a"}));
    let at = |n: u8| SocketAddr::from(([127, 1, 1, n], 7004));
    let known = [
        (at(4), dump("billing-1"), Ok(vec![])),
        (at(3), None, Err("no answer within 3000 ms".to_owned())),
        (at(2), dump("bookings-2"), Ok(second)),
        (at(1), dump("bookings-1"), Ok(first)),
    ];
    insta::assert_snapshot!("why", events(&known));
}
