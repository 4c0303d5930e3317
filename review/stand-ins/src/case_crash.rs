//! BUDGET: a request that crashes runners comes again while the machines are restarted in turn.

use std::time::Duration;

use crate::entry::{Entry, free_addresses};
use crate::http::{Outcome, call};
use crate::record::Record;
use crate::runner::{CRASHING_BODY, Platform, Service};
use crate::store::Store;
use crate::{Args, Verdict};

const ZONES: [&str; 4] = ["tallinn-a", "tallinn-b", "tartu-a", "parnu-a"];
const RUNNERS: usize = 8;
/// `stable-window-ms`, and some more.
const IN_TOUCH: Duration = Duration::from_millis(3_500);
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Pause between two requests of the caller.
const PAUSE: Duration = Duration::from_millis(1_200);
const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-book","host":"salon.example","path-prefix":"/book/","kind":"unsafe","timeout-ms":1200,"target-latency-ms":150,"priority":2,"service":"booking","max-attempts":1,"public":false}],"services":[{"name":"booking","health-path":"/health","max-connections":110,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"ta","api-keys":["key-a"]}]}"#;

struct Case {
    record: Record,
    entries: Vec<Entry>,
    sent: usize,
    /// Ids of the requests that crash runners, with the time of their sending.
    crashing: Vec<(String, Duration)>,
    sound_failed: usize,
    sound: usize,
}

pub fn run(args: &Args) -> Verdict {
    let Ok(record) = Record::create(&args.case.join("record.txt")) else {
        return Verdict::Failed("cannot write the record".into());
    };
    record.line(&format!("trouble {}", args.trouble));
    let store = Store::start();
    store.put("config", "main", CONFIG);
    let platform = Platform::new(store.clone(), record.clone());
    for n in 0..RUNNERS {
        platform.start_runner(Service::Plain, ZONES[n % ZONES.len()]);
    }
    let addresses = free_addresses(ZONES.len());
    let seeds: Vec<_> = addresses.iter().take(3).map(|a| a.control).collect();
    let entries = ZONES.iter().zip(&addresses).map(|(zone, addresses)| {
        let name = format!("front-{zone}-1");
        Entry::start(&args.dir, &name, zone, *addresses, &seeds, store.address)
    });
    let mut case = Case {
        record,
        entries: entries.collect(),
        sent: 0,
        crashing: Vec::new(),
        sound_failed: 0,
        sound: 0,
    };
    if !case
        .entries
        .iter()
        .all(|e| e.wait_ready(Duration::from_secs(15)))
    {
        return Verdict::Failed("an entry is not ready".into());
    }
    std::thread::sleep(IN_TOUCH);
    for n in 0..case.entries.len() {
        if !case.send_sound(n) {
            return Verdict::Failed("a sound request is not served at the start".into());
        }
    }
    // The request comes again at any machine, until all know it.
    for n in 0..case.entries.len() {
        case.come_again(n);
    }
    for n in 0..case.entries.len() {
        if args.trouble {
            case.record
                .line(&format!("{} gets SIGTERM", case.entries[n].name));
            let took = case.entries[n].restart();
            case.record.line(&format!(
                "{} ended after {} ms and starts again",
                case.entries[n].name,
                took.as_millis()
            ));
            if !case.entries[n].wait_ready(Duration::from_secs(10)) {
                return Verdict::Failed("an entry is not ready after its restart".into());
            }
            case.record
                .line(&format!("{} is ready", case.entries[n].name));
        }
        std::thread::sleep(IN_TOUCH);
        case.come_again(n);
        case.send_sound(n);
    }
    case.judge(&platform)
}

impl Case {
    /// The request comes again, twice, at one machine.
    fn come_again(&mut self, entry: usize) {
        for _ in 0..2 {
            let id = format!("crash-{}", self.sent);
            let at = self.record.now();
            self.crashing.push((id.clone(), at));
            let outcome = self.send(entry, &id, "/book/slot", CRASHING_BODY);
            self.record.line(&format!(
                "request {id}: {} answers {} after {} ms",
                self.entries[entry].name,
                outcome.status,
                outcome.took.as_millis()
            ));
            std::thread::sleep(PAUSE);
        }
    }

    /// Sends a booking that crashes nothing; returns whether it was served.
    fn send_sound(&mut self, entry: usize) -> bool {
        let id = format!("sound-{}", self.sent);
        let path = format!("/book/{id}");
        let outcome = self.send(entry, &id, &path, "book");
        let served = outcome.status == 200 && outcome.complete;
        self.sound += 1;
        self.sound_failed += usize::from(!served);
        self.record.line(&format!(
            "request {id}: {} answers {}",
            self.entries[entry].name, outcome.status
        ));
        served
    }

    fn send(&mut self, entry: usize, id: &str, path: &str, body: &str) -> Outcome {
        self.sent += 1;
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: salon.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: 2500\r\nCredential: key-a\r\nConnection: close\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let address = self.entries[entry].addresses.front;
        call(address, request.as_bytes(), Duration::from_millis(2_500))
    }

    /// Counts the retries that reached runners, sent later than the stable window after the third
    /// crash; all of them come from machines that have run for longer than that.
    fn judge(&self, platform: &Platform) -> Verdict {
        let runs = platform.log.runs.lock().unwrap().clone();
        let crashes: Vec<_> = runs.iter().filter(|run| run.crashed).collect();
        self.record.line(&format!(
            "{} requests that crash runners were sent, {} reached a runner; {} of {} sound ones failed",
            self.crashing.len(),
            crashes.len(),
            self.sound_failed,
            self.sound
        ));
        let Some(third) = crashes.get(2) else {
            self.record
                .line("fewer than three runners crashed: the rule holds");
            return Verdict::Held;
        };
        let from = third.at + STABLE_WINDOW;
        let sent_late = |id: &str| {
            let mut sent = self.crashing.iter();
            sent.any(|(sent_id, at)| sent_id == id && *at > from)
        };
        let late = crashes.iter().filter(|run| sent_late(&run.request)).count();
        self.record.line(&format!(
            "third crash at {:.3} s; {late} retries sent later than 3 s after it reached runners; \
             three are allowed",
            third.at.as_secs_f64()
        ));
        if late > 3 {
            Verdict::Broken
        } else {
            Verdict::Held
        }
    }
}
