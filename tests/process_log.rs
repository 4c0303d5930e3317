//! Log lines on the life of a process.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use guavahold::telemetry::{LogQueue, ProcessLimits, ProcessUsage, UsageReporter};

const MB: u64 = 1024 * 1024;
/// Longest wait for the writer thread.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl SharedBuffer {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).unwrap()
    }
}

impl Write for SharedBuffer {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// An output that never takes a byte.
struct BlockedOutput(std::sync::mpsc::Receiver<()>);

impl Write for BlockedOutput {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        let _ = self.0.recv();
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against a process whose last line is lost, as its exit outruns the log's writer or a flood
/// uses up the rate of lines.
#[test]
fn log_queue_flush_writes_the_last_line_after_a_flood() {
    let out = SharedBuffer::default();
    let queue = LogQueue::start(out.clone(), 10).unwrap();
    for n in 0..2_000 {
        queue.push(format!("event=line n={n}\n"));
    }
    queue.push_unlimited("event=stopped\n".to_owned());
    assert!(queue.flush(FLUSH_TIMEOUT));
    assert!(out.text().ends_with("event=stopped\n"));
    assert!(out.text().lines().count() < 100);
}

/// Guards against an exit that hangs since nobody reads the log.
#[test]
fn log_queue_flush_gives_up_on_a_blocked_output() {
    let (unblock, blocked) = std::sync::mpsc::channel();
    let queue = LogQueue::start(BlockedOutput(blocked), 10).unwrap();
    for n in 0..10_000 {
        queue.push(format!("event=line n={n}\n"));
    }
    assert!(!queue.flush(Duration::from_millis(50)));
    drop(unblock);
}

#[test]
fn process_usage_parse_reads_memory_and_threads() {
    let status = "Name:\tx\nVmHWM:\t    2048 kB\nVmRSS:\t    1024 kB\nThreads:\t4\n";
    let usage = ProcessUsage::parse(status);
    assert_eq!(usage.memory_bytes, Some(MB));
    assert_eq!(usage.peak_bytes, Some(2 * MB));
    assert_eq!(usage.threads, Some(4));
    assert_eq!(ProcessUsage::parse(""), ProcessUsage::default());
}

#[test]
fn process_usage_read_sees_this_process() {
    let usage = ProcessUsage::read();
    assert!(usage.memory_bytes > Some(0));
    assert!(usage.threads > Some(0));
    assert!(usage.descriptors > Some(0));
}

/// Guards against a process that the system ends for its memory without a line that tells of the rise.
#[test]
fn usage_reporter_logs_a_rise_at_once() {
    let limits = ProcessLimits {
        memory_bytes: 160 * MB,
        descriptors: 1_600,
    };
    let mut reporter = UsageReporter::new(limits);
    let mut is_due = |memory_mb: u64, descriptors: u64| {
        reporter.is_line_due(ProcessUsage {
            memory_bytes: Some(memory_mb * MB),
            descriptors: Some(descriptors),
            ..ProcessUsage::default()
        })
    };
    assert!(is_due(20, 10), "first reading");
    assert!(!is_due(70, 10), "far from the limit");
    assert!(is_due(95, 10), "over half of the memory");
    assert!(!is_due(96, 10), "as much as before");
    assert!(is_due(20, 1_500), "most descriptors");
    let due = (0..20).filter(|_| is_due(20, 10)).count();
    assert_eq!(due, 2, "at intervals without a rise");
}

/// An output whose first write panics.
struct PanickingOutput(SharedBuffer, bool);

impl Write for PanickingOutput {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        assert!(std::mem::replace(&mut self.1, true), "planned panic");
        self.0.write(buf)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against a process that logs nothing more after its writer thread panicked.
#[test]
fn log_queue_writes_on_after_its_output_panicked() {
    let out = SharedBuffer::default();
    let queue = LogQueue::start(PanickingOutput(out.clone(), false), 100).unwrap();
    queue.push("event=lost\n".to_owned());
    queue.push("event=next\n".to_owned());
    queue.push_unlimited("event=stopped\n".to_owned());
    assert!(queue.flush(FLUSH_TIMEOUT));
    assert!(out.text().ends_with("event=next\nevent=stopped\n"));
}
