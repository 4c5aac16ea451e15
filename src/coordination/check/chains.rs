//! The call graph of each chain: cycles, depth, and calls made by services that the chain does not
//! reach.

use std::collections::BTreeMap;

use super::{DEPTH_MAX, Entry, Fault, Index, fault::Findings};
use crate::state::{id::ServiceName, object::Chain};

pub(super) fn check(index: &Index<'_>, findings: &mut Findings) {
    for (entry, chain) in &index.chains {
        let walk = Walk::new(chain);
        for cycle in &walk.cycles {
            findings.push(cycle_fault(entry, chain, cycle));
        }
        if walk.cycles.is_empty() {
            check_depth(entry, chain, &walk, findings);
            check_reachability(entry, chain, &walk, findings);
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
    /// Index, among the calls of `caller`, of the call that closes the cycle.
    position: usize,
}

/// A depth-first walk over a chain. It uses an explicit stack instead of recursion, because the
/// depth of a chain is unbounded until it has been checked.
struct Walk<'a> {
    chain: &'a Chain,
    /// For each visited service, the number of services on the longest path from it, and the next
    /// service on that path.
    visited: BTreeMap<&'a ServiceName, (usize, Option<&'a ServiceName>)>,
    /// Number of services that the entry reaches.
    reached: usize,
    cycles: Vec<Cycle<'a>>,
}

impl<'a> Walk<'a> {
    fn new(chain: &'a Chain) -> Self {
        let mut walk = Self {
            chain,
            visited: BTreeMap::new(),
            reached: 0,
            cycles: vec![],
        };
        walk.visit(&chain.entry);
        walk.reached = walk.visited.len();
        for caller in chain.calls.keys() {
            walk.visit(caller);
        }
        walk
    }

    fn callees(&self, service: &ServiceName) -> &'a [ServiceName] {
        self.chain.calls.get(service).map_or(&[], Vec::as_slice)
    }

    fn visit(&mut self, start: &'a ServiceName) {
        if self.visited.contains_key(start) {
            return;
        }
        let mut stack = vec![(start, 0)];
        let mut on_stack = BTreeMap::from([(start, 0)]);
        while let Some((service, next)) = stack.last_mut() {
            let (service, position) = (*service, *next);
            *next += 1;
            let Some(callee) = self.callees(service).get(position) else {
                self.visited.insert(service, self.longest_from(service));
                on_stack.remove(service);
                stack.pop();
                continue;
            };
            if let Some(&depth) = on_stack.get(callee) {
                let mut path: Vec<_> = stack[depth..].iter().map(|(s, _)| *s).collect();
                path.push(callee);
                self.cycles.push(Cycle {
                    path,
                    caller: service,
                    position,
                });
            } else if !self.visited.contains_key(callee) {
                on_stack.insert(callee, stack.len());
                stack.push((callee, 0));
            }
        }
    }

    fn longest_from(&self, service: &ServiceName) -> (usize, Option<&'a ServiceName>) {
        let visited = |c: &'a ServiceName| Some((self.visited.get(c)?.0, Some(c)));
        let callees = self.callees(service).iter().filter_map(visited);
        let (depth, next) = callees.max_by_key(|(depth, _)| *depth).unwrap_or((0, None));
        (depth + 1, next)
    }

    fn depth(&self, service: &ServiceName) -> usize {
        self.visited.get(service).map_or(1, |(depth, _)| *depth)
    }

    fn longest_path(&self) -> Vec<&'a ServiceName> {
        let mut path = vec![&self.chain.entry];
        while let Some((_, Some(next))) = self.visited.get(path[path.len() - 1]) {
            path.push(next);
        }
        path
    }
}

fn format_path(path: &[&ServiceName]) -> String {
    let names: Vec<_> = path.iter().map(|s| s.as_str()).collect();
    names.join(" -> ")
}

fn cycle_fault(entry: &Entry, chain: &Chain, cycle: &Cycle<'_>) -> Fault {
    let message = format!(
        "chain {} has a cycle: {}",
        chain.name,
        format_path(&cycle.path)
    );
    let site = entry.site(&format!("calls/{}/{}", cycle.caller, cycle.position));
    Fault::new("chain-cycle", site, message, "this call closes the cycle")
}

fn check_depth(entry: &Entry, chain: &Chain, walk: &Walk<'_>, findings: &mut Findings) {
    let path = walk.longest_path();
    if path.len() <= DEPTH_MAX {
        return;
    }
    let caller = path[DEPTH_MAX - 1];
    let callee = path[DEPTH_MAX];
    let position = walk.callees(caller).iter().position(|s| s == callee);
    let site = entry.site(&format!("calls/{caller}/{}", position.unwrap_or(0)));
    let message = format!(
        "chain {} is {} services deep: {}",
        chain.name,
        path.len(),
        format_path(&path)
    );
    let label = format!("service {} of at most {DEPTH_MAX}", DEPTH_MAX + 1);
    findings.push(Fault::new("chain-too-deep", site, message, label));
}

fn check_reachability(entry: &Entry, chain: &Chain, walk: &Walk<'_>, findings: &mut Findings) {
    if walk.visited.len() == walk.reached {
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
        findings.push(
            fault
                .warning()
                .help(format!("it is not called from {}", chain.entry)),
        );
    }
}
