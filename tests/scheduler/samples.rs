//! Sample targets, load reports and arrivals.

use guavahold::catalog::{Policy, PriorityClass};
use guavahold::prefix_keys::BlockKey;
use guavahold::prelude::*;
use guavahold::scheduler::{Arrival, RequestId, TargetInfo};
use guavahold::target::LoadReport;

use super::PREFILL_RATE;

pub fn ms(n: u64) -> Timestamp {
    Timestamp::from_millis(n)
}

pub fn key(n: u64) -> BlockKey {
    BlockKey::from_bytes(*blake3::hash(&n.to_le_bytes()).as_bytes())
}

pub fn policy(class: PriorityClass, first_token_ms: u64) -> Arc<Policy> {
    Arc::new(Policy {
        class,
        first_token_ms,
        ..Policy::default()
    })
}

pub fn target(name: &str, domain: &str) -> TargetInfo {
    TargetInfo {
        name: name.into(),
        domain: domain.into(),
        address: "127.0.0.1:9000".parse().unwrap(),
        serves: "chat".into(),
        leaving: false,
        started_ms: 0,
        software: Name::default(),
    }
}

pub fn report(slots: u32) -> LoadReport {
    LoadReport {
        slots,
        prefill_rate: PREFILL_RATE,
        weights: vec!["v1".into()],
        ..LoadReport::default()
    }
}

pub fn arrival(id: u64, customer: &str, policy: &Arc<Policy>) -> Arrival {
    Arrival {
        id: RequestId(id),
        customer: customer.into(),
        serves: "chat".into(),
        weights: ["v1".into()].into_iter().collect(),
        policy: policy.clone(),
        fingerprint: key(id),
        affinity: key(id),
        prompt_tokens: 200,
        shared_tokens: 0,
        stored_tokens: SmallVec::new(),
        store_domain: None,
        output_tokens: 0,
        max_attempts: 0,
        resumable: false,
        software: None,
        objective: Duration::ZERO,
        allowed: None,
    }
}
