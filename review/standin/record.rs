//! What callers sent and got, and what servers ran.

use std::{
    fmt::Write as _,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use crate::net::Message;

/// A request that a server began to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Duration,
    pub server: usize,
    pub instance: String,
    pub id: String,
    pub path: String,
    pub end: Option<(Duration, String)>,
}

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct Sent {
    pub at: Duration,
    pub node: usize,
    pub id: String,
    pub path: String,
    pub idempotent: bool,
    /// Status of the answer, or how the attempt ended without one.
    pub end: Option<(Duration, Result<u16, String>)>,
}

pub struct Record {
    start: Instant,
    next: AtomicU64,
    pub runs: Mutex<Vec<Run>>,
    pub sent: Mutex<Vec<Sent>>,
    pub notes: Mutex<Vec<(Duration, String)>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            next: AtomicU64::new(1),
            runs: Mutex::default(),
            sent: Mutex::default(),
            notes: Mutex::default(),
        }
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// An attempt ID that was not used before.
    pub fn new_id(&self) -> String {
        format!(
            "{:016x}",
            self.next.fetch_add(1, Ordering::SeqCst) * 0x9e37_79b9_7f4a_7c15 >> 1
        )
    }

    pub fn note(&self, text: String) {
        self.notes.lock().unwrap().push((self.now(), text));
    }

    pub fn began(&self, server: usize, instance: &str, request: &Message) -> usize {
        let mut runs = self.runs.lock().unwrap();
        runs.push(Run {
            at: self.now(),
            server,
            instance: instance.to_owned(),
            id: request.header("x-attempt-id").to_owned(),
            path: request.target().to_owned(),
            end: None,
        });
        runs.len() - 1
    }

    pub fn ended(&self, run: usize, how: &str) {
        self.runs.lock().unwrap()[run].end = Some((self.now(), how.to_owned()));
    }

    pub fn sent(&self, node: usize, id: &str, path: &str, idempotent: bool) -> usize {
        let mut sent = self.sent.lock().unwrap();
        sent.push(Sent {
            at: self.now(),
            node,
            id: id.to_owned(),
            path: path.to_owned(),
            idempotent,
            end: None,
        });
        sent.len() - 1
    }

    pub fn answered(&self, sent: usize, how: Result<u16, String>) {
        self.sent.lock().unwrap()[sent].end = Some((self.now(), how));
    }

    /// All of it as text, in order of time.
    pub fn text(&self) -> String {
        let mut lines = Vec::new();
        for (at, note) in self.notes.lock().unwrap().iter() {
            lines.push((*at, note.clone()));
        }
        for s in self.sent.lock().unwrap().iter() {
            let kind = if s.idempotent {
                "idempotent"
            } else {
                "non_idempotent"
            };
            lines.push((
                s.at,
                format!("sent {} {} {kind} at node {}", s.id, s.path, s.node),
            ));
            if let Some((at, end)) = &s.end {
                let end = match end {
                    Ok(status) => status.to_string(),
                    Err(cause) => cause.clone(),
                };
                lines.push((*at, format!("answered {} {end}", s.id)));
            }
        }
        for (number, r) in self.runs.lock().unwrap().iter().enumerate() {
            let run = format!("run {number} of {} {}", r.id, r.path);
            lines.push((
                r.at,
                format!("{run} began at server {} {}", r.server, r.instance),
            ));
            if let Some((at, how)) = &r.end {
                lines.push((*at, format!("{run} ended: {how}")));
            }
        }
        lines.sort();
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{:9.3} {line}", at.as_secs_f64());
        }
        text
    }
}
