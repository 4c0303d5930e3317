//! Entries that share one platform, and their claims.

use std::time::Instant;

use async_io::Timer;
use futures_lite::future::block_on;
use guavahold::claim::{Claim, ClaimError, ClaimOutcome, ClaimRequest, ClaimVerdict, Claims};
use guavahold::prelude::*;

use crate::support::{ClaimNode, LocalNet, MemoryPlatform, TEST_SHARDS};

/// Entries that share one platform.
pub struct Fleet {
    pub platform: MemoryPlatform,
    pub net: Arc<LocalNet>,
    pub nodes: Vec<ClaimNode>,
}

pub fn fleet(entries: usize) -> Fleet {
    let (platform, net) = (MemoryPlatform::new(), Arc::new(LocalNet::default()));
    let start = |n| {
        ClaimNode::start(
            &net,
            &platform,
            &format!("entry-{n}"),
            &format!("d{n}"),
            TEST_SHARDS,
        )
    };
    let nodes = (0..entries).map(start).collect();
    Fleet {
        platform,
        net,
        nodes,
    }
}

pub fn claim(node: &ClaimNode, req: &ClaimRequest) -> Result<ClaimVerdict, ClaimError> {
    block_on(node.table.claim(req.clone()))
}

pub fn granted(verdict: Result<ClaimVerdict, ClaimError>) -> Claim {
    match verdict {
        Ok(ClaimVerdict::Granted(claim)) => claim,
        other => panic!("not granted: {other:?}"),
    }
}

/// Claims repeatedly until the key is granted; panics after 30 seconds.
pub fn claim_until_granted(node: &ClaimNode, req: &ClaimRequest) -> Claim {
    let started = Instant::now();
    loop {
        let verdict = claim(node, req);
        if let Ok(ClaimVerdict::Granted(claim)) = verdict {
            return claim;
        }
        let waited = started.elapsed();
        assert!(
            waited < Duration::from_secs(30),
            "the key was not granted in time: {verdict:?}"
        );
        block_on(Timer::after(Duration::from_millis(20)));
    }
}

pub fn answer(text: &str) -> ClaimOutcome {
    ClaimOutcome::Answered {
        status: 200,
        content_type: "text/plain".into(),
        body: Some(text.into()),
    }
}
