//! Stand-ins and cases of the review: `harness CASE NODE RECORD` plays a case with real node
//! processes on loopback. It exits with 1 if the rule was broken, 0 if it held and 2 if the case
//! could not run. With TROUBLE=0 in the environment, the disruption is left out.

mod fleet;
mod http;
mod leaving;
mod long_head;
mod record;
mod server;
mod silent;
mod store;

use std::{path::Path, process::ExitCode, thread, time::Duration};

use record::Record;

/// Largest duration of a case.
const TIME_LIMIT: Duration = Duration::from_secs(115);

/// The machines of the site, as service and zone.
const LAYOUT: [(&str, &str); 17] = [
    ("catalogo", "sul-a"),
    ("catalogo", "sul-a"),
    ("catalogo", "sul-b"),
    ("catalogo", "sul-c"),
    ("catalogo", "sul-d"),
    ("encomendas", "sul-a"),
    ("encomendas", "sul-b"),
    ("encomendas", "sul-c"),
    ("encomendas", "sul-d"),
    ("oficina", "sul-a"),
    ("oficina", "sul-b"),
    ("oficina", "sul-c"),
    ("oficina", "sul-d"),
    ("madeira", "sul-a"),
    ("madeira", "sul-b"),
    ("madeira", "sul-c"),
    ("madeira", "sul-d"),
];

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().collect();
    let [_, case, node, path] = args.as_slice() else {
        eprintln!("usage: harness CASE NODE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(Path::new(path)) else {
        eprintln!("could not write {path}");
        return ExitCode::from(2);
    };
    record.line(&format!("case {case}, with disruption: {trouble}"));
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case takes too long");
        fleet::kill_nodes();
        std::process::exit(2);
    });
    let node = Path::new(node);
    let result = match case.as_str() {
        "leaving" => leaving::run(node, &record, trouble),
        "silent" => silent::run(node, &record, trouble),
        "long-head" => long_head::run(node, &record, trouble),
        _ => Err(format!("no case {case}")),
    };
    let (code, text) = match result {
        Ok(0) => (0, "the rule held".to_owned()),
        Ok(n) => (1, format!("the rule was broken {n} times")),
        Err(error) => (2, format!("the case could not run: {error}")),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
