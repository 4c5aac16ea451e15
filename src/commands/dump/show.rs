//! Formats the documents of nodes as tables.

use std::{fmt::Write, net::SocketAddr};

use serde_json::{Map, Value};

use super::{Answer, table::Table};
use crate::state::{
    counters::{Counter, MetricKind},
    journal::{DecisionKind, Event, Step},
    priority::Level,
};

/// Latest decisions shown of each node; the JSON output has all 100.
const SHOWN_DECISIONS: usize = 10;
/// Lists that are formatted by a function of their own.
const SPECIAL_LISTS: [&str; 1] = ["decisions"];

/// Formats the dumps of several nodes as tables: nodes, counters, other lists, decisions.
pub fn dumps(answers: &[Answer]) -> String {
    let known: Vec<_> = answers
        .iter()
        .filter_map(|(_, answer)| answer.as_ref().ok())
        .collect();
    let mut out = String::new();
    nodes(answers).write(&mut out);
    for (address, answer) in answers {
        if let Err(error) = answer {
            // Writing to a string does not fail.
            let _ = writeln!(out, "  {address}  unreachable: {error}");
        }
    }
    counters(&known).write(&mut out);
    for node in &known {
        write_lists(node, &mut out);
    }
    for node in &known {
        decisions(node).write(&mut out);
    }
    out
}

/// Formats a value as a cell, with text unquoted.
fn cell(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => "-".to_owned(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}

fn level(value: Option<&Value>) -> String {
    match value.and_then(Value::as_u64) {
        Some(level) if level == u64::from(Level::OPEN.0) => "open".to_owned(),
        // The upper 8 bits of a priority are the importance of the class.
        Some(level) => format!("{level} (importance {})", level >> 24),
        None => "-".to_owned(),
    }
}

/// The state of a node: from its latest decision on its state when the dump has no `state`.
fn state(dump: &Value) -> String {
    let decisions = dump.get("decisions").and_then(Value::as_array);
    let mut latest = decisions.into_iter().flatten().rev();
    let last = latest.find(|d| {
        d.get("change")
            .is_some_and(|c| c == DecisionKind::State.as_str())
    });
    let state = dump.get("state").or_else(|| last?.get("subject"));
    cell(state).to_lowercase()
}

fn nodes(answers: &[Answer]) -> Table {
    let heads = [
        "address", "upstream", "service", "zone", "state", "revision", "load", "level", "server",
        "calls",
    ];
    let mut table = Table::new("nodes (load: in flight/limit/queued)", heads);
    for (address, answer) in answers {
        let Ok(dump) = answer else { continue };
        let server = match dump.pointer("/server/down") {
            Some(Value::Bool(true)) => "down".to_owned(),
            Some(Value::Bool(false)) => {
                format!("{} connections", cell(dump.pointer("/server/connections")))
            }
            _ => "-".to_owned(),
        };
        table.row(vec![
            address.to_string(),
            cell(dump.get("name")),
            cell(dump.get("service")),
            cell(dump.get("zone")),
            state(dump),
            cell(dump.get("revision")),
            cell(dump.pointer("/gate/load")),
            level(dump.pointer("/gate/level")),
            server,
            cell(dump.get("calls")),
        ]);
    }
    table
}

/// Counters and gauges that are above zero at any node: the sum over the nodes for totals, and the
/// lowest and highest value.
fn counters(dumps: &[&Value]) -> Table {
    let heads = ["counter", "unit", "sum", "least", "most", "most at"];
    let mut table = Table::new("counters and gauges (zero ones left out)", heads);
    for counter in Counter::ALL {
        let value = |dump: &&&Value| {
            let value = dump.get("counters")?.get(counter.name())?.as_u64()?;
            Some((value, cell(dump.get("name"))))
        };
        let values: Vec<_> = dumps.iter().filter_map(|d| value(&d)).collect();
        // On a tie, the first node with the highest value.
        let most = values.iter().rev().max_by_key(|(v, _)| *v);
        let Some((most, at)) = most.filter(|(v, _)| *v > 0) else {
            continue;
        };
        let least = values.iter().map(|(v, _)| *v).min().unwrap_or(0);
        let sum: u128 = values.iter().map(|(v, _)| u128::from(*v)).sum();
        let sum = match counter.kind() {
            MetricKind::Total => sum.to_string(),
            MetricKind::Gauge => "-".to_owned(),
        };
        table.row(vec![
            counter.to_string(),
            counter.unit().to_owned(),
            sum,
            least.to_string(),
            most.to_string(),
            at.clone(),
        ]);
    }
    table
}

/// Appends a table for each other list of objects, such as peers, with one column per key.
fn write_lists(dump: &Value, out: &mut String) {
    let empty = Map::new();
    for (key, value) in dump.as_object().unwrap_or(&empty) {
        let rows = value.as_array().map_or(&[][..], Vec::as_slice);
        let Some(first) = rows.first().and_then(Value::as_object) else {
            continue;
        };
        if SPECIAL_LISTS.contains(&key.as_str()) {
            continue;
        }
        let heads: Vec<_> = first.keys().map(String::as_str).collect();
        let title = format!("{key} of {}", cell(dump.get("name")));
        let mut table = Table::new(&title, heads.iter().copied());
        for row in rows {
            table.row(heads.iter().map(|h| cell(row.get(*h))).collect());
        }
        table.write(out);
    }
}

fn decisions(dump: &Value) -> Table {
    let name = cell(dump.get("name"));
    let all = dump.get("decisions").and_then(Value::as_array);
    let all = all.map_or(&[][..], Vec::as_slice);
    let shown = &all[all.len().saturating_sub(SHOWN_DECISIONS)..];
    let title = format!(
        "last {} of {} decisions of {name} (time since its start)",
        shown.len(),
        all.len()
    );
    let mut table = Table::new(&title, ["at", "change", "subject", "cause"]);
    for decision in shown {
        let at_ms = decision.get("at_ms").and_then(Value::as_u64).unwrap_or(0);
        table.row(vec![
            format!("{}.{:03} s", at_ms / 1_000, at_ms % 1_000),
            cell(decision.get("change")),
            cell(decision.get("subject")),
            cell(decision.get("cause")),
        ]);
    }
    table
}

/// A request at one node: the address and dump of the node, and the events of the request or the
/// reason why there is no answer.
///
/// The events are empty if the node has no record of the request.
pub type Trace = (SocketAddr, Option<Value>, Result<Vec<Event>, String>);

/// Formats the events of a request at each node, in order of the nodes' positions on the chain.
pub fn events(traces: &[Trace]) -> String {
    let mut order: Vec<_> = traces.iter().collect();
    order.sort_by_key(|(.., events)| events.as_ref().map_or(3, |e| chain_position(e)));
    let mut out = String::new();
    let mut unknown = vec![];
    for (address, dump, events) in order {
        let field = |key| cell(dump.as_ref().and_then(|d| d.get(key)));
        let node = format!(
            "{} ({}, {}) at {address}",
            field("name"),
            field("service"),
            field("zone")
        );
        // Writing to a string does not fail.
        let events = match events {
            Ok(events) => events,
            Err(error) => {
                let _ = writeln!(out, "{node}: {error}");
                continue;
            }
        };
        if events.is_empty() {
            unknown.push(field("name"));
            continue;
        }
        let _ = writeln!(out, "{node}:");
        let start = events.first().map_or(0, |e| e.at_us);
        for event in events {
            let since = event.at_us.saturating_sub(start);
            let _ = writeln!(
                out,
                "  +{:>4}.{:03} ms  {}",
                since / 1_000,
                since % 1_000,
                event.step
            );
        }
    }
    if !unknown.is_empty() {
        let _ = writeln!(out, "not known at {}", unknown.join(", "));
    }
    out
}

/// Position of a node on the chain: 0 if the request arrived at its public listener, 1 if its
/// backend server sent a call for the request, 2 otherwise.
fn chain_position(events: &[Event]) -> u8 {
    let arrived_at = |wanted: &str| {
        let arrived =
            |e: &Event| matches!(&e.step, Step::Arrived { listener, .. } if listener == wanted);
        events.iter().any(arrived)
    };
    match (arrived_at("public"), arrived_at("egress")) {
        (true, _) => 0,
        (false, true) => 1,
        (false, false) => 2,
    }
}
