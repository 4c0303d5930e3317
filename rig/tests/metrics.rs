//! Metrics of an entry under load.

use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use guavahold_rig::TestCluster;
use guavahold_rig::client::Call;
use guavahold_rig::fleet::run_with_timeout;
use guavahold_rig::test_cluster::SALON;
use http_types::Method;

/// Requests that the only engine runs at once, and that callers send.
const SLOTS: usize = 2;
const CALLERS: usize = 6;

/// Value of a gauge.
async fn gauge(admin: SocketAddr, name: &str) -> usize {
    let response = Call::new(Method::Get, "/metrics")
        .send(admin)
        .await
        .unwrap();
    let text = String::from_utf8(response.body).unwrap();
    let line = text.lines().find(|l| l.starts_with(&format!("{name} ")));
    let (_, value) = line.expect("the gauge").split_once(' ').unwrap();
    value.parse().unwrap()
}

/// Guards against a metric that counts all open requests as waiting for a target.
#[test]
fn metrics_queued_counts_requests_that_wait() {
    run_with_timeout(async {
        let slots = SLOTS.to_string();
        let engine = ["--token-ms", "20", "--slots", slots.as_str()];
        let cluster = TestCluster::builder()
            .entries(1)
            .engines(1)
            .engine_args(&engine)
            .start()
            .await;
        let callers = cluster.callers_address(0);
        let calls: Vec<_> = (0..CALLERS)
            .map(|n| {
                std::thread::spawn(move || {
                    let chat = Call::chat(SALON, "router", &format!("caller {n}"), 100, false);
                    async_io::block_on(chat.send(callers)).unwrap().status
                })
            })
            .collect();
        Timer::after(Duration::from_secs(1)).await;
        let queued = gauge(cluster.admin_address(0), "guavahold_queued").await;
        assert_eq!(queued, CALLERS - SLOTS);
        for call in calls {
            assert_eq!(call.join().unwrap(), 200);
        }
    });
}
