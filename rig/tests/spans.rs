//! Tracing: entries record a span for each hop under the trace id of the caller.

use std::collections::BTreeSet;

use guavahold_rig::TestCluster;
use guavahold_rig::client::Call;
use guavahold_rig::fleet::{run_with_timeout, wait_until};
use guavahold_rig::test_cluster::SALON;
use serde_json::{Value, json};
use uuid::Uuid;

const TRACE_ID: &str = "0af7651916cd43dd8448eb211c80319c";

/// Names of the hops recorded with [`TRACE_ID`] in a span file.
fn recorded_hops(path: &str) -> BTreeSet<String> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let spans = text
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let spans = spans.filter(|span| span["trace"] == TRACE_ID);
    spans
        .map(|span| span["hop"].as_str().unwrap().to_owned())
        .collect()
}

#[test]
fn spans_of_all_hops_belong_to_the_trace_of_the_caller() {
    run_with_timeout(async {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("spans").to_string_lossy().into_owned();
        let settings = json!({"span_file": path});
        let cluster = TestCluster::builder()
            .entries(1)
            .entry_settings(settings)
            .start()
            .await;
        let parent = format!("00-{TRACE_ID}-b7ad6b7169203331-01");
        let prompt = "a price list ".repeat(1000);
        let chat = Call::chat(SALON, "router", &prompt, 3, true).header("traceparent", &parent);
        let mut events = chat.stream(cluster.callers_address(0)).await.unwrap();
        assert!(events.read_to_end().await.unwrap().done);
        let key = Uuid::now_v7();
        let booking = TestCluster::booking(&key, "{}").header("traceparent", &parent);
        assert_eq!(
            booking
                .send(cluster.callers_address(0))
                .await
                .unwrap()
                .status,
            200
        );
        let all = [
            "admission",
            "claim",
            "dispatch",
            "first_token",
            "queue",
            "relay",
        ];
        wait_until("the last hop", async || {
            recorded_hops(&path).contains("relay")
        })
        .await;
        assert_eq!(recorded_hops(&path), all.map(str::to_owned).into());
    });
}
