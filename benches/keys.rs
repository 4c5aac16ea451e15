//! Cost of a table of 100,000 keys of 10,000 organisations: time of a lookup and of building it,
//! and its memory.

use std::hint::black_box;

use comfreybay::state::mesh::organisation::{Organisation, Organisations};
use criterion::{Criterion, criterion_group, criterion_main};
use peak_alloc::PeakAlloc;

#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

const ORGANISATIONS: usize = 10_000;
const KEYS_PER_ORGANISATION: usize = 10;
const MEMORY_MAX_MB: f64 = 16.0;

fn key(rng: &mut fastrand::Rng) -> String {
    (0..20).map(|_| rng.alphanumeric()).collect()
}

fn entries(rng: &mut fastrand::Rng) -> Vec<(Organisation, Vec<String>)> {
    let entry = |n: usize| {
        let organisation = Organisation {
            name: format!("organisation-{n}").parse().expect("valid name"),
            priority: Some((n % 4) as u8),
            quota: None,
        };
        let keys = (0..KEYS_PER_ORGANISATION).map(|_| key(rng));
        (organisation, keys.collect())
    };
    (0..ORGANISATIONS).map(entry).collect()
}

fn keys(c: &mut Criterion) {
    let mut rng = fastrand::Rng::with_seed(1);
    let entries = entries(&mut rng);
    let known: Vec<_> = entries.iter().flat_map(|(_, keys)| keys.clone()).collect();
    let before = ALLOCATOR.current_usage_as_mb();
    let table = Organisations::new(entries.clone()).expect("valid organisations");
    let used = f64::from(ALLOCATOR.current_usage_as_mb() - before);
    println!("memory of {} keys: {used:.2} MB", table.key_count());
    assert!(used < MEMORY_MAX_MB, "{used} MB, expected less than 16 MB");
    let mut at = 0;
    c.bench_function("known key of 100,000", |b| {
        b.iter(|| {
            // A step that visits all keys out of order, so that few are in the processor's cache.
            at = (at + 61_803) % known.len();
            black_box(table.find(known[at].as_bytes())).is_some()
        });
    });
    let unknown = key(&mut rng);
    c.bench_function("unknown key of 100,000", |b| {
        b.iter(|| black_box(table.find(black_box(unknown.as_bytes()))).is_some());
    });
    let mut group = c.benchmark_group("table");
    group.sample_size(10);
    group.bench_function("build of 100,000 keys", |b| {
        b.iter_batched(
            || entries.clone(),
            Organisations::new,
            criterion::BatchSize::LargeInput,
        );
    });
    group.finish();
}

criterion_group!(benches, keys);
criterion_main!(benches);
