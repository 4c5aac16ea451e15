//! Faults of all kinds drawn from a seed.

use super::script::{Event, Fault, Retry};
use crate::state::{
    id::{ServiceName, UpstreamName, ZoneName},
    publication::Publication,
};

const EVENTS: std::ops::Range<usize> = 6..12;
/// Faults end this long before the run does, so that late answers are seen.
const QUIET_S: f64 = 4.0;
const KINDS: u32 = 16;

struct Draw {
    rng: fastrand::Rng,
    upstreams: Vec<UpstreamName>,
    services: Vec<ServiceName>,
    zones: Vec<ZoneName>,
}

/// The events of one seed within `length_s`; they overlap and repeat.
pub fn events(publication: &Publication, seed: u64, length_s: f64) -> Vec<Event> {
    let mut services: Vec<_> = publication.pieces.values().collect();
    services.sort_by(|a, b| a.service.name.cmp(&b.service.name));
    let names = services.iter().flat_map(|p| &p.upstreams);
    let zones = &publication.head.deployment.zones;
    let mut draw = Draw {
        rng: fastrand::Rng::with_seed(seed),
        upstreams: names.map(|u| u.name.clone()).collect(),
        services: services.iter().map(|p| p.service.name.clone()).collect(),
        zones: zones.iter().map(|z| z.name.clone()).collect(),
    };
    let count = draw.rng.usize(EVENTS);
    (0..count).map(|_| draw.event(length_s - QUIET_S)).collect()
}

impl Draw {
    fn event(&mut self, length_s: f64) -> Event {
        let at_s = self.rng.f64() * length_s;
        let for_s = (0.5 + 6.0 * self.rng.f64()).min(length_s - at_s);
        Event {
            at_s,
            for_s,
            fault: self.fault(),
        }
    }

    fn fault(&mut self) -> Fault {
        let upstream = pick(&mut self.rng, &self.upstreams);
        let service = pick(&mut self.rng, &self.services);
        let zone = pick(&mut self.rng, &self.zones);
        match self.rng.u32(0..KINDS) {
            0 | 1 => Fault::Slow {
                service,
                factor: 2.0 + 6.0 * self.rng.f64(),
            },
            2 => Fault::Demand {
                chains: Vec::new(),
                factor: 1.5 + 2.5 * self.rng.f64(),
            },
            3 => Fault::Retry(Retry {
                tries: 3,
                wait_ms: Some(50),
            }),
            4 | 5 => Fault::Pause { upstream },
            6 => Fault::CutZone { zone },
            7 => Fault::CutFrom { upstream },
            8 => Fault::LoseZone { zone },
            9 => Fault::CrashServer { upstream },
            10 => Fault::CrashNode { upstream },
            11 => Fault::Mark {
                count: self.rng.u32(1..3),
            },
            12 => Fault::Report { upstream, busy: 0 },
            13 => Fault::FreezeList,
            14 => match self.rng.bool() {
                true => Fault::ConfigurationDown,
                false => Fault::ConfigurationStale,
            },
            _ => Fault::Stop { upstream },
        }
    }
}

fn pick<T: Clone>(rng: &mut fastrand::Rng, all: &[T]) -> T {
    all[rng.usize(..all.len())].clone()
}
