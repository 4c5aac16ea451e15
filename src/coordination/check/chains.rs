//! Cycles in chains and chains that are too deep.

use std::collections::BTreeMap;

use super::{DEPTH_MAX, Entry, Fault, Index, fault::Findings};
use crate::state::{id::ServiceName, object::Chain};

pub(super) fn check(index: &Index<'_>, found: &mut Findings) {
    for (entry, chain) in &index.chains {
        let walk = Walk::new(chain);
        for cycle in &walk.cycles {
            found.push(cycle_fault(entry, chain, cycle));
        }
        if walk.cycles.is_empty() {
            too_deep(entry, chain, &walk, found);
            unreached(entry, chain, &walk, found);
        }
    }
}

/// The number of services on the longest path of a chain; cycles are not followed.
pub(super) fn depth(chain: &Chain) -> usize {
    Walk::new(chain).depth(&chain.entry)
}

struct Cycle<'a> {
    path: Vec<&'a ServiceName>,
    caller: &'a ServiceName,
    position: usize,
}

/// A depth-first walk over a chain. It keeps its own stack, because the depth of a chain is not
/// bounded before it has been checked.
struct Walk<'a> {
    chain: &'a Chain,
    below: BTreeMap<&'a ServiceName, (usize, Option<&'a ServiceName>)>,
    reached: usize,
    cycles: Vec<Cycle<'a>>,
}

impl<'a> Walk<'a> {
    fn new(chain: &'a Chain) -> Self {
        let mut walk = Self {
            chain,
            below: BTreeMap::new(),
            reached: 0,
            cycles: vec![],
        };
        walk.from(&chain.entry);
        walk.reached = walk.below.len();
        for caller in chain.calls.keys() {
            walk.from(caller);
        }
        walk
    }

    fn called(&self, service: &ServiceName) -> &'a [ServiceName] {
        self.chain.calls.get(service).map_or(&[], Vec::as_slice)
    }

    fn from(&mut self, start: &'a ServiceName) {
        if self.below.contains_key(start) {
            return;
        }
        let mut stack = vec![(start, 0)];
        let mut open = BTreeMap::from([(start, 0)]);
        while let Some((service, next)) = stack.last_mut() {
            let (service, position) = (*service, *next);
            *next += 1;
            let Some(called) = self.called(service).get(position) else {
                self.below.insert(service, self.deepest(service));
                open.remove(service);
                stack.pop();
                continue;
            };
            if let Some(&at) = open.get(called) {
                let mut path: Vec<_> = stack[at..].iter().map(|(s, _)| *s).collect();
                path.push(called);
                self.cycles.push(Cycle {
                    path,
                    caller: service,
                    position,
                });
            } else if !self.below.contains_key(called) {
                open.insert(called, stack.len());
                stack.push((called, 0));
            }
        }
    }

    fn deepest(&self, service: &ServiceName) -> (usize, Option<&'a ServiceName>) {
        let known = |c: &'a ServiceName| Some((self.below.get(c)?.0, Some(c)));
        let called = self.called(service).iter().filter_map(known);
        let (depth, next) = called.max_by_key(|(depth, _)| *depth).unwrap_or((0, None));
        (depth + 1, next)
    }

    fn depth(&self, service: &ServiceName) -> usize {
        self.below.get(service).map_or(1, |(depth, _)| *depth)
    }

    fn longest(&self) -> Vec<&'a ServiceName> {
        let mut path = vec![&self.chain.entry];
        while let Some((_, Some(next))) = self.below.get(path[path.len() - 1]) {
            path.push(next);
        }
        path
    }
}

fn arrows(path: &[&ServiceName]) -> String {
    let names: Vec<_> = path.iter().map(|s| s.as_str()).collect();
    names.join(" -> ")
}

fn cycle_fault(entry: &Entry, chain: &Chain, cycle: &Cycle<'_>) -> Fault {
    let message = format!("chain {} has a cycle: {}", chain.name, arrows(&cycle.path));
    let site = entry.site(&format!("calls/{}/{}", cycle.caller, cycle.position));
    Fault::new("chain-cycle", site, message, "this call closes the cycle")
}

fn too_deep(entry: &Entry, chain: &Chain, walk: &Walk<'_>, found: &mut Findings) {
    let path = walk.longest();
    if path.len() <= DEPTH_MAX {
        return;
    }
    let caller = path[DEPTH_MAX - 1];
    let beyond = path[DEPTH_MAX];
    let position = walk.called(caller).iter().position(|s| s == beyond);
    let site = entry.site(&format!("calls/{caller}/{}", position.unwrap_or(0)));
    let message = format!(
        "chain {} is {} services deep: {}",
        chain.name,
        path.len(),
        arrows(&path)
    );
    let label = format!("service {} of at most {DEPTH_MAX}", DEPTH_MAX + 1);
    found.push(Fault::new("chain-too-deep", site, message, label));
}

fn unreached(entry: &Entry, chain: &Chain, walk: &Walk<'_>, found: &mut Findings) {
    if walk.below.len() == walk.reached {
        return;
    }
    let reached = chain.services();
    for caller in chain.calls.keys().filter(|c| !reached.contains(c)) {
        let message = format!(
            "chain {} lists calls of {caller}, which it does not reach",
            chain.name
        );
        let site = entry.site(&format!("calls/{caller}#"));
        let fault = Fault::new("unreached-service", site, message, "no effect");
        found.push(
            fault
                .warning()
                .help(format!("it is not called from {}", chain.entry)),
        );
    }
}
