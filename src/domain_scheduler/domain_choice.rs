//! Choice of the failure domain whose scheduler gets a request.
//!
//! Answers the load of a day on which some prompts are asked for much more often than others:
//! requests with the same prompt go to the same domain, whose targets have it cached, until that
//! domain is clearly fuller than the next one in the prompt's own order.

use crate::prelude::*;

/// Utilization by which a domain has to be fuller before the next one in a prompt's order is
/// preferred.
const RANK_PENALTY: f64 = 0.25;

/// Capacity of a failure domain for one model, and what of it is in use.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainCapacity {
    /// The failure domain.
    pub domain: Name,
    /// Model or service.
    pub serves: Name,
    /// Slots of the targets that are not leaving.
    pub slots: u32,
    /// Requests that run there or wait for a target there.
    pub requests: u32,
}

impl DomainCapacity {
    fn utilization(&self) -> f64 {
        f64::from(self.requests) / f64::from(self.slots.max(1))
    }
}

/// Failure domains among which the requests for one model are divided.
#[derive(Clone, Debug, Default)]
pub struct DomainChoice {
    domains: Vec<(u64, DomainCapacity)>,
}

impl DomainChoice {
    /// Divides the requests among `domains`; those without slots get none.
    #[must_use]
    pub fn new(domains: impl IntoIterator<Item = DomainCapacity>) -> Self {
        let usable = domains.into_iter().filter(|d| d.slots > 0);
        let hashed = usable.map(|d| (hash(d.domain.as_bytes()), d));
        Self {
            domains: hashed.collect(),
        }
    }

    /// Chooses the domain for a prompt with placement hash `key` among those that `allowed`
    /// accepts. Weighted rendezvous hashing orders the domains, so that each gets prompts by its
    /// slots and few prompts move when slots change.
    #[must_use]
    pub fn choose(&self, key: u64, allowed: impl Fn(&str) -> bool) -> Option<Name> {
        let usable = self.domains.iter().filter(|(_, d)| allowed(&d.domain));
        let mut ranked: SmallVec<[(f64, &DomainCapacity); 8]> = usable
            .map(|(hash, d)| (weighted_rank(key ^ hash, d.slots), d))
            .collect();
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mut penalty = -RANK_PENALTY;
        let costs = ranked.into_iter().map(|(_, d)| {
            penalty += RANK_PENALTY;
            (d.utilization() + penalty, d)
        });
        let best = costs.min_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(_, d)| d.domain.clone())
    }
}

fn hash(bytes: &[u8]) -> u64 {
    let digest = blake3::hash(bytes);
    let first = digest.as_bytes().first_chunk::<8>().copied();
    u64::from_le_bytes(first.unwrap_or_default())
}

/// Rank in weighted rendezvous hashing: the weight divided by the negative logarithm of a uniform
/// hash.
#[allow(clippy::cast_precision_loss)]
fn weighted_rank(hash: u64, weight: u32) -> f64 {
    let mixed = crate::scheduler::mix(hash);
    let uniform = ((mixed >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    f64::from(weight) / -uniform.ln()
}
