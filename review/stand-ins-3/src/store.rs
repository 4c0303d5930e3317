//! Stand-in for the platform's metadata store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Conn, Request, respond, serve};
use crate::json;

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
}

struct Change {
    revision: u64,
    kind: String,
    name: String,
    deleted: bool,
    object: Object,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    changes: Vec<Change>,
}

/// A store of objects with revisions and watches, which loses nothing.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

fn show(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"created\":{},\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{},\"status\":null}}",
        object.revision, object.created, object.spec
    )
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: &str) -> Object {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(known) = self.objects.get(&key) {
            if known.spec == spec {
                return known.clone();
            }
        }
        self.revision += 1;
        let created = self.objects.get(&key).map_or(self.revision, |o| o.created);
        let object = Object {
            revision: self.revision,
            created,
            spec: spec.to_owned(),
        };
        self.objects.insert(key, object.clone());
        self.record(kind, name, false, object.clone());
        object
    }

    fn record(&mut self, kind: &str, name: &str, deleted: bool, object: Object) {
        self.changes.push(Change {
            revision: self.revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            deleted,
            object,
        });
    }
}

impl Store {
    pub fn start(ip: &str) -> Self {
        let state = State {
            revision: 100,
            ..State::default()
        };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let served = shared.clone();
        let address = serve(ip, move |req, conn| handle(&served, &req, conn));
        Self { address, shared }
    }

    /// Writes an object as an operator or a server does; its return is the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let (state, changed) = &*self.shared;
        state.lock().unwrap().put(kind, name, spec);
        changed.notify_all();
    }

    /// Removes an object, as the entry of a server that is silent.
    pub fn delete(&self, kind: &str, name: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if let Some(known) = state.objects.remove(&key) {
            state.revision += 1;
            state.record(kind, name, true, known);
        }
        changed.notify_all();
    }
}

fn handle(shared: &(Mutex<State>, Condvar), req: &Request, conn: &mut Conn) -> bool {
    let (state, changed) = shared;
    std::thread::sleep(Duration::from_millis(4));
    let path = req.bare_path().strip_prefix("/-/objects/");
    let Some(path) = path else {
        return respond(conn, 404, &[], "");
    };
    let (kind, name) = match path.split_once('/') {
        Some((kind, name)) => (kind, Some(name)),
        None => (path, None),
    };
    match (req.method.as_str(), name) {
        ("GET", None) => match req.query("watch").and_then(|n| n.parse().ok()) {
            Some(from) => watch(shared, req, conn, kind, from),
            None => {
                let state = state.lock().unwrap();
                let after = req.query("after").unwrap_or_default();
                let objects = state.objects.iter();
                let listed = objects.filter(|((k, n), _)| k == kind && n.as_str() > after);
                let listed: Vec<String> = listed.map(|((_, n), o)| show(n, o)).collect();
                let body = format!(
                    "{{\"items\":[{}],\"has-more\":false,\"store-revision\":{}}}",
                    listed.join(","),
                    state.revision
                );
                drop(state);
                respond_json(conn, 200, &body)
            }
        },
        ("GET", Some(name)) => {
            let key = (kind.to_owned(), name.to_owned());
            let found = state.lock().unwrap().objects.get(&key).cloned();
            match found {
                Some(object) => respond_json(conn, 200, &show(name, &object)),
                None => respond_json(conn, 404, "{}"),
            }
        }
        ("POST", None) => {
            let metadata = json::field(req.text(), "metadata").unwrap_or("{}");
            let name = json::string(json::field(metadata, "name").unwrap_or("\"\""));
            let spec = json::field(req.text(), "spec").unwrap_or("null");
            let key = (kind.to_owned(), name.clone());
            let mut state = state.lock().unwrap();
            let (status, object) = match state.objects.get(&key) {
                Some(known) => (409, known.clone()),
                None => (200, state.put(kind, &name, spec)),
            };
            drop(state);
            changed.notify_all();
            respond_json(conn, status, &show(&name, &object))
        }
        ("PUT" | "DELETE", Some(name)) => {
            let metadata = json::field(req.text(), "metadata").unwrap_or("{}");
            let expected = json::field(metadata, "revision").and_then(json::number);
            let expected = expected.or(req.query("revision").and_then(json::number));
            let key = (kind.to_owned(), name.to_owned());
            let mut state = state.lock().unwrap();
            let Some(known) = state.objects.get(&key).cloned() else {
                drop(state);
                return respond_json(conn, 404, "{}");
            };
            let (status, object) = if expected.is_some_and(|n| n != known.revision) {
                (409, known)
            } else if req.method == "PUT" {
                let spec = json::field(req.text(), "spec").unwrap_or("null");
                (200, state.put(kind, name, spec))
            } else {
                state.revision += 1;
                state.objects.remove(&key);
                state.record(kind, name, true, known.clone());
                (200, known)
            };
            drop(state);
            changed.notify_all();
            respond_json(conn, status, &show(name, &object))
        }
        _ => respond_json(conn, 404, "{}"),
    }
}

fn watch(
    (state, changed): &(Mutex<State>, Condvar),
    req: &Request,
    conn: &mut Conn,
    kind: &str,
    from: u64,
) -> bool {
    let wait = req.query("wait-ms").and_then(json::number).unwrap_or(0);
    let until = Instant::now() + Duration::from_millis(wait.min(30_000));
    let mut state = state.lock().unwrap();
    loop {
        let news = state.changes.iter();
        let news = news.filter(|c| c.kind == kind && c.revision > from);
        let news: Vec<String> = news
            .map(|c| {
                let object = show(&c.name, &c.object);
                format!("{{\"deleted\":{},\"object\":{object}}}", c.deleted)
            })
            .collect();
        let left = until.saturating_duration_since(Instant::now());
        if !news.is_empty() || left.is_zero() {
            let body = format!(
                "{{\"events\":[{}],\"store-revision\":{}}}",
                news.join(","),
                state.revision
            );
            drop(state);
            return respond_json(conn, 200, &body);
        }
        state = changed.wait_timeout(state, left).unwrap().0;
    }
}

fn respond_json(conn: &mut Conn, status: u16, body: &str) -> bool {
    let json = [("Content-Type", "application/json".to_owned())];
    respond(conn, status, &json, body)
}
