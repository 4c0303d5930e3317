//! Claim tables of single entries without peers, over the in-memory platform.

#[path = "support/all.rs"]
mod support;

use async_executor::Executor;
use async_io::{Timer, block_on};
use futures_lite::FutureExt;
use guavahold::claim::{ClaimOutcome, ClaimTable, ClaimVerdict, Claims};
use guavahold::prelude::*;
use support::{Fault, MemoryPlatform, NoPeers, claim_request};

fn table(platform: &MemoryPlatform, entry: &str) -> (ClaimTable, Arc<Executor<'static>>) {
    let executor = Arc::new(Executor::new());
    let platform = Arc::new(platform.clone());
    let table = ClaimTable::new(
        platform,
        entry.into(),
        4,
        Arc::new(NoPeers),
        executor.clone(),
    );
    (table, executor)
}

#[test]
fn claim_repeat_at_another_entry_gets_the_outcome() {
    let platform = MemoryPlatform::new();
    let (first, first_executor) = table(&platform, "one");
    let (second, second_executor) = table(&platform, "two");
    let req = claim_request(Duration::ZERO);
    block_on(first_executor.run(async {
        let Ok(ClaimVerdict::Granted(claim)) = first.claim(req.clone()).await else {
            panic!("not granted");
        };
        assert!(first.may_dispatch(&claim));
        assert_eq!(
            second_executor.run(second.claim(req.clone())).await,
            Ok(ClaimVerdict::InProgress)
        );
        let outcome = ClaimOutcome::Answered {
            status: 200,
            content_type: "application/json".into(),
            body: Some("{}".into()),
        };
        first.settle(claim, outcome.clone()).await;
        assert_eq!(first.pending(), 0);
        assert_eq!(
            second_executor.run(second.claim(req)).await,
            Ok(ClaimVerdict::Settled(outcome))
        );
    }));
}

#[test]
fn claim_is_granted_after_its_write_answer_was_lost() {
    let platform = MemoryPlatform::new();
    let (table, executor) = table(&platform, "one");
    platform.fail_writes([Some(Fault::ResponseLost)]);
    let verdict = block_on(executor.run(table.claim(claim_request(Duration::ZERO))));
    assert!(matches!(verdict, Ok(ClaimVerdict::Granted(_))));
}

/// Time limit for the verdict on a claim.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against a shard of claims that nobody writes any more after its writer panicked.
#[test]
fn claim_is_granted_after_the_write_of_another_panicked() {
    let platform = MemoryPlatform::new();
    let executor = Arc::new(Executor::new());
    let table = ClaimTable::new(
        Arc::new(platform.clone()),
        "one".into(),
        1,
        Arc::new(NoPeers),
        executor.clone(),
    );
    platform.fail_writes([Some(Fault::Panic)]);
    let verdicts = async {
        let first = table.claim(claim_request(Duration::ZERO)).await;
        (first, table.claim(claim_request(Duration::ZERO)).await)
    };
    let verdicts = async { Some(verdicts.await) };
    let timeout = async {
        Timer::after(VERDICT_TIMEOUT).await;
        None
    };
    let verdicts = block_on(executor.run(verdicts.or(timeout)));
    let (first, second) = verdicts.expect("no verdict");
    // Whether the first one was written is unknown, so it must not run.
    assert!(first.is_err());
    assert!(matches!(second, Ok(ClaimVerdict::Granted(_))));
}
