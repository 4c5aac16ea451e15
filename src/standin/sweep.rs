//! Performs all runs of a script on several threads; each run has its own runtime and clock.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use super::{
    experiment::{self, Run},
    script::Script,
};
use crate::state::{object::Control, publication::Publication};

/// Runs every overload control with every seed. `progress` is called with the number of completed
/// runs and the total.
///
/// The results are ordered by control and seed, independent of the number of threads.
///
/// # Errors
/// Returns the reason as text when a run can't be started or panics.
pub fn sweep(
    script: &Script,
    publication: &Publication,
    threads: usize,
    progress: impl Fn(usize, usize) + Sync,
) -> Result<Vec<Run>, String> {
    let seeds = script.seed..script.seed + script.seeds;
    let pairs = script.controls.iter();
    let pairs: Vec<(Control, u64)> = pairs
        .flat_map(|c| seeds.clone().map(move |s| (*c, s)))
        .collect();
    // Names use reference counts that are not thread-safe, so each thread deserializes a copy.
    let text = |e: serde_json::Error| e.to_string();
    let script = serde_json::to_vec(script).map_err(text)?;
    let publication = serde_json::to_vec(publication).map_err(text)?;
    let (next, done) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let results = Mutex::new(Vec::new());
    let work = || -> Result<(), String> {
        let script: Script = serde_json::from_slice(&script).map_err(text)?;
        let publication = serde_json::from_slice(&publication).map_err(text)?;
        loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            let Some((control, seed)) = pairs.get(index) else {
                return Ok(());
            };
            let run = experiment::run(&script, &publication, *control, *seed);
            let run = run.map_err(|e| e.to_string())?;
            let mut results = results.lock().map_err(|e| e.to_string())?;
            results.push((index, run));
            progress(done.fetch_add(1, Ordering::Relaxed) + 1, pairs.len());
        }
    };
    thread::scope(|scope| {
        let workers: Vec<_> = (0..threads.max(1)).map(|_| scope.spawn(work)).collect();
        let join = |w: thread::ScopedJoinHandle<'_, _>| {
            w.join()
                .unwrap_or_else(|_| Err("a run panicked".to_owned()))
        };
        workers.into_iter().try_for_each(join)
    })?;
    let mut results = results.into_inner().map_err(|e| e.to_string())?;
    results.sort_by_key(|(index, _)| *index);
    Ok(results.into_iter().map(|(_, run)| run).collect())
}
