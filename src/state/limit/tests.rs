//! Guards against a limit that leaves a server idle, overloads it, or follows its capacity too
//! slowly.

use std::{cmp::Reverse, collections::BinaryHeap};

use super::*;

const SLOTS: u32 = 100;
/// Mean service time of an uncontended call.
const SERVICE_S: f64 = 0.050;

/// A server under unlimited demand: always as many calls in flight as the limit allows.
struct Server {
    limiter: Limiter,
    start: Instant,
    now: f64,
    calls: BinaryHeap<Reverse<(u64, u64)>>,
    rng: fastrand::Rng,
}

impl Server {
    fn new(seed: u64) -> Self {
        let start = Instant::now();
        Self {
            limiter: Limiter::new(SLOTS, start),
            start,
            now: 0.0,
            calls: BinaryHeap::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Runs for `seconds` and returns the number of responses. `mean_time(now, calls in flight)` is
    /// the mean service time; each call varies from it by up to half.
    fn run(&mut self, seconds: f64, mean_time: impl Fn(f64, f64) -> f64) -> usize {
        let until = self.now + seconds;
        let mut responses = 0;
        while self.now < until {
            while (self.calls.len() as u32) < self.limiter.limit() {
                let time =
                    mean_time(self.now, self.calls.len() as f64 + 1.0) * (0.5 + self.rng.f64());
                let nanos = |s: f64| (s * 1e9) as u64;
                self.calls
                    .push(Reverse((nanos(self.now + time), nanos(time))));
            }
            let Some(Reverse((end, time))) = self.calls.pop() else {
                unreachable!("the limit is at least 1");
            };
            self.now = end as f64 / 1e9;
            let now = self.start + Duration::from_nanos(end);
            let in_flight = self.calls.len() as u32 + 1;
            self.limiter.record(
                Duration::from_nanos(time),
                in_flight,
                CallEnd::Answered,
                now,
            );
            responses += 1;
        }
        responses
    }
}

/// Mean service time when up to `capacity` calls run at full speed and more share that capacity.
fn shared(capacity: f64) -> impl Fn(f64, f64) -> f64 {
    move |_, calls| SERVICE_S * (calls / capacity).max(1.0)
}

/// Guards against a cold server that gets its full load immediately, or never.
#[test]
fn cold_limit_starts_low_and_reaches_the_slots() {
    for seed in 0..200 {
        let mut server = Server::new(seed);
        assert_eq!(server.limiter.limit(), SLOTS / 10);
        server.run(1.0, shared(100.0));
        assert_eq!(server.limiter.limit(), SLOTS, "seed {seed}");
    }
}

/// Guards against overloading a server whose capacity grows from 10% to 100% over 5 s.
#[test]
fn cold_server_is_not_overloaded() {
    for seed in 0..200 {
        let mut server = Server::new(seed);
        let capacity = |now: f64| 10.0 + 90.0 * (now / 5.0).min(1.0);
        for _ in 0..50 {
            server.run(0.1, |now, calls| {
                SERVICE_S * (calls / capacity(now)).max(1.0)
            });
            let limit = f64::from(server.limiter.limit());
            assert!(
                limit <= 3.0 * capacity(server.now),
                "seed {seed}: {limit} at {}",
                server.now
            );
        }
        server.run(2.0, |now, calls| {
            SERVICE_S * (calls / capacity(now)).max(1.0)
        });
        assert!(
            server.limiter.limit() >= 95,
            "seed {seed}: {}",
            server.limiter.limit()
        );
    }
}

/// Guards against a limit that stays high when the capacity falls to a fifth, or stays low
/// afterwards.
#[test]
fn limit_follows_a_server_with_a_fifth_of_its_capacity() {
    for seed in 0..200 {
        let mut server = Server::new(seed);
        server.run(3.0, shared(100.0));
        server.run(3.0, shared(20.0));
        assert!(
            server.limiter.limit() <= 50,
            "seed {seed}: {}",
            server.limiter.limit()
        );
        let responses = server.run(10.0, shared(20.0));
        assert!(
            server.limiter.limit() <= 50,
            "seed {seed}: {}",
            server.limiter.limit()
        );
        assert!(
            responses as f64 >= 0.9 * 10.0 * 20.0 / SERVICE_S,
            "seed {seed}: {responses}"
        );
        server.run(1.0, shared(100.0));
        assert!(
            server.limiter.limit() >= 95,
            "seed {seed}: {}",
            server.limiter.limit()
        );
    }
}

/// Guards against a lower limit when each call takes five times as long at any concurrency.
#[test]
fn limit_keeps_the_slots_of_a_server_that_is_slow_at_any_concurrency() {
    for seed in 0..200 {
        let mut server = Server::new(seed);
        server.run(3.0, shared(100.0));
        let responses = server.run(20.0, |_, _| 5.0 * SERVICE_S);
        let ideal = 20.0 * f64::from(SLOTS) / (5.0 * SERVICE_S);
        assert!(
            responses as f64 >= 0.9 * ideal,
            "seed {seed}: {responses} of {ideal}"
        );
        server.run(1.0, shared(100.0));
        assert!(
            server.limiter.limit() >= 95,
            "seed {seed}: {}",
            server.limiter.limit()
        );
    }
}

/// Guards against a limit that ignores the server's own load shedding.
#[test]
fn limit_falls_when_the_server_sheds_and_returns_later() {
    let mut server = Server::new(1);
    server.run(3.0, shared(100.0));
    let now = server.start + Duration::from_secs_f64(server.now);
    let shed = |limiter: &mut Limiter| {
        for _ in 0..1_000 {
            let limit = limiter.limit();
            if limit > 50 {
                limiter.record(Duration::from_millis(1), limit, CallEnd::Shed, now);
            }
        }
    };
    shed(&mut server.limiter);
    assert!(
        (30..=50).contains(&server.limiter.limit()),
        "{}",
        server.limiter.limit()
    );
    server.run(10.0, shared(100.0));
    assert_eq!(server.limiter.limit(), SLOTS);
}

/// Guards against keeping the limit of a server process that no longer exists.
#[test]
fn restart_makes_the_limit_cold() {
    let mut server = Server::new(1);
    server.run(1.0, shared(100.0));
    server.limiter.reset(server.start);
    assert_eq!(server.limiter.limit(), SLOTS / 10);
}

/// Guards against a limit of zero for a server with one slot.
#[test]
fn one_slot_stays_usable() {
    let mut limiter = Limiter::new(1, Instant::now());
    for n in 0..1_000 {
        let end = if n % 3 == 0 {
            CallEnd::Shed
        } else {
            CallEnd::Answered
        };
        limiter.record(Duration::from_millis(n), 1, end, Instant::now());
        assert_eq!(limiter.limit(), 1);
    }
}
