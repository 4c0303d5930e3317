//! Non-idempotent requests run at most once and are never silently lost.

use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use guavahold_rig::Scene;
use guavahold_rig::client::{Call, Whole};
use guavahold_rig::fleet::{await_that, set_faults, within};
use guavahold_rig::scene::{ROOFER, SALON};
use http_types::Method;
use serde_json::json;
use uuid::{Builder, Uuid};

const CHAIR: &str = r#"{"chair": 2, "at": "2026-12-24T10:00"}"#;

/// Sends one call at several entries at the same time.
fn send_at_once(scene: &Scene, call: &Call, times: usize) -> Vec<Whole> {
    let mut sends = Vec::new();
    for n in 0..times {
        let (call, callers) = (call.clone(), scene.callers(n % scene.entries.len()));
        sends.push(std::thread::spawn(move || {
            async_io::block_on(async { call.send(callers).await.unwrap() })
        }));
    }
    sends.into_iter().map(|s| s.join().unwrap()).collect()
}

#[test]
fn booking_repeated_at_the_same_time() {
    within(async {
        let scene = Scene::builder()
            .entries(4)
            .service_args(&["--write-ms", "100"])
            .start()
            .await;
        for _ in 0..5 {
            let key = Uuid::now_v7();
            let booking = Scene::booking(&key, CHAIR);
            for answer in send_at_once(&scene, &booking, 8) {
                let in_progress = answer.status == 409 && answer.run.as_deref() == Some("unknown");
                assert!(answer.status == 200 || in_progress, "{answer:?}");
            }
            let outcome = scene.outcome(3, &booking).await;
            assert_eq!(outcome.status, 200);
            assert_eq!(scene.runs(&key).await, 1);
        }
    });
}

#[test]
fn booking_key_of_another_customer_or_body() {
    within(async {
        let scene = Scene::builder().start().await;
        let key = Uuid::now_v7();
        let booking = Scene::booking(&key, CHAIR);
        assert_eq!(scene.outcome(0, &booking).await.status, 200);
        let other_body = Scene::booking(&key, r#"{"chair": 3}"#);
        let answer = scene.outcome(1, &other_body).await;
        assert_eq!(
            (answer.status, answer.run.as_deref()),
            (422, Some("not-run"))
        );
        let other_customer = Call::new(Method::Post, "/services/booking/bookings")
            .token(ROOFER)
            .key(&key)
            .body(CHAIR);
        let answer = scene.outcome(1, &other_customer).await;
        assert_eq!(answer.status, 200);
        assert_eq!(scene.runs(&key).await, 2, "one for each customer");
    });
}

#[test]
fn booking_key_missing_wrong_or_old() {
    within(async {
        let scene = Scene::builder().entries(1).start().await;
        let path = "/services/booking/bookings";
        let missing = Call::new(Method::Post, path).token(SALON).body(CHAIR);
        let wrong = missing.clone().header("idempotency-key", "seven");
        let old = Builder::from_unix_timestamp_millis(1_600_000_000_000, &[7; 10]).into_uuid();
        let old = missing.clone().key(&old);
        for call in [missing, wrong, old] {
            let answer = call.send(scene.callers(0)).await.unwrap();
            assert_eq!(
                (answer.status, answer.run.as_deref()),
                (400, Some("not-run"))
            );
        }
    });
}

#[test]
fn booking_entry_killed_after_dispatch() {
    within(async {
        let mut scene = Scene::builder()
            .service_args(&["--write-ms", "600"])
            .start()
            .await;
        let key = Uuid::now_v7();
        let booking = Scene::booking(&key, CHAIR);
        let callers = scene.callers(0);
        let first = async { booking.send(callers).await.is_ok() };
        let early = async {
            Timer::after(Duration::from_millis(300)).await;
            false
        };
        assert!(!first.or(early).await);
        await_that("the run", async || scene.runs(&key).await == 1).await;
        scene.entries[0].kill();
        let answer = booking.send(scene.callers(1)).await.unwrap();
        assert_eq!(answer.run.as_deref(), Some("unknown"), "{answer:?}");
        Timer::after(Duration::from_secs(2)).await;
        let answer = booking.send(scene.callers(1)).await.unwrap();
        assert_eq!(answer.run.as_deref(), Some("unknown"), "{answer:?}");
        assert_eq!(scene.runs(&key).await, 1);
    });
}

#[test]
fn booking_service_answer_lost() {
    within(async {
        let scene = Scene::builder().start().await;
        let service = scene.service.as_ref().unwrap().address("admin");
        set_faults(
            service,
            json!({"drop_answer": true, "next": 1, "method": "POST"}),
        )
        .await;
        let key = Uuid::now_v7();
        let booking = Scene::booking(&key, CHAIR);
        for entry in [0, 1, 0] {
            let answer = scene.outcome(entry, &booking).await;
            assert_eq!(answer.run.as_deref(), Some("unknown"), "{answer:?}");
        }
        assert_eq!(scene.runs(&key).await, 1);
    });
}

#[test]
fn booking_platform_answer_lost() {
    within(async {
        let scene = Scene::builder().start().await;
        let platform = scene.fleet.platform.address("admin");
        for method in ["POST", "PUT"] {
            let lost = json!({
                "drop_answer": true, "next": 1, "method": method,
                "path": "/apis/guavahold.dev/v1/claims",
            });
            set_faults(platform, lost).await;
            let key = Uuid::now_v7();
            let booking = Scene::booking(&key, CHAIR);
            assert_eq!(scene.outcome(0, &booking).await.status, 200);
            assert_eq!(scene.runs(&key).await, 1);
        }
    });
}

#[test]
fn booking_platform_down() {
    within(async {
        let scene = Scene::builder().start().await;
        let platform = scene.fleet.platform.address("admin");
        set_faults(platform, json!({"freeze": true})).await;
        let key = Uuid::now_v7();
        let booking = Scene::booking(&key, CHAIR);
        for entry in [0, 1] {
            let answer = booking.send(scene.callers(entry)).await.unwrap();
            assert_eq!(
                (answer.status, answer.run.as_deref()),
                (503, Some("not-run"))
            );
            assert!(answer.retry_after.is_some());
        }
        assert_eq!(scene.runs(&key).await, 0);
        let read = Call::new(Method::Get, "/services/booking/calendar").token(SALON);
        assert_eq!(read.send(scene.callers(0)).await.unwrap().status, 200);
        let chat = Call::chat(SALON, "router", "Still there?", 2, false);
        assert_eq!(chat.send(scene.callers(0)).await.unwrap().status, 200);
        set_faults(platform, json!({})).await;
        let answer = scene.outcome(1, &booking).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(scene.runs(&key).await, 1);
    });
}

#[test]
fn booking_service_refuses_or_is_gone() {
    within(async {
        let mut scene = Scene::builder().start().await;
        scene.service.as_mut().unwrap().kill();
        let key = Uuid::now_v7();
        let booking = Scene::booking(&key, CHAIR);
        let answer = scene.outcome(0, &booking).await;
        assert_eq!(answer.run.as_deref(), Some("not-run"), "{answer:?}");
        assert!(answer.retry_after.is_some());
    });
}

#[test]
fn calendar_check_is_retried() {
    within(async {
        let scene = Scene::builder().start().await;
        let service = scene.service.as_ref().unwrap().address("admin");
        set_faults(
            service,
            json!({"drop_answer": true, "next": 1, "method": "GET"}),
        )
        .await;
        let read = Call::new(Method::Get, "/services/booking/calendar?day=24").token(SALON);
        let answer = read.send(scene.callers(0)).await.unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
    });
}
