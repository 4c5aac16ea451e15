//! Values that are out of range or malformed.

use std::{collections::BTreeMap, fmt, ops::RangeInclusive};

use super::{Entry, Fault, Index, fault::Findings};
use crate::state::object::{Class, Deployment, Limit, Object, Service, Upstream};

/// Slots of an upstream, or calls in flight under a limit. A node keeps less than 1 KB of state per
/// call in flight, so that the maximum fits in 64 MB.
const SLOTS: RangeInclusive<u32> = 1..=10_000;
/// Connections to an upstream; a host has 65,536 ports.
const CONNECTIONS: RangeInclusive<u32> = 1..=65_536;
/// From two timer ticks of 5 ms to ten minutes.
const DEADLINE_MS: RangeInclusive<u64> = 10..=600_000;
/// Up to two retries for each hop of the longest chain, and two more.
const RETRIES: RangeInclusive<u32> = 0..=16;
const CONTACT_MAX_BYTES: usize = 256;
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];
const PATH_MAX_BYTES: usize = 1_024;
/// Prefix of the paths that nodes answer themselves.
const RESERVED_PATH_PREFIX: &str = "/.comfreybay";
/// Prefix of the headers that nodes use.
const RESERVED_HEADER_PREFIX: &str = "cb-";

pub(super) fn check(index: &Index<'_>, findings: &mut Findings) {
    for entry in &index.set.entries {
        match &entry.object {
            Object::Owner(o) => contact(entry, &o.contact, findings),
            Object::Deployment(o) => deployment(entry, o, findings),
            Object::Service(o) => service(entry, o, findings),
            Object::Upstream(o) => upstream(entry, o, findings),
            Object::Class(o) => class(entry, o, findings),
            Object::Limit(o) => limit(entry, o, findings),
            Object::Chain(o) => {
                method(entry, &o.method, findings);
                path(entry, &o.path, findings);
            }
        }
    }
}

fn check_range<T: PartialOrd + fmt::Display>(
    entry: &Entry,
    key: &str,
    value: T,
    range: RangeInclusive<T>,
    findings: &mut Findings,
) {
    if range.contains(&value) {
        return;
    }
    let (low, high) = (range.start(), range.end());
    let message = format!("{key} is {value}, out of range");
    let label = format!("expected {low} to {high}");
    findings.push(Fault::new("out-of-range", entry.site(key), message, label));
}

fn push_invalid(entry: &Entry, key: &str, message: String, label: &str, findings: &mut Findings) {
    findings.push(Fault::new("invalid-value", entry.site(key), message, label));
}

fn contact(entry: &Entry, contact: &str, findings: &mut Findings) {
    if contact.trim().is_empty() || contact.len() > CONTACT_MAX_BYTES {
        let label = format!("expected 1 to {CONTACT_MAX_BYTES} bytes");
        push_invalid(
            entry,
            "contact",
            "contact has no usable text".to_owned(),
            &label,
            findings,
        );
    }
}

fn deployment(entry: &Entry, deployment: &Deployment, findings: &mut Findings) {
    if deployment.zones.is_empty() {
        let message = format!("deployment {} has no availability zone", deployment.name);
        push_invalid(entry, "zones", message, "expected at least one", findings);
    }
    let mut first = BTreeMap::new();
    for (n, zone) in deployment.zones.iter().enumerate() {
        let Some(earlier) = first.insert(&zone.name, n) else {
            continue;
        };
        first.insert(&zone.name, earlier);
        let message = format!("availability zone {} is listed twice", zone.name);
        let site = entry.site(&format!("zones/{n}/name"));
        let fault = Fault::new("duplicate-zone", site, message, "second time");
        findings.push(fault.related(entry.site(&format!("zones/{earlier}/name")), "first time"));
    }
}

fn service(entry: &Entry, service: &Service, findings: &mut Findings) {
    let header = &service.shed_header;
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    if header.is_empty()
        || !header.bytes().all(allowed)
        || header.starts_with(RESERVED_HEADER_PREFIX)
    {
        let message = format!("shed_header {header:?} is not a usable header name");
        let label = "expected a-z, 0-9 and '-', not beginning with cb-";
        push_invalid(entry, "shed_header", message, label, findings);
    }
}

fn upstream(entry: &Entry, upstream: &Upstream, findings: &mut Findings) {
    check_range(entry, "slots", upstream.slots, SLOTS, findings);
    check_range(
        entry,
        "connections",
        upstream.connections,
        CONNECTIONS,
        findings,
    );
    let addresses = [
        ("public", upstream.public),
        ("peer", upstream.peer),
        ("control", upstream.control),
    ];
    for (key, address) in addresses {
        let ip = address.ip();
        if address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
            let message = format!("{key} address {address} cannot be connected to");
            push_invalid(
                entry,
                key,
                message,
                "expected the address of one host and port",
                findings,
            );
        }
    }
    // Peers identify a node by the IP address that it connects from, so that both of its listeners
    // have to be on that address.
    if upstream.peer.ip() != upstream.control.ip() {
        let message = format!(
            "upstream {} has peer and control on two hosts",
            upstream.name
        );
        let label = format!("expected {}", upstream.peer.ip());
        push_invalid(entry, "control", message, &label, findings);
    }
}

fn class(entry: &Entry, class: &Class, findings: &mut Findings) {
    check_range(
        entry,
        "deadline_ms",
        class.deadline_ms,
        DEADLINE_MS,
        findings,
    );
    check_range(entry, "retries", class.retries, RETRIES, findings);
}

fn limit(entry: &Entry, limit: &Limit, findings: &mut Findings) {
    check_range(entry, "in_flight", limit.in_flight, SLOTS, findings);
}

fn method(entry: &Entry, method: &str, findings: &mut Findings) {
    if METHODS.contains(&method) {
        return;
    }
    let label = format!("expected one of {}", METHODS.join(", "));
    push_invalid(
        entry,
        "method",
        format!("method {method:?} is not known"),
        &label,
        findings,
    );
}

fn path(entry: &Entry, path: &str, findings: &mut Findings) {
    let allowed = |b: u8| b.is_ascii_graphic() && !matches!(b, b'?' | b'#');
    if !path.starts_with('/') || path.len() > PATH_MAX_BYTES || !path.bytes().all(allowed) {
        let message = format!("path {path:?} is not a path prefix");
        let label = "expected '/' and then visible ASCII without '?' and '#'";
        push_invalid(entry, "path", message, label, findings);
    }
    if path.starts_with(RESERVED_PATH_PREFIX) {
        let message = format!("path {path} is answered by the nodes themselves");
        push_invalid(entry, "path", message, "reserved", findings);
    }
}
