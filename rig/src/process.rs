//! Child processes that print their addresses when they are ready.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Error, Result};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{Pid, Signal, kill_process};

/// Child process that has printed its addresses; killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    addresses: HashMap<String, SocketAddr>,
}

impl Process {
    /// Starts `program` and waits for its `ready` line.
    ///
    /// The program must be in the directory of the current executable or in its parent.
    ///
    /// # Errors
    /// When it cannot be started or prints something else.
    pub fn start(program: &str, args: &[&str]) -> Result<Self> {
        let mut child = Command::new(program_path(program)?)
            .args(args)
            .stdout(Stdio::piped())
            .spawn()?;
        let out = child.stdout.take().ok_or(Error::other("no output"))?;
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line)?;
        let Some(address_list) = line.trim().strip_prefix("ready ") else {
            let _ = child.kill();
            let _ = child.wait();
            return Err(Error::other(format!("{program} is not ready: {line:?}")));
        };
        let pairs = address_list
            .split(' ')
            .filter_map(|pair| pair.split_once('='));
        let addresses = pairs.filter_map(|(k, v)| Some((k.to_owned(), v.parse().ok()?)));
        Ok(Self {
            child,
            addresses: addresses.collect(),
        })
    }

    /// Runs `program` to its end and returns its exit code and its output.
    ///
    /// Standard error follows standard output; the code is -1 if a signal ended the process.
    ///
    /// # Errors
    /// When it cannot be started.
    pub fn run_to_end(program: &str, args: &[&str]) -> Result<(i32, String)> {
        let output = Command::new(program_path(program)?).args(args).output()?;
        let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
        text.push_str(&String::from_utf8_lossy(&output.stderr));
        Ok((output.status.code().unwrap_or(-1), text))
    }

    /// Address that the program printed as `name`.
    ///
    /// # Panics
    /// When the program printed no such address.
    #[must_use]
    pub fn address(&self, name: &str) -> SocketAddr {
        self.addresses[name]
    }

    /// Process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGTERM, which starts a graceful shutdown.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Pauses the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Continues a paused process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Kills the process with SIGKILL and waits for its end.
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

    /// Exit status if the process has ended.
    #[must_use]
    pub fn try_wait(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
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

/// Finds a program next to the current executable, or one directory up, where tests find them.
fn program_path(program: &str) -> Result<PathBuf> {
    let current_exe = std::env::current_exe()?;
    let directories = current_exe.ancestors().skip(1).take(2);
    let found = directories.map(|f| f.join(program)).find(|p| p.is_file());
    found.ok_or_else(|| Error::other(format!("{program} is not built")))
}
