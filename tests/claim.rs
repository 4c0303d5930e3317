//! Claim tables of single entries without peers, over the in-memory platform.

#[path = "support/all.rs"]
mod support;

use async_executor::Executor;
use futures_lite::future::block_on;
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
