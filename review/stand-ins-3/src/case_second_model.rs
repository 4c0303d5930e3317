//! Case: runners that serve two models, one of which gets new weights, and a final fault right after the
//! acknowledgement of its new version.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{scope, sleep};
use std::time::Duration;

use crate::http::call;
use crate::node::{Layout, Node, stand_in_ip};
use crate::runner::{Runner, Spec};
use crate::store::Store;
use crate::{Setup, Verdict, clock_ms};

const RUNNERS: usize = 9;
/// `recover-s` of the settings.
const RECOVER_MS: u64 = 12_000;
/// Time before the fault in which the share of served requests is taken.
const BEFORE_MS: u64 = 8_000;
/// Time for which traffic goes on after the fault.
const AFTER: Duration = Duration::from_secs(35);
/// Time from the kill of a process to its next start.
const NODE_DOWN: Duration = Duration::from_millis(1_300);
/// One request in this many is for the second model.
const SECOND_EACH: u64 = 10;

const CONFIG: &str = "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"salon.example\",\
    \"path-prefix\":\"/draft/\",\"kind\":\"streaming\",\"timeout-ms\":15000,\
    \"target-latency-ms\":800,\"priority\":1,\"service\":\"drafts\",\"max-attempts\":2,\
    \"public\":false,\"sticky\":true,\"resumable\":true,\"gap-aim-ms\":300}],\
    \"services\":[{\"name\":\"drafts\",\"health-path\":\"/health\",\"max-connections\":370,\
    \"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,\"kv-capacity\":99308,\
    \"kv-token-bytes\":35136,\"link-mbps\":550000.0,\"managed\":true,\"max-concurrent\":12,\
    \"models\":[{\"name\":\"model-a\"},{\"name\":\"model-b\"}]}}],\
    \"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
    \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\
    \"tenants\":[{\"name\":\"bozi300\",\"api-keys\":[\"jnbanfqasnmgkcuyj8pj\"],\"priority\":1}]}";

struct Sent {
    at_ms: u64,
    model: &'static str,
    served: bool,
}

/// Sends one request, and once more after a promise, as a client does.
fn ask(setup: &Setup, fronts: &[SocketAddr], n: u64) -> Sent {
    let second = n % SECOND_EACH == 0;
    let model = if second { "model-b" } else { "model-a" };
    let at_ms = clock_ms();
    let mut served = false;
    for attempt in 0..2 {
        let id = format!("9c41d07b{n:07x}{attempt}");
        let head = format!(
            "POST /draft/2f HTTP/1.1\r\nHost: salon.example\r\nRequest-Id: {id}\r\n\
             Model: {model}\r\nToken-Usage: 1050,8\r\nPrompt-Prefix: 5c1e07a{}:800,e4{n:06x}:250\r\n\
             Deadline-Ms: 5000\r\nCredential: jnbanfqasnmgkcuyj8pj\r\nContent-Length: 6\r\n\r\n",
            n % 4
        );
        let front = fronts[(n + attempt) as usize % fronts.len()];
        let response = call(front, &head, b"prompt", Duration::from_secs(6));
        served = response.status == 200 && response.fault.is_none();
        let whole = response.fault.as_deref().unwrap_or("whole");
        setup.record.line(&format!(
            "client: {id} {model}: {} {whole}",
            response.status
        ));
        let retry_after = response.header("retry-after").and_then(|s| s.parse().ok());
        let promised = matches!(response.status, 0 | 408 | 421 | 429 | 503);
        if served || !promised {
            break;
        }
        let pause: f64 = retry_after.unwrap_or(0.2);
        sleep(Duration::from_secs_f64(pause.min(1.6)));
    }
    Sent {
        at_ms,
        model,
        served,
    }
}

pub fn play(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let store = Store::start(&stand_in_ip());
    for model in ["model-a", "model-b"] {
        let version = format!("{{\"model\":\"{model}\",\"version\":1}}");
        store.put("versions", model, &version);
    }
    store.put("config", "main", CONFIG);
    let runner = |n: usize| {
        let name = format!("i-{n}");
        let spec = Spec {
            name: &name,
            service: "drafts",
            zone: if n % 2 == 0 { "za" } else { "zb" },
            models: &[("model-a", 1), ("model-b", 1)],
        };
        Runner::start(&stand_in_ip(), &spec, &store, &[])
    };
    let runners: Vec<Runner> = (1..=RUNNERS).map(runner).collect();
    let layout = Layout {
        dir: &setup.dir,
        store: store.address,
    };
    let mut nodes = vec![Node::start(&layout, 1, "za", None)];
    for (n, zone) in [
        (1, "zb"),
        (2, "za"),
        (2, "zb"),
        (3, "za"),
        (3, "zb"),
        (4, "za"),
    ] {
        let node = Node::start(&layout, n, zone, nodes.first());
        nodes.push(node);
    }
    if !nodes.iter().all(|n| n.wait_ready(Duration::from_secs(20))) {
        record.line("a process is not ready");
        return Verdict::NotRun;
    }
    sleep(Duration::from_secs(6));
    let fronts: Vec<_> = nodes.iter().map(|n| n.front).collect();
    let (sent, stop) = (Mutex::new(Vec::new()), AtomicBool::new(false));
    let mut fault = (0, 0);
    scope(|scope| {
        let (sent, stop, fronts) = (&sent, &stop, &fronts);
        scope.spawn(move || {
            let mut n = 0;
            while !stop.load(Ordering::Relaxed) {
                n += 1;
                scope.spawn(move || {
                    let asked = ask(setup, fronts, n);
                    sent.lock().unwrap().push(asked);
                });
                sleep(Duration::from_millis(100));
            }
        });
        sleep(Duration::from_millis(BEFORE_MS + 2_000));
        fault.0 = clock_ms();
        if setup.trouble {
            let version = "{\"model\":\"model-b\",\"version\":2}";
            store.put("versions", "model-b", version);
            record.line("operator: version 2 of model-b is named and acknowledged");
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
        fault.1 = clock_ms();
        sleep(AFTER);
        stop.store(true, Ordering::Relaxed);
    });
    report(setup, &runners);
    let sent = sent.lock().unwrap();
    let share = |from: u64, to: u64, model: &str| {
        let asked = sent.iter().filter(|s| s.at_ms >= from && s.at_ms < to);
        let asked: Vec<&Sent> = asked.filter(|s| s.model.starts_with(model)).collect();
        let served = asked.iter().filter(|s| s.served).count();
        (served, asked.len())
    };
    let before = share(fault.0 - BEFORE_MS, fault.0 - 1_000, "");
    let recovered = fault.1 + RECOVER_MS;
    let after = share(recovered, u64::MAX, "");
    record.line(&format!(
        "served before the fault: {} of {}",
        before.0, before.1
    ));
    for seconds in (0..35).step_by(5) {
        let from = fault.1 + seconds * 1_000;
        let (served, all) = share(from, from + 5_000, "model-a");
        record.line(&format!(
            "served of model-a from {seconds} s after the start: {served} of {all}"
        ));
    }
    record.line(&format!(
        "served of those sent later than 12 s after the processes are back: {} of {}",
        after.0, after.1
    ));
    if before.0 * 4 < before.1 || before.1 == 0 || after.1 == 0 {
        return Verdict::NotRun;
    }
    if after.0 * 4 < after.1 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn report(setup: &Setup, runners: &[Runner]) {
    for runner in runners {
        for order in runner.orders.lock().unwrap().iter() {
            setup.record.line(&format!("order: {order}"));
        }
        let versions = [runner.version("model-a"), runner.version("model-b")];
        let misdirected = runner.misdirected.lock().unwrap();
        let runs = runner.runs.lock().unwrap().len();
        setup.record.line(&format!(
            "runner: versions of model-a and model-b {versions:?}, runs {runs}, answered 421 \
             (model and version expected: times): {misdirected:?}"
        ));
    }
}
