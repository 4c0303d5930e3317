//! Threads that run an executor until they are stopped.

use std::io;
use std::thread::JoinHandle;
use std::time::Instant;

use async_executor::Executor;

use crate::prelude::*;
use crate::telemetry::PROCESS_LOG;

/// Longest wait for a thread to end.
const JOIN_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which threads are checked meanwhile.
const JOIN_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Threads of one executor.
#[derive(Debug)]
pub(crate) struct Threads {
    stop: async_channel::Sender<()>,
    handles: Vec<JoinHandle<()>>,
}

impl Threads {
    /// Starts `count` threads named `name` that run `ex`.
    pub(crate) fn start(name: &str, count: usize, ex: &Arc<Executor<'static>>) -> io::Result<Self> {
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let mut handles = Vec::with_capacity(count);
        for n in 0..count {
            let (ex, stopped) = (ex.clone(), stopped.clone());
            let run = move || {
                let _ = async_io::block_on(ex.run(stopped.recv()));
            };
            let name = format!("{name}-{n}");
            let builder = std::thread::Builder::new().name(name.clone());
            let handle = builder.spawn(run).map_err(|err| {
                let reason = format!("cannot start thread {name}: {err}");
                io::Error::new(err.kind(), reason)
            })?;
            handles.push(handle);
        }
        Ok(Self { stop, handles })
    }

    /// Stops the threads and waits for them, at most for [`JOIN_TIMEOUT`]; tasks left on the executor
    /// are not polled again. A thread that a task blocks must not keep the process from ending.
    pub(crate) fn stop(self) {
        self.stop.close();
        let stopped = Instant::now();
        while self.handles.iter().any(|handle| !handle.is_finished()) {
            if stopped.elapsed() >= JOIN_TIMEOUT {
                log::warn!(target: PROCESS_LOG, "event=thread_blocked");
                return;
            }
            std::thread::sleep(JOIN_POLL_INTERVAL);
        }
    }
}
