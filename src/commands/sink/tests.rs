use std::{
    io,
    sync::mpsc::{Receiver, Sender, channel},
};

use super::*;

/// An output that blocks until `resume` is closed, and forwards what is written.
struct BlockedOutput {
    resume: Receiver<()>,
    written: Sender<String>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.resume.recv();
        let text = String::from_utf8_lossy(bytes).into_owned();
        let _ = self.written.send(text);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn report(dropped: u64) -> String {
    format!("dropped={dropped}\n")
}

/// Number of lines written, and of dropped lines as reported in the output.
fn count(output: &Receiver<String>) -> (usize, usize) {
    let all: String = output.iter().collect();
    let reports = all.lines().filter_map(|l| l.strip_prefix("dropped="));
    let dropped = reports.map(|n| n.parse::<usize>().expect("a number")).sum();
    let written = all.lines().filter(|l| !l.contains('=')).count();
    (written, dropped)
}

/// Guards against a node that blocks on the reader of its log, and against lines that are dropped
/// without being reported.
#[test]
fn blocked_output_drops_lines_without_blocking() {
    let ((unblock, resume), (written, output)) = (channel(), channel());
    let sink = Sink::new(BlockedOutput { resume, written }, report);
    let start = Instant::now();
    for n in 0..3 * QUEUE_MAX_LINES {
        sink.try_write(format!("{n}\n"), true);
    }
    assert!(start.elapsed() < Duration::from_secs(5));
    drop(unblock);
    sink.close();
    let (written, dropped) = count(&output);
    assert_eq!(
        written + dropped,
        3 * QUEUE_MAX_LINES,
        "each line is accounted for"
    );
    // One batch and the queue.
    assert!(dropped >= QUEUE_MAX_LINES, "{dropped}");
    assert!(written >= QUEUE_MAX_LINES, "{written}");
}

/// Guards against request lines whose number grows with the load.
#[test]
fn request_lines_are_rate_limited() {
    let ((unblock, resume), (written, output)) = (channel(), channel());
    drop(unblock);
    let sink = Sink::new(BlockedOutput { resume, written }, report);
    for n in 0..10_000 {
        sink.try_write(format!("{n}\n"), false);
    }
    sink.close();
    let (written, reported) = count(&output);
    let dropped = reported + sink.dropped() as usize;
    assert_eq!(written + dropped, 10_000, "each line is accounted for");
    let bound = 10_000 - BURST_LINES as usize - QUEUE_MAX_LINES;
    assert!(dropped >= bound, "{dropped}");
}

/// Guards against processor time spent on request lines that are dropped, which is most when the
/// node refuses most.
#[test]
fn dropped_request_lines_are_not_formatted() {
    let sink = Sink::new(io::sink(), report);
    let mut formatted = 0;
    for _ in 0..10_000 {
        let line = || {
            formatted += 1;
            "line\n".to_owned()
        };
        sink.try_write_with(line, false);
    }
    assert!(formatted < 2_000, "{formatted}");
    sink.close();
}
