//! Stand-in for a managed store of KV cache. It names parts by salt and ID, as the calls do; the model is
//! what its events and lists state beside them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::clock_ms;
use crate::http::{Conn, Request, respond, serve};
use crate::json;

/// A part that is kept.
#[derive(Clone, Debug)]
pub struct Part {
    pub tokens: u64,
    pub model: String,
}

#[derive(Default)]
struct State {
    held: BTreeMap<(String, String), Part>,
    events: Vec<(u64, char, String, String, Part)>,
}

#[derive(Clone)]
pub struct KvStore {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

const BOOT_EPOCH: u64 = 77_120;
pub const CAPACITY: u64 = 1_563_924;

impl KvStore {
    pub fn start(ip: &str) -> Self {
        let shared = Arc::new((Mutex::new(State::default()), Condvar::new()));
        let served = shared.clone();
        let address = serve(ip, move |req, conn| handle(&served, &req, conn));
        Self { address, shared }
    }

    /// Keeps a part that a runner sends; one that is kept stays as it was first made.
    pub fn save(&self, salt: &str, id: &str, part: Part) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        let key = (salt.to_owned(), id.to_owned());
        if state.held.contains_key(&key) {
            return;
        }
        state.held.insert(key, part.clone());
        state.record('+', salt, id, part);
        changed.notify_all();
    }

    /// The part that a fetch gets; nothing else is checked.
    pub fn fetch(&self, salt: &str, id: &str) -> Option<Part> {
        let key = (salt.to_owned(), id.to_owned());
        self.shared.0.lock().unwrap().held.get(&key).cloned()
    }
}

impl State {
    fn record(&mut self, sign: char, salt: &str, id: &str, part: Part) {
        let number = self.events.len() as u64 + 1;
        let event = (number, sign, salt.to_owned(), id.to_owned(), part);
        self.events.push(event);
    }

    fn next(&self) -> u64 {
        self.events.len() as u64
    }
}

fn handle((state, changed): &(Mutex<State>, Condvar), req: &Request, conn: &mut Conn) -> bool {
    let json_type = [("Content-Type", "application/json".to_owned())];
    let now = clock_ms();
    let mut state = state.lock().unwrap();
    let body = match (req.method.as_str(), req.bare_path()) {
        ("GET", "/-/kv-events") => {
            let since = req.query("since").and_then(json::number).unwrap_or(0);
            let wait = req.header("wait-ms").and_then(json::number).unwrap_or(0);
            let until = Instant::now() + Duration::from_millis(wait.min(1_000));
            while state.next() <= since {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    break;
                }
                state = changed.wait_timeout(state, left).unwrap().0;
            }
            let news = state.events.iter().filter(|event| event.0 > since);
            let news: Vec<String> = news
                .map(|(n, sign, salt, id, part)| {
                    let Part { tokens, model } = part;
                    format!("[{n},\"{sign}\",\"{salt}\",\"{id}\",{tokens},\"{model}\"]")
                })
                .collect();
            format!(
                "{{\"boot-epoch\":{BOOT_EPOCH},\"next\":{},\"lost\":false,\"clock_ms\":{},\
                 \"events\":[{}]}}",
                state.next(),
                clock_ms(),
                news.join(",")
            )
        }
        ("GET", "/-/kv-list") => {
            let held = state.held.iter();
            let held: Vec<String> = held
                .map(|((salt, id), Part { tokens, model })| {
                    format!("[\"{salt}\",\"{id}\",{tokens},\"{model}\"]")
                })
                .collect();
            format!(
                "{{\"boot-epoch\":{BOOT_EPOCH},\"next\":{},\"clock_ms\":{now},\"held\":[{}],\
                 \"partial\":[]}}",
                state.next(),
                held.join(",")
            )
        }
        ("POST", "/-/kv-free") => {
            let epoch = json::field(req.text(), "boot-epoch").and_then(json::number);
            let until = json::field(req.text(), "until_ms").and_then(json::number);
            if epoch.is_some_and(|n| n != BOOT_EPOCH) || until.is_some_and(|until| now > until) {
                drop(state);
                return respond(conn, 409, &json_type, "{}");
            }
            for part in json::items(json::field(req.text(), "parts").unwrap_or("[]")) {
                let names: Vec<String> = json::items(part).into_iter().map(json::string).collect();
                if let [salt, id] = &names[..] {
                    if let Some(part) = state.held.remove(&(salt.clone(), id.clone())) {
                        state.record('-', salt, id, part);
                    }
                }
            }
            changed.notify_all();
            "{}".to_owned()
        }
        ("GET", "/-/report") => {
            let used: u64 = state.held.values().map(|part| part.tokens).sum();
            format!(
                "{{\"boot-epoch\":{BOOT_EPOCH},\"kv-used\":{used},\"kv-total\":{CAPACITY},\
                 \"clock_ms\":{now}}}"
            )
        }
        _ => {
            drop(state);
            return respond(conn, 404, &json_type, "{}");
        }
    };
    drop(state);
    respond(conn, 200, &json_type, &body)
}
