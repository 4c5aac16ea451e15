//! Service times that the nodes of upstreams report.

use tokio::time::Instant;

use super::{
    super::{
        super::id::{ClassName, UpstreamName},
        SUBSET_THRESHOLD, ServiceTime,
        class_times::ClassTimes,
        entry::{Entry, RelativeTime},
    },
    UpstreamTable,
};

impl UpstreamTable {
    /// Records the service time that an upstream reported for a class.
    pub fn update_service_time(
        &mut self,
        name: &UpstreamName,
        class: &ClassName,
        time: ServiceTime,
        now: Instant,
    ) {
        let found = self.entries.binary_search_by(|e| e.upstream.name.cmp(name));
        let Some(entry) = found.ok().map(|index| &mut self.entries[index]) else {
            return;
        };
        let (usual_s, known) = (time.usual.as_secs_f64(), entry.factor(now));
        if let Some(factor) = self.class_times.record(class, usual_s, known) {
            let pace = time.pace;
            entry.update_service_time(RelativeTime { factor, pace }, now);
        }
    }

    /// Drops all reported service times, so that upstreams are chosen by load alone.
    pub fn forget_service_times(&mut self) {
        self.class_times = ClassTimes::default();
        self.median_factor = None;
        self.entries.iter_mut().for_each(Entry::forget_service_time);
    }

    /// Median of the reported factors, if at least half of the active upstreams have reported one. A
    /// single false report hardly changes it.
    pub(super) fn reported_median(&self, now: Instant) -> Option<f64> {
        let mut factors = [0.0; SUBSET_THRESHOLD];
        let mut count = 0;
        for index in &self.active {
            if let Some(factor) = self.entries[*index].factor(now) {
                factors[count] = factor;
                count += 1;
            }
        }
        let factors = &mut factors[..count];
        if factors.is_empty() || count * 2 < self.active.len() {
            return None;
        }
        let (_, median, _) = factors.select_nth_unstable_by(count / 2, f64::total_cmp);
        Some(*median)
    }
}
