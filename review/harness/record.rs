//! `record.txt`, and the runs that the servers have seen.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// A request that a server began to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub service: String,
    pub server: String,
    pub attempt: String,
}

/// The record; clones share it.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    shared: Arc<Mutex<(File, Vec<Run>)>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            shared: Arc::new(Mutex::new((File::create(path)?, Vec::new()))),
        })
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut shared = self.shared.lock().unwrap();
        writeln!(shared.0, "{at:8.3} {text}").expect("the record can be written");
    }

    /// Records that a server began to run a request.
    pub fn run(&self, service: &str, server: &str, attempt: &str, target: &str) {
        let short: String = target.chars().take(60).collect();
        self.line(&format!(
            "run      {attempt} at {server} of {service}: {short}"
        ));
        let run = Run {
            at: Instant::now(),
            service: service.to_owned(),
            server: server.to_owned(),
            attempt: attempt.to_owned(),
        };
        self.shared.lock().unwrap().1.push(run);
    }

    pub fn runs(&self) -> Vec<Run> {
        self.shared.lock().unwrap().1.clone()
    }

    /// The run of a client attempt.
    pub fn run_of(&self, attempt: &str) -> Option<Run> {
        self.runs().into_iter().find(|run| run.attempt == attempt)
    }
}

/// Waits until a moment.
pub fn wait_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

pub fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}
