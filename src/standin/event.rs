//! Applies the events of a script to a fleet.

use std::{cell::RefCell, net::IpAddr, rc::Rc, time::Duration};

use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

use super::{
    caller::{LoadControls, RetryPolicy},
    configuration::{Mode, Snapshot},
    fleet::Fleet,
    script::{Event, Fault},
    world::World,
};
use crate::{
    state::{id::UpstreamName, object::Upstream},
    transport::memory::{Network, Place},
};

/// Planned departure of a backend server: after a grace period it must not start executions until
/// it is started again.
#[derive(Debug, Clone)]
pub struct Departure {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Start of the departure.
    pub from: Instant,
    /// End of the departure, when the server is started again or stops draining.
    pub to: Instant,
}

/// Parts of a run that events act on; cheap to clone.
pub struct EventTarget<W> {
    /// The in-memory network; without it, network partitions have no effect.
    pub network: Option<Network>,
    /// The nodes, backend servers and platform services.
    pub fleet: Fleet<W>,
    /// Demand and retry policy of the callers.
    pub dial: LoadControls,
    /// Retry policy outside of retry events.
    pub retry_policy: RetryPolicy,
    /// Configuration that a stale configuration service returns.
    pub old_configuration: Snapshot,
    /// Departures so far.
    pub departures: Rc<RefCell<Vec<Departure>>>,
}

impl<W> Clone for EventTarget<W> {
    fn clone(&self) -> Self {
        Self {
            network: self.network.clone(),
            fleet: self.fleet.clone(),
            dial: self.dial.clone(),
            retry_policy: self.retry_policy,
            old_configuration: self.old_configuration.clone(),
            departures: self.departures.clone(),
        }
    }
}

impl<W: World> EventTarget<W> {
    /// Waits for the time of an event, applies it and reverts it at its end.
    pub async fn apply(self, event: Event, start: Instant) {
        sleep_until(start + seconds(event.at_s)).await;
        let started = Instant::now();
        let end = started + seconds(event.for_s);
        match event.fault {
            Fault::RollingRestart { every_s } => return self.restart_all(seconds(every_s)).await,
            Fault::Stop { upstream } => {
                self.record_departure(&upstream, started, end);
                self.fleet.stop(&upstream).await;
                sleep_until(end).await;
                return self.fleet.start_upstream(&upstream).await;
            }
            Fault::CrashNode { upstream } => return self.fleet.crash_node(&upstream).await,
            Fault::CrashServer { upstream } => return self.fleet.crash_server(&upstream),
            Fault::Drain { ref upstream } => self.record_departure(upstream, started, end),
            _ => {}
        }
        self.set_fault(&event.fault, true);
        sleep_until(end).await;
        self.set_fault(&event.fault, false);
    }

    fn record_departure(&self, upstream: &UpstreamName, from: Instant, to: Instant) {
        let upstream = upstream.clone();
        let departure = Departure { upstream, from, to };
        self.departures.borrow_mut().push(departure);
    }

    fn set_fault(&self, fault: &Fault, on: bool) {
        match fault {
            Fault::Slow { service, factor } => {
                let factor = if on { *factor } else { 1.0 };
                for name in self.fleet.find_upstreams(|u| u.service == *service) {
                    let controls = self.fleet.server_controls(&name);
                    let _ = controls.map(|c| c.set_slowdown(factor));
                }
            }
            Fault::Demand { chains, factor } => {
                let factor = if on { *factor } else { 1.0 };
                if chains.is_empty() {
                    self.dial.set_demand(None, factor);
                }
                for chain in chains {
                    self.dial.set_demand(Some(chain), factor);
                }
            }
            Fault::Retry(retry) => {
                let policy = if on {
                    (*retry).into()
                } else {
                    self.retry_policy
                };
                self.dial.set_retry_policy(policy);
            }
            Fault::LoseZone { zone } => {
                let place = Place::Zone(zone.clone());
                self.set_cut(on, Place::All, place.clone());
                self.set_cut(on, place, Place::All);
                for name in self.fleet.find_upstreams(|u| u.zone == *zone) {
                    match on {
                        true => self.fleet.crash_upstream(&name),
                        false => self.fleet.recover(&name),
                    }
                }
            }
            Fault::CutZone { zone } => {
                let place = Place::Zone(zone.clone());
                for host in self.find_hosts(|u| u.zone != *zone) {
                    self.set_cut(on, Place::Host(host), place.clone());
                    self.set_cut(on, place.clone(), Place::Host(host));
                }
            }
            Fault::CutFrom { upstream } => {
                for own in self.find_hosts(|u| u.name == *upstream) {
                    for host in self.find_hosts(|u| u.name != *upstream) {
                        self.set_cut(on, Place::Host(own), Place::Host(host));
                    }
                }
            }
            Fault::Pause { upstream } => match on {
                true => self.fleet.pause_node(upstream),
                false => self.fleet.resume_node(upstream),
            },
            Fault::Mark { count } if on => self.dial.set_crash_requests(*count),
            Fault::Report { upstream, busy } => {
                let controls = self.fleet.server_controls(upstream);
                let _ = controls.map(|c| c.override_busy(on.then_some(*busy)));
            }
            Fault::Drain { upstream } => {
                let controls = self.fleet.server_controls(upstream);
                let _ = controls.map(|c| c.set_draining(on));
            }
            Fault::FreezeList => self.fleet.instances().freeze(on),
            Fault::ConfigurationDown => {
                let mode = if on { Mode::Down } else { Mode::Up };
                self.fleet.configuration().set_mode(mode);
            }
            Fault::ConfigurationStale => match on {
                true => self
                    .fleet
                    .configuration()
                    .revert(self.old_configuration.clone()),
                false => self.fleet.configuration().set_mode(Mode::Up),
            },
            Fault::Mark { .. }
            | Fault::CrashServer { .. }
            | Fault::CrashNode { .. }
            | Fault::Stop { .. }
            | Fault::RollingRestart { .. } => {}
        }
    }

    fn set_cut(&self, on: bool, from: Place, to: Place) {
        let Some(network) = &self.network else {
            return;
        };
        match on {
            true => network.cut(from, to),
            false => network.heal(from, to),
        }
    }

    fn find_hosts(&self, matches: impl Fn(&Upstream) -> bool) -> Vec<IpAddr> {
        self.fleet.find_hosts(matches)
    }

    /// Restarts all upstreams, one of each service at a time, waiting `interval` after each stop
    /// and after each start.
    async fn restart_all(&self, interval: Duration) {
        let mut by_service = std::collections::BTreeMap::<_, Vec<_>>::new();
        for (service, name) in self.fleet.services() {
            by_service.entry(service).or_default().push(name);
        }
        let mut tasks = JoinSet::new();
        for names in by_service.into_values() {
            let target = self.clone();
            tasks.spawn_local(async move {
                for name in names {
                    target.fleet.stop(&name).await;
                    sleep(interval).await;
                    target.fleet.start_upstream(&name).await;
                    sleep(interval).await;
                }
            });
        }
        while tasks.join_next().await.is_some() {}
    }
}

fn seconds(time: f64) -> Duration {
    Duration::from_secs_f64(time.max(0.0))
}
