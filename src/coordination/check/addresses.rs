//! Addresses that are used twice, and hosts that two upstreams share.

use std::collections::BTreeMap;

use super::{Fault, Index, fault::Findings};

pub(super) fn check(index: &Index<'_>, findings: &mut Findings) {
    let mut used = BTreeMap::new();
    let mut hosts = BTreeMap::new();
    for (entry, upstream) in index.upstreams.values().flatten() {
        let addresses = [
            ("public", upstream.public),
            ("peer", upstream.peer),
            ("control", upstream.control),
        ];
        for (key, address) in addresses {
            let Some((first_entry, first, first_key)) =
                used.insert(address, (entry, upstream, key))
            else {
                continue;
            };
            used.insert(address, (first_entry, first, first_key));
            let message = format!(
                "{key} address {address} of upstream {} is also the {first_key} address of {}",
                upstream.name, first.name
            );
            let fault = Fault::new("duplicate-address", entry.site(key), message, "second use");
            findings.push(fault.related(first_entry.site(first_key), "first use"));
        }
        let host = upstream.peer.ip();
        let Some((first_entry, first)) = hosts.insert(host, (entry, upstream)) else {
            continue;
        };
        hosts.insert(host, (first_entry, first));
        if upstream.peer == first.peer {
            continue;
        }
        let message = format!(
            "upstreams {} and {} share host {host}",
            first.name, upstream.name
        );
        let fault = Fault::new(
            "shared-host",
            entry.site("peer"),
            message,
            "second upstream",
        );
        let fault = fault.related(first_entry.site("peer"), "first upstream");
        findings.push(fault.warning().help(
            "nodes know the sender of a call by its IP address and cannot tell these two apart",
        ));
    }
}
