//! Stand-in for runners: plain ones and model runners, as the platform's pages describe them.

use std::collections::VecDeque;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, Reader, answer};
use crate::json::Json;
use crate::kv::{KvStore, Lies, PartKey, clock_ms};
use crate::record::Record;
use crate::store::Store;

/// Interval at which a runner renews its entry in the store.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Silence after which the store removes an entry: three intervals.
const EXPIRY: Duration = Duration::from_millis(3_600);
/// Time after which a runner that crashed is back.
const DOWN_TIME: Duration = Duration::from_secs(2);
/// Time in which a model runner takes new weights.
const LOAD_TIME: Duration = Duration::from_millis(1_300);
/// Tokens of KV cache that a model runner has room for, as the site `kammitsa-broneering` has it.
const KV_CAPACITY: u64 = 99_308;
const KV_TOKEN_BYTES: u64 = 35_136;
/// Prompt tokens that a model runner reads in a millisecond.
const PREFILL_TOKENS_PER_MS: u64 = 92;
/// Link of the KV store in megabits a second, and what each transfer waits besides.
const STORE_LINK_MBPS: u64 = 100_000;
const STORE_FIRST_MS: u64 = 6;
/// Wait from which a transfer is not started.
const MAX_TRANSFER_WAIT: Duration = Duration::from_secs(2);
/// Body of the request that crashes each runner that begins to run it.
pub const CRASHING_BODY: &str = "crash";

/// A request that a runner began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub at: Duration,
    /// Whether it crashed the runner.
    pub crashed: bool,
}

/// A cached part of a prompt that a request used.
#[derive(Clone, Debug)]
pub struct CacheUse {
    pub request: String,
    pub tenant: String,
    pub salt: String,
    pub part: String,
    /// Tenant whose request made it.
    pub made_by: String,
    pub at: Duration,
}

/// A part that a request fetched from the KV store to its end.
#[derive(Clone, Debug)]
pub struct Fetch {
    /// Whether the part lay whole in the store from the beginning of the fetch to its end.
    pub whole: bool,
}

/// What all runners did.
#[derive(Clone, Default)]
pub struct RunLog {
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub uses: Arc<Mutex<Vec<CacheUse>>>,
    pub fetches: Arc<Mutex<Vec<Fetch>>>,
}

/// Service that a runner belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    /// Answers with a short body.
    Plain,
    /// Streams events and caches parts of prompts under `Cache-Salt`.
    Model,
}

impl Service {
    /// Its name in the configuration.
    pub fn name(self) -> &'static str {
        match self {
            Self::Plain => "booking",
            Self::Model => "llm",
        }
    }
}

/// What all incarnations of the runners share.
#[derive(Clone)]
pub struct Platform {
    pub store: Store,
    pub record: Record,
    pub log: RunLog,
    /// The KV store, if there is one.
    pub kv: Option<KvStore>,
    incarnations: Arc<AtomicU64>,
}

impl Platform {
    /// Runners that register in a store.
    pub fn new(store: Store, record: Record) -> Self {
        Self {
            store,
            record,
            log: RunLog::default(),
            kv: None,
            incarnations: Arc::default(),
        }
    }

    /// Starts a runner in a zone; it starts anew, with a new name, after each crash.
    pub fn start_runner(&self, service: Service, zone: &str) -> Arc<Runner> {
        let number = self.incarnations.fetch_add(1, Ordering::Relaxed);
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let address = listener.local_addr().expect("no address");
        let runner = Arc::new(Runner {
            platform: self.clone(),
            service,
            zone: zone.to_owned(),
            id: format!("i-{number:04x}"),
            address,
            down: AtomicBool::new(false),
            connections: Mutex::default(),
            state: Mutex::new(State {
                version: 1,
                ..State::default()
            }),
            link: Mutex::new(Instant::now()),
        });
        self.record.line(&format!(
            "runner {} ({}) starts at {address} in {zone}",
            runner.id,
            service.name()
        ));
        let (beating, accepting) = (runner.clone(), runner.clone());
        std::thread::spawn(move || beating.beat());
        std::thread::spawn(move || accepting.accept(&listener));
        runner
    }
}

/// A part that a model runner has cached.
struct Cached {
    key: PartKey,
    tokens: u64,
    made_by: String,
}

#[derive(Default)]
struct State {
    draining: bool,
    version: u64,
    /// Whether an order is in progress.
    busy: bool,
    /// Number of orders accepted.
    sequence: u64,
    /// Greatest fencing token seen.
    fence: u64,
    running: u64,
    heartbeats: u64,
    /// Cached parts, the one used last at the end.
    cache: VecDeque<Cached>,
}

impl State {
    fn cached(&mut self, key: &PartKey) -> Option<String> {
        let at = self.cache.iter().position(|c| c.key == *key)?;
        let part = self.cache.remove(at)?;
        let made_by = part.made_by.clone();
        self.cache.push_back(part);
        Some(made_by)
    }

    /// Adds a part; the least recently used ones yield.
    fn add_cached(&mut self, part: Cached) {
        self.cache.push_back(part);
        while self.cache.iter().map(|c| c.tokens).sum::<u64>() > KV_CAPACITY {
            self.cache.pop_front();
        }
    }
}

/// One start of a runner.
pub struct Runner {
    platform: Platform,
    service: Service,
    zone: String,
    pub id: String,
    address: SocketAddr,
    down: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    state: Mutex<State>,
    /// Until when its link is busy: transfers run one after another.
    link: Mutex<Instant>,
}

impl Runner {
    fn is_down(&self) -> bool {
        self.down.load(Ordering::Acquire)
    }

    /// The store accepts its report that it is leaving; it goes on serving for many seconds.
    pub fn drain(&self) {
        self.state.lock().unwrap().draining = true;
        self.register();
        self.platform.record.line(&format!(
            "the store acknowledges that {} is draining",
            self.id
        ));
    }

    /// Writes its entry in the store.
    fn register(&self) {
        let mut state = self.state.lock().unwrap();
        state.heartbeats += 1;
        let models = match self.service {
            Service::Plain => String::new(),
            Service::Model => format!(
                ",\"stage\":\"both\",\"models\":[{{\"name\":\"m0\",\"version\":{},\"adapters\":[]}}]",
                state.version
            ),
        };
        let (slots, health) = match self.service {
            Service::Plain => (6, if state.draining { "draining" } else { "ready" }),
            Service::Model => (64, if state.draining { "draining" } else { "ready" }),
        };
        let spec = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"{health}\",\"cold-remaining-ms\":0{models},\
             \"sequence\":{},\"born\":{}}}",
            self.service.name(),
            self.address,
            self.zone,
            state.heartbeats,
            1_700_000_000_000_u64 + u64::from(self.address.port()),
        );
        self.platform.store.put("servers", &self.id, &spec);
    }

    /// Registers and renews the entry in the store; after a crash the entry expires, and the runner
    /// starts anew.
    fn beat(&self) {
        while !self.is_down() {
            self.register();
            let mut slept = Duration::ZERO;
            while slept < HEARTBEAT && !self.is_down() {
                std::thread::sleep(Duration::from_millis(20));
                slept += Duration::from_millis(20);
            }
        }
        std::thread::sleep(DOWN_TIME);
        self.platform.start_runner(self.service, &self.zone);
        std::thread::sleep(EXPIRY.saturating_sub(DOWN_TIME));
        self.platform.store.remove("servers", &self.id);
    }

    fn accept(self: Arc<Self>, listener: &TcpListener) {
        listener.set_nonblocking(true).expect("no nonblocking mode");
        while !self.is_down() {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    let kept = stream.try_clone().expect("no second handle");
                    self.connections.lock().unwrap().push(kept);
                    let this = self.clone();
                    std::thread::spawn(move || this.serve(stream));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(2)),
            }
        }
    }

    fn crash(&self) {
        self.down.store(true, Ordering::Release);
        // The accept loop closes the listener; connections made meanwhile are closed as well.
        std::thread::sleep(Duration::from_millis(10));
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let mut reader = Reader::new(stream.try_clone().expect("no second handle"));
        while let Some(request) = reader.request() {
            if self.is_down() || self.handle(&request, &mut stream).is_err() {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    fn handle(self: &Arc<Self>, request: &Message, stream: &mut TcpStream) -> std::io::Result<()> {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        let own = format!("Request-Id: {id}\r\nInstance-Id: {}\r\n", self.id);
        if request
            .header("expect-instance")
            .is_some_and(|e| e != self.id)
        {
            return answer(stream, 421, &own, b"");
        }
        let json = "Content-Type: application/json\r\n";
        match request.path() {
            "/health" => {
                let draining = self.state.lock().unwrap().draining;
                return answer(stream, if draining { 503 } else { 200 }, &own, b"ok");
            }
            "/-/report" => return answer(stream, 200, json, self.report().as_bytes()),
            "/-/order" => {
                let status = self.take_order(&String::from_utf8_lossy(&request.body));
                return answer(stream, status, json, b"{}");
            }
            path if path.starts_with("/-/") => return answer(stream, 404, &own, b""),
            _ => {}
        }
        if id.is_empty() {
            return answer(stream, 400, "Not-Executed: 1\r\n", b"");
        }
        match self.service {
            Service::Plain => self.run_plain(request, &id, stream),
            Service::Model => self.run_model(request, &id, stream),
        }
    }

    fn report(&self) -> String {
        let state = self.state.lock().unwrap();
        format!(
            "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m0\",\"version\":{},\"adapters\":[]}}],\
             \"busy\":{},\"sequence\":{},\"queued\":0,\"running\":{},\"kv-used\":0,\
             \"kv-total\":{KV_CAPACITY},\"handles\":0}}",
            state.version, state.busy, state.sequence, state.running
        )
    }

    /// Takes an order for new weights, in the mode `wait`; returns the answer's status.
    fn take_order(self: &Arc<Self>, body: &str) -> u16 {
        let Some(order) = Json::parse(body) else {
            return 400;
        };
        let whole = |name| order.get(name).and_then(Json::whole);
        let (Some(version), Some(fence)) = (whole("version"), whole("fencing-token")) else {
            return 400;
        };
        let mut state = self.state.lock().unwrap();
        if fence < state.fence {
            return 412;
        }
        state.fence = fence;
        if state.busy || whole("expected-revision").is_some_and(|n| n != state.sequence) {
            return 409;
        }
        if state.version == version {
            return 200;
        }
        state.sequence += 1;
        state.busy = true;
        drop(state);
        self.platform.record.line(&format!(
            "runner {} takes an order for version {version}",
            self.id
        ));
        let this = self.clone();
        std::thread::spawn(move || {
            while this.state.lock().unwrap().running > 0 {
                std::thread::sleep(Duration::from_millis(5));
            }
            std::thread::sleep(LOAD_TIME);
            let mut state = this.state.lock().unwrap();
            state.version = version;
            state.busy = false;
            state.cache.clear();
            drop(state);
            this.register();
            this.platform
                .record
                .line(&format!("runner {} has version {version}", this.id));
        });
        202
    }

    fn note_run(&self, request: &str, crashed: bool) {
        let at = self.platform.record.now();
        let what = if crashed {
            "runs it and crashes"
        } else {
            "runs it"
        };
        self.platform
            .record
            .line(&format!("request {request}: runner {} {what}", self.id));
        self.platform.log.runs.lock().unwrap().push(Run {
            request: request.to_owned(),
            at,
            crashed,
        });
    }

    fn run_plain(
        &self,
        request: &Message,
        id: &str,
        stream: &mut TcpStream,
    ) -> std::io::Result<()> {
        if request.body == CRASHING_BODY.as_bytes() {
            self.note_run(id, true);
            self.crash();
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        self.note_run(id, false);
        std::thread::sleep(Duration::from_millis(30));
        let headers = format!("Request-Id: {id}\r\nServer-Stamp: {}.{id}\r\n", self.id);
        answer(stream, 200, &headers, b"done")
    }

    fn run_model(
        self: &Arc<Self>,
        request: &Message,
        id: &str,
        stream: &mut TcpStream,
    ) -> std::io::Result<()> {
        let mut state = self.state.lock().unwrap();
        let version = state.version;
        let expected = request.header("expect-version");
        if expected.is_some_and(|v| v.parse() != Ok(version)) {
            drop(state);
            let headers = format!(
                "Request-Id: {id}\r\nInstance-Id: {}\r\nWeight-Versions: {version}\r\n",
                self.id
            );
            return answer(stream, 421, &headers, b"");
        }
        if state.busy {
            drop(state);
            let headers = format!("Request-Id: {id}\r\nNot-Executed: 1\r\n");
            return answer(stream, 503, &headers, b"");
        }
        state.running += 1;
        drop(state);
        let result = self.stream_answer(request, id, version, stream);
        self.state.lock().unwrap().running -= 1;
        result
    }

    fn stream_answer(
        self: &Arc<Self>,
        request: &Message,
        id: &str,
        version: u64,
        stream: &mut TcpStream,
    ) -> std::io::Result<()> {
        self.read_prompt(request, id);
        let crashes = request.body == CRASHING_BODY.as_bytes();
        self.note_run(id, crashes);
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {}.{id}\r\n\
             Weight-Versions: {version}\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        stream.write_all(head.as_bytes())?;
        for n in 1..=4 {
            std::thread::sleep(Duration::from_millis(10));
            let event = format!("id: {n}\ndata: {id}-{n}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            if crashes {
                std::thread::sleep(Duration::from_millis(30));
                self.crash();
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
        }
        stream.write_all(b"0\r\n\r\n")
    }

    /// Reads a prompt: parts that are cached under the same salt are used as far as all parts before
    /// them are at hand, others are fetched where the request says from where, or read. The last
    /// part belongs to the request itself.
    fn read_prompt(self: &Arc<Self>, request: &Message, id: &str) {
        let header = |name: &str| request.header(name).unwrap_or_default().to_owned();
        let salt = request.header("cache-salt").unwrap_or("(none)").to_owned();
        let tenant = header("tenant");
        let until = request
            .header("kv-until")
            .and_then(|text| text.parse().ok());
        let addresses = |name: &str| -> Vec<String> {
            header(name)
                .split(',')
                .map(|a| a.trim().to_owned())
                .collect()
        };
        let (from, to) = (addresses("kv-fetch"), addresses("kv-save"));
        let prefix = header("prompt-prefix");
        let parts: Vec<(&str, u64)> = prefix
            .split(',')
            .filter_map(|part| part.trim().split_once(':'))
            .map(|(id, tokens)| (id, tokens.parse().unwrap_or_default()))
            .collect();
        let mut all_at_hand = true;
        let mut to_read = 0;
        for (n, (part, tokens)) in parts.iter().enumerate() {
            let is_own = n + 1 == parts.len();
            let key = (salt.clone(), (*part).to_owned());
            if is_own {
                to_read += tokens;
                continue;
            }
            let cached = self.state.lock().unwrap().cached(&key);
            if let Some(made_by) = cached.filter(|_| all_at_hand) {
                self.note_use(id, &tenant, &key, made_by);
                continue;
            }
            let fetches = from.get(n).is_some_and(|address| self.is_kv_store(address));
            let fetched = all_at_hand && fetches && self.fetch(id, &key, *tokens, until);
            all_at_hand &= fetched;
            if !fetched {
                to_read += tokens;
            }
            self.state.lock().unwrap().add_cached(Cached {
                key: key.clone(),
                tokens: *tokens,
                made_by: tenant.clone(),
            });
            if to.get(n).is_some_and(|address| self.is_kv_store(address)) {
                self.save(key, *tokens);
            }
        }
        std::thread::sleep(Duration::from_millis(to_read / PREFILL_TOKENS_PER_MS));
    }

    fn note_use(&self, id: &str, tenant: &str, key: &PartKey, made_by: String) {
        let (salt, part) = key;
        if made_by != tenant {
            self.platform.record.line(&format!(
                "request {id} of tenant {tenant}, salt {salt}: {} uses part {part}, made by {made_by}",
                self.id
            ));
        }
        self.platform.log.uses.lock().unwrap().push(CacheUse {
            request: id.to_owned(),
            tenant: tenant.to_owned(),
            salt: salt.clone(),
            part: part.clone(),
            made_by,
            at: self.platform.record.now(),
        });
    }

    fn is_kv_store(&self, address: &str) -> bool {
        let address = address.split('/').next().unwrap_or_default();
        let store = self.platform.kv.as_ref();
        store.is_some_and(|kv| kv.address.to_string() == address)
    }

    /// Time of a transfer from or to the KV store; twice as long between zones.
    fn transfer_time(&self, kv: &KvStore, tokens: u64) -> Duration {
        let bits = tokens * KV_TOKEN_BYTES * 8;
        let micros = bits / STORE_LINK_MBPS + STORE_FIRST_MS * 1_000;
        let zones = if kv.zone == self.zone { 1 } else { 2 };
        Duration::from_micros(micros * zones)
    }

    /// Waits for a transfer behind the others on this runner's link; `false` if it is not started.
    fn transfer(&self, time: Duration) -> bool {
        let end = {
            let mut busy_until = self.link.lock().unwrap();
            let start = (*busy_until).max(Instant::now());
            if start.saturating_duration_since(Instant::now()) > MAX_TRANSFER_WAIT {
                return false;
            }
            std::thread::sleep(start.saturating_duration_since(Instant::now()));
            *busy_until = start + time;
            start + time
        };
        std::thread::sleep(end.saturating_duration_since(Instant::now()));
        true
    }

    /// Fetches a part from the KV store; returns whether it is at hand then.
    fn fetch(&self, id: &str, key: &PartKey, tokens: u64, until: Option<u64>) -> bool {
        let Some(kv) = &self.platform.kv else {
            return false;
        };
        let time = self.transfer_time(kv, tokens);
        // The link is kept until the end, so that the fetch begins when its own transfer does.
        let asked = Instant::now();
        let mut link = self.link.lock().unwrap();
        std::thread::sleep(link.saturating_duration_since(Instant::now()));
        if asked.elapsed() > MAX_TRANSFER_WAIT {
            return false;
        }
        let began = kv.look(key);
        if began == Lies::Nothing {
            std::thread::sleep(Duration::from_millis(1));
            return false;
        }
        std::thread::sleep(time);
        *link = Instant::now();
        drop(link);
        let record = &self.platform.record;
        if until.is_some_and(|until| clock_ms(record) > until) {
            return false;
        }
        let whole = matches!(began, Lies::Whole(_)) && kv.look(key) == began;
        if !whole {
            let (salt, part) = key;
            record.line(&format!(
                "MIXED: request {id} at {} took part {part}, salt {salt}, which was {} when the fetch \
                 began and {} when it ended",
                self.id,
                describe(began),
                describe(kv.look(key))
            ));
        }
        self.platform
            .log
            .fetches
            .lock()
            .unwrap()
            .push(Fetch { whole });
        true
    }

    /// Sends a part to the KV store.
    fn save(self: &Arc<Self>, key: PartKey, tokens: u64) {
        let Some(kv) = self.platform.kv.clone() else {
            return;
        };
        let Some(copy) = kv.begin_save(&key, tokens) else {
            return;
        };
        let this = self.clone();
        std::thread::spawn(move || {
            if this.transfer(this.transfer_time(&kv, tokens)) {
                kv.end_save(&key, copy);
            }
        });
    }
}

fn describe(lies: Lies) -> String {
    match lies {
        Lies::Nothing => "gone".into(),
        Lies::InPart => "being written".into(),
        Lies::Whole(copy) => format!("whole (copy {copy})"),
    }
}
