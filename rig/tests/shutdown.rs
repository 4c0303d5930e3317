//! Graceful shutdown of an entry under load; guards against requests cut off by the shutdown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use async_io::Timer;
use guavahold_rig::TestCluster;
use guavahold_rig::client::Call;
use guavahold_rig::fleet::run_with_timeout;
use guavahold_rig::test_cluster::SALON;
use http_types::Method;
use uuid::Uuid;

/// Number of callers for each kind of request.
const CALLERS_OF_EACH_KIND: usize = 6;

/// Acts as the load balancer: takes the entry out of service when it is no longer ready.
fn simulate_balancer(admin: SocketAddr, out_of_service: Arc<AtomicBool>) {
    std::thread::spawn(move || {
        let ready = || async { Call::new(Method::Get, "/ready").send(admin).await };
        while async_io::block_on(ready()).is_ok_and(|r| r.status == 200) {
            std::thread::sleep(Duration::from_millis(50));
        }
        out_of_service.store(true, Ordering::Relaxed);
    });
}

/// Starts a caller that repeats a call until the entry is out of service.
///
/// Its thread returns the number of complete responses.
fn spawn_caller(
    call: impl Fn() -> Call + Send + 'static,
    addr: SocketAddr,
    out_of_service: Arc<AtomicBool>,
) -> JoinHandle<usize> {
    std::thread::spawn(move || {
        async_io::block_on(async {
            let mut completed = 0;
            while !out_of_service.load(Ordering::Relaxed) {
                let call = call();
                let mut events = call.stream(addr).await.expect("a response");
                assert_eq!(events.status(), 200);
                let stream = events.header("content-type") == Some("text/event-stream");
                let streamed = events.read_to_end().await.expect("a complete response");
                assert!(streamed.done || !stream);
                completed += 1;
            }
            completed
        })
    })
}

#[test]
fn shutdown_under_load_cuts_no_request() {
    run_with_timeout(async {
        let engine = ["--token-ms", "10", "--slots", "64"];
        let service = ["--write-ms", "200"];
        let builder = TestCluster::builder()
            .engine_args(&engine)
            .service_args(&service);
        let mut cluster = builder.start().await;
        let out_of_service = Arc::new(AtomicBool::new(false));
        simulate_balancer(cluster.admin_address(0), out_of_service.clone());
        let addr = cluster.callers_address(0);
        let mut callers = Vec::new();
        for n in 0..CALLERS_OF_EACH_KIND {
            let long = move || Call::chat(SALON, "router", &format!("long {n}"), 150, true);
            let short = move || Call::chat(SALON, "router", &format!("short {n}"), 3, false);
            let booking = || {
                let key = Uuid::now_v7();
                TestCluster::booking(&key, &format!("{{\"nonce\": \"{key}\"}}"))
            };
            let read = || Call::new(Method::Get, "/services/booking/calendar").bearer_token(SALON);
            callers.push(spawn_caller(long, addr, out_of_service.clone()));
            callers.push(spawn_caller(short, addr, out_of_service.clone()));
            callers.push(spawn_caller(booking, addr, out_of_service.clone()));
            callers.push(spawn_caller(read, addr, out_of_service.clone()));
        }
        Timer::after(Duration::from_millis(700)).await;
        cluster.entries[0].terminate();
        Timer::after(Duration::from_millis(100)).await;
        let ready = Call::new(Method::Get, "/ready")
            .send(cluster.admin_address(0))
            .await;
        assert_eq!(ready.unwrap().status, 503);
        assert!(cluster.entries[0].wait().unwrap().success());
        for caller in callers {
            assert!(
                caller
                    .join()
                    .expect("all responses of the caller are complete")
                    > 0
            );
        }
    });
}
