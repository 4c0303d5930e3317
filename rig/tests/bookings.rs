//! Non-idempotent requests run at most once, and their responses report the true run state.
//!
//! Guards against double runs when requests are repeated or entries, services or the platform fail.

use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use guavahold_rig::TestCluster;
use guavahold_rig::client::{Call, FullResponse};
use guavahold_rig::fleet::{run_with_timeout, set_faults, wait_until};
use guavahold_rig::test_cluster::{ROOFER, SALON};
use http_types::Method;
use serde_json::json;
use uuid::{Builder, Uuid};

const BOOKING_BODY: &str = r#"{"chair": 2, "at": "2026-12-24T10:00"}"#;

/// Sends one call `times` times concurrently, spread over the entries.
fn send_concurrently(cluster: &TestCluster, call: &Call, times: usize) -> Vec<FullResponse> {
    let mut sends = Vec::new();
    for n in 0..times {
        let (call, callers) = (
            call.clone(),
            cluster.callers_address(n % cluster.entries.len()),
        );
        sends.push(std::thread::spawn(move || {
            async_io::block_on(async { call.send(callers).await.unwrap() })
        }));
    }
    sends.into_iter().map(|s| s.join().unwrap()).collect()
}

/// The entry does not know whether the booking ran.
fn assert_outcome_unknown(response: &FullResponse) {
    let state = response.run_state.as_deref();
    assert_eq!(state, Some("unknown"), "{response:?}");
}

#[test]
fn booking_sent_concurrently_runs_once() {
    run_with_timeout(async {
        let cluster = TestCluster::builder()
            .entries(4)
            .service_args(&["--write-ms", "100"])
            .start()
            .await;
        for _ in 0..5 {
            let key = Uuid::now_v7();
            let booking = TestCluster::booking(&key, BOOKING_BODY);
            for response in send_concurrently(&cluster, &booking, 8) {
                let in_progress =
                    response.status == 409 && response.run_state.as_deref() == Some("unknown");
                assert!(response.status == 200 || in_progress, "{response:?}");
            }
            let outcome = cluster.wait_for_outcome(3, &booking).await;
            assert_eq!(outcome.status, 200);
            assert_eq!(cluster.run_count(&key).await, 1);
        }
    });
}

#[test]
fn booking_key_is_bound_to_body_and_scoped_to_customer() {
    run_with_timeout(async {
        let cluster = TestCluster::builder().start().await;
        let key = Uuid::now_v7();
        let booking = TestCluster::booking(&key, BOOKING_BODY);
        assert_eq!(cluster.wait_for_outcome(0, &booking).await.status, 200);
        let other_body = TestCluster::booking(&key, r#"{"chair": 3}"#);
        let response = cluster.wait_for_outcome(1, &other_body).await;
        assert_eq!(
            (response.status, response.run_state.as_deref()),
            (422, Some("not-run"))
        );
        let other_customer = Call::new(Method::Post, "/services/booking/bookings")
            .bearer_token(ROOFER)
            .idempotency_key(&key)
            .body(BOOKING_BODY);
        let response = cluster.wait_for_outcome(1, &other_customer).await;
        assert_eq!(response.status, 200);
        assert_eq!(
            cluster.run_count(&key).await,
            2,
            "one run for each customer"
        );
    });
}

#[test]
fn booking_key_missing_malformed_or_old_is_refused() {
    run_with_timeout(async {
        let cluster = TestCluster::builder().entries(1).start().await;
        let path = "/services/booking/bookings";
        let missing = Call::new(Method::Post, path)
            .bearer_token(SALON)
            .body(BOOKING_BODY);
        let malformed = missing.clone().header("idempotency-key", "seven");
        let old = Builder::from_unix_timestamp_millis(1_600_000_000_000, &[7; 10]).into_uuid();
        let old = missing.clone().idempotency_key(&old);
        for call in [missing, malformed, old] {
            let response = call.send(cluster.callers_address(0)).await.unwrap();
            assert_eq!(
                (response.status, response.run_state.as_deref()),
                (400, Some("not-run"))
            );
        }
    });
}

#[test]
fn booking_outcome_is_unknown_when_entry_is_killed_after_dispatch() {
    run_with_timeout(async {
        let mut cluster = TestCluster::builder()
            .service_args(&["--write-ms", "600"])
            .start()
            .await;
        let key = Uuid::now_v7();
        let booking = TestCluster::booking(&key, BOOKING_BODY);
        let callers = cluster.callers_address(0);
        let first = async { booking.send(callers).await.is_ok() };
        let early = async {
            Timer::after(Duration::from_millis(300)).await;
            false
        };
        assert!(!first.or(early).await);
        wait_until("the run", async || cluster.run_count(&key).await == 1).await;
        cluster.entries[0].kill();
        let response = booking.send(cluster.callers_address(1)).await.unwrap();
        assert_outcome_unknown(&response);
        Timer::after(Duration::from_secs(2)).await;
        let response = booking.send(cluster.callers_address(1)).await.unwrap();
        assert_outcome_unknown(&response);
        assert_eq!(cluster.run_count(&key).await, 1);
    });
}

#[test]
fn booking_outcome_is_unknown_when_service_response_is_lost() {
    run_with_timeout(async {
        let cluster = TestCluster::builder().start().await;
        let service = cluster.service.as_ref().unwrap().address("admin");
        set_faults(
            service,
            json!({"drop_answer": true, "next": 1, "method": "POST"}),
        )
        .await;
        let key = Uuid::now_v7();
        let booking = TestCluster::booking(&key, BOOKING_BODY);
        for entry in [0, 1, 0] {
            let response = cluster.wait_for_outcome(entry, &booking).await;
            assert_outcome_unknown(&response);
        }
        assert_eq!(cluster.run_count(&key).await, 1);
    });
}

#[test]
fn booking_runs_once_when_platform_response_is_lost() {
    run_with_timeout(async {
        let cluster = TestCluster::builder().start().await;
        let platform = cluster.fleet.platform.address("admin");
        for method in ["POST", "PUT"] {
            let lost = json!({
                "drop_answer": true, "next": 1, "method": method,
                "path": "/apis/guavahold.dev/v1/claims",
            });
            set_faults(platform, lost).await;
            let key = Uuid::now_v7();
            let booking = TestCluster::booking(&key, BOOKING_BODY);
            assert_eq!(cluster.wait_for_outcome(0, &booking).await.status, 200);
            assert_eq!(cluster.run_count(&key).await, 1);
        }
    });
}

#[test]
fn booking_is_refused_while_platform_is_down() {
    run_with_timeout(async {
        let cluster = TestCluster::builder().start().await;
        let platform = cluster.fleet.platform.address("admin");
        set_faults(platform, json!({"freeze": true})).await;
        let key = Uuid::now_v7();
        let booking = TestCluster::booking(&key, BOOKING_BODY);
        for entry in [0, 1] {
            let response = booking.send(cluster.callers_address(entry)).await.unwrap();
            assert_eq!(
                (response.status, response.run_state.as_deref()),
                (503, Some("not-run"))
            );
            assert!(response.retry_after.is_some());
        }
        assert_eq!(cluster.run_count(&key).await, 0);
        let read = Call::new(Method::Get, "/services/booking/calendar").bearer_token(SALON);
        assert_eq!(
            read.send(cluster.callers_address(0)).await.unwrap().status,
            200
        );
        let chat = Call::chat(SALON, "router", "Still there?", 2, false);
        assert_eq!(
            chat.send(cluster.callers_address(0)).await.unwrap().status,
            200
        );
        set_faults(platform, json!({})).await;
        let response = cluster.wait_for_outcome(1, &booking).await;
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(cluster.run_count(&key).await, 1);
    });
}

#[test]
fn booking_is_not_run_when_service_is_down() {
    run_with_timeout(async {
        let mut cluster = TestCluster::builder().start().await;
        cluster.service.as_mut().unwrap().kill();
        let key = Uuid::now_v7();
        let booking = TestCluster::booking(&key, BOOKING_BODY);
        let response = cluster.wait_for_outcome(0, &booking).await;
        assert_eq!(
            response.run_state.as_deref(),
            Some("not-run"),
            "{response:?}"
        );
        assert!(response.retry_after.is_some());
    });
}

#[test]
fn idempotent_read_is_retried_when_response_is_lost() {
    run_with_timeout(async {
        let cluster = TestCluster::builder().start().await;
        let service = cluster.service.as_ref().unwrap().address("admin");
        set_faults(
            service,
            json!({"drop_answer": true, "next": 1, "method": "GET"}),
        )
        .await;
        let read = Call::new(Method::Get, "/services/booking/calendar?day=24").bearer_token(SALON);
        let response = read.send(cluster.callers_address(0)).await.unwrap();
        assert_eq!(response.status, 200, "{response:?}");
    });
}
