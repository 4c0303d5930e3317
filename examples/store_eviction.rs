//! Share of context recomputed under the store's eviction, LRU and the offline floor.
//!
//! `cargo run --release --example store_eviction -- SEED` prints JSON. Prompts of several customers
//! come back after log-normal gaps or not at all; each visit asks for a shared price list, the
//! blocks of earlier visits and a new one. Every block that was missing is stored.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use guavahold::cache::BlockKey;
use guavahold::prelude::Name;
use guavahold::store::index::{BlockInfo, Effect, Event, Index, IndexConfig, ReaderId, UploadId};

const CUSTOMERS: u64 = 10;
const PROMPTS: u64 = 6000;
const SHARED_BLOCKS: u64 = 6;
const BLOCK_BYTES: u64 = 1000;
/// Part of the prompts that come back at all, for each customer between these bounds.
const RETURNING: (f64, f64) = (0.1, 0.9);
/// Part of the visits of such a prompt that are followed by another.
const GOING_ON: f64 = 0.8;
/// Span over which the prompts first come, in seconds.
const SPAN_S: f64 = 4.0 * 86_400.0;

struct Visit {
    at: Duration,
    customer: Name,
    keys: Vec<BlockKey>,
}

fn key(parts: &[u64]) -> BlockKey {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&part.to_le_bytes());
    }
    BlockKey::from_bytes(*hasher.finalize().as_bytes())
}

/// A normal sample by the sum of twelve uniform ones.
fn normal(rng: &mut fastrand::Rng) -> f64 {
    (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0
}

fn visits(rng: &mut fastrand::Rng) -> Vec<Visit> {
    let mut visits = Vec::new();
    for prompt in 0..PROMPTS {
        // A few customers are large: the square prefers low numbers.
        let draw = rng.f64();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "a number below CUSTOMERS"
        )]
        let customer = (draw * draw * CUSTOMERS as f64) as u64;
        #[expect(clippy::cast_precision_loss, reason = "a small number")]
        let place = customer as f64 / (CUSTOMERS - 1) as f64;
        let returning = RETURNING.0 + place * (RETURNING.1 - RETURNING.0);
        let returns = rng.f64() < returning;
        let median_s = 600.0 * (1.0 + 20.0 * place);
        let mut at = rng.f64() * SPAN_S;
        let mut keys: Vec<_> = (0..SHARED_BLOCKS).map(|n| key(&[customer, n])).collect();
        let own = rng.u64(2..8);
        keys.extend((0..own).map(|n| key(&[customer, u64::MAX, prompt, n])));
        for turn in 0..12 {
            keys.push(key(&[customer, prompt, turn]));
            visits.push(Visit {
                at: Duration::from_secs_f64(at),
                customer: format!("customer-{customer}").into(),
                keys: keys.clone(),
            });
            if !returns || rng.f64() > GOING_ON {
                break;
            }
            at += median_s * normal(rng).exp();
        }
    }
    visits.sort_by_key(|v| v.at);
    visits
}

/// Blocks recomputed with the store's index.
fn with_index(visits: &[Visit], blocks: u64, seed: u64) -> usize {
    let cfg = IndexConfig {
        disk_bytes: blocks * BLOCK_BYTES,
        memory_bytes: 0,
        seed,
    };
    let mut index = Index::new(cfg);
    let mut effects = Vec::new();
    let mut number = 0;
    let mut missed = 0;
    for visit in visits {
        let (held, _) = index.prefix(&visit.customer, &visit.keys);
        for key in &visit.keys[..held as usize] {
            number += 1;
            let reader = ReaderId(number);
            let pin = Event::Pin {
                reader,
                key: *key,
                customer: visit.customer.clone(),
            };
            index.on(visit.at, pin, &mut effects);
            index.on(visit.at, Event::Unpin { reader }, &mut effects);
        }
        missed += visit.keys.len() - held as usize;
        for n in held as usize..visit.keys.len() {
            number += 1;
            let upload = UploadId(number);
            let block = BlockInfo {
                key: visit.keys[n],
                customer: visit.customer.clone(),
                parent: n.checked_sub(1).map(|n| visit.keys[n]),
                bytes: BLOCK_BYTES,
            };
            index.on(visit.at, Event::Begin { upload, block }, &mut effects);
            index.on(visit.at, Event::Staged { upload }, &mut effects);
            index.on(visit.at, Event::Committed { upload }, &mut effects);
        }
        for effect in std::mem::take(&mut effects) {
            if let Effect::Remove { generation, .. } = effect {
                index.on(visit.at, Event::Removed { generation }, &mut Vec::new());
            }
        }
    }
    missed
}

/// Blocks recomputed when the block of highest `rank` goes first; `rank` is given the visit, the
/// depth and the key.
fn with_rank(
    visits: &[Visit],
    blocks: u64,
    mut rank: impl FnMut(usize, usize, &BlockKey) -> (u64, u64),
) -> usize {
    let mut ranks: HashMap<BlockKey, (u64, u64, u64)> = HashMap::new();
    let mut order: BTreeMap<(u64, u64, u64), BlockKey> = BTreeMap::new();
    let mut number = 0;
    let mut missed = 0;
    for (n, visit) in visits.iter().enumerate() {
        let held = visit
            .keys
            .iter()
            .take_while(|k| ranks.contains_key(k))
            .count();
        missed += visit.keys.len() - held;
        for (depth, key) in visit.keys.iter().enumerate() {
            number += 1;
            let (first, second) = rank(n, depth, key);
            let new = (first, second, number);
            if let Some(old) = ranks.insert(*key, new) {
                order.remove(&old);
            }
            order.insert(new, *key);
        }
        while ranks.len() as u64 > blocks {
            let (_, key) = order.pop_last().expect("a full store holds a block");
            ranks.remove(&key);
        }
    }
    missed
}

fn with_lru(visits: &[Visit], blocks: u64) -> usize {
    let count = visits.len() as u64;
    with_rank(visits, blocks, |n, depth, _| {
        (count - n as u64, depth as u64)
    })
}

/// Evicts the block whose next use is farthest away (Belady's MIN).
fn with_foresight(visits: &[Visit], blocks: u64) -> usize {
    let mut next: HashMap<BlockKey, u64> = HashMap::new();
    let mut uses: Vec<Vec<u64>> = Vec::with_capacity(visits.len());
    for (n, visit) in visits.iter().enumerate().rev() {
        let of = |k: &BlockKey| next.get(k).copied().unwrap_or(u64::MAX);
        uses.push(visit.keys.iter().map(of).collect());
        next.extend(visit.keys.iter().map(|k| (*k, n as u64)));
    }
    uses.reverse();
    with_rank(visits, blocks, |n, depth, _| (uses[n][depth], depth as u64))
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|s| s.parse().ok());
    let seed = seed.unwrap_or(20_261_203);
    let visits = visits(&mut fastrand::Rng::with_seed(seed));
    let asked: usize = visits.iter().map(|v| v.keys.len()).sum();
    let distinct: HashSet<_> = visits.iter().flat_map(|v| &v.keys).collect();
    let mut rows = Vec::new();
    for part in [50, 20, 10, 5, 2] {
        let blocks = distinct.len() as u64 / part;
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let share = |missed: usize| missed as f64 / asked as f64;
        rows.push(serde_json::json!({
            "blocks": blocks,
            "index": share(with_index(&visits, blocks, seed)),
            "lru": share(with_lru(&visits, blocks)),
            "floor": share(with_foresight(&visits, blocks)),
        }));
    }
    let report = serde_json::json!({
        "seed": seed,
        "visits": visits.len(),
        "blocks_asked": asked,
        "blocks_distinct": distinct.len(),
        "share_recomputed": rows,
    });
    println!("{report:#}");
}
