//! Applies the events of a script to a fleet in memory.

use std::{cell::RefCell, net::IpAddr, rc::Rc, time::Duration};

use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

use super::{
    caller::{Dial, Manners},
    configuration::{Mode, Snapshot},
    fleet::Fleet,
    script::{Event, Fault},
    world::World,
};
use crate::{
    state::{id::UpstreamName, object::Upstream},
    transport::memory::{Network, Place},
};

/// A server that was told to leave: it may begin no new work from `from` until `to`.
#[derive(Debug, Clone)]
pub struct Leave {
    /// The upstream.
    pub upstream: UpstreamName,
    /// When its departure began.
    pub from: Instant,
    /// When it is started again.
    pub to: Instant,
}

/// What events act on; cheap to clone.
pub struct Stage<W> {
    /// The network, when it is in memory; cuts have no effect otherwise.
    pub network: Option<Network>,
    /// The nodes and stand-ins.
    pub fleet: Fleet<W>,
    /// Demand and manners of the callers.
    pub dial: Dial,
    /// Manners outside of events.
    pub manners: Manners,
    /// The configuration of an earlier time.
    pub old: Snapshot,
    /// Departures so far.
    pub leaves: Rc<RefCell<Vec<Leave>>>,
}

impl<W> Clone for Stage<W> {
    fn clone(&self) -> Self {
        Self {
            network: self.network.clone(),
            fleet: self.fleet.clone(),
            dial: self.dial.clone(),
            manners: self.manners,
            old: self.old.clone(),
            leaves: self.leaves.clone(),
        }
    }
}

impl<W: World> Stage<W> {
    /// Applies and ends one event.
    pub async fn apply(self, event: Event, start: Instant) {
        sleep_until(start + seconds(event.at_s)).await;
        let begun = Instant::now();
        let end = begun + seconds(event.for_s);
        match event.fault {
            Fault::RollingRestart { every_s } => return self.roll(seconds(every_s)).await,
            Fault::Stop { upstream } => {
                self.leave(&upstream, begun, end);
                self.fleet.stop(&upstream).await;
                sleep_until(end).await;
                return self.fleet.launch(&upstream).await;
            }
            Fault::CrashNode { upstream } => return self.fleet.crash_node(&upstream).await,
            Fault::CrashServer { upstream } => return self.fleet.crash_server(&upstream),
            Fault::Drain { ref upstream } => self.leave(upstream, begun, end),
            _ => {}
        }
        self.switch(&event.fault, true);
        sleep_until(end).await;
        self.switch(&event.fault, false);
    }

    fn leave(&self, upstream: &UpstreamName, from: Instant, to: Instant) {
        let upstream = upstream.clone();
        let leave = Leave { upstream, from, to };
        self.leaves.borrow_mut().push(leave);
    }

    fn switch(&self, fault: &Fault, on: bool) {
        match fault {
            Fault::Slow { service, factor } => {
                let factor = if on { *factor } else { 1.0 };
                for name in self.fleet.select(|u| u.service == *service) {
                    let knobs = self.fleet.knobs(&name);
                    let _ = knobs.map(|k| k.slow(factor));
                }
            }
            Fault::Demand { chains, factor } => {
                let factor = if on { *factor } else { 1.0 };
                if chains.is_empty() {
                    self.dial.demand(None, factor);
                }
                for chain in chains {
                    self.dial.demand(Some(chain), factor);
                }
            }
            Fault::Retry(retry) => {
                let manners = if on { (*retry).into() } else { self.manners };
                self.dial.manners(manners);
            }
            Fault::LoseZone { zone } => {
                let place = Place::Zone(zone.clone());
                self.cut(on, Place::All, place.clone());
                self.cut(on, place, Place::All);
                for name in self.fleet.select(|u| u.zone == *zone) {
                    match on {
                        true => self.fleet.lose(&name),
                        false => self.fleet.recover(&name),
                    }
                }
            }
            Fault::CutZone { zone } => {
                let place = Place::Zone(zone.clone());
                for host in self.hosts(|u| u.zone != *zone) {
                    self.cut(on, Place::Host(host), place.clone());
                    self.cut(on, place.clone(), Place::Host(host));
                }
            }
            Fault::CutFrom { upstream } => {
                for own in self.hosts(|u| u.name == *upstream) {
                    for host in self.hosts(|u| u.name != *upstream) {
                        self.cut(on, Place::Host(own), Place::Host(host));
                    }
                }
            }
            Fault::Pause { upstream } => match on {
                true => self.fleet.pause_node(upstream),
                false => self.fleet.resume_node(upstream),
            },
            Fault::Mark { count } if on => self.dial.mark(*count),
            Fault::Report { upstream, busy } => {
                let knobs = self.fleet.knobs(upstream);
                let _ = knobs.map(|k| k.report(on.then_some(*busy)));
            }
            Fault::Drain { upstream } => {
                let knobs = self.fleet.knobs(upstream);
                let _ = knobs.map(|k| k.drain(on));
            }
            Fault::FreezeList => self.fleet.instances().freeze(on),
            Fault::ConfigurationDown => {
                let mode = if on { Mode::Down } else { Mode::Up };
                self.fleet.configuration().set_mode(mode);
            }
            Fault::ConfigurationStale => match on {
                true => self.fleet.configuration().revert(self.old.clone()),
                false => self.fleet.configuration().set_mode(Mode::Up),
            },
            Fault::Mark { .. }
            | Fault::CrashServer { .. }
            | Fault::CrashNode { .. }
            | Fault::Stop { .. }
            | Fault::RollingRestart { .. } => {}
        }
    }

    fn cut(&self, on: bool, from: Place, to: Place) {
        let Some(network) = &self.network else {
            return;
        };
        match on {
            true => network.cut(from, to),
            false => network.heal(from, to),
        }
    }

    fn hosts(&self, fits: impl Fn(&Upstream) -> bool) -> Vec<IpAddr> {
        self.fleet.hosts(fits)
    }

    /// Restarts all upstreams, one of each service at a time.
    async fn roll(&self, every: Duration) {
        let mut by_service = std::collections::BTreeMap::<_, Vec<_>>::new();
        for (service, name) in self.fleet.services() {
            by_service.entry(service).or_default().push(name);
        }
        let mut tasks = JoinSet::new();
        for names in by_service.into_values() {
            let stage = self.clone();
            tasks.spawn_local(async move {
                for name in names {
                    stage.fleet.stop(&name).await;
                    sleep(every).await;
                    stage.fleet.launch(&name).await;
                    sleep(every).await;
                }
            });
        }
        while tasks.join_next().await.is_some() {}
    }
}

fn seconds(time: f64) -> Duration {
    Duration::from_secs_f64(time.max(0.0))
}
