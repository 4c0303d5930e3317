//! Weight changes under load; guards against responses that mix or mislabel weight versions.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use async_io::Timer;
use guavahold_rig::TestCluster;
use guavahold_rig::client::{Call, StreamedText};
use guavahold_rig::fleet::{run_with_timeout, set_faults, wait_until};
use guavahold_rig::test_cluster::SALON;
use http_types::Method;
use serde_json::{Value, json};

fn weight_change_note(revision: u64, weights: &str) -> String {
    json!({
        "revision": revision,
        "changed": {"models": {"router": {"weights": weights, "policy": "chat"}}},
    })
    .to_string()
}

/// Response text by weight version and question.
type ResponseTexts = HashMap<(String, usize), String>;

/// Sends long questions until stopped; checks that each version gives one text per question.
fn spawn_caller(addr: std::net::SocketAddr, stopped: Arc<AtomicBool>) -> JoinHandle<ResponseTexts> {
    std::thread::spawn(move || {
        async_io::block_on(async {
            let mut texts = ResponseTexts::new();
            let mut n = 0;
            while !stopped.load(Ordering::Relaxed) {
                let question = n % 5;
                let prompt = format!("question {question} ").repeat(700);
                let call = Call::chat(SALON, "router", &prompt, 5, true);
                let mut events = call.stream(addr).await.unwrap();
                assert_eq!(events.status(), 200);
                let weights = events.header("guavahold-weights").unwrap().to_owned();
                let text = events.read_to_end().await.unwrap().text;
                let known = texts
                    .entry((weights, question))
                    .or_insert_with(|| text.clone());
                assert_eq!(
                    *known, text,
                    "two texts for one question and weight version"
                );
                n += 1;
            }
            texts
        })
    })
}

async fn loaded_weights(cluster: &TestCluster, engine: usize) -> Value {
    let address = cluster.engines[engine].address("address");
    let load = Call::new(Method::Get, "/load").send(address).await;
    load.unwrap().json()["weights"].clone()
}

#[test]
fn weight_change_under_load_mixes_no_versions() {
    run_with_timeout(async {
        let engine = [
            "--token-ms",
            "10",
            "--load-ms",
            "300",
            "--cache-blocks",
            "8",
        ];
        let cluster = TestCluster::builder()
            .entries(4)
            .engines(4)
            .engine_args(&engine);
        let cluster = cluster.start().await;
        let stopped = Arc::new(AtomicBool::new(false));
        let callers: Vec<_> = (0..4)
            .map(|n| spawn_caller(cluster.callers_address(n), stopped.clone()))
            .collect();
        Timer::after(Duration::from_millis(500)).await;

        let long_call = Call::chat(SALON, "router", "a long answer", 400, true);
        let mut events = long_call.stream(cluster.callers_address(1)).await.unwrap();
        let mut long_response = StreamedText::default();
        long_response.add_event(events.next().await.unwrap().unwrap());
        assert_eq!(events.header("guavahold-weights"), Some("w1"));

        cluster
            .fleet
            .put_release_note(&weight_change_note(1, "w2"))
            .await;
        for n in 0..4 {
            wait_until("the new version at every engine", async || {
                loaded_weights(&cluster, n).await == json!(["w2"])
            })
            .await;
        }
        while let Some(event) = events.next().await.unwrap() {
            long_response.add_event(event);
        }
        assert!(
            long_response.done,
            "a run that spans the weight change is incomplete"
        );
        Timer::after(Duration::from_millis(500)).await;
        stopped.store(true, Ordering::Relaxed);
        let mut all_texts = ResponseTexts::new();
        for caller in callers {
            for (key, text) in caller.join().unwrap() {
                let known = all_texts.entry(key).or_insert_with(|| text.clone());
                assert_eq!(*known, text);
            }
        }
        for question in 0..5 {
            let text = |weights: &str| all_texts.get(&(weights.to_owned(), question));
            assert_ne!(text("w1"), text("w2"), "question {question}");
        }
    });
}

#[test]
fn response_of_another_version_is_not_relayed() {
    run_with_timeout(async {
        let cluster = TestCluster::builder().start().await;
        let call = Call::chat(SALON, "router", "Which version?", 3, true);
        let other = json!({"other_weights": true, "path": "/v1/chat"});
        let admin = |n: usize| cluster.engines[n].address("admin");
        set_faults(admin(0), other.clone()).await;
        let mut events = call.stream(cluster.callers_address(0)).await.unwrap();
        assert_eq!(events.status(), 200);
        assert_eq!(events.header("guavahold-weights"), Some("w1"));
        assert!(events.read_to_end().await.unwrap().done);
        set_faults(admin(1), other).await;
        let response = call.send(cluster.callers_address(1)).await.unwrap();
        assert_ne!(response.status, 200);
        assert_eq!(
            response.run_state.as_deref(),
            Some("ran"),
            "{:?}",
            response.json()
        );
    });
}
