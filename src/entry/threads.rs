//! Threads that run an executor until they are stopped.

use std::io;
use std::thread::JoinHandle;

use async_executor::Executor;

use crate::prelude::*;

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

    /// Stops and joins the threads; tasks left on the executor are not polled again.
    pub(crate) fn stop(self) {
        self.stop.close();
        for handle in self.handles {
            let _ = handle.join();
        }
    }
}
