//! Log lines to standard output without waiting for it.

use std::{
    io::Write,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// Lines that wait to be written, and lines written together; more are dropped and counted.
const LINES_MAX: usize = 4_096;
/// Lines are written together after this time, which bounds the wake-ups of the process.
const BATCH_MS: u64 = 100;
/// Longest time that the end of the process waits for the last lines.
const CLOSE_WAIT_MS: u64 = 500;
/// Lines that may be written per second on average, and at once. At about 300 bytes a line this
/// is 30 KB/s, which costs a process under 1% of a core.
const LINES_PER_S: f64 = 100.0;
const LINES_BURST: f64 = 1_000.0;

/// Bound on the number of lines.
#[derive(Debug)]
struct Bucket {
    tokens: f64,
    filled: Instant,
}

impl Bucket {
    fn take(&mut self, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.filled = now;
        self.tokens = (self.tokens + passed * LINES_PER_S).min(LINES_BURST);
        let some = self.tokens >= 1.0;
        if some {
            self.tokens -= 1.0;
        }
        some
    }
}

/// Takes lines from the process and writes them on a thread of its own.
///
/// A line is dropped and counted rather than waited for. The number of dropped lines is written
/// as a line of its own.
#[derive(Debug, Clone)]
pub struct Sink(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    sender: Mutex<Option<SyncSender<String>>>,
    writer: Mutex<Option<JoinHandle<()>>>,
    bucket: Mutex<Bucket>,
    dropped: Arc<AtomicU64>,
}

impl Sink {
    /// A sink that writes to `output`. `report` makes the line that tells how many were dropped.
    pub fn new<W: Write + Send + 'static>(output: W, report: fn(u64) -> String) -> Self {
        let (sender, receiver) = sync_channel(LINES_MAX);
        let dropped: Arc<AtomicU64> = Arc::default();
        let lost = dropped.clone();
        let writer = thread::spawn(move || write(&receiver, output, &lost, report));
        Self(Arc::new(Shared {
            sender: Mutex::new(Some(sender)),
            writer: Mutex::new(Some(writer)),
            bucket: Mutex::new(Bucket {
                tokens: LINES_BURST,
                filled: Instant::now(),
            }),
            dropped,
        }))
    }

    /// Takes a line that already ends with a line feed. Lines that must not be lost for their
    /// number are not counted against the bound.
    ///
    /// ```
    /// use comfreybay::commands::sink::Sink;
    /// let sink = Sink::new(std::io::sink(), |dropped| format!("{dropped} lines were dropped\n"));
    /// sink.take("node starts\n".to_owned(), true);
    /// assert_eq!(sink.dropped(), 0);
    /// sink.close();
    /// ```
    pub fn take(&self, line: String, is_rare: bool) {
        let shared = &self.0;
        let bound = |bucket: &mut Bucket| bucket.take(Instant::now());
        let allowed = is_rare || shared.bucket.lock().is_ok_and(|mut b| bound(&mut b));
        let sender = shared.sender.lock();
        let sent =
            allowed && sender.is_ok_and(|s| s.as_ref().is_some_and(|s| s.try_send(line).is_ok()));
        if !sent {
            shared.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Lines dropped and not yet reported.
    pub fn dropped(&self) -> u64 {
        self.0.dropped.load(Ordering::Relaxed)
    }

    /// Writes the lines that wait, for a short time at most, and takes no more.
    pub fn close(&self) {
        let sender = self.0.sender.lock().map(|mut s| s.take());
        drop(sender);
        let writer = self.0.writer.lock().ok().and_then(|mut w| w.take());
        let Some(writer) = writer else {
            return;
        };
        let until = Instant::now() + Duration::from_millis(CLOSE_WAIT_MS);
        while !writer.is_finished() && Instant::now() < until {
            thread::sleep(Duration::from_millis(5));
        }
        // A writer that is still blocked by its reader ends with the process.
        if writer.is_finished() && writer.join().is_err() {
            self.0.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write<W: Write>(
    lines: &Receiver<String>,
    mut output: W,
    dropped: &AtomicU64,
    report: fn(u64) -> String,
) {
    let mut open = true;
    while open {
        let Ok(first) = lines.recv() else {
            return;
        };
        let mut batch = first;
        let mut lines_held = 1;
        let until = Instant::now() + Duration::from_millis(BATCH_MS);
        while lines_held < LINES_MAX {
            let left = until.saturating_duration_since(Instant::now());
            match lines.recv_timeout(left) {
                Ok(line) => {
                    batch.push_str(&line);
                    lines_held += 1;
                }
                Err(RecvTimeoutError::Timeout) => break,
                Err(RecvTimeoutError::Disconnected) => {
                    open = false;
                    break;
                }
            }
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            batch.push_str(&report(lost));
        }
        // There is nowhere else to tell that the output is gone.
        let _ = output
            .write_all(batch.as_bytes())
            .and_then(|()| output.flush());
    }
}

#[cfg(test)]
mod tests;
