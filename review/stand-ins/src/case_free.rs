//! MIXED: KV cache in a store is freed while a request that a machine cut off has sent fetches it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use crate::entry::{Entry, free_addresses};
use crate::http::{Outcome, call};
use crate::kv::KvStore;
use crate::proxy::Proxy;
use crate::record::Record;
use crate::runner::{Platform, Service};
use crate::store::Store;
use crate::{Args, Verdict};

/// Zones of the three machines; the last one's machine is cut off.
const ZONES: [&str; 3] = ["parnu-a", "tallinn-a", "tartu-a"];
const CUT: usize = 2;
/// Long and short prompts, as the site's two kinds of prompts are: sessions, and tokens of the parts.
const LONG: Kind = Kind {
    name: "long",
    sessions: 60,
    firsts: 1,
    tokens: [512, 8_610, 2_870],
};
const SHORT: Kind = Kind {
    name: "short",
    sessions: 200,
    firsts: 40,
    tokens: [341, 1_520, 507],
};
/// Clients of the machine that is cut off, by kind, and the pause of each between two prompts. They
/// send about what the clients of the zone `parnu-a` send to its only machine: 9 long and 47 short
/// prompts a second.
const LONG_CLIENTS: usize = 4;
const SHORT_CLIENTS: usize = 12;
const PAUSE: Duration = Duration::from_millis(200);
/// Clients that send each session's first prompts.
const FILLING_CLIENTS: usize = 8;
/// Length of the cut: `for_s` of `node_cut` is 12 in a standard day of the site.
const CUT_TIME: Duration = Duration::from_secs(10);

fn config(kv: &KvStore) -> String {
    format!(
        r#"{{"version":3,"routes":[{{"name":"r-chat","host":"salon.example","path-prefix":"/chat/","kind":"streaming","timeout-ms":15000,"target-latency-ms":800,"priority":1,"service":"llm","max-attempts":2,"public":false,"sticky":true,"resumable":true,"gap-aim-ms":300}}],"services":[{{"name":"llm","health-path":"/health","max-connections":370,"protocol":"h1","tls":false,"engine":{{"slots":64,"kv-capacity":99308,"kv-token-bytes":35136,"link-mbps":550000.0,"moves":true,"backups":true,"managed":true,"stride":6,"max-concurrent":12,"models":[{{"name":"m0"}}]}}}},{{"name":"hoidla-b","kv-store-addr":"{}","zone":"{}","kv-capacity":2410612,"link-mbps":100000.0,"max-concurrent":12,"managed":true,"first_ms":6.0}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"ta","api-keys":["key-a"]}}]}}"#,
        kv.address, kv.zone
    )
}

/// A kind of prompts.
#[derive(Clone, Copy)]
struct Kind {
    name: &'static str,
    sessions: usize,
    /// Different first parts.
    firsts: usize,
    tokens: [u32; 3],
}

/// Sends prompts, whose parts before the last belong to one of the sessions.
#[derive(Clone)]
struct Clients {
    record: Record,
    sent: Arc<AtomicUsize>,
    served: Arc<AtomicUsize>,
}

impl Clients {
    fn prompt(&self, entry: SocketAddr, kind: Kind, session: usize) -> bool {
        let number = self.sent.fetch_add(1, Ordering::Relaxed);
        let id = format!("p-{number}");
        let [first, middle, own] = kind.tokens;
        let initial = kind.name.as_bytes()[0];
        let request = format!(
            "POST /chat/x HTTP/1.1\r\nHost: salon.example\r\nRequest-Id: {id}\r\nModel: m0\r\n\
             Token-Usage: {},16\r\nPrompt-Prefix: c0{initial:02x}{:04x}:{first},\
             5e{initial:02x}{session:04x}:{middle},{number:08x}:{own}\r\n\
             Deadline-Ms: 15000\r\nCredential: key-a\r\nConnection: close\r\n\
             Content-Length: 4\r\n\r\ntext",
            first + middle + own,
            session % kind.firsts
        );
        let outcome: Outcome = call(entry, request.as_bytes(), Duration::from_secs(15));
        let served = outcome.status == 200 && outcome.complete;
        self.served
            .fetch_add(usize::from(served), Ordering::Relaxed);
        self.record.line(&format!(
            "request {id}, {} session {session}: answer {}",
            kind.name, outcome.status
        ));
        served
    }
}

pub fn run(args: &Args) -> Verdict {
    let Ok(record) = Record::create(&args.case.join("record.txt")) else {
        return Verdict::Failed("cannot write the record".into());
    };
    record.line(&format!("trouble {}", args.trouble));
    let store = Store::start();
    let kv = KvStore::start("tallinn-b", record.clone());
    store.put("config", "main", &config(&kv));
    store.put("versions", "m0", r#"{"model":"m0","version":1}"#);
    let mut platform = Platform::new(store.clone(), record.clone());
    platform.kv = Some(kv);
    let leaving = platform.start_runner(Service::Model, "tartu-a");
    platform.start_runner(Service::Model, "tallinn-a");
    platform.start_runner(Service::Model, "tallinn-b");

    // The last machine and the others reach each other, and it the store, through proxies.
    let addresses = free_addresses(ZONES.len());
    let to_cut = Proxy::start(addresses[CUT].control);
    let to_others: Vec<Proxy> = addresses[..CUT]
        .iter()
        .map(|a| Proxy::start(a.control))
        .collect();
    let seen_by_others = store.start_view(vec![(addresses[CUT].control, to_cut.address)]);
    let others = addresses.iter().zip(&to_others);
    let seen_by_cut = others.map(|(a, proxy)| (a.control, proxy.address));
    let to_store = Proxy::start(store.start_view(seen_by_cut.collect()));
    let mut seeds: Vec<_> = addresses[..CUT].iter().map(|a| a.control).collect();
    seeds.push(to_cut.address);
    let seeds_of_cut: Vec<_> = to_others.iter().map(|p| p.address).collect();
    let entries: Vec<Entry> = (0..ZONES.len())
        .map(|n| {
            let (seeds, store) = if n == CUT {
                (&seeds_of_cut, to_store.address)
            } else {
                (&seeds, seen_by_others)
            };
            let name = format!("front-{}-1", ZONES[n]);
            Entry::start(&args.dir, &name, ZONES[n], addresses[n], seeds, store)
        })
        .collect();
    if !entries
        .iter()
        .all(|e| e.wait_ready(Duration::from_secs(15)))
    {
        return Verdict::Failed("an entry is not ready".into());
    }
    std::thread::sleep(Duration::from_secs(6));
    let clients = Clients {
        record: record.clone(),
        sent: Arc::default(),
        served: Arc::default(),
    };
    // The prompts of all sessions come, so that the store holds their parts.
    for _ in 0..2 {
        fill_store(&clients, &entries, LONG);
        fill_store(&clients, &entries, SHORT);
    }
    std::thread::sleep(Duration::from_secs(1));

    let stop = Arc::new(AtomicBool::new(false));
    let threads: Vec<_> = (0..LONG_CLIENTS + SHORT_CLIENTS)
        .map(|client| {
            let (clients, stop) = (clients.clone(), stop.clone());
            let address = entries[CUT].addresses.front;
            let kind = if client < LONG_CLIENTS { LONG } else { SHORT };
            std::thread::spawn(move || {
                let mut turn = client;
                while !stop.load(Ordering::Relaxed) {
                    clients.prompt(address, kind, turn % kind.sessions);
                    turn += 7;
                    std::thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(2));
    let set_cut = |cut: bool| {
        let proxies = to_others.iter().chain([&to_cut, &to_store]);
        proxies.for_each(|proxy| proxy.set_cut(cut));
    };
    if args.trouble {
        set_cut(true);
        record.line(&format!(
            "{} is cut off from the store and the other machines",
            entries[CUT].name
        ));
    }
    std::thread::sleep(Duration::from_millis(100));
    leaving.drain();
    store.put("versions", "m0", r#"{"model":"m0","version":2}"#);
    record.line("the store acknowledges version 2 of the weights");
    std::thread::sleep(CUT_TIME);
    set_cut(false);
    record.line("the cut has healed");
    std::thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let fetches = platform.log.fetches.lock().unwrap().clone();
    let broken = fetches.iter().filter(|f| !f.whole).count();
    record.line(&format!(
        "{} prompts sent, {} served; {} parts fetched, {broken} of them not whole",
        clients.sent.load(Ordering::Relaxed),
        clients.served.load(Ordering::Relaxed),
        fetches.len()
    ));
    if fetches.is_empty() {
        return Verdict::Failed("nothing was fetched from the store".into());
    }
    if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Sends a prompt of each session of a kind, by eight clients.
fn fill_store(clients: &Clients, entries: &[Entry], kind: Kind) {
    let threads: Vec<_> = (0..FILLING_CLIENTS)
        .map(|client| {
            let clients = clients.clone();
            let address = entries[client % entries.len()].addresses.front;
            std::thread::spawn(move || {
                for session in (client..kind.sessions).step_by(FILLING_CLIENTS) {
                    clients.prompt(address, kind, session);
                }
            })
        })
        .collect();
    for thread in threads {
        let _ = thread.join();
    }
}
