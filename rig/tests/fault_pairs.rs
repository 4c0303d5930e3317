//! Pairs of simultaneous failures under load.
//!
//! Guards against bookings that run twice or whose run state is reported wrongly, and against chat
//! responses that are incomplete or belong to another request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use async_io::Timer;
use guavahold_rig::TestCluster;
use guavahold_rig::client::{Call, FullResponse};
use guavahold_rig::fleet::{run_with_timeout, set_faults};
use guavahold_rig::test_cluster::{ROOFER, SALON};
use http_types::Method;
use serde_json::{Value, json};
use uuid::Uuid;

/// Duration of the failures, and of the recovery in tests that end the failures.
const FAULT_DURATION: Duration = Duration::from_secs(2);
/// Pause between two requests of one caller, which waits for each response.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// A booking and its response; `None` if the caller got no response.
struct SentBooking {
    key: Uuid,
    response: Option<FullResponse>,
}

/// Callers that send bookings and chats during the failures.
struct BackgroundLoad {
    stop: Arc<AtomicBool>,
    bookings: Vec<JoinHandle<Vec<SentBooking>>>,
    chats: Vec<JoinHandle<usize>>,
}

impl BackgroundLoad {
    fn start(cluster: &TestCluster) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let addrs: Vec<SocketAddr> = (0..cluster.entries.len())
            .map(|n| cluster.callers_address(n))
            .collect();
        let bookings = addrs.iter().map(|addr| {
            let (addr, stop) = (*addr, stop.clone());
            std::thread::spawn(move || async_io::block_on(send_bookings(addr, &stop)))
        });
        let chats = [SALON, ROOFER].into_iter().enumerate().map(|(n, token)| {
            let (addrs, stop) = (addrs.clone(), stop.clone());
            std::thread::spawn(move || async_io::block_on(send_chats(&addrs, token, n, &stop)))
        });
        Self {
            bookings: bookings.collect(),
            chats: chats.collect(),
            stop,
        }
    }

    /// Stops the callers and checks every booking against the run counters of the service.
    async fn check(self, cluster: &TestCluster) {
        self.stop.store(true, Ordering::Relaxed);
        let answered: usize = self.chats.into_iter().map(|c| c.join().unwrap()).sum();
        assert!(answered > 0, "no chat got a complete response");
        let bookings = self.bookings.into_iter().flat_map(|b| b.join().unwrap());
        let bookings: Vec<SentBooking> = bookings.collect();
        let counts = Call::new(Method::Get, "/runs");
        let service = cluster.service.as_ref().unwrap().address("admin");
        let counts = counts.send(service).await.unwrap().json();
        for sent_booking in bookings {
            let runs = &counts["by_key"][sent_booking.key.to_string()];
            check_booking(&sent_booking, runs.as_u64().unwrap_or(0));
        }
    }
}

fn check_booking(sent_booking: &SentBooking, runs: u64) {
    assert!(runs <= 1, "{} ran {runs} times", sent_booking.key);
    let Some(response) = &sent_booking.response else {
        return;
    };
    match (response.status, response.run_state.as_deref()) {
        (200, _) => assert_eq!(
            runs, 1,
            "{} got a response but did not run",
            sent_booking.key
        ),
        (_, Some("not-run")) => {
            assert_eq!(
                runs, 0,
                "{} ran but was reported as not run",
                sent_booking.key
            );
            assert!(response.retry_after.is_some(), "{response:?}");
        }
        (_, Some("unknown" | "ran")) => {}
        other => panic!("{} got an unexpected response: {other:?}", sent_booking.key),
    }
}

async fn send_bookings(addr: SocketAddr, stop: &AtomicBool) -> Vec<SentBooking> {
    let mut out = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let key = Uuid::now_v7();
        let booking = TestCluster::booking(&key, &format!("{{\"key\": \"{key}\"}}"));
        let response = booking.send(addr).await.ok();
        out.push(SentBooking { key, response });
        Timer::after(REQUEST_INTERVAL).await;
    }
    out
}

/// Sends questions to all entries in turn and checks that each response fits its question.
///
/// Returns the number of complete responses.
async fn send_chats(addrs: &[SocketAddr], token: &str, start: usize, stop: &AtomicBool) -> usize {
    let mut answered = 0;
    let mut n = start;
    while !stop.load(Ordering::Relaxed) {
        let call = Call::chat(token, "router", &format!("question {}", n % 7), 4, true);
        if let Ok(mut events) = call.stream(addrs[n % addrs.len()]).await
            && events.status() == 200
            && let Ok(streamed) = events.read_to_end().await
        {
            assert!(
                streamed.done,
                "the stream ended cleanly without the final event"
            );
            check_text(&streamed.text, n % 7);
            answered += 1;
        }
        n += 1;
        Timer::after(REQUEST_INTERVAL).await;
    }
    answered
}

/// Checks that a question always has the same text: engines run one weight version, and the text
/// does not depend on the customer.
fn check_text(text: &str, question: usize) {
    use std::collections::HashMap;
    use std::sync::{Mutex, OnceLock, PoisonError};
    static TEXTS: OnceLock<Mutex<HashMap<usize, String>>> = OnceLock::new();
    let texts = TEXTS.get_or_init(Mutex::default);
    let mut texts = texts.lock().unwrap_or_else(PoisonError::into_inner);
    let known = texts.entry(question).or_insert_with(|| text.to_owned());
    assert_eq!(known, text, "the response belongs to another question");
}

async fn start_cluster() -> TestCluster {
    let engine = ["--token-ms", "5"];
    TestCluster::builder()
        .entries(4)
        .engines(4)
        .engine_args(&engine)
        .start()
        .await
}

async fn set_platform_faults(cluster: &TestCluster, faults: Value) {
    set_faults(cluster.fleet.platform.address("admin"), faults).await;
}

async fn set_service_faults(cluster: &TestCluster, faults: Value) {
    set_faults(cluster.service.as_ref().unwrap().address("admin"), faults).await;
}

#[test]
fn pair_platform_down_and_entry_killed() {
    run_with_timeout(async {
        let mut cluster = start_cluster().await;
        let load = BackgroundLoad::start(&cluster);
        Timer::after(Duration::from_millis(500)).await;
        set_platform_faults(&cluster, json!({"freeze": true})).await;
        cluster.entries[0].kill();
        Timer::after(FAULT_DURATION).await;
        set_platform_faults(&cluster, json!({})).await;
        Timer::after(FAULT_DURATION).await;
        load.check(&cluster).await;
    });
}

#[test]
fn pair_platform_responses_lost_and_entry_paused() {
    run_with_timeout(async {
        let cluster = start_cluster().await;
        let load = BackgroundLoad::start(&cluster);
        Timer::after(Duration::from_millis(500)).await;
        set_platform_faults(
            &cluster,
            json!({"drop_answer": true, "next": 20, "method": "PUT"}),
        )
        .await;
        cluster.entries[1].pause();
        Timer::after(FAULT_DURATION).await;
        cluster.entries[1].resume();
        Timer::after(FAULT_DURATION).await;
        load.check(&cluster).await;
    });
}

#[test]
fn pair_platform_slow_and_service_responses_lost() {
    run_with_timeout(async {
        let cluster = start_cluster().await;
        let load = BackgroundLoad::start(&cluster);
        Timer::after(Duration::from_millis(500)).await;
        set_platform_faults(&cluster, json!({"delay_ms": 300})).await;
        set_service_faults(
            &cluster,
            json!({"drop_answer": true, "next": 10, "method": "POST"}),
        )
        .await;
        Timer::after(FAULT_DURATION).await;
        set_platform_faults(&cluster, json!({})).await;
        Timer::after(FAULT_DURATION).await;
        load.check(&cluster).await;
    });
}

#[test]
fn pair_two_engines_killed() {
    run_with_timeout(async {
        let mut cluster = start_cluster().await;
        let load = BackgroundLoad::start(&cluster);
        Timer::after(Duration::from_millis(500)).await;
        cluster.engines[0].kill();
        cluster.engines[3].kill();
        Timer::after(FAULT_DURATION).await;
        load.check(&cluster).await;
    });
}

#[test]
fn pair_engine_paused_and_entry_killed() {
    run_with_timeout(async {
        let mut cluster = start_cluster().await;
        let load = BackgroundLoad::start(&cluster);
        Timer::after(Duration::from_millis(500)).await;
        cluster.engines[1].pause();
        cluster.entries[2].kill();
        Timer::after(FAULT_DURATION).await;
        cluster.engines[1].resume();
        Timer::after(FAULT_DURATION).await;
        load.check(&cluster).await;
    });
}

#[test]
fn pair_two_entries_killed() {
    run_with_timeout(async {
        let mut cluster = start_cluster().await;
        let load = BackgroundLoad::start(&cluster);
        Timer::after(Duration::from_millis(500)).await;
        cluster.entries[0].kill();
        cluster.entries[3].kill();
        Timer::after(FAULT_DURATION).await;
        load.check(&cluster).await;
    });
}

#[test]
fn pair_service_responses_cut_and_engine_responses_cut() {
    run_with_timeout(async {
        let cluster = start_cluster().await;
        let load = BackgroundLoad::start(&cluster);
        Timer::after(Duration::from_millis(500)).await;
        set_service_faults(
            &cluster,
            json!({"close_after": 10, "next": 10, "method": "POST"}),
        )
        .await;
        for engine in &cluster.engines {
            let cut = json!({"close_after": 600, "next": 20, "path": "/v1/chat"});
            set_faults(engine.address("admin"), cut).await;
        }
        Timer::after(FAULT_DURATION).await;
        load.check(&cluster).await;
    });
}
