//! Claims over the platform in memory.

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
    let (one, ex) = table(&platform, "one");
    let (two, ex_two) = table(&platform, "two");
    let req = claim_request(Duration::ZERO);
    block_on(ex.run(async {
        let Ok(ClaimVerdict::Granted(claim)) = one.claim(req.clone()).await else {
            panic!("not granted");
        };
        assert!(one.may_dispatch(&claim));
        assert_eq!(
            ex_two.run(two.claim(req.clone())).await,
            Ok(ClaimVerdict::InProgress)
        );
        let outcome = ClaimOutcome::Answered {
            status: 200,
            content_type: "application/json".into(),
            body: Some("{}".into()),
        };
        one.settle(claim, outcome.clone()).await;
        assert_eq!(one.pending(), 0);
        assert_eq!(
            ex_two.run(two.claim(req)).await,
            Ok(ClaimVerdict::Settled(outcome))
        );
    }));
}

#[test]
fn claim_lost_answer_is_read_back() {
    let platform = MemoryPlatform::new();
    let (table, ex) = table(&platform, "one");
    platform.fail_writes([Some(Fault::ResponseLost)]);
    let verdict = block_on(ex.run(table.claim(claim_request(Duration::ZERO))));
    assert!(matches!(verdict, Ok(ClaimVerdict::Granted(_))));
}
