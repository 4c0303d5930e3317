//! Bounded, rate-limited queue of log lines.

use std::io::Write;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Instant;

use crate::prelude::*;

/// Maximum number of queued lines; more are dropped.
const QUEUE_CAPACITY_LINES: usize = 4_096;
/// Default limit of log lines written per second.
pub const DEFAULT_LOG_LINES_PER_SECOND: u32 = 800;
/// Length of the window over which the rate of lines is limited.
const RATE_WINDOW: Duration = Duration::from_millis(500);
/// Number of [`RATE_WINDOW`]s in one second.
const WINDOWS_PER_SECOND: u32 = 2;
/// Interval at which a flush tries again while the queue is full.
const FLUSH_RETRY_INTERVAL: Duration = Duration::from_millis(2);

/// What is queued for the writer thread.
#[derive(Debug)]
enum Queued {
    Line(String),
    /// A line that the rate does not limit.
    Unlimited(String),
    /// Reports that all lines before it are written.
    Flush(SyncSender<()>),
}

/// Bounded queue of log lines in front of a writer thread.
///
/// Logging never blocks: lines that exceed the queue or the rate are dropped, and their count is
/// written with the first line of the next window and at the end.
#[derive(Debug)]
pub struct LogQueue {
    tx: SyncSender<Queued>,
    dropped: Arc<AtomicU64>,
}

impl LogQueue {
    /// Starts the writer thread, which writes at most `lines_per_second` lines per second and
    /// ends when the queue is dropped.
    ///
    /// # Errors
    /// When the thread cannot be started.
    pub fn start(out: impl Write + Send + 'static, lines_per_second: u32) -> std::io::Result<Self> {
        let (tx, rx) = sync_channel(QUEUE_CAPACITY_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let mut writer = Writer {
            out,
            rx,
            lines_per_window: lines_per_second.div_ceil(WINDOWS_PER_SECOND),
            dropped: dropped.clone(),
        };
        let builder = std::thread::Builder::new().name("log".into());
        builder.spawn(move || {
            // A panic costs the line that was being written.
            while catch_unwind(AssertUnwindSafe(|| writer.run())).is_err() {}
        })?;
        Ok(Self { tx, dropped })
    }

    /// Queues a line, which includes its line end; when the queue is full, counts it as dropped.
    pub fn push(&self, line: String) {
        if self.tx.try_send(Queued::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Queues a line that the rate does not limit, such as the last one of the process.
    pub fn push_unlimited(&self, line: String) {
        if self.tx.try_send(Queued::Unlimited(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until all queued lines are written, for `timeout` at most; `false` if they are not.
    #[must_use]
    pub fn flush(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let (tx, rx) = sync_channel(1);
        let mut marker = Queued::Flush(tx);
        while Instant::now() < deadline {
            match self.tx.try_send(marker) {
                Ok(()) => {
                    let left = deadline.saturating_duration_since(Instant::now());
                    return rx.recv_timeout(left).is_ok();
                }
                Err(TrySendError::Full(unsent)) => marker = unsent,
                Err(TrySendError::Disconnected(_)) => return false,
            }
            std::thread::sleep(FLUSH_RETRY_INTERVAL);
        }
        false
    }
}

struct Writer<W> {
    out: W,
    rx: Receiver<Queued>,
    /// Maximum number of lines written in one window.
    lines_per_window: u32,
    dropped: Arc<AtomicU64>,
}

impl<W: Write> Writer<W> {
    fn run(&mut self) {
        let mut window_start = Instant::now();
        let mut lines = 0;
        while let Ok(queued) = self.rx.recv() {
            let line = match queued {
                Queued::Line(line) => line,
                Queued::Unlimited(line) => {
                    let _ = self.out.write_all(line.as_bytes());
                    continue;
                }
                Queued::Flush(done) => {
                    let _ = self.out.flush();
                    let _ = done.send(());
                    continue;
                }
            };
            if window_start.elapsed() >= RATE_WINDOW {
                window_start = Instant::now();
                lines = 0;
                self.report_dropped();
            }
            lines += 1;
            if lines > self.lines_per_window {
                self.dropped.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            // A failure of the log output cannot be reported anywhere.
            let _ = self.out.write_all(line.as_bytes());
        }
        self.report_dropped();
    }

    fn report_dropped(&mut self) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let _ = writeln!(
                self.out,
                "level=warn event=log_lines_dropped count={dropped}"
            );
        }
    }
}
