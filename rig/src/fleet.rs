//! A small fleet of separate processes on loopback.

use std::io::Result;
use std::net::SocketAddr;
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

use crate::Process;
use crate::client::Call;

/// Secret shared by the entries of a fleet.
const SECRET: &str = "a secret of the rig, of more than 32 bytes";
/// Longest wait for a condition.
const PATIENCE: Duration = Duration::from_secs(20);
/// Pause between two looks at a condition.
const POLL: Duration = Duration::from_millis(20);
/// Longest time of one test.
const TEST_LIMIT: Duration = Duration::from_secs(100);

/// Processes and files of one fleet; everything ends when it is dropped.
pub struct Fleet {
    folder: TempDir,
    /// The platform's stand-in.
    pub platform: Process,
    api: RemotePlatform,
}

impl Fleet {
    /// Starts the platform's stand-in.
    ///
    /// # Errors
    /// When a process or file cannot be made.
    pub fn start() -> Result<Self> {
        let folder = tempfile::tempdir()?;
        std::fs::write(folder.path().join("secret"), SECRET)?;
        let platform = Process::start("guavahold-rig", &["platform"])?;
        let address = platform.address("address");
        Ok(Self {
            folder,
            api: RemotePlatform::new(vec![address], Duration::from_secs(2)),
            platform,
        })
    }

    /// Address of the platform's object API.
    #[must_use]
    pub fn platform_address(&self) -> SocketAddr {
        self.platform.address("address")
    }

    /// The platform's object API.
    #[must_use]
    pub fn api(&self) -> &RemotePlatform {
        &self.api
    }

    /// Path of a file in the fleet's folder.
    #[must_use]
    pub fn path(&self, name: &str) -> String {
        self.folder.path().join(name).to_string_lossy().into_owned()
    }

    /// Writes a file into the fleet's folder and returns its path.
    ///
    /// # Errors
    /// When it cannot be written.
    pub fn write(&self, name: &str, text: &str) -> Result<String> {
        let path = self.path(name);
        std::fs::write(&path, text)?;
        Ok(path)
    }

    /// Starts an entry; `extra` overrides settings.
    ///
    /// # Errors
    /// When it cannot be started.
    pub fn entry(&self, name: &str, domain: &str, extra: &Value) -> Result<Process> {
        let any = "127.0.0.1:0";
        let mut cfg = json!({
            "name": name,
            "domain": domain,
            "listen": {"callers": any, "peers": any, "admin": any},
            "platform": [self.platform_address().to_string()],
            "secret_file": self.path("secret"),
            "balancer_lag_ms": 300,
            "heartbeat_ms": 100,
            "peer_timeout_ms": 1000,
            "probe_ms": 100,
            "platform_ms": 1000,
            "log_level": "warn",
        });
        merge(&mut cfg, extra);
        let path = self.write(&format!("{name}.jsonc"), &cfg.to_string())?;
        Process::start("guavahold-entry", &["--settings", &path])
    }

    /// Starts a stand-in engine.
    ///
    /// # Errors
    /// When it cannot be started.
    pub fn engine(&self, name: &str, model: &str, weights: &str, more: &[&str]) -> Result<Process> {
        let mut args = vec![
            "engine",
            "--name",
            name,
            "--model",
            model,
            "--weights",
            weights,
        ];
        args.extend(more);
        Process::start("guavahold-rig", &args)
    }

    /// Starts a stand-in plain service.
    ///
    /// # Errors
    /// When it cannot be started.
    pub fn service(&self, name: &str, more: &[&str]) -> Result<Process> {
        let mut args = vec!["service", "--name", name];
        args.extend(more);
        Process::start("guavahold-rig", &args)
    }

    /// Adds a VM to the platform's list, or replaces it.
    ///
    /// # Panics
    /// When the platform refuses.
    pub async fn list(
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

    /// Writes a VM of the platform's list.
    ///
    /// # Panics
    /// When the platform refuses.
    pub async fn put_vm(&self, vm: &Vm) {
        let spec = serde_json::to_value(vm).expect("a VM is JSON");
        let mut object = Object::new(Vm::KIND, vm.name.clone(), spec);
        let old = self
            .api
            .get(Vm::KIND, &vm.name)
            .await
            .expect("the platform answers");
        let written = match old {
            Some(old) => {
                object.version = old.version;
                self.api.update(object).await
            }
            None => self.api.create(object).await,
        };
        written.expect("the platform takes the VM");
    }

    /// Puts a release note in force without the operators' program.
    ///
    /// # Panics
    /// When the note is not valid or the platform refuses.
    pub async fn put_note(&self, text: &str) {
        let note = ReleaseNote::read(&Document::new("note", text)).expect("a valid note");
        let store = CatalogStore::new(Arc::new(self.api.clone()));
        let head = store.read_or_create_head().await;
        let (mut head, version) = head.expect("the platform answers");
        head.revision = note.revision();
        head.tail.push(note);
        let written = store.update_head(&head, version).await;
        written.expect("the platform takes the note");
    }

    /// Runs the operators' program and returns its exit status and output.
    ///
    /// # Errors
    /// When it cannot be started.
    pub fn operator(&self, args: &[&str]) -> Result<(i32, String)> {
        let platform = self.platform_address().to_string();
        let mut all = vec![args[0], "--platform", &platform];
        all.extend(&args[1..]);
        Process::run_to_end("guavahold", &all)
    }
}

fn merge(into: &mut Value, extra: &Value) {
    if let (Value::Object(into), Value::Object(extra)) = (into, extra) {
        into.extend(extra.clone());
    }
}

/// Waits until an admin port answers a path with 200.
///
/// # Panics
/// When it does not in time.
pub async fn await_ok(admin: SocketAddr, path: &str) {
    await_that(path, async || {
        let answer = Call::new(Method::Get, path).send(admin).await;
        answer.is_ok_and(|a| a.status == 200)
    })
    .await;
}

/// Waits until a condition holds.
///
/// # Panics
/// When it does not in time.
pub async fn await_that(what: &str, condition: impl AsyncFn() -> bool) {
    let started = Instant::now();
    while !condition().await {
        assert!(started.elapsed() < PATIENCE, "waited too long for {what}");
        Timer::after(POLL).await;
    }
}

/// Switches a stand-in's faults.
///
/// # Panics
/// When the stand-in refuses.
pub async fn set_faults(admin: SocketAddr, faults: Value) {
    let call = Call::new(Method::Post, "/faults").body(faults.to_string());
    let answer = call.send(admin).await.expect("the stand-in answers");
    assert_eq!(
        answer.status,
        200,
        "{}",
        String::from_utf8_lossy(&answer.body)
    );
}

/// Runs a test to its end, which must come within 100 s.
///
/// # Panics
/// When it does not.
pub fn within<T>(test: impl Future<Output = T>) -> T {
    let late = async {
        Timer::after(TEST_LIMIT).await;
        panic!("the test did not end in time")
    };
    async_io::block_on(test.or(late))
}
