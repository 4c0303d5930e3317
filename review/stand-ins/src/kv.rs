//! Stand-in for a store of kept KV cache.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use crate::http::{Message, Reader, answer};
use crate::json::Json;
use crate::record::Record;

/// Reading of the runners' clock at the start of the record, in milliseconds.
const CLOCK_START_MS: u64 = 1_000_000;
const BOOT_EPOCH: u64 = 77_120;
/// Longest time for which a call for events waits.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Salt and id of a part.
pub type PartKey = (String, String);

/// The runners' clock, in milliseconds.
pub fn clock_ms(record: &Record) -> u64 {
    CLOCK_START_MS + u64::try_from(record.now().as_millis()).unwrap_or_default()
}

#[derive(Clone, Copy, Debug)]
struct Part {
    tokens: u64,
    complete: bool,
    /// Tells two parts with the same key apart, of which one was freed.
    copy: u64,
}

#[derive(Default)]
struct State {
    parts: BTreeMap<PartKey, Part>,
    copies: u64,
    /// Events as JSON; the first has the number one.
    events: Vec<String>,
}

/// A running store.
#[derive(Clone)]
pub struct KvStore {
    pub address: SocketAddr,
    pub zone: &'static str,
    record: Record,
    shared: Arc<(Mutex<State>, Condvar)>,
}

/// What lies in a store under a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lies {
    Nothing,
    /// It is being written.
    InPart,
    /// This copy lies there whole.
    Whole(u64),
}

impl KvStore {
    /// Starts an empty store in a zone.
    pub fn start(zone: &'static str, record: Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let store = Self {
            address: listener.local_addr().expect("no address"),
            zone,
            record,
            shared: Arc::default(),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// What lies under a key now.
    pub fn look(&self, key: &PartKey) -> Lies {
        match self.shared.0.lock().unwrap().parts.get(key) {
            None => Lies::Nothing,
            Some(part) if !part.complete => Lies::InPart,
            Some(part) => Lies::Whole(part.copy),
        }
    }

    /// Reserves the space of a part; `None` if it lies there already.
    pub fn begin_save(&self, key: &PartKey, tokens: u64) -> Option<u64> {
        let mut state = self.shared.0.lock().unwrap();
        if state.parts.contains_key(key) {
            return None;
        }
        state.copies += 1;
        let copy = state.copies;
        let part = Part {
            tokens,
            complete: false,
            copy,
        };
        state.parts.insert(key.clone(), part);
        Some(copy)
    }

    /// Completes a part, unless it was freed meanwhile.
    pub fn end_save(&self, key: &PartKey, copy: u64) {
        let mut state = self.shared.0.lock().unwrap();
        let Some(part) = state.parts.get_mut(key).filter(|p| p.copy == copy) else {
            return;
        };
        part.complete = true;
        let tokens = part.tokens;
        state.add_event('+', key, tokens);
        self.shared.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream.try_clone().expect("no second handle"));
        while let Some(request) = reader.request() {
            let (status, body) = self.respond(&request);
            let kind = "Content-Type: application/json\r\n";
            if answer(&mut stream, status, kind, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message) -> (u16, String) {
        let (path, query) = request
            .path()
            .split_once('?')
            .unwrap_or((request.path(), ""));
        match (request.method(), path) {
            ("GET", "/-/kv-events") => {
                let since = query.strip_prefix("since=").and_then(|n| n.parse().ok());
                let wait = request.header("wait-ms").and_then(|n| n.parse().ok());
                let wait = Duration::from_millis(wait.unwrap_or(0)).min(MAX_WAIT);
                (200, self.events(since.unwrap_or(0), wait))
            }
            ("GET", "/-/kv-list") => (200, self.list()),
            ("POST", "/-/kv-free") => self.free(&String::from_utf8_lossy(&request.body)),
            ("GET", "/-/report") => (
                200,
                format!("{{\"kv-used\":0,\"kv-total\":2410612,\"boot-epoch\":{BOOT_EPOCH}}}"),
            ),
            _ => (404, "{}".into()),
        }
    }

    fn events(&self, since: usize, wait: Duration) -> String {
        let state = self.shared.0.lock().unwrap();
        let waited = self
            .shared
            .1
            .wait_timeout_while(state, wait, |s| s.events.len() <= since);
        let state = waited.unwrap().0;
        let events = state.events.get(since..).unwrap_or_default().join(",");
        format!(
            "{{\"boot-epoch\":{BOOT_EPOCH},\"next\":{},\"lost\":false,\"clock_ms\":{},\
             \"events\":[{events}]}}",
            state.events.len(),
            clock_ms(&self.record)
        )
    }

    fn list(&self) -> String {
        let state = self.shared.0.lock().unwrap();
        let whole = state.parts.iter().filter(|(_, part)| part.complete);
        let held: Vec<String> = whole
            .map(|((salt, id), p)| format!("[\"{salt}\",\"{id}\",{},\"m0\"]", p.tokens))
            .collect();
        format!(
            "{{\"boot-epoch\":{BOOT_EPOCH},\"next\":{},\"held\":[{}],\"partial\":[]}}",
            state.events.len(),
            held.join(",")
        )
    }

    /// Frees the parts that a call names at once.
    fn free(&self, body: &str) -> (u16, String) {
        let Some(body) = Json::parse(body) else {
            return (400, "{}".into());
        };
        let epoch = body.get("boot-epoch").and_then(Json::whole);
        if epoch.is_some_and(|epoch| epoch != BOOT_EPOCH) {
            return (409, "{}".into());
        }
        let Some(Json::List(parts)) = body.get("parts") else {
            return (400, "{}".into());
        };
        let mut state = self.shared.0.lock().unwrap();
        let mut freed = 0;
        for part in parts {
            let Json::List(pair) = part else { continue };
            let mut texts = pair.iter().filter_map(Json::text);
            let (Some(salt), Some(id)) = (texts.next(), texts.next()) else {
                continue;
            };
            let key = (salt.to_owned(), id.to_owned());
            if state.parts.remove(&key).is_some() {
                state.add_event('-', &key, 0);
                freed += 1;
            }
        }
        drop(state);
        self.shared.1.notify_all();
        self.record
            .line(&format!("the store frees {freed} parts as it was told"));
        (200, "{}".into())
    }
}

impl State {
    fn add_event(&mut self, sign: char, key: &PartKey, tokens: u64) {
        let number = self.events.len() + 1;
        let (salt, id) = key;
        self.events.push(format!(
            "[{number},\"{sign}\",\"{salt}\",\"{id}\",{tokens},\"m0\"]"
        ));
    }
}
