//! Processes of the system, started with the command of the deploy file and a settings file each.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::http;

/// Machines so far.
static MACHINES: AtomicUsize = AtomicUsize::new(0);

/// Ids of the processes that run, so that none is left behind.
pub static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Layout<'a> {
    pub dir: &'a Path,
    pub store: SocketAddr,
}

/// A loopback address that other cases and tests which run at the same time do not have.
fn own_ip(last: usize) -> String {
    let id = std::process::id();
    format!("127.{}.{}.{last}", 130 + (id >> 8) % 100, id % 256)
}

/// Address of the stand-ins.
pub fn stand_in_ip() -> String {
    own_ip(9)
}

/// Ports that are free now, all of them different.
fn free_ports(ip: &str) -> [SocketAddr; 4] {
    let listeners = [(); 4].map(|()| TcpListener::bind((ip, 0)).expect("no free port"));
    listeners.map(|listener| listener.local_addr().expect("no address"))
}

impl Node {
    /// Writes the settings of machine `n` in a zone and starts its process; the first one is the seed.
    pub fn start(layout: &Layout, n: u8, zone: &str, seed: Option<&Node>) -> Self {
        let ip = &own_ip(10 + MACHINES.fetch_add(1, Ordering::Relaxed));
        let [front, ready, control, internal] = free_ports(ip);
        let internal = internal.port();
        let name = format!("front-{zone}-{n}");
        let seeds = seed.map_or(control.to_string(), |seed| {
            let text = fs::read_to_string(&seed.settings).unwrap_or_default();
            let line = text.lines().find_map(|l| l.strip_prefix("listen.control="));
            line.unwrap_or_default().to_owned()
        });
        let text = format!(
            "node-name={name}\nrole=entry\nmachine-class=front\nserves=front,control\nip={ip}\n\
             zone={zone}\nregion=r\nzones.za=r\nzones.zb=r\nlisten.front={front}\n\
             listen.ready={ready}\nlisten.control={control}\n\
             internal-ports={internal},{}\nseeds={seeds}\nbootstrap=true\n\
             in-fault-budget=false\nlimits.cpu-share=0.25\nlimits.cores=1\n\
             limits.memory-mb=260\nlimits.max-fds=4100\nlimits.link-mbps=1000.0\n\
             limits.disk-mb=0\ndiscovery=platform\nentry=vip\nheartbeat-ms=1200\n\
             contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,platform\n\
             fault-tolerance.machines=1\nfault-tolerance.zones=1\nfault-tolerance.regions=0\n\
             bounds.seed-lag-s=3\nbounds.addr-reuse-s=2\nbounds.stable-window-ms=3000\n\
             bounds.ack-ms=4000\nbounds.catch-up-s=4\nbounds.drain-ms=2000\nbounds.grace-s=8\n\
             bounds.lost-ms=200\nbounds.config-apply-ms=2000\nbounds.rollback-slack-ms=250\n\
             bounds.max-stretch-ms=5000\nbounds.fail-closed=false\nbounds.revoke-ms=5000\n\
             bounds.budget-ratio=0.2\nbounds.budget-window-s=10\nbounds.budget-slack=56\n\
             bounds.recover-s=12\nbounds.max-transit-ms=120\nbounds.reuse-window-s=20\n\
             bounds.require-fencing=true\nbounds.lease-ms=3000\nbounds.thaw-slack-ms=300\n\
             bounds.version-ms=12000\nbounds.version-all-ms=17000\nplatform.address={}\n\
             platform.form=objects\nplatform.writes-per-s=400\nplatform.reads-per-s=2000\n\
             platform.history-s=20\nplatform.value-bytes=1048576\nplatform.ttl-min-ms=1000\n",
            internal + 15,
            layout.store
        );
        let settings = layout.dir.join(format!("{name}.conf"));
        fs::write(&settings, text).expect("no settings");
        let mut node = Self {
            log: layout.dir.join(format!("{name}.log")),
            name,
            front,
            ready,
            settings,
            child: None,
        };
        node.spawn();
        node
    }

    /// Starts the process, also again after it was killed.
    pub fn spawn(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("no log");
        let child = Command::new("target/release/guavahold-node")
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("GUAVAHOLD_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("no log"))
            .stderr(log)
            .spawn();
        let child = child.expect("target/release/guavahold-node does not start");
        RUNNING.lock().unwrap().push(child.id());
        self.child = Some(child);
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            RUNNING.lock().unwrap().retain(|id| *id != child.id());
        }
    }

    /// Waits until the process says that it is ready.
    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            let head = "GET /-/ready HTTP/1.1\r\nHost: node\r\n\r\n";
            let response = http::call(self.ready, head, b"", Duration::from_secs(1));
            if response.status == 200 {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
