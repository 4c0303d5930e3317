//! Case: KV cache that the runners of one model made, and a request to another model.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::{Response, call};
use crate::kv_store::{CAPACITY, KvStore};
use crate::node::{Layout, Node, stand_in_ip};
use crate::runner::{Runner, Spec};
use crate::store::Store;
use crate::{Setup, Verdict};

/// Shared parts of prompts, such as price lists.
const PARTS: [&str; 4] = ["5c1e07a2", "5c1e07a3", "5c1e07a4", "5c1e07a5"];

fn config(kv: &KvStore) -> String {
    let route = |name: &str, service: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"salon.example\",\"path-prefix\":\"/{name}/\",\
             \"kind\":\"streaming\",\"timeout-ms\":15000,\"target-latency-ms\":800,\"priority\":1,\
             \"service\":\"{service}\",\"max-attempts\":2,\"public\":false,\"sticky\":true,\
             \"resumable\":true,\"gap-aim-ms\":300}}"
        )
    };
    let service = |name: &str, model: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health-path\":\"/health\",\"max-connections\":370,\
             \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kv-capacity\":99308,\
             \"kv-token-bytes\":35136,\"link-mbps\":550000.0,\"managed\":true,\
             \"max-concurrent\":12,\"models\":[{{\"name\":\"{model}\"}}]}}}}"
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{}],\"services\":[{},{},{{\"name\":\"kept\",\
         \"kv-store-addr\":\"{}\",\"zone\":\"za\",\"kv-capacity\":{CAPACITY},\
         \"link-mbps\":130000.0,\"max-concurrent\":12,\"managed\":true,\"first_ms\":6.0}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"bozi300\",\"api-keys\":[\"jnbanfqasnmgkcuyj8pj\"],\
         \"priority\":1}}]}}",
        route("draft", "drafts"),
        route("check", "checks"),
        service("drafts", "model-a"),
        service("checks", "model-b"),
        kv.address
    )
}

/// Sends a request whose prompt begins with a shared part.
fn ask(setup: &Setup, node: &Node, path: &str, model: &str, part: &str, n: u64) -> Response {
    let id = format!("9c41d07b{n:08x}");
    let body = b"prompt";
    let head = format!(
        "POST /{path}/2f HTTP/1.1\r\nHost: salon.example\r\nRequest-Id: {id}\r\nModel: {model}\r\n\
         Token-Usage: 1050,8\r\nPrompt-Prefix: {part}:800,e4{n:06x}:250\r\nDeadline-Ms: 5000\r\n\
         Credential: jnbanfqasnmgkcuyj8pj\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let response = call(node.front, &head, body, Duration::from_secs(6));
    setup.record.line(&format!(
        "client: {id} to {} /{path}/ model {model} part {part}: status {} {}",
        node.name,
        response.status,
        response.fault.as_deref().unwrap_or("whole")
    ));
    response
}

pub fn play(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let store = Store::start(&stand_in_ip());
    let kv = KvStore::start(&stand_in_ip());
    let runner = |name: &str, service: &str, model: &str, version: u64| {
        let models = [(model, version)];
        let spec = Spec {
            name,
            service,
            zone: "za",
            models: &models,
        };
        Runner::start(&stand_in_ip(), &spec, &store, std::slice::from_ref(&kv))
    };
    // Model B has been brought to its second version before; model A has its first.
    store.put(
        "versions",
        "model-a",
        "{\"model\":\"model-a\",\"version\":1}",
    );
    store.put(
        "versions",
        "model-b",
        "{\"model\":\"model-b\",\"version\":2}",
    );
    store.put("config", "main", &config(&kv));
    let drafts = [
        runner("i-a1", "drafts", "model-a", 1),
        runner("i-a2", "drafts", "model-a", 1),
    ];
    let checks = [
        runner("i-b1", "checks", "model-b", 2),
        runner("i-b2", "checks", "model-b", 2),
    ];
    let layout = Layout {
        dir: &setup.dir,
        store: store.address,
    };
    let first = Node::start(&layout, 1, "za", None);
    let second = Node::start(&layout, 1, "zb", Some(&first));
    let nodes = [first, second];
    if !nodes.iter().all(|n| n.wait_ready(Duration::from_secs(20))) {
        record.line("a process is not ready");
        return Verdict::NotRun;
    }
    sleep(Duration::from_secs(10));
    let mut served = 0;
    let mut n = 0;
    let mut ask_all = |path: &str, model: &str| {
        let mut served = 0;
        for _ in 0..3 {
            for part in PARTS {
                n += 1;
                let node = &nodes[n as usize % 2];
                let response = ask(setup, node, path, model, part, n);
                served += u32::from(response.status == 200 && response.fault.is_none());
                sleep(Duration::from_millis(60));
            }
        }
        served
    };
    served += ask_all("check", "model-b");
    served += ask_all("draft", "model-a");
    sleep(Duration::from_secs(4));
    if setup.trouble {
        store.put(
            "versions",
            "model-a",
            "{\"model\":\"model-a\",\"version\":2}",
        );
        record.line("operator: version 2 of model-a is named and acknowledged");
    }
    let until = Instant::now() + Duration::from_secs(14);
    while setup.trouble && Instant::now() < until {
        if drafts.iter().all(|r| r.version("model-a") == Some(2)) {
            record.line("all runners of model-a have version 2");
            break;
        }
        sleep(Duration::from_millis(100));
    }
    sleep(Duration::from_secs(9));
    served += ask_all("draft", "model-a");
    let mut foreign = 0;
    for runner in drafts.iter().chain(&checks) {
        for order in runner.orders.lock().unwrap().iter() {
            record.line(&format!("order: {order}"));
        }
        for run in runner.runs.lock().unwrap().iter() {
            let fetched: Vec<String> = run
                .fetched
                .iter()
                .map(|(part, model)| format!("{part} made by {model}"))
                .collect();
            record.line(&format!(
                "run: {} at {} on {}, version {}, salt {:?}, from the store: {}",
                run.id,
                run.runner,
                run.model,
                run.version,
                run.salt,
                if fetched.is_empty() {
                    "nothing".to_owned()
                } else {
                    fetched.join(", ")
                }
            ));
            foreign += run.fetched.iter().filter(|(_, m)| *m != run.model).count();
        }
    }
    record.line(&format!("answered whole: {served} of 36"));
    record.line(&format!(
        "parts made by another model that a run used: {foreign}"
    ));
    if served < 18 {
        return Verdict::NotRun;
    }
    if foreign > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
