//! A program started as a process of its own.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Error, Result};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{Pid, Signal, kill_process};

/// A running program that told its addresses on standard output.
#[derive(Debug)]
pub struct Process {
    child: Child,
    addresses: HashMap<String, SocketAddr>,
}

impl Process {
    /// Starts `program`, a file beside this one or one folder up, and waits for its `ready` line.
    ///
    /// # Errors
    /// When it cannot be started or ends without that line.
    pub fn start(program: &str, args: &[&str]) -> Result<Self> {
        let mut child = Command::new(beside(program)?)
            .args(args)
            .stdout(Stdio::piped())
            .spawn()?;
        let out = child.stdout.take().ok_or(Error::other("no output"))?;
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line)?;
        let Some(words) = line.trim().strip_prefix("ready ") else {
            let _ = child.kill();
            let _ = child.wait();
            return Err(Error::other(format!("{program} is not ready: {line:?}")));
        };
        let pairs = words.split(' ').filter_map(|word| word.split_once('='));
        let addresses = pairs.filter_map(|(k, v)| Some((k.to_owned(), v.parse().ok()?)));
        Ok(Self {
            child,
            addresses: addresses.collect(),
        })
    }

    /// Runs `program` to its end and returns its exit status and standard output.
    ///
    /// # Errors
    /// When it cannot be started.
    pub fn output(program: &str, args: &[&str]) -> Result<(i32, String)> {
        let done = Command::new(beside(program)?).args(args).output()?;
        let mut text = String::from_utf8_lossy(&done.stdout).into_owned();
        text.push_str(&String::from_utf8_lossy(&done.stderr));
        Ok((done.status.code().unwrap_or(-1), text))
    }

    /// Address told under `name`.
    ///
    /// # Panics
    /// When the program told no such address.
    #[must_use]
    pub fn address(&self, name: &str) -> SocketAddr {
        self.addresses[name]
    }

    /// Number of the process.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Asks the process to end gracefully (SIGTERM).
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Pauses the process (SIGSTOP).
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a paused process go on (SIGCONT).
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Ends the process at once (SIGKILL) and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the end of the process.
    ///
    /// # Errors
    /// When the process cannot be waited for.
    pub fn wait(&mut self) -> Result<ExitStatus> {
        self.child.wait()
    }

    /// The exit status, once the process has ended.
    #[must_use]
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Finds a program beside the running one; tests run one folder below the programs.
fn beside(program: &str) -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folders = own.ancestors().skip(1).take(2);
    let found = folders.map(|f| f.join(program)).find(|p| p.is_file());
    found.ok_or_else(|| Error::other(format!("{program} is not built")))
}
