//! Claim tables of several entries over one platform, with faults of the platform, links and
//! entries.

#[path = "claim_table/fleet.rs"]
mod fleet;
#[path = "support/all.rs"]
mod support;

use std::sync::Mutex;
use std::time::Instant;

use async_executor::Executor;
use async_io::Timer;
use fleet::{Fleet, answer, claim, claim_until_granted, fleet, granted};
use futures_lite::future::block_on;
use guavahold::claim::{
    BucketState, ClaimError, ClaimOutcome, ClaimRequest, ClaimTable, ClaimVerdict, Claims,
    TimeBucket,
};
use guavahold::platform::{Object, Platform};
use guavahold::prelude::*;
use support::{Fault, TEST_SHARDS, claim_request};

#[test]
fn claim_fails_fast_while_the_platform_is_down() {
    let fleet = fleet(1);
    fleet.nodes[0].platform.set_fault(Some(Fault::Down));
    for _ in 0..100 {
        let verdict = claim(&fleet.nodes[0], &claim_request(Duration::ZERO));
        assert!(matches!(verdict, Err(ClaimError::PlatformDown { .. })));
    }
    let calls = fleet.platform.calls();
    assert!(calls.reads + calls.writes < 10, "{calls:?}");
    assert_eq!(fleet.nodes[0].table.pending(), 0);
    fleet.nodes[0].platform.set_fault(None);
    claim_until_granted(&fleet.nodes[0], &claim_request(Duration::ZERO));
}

#[test]
fn claim_of_an_old_key_is_out_of_window_without_calls() {
    let fleet = fleet(1);
    let old = claim_request(Duration::from_mins(11));
    let verdict = claim(&fleet.nodes[0], &old);
    assert_eq!(verdict, Ok(ClaimVerdict::OutOfWindow));
    assert_eq!(fleet.platform.calls(), support::Calls::default());
}

/// A claim's write takes effect only after the claim failed; unless it is released, no repeat can
/// claim the key.
#[test]
fn claim_that_takes_effect_after_its_error_is_released() {
    let fleet = fleet(1);
    let (node, other) = (&fleet.nodes[0], claim_request(Duration::ZERO));
    granted(claim(node, &other));
    let bucket = |req: &ClaimRequest| TimeBucket::of(&req.key, TEST_SHARDS);
    let req = std::iter::repeat_with(|| claim_request(Duration::ZERO));
    let req = { req }.find(|req| bucket(req) == bucket(&other)).unwrap();
    node.platform.fail_writes([Some(Fault::EffectDelayed)]);
    node.platform.set_fault(Some(Fault::RequestLost));
    let verdict = claim(node, &req);
    assert!(matches!(verdict, Err(ClaimError::PlatformDown { .. })));
    fleet.platform.apply_delayed_writes();
    node.platform.set_fault(None);
    let claim = claim_until_granted(node, &req);
    assert!(node.table.may_dispatch(&claim));
}

/// The owner commits the claim but its reply is lost, so the claim is repeated under a new
/// claimant.
#[test]
fn claim_whose_forwarded_reply_is_lost_is_granted_once() {
    let fleet = fleet(4);
    for _ in 0..8 {
        let req = claim_request(Duration::ZERO);
        fleet.net.lose_replies(1);
        let first = granted(claim(&fleet.nodes[0], &req));
        for node in &fleet.nodes[1..] {
            assert_eq!(claim(node, &req), Ok(ClaimVerdict::InProgress));
        }
        block_on(fleet.nodes[0].table.settle(first, answer("one")));
        for node in &fleet.nodes {
            let settled = ClaimVerdict::Settled(answer("one"));
            assert_eq!(claim(node, &req), Ok(settled));
        }
    }
}

/// The forwarded claim times out and is repeated, then the owner resumes and handles the first one.
#[test]
fn claim_forwarded_to_a_frozen_owner_is_granted_once() {
    let fleet = fleet(4);
    for node in &fleet.nodes[1..] {
        node.freeze(Duration::from_millis(1_500));
    }
    let reqs: Vec<_> = (0..8).map(|_| claim_request(Duration::ZERO)).collect();
    let first: Vec<_> = reqs
        .iter()
        .map(|req| granted(claim(&fleet.nodes[0], req)))
        .collect();
    block_on(Timer::after(Duration::from_secs(2)));
    for (req, claimed) in reqs.iter().zip(first) {
        for node in &fleet.nodes {
            assert_eq!(claim(node, req), Ok(ClaimVerdict::InProgress));
        }
        assert!(fleet.nodes[0].table.may_dispatch(&claimed));
        block_on(fleet.nodes[0].table.settle(claimed, answer("one")));
        let settled = ClaimVerdict::Settled(answer("one"));
        assert_eq!(claim(&fleet.nodes[1], req), Ok(settled));
    }
    assert_eq!(fleet.nodes[0].table.pending(), 0);
}

/// The claim's future is dropped before the grant arrives.
#[test]
fn claim_whose_caller_left_is_released() {
    let fleet = fleet(2);
    let req = claim_request(Duration::ZERO);
    for node in &fleet.nodes {
        let slow = Fault::Slow(Duration::from_millis(50));
        node.platform.set_fault(Some(slow));
    }
    drop(fleet.nodes[0].table.claim(req.clone()));
    claim_until_granted(&fleet.nodes[1], &req);
}

#[test]
fn claim_of_an_entry_cut_off_from_the_platform_goes_through_a_peer() {
    let fleet = fleet(3);
    fleet.nodes[0].platform.set_fault(Some(Fault::Down));
    for _ in 0..8 {
        let req = claim_request(Duration::ZERO);
        let claimed = claim_until_granted(&fleet.nodes[0], &req);
        assert_eq!(claim(&fleet.nodes[1], &req), Ok(ClaimVerdict::InProgress));
        block_on(fleet.nodes[0].table.settle(claimed, answer("one")));
    }
}

#[test]
fn claim_with_another_digest_is_a_mismatch() {
    let fleet = fleet(2);
    let req = claim_request(Duration::ZERO);
    granted(claim(&fleet.nodes[0], &req));
    let other = ClaimRequest {
        digest: "4567".into(),
        ..req
    };
    assert_eq!(claim(&fleet.nodes[1], &other), Ok(ClaimVerdict::Mismatch));
}

#[test]
fn claim_of_the_same_key_by_another_customer_is_independent() {
    let fleet = fleet(2);
    let mut req = claim_request(Duration::ZERO);
    granted(claim(&fleet.nodes[0], &req));
    req.key.customer = "b".into();
    granted(claim(&fleet.nodes[1], &req));
}

#[test]
fn settle_is_stored_after_a_platform_outage() {
    let fleet = fleet(1);
    let (node, req) = (&fleet.nodes[0], claim_request(Duration::ZERO));
    let claimed = granted(claim(node, &req));
    node.platform.set_fault(Some(Fault::Down));
    let settled = node.table.settle(claimed, answer("one"));
    block_on(Timer::after(Duration::from_millis(300)));
    assert_eq!(node.table.pending(), 1);
    node.platform.set_fault(None);
    block_on(settled);
    assert_eq!(node.table.pending(), 0);
    assert_eq!(claim(node, &req), Ok(ClaimVerdict::Settled(answer("one"))));
}

/// The owner's cached object lacks the claim, because another entry committed it while the link
/// between the two was down.
#[test]
fn settle_through_an_owner_with_an_outdated_object_is_stored() {
    let fleet = fleet(2);
    let bucket = |req: &ClaimRequest| TimeBucket::of(&req.key, TEST_SHARDS);
    for _ in 0..8 {
        let other = claim_request(Duration::ZERO);
        granted(claim(&fleet.nodes[1], &other));
        let req = std::iter::repeat_with(|| claim_request(Duration::ZERO));
        let req = { req }.find(|req| bucket(req) == bucket(&other)).unwrap();
        fleet.net.cut("entry-0", true);
        let claimed = granted(claim(&fleet.nodes[0], &req));
        fleet.net.cut("entry-0", false);
        block_on(fleet.nodes[0].table.settle(claimed, answer("one")));
        let settled = ClaimVerdict::Settled(answer("one"));
        assert_eq!(claim(&fleet.nodes[1], &req), Ok(settled));
    }
}

#[test]
fn settle_of_a_long_answer_keeps_its_status_without_the_body() {
    let fleet = fleet(1);
    let (node, req) = (&fleet.nodes[0], claim_request(Duration::ZERO));
    let claimed = granted(claim(node, &req));
    block_on(node.table.settle(claimed, answer(&"x".repeat(100_000))));
    let Ok(ClaimVerdict::Settled(ClaimOutcome::Answered { status, body, .. })) = claim(node, &req)
    else {
        panic!("not settled");
    };
    assert_eq!((status, body), (200, None));
}

#[test]
fn collect_garbage_deletes_only_expired_objects() {
    let fleet = fleet(1);
    let now_ms = guavahold::clock::unix_ms();
    let old = (now_ms - 3 * 3_600_000) / 10_000;
    let put = |name: String, spec| {
        let object = Object::new(BucketState::KIND, name, spec);
        block_on(fleet.platform.create(object)).unwrap();
    };
    for shard in 0..4 {
        put(
            format!("collected-{shard}"),
            serde_json::json!({"next": old}),
        );
    }
    let state = |keep_until_ms| serde_json::json!({"keep_until_ms": keep_until_ms, "claims": {}});
    put(format!("0-{old}"), state(now_ms - 1));
    put(format!("0-{}", old + 1), state(now_ms + 60_000));
    put(format!("1-{}", old + 1), state(now_ms - 1));
    block_on(fleet.nodes[0].table.collect_garbage());
    let names: Vec<_> = fleet.platform.objects(BucketState::KIND);
    let names: Vec<_> = names.iter().map(|o| o.name.to_string()).collect();
    assert!(!names.contains(&format!("0-{old}")));
    assert!(names.contains(&format!("0-{}", old + 1)));
    assert!(!names.contains(&format!("1-{}", old + 1)));
}

/// Repeats one request until its outcome is returned; returns how often it ran.
async fn repeat_until_settled(
    tables: Vec<ClaimTable>,
    mut rng: fastrand::Rng,
    deadline: Instant,
) -> u32 {
    let req = claim_request(Duration::ZERO);
    let text = req.key.key.to_string();
    let mut runs = 0;
    loop {
        let table = &tables[rng.usize(..tables.len())];
        match table.claim(req.clone()).await {
            Ok(ClaimVerdict::Granted(claim)) if rng.u8(..4) == 0 => {
                table.release(claim).await;
            }
            Ok(ClaimVerdict::Granted(claim)) => {
                assert!(table.may_dispatch(&claim));
                runs += 1;
                assert_eq!(runs, 1, "the request ran twice");
                Timer::after(Duration::from_millis(rng.u64(..20))).await;
                let settled = table.settle(claim, answer(&text));
                if rng.bool() {
                    settled.await;
                }
            }
            Ok(ClaimVerdict::Settled(outcome)) => {
                assert_eq!(
                    (outcome, runs),
                    (answer(&text), 1),
                    "the outcome is not that of the one run"
                );
                return runs;
            }
            Ok(ClaimVerdict::InProgress) | Err(_) => {}
            Ok(verdict) => panic!("{verdict:?}"),
        }
        assert!(
            Instant::now() < deadline,
            "the request was not settled in time"
        );
        Timer::after(Duration::from_millis(rng.u64(5..40))).await;
    }
}

/// Switches random faults on and off, and ends all of them at the end.
async fn inject_faults(fleet: &Fleet, rng: &mut fastrand::Rng, steps: u32) {
    for _ in 0..steps {
        let node = &fleet.nodes[rng.usize(..fleet.nodes.len())];
        let fault = match rng.u8(..9) {
            0 => Some(Fault::Down),
            1 => Some(Fault::Slow(Duration::from_millis(30))),
            2 => Some(Fault::ResponseLost),
            3 => Some(Fault::RequestLost),
            4 => Some(Fault::EffectDelayed),
            _ => None,
        };
        match rng.u8(..8) {
            0 => node.freeze(Duration::from_millis(rng.u64(10..200))),
            1 => fleet.net.cut(&node.name, true),
            2 => fleet.net.cut(&node.name, false),
            3 => fleet.net.lose_replies(rng.u32(1..4)),
            4 => fleet.platform.apply_delayed_writes(),
            5 => node.platform.fail_writes([fault, fault]),
            _ => node.platform.set_fault(fault),
        }
        Timer::after(Duration::from_millis(rng.u64(5..40))).await;
    }
    fleet.platform.apply_delayed_writes();
    for node in &fleet.nodes {
        node.platform.set_fault(None);
        fleet.net.cut(&node.name, false);
    }
}

/// Callers repeat their requests at random entries while faults are injected.
fn run_under_random_faults(seed: u64, callers: usize, steps: u32) {
    println!("seed {seed}");
    let fleet = fleet(4);
    let mut rng = fastrand::Rng::with_seed(seed);
    let deadline = Instant::now() + Duration::from_mins(1);
    let tables: Vec<_> = fleet.nodes.iter().map(|n| n.table.clone()).collect();
    let ex = Executor::new();
    let failed = Mutex::new(0);
    block_on(ex.run(async {
        let callers: Vec<_> = (0..callers)
            .map(|_| ex.spawn(repeat_until_settled(tables.clone(), rng.fork(), deadline)))
            .collect();
        inject_faults(&fleet, &mut rng, steps).await;
        for caller in callers {
            if caller.await != 1 {
                *failed.lock().unwrap() += 1;
            }
        }
    }));
    assert_eq!(
        *failed.lock().unwrap(),
        0,
        "requests without exactly one run"
    );
}

#[test]
fn claims_under_random_faults_run_exactly_once() {
    run_under_random_faults(1, 24, 60);
}

#[test]
#[ignore = "long random run"]
fn claims_under_random_faults_run_exactly_once_long() {
    let first = fastrand::u64(..);
    for seed in first..first + 15 {
        run_under_random_faults(seed, 64, 200);
    }
}
