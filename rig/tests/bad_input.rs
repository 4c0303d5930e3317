//! Invalid requests and settings; guards against wrong status codes, run states and
//! exit codes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use guavahold_rig::client::Call;
use guavahold_rig::fleet::run_with_timeout;
use guavahold_rig::test_cluster::SALON;
use guavahold_rig::{Process, TestCluster};
use http_types::Method;
use serde_json::json;

fn chat(body: &str) -> Call {
    Call::new(Method::Post, "/v1/chat/completions")
        .bearer_token(SALON)
        .body(body)
}

#[test]
fn bad_input_is_refused_as_not_run() {
    run_with_timeout(async {
        let limits = json!({"limits": {"body_bytes": 4096, "message_ms": 500}});
        let cluster = TestCluster::builder()
            .entries(1)
            .entry_settings(limits)
            .start()
            .await;
        let good = r#"{"model": "router", "messages": [{"role": "user", "content": "x"}]}"#;
        let get = |path: &str| Call::new(Method::Get, path).bearer_token(SALON);
        let cases = [
            (
                "no token",
                Call::new(Method::Post, "/v1/chat/completions").body(good),
                401,
            ),
            ("wrong token", chat(good).bearer_token("nobody"), 401),
            ("not JSON", chat("{"), 400),
            ("not an object", chat("[]"), 400),
            ("no model", chat(r#"{"messages": []}"#), 400),
            ("no messages", chat(r#"{"model": "router"}"#), 400),
            (
                "bad stream",
                chat(r#"{"model": "router", "stream": 1, "messages": []}"#),
                400,
            ),
            ("unknown model", chat(&good.replace("router", "other")), 404),
            (
                "unknown adapter",
                chat(&good.replace("router", "router:x")),
                404,
            ),
            ("unknown path", get("/v2"), 404),
            ("unknown service", get("/services/other/x"), 404),
            ("wrong method", get("/v1/chat/completions"), 405),
            (
                "large body",
                chat(&good.replace('x', &"x".repeat(5000))),
                413,
            ),
            ("bad event id", chat(good).header("last-event-id", "7"), 400),
        ];
        for (case, call, status) in cases {
            let response = call.send(cluster.callers_address(0)).await.unwrap();
            assert_eq!(response.status, status, "{case}: {:?}", response.json());
            assert_eq!(response.run_state.as_deref(), Some("not-run"), "{case}");
        }
        check_slow_head_is_refused(cluster.callers_address(0));
    });
}

/// Checks that a request whose head arrives too slowly gets status 408.
fn check_slow_head_is_refused(addr: SocketAddr) {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream
        .write_all(b"POST /v1/chat/completions HTTP/1.1\r\n")
        .unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
}

#[test]
fn settings_errors_end_the_program_with_code_2() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("entry.jsonc");
    std::fs::write(&file, r#"{"name": "e", "colour": 1}"#).unwrap();
    let file = file.to_string_lossy();
    for args in [
        vec!["--settings", &file],
        vec!["--settings", &file, "--check"],
    ] {
        let (code, out) = Process::run_to_end("guavahold-entry", &args).unwrap();
        assert_eq!(code, 2, "{out}");
        assert!(
            out.contains("colour: unknown key") && out.contains("domain: missing"),
            "{out}"
        );
    }
    let (code, out) = Process::run_to_end("guavahold-entry", &["--print-defaults"]).unwrap();
    assert_eq!(code, 0);
    std::fs::write(folder.path().join("entry.jsonc"), out).unwrap();
    let (code, out) =
        Process::run_to_end("guavahold-entry", &["--settings", &file, "--check"]).unwrap();
    assert_eq!(code, 0, "{out}");
}
