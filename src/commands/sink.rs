//! Writes log lines on a separate thread, so that a blocked output never blocks the caller.

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

use crate::state::rate::TokenBucket;

/// Capacity of the queue, and largest number of lines in one write.
const QUEUE_MAX_LINES: usize = 4_096;
/// Time for which lines are collected into one write, to limit the wake-ups of the process.
const BATCH_DELAY_MS: u64 = 100;
/// Longest time for which [`Sink::close`] waits for the queued lines to be written.
const CLOSE_TIMEOUT_MS: u64 = 500;
/// Rate limit. At about 300 bytes per line this is 30 KB/s, which costs under 1% of a core.
const RATE_LINES_PER_S: f64 = 100.0;
/// Lines that the rate limit lets through at once.
const BURST_LINES: f64 = 1_000.0;

/// Queues lines and writes them on a separate thread.
///
/// When the queue is full or the rate limit is reached, lines are dropped and counted; the number
/// of dropped lines is written as a separate line.
#[derive(Debug, Clone)]
pub struct Sink(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    sender: Mutex<Option<SyncSender<String>>>,
    writer: Mutex<Option<JoinHandle<()>>>,
    bucket: Mutex<TokenBucket>,
    dropped: Arc<AtomicU64>,
}

impl Sink {
    /// Creates a sink that writes to `output`; `report` formats the line with the number of dropped
    /// lines.
    pub fn new<W: Write + Send + 'static>(output: W, report: fn(u64) -> String) -> Self {
        let (sender, receiver) = sync_channel(QUEUE_MAX_LINES);
        let dropped: Arc<AtomicU64> = Arc::default();
        let counter = dropped.clone();
        let bucket = TokenBucket::new(
            RATE_LINES_PER_S,
            BURST_LINES,
            BURST_LINES,
            Instant::now().into(),
        );
        let writer = thread::spawn(move || write(&receiver, output, &counter, report));
        Self(Arc::new(Shared {
            sender: Mutex::new(Some(sender)),
            writer: Mutex::new(Some(writer)),
            bucket: Mutex::new(bucket),
            dropped,
        }))
    }

    /// Queues a line, which must end with a line feed, or drops it. Lines with `is_exempt` are not
    /// subject to the rate limit.
    ///
    /// ```
    /// use comfreybay::commands::sink::Sink;
    /// let sink = Sink::new(std::io::sink(), |dropped| format!("{dropped} lines were dropped\n"));
    /// sink.try_write("node starts\n".to_owned(), true);
    /// assert_eq!(sink.dropped(), 0);
    /// sink.close();
    /// ```
    pub fn try_write(&self, line: String, is_exempt: bool) {
        self.try_write_with(|| line, is_exempt);
    }

    /// Like [`Sink::try_write`], but formats the line only if the rate limit lets it through.
    pub fn try_write_with(&self, format: impl FnOnce() -> String, is_exempt: bool) {
        let shared = &self.0;
        let take = |bucket: &mut TokenBucket| bucket.try_take(Instant::now().into());
        let allowed = is_exempt || shared.bucket.lock().is_ok_and(|mut b| take(&mut b));
        let line = allowed.then(format);
        let sender = shared.sender.lock();
        let queued = line.is_some_and(|line| {
            sender.is_ok_and(|s| s.as_ref().is_some_and(|s| s.try_send(line).is_ok()))
        });
        if !queued {
            shared.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Number of dropped lines that have not been reported in the output yet.
    pub fn dropped(&self) -> u64 {
        self.0.dropped.load(Ordering::Relaxed)
    }

    /// Stops taking lines, and waits a limited time for the queued ones to be written.
    pub fn close(&self) {
        let sender = self.0.sender.lock().map(|mut s| s.take());
        drop(sender);
        let writer = self.0.writer.lock().ok().and_then(|mut w| w.take());
        let Some(writer) = writer else {
            return;
        };
        let deadline = Instant::now() + Duration::from_millis(CLOSE_TIMEOUT_MS);
        while !writer.is_finished() && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(5));
        }
        // A writer that is still blocked on the output ends with the process.
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
        let mut batch_lines = 1;
        let deadline = Instant::now() + Duration::from_millis(BATCH_DELAY_MS);
        while batch_lines < QUEUE_MAX_LINES {
            let left = deadline.saturating_duration_since(Instant::now());
            match lines.recv_timeout(left) {
                Ok(line) => {
                    batch.push_str(&line);
                    batch_lines += 1;
                }
                Err(RecvTimeoutError::Timeout) => break,
                Err(RecvTimeoutError::Disconnected) => {
                    open = false;
                    break;
                }
            }
        }
        let unreported = dropped.swap(0, Ordering::Relaxed);
        if unreported > 0 {
            batch.push_str(&report(unreported));
        }
        // A failed write cannot be reported, as this is the log output itself.
        let _ = output
            .write_all(batch.as_bytes())
            .and_then(|()| output.flush());
    }
}

#[cfg(test)]
mod tests;
