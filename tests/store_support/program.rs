//! `guavahold-store` as a process of its own.

use std::future::Future;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use futures_lite::future;
use guavahold::cache::{BlockKey, Operation, Secret, StoreClient, StoreError};
use guavahold::prelude::Name;
use rustix::process::{Pid, Signal, kill_process};

const SECRET: &str = "a secret of at least thirty-two bytes";

/// Sizes given to a store.
#[derive(Clone, Copy)]
pub struct Sizes {
    pub memory: u64,
    pub disk: u64,
    pub link: u64,
    pub stall_ms: u64,
}

impl Default for Sizes {
    fn default() -> Self {
        Self {
            memory: 0,
            disk: 1 << 30,
            link: 1 << 30,
            stall_ms: 30_000,
        }
    }
}

/// A folder and the store process that uses it.
pub struct Program {
    pub folder: tempfile::TempDir,
    pub blocks: SocketAddr,
    pub admin: SocketAddr,
    pub client: StoreClient,
    sizes: Sizes,
    child: Child,
}

impl Program {
    pub fn start(sizes: Sizes) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let (child, blocks, admin) = launch(folder.path(), sizes);
        let secret = Secret::new(SECRET.as_bytes());
        Self {
            folder,
            blocks,
            admin,
            client: StoreClient::new(secret, Duration::from_secs(5)),
            sizes,
            child,
        }
    }

    /// Kills the process (SIGKILL) and starts it on the same folder.
    pub fn kill_and_restart(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        let (child, blocks, admin) = launch(self.folder.path(), self.sizes);
        self.child = child;
        self.blocks = blocks;
        self.admin = admin;
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).unwrap();
        kill_process(Pid::from_raw(pid).unwrap(), signal).unwrap();
    }

    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }

    /// Stores a block and returns whether it was new.
    pub fn put(&self, customer: &str, n: u8, bytes: &[u8]) -> Result<bool, StoreError> {
        let (customer, key) = (Name::from(customer), key(n));
        let ticket = self.client.ticket(Operation::Write, &customer, &key);
        let put = self
            .client
            .put(self.blocks, &key, &ticket, None, bytes.to_vec());
        block_on(put)
    }

    pub fn get(&self, customer: &str, n: u8) -> Result<Option<Vec<u8>>, StoreError> {
        let ticket = self
            .client
            .ticket(Operation::Read, &customer.into(), &key(n));
        self.get_with(&ticket, n)
    }

    pub fn get_with(&self, ticket: &str, n: u8) -> Result<Option<Vec<u8>>, StoreError> {
        block_on(self.client.get(self.blocks, &key(n), ticket, true))
    }

    pub fn free(&self, customer: &str, n: u8) -> Result<(), StoreError> {
        block_on(self.client.free(self.blocks, &customer.into(), &key(n)))
    }

    pub fn held(&self, customer: &str, n: u8) -> u32 {
        let (customer, keys) = (Name::from(customer), [key(n)]);
        let budget = Duration::from_secs(5);
        let held = self.client.held(self.blocks, &customer, &keys, budget);
        block_on(held).unwrap().blocks
    }

    /// Sends a request by hand; the answer is left to be read from the stream.
    pub fn send(&self, method: &str, operation: Operation, n: u8, rest: &str) -> TcpStream {
        let key = key(n);
        let ticket = self.client.ticket(operation, &"barbers".into(), &key);
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
        let socket = socket.unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        socket.connect(&self.blocks.into()).unwrap();
        let mut stream = TcpStream::from(socket);
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        let head = format!(
            "{method} /blocks/{key} HTTP/1.1\r\nhost: store\r\nguavahold-ticket: {ticket}\r\n{rest}\r\n"
        );
        stream.write_all(head.as_bytes()).unwrap();
        stream
    }

    /// Value of a metric, zero when it was never counted.
    pub fn metric(&self, line_start: &str) -> u64 {
        let mut stream = TcpStream::connect(self.admin).unwrap();
        let head = "GET /metrics HTTP/1.1\r\nhost: store\r\nconnection: close\r\n\r\n";
        stream.write_all(head.as_bytes()).unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        let line = text.lines().find_map(|l| l.strip_prefix(line_start));
        line.map_or(0, |value| value.trim().parse().unwrap())
    }

    /// Block files on disk.
    pub fn files(&self) -> Vec<PathBuf> {
        files_below(&self.folder.path().join("blocks"))
    }

    /// Files of uploads without a commit.
    pub fn staged(&self) -> Vec<PathBuf> {
        files_below(&self.folder.path().join("staging"))
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn launch(folder: &Path, sizes: Sizes) -> (Child, SocketAddr, SocketAddr) {
    let path = |name: &str| folder.join(name).to_string_lossy().into_owned();
    std::fs::write(path("secret"), SECRET).unwrap();
    let settings = format!(
        r#"{{"name": "store-1", "domain": "a",
        "listen": {{"blocks": "127.0.0.1:0", "admin": "127.0.0.1:0"}},
        "secret_file": "{}", "folder": "{}", "memory_bytes": {}, "disk_bytes": {},
        "link_bytes_per_second": {}, "drain_lag_ms": 0, "stall_ms": {}, "log_level": "error"}}"#,
        path("secret"),
        folder.to_string_lossy(),
        sizes.memory,
        sizes.disk,
        sizes.link,
        sizes.stall_ms
    );
    std::fs::write(path("settings.jsonc"), settings).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_guavahold-store"))
        .args(["--settings", &path("settings.jsonc")])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    let mut out = BufReader::new(child.stdout.take().unwrap());
    out.read_line(&mut line).unwrap();
    let address = |name: &str| {
        let value = line.split_whitespace().find_map(|p| p.strip_prefix(name));
        value.unwrap().parse().unwrap()
    };
    (child, address("blocks="), address("admin="))
}

fn files_below(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder)
        .unwrap()
        .map(|e| e.unwrap().path());
    let lists = entries.map(|p| if p.is_dir() { files_below(&p) } else { vec![p] });
    lists.flatten().collect()
}

pub fn key(n: u8) -> BlockKey {
    BlockKey::from_bytes([n; 32])
}

pub fn block_on<T>(f: impl Future<Output = T>) -> T {
    future::block_on(Box::pin(f))
}

/// Reads a whole answer and returns its status and body.
pub fn read_answer(mut stream: TcpStream) -> (u16, Vec<u8>) {
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let split = answer
        .windows(4)
        .position(|w| w == b"\r\n\r\n")
        .unwrap_or(0);
    let head = String::from_utf8_lossy(&answer[..split]).into_owned();
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    (status.unwrap_or(0), answer.split_off(split + 4))
}
