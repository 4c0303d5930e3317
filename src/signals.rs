//! Signals that this process handles.

use std::io;

use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};

use crate::telemetry::PROCESS_LOG;

/// Signals that ask the process to end.
const STOP_SIGNALS: [Signal; 2] = [Signal::Term, Signal::Int];

/// The signals of this process from the moment it is created.
#[derive(Debug)]
pub struct ProcessSignals {
    signals: Signals,
}

impl ProcessSignals {
    /// Handles signals instead of their default actions.
    ///
    /// # Errors
    /// When the system allows no handler or no descriptor for it.
    pub fn install() -> io::Result<Self> {
        let mut signals = Signals::new(STOP_SIGNALS)?;
        signals.add_signals([Signal::Hup])?;
        Ok(Self { signals })
    }

    /// Completes when the process is asked to end; logs all signals until then.
    pub async fn stop_requested(&mut self) {
        while let Some(signal) = self.signals.next().await {
            match signal {
                Ok(Signal::Hup) => log::info!("event=settings_changed"),
                Ok(signal) => {
                    log::info!(target: PROCESS_LOG, "event=stop_requested signal={signal:?}");
                    return;
                }
                Err(err) => log::warn!("event=signal_failed error={:?}", err.to_string()),
            }
        }
    }

    /// Logs all signals; never completes.
    pub async fn log_all(&mut self) {
        loop {
            self.stop_requested().await;
        }
    }

    /// Completes with the result of `f`, or with `None` as soon as the process is asked to end.
    pub async fn unless_stopped<T>(&mut self, f: impl Future<Output = T>) -> Option<T> {
        let stopped = async {
            self.stop_requested().await;
            None
        };
        stopped.or(async { Some(f.await) }).await
    }
}
