//! Reads the settings of a node from a YAML file and checks them.

use std::{collections::BTreeMap, fs, net::SocketAddr, path::Path};

use super::{
    Error, Result,
    report::{self, Source},
    yaml::{self, Fields, FromYaml, Node, ReadContext, Value},
};
use crate::{
    coordination::check::{Fault, Spans},
    state::settings::{Log, LogFormat, Settings},
};

/// Values of `log.level`: the least severe level that is logged.
const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];
/// A node contacts at most 5 seeds at its start; more addresses only cover more zones.
const SEEDS_MAX: usize = 64;

/// Reads and checks the settings in a file.
///
/// # Errors
/// The file cannot be read, or has faults; one error holds all faults.
pub fn read(path: &Path) -> Result<Settings> {
    let bytes = fs::read(path).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })?;
    parse(&path.display().to_string(), &bytes)
}

/// Parses and checks settings; `name` is the file name shown in error messages.
///
/// ```
/// let error = comfreybay::commands::settings::parse("node.yaml", b"nam: a").unwrap_err();
/// assert!(error.to_string().contains("node.yaml"));
/// ```
///
/// # Errors
/// The settings have faults; one error holds all of them.
pub fn parse(name: &str, bytes: &[u8]) -> Result<Settings> {
    let mut faults = vec![];
    if let Some(settings) = read_document(bytes, &mut faults).filter(|_| faults.is_empty()) {
        return Ok(settings);
    }
    let source = Source::new(name, bytes);
    let title = format!("could not accept settings {name}");
    Err(Error::Settings(report::fault_report(
        &title, &source, &faults,
    )))
}

/// Formats settings as YAML, with all defaults filled in.
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

fn read_document(bytes: &[u8], faults: &mut Vec<Fault>) -> Option<Settings> {
    let documents = match yaml::parse(0, bytes) {
        Ok(documents) => documents,
        Err(fault) => {
            faults.push(*fault);
            return None;
        }
    };
    let text = std::str::from_utf8(bytes).unwrap_or_default();
    let mut context = ReadContext::new(0, text, faults);
    let [document] = documents.as_slice() else {
        let site = documents
            .get(1)
            .map_or(0..0, |d| context.site(d.referenced).range);
        context.fault(
            "documents",
            site,
            "expected one YAML document",
            "expected one",
        );
        return None;
    };
    let settings = read_keys(&mut context, document)?;
    let spans = std::mem::take(&mut context.spans);
    check(&settings, &spans, &mut context);
    Some(settings)
}

/// Reads all keys before returning, even after a fault, so that all faults are reported.
fn read_keys(context: &mut ReadContext<'_>, document: &Value) -> Option<Settings> {
    let mut f = Fields::new(context, document, "")?;
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

impl FromYaml for Log {
    fn from_yaml(context: &mut ReadContext<'_>, value: &Value, path: &str) -> Option<Self> {
        let default = Self::default();
        let mut f = Fields::new(context, value, path)?;
        let level = match f.value("level").filter(|v| v.value != Node::Null) {
            Some(value) => {
                let choices = LOG_LEVELS.map(|w| (w, w));
                f.context().choice(value, &choices).map(str::to_owned)
            }
            None => Some(default.level),
        };
        let format = f.with_default("format", default.format);
        f.finish();
        Some(Self {
            level: level?,
            format: format?,
        })
    }
}

impl FromYaml for LogFormat {
    fn from_yaml(context: &mut ReadContext<'_>, value: &Value, _: &str) -> Option<Self> {
        context.choice(value, &[("text", Self::Text), ("json", Self::Json)])
    }
}

fn check(settings: &Settings, spans: &Spans, context: &mut ReadContext<'_>) {
    check_ports(settings, spans, context);
    check_hosts(settings, spans, context);
    check_listeners(settings, spans, context);
    check_seeds(settings, spans, context);
}

fn check_ports(settings: &Settings, spans: &Spans, context: &mut ReadContext<'_>) {
    for (key, address) in addresses(settings) {
        if address.port() == 0 {
            let message = format!("{key} address {address} has no port");
            context.fault(
                "invalid-value",
                spans.get(key),
                message,
                "expected a port above 0",
            );
        }
    }
}

/// Checks that each address this node connects to or from denotes one host, and that peer and
/// control are on the same host. The other addresses may be unspecified, such as 0.0.0.0.
fn check_hosts(settings: &Settings, spans: &Spans, context: &mut ReadContext<'_>) {
    for (key, address) in addresses(settings) {
        let may_be_unspecified = matches!(key, "public" | "egress" | "admin");
        let ip = address.ip();
        if ip.is_multicast() || (ip.is_unspecified() && !may_be_unspecified) {
            let message = format!("{key} address {address} is not that of one host");
            context.fault(
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
        context.fault("invalid-value", spans.get("control"), message, label);
    }
}

/// Checks that the node's listeners and its backend server have different addresses.
fn check_listeners(settings: &Settings, spans: &Spans, context: &mut ReadContext<'_>) {
    let mut used = BTreeMap::new();
    for (key, address) in &addresses(settings)[..6] {
        if let Some(first) = used.insert(*address, *key) {
            let message = format!("{first} and {key} have the same address {address}");
            let label = format!("the address of {first}");
            context.fault("duplicate-address", spans.get(key), message, label);
            used.insert(*address, first);
        }
    }
}

fn check_seeds(settings: &Settings, spans: &Spans, context: &mut ReadContext<'_>) {
    let seeds = &settings.seeds;
    if seeds.len() > SEEDS_MAX {
        let message = format!("{} seed addresses", seeds.len());
        let label = format!("expected at most {SEEDS_MAX}");
        context.fault("out-of-range", spans.get("seeds"), message, label);
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
        context.fault(
            "invalid-value",
            spans.get(&format!("seeds/{n}")),
            message,
            label,
        );
    }
}

/// All addresses with their keys, except seeds. The first six are listeners on this host: five of
/// the node and that of its backend server.
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
