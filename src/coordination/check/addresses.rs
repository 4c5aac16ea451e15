//! Addresses that are used twice.

use std::collections::BTreeMap;

use super::{Fault, Index, fault::Findings};

pub(super) fn check(index: &Index<'_>, found: &mut Findings) {
    let mut used = BTreeMap::new();
    let mut hosts = BTreeMap::new();
    for (entry, upstream) in index.upstreams.values().flatten() {
        let addresses = [
            ("public", upstream.public),
            ("peer", upstream.peer),
            ("control", upstream.control),
        ];
        for (key, address) in addresses {
            let Some((other, by, its)) = used.insert(address, (entry, upstream, key)) else {
                continue;
            };
            used.insert(address, (other, by, its));
            let message = format!(
                "{key} address {address} of upstream {} is also the {its} address of {}",
                upstream.name, by.name
            );
            let fault = Fault::new("duplicate-address", entry.site(key), message, "second use");
            found.push(fault.related(other.site(its), "first use"));
        }
        let host = upstream.peer.ip();
        let Some((other, by)) = hosts.insert(host, (entry, upstream)) else {
            continue;
        };
        hosts.insert(host, (other, by));
        if upstream.peer == by.peer {
            continue;
        }
        let message = format!(
            "upstreams {} and {} share host {host}",
            by.name, upstream.name
        );
        let fault = Fault::new(
            "shared-host",
            entry.site("peer"),
            message,
            "second upstream",
        );
        let fault = fault.related(other.site("peer"), "first upstream");
        found.push(fault.warning().help(
            "nodes know the sender of a call by its IP address and cannot tell these two apart",
        ));
    }
}
