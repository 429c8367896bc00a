//! Writes the log to standard output without ever blocking a request.
//!
//! Lines are appended to a bounded buffer that a separate thread writes out. Once
//! it is half full, lines about dispatched and served requests are dropped, which
//! leaves room for refusals, failures and changes of the cluster view; once it is
//! full, all lines are. Dropped lines are counted.

use std::io;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use flexi_logger::writers::LogWriter;
use flexi_logger::DeferredNow;
use log::Record;

/// Log target of lines that report a dispatched or served request.
pub const SUCCESS: &str = "success";

/// Interval at which the buffer is written out.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct Buffer {
    bytes: Mutex<Vec<u8>>,
    dropped: AtomicU64,
}

/// A bounded log buffer; clones share it.
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
                thread::sleep(FLUSH_INTERVAL);
                writer.write_out(&mut io::stdout());
            })?;
        Ok(sink)
    }

    /// Creates a buffer of `limit` bytes that only calls of [`LogSink::write_out`] write out.
    pub fn detached(router: Arc<str>, limit: usize) -> LogSink {
        LogSink {
            buffer: Arc::default(),
            router,
            limit,
        }
    }

    /// Appends a line, or drops and counts it if the buffer has no room for its kind.
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

    /// Returns how many lines were dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.buffer.dropped.load(Ordering::Relaxed)
    }

    /// Writes all buffered lines to standard output, as far as its reader takes them within
    /// `limit`. A reader that takes nothing would keep the process from ending.
    pub fn flush_within(&self, limit: Duration) {
        let (tx, rx) = mpsc::channel();
        let sink = self.clone();
        let flush = thread::Builder::new().spawn(move || {
            sink.write_out(&mut io::stdout());
            // Fails if the receiver is gone.
            let _ = tx.send(());
        });
        if flush.is_ok() {
            // An error means that the time is over.
            let _ = rx.recv_timeout(limit);
        }
    }

    /// Writes all buffered lines to `w` and empties the buffer.
    pub fn write_out(&self, w: &mut dyn Write) {
        let bytes = {
            let bytes = self.buffer.bytes.lock();
            let mut bytes = bytes.unwrap_or_else(PoisonError::into_inner);
            std::mem::take(&mut *bytes)
        };
        if bytes.is_empty() {
            return;
        }
        // A failure of the log's own output can't be logged.
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
