//! Starts and signals of the program `guavahold-entry`.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use guavahold_rig::process::Process;
use rustix::process::Signal;
use serde_json::json;
use tempfile::TempDir;

/// Time for which an address stays held.
const HELD_TIME: Duration = Duration::from_millis(300);
/// Signals that must not end the program.
const HARMLESS_SIGNALS: [Signal; 4] = [Signal::HUP, Signal::USR1, Signal::ALARM, Signal::HUP];

fn settings(callers: SocketAddr, secret_file: &str) -> (TempDir, String) {
    let folder = tempfile::tempdir().unwrap();
    let secret = folder.path().join(secret_file);
    std::fs::write(folder.path().join("secret"), [b'x'; 64]).unwrap();
    let path = folder.path().join("entry.jsonc");
    let text = json!({
        "name": "e", "domain": "d", "platform": ["127.0.0.1:9"], "secret_file": secret,
        "listen": {"callers": callers, "peers": "127.0.0.1:0", "admin": "127.0.0.1:0"},
        "balancer_lag_ms": 0,
    });
    std::fs::write(&path, text.to_string()).unwrap();
    (folder, path.to_string_lossy().into_owned())
}

/// Guards against an entry that ends because a predecessor still listens at its address, or because
/// of a signal that does not ask it to end.
#[test]
fn entry_waits_for_its_address_and_outlives_harmless_signals() {
    let predecessor = TcpListener::bind("127.0.0.1:0").unwrap();
    let callers = predecessor.local_addr().unwrap();
    let (_folder, path) = settings(callers, "secret");
    let release = std::thread::spawn(move || {
        std::thread::sleep(HELD_TIME);
        drop(predecessor);
    });
    let mut entry = Process::start("guavahold-entry", &["--settings", &path]).unwrap();
    release.join().unwrap();
    assert_eq!(entry.address("callers"), callers);
    for signal in HARMLESS_SIGNALS {
        entry.signal(signal);
    }
    std::thread::sleep(HELD_TIME);
    assert_eq!(entry.try_wait(), None);
    entry.terminate();
    for signal in HARMLESS_SIGNALS {
        entry.signal(signal);
    }
    assert!(entry.wait().unwrap().success());
}

/// Guards against a start that fails without a structured line.
#[test]
fn failed_start_of_an_entry_has_a_structured_line() {
    let (_folder, path) = settings("127.0.0.1:0".parse().unwrap(), "missing");
    let args = ["--settings", &path];
    let (code, out) = Process::run_to_end("guavahold-entry", &args).unwrap();
    assert_eq!(code, 1);
    let last = out.lines().last().unwrap_or_default();
    assert!(last.contains("event=start_failed"), "{out}");
    assert!(last.contains("secret file"), "{out}");
}
