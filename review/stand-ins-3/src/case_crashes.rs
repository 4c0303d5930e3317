//! Case: a request that crashes each runner which begins to run it, and all processes of the system killed
//! at the same moment.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use std::io::Write;

use crate::http::{Conn, Request, call, respond};
use crate::node::{Layout, Node, stand_in_ip};
use crate::record::Record;
use crate::store::Store;
use crate::{Setup, Verdict, clock_ms, unix_ms};

const RUNNERS: usize = 9;
/// `stable-window-ms` of the settings.
const STABLE_WINDOW_MS: u64 = 3_000;
/// Retries that may reach runners after that.
const ALLOWED_LATE: usize = 3;
/// Time from a crash of a runner to its next start.
const RUNNER_DOWN: Duration = Duration::from_secs(3);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time from the kill of a process to its next start.
const NODE_DOWN: Duration = Duration::from_millis(1_300);
/// Interval at which the request that crashes runners comes again.
const INTERVAL: Duration = Duration::from_millis(1_700);
const EVENTS: u64 = 4;
const CRASHING_PATH: &str = "/check/crash";

const CONFIG: &str = "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"salon.example\",\
    \"path-prefix\":\"/check/\",\"kind\":\"streaming\",\"timeout-ms\":3000,\
    \"target-latency-ms\":400,\"priority\":0,\"service\":\"models\",\"max-attempts\":1,\
    \"public\":false,\"sticky\":true,\"resumable\":false,\"gap-aim-ms\":300}],\
    \"services\":[{\"name\":\"models\",\"health-path\":\"/health\",\"max-connections\":370,\
    \"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,\"kv-capacity\":99308,\
    \"kv-token-bytes\":35136,\"link-mbps\":550000.0,\"managed\":true,\"max-concurrent\":12,\
    \"models\":[{\"name\":\"model-a\"}]}}],\
    \"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
    \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\
    \"tenants\":[{\"name\":\"bozi300\",\"api-keys\":[\"jnbanfqasnmgkcuyj8pj\"],\"priority\":1}]}";

/// What the runners saw of the request that crashes them, in the order of its arrivals.
#[derive(Default)]
struct Arrivals(Mutex<Vec<u64>>);

/// One start of a runner.
struct Incarnation {
    id: String,
    born: u64,
    is_down: AtomicBool,
    conns: Mutex<Vec<TcpStream>>,
}

/// Runs a runner that starts again under a new id each time that it has crashed.
fn run_runner(n: usize, store: Store, arrivals: Arc<Arrivals>, record: Record) {
    let listener = TcpListener::bind((stand_in_ip().as_str(), 0)).expect("no free port");
    let address = listener.local_addr().expect("no address");
    thread::spawn(move || {
        let mut first = Some(listener);
        let mut starts = 0;
        loop {
            starts += 1;
            let bound = first.take().or_else(|| TcpListener::bind(address).ok());
            let Some(listener) = bound else {
                sleep(Duration::from_millis(20));
                continue;
            };
            let incarnation = Arc::new(Incarnation {
                id: format!("i-{n}-{starts}"),
                born: unix_ms(),
                is_down: AtomicBool::new(false),
                conns: Mutex::default(),
            });
            beat(&incarnation, address, n, &store);
            accept(&listener, &incarnation, &arrivals, &record);
            drop(listener);
            sleep(RUNNER_DOWN);
        }
    });
}

/// Registers the runner until it is down; its entry is removed after three heartbeats of silence.
fn beat(incarnation: &Arc<Incarnation>, address: SocketAddr, n: usize, store: &Store) {
    let (incarnation, store) = (incarnation.clone(), store.clone());
    thread::spawn(move || {
        let mut sequence = 0;
        let zone = if n % 2 == 0 { "za" } else { "zb" };
        while !incarnation.is_down.load(Ordering::SeqCst) {
            sequence += 1;
            let Incarnation { id, born, .. } = &*incarnation;
            let text = format!(
                "{{\"service\":\"models\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold-remaining-ms\":0,\
                 \"stage\":\"both\",\"models\":{MODELS},\"sequence\":{sequence},\"born\":{born}}}"
            );
            store.put("servers", id, &text);
            sleep(HEARTBEAT);
        }
        sleep(2 * HEARTBEAT);
        store.delete("servers", &incarnation.id);
    });
}

const MODELS: &str = "[{\"name\":\"model-a\",\"version\":1,\"adapters\":[]}]";

fn accept(
    listener: &TcpListener,
    incarnation: &Arc<Incarnation>,
    arrivals: &Arc<Arrivals>,
    record: &Record,
) {
    listener.set_nonblocking(true).expect("no accept");
    while !incarnation.is_down.load(Ordering::SeqCst) {
        let Ok((stream, _)) = listener.accept() else {
            sleep(Duration::from_millis(1));
            continue;
        };
        let _ = stream.set_nonblocking(false);
        if let Ok(clone) = stream.try_clone() {
            incarnation.conns.lock().unwrap().push(clone);
        }
        let (incarnation, arrivals) = (incarnation.clone(), arrivals.clone());
        let record = record.clone();
        thread::spawn(move || {
            let mut conn = Conn::new(stream);
            while let Ok(Some(req)) = conn.request() {
                if !answer(&req, &mut conn, &incarnation, &arrivals, &record) {
                    return;
                }
            }
        });
    }
}

fn answer(
    req: &Request,
    conn: &mut Conn,
    incarnation: &Incarnation,
    arrivals: &Arrivals,
    record: &Record,
) -> bool {
    let instance = ("Instance-Id", incarnation.id.clone());
    let expected = req.header("expect-instance");
    if expected.is_some_and(|id| id != incarnation.id) {
        return respond(conn, 421, &[instance], "");
    }
    match req.bare_path() {
        "/health" => return respond(conn, 200, &[instance], ""),
        "/-/report" => {
            let body = format!(
                "{{\"stage\":\"both\",\"models\":{MODELS},\"busy\":false,\"sequence\":0,\
                 \"queued\":0,\"running\":0,\"kv-used\":0,\"kv-total\":99308,\"handles\":0,\
                 \"born\":{},\"clock_ms\":{}}}",
                incarnation.born,
                clock_ms()
            );
            return respond(conn, 200, &[], &body);
        }
        _ => {}
    }
    let id = req.header("request-id").unwrap_or_default().to_owned();
    if req.header("expect-version").is_some_and(|v| v != "1") {
        return respond(conn, 421, &[("Request-Id", id), instance], "");
    }
    let crashes = req.bare_path() == CRASHING_PATH;
    if crashes {
        let mut arrivals = arrivals.0.lock().unwrap();
        arrivals.push(clock_ms());
        let number = arrivals.len();
        record.line(&format!(
            "runner {}: {id} arrives, the request that crashes runners, for the {number}. time",
            incarnation.id
        ));
    }
    sleep(Duration::from_millis(40));
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         Request-Id: {id}\r\nServer-Stamp: 3e1b.{}.{id}\r\nWeight-Versions: 1\r\n\r\n",
        incarnation.id
    );
    if conn.stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for n in 1..=EVENTS {
        let event = format!("id: {n}\ndata: {id}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if conn.stream.write_all(chunk.as_bytes()).is_err() {
            return false;
        }
        sleep(Duration::from_millis(15));
        if crashes {
            // It begins to run with its first token.
            record.line(&format!("runner {}: crashes", incarnation.id));
            incarnation.is_down.store(true, Ordering::SeqCst);
            sleep(Duration::from_millis(5));
            for conn in incarnation.conns.lock().unwrap().drain(..) {
                let _ = conn.shutdown(Shutdown::Both);
            }
            return false;
        }
    }
    conn.stream.write_all(b"0\r\n\r\n").is_ok()
}

/// Sends a request; returns its status and whether it was answered whole.
fn send(front: SocketAddr, path: &str, id: &str, last_part: &str, body: &[u8]) -> (u16, bool) {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: salon.example\r\nRequest-Id: {id}\r\nModel: model-a\r\n\
         Token-Usage: 507,4\r\nPrompt-Prefix: {last_part}:507\r\nDeadline-Ms: 3000\r\n\
         Credential: jnbanfqasnmgkcuyj8pj\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let response = call(front, &head, body, Duration::from_secs(4));
    (response.status, response.fault.is_none())
}

/// Has the request that crashes runners come again and again, at the processes in turn.
fn crash(setup: &Setup, fronts: &[SocketAddr], sent: &AtomicU64, time: Duration) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        let n = sent.fetch_add(1, Ordering::SeqCst);
        let front = fronts[n as usize % fronts.len()];
        let id = format!("c0{n:014x}");
        let (status, whole) = send(front, CRASHING_PATH, &id, "dead0001", b"the same body");
        let whole = if whole { "whole" } else { "cut" };
        setup.record.line(&format!(
            "client: {id}, the request that crashes: {status} {whole}"
        ));
        sleep(INTERVAL);
    }
}

pub fn play(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let store = Store::start(&stand_in_ip());
    store.put(
        "versions",
        "model-a",
        "{\"model\":\"model-a\",\"version\":1}",
    );
    store.put("config", "main", CONFIG);
    let arrivals = Arc::new(Arrivals::default());
    for n in 1..=RUNNERS {
        run_runner(n, store.clone(), arrivals.clone(), record.clone());
    }
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
    sleep(Duration::from_secs(6));
    let fronts: Vec<_> = nodes.iter().map(|n| n.front).collect();
    let (sent, sound) = (AtomicU64::new(0), Mutex::new((0, 0)));
    let stop = AtomicBool::new(false);
    // From when on the processes are in touch again.
    let mut in_touch_from = 0;
    thread::scope(|scope| {
        let (fronts, sound, stop) = (&fronts, &sound, &stop);
        scope.spawn(move || {
            for n in 0_u64.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let (id, part) = (format!("50{n:014x}"), format!("e4{n:06x}"));
                let path = format!("/check/{n}");
                let answer = send(
                    fronts[n as usize % fronts.len()],
                    &path,
                    &id,
                    &part,
                    b"sound",
                );
                let mut sound = sound.lock().unwrap();
                sound.0 += u32::from(answer == (200, true));
                sound.1 += 1;
                drop(sound);
                sleep(Duration::from_millis(30));
            }
        });
        crash(setup, fronts, &sent, Duration::from_secs(22));
        if setup.trouble {
            for node in &mut nodes {
                node.kill();
            }
            record.line("all processes of the system are killed");
            sleep(NODE_DOWN);
            for node in &mut nodes {
                node.spawn();
            }
            record.line("all processes of the system are started again");
        }
        let ready = nodes.iter().all(|n| n.wait_ready(Duration::from_secs(10)));
        record.line(&format!("all processes are ready: {ready}"));
        in_touch_from = clock_ms() + STABLE_WINDOW_MS;
        sleep(Duration::from_millis(2 * STABLE_WINDOW_MS));
        record.line("all processes are in touch");
        crash(setup, fronts, &sent, Duration::from_secs(28));
        stop.store(true, Ordering::SeqCst);
    });
    let arrivals = arrivals.0.lock().unwrap();
    let sound = sound.lock().unwrap();
    record.line(&format!(
        "sound requests answered whole: {} of {}",
        sound.0, sound.1
    ));
    record.line(&format!(
        "arrivals of the request that crashes runners: {}",
        arrivals.len()
    ));
    let Some(third) = arrivals.get(2) else {
        record.line("fewer than three runners crashed");
        return Verdict::NotRun;
    };
    let known = third + STABLE_WINDOW_MS;
    let late = arrivals
        .iter()
        .filter(|at| **at > known && **at > in_touch_from);
    let late = late.count();
    record.line(&format!(
        "arrivals sent later than 3 s after the third crash, by processes in touch: {late}; \
         allowed: {ALLOWED_LATE}"
    ));
    if late > ALLOWED_LATE {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
