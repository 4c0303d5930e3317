//! A settings file that may be written while this process starts.

use std::io;
use std::path::{Path, PathBuf};
use std::time::Instant;

use async_io::Timer;

use crate::prelude::*;
use crate::telemetry::PROCESS_LOG;

/// Time for which a file has to stay the same until it is used.
const SETTLE_TIME: Duration = Duration::from_millis(50);
/// The same for a file without a line end after its last line, which may be cut off.
const OPEN_END_SETTLE_TIME: Duration = Duration::from_millis(250);
/// Longest wait for a file that is missing or incomplete.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval of log lines during that wait.
const LINE_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which a file in use is checked for changes.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Why the contents of a settings file cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ContentError {
    /// Something is missing that may still be written.
    Incomplete(String),
    /// Something is wrong that does not go away by itself.
    Wrong(String),
}

/// A settings file.
#[derive(Clone, Debug)]
pub struct SettingsFile {
    path: PathBuf,
    /// The contents that were last used.
    used: Vec<u8>,
}

impl SettingsFile {
    /// Names a file, which need not exist yet.
    #[must_use]
    pub fn new(path: impl Into<PathBuf>) -> Self {
        Self {
            path: path.into(),
            used: Vec::new(),
        }
    }

    /// The path of the file.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Reads the file with `parse` once it is complete and stays the same.
    ///
    /// # Errors
    /// When the file is wrong, or is still missing or incomplete after 20 s.
    pub async fn read<T>(
        &mut self,
        parse: impl Fn(&[u8]) -> Result<T, ContentError>,
    ) -> io::Result<T> {
        let started = Instant::now();
        let mut last_line: Option<Instant> = None;
        loop {
            let reason = match self.read_settled().await {
                Ok(Some(contents)) => match parse(&contents) {
                    Ok(parsed) => {
                        self.used = contents;
                        return Ok(parsed);
                    }
                    Err(ContentError::Wrong(reason)) => return Err(self.error(&reason)),
                    Err(ContentError::Incomplete(reason)) => reason,
                },
                Ok(None) => "it is being written".to_owned(),
                Err(err) => err.to_string(),
            };
            if started.elapsed() > READ_TIMEOUT {
                return Err(self.error(&reason));
            }
            if last_line.is_none_or(|at| at.elapsed() > LINE_INTERVAL) {
                last_line = Some(Instant::now());
                let (path, waited_ms) = (self.path.display(), started.elapsed().as_millis());
                log::warn!(
                    target: PROCESS_LOG,
                    "event=settings_waiting path={path} waited_ms={waited_ms} error={reason:?}",
                );
            }
        }
    }

    /// Completes when the file has other contents than those last used.
    pub async fn changed(&self) {
        loop {
            Timer::after(CHECK_INTERVAL).await;
            // A file that cannot be read is about to be replaced, or read again at the next start.
            if std::fs::read(&self.path).is_ok_and(|contents| contents != self.used) {
                return;
            }
        }
    }

    /// Reads the file twice; `None` if it changed meanwhile.
    async fn read_settled(&self) -> io::Result<Option<Vec<u8>>> {
        let first = std::fs::read(&self.path);
        let closed = first.as_ref().is_ok_and(|text| text.ends_with(b"\n"));
        let time = if closed {
            SETTLE_TIME
        } else {
            OPEN_END_SETTLE_TIME
        };
        Timer::after(time).await;
        let (first, second) = (first?, std::fs::read(&self.path)?);
        Ok((first == second).then_some(second))
    }

    fn error(&self, reason: &str) -> io::Error {
        io::Error::other(format!("settings file {}: {reason}", self.path.display()))
    }
}
