//! Settings of `guavahold-entry`.

use std::net::SocketAddr;

use crate::http::Limits;
use crate::intake::IntakeLimits;
use crate::prelude::*;
use crate::settings::{Document, Fields, Findings};

/// Settings of one entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Name of the VM in the platform's list.
    pub name: Name,
    /// Failure domain of the VM.
    pub domain: Name,
    /// Listening address for callers.
    pub caller_address: SocketAddr,
    /// Listening address for other entries.
    pub peer_address: SocketAddr,
    /// Listening address for readiness, liveness, metrics and administration.
    pub admin_address: SocketAddr,
    /// Addresses of the platform's object API.
    pub platform_addresses: Vec<SocketAddr>,
    /// Addresses of other entries to connect to before the platform's list of VMs is known.
    pub seed_addresses: Vec<SocketAddr>,
    /// Path of the file with the secret that all entries share.
    pub secret_file: Name,
    /// Number of threads that serve callers.
    pub traffic_threads: usize,
    /// Time until the load balancer sends no new requests to an entry that is no longer ready.
    pub balancer_lag: Duration,
    /// Interval between heartbeats to other entries.
    pub heartbeat: Duration,
    /// Time without a message after which another entry counts as lost.
    pub peer_timeout: Duration,
    /// Interval at which load reports are requested from targets.
    pub probe_interval: Duration,
    /// Timeout for connecting to a target.
    pub connect_timeout: Duration,
    /// Timeout of one platform call.
    pub platform_timeout: Duration,
    /// Number of shards of the claim table; it must be equal at all entries.
    pub claim_shards: u32,
    /// Limits on connections and messages of callers.
    pub limits: Limits,
    /// Log level: `error`, `warn`, `info`, `debug` or `trace`.
    pub log_level: log::LevelFilter,
    /// File to which completed spans are appended, one JSON line each; without it, spans are
    /// discarded.
    pub span_file: Option<Name>,
}

/// Example of the settings, with comments.
pub const ENTRY_EXAMPLE: &str = include_str!("entry.example.jsonc");

impl EntrySettings {
    /// Reads and validates settings.
    ///
    /// # Errors
    /// All findings with their positions.
    pub fn read(doc: &Document) -> Result<Self, Findings> {
        doc.read(Self::from_fields)
    }

    /// Starts a builder with defaults for everything except names, addresses and the secret file.
    #[must_use]
    pub fn builder(name: impl Into<Name>, domain: impl Into<Name>) -> EntrySettingsBuilder {
        EntrySettingsBuilder::new(name.into(), domain.into())
    }

    fn from_fields(fields: &mut Fields<'_>) -> Option<Self> {
        let name = fields.name("name");
        let domain = fields.name("domain");
        let listen = fields.object("listen", |f| {
            let addresses = (f.address("callers"), f.address("peers"), f.address("admin"));
            Some((addresses.0?, addresses.1?, addresses.2?))
        });
        let platform_addresses = fields.addresses("platform");
        if platform_addresses.is_empty() {
            fields.report_field("platform", "expected at least one address");
        }
        let secret_file = fields.text("secret_file");
        let builder = EntrySettingsBuilder::new(
            name.clone().unwrap_or_else(|| "-".into()),
            domain.clone().unwrap_or_else(|| "-".into()),
        );
        let defaults = builder.settings;
        let settings = Self {
            platform_addresses,
            seed_addresses: fields.addresses("seeds"),
            traffic_threads: usize::try_from(fields.integer("traffic_threads", 1..=64, 2)).ok()?,
            balancer_lag: fields.millis("balancer_lag_ms", 0..=600_000, defaults.balancer_lag),
            heartbeat: fields.millis("heartbeat_ms", 50..=10_000, defaults.heartbeat),
            peer_timeout: fields.millis("peer_timeout_ms", 200..=60_000, defaults.peer_timeout),
            probe_interval: fields.millis("probe_ms", 50..=10_000, defaults.probe_interval),
            connect_timeout: fields.millis("connect_ms", 10..=10_000, defaults.connect_timeout),
            platform_timeout: fields.millis("platform_ms", 50..=60_000, defaults.platform_timeout),
            claim_shards: u32::try_from(fields.integer("claim_shards", 1..=4096, 16)).ok()?,
            limits: read_limits(fields),
            log_level: read_log_level(fields),
            span_file: fields.optional_text("span_file"),
            ..defaults
        };
        if settings.peer_timeout < settings.heartbeat * 2 {
            fields.report_field("peer_timeout_ms", "expected at least twice heartbeat_ms");
        }
        name?;
        domain?;
        let (caller_address, peer_address, admin_address) = listen?;
        Some(Self {
            caller_address,
            peer_address,
            admin_address,
            secret_file: secret_file?,
            ..settings
        })
    }
}

/// Least memory of a VM whose settings state none, in megabytes.
const MIN_DEFAULT_MEMORY_MB: u64 = 256;
/// Bytes of a megabyte in the settings.
const BYTES_PER_MB: u64 = 1024 * 1024;
/// Copies of a chat's body that are in memory while it is served: as received, parsed and rendered.
const BODY_COPIES: usize = 3;

/// Memory of a VM whose settings state none: enough for several of the largest bodies.
fn default_memory_mb(body_bytes: u64) -> u64 {
    (24 * body_bytes / BYTES_PER_MB).max(MIN_DEFAULT_MEMORY_MB)
}

/// Size of all messages that a VM with this memory has room for, in bytes.
fn request_bytes(memory_mb: u64) -> Option<usize> {
    let memory_bytes = usize::try_from(memory_mb.saturating_mul(BYTES_PER_MB)).ok()?;
    Some(IntakeLimits::for_machine(memory_bytes, usize::MAX).bytes / BODY_COPIES)
}

fn read_limits(fields: &mut Fields<'_>) -> Limits {
    let defaults = Limits::default();
    let read = fields.optional_object("limits", |f| {
        let body = f.integer("body_bytes", 1024..=64 * 1024 * 1024, 4 * 1024 * 1024);
        let memory_mb = f.integer("memory_mb", 16..=1 << 20, default_memory_mb(body));
        let limits = Limits {
            head_bytes: defaults.head_bytes,
            body_bytes: usize::try_from(body).ok()?,
            message_timeout: f.millis("message_ms", 100..=600_000, defaults.message_timeout),
            idle_timeout: f.millis("idle_ms", 100..=3_600_000, defaults.idle_timeout),
            connections: usize::try_from(f.integer("connections", 1..=1_000_000, 16_384)).ok()?,
            request_bytes: request_bytes(memory_mb)?,
        };
        if limits.intake().large_bytes() < limits.max_request_bytes() {
            f.report_field("memory_mb", "expected room for a body of body_bytes");
        }
        Some(limits)
    });
    read.unwrap_or_default()
}

/// Reads the optional field `log_level`.
pub(crate) fn read_log_level(fields: &mut Fields<'_>) -> log::LevelFilter {
    if !fields.has("log_level") {
        return log::LevelFilter::Info;
    }
    let level = fields.parsed("log_level", "one of error, warn, info, debug, trace");
    level.unwrap_or(log::LevelFilter::Info)
}

/// Builds [`EntrySettings`].
#[derive(Clone, Debug)]
pub struct EntrySettingsBuilder {
    settings: EntrySettings,
}

impl EntrySettingsBuilder {
    fn new(name: Name, domain: Name) -> Self {
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            settings: EntrySettings {
                name,
                domain,
                caller_address: unset,
                peer_address: unset,
                admin_address: unset,
                platform_addresses: Vec::new(),
                seed_addresses: Vec::new(),
                secret_file: "".into(),
                traffic_threads: 2,
                balancer_lag: Duration::from_secs(5),
                heartbeat: Duration::from_millis(500),
                peer_timeout: Duration::from_secs(2),
                probe_interval: Duration::from_millis(250),
                connect_timeout: Duration::from_millis(500),
                platform_timeout: Duration::from_secs(2),
                claim_shards: 16,
                limits: Limits::default(),
                log_level: log::LevelFilter::Info,
                span_file: None,
            },
        }
    }

    /// Sets the listening addresses.
    #[must_use]
    pub fn listen(mut self, caller: SocketAddr, peer: SocketAddr, admin: SocketAddr) -> Self {
        self.settings.caller_address = caller;
        self.settings.peer_address = peer;
        self.settings.admin_address = admin;
        self
    }

    /// Adds an address of the platform.
    #[must_use]
    pub fn platform(mut self, addr: SocketAddr) -> Self {
        self.settings.platform_addresses.push(addr);
        self
    }

    /// Adds an address of another entry to connect to at the start.
    #[must_use]
    pub fn seed(mut self, addr: SocketAddr) -> Self {
        self.settings.seed_addresses.push(addr);
        self
    }

    /// Sets the path of the file with the shared secret.
    #[must_use]
    pub fn secret_file(mut self, path: impl Into<Name>) -> Self {
        self.settings.secret_file = path.into();
        self
    }

    /// Sets the time until the load balancer notices an entry that is no longer ready.
    #[must_use]
    pub fn balancer_lag(mut self, lag: Duration) -> Self {
        self.settings.balancer_lag = lag;
        self
    }

    /// Sets the number of threads that serve callers.
    #[must_use]
    pub fn traffic_threads(mut self, threads: usize) -> Self {
        self.settings.traffic_threads = threads;
        self
    }

    /// Returns the settings.
    #[must_use]
    pub fn build(self) -> EntrySettings {
        self.settings
    }
}
