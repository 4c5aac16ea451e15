//! Values out of their range.

use std::{collections::BTreeMap, fmt, ops::RangeInclusive};

use super::{Entry, Fault, Index, fault::Findings};
use crate::state::object::{Class, Deployment, Limit, Object, Service, Upstream};

/// A node keeps a state of under 1 KB per call in flight, so this stays within 64 MB.
const SLOTS: RangeInclusive<u32> = 1..=10_000;
/// A host has 65,536 ports.
const CONNECTIONS: RangeInclusive<u32> = 1..=65_536;
/// Two timer ticks of 5 ms, up to ten minutes.
const DEADLINE_MS: RangeInclusive<u64> = 10..=600_000;
/// Two extra attempts for each hop of the longest chain, and two more.
const RETRIES: RangeInclusive<u32> = 0..=16;
const CONTACT_MAX_BYTES: usize = 256;
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];
const PATH_MAX_BYTES: usize = 1_024;
/// Paths that the nodes answer themselves.
const RESERVED_PATH: &str = "/.comfreybay";
const RESERVED_HEADER: &str = "cb-";

pub(super) fn check(index: &Index<'_>, found: &mut Findings) {
    for entry in &index.set.entries {
        match &entry.object {
            Object::Owner(o) => contact(entry, &o.contact, found),
            Object::Deployment(o) => deployment(entry, o, found),
            Object::Service(o) => service(entry, o, found),
            Object::Upstream(o) => upstream(entry, o, found),
            Object::Class(o) => class(entry, o, found),
            Object::Limit(o) => limit(entry, o, found),
            Object::Chain(o) => {
                method(entry, &o.method, found);
                path(entry, &o.path, found);
            }
        }
    }
}

fn within<T: PartialOrd + fmt::Display>(
    entry: &Entry,
    key: &str,
    value: T,
    range: RangeInclusive<T>,
    found: &mut Findings,
) {
    if range.contains(&value) {
        return;
    }
    let (low, high) = (range.start(), range.end());
    let message = format!("{key} is {value}, out of range");
    let label = format!("expected {low} to {high}");
    found.push(Fault::new("out-of-range", entry.site(key), message, label));
}

fn invalid(entry: &Entry, key: &str, message: String, label: &str, found: &mut Findings) {
    found.push(Fault::new("invalid-value", entry.site(key), message, label));
}

fn contact(entry: &Entry, contact: &str, found: &mut Findings) {
    if contact.trim().is_empty() || contact.len() > CONTACT_MAX_BYTES {
        let label = format!("expected 1 to {CONTACT_MAX_BYTES} bytes");
        invalid(
            entry,
            "contact",
            "contact has no usable text".to_owned(),
            &label,
            found,
        );
    }
}

fn deployment(entry: &Entry, deployment: &Deployment, found: &mut Findings) {
    if deployment.zones.is_empty() {
        let message = format!("deployment {} has no availability zone", deployment.name);
        invalid(entry, "zones", message, "expected at least one", found);
    }
    let mut first = BTreeMap::new();
    for (n, zone) in deployment.zones.iter().enumerate() {
        let Some(before) = first.insert(&zone.name, n) else {
            continue;
        };
        first.insert(&zone.name, before);
        let message = format!("availability zone {} is listed twice", zone.name);
        let site = entry.site(&format!("zones/{n}/name"));
        let fault = Fault::new("duplicate-zone", site, message, "second time");
        found.push(fault.related(entry.site(&format!("zones/{before}/name")), "first time"));
    }
}

fn service(entry: &Entry, service: &Service, found: &mut Findings) {
    let header = &service.shed_header;
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    if header.is_empty() || !header.bytes().all(allowed) || header.starts_with(RESERVED_HEADER) {
        let message = format!("shed_header {header:?} is not a usable header name");
        let label = "expected a-z, 0-9 and '-', not beginning with cb-";
        invalid(entry, "shed_header", message, label, found);
    }
}

fn upstream(entry: &Entry, upstream: &Upstream, found: &mut Findings) {
    within(entry, "slots", upstream.slots, SLOTS, found);
    within(
        entry,
        "connections",
        upstream.connections,
        CONNECTIONS,
        found,
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
            invalid(
                entry,
                key,
                message,
                "expected the address of one host and port",
                found,
            );
        }
    }
    // A node dials from one address, and its peers know it by that address.
    if upstream.peer.ip() != upstream.control.ip() {
        let message = format!(
            "upstream {} has peer and control on two hosts",
            upstream.name
        );
        let label = format!("expected {}", upstream.peer.ip());
        invalid(entry, "control", message, &label, found);
    }
}

fn class(entry: &Entry, class: &Class, found: &mut Findings) {
    within(entry, "deadline_ms", class.deadline_ms, DEADLINE_MS, found);
    within(entry, "retries", class.retries, RETRIES, found);
}

fn limit(entry: &Entry, limit: &Limit, found: &mut Findings) {
    within(entry, "in_flight", limit.in_flight, SLOTS, found);
}

fn method(entry: &Entry, method: &str, found: &mut Findings) {
    if METHODS.contains(&method) {
        return;
    }
    let label = format!("expected one of {}", METHODS.join(", "));
    invalid(
        entry,
        "method",
        format!("method {method:?} is not known"),
        &label,
        found,
    );
}

fn path(entry: &Entry, path: &str, found: &mut Findings) {
    let allowed = |b: u8| b.is_ascii_graphic() && !matches!(b, b'?' | b'#');
    if !path.starts_with('/') || path.len() > PATH_MAX_BYTES || !path.bytes().all(allowed) {
        let message = format!("path {path:?} is not a path prefix");
        let label = "expected '/' and then visible ASCII without '?' and '#'";
        invalid(entry, "path", message, label, found);
    }
    if path.starts_with(RESERVED_PATH) {
        let message = format!("path {path} is answered by the nodes themselves");
        invalid(entry, "path", message, "reserved", found);
    }
}
