//! Stand-in for the platform's metadata store.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use crate::http::{Message, Reader, answer};
use crate::json::Json;

#[derive(Default)]
struct State {
    revision: u64,
    /// Revision and spec of each object, by kind and name.
    objects: BTreeMap<(String, String), (u64, Json)>,
    /// Revision, kind and event of each change.
    events: Vec<(u64, String, String)>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts an empty store.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let address = listener.local_addr().expect("no address");
        let state = State {
            revision: 1,
            ..State::default()
        };
        let store = Self {
            address,
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let serving = store.clone();
        std::thread::spawn(move || serving.accept(&listener, &[]));
        store
    }

    /// Serves the same objects at another address, with addresses in them replaced: those of machines
    /// that the caller reaches through a proxy.
    pub fn start_view(&self, replaced: Vec<(SocketAddr, SocketAddr)>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let address = listener.local_addr().expect("no address");
        let quoted = |address: SocketAddr| format!("\"{address}\"");
        let replaced = replaced.into_iter();
        let replaced: Vec<_> = replaced.map(|(a, b)| (quoted(a), quoted(b))).collect();
        let store = self.clone();
        std::thread::spawn(move || store.accept(&listener, &replaced));
        address
    }

    fn accept(&self, listener: &TcpListener, replaced: &[(String, String)]) {
        for stream in listener.incoming().flatten() {
            let (store, replaced) = (self.clone(), replaced.to_vec());
            std::thread::spawn(move || store.serve(stream, &replaced));
        }
    }

    /// Writes an object, whatever its revision.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let spec = Json::parse(spec).expect("a spec that is no JSON");
        self.shared.0.lock().unwrap().put(kind, name, spec);
        self.shared.1.notify_all();
    }

    /// Removes an object if it exists.
    pub fn remove(&self, kind: &str, name: &str) {
        self.shared.0.lock().unwrap().remove(kind, name);
        self.shared.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream, replaced: &[(String, String)]) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream.try_clone().expect("no second handle"));
        while let Some(request) = reader.request() {
            let (status, mut body) = self.respond(&request);
            for (old, new) in replaced {
                body = body.replace(old, new);
            }
            let kind = "Content-Type: application/json\r\n";
            if answer(&mut stream, status, kind, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message) -> (u16, String) {
        let Some(path) = request.path().strip_prefix("/-/objects/") else {
            return (400, "{}".into());
        };
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let param = |name: &str| -> Option<String> {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(n, _)| *n == name).map(|(_, v)| v.to_owned())
        };
        let number = |name: &str| param(name).and_then(|v| v.parse::<u64>().ok());
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let body = Json::parse(&body);
        let answer = match (request.method(), path.split_once('/')) {
            ("GET", None) => match number("watch") {
                Some(from) => self.watch(path, from, number("wait-ms").unwrap_or(0)),
                None => (200, self.shared.0.lock().unwrap().list(path)),
            },
            ("GET", Some((kind, name))) => self.shared.0.lock().unwrap().one(kind, name),
            ("POST", None) => self.create(path, body),
            ("PUT", Some((kind, name))) => self.replace(kind, name, body),
            ("DELETE", Some((kind, name))) => self.delete(kind, name, number("revision")),
            _ => (400, "{}".into()),
        };
        self.shared.1.notify_all();
        answer
    }

    fn watch(&self, kind: &str, from: u64, wait_ms: u64) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        let has = |s: &mut State| s.events.iter().any(|(r, k, _)| *r > from && k == kind);
        let wait = Duration::from_millis(wait_ms.min(30_000));
        let waited = self.shared.1.wait_timeout_while(state, wait, |s| !has(s));
        let state = waited.unwrap().0;
        let events = state.events.iter();
        let events = events.filter(|(r, k, _)| *r > from && k == kind);
        let events: Vec<&str> = events.map(|(_, _, event)| event.as_str()).collect();
        let body = format!(
            "{{\"events\":[{}],\"store-revision\":{}}}",
            events.join(","),
            state.revision
        );
        (200, body)
    }

    fn create(&self, kind: &str, body: Option<Json>) -> (u16, String) {
        let Some((name, _, spec)) = body.as_ref().and_then(object_of) else {
            return (400, "{}".into());
        };
        let mut state = self.shared.0.lock().unwrap();
        if state.objects.contains_key(&(kind.to_owned(), name.clone())) {
            return (409, state.one(kind, &name).1);
        }
        state.put(kind, &name, spec);
        state.one(kind, &name)
    }

    fn replace(&self, kind: &str, name: &str, body: Option<Json>) -> (u16, String) {
        let Some((_, revision, spec)) = body.as_ref().and_then(object_of) else {
            return (400, "{}".into());
        };
        let mut state = self.shared.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        match state.objects.get(&key) {
            None => return (404, "{}".into()),
            Some((known, _)) if revision.is_some_and(|r| r != *known) => {
                return (409, state.one(kind, name).1);
            }
            Some((_, old)) if *old == spec => return state.one(kind, name),
            Some(_) => {}
        }
        state.put(kind, name, spec);
        state.one(kind, name)
    }

    fn delete(&self, kind: &str, name: &str, revision: Option<u64>) -> (u16, String) {
        let mut state = self.shared.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        match state.objects.get(&key) {
            None => (404, "{}".into()),
            Some((known, _)) if revision.is_some_and(|r| r != *known) => {
                (409, state.one(kind, name).1)
            }
            Some(_) => {
                let body = state.one(kind, name).1;
                state.remove(kind, name);
                (200, body)
            }
        }
    }
}

/// Name, revision and spec of an object in a call's body.
fn object_of(body: &Json) -> Option<(String, Option<u64>, Json)> {
    let metadata = body.get("metadata")?;
    let name = metadata.get("name")?.text()?.to_owned();
    let revision = metadata.get("revision").and_then(Json::whole);
    Some((name, revision, body.get("spec")?.clone()))
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: Json) {
        self.revision += 1;
        let event = format!(
            "{{\"deleted\":false,\"object\":{}}}",
            encode(name, self.revision, &spec)
        );
        let key = (kind.to_owned(), name.to_owned());
        self.objects.insert(key, (self.revision, spec));
        self.events.push((self.revision, kind.to_owned(), event));
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if let Some((_, spec)) = self.objects.remove(&key) {
            self.revision += 1;
            let event = format!(
                "{{\"deleted\":true,\"object\":{}}}",
                encode(name, self.revision, &spec)
            );
            self.events.push((self.revision, kind.to_owned(), event));
        }
    }

    fn list(&self, kind: &str) -> String {
        let items = self.objects.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<String> = items.map(|((_, n), (r, s))| encode(n, *r, s)).collect();
        format!(
            "{{\"items\":[{}],\"has-more\":false,\"store-revision\":{}}}",
            items.join(","),
            self.revision
        )
    }

    fn one(&self, kind: &str, name: &str) -> (u16, String) {
        match self.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some((revision, spec)) => (200, encode(name, *revision, spec)),
            None => (404, "{}".into()),
        }
    }
}

fn encode(name: &str, revision: u64, spec: &Json) -> String {
    let name = Json::Text(name.to_owned()).encode();
    format!(
        "{{\"metadata\":{{\"name\":{name},\"revision\":{revision},\"created\":1,\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":null}}",
        spec.encode()
    )
}
