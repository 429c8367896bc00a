//! Writes the log to standard output without ever making a request wait.
//!
//! Lines gather in a bounded buffer that a thread of its own writes out. When it
//! is half full, lines of requests that go well are dropped, so that refusals,
//! failures and changes of belief still find room; when it is full, all are. What
//! is dropped is counted.

use std::io;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use flexi_logger::writers::LogWriter;
use flexi_logger::DeferredNow;
use log::Record;

/// Target of lines about requests that go well.
pub const SUCCESS: &str = "success";

/// Time between two writes.
const FLUSH: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct Buffer {
    bytes: Mutex<Vec<u8>>,
    dropped: AtomicU64,
}

/// The log's buffer.
#[derive(Clone, Debug)]
pub struct LogSink {
    buffer: Arc<Buffer>,
    router: Arc<str>,
    limit: usize,
}

impl LogSink {
    /// Creates a buffer of `limit` bytes and the thread that writes it out.
    pub fn start(router: Arc<str>, limit: usize) -> io::Result<LogSink> {
        let sink = LogSink::detached(router, limit);
        let writer = sink.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .stack_size(64 << 10)
            .spawn(move || loop {
                thread::sleep(FLUSH);
                writer.write_out(&mut io::stdout());
            })?;
        Ok(sink)
    }

    /// Creates a buffer that is written out by calls of [`LogSink::write_out`] only.
    pub fn detached(router: Arc<str>, limit: usize) -> LogSink {
        LogSink {
            buffer: Arc::default(),
            router,
            limit,
        }
    }

    /// Adds a line, or drops it if the buffer has no room for its kind.
    pub fn push(&self, line: &[u8], is_success: bool) {
        let limit = if is_success {
            self.limit / 2
        } else {
            self.limit
        };
        let bytes = self.buffer.bytes.lock();
        let mut bytes = bytes.unwrap_or_else(PoisonError::into_inner);
        if bytes.len() + line.len() > limit {
            self.buffer.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        bytes.extend_from_slice(line);
    }

    /// Returns how many lines were dropped so far.
    pub fn dropped(&self) -> u64 {
        self.buffer.dropped.load(Ordering::Relaxed)
    }

    /// Writes out all lines.
    pub fn write_out(&self, w: &mut dyn Write) {
        let bytes = {
            let bytes = self.buffer.bytes.lock();
            let mut bytes = bytes.unwrap_or_else(PoisonError::into_inner);
            std::mem::take(&mut *bytes)
        };
        if bytes.is_empty() {
            return;
        }
        // There is nowhere else to tell that standard output fails.
        let _ = w.write_all(&bytes).and_then(|()| w.flush());
    }
}

impl LogWriter for LogSink {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(256);
        write!(
            line,
            "time={} level={} router={} ",
            now.format("%Y-%m-%dT%H:%M:%S%.3fZ"),
            record.level(),
            self.router
        )?;
        writeln!(line, "{}", record.args())?;
        self.push(&line, record.target() == SUCCESS);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        self.write_out(&mut io::stdout());
        Ok(())
    }

    fn max_log_level(&self) -> log::LevelFilter {
        log::LevelFilter::Info
    }
}
