//! WALL: a tenant becomes isolated, and another tenant's request uses KV cache that it made before.

use std::time::Duration;

use crate::entry::{Entry, free_addresses};
use crate::http::{Outcome, call};
use crate::record::Record;
use crate::runner::{Platform, Service};
use crate::store::Store;
use crate::{Args, Verdict};

const ZONES: [&str; 2] = ["tallinn-a", "tallinn-b"];
const RUNNERS: usize = 3;
/// `config-apply-ms`.
const CONFIG_APPLY: Duration = Duration::from_secs(2);
/// Time that the case leaves beyond it.
const MARGIN: Duration = Duration::from_secs(3);

/// A configuration in which the tenant `ta` is isolated or not.
fn config(version: u64, isolated: bool) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-chat","host":"salon.example","path-prefix":"/chat/","kind":"streaming","timeout-ms":15000,"target-latency-ms":800,"priority":1,"service":"llm","max-attempts":2,"public":false,"sticky":true,"resumable":true,"gap-aim-ms":300}}],"services":[{{"name":"llm","health-path":"/health","max-connections":370,"protocol":"h1","tls":false,"engine":{{"slots":64,"kv-capacity":99308,"kv-token-bytes":35136,"link-mbps":550000.0,"stride":6,"max-concurrent":12,"models":[{{"name":"m0"}}]}}}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"ta","api-keys":["key-a"],"isolated":{isolated}}},{{"name":"tb","api-keys":["key-b"]}}]}}"#
    )
}

struct Case {
    record: Record,
    entries: Vec<Entry>,
    sent: usize,
}

pub fn run(args: &Args) -> Verdict {
    let Ok(record) = Record::create(&args.case.join("record.txt")) else {
        return Verdict::Failed("cannot write the record".into());
    };
    record.line(&format!("trouble {}", args.trouble));
    let store = Store::start();
    store.put("config", "main", &config(3, false));
    store.put("versions", "m0", r#"{"model":"m0","version":1}"#);
    let platform = Platform::new(store.clone(), record.clone());
    for n in 0..RUNNERS {
        platform.start_runner(Service::Model, ZONES[n % ZONES.len()]);
    }
    let addresses = free_addresses(ZONES.len());
    let seeds: Vec<_> = addresses.iter().map(|a| a.control).collect();
    let entries = ZONES.iter().zip(&addresses).map(|(zone, addresses)| {
        let name = format!("front-{zone}-1");
        Entry::start(&args.dir, &name, zone, *addresses, &seeds, store.address)
    });
    let mut case = Case {
        record: record.clone(),
        entries: entries.collect(),
        sent: 0,
    };
    if !case
        .entries
        .iter()
        .all(|e| e.wait_ready(Duration::from_secs(15)))
    {
        return Verdict::Failed("an entry is not ready".into());
    }
    std::thread::sleep(Duration::from_secs(3));
    // While nobody is isolated, tenant ta sends prompts; runners cache their parts.
    for session in 0..6 {
        for entry in 0..case.entries.len() {
            if !case.prompt(entry, "ta", "key-a", session) {
                return Verdict::Failed("a prompt is not served at the start".into());
            }
        }
    }
    let mut isolated_from = None;
    if args.trouble {
        store.put("config", "main", &config(8, true));
        let acknowledged = record.now();
        record.line("the store acknowledges version 8, in which tenant ta is isolated");
        isolated_from = Some(acknowledged + CONFIG_APPLY);
    }
    std::thread::sleep(CONFIG_APPLY + MARGIN);
    // The other tenant sends prompts with the same shared parts, later than config-apply-ms.
    for session in 0..6 {
        for entry in 0..case.entries.len() {
            if !case.prompt(entry, "tb", "key-b", session) {
                return Verdict::Failed("a prompt of tenant tb is not served".into());
            }
            if !case.prompt(entry, "ta", "key-a", session) {
                return Verdict::Failed("a prompt of tenant ta is not served".into());
            }
        }
    }
    let uses = platform.log.uses.lock().unwrap().clone();
    let foreign = uses.iter().filter(|u| u.made_by != u.tenant);
    let broken: Vec<_> = foreign
        .filter(|u| isolated_from.is_some_and(|from| u.at > from))
        .collect();
    for part in &broken {
        record.line(&format!(
            "WALL: request {} of tenant {} uses part {} under salt {}, which a request of tenant {} \
             made; ta is isolated",
            part.request, part.tenant, part.part, part.salt, part.made_by
        ));
    }
    record.line(&format!(
        "{} uses of cached parts, {} across the wall later than config-apply-ms",
        uses.len(),
        broken.len()
    ));
    if broken.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

impl Case {
    /// Sends a prompt with two shared parts; returns whether it was served.
    fn prompt(&mut self, entry: usize, tenant: &str, key: &str, session: usize) -> bool {
        self.sent += 1;
        let id = format!("{tenant}-{}", self.sent);
        let request = format!(
            "POST /chat/x HTTP/1.1\r\nHost: salon.example\r\nRequest-Id: {id}\r\nModel: m0\r\n\
             Token-Usage: 1460,8\r\nPrompt-Prefix: 5c1e07a2:800,91bd3f{session:02x}:410,{:08x}:250\r\n\
             Deadline-Ms: 5000\r\nCredential: {key}\r\nConnection: close\r\n\
             Content-Length: 4\r\n\r\ntext",
            self.sent
        );
        let address = self.entries[entry].addresses.front;
        let outcome: Outcome = call(address, request.as_bytes(), Duration::from_secs(5));
        self.record.line(&format!(
            "request {id}: {} answers {} to tenant {tenant}",
            self.entries[entry].name, outcome.status
        ));
        outcome.status == 200 && outcome.complete
    }
}
