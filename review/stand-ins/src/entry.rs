//! The program `guavahold-node` as a child process, with the settings of a small deployment.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use crate::http;

const SIGTERM: i32 = 15;
const SIGKILL: u64 = 9;

/// Option of `prctl`: the signal that a process gets when the thread that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, signal: u64) -> i32;
}

/// Addresses of one entry.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    first_internal_port: u16,
}

/// An entry process, which is killed when it is dropped.
pub struct Entry {
    pub name: String,
    pub addresses: Addresses,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Free addresses for several entries.
pub fn free_addresses(count: usize) -> Vec<Addresses> {
    let address = || SocketAddr::from(([127, 0, 0, 1], free_ports(1)));
    let found = (0..count).map(|_| Addresses {
        front: address(),
        ready: address(),
        control: address(),
        first_internal_port: free_ports(16),
    });
    found.collect()
}

/// The first of `count` free ports in a row, below those that the system gives to connections: one of
/// these could take the port of an entry while it restarts.
fn free_ports(count: u16) -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start = u16::try_from(std::process::id() % 400).unwrap_or_default() * 30;
    loop {
        let taken = NEXT.fetch_add(count, Ordering::Relaxed) % 14_000;
        let first = 16_000 + (start + taken) % 14_000;
        let is_free = |port| TcpListener::bind(("127.0.0.1", port)).is_ok();
        if (first..first + count).all(is_free) {
            return first;
        }
    }
}

impl Entry {
    /// Writes the settings of an entry and starts it.
    pub fn start(
        dir: &Path,
        name: &str,
        zone: &str,
        addresses: Addresses,
        seeds: &[SocketAddr],
        store: SocketAddr,
    ) -> Self {
        let settings = dir.join(format!("{name}.conf"));
        let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
        let (first, last) = (
            addresses.first_internal_port,
            addresses.first_internal_port + 15,
        );
        let text = format!(
            "node-name={name}\nrole=entry\nmachine-class=front\nserves=front,control\n\
             ip=127.0.0.1\nzone={zone}\nregion=ee-pohi\nzones.tallinn-a=ee-pohi\n\
             zones.tallinn-b=ee-pohi\nzones.tartu-a=ee-pohi\nzones.parnu-a=ee-pohi\n\
             listen.front={}\nlisten.ready={}\nlisten.control={}\ninternal-ports={first},{last}\n\
             seeds={}\nbootstrap=true\nlimits.cpu-share=0.25\nlimits.cores=1\n\
             limits.memory-mb=260\nlimits.max-fds=4100\nheartbeat-ms=1200\n\
             bounds.stable-window-ms=3000\nbounds.drain-ms=2000\nbounds.grace-s=8\n\
             bounds.lost-ms=200\nbounds.config-apply-ms=2000\nbounds.budget-ratio=0.2\n\
             bounds.budget-window-s=10\nbounds.budget-slack=56\nbounds.recover-s=12\n\
             bounds.require-fencing=true\nbounds.lease-ms=3000\nbounds.version-ms=12000\n\
             bounds.version-all-ms=17000\nplatform.address={store}\nplatform.form=objects\n\
             platform.writes-per-s=400\nplatform.reads-per-s=2000\nplatform.history-s=20\n\
             platform.value-bytes=1048576\n",
            addresses.front,
            addresses.ready,
            addresses.control,
            seeds.join(",")
        );
        std::fs::write(&settings, text).expect("cannot write settings");
        let mut entry = Self {
            name: name.to_owned(),
            addresses,
            settings,
            log: dir.join(format!("{name}.log")),
            child: None,
        };
        entry.spawn();
        entry
    }

    fn spawn(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("cannot open the log");
        let mut command = Command::new("target/release/guavahold-node");
        command
            .env_clear()
            .env("GUAVAHOLD_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("no second handle"))
            .stderr(log);
        // SAFETY: `prctl` with this option only sets a field of the new process. It ends with this
        // one, also if this one is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command.spawn();
        self.child = Some(child.expect("cannot start target/release/guavahold-node"));
    }

    /// Whether the readiness check answers 200.
    pub fn is_ready(&self) -> bool {
        let request = b"GET /-/ready HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n";
        http::call(self.addresses.ready, request, Duration::from_secs(1)).status == 200
    }

    /// Waits until it is ready; `false` if it is not in time.
    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < timeout {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(30));
        }
        false
    }

    /// Stops it with SIGTERM, and with SIGKILL after the grace period, then starts it again.
    /// Returns how long it took to end.
    pub fn restart(&mut self) -> Duration {
        let started = Instant::now();
        if let Some(mut child) = self.child.take() {
            // SAFETY: signals the child that this process started and has not waited for.
            unsafe { kill(child.id().cast_signed(), SIGTERM) };
            while started.elapsed() < Duration::from_secs(8) {
                if child.try_wait().is_ok_and(|ended| ended.is_some()) {
                    break;
                }
                std::thread::sleep(Duration::from_millis(20));
            }
            let _ = child.kill();
            let _ = child.wait();
        }
        let took = started.elapsed();
        self.spawn();
        took
    }
}

impl Entry {
    /// Memory that it has resident, in kilobytes; zero when it has ended.
    pub fn memory_kb(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        number.and_then(|n| n.parse().ok()).unwrap_or_default()
    }

    /// Kills it and starts it again after a short delay.
    pub fn kill_and_start(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        std::thread::sleep(Duration::from_millis(300));
        self.spawn();
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
