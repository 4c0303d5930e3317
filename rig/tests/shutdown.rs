//! A graceful shutdown cuts no request.

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

/// Callers of each kind.
const CALLERS: usize = 6;

/// Stands in for the balancer: sends callers elsewhere once readiness is off.
fn balancer(admin: SocketAddr, out_of_service: Arc<AtomicBool>) {
    std::thread::spawn(move || {
        let ready = || async { Call::new(Method::Get, "/ready").send(admin).await };
        while async_io::block_on(ready()).is_ok_and(|a| a.status == 200) {
            std::thread::sleep(Duration::from_millis(50));
        }
        out_of_service.store(true, Ordering::Relaxed);
    });
}

/// Repeats a call until the balancer takes the entry out of service.
fn caller(
    call: impl Fn() -> Call + Send + 'static,
    addr: SocketAddr,
    out_of_service: Arc<AtomicBool>,
) -> JoinHandle<usize> {
    std::thread::spawn(move || {
        async_io::block_on(async {
            let mut answered = 0;
            while !out_of_service.load(Ordering::Relaxed) {
                let call = call();
                let mut events = call.stream(addr).await.expect("an answer");
                assert_eq!(events.status(), 200);
                let stream = events.header("content-type") == Some("text/event-stream");
                let streamed = events.read_to_end().await.expect("a whole answer");
                assert!(streamed.done || !stream);
                answered += 1;
            }
            answered
        })
    })
}

#[test]
fn shutdown_under_load() {
    run_with_timeout(async {
        let engine = ["--token-ms", "10", "--slots", "64"];
        let service = ["--write-ms", "200"];
        let builder = TestCluster::builder()
            .engine_args(&engine)
            .service_args(&service);
        let mut cluster = builder.start().await;
        let out_of_service = Arc::new(AtomicBool::new(false));
        balancer(cluster.admin_address(0), out_of_service.clone());
        let addr = cluster.callers_address(0);
        let mut callers = Vec::new();
        for n in 0..CALLERS {
            let long = move || Call::chat(SALON, "router", &format!("long {n}"), 150, true);
            let short = move || Call::chat(SALON, "router", &format!("short {n}"), 3, false);
            let booking = || {
                let key = Uuid::now_v7();
                TestCluster::booking(&key, &format!("{{\"nonce\": \"{key}\"}}"))
            };
            let read = || Call::new(Method::Get, "/services/booking/calendar").bearer_token(SALON);
            callers.push(caller(long, addr, out_of_service.clone()));
            callers.push(caller(short, addr, out_of_service.clone()));
            callers.push(caller(booking, addr, out_of_service.clone()));
            callers.push(caller(read, addr, out_of_service.clone()));
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
            assert!(caller.join().expect("no caller saw a cut answer") > 0);
        }
    });
}
