//! The log buffer stays within its limit and drops lines about successes first.

use std::io;
use std::io::Write;

use gateway::LogSink;

const LINE: &[u8] = b"0123456789abcdef0123456789abcdef";

fn sink() -> LogSink {
    LogSink::detached("r1".into(), LINE.len() * 10)
}

/// A full pipe without a reader: every write would block.
struct FullPipe;

impl Write for FullPipe {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        Err(io::ErrorKind::WouldBlock.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_burst_of_lines_stays_within_the_limit_and_dropped_ones_are_counted() {
    let sink = sink();
    for _ in 0..1_000 {
        sink.push(LINE, false);
    }
    let mut written = Vec::new();
    sink.write_out(&mut written);
    assert_eq!(written.len(), LINE.len() * 10);
    assert_eq!(sink.dropped(), 990);
}

#[test]
fn success_lines_leave_room_for_failures() {
    let sink = sink();
    for _ in 0..100 {
        sink.push(LINE, true);
    }
    assert_eq!(sink.dropped(), 95);
    for _ in 0..5 {
        sink.push(LINE, false);
    }
    assert_eq!(sink.dropped(), 95);
}

#[test]
fn a_full_pipe_does_not_block_and_frees_the_buffer() {
    let sink = sink();
    sink.push(LINE, false);
    sink.write_out(&mut FullPipe);
    for _ in 0..10 {
        sink.push(LINE, false);
    }
    assert_eq!(sink.dropped(), 0);
}
