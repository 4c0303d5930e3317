//! End-to-end requests, a release note and a shutdown, in separate processes on loopback.

use guavahold::catalog::TokenHash;
use guavahold_rig::TestCluster;
use guavahold_rig::client::{Call, StreamedText};
use guavahold_rig::fleet::run_with_timeout;
use guavahold_rig::test_cluster::SALON;
use serde_json::json;
use uuid::Uuid;

/// Builds a prompt of four full blocks and the larger part of a fifth.
fn long_prompt(start: &str) -> String {
    let line = format!("{start}: a cut with wash costs thirty-one euros; ");
    line.repeat(5 * 4096 / line.len())
}

#[test]
fn end_to_end_requests_notes_and_shutdown() {
    run_with_timeout(async {
        let engine = ["--token-ms", "10", "--cache-blocks", "16"];
        let mut cluster = TestCluster::builder().engine_args(&engine).start().await;

        let plain = Call::chat(SALON, "router", "Is Liis free at ten?", 5, false);
        let first = plain.send(cluster.callers_address(0)).await.unwrap();
        assert_eq!(first.status, 200);
        let streamed = Call::chat(SALON, "router", "Is Liis free at ten?", 5, true);
        let mut events = streamed.stream(cluster.callers_address(1)).await.unwrap();
        let second = events.read_to_end().await.unwrap();
        assert!(second.done);
        assert_eq!(second.text.trim_end(), first.text());

        let key = Uuid::now_v7();
        let booking = TestCluster::booking(&key, r#"{"chair": 1}"#);
        let booked = booking.send(cluster.callers_address(0)).await.unwrap();
        assert_eq!(booked.status, 200);
        let again = cluster.wait_for_outcome(1, &booking).await;
        assert_eq!(again.body, booked.body);
        assert_eq!(cluster.run_count(&key).await, 1);

        check_note_applied_to_all_entries(&cluster).await;
        check_prefix_cache_hit_through_another_entry(&cluster).await;
        check_shutdown_finishes_stream(&mut cluster).await;
    });
}

/// Checks that a release note applied with `guavahold apply` takes effect at every entry.
async fn check_note_applied_to_all_entries(cluster: &TestCluster) {
    let token = "token-of-bride";
    let note = json!({
        "revision": 1,
        "by": "day shift",
        "added": {"customers": {"bride": {"tokens": [TokenHash::of(token).to_string()]}}},
    });
    let file = cluster
        .fleet
        .write("note.jsonc", &note.to_string())
        .unwrap();
    let entry = cluster.admin_address(1).to_string();
    let operator = |args: &[&str]| cluster.fleet.run_operator(args).unwrap();
    let (code, out) = operator(&["apply", &file, "--wait", "--entry", &entry]);
    assert_eq!(code, 0, "{out}");
    for entry in 0..2 {
        let call = Call::chat(token, "router", "Is my stylist coming?", 2, false);
        assert_eq!(
            call.send(cluster.callers_address(entry))
                .await
                .unwrap()
                .status,
            200
        );
    }
    let (code, out) = operator(&["apply", &file]);
    assert_eq!(
        code, 3,
        "the note was written against an older revision: {out}"
    );
    let (code, out) = operator(&["status", "--entry", &entry]);
    assert_eq!(code, 0, "{out}");
    assert!(out.contains("entry-1") && out.contains("entry-2"), "{out}");
}

/// Checks that a prompt sent again through another entry is routed to the engine that cached it.
async fn check_prefix_cache_hit_through_another_entry(cluster: &TestCluster) {
    let prompt = Call::chat(SALON, "router", &long_prompt("salon"), 3, false);
    let first = prompt.send(cluster.callers_address(0)).await.unwrap();
    let again = prompt.send(cluster.callers_address(1)).await.unwrap();
    assert_eq!(again.text(), first.text());
    let cached = &again.json()["usage"]["prompt_tokens_details"]["cached_tokens"];
    assert!(cached.as_u64().is_some_and(|n| n >= 4 * 1024), "{cached}");
}

/// Checks that an entry that gets SIGTERM during a stream finishes it and exits with code 0.
async fn check_shutdown_finishes_stream(cluster: &mut TestCluster) {
    let call = Call::chat(SALON, "router", "Tell me everything.", 200, true);
    let mut events = call.stream(cluster.callers_address(0)).await.unwrap();
    let mut streamed = StreamedText::default();
    for _ in 0..3 {
        streamed.add_event(events.next().await.unwrap().unwrap());
    }
    cluster.entries[0].terminate();
    while let Some(event) = events.next().await.unwrap() {
        streamed.add_event(event);
    }
    assert!(streamed.done);
    // 200 tokens, the stop event and `[DONE]`.
    assert_eq!(streamed.events, 202);
    assert!(cluster.entries[0].wait().unwrap().success());
    let plain = Call::chat(SALON, "router", "Still there?", 2, false);
    assert_eq!(
        plain.send(cluster.callers_address(1)).await.unwrap().status,
        200
    );
}
