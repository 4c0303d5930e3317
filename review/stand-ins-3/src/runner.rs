//! Stand-in for a runner: it answers requests, orders and questions as the pages say, and registers itself
//! in the platform's store.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Conn, Request, respond, serve};
use crate::json;
use crate::kv_store::{KvStore, Part};
use crate::store::Store;
use crate::{clock_ms, unix_ms};

const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time that new weights take a runner, by the sheet of the small deployments.
const LOAD_TIME: Duration = Duration::from_millis(1_300);

/// A run of a request, as the runner saw it.
#[derive(Clone, Debug)]
pub struct Run {
    pub runner: String,
    pub id: String,
    pub model: String,
    pub version: u64,
    pub salt: String,
    /// Parts that came from a store, with the model by whose runner each was made.
    pub fetched: Vec<(String, String)>,
}

#[derive(Default)]
struct State {
    /// Versions of the models.
    models: BTreeMap<String, u64>,
    busy: bool,
    sequence: u64,
    fence: u64,
    /// Cached parts, by model, salt and ID.
    cached: BTreeSet<(String, String, String)>,
}

pub struct Spec<'a> {
    pub name: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    pub models: &'a [(&'a str, u64)],
}

#[derive(Clone)]
pub struct Runner {
    pub address: SocketAddr,
    name: String,
    born: u64,
    state: Arc<Mutex<State>>,
    stores: Arc<Vec<KvStore>>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Requests that were answered 421, by the model and the version that they expected.
    pub misdirected: Arc<Mutex<BTreeMap<(String, String), u64>>>,
    /// Orders that were accepted: holder, model and version.
    pub orders: Arc<Mutex<Vec<String>>>,
}

impl Runner {
    pub fn start(ip: &str, spec: &Spec, store: &Store, kv: &[KvStore]) -> Self {
        let models = spec.models.iter().map(|(m, v)| ((*m).to_owned(), *v));
        let state = State {
            models: models.collect(),
            ..State::default()
        };
        let mut runner = Self {
            address: "127.0.0.1:0".parse().unwrap(),
            name: spec.name.to_owned(),
            born: unix_ms(),
            state: Arc::new(Mutex::new(state)),
            stores: Arc::new(kv.to_vec()),
            runs: Arc::default(),
            misdirected: Arc::default(),
            orders: Arc::default(),
        };
        let served = runner.clone();
        runner.address = serve(ip, move |req, conn| served.handle(&req, conn));
        let (beating, store) = (runner.clone(), store.clone());
        let (service, zone) = (spec.service.to_owned(), spec.zone.to_owned());
        let mut sequence = 0;
        thread::spawn(move || {
            loop {
                sequence += 1;
                let beat = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold-remaining-ms\":0,\
                 \"stage\":\"both\",\"models\":{},\"sequence\":{sequence},\"born\":{}}}",
                    beating.address,
                    beating.models(),
                    beating.born
                );
                store.put("servers", &beating.name, &beat);
                thread::sleep(HEARTBEAT);
            }
        });
        runner
    }

    /// Version of a model that the runner has.
    pub fn version(&self, model: &str) -> Option<u64> {
        self.state.lock().unwrap().models.get(model).copied()
    }

    fn models(&self) -> String {
        let state = self.state.lock().unwrap();
        let models = state.models.iter();
        let models: Vec<String> = models
            .map(|(m, v)| format!("{{\"name\":\"{m}\",\"version\":{v},\"adapters\":[]}}"))
            .collect();
        format!("[{}]", models.join(","))
    }

    fn handle(&self, req: &Request, conn: &mut Conn) -> bool {
        let expected = req.header("expect-instance");
        if expected.is_some_and(|name| name != self.name) {
            let instance = [("Instance-Id", self.name.clone())];
            return respond(conn, 421, &instance, "");
        }
        match (req.method.as_str(), req.bare_path()) {
            ("GET", "/-/report") => self.report(conn),
            ("POST", "/-/order") => self.order(req, conn),
            ("GET", "/health") => {
                let instance = [("Instance-Id", self.name.clone())];
                respond(conn, 200, &instance, "")
            }
            _ => self.run(req, conn),
        }
    }

    fn report(&self, conn: &mut Conn) -> bool {
        let models = self.models();
        let state = self.state.lock().unwrap();
        let body = format!(
            "{{\"stage\":\"both\",\"models\":{models},\"busy\":{},\"sequence\":{},\"queued\":0,\
             \"running\":0,\"kv-used\":0,\"kv-total\":123035,\"handles\":0,\"born\":{},\
             \"clock_ms\":{}}}",
            state.busy,
            state.sequence,
            self.born,
            clock_ms()
        );
        drop(state);
        let json = [("Content-Type", "application/json".to_owned())];
        respond(conn, 200, &json, &body)
    }

    fn order(&self, req: &Request, conn: &mut Conn) -> bool {
        let text = |key| json::field(req.text(), key).map(json::string);
        let number = |key| json::field(req.text(), key).and_then(json::number);
        let (Some(model), Some(version)) = (text("model"), number("version")) else {
            return respond(conn, 400, &[], "");
        };
        let (Some(holder), Some(fence)) = (text("holder"), number("fencing-token")) else {
            return respond(conn, 400, &[], "");
        };
        let mut state = self.state.lock().unwrap();
        let expected = number("expected-revision");
        let status = if fence < state.fence {
            412
        } else if state.busy || expected.is_some_and(|n| n != state.sequence) {
            409
        } else if state.models.get(&model) == Some(&version) {
            200
        } else if !state.models.contains_key(&model) {
            400
        } else {
            202
        };
        state.fence = state.fence.max(fence);
        if status == 202 {
            state.busy = true;
            state.sequence += 1;
            let order = format!("{holder} {model} {version} fence {fence}");
            self.orders.lock().unwrap().push(order);
            let state = self.state.clone();
            thread::spawn(move || {
                thread::sleep(LOAD_TIME);
                let mut state = state.lock().unwrap();
                // The order discards what the runner has stored of the model.
                state.cached.retain(|(m, _, _)| *m != model);
                state.models.insert(model, version);
                state.busy = false;
            });
        }
        drop(state);
        respond(conn, status, &[], "")
    }

    fn run(&self, req: &Request, conn: &mut Conn) -> bool {
        let header = |name| req.header(name).unwrap_or_default().to_owned();
        let (id, model) = (header("request-id"), header("model"));
        if id.is_empty() {
            return respond(conn, 400, &[("Not-Executed", "1".to_owned())], "");
        }
        let Some(version) = self.version(&model) else {
            return respond(conn, 404, &[("Request-Id", id)], "");
        };
        let expected = req.header("expect-version");
        if expected.is_some_and(|n| n != version.to_string()) {
            let key = (model, expected.unwrap_or_default().to_owned());
            *self.misdirected.lock().unwrap().entry(key).or_default() += 1;
            let headers = [
                ("Request-Id", id),
                ("Instance-Id", self.name.clone()),
                ("Weight-Versions", version.to_string()),
            ];
            return respond(conn, 421, &headers, "");
        }
        let mut run = Run {
            runner: self.name.clone(),
            id: id.clone(),
            model,
            version,
            salt: header("cache-salt"),
            fetched: Vec::new(),
        };
        self.read_prompt(req, &mut run);
        self.runs.lock().unwrap().push(run);
        thread::sleep(Duration::from_millis(20));
        let stamp = ("Server-Stamp", format!("3e1b.{}.{id}", self.name));
        let named = [
            ("Request-Id", id),
            stamp,
            ("Weight-Versions", version.to_string()),
        ];
        stream(conn, &named)
    }

    /// Takes the parts of the prompt from the cache or from stores, or reads them; then saves them.
    fn read_prompt(&self, req: &Request, run: &mut Run) {
        let parts = req.header("prompt-prefix").unwrap_or_default();
        let fetch: Vec<&str> = req
            .header("kv-fetch")
            .unwrap_or_default()
            .split(',')
            .collect();
        let save: Vec<&str> = req
            .header("kv-save")
            .unwrap_or_default()
            .split(',')
            .collect();
        let at = |list: &[&str], n: usize| {
            let address = list.get(n).or(list.first().filter(|_| list.len() == 1));
            let address = address?
                .split('/')
                .next()?
                .trim()
                .parse::<SocketAddr>()
                .ok()?;
            self.stores.iter().find(|s| s.address == address).cloned()
        };
        for (n, part) in parts.split(',').enumerate() {
            let Some((id, tokens)) = part.trim().split_once(':') else {
                continue;
            };
            let key = (run.model.clone(), run.salt.clone(), id.to_owned());
            let cached = self.state.lock().unwrap().cached.contains(&key);
            let stored = at(&fetch, n).filter(|_| !cached);
            if let Some(stored) = stored.and_then(|s| s.fetch(&run.salt, id)) {
                run.fetched.push((id.to_owned(), stored.model));
            }
            self.state.lock().unwrap().cached.insert(key);
            if let Some(store) = at(&save, n) {
                let part = Part {
                    tokens: tokens.parse().unwrap_or(0),
                    model: run.model.clone(),
                };
                store.save(&run.salt, id, part);
            }
        }
    }
}

const EVENTS: u64 = 8;

fn stream(conn: &mut Conn, headers: &[(&str, String)]) -> bool {
    let mut head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                    Transfer-Encoding: chunked\r\n"
        .to_owned();
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    if conn.stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for id in 1..=EVENTS {
        let event = format!("id: {id}\ndata: token {id}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if conn.stream.write_all(chunk.as_bytes()).is_err() {
            return false;
        }
        thread::sleep(Duration::from_millis(10));
    }
    conn.stream.write_all(b"0\r\n\r\n").is_ok()
}
