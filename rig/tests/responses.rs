//! Callers get complete responses to their own requests when targets, connections or entries fail.
//!
//! Guards against responses that are crossed, truncated or spliced and passed on as complete.

use std::time::Duration;

use async_io::Timer;
use guavahold::platform::{Role, Vm};
use guavahold_rig::client::{Call, StreamedText};
use guavahold_rig::fleet::{run_with_timeout, set_faults, wait_until};
use guavahold_rig::test_cluster::{ROOFER, SALON};
use guavahold_rig::{Process, TestCluster};
use http_types::Method;
use serde_json::json;

/// Fetches the text of the response to a prompt; to be called before faults are injected.
async fn expected_text(cluster: &TestCluster, prompt: &str, tokens: u32) -> String {
    let call = Call::chat(SALON, "router", prompt, tokens, true);
    let mut events = call.stream(cluster.callers_address(0)).await.unwrap();
    events.read_to_end().await.unwrap().text
}

async fn set_engine_faults(cluster: &TestCluster, faults: &serde_json::Value) {
    for engine in &cluster.engines {
        set_faults(engine.address("admin"), faults.clone()).await;
    }
}

#[test]
fn plain_response_with_another_request_id_is_rejected() {
    run_with_timeout(async {
        let cluster = TestCluster::builder().start().await;
        let call = Call::chat(SALON, "router", "Which chair is Mari at?", 4, false);
        set_engine_faults(&cluster, &json!({"crossed": true, "path": "/v1/chat"})).await;
        let response = call.send(cluster.callers_address(0)).await.unwrap();
        assert_ne!(response.status, 200);
        assert_eq!(response.run_state.as_deref(), Some("unknown"));
        set_engine_faults(&cluster, &json!({})).await;
        wait_until("the engines in service again", async || {
            call.send(cluster.callers_address(0)).await.unwrap().status == 200
        })
        .await;
    });
}

#[test]
fn plain_response_cut_short_is_not_relayed() {
    run_with_timeout(async {
        let cluster = TestCluster::builder().start().await;
        let call = Call::chat(SALON, "router", "How long is a colouring?", 4, false);
        let expected = call.send(cluster.callers_address(0)).await.unwrap().text();
        let faults = json!({"close_after": 20, "next": 1, "path": "/v1/chat"});
        set_engine_faults(&cluster, &faults).await;
        for _ in 0..4 {
            let response = call.send(cluster.callers_address(0)).await.unwrap();
            if response.status == 200 {
                assert_eq!(response.text(), expected);
            } else {
                assert_eq!(response.run_state.as_deref(), Some("unknown"));
            }
        }
    });
}

#[test]
fn stream_without_final_event_is_resumed() {
    run_with_timeout(async {
        let cluster = TestCluster::builder().engines(1).start().await;
        let expected = expected_text(&cluster, "What is a flush diverter?", 5).await;
        set_engine_faults(
            &cluster,
            &json!({"omit_final": true, "next": 1, "path": "/v1/chat"}),
        )
        .await;
        let call = Call::chat(SALON, "router", "What is a flush diverter?", 5, true);
        let mut events = call.stream(cluster.callers_address(0)).await.unwrap();
        let streamed = events.read_to_end().await.unwrap();
        assert!(streamed.done);
        assert_eq!(streamed.text, expected);
    });
}

#[test]
fn stream_cut_connection_is_resumed() {
    run_with_timeout(async {
        let cluster = TestCluster::builder()
            .engine_args(&["--token-ms", "5"])
            .start()
            .await;
        let expected = expected_text(&cluster, "Describe the whole roof.", 100).await;
        set_engine_faults(
            &cluster,
            &json!({"close_after": 4000, "next": 1, "path": "/v1/chat"}),
        )
        .await;
        let call = Call::chat(SALON, "router", "Describe the whole roof.", 100, true);
        let mut events = call.stream(cluster.callers_address(0)).await.unwrap();
        let streamed = events.read_to_end().await.unwrap();
        assert!(streamed.done);
        assert_eq!(streamed.text, expected);
    });
}

/// Starts a cluster whose only engine is reached through a relay.
async fn cluster_with_relayed_engine() -> (TestCluster, Process) {
    let cluster = TestCluster::builder()
        .engines(1)
        .engine_args(&["--token-ms", "20"])
        .start()
        .await;
    let engine = cluster.engines[0].address("address").to_string();
    let relay = Process::start("guavahold-rig", &["relay", "--to", &engine]).unwrap();
    let vm = Vm {
        name: "engine-1".into(),
        role: Role::Engine,
        domain: "a".into(),
        address: relay.address("address"),
        serves: "router".into(),
        phase: guavahold::platform::VmPhase::Live,
        cpu_millis: 0,
    };
    cluster.fleet.put_vm(&vm).await;
    Timer::after(Duration::from_millis(500)).await;
    (cluster, relay)
}

#[test]
fn stream_silent_connection_is_resumed() {
    run_with_timeout(async {
        let (cluster, relay) = cluster_with_relayed_engine().await;
        let expected = expected_text(&cluster, "List all stylists.", 100).await;
        let call = Call::chat(SALON, "router", "List all stylists.", 100, true);
        let mut events = call.stream(cluster.callers_address(0)).await.unwrap();
        let mut streamed = StreamedText::default();
        for _ in 0..10 {
            streamed.add_event(events.next().await.unwrap().unwrap());
        }
        let silence = Call::new(Method::Post, "/state");
        let silence = silence.body(json!({"silence_open": true}).to_string());
        let response = silence.send(relay.address("admin")).await.unwrap();
        assert_eq!(response.status, 200);
        while let Some(event) = events.next().await.unwrap() {
            streamed.add_event(event);
        }
        assert!(streamed.done);
        assert_eq!(streamed.text, expected);
    });
}

#[test]
fn stream_resumes_at_another_entry_after_kill() {
    run_with_timeout(async {
        let mut cluster = TestCluster::builder()
            .engine_args(&["--token-ms", "20"])
            .start()
            .await;
        let expected = expected_text(&cluster, "Plan the wedding day.", 100).await;
        let call = Call::chat(SALON, "router", "Plan the wedding day.", 100, true);
        let mut events = call.stream(cluster.callers_address(0)).await.unwrap();
        let mut streamed = StreamedText::default();
        for _ in 0..10 {
            streamed.add_event(events.next().await.unwrap().unwrap());
        }
        cluster.entries[0].kill();
        while let Ok(Some(event)) = events.next().await {
            streamed.add_event(event);
        }
        assert!(!streamed.done);
        let last = streamed.last_id.clone().unwrap();
        let again = call.clone().header("last-event-id", last.clone());
        let mut events = again.stream(cluster.callers_address(1)).await.unwrap();
        assert_eq!(events.status(), 200);
        while let Some(event) = events.next().await.unwrap() {
            streamed.add_event(event);
        }
        assert!(streamed.done);
        assert_eq!(streamed.text, expected);

        // Only the same customer with the same prompt may resume the stream.
        let foreign = Call::chat(ROOFER, "router", "Plan the wedding day.", 100, true);
        let foreign = foreign.header("last-event-id", last.clone());
        assert_eq!(
            foreign
                .send(cluster.callers_address(1))
                .await
                .unwrap()
                .status,
            403
        );
        let other = Call::chat(SALON, "router", "Plan another day.", 100, true);
        let other = other.header("last-event-id", last);
        assert_eq!(
            other.send(cluster.callers_address(1)).await.unwrap().status,
            403
        );
    });
}

#[test]
fn stream_ends_with_error_event_when_run_is_lost() {
    run_with_timeout(async {
        let mut cluster = TestCluster::builder()
            .engines(1)
            .engine_args(&["--token-ms", "20"])
            .start()
            .await;
        let call = Call::chat(SALON, "router", "Plan the wedding day.", 200, true);
        let mut events = call.stream(cluster.callers_address(0)).await.unwrap();
        let mut last = events.next().await.unwrap().unwrap();
        cluster.engines[0].kill();
        let cut = loop {
            match events.next().await {
                Ok(Some(event)) => last = event,
                Ok(None) => break false,
                Err(_) => break true,
            }
        };
        assert!(cut, "the body of a failed stream must not end cleanly");
        assert_eq!(last.event.as_deref(), Some("error"));
        assert!(last.data.contains("\"run\":\"ran\""), "{}", last.data);
    });
}

/// Without a limit on the time between new events, a caller waits as long as its engine repeats
/// itself. Takes as long as that limit, 30 s.
#[test]
fn stream_of_repeated_events_ends_with_error_event() {
    run_with_timeout(async {
        let cluster = TestCluster::builder().engines(1).start().await;
        let fault = json!({"repeat_event": 3, "next": 1, "path": "/v1/chat"});
        set_engine_faults(&cluster, &fault).await;
        let call = Call::chat(SALON, "router", "Count the mirrors.", 20, true);
        let mut events = call.stream(cluster.callers_address(0)).await.unwrap();
        let mut last = events.next().await.unwrap().unwrap();
        while let Ok(Some(event)) = events.next().await {
            last = event;
        }
        assert_eq!(last.event.as_deref(), Some("error"));
        assert!(last.data.contains("made no progress"), "{}", last.data);
    });
}

#[test]
fn late_response_of_cancelled_request_reaches_no_other_caller() {
    run_with_timeout(async {
        let cluster = TestCluster::builder()
            .engines(1)
            .engine_args(&["--token-ms", "20"])
            .start()
            .await;
        let call = Call::chat(SALON, "router", "A slow question", 5000, false);
        let early = futures_lite::future::or(
            async { Some(call.send(cluster.callers_address(0)).await) },
            async {
                Timer::after(Duration::from_millis(200)).await;
                None
            },
        );
        assert!(early.await.is_none());
        for n in 0..5 {
            let prompt = format!("Question number {n}");
            let call = Call::chat(ROOFER, "router", &prompt, 3, false);
            let response = call.send(cluster.callers_address(0)).await.unwrap();
            assert_eq!(response.status, 200);
            let mut streamed = Call::chat(ROOFER, "router", &prompt, 3, true)
                .stream(cluster.callers_address(1))
                .await
                .unwrap();
            assert_eq!(
                streamed.read_to_end().await.unwrap().text.trim_end(),
                response.text()
            );
        }
        wait_until("the abandoned run to end", async || {
            let load = Call::new(Method::Get, "/load");
            let load = load
                .send(cluster.engines[0].address("address"))
                .await
                .unwrap();
            load.json()["running"] == 0
        })
        .await;
    });
}
