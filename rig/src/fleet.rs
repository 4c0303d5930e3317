//! Starts entries and stand-ins as separate processes on loopback.

use std::io::Result;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::FutureExt;
use guavahold::catalog::{CatalogStore, ReleaseNote};
use guavahold::platform::{Object, Platform, RemotePlatform, Role, Vm, VmPhase};
use guavahold::settings::Document;
use http_types::Method;
use serde_json::{Value, json};
use tempfile::TempDir;
use uuid::Uuid;

use crate::Process;
use crate::client::Call;

/// Maximum wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum duration of one test.
const TEST_TIMEOUT: Duration = Duration::from_secs(100);

/// Platform process and working directory of a set of processes; cleaned up on drop.
pub struct Fleet {
    directory: TempDir,
    /// Process of the platform stand-in.
    pub platform: Process,
    platform_api: RemotePlatform,
}

impl Fleet {
    /// Creates the working directory and starts the platform stand-in.
    ///
    /// # Errors
    /// When the process cannot be started or a file cannot be written.
    pub fn start() -> Result<Self> {
        let directory = tempfile::tempdir()?;
        // Tests run side by side, and an entry may take over a port that those of another fleet dial.
        let secret = format!("a secret of one fleet, {}", Uuid::new_v4());
        std::fs::write(directory.path().join("secret"), secret)?;
        let platform = Process::start("guavahold-rig", &["platform"])?;
        let address = platform.address("address");
        Ok(Self {
            directory,
            platform_api: RemotePlatform::new(vec![address], Duration::from_secs(2)),
            platform,
        })
    }

    /// Address of the platform's object API.
    #[must_use]
    pub fn platform_address(&self) -> SocketAddr {
        self.platform.address("address")
    }

    /// Client of the platform's object API.
    #[must_use]
    pub fn platform_api(&self) -> &RemotePlatform {
        &self.platform_api
    }

    /// Path of a file in the working directory.
    #[must_use]
    pub fn path(&self, name: &str) -> String {
        self.directory
            .path()
            .join(name)
            .to_string_lossy()
            .into_owned()
    }

    /// Writes a file to the working directory and returns its path.
    ///
    /// # Errors
    /// When it cannot be written.
    pub fn write(&self, name: &str, text: &str) -> Result<String> {
        let path = self.path(name);
        std::fs::write(&path, text)?;
        Ok(path)
    }

    /// Starts an entry; keys of `overrides` replace those of its settings.
    ///
    /// # Errors
    /// When it cannot be started.
    pub fn start_entry(&self, name: &str, domain: &str, overrides: &Value) -> Result<Process> {
        let any_port = any_port().to_string();
        let mut cfg = json!({
            "name": name,
            "domain": domain,
            "listen": {"callers": any_port, "peers": any_port, "admin": any_port},
            "platform": [self.platform_address().to_string()],
            "secret_file": self.path("secret"),
            "balancer_lag_ms": 300,
            "heartbeat_ms": 100,
            "peer_timeout_ms": 1000,
            "probe_ms": 100,
            "platform_ms": 1000,
            "log_level": "warn",
        });
        override_settings(&mut cfg, overrides);
        let path = self.write(&format!("{name}.jsonc"), &cfg.to_string())?;
        Process::start("guavahold-entry", &["--settings", &path])
    }

    /// Starts an engine stand-in.
    ///
    /// # Errors
    /// When it cannot be started.
    pub fn start_engine(
        &self,
        name: &str,
        model: &str,
        weights: &str,
        extra_args: &[&str],
    ) -> Result<Process> {
        let mut args = vec![
            "engine",
            "--name",
            name,
            "--model",
            model,
            "--weights",
            weights,
        ];
        args.extend(extra_args);
        Process::start("guavahold-rig", &args)
    }

    /// Starts a plain service stand-in.
    ///
    /// # Errors
    /// When it cannot be started.
    pub fn start_service(&self, name: &str, extra_args: &[&str]) -> Result<Process> {
        let mut args = vec!["service", "--name", name];
        args.extend(extra_args);
        Process::start("guavahold-rig", &args)
    }

    /// Adds a live VM to the platform's VM list, or replaces it.
    ///
    /// # Panics
    /// When the platform refuses.
    pub async fn list_vm(
        &self,
        name: &str,
        role: Role,
        domain: &str,
        address: SocketAddr,
        serves: &str,
    ) {
        let vm = Vm {
            name: name.into(),
            role,
            domain: domain.into(),
            address,
            serves: serves.into(),
            phase: VmPhase::Live,
            cpu_millis: 0,
        };
        self.put_vm(&vm).await;
    }

    /// Creates or updates a VM in the platform's VM list.
    ///
    /// # Panics
    /// When the platform refuses.
    pub async fn put_vm(&self, vm: &Vm) {
        let spec = serde_json::to_value(vm).expect("a VM is JSON");
        let mut object = Object::new(Vm::KIND, vm.name.clone(), spec);
        let old = self
            .platform_api
            .get(Vm::KIND, &vm.name)
            .await
            .expect("the platform responds");
        let written = match old {
            Some(old) => {
                object.version = old.version;
                self.platform_api.update(object).await
            }
            None => self.platform_api.create(object).await,
        };
        written.expect("the platform accepts the VM");
    }

    /// Appends a release note to the catalog directly, without the `guavahold` program.
    ///
    /// # Panics
    /// When the note is not valid or the platform refuses.
    pub async fn put_release_note(&self, text: &str) {
        let note = ReleaseNote::read(&Document::new("note", text)).expect("a valid note");
        let store = CatalogStore::new(Arc::new(self.platform_api.clone()));
        let head = store.read_or_create_head().await;
        let (mut head, version) = head.expect("the platform responds");
        head.revision = note.revision();
        head.tail.push(note);
        let written = store.update_head(&head, version).await;
        written.expect("the platform accepts the note");
    }

    /// Runs the operators' program `guavahold` and returns its exit code and output.
    ///
    /// # Errors
    /// When it cannot be started.
    pub fn run_operator(&self, args: &[&str]) -> Result<(i32, String)> {
        let platform = self.platform_address().to_string();
        let mut all = vec![args[0], "--platform", &platform];
        all.extend(&args[1..]);
        Process::run_to_end("guavahold", &all)
    }
}

fn override_settings(settings: &mut Value, overrides: &Value) {
    if let (Value::Object(settings), Value::Object(overrides)) = (settings, overrides) {
        settings.extend(overrides.clone());
    }
}

/// Waits until an admin port responds with status 200 to a GET of `path`.
///
/// # Panics
/// When that takes more than 20 s.
pub async fn wait_until_ok(admin: SocketAddr, path: &str) {
    wait_until(path, async || {
        let response = Call::new(Method::Get, path).send(admin).await;
        response.is_ok_and(|r| r.status == 200)
    })
    .await;
}

/// Polls `condition` until it holds.
///
/// # Panics
/// When that takes more than 20 s.
pub async fn wait_until(condition_name: &str, condition: impl AsyncFn() -> bool) {
    let started = Instant::now();
    while !condition().await {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for {condition_name}"
        );
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Replaces the injected faults of a stand-in.
///
/// # Panics
/// When the stand-in refuses.
pub async fn set_faults(admin: SocketAddr, faults: Value) {
    let call = Call::new(Method::Post, "/faults").body(faults.to_string());
    let response = call.send(admin).await.expect("the stand-in responds");
    assert_eq!(
        response.status,
        200,
        "{}",
        String::from_utf8_lossy(&response.body)
    );
}

/// Any port of a loopback address that no other process uses for its entries, so that none of them takes
/// over the address of one that has ended.
fn any_port() -> SocketAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    (Ipv4Addr::new(127, 78, high, low), 0).into()
}

/// Runs a test and fails it if it has not ended after 100 s.
///
/// # Panics
/// When the test panics or does not end in time.
pub fn run_with_timeout<T>(test: impl Future<Output = T>) -> T {
    let timeout = async {
        Timer::after(TEST_TIMEOUT).await;
        panic!("the test did not end in time")
    };
    async_io::block_on(test.or(timeout))
}
