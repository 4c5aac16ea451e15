use std::{
    io,
    sync::mpsc::{Receiver, Sender, channel},
};

use super::*;

/// An output that blocks until it is told to go on, and passes on what it gets.
struct Slow {
    go: Receiver<()>,
    got: Sender<String>,
}

impl Write for Slow {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.go.recv();
        let text = String::from_utf8_lossy(bytes).into_owned();
        let _ = self.got.send(text);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn report(dropped: u64) -> String {
    format!("dropped={dropped}\n")
}

/// Guards against a node that waits for the reader of its log, and against lines that are lost
/// without a word.
#[test]
fn slow_reader_costs_lines_not_time() {
    let ((go, hold), (got, read)) = (channel(), channel());
    let sink = Sink::new(Slow { go: hold, got }, report);
    let began = Instant::now();
    for n in 0..3 * LINES_MAX {
        sink.take(format!("{n}\n"), true);
    }
    assert!(began.elapsed() < Duration::from_secs(5));
    assert!(sink.dropped() > 0);
    drop(go);
    sink.close();
    let all: String = read.iter().collect();
    assert!(all.contains("dropped="), "the loss is told");
    let kept = all.lines().filter(|l| !l.contains('=')).count();
    assert!(kept >= LINES_MAX, "{kept}");
}

/// Guards against a log that grows with the load.
#[test]
fn lines_for_requests_are_bounded() {
    let sink = Sink::new(io::sink(), report);
    for n in 0..10_000 {
        sink.take(format!("{n}\n"), false);
    }
    let rare = sink.dropped();
    assert!(
        rare >= 10_000 - LINES_BURST as u64 - LINES_MAX as u64,
        "{rare}"
    );
    sink.close();
}
