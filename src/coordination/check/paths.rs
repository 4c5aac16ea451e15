//! Path prefixes that overlap.

use std::collections::BTreeMap;

use super::{Fault, Index, fault::Findings};

pub(super) fn check(index: &Index<'_>, findings: &mut Findings) {
    let mut groups: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for chain in &index.chains {
        let key = (&chain.1.entry, chain.1.method.as_str());
        groups.entry(key).or_default().push(chain);
    }
    for group in groups.values_mut() {
        group.sort_by_key(|(_, c)| (&c.path, &c.name));
        for (n, (first, short)) in group.iter().enumerate() {
            // In sorted order, all paths that begin with a prefix follow it directly.
            let longer = group[n + 1..].iter();
            for (entry, long) in longer.take_while(|(_, c)| c.path.starts_with(&short.path)) {
                let (message, label) = match &long.path[short.path.len()..] {
                    "" => (
                        format!(
                            "chains {} and {} have the same entry, method and path",
                            short.name, long.name
                        ),
                        "second time",
                    ),
                    rest if is_nested(&short.path, rest) => continue,
                    _ => (
                        format!(
                            "path {} of chain {} also matches path {} of chain {}",
                            short.path, short.name, long.path, long.name
                        ),
                        "begins with the other path, but not at a '/'",
                    ),
                };
                let fault = Fault::new("path-overlap", entry.site("path"), message, label);
                findings.push(fault.related(first.site("path"), "the other path"));
            }
        }
    }
}

/// Whether a longer path continues with `rest` at a segment boundary of the shorter one.
///
/// Such paths are allowed to overlap, because the longest matching path is the one that applies.
fn is_nested(short: &str, rest: &str) -> bool {
    short.ends_with('/') || rest.starts_with('/')
}
