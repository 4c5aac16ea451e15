//! Random events of all kinds, generated from a seed.

use super::script::{Event, Fault, Retry};
use crate::state::{
    id::{ServiceName, UpstreamName, ZoneName},
    publication::Publication,
};

/// Number of events per run.
const EVENT_COUNT: std::ops::Range<usize> = 6..12;
/// Time between the last fault and the end of the run, in which late responses are observed.
const FINAL_QUIET_S: f64 = 4.0;
/// Number of equally likely values that select the kind of a fault; some kinds have two.
const FAULT_DRAWS: u32 = 16;

struct Generator {
    rng: fastrand::Rng,
    upstreams: Vec<UpstreamName>,
    services: Vec<ServiceName>,
    zones: Vec<ZoneName>,
}

/// Returns the events of one seed within a run of `length_s`; kinds can repeat and events overlap.
pub fn events(publication: &Publication, seed: u64, length_s: f64) -> Vec<Event> {
    let mut pieces: Vec<_> = publication.pieces.values().collect();
    pieces.sort_by(|a, b| a.service.name.cmp(&b.service.name));
    let upstreams = pieces.iter().flat_map(|p| &p.upstreams);
    let zones = &publication.head.deployment.zones;
    let mut generator = Generator {
        rng: fastrand::Rng::with_seed(seed),
        upstreams: upstreams.map(|u| u.name.clone()).collect(),
        services: pieces.iter().map(|p| p.service.name.clone()).collect(),
        zones: zones.iter().map(|z| z.name.clone()).collect(),
    };
    let count = generator.rng.usize(EVENT_COUNT);
    (0..count)
        .map(|_| generator.event(length_s - FINAL_QUIET_S))
        .collect()
}

impl Generator {
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
        match self.rng.u32(0..FAULT_DRAWS) {
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
