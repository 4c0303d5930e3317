//! Case: a prompt that waits in a runner's queue while a tenant becomes isolated.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{scope, sleep, spawn};
use std::time::Duration;

use crate::http::{Conn, Request, call, respond, serve};
use crate::node::{Layout, Node, stand_in_ip};
use crate::record::Record;
use crate::store::Store;
use crate::{Setup, Verdict, clock_ms, unix_ms};

/// `config-apply-ms` of the settings.
const APPLY_MS: u64 = 2_000;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Requests that a runner processes at once.
const SLOTS: usize = 4;
const EVENTS: u64 = 40;
/// Time between two events of an answer.
const PACE: Duration = Duration::from_millis(100);
const MODELS: &str = "[{\"name\":\"model-a\",\"version\":1,\"adapters\":[]}]";
/// Shared part of all prompts, such as the rules of the house.
const PART: &str = "5c1e07a2";

fn config(version: u64, isolated: bool) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"salon.example\",\
         \"path-prefix\":\"/draft/\",\"kind\":\"streaming\",\"timeout-ms\":15000,\
         \"target-latency-ms\":800,\"priority\":1,\"service\":\"drafts\",\"max-attempts\":2,\
         \"public\":false,\"sticky\":true,\"resumable\":true,\"gap-aim-ms\":300}}],\
         \"services\":[{{\"name\":\"drafts\",\"health-path\":\"/health\",\"max-connections\":370,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":{SLOTS},\"kv-capacity\":99308,\
         \"kv-token-bytes\":35136,\"link-mbps\":550000.0,\"managed\":true,\"max-concurrent\":12,\
         \"models\":[{{\"name\":\"model-a\"}}]}}}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"ta\",\"api-keys\":[\"key-of-ta\"],\"priority\":1,\
         \"isolated\":{isolated}}},\
         {{\"name\":\"tb\",\"api-keys\":[\"key-of-tb\"],\"priority\":1,\"isolated\":false}}]}}"
    )
}

#[derive(Default)]
struct Cache {
    running: usize,
    queued: usize,
    /// Tenant whose request made each part, by salt and ID.
    made_by: BTreeMap<(String, String), String>,
    /// Uses of parts that another tenant made: time of the use.
    foreign: Vec<u64>,
}

#[derive(Clone)]
struct Engine {
    name: String,
    born: u64,
    cache: Arc<(Mutex<Cache>, Condvar)>,
    record: Record,
}

impl Engine {
    fn start(name: &str, zone: &'static str, store: &Store, record: &Record) -> Self {
        let engine = Self {
            name: name.to_owned(),
            born: unix_ms(),
            cache: Arc::default(),
            record: record.clone(),
        };
        let served = engine.clone();
        let address = serve(&stand_in_ip(), move |req, conn| served.handle(&req, conn));
        let (beating, store) = (engine.clone(), store.clone());
        spawn(move || {
            for sequence in 1_u64.. {
                let text = format!(
                    "{{\"service\":\"drafts\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                     \"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\
                     \"cold-remaining-ms\":0,\"stage\":\"both\",\"models\":{MODELS},\
                     \"sequence\":{sequence},\"born\":{}}}",
                    beating.born
                );
                store.put("servers", &beating.name, &text);
                sleep(HEARTBEAT);
            }
        });
        engine
    }

    fn handle(&self, req: &Request, conn: &mut Conn) -> bool {
        let header = |name| req.header(name).unwrap_or_default().to_owned();
        let instance = ("Instance-Id", self.name.clone());
        let expected = req.header("expect-instance");
        if expected.is_some_and(|name| name != self.name) {
            return respond(conn, 421, &[instance], "");
        }
        match req.bare_path() {
            "/health" => return respond(conn, 200, &[instance], ""),
            "/-/report" => {
                let body = format!(
                    "{{\"stage\":\"both\",\"models\":{MODELS},\"busy\":false,\"sequence\":0,\
                     \"queued\":0,\"running\":0,\"kv-used\":0,\"kv-total\":99308,\"handles\":0,\
                     \"born\":{},\"clock_ms\":{}}}",
                    self.born,
                    clock_ms()
                );
                return respond(conn, 200, &[], &body);
            }
            _ => {}
        }
        let (id, tenant) = (header("request-id"), header("tenant"));
        if req.header("expect-version").is_some_and(|v| v != "1") {
            return respond(conn, 421, &[("Request-Id", id), instance], "");
        }
        self.record
            .line(&format!("runner {}: {id} of {tenant} arrives", self.name));
        let (cache, freed) = &*self.cache;
        let mut cache = cache.lock().unwrap();
        cache.queued += 1;
        while cache.running >= SLOTS {
            cache = freed.wait(cache).unwrap();
        }
        cache.queued -= 1;
        cache.running += 1;
        let salt = header("cache-salt");
        for part in header("prompt-prefix").split(',') {
            let part = part.split(':').next().unwrap_or_default().to_owned();
            let key = (salt.clone(), part.clone());
            let maker = cache.made_by.entry(key).or_insert_with(|| tenant.clone());
            if *maker == tenant {
                continue;
            }
            let line = format!(
                "runner {}: {id} of {tenant} begins with salt {salt:?} and uses part {part} that \
                 a request of {maker} made",
                self.name
            );
            cache.foreign.push(clock_ms());
            self.record.line(&line);
        }
        drop(cache);
        let whole = self.stream(conn, &id);
        self.cache.0.lock().unwrap().running -= 1;
        freed.notify_all();
        whole
    }

    fn stream(&self, conn: &mut Conn, id: &str) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             Request-Id: {id}\r\nServer-Stamp: 3e1b.{}.{id}\r\nWeight-Versions: 1\r\n\r\n",
            self.name
        );
        if conn.stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for n in 1..=EVENTS {
            let event = format!("id: {n}\ndata: token {n}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if conn.stream.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
            sleep(PACE);
        }
        conn.stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

fn ask(record: &Record, front: SocketAddr, tenant: &str, n: usize) {
    let id = format!("9c41d07b{n:08x}");
    let head = format!(
        "POST /draft/2f HTTP/1.1\r\nHost: salon.example\r\nRequest-Id: {id}\r\nModel: model-a\r\n\
         Token-Usage: 1050,40\r\nPrompt-Prefix: {PART}:800,e4{n:06x}:250\r\nDeadline-Ms: 15000\r\n\
         Credential: key-of-{tenant}\r\nContent-Length: 6\r\n\r\n"
    );
    let response = call(front, &head, b"prompt", Duration::from_secs(16));
    let whole = response.fault.as_deref().unwrap_or("whole");
    record.line(&format!(
        "client: {id} of {tenant}: {} {whole}",
        response.status
    ));
}

pub fn play(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let store = Store::start(&stand_in_ip());
    store.put(
        "versions",
        "model-a",
        "{\"model\":\"model-a\",\"version\":1}",
    );
    store.put("config", "main", &config(7, false));
    let engines = [
        Engine::start("i-1", "za", &store, record),
        Engine::start("i-2", "zb", &store, record),
    ];
    let layout = Layout {
        dir: &setup.dir,
        store: store.address,
    };
    let mut nodes = vec![Node::start(&layout, 1, "za", None)];
    for (n, zone) in [(1, "zb"), (2, "za"), (2, "zb")] {
        let node = Node::start(&layout, n, zone, nodes.first());
        nodes.push(node);
    }
    if !nodes.iter().all(|n| n.wait_ready(Duration::from_secs(20))) {
        record.line("a process is not ready");
        return Verdict::NotRun;
    }
    sleep(Duration::from_secs(7));
    let mut acknowledged = u64::MAX;
    scope(|scope| {
        let nodes = &nodes;
        let mut n = 0;
        let mut send = |tenant: &'static str, count: usize| {
            for _ in 0..count {
                n += 1;
                let (front, n) = (nodes[n % nodes.len()].front, n);
                scope.spawn(move || ask(record, front, tenant, n));
            }
        };
        // Both runners read the shared part for ta, which nobody isolates yet.
        send("ta", 4);
        sleep(Duration::from_millis(5_500));
        // As many as the runners process and queue.
        send("tb", 32);
        sleep(Duration::from_millis(700));
        if setup.trouble {
            store.put("config", "main", &config(8, true));
            acknowledged = clock_ms();
            record.line("operator: version 8, in which ta is isolated, is acknowledged");
        }
    });
    let mut late = 0;
    for engine in &engines {
        let cache = engine.cache.0.lock().unwrap();
        let bound = acknowledged.saturating_add(APPLY_MS);
        late += cache.foreign.iter().filter(|at| **at > bound).count();
    }
    record.line(&format!(
        "uses of a part that another tenant's request made, later than 2 s after the \
         acknowledgement: {late}"
    ));
    if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
