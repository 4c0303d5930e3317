//! Leaving targets, dead targets and requests that crash the target that runs them.
//!
//! Guards against new work for leaving targets, requests that fail because a target died, and a
//! crashing request that is retried until it has taken down every target.

use std::time::{Duration, Instant};

use async_io::Timer;
use guavahold::platform::{Object, Platform, Role, Vm, VmPhase};
use guavahold_rig::client::Call;
use guavahold_rig::fleet::{run_with_timeout, set_faults};
use guavahold_rig::test_cluster::SALON;
use guavahold_rig::{Process, TestCluster};
use http_types::Method;
use serde_json::json;

/// Time after the first sign of leaving from which a target must get no new work.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);

async fn run_count(engine: &Process) -> u64 {
    let stats = Call::new(Method::Get, "/stats")
        .send(engine.address("admin"))
        .await;
    stats.unwrap().json()["runs"].as_u64().unwrap()
}

/// Sends short prompts to all entries in turn for `time`; all must succeed.
async fn send_chats(cluster: &TestCluster, time: Duration) {
    let started = Instant::now();
    let mut n = 0;
    while started.elapsed() < time {
        let call = Call::chat(SALON, "router", &format!("question {n}"), 2, false);
        let response = call
            .send(cluster.callers_address(n % cluster.entries.len()))
            .await
            .unwrap();
        assert_eq!(response.status, 200, "{:?}", response.json());
        n += 1;
    }
}

async fn check_gets_no_work(cluster: &TestCluster, engine: usize) {
    send_chats(cluster, LEAVE_TIMEOUT).await;
    let before = run_count(&cluster.engines[engine]).await;
    assert!(before > 0, "the engine got work before it left");
    send_chats(cluster, Duration::from_secs(1)).await;
    assert_eq!(run_count(&cluster.engines[engine]).await, before);
}

#[test]
fn leaving_target_gets_no_work_after_its_load_report() {
    run_with_timeout(async {
        let cluster = TestCluster::builder().start().await;
        send_chats(&cluster, Duration::from_millis(500)).await;
        let leave = Call::new(Method::Post, "/leave");
        leave
            .send(cluster.engines[0].address("admin"))
            .await
            .unwrap();
        check_gets_no_work(&cluster, 0).await;
    });
}

#[test]
fn leaving_target_gets_no_work_after_vm_list_update() {
    run_with_timeout(async {
        let cluster = TestCluster::builder().start().await;
        send_chats(&cluster, Duration::from_millis(500)).await;
        let vm = Vm {
            name: "engine-1".into(),
            role: Role::Engine,
            domain: "a".into(),
            address: cluster.engines[0].address("address"),
            serves: "router".into(),
            phase: VmPhase::Leaving,
            cpu_millis: 0,
        };
        cluster.fleet.put_vm(&vm).await;
        check_gets_no_work(&cluster, 0).await;
    });
}

/// Guards against a VM that is used by what its object said before, and against one such object costing
/// the other VMs.
#[test]
fn target_whose_vm_object_cannot_be_read_gets_no_work() {
    run_with_timeout(async {
        let cluster = TestCluster::builder().start().await;
        send_chats(&cluster, Duration::from_millis(500)).await;
        let platform = cluster.fleet.platform_api();
        let vm = platform.get(Vm::KIND, "engine-1").await.unwrap();
        let overwritten = Object {
            spec: json!({"role": ["engine"]}),
            ..vm.unwrap()
        };
        platform.update(overwritten).await.unwrap();
        check_gets_no_work(&cluster, 0).await;
    });
}

#[test]
fn leaving_target_gets_no_work_while_platform_is_down() {
    run_with_timeout(async {
        let cluster = TestCluster::builder().start().await;
        send_chats(&cluster, Duration::from_millis(500)).await;
        set_faults(
            cluster.fleet.platform.address("admin"),
            json!({"freeze": true}),
        )
        .await;
        let leave = Call::new(Method::Post, "/leave");
        leave
            .send(cluster.engines[1].address("admin"))
            .await
            .unwrap();
        check_gets_no_work(&cluster, 1).await;
    });
}

#[test]
fn dead_target_fails_no_request() {
    run_with_timeout(async {
        let mut cluster = TestCluster::builder().engines(3).start().await;
        send_chats(&cluster, Duration::from_millis(300)).await;
        // A killed target refuses connections; a paused one accepts them but does not respond.
        cluster.engines[1].kill();
        send_chats(&cluster, Duration::from_secs(1)).await;
        cluster.engines[2].pause();
        send_chats(&cluster, Duration::from_secs(3)).await;
        cluster.engines[2].resume();
    });
}

#[test]
fn crashing_request_takes_down_at_most_two_targets() {
    run_with_timeout(async {
        let mut cluster = TestCluster::builder().entries(4).engines(6).start().await;
        for engine in &cluster.engines {
            set_faults(engine.address("admin"), json!({"crash_on": "poison"})).await;
        }
        let poison = Call::chat(SALON, "router", "a poisonous prompt: poison", 5, false);
        for n in 0..12 {
            let response = poison.send(cluster.callers_address(n % 4)).await.unwrap();
            assert_ne!(response.status, 200);
            assert!(response.run_state.is_some(), "{response:?}");
            Timer::after(Duration::from_millis(100)).await;
        }
        let dead = cluster
            .engines
            .iter_mut()
            .filter_map(Process::try_wait)
            .count();
        assert!((1..=2).contains(&dead), "{dead} engines are down");
        send_chats(&cluster, Duration::from_millis(500)).await;
    });
}
