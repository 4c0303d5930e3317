//! BUDGET: a prompt that crashes runners after their first event comes again.

use std::time::Duration;

use crate::entry::{Entry, free_addresses};
use crate::http::{Outcome, call};
use crate::record::Record;
use crate::runner::{CRASHING_BODY, Platform, Service};
use crate::store::Store;
use crate::{Args, Verdict};

const ZONES: [&str; 4] = ["tallinn-a", "tallinn-b", "tartu-a", "parnu-a"];
const RUNNERS: usize = 8;
/// Times that the prompt comes.
const TIMES: usize = 16;
/// Pause of the caller.
const PAUSE: Duration = Duration::from_millis(1_500);
const STABLE_WINDOW: Duration = Duration::from_secs(3);
const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-ask","host":"salon.example","path-prefix":"/ask/","kind":"streaming","timeout-ms":3000,"target-latency-ms":400,"priority":0,"service":"llm","max-attempts":1,"public":false,"sticky":true,"resumable":false,"gap-aim-ms":300}],"services":[{"name":"llm","health-path":"/health","max-connections":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-capacity":99308,"kv-token-bytes":35136,"link-mbps":550000.0,"stride":6,"max-concurrent":12,"models":[{"name":"m0"}]}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"ta","api-keys":["key-a"]}]}"#;

pub fn run(args: &Args) -> Verdict {
    let Ok(record) = Record::create(&args.case.join("record.txt")) else {
        return Verdict::Failed("cannot write the record".into());
    };
    record.line(&format!("trouble {}", args.trouble));
    let store = Store::start();
    store.put("config", "main", CONFIG);
    store.put("versions", "m0", r#"{"model":"m0","version":1}"#);
    let platform = Platform::new(store.clone(), record.clone());
    for n in 0..RUNNERS {
        platform.start_runner(Service::Model, ZONES[n % ZONES.len()]);
    }
    let addresses = free_addresses(ZONES.len());
    let seeds: Vec<_> = addresses.iter().take(3).map(|a| a.control).collect();
    let entries = ZONES.iter().zip(&addresses).map(|(zone, addresses)| {
        let name = format!("front-{zone}-1");
        Entry::start(&args.dir, &name, zone, *addresses, &seeds, store.address)
    });
    let entries: Vec<Entry> = entries.collect();
    if !entries
        .iter()
        .all(|e| e.wait_ready(Duration::from_secs(15)))
    {
        return Verdict::Failed("an entry is not ready".into());
    }
    std::thread::sleep(Duration::from_millis(3_500));
    // Without the disruption the same prompt comes as often, and crashes nothing.
    let body = if args.trouble { CRASHING_BODY } else { "sound" };
    let mut sent = Vec::new();
    let mut sound_failed = 0;
    for n in 0..TIMES {
        let entry = &entries[n % entries.len()];
        let id = format!("again-{n}");
        sent.push((id.clone(), record.now()));
        let outcome = send(entry, &id, body, "7d00", "crash");
        record.line(&format!(
            "request {id}: {} answers {}, whole: {}",
            entry.name, outcome.status, outcome.complete
        ));
        let id = format!("sound-{n}");
        let outcome = send(entry, &id, "text", "5e55", &format!("{n:08x}"));
        let served = outcome.status == 200 && outcome.complete;
        sound_failed += usize::from(!served);
        record.line(&format!(
            "request {id}: {} answers {}",
            entry.name, outcome.status
        ));
        std::thread::sleep(PAUSE);
    }
    let runs = platform.log.runs.lock().unwrap().clone();
    let crashes: Vec<_> = runs.iter().filter(|run| run.crashed).collect();
    record.line(&format!(
        "the prompt came {TIMES} times and crashed {} runners; {sound_failed} of {TIMES} sound prompts \
         failed",
        crashes.len()
    ));
    let Some(third) = crashes.get(2) else {
        return Verdict::Held;
    };
    let from = third.at + STABLE_WINDOW;
    let late = crashes.iter().filter(|run| {
        let mut sent = sent.iter();
        sent.any(|(id, at)| *id == run.request && *at > from)
    });
    let late = late.count();
    record.line(&format!(
        "third crash at {:.3} s; {late} retries sent later than 3 s after it reached runners; three \
         are allowed",
        third.at.as_secs_f64()
    ));
    if late > 3 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Sends a prompt with a part of its session and a part of its own.
fn send(entry: &Entry, id: &str, body: &str, session: &str, own: &str) -> Outcome {
    let own: String = own.bytes().take(4).map(|b| format!("{b:02x}")).collect();
    let request = format!(
        "POST /ask/x HTTP/1.1\r\nHost: salon.example\r\nRequest-Id: {id}\r\nModel: m0\r\n\
         Token-Usage: 2368,4\r\nPrompt-Prefix: c0de0001:341,{session}:1520,{own}:507\r\n\
         Deadline-Ms: 3000\r\nCredential: key-a\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    call(
        entry.addresses.front,
        request.as_bytes(),
        Duration::from_secs(3),
    )
}
