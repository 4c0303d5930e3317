//! LOST: many clients at once upload bodies within the limits, and the process grows over its memory.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::entry::{Entry, free_addresses};
use crate::http::Reader;
use crate::record::Record;
use crate::runner::{Platform, Service};
use crate::store::Store;
use crate::{Args, Verdict};

/// `limits.memory-mb` of the site `pluvial-qc`.
const MEMORY_MB: u64 = 110;
/// `max-body-bytes` of the configuration.
const BODY_BYTES: usize = 4_194_304;
/// Clients that upload at the same time, as usual and in the burst (1.7 times as many).
const CLIENTS: usize = 16;
const BURST_CLIENTS: usize = 27;
/// Pause of a client between two uploads.
const UPLOAD_PAUSE: Duration = Duration::from_millis(20);
/// Clients that send short bookings, and the pause of each between two.
const BOOKING_CLIENTS: usize = 10;
const BOOKING_PAUSE: Duration = Duration::from_millis(50);
/// Pieces in which a client sends a body, and the pause after each: 2 MB/s, so that all clients together
/// stay below the machine's link of 1,000 Mbit/s.
const PIECE_BYTES: usize = 64 * 1024;
const PIECE_PAUSE: Duration = Duration::from_micros(31_250);
const TIME: Duration = Duration::from_secs(30);
const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-book","host":"desk.example","path-prefix":"/book/","kind":"unsafe","timeout-ms":3000,"target-latency-ms":300,"priority":2,"service":"booking","max-attempts":1,"public":false}],"services":[{"name":"booking","health-path":"/health","max-connections":100,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"ta","api-keys":["key-a"]}]}"#;

pub fn run(args: &Args) -> Verdict {
    let Ok(record) = Record::create(&args.case.join("record.txt")) else {
        return Verdict::Failed("cannot write the record".into());
    };
    record.line(&format!("trouble {}", args.trouble));
    let store = Store::start();
    store.put("config", "main", CONFIG);
    let platform = Platform::new(store.clone(), record.clone());
    for zone in ["qc-east-a", "qc-east-b", "qc-east-c", "qc-east-d"] {
        platform.start_runner(Service::Plain, zone);
    }
    let addresses = free_addresses(1);
    let seeds = [addresses[0].control];
    let entry = Entry::start(
        &args.dir,
        "front-qc-east-a-1",
        "qc-east-a",
        addresses[0],
        &seeds,
        store.address,
    );
    if !entry.wait_ready(Duration::from_secs(15)) {
        return Verdict::Failed("the entry is not ready".into());
    }
    std::thread::sleep(Duration::from_millis(3_500));
    let entry = Arc::new(Mutex::new(entry));
    let stop = Arc::new(AtomicBool::new(false));
    let (kills, peak) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let warden = {
        let (entry, stop, kills, peak, record) = (
            entry.clone(),
            stop.clone(),
            kills.clone(),
            peak.clone(),
            record.clone(),
        );
        std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let mut entry = entry.lock().unwrap();
                let mb = entry.memory_kb() / 1024;
                peak.fetch_max(mb, Ordering::Relaxed);
                if mb > MEMORY_MB {
                    kills.fetch_add(1, Ordering::Relaxed);
                    record.line(&format!("the process has {mb} MB: the platform kills it"));
                    entry.kill_and_start();
                }
                drop(entry);
                std::thread::sleep(Duration::from_millis(3));
            }
        })
    };
    let lost = Arc::new(Mutex::new(Vec::new()));
    let clients = if args.trouble { BURST_CLIENTS } else { CLIENTS };
    let front = addresses[0].front;
    let threads: Vec<_> = (0..clients)
        .map(|client| {
            let (stop, lost, record) = (stop.clone(), lost.clone(), record.clone());
            let caller = Caller {
                name: format!("up-{client}"),
                body: vec![b'x'; BODY_BYTES],
                pause: UPLOAD_PAUSE,
            };
            std::thread::spawn(move || caller.run(front, &stop, &lost, &record))
        })
        .collect();
    let bookings = (0..BOOKING_CLIENTS).map(|client| {
        let (stop, lost, record) = (stop.clone(), lost.clone(), record.clone());
        let caller = Caller {
            name: format!("book-{client}"),
            body: vec![b'x'; 600],
            pause: BOOKING_PAUSE,
        };
        std::thread::spawn(move || caller.run(front, &stop, &lost, &record))
    });
    let bookings: Vec<_> = bookings.collect();
    std::thread::sleep(TIME);
    stop.store(true, Ordering::Relaxed);
    for thread in threads.into_iter().chain(bookings) {
        let _ = thread.join();
    }
    let _ = warden.join();
    let runs = platform.log.runs.lock().unwrap().clone();
    let lost = lost.lock().unwrap().clone();
    let passed_on = lost
        .iter()
        .filter(|id| runs.iter().any(|run| run.request == **id))
        .count();
    record.line(&format!(
        "{clients} clients, {} requests ran; peak {} MB; {} kills; {} requests on kept connections ended \
         without an answer, {passed_on} of them had been passed on to a runner",
        runs.len(),
        peak.load(Ordering::Relaxed),
        kills.load(Ordering::Relaxed),
        lost.len()
    ));
    if passed_on > 3 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// A client that sends one request after another on a kept connection.
struct Caller {
    name: String,
    body: Vec<u8>,
    pause: Duration,
}

impl Caller {
    fn run(
        &self,
        front: SocketAddr,
        stop: &AtomicBool,
        lost: &Mutex<Vec<String>>,
        record: &Record,
    ) {
        let mut number = 0;
        while !stop.load(Ordering::Relaxed) {
            let Ok(mut stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
                std::thread::sleep(Duration::from_millis(200));
                continue;
            };
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
            let mut reader = Reader::new(stream.try_clone().expect("no second handle"));
            let mut kept = false;
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                let id = format!("{}-{number}", self.name);
                let started = Instant::now();
                let sent = self.send(&id, &mut stream);
                let answer = sent.ok().and_then(|()| reader.answer());
                let Some(answer) = answer.filter(|answer| answer.complete) else {
                    let took = started.elapsed().as_millis();
                    record.line(&format!(
                        "request {id}: no answer after {took} ms, kept: {kept}"
                    ));
                    if kept {
                        lost.lock().unwrap().push(id);
                    }
                    break;
                };
                record.line(&format!("request {id}: answer {}", answer.status()));
                kept = answer.header("connection") != Some("close");
                if !kept {
                    break;
                }
                std::thread::sleep(self.pause);
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    fn send(&self, id: &str, stream: &mut TcpStream) -> std::io::Result<()> {
        let head = format!(
            "POST /book/{id} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: 3000\r\nCredential: key-a\r\nContent-Length: {}\r\n\r\n",
            self.body.len()
        );
        stream.write_all(head.as_bytes())?;
        send_paced(stream, &self.body)
    }
}

/// Sends a body at the speed of a client's link.
fn send_paced(stream: &mut TcpStream, body: &[u8]) -> std::io::Result<()> {
    let mut next = Instant::now();
    for piece in body.chunks(PIECE_BYTES) {
        stream.write_all(piece)?;
        if piece.len() == PIECE_BYTES {
            next += PIECE_PAUSE;
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
        }
    }
    Ok(())
}
