//! Settings of a node from a YAML file.

use std::{collections::BTreeMap, fs, net::SocketAddr, path::Path};

use super::{
    Error, Result,
    report::{self, Source},
    yaml::{self, Fields, Node, Read, Reading, Value},
};
use crate::{
    coordination::check::{Fault, Spans},
    state::settings::{Log, LogFormat, Settings},
};

/// Words for the lowest level that is written to the log.
const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];
/// A node asks up to 5 nodes at its start; more addresses only spread over more zones.
const SEEDS_MAX: usize = 64;

/// Reads and checks the settings in a file.
///
/// # Errors
/// The file cannot be read, or has faults; all of them are in the one error.
pub fn read(path: &Path) -> Result<Settings> {
    let bytes = fs::read(path).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })?;
    parse(&path.display().to_string(), &bytes)
}

/// Reads and checks settings; `name` is that of the file, for the report.
///
/// ```
/// let error = comfreybay::commands::settings::parse("node.yaml", b"nam: a").unwrap_err();
/// assert!(error.to_string().contains("node.yaml"));
/// ```
///
/// # Errors
/// The settings have faults; all of them are in the one error.
pub fn parse(name: &str, bytes: &[u8]) -> Result<Settings> {
    let mut faults = vec![];
    if let Some(settings) = settings(bytes, &mut faults).filter(|_| faults.is_empty()) {
        return Ok(settings);
    }
    let source = Source::new(name, bytes);
    let title = format!("could not accept settings {name}");
    Err(Error::Settings(report::together(&title, &source, &faults)))
}

/// The settings as YAML, with all defaults filled in.
///
/// ```
/// use comfreybay::commands::settings;
/// let text = include_str!("../../examples/settings/tenggara-bookings-1.yaml");
/// let read = settings::parse("a", text.as_bytes()).unwrap();
/// assert_eq!(settings::parse("b", settings::print(&read).as_bytes()).unwrap(), read);
/// ```
pub fn print(settings: &Settings) -> String {
    serde_saphyr::to_string(settings).expect("settings have string keys and plain values")
}

fn settings(bytes: &[u8], faults: &mut Vec<Fault>) -> Option<Settings> {
    let documents = match yaml::parse(0, bytes) {
        Ok(documents) => documents,
        Err(fault) => {
            faults.push(*fault);
            return None;
        }
    };
    let text = std::str::from_utf8(bytes).unwrap_or_default();
    let mut reading = Reading::new(0, text, faults);
    let [document] = documents.as_slice() else {
        let site = documents
            .get(1)
            .map_or(0..0, |d| reading.site(d.referenced).range);
        reading.fault(
            "documents",
            site,
            "expected one YAML document",
            "expected one",
        );
        return None;
    };
    let settings = keys(&mut reading, document)?;
    let spans = std::mem::take(&mut reading.spans);
    check(&settings, &spans, &mut reading);
    Some(settings)
}

/// Reads all keys before it gives up, so that every fault is reported.
fn keys(reading: &mut Reading<'_>, document: &Value) -> Option<Settings> {
    let mut f = Fields::new(reading, document, "")?;
    let (name, service) = (f.required("name"), f.required("service"));
    let (zone, region) = (f.required("zone"), f.required("region"));
    let (public, peer, control) = (
        f.required("public"),
        f.required("peer"),
        f.required("control"),
    );
    let (egress, admin, server) = (
        f.required("egress"),
        f.required("admin"),
        f.required("server"),
    );
    let (configuration, instances) = (f.required("configuration"), f.required("instances"));
    let seeds = f.optional("seeds");
    let (log, metrics) = (f.optional("log"), f.optional("metrics"));
    f.finish();
    Some(Settings {
        name: name?,
        service: service?,
        zone: zone?,
        region: region?,
        public: public?,
        peer: peer?,
        control: control?,
        egress: egress?,
        admin: admin?,
        server: server?,
        configuration: configuration?,
        instances: instances?,
        seeds: seeds?.unwrap_or_default(),
        seed: None,
        log: log?.unwrap_or_default(),
        metrics: metrics?,
    })
}

impl Read for Log {
    fn read(reading: &mut Reading<'_>, value: &Value, path: &str) -> Option<Self> {
        let default = Self::default();
        let mut f = Fields::new(reading, value, path)?;
        let level = match f.value("level").filter(|v| v.value != Node::Null) {
            Some(value) => {
                let choices = LOG_LEVELS.map(|w| (w, w));
                f.reading().choice(value, &choices).map(str::to_owned)
            }
            None => Some(default.level),
        };
        let format = f.or("format", default.format);
        f.finish();
        Some(Self {
            level: level?,
            format: format?,
        })
    }
}

impl Read for LogFormat {
    fn read(reading: &mut Reading<'_>, value: &Value, _: &str) -> Option<Self> {
        reading.choice(value, &[("text", Self::Text), ("json", Self::Json)])
    }
}

fn check(settings: &Settings, spans: &Spans, reading: &mut Reading<'_>) {
    ports(settings, spans, reading);
    hosts(settings, spans, reading);
    listeners(settings, spans, reading);
    seeds(settings, spans, reading);
}

fn ports(settings: &Settings, spans: &Spans, reading: &mut Reading<'_>) {
    for (key, address) in addresses(settings) {
        if address.port() == 0 {
            let message = format!("{key} address {address} has no port");
            reading.fault(
                "invalid-value",
                spans.get(key),
                message,
                "expected a port above 0",
            );
        }
    }
}

/// Addresses that this node connects to, or connects from, have to be those of one host.
fn hosts(settings: &Settings, spans: &Spans, reading: &mut Reading<'_>) {
    for (key, address) in addresses(settings) {
        let bound = matches!(key, "public" | "egress" | "admin");
        let ip = address.ip();
        if ip.is_multicast() || (ip.is_unspecified() && !bound) {
            let message = format!("{key} address {address} is not that of one host");
            reading.fault(
                "invalid-value",
                spans.get(key),
                message,
                "expected one host",
            );
        }
    }
    if settings.control.ip() != settings.peer.ip() {
        let message = "peer and control are on two hosts";
        let label = format!("expected {}", settings.peer.ip());
        reading.fault("invalid-value", spans.get("control"), message, label);
    }
}

/// A node cannot listen twice at one address, nor where its backend server listens.
fn listeners(settings: &Settings, spans: &Spans, reading: &mut Reading<'_>) {
    let mut used = BTreeMap::new();
    for (key, address) in &addresses(settings)[..6] {
        if let Some(before) = used.insert(*address, *key) {
            let message = format!("{before} and {key} have the same address {address}");
            let label = format!("the address of {before}");
            reading.fault("duplicate-address", spans.get(key), message, label);
            used.insert(*address, before);
        }
    }
}

fn seeds(settings: &Settings, spans: &Spans, reading: &mut Reading<'_>) {
    let seeds = &settings.seeds;
    if seeds.len() > SEEDS_MAX {
        let message = format!("{} seed addresses", seeds.len());
        let label = format!("expected at most {SEEDS_MAX}");
        reading.fault("out-of-range", spans.get("seeds"), message, label);
    }
    for (n, seed) in seeds.iter().enumerate() {
        let ip = seed.ip();
        let label = match seed {
            s if *s == settings.control => "this node itself",
            s if seeds[..n].contains(s) => "second time",
            s if s.port() == 0 || ip.is_unspecified() || ip.is_multicast() => {
                "expected the address of one host and port"
            }
            _ => continue,
        };
        let message = format!("seed address {seed} is of no use");
        reading.fault(
            "invalid-value",
            spans.get(&format!("seeds/{n}")),
            message,
            label,
        );
    }
}

/// All single addresses by key; the first six are listened at on this host.
fn addresses(settings: &Settings) -> Vec<(&'static str, SocketAddr)> {
    let mut all = vec![
        ("public", settings.public),
        ("peer", settings.peer),
        ("control", settings.control),
        ("egress", settings.egress),
        ("admin", settings.admin),
        ("server", settings.server),
        ("configuration", settings.configuration),
        ("instances", settings.instances),
    ];
    all.extend(settings.metrics.map(|m| ("metrics", m)));
    all
}
