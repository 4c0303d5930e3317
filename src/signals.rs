//! Signals that this process handles.

use std::io;
use std::sync::atomic::AtomicBool;
use std::time::Instant;

use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, Stream, StreamExt, stream};
use signal_hook::consts::SIGHUP;

use crate::prelude::*;
use crate::telemetry::PROCESS_LOG;

/// Signals that ask the process to end.
const STOP_SIGNALS: [Signal; 3] = [Signal::Term, Signal::Int, Signal::Quit];
/// Signals that mean nothing to this process and whose default action ends it. They are ignored: an
/// entry that serves is worth more than the intention of whoever sent one of them by mistake.
const IGNORED_SIGNALS: [Signal; 8] = [
    Signal::Usr1,
    Signal::Usr2,
    Signal::Alarm,
    Signal::Vtalarm,
    Signal::Prof,
    Signal::Io,
    Signal::Xcpu,
    Signal::Xfsz,
];
/// Interval at which an ignored signal is logged again. A log file at its size limit raises `SIGXFSZ`
/// at each line, so a line for each signal would never end.
const IGNORED_LINE_INTERVAL: Duration = Duration::from_secs(10);

/// The signals of this process from the moment it is created.
#[derive(Debug)]
pub struct ProcessSignals {
    signals: Signals,
    /// When each ignored signal was last logged.
    ignored_lines: SmallVec<[(Signal, Instant); 1]>,
}

impl ProcessSignals {
    /// Handles signals instead of their default actions.
    ///
    /// # Errors
    /// When the system allows no handler or no descriptor for it.
    pub fn install() -> io::Result<Self> {
        let signals = handlers().map_err(|err| {
            let reason = format!("cannot handle signals: {err}");
            io::Error::new(err.kind(), reason)
        })?;
        Ok(Self {
            signals,
            ignored_lines: SmallVec::new(),
        })
    }

    /// Completes when the process is asked to end; logs all signals until then.
    pub async fn stop_requested(&mut self) {
        while let Some(signal) = self.signals.next().await {
            match signal {
                Ok(Signal::Hup) => log::info!("event=settings_changed"),
                Ok(signal) if STOP_SIGNALS.contains(&signal) => {
                    log::info!(target: PROCESS_LOG, "event=stop_requested signal={signal:?}");
                    return;
                }
                Ok(signal) => self.log_ignored(signal),
                Err(err) => log::warn!("event=signal_failed error={:?}", err.to_string()),
            }
        }
    }

    /// An item each time that the process is asked to end; logs all signals.
    pub fn stop_requests(&mut self) -> impl Stream<Item = ()> {
        stream::unfold(self, |this| async {
            this.stop_requested().await;
            Some(((), this))
        })
    }

    /// Completes with the result of `f`, or with `None` as soon as the process is asked to end.
    pub async fn unless_stopped<T>(&mut self, f: impl Future<Output = T>) -> Option<T> {
        let stopped = async {
            self.stop_requested().await;
            None
        };
        stopped.or(async { Some(f.await) }).await
    }

    fn log_ignored(&mut self, signal: Signal) {
        let now = Instant::now();
        let last = self.ignored_lines.iter_mut().find(|(s, _)| *s == signal);
        match last {
            Some((_, at)) if now.duration_since(*at) < IGNORED_LINE_INTERVAL => return,
            Some((_, at)) => *at = now,
            None => self.ignored_lines.push((signal, now)),
        }
        log::warn!(target: PROCESS_LOG, "event=signal_ignored signal={signal:?}");
    }
}

fn handlers() -> io::Result<Signals> {
    // A reload may come as soon as the process exists, and a stream of signals first starts the
    // reactor's thread.
    signal_hook::flag::register(SIGHUP, Arc::new(AtomicBool::new(false)))?;
    let mut signals = Signals::new([Signal::Hup])?;
    signals.add_signals(STOP_SIGNALS)?;
    signals.add_signals(IGNORED_SIGNALS)?;
    Ok(signals)
}
