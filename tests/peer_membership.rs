//! Simulated entries under partitions, restarts, silent connections and outdated lists of VMs.

#[path = "peer_membership/net.rs"]
mod net;
#[path = "peer_membership/pair_end.rs"]
mod pair_end;
#[path = "peer_membership/step.rs"]
mod step;

use guavahold::peer::{BRIDGES_PER_DOMAIN, CloseReason, MemberEffect, rendezvous_key};
use net::{Net, Node};
use pair_end::PairEnd;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use step::Step;

/// Steps, of 50 ms each, after the last fault until every required link has to work; the longest
/// delay between two dials of an address is 5 s.
const SETTLE_STEPS: u32 = 300;

fn steps(entries: usize, len: std::ops::Range<usize>) -> impl Strategy<Value = Vec<Step>> {
    let two = move || (0..entries, 0..entries);
    let step = prop_oneof![
        4 => (1..80_u32).prop_map(Step::Pass),
        2 => two().prop_map(|(a, b)| Step::Cut(a, b)),
        2 => two().prop_map(|(a, b)| Step::Heal(a, b)),
        2 => two().prop_map(|(a, b)| Step::Silence(a, b)),
        1 => (0..entries).prop_map(Step::Restart),
        1 => two().prop_map(|(a, b)| Step::Unlist(a, b)),
    ];
    proptest::collection::vec(step, len)
}

fn run(cases: u32, seed: u64, len: std::ops::Range<usize>) {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let done = TestRunner::new_with_rng(config, rng).run(&steps(8, len), |steps| {
        let mut net = Net::new(4, 2);
        for step in &steps {
            net.apply(step);
        }
        net.heal();
        net.apply(&Step::Pass(SETTLE_STEPS));
        net.check_settled();
        Ok(())
    });
    if let Err(err) = done {
        panic!("seed {seed}: {err}");
    }
}

/// Faults at any point must leave neither entries without a required link nor links that only one
/// end knows.
#[test]
fn membership_links_recover_after_random_faults() {
    run(32, 4, 1..30);
}

/// `GUAVAHOLD_SEED` and `GUAVAHOLD_CASES` set the seed and the number of cases.
#[test]
#[ignore = "long"]
fn membership_links_recover_after_random_faults_long() {
    let number = |name: &str| std::env::var(name).ok().and_then(|v| v.parse().ok());
    let seed = number("GUAVAHOLD_SEED").unwrap_or_else(|| fastrand::u64(..));
    let cases = number("GUAVAHOLD_CASES").unwrap_or(5000);
    println!("seed {seed} cases {cases}");
    run(u32::try_from(cases).unwrap(), seed, 1..60);
}

#[test]
fn membership_few_domains_form_a_full_mesh() {
    let mut net = Net::new(4, 2);
    net.apply(&Step::Pass(100));
    assert!((0..8).all(|n| net.live(n).len() == 7));
}

/// On a ring of 31 domains a domain has 10 neighbours with two bridges each, so that a bridge has
/// at most 20 links to other domains. All entries must be connected nevertheless.
#[test]
fn membership_many_domains_link_through_bridges() {
    let (domains, each) = (31, 4);
    let mut net = Net::new(domains, each);
    net.apply(&Step::Pass(400));
    net.check_settled();
    for (n, node) in net.nodes.iter().enumerate() {
        let in_domain = net.nodes.iter().filter(|o| o.domain == node.domain);
        let key = |o: &Node| rendezvous_key(&o.domain, &o.name);
        let rank = in_domain.filter(|o| key(o) < key(node)).count();
        let outer_links = net.live(n).len() - (each - 1);
        assert!(
            if rank < BRIDGES_PER_DOMAIN {
                outer_links <= 20
            } else {
                outer_links == 0
            },
            "{outer_links} links to other domains"
        );
    }
}

/// If two entries that dial each other kept different connections, each would close the one that
/// the other keeps.
#[test]
fn membership_simultaneous_dials_keep_the_lower_names_connection() {
    let (by_lower, by_higher) = (1, 2);
    for order in [[by_lower, by_higher], [by_higher, by_lower]] {
        let (mut lower, mut higher) = (PairEnd::new(0), PairEnd::new(1));
        for conn in order {
            lower.open(0, conn, 1, conn == by_lower);
            higher.open(0, conn, 1, conn == by_higher);
        }
        assert!(
            lower.keeps(by_lower) && !lower.keeps(by_higher),
            "{order:?}"
        );
        assert!(
            higher.keeps(by_lower) && !higher.keeps(by_higher),
            "{order:?}"
        );
    }
}

/// The old connection of a restarted peer is dead although it has not timed out yet, so it must not
/// be preferred to the new one.
#[test]
fn membership_restarted_peer_replaces_its_link_at_once() {
    let mut lower = PairEnd::new(0);
    lower.open(0, 1, 5, true);
    let reason = CloseReason::Restarted;
    assert_eq!(
        lower.open(10, 2, 6, false),
        [MemberEffect::Close { conn: 1, reason }]
    );
    assert!(lower.keeps(2));
}

/// A peer that dials although it is linked may have lost that link. The link is replaced once it
/// has been quiet for half the peer timeout, here 1 s, even if the entry with the lower name
/// dialled it.
#[test]
fn membership_quiet_link_is_replaced_by_a_new_connection() {
    let mut lower = PairEnd::new(0);
    lower.open(0, 1, 5, true);
    let reason = CloseReason::Duplicate;
    assert_eq!(
        lower.open(500, 2, 5, false),
        [MemberEffect::Close { conn: 2, reason }]
    );
    assert_eq!(
        lower.open(1200, 3, 5, false),
        [MemberEffect::Close { conn: 1, reason }]
    );
    assert!(lower.keeps(3));
}
